//! The part of the replicated log that is in memory.

use super::Position;
use cherrystream_schema::messages::Entry;
use std::collections::VecDeque;

/// Entries after the last snapshot.
#[derive(Debug)]
pub struct Log {
    base: Position,
    entries: VecDeque<Entry>,
    /// Index of the first entry that was not yet returned for saving.
    unsaved_from: u64,
    /// Index of the last durable entry.
    saved: u64,
}

impl Log {
    /// Creates a log of durable entries that follow `base`.
    pub fn new(base: Position, entries: Vec<Entry>) -> Log {
        let last = base.index + entries.len() as u64;
        Log { base, entries: entries.into(), unsaved_from: last + 1, saved: last }
    }

    /// Returns the position before the first entry.
    pub fn base(&self) -> Position {
        self.base
    }

    /// Returns the position of the last entry.
    pub fn last(&self) -> Position {
        match self.entries.back() {
            Some(e) => Position { term: e.term, index: e.index },
            None => self.base,
        }
    }

    /// Returns the index of the last durable entry.
    pub fn saved(&self) -> u64 {
        self.saved
    }

    /// Returns the entry at an index.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the term of the entry at an index, or of the base.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|e| e.term)
    }

    /// Returns copies of the entries from `first` to `last`, both included.
    pub fn range(&self, first: u64, last: u64) -> Vec<Entry> {
        (first..=last).map_while(|index| self.get(index).cloned()).collect()
    }

    /// Appends an entry.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last().index + 1);
        self.entries.push_back(entry);
    }

    /// Removes the entries from an index on.
    pub fn truncate(&mut self, from: u64) {
        let keep = from.saturating_sub(self.base.index + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        self.unsaved_from = self.unsaved_from.min(from);
        self.saved = self.saved.min(from - 1);
    }

    /// Replaces the whole log by the position of a snapshot.
    pub fn reset(&mut self, base: Position) {
        *self = Log::new(base, Vec::new());
    }

    /// Removes the entries up to an index.
    pub fn compact(&mut self, index: u64) {
        let Some(term) = self.term_at(index) else { return };
        let count = usize::try_from(index - self.base.index).unwrap_or(0);
        self.entries.drain(..count);
        self.base = Position { term, index };
    }

    /// Returns the index of the first entry of the term that the entry at `index` belongs to, as
    /// far as it is in the log.
    pub fn first_of_term(&self, index: u64) -> u64 {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base.index + 1 && self.term_at(first - 1) == term {
            first -= 1;
        }
        first
    }

    pub(super) fn take_unsaved(&mut self) -> Vec<Entry> {
        let last = self.last().index;
        let entries = self.range(self.unsaved_from, last);
        self.unsaved_from = last + 1;
        entries
    }

    pub(super) fn mark_saved(&mut self) {
        self.saved = self.unsaved_from - 1;
    }
}
