//! The adaptive concurrency limit compared with fixed shares of the slots, for servers of several
//! kinds.

use cherrystream_core::admission::{self, Action, Admission, Arrival, Decision, Ticket};
use cherrystream_core::concurrency_limit::{Answer, Cause, ConcurrencyLimit, Work};
use cherrystream_core::units::Timestamp;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Service time at normal speed, in milliseconds.
const WORK_MS: f64 = 200.0;
/// Time after which an answer is useless to a caller.
const TARGET: Duration = Duration::from_millis(800);
/// Time for which a request may wait for a slot.
const MAX_WAIT: Duration = Duration::from_millis(160);
/// Simulated time.
const SIMULATED: Duration = Duration::from_secs(90);

/// Behaviour of a simulated server.
#[derive(Clone, Copy, Debug)]
struct Server {
    slots: u32,
    /// Factor of the service time by the share of slots in use at the start.
    slowdown: fn(f64) -> f64,
    speed: f64,
    /// Factor of the service time in a quarter of the time, and whether the server reports it.
    slow_factor: f64,
    reports_slowness: bool,
    /// Time after the start in which requests take twice as long.
    cold: Duration,
}

const PLAIN: Server = Server {
    slots: 6,
    slowdown: |_| 1.0,
    speed: 1.0,
    slow_factor: 1.0,
    reports_slowness: false,
    cold: Duration::ZERO,
};

fn slow_when_nearly_full(share: f64) -> f64 {
    if share > 0.8 { 1.7 } else { 1.0 }
}

/// A server that has reached its full throughput at half of its slots.
fn saturated_at_half(share: f64) -> f64 {
    (share / 0.5).max(1.0)
}

/// A server whose throughput falls above half of its slots.
fn congested(share: f64) -> f64 {
    (share / 0.5).max(1.0).powi(2)
}

struct World {
    server: Server,
    admission: Admission,
    rng: SmallRng,
    kind: Arc<str>,
    /// Ends of requests, with their service time and the slowness at their start.
    ends: BTreeMap<(Timestamp, Ticket), (Duration, u32)>,
    /// Time until which the answer of each request is useful.
    useful_until: BTreeMap<Ticket, Timestamp>,
    reported: BTreeSet<u64>,
    served: u32,
}

impl World {
    fn new(server: Server, share: f64, adaptive: bool, seed: u64) -> World {
        let mut admission = Admission::new(admission::Options {
            slots: server.slots,
            queue: server.slots,
            share,
            ..admission::Options::default()
        });
        if adaptive {
            admission.set_concurrency_limit(ConcurrencyLimit::new(server.slots, share));
        }
        World {
            server,
            admission,
            rng: SmallRng::seed_from_u64(seed),
            kind: "quotes".into(),
            ends: BTreeMap::new(),
            useful_until: BTreeMap::new(),
            reported: BTreeSet::new(),
            served: 0,
        }
    }

    /// Returns the factor of the service time in a slow or normal period of 150 ms.
    fn factor(&mut self, now: Timestamp) -> f64 {
        let period = now.since(Timestamp::default()).as_millis() as u64 / 150;
        let is_slow_period = period.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 62 == 0;
        let factor = if is_slow_period { self.server.slow_factor } else { 1.0 };
        if self.server.reports_slowness && self.reported.insert(period) {
            self.admission.on_slowness(now, (factor * 100.0) as u32);
        }
        let is_cold = now.since(Timestamp::default()) < self.server.cold;
        if is_cold { factor * 2.0 } else { factor }
    }

    fn start(&mut self, now: Timestamp, ticket: Ticket) {
        let share = self.admission.in_flight() as f64 / f64::from(self.server.slots);
        let is_long = self.rng.random_bool(0.03);
        let variation = self.rng.random_range(0.5..1.5) * if is_long { 7.0 } else { 1.0 };
        let time_factor = (self.server.slowdown)(share) * self.factor(now) / self.server.speed;
        let took = Duration::from_secs_f64(WORK_MS / 1_000.0 * variation * time_factor);
        self.ends.insert((now + took, ticket), (took, self.admission.slowness(now)));
    }

    fn handle(&mut self, now: Timestamp, actions: Vec<Action>) {
        for action in actions {
            if let Action::Start(ticket) = action {
                self.start(now, ticket);
            }
        }
    }

    fn arrive(&mut self, now: Timestamp) {
        let useful_until = now + TARGET;
        let arrival = Arrival {
            nested: false,
            weight: 1,
            deadline: now + MAX_WAIT,
            selective: false,
            good_until: Some(useful_until),
            typical_time: None,
        };
        let (decision, actions) = self.admission.arrive(now, arrival);
        self.handle(now, actions);
        match decision {
            Decision::Run(ticket) => {
                self.useful_until.insert(ticket, useful_until);
                self.start(now, ticket);
            }
            Decision::Wait(ticket) => {
                self.useful_until.insert(ticket, useful_until);
            }
            Decision::Refuse(_) => {}
        }
    }

    fn end(&mut self, now: Timestamp, ticket: Ticket, took: Duration, slowness_before: u32) {
        let kind = self.kind.clone();
        self.admission.on_service_time(now, ticket, &Work { kind: &kind, took, slowness_before });
        self.served += u32::from(now <= self.useful_until[&ticket]);
        let actions = self.admission.finish(now, ticket, true);
        self.handle(now, actions);
    }

    /// Simulates a varying load around a share of what 0.8 of the slots can serve; returns the
    /// answers in time.
    fn simulate(mut self, load: f64) -> u32 {
        let slots = f64::from(self.server.slots) * 0.8;
        let mean = load * slots * self.server.speed / (WORK_MS / 1_000.0);
        let mut next = Timestamp::default();
        let mut tick = Timestamp::default();
        while next.since(Timestamp::default()) < SIMULATED {
            let end = self.ends.first_key_value().map(|(key, work)| (*key, *work));
            let now = end.map_or(next, |((at, _), _)| at.min(next)).min(tick);
            if now == tick {
                let actions = self.admission.tick(now);
                self.handle(now, actions);
                tick = now + Duration::from_millis(10);
            } else if let Some(((at, ticket), (took, slowness))) =
                end.filter(|((at, _), _)| *at == now)
            {
                self.ends.remove(&(at, ticket));
                self.end(now, ticket, took, slowness);
            } else {
                self.arrive(now);
                let angle =
                    now.since(Timestamp::default()).as_secs_f64() / 13.0 * std::f64::consts::TAU;
                let rate = mean * (1.0 + 0.55 * angle.sin());
                let gap = -self.rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln() / rate;
                next = now + Duration::from_secs_f64(gap);
            }
        }
        self.served
    }
}

/// Returns the answers in time with 0.8 of the slots, with all of them, and with the adaptive
/// limit.
fn compare(server: Server, load: f64) -> [f64; 3] {
    let limits = [(0.8, false), (1.0, false), (0.8, true)];
    limits.map(|(share, adaptive)| {
        let served = (1..=5).map(|seed| World::new(server, share, adaptive, seed).simulate(load));
        f64::from(served.sum::<u32>())
    })
}

/// Loads as shares of what 0.8 of the slots can serve.
const LOADS: [f64; 3] = [0.6, 0.9, 1.3];

/// Smallest share of the answers of the better fixed limit that the adaptive one reaches, if the
/// server reports its slowness.
const MIN_SHARE: f64 = 0.9;
/// The same for a server that doesn't report its slow periods and slows down when nearly full.
const MIN_SHARE_UNREPORTED: f64 = 0.82;

/// Checks that the adaptive limit serves little less than the better fixed one, on small and larger
/// servers.
fn check(name: &str, server: Server, min_share: f64) {
    for slots in [6, 12] {
        for load in LOADS {
            let [share, all, adaptive] = compare(Server { slots, ..server }, load);
            let best = share.max(all);
            let what = format!(
                "{name}, {slots} slots, load {load}: 0.8 {share}, 1.0 {all}, adaptive {adaptive}"
            );
            assert!(adaptive >= min_share * best, "{what}");
        }
    }
}

#[test]
fn the_limit_rises_to_all_slots_of_a_server_that_does_not_slow_down() {
    check("no slowdown", PLAIN, 0.97);
    let [share, _, adaptive] = compare(PLAIN, 1.3);
    assert!(adaptive > 1.3 * share, "{adaptive} in place of {share}");
}

#[test]
fn the_limit_stays_below_the_slots_of_a_server_that_slows_down_when_nearly_full() {
    check("slow when nearly full", Server { slowdown: slow_when_nearly_full, ..PLAIN }, 0.95);
    let [_, all, adaptive] =
        compare(Server { slots: 12, slowdown: slow_when_nearly_full, ..PLAIN }, 1.3);
    assert!(adaptive > 1.15 * all, "{adaptive} in place of {all}");
}

#[test]
fn a_server_that_is_saturated_at_half_of_its_slots_serves_no_less() {
    check("saturated at half", Server { slowdown: saturated_at_half, ..PLAIN }, 0.95);
}

#[test]
fn the_limit_falls_for_a_server_whose_throughput_falls_with_load() {
    let server = Server { slowdown: congested, ..PLAIN };
    check("congested", server, MIN_SHARE);
    let [share, _, adaptive] = compare(Server { slots: 12, ..server }, 0.6);
    assert!(adaptive > 1.1 * share, "{adaptive} in place of {share}");
}

#[test]
fn the_limit_does_not_depend_on_the_speed_of_the_server() {
    for speed in [0.6, 1.6] {
        check("speed, no slowdown", Server { speed, ..PLAIN }, 0.95);
        check(
            "speed, slow when nearly full",
            Server { speed, slowdown: slow_when_nearly_full, ..PLAIN },
            MIN_SHARE,
        );
    }
}

#[test]
fn slow_periods_do_not_lower_the_limit() {
    for (reports_slowness, min_share) in [(true, MIN_SHARE), (false, MIN_SHARE_UNREPORTED)] {
        check("slow periods", Server { slow_factor: 4.0, reports_slowness, ..PLAIN }, MIN_SHARE);
        let nearly_full =
            Server { slow_factor: 4.0, reports_slowness, slowdown: slow_when_nearly_full, ..PLAIN };
        check("slow periods, slow when nearly full", nearly_full, min_share);
    }
}

#[test]
fn a_cold_start_does_not_lower_the_limit() {
    check("cold", Server { cold: Duration::from_secs(3), ..PLAIN }, 0.95);
}

/// Records answers of one level with a service time in milliseconds.
fn record(limit: &mut ConcurrencyLimit, now: u64, level: u32, took_ms: u64, answers: u32) {
    let kind: Arc<str> = "quotes".into();
    let took = Duration::from_millis(took_ms);
    for _ in 0..answers {
        let work = Work { kind: &kind, took, slowness_before: 100 };
        let answer = Answer { work, level, slowness_after: 100 };
        limit.on_answer(Timestamp::from_millis(now), &answer);
    }
}

#[test]
fn the_limit_rises_after_enough_samples_and_falls_when_answers_are_slower() {
    let mut limit = ConcurrencyLimit::new(10, 0.8);
    assert_eq!(limit.limit(), 8);
    record(&mut limit, 1, 8, 100, 16);
    assert_eq!(limit.limit(), 10);
    record(&mut limit, 2, 10, 160, 20);
    record(&mut limit, 2, 9, 160, 20);
    assert_eq!(limit.limit(), 8);
    let causes: Vec<Cause> = limit.take_changes().iter().map(|change| change.cause).collect();
    assert_eq!(causes.first(), Some(&Cause::Opened));
    assert!(causes[1..].iter().all(|cause| *cause == Cause::Slower) && causes.len() > 1);
    assert!(limit.take_changes().is_empty());
}

#[test]
fn higher_levels_are_tried_again_after_a_pause_when_the_limit_is_reached() {
    let mut limit = ConcurrencyLimit::new(6, 0.8);
    record(&mut limit, 1, 4, 100, 16);
    record(&mut limit, 2, 6, 200, 30);
    record(&mut limit, 3, 5, 200, 30);
    assert_eq!(limit.limit(), 4);
    limit.on_limit_reached(Timestamp::from_millis(1_000));
    assert_eq!(limit.limit(), 4);
    limit.on_limit_reached(Timestamp::from_millis(60_000));
    assert_eq!(limit.limit(), 6);
    // The server is faster now.
    record(&mut limit, 60_100, 6, 100, 30);
    assert_eq!(limit.limit(), 6);
}

#[test]
fn a_level_without_gain_is_skipped_for_a_higher_one_with_gain() {
    let mut limit = ConcurrencyLimit::new(6, 0.8);
    record(&mut limit, 1, 4, 100, 16);
    record(&mut limit, 2, 5, 145, 30);
    record(&mut limit, 2, 6, 145, 30);
    assert_eq!(limit.limit(), 6, "5 / 1.45 is less than 4, 6 / 1.45 is more");
}

#[test]
fn reported_slowness_does_not_lower_the_limit() {
    let mut limit = ConcurrencyLimit::new(6, 0.8);
    record(&mut limit, 1, 4, 100, 16);
    let kind: Arc<str> = "quotes".into();
    for (before, after) in [(300, 300), (100, 300)].repeat(20) {
        let work = Work { kind: &kind, took: Duration::from_millis(300), slowness_before: before };
        let answer = Answer { work, level: 6, slowness_after: after };
        limit.on_answer(Timestamp::from_millis(2), &answer);
    }
    assert_eq!(limit.limit(), 6);
}

#[test]
fn a_new_instance_keeps_the_limit_of_one_with_the_same_slots() {
    let mut limit = ConcurrencyLimit::new(10, 0.8);
    record(&mut limit, 1, 8, 100, 16);
    record(&mut limit, 2, 10, 200, 20);
    record(&mut limit, 2, 9, 200, 20);
    assert_eq!(limit.clone().with_slots(10, 0.8).limit(), 8);
    record(&mut limit, 2, 8, 200, 60);
    let adaptive = limit.limit();
    assert_eq!(limit.clone().with_slots(10, 0.8).limit(), adaptive);
    assert_eq!(limit.with_slots(20, 0.8).limit(), 16);
}

#[test]
fn the_limit_stays_between_its_floor_and_the_slots() {
    arbtest::arbtest(|u| {
        let slots = u.int_in_range(1..=40)?;
        let mut limit = ConcurrencyLimit::new(slots, 0.8);
        for i in 0..400 {
            let level = u.int_in_range(1..=slots)?;
            record(&mut limit, i * 100, level, u.int_in_range(0..=2_000)?, 1);
            limit.on_limit_reached(Timestamp::from_millis(i * 100));
            let floor = slots.div_ceil(4);
            assert!((floor..=slots).contains(&limit.limit()), "{} of {slots}", limit.limit());
        }
        Ok(())
    });
}
