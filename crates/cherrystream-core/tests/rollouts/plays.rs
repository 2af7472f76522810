//! Simulated roll-outs: a good version is completed by its deadline, a bad one stays within the
//! exposure limit.

use crate::world::{self, Outcome, Simulation, Version};
use cherrystream_core::rollout::controller::Limits;
use cherrystream_schema::messages::RolloutStage;
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
