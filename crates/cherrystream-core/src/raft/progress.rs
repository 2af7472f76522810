//! What a leader knows of another replica, and how much it sends there at once.

use super::Log;
use crate::units::Timestamp;
use cherrystream_schema::messages::{Command, Entry, RaftBody, RaftMessage};
use std::time::Duration;

/// Entries in one message at most.
const ENTRIES_IN_MESSAGE: u64 = 512;
/// Entries on their way to a replica at most.
pub(super) const ENTRIES_ON_WAY: u64 = 8_192;
/// Bytes of entries in one message at most, by estimate; one entry always fits.
const MESSAGE_BYTES: usize = 256 * 1024;
/// Bytes of an entry without a route table, by estimate.
const ENTRY_BYTES: usize = 400;
/// Time without progress after which entries on their way to a replica are sent again.
pub(super) const RESEND_AFTER: Duration = Duration::from_millis(250);

/// What the leader knows of another replica.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Disk that it last spoke with.
    pub(super) disk: Option<String>,
    /// Last entry known to be on its disk.
    pub(super) match_index: u64,
    /// First entry that was not sent yet.
    pub(super) next: u64,
    /// Last round of heartbeats that it acknowledged.
    pub(super) acked_round: u64,
    /// Whether it is known where the logs match.
    pub(super) known: bool,
    /// When the replica last got further, or was last sent entries anew.
    pub(super) progressed: Timestamp,
    /// When it was last heard.
    pub(super) heard: Timestamp,
    /// A snapshot is on its way until this time.
    pub(super) installing_until: Option<Timestamp>,
}

impl Progress {
    /// Returns whether entries that are on their way seem to be lost.
    pub(super) fn is_stuck(&self, now: Timestamp) -> bool {
        let on_way = self.next > self.match_index + 1;
        self.known && on_way && now.since(self.progressed) >= RESEND_AFTER
    }
}

/// Returns the last entry of a message that begins with `first`.
pub(super) fn end_of_message(log: &Log, first: u64, room: u64) -> u64 {
    let most = room.min(first + ENTRIES_IN_MESSAGE - 1);
    let mut bytes = 0;
    for index in first..=most {
        bytes += log.get(index).map_or(0, entry_bytes);
        if bytes > MESSAGE_BYTES && index > first {
            return index - 1;
        }
    }
    most
}

/// Estimates the bytes of entries or of a snapshot in a message; those of others are few.
pub fn message_bytes(msg: &RaftMessage) -> usize {
    match &msg.body {
        RaftBody::Append { entries, .. } => entries.iter().map(entry_bytes).sum(),
        RaftBody::Install { snapshot, .. } => snapshot.state.len(),
        _ => 0,
    }
}

/// Estimates the size of an entry in a message.
fn entry_bytes(entry: &Entry) -> usize {
    match &entry.command {
        Command::ReplaceRoutes { packed, .. } | Command::PatchRoutes { packed, .. } => {
            ENTRY_BYTES + packed.len()
        }
        Command::ShareAll { changes } => ENTRY_BYTES * changes.len().max(1),
        _ => ENTRY_BYTES,
    }
}
