//! The verdict on a version: how often a good one is condemned by chance, and how soon a bad one is found.

use cherrystream_core::rollout::evaluation::{Evaluator, Fault};
use cherrystream_core::rollout::tally::{Answer, Counts, CountsDelta};
use cherrystream_core::units::Timestamp;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::Duration;

/// How a version answers.
#[derive(Clone, Copy)]
struct Manner {
    fails: f64,
    slower: f64,
}

const GOOD: Manner = Manner { fails: 0.004, slower: 1.0 };

impl Manner {
    fn answer(self, rng: &mut SmallRng) -> Answer {
        // Spread as of most work: a third of the answers lie outside of a factor of 1.35.
        let spread: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
        let ms = 60.0 * (0.3 * spread).exp() * self.slower;
        let failed = rng.random::<f64>() < self.fails;
        Answer { failed, took: Some(Duration::from_secs_f64(ms / 1_000.0)) }
    }
}

fn answers(rng: &mut SmallRng, manner: Manner, count: usize) -> CountsDelta {
    let kind: Arc<str> = "k".into();
    let mut counts = Counts::default();
    (0..count).for_each(|_| counts.on_answer(&kind, manner.answer(rng)));
    CountsDelta::since(&counts.by_kind()["k"], None)
}

/// Plays 400 ms after 400 ms, 5 answers of each of two new backend servers beside 200 of the old ones; returns after how
/// many answers the new version was condemned.
fn condemned_after(seed: u64, old: Manner, new: [Manner; 2], rounds: usize) -> Option<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut evaluator = Evaluator::default();
    for round in 0..rounds {
        evaluator.decay(Timestamp::default() + Duration::from_millis(400) * round as u32);
        evaluator.on_baseline("k", &answers(&mut rng, old, 200));
        for (run, manner) in ["x", "y"].iter().zip(new) {
            evaluator.on_canary(run, "k", &answers(&mut rng, manner, 5));
        }
        if let Some(finding) = evaluator.finding() {
            return Some(finding.answered);
        }
    }
    None
}

const SEEDS: u64 = 300;
/// Forty seconds.
const ROUNDS: usize = 100;

#[test]
fn a_good_version_is_seldom_condemned_by_chance() {
    for old in [GOOD, Manner { fails: 0.03, ..GOOD }, Manner { fails: 0.2, slower: 3.0 }] {
        let condemned = |seed: &u64| condemned_after(*seed, old, [old; 2], ROUNDS).is_some();
        let false_alarms = (0..SEEDS).filter(condemned).count();
        assert!(false_alarms <= 3, "{false_alarms} of {SEEDS} good versions, fails {}", old.fails);
    }
}

#[test]
fn a_bad_version_is_found_after_tens_of_bad_answers() {
    let manners = [(0.1, 1.0, 300), (0.4, 1.0, 60), (1.0, 1.0, 20), (0.004, 4.0, 40)];
    for (fails, slower, answers_at_most) in manners {
        let new = [Manner { fails, slower }; 2];
        let found = |seed| condemned_after(seed, GOOD, new, ROUNDS);
        let late = (0..SEEDS).filter(|s| found(*s).is_none_or(|after| after > answers_at_most));
        let late = late.count();
        assert!(late <= 3, "{late} of {SEEDS} found late: fails {fails}, {slower} times slower");
    }
}

#[test]
fn what_all_versions_suffer_in_the_same_seconds_condemns_none() {
    let hard = Manner { fails: 0.3, slower: 5.0 };
    let mut evaluator = Evaluator::default();
    let mut rng = SmallRng::seed_from_u64(1);
    for round in 0..100_u32 {
        evaluator.decay(Timestamp::default() + Duration::from_millis(400) * round);
        let manner = if (40..60).contains(&round) { hard } else { GOOD };
        evaluator.on_baseline("k", &answers(&mut rng, manner, 200));
        evaluator.on_canary("x", "k", &answers(&mut rng, manner, 5));
        evaluator.on_canary("y", "k", &answers(&mut rng, manner, 5));
        assert_eq!(evaluator.finding(), None, "round {round}");
    }
}

#[test]
fn one_bad_backend_server_among_several_does_not_condemn_its_version() {
    let bad = Manner { fails: 0.5, slower: 1.0 };
    assert_eq!(condemned_after(1, GOOD, [GOOD, bad], ROUNDS), None);
    assert!(condemned_after(1, GOOD, [bad, bad], ROUNDS).is_some());
}

#[test]
fn a_version_that_is_bad_on_one_kind_of_request_only_is_found_there() {
    let mut evaluator = Evaluator::default();
    let mut rng = SmallRng::seed_from_u64(7);
    let bad = Manner { fails: 0.4, slower: 1.0 };
    for round in 0..20_u32 {
        evaluator.decay(Timestamp::default() + Duration::from_millis(400) * round);
        for (kind, manner) in [("often", GOOD), ("seldom", bad)] {
            evaluator.on_baseline(kind, &answers(&mut rng, GOOD, 100));
            evaluator.on_canary("x", kind, &answers(&mut rng, manner, 3));
            evaluator.on_canary("y", kind, &answers(&mut rng, manner, 3));
        }
    }
    let finding = evaluator.finding().expect("it fails four in ten of one kind");
    assert_eq!((finding.kind.as_str(), finding.fault), ("seldom", Fault::Fails));
}
