//! The messages between the two processes and their encoding.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The version of the message format; processes with different versions do not hand over.
pub const FORMAT: u32 = 1;
/// The longest payload of a frame, in bytes.
pub const MAX_FRAME_PAYLOAD: usize = 1 << 20;

const MAGIC: [u8; 4] = *b"SPHO";
const HEAD: usize = 16;

/// Identifies the node that a process serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The version of the message format.
    pub format: u32,
    /// The node's name.
    pub name: String,
    /// The address that clients connect to.
    pub listen: String,
    /// Whether this process accepts [`Message::Request`]. Older processes do not say so.
    #[serde(default)]
    pub accepts_requests: bool,
}

impl Identity {
    /// Whether both processes serve the same node.
    #[must_use]
    pub fn is_same_node(&self, other: &Self) -> bool {
        self.name == other.name && self.listen == other.listen
    }
}

/// A message between the two processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The incoming process requests a takeover.
    Hello(Identity),
    /// The outgoing process grants it; carries the listening socket.
    Offer {
        /// The descriptors that the outgoing process keeps.
        share: usize,
        /// The state that it hands over, in the program's own format.
        state: serde_json::Value,
    },
    /// The outgoing process refuses it, for this reason; the incoming process starts alone.
    Decline(String),
    /// The incoming process now accepts from the listening socket.
    Confirm,
    /// The outgoing process now keeps this many descriptors.
    Share(usize),
    /// Carries a client's idle connection.
    Connection,
    /// Carries a client's connection from which a request has been read that no server has been sent.
    Request {
        /// The bytes to serve before those that the socket still holds.
        read: Vec<u8>,
    },
}

impl Message {
    /// Whether the message carries a descriptor.
    #[must_use]
    pub fn has_descriptor(&self) -> bool {
        matches!(self, Self::Offer { .. } | Self::Connection | Self::Request { .. })
    }

    /// Encodes the message as a frame: magic bytes, the payload's length, its checksum, the payload.
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

/// FNV-1a: detects accidental damage, not tampering.
fn checksum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}

/// Why received bytes are not a valid frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// They do not start with the magic bytes.
    Magic,
    /// The payload is longer than [`MAX_FRAME_PAYLOAD`].
    Length,
    /// The checksum does not match.
    Checksum,
    /// The payload is not a known message.
    Payload,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Magic => "what came is no message",
            Self::Length => "a message is too long",
            Self::Checksum => "a message is damaged",
            Self::Payload => "a message is not known",
        })
    }
}

impl std::error::Error for FrameError {}

/// Assembles messages from bytes that arrive in arbitrary pieces.
#[derive(Debug, Default)]
pub struct Frames {
    bytes: Vec<u8>,
}

impl Frames {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Takes the next message if it is complete.
    ///
    /// # Errors
    ///
    /// The bytes are not a valid frame; no further message can be read.
    pub fn take(&mut self) -> Result<Option<Message>, FrameError> {
        let known = self.bytes.len().min(MAGIC.len());
        if self.bytes[..known] != MAGIC[..known] {
            return Err(FrameError::Magic);
        }
        let Some((head, rest)) = self.bytes.split_at_checked(HEAD) else { return Ok(None) };
        let number = |at: std::ops::Range<usize>| head[at].iter().fold(0, |n, b| n << 8 | u64::from(*b));
        let length = number(4..8) as usize;
        if length > MAX_FRAME_PAYLOAD {
            return Err(FrameError::Length);
        }
        let Some(payload) = rest.get(..length) else { return Ok(None) };
        if checksum(payload) != number(8..16) {
            return Err(FrameError::Checksum);
        }
        let message = serde_json::from_slice(payload).map_err(|_| FrameError::Payload)?;
        self.bytes.drain(..HEAD + length);
        Ok(Some(message))
    }
}
