//! Slowness reports at the time of admission, with little traffic and with full slots.
//!
//! Load: backend servers share their hosts, and a quarter of them is four times slower at any
//! moment, for 300 ms each time. A request is offered to up to four of them as selective, then to
//! one more as not selective.

use cherrystream_core::admission::{Admission, Arrival, Decision, Options, Ticket};
use cherrystream_core::units::Timestamp;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const SLOTS: u32 = 8;
const TYPICAL: Duration = Duration::from_millis(260);
const GOOD_FOR: Duration = Duration::from_millis(800);
const PERIOD: Duration = Duration::from_millis(300);
const SLOW_SHARE: f64 = 0.25;
const MAX_SELECTIVE_OFFERS: usize = 4;
/// Duration of a probe and its response.
const PROBE_TIME: Duration = Duration::from_millis(2);

struct Server {
    admission: Admission,
    slowness: u32,
    in_flight: Vec<(Timestamp, Ticket)>,
}

#[derive(Debug, Default)]
struct Counts {
    served: u32,
    started_slow: u32,
    probed: u32,
    refused: u32,
}

struct Simulation {
    rng: SmallRng,
    now: Timestamp,
    servers: Vec<Server>,
    probes: bool,
    counts: Counts,
}

impl Simulation {
    fn new(servers: usize, probes: bool, seed: u64) -> Simulation {
        let opts =
            Options { slots: SLOTS, queue: SLOTS, ramp: Duration::ZERO, share: 1.0, cold: None };
        let server =
            || Server { admission: Admission::new(opts), slowness: 100, in_flight: Vec::new() };
        let servers = (0..servers).map(|_| server()).collect();
        let rng = SmallRng::seed_from_u64(seed);
        Simulation { rng, now: Timestamp::default(), servers, probes, counts: Counts::default() }
    }

    fn simulate(mut self, per_second: f64, time: Duration) -> Counts {
        let end = self.now + time;
        let step = Duration::from_millis(5);
        while self.now < end {
            self.now = self.now + step;
            self.change_speeds(step);
            let due = per_second * self.servers.len() as f64 * step.as_secs_f64();
            let due = due.floor() as usize + usize::from(self.rng.random::<f64>() < due.fract());
            (0..due).for_each(|_| self.request());
        }
        self.counts
    }

    /// Changes the speed of servers, and ends requests with a slowness report.
    fn change_speeds(&mut self, step: Duration) {
        let change_share = step.as_secs_f64() / PERIOD.as_secs_f64();
        for server in &mut self.servers {
            if self.rng.random::<f64>() < change_share {
                let slow = self.rng.random::<f64>() < SLOW_SHARE;
                server.slowness = if slow { 400 } else { 100 };
            }
            let now = self.now;
            let done: Vec<(Timestamp, Ticket)> =
                server.in_flight.extract_if(.., |(ends, _)| *ends <= now).collect();
            for (_, ticket) in done {
                server.admission.on_slowness(now, server.slowness);
                server.admission.finish(now, ticket, true);
            }
        }
    }

    fn request(&mut self) {
        for offer in 0..=MAX_SELECTIVE_OFFERS {
            let chosen = self.rng.random_range(0..self.servers.len());
            let arrival = Arrival {
                nested: false,
                weight: 1,
                deadline: self.now + GOOD_FOR / 5,
                selective: offer < MAX_SELECTIVE_OFFERS,
                good_until: Some(self.now + GOOD_FOR),
                typical_time: Some(TYPICAL),
            };
            if self.offer(chosen, arrival) {
                return;
            }
        }
        self.counts.refused += 1;
    }

    fn offer(&mut self, chosen: usize, arrival: Arrival) -> bool {
        let server = &mut self.servers[chosen];
        let mut now = self.now;
        if self.probes && server.admission.needs_slowness_first(now, &arrival) {
            self.counts.probed += 1;
            now = now + PROBE_TIME;
            server.admission.on_slowness(now, server.slowness);
        }
        let ticket = match server.admission.arrive(now, arrival).0 {
            Decision::Run(ticket) => ticket,
            Decision::Wait(ticket) => {
                server.admission.leave_queue(now, ticket);
                return false;
            }
            Decision::Refuse(_) => return false,
        };
        self.counts.served += 1;
        self.counts.started_slow += u32::from(server.slowness > 100);
        server.in_flight.push((now + TYPICAL * server.slowness / 100, ticket));
        true
    }
}

fn share(part: u32, of: u32) -> f64 {
    f64::from(part) / f64::from(of.max(1))
}

#[test]
fn with_little_traffic_few_requests_start_at_a_backend_server_that_is_slow() {
    let simulate = |probes| Simulation::new(200, probes, 1).simulate(2.0, Duration::from_secs(60));
    let (before, after) = (simulate(false), simulate(true));
    // Four slow servers in a row are rarer than the bound allows.
    assert!(
        share(before.started_slow, before.served) > 0.05,
        "the load shows no fault without probes: {before:?}"
    );
    assert!(share(after.started_slow, after.served) < 0.01, "{after:?}");
    assert_eq!(after.refused, 0);
}

#[test]
fn probes_do_not_increase_refusals_with_full_slots() {
    // With 8 slots, 260 ms of work and 1040 ms in a quarter of the time, the capacity is 17
    // requests per second.
    for per_second in [17.0, 24.0] {
        let simulate =
            |probes| Simulation::new(50, probes, 2).simulate(per_second, Duration::from_secs(30));
        let (before, after) = (simulate(false), simulate(true));
        assert!(before.refused > 0, "the load shows no fault without probes: {before:?}");
        assert!(after.refused <= before.refused, "{per_second} a second: {before:?}, {after:?}");
    }
}

#[test]
fn a_backend_server_that_answers_no_probe_is_not_probed_again_for_a_second() {
    let mut simulation = Simulation::new(1, true, 3);
    let admission = &mut simulation.servers[0].admission;
    let now = Timestamp::default() + Duration::from_secs(1);
    let arrival = |now: Timestamp| Arrival {
        nested: false,
        weight: 1,
        deadline: now + GOOD_FOR,
        selective: true,
        good_until: Some(now + GOOD_FOR),
        typical_time: Some(TYPICAL),
    };
    assert!(
        !admission.needs_slowness_first(now, &arrival(now)),
        "it has never reported its slowness"
    );
    admission.on_slowness(now, 400);
    assert!(!admission.needs_slowness_first(now, &arrival(now)), "the report is fresh");
    let later = now + Duration::from_millis(100);
    assert!(admission.needs_slowness_first(later, &arrival(later)));
    admission.on_slowness_timeout(later);
    let soon = later + Duration::from_millis(900);
    assert!(!admission.needs_slowness_first(soon, &arrival(soon)));
    let again = later + Duration::from_millis(1_000);
    assert!(admission.needs_slowness_first(again, &arrival(again)));
}

#[test]
fn a_backend_server_with_a_stable_speed_is_not_probed() {
    let mut simulation = Simulation::new(1, true, 4);
    let admission = &mut simulation.servers[0].admission;
    let mut now = Timestamp::default();
    for round in 0..100 {
        now = now + Duration::from_millis(500);
        let arrival = Arrival {
            nested: false,
            weight: 1,
            deadline: now + GOOD_FOR,
            selective: true,
            good_until: Some(now + GOOD_FOR),
            typical_time: Some(TYPICAL),
        };
        // After ten seconds of reports the peak is known to be low.
        assert!(round <= 21 || !admission.needs_slowness_first(now, &arrival), "round {round}");
        admission.on_slowness(now, 130);
    }
}
