//! Evaluation of a canary: compares its responses with those of the old versions at the same time,
//! by kind of request.
//!
//! Sequential tests decide when there is enough evidence: Wald's likelihood ratio (Sequential Tests
//! of Statistical Hypotheses, 1945) with a lower bound of zero, so that a version that degrades
//! later is detected as fast as one that is bad from the start (Page, Continuous Inspection
//! Schemes, 1954). Several tests run side by side, because each is fastest for one degree of
//! regression.

use super::counts::{self, BUCKETS, CountsDelta};
use crate::units::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Log-likelihood ratio from which the canary is considered worse. A test of a good version reaches
/// it by chance in about 1 of 10,000 cases, and there are up to three at a time.
const REGRESSION_SCORE: f64 = 10.3;
/// Share of `REGRESSION_SCORE` from which a regression is suspected.
const SUSPICION_SHARE: f64 = 0.5;
/// Log-likelihood ratio of all responses of the canary from which a regression is suspected: the
/// responses are 33 times more likely for a regression. One bad response never reaches it.
const SUSPICION_TOTAL: f64 = 3.5;
/// Increases of the share of failures that the tests detect. Each finds a version near its own
/// increase soonest: the smallest needs twice as many responses of one that fails every time.
const FAILURE_INCREASES: [f64; 3] = [0.03, 0.12, 0.5];
/// Smallest baseline share of failures.
const MIN_FAILURE_SHARE: f64 = 0.005;
/// Weight of the smallest share of failures, in responses, for each half-life. A large weight would
/// hide a disturbance of all versions that has just begun.
const PRIOR_ANSWERS: [f64; 2] = [20.0, 200.0];
/// Increases of the share of slow responses that the tests detect.
const SLOW_INCREASES: [f64; 1] = [0.4];
/// Smallest baseline share of slow responses.
const MIN_SLOW_SHARE: f64 = 0.03;
/// Weight of the smallest share of slow responses, in responses.
const PRIOR_TIMINGS: f64 = 20.0;
/// Histogram buckets above the baseline median from which a response is slow: two to three times
/// the median.
const SLOW_BUCKETS: usize = 3;
/// Service times of the old versions required before a response can be slow.
const MIN_TIMINGS: f64 = 8.0;
/// Half-lives of the baseline counts. The larger share of the two is used, so that neither a
/// disturbance of all versions nor a single good second makes the canary look worse.
const HALF_LIVES: [Duration; 2] = [Duration::from_millis(200), Duration::from_secs(10)];
/// Share of the service times of the old versions that are no longer than the longest time.
const LONGEST_TIME_SHARE: f64 = 0.999;
/// Responses of an instance required to compare it with others.
const MIN_INSTANCE_ANSWERS: u64 = 5;
/// Share of all bad responses from which a single instance, not the version, is the cause.
const SINGLE_INSTANCE_SHARE: f64 = 0.8;
/// Probability that instances which are equally bad look like a single bad one by chance, up to
/// which a version is completed in spite of a suspicion.
const SINGLE_INSTANCE_CHANCE: f64 = 0.01;

/// Kind of regression.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// More requests fail.
    Fails,
    /// Responses are several times slower.
    Slow,
}

impl Fault {
    /// Returns the verb for messages.
    pub const fn as_str(self) -> &'static str {
        match self {
            Fault::Fails => "failed",
            Fault::Slow => "were slow",
        }
    }
}

/// A detected regression.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Kind of request.
    pub kind: String,
    /// Kind of regression.
    pub fault: Fault,
    /// Responses of the canary to that kind of request.
    pub answered: u64,
    /// Bad responses among them.
    pub bad: u64,
    /// Recent share of bad responses of the old versions.
    pub baseline: f64,
}

impl std::fmt::Display for Finding {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{} of {} responses to {} {}, against {:.1} in 100 of the old versions",
            self.bad,
            self.answered,
            self.kind,
            self.fault.as_str(),
            self.baseline * 100.0
        )
    }
}

/// Evaluates the responses of a canary.
#[derive(Debug, Default)]
pub struct Evaluator {
    kinds: BTreeMap<String, KindEvaluator>,
    /// Responses and bad responses of the canary, by instance and kind of regression.
    instances: BTreeMap<(String, Fault), (u64, u64)>,
    decayed_at: Option<Timestamp>,
}

#[derive(Debug, Default)]
struct KindEvaluator {
    /// Recent counts of the old versions, one for each half-life.
    baseline: [BaselineCounts; 2],
    tests: BTreeMap<Fault, FaultTest>,
}

/// Tests for one kind of regression.
#[derive(Clone, Copy, Debug, Default)]
struct FaultTest {
    answered: u64,
    bad: u64,
    /// Score for each increase of the share of bad responses that is tested.
    scores: [f64; 3],
    /// Log-likelihood ratio of all responses for each increase. Unlike a score, it does not fade
    /// where bad responses are spread over the trial.
    totals: [f64; 3],
}

/// Exponentially decayed counts of the old versions.
#[derive(Debug, Default)]
struct BaselineCounts {
    answered: f64,
    failed: f64,
    times: [f64; BUCKETS],
}

impl Evaluator {
    /// Decays the baseline to the current time.
    pub fn decay(&mut self, now: Timestamp) {
        let passed = now.since(self.decayed_at.replace(now).unwrap_or(now));
        let factor = |life: Duration| 0.5_f64.powf(passed.as_secs_f64() / life.as_secs_f64());
        for kind in self.kinds.values_mut() {
            kind.baseline
                .iter_mut()
                .zip(HALF_LIVES)
                .for_each(|(counts, life)| counts.decay(factor(life)));
        }
    }

    /// Returns the time that nearly all requests to the old versions take at most; `None` without
    /// enough responses.
    pub fn longest_baseline_time(&self) -> Option<Duration> {
        self.kinds.values().filter_map(KindEvaluator::longest_time).max()
    }

    /// Records responses of an old version.
    pub fn on_baseline(&mut self, kind: &str, counts: &CountsDelta) {
        let kind_state = self.kinds.entry(kind.into()).or_default();
        kind_state.baseline.iter_mut().for_each(|baseline| baseline.add(counts));
    }

    /// Records responses of an instance of the canary.
    pub fn on_canary(&mut self, instance: &str, kind: &str, counts: &CountsDelta) {
        let kind_state = self.kinds.entry(kind.into()).or_default();
        let failures = Sample { answered: counts.answered, bad: counts.failed };
        let samples = [(Fault::Fails, Some(failures)), (Fault::Slow, kind_state.slow(counts))];
        for (fault, sample) in samples {
            let Some(sample) = sample else { continue };
            let baseline = kind_state.baseline_share(fault);
            kind_state.tests.entry(fault).or_default().update(sample, baseline, fault.increases());
            let totals = self.instances.entry((instance.into(), fault)).or_default();
            totals.0 += sample.answered;
            totals.1 += sample.bad;
        }
    }

    /// Returns a regression of the canary, if one is detected.
    pub fn finding(&self) -> Option<Finding> {
        self.worse_if(FaultTest::is_regression, 1.0)
    }

    /// Returns a regression of the canary that is likely, if there is one, though not yet detected.
    pub fn suspicion(&self) -> Option<Finding> {
        self.worse_if(FaultTest::is_suspicious, SINGLE_INSTANCE_CHANCE)
    }

    /// Returns a regression that is not that of a single instance, where this may be wrong with a
    /// probability of `max_chance`.
    fn worse_if(&self, is_worse: impl Fn(&FaultTest) -> bool, max_chance: f64) -> Option<Finding> {
        let found = |(kind, kind_state): (&String, &KindEvaluator)| {
            let (fault, test) = kind_state.tests.iter().find(|(_, test)| is_worse(test))?;
            Some(Finding {
                kind: kind.clone(),
                fault: *fault,
                answered: test.answered,
                bad: test.bad,
                baseline: kind_state.baseline_share(*fault),
            })
        };
        let mut findings = self.kinds.iter().filter_map(found);
        findings.find(|finding| !self.is_single_instance(finding.fault, max_chance))
    }

    /// Returns whether nearly all bad responses come from one of several instances, with a
    /// probability of at most `max_chance` if the instances are equally bad.
    fn is_single_instance(&self, fault: Fault, max_chance: f64) -> bool {
        let instances =
            self.instances.iter().filter(|((_, f), _)| *f == fault).map(|(_, tried)| *tried);
        let tried: Vec<(u64, u64)> =
            instances.filter(|(answered, _)| *answered >= MIN_INSTANCE_ANSWERS).collect();
        let bad: u64 = tried.iter().map(|(_, bad)| bad).sum();
        let answered: u64 = tried.iter().map(|(answered, _)| answered).sum();
        let Some((worst_answered, worst)) = tried.iter().max_by_key(|(_, bad)| bad) else {
            return false;
        };
        let share = *worst_answered as f64 / answered as f64;
        let chance = tried.len() as f64 * at_least(*worst, bad, share);
        tried.len() > 1
            && *worst as f64 > SINGLE_INSTANCE_SHARE * bad as f64
            && chance.min(1.0) <= max_chance
    }
}

impl KindEvaluator {
    /// Returns the bucket from which a response is slow; `None` without enough baseline times.
    fn slow_from_bucket(&self) -> Option<usize> {
        let [_, longer] = &self.baseline;
        longer.median_bucket().map(|bucket| (bucket + SLOW_BUCKETS).min(BUCKETS))
    }

    fn longest_time(&self) -> Option<Duration> {
        let [_, longer] = &self.baseline;
        longer.bucket_at(LONGEST_TIME_SHARE).map(counts::upper_bound)
    }

    fn slow(&self, counts: &CountsDelta) -> Option<Sample> {
        let from = self.slow_from_bucket()?;
        let answered = counts.times.iter().sum();
        Some(Sample { answered, bad: counts.times[from..].iter().sum() })
    }

    /// Returns the baseline share of bad responses.
    fn baseline_share(&self, fault: Fault) -> f64 {
        let from = self.slow_from_bucket().unwrap_or(BUCKETS);
        let baselines = self.baseline.iter().zip(PRIOR_ANSWERS);
        let shares = baselines.map(|(counts, prior)| counts.share_of(fault, from, prior));
        shares.fold(0.0, f64::max)
    }
}

impl Fault {
    const fn increases(self) -> &'static [f64] {
        match self {
            Fault::Fails => &FAILURE_INCREASES,
            Fault::Slow => &SLOW_INCREASES,
        }
    }
}

/// Returns the probability of `least` or more hits in `all` trials with probability `share` each.
fn at_least(least: u64, all: u64, share: f64) -> f64 {
    let mut term = share.powf(all as f64);
    let mut sum = 0.0;
    for hits in (least..=all).rev() {
        sum += term;
        term *= hits as f64 / (all - hits + 1) as f64 * (1.0 - share) / share;
    }
    sum
}

/// Responses tested together.
#[derive(Clone, Copy, Debug)]
struct Sample {
    answered: u64,
    bad: u64,
}

impl FaultTest {
    /// Adds the log-likelihood ratios of the sample: worse by each of `increases`, against the
    /// baseline share.
    fn update(&mut self, sample: Sample, baseline: f64, increases: &[f64]) {
        let ratios = increases.iter().map(|more| sample.ratio(baseline, *more));
        for ((score, total), ratio) in self.scores.iter_mut().zip(&mut self.totals).zip(ratios) {
            *score = (*score + ratio).max(0.0);
            *total += ratio;
        }
        self.answered += sample.answered;
        self.bad += sample.bad;
    }

    fn is_regression(&self) -> bool {
        max(self.scores) >= REGRESSION_SCORE
    }

    fn is_suspicious(&self) -> bool {
        max(self.scores) >= SUSPICION_SHARE * REGRESSION_SCORE
            || max(self.totals) >= SUSPICION_TOTAL
    }
}

fn max(ratios: [f64; 3]) -> f64 {
    ratios.into_iter().fold(0.0, f64::max)
}

impl Sample {
    /// Returns the log-likelihood ratio of the sample.
    fn ratio(self, baseline: f64, more: f64) -> f64 {
        let worse = baseline + more * (1.0 - baseline);
        let good = self.answered.saturating_sub(self.bad);
        self.bad as f64 * (worse / baseline).ln()
            + good as f64 * ((1.0 - worse) / (1.0 - baseline)).ln()
    }
}

impl BaselineCounts {
    fn decay(&mut self, factor: f64) {
        self.answered *= factor;
        self.failed *= factor;
        self.times.iter_mut().for_each(|count| *count *= factor);
    }

    fn add(&mut self, counts: &CountsDelta) {
        self.answered += counts.answered as f64;
        self.failed += counts.failed as f64;
        for (known, count) in self.times.iter_mut().zip(counts.times) {
            *known += count as f64;
        }
    }

    /// Returns the bucket of the median; `None` without enough times.
    fn median_bucket(&self) -> Option<usize> {
        self.bucket_at(0.5)
    }

    /// Returns the bucket below whose end a share of the times lies; `None` without enough times.
    fn bucket_at(&self, share: f64) -> Option<usize> {
        let known: f64 = self.times.iter().sum();
        if known < MIN_TIMINGS {
            return None;
        }
        let mut below = 0.0;
        self.times.iter().position(|count| {
            below += count;
            below >= share * known
        })
    }

    /// Returns the share of bad responses, smoothed with the smallest share as a prior.
    fn share_of(&self, fault: Fault, slow_from_bucket: usize, prior_answers: f64) -> f64 {
        let share = |bad: f64, of: f64, least: f64, prior: f64| {
            ((bad + least * prior) / (of + prior)).clamp(least, 0.9)
        };
        match fault {
            Fault::Fails => share(self.failed, self.answered, MIN_FAILURE_SHARE, prior_answers),
            Fault::Slow => {
                let slow = self.times[slow_from_bucket..].iter().sum();
                share(slow, self.times.iter().sum(), MIN_SLOW_SHARE, PRIOR_TIMINGS)
            }
        }
    }
}
