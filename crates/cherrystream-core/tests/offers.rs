//! Choice of the backend server that a request is offered to first.

use cherrystream_core::choose::{self, Distance, Nearby, ServerId, ServerTable};
use cherrystream_core::units::Timestamp;
use cherrystream_schema::messages::{Report, ServerState};
use cherrystream_schema::settings::ChoicePolicy;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;

fn ms(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn server(name: &str, distance: Distance) -> ServerId {
    ServerId {
        name: name.into(),
        host: name.into(),
        slots: 10,
        distance,
        out: false,
        crossing_cost: Duration::ZERO,
        born_ms: 0,
        registered: true,
    }
}

fn report(in_flight: u32, sequence: u64) -> Report {
    Report {
        in_flight,
        queued: 0,
        slots: 10,
        latency_us: 50_000,
        oldest_us: 0,
        state: ServerState::Live,
        slowness: 100,
        sequence,
        incarnation: 1,
    }
}

fn table(ids: Vec<ServerId>) -> ServerTable {
    let mut table = ServerTable::new(choose::policy(ChoicePolicy::LowestLoad));
    table.set_servers(ids);
    table
}

fn offered(table: &mut ServerTable, at: u64) -> Option<String> {
    let mut rng = SmallRng::seed_from_u64(1);
    table.choose_free(ms(at), &mut rng, &[], "order").map(|id| id.name.to_string())
}

#[test]
fn a_busy_backend_server_is_not_chosen_until_it_may_have_a_free_slot() {
    let mut table = table(vec![server("a", Distance::SameDomain)]);
    table.server("a").unwrap().on_busy(ms(1_000), "order", Duration::from_millis(40));
    assert_eq!(offered(&mut table, 1_020), None);
    assert_eq!(offered(&mut table, 1_041).as_deref(), Some("a"));
}

#[test]
fn a_load_report_with_free_slots_clears_the_busy_state() {
    let mut table = table(vec![server("a", Distance::SameDomain)]);
    let server = table.server("a").unwrap();
    server.on_busy(ms(1_000), "order", Duration::from_millis(200));
    server.on_report(ms(1_010), report(10, 1));
    assert_eq!(offered(&mut table, 1_011), None);
    table.server("a").unwrap().on_report(ms(1_020), report(3, 2));
    assert_eq!(offered(&mut table, 1_021).as_deref(), Some("a"));
}

#[test]
fn a_backend_server_is_considered_busy_for_a_bounded_time() {
    let mut table = table(vec![server("a", Distance::SameDomain)]);
    table.server("a").unwrap().on_busy(ms(1_000), "order", Duration::from_secs(60));
    assert_eq!(offered(&mut table, 1_400).as_deref(), Some("a"));
}

#[test]
fn the_same_failure_domain_is_preferred_while_it_is_healthy() {
    let mut table =
        table(vec![server("near", Distance::SameDomain), server("far", Distance::SameRegion)]);
    table.server("near").unwrap().on_report(ms(1_000), report(8, 1));
    table.server("far").unwrap().on_report(ms(1_000), report(0, 1));
    assert_eq!(offered(&mut table, 1_001).as_deref(), Some("near"));

    let near = table.server("near").unwrap();
    (0..5).for_each(|_| near.on_error(ms(1_002)));
    assert_eq!(offered(&mut table, 1_003).as_deref(), Some("far"));
    // The weight of errors decays, so the server is tried again.
    assert_eq!(offered(&mut table, 6_000).as_deref(), Some("near"));
}

/// Kinds differ in their slots and their place in the queue.
#[test]
fn a_refusal_of_one_kind_does_not_affect_another() {
    let mut table = table(vec![server("a", Distance::SameDomain)]);
    table.server("a").unwrap().on_busy(ms(1_000), "quote", Duration::from_millis(200));
    assert_eq!(offered(&mut table, 1_001).as_deref(), Some("a"));
}

#[test]
fn a_request_is_refused_at_once_if_every_queue_is_full() {
    let mut table =
        table(vec![server("a", Distance::SameDomain), server("b", Distance::SameRegion)]);
    let mut rng = SmallRng::seed_from_u64(1);
    let full = Duration::from_millis(40);
    table.server("a").unwrap().on_full(ms(1_000), "order", full);
    let open = table.choose_not_full(ms(1_001), &mut rng, &[], "order");
    assert_eq!(open.unwrap().unwrap().name.as_ref(), "b");
    table.server("b").unwrap().on_full(ms(1_005), "order", full);
    let open = table.choose_not_full(ms(1_006), &mut rng, &[], "order");
    assert_eq!(open, Err(Duration::from_millis(34)));
    let open = table.choose_not_full(ms(1_006), &mut rng, &[], "call");
    assert!(open.unwrap().is_some());
    let open = table.choose_not_full(ms(1_041), &mut rng, &[], "order");
    assert_eq!(open.unwrap().unwrap().name.as_ref(), "a");
}

#[test]
fn a_free_remote_server_is_chosen_over_a_busy_near_one() {
    let mut table =
        table(vec![server("near", Distance::SameDomain), server("far", Distance::SameRegion)]);
    table.server("near").unwrap().on_busy(ms(1_000), "order", Duration::from_millis(40));
    assert_eq!(offered(&mut table, 1_001).as_deref(), Some("far"));
}

fn waits_near(table: &mut ServerTable, at: u64, within: u64) -> Option<String> {
    let mut rng = SmallRng::seed_from_u64(1);
    let within = Duration::from_millis(within);
    let near = table.choose_near_within(ms(at), &mut rng, &[], "order", within);
    near.map(|id| id.name.to_string())
}

/// Guards against long waits in the same failure domain when traffic to others is expensive.
#[test]
fn a_request_waits_near_only_if_it_starts_soon() {
    let mut table =
        table(vec![server("near", Distance::SameDomain), server("far", Distance::SameRegion)]);
    table.server("near").unwrap().on_busy(ms(1_000), "order", Duration::from_millis(40));
    assert_eq!(waits_near(&mut table, 1_000, 30), None, "the wait is too long");
    assert_eq!(waits_near(&mut table, 1_015, 30).as_deref(), Some("near"));

    table.server("near").unwrap().on_full(ms(1_015), "order", Duration::from_millis(20));
    assert_eq!(waits_near(&mut table, 1_020, 30), None, "the queue is full");
    assert_eq!(waits_near(&mut table, 1_040, 30).as_deref(), Some("near"));
}

#[test]
fn a_request_does_not_wait_near_if_the_server_is_slow_or_unhealthy() {
    let mut table = table(vec![server("near", Distance::SameDomain)]);
    let near = table.server("near").unwrap();
    near.on_report(ms(1_000), Report { slowness: 400, ..report(10, 1) });
    near.on_busy(ms(1_000), "order", Duration::from_millis(10));
    assert_eq!(waits_near(&mut table, 1_001, 30), None);
    table.server("near").unwrap().on_report(ms(1_010), report(10, 2));
    assert_eq!(waits_near(&mut table, 1_011, 30).as_deref(), Some("near"));
    let near = table.server("near").unwrap();
    (0..5).for_each(|_| near.on_error(ms(1_012)));
    assert_eq!(waits_near(&mut table, 1_013, 30), None);
}

/// A request with a long body waits for a busy near server instead of crossing failure domains.
#[test]
fn a_near_server_is_offered_again_when_it_is_free() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut table =
        table(vec![server("near", Distance::SameDomain), server("far", Distance::SameRegion)]);
    let mut nearby =
        |table: &mut ServerTable, at| table.choose_nearby(ms(at), &mut rng, &[], "upload");
    let name = |nearby: Nearby| match nearby {
        Nearby::Free(server) => Some(server.name.to_string()),
        _ => None,
    };
    assert_eq!(name(nearby(&mut table, 1_000)).as_deref(), Some("near"));
    table.server("near").unwrap().on_busy(ms(1_000), "upload", Duration::from_millis(40));
    assert_eq!(nearby(&mut table, 1_010), Nearby::BusyFor(Duration::from_millis(30)));
    assert_eq!(name(nearby(&mut table, 1_041)).as_deref(), Some("near"));
    table.server("near").unwrap().on_closed(ms(1_050));
    assert_eq!(
        nearby(&mut table, 1_060),
        Nearby::None,
        "no wait for a server that accepts no work"
    );
}
