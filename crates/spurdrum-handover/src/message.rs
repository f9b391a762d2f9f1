//! The messages between the outgoing and the incoming process, and their encoding as frames.
//!
//! The serialized names of fields and variants are part of the format: a process of one version hands over to
//! another version.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The version of the message format. A process hands over only to one with the same version.
pub const FORMAT: u32 = 1;
/// The maximum length of a frame's payload, in bytes.
pub const MAX_FRAME_PAYLOAD: usize = 1 << 20;

const MAGIC: [u8; 4] = *b"SPHO";
/// The length of a frame's header: magic bytes, payload length (4 bytes), checksum (8 bytes).
const HEADER_LEN: usize = 16;

/// Identifies the node that a process serves, and what the process supports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The version of the message format.
    pub format: u32,
    /// The node's name.
    pub name: String,
    /// The address that the node listens on for clients.
    pub listen: String,
    /// Whether this process accepts [`Message::Request`]. Older versions do not send this field and do not
    /// accept it.
    #[serde(default)]
    pub accepts_requests: bool,
    /// Whether this process accepts [`Message::MemoryShare`]. Older versions do not send this field and do
    /// not accept it.
    #[serde(default)]
    pub accepts_memory_shares: bool,
    /// Whether this process accepts [`Message::Begun`]. Older versions do not send this field and do not
    /// accept it.
    #[serde(default)]
    pub accepts_begun_requests: bool,
}

impl Identity {
    /// Returns whether both processes serve the same node.
    #[must_use]
    pub fn is_same_node(&self, other: &Self) -> bool {
        self.name == other.name && self.listen == other.listen
    }
}

/// The part of the node's budgets that one process keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetShare {
    /// File descriptors.
    pub descriptors: usize,
    /// Bytes of the memory limit.
    pub memory: u64,
}

/// A message between the outgoing and the incoming process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The incoming process requests a takeover.
    Hello(Identity),
    /// The outgoing process grants the takeover. Carries the listening socket.
    Offer {
        /// The number of file descriptors of the node's budget that the outgoing process keeps.
        share: usize,
        /// The part of the node's memory limit that the outgoing process keeps, in bytes. Older versions do
        /// not send this field.
        #[serde(default)]
        memory: Option<u64>,
        /// Whether the outgoing process accepts [`Message::Begun`]. Older versions do not send this field.
        #[serde(default)]
        accepts_begun_requests: bool,
        /// The state that the outgoing process hands over, in the program's own format.
        state: serde_json::Value,
    },
    /// The outgoing process refuses the takeover, for this reason; the incoming process starts without one.
    Decline(String),
    /// The incoming process now accepts connections from the listening socket.
    Confirm,
    /// The outgoing process now keeps this many file descriptors of the node's budget.
    Share(usize),
    /// The outgoing process now keeps this part of the node's memory limit, in bytes.
    MemoryShare(u64),
    /// Attempts of these requests have begun in the process that sends this, either of the two. They are
    /// hashes of the clients' identifiers.
    Begun(Vec<u64>),
    /// Carries an idle client connection.
    Connection,
    /// Carries a client connection from which a request has been read that has not been sent to any server.
    Request {
        /// The bytes that were read from the connection; they precede those still in the socket's receive
        /// buffer.
        read: Vec<u8>,
    },
}

impl Message {
    /// Returns whether the message carries a file descriptor.
    #[must_use]
    pub fn has_descriptor(&self) -> bool {
        matches!(self, Self::Offer { .. } | Self::Connection | Self::Request { .. })
    }

    /// Encodes the message as a frame: magic bytes, the payload's length, its checksum, the payload (JSON).
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let payload = serde_json::to_vec(self).unwrap_or_default();
        let mut bytes = Vec::with_capacity(HEADER_LEN + payload.len());
        bytes.extend_from_slice(&MAGIC);
        bytes.extend_from_slice(&(payload.len() as u32).to_be_bytes());
        bytes.extend_from_slice(&checksum(&payload).to_be_bytes());
        bytes.extend_from_slice(&payload);
        bytes
    }
}

/// Returns the FNV-1a hash of the payload. It detects accidental corruption, not tampering.
fn checksum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}

/// The reason why received bytes are not a valid frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The bytes do not start with the magic bytes.
    Magic,
    /// The payload is longer than [`MAX_FRAME_PAYLOAD`].
    Length,
    /// The checksum does not match.
    Checksum,
    /// The payload is not a message of this version.
    Payload,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Magic => "frame does not start with the magic bytes",
            Self::Length => "frame payload exceeds the maximum length",
            Self::Checksum => "frame checksum does not match",
            Self::Payload => "frame payload is not a known message",
        })
    }
}

impl std::error::Error for FrameError {}

/// A decoder that assembles messages from bytes that arrive in arbitrary pieces.
#[derive(Debug, Default)]
pub struct Frames {
    bytes: Vec<u8>,
}

impl Frames {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Removes and returns the next message if it has arrived completely.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid frame; no further message can be decoded then.
    pub fn take(&mut self) -> Result<Option<Message>, FrameError> {
        let available = self.bytes.len().min(MAGIC.len());
        if self.bytes[..available] != MAGIC[..available] {
            return Err(FrameError::Magic);
        }
        let Some((header, rest)) = self.bytes.split_at_checked(HEADER_LEN) else { return Ok(None) };
        let big_endian =
            |range: std::ops::Range<usize>| header[range].iter().fold(0, |n, b| n << 8 | u64::from(*b));
        let length = big_endian(4..8) as usize;
        if length > MAX_FRAME_PAYLOAD {
            return Err(FrameError::Length);
        }
        let Some(payload) = rest.get(..length) else { return Ok(None) };
        if checksum(payload) != big_endian(8..16) {
            return Err(FrameError::Checksum);
        }
        let message = serde_json::from_slice(payload).map_err(|_| FrameError::Payload)?;
        self.bytes.drain(..HEADER_LEN + length);
        Ok(Some(message))
    }
}
