//! Recent changes by operators, to tell which of them affect a plan.

use crate::intent_scope;
use crate::plan;
use crate::units::{DisplayRevision, Revision};
use cherrystream_schema::messages::Intent;
use std::collections::VecDeque;

/// Maximum number of retained intents: at 50 changes a second, a plan can be read for a minute and
/// more.
const MAX_INTENTS: usize = 4_096;

/// Intents that were accepted recently. They are not part of snapshots.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentIntents {
    intents: VecDeque<(Revision, Intent)>,
    /// Intents up to and including this revision are not retained; `None` before the first one is
    /// recorded.
    after: Option<Revision>,
}

impl RecentIntents {
    /// Records an intent that was accepted at a revision. `previous` is the revision of the last
    /// change by an operator before it.
    pub(super) fn record(&mut self, at: Revision, intent: &Intent, previous: Revision) {
        self.after.get_or_insert(previous);
        self.intents.push_back((at, intent.clone()));
        while self.intents.len() > MAX_INTENTS {
            self.after = self.intents.pop_front().map(|(revision, _)| revision);
        }
    }

    /// Describes the intents after a revision.
    pub(super) fn describe_since(&self, base: Revision) -> String {
        describe(self.since(base))
    }

    /// Describes the intents after a revision that affect another intent; `None` if none does. If
    /// not all intents since then are retained, those that are retained are described.
    pub(super) fn describe_affecting(&self, intent: &Intent, base: Revision) -> Option<String> {
        if self.after.is_none_or(|after| base < after) {
            return Some(self.describe_since(base));
        }
        let affects = |(_, other): &&(Revision, Intent)| intent_scope::overlap(intent, other);
        let mut affecting = self.since(base).filter(affects).peekable();
        affecting.peek()?;
        Some(describe(affecting))
    }

    fn since(&self, base: Revision) -> impl Iterator<Item = &(Revision, Intent)> {
        let first = self.intents.partition_point(|(revision, _)| *revision <= base);
        self.intents.range(first..)
    }
}

fn describe<'a>(intents: impl Iterator<Item = &'a (Revision, Intent)>) -> String {
    let describe = |(revision, intent): &(Revision, Intent)| {
        format!("{} at {}", plan::describe(intent), DisplayRevision(*revision))
    };
    let intents: Vec<String> = intents.map(describe).collect();
    if intents.is_empty() { "too long ago to list".into() } else { intents.join(", ") }
}
