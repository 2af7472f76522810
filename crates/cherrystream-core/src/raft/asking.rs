//! When a running replica asks for its place, and when it may give its data up.
//!
//! A replica whose disk does not count asks until it does: a new leader does not know of a newcomer
//! that an earlier one let in. One that hears of no quorum may have lost its place while it was away.

use crate::units::Timestamp;
use std::time::Duration;

/// Time between questions of a replica whose disk does not count: two heartbeats.
const ASK_AGAIN: Duration = Duration::from_millis(400);
/// As `ASK_AGAIN`, for a replica that has no word from a quorum although its disk counts by its own
/// log: longer than an election, which ends most such silences.
const ASK_WHEN_LONELY: Duration = Duration::from_millis(2_000);
/// Time without word from a quorum after which a replica asks whether its place was given away: two
/// elections that fail.
const LONELY_AFTER: Duration = Duration::from_millis(3_000);

/// Word from a leader with a quorum.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QuorumWord {
    /// None since this process started.
    #[default]
    NotYet,
    /// The newest is this old.
    Heard {
        /// Its age.
        age: Duration,
    },
}

impl QuorumWord {
    /// Returns the age of the word, as far as there is any.
    pub fn age(self) -> Option<Duration> {
        match self {
            QuorumWord::NotYet => None,
            QuorumWord::Heard { age } => Some(age),
        }
    }
}

/// Where a replica stands in its group, by what it knows itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlaceView {
    /// Whether it leads.
    pub leads: bool,
    /// Whether its disk counts by its own log.
    pub votes: bool,
    /// Its word from a quorum.
    pub word: QuorumWord,
}

impl PlaceView {
    /// Returns whether the replica is part of a quorum that works.
    fn takes_part(&self) -> bool {
        self.leads || self.votes && self.word.age().is_some_and(|age| age < LONELY_AFTER)
    }
}

/// Decides when a replica asks whether its place is still its own.
#[derive(Debug)]
pub struct Asking {
    /// When the process started: silence from before that is none.
    started: Timestamp,
    last: Timestamp,
}

impl Asking {
    /// Creates it at the start of the process.
    pub fn new(now: Timestamp) -> Asking {
        Asking { started: now, last: now }
    }

    /// Returns whether to ask now; a question counts as asked from then on.
    pub fn is_due(&mut self, now: Timestamp, view: PlaceView) -> bool {
        let gap = if view.votes { ASK_WHEN_LONELY } else { ASK_AGAIN };
        let silence = view.word.age().unwrap_or_else(|| now.since(self.started));
        let wants = !view.votes || silence >= LONELY_AFTER;
        if view.leads || !wants || now.since(self.last) < gap {
            return false;
        }
        self.last = now;
        true
    }
}

/// Returns whether a replica that was told that its place is lost may give its data up: never while
/// it is part of a quorum, for then the word is older than what it knows itself.
pub fn may_give_up(view: PlaceView) -> bool {
    !view.takes_part()
}
