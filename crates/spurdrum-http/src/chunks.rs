//! Finds the end of a chunked body. hyper knows it but does not expose it, and this crate inspects the raw
//! bytes of the next head.

/// The most digits accepted in a chunk size: 15 hexadecimal digits are enough for any length.
const MAX_SIZE_DIGITS: u8 = 15;

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
        remaining: u64,
    },
    DataCr,
    DataLf,
    /// `empty`: the line has no characters so far.
    Trailer {
        empty: bool,
    },
    TrailerEnd {
        empty: bool,
    },
    Done,
    Invalid,
}

/// Tracks the framing of a chunked body (RFC 9112, section 7.1) that arrives in pieces of any size.
#[derive(Clone, Copy, Debug)]
pub struct ChunkedBodyTracker(State);

impl Default for ChunkedBodyTracker {
    fn default() -> Self {
        Self(State::Size { size: 0, digits: 0 })
    }
}

impl ChunkedBodyTracker {
    /// Consumes the bytes that belong to the body and returns their number: all of `bytes`, unless the body
    /// ends within them.
    pub fn consume(&mut self, bytes: &[u8]) -> usize {
        let mut consumed = 0;
        while consumed < bytes.len() && self.0 != State::Done {
            if let State::Data { remaining } = self.0 {
                let taken = remaining.min((bytes.len() - consumed) as u64);
                consumed += taken as usize;
                self.0 = if taken == remaining {
                    State::DataCr
                } else {
                    State::Data { remaining: remaining - taken }
                };
            } else {
                self.0 = Self::next(self.0, bytes[consumed]);
                consumed += 1;
            }
        }
        consumed
    }

    fn next(state: State, byte: u8) -> State {
        match (state, byte) {
            (State::Size { size, digits }, _) if byte.is_ascii_hexdigit() && digits < MAX_SIZE_DIGITS => {
                let digit = char::from(byte).to_digit(16).map_or(0, u64::from);
                State::Size { size: size * 16 + digit, digits: digits + 1 }
            }
            (State::Size { size, digits: 1.. }, b'\r') => State::SizeEnd { size },
            (State::Size { size, digits: 1.. }, b';' | b' ' | b'\t') => State::Extension { size },
            (State::Extension { size }, b'\r') => State::SizeEnd { size },
            (State::Extension { size }, _) if byte != b'\n' => State::Extension { size },
            (State::SizeEnd { size: 0 }, b'\n') => State::Trailer { empty: true },
            (State::SizeEnd { size }, b'\n') => State::Data { remaining: size },
            (State::DataCr, b'\r') => State::DataLf,
            (State::DataLf, b'\n') => State::Size { size: 0, digits: 0 },
            (State::Trailer { empty }, b'\r') => State::TrailerEnd { empty },
            (State::Trailer { .. }, _) if byte != b'\n' => State::Trailer { empty: false },
            (State::TrailerEnd { empty: true }, b'\n') => State::Done,
            (State::TrailerEnd { empty: false }, b'\n') => State::Trailer { empty: true },
            _ => State::Invalid,
        }
    }

    /// Returns how many bytes are still to come at least.
    pub fn min_remaining(&self) -> u64 {
        match self.0 {
            State::Done => 0,
            State::Data { remaining } => remaining,
            _ => 1,
        }
    }

    /// Returns whether the whole body has been received.
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

        /// The tracker consumes exactly the encoded body, whatever the chunk sizes and however the bytes are
        /// split on arrival.
        #[test]
        fn the_end_of_a_body_is_found(
            body in prop::collection::vec(any::<u8>(), 0..400),
            size in 1_usize..90,
            piece in 1_usize..40,
            extension in prop::sample::select(vec!["", ";a=b", " ", ";q=\"x y\""]),
            trailers in prop::sample::select(vec![&[][..], &["x-a: 1"], &["x-a: 1", "x-b: 2"]]),
            next_request in prop::collection::vec(any::<u8>(), 0..50),
        ) {
            let encoded = encode(&body, size, extension, trailers);
            let all = [&encoded[..], &next_request].concat();
            let (mut tracker, mut consumed) = (ChunkedBodyTracker::default(), 0);
            for piece in all.chunks(piece) {
                prop_assert_eq!(tracker.is_done(), consumed == encoded.len());
                consumed += tracker.consume(piece);
            }
            prop_assert_eq!(consumed, encoded.len());
            prop_assert!(tracker.is_done());
        }

        /// No input makes the tracker panic or consume more bytes than it was given.
        #[test]
        fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
            let mut tracker = ChunkedBodyTracker::default();
            prop_assert!(tracker.consume(&bytes) <= bytes.len());
        }
    }

    #[test]
    fn ambiguous_framing_is_never_complete() {
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
            let mut tracker = ChunkedBodyTracker::default();
            tracker.consume(text);
            assert!(!tracker.is_done(), "{}", String::from_utf8_lossy(text));
        }
    }
}
