//! Typical service times of a backend server by kind of request, learned from its answers.

use crate::slowness::NORMAL;
use crate::units::Timestamp;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Smallest weight of a new sample in the moving average.
const MIN_SAMPLE_WEIGHT: f64 = 0.1;
/// Samples from which an average is used.
const MIN_SAMPLES: u32 = 5;
/// Largest number of kinds.
const MAX_KINDS: usize = 256;
/// Time without an answer after which a kind is discarded to make space.
const IDLE_TTL: Duration = Duration::from_secs(30);

/// Moving average of one kind.
#[derive(Clone, Copy, Debug)]
struct Average {
    seconds: f64,
    samples: u32,
    last_answer: Timestamp,
}

/// Averages of service times at normal speed by kind of request.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    by_kind: HashMap<Arc<str>, Average>,
}

impl ServiceTimes {
    /// Records an answer that took a time, at a slowness in hundredths of the normal service time.
    pub fn on_answer(&mut self, now: Timestamp, kind: &Arc<str>, took: Duration, slowness: u32) {
        let sample = took.as_secs_f64() * f64::from(NORMAL) / f64::from(slowness.max(1));
        if let Some(average) = self.by_kind.get_mut(kind) {
            average.record(now, sample);
            return;
        }
        if self.by_kind.len() >= MAX_KINDS {
            self.by_kind.retain(|_, average| now.since(average.last_answer) < IDLE_TTL);
        }
        if self.by_kind.len() < MAX_KINDS {
            let first = Average { seconds: sample, samples: 1, last_answer: now };
            self.by_kind.insert(kind.clone(), first);
        }
    }

    /// Returns the typical service time of a kind, if there are enough samples.
    pub fn typical(&self, kind: &str) -> Option<Duration> {
        let average = self.by_kind.get(kind).filter(|average| average.samples >= MIN_SAMPLES)?;
        Some(Duration::from_secs_f64(average.seconds))
    }
}

impl Average {
    fn record(&mut self, now: Timestamp, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        // The first samples have equal weight, so that the very first has no lasting effect.
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.seconds += weight * (sample - self.seconds);
        self.last_answer = now;
    }
}
