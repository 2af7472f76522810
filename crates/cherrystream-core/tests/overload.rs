//! Admission control under load: slowness reports, reserved slots for nested calls, and selective
//! requests.

use cherrystream_core::admission::{self, Admission, Arrival, Decision};
use cherrystream_core::log_budget::LogBudget;
use cherrystream_core::nested_calls::NestedCallDetector;
use cherrystream_core::reasons::Reason;
use cherrystream_core::service_times::ServiceTimes;
use cherrystream_core::slowness::Slowness;
use cherrystream_core::units::Timestamp;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::Duration;

fn ms(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn new_admission(slots: u32) -> Admission {
    Admission::new(admission::Options {
        slots,
        queue: 8,
        ramp: Duration::ZERO,
        share: 0.8,
        cold: None,
    })
}

fn arrival(weight: u32, selective: bool) -> Arrival {
    let (nested, deadline) = (false, ms(60_000));
    Arrival { nested, weight, deadline, selective, good_until: None, typical_time: None }
}

fn call(selective: bool) -> Arrival {
    Arrival { nested: true, ..arrival(1, selective) }
}

fn reason(decision: Decision) -> Option<Reason> {
    match decision {
        Decision::Refuse(refusal) => Some(refusal.reason),
        _ => None,
    }
}

#[test]
fn a_selective_request_is_refused_by_a_slow_server() {
    let mut admission = new_admission(10);
    admission.on_slowness(ms(1_000), 400);
    assert_eq!(reason(admission.arrive(ms(1_010), arrival(1, true)).0), Some(Reason::BusyNow));
    assert!(matches!(admission.arrive(ms(1_010), arrival(1, false)).0, Decision::Run(_)));
    admission.on_slowness(ms(1_050), 100);
    assert!(matches!(admission.arrive(ms(1_060), arrival(1, true)).0, Decision::Run(_)));
}

#[test]
fn a_slow_server_accepts_requests_that_it_still_answers_in_time() {
    let mut admission = new_admission(10);
    admission.on_slowness(ms(1_000), 200);
    let with_times = |typical: u64, until: u64| Arrival {
        typical_time: Some(Duration::from_millis(typical)),
        good_until: Some(ms(until)),
        ..arrival(1, true)
    };
    assert!(matches!(admission.arrive(ms(1_000), with_times(100, 1_250)).0, Decision::Run(_)));
    assert_eq!(
        reason(admission.arrive(ms(1_000), with_times(100, 1_150)).0),
        Some(Reason::BusyNow)
    );
    // At normal speed the slowness doesn't make an answer late.
    admission.on_slowness(ms(1_050), 100);
    assert!(matches!(admission.arrive(ms(1_060), with_times(100, 1_100)).0, Decision::Run(_)));
}

#[test]
fn the_typical_time_of_a_kind_does_not_depend_on_the_slowness() {
    let mut service_times = ServiceTimes::default();
    let kind: Arc<str> = "quotes".into();
    for i in 0..40 {
        let slowness = [100, 200, 400][i % 3];
        let took = Duration::from_millis(u64::from(slowness));
        service_times.on_answer(ms(i as u64), &kind, took, slowness);
    }
    assert_eq!(service_times.typical("quotes").map(|d| d.as_millis()), Some(100));
    assert_eq!(service_times.typical("payouts"), None);
}

#[test]
fn unused_kinds_are_evicted_for_new_ones() {
    let mut service_times = ServiceTimes::default();
    let took = Duration::from_millis(5);
    for i in 0..2_000_u64 {
        let kind: Arc<str> = format!("kind-{i}").into();
        (0..5).for_each(|_| service_times.on_answer(ms(i * 1_000), &kind, took, 100));
        assert!(service_times.typical(&kind).is_some(), "kind {i} has no typical time");
    }
}

#[test]
fn a_slow_server_is_probed_after_a_refusal_and_its_report_expires() {
    let mut slowness = Slowness::default();
    assert!(!slowness.needs_probe(ms(1)));
    slowness.on_report(ms(100), 400);
    assert!(slowness.is_too_slow(ms(120), None, None));
    assert!(!slowness.needs_probe(ms(200)), "no request was refused");
    slowness.on_refused();
    assert!(!slowness.needs_probe(ms(120)));
    assert!(slowness.needs_probe(ms(200)));
    assert!(!slowness.is_too_slow(ms(600), None, None));
}

#[test]
fn only_a_share_of_the_slots_is_used() {
    let mut admission = new_admission(10);
    for _ in 0..8 {
        assert!(matches!(admission.arrive(ms(1), arrival(1, true)).0, Decision::Run(_)));
    }
    assert_eq!(reason(admission.arrive(ms(1), arrival(1, true)).0), Some(Reason::BusyNow));
    assert!(matches!(admission.arrive(ms(1), arrival(1, false)).0, Decision::Wait(_)));
}

#[test]
fn nested_calls_find_a_reserved_slot() {
    let mut admission = new_admission(10);
    // For two seconds, one nested call is in flight at any moment.
    for at in 0..100 {
        let Decision::Run(ticket) = admission.arrive(ms(at * 20), call(true)).0 else {
            panic!("a nested call finds no slot");
        };
        admission.finish(ms(at * 20 + 19), ticket, true);
    }
    let started = (0..10)
        .filter(|_| matches!(admission.arrive(ms(2_000), arrival(1, true)).0, Decision::Run(_)))
        .count();
    assert_eq!(started, 7, "one of the eight slots is reserved");
    assert!(matches!(admission.arrive(ms(2_001), call(true)).0, Decision::Run(_)));
    // Without nested calls for a while, no slot is reserved.
    assert!(matches!(admission.arrive(ms(9_000), arrival(1, true)).0, Decision::Refuse(_)));
}

#[test]
fn a_nested_call_goes_before_queued_requests() {
    let mut admission = new_admission(2);
    let Decision::Run(first) = admission.arrive(ms(1), arrival(1, false)).0 else { panic!() };
    let Decision::Wait(other) = admission.arrive(ms(2), arrival(1, false)).0 else { panic!() };
    let Decision::Wait(call) = admission.arrive(ms(3), call(false)).0 else { panic!() };
    assert_eq!(admission.finish(ms(9), first, true), [admission::Action::Start(call)]);
    assert_eq!(admission.finish(ms(12), call, true), [admission::Action::Start(other)]);
}

#[test]
fn log_lines_are_limited_and_dropped_ones_are_counted() {
    let mut budget = LogBudget::default();
    let written = (0..1_000).filter(|_| budget.take(ms(1_000), true).is_some()).count();
    assert_eq!(written, 80);
    assert_eq!(budget.take(ms(1_100), true), Some(920));
    assert_eq!(budget.take(ms(1_200), true), Some(0));
}

#[test]
fn a_route_used_by_one_service_beside_shared_ones_carries_nested_calls() {
    let mut detector = NestedCallDetector::default();
    let arc = |text: &str| -> Arc<str> { text.into() };
    let services = ["quotes", "payouts", "history"];
    let mut called = 0;
    for i in 0..60 {
        let service = arc(services[i % 3]);
        assert!(!detector.on_request(ms(i as u64), &arc("orders"), &service));
        called += u32::from(detector.on_request(ms(i as u64), &arc("checks"), &arc("quotes")));
    }
    assert!(called > 40, "{called}");
    // If all routes are used by one service only, outside callers enter on its hosts.
    let mut detector = NestedCallDetector::default();
    for i in 0..60 {
        assert!(!detector.on_request(ms(i), &arc("orders"), &arc("edge")));
        assert!(!detector.on_request(ms(i), &arc("checks"), &arc("edge")));
    }
}

/// Guards against missing nested calls that come from several services, as while routes change: two
/// of three services call the third, whose own host, entered by one in eight callers, never calls.
#[test]
fn a_route_not_used_by_the_hosts_of_some_service_carries_nested_calls() {
    let mut detector = NestedCallDetector::default();
    let arc = |text: &str| -> Arc<str> { text.into() };
    let services =
        ["quotes", "payouts", "quotes", "payouts", "quotes", "payouts", "quotes", "archive"];
    let mut called = 0;
    for i in 0..100 {
        let now = ms(i as u64 * 10);
        assert!(!detector.on_request(now, &arc("uploads"), &arc(services[i % 8])), "{i}");
        let calls = detector.on_request(now, &arc("index"), &arc(services[i % 2]));
        called += u32::from(calls);
    }
    assert!(called >= 40, "{called}");
}

/// Guards against treating a rarely used route as one of nested calls because some service is
/// absent by chance.
#[test]
fn a_rare_route_of_outside_callers_carries_no_nested_calls() {
    let mut detector = NestedCallDetector::default();
    let arc = |text: &str| -> Arc<str> { text.into() };
    let services =
        ["quotes", "payouts", "quotes", "payouts", "quotes", "payouts", "quotes", "archive"];
    for i in 0..30 {
        detector.on_request(ms(i as u64 * 10), &arc("uploads"), &arc(services[i % 8]));
        let called = detector.on_request(ms(i as u64 * 10), &arc("deletes"), &arc(services[i % 7]));
        assert!(!called, "{i}");
    }
}

/// Guards against the same with many services, of which some are absent for a long time.
#[test]
fn a_route_that_lacks_some_of_many_services_by_chance_carries_no_nested_calls() {
    let mut wrong = 0;
    for seed in 0..8 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut detector = NestedCallDetector::default();
        for i in 0..1_500_u64 {
            let route = ["orders", "deletes"][rng.random_range(0..2)];
            let service = format!("service-{}", rng.random_range(0..130));
            let called = detector.on_request(ms(i * 10), &route.into(), &service.as_str().into());
            wrong += u32::from(called);
        }
    }
    assert!(wrong < 120, "{wrong} of 12000");
}

/// Guards against serving requests that will be late anyway before ones that can be in time.
#[test]
fn requests_that_can_be_in_time_go_before_those_that_cannot() {
    let mut admission = new_admission(1);
    let typical_time = Some(Duration::from_millis(300));
    let until =
        |millis| Arrival { good_until: Some(ms(millis)), typical_time, ..arrival(1, false) };
    let Decision::Run(first) = admission.arrive(ms(0), until(800)).0 else { panic!() };
    let Decision::Wait(late) = admission.arrive(ms(1), until(200)).0 else { panic!() };
    let Decision::Wait(in_time) = admission.arrive(ms(2), until(800)).0 else { panic!() };
    assert_eq!(admission.finish(ms(10), first, true), [admission::Action::Start(in_time)]);
    assert_eq!(admission.finish(ms(20), in_time, true), [admission::Action::Start(late)]);
}
