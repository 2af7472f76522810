//! Golden files of whole sessions: admission, choosing, retries, health checks.

mod session;

use cherrystream_core::admission::{self, Admission, Arrival, Ticket};
use cherrystream_core::choose::{self, Distance, ServerId, ServerTable};
use cherrystream_core::health::{Check, Health, ProbeBudget};
use cherrystream_core::reasons::Reason;
use cherrystream_core::retry::{self, Allowance, FailedAttempt, RetryBudget};
use cherrystream_schema::messages::{Report, ServerState};
use cherrystream_schema::settings::ChoicePolicy;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use session::{Session, ms};
use std::time::Duration;

#[test]
fn admission_session() {
    let opts = admission::Options {
        slots: 2,
        queue: 2,
        ramp: Duration::from_secs(2),
        share: 1.0,
        cold: None,
    };
    let mut admission = Admission::new(opts);
    let mut s = Session::default();
    let arrival = |weight, deadline| Arrival {
        nested: false,
        weight,
        deadline: ms(deadline),
        selective: false,
        good_until: None,
        typical_time: None,
    };
    s.event("first", admission.arrive(ms(0), arrival(1, 1_000)));
    s.event("second", admission.arrive(ms(1), arrival(1, 1_000)));
    s.event("third waits", admission.arrive(ms(2), arrival(1, 1_000)));
    s.event("one with an expired deadline", admission.arrive(ms(3), arrival(1, 3)));
    s.event(
        "one whose deadline is shorter than the queueing delay",
        admission.arrive(ms(3), arrival(1, 4)),
    );
    s.event("fourth waits", admission.arrive(ms(4), arrival(1, 50)));
    s.event("the queue is full", admission.arrive(ms(5), arrival(1, 1_000)));
    s.event(
        "one of a higher weight replaces it in the queue",
        admission.arrive(ms(6), arrival(5, 1_000)),
    );
    s.event(
        "the first ends: the one of a higher weight starts",
        admission.finish(ms(9), Ticket(1), true),
    );
    s.event("report", admission.report(ms(10), 500));
    s.event("the backend server drains", admission.set_state(ms(11), ServerState::Draining));
    s.event("a new request", admission.arrive(ms(12), arrival(9, 1_000)));
    s.event("the running one ends", admission.finish(ms(13), Ticket(2), true));
    s.event("the backend server is live again", admission.set_state(ms(20), ServerState::Live));
    s.event("half of the slow start later", admission.report(ms(1_020), 500));
    s.event("after the slow start", admission.report(ms(2_020), 500));
    insta::assert_snapshot!(s.0);
}

fn server(name: &str, distance: Distance) -> ServerId {
    ServerId {
        name: name.into(),
        host: name.into(),
        slots: 12,
        distance,
        out: false,
        crossing_cost: Duration::ZERO,
        born_ms: 0,
        registered: true,
    }
}

fn report(in_flight: u32, latency_us: u64, sequence: u64) -> Report {
    Report {
        in_flight,
        queued: 0,
        slots: 12,
        latency_us,
        oldest_us: 0,
        state: ServerState::Live,
        slowness: 100,
        sequence,
        incarnation: 1,
    }
}

#[test]
fn choosing_session() {
    let mut s = Session::default();
    for policy in [
        ChoicePolicy::RoundRobin,
        ChoicePolicy::LeastInFlight,
        ChoicePolicy::TwoChoices,
        ChoicePolicy::LowestLoad,
    ] {
        let mut rng = SmallRng::seed_from_u64(7);
        let mut table = ServerTable::new(choose::policy(policy));
        table.set_servers(vec![
            server("near", Distance::SameDomain),
            server("far", Distance::SameRegion),
            server("faulty", Distance::SameRegion),
        ]);
        let mut choose_60 = |table: &mut ServerTable, now: u64| {
            let mut chosen = std::collections::BTreeMap::new();
            for _ in 0..60 {
                let id = table.choose(ms(now), &mut rng, &[]).unwrap();
                *chosen.entry(id.name.to_string()).or_insert(0) += 1;
            }
            chosen
        };
        s.event(&format!("{policy}: no load"), choose_60(&mut table, 0));
        for name in ["near", "far", "faulty"] {
            table.server(name).unwrap().on_report(ms(10), report(3, 2_000, 1));
        }
        s.event("even load", choose_60(&mut table, 11));
        table.server("near").unwrap().on_report(ms(20), report(12, 2_000, 2));
        s.event("near is full", choose_60(&mut table, 21));
        s.event("the report is a second old", choose_60(&mut table, 1_020));
        let faulty = table.server("faulty").unwrap();
        faulty.on_report(ms(1_100), report(0, 100, 2));
        for _ in 0..20 {
            faulty.on_error(ms(1_100));
        }
        s.event("faulty fails fast and reports no load", choose_60(&mut table, 1_101));
        let far = table.server("far").unwrap();
        far.on_sent(ms(1_101));
        s.event("far is stalled", choose_60(&mut table, 1_400));
        table.server("near").unwrap().on_closed(ms(1_400));
        s.event("near accepts no work", choose_60(&mut table, 1_401));
        let tried = ["near".into(), "far".into(), "faulty".into()];
        s.event(
            "all have been tried",
            table.choose(ms(1_402), &mut SmallRng::seed_from_u64(1), &tried),
        );
    }
    insta::assert_snapshot!(s.0);
}

/// Guards against losing a request to silence because the retry that it was granted is refused by
/// an inbound while the budget is used up.
#[test]
fn a_granted_retry_that_was_refused_is_not_paid_for_again() {
    let mut budget = RetryBudget::new(0.0);
    let mut allowance = Allowance::new(None);
    let silent = FailedAttempt {
        reason: Reason::PeerSilent,
        attempts: 1,
        repeatable: true,
        replayable: true,
        arrivals: 1,
        max_arrivals: 4,
        granted: 0,
    };
    assert!(retry::decide(silent, &mut budget, &mut allowance));
    let refused = FailedAttempt { reason: Reason::QueueFull, attempts: 2, granted: 1, ..silent };
    assert!(retry::decide(refused, &mut budget, &mut allowance));
    let reached = FailedAttempt { reason: Reason::BackendServerRefused, arrivals: 2, ..refused };
    assert!(!retry::decide(reached, &mut budget, &mut allowance));
}

/// Guards against losing a request because the connections to two hosts, or to a host and its
/// backend server, are silent one after the other.
#[test]
fn a_second_silence_is_retried_too_but_not_by_the_layers_below() {
    let mut budget = RetryBudget::new(0.0);
    let mut allowance = Allowance::new(None);
    let silent = |reason, attempts| FailedAttempt {
        reason,
        attempts,
        repeatable: true,
        replayable: true,
        arrivals: attempts,
        max_arrivals: 4,
        granted: attempts - 1,
    };
    let mut decide =
        |reason, attempts| retry::decide(silent(reason, attempts), &mut budget, &mut allowance);
    assert!(decide(Reason::PeerSilent, 1));
    assert!(decide(Reason::BackendServerSilent, 2));
    assert!(!decide(Reason::PeerBroke, 3));
    assert!(!decide(Reason::PeerSilent, retry::MAX_ATTEMPTS));
    assert_eq!(allowance.left(), 0);
    assert!(!retry::decide(
        silent(Reason::PeerSilent, 1),
        &mut budget,
        &mut Allowance::new(Some(0))
    ));
}

#[test]
fn retries_session() {
    let mut s = Session::default();
    let mut budget = RetryBudget::new(0.1);
    let mut allowance = Allowance::new(None);
    let failed = |reason: Reason, attempts, repeatable| {
        let arrivals = u32::from(reason.reached_server());
        let replayable = true;
        FailedAttempt {
            reason,
            attempts,
            repeatable,
            replayable,
            arrivals,
            max_arrivals: 4,
            granted: 0,
        }
    };
    let mut decide = |what: &str, failed: FailedAttempt, allowance: &mut Allowance| {
        s.event(what, retry::decide(failed, &mut budget, allowance));
    };
    decide("refused by the inbound", failed(Reason::QueueFull, 1, false), &mut allowance);
    decide("ledger without quorum", failed(Reason::LedgerUnavailable, 1, false), &mut allowance);
    decide(
        "broken connection, not repeatable",
        failed(Reason::PeerBroke, 1, false),
        &mut allowance,
    );
    decide("broken connection, repeatable", failed(Reason::PeerBroke, 1, true), &mut allowance);
    decide(
        "broken connection, allowance used up",
        failed(Reason::PeerBroke, 2, true),
        &mut allowance,
    );
    decide("deadline passed", failed(Reason::DeadlinePassed, 1, true), &mut Allowance::new(None));
    decide(
        "carried allowance of 0",
        failed(Reason::PeerBroke, 1, true),
        &mut Allowance::new(Some(0)),
    );
    decide(
        "carried allowance above the maximum",
        failed(Reason::PeerBroke, 1, true),
        &mut Allowance::new(Some(99)),
    );
    decide("too many attempts", failed(Reason::QueueFull, 4, false), &mut allowance);
    let not_replayable = FailedAttempt { replayable: false, ..failed(Reason::QueueFull, 1, true) };
    decide("the body cannot be sent again", not_replayable, &mut allowance);
    let mut spent = 0;
    while retry::decide(failed(Reason::BackendServerRefused, 1, true), &mut budget, &mut allowance)
    {
        spent += 1;
    }
    s.event("retries until the budget is empty", spent);
    for _ in 0..100 {
        budget.on_call();
    }
    let mut earned = 0;
    while retry::decide(failed(Reason::BackendServerRefused, 1, true), &mut budget, &mut allowance)
    {
        earned += 1;
    }
    s.event("retries earned by 100 calls", earned);
    let mut rng = SmallRng::seed_from_u64(3);
    let delays: Vec<u128> = (0..6)
        .map(|_| retry::retry_after(Duration::from_millis(100), &mut rng).as_millis())
        .collect();
    s.event("delays of six callers in ms", delays);
    insta::assert_snapshot!(s.0);
}

#[test]
fn measuring_session() {
    let mut s = Session::default();
    let mut budget = ProbeBudget::new(3);
    for at in [0, 100, 200, 300, 999, 1_000, 1_050, 1_100, 1_150] {
        s.event(&format!("at {at} ms"), budget.try_spend(ms(at)));
    }
    let mut health = Health::default();
    s.event("a check fails", health.on_check(Check::Failed));
    s.event("the next succeeds", health.on_check(Check::Reported(ServerState::Live)));
    s.event("a check fails", health.on_check(Check::Failed));
    s.event("a second check in a row fails", health.on_check(Check::Failed));
    s.event("the backend server starts", health.on_check(Check::Reported(ServerState::Starting)));
    s.event("the backend server drains", health.on_check(Check::Reported(ServerState::Draining)));
    insta::assert_snapshot!(s.0);
}
