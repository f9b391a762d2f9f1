//! What the two processes say to one another, and how that stands in bytes.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The format of these messages: processes of different formats do not hand over.
pub const FORMAT: u32 = 1;
/// A frame's payload holds so much at most.
pub const FRAME_MOST: usize = 1 << 20;

const MAGIC: [u8; 4] = *b"SPHO";
const HEAD: usize = 16;

/// Which node a process is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The messages' format.
    pub format: u32,
    /// The node's name.
    pub name: String,
    /// Where clients connect.
    pub listen: String,
}

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The incoming process's first word.
    Hello(Identity),
    /// The outgoing process's answer; the listening socket comes with it.
    Offer {
        /// Descriptors that the outgoing process keeps to itself.
        share: usize,
        /// What it knows, as the program writes it.
        state: serde_json::Value,
    },
    /// The outgoing process's other answer: the incoming process starts alone.
    Decline(String),
    /// The incoming process accepts from the listening socket from now on.
    Confirm,
    /// The outgoing process keeps so many descriptors to itself from now on.
    Share(usize),
    /// A client's connection that rests between two requests comes with it.
    Connection,
}

impl Message {
    /// Whether a descriptor comes with it.
    #[must_use]
    pub fn has_descriptor(&self) -> bool {
        matches!(self, Self::Offer { .. } | Self::Connection)
    }

    /// Its bytes: a magic word, the payload's length, its checksum, the payload.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let payload = serde_json::to_vec(self).unwrap_or_default();
        let mut bytes = Vec::with_capacity(HEAD + payload.len());
        bytes.extend_from_slice(&MAGIC);
        bytes.extend_from_slice(&(payload.len() as u32).to_be_bytes());
        bytes.extend_from_slice(&checksum(&payload).to_be_bytes());
        bytes.extend_from_slice(&payload);
        bytes
    }
}

/// FNV-1a: a cut or a mix-up is to show, no malice.
fn checksum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}

/// What came is no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsound {
    /// It does not begin as one.
    Magic,
    /// It is longer than any may be.
    Length,
    /// Its checksum does not fit.
    Checksum,
    /// Its payload says nothing that is known.
    Payload,
}

impl fmt::Display for Unsound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Magic => "what came is no message",
            Self::Length => "a message is too long",
            Self::Checksum => "a message is damaged",
            Self::Payload => "a message is not known",
        })
    }
}

impl std::error::Error for Unsound {}

/// Puts messages together from bytes in any pieces.
#[derive(Debug, Default)]
pub struct Frames {
    bytes: Vec<u8>,
}

impl Frames {
    /// More has come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The next message, where all of it has come.
    ///
    /// # Errors
    ///
    /// What came is no message; nothing more is to be had from here.
    pub fn take(&mut self) -> Result<Option<Message>, Unsound> {
        let known = self.bytes.len().min(MAGIC.len());
        if self.bytes[..known] != MAGIC[..known] {
            return Err(Unsound::Magic);
        }
        let Some((head, rest)) = self.bytes.split_at_checked(HEAD) else { return Ok(None) };
        let number = |at: std::ops::Range<usize>| head[at].iter().fold(0, |n, b| n << 8 | u64::from(*b));
        let length = number(4..8) as usize;
        if length > FRAME_MOST {
            return Err(Unsound::Length);
        }
        let Some(payload) = rest.get(..length) else { return Ok(None) };
        if checksum(payload) != number(8..16) {
            return Err(Unsound::Checksum);
        }
        let message = serde_json::from_slice(payload).map_err(|_| Unsound::Payload)?;
        self.bytes.drain(..HEAD + length);
        Ok(Some(message))
    }
}
