//! Receiving end of transfers.

use super::PARTIAL_TTL;
use crate::units::Timestamp;
use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use cherrystream_schema::messages::Piece;
use snafu::Snafu;
use std::collections::BTreeMap;

/// Reason why a piece is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum PieceError {
    /// The transfer exceeds the size limit.
    #[snafu(display("the transfer exceeds the size limit of a message"))]
    TooLong,
    /// The data cannot be decoded or exceeds the size of the transfer.
    #[snafu(display("the piece cannot be decoded or exceeds the size of its transfer"))]
    Unreadable,
    /// The complete data does not match its checksum.
    #[snafu(display("the transfer does not match its checksum"))]
    Checksum,
}

/// Result of a valid piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PieceOutcome {
    /// The transfer is not complete, or was handed out before. Holds the number of bytes received.
    Held(u64),
    /// The transfer is complete. Its content is handed out once.
    Whole(Vec<u8>),
}

/// A transfer that is being received.
#[derive(Debug)]
struct Partial {
    transfer: u64,
    total: u64,
    checksum: u32,
    bytes: Vec<u8>,
    /// Whether the complete content was handed out.
    handed_out: bool,
    progressed: Timestamp,
}

/// Transfers that are being received, at most one from each sender.
#[derive(Debug)]
pub struct Receiving {
    max_bytes: u64,
    partials: BTreeMap<u64, Partial>,
}

impl Receiving {
    /// Creates a receiver of transfers of up to `max_bytes`.
    pub fn new(max_bytes: u64) -> Receiving {
        Receiving { max_bytes, partials: BTreeMap::new() }
    }

    /// Handles a piece. Memory grows with the received bytes, not with the announced size.
    ///
    /// # Errors
    ///
    /// Fails if the piece is invalid, and discards its transfer.
    pub fn take(&mut self, now: Timestamp, piece: &Piece) -> Result<PieceOutcome, PieceError> {
        let taken = self.try_take(now, piece);
        if taken.is_err() {
            self.partials.remove(&piece.from);
        }
        taken
    }

    fn try_take(&mut self, now: Timestamp, piece: &Piece) -> Result<PieceOutcome, PieceError> {
        if piece.total > self.max_bytes {
            return Err(PieceError::TooLong);
        }
        let data = STANDARD_NO_PAD.decode(&piece.data).map_err(|_| PieceError::Unreadable)?;
        let known = self.partials.get(&piece.from).is_some_and(|p| p.is_of(piece));
        if !known {
            self.partials.insert(piece.from, Partial::new(now, piece));
        }
        let Some(partial) = self.partials.get_mut(&piece.from) else {
            return Err(PieceError::Unreadable);
        };
        partial.take(now, piece.offset, &data)
    }

    /// Discards the transfer of a sender, which then starts again.
    pub fn discard(&mut self, from: u64) {
        self.partials.remove(&from);
    }

    /// Discards transfers without progress.
    pub fn discard_stalled(&mut self, now: Timestamp) {
        self.partials.retain(|_, p| now.since(p.progressed) < PARTIAL_TTL);
    }

    /// Returns the allocated memory for content in bytes.
    pub fn bytes(&self) -> usize {
        self.partials.values().map(|p| p.bytes.capacity()).sum()
    }
}

impl Partial {
    fn new(now: Timestamp, piece: &Piece) -> Partial {
        Partial {
            transfer: piece.transfer,
            total: piece.total,
            checksum: piece.checksum,
            bytes: Vec::new(),
            handed_out: false,
            progressed: now,
        }
    }

    fn is_of(&self, piece: &Piece) -> bool {
        (self.transfer, self.total, self.checksum) == (piece.transfer, piece.total, piece.checksum)
    }

    fn take(
        &mut self,
        now: Timestamp,
        offset: u64,
        data: &[u8],
    ) -> Result<PieceOutcome, PieceError> {
        if self.handed_out {
            return Ok(PieceOutcome::Held(self.total));
        }
        let held = self.bytes.len() as u64;
        // The piece was sent twice, or the transfer was discarded here.
        if offset != held {
            return Ok(PieceOutcome::Held(held));
        }
        if held + data.len() as u64 > self.total {
            return Err(PieceError::Unreadable);
        }
        if !data.is_empty() {
            self.progressed = now;
        }
        self.bytes.extend_from_slice(data);
        if (self.bytes.len() as u64) < self.total {
            return Ok(PieceOutcome::Held(self.bytes.len() as u64));
        }
        if crc32fast::hash(&self.bytes) != self.checksum {
            return Err(PieceError::Checksum);
        }
        self.handed_out = true;
        Ok(PieceOutcome::Whole(std::mem::take(&mut self.bytes)))
    }
}
