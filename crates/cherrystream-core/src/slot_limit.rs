//! How many of its slots a backend server can use before it slows down, learned by trying.
//!
//! Some backend servers slow down when nearly full, others do not, and none says so. A share of the slots
//! is used at first. While requests find no slot, all of them are tried for a time: they stay in use if
//! answers take hardly longer than before, so that more is served in all. All at once, because the
//! difference is plain then and few answers tell it; one slot more could not be told from chance.

use crate::units::Timestamp;
use std::time::Duration;

/// Answers that are compared on each side.
const SAMPLES: u32 = 16;
/// Answers from which a trial whose outcome is plain ends early.
const SAMPLES_IF_PLAIN: u32 = 8;
/// Longest time for which the further slots are tried.
const TRIED_FOR: Duration = Duration::from_secs(3);
/// Pause after a trial that saw too few answers.
const PAUSE_UNDECIDED: Duration = Duration::from_secs(1);
/// Pause after the first trial that failed; it doubles with each further one.
const PAUSE_AT_FIRST: Duration = Duration::from_secs(15);
/// Longest pause between trials.
const PAUSE_AT_MOST: Duration = Duration::from_secs(300);
/// Part of what the further slots add that may be lost to slower answers. With half as many slots again,
/// half as much again is served; where answers take longer by as much, nothing is won.
const LOSS_AT_MOST: f64 = 0.5;
/// The same, when it is plain that they are worth it.
const PLAIN_LOSS: f64 = 0.25;
/// The same, when it is plain that they are not.
const PLAIN_LOSS_TOO_LARGE: f64 = 1.5;
/// How much longer than before the slots were added answers may take until they are given up again.
const WORSE_AT_MOST: f64 = 0.35;

/// Mean of the latest answers' times, as a ratio to the usual time.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    ratio: f64,
    samples: u32,
}

impl Mean {
    fn take(&mut self, sample: f64) {
        self.samples = (self.samples + 1).min(SAMPLES);
        self.ratio += (sample - self.ratio) / f64::from(self.samples);
    }

    fn is_enough(&self) -> bool {
        self.samples >= SAMPLES
    }
}

/// A trial of all slots.
#[derive(Clone, Copy, Debug)]
struct Trial {
    until: Timestamp,
    with_all: Mean,
}

/// The slots in use.
#[derive(Debug)]
pub struct SlotLimit {
    slots: u32,
    /// Those that are used at first.
    first: u32,
    used: u32,
    /// Answers while all used slots were taken.
    full: Mean,
    /// Ratio before all slots were used.
    before: f64,
    trial: Option<Trial>,
    next_trial: Timestamp,
    pause: Duration,
}

impl SlotLimit {
    /// Creates a limit that uses a share of the slots at first.
    pub fn new(slots: u32, share: f64) -> SlotLimit {
        let first = ((f64::from(slots) * share) as u32).clamp(1, slots.max(1));
        SlotLimit {
            slots,
            first,
            used: first,
            full: Mean::default(),
            before: 0.0,
            trial: None,
            next_trial: Timestamp::default(),
            pause: PAUSE_AT_FIRST,
        }
    }

    /// Returns the slots that may be taken now.
    pub fn used(&self) -> u32 {
        if self.trial.is_some() { self.slots } else { self.used }
    }

    /// Returns the slots that are used while none are being tried.
    pub fn settled(&self) -> u32 {
        self.used
    }

    /// Returns whether further slots are being tried.
    pub fn is_trying(&self) -> bool {
        self.trial.is_some()
    }

    /// Notes that a request found no slot.
    pub fn on_short(&mut self, now: Timestamp) {
        let may = self.trial.is_none() && self.used < self.slots && now >= self.next_trial;
        if may && self.full.is_enough() {
            self.trial = Some(Trial { until: now + TRIED_FOR, with_all: Mean::default() });
        }
    }

    /// Takes the time of an answer as a ratio to the usual time of its kind, with the most slots that
    /// were taken at once while the backend server worked on it.
    pub fn on_answer(&mut self, now: Timestamp, taken: u32, ratio: f64) {
        if taken == self.used {
            self.full.take(ratio);
        }
        match self.trial {
            Some(trial) => self.weigh_trial(now, trial, taken, ratio),
            None => self.give_up_if_worse(now),
        }
    }

    fn weigh_trial(&mut self, now: Timestamp, mut trial: Trial, taken: u32, ratio: f64) {
        if taken > u32::midpoint(self.used, self.slots) {
            trial.with_all.take(ratio);
        }
        self.trial = Some(trial);
        let loss = self.loss(trial.with_all);
        let plain = loss <= PLAIN_LOSS || loss > PLAIN_LOSS_TOO_LARGE;
        let samples = if plain { SAMPLES_IF_PLAIN } else { SAMPLES };
        if trial.with_all.samples >= samples {
            self.trial = None;
            self.decide(now, trial.with_all);
        } else if now >= trial.until {
            self.trial = None;
            self.next_trial = now + PAUSE_UNDECIDED;
        }
    }

    /// Returns the part of what the further slots add that is lost to slower answers.
    fn loss(&self, with_all: Mean) -> f64 {
        let longer = with_all.ratio / self.full.ratio - 1.0;
        let gain = f64::from(self.slots) / f64::from(self.used) - 1.0;
        longer / gain
    }

    fn decide(&mut self, now: Timestamp, with_all: Mean) {
        if self.loss(with_all) > LOSS_AT_MOST {
            self.wait_for_next_trial(now);
            return;
        }
        self.before = self.full.ratio;
        self.used = self.slots;
        self.full = with_all;
    }

    /// Slots that were added on lucky answers are given up again.
    fn give_up_if_worse(&mut self, now: Timestamp) {
        let worse = self.full.ratio > self.before * (1.0 + WORSE_AT_MOST);
        if self.used > self.first && self.full.is_enough() && worse {
            self.used = self.first;
            self.full = Mean::default();
            self.wait_for_next_trial(now);
        }
    }

    fn wait_for_next_trial(&mut self, now: Timestamp) {
        self.next_trial = now + self.pause;
        self.pause = (self.pause * 2).min(PAUSE_AT_MOST);
    }
}
