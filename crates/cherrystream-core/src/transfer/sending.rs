//! Sending end of a transfer.

use super::STALL_TIMEOUT;
use crate::units::Timestamp;
use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use cherrystream_schema::messages::Piece;

/// A transfer to one replica.
#[derive(Debug)]
pub struct Sending {
    from: u64,
    transfer: u64,
    content: Vec<u8>,
    checksum: u32,
    /// Bytes that the receiver acknowledged last.
    held: usize,
    /// Largest value of `held` so far.
    max_held: usize,
    /// Time at which `max_held` last increased.
    progressed: Timestamp,
}

impl Sending {
    /// Starts a transfer. Its identifier must be unique among the transfers of the sender.
    pub fn new(from: u64, transfer: u64, content: Vec<u8>, now: Timestamp) -> Sending {
        let checksum = crc32fast::hash(&content);
        Sending { from, transfer, content, checksum, held: 0, max_held: 0, progressed: now }
    }

    /// Returns the next piece, of at most `bytes`, for a term.
    pub fn piece(&self, bytes: usize, term: u64) -> Piece {
        let end = (self.held + bytes).min(self.content.len());
        Piece {
            from: self.from,
            transfer: self.transfer,
            term,
            total: self.content.len() as u64,
            checksum: self.checksum,
            offset: self.held as u64,
            data: STANDARD_NO_PAD.encode(&self.content[self.held..end]),
        }
    }

    /// Records the number of bytes that the receiver holds. It may be less than before.
    pub fn on_reply(&mut self, now: Timestamp, held: u64) {
        self.held = usize::try_from(held).unwrap_or(0).min(self.content.len());
        if self.held > self.max_held {
            self.max_held = self.held;
            self.progressed = now;
        }
    }

    /// Returns whether the receiver holds the complete content.
    pub fn is_done(&self) -> bool {
        self.held == self.content.len()
    }

    /// Returns whether the transfer has made no progress for too long.
    pub fn is_stalled(&self, now: Timestamp) -> bool {
        now.since(self.progressed) >= STALL_TIMEOUT
    }

    /// Returns the share of the content that is not acknowledged.
    pub fn share_left(&self) -> f64 {
        1.0 - self.held as f64 / self.content.len().max(1) as f64
    }

    /// Returns the size of the content in bytes.
    pub fn total(&self) -> usize {
        self.content.len()
    }
}
