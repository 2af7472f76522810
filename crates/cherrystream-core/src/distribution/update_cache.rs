//! Cache of encoded updates.

use super::EncodedUpdate;
use crate::units::Revision;
use cherrystream_schema::messages::StateId;
use std::collections::VecDeque;

/// Largest number of cached updates. Daemons at different revisions need different updates.
const MAX_UPDATES: usize = 32;

/// Cache of encoded updates, least recently used evicted first.
#[derive(Debug)]
pub struct UpdateCache {
    max_bytes: u64,
    /// Updates, most recently used first.
    updates: VecDeque<EncodedUpdate>,
}

impl UpdateCache {
    /// Creates an empty cache that holds up to `max_bytes`, or a single larger update.
    pub fn new(max_bytes: u64) -> UpdateCache {
        UpdateCache { max_bytes, updates: VecDeque::new() }
    }

    /// Adds an update, and evicts the least recently used ones beyond the limits.
    pub fn add(&mut self, encoded: EncodedUpdate) {
        self.updates.retain(|update| update.id() != encoded.id());
        self.updates.push_front(encoded);
        while self.updates.len() > MAX_UPDATES
            || self.updates.len() > 1 && self.bytes() > self.max_bytes
        {
            self.updates.pop_back();
        }
    }

    /// Returns the update with an identifier, and records its use.
    pub fn get(&mut self, id: &StateId) -> Option<&EncodedUpdate> {
        let position = self.updates.iter().position(|update| update.id() == *id)?;
        let found = self.updates.remove(position)?;
        self.updates.push_front(found);
        self.updates.front()
    }

    /// Returns the update from a revision to the latest one. Updates with the whole state start at
    /// revision zero.
    pub fn furthest(&self, from: Revision) -> Option<&EncodedUpdate> {
        let updates = self.updates.iter().filter(|update| update.id().from == from);
        updates.max_by_key(|update| update.id().to)
    }

    /// Returns whether the update with an identifier is cached.
    pub fn holds(&self, id: &StateId) -> bool {
        self.updates.iter().any(|update| update.id() == *id)
    }

    fn bytes(&self) -> u64 {
        self.updates.iter().map(|update| update.id().bytes).sum()
    }
}
