//! Simulated roll-outs: a good version is completed by its deadline, a bad one stays within the
//! exposure limit.

use crate::world::{self, Outcome, Simulation, Version};
use cherrystream_core::rollout::controller::Limits;
use cherrystream_schema::messages::RolloutStage;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const GOOD: Version = Version { fails: 0.002, slower: 1.0, from_s: 0.0, from_load: 0 };
const SEEDS: u64 = 20;
/// Required by users: longest time between the 50th bad response and the last request.
const MAX_ROLLBACK_DELAY: Duration = Duration::from_secs(5);

fn simulation(version: Version, per_second: f64, seed: u64) -> Simulation {
    let within = Duration::from_secs(12);
    Simulation { version, per_second, within, servers: 20, leaderless: None, seed }
}

fn simulate_seeds(mut simulations: impl FnMut(u64) -> Simulation) -> Vec<Outcome> {
    (0..SEEDS).map(|seed| world::simulate(simulations(seed))).collect()
}

fn count_in_stage(outcomes: &[Outcome], stage: RolloutStage) -> usize {
    outcomes.iter().filter(|outcome| outcome.stage == stage).count()
}

fn assert_bounds(outcomes: &[Outcome]) {
    for outcome in outcomes {
        assert!(outcome.is_within(Limits::default()), "{outcome:?}");
        assert!(outcome.late <= MAX_ROLLBACK_DELAY, "{outcome:?}");
    }
}

#[test]
fn a_good_version_is_completed_by_its_deadline_at_any_rate() {
    for per_second in [2.0, 40.0, 600.0] {
        let outcomes = simulate_seeds(|seed| simulation(GOOD, per_second, seed));
        let completed = count_in_stage(&outcomes, RolloutStage::Completed);
        assert!(completed as u64 >= SEEDS - 1, "{completed} of {SEEDS} at {per_second} a second");
    }
}

#[test]
fn a_good_version_is_completed_with_a_longer_deadline() {
    for within in [30, 60] {
        let within = Duration::from_secs(within);
        let outcomes =
            simulate_seeds(|seed| Simulation { within, ..simulation(GOOD, 200.0, seed) });
        assert!(count_in_stage(&outcomes, RolloutStage::Completed) as u64 >= SEEDS - 1);
    }
}

#[test]
fn no_request_is_in_flight_at_old_backend_servers_when_they_stop() {
    for outcome in simulate_seeds(|seed| simulation(GOOD, 300.0, seed)) {
        assert_eq!(outcome.cut_off, 0, "{outcome:?}");
    }
}

#[test]
fn a_version_that_is_bad_from_the_start_stays_within_the_limit() {
    let bad = [
        Version { fails: 0.2, ..GOOD },
        Version { fails: 0.4, ..GOOD },
        Version { fails: 1.0, ..GOOD },
        Version { slower: 4.0, ..GOOD },
        Version { slower: 8.0, ..GOOD },
    ];
    for version in bad {
        for per_second in [40.0, 600.0] {
            let outcomes = simulate_seeds(|seed| simulation(version, per_second, seed));
            assert_bounds(&outcomes);
            let rolled_back = count_in_stage(&outcomes, RolloutStage::RolledBack);
            assert!(
                rolled_back as u64 >= SEEDS - 1,
                "{rolled_back}: {version:?}, {per_second} a second"
            );
        }
    }
}

/// Guards against bad responses that two instances share unevenly by chance: the version was taken
/// for a good one with a bad instance.
#[test]
fn a_version_that_fails_one_in_five_of_few_requests_is_rolled_back() {
    const FIRST_SEED: u64 = 50_000;
    const MANY_SEEDS: u64 = 100;
    let version = Version { fails: 0.2, ..GOOD };
    let outcomes: Vec<Outcome> = (FIRST_SEED..FIRST_SEED + MANY_SEEDS)
        .map(|seed| world::simulate(simulation(version, 40.0, seed)))
        .collect();
    assert_bounds(&outcomes);
    let rolled_back = count_in_stage(&outcomes, RolloutStage::RolledBack) as u64;
    assert!(rolled_back * SEEDS >= MANY_SEEDS * (SEEDS - 1), "{rolled_back} of {MANY_SEEDS}");
}

/// Low traffic is covered by the last test.
#[test]
fn a_version_that_fails_one_in_ten_is_rolled_back_at_high_traffic() {
    let version = Version { fails: 0.1, ..GOOD };
    let outcomes = simulate_seeds(|seed| simulation(version, 600.0, seed));
    assert_bounds(&outcomes);
    assert!(count_in_stage(&outcomes, RolloutStage::RolledBack) as u64 >= SEEDS - 1);
}

#[test]
fn a_version_that_degrades_later_stays_within_the_limit() {
    for from_s in [3.0, 6.0, 8.0] {
        for worse in [Version { fails: 0.5, ..GOOD }, Version { slower: 5.0, ..GOOD }] {
            let version = Version { from_s, ..worse };
            let outcomes = simulate_seeds(|seed| simulation(version, 300.0, seed));
            assert_bounds(&outcomes);
            assert!(
                count_in_stage(&outcomes, RolloutStage::RolledBack) as u64 >= SEEDS - 1,
                "{version:?}"
            );
        }
    }
}

#[test]
fn a_version_that_is_bad_under_load_is_rolled_back() {
    // An old backend server has about two requests in flight: 300 per second * 0.15 s / 20.
    let version = Version { fails: 0.6, from_load: 2, ..GOOD };
    let outcomes = simulate_seeds(|seed| simulation(version, 300.0, seed));
    assert_bounds(&outcomes);
    assert!(count_in_stage(&outcomes, RolloutStage::RolledBack) as u64 >= SEEDS - 1);
}

#[test]
fn a_bad_version_stays_within_the_limit_without_a_leader() {
    for from in [500, 2_000, 4_000, 8_900] {
        let from = Duration::from_millis(from);
        let leaderless = Some((from, from + Duration::from_secs(4)));
        let version = Version { fails: 0.4, ..GOOD };
        assert_bounds(&simulate_seeds(|seed| Simulation {
            leaderless,
            ..simulation(version, 300.0, seed)
        }));
    }
}

#[test]
fn a_good_version_is_completed_despite_a_lost_leader() {
    for from in [1_000, 3_000, 5_000] {
        let from = Duration::from_millis(from);
        let leaderless = Some((from, from + Duration::from_millis(1_500)));
        let outcomes =
            simulate_seeds(|seed| Simulation { leaderless, ..simulation(GOOD, 300.0, seed) });
        assert!(count_in_stage(&outcomes, RolloutStage::Completed) as u64 >= SEEDS - 1, "{from:?}");
    }
}

/// The limit holds for every bad version, also for one that fails 1 in 10 of few requests, and for
/// one that degrades after it gets all requests.
#[test]
fn a_version_that_is_hardly_bad_or_turns_bad_last_gets_no_more_than_is_stated() {
    let few = Version { fails: 0.1, ..GOOD };
    assert_bounds(&simulate_seeds(|seed| simulation(few, 40.0, seed)));
    for from_s in [9.2, 9.6, 10.0] {
        let last = Version { fails: 0.5, from_s, ..GOOD };
        assert_bounds(&simulate_seeds(|seed| simulation(last, 300.0, seed)));
    }
}

/// Number of drawn roll-outs of each class; `ROLLOUT_SEEDS` sets another one.
const DRAWN_SEEDS: u64 = 150;
/// Share of the good versions that must be completed.
const MIN_COMPLETED_SHARE: f64 = 0.99;
/// Share of the bad versions that must stay within the limit.
const MIN_BOUNDED_SHARE: f64 = 0.99;

/// Class of a drawn version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    Good,
    Fails,
    Slow,
    FailsLater,
}

fn draw(class: Class, seed: u64) -> Simulation {
    let mut rng = SmallRng::seed_from_u64(seed);
    let per_second = 2.0 * 300_f64.powf(rng.random());
    let fails = 0.1 * 10_f64.powf(rng.random());
    let version = match class {
        Class::Good => GOOD,
        Class::Fails => Version { fails, ..GOOD },
        Class::Slow => Version { slower: rng.random_range(3.0..8.0), ..GOOD },
        Class::FailsLater => Version { fails, from_s: rng.random_range(0.0..10.0), ..GOOD },
    };
    simulation(version, per_second, seed)
}

/// Guards against good versions that are rolled back and bad ones that exceed the limit, at rates
/// of traffic and degrees of regression other than those of the tests above.
#[test]
fn drawn_versions_are_rarely_misjudged() {
    let seeds = std::env::var("ROLLOUT_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    for class in [Class::Good, Class::Fails, Class::Slow, Class::FailsLater] {
        let all = seeds.unwrap_or(DRAWN_SEEDS);
        let outcomes: Vec<(f64, Outcome)> = (0..all)
            .map(|seed| draw(class, seed))
            .map(|simulation| (simulation.per_second, world::simulate(simulation)))
            .collect();
        let share = |is: &dyn Fn(&Outcome) -> bool| {
            outcomes.iter().filter(|(_, outcome)| is(outcome)).count() as f64 / all as f64
        };
        let completed = share(&|outcome| outcome.stage == RolloutStage::Completed);
        let rolled_back = share(&|outcome| outcome.stage == RolloutStage::RolledBack);
        let bounded = share(&|outcome| outcome.is_within(Limits::default()));
        let cut_off = share(&|outcome| outcome.cut_off > 0);
        println!(
            "{class:?}: {completed:.4} completed, {rolled_back:.4} rolled back, {bounded:.4} \
             within the limit, {cut_off:.4} completed with requests at old backend servers"
        );
        for (least, most) in [(2.0, 20.0), (20.0, 60.0), (60.0, 200.0), (200.0, 600.0)] {
            let at_rate = outcomes.iter().filter(|(rate, _)| (least..most).contains(rate));
            let exceeding = at_rate.clone().filter(|(_, o)| !o.is_within(Limits::default()));
            println!(
                "  {least} to {most} a second: {} of {} exceed it",
                exceeding.count(),
                at_rate.count()
            );
        }
        assert_eq!(cut_off, 0.0);
        match class {
            Class::Good => assert!(completed >= MIN_COMPLETED_SHARE, "{completed}"),
            _ => assert!(bounded >= MIN_BOUNDED_SHARE, "{class:?}: {bounded}"),
        }
    }
}
