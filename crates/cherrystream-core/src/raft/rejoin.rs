//! Decides when a running replica asks for a member slot, and when it may discard its data.
//!
//! A replica whose disk does not vote repeats its request, because a new leader has no record of
//! the learners that an earlier one admitted. A replica without quorum contact may have lost its
//! member slot while it was unreachable.

use crate::units::Timestamp;
use std::time::Duration;

/// Time between join requests of a replica whose disk does not vote.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Time between join requests of a voter without quorum contact. Longer than an election, which
/// ends most such periods.
const ISOLATED_RETRY_INTERVAL: Duration = Duration::from_millis(2_000);
/// Time without quorum contact after which a voter asks whether it still holds its member slot.
/// Covers two failed elections.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Last contact with a leader that has a quorum.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QuorumContact {
    /// No contact since this process started.
    #[default]
    NotYet,
    /// The last contact was this long ago.
    Heard {
        /// Time since the last contact.
        age: Duration,
    },
}

impl QuorumContact {
    /// Returns the time since the last contact, if there was one.
    pub fn age(self) -> Option<Duration> {
        match self {
            QuorumContact::NotYet => None,
            QuorumContact::Heard { age } => Some(age),
        }
    }
}

/// Membership of a replica as recorded by the replica itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlaceView {
    /// Whether it is the leader.
    pub leads: bool,
    /// Whether its own log names its disk as a voting disk.
    pub votes: bool,
    /// Last contact with a quorum.
    pub word: QuorumContact,
}

impl PlaceView {
    /// Returns whether the replica belongs to a working quorum.
    fn is_active_member(&self) -> bool {
        self.leads || self.votes && self.word.age().is_some_and(|age| age < ISOLATION_TIMEOUT)
    }
}

/// Schedules the join requests of a replica.
#[derive(Debug)]
pub struct JoinTimer {
    /// Start of the process; time without contact is counted from here.
    started: Timestamp,
    last: Timestamp,
}

impl JoinTimer {
    /// Creates a schedule that starts at `now`.
    pub fn new(now: Timestamp) -> JoinTimer {
        JoinTimer { started: now, last: now }
    }

    /// Returns whether a join request is due, and if so records it as sent.
    pub fn is_due(&mut self, now: Timestamp, view: PlaceView) -> bool {
        let interval = if view.votes { ISOLATED_RETRY_INTERVAL } else { JOIN_RETRY_INTERVAL };
        let silence = view.word.age().unwrap_or_else(|| now.since(self.started));
        let needs_slot = !view.votes || silence >= ISOLATION_TIMEOUT;
        if view.leads || !needs_slot || now.since(self.last) < interval {
            return false;
        }
        self.last = now;
        true
    }
}

/// Returns whether a replica may discard its data after a leader reported its member slot as lost.
/// A member of a working quorum never may, because the report is then older than its own state.
pub fn may_discard_data(view: PlaceView) -> bool {
    !view.is_active_member()
}
