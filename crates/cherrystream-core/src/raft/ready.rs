//! State restored at the start of a replica, and the actions that it requests of its caller.

use cherrystream_schema::messages::{Entry, HardState, RaftMessage, Snapshot};

/// State restored from the disk of a replica.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// Latest hard state.
    pub hard: Option<HardState>,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// Actions that the caller must perform, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ready {
    /// Messages that may be sent before anything is durable.
    pub immediate_messages: Vec<RaftMessage>,
    /// Snapshot from the leader that replaces the whole log; to be made durable.
    pub installed: Option<Snapshot>,
    /// Entries to make durable; the first may overwrite the tail of the log.
    pub entries: Vec<Entry>,
    /// Hard state to make durable, after the entries above.
    pub hard: Option<HardState>,
    /// Messages to send once all of the above is durable.
    pub messages_after_save: Vec<RaftMessage>,
    /// Entries to apply.
    pub committed: Vec<Entry>,
    /// Reads that may be served once their index is applied.
    pub reads: Vec<ReadyRead>,
    /// Replicas that need a snapshot of the current state.
    pub need_snapshot: Vec<u64>,
}

impl Ready {
    /// Returns whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        *self == Ready::default()
    }
}

/// A linearizable read that a quorum has confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadyRead {
    /// Identifier passed to [`super::Raft::read`].
    pub ticket: u64,
    /// Index that must be applied before the read is served.
    pub index: u64,
}

/// Error of a proposal or read on a replica that cannot accept it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotLeader {
    /// The leader, if known.
    pub leader: Option<u64>,
}

/// Position of an entry in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// Term of the entry.
    pub term: u64,
    /// Index of the entry.
    pub index: u64,
}
