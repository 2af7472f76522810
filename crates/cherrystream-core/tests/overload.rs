//! Doors under load: pace, slots kept free for calls, and requests that have a choice.

use cherrystream_core::admission::{self, Admission, Arrival, Verdict};
use cherrystream_core::callers::Callers;
use cherrystream_core::log_budget::LogBudget;
use cherrystream_core::pace::Pace;
use cherrystream_core::reasons::Reason;
use cherrystream_core::units::Timestamp;
use cherrystream_core::usual_times::UsualTimes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::Duration;

fn ms(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn door(slots: u32) -> Admission {
    Admission::new(admission::Options {
        slots,
        queue: 8,
        ramp: Duration::ZERO,
        share: 0.8,
        cold: None,
    })
}

fn arrival(weight: u32, selective: bool) -> Arrival {
    let (called, deadline) = (false, ms(60_000));
    Arrival { called, weight, deadline, selective, good_until: None, usual: None }
}

fn call(selective: bool) -> Arrival {
    Arrival { called: true, ..arrival(1, selective) }
}

fn reason(verdict: Verdict) -> Option<Reason> {
    match verdict {
        Verdict::Refuse(refusal) => Some(refusal.reason),
        _ => None,
    }
}

#[test]
fn a_request_with_a_choice_is_turned_down_where_work_is_slow() {
    let mut door = door(10);
    door.on_pace(ms(1_000), 400);
    assert_eq!(reason(door.arrive(ms(1_010), arrival(1, true)).0), Some(Reason::BusyNow));
    assert!(matches!(door.arrive(ms(1_010), arrival(1, false)).0, Verdict::Run(_)));
    door.on_pace(ms(1_050), 100);
    assert!(matches!(door.arrive(ms(1_060), arrival(1, true)).0, Verdict::Run(_)));
}

#[test]
fn a_slow_server_takes_the_work_that_it_still_answers_in_time() {
    let mut door = door(10);
    door.on_pace(ms(1_000), 200);
    let with = |usual: u64, until: u64| Arrival {
        usual: Some(Duration::from_millis(usual)),
        good_until: Some(ms(until)),
        ..arrival(1, true)
    };
    assert!(matches!(door.arrive(ms(1_000), with(100, 1_250)).0, Verdict::Run(_)));
    assert_eq!(reason(door.arrive(ms(1_000), with(100, 1_150)).0), Some(Reason::BusyNow));
    // At the usual pace it is not the pace that makes an answer late.
    door.on_pace(ms(1_050), 100);
    assert!(matches!(door.arrive(ms(1_060), with(100, 1_100)).0, Verdict::Run(_)));
}

#[test]
fn the_usual_time_of_a_kind_does_not_depend_on_the_pace_at_which_it_was_learned() {
    let mut usual_times = UsualTimes::default();
    let kind: Arc<str> = "quotes".into();
    for i in 0..40 {
        let slowness = [100, 200, 400][i % 3];
        let took = Duration::from_millis(u64::from(slowness));
        usual_times.on_answer(ms(i as u64), &kind, took, slowness);
    }
    assert_eq!(usual_times.usual("quotes").map(|d| d.as_millis()), Some(100));
    assert_eq!(usual_times.usual("payouts"), None);
}

#[test]
fn kinds_that_no_longer_come_make_room_for_others() {
    let mut usual_times = UsualTimes::default();
    let took = Duration::from_millis(5);
    for i in 0..2_000_u64 {
        let kind: Arc<str> = format!("kind-{i}").into();
        (0..5).for_each(|_| usual_times.on_answer(ms(i * 1_000), &kind, took, 100));
        assert!(usual_times.usual(&kind).is_some(), "kind {i} is not learned");
    }
}

#[test]
fn the_word_of_a_slow_server_is_asked_for_again_and_forgotten() {
    let mut pace = Pace::default();
    assert!(!pace.needs_probe(ms(1)));
    pace.on_report(ms(100), 400);
    assert!(pace.is_too_slow(ms(120), None, None));
    assert!(!pace.needs_probe(ms(200)), "nobody was turned down");
    pace.on_refused();
    assert!(!pace.needs_probe(ms(120)));
    assert!(pace.needs_probe(ms(200)));
    assert!(!pace.is_too_slow(ms(600), None, None));
}

#[test]
fn only_a_share_of_the_slots_is_used() {
    let mut door = door(10);
    for _ in 0..8 {
        assert!(matches!(door.arrive(ms(1), arrival(1, true)).0, Verdict::Run(_)));
    }
    assert_eq!(reason(door.arrive(ms(1), arrival(1, true)).0), Some(Reason::BusyNow));
    assert!(matches!(door.arrive(ms(1), arrival(1, false)).0, Verdict::Wait(_)));
}

#[test]
fn calls_by_running_requests_find_a_slot_kept_free() {
    let mut door = door(10);
    // For two seconds, one call runs at any moment.
    for at in 0..100 {
        let Verdict::Run(ticket) = door.arrive(ms(at * 20), call(true)).0 else {
            panic!("a call finds no slot");
        };
        door.finish(ms(at * 20 + 19), ticket, true);
    }
    let started = (0..10)
        .filter(|_| matches!(door.arrive(ms(2_000), arrival(1, true)).0, Verdict::Run(_)))
        .count();
    assert_eq!(started, 7, "one of the eight slots is kept free");
    assert!(matches!(door.arrive(ms(2_001), call(true)).0, Verdict::Run(_)));
    // Once no call has come for a while, all slots are for everybody.
    assert!(matches!(door.arrive(ms(9_000), arrival(1, true)).0, Verdict::Refuse(_)));
}

#[test]
fn a_call_goes_before_what_waits() {
    let mut door = door(2);
    let Verdict::Run(first) = door.arrive(ms(1), arrival(1, false)).0 else { panic!() };
    let Verdict::Wait(other) = door.arrive(ms(2), arrival(1, false)).0 else { panic!() };
    let Verdict::Wait(call) = door.arrive(ms(3), call(false)).0 else { panic!() };
    assert_eq!(door.finish(ms(9), first, true), [admission::Action::Start(call)]);
    assert_eq!(door.finish(ms(12), call, true), [admission::Action::Start(other)]);
}

#[test]
fn log_lines_are_bounded_and_what_is_left_out_is_counted() {
    let mut budget = LogBudget::default();
    let written = (0..1_000).filter(|_| budget.take(ms(1_000), true).is_some()).count();
    assert_eq!(written, 80);
    assert_eq!(budget.take(ms(1_100), true), Some(920));
    assert_eq!(budget.take(ms(1_200), true), Some(0));
}

#[test]
fn a_route_that_one_service_uses_beside_shared_ones_is_a_call() {
    let mut callers = Callers::default();
    let name = |text: &str| -> Arc<str> { text.into() };
    let services = ["quotes", "payouts", "history"];
    let mut called = 0;
    for i in 0..60 {
        let service = name(services[i % 3]);
        assert!(!callers.on_request(ms(i as u64), &name("orders"), &service));
        called += u32::from(callers.on_request(ms(i as u64), &name("checks"), &name("quotes")));
    }
    assert!(called > 40, "{called}");
    // Where all routes come from one service, that service's hosts are where callers come in.
    let mut callers = Callers::default();
    for i in 0..60 {
        assert!(!callers.on_request(ms(i), &name("orders"), &name("edge")));
        assert!(!callers.on_request(ms(i), &name("checks"), &name("edge")));
    }
}

/// Load: requests of one kind are split over two of three services, as while a table is changed. Both call the third one
/// on the same route, so neither is its only caller; its own host, where one in eight callers comes in, never calls.
#[test]
fn a_route_that_the_hosts_of_some_service_do_not_use_is_a_call() {
    let mut callers = Callers::default();
    let name = |text: &str| -> Arc<str> { text.into() };
    let hosts =
        ["quotes", "payouts", "quotes", "payouts", "quotes", "payouts", "quotes", "archive"];
    let mut called = 0;
    for i in 0..100 {
        let now = ms(i as u64 * 10);
        assert!(!callers.on_request(now, &name("uploads"), &name(hosts[i % 8])), "{i}");
        let calls = callers.on_request(now, &name("index"), &name(hosts[i % 2]));
        called += u32::from(calls);
    }
    assert!(called >= 40, "{called}");
}

/// A route that is used like the others but rarely is not taken for one by the chance that a service has not used it.
#[test]
fn a_rare_route_of_callers_is_no_call() {
    let mut callers = Callers::default();
    let name = |text: &str| -> Arc<str> { text.into() };
    let hosts =
        ["quotes", "payouts", "quotes", "payouts", "quotes", "payouts", "quotes", "archive"];
    for i in 0..30 {
        callers.on_request(ms(i as u64 * 10), &name("uploads"), &name(hosts[i % 8]));
        let called = callers.on_request(ms(i as u64 * 10), &name("deletes"), &name(hosts[i % 7]));
        assert!(!called, "{i}");
    }
}

/// With many services, some are missing among a route's requests for a long while by chance alone.
#[test]
fn a_route_of_many_services_is_no_call_for_missing_some_by_chance() {
    let mut wrong = 0;
    for seed in 0..8 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut callers = Callers::default();
        for i in 0..1_500_u64 {
            let route = ["orders", "deletes"][rng.random_range(0..2)];
            let service = format!("service-{}", rng.random_range(0..130));
            let called = callers.on_request(ms(i * 10), &route.into(), &service.as_str().into());
            wrong += u32::from(called);
        }
    }
    assert!(wrong < 120, "{wrong} of 12000");
}

/// An answer that will be late anyway is worth less than one that can be in time, so it waits behind.
#[test]
fn what_can_be_in_time_goes_before_what_cannot() {
    let mut door = door(1);
    let usual = Some(Duration::from_millis(300));
    let until = |millis| Arrival { good_until: Some(ms(millis)), usual, ..arrival(1, false) };
    let Verdict::Run(first) = door.arrive(ms(0), until(800)).0 else { panic!() };
    let Verdict::Wait(late) = door.arrive(ms(1), until(200)).0 else { panic!() };
    let Verdict::Wait(in_time) = door.arrive(ms(2), until(800)).0 else { panic!() };
    assert_eq!(door.finish(ms(10), first, true), [admission::Action::Start(in_time)]);
    assert_eq!(door.finish(ms(20), in_time, true), [admission::Action::Start(late)]);
}
