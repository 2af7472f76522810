//! Warmth of backend servers and the rate limit of cold ones.

use arbtest::arbtest;
use cherrystream_core::admission::{Action, Admission, Arrival, Decision, Options, Ticket};
use cherrystream_core::cold_rate_limit::ColdLimits;
use cherrystream_core::reasons::Reason;
use cherrystream_core::units::Timestamp;
use cherrystream_core::warmth::Warmth;
use std::collections::VecDeque;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn at(ms: u64) -> Timestamp {
    Timestamp::default() + Duration::from_millis(ms)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn limits() -> ColdLimits {
    ColdLimits::new(17.0, 1.5, 8.0)
}

/// Requests in a second from which `limits` is derived.
const MAX_IN_A_SECOND: usize = 33;

/// Admission control of a new instance.
fn new_admission() -> Admission {
    let mut admission = inherited_admission();
    admission.on_new_instance();
    admission
}

/// Admission control of an instance that another process may have sent requests to.
fn inherited_admission() -> Admission {
    let opts = Options { slots: 40, queue: 12, cold: Some(limits()), ..Options::default() };
    Admission::new(opts)
}

fn arrival(now: Timestamp, nested: bool, wait: Duration) -> Arrival {
    Arrival {
        nested,
        weight: 1,
        deadline: now + wait,
        selective: false,
        good_until: None,
        typical_time: None,
    }
}

#[test]
fn a_server_without_a_valid_report_is_cold() {
    let mut warmth = Warmth::default();
    assert!(warmth.is_cold(at(0)));
    assert!(warmth.start_probe(at(0)));
    assert!(!warmth.start_probe(at(50)), "one probe at a time");
    warmth.on_health_response(at(60), Duration::ZERO);
    assert!(!warmth.is_cold(at(60)));
    assert!(!warmth.start_probe(at(500)));
    assert!(warmth.start_probe(at(600)));
    assert!(
        warmth.is_cold(at(4_000)),
        "a report that is seconds old, as after a freeze, is not valid"
    );
}

#[test]
fn a_delayed_report_does_not_end_a_cold_period() {
    let mut warmth = Warmth::default();
    warmth.on_health_response(at(0), ms(3_000));
    warmth.on_report(at(100), 7, Duration::ZERO);
    assert!(warmth.is_cold(at(2_900)));
    // An older report that arrives later is discarded.
    warmth.on_health_response(at(3_000), Duration::ZERO);
    warmth.on_report(at(3_100), 6, ms(3_000));
    assert!(!warmth.is_cold(at(3_100)));
}

#[test]
fn a_server_that_becomes_cold_without_a_restart_is_detected_by_the_next_health_response() {
    let mut warmth = Warmth::default();
    warmth.on_health_response(at(0), Duration::ZERO);
    warmth.invalidate();
    assert!(warmth.is_cold(at(10)) && warmth.start_probe(at(10)));
    warmth.on_health_response(at(20), ms(2_000));
    assert!(warmth.is_cold(at(2_000)) && !warmth.is_cold(at(2_020)));
}

#[test]
fn requests_that_a_cold_server_cannot_start_in_time_are_refused_at_once() {
    let mut admission = new_admission();
    admission.warmth().on_health_response(at(0), ms(3_000));
    let mut refused = 0;
    for _ in 0..50 {
        match admission.arrive(at(0), arrival(at(0), false, ms(100))).0 {
            Decision::Refuse(refusal) => {
                assert_eq!(refusal.reason, Reason::ServerCold);
                // A retry is useful only once the window has free capacity.
                assert!(refusal.retry_after > ms(100), "{:?}", refusal.retry_after);
                refused += 1;
            }
            Decision::Run(_) | Decision::Wait(_) => {}
        }
    }
    assert_eq!(refused, 50 - 32, "refused of 50 requests");
}

#[test]
fn nested_calls_go_first_at_a_cold_server() {
    let mut admission = new_admission();
    admission.warmth().on_health_response(at(0), ms(3_000));
    let mut last = Decision::Run(Ticket(0));
    while let Decision::Run(ticket) = last {
        admission.on_sent(at(0), ticket);
        last = admission.arrive(at(0), arrival(at(0), false, ms(1_500))).0;
    }
    let nested = admission.arrive(at(0), arrival(at(0), true, ms(1_500))).0;
    let Decision::Wait(nested) = nested else { panic!("{nested:?}") };
    let started = (0..1_200).find_map(|ms| admission.tick(at(ms)).first().copied());
    assert_eq!(started, Some(Action::Start(nested)));
}

#[test]
fn a_restarted_process_sends_nothing_to_a_cold_server_in_its_first_second() {
    let mut admission = inherited_admission();
    admission.warmth().on_health_response(at(300), ms(3_000));
    let Decision::Refuse(refusal) = admission.arrive(at(300), arrival(at(300), false, ms(100))).0
    else {
        panic!("the request was admitted");
    };
    assert_eq!((refusal.reason, refusal.retry_after), (Reason::ServerCold, ms(750)));
    let decision = admission.arrive(at(1_050), arrival(at(1_050), false, ms(100))).0;
    assert!(matches!(decision, Decision::Run(_)), "{decision:?}");
}

#[test]
fn a_warm_server_has_no_rate_limit() {
    let mut admission = new_admission();
    admission.warmth().on_health_response(at(0), Duration::ZERO);
    for _ in 0..40 {
        let decision = admission.arrive(at(0), arrival(at(0), false, SECOND)).0;
        assert!(matches!(decision, Decision::Run(_)), "{decision:?}");
    }
}

/// Requests of one schedule: in flight, admitted but not sent, and send times.
#[derive(Default)]
struct Schedule {
    in_flight: Vec<Ticket>,
    unsent: VecDeque<Ticket>,
    sent: Vec<Timestamp>,
}

impl Schedule {
    fn start(&mut self, actions: Vec<Action>) {
        for action in actions {
            if let Action::Start(ticket) = action {
                self.unsent.push_back(ticket);
            }
        }
    }

    fn send(&mut self, admission: &mut Admission, now: Timestamp, ticket: Ticket) {
        admission.on_sent(now, ticket);
        self.in_flight.push(ticket);
        self.sent.push(now);
    }

    /// Returns the largest number of requests sent in a second.
    fn max_in_a_second(&self) -> usize {
        let within = |from: usize| {
            self.sent[from..].iter().take_while(|at| at.since(self.sent[from]) < SECOND).count()
        };
        (0..self.sent.len()).map(within).max().unwrap_or(0)
    }
}

/// Guards against exceeding the limit in any second, for random arrivals, delays before sending and
/// ends of requests.
#[test]
fn no_schedule_exceeds_the_limit_of_a_cold_server() {
    arbtest(|u| {
        let mut admission = new_admission();
        let mut schedule = Schedule::default();
        let mut now = at(0);
        while !u.is_empty() {
            now = now + Duration::from_millis(u.int_in_range(0..=40)?);
            admission.warmth().on_health_response(now, ms(3_000));
            match u.int_in_range(0..=5)? {
                0..=2 => {
                    let wait = ms(u.int_in_range(1..=800)?);
                    let request = Arrival {
                        selective: u.arbitrary()?,
                        weight: u.int_in_range(0..=3)?,
                        ..arrival(now, u.arbitrary()?, wait)
                    };
                    let (decision, actions) = admission.arrive(now, request);
                    if let Decision::Run(ticket) = decision {
                        schedule.unsent.push_back(ticket);
                    }
                    schedule.start(actions);
                }
                3 => {
                    // All admitted requests are sent together, as after a freeze or a wait for
                    // their bodies.
                    while let Some(ticket) = schedule.unsent.pop_front() {
                        schedule.send(&mut admission, now, ticket);
                    }
                }
                4 => {
                    if let Some(ticket) = schedule.in_flight.pop() {
                        let actions = admission.finish(now, ticket, true);
                        schedule.start(actions);
                    }
                }
                _ => {
                    let actions = admission.tick(now);
                    schedule.start(actions);
                }
            }
        }
        let most = schedule.max_in_a_second();
        assert!(most <= MAX_IN_A_SECOND, "{most} in a second");
        Ok(())
    })
    .budget_ms(2_000);
}

/// A backend server that crashes when it gets more requests in a second than its limit while it is
/// cold.
struct CrashingServer {
    admission: Admission,
    cold_until: Timestamp,
    back_at: Timestamp,
    arrivals: Vec<Timestamp>,
    runs: Vec<(Timestamp, Ticket)>,
    crashes: u32,
}

impl CrashingServer {
    const COLD: Duration = Duration::from_secs(3);
    const AWAY: Duration = Duration::from_secs(1);
    /// Service times when cold and when warm.
    const WORK: (Duration, Duration) = (Duration::from_millis(125), Duration::from_millis(64));

    fn new(cold: Option<ColdLimits>, power: Timestamp) -> CrashingServer {
        let opts = Options { slots: 12, queue: 12, share: 0.8, cold, ..Options::default() };
        let mut server = CrashingServer {
            admission: Admission::new(opts),
            cold_until: power,
            back_at: power,
            arrivals: Vec::new(),
            runs: Vec::new(),
            crashes: 0,
        };
        server.return_cold(power);
        server
    }

    fn return_cold(&mut self, now: Timestamp) {
        self.cold_until = now + Self::COLD;
        self.back_at = now;
        self.arrivals.clear();
        self.admission.on_new_instance();
        self.admission.warmth().on_health_response(now, Self::COLD);
    }

    fn run(&mut self, now: Timestamp, ticket: Ticket) {
        self.admission.on_sent(now, ticket);
        self.arrivals.push(now);
        let is_cold = now < self.cold_until;
        let work = if is_cold { Self::WORK.0 } else { Self::WORK.1 };
        self.runs.push((now + work, ticket));
        let recent = self.arrivals.iter().filter(|at| now.since(**at) < SECOND).count();
        if is_cold && recent > MAX_IN_A_SECOND {
            self.crash(now);
        }
    }

    fn crash(&mut self, now: Timestamp) {
        self.crashes += 1;
        for (_, ticket) in std::mem::take(&mut self.runs) {
            self.admission.finish(now, ticket, false);
        }
        self.return_cold(now + Self::AWAY);
    }

    /// Advances by a millisecond; returns the number of answered requests.
    fn step(&mut self, now: Timestamp) -> usize {
        if now >= self.back_at && self.admission.start_warmth_probe(now) {
            self.admission.warmth().on_health_response(now, self.cold_until.since(now));
        }
        let (ended, runs): (Vec<_>, Vec<_>) = self.runs.drain(..).partition(|(end, _)| *end <= now);
        self.runs = runs;
        let mut actions = Vec::new();
        for (_, ticket) in &ended {
            actions.extend(self.admission.finish(now, *ticket, true));
        }
        actions.extend(self.admission.tick(now));
        for action in actions {
            if let Action::Start(ticket) = action {
                self.run(now, ticket);
            }
        }
        ended.len()
    }

    fn request(&mut self, now: Timestamp) {
        if now < self.back_at {
            return;
        }
        if let Decision::Run(ticket) = self.admission.arrive(now, arrival(now, false, ms(40))).0 {
            self.run(now, ticket);
        }
    }
}

/// Returns the requests answered in the ten seconds after the return of power and the number of
/// crashes, at a load of three times the rate of a cold server.
fn serve_ten_seconds_after_power_returns(cold: Option<ColdLimits>) -> (usize, u32) {
    let power = at(2_000);
    let mut server = CrashingServer::new(cold, power);
    let mut answered = 0;
    for step in 0..10_000_u64 {
        let now = power + ms(step);
        if step % 19 == 0 {
            server.request(now);
        }
        answered += server.step(now);
    }
    (answered, server.crashes)
}

/// Guards against repeated crashes after a power loss: without the limit the backend server returns
/// cold and crashes again.
#[test]
fn a_service_recovers_after_a_power_loss() {
    let (without, crashes) = serve_ten_seconds_after_power_returns(None);
    let (with, crashes_with) = serve_ten_seconds_after_power_returns(Some(limits()));
    println!("without a limit {without} answered, {crashes} crashes; with it {with}");
    assert!(crashes >= 3, "{crashes}");
    assert_eq!(crashes_with, 0);
    assert!(with > 430, "{with}");
    assert!(with > 2 * without, "{with} with the limit, {without} without");
}
