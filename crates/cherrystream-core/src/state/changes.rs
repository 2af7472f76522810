//! Recent changes of the shared state, from which daemons are updated incrementally.

use super::ControlState;
use crate::distribution;
use crate::shared;
use crate::units::Revision;
use cherrystream_schema::messages::{Change, NumberedChange, Update};

/// Maximum number of retained changes. Daemons that are a little behind fetch only what they lack.
const MAX_CHANGES: usize = 4_096;
/// Total weight of changes that is retained even if the whole state weighs less, in items.
const MIN_RETAINED_WEIGHT: usize = 1_024;

/// Kind of update that brings a daemon from its revision to the newest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// No update.
    Nothing,
    /// The changes since that revision.
    Changes {
        /// Number of items in the changes.
        weight: usize,
    },
    /// The whole state.
    Whole {
        /// Number of items in the state.
        weight: usize,
    },
}

impl ControlState {
    /// Applies a change to the shared state and retains it.
    pub(super) fn share(&mut self, change: &Change, at: Revision) {
        if let Change::Operator { intent } = change {
            self.recent_commands.record(at, intent);
            let before = self.shared.config.clone();
            shared::apply(&mut self.shared, change);
            // A repeated command has no effect and must not invalidate plans.
            if self.shared.config == before {
                return;
            }
            self.recent_intents.record(at, intent, self.config_revision);
            self.config_revision = at;
        } else {
            shared::apply(&mut self.shared, change);
        }
        self.revision = at;
        self.changes.push_back(NumberedChange { revision: at, change: change.clone() });
        self.drop_old_changes();
    }

    /// Drops the oldest changes beyond the limits. Changes that weigh more than the whole state are
    /// never sent.
    fn drop_old_changes(&mut self) {
        let max_weight = distribution::state_weight(&self.shared).max(MIN_RETAINED_WEIGHT);
        let mut weight = 0;
        let mut retained = 0;
        for numbered in self.changes.iter().rev() {
            weight += distribution::changes_weight([&numbered.change].into_iter());
            if retained == MAX_CHANGES || weight > max_weight {
                break;
            }
            retained += 1;
        }
        let excess = self.changes.len() - retained;
        if let Some(dropped) = self.changes.drain(..excess).next_back() {
            self.changes_after = dropped.revision;
        }
    }

    /// Returns which update a daemon at revision `held` needs.
    pub fn update_kind_since(&self, held: Revision) -> UpdateKind {
        // A lagging replica may be behind the daemon. A replica that skipped route tables and has
        // not applied the last one yet has a revision ahead of its state.
        if held >= self.revision || self.skipped_routes {
            return UpdateKind::Nothing;
        }
        let whole = UpdateKind::Whole { weight: distribution::state_weight(&self.shared) };
        if held < self.changes_after {
            return whole;
        }
        let newer = self.newer_than(held).map(|numbered| &numbered.change);
        let weight = distribution::changes_weight(newer);
        match whole {
            UpdateKind::Whole { weight: w }
                if weight > distribution::MAX_INLINE_WEIGHT && w <= weight =>
            {
                whole
            }
            _ => UpdateKind::Changes { weight },
        }
    }

    /// Returns the update for a daemon at revision `held`: the changes since, or the whole state if
    /// that is smaller or the changes are no longer retained.
    pub fn update_since(&self, held: Revision) -> Update {
        let revision = self.revision;
        match self.update_kind_since(held) {
            UpdateKind::Nothing => Update { revision, changes: vec![], full: None },
            UpdateKind::Whole { .. } => {
                Update { revision, changes: vec![], full: Some(self.shared.clone()) }
            }
            UpdateKind::Changes { .. } => {
                let changes = self.newer_than(held).cloned().collect();
                Update { revision, changes, full: None }
            }
        }
    }

    fn newer_than(&self, held: Revision) -> impl Iterator<Item = &NumberedChange> {
        let first = self.changes.partition_point(|numbered| numbered.revision <= held);
        self.changes.range(first..)
    }
}
