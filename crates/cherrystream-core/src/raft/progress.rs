//! Replication progress of a replica, and limits on what is sent to it at once.

use super::Log;
use crate::units::Timestamp;
use cherrystream_schema::messages::{Command, Entry, RaftBody, RaftMessage};
use std::time::Duration;

/// Maximum number of entries in a message.
const MAX_ENTRIES_PER_MESSAGE: u64 = 512;
/// Maximum number of entries in flight to a replica.
pub(super) const MAX_ENTRIES_IN_FLIGHT: u64 = 8_192;
/// Maximum estimated bytes of entries in a message; a single entry may exceed it.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// Estimated bytes of an entry without a route table.
const ENTRY_OVERHEAD_BYTES: usize = 400;
/// Time without progress after which entries in flight are sent again.
pub(super) const RESEND_TIMEOUT: Duration = Duration::from_millis(250);

/// Replication progress of a replica as recorded by the leader.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Disk of its last acknowledgement.
    pub(super) disk: Option<String>,
    /// Last entry known to be on its disk.
    pub(super) match_index: u64,
    /// First entry that was not sent yet.
    pub(super) next: u64,
    /// Last heartbeat round that it acknowledged.
    pub(super) acked_round: u64,
    /// Whether the index up to which the logs match is known.
    pub(super) match_known: bool,
    /// When the replica last advanced, or entries were last sent again.
    pub(super) last_progress: Timestamp,
    /// When its last reply was received.
    pub(super) last_seen: Timestamp,
    /// When its last vote request was received, which shows that it runs though no message of this
    /// leader reaches it.
    pub(super) last_vote_request: Timestamp,
    /// Time until which a snapshot counts as in flight.
    pub(super) snapshot_deadline: Option<Timestamp>,
}

impl Progress {
    /// Returns the time since the replica last showed that it runs.
    pub(super) fn silence(&self, now: Timestamp) -> Duration {
        now.since(self.last_seen.max(self.last_vote_request))
    }

    /// Returns whether entries in flight seem to be lost.
    pub(super) fn has_stalled(&self, now: Timestamp) -> bool {
        let in_flight = self.next > self.match_index + 1;
        self.match_known && in_flight && now.since(self.last_progress) >= RESEND_TIMEOUT
    }
}

/// Returns the index of the last entry of a message that starts at `first`.
pub(super) fn end_of_message(log: &Log, first: u64, limit: u64) -> u64 {
    let most = limit.min(first + MAX_ENTRIES_PER_MESSAGE - 1);
    let mut bytes = 0;
    for index in first..=most {
        bytes += log.get(index).map_or(0, entry_bytes);
        if bytes > MAX_MESSAGE_BYTES && index > first {
            return index - 1;
        }
    }
    most
}

/// Estimates the bytes of entries or of a snapshot in a message; other messages count as empty.
pub fn message_bytes(msg: &RaftMessage) -> usize {
    match &msg.body {
        RaftBody::Append { entries, .. } => entries.iter().map(entry_bytes).sum(),
        RaftBody::Install { snapshot, .. } => snapshot.state.len(),
        _ => 0,
    }
}

/// Estimates the bytes of an entry in a message.
fn entry_bytes(entry: &Entry) -> usize {
    match &entry.command {
        Command::ReplaceRoutes { packed, .. } | Command::PatchRoutes { packed, .. } => {
            ENTRY_OVERHEAD_BYTES + packed.len()
        }
        Command::ShareAll { changes } => ENTRY_OVERHEAD_BYTES * changes.len().max(1),
        _ => ENTRY_OVERHEAD_BYTES,
    }
}
