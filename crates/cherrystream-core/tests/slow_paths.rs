//! Choices among backend servers whose hosts are reached over links of different speed.

use cherrystream_core::choose::{self, Distance, ServerId, ServerTable};
use cherrystream_core::units::Timestamp;
use cherrystream_schema::messages::{Report, ServerState};
use cherrystream_schema::settings::ChoicePolicy;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;

/// Service time that both servers report.
const REPORTED_US: u64 = 4_000;

fn ms(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}

fn server(name: &str) -> ServerId {
    ServerId {
        name: name.into(),
        host: format!("host-{name}").into(),
        slots: 12,
        distance: Distance::SameRegion,
        out: false,
        crossing_cost: Duration::ZERO,
        born_ms: 0,
        registered: false,
    }
}

fn report(in_flight: u32) -> Report {
    Report {
        in_flight,
        incarnation: 1,
        latency_us: REPORTED_US,
        oldest_us: 0,
        queued: 0,
        sequence: 1,
        slots: 12,
        slowness: 100,
        state: ServerState::Live,
    }
}

/// Returns a table of an idle server whose answers take a second because of the path to its host,
/// and a server with some load.
fn table(policy: ChoicePolicy) -> ServerTable {
    let mut table = ServerTable::new(choose::policy(policy));
    table.set_servers(vec![server("slow-path"), server("loaded")]);
    let slow = table.server("slow-path").unwrap();
    slow.on_report(ms(0), report(0));
    (0..20).for_each(|_| slow.on_answer(Duration::from_secs(1)));
    let loaded = table.server("loaded").unwrap();
    loaded.on_report(ms(0), report(9));
    (0..20).for_each(|_| loaded.on_answer(Duration::from_millis(5)));
    table
}

fn choices(table: &mut ServerTable, now: u64, name: &str) -> usize {
    let mut rng = SmallRng::seed_from_u64(1);
    let chosen = (0..20).filter(|_| &*table.choose(ms(now), &mut rng, &[]).unwrap().name == name);
    chosen.count()
}

/// Guards against sending everything to a host behind a full link, whose backend server reports that
/// it is fast and idle because few requests reach it.
#[test]
fn a_server_behind_a_full_link_is_avoided_while_requests_wait_there() {
    for policy in [ChoicePolicy::TwoChoices, ChoicePolicy::LowestLoad] {
        let mut table = table(policy);
        assert_eq!(choices(&mut table, 1, "slow-path"), 20);
        table.server("slow-path").unwrap().on_sent(ms(1));
        table.server("loaded").unwrap().on_report(ms(699), report(9));
        assert_eq!(choices(&mut table, 700, "slow-path"), 0);
    }
}

/// Guards against choosing a stalled server again and again because its callers leave before a
/// result.
#[test]
fn a_server_whose_callers_left_after_a_long_wait_is_avoided() {
    for policy in [ChoicePolicy::TwoChoices, ChoicePolicy::LowestLoad] {
        let mut table = table(policy);
        let slow = table.server("slow-path").unwrap();
        let calls = [slow.on_sent(ms(1)), slow.on_sent(ms(1))];
        calls.into_iter().for_each(|call| slow.on_abandoned(ms(1_001), call));
        slow.on_report(ms(1_001), report(0));
        table.server("loaded").unwrap().on_report(ms(1_001), report(9));
        assert_eq!(choices(&mut table, 1_002, "slow-path"), 0);
        table.server("slow-path").unwrap().on_report(ms(9_000), report(0));
        table.server("loaded").unwrap().on_report(ms(9_000), report(9));
        assert_eq!(choices(&mut table, 9_001, "slow-path"), 20);
    }
}

/// Guards against taking callers that leave at once for a stall.
#[test]
fn a_server_whose_callers_left_early_is_not_avoided() {
    let mut table = table(ChoicePolicy::TwoChoices);
    let slow = table.server("slow-path").unwrap();
    let call = slow.on_sent(ms(1));
    slow.on_abandoned(ms(400), call);
    slow.on_report(ms(400), report(0));
    assert_eq!(choices(&mut table, 401, "slow-path"), 20);
}
