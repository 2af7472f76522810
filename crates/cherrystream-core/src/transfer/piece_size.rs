//! Adaptive size of the pieces of transfers.

use std::time::Duration;

/// Size of the first piece in bytes.
const INITIAL_BYTES: usize = 16 * 1024;
/// Smallest size of a piece in bytes.
const MIN_BYTES: usize = 4 * 1024;
/// Largest size of a piece in bytes.
const MAX_BYTES: usize = 256 * 1024;
/// A piece that took less time doubles the size.
const FAST_REPLY: Duration = Duration::from_millis(60);
/// A piece that took more time halves the size, because it delays heartbeats.
const SLOW_REPLY: Duration = Duration::from_millis(200);

/// Size of pieces, adapted to the time that recent ones took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PieceSize {
    bytes: usize,
}

impl Default for PieceSize {
    fn default() -> Self {
        PieceSize { bytes: INITIAL_BYTES }
    }
}

impl PieceSize {
    /// Returns the size of the next piece in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Records the time until a piece was acknowledged.
    pub fn on_reply(&mut self, took: Duration) {
        if took < FAST_REPLY {
            self.bytes = (self.bytes * 2).min(MAX_BYTES);
        } else if took > SLOW_REPLY {
            self.reduce();
        }
    }

    /// Records that a piece was not acknowledged.
    pub fn on_failure(&mut self) {
        self.reduce();
    }

    fn reduce(&mut self) {
        self.bytes = (self.bytes / 2).max(MIN_BYTES);
    }
}
