//! Attempts of unrepeatable requests at an inbound.
//!
//! An attempt is sent once, by the outbound that claimed it. The table admits it once, allows other
//! outbounds to fence it before it starts, and returns its state. The table is bounded: when an
//! entry is evicted, every attempt claimed up to its log index is refused unless it is in the
//! table, so that an evicted attempt cannot run again.

use crate::reasons::Reason;
use cherrystream_schema::messages::{AttemptState, FenceRequest};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Options of [`Attempts`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Incarnation of this inbound.
    pub incarnation: u64,
    /// Largest number of attempts in the table.
    pub attempts: usize,
    /// Largest size of all held answers in bytes.
    pub answer_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options { incarnation: 0, attempts: 20_000, answer_bytes: 4 << 20 }
    }
}

/// Service and idempotency key of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestKey {
    /// Name of the service.
    pub service: Arc<str>,
    /// Idempotency key that the caller chose.
    pub key: Arc<str>,
}

/// Claim of an attempt in the ledger.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claimed {
    /// Random identifier of the claim.
    pub claim: u64,
    /// Log index of the claim.
    pub index: u64,
    /// Incarnation of the inbound that the attempt is addressed to.
    pub incarnation: u64,
}

#[derive(Debug)]
struct Record<A> {
    claimed: Claimed,
    state: AttemptState,
    answer: Option<Arc<A>>,
    bytes: usize,
}

/// Table of attempts; `A` is the type of the answers that are held for resends.
#[derive(Debug)]
pub struct Attempts<A> {
    opts: Options,
    records: HashMap<RequestKey, Record<A>>,
    by_index: BTreeMap<u64, RequestKey>,
    /// Attempts claimed up to this log index that are not in the table are refused.
    floor: u64,
    answer_bytes: usize,
    /// Log index of the oldest attempt whose answer may still be held.
    answers_from: u64,
}

impl<A> Attempts<A> {
    /// Creates an empty table for a new incarnation.
    pub fn new(opts: Options) -> Attempts<A> {
        Attempts {
            opts,
            records: HashMap::new(),
            by_index: BTreeMap::new(),
            floor: 0,
            answer_bytes: 0,
            answers_from: 0,
        }
    }

    /// Starts an attempt.
    ///
    /// # Errors
    ///
    /// Fails with the reason why the attempt must not run.
    pub fn begin(&mut self, key: &RequestKey, claimed: Claimed) -> Result<(), Reason> {
        if claimed.incarnation != self.opts.incarnation {
            return Err(Reason::WrongIncarnation);
        }
        match self.records.get(key) {
            Some(record) if record.claimed.claim == claimed.claim => {
                return Err(match record.state {
                    AttemptState::Fenced => Reason::Fenced,
                    _ => Reason::AttemptRepeated,
                });
            }
            Some(record) if record.claimed.index > claimed.index => return Err(Reason::Fenced),
            None if claimed.index <= self.floor => return Err(Reason::Fenced),
            _ => {}
        }
        self.insert(key, claimed, AttemptState::Running);
        Ok(())
    }

    /// Records that an attempt was refused before any byte of it reached the backend server.
    pub fn on_refused(&mut self, key: &RequestKey, claim: u64) {
        self.settle(key, claim, AttemptState::Fenced, None);
    }

    /// Records that the backend server answered. Holds `answer`, if given with its size in bytes.
    pub fn on_answered(&mut self, key: &RequestKey, claim: u64, answer: Option<(Arc<A>, usize)>) {
        let state = if answer.is_some() { AttemptState::Answered } else { AttemptState::Ran };
        self.settle(key, claim, state, answer);
        self.evict_answers();
    }

    /// Records that the attempt reached the backend server and its answer was lost.
    pub fn on_broken(&mut self, key: &RequestKey, claim: u64) {
        self.settle(key, claim, AttemptState::Unknown, None);
    }

    /// Returns the state of an attempt, and fences it on request if it has not started.
    pub fn fence(&mut self, req: &FenceRequest) -> AttemptState {
        if req.incarnation != self.opts.incarnation {
            return AttemptState::Unknown;
        }
        let key = RequestKey { service: req.service.as_str().into(), key: req.key.as_str().into() };
        if let Some(record) = self.records.get(&key)
            && record.claimed.claim == req.claim
        {
            return record.state;
        }
        if req.index <= self.floor {
            return AttemptState::Unknown;
        }
        // A later attempt was claimed, so the earlier one was proved not run.
        if self.records.get(&key).is_some_and(|record| record.claimed.index > req.index) {
            return AttemptState::Fenced;
        }
        if !req.forbid {
            return AttemptState::Absent;
        }
        let claimed = Claimed { claim: req.claim, index: req.index, incarnation: req.incarnation };
        self.insert(&key, claimed, AttemptState::Fenced);
        AttemptState::Fenced
    }

    /// Returns the answer held for a key.
    pub fn answer(&self, key: &RequestKey) -> Option<Arc<A>> {
        self.records.get(key)?.answer.clone()
    }

    /// Returns the number of attempts in the table.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn insert(&mut self, key: &RequestKey, claimed: Claimed, state: AttemptState) {
        let record = Record { claimed, state, answer: None, bytes: 0 };
        if let Some(old) = self.records.insert(key.clone(), record) {
            self.by_index.remove(&old.claimed.index);
            self.answer_bytes -= old.bytes;
        }
        self.by_index.insert(claimed.index, key.clone());
        self.evict_oldest();
    }

    fn settle(
        &mut self,
        key: &RequestKey,
        claim: u64,
        state: AttemptState,
        answer: Option<(Arc<A>, usize)>,
    ) {
        let Some(record) = self.records.get_mut(key).filter(|r| r.claimed.claim == claim) else {
            return;
        };
        // A state other than running is final.
        if record.state != AttemptState::Running {
            return;
        }
        record.state = state;
        if let Some((answer, bytes)) = answer {
            record.answer = Some(answer);
            record.bytes = bytes;
            self.answer_bytes += bytes;
            self.answers_from = self.answers_from.min(record.claimed.index);
        }
    }

    /// Evicts the oldest attempts that are not running, and raises the floor to their index.
    fn evict_oldest(&mut self) {
        while self.records.len() > self.opts.attempts {
            let running = |key: &RequestKey| {
                self.records.get(key).is_some_and(|r| r.state == AttemptState::Running)
            };
            let oldest = self.by_index.iter().find(|(_, key)| !running(key));
            let Some((index, key)) = oldest.map(|(index, key)| (*index, key.clone())) else {
                return;
            };
            self.by_index.remove(&index);
            self.floor = self.floor.max(index);
            if let Some(record) = self.records.remove(&key) {
                self.answer_bytes -= record.bytes;
            }
        }
    }

    /// Evicts the oldest answers beyond the size limit. Their attempts remain in the table as run.
    fn evict_answers(&mut self) {
        while self.answer_bytes > self.opts.answer_bytes {
            let next = self.by_index.range(self.answers_from..).next();
            let Some((index, key)) = next.map(|(index, key)| (*index, key.clone())) else { return };
            self.answers_from = index + 1;
            let Some(record) = self.records.get_mut(&key) else { continue };
            if record.answer.take().is_some() {
                record.state = AttemptState::Ran;
                self.answer_bytes -= std::mem::take(&mut record.bytes);
            }
        }
    }
}
