//! Download of an encoded update in chunks.

use super::encoded::MAX_UPDATE_BYTES;
use super::{DecodeError, EncodedUpdate};
use crate::units::Timestamp;
use cherrystream_schema::messages::StateId;
use snafu::{ResultExt, Snafu, ensure};
use std::time::Duration;

/// Time without progress after which control is asked for another offer, because the source of this
/// one may be gone. Received bytes are kept for the case that the same update is offered again.
/// Chunks are sized to take a fifth of it at most.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Share of the time limit of a change during which a download pauses to leave bandwidth to
/// requests. The rest is for control and for daemons that fetch from this one.
const PAUSING_SHARE: f64 = 0.25;

/// Reason why a chunk is invalid.
#[derive(Debug, Snafu)]
pub enum ChunkError {
    /// The chunk exceeds the size of the update.
    #[snafu(display("the chunk exceeds the size of the update"))]
    TooLong,
    /// The complete data is not the offered update.
    #[snafu(display("{source}"))]
    Whole {
        /// Error of the encoded update.
        source: DecodeError,
    },
}

/// Result of a valid chunk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChunkOutcome {
    /// More chunks are expected.
    Partial,
    /// The chunk was not the next one and was ignored.
    Ignored,
    /// The update is complete.
    Whole(EncodedUpdate),
}

/// Download of an update. Memory grows with the received bytes, not with the announced size.
#[derive(Debug)]
pub struct Download {
    id: StateId,
    bytes: Vec<u8>,
    progressed: Timestamp,
    /// Time until which the download pauses between chunks.
    pauses_until: Timestamp,
}

impl Download {
    /// Starts the download of an update that has to be applied within a time. Returns `None` if the
    /// update is empty or exceeds the size limit.
    pub fn new(now: Timestamp, id: StateId, within: Duration) -> Option<Download> {
        let pauses_until = now + within.mul_f64(PAUSING_SHARE);
        let download = Download { id, bytes: Vec::new(), progressed: now, pauses_until };
        (id.bytes > 0 && id.bytes <= MAX_UPDATE_BYTES).then_some(download)
    }

    /// Returns the identifier of the update.
    pub fn id(&self) -> StateId {
        self.id
    }

    /// Returns the number of received bytes, which is the offset of the next chunk.
    pub fn received(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// Handles a chunk.
    ///
    /// # Errors
    ///
    /// Fails if the chunk exceeds the size of the update or the complete data does not match its
    /// checksum. The download must then be discarded.
    pub fn take(
        &mut self,
        now: Timestamp,
        offset: u64,
        data: &[u8],
    ) -> Result<ChunkOutcome, ChunkError> {
        if offset != self.received() || data.is_empty() {
            return Ok(ChunkOutcome::Ignored);
        }
        ensure!(self.received() + data.len() as u64 <= self.id.bytes, TooLongSnafu);
        self.bytes.extend_from_slice(data);
        self.progressed = now;
        if self.received() < self.id.bytes {
            return Ok(ChunkOutcome::Partial);
        }
        let bytes = std::mem::take(&mut self.bytes);
        EncodedUpdate::from_bytes(self.id, bytes).map(ChunkOutcome::Whole).context(WholeSnafu)
    }

    /// Returns whether the download has made no progress for so long that it needs another offer.
    pub fn is_stalled(&self, now: Timestamp) -> bool {
        now.since(self.progressed) >= STALL_TIMEOUT
    }

    /// Records that the same update was offered again.
    pub fn renew(&mut self, now: Timestamp) {
        self.progressed = now;
    }

    /// Returns the number of missing bytes.
    pub fn left(&self) -> u64 {
        self.id.bytes - self.received()
    }

    /// Returns how long to pause after a chunk of `bytes` that took `took`: as long as the chunk
    /// took, if the download can still complete in time, else zero.
    pub fn rest(&self, now: Timestamp, bytes: usize, took: Duration) -> Duration {
        let left = self.left() as f64 / bytes.max(1) as f64;
        let done = now + took.mul_f64(2.0 * left);
        if done <= self.pauses_until { took } else { Duration::ZERO }
    }
}
