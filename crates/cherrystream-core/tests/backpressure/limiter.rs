//! Admission of requests to a backend server that states a rate limit.

use arbtest::arbitrary::Unstructured;
use arbtest::{arbitrary, arbtest};
use cherrystream_core::admission::{Action, Admission, Arrival, Decision, Options, Ticket};
use cherrystream_core::backpressure::{RateLimit, SignalChange, SignalTracker, Signals, Stated};
use cherrystream_core::reasons::Reason;
use cherrystream_core::units::Timestamp;
use std::time::Duration;

const SLOTS: u32 = 12;
/// Rate at which requests are sent though the limit is lower.
const LEAST_RATE: f64 = 0.5;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn limit(milli: u64) -> Option<RateLimit> {
    Some(RateLimit::from_milli(milli))
}

fn admission() -> Admission {
    Admission::new(Options { slots: SLOTS, queue: SLOTS, ..Options::default() })
}

fn arrival(now: Timestamp) -> Arrival {
    Arrival {
        nested: false,
        weight: 1,
        deadline: now + Duration::from_secs(2),
        selective: false,
        good_until: None,
        typical_time: None,
    }
}

/// Sends an admitted request and ends it at once.
fn run(admission: &mut Admission, now: Timestamp, ticket: Ticket) -> Vec<Action> {
    admission.on_sent(now, ticket);
    admission.finish(now, ticket, true)
}

/// Offers requests in an interval; returns the times at which requests were sent.
fn offer(admission: &mut Admission, millis: std::ops::Range<u64>, every: u64) -> Vec<u64> {
    let mut sent = Vec::new();
    for millis in millis {
        let now = at(millis);
        let mut started = admission.tick(now);
        if millis % every == 0 {
            let (decision, actions) = admission.arrive(now, arrival(now));
            started.extend(actions);
            if let Decision::Run(ticket) = decision {
                started.push(Action::Start(ticket));
            }
        }
        while let Some(action) = started.pop() {
            if let Action::Start(ticket) = action {
                sent.push(millis);
                started.extend(run(admission, now, ticket));
            }
        }
    }
    sent
}

/// Guards against a server getting more, or much less, than the rate it states.
#[test]
fn what_is_offered_is_served_up_to_the_limit() {
    for milli in [500, 800, 1_000, 4_700, 40_000] {
        let mut admission = admission();
        admission.set_rate_limit(at(0), limit(milli));
        let sent = offer(&mut admission, 0..60_000, 5).len() as f64;
        let allowed = milli as f64 / 1_000.0 * 60.0;
        assert!((0.97 * allowed - 1.0..=allowed + 1.0).contains(&sent), "{sent} of {allowed}");
    }
}

/// Guards against a limit of zero that no request could ever find ended.
#[test]
fn a_request_in_two_seconds_finds_out_whether_a_limit_of_zero_holds() {
    let mut admission = admission();
    admission.set_rate_limit(at(0), limit(0));
    assert_eq!(offer(&mut admission, 0..20_001, 10).len(), 10);
}

/// Guards against requests without a limit paying for one, and against a limit that outlives its
/// end.
#[test]
fn without_a_limit_every_request_is_served() {
    let mut admission = admission();
    assert_eq!(offer(&mut admission, 0..1_000, 1).len(), 1_000);
    admission.set_rate_limit(at(1_000), limit(0));
    assert_eq!(offer(&mut admission, 1_000..1_500, 1).len(), 0);
    admission.set_rate_limit(at(1_500), None);
    assert_eq!(offer(&mut admission, 1_500..2_500, 1).len(), 1_000);
}

/// Guards against a burst of what a higher limit has saved when a server asks for less.
#[test]
fn tokens_fall_with_the_limit() {
    let mut admission = admission();
    admission.set_rate_limit(at(0), limit(40_000));
    admission.set_rate_limit(at(2_000), limit(4_000));
    let sent = offer(&mut admission, 2_000..2_100, 1);
    assert!(sent.len() <= 4, "{} requests at once", sent.len());
}

/// Guards against reserved slots that expire costing the requests that they were kept for.
#[test]
fn an_admitted_request_that_is_not_sent_gives_its_token_back() {
    let mut admission = admission();
    admission.set_rate_limit(at(0), limit(1_000));
    let now = at(1_000);
    let (Decision::Run(ticket), _) = admission.arrive(now, arrival(now)) else {
        panic!("a token was due")
    };
    let (second, _) = admission.arrive(now, arrival(now));
    assert!(matches!(second, Decision::Refuse(_)), "{second:?}");
    admission.finish(now, ticket, false);
    assert!(matches!(admission.arrive(now, arrival(now)).0, Decision::Run(_)));
}

/// Guards against the health probes of a limited server taking all that it accepts for long.
#[test]
fn probes_leave_no_debt() {
    let mut admission = admission();
    admission.set_rate_limit(at(0), limit(1_000));
    for millis in 0..1_000 {
        admission.on_probe_sent(at(millis));
    }
    assert_eq!(offer(&mut admission, 1_000..2_001, 1).len(), 1);
}

/// Guards against refused requests returning all at once, or being told a time before the next token.
#[test]
fn refused_requests_are_told_to_return_one_after_the_other() {
    let mut admission = admission();
    admission.set_rate_limit(at(0), limit(4_000));
    let now = at(10);
    let mut told = Vec::new();
    for _ in 0..4 {
        let Decision::Refuse(refusal) = admission.arrive(now, arrival(now)).0 else {
            panic!("no token was due")
        };
        assert_eq!(refusal.reason, Reason::OverServerLimit);
        told.push(refusal.retry_after.as_millis());
    }
    assert!(told[0] >= 239, "{told:?}");
    assert!(told.windows(2).all(|pair| pair[1] >= pair[0] + 249), "{told:?}");
}

/// Guards against a nested call, whose parent fails without it, losing to other requests.
#[test]
fn nested_calls_get_the_next_token() {
    let mut admission = admission();
    admission.set_rate_limit(at(0), limit(1_000));
    let now = at(950);
    let (ordinary, _) = admission.arrive(now, arrival(now));
    let nested = Arrival { nested: true, ..arrival(now) };
    let (nested, _) = admission.arrive(now, nested);
    let (Decision::Wait(_), Decision::Wait(ticket)) = (ordinary, nested) else {
        panic!("{ordinary:?}, {nested:?}")
    };
    assert_eq!(admission.tick(at(1_001)), vec![Action::Start(ticket)]);
}

/// A request that the server works on.
struct Working {
    ticket: Ticket,
    sent_at: Timestamp,
    answered_at: Timestamp,
    is_unreadable: bool,
}

/// A backend server whose limit changes, with the daemon beside it.
struct World {
    now: Timestamp,
    /// Limit that the server states.
    stated: Option<RateLimit>,
    tracker: SignalTracker,
    admission: Admission,
    working: Vec<Working>,
    /// Limit that other daemons have passed on.
    hint: Option<RateLimit>,
    /// Requests that were sent since the server first stated a limit.
    sent: Vec<Timestamp>,
    /// Times and rates of the limits that were passed on, since the server last stated none.
    passed_on: Vec<(Timestamp, f64)>,
}

impl World {
    fn new() -> World {
        World {
            now: at(1),
            stated: None,
            tracker: SignalTracker::default(),
            admission: admission(),
            working: Vec::new(),
            hint: None,
            sent: Vec::new(),
            passed_on: Vec::new(),
        }
    }

    fn apply(&mut self, changes: Vec<SignalChange>) {
        for change in changes {
            if let SignalChange::Limit { to, .. } = change {
                // All requests are selective, so none waits.
                assert_eq!(self.admission.set_rate_limit(self.now, to), vec![]);
            }
        }
    }

    fn state(&mut self, limit: Option<RateLimit>) {
        self.stated = limit;
        if limit.is_none() {
            self.passed_on.clear();
            self.sent.clear();
        }
    }

    /// Offers a request; the server answers it after a time.
    fn request(&mut self, took: Duration, is_unreadable: bool) {
        let changes = self.tracker.on_hint(self.now, self.hint, false);
        self.apply(changes);
        let now = self.now;
        let offer = Arrival { selective: true, ..arrival(now) };
        let Decision::Run(ticket) = self.admission.arrive(now, offer).0 else { return };
        self.admission.on_sent(now, ticket);
        self.working.push(Working { ticket, sent_at: now, answered_at: now + took, is_unreadable });
        if !self.passed_on.is_empty() {
            self.sent.push(now);
        }
    }

    fn advance(&mut self, by: Duration) {
        self.now = self.now + by;
        let now = self.now;
        let (answered, working) =
            self.working.drain(..).partition(|working| working.answered_at <= now);
        self.working = working;
        let answered: Vec<Working> = answered;
        for work in answered {
            self.answer(&work);
        }
    }

    fn answer(&mut self, work: &Working) {
        self.admission.finish(self.now, work.ticket, true);
        let rate_limit = match self.stated {
            _ if work.is_unreadable => Stated::Unreadable,
            Some(limit) => Stated::Value(limit),
            None => Stated::Absent,
        };
        let signals = Signals { rate_limit, ..Signals::default() };
        let changes = self.tracker.on_answer(self.now, work.sent_at, &signals);
        self.apply(changes);
        self.hint = self.tracker.limit();
        if let (Some(limit), false) = (self.stated, work.is_unreadable) {
            self.passed_on.push((self.now, limit.per_second()));
        }
    }

    /// The process starts again: what it knew and had admitted is gone.
    fn restart(&mut self) {
        self.tracker = SignalTracker::default();
        self.admission = admission();
        self.working.clear();
    }

    /// Checks the requests of the last four seconds against the highest rate passed on meanwhile.
    fn check(&self) {
        let from = self.now.earlier(Duration::from_secs(4)).unwrap_or_default();
        let Some((first, _)) = self.passed_on.first() else { return };
        if *first > from {
            return;
        }
        let before = self.passed_on.iter().rfind(|(at, _)| *at <= from);
        let during = self.passed_on.iter().filter(|(at, _)| *at > from);
        let rates = before.into_iter().chain(during).map(|(_, rate)| *rate);
        let rate = rates.fold(LEAST_RATE, f64::max);
        let sent = self.sent.iter().filter(|at| **at > from).count() as f64;
        assert!(sent <= 5.0 * rate + 2.0, "{sent} requests in 4 s at {rate} a second");
    }
}

fn step(world: &mut World, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    match u.int_in_range(0..=99_u32)? {
        0..=2 => {
            let milli = *u.choose(&[0, 300, 1_000, 4_700, 20_000])?;
            world.state(limit(milli));
        }
        3 => world.state(None),
        4..=5 => world.restart(),
        // The process is suspended, or nobody sends.
        6 => world.advance(Duration::from_millis(u.int_in_range(500..=9_000)?)),
        7..=9 => world.request(Duration::from_millis(50), true),
        _ => world.request(Duration::from_millis(u.int_in_range(1..=1_500)?), false),
    }
    world.advance(Duration::from_millis(u.int_in_range(1..=60)?));
    world.check();
    Ok(())
}

/// Guards against any order of limits, restarts, pauses and unreadable values exceeding a limit.
#[test]
fn no_schedule_exceeds_what_a_server_states() {
    arbtest(|u| {
        let mut world = World::new();
        while !u.is_empty() {
            step(&mut world, u)?;
        }
        Ok(())
    })
    .size_min(4_000)
    .size_max(40_000)
    .budget_ms(3_000);
}
