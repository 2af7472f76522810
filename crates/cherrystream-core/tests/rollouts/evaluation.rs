//! Evaluation of a canary: false alarms for a good version, delay of detection of a bad one.

use cherrystream_core::rollout::counts::{Answer, Counts, CountsDelta};
use cherrystream_core::rollout::evaluation::{Evaluator, Fault};
use cherrystream_core::units::Timestamp;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::Duration;

/// Behaviour of a version.
#[derive(Clone, Copy)]
struct Behaviour {
    fails: f64,
    slower: f64,
}

const GOOD: Behaviour = Behaviour { fails: 0.004, slower: 1.0 };

impl Behaviour {
    fn answer(self, rng: &mut SmallRng) -> Answer {
        // Log-normal service times: one third lies outside a factor of 1.35 around the median.
        let deviation: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
        let ms = 60.0 * (0.3 * deviation).exp() * self.slower;
        let failed = rng.random::<f64>() < self.fails;
        Answer { failed, took: Some(Duration::from_secs_f64(ms / 1_000.0)) }
    }
}

fn answers(rng: &mut SmallRng, behaviour: Behaviour, count: usize) -> CountsDelta {
    let kind: Arc<str> = "k".into();
    let mut counts = Counts::default();
    (0..count).for_each(|_| counts.on_answer(&kind, behaviour.answer(rng)));
    CountsDelta::since(&counts.by_kind()["k"], None)
}

/// Simulates rounds of 400 ms with 5 responses of each of two canary instances and 200 responses of
/// the old version; returns the number of canary responses when a regression is detected.
fn detected_after(seed: u64, old: Behaviour, new: [Behaviour; 2], rounds: usize) -> Option<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut evaluator = Evaluator::default();
    for round in 0..rounds {
        evaluator.decay(Timestamp::default() + Duration::from_millis(400) * round as u32);
        evaluator.on_baseline("k", &answers(&mut rng, old, 200));
        for (run, behaviour) in ["x", "y"].iter().zip(new) {
            evaluator.on_canary(run, "k", &answers(&mut rng, behaviour, 5));
        }
        if let Some(finding) = evaluator.finding() {
            return Some(finding.answered);
        }
    }
    None
}

const SEEDS: u64 = 300;
/// Rounds of 400 ms in 40 s.
const ROUNDS: usize = 100;

#[test]
fn a_good_version_is_rarely_found_worse_by_chance() {
    for old in [GOOD, Behaviour { fails: 0.03, ..GOOD }, Behaviour { fails: 0.2, slower: 3.0 }] {
        let detected = |seed: &u64| detected_after(*seed, old, [old; 2], ROUNDS).is_some();
        let false_alarms = (0..SEEDS).filter(detected).count();
        assert!(false_alarms <= 3, "{false_alarms} of {SEEDS} good versions, fails {}", old.fails);
    }
}

#[test]
fn a_bad_version_is_detected_after_tens_of_responses() {
    let behaviours = [(0.1, 1.0, 300), (0.4, 1.0, 60), (1.0, 1.0, 20), (0.004, 4.0, 40)];
    for (fails, slower, max_answers) in behaviours {
        let new = [Behaviour { fails, slower }; 2];
        let found = |seed| detected_after(seed, GOOD, new, ROUNDS);
        let late = (0..SEEDS).filter(|s| found(*s).is_none_or(|after| after > max_answers));
        let late = late.count();
        assert!(late <= 3, "{late} of {SEEDS} found late: fails {fails}, {slower} times slower");
    }
}

#[test]
fn a_disturbance_of_all_versions_is_no_regression() {
    let hard = Behaviour { fails: 0.3, slower: 5.0 };
    let mut evaluator = Evaluator::default();
    let mut rng = SmallRng::seed_from_u64(1);
    for round in 0..100_u32 {
        evaluator.decay(Timestamp::default() + Duration::from_millis(400) * round);
        let behaviour = if (40..60).contains(&round) { hard } else { GOOD };
        evaluator.on_baseline("k", &answers(&mut rng, behaviour, 200));
        evaluator.on_canary("x", "k", &answers(&mut rng, behaviour, 5));
        evaluator.on_canary("y", "k", &answers(&mut rng, behaviour, 5));
        assert_eq!(evaluator.finding(), None, "round {round}");
    }
}

#[test]
fn one_bad_instance_among_several_is_no_regression() {
    let bad = Behaviour { fails: 0.5, slower: 1.0 };
    assert_eq!(detected_after(1, GOOD, [GOOD, bad], ROUNDS), None);
    assert!(detected_after(1, GOOD, [bad, bad], ROUNDS).is_some());
}

#[test]
fn a_regression_of_a_single_kind_of_request_is_detected() {
    let mut evaluator = Evaluator::default();
    let mut rng = SmallRng::seed_from_u64(7);
    let bad = Behaviour { fails: 0.4, slower: 1.0 };
    for round in 0..20_u32 {
        evaluator.decay(Timestamp::default() + Duration::from_millis(400) * round);
        for (kind, behaviour) in [("often", GOOD), ("seldom", bad)] {
            evaluator.on_baseline(kind, &answers(&mut rng, GOOD, 100));
            evaluator.on_canary("x", kind, &answers(&mut rng, behaviour, 3));
            evaluator.on_canary("y", kind, &answers(&mut rng, behaviour, 3));
        }
    }
    let finding = evaluator.finding().expect("it fails four in ten of one kind");
    assert_eq!((finding.kind.as_str(), finding.fault), ("seldom", Fault::Fails));
}
