//! Nested calls to backend servers that serve other requests as well.

use cherrystream_core::admission::{self, Action, Admission, Arrival, Decision, Ticket};
use cherrystream_core::reasons::Reason;
use cherrystream_core::request_times::{self, RequestTimes, TimeInputs};
use cherrystream_core::retry::{self, Allowance, FailedAttempt, RetryBudget};
use cherrystream_core::units::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

fn ms(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Service time of a nested call, in milliseconds.
const CALL_WORK: u64 = 55;
/// Service time of the other requests, in milliseconds.
const OTHER_WORK: u64 = 220;
/// Target latency of a nested call, and the time in milliseconds for which its answer is useful.
const TARGET: Duration = Duration::from_millis(150);
const USEFUL_MS: u64 = 600;
/// Network delay of a nested call before its first offer, in milliseconds.
const NETWORK_DELAY: u64 = 40;
const SERVERS: usize = 4;

/// Backend servers with the end of each request in flight.
struct Simulation {
    admissions: Vec<Admission>,
    ends: Vec<BTreeMap<Ticket, u64>>,
    waiting: Vec<BTreeMap<Ticket, u64>>,
    /// Other requests that were admitted or queued.
    others: u32,
}

impl Simulation {
    fn new() -> Simulation {
        let opts = admission::Options { slots: 4, queue: 4, ..admission::Options::default() };
        Simulation {
            admissions: (0..SERVERS).map(|_| Admission::new(opts)).collect(),
            ends: vec![BTreeMap::new(); SERVERS],
            waiting: vec![BTreeMap::new(); SERVERS],
            others: 0,
        }
    }

    /// Advances the time at all backend servers.
    fn advance(&mut self, now: u64) {
        for i in 0..SERVERS {
            let ended: Vec<Ticket> =
                self.ends[i].iter().filter(|(_, end)| **end <= now).map(|(t, _)| *t).collect();
            let mut actions = Vec::new();
            for ticket in ended {
                self.ends[i].remove(&ticket);
                actions.extend(self.admissions[i].finish(ms(now), ticket, true));
            }
            actions.extend(self.admissions[i].tick(ms(now)));
            for action in actions {
                match action {
                    Action::Start(ticket) => {
                        let work = self.waiting[i].remove(&ticket).unwrap();
                        self.ends[i].insert(ticket, now + work);
                    }
                    Action::Refuse(ticket, _) => drop(self.waiting[i].remove(&ticket)),
                }
            }
        }
    }

    fn arrive(&mut self, i: usize, now: u64, arrival: Arrival, work: u64) -> Result<(), Reason> {
        match self.admissions[i].arrive(ms(now), arrival).0 {
            Decision::Run(ticket) => drop(self.ends[i].insert(ticket, now + work)),
            Decision::Wait(ticket) => drop(self.waiting[i].insert(ticket, work)),
            Decision::Refuse(refusal) => return Err(refusal.reason),
        }
        Ok(())
    }
}

fn arrival(deadline: Timestamp) -> Arrival {
    Arrival {
        nested: false,
        weight: 1,
        deadline,
        selective: false,
        good_until: None,
        typical_time: None,
    }
}

/// Offers a nested call to one backend server after the other, as an outbound does; returns whether
/// one accepts it.
fn call(
    simulation: &mut Simulation,
    now: u64,
    first: usize,
    wait_limit: impl Fn(Timestamp, Timestamp, Duration) -> Timestamp,
) -> bool {
    let inputs = TimeInputs {
        now: ms(now - NETWORK_DELAY),
        target: TARGET,
        elapsed: Duration::ZERO,
        repeatable: true,
        body_bytes: 0,
        crossing_cost: Duration::ZERO,
    };
    let wait = RequestTimes::new(inputs).queue_until.since(ms(now));
    let until = wait_limit(ms(now), ms(now + USEFUL_MS), wait);
    let mut budget = RetryBudget::new(0.1);
    let mut allowance = Allowance::new(None);
    for attempts in 1.. {
        let at = (first + attempts as usize) % SERVERS;
        let Err(reason) = simulation.arrive(at, now, arrival(until), CALL_WORK) else {
            return true;
        };
        let failed = FailedAttempt {
            reason,
            attempts,
            repeatable: true,
            replayable: true,
            arrivals: 0,
            max_arrivals: 2,
            granted: 0,
        };
        if !retry::decide(failed, &mut budget, &mut allowance) {
            return false;
        }
    }
    false
}

/// Simulates 8 seconds; returns the accepted nested calls, all of them, and the other accepted
/// requests.
fn calls_accepted(
    wait_limit: impl Fn(Timestamp, Timestamp, Duration) -> Timestamp,
) -> (u32, u32, u32) {
    let mut simulation = Simulation::new();
    let (mut served, mut all) = (0, 0);
    for now in 100..8_100 {
        simulation.advance(now);
        if now % 17 == 0 {
            let deadline = ms(now + 240);
            let at = (now / 17) as usize % SERVERS;
            simulation.others +=
                u32::from(simulation.arrive(at, now, arrival(deadline), OTHER_WORK).is_ok());
        }
        if now % 31 == 0 {
            all += 1;
            served += u32::from(call(&mut simulation, now, (now / 31) as usize, &wait_limit));
        }
    }
    (served, all, simulation.others)
}

/// Guards against refusing nested calls at once: the network delay has used up the time for which
/// they may wait, while their parents have time left. The backend servers also serve requests that
/// take four times as long.
#[test]
fn a_nested_call_without_time_to_wait_gets_a_free_slot() {
    let before = |now: Timestamp, deadline: Timestamp, wait| deadline.min(now + wait);
    let (accepted_before, all, others_before) = calls_accepted(before);
    assert_eq!(accepted_before, 0, "of {all}");
    let (served, all, others) = calls_accepted(request_times::wait_deadline);
    assert!(f64::from(served) > 0.9 * f64::from(all), "{served} of {all}");
    assert!(
        f64::from(others) > 0.9 * f64::from(others_before),
        "{others} of {others_before} others"
    );
}
