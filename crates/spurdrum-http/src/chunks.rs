//! Where a chunked body ends: hyper knows, but does not say, and the next head is looked at as it came.

/// Digits that a chunk's size may have: 15 fit any length.
const DIGITS_MOST: u8 = 15;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Size {
        size: u64,
        digits: u8,
    },
    Extension {
        size: u64,
    },
    SizeEnd {
        size: u64,
    },
    Data {
        left: u64,
    },
    DataCr,
    DataLf,
    /// Whether the line has nothing on it yet.
    Trailer {
        empty: bool,
    },
    TrailerEnd {
        empty: bool,
    },
    Done,
    Unsound,
}

/// Follows a chunked body as it comes, in any pieces (RFC 9112, 7.1).
#[derive(Clone, Copy, Debug)]
pub struct Chunks(State);

impl Default for Chunks {
    fn default() -> Self {
        Self(State::Size { size: 0, digits: 0 })
    }
}

impl Chunks {
    /// How many of these bytes belong to the body: all, until it is done.
    pub fn take(&mut self, bytes: &[u8]) -> usize {
        let mut at = 0;
        while at < bytes.len() && self.0 != State::Done {
            if let State::Data { left } = self.0 {
                let part = left.min((bytes.len() - at) as u64);
                at += part as usize;
                self.0 = if part == left { State::DataCr } else { State::Data { left: left - part } };
            } else {
                self.0 = Self::next(self.0, bytes[at]);
                at += 1;
            }
        }
        at
    }

    fn next(state: State, byte: u8) -> State {
        match (state, byte) {
            (State::Size { size, digits }, _) if byte.is_ascii_hexdigit() && digits < DIGITS_MOST => {
                let digit = char::from(byte).to_digit(16).map_or(0, u64::from);
                State::Size { size: size * 16 + digit, digits: digits + 1 }
            }
            (State::Size { size, digits: 1.. }, b'\r') => State::SizeEnd { size },
            (State::Size { size, digits: 1.. }, b';' | b' ' | b'\t') => State::Extension { size },
            (State::Extension { size }, b'\r') => State::SizeEnd { size },
            (State::Extension { size }, _) if byte != b'\n' => State::Extension { size },
            (State::SizeEnd { size: 0 }, b'\n') => State::Trailer { empty: true },
            (State::SizeEnd { size }, b'\n') => State::Data { left: size },
            (State::DataCr, b'\r') => State::DataLf,
            (State::DataLf, b'\n') => State::Size { size: 0, digits: 0 },
            (State::Trailer { empty }, b'\r') => State::TrailerEnd { empty },
            (State::Trailer { .. }, _) if byte != b'\n' => State::Trailer { empty: false },
            (State::TrailerEnd { empty: true }, b'\n') => State::Done,
            (State::TrailerEnd { empty: false }, b'\n') => State::Trailer { empty: true },
            _ => State::Unsound,
        }
    }

    /// Whether all of it has come.
    pub fn is_done(&self) -> bool {
        self.0 == State::Done
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn encode(body: &[u8], size: usize, extension: &str, trailers: &[&str]) -> Vec<u8> {
        let mut text = Vec::new();
        for chunk in body.chunks(size) {
            text.extend_from_slice(format!("{:X}{extension}\r\n", chunk.len()).as_bytes());
            text.extend_from_slice(chunk);
            text.extend_from_slice(b"\r\n");
        }
        text.extend_from_slice(b"000\r\n");
        trailers.iter().for_each(|line| text.extend_from_slice(format!("{line}\r\n").as_bytes()));
        text.extend_from_slice(b"\r\n");
        text
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

        /// However it is cut into chunks, and the chunks into pieces: what belongs to the body is all of it and no more.
        #[test]
        fn a_body_ends_where_it_ends(
            body in prop::collection::vec(any::<u8>(), 0..400),
            size in 1_usize..90,
            piece in 1_usize..40,
            extension in prop::sample::select(vec!["", ";a=b", " ", ";q=\"x y\""]),
            trailers in prop::sample::select(vec![&[][..], &["x-a: 1"], &["x-a: 1", "x-b: 2"]]),
            behind in prop::collection::vec(any::<u8>(), 0..50),
        ) {
            let text = encode(&body, size, extension, trailers);
            let all = [&text[..], &behind].concat();
            let (mut chunks, mut taken) = (Chunks::default(), 0);
            for piece in all.chunks(piece) {
                prop_assert_eq!(chunks.is_done(), taken == text.len());
                taken += chunks.take(piece);
            }
            prop_assert_eq!(taken, text.len());
            prop_assert!(chunks.is_done());
        }

        /// Nothing is done that was cut short, and no bytes end in a panic.
        #[test]
        fn any_bytes_are_survived(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
            let mut chunks = Chunks::default();
            prop_assert!(chunks.take(&bytes) <= bytes.len());
        }
    }

    #[test]
    fn what_others_might_read_otherwise_never_ends() {
        for text in [
            &b"4\nwork\r\n0\r\n\r\n"[..],
            b"4\r\nwork0\r\n\r\n",
            b"+4\r\nwork\r\n0\r\n\r\n",
            b"0x4\r\nwork\r\n0\r\n\r\n",
            b"\r\n0\r\n\r\n",
            b"1234567890123456\r\n",
            b"4\r\nworking\r\n0\r\n\r\n",
            b"0\r\nx-a: 1\n\r\n",
        ] {
            let mut chunks = Chunks::default();
            chunks.take(text);
            assert!(!chunks.is_done(), "{}", String::from_utf8_lossy(text));
        }
    }
}
