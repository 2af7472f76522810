//! Cold backend servers: what is believed of their warmth, and what they are given.

use arbtest::arbtest;
use cherrystream_core::admission::{Action, Admission, Arrival, Options, Ticket, Verdict};
use cherrystream_core::cold_pace::ColdLimits;
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

/// The bound that `limits` were worked out from.
const BOUND: usize = 33;

/// A door to a backend server that got nothing before.
fn door() -> Admission {
    let mut door = found_door();
    door.on_new();
    door
}

/// A door to a backend server that another process may have sent requests to.
fn found_door() -> Admission {
    let opts = Options { slots: 40, queue: 12, cold: Some(limits()), ..Options::default() };
    Admission::new(opts)
}

fn arrival(now: Timestamp, called: bool, wait: Duration) -> Arrival {
    Arrival {
        called,
        weight: 1,
        deadline: now + wait,
        selective: false,
        good_until: None,
        usual: None,
    }
}

#[test]
fn a_server_of_which_nothing_was_heard_counts_as_cold() {
    let mut warmth = Warmth::default();
    assert!(warmth.is_cold(at(0)));
    assert!(warmth.asks(at(0)));
    assert!(!warmth.asks(at(50)), "one question at a time");
    warmth.on_answer(at(60), Duration::ZERO);
    assert!(!warmth.is_cold(at(60)));
    assert!(!warmth.asks(at(500)));
    assert!(warmth.asks(at(600)));
    assert!(warmth.is_cold(at(4_000)), "a word of seconds ago, as after a freeze, is not believed");
}

#[test]
fn a_report_that_was_long_on_its_way_ends_no_cold_time() {
    let mut warmth = Warmth::default();
    warmth.on_answer(at(0), ms(3_000));
    warmth.on_report(at(100), 7, Duration::ZERO);
    assert!(warmth.is_cold(at(2_900)));
    // The one before comes after it, and is overtaken.
    warmth.on_answer(at(3_000), Duration::ZERO);
    warmth.on_report(at(3_100), 6, ms(3_000));
    assert!(!warmth.is_cold(at(3_100)));
}

#[test]
fn a_server_that_becomes_cold_without_a_new_run_is_noticed_by_the_next_answer() {
    let mut warmth = Warmth::default();
    warmth.on_answer(at(0), Duration::ZERO);
    warmth.doubt();
    assert!(warmth.is_cold(at(10)) && warmth.asks(at(10)));
    warmth.on_answer(at(20), ms(2_000));
    assert!(warmth.is_cold(at(2_000)) && !warmth.is_cold(at(2_020)));
}

#[test]
fn what_a_cold_server_cannot_take_in_time_is_refused_at_once() {
    let mut door = door();
    door.warmth().on_answer(at(0), ms(3_000));
    let mut refused = 0;
    for _ in 0..50 {
        match door.arrive(at(0), arrival(at(0), false, ms(100))).0 {
            Verdict::Refuse(refusal) => {
                assert_eq!(refusal.reason, Reason::ServerCold);
                // It comes back when there may be room, not before.
                assert!(refusal.retry_after > ms(100), "{:?}", refusal.retry_after);
                refused += 1;
            }
            Verdict::Run(_) | Verdict::Wait(_) => {}
        }
    }
    assert_eq!(refused, 50 - 32, "of 50 were refused");
}

#[test]
fn calls_by_running_requests_have_the_first_turns_of_a_cold_server() {
    let mut door = door();
    door.warmth().on_answer(at(0), ms(3_000));
    let mut last = Verdict::Run(Ticket(0));
    while let Verdict::Run(ticket) = last {
        door.on_sent(at(0), ticket);
        last = door.arrive(at(0), arrival(at(0), false, ms(1_500))).0;
    }
    let called = door.arrive(at(0), arrival(at(0), true, ms(1_500))).0;
    let Verdict::Wait(called) = called else { panic!("{called:?}") };
    let started = (0..1_200).find_map(|ms| door.tick(at(ms)).first().copied());
    assert_eq!(started, Some(Action::Start(called)));
}

#[test]
fn a_process_that_cannot_know_what_was_sent_before_it_sends_a_cold_server_nothing_in_its_first_second()
 {
    let mut door = found_door();
    door.warmth().on_answer(at(300), ms(3_000));
    let Verdict::Refuse(refusal) = door.arrive(at(300), arrival(at(300), false, ms(100))).0 else {
        panic!("it was let in");
    };
    assert_eq!((refusal.reason, refusal.retry_after), (Reason::ServerCold, ms(750)));
    let verdict = door.arrive(at(1_050), arrival(at(1_050), false, ms(100))).0;
    assert!(matches!(verdict, Verdict::Run(_)), "{verdict:?}");
}

#[test]
fn a_warm_server_has_no_pace() {
    let mut door = door();
    door.warmth().on_answer(at(0), Duration::ZERO);
    for _ in 0..40 {
        let verdict = door.arrive(at(0), arrival(at(0), false, SECOND)).0;
        assert!(matches!(verdict, Verdict::Run(_)), "{verdict:?}");
    }
}

/// Sends that wait to leave, and those that left, in one schedule.
#[derive(Default)]
struct Schedule {
    inside: Vec<Ticket>,
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

    fn send(&mut self, door: &mut Admission, now: Timestamp, ticket: Ticket) {
        door.on_sent(now, ticket);
        self.inside.push(ticket);
        self.sent.push(now);
    }

    /// Returns the most sends in a second.
    fn most_in_a_second(&self) -> usize {
        let within = |from: usize| {
            self.sent[from..].iter().take_while(|at| at.since(self.sent[from]) < SECOND).count()
        };
        (0..self.sent.len()).map(within).max().unwrap_or(0)
    }
}

/// Whatever comes in by whatever way, and whenever it leaves: a cold backend server gets no more than its bound in any
/// second.
#[test]
fn no_schedule_sends_a_cold_server_more_than_its_bound() {
    arbtest(|u| {
        let mut door = door();
        let mut schedule = Schedule::default();
        let mut now = at(0);
        while !u.is_empty() {
            now = now + Duration::from_millis(u.int_in_range(0..=40)?);
            door.warmth().on_answer(now, ms(3_000));
            match u.int_in_range(0..=5)? {
                0..=2 => {
                    let wait = ms(u.int_in_range(1..=800)?);
                    let asked = Arrival {
                        selective: u.arbitrary()?,
                        weight: u.int_in_range(0..=3)?,
                        ..arrival(now, u.arbitrary()?, wait)
                    };
                    let (verdict, actions) = door.arrive(now, asked);
                    if let Verdict::Run(ticket) = verdict {
                        schedule.unsent.push_back(ticket);
                    }
                    schedule.start(actions);
                }
                3 => {
                    // All that were let in leave together, as after a freeze or a wait for their bodies.
                    while let Some(ticket) = schedule.unsent.pop_front() {
                        schedule.send(&mut door, now, ticket);
                    }
                }
                4 => {
                    if let Some(ticket) = schedule.inside.pop() {
                        let actions = door.finish(now, ticket, true);
                        schedule.start(actions);
                    }
                }
                _ => {
                    let actions = door.tick(now);
                    schedule.start(actions);
                }
            }
        }
        let most = schedule.most_in_a_second();
        assert!(most <= BOUND, "{most} in a second");
        Ok(())
    })
    .budget_ms(2_000);
}
