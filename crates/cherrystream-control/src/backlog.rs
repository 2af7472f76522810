//! Committed entries that wait to be applied.
//!
//! A replica that starts, or that is elected, may have hundreds of entries to apply at once. They
//! are applied a slice at a time, so that heartbeats, votes and answers go out in between.

use cherrystream_core::raft::Position;
use cherrystream_core::state::{Applied, ControlState};
use cherrystream_schema::messages::Entry;
use std::collections::VecDeque;

/// The entries, in the order of the log.
#[derive(Debug, Default)]
pub struct Backlog {
    entries: VecDeque<Entry>,
}

impl Backlog {
    /// Adds entries that were committed.
    pub fn extend(&mut self, committed: Vec<Entry>) {
        self.entries.extend(committed);
    }

    /// Forgets all entries: a snapshot of the leader covers them.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Applies entries until none is left or `is_over` says so, one at least.
    pub fn apply(
        &mut self,
        state: &mut ControlState,
        mut is_over: impl FnMut() -> bool,
        mut on_applied: impl FnMut(Position, Applied),
    ) {
        while let Some(entry) = self.entries.pop_front() {
            let applied = state.apply(&entry);
            on_applied(Position { term: entry.term, index: entry.index }, applied);
            if is_over() {
                return;
            }
        }
    }
}
