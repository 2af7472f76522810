//! Committed entries that are not yet applied.
//!
//! A replica that starts or is elected may have hundreds of entries to apply. They are applied in
//! slices, so that the state is not locked for long. In a sequence of many whole route tables, only
//! the one with the highest number is unpacked, because it supersedes the others. A patch ends such
//! a sequence, because its effect depends on the table that it applies to.

use cherrystream_core::raft::Position;
use cherrystream_core::state::{Applied, ControlState, Payload};
use cherrystream_schema::messages::{Command, Entry};
use std::collections::VecDeque;

/// Number of pending route tables from which superseded ones are skipped. Daemons that hold a
/// skipped table must fetch the whole state, so short backlogs are applied in full.
const MIN_TABLES_TO_SKIP: usize = 8;

#[derive(Debug)]
struct PendingEntry {
    entry: Entry,
    superseded: bool,
    unpacked: Option<Payload>,
}

/// Pending entries, in log order.
#[derive(Debug, Default)]
pub struct Backlog {
    entries: VecDeque<PendingEntry>,
    /// Outcomes since a table was skipped. They are reported once the superseding table is applied,
    /// so that a read after the report does not return an older table.
    unreported: Vec<(Position, Applied)>,
}

impl Backlog {
    /// Adds committed entries.
    pub fn extend(&mut self, committed: Vec<Entry>) {
        let pending = |entry| PendingEntry { entry, superseded: false, unpacked: None };
        self.entries.extend(committed.into_iter().map(pending));
        let tables = self.entries.iter().filter_map(|w| table_number(&w.entry)).count();
        if tables >= MIN_TABLES_TO_SKIP {
            self.mark_superseded_tables();
        }
    }

    /// Marks the whole tables that a later one of the same sequence supersedes.
    fn mark_superseded_tables(&mut self) {
        let mut highest = None;
        for pending in self.entries.iter_mut().rev() {
            if let Command::PatchRoutes { .. } = pending.entry.command {
                highest = None;
            }
            let Some(number) = table_number(&pending.entry) else { continue };
            pending.superseded = highest.is_some_and(|highest| number < highest);
            highest = highest.max(Some(number));
        }
    }

    /// Discards all entries, which a snapshot of the leader covers.
    pub fn clear(&mut self) {
        *self = Backlog::default();
    }

    /// Returns whether no entry is pending.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Unpacks the first entry. This is most of the work for a route table, and needs no lock on
    /// the state.
    pub fn unpack_first(&mut self) {
        if let Some(first) = self.entries.front_mut().filter(|first| !first.superseded) {
            first.unpacked = Some(Payload::unpack(&first.entry.command));
        }
    }

    /// Applies at least one entry, then more until none is left or `is_over` returns true. Calls
    /// `on_applied` for each entry in log order, once the state includes it.
    pub fn apply(
        &mut self,
        state: &mut ControlState,
        mut is_over: impl FnMut() -> bool,
        on_applied: impl FnMut(Position, Applied),
    ) {
        self.apply_while(state, |_| !is_over(), on_applied);
    }

    /// Applies entries as [`Backlog::apply`] does, but stops before a route table that is not
    /// unpacked, because the caller holds the lock on the state.
    pub fn apply_unpacked(
        &mut self,
        state: &mut ControlState,
        mut is_over: impl FnMut() -> bool,
        on_applied: impl FnMut(Position, Applied),
    ) {
        self.apply_while(state, |next| !is_over() && !next.is_packed(), on_applied);
    }

    /// Applies the first entry, and more while `continues` returns true for the next one.
    fn apply_while(
        &mut self,
        state: &mut ControlState,
        mut continues: impl FnMut(&PendingEntry) -> bool,
        mut on_applied: impl FnMut(Position, Applied),
    ) {
        while let Some(pending) = self.entries.pop_front() {
            let position = Position { term: pending.entry.term, index: pending.entry.index };
            self.unreported.push((position, pending.apply(state)));
            if !state.has_skipped_routes() {
                self.unreported
                    .drain(..)
                    .for_each(|(position, applied)| on_applied(position, applied));
            }
            if !self.entries.front().is_some_and(&mut continues) {
                return;
            }
        }
    }
}

impl PendingEntry {
    fn apply(self, state: &mut ControlState) -> Applied {
        let PendingEntry { entry, superseded, unpacked } = self;
        match table_number(&entry).filter(|_| superseded) {
            Some(number) => state.skip_routes(number),
            None => {
                let unpacked = unpacked.unwrap_or_else(|| Payload::unpack(&entry.command));
                state.apply_unpacked(&entry, unpacked)
            }
        }
    }

    /// Returns whether the entry contains a route table that is not unpacked yet.
    fn is_packed(&self) -> bool {
        let contains_table = Payload::is_packed(&self.entry.command);
        contains_table && !self.superseded && self.unpacked.is_none()
    }
}

/// Returns the number of the route table in an entry. Returns `None` for other entries and for a
/// table without a number.
fn table_number(entry: &Entry) -> Option<u64> {
    match entry.command {
        Command::ReplaceRoutes { number, .. } => Some(number).filter(|number| *number > 0),
        _ => None,
    }
}
