//! Adaptive concurrency limit of a backend server, learned from its service times.
//!
//! Requests may take longer the more of them run concurrently. By Little's law a server that serves
//! `n` requests in a time `t` each has a throughput of `n / t`. The service time at each
//! concurrency level is compared with the typical time of the kind of request, and the limit is the
//! highest level whose throughput is close to the best. A level above those with samples is assumed
//! to be as fast as the one below: it is tried when requests need it, and given up if service times
//! rise.

use crate::slowness::NORMAL;
use crate::units::Timestamp;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Largest number of levels; servers with more slots have several slots per level.
const MAX_LEVELS: u32 = 12;
/// Samples from which the mean of a level is used. Times of one kind vary by a third or more. Ten
/// samples tell a difference of a half from that variation.
const MIN_LEVEL_SAMPLES: f64 = 10.0;
/// Samples at the initial limit from which more is tried.
const MIN_INITIAL_SAMPLES: f64 = 5.0;
/// Effective number of samples of a level; older ones lose weight, so that changes are followed.
const MAX_LEVEL_SAMPLES: f64 = 90.0;
/// Largest ratio of a sample to the typical time; longer ones are outliers, independent of the
/// level.
const MAX_RATIO: f64 = 3.0;
/// Samples from which the typical time of a kind is used.
const MIN_KIND_SAMPLES: f64 = 5.0;
/// Effective number of samples of a typical time. Levels are compared by it, so it changes more
/// slowly than they do.
const MAX_KIND_SAMPLES: f64 = 200.0;
/// Largest number of kinds with a typical time.
const MAX_KINDS: usize = 64;
/// Share of the best throughput that is given up for a higher limit, which refuses fewer requests.
/// These requests are served without waiting.
const THROUGHPUT_TOLERANCE: f64 = 0.05;
/// Smallest limit as a share of the slots; with less there are too few samples to raise it again.
const MIN_SLOT_SHARE: f64 = 0.25;
/// Largest change of the slowness during a request, in hundredths; beyond it the sample is ignored.
const MAX_SLOWNESS_CHANGE: u32 = 30;
/// Initial time until the levels above the limit are tried again. What is known against them is
/// forgotten then.
const INITIAL_PAUSE: Duration = Duration::from_secs(20);
/// Longest time until the levels above the limit are tried again.
const MAX_PAUSE: Duration = Duration::from_secs(320);

/// Largest loss by rounding, as a share of the wanted slots, at which the fixed limit is kept: the
/// adaptive one gains less there than its trials cost. With 12 slots, 9 of the wanted 9.6 are used
/// and the fixed limit serves more; with 6 slots, 4 of 4.8 are used and the adaptive one does.
const MAX_ROUNDING_LOSS: f64 = 0.1;

/// Returns whether rounding `slots * share` down loses a considerable part of it.
pub fn loses_by_rounding(slots: u32, share: f64) -> bool {
    let wanted = f64::from(slots) * share;
    wanted - wanted.floor() > MAX_ROUNDING_LOSS * wanted
}

/// A request that the backend server has served.
#[derive(Clone, Copy, Debug)]
pub struct Work<'a> {
    /// Kind of request.
    pub kind: &'a Arc<str>,
    /// Service time.
    pub took: Duration,
    /// Slowness that the backend server reported when the request started, in hundredths.
    pub slowness_before: u32,
}

/// A sample for the limit.
#[derive(Clone, Copy, Debug)]
pub struct Answer<'a> {
    /// The served request.
    pub work: Work<'a>,
    /// Requests in flight when this one started, itself included.
    pub level: u32,
    /// Slowness that the backend server reported when the request ended, in hundredths.
    pub slowness_after: u32,
}

/// Reason of a change of the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// Enough samples were collected, and none speaks against a higher limit.
    Opened,
    /// Service times rose by more than the additional concurrency gains.
    Slower,
    /// The pause is over and requests found no slot: levels above the limit are tried again.
    TriedAgain,
}

impl Cause {
    /// Returns the name in metrics and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::Opened => "opened",
            Cause::Slower => "slower",
            Cause::TriedAgain => "tried-again",
        }
    }
}

/// A change of the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// Previous limit.
    pub from: u32,
    /// New limit.
    pub to: u32,
    /// Reason of the change.
    pub cause: Cause,
}

/// Typical service time of a kind of request.
#[derive(Clone, Copy, Debug)]
struct TypicalTime {
    seconds: f64,
    samples: f64,
}

impl TypicalTime {
    /// Records a sample. Outliers are rare work, and are clamped so that they count in part.
    fn record(&mut self, seconds: f64) {
        let counted = seconds.min(self.seconds * MAX_RATIO);
        self.samples = (self.samples + 1.0).min(MAX_KIND_SAMPLES);
        self.seconds += (counted - self.seconds) / self.samples;
    }

    fn is_known(&self) -> bool {
        self.samples >= MIN_KIND_SAMPLES && self.seconds > 0.0
    }
}

/// Relative service time at one level.
#[derive(Clone, Copy, Debug, Default)]
struct Level {
    samples: f64,
    /// Mean ratio to the typical time.
    mean: f64,
}

impl Level {
    /// Records a sample. Requests with a short service time have a small weight.
    fn record(&mut self, ratio: f64, weight: f64) {
        self.samples = (self.samples + weight).min(MAX_LEVEL_SAMPLES);
        self.mean += (ratio - self.mean) * weight / self.samples;
    }
}

/// Neighbouring levels that are considered equal.
#[derive(Clone, Copy, Debug)]
struct Pool {
    from: usize,
    to: usize,
    samples: f64,
    mean: f64,
}

impl Pool {
    fn with(&self, above: &Pool) -> Pool {
        let samples = self.samples + above.samples;
        let mean = (self.mean * self.samples + above.mean * above.samples) / samples;
        Pool { from: self.from, to: above.to, samples, mean }
    }
}

/// Relative service time of a level.
#[derive(Clone, Copy, Debug)]
struct RelativeTime {
    ratio: f64,
    is_known: bool,
}

/// Adaptive concurrency limit.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    slots: u32,
    /// Limit before any samples; levels up to it define the typical times.
    initial: u32,
    limit: u32,
    levels: Vec<Level>,
    typical: HashMap<Arc<str>, TypicalTime>,
    /// Whether levels above the initial limit were ever tried.
    is_explored: bool,
    next_trial_at: Timestamp,
    pause: Duration,
    /// Changes since the last [`ConcurrencyLimit::take_changes`].
    changes: Vec<Change>,
}

impl ConcurrencyLimit {
    /// Creates the limit of a server with `slots`, of which `share` is used initially.
    pub fn new(slots: u32, share: f64) -> ConcurrencyLimit {
        let slots = slots.max(1);
        let initial = ((f64::from(slots) * share) as u32).clamp(1, slots);
        ConcurrencyLimit {
            slots,
            initial,
            limit: initial,
            levels: vec![Level::default(); slots.min(MAX_LEVELS) as usize],
            typical: HashMap::new(),
            is_explored: false,
            next_trial_at: Timestamp::default(),
            pause: INITIAL_PAUSE,
            changes: Vec::new(),
        }
    }

    /// Keeps what was learned for a server with the same number of slots; starts anew otherwise.
    pub fn with_slots(self, slots: u32, share: f64) -> ConcurrencyLimit {
        if slots == self.slots { self } else { ConcurrencyLimit::new(slots, share) }
    }

    /// Returns the number of slots of the server.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the limit of concurrent requests.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Records a sample and updates the limit.
    pub fn on_answer(&mut self, now: Timestamp, answer: &Answer<'_>) {
        let work = answer.work;
        if work.slowness_before.abs_diff(answer.slowness_after) > MAX_SLOWNESS_CHANGE {
            return;
        }
        let slowness = u32::midpoint(work.slowness_before, answer.slowness_after).max(1);
        let seconds = work.took.as_secs_f64() * f64::from(NORMAL) / f64::from(slowness);
        if answer.level <= self.initial {
            self.record_typical(work.kind, seconds);
        }
        let Some(typical) = self.typical.get(work.kind).filter(|typical| typical.is_known()) else {
            return;
        };
        // Kinds without a typical time don't count: a rare long one would lower the weight of all
        // others.
        let known = self.typical.values().filter(|typical| typical.is_known());
        let longest = known.map(|typical| typical.seconds).fold(0.0, f64::max);
        let ratio = seconds / typical.seconds;
        let level = self.level_of(answer.level);
        self.levels[level].record(ratio.min(MAX_RATIO), typical.seconds / longest);
        self.update_limit(now);
    }

    /// Records a sample for the typical time of a kind.
    fn record_typical(&mut self, kind: &Arc<str>, seconds: f64) {
        if let Some(typical) = self.typical.get_mut(kind) {
            typical.record(seconds);
        } else if self.typical.len() < MAX_KINDS {
            self.typical.insert(kind.clone(), TypicalTime { seconds, samples: 1.0 });
        }
    }

    /// Records that a request found no free slot; tries the levels above the limit again after the
    /// pause.
    pub fn on_limit_reached(&mut self, now: Timestamp) {
        if self.limit == self.slots || !self.is_initial_known() || now < self.next_trial_at {
            return;
        }
        let above = self.level_of(self.limit) + 1;
        self.levels[above..].fill(Level::default());
        let to = self.best_limit();
        self.next_trial_at = now + self.pause;
        self.set_limit(to, Cause::TriedAgain);
    }

    fn is_initial_known(&self) -> bool {
        self.levels[self.level_of(self.initial)].samples >= MIN_INITIAL_SAMPLES
    }

    fn update_limit(&mut self, now: Timestamp) {
        // After the first trial all requests may start above the initial limit; the limit must
        // still fall then.
        if !self.is_explored && !self.is_initial_known() {
            return;
        }
        let to = self.best_limit();
        if to < self.limit {
            self.next_trial_at = now + self.pause;
            self.pause = (self.pause * 2).min(MAX_PAUSE);
            self.set_limit(to, Cause::Slower);
        } else if !std::mem::replace(&mut self.is_explored, true) {
            self.set_limit(to, Cause::Opened);
        }
    }

    fn set_limit(&mut self, to: u32, cause: Cause) {
        if to == self.limit {
            return;
        }
        self.changes.push(Change { from: self.limit, to, cause });
        self.limit = to;
    }

    /// Returns the highest limit whose throughput is close to the best observed.
    fn best_limit(&self) -> u32 {
        let relative_times = self.relative_times();
        let throughput = |level: usize| f64::from(self.max_of(level)) / relative_times[level].ratio;
        let levels = 0..relative_times.len();
        let known = levels.clone().filter(|level| relative_times[*level].is_known);
        let best = known.map(throughput).fold(0.0, f64::max);
        let enough = best * (1.0 - THROUGHPUT_TOLERANCE);
        let found = levels.rev().find(|level| throughput(*level) >= enough);
        let floor = (f64::from(self.slots) * MIN_SLOT_SHARE).ceil() as u32;
        found.map_or(floor, |level| self.max_of(level).max(floor))
    }

    /// Returns the relative service time of each level. A level without samples between two others
    /// gets that of the upper one: the service time may rise right there, and a trial of each level
    /// costs latency.
    fn relative_times(&self) -> Vec<RelativeTime> {
        let pooled = self.pooled();
        let mut relative_times = Vec::with_capacity(self.levels.len());
        let mut below: Option<Pool> = None;
        for level in 0..self.levels.len() {
            let here = pooled.iter().find(|pool| pool.from <= level && level <= pool.to);
            let above = pooled.iter().find(|pool| pool.from > level);
            let ratio = match (here, below, above) {
                (Some(here), _, _) => here.mean,
                (None, Some(_), Some(above)) => above.mean,
                (None, Some(below), None) => below.mean,
                (None, None, _) => 1.0,
            };
            relative_times.push(RelativeTime { ratio, is_known: here.is_some() });
            below = here.copied().or(below);
        }
        relative_times
    }

    /// Pools adjacent levels until relative times rise with the level: more concurrency doesn't
    /// make requests faster, so a fall is noise.
    fn pooled(&self) -> Vec<Pool> {
        let mut pools: Vec<Pool> = Vec::new();
        for (level, stats) in
            self.levels.iter().enumerate().filter(|(_, stats)| stats.samples > 0.0)
        {
            let mut pool =
                Pool { from: level, to: level, samples: stats.samples, mean: stats.mean };
            while let Some(below) = pools.pop_if(|below| below.mean >= pool.mean) {
                pool = below.with(&pool);
            }
            pools.push(pool);
        }
        pools.retain(|pool| pool.samples >= MIN_LEVEL_SAMPLES);
        pools
    }

    /// Returns the level of a number of concurrent requests.
    fn level_of(&self, requests: u32) -> usize {
        let (levels, slots) = (self.levels.len() as u64, u64::from(self.slots));
        let requests = u64::from(requests).clamp(1, slots);
        ((requests * levels).div_ceil(slots) - 1) as usize
    }

    /// Returns the largest number of concurrent requests of a level.
    fn max_of(&self, level: usize) -> u32 {
        let top = (level as u64 + 1) * u64::from(self.slots) / self.levels.len() as u64;
        u32::try_from(top).unwrap_or(self.slots)
    }
}
