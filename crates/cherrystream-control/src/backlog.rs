//! Committed entries that wait to be applied.
//!
//! A replica that starts, or that is elected, may have hundreds of entries to apply at once. They
//! are applied a slice at a time, so that heartbeats, votes and answers go out in between. Of many whole route
//! tables in a row only the one with the highest number is unpacked: it holds whatever the others say. A patch of
//! a table ends such a row, for whether it counts hangs on the table that holds when its turn comes.

use cherrystream_core::raft::Position;
use cherrystream_core::state::{Applied, ControlState, Payload};
use cherrystream_schema::messages::{Command, Entry};
use std::collections::VecDeque;

/// Route tables that wait from which on those that do not hold in the end are passed over. Daemons that
/// hold an earlier table get the whole state afterwards, so this is for long logs only.
const MANY_TABLES: usize = 8;

#[derive(Debug)]
struct Waiting {
    entry: Entry,
    passed_over: bool,
    unpacked: Option<Payload>,
}

/// The entries, in the order of the log.
#[derive(Debug, Default)]
pub struct Backlog {
    entries: VecDeque<Waiting>,
    /// What was applied since a table was passed over. It counts only once the one that holds is there: whoever reads
    /// after that must not find an older table.
    untold: Vec<(Position, Applied)>,
}

impl Backlog {
    /// Adds entries that were committed.
    pub fn extend(&mut self, committed: Vec<Entry>) {
        let waiting = |entry| Waiting { entry, passed_over: false, unpacked: None };
        self.entries.extend(committed.into_iter().map(waiting));
        let tables = self.entries.iter().filter_map(|w| table_number(&w.entry)).count();
        if tables >= MANY_TABLES {
            self.pass_over_tables();
        }
    }

    /// Marks the whole tables that a later one of the same row replaces.
    fn pass_over_tables(&mut self) {
        let mut highest = None;
        for waiting in self.entries.iter_mut().rev() {
            if let Command::PatchRoutes { .. } = waiting.entry.command {
                highest = None;
            }
            let Some(number) = table_number(&waiting.entry) else { continue };
            waiting.passed_over = highest.is_some_and(|highest| number < highest);
            highest = highest.max(Some(number));
        }
    }

    /// Forgets all entries: a snapshot of the leader covers them.
    pub fn clear(&mut self) {
        *self = Backlog::default();
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Unpacks the entry whose turn it is, which takes most of the time that a route table takes: no state need be
    /// locked meanwhile.
    pub fn unpack_first(&mut self) {
        if let Some(first) = self.entries.front_mut().filter(|first| !first.passed_over) {
            first.unpacked = Some(Payload::unpack(&first.entry.command));
        }
    }

    /// Applies entries until none is left or `is_over` says so, one at least. An entry is told to `on_applied` once
    /// the state shows it, in the order of the log.
    pub fn apply(
        &mut self,
        state: &mut ControlState,
        mut is_over: impl FnMut() -> bool,
        on_applied: impl FnMut(Position, Applied),
    ) {
        self.apply_while(state, |_| !is_over(), on_applied);
    }

    /// Applies entries as [`Backlog::apply`], up to one that brings a route table which is not unpacked: the state is
    /// locked meanwhile.
    pub fn apply_unpacked(
        &mut self,
        state: &mut ControlState,
        mut is_over: impl FnMut() -> bool,
        on_applied: impl FnMut(Position, Applied),
    ) {
        self.apply_while(state, |next| !is_over() && !next.is_packed(), on_applied);
    }

    /// Applies the first entry, and others while `goes_on` says so of the next one.
    fn apply_while(
        &mut self,
        state: &mut ControlState,
        mut goes_on: impl FnMut(&Waiting) -> bool,
        mut on_applied: impl FnMut(Position, Applied),
    ) {
        while let Some(waiting) = self.entries.pop_front() {
            let position = Position { term: waiting.entry.term, index: waiting.entry.index };
            self.untold.push((position, waiting.apply(state)));
            if !state.has_skipped_routes() {
                self.untold.drain(..).for_each(|(position, applied)| on_applied(position, applied));
            }
            if !self.entries.front().is_some_and(&mut goes_on) {
                return;
            }
        }
    }
}

impl Waiting {
    fn apply(self, state: &mut ControlState) -> Applied {
        let Waiting { entry, passed_over, unpacked } = self;
        match table_number(&entry).filter(|_| passed_over) {
            Some(number) => state.skip_routes(number),
            None => {
                let unpacked = unpacked.unwrap_or_else(|| Payload::unpack(&entry.command));
                state.apply_unpacked(&entry, unpacked)
            }
        }
    }

    /// Returns whether the entry brings a route table that is not unpacked yet.
    fn is_packed(&self) -> bool {
        let brings_table = Payload::is_packed(&self.entry.command);
        brings_table && !self.passed_over && self.unpacked.is_none()
    }
}

/// Returns the number of the route table that an entry brings; `None` for any other entry, and for one
/// that does not tell it.
fn table_number(entry: &Entry) -> Option<u64> {
    match entry.command {
        Command::ReplaceRoutes { number, .. } => Some(number).filter(|number| *number > 0),
        _ => None,
    }
}
