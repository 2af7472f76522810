//! Detection of connections that have gone silent, without I/O.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use cherrystream_core::keep_alive::{Action, KeepAlive, MIN_THROUGHPUT, Options, Traffic};
use cherrystream_core::units::Timestamp;
use std::time::Duration;

const OPTIONS: Options = Options {
    ping_interval: Duration::from_millis(300),
    timeout: Duration::from_millis(700),
    max_extension: Duration::from_secs(1),
    retry_interval: Duration::from_millis(500),
};
/// Bytes of a ping, neglected so that its transfer takes no time.
const PING_BYTES: usize = 0;
/// Longest delay of a check in the random schedules.
const MAX_LATENESS_MS: u64 = 100;
/// Longest simulated time.
const END: Timestamp = Timestamp::from_millis(20_000);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn opened() -> (KeepAlive, Traffic) {
    (KeepAlive::new(at(0), OPTIONS), Traffic::new(at(0)))
}

/// Returns when checks that are never late first ask for a replacement, if before `end`.
fn replaced_at(keep_alive: &mut KeepAlive, traffic: &Traffic, end: Timestamp) -> Option<Timestamp> {
    let mut now = at(0);
    while now < end {
        match keep_alive.check(now, traffic) {
            Action::Check(next) => now = next,
            Action::Replace => return Some(now),
        }
    }
    None
}

/// Guards against replacing a connection on which nothing was asked.
#[test]
fn a_connection_without_written_bytes_is_kept() {
    let (mut keep_alive, traffic) = opened();
    assert_eq!(replaced_at(&mut keep_alive, &traffic, END), None);
}

/// Guards against a timeout that starts again with each further byte.
#[test]
fn the_timeout_begins_with_the_first_unanswered_byte() {
    let (mut keep_alive, mut traffic) = opened();
    for n in 1..=10 {
        traffic.on_written(at(n * 100), PING_BYTES);
    }
    assert_eq!(replaced_at(&mut keep_alive, &traffic, END), Some(at(800)));
}

/// Guards against replacing a connection whose pings wait behind a large message.
#[test]
fn written_bytes_extend_the_timeout_by_their_transfer() {
    let (mut keep_alive, mut traffic) = opened();
    traffic.on_written(at(0), (MIN_THROUGHPUT / 2.0) as usize);
    assert_eq!(replaced_at(&mut keep_alive, &traffic, END), Some(at(500 + 700)));
}

/// Guards against a connection that is never replaced because of its unsent bytes.
#[test]
fn the_extension_is_bounded() {
    let (mut keep_alive, mut traffic) = opened();
    traffic.on_written(at(0), 100 << 20);
    assert_eq!(replaced_at(&mut keep_alive, &traffic, END), Some(at(1_000 + 700)));
}

/// Guards against counting from a byte that arrived while most of a message was under way.
#[test]
fn a_byte_that_arrives_early_does_not_end_the_extension() {
    let (mut keep_alive, mut traffic) = opened();
    traffic.on_written(at(0), MIN_THROUGHPUT as usize);
    traffic.on_received(at(100));
    traffic.on_written(at(200), PING_BYTES);
    let replaced_at = replaced_at(&mut keep_alive, &traffic, END).unwrap();
    assert!(replaced_at >= at(1_700), "{replaced_at:?}");
}

/// Guards against replacing a connection whose link is faster than is allowed for.
#[test]
fn an_answer_before_the_end_of_the_allowed_transfer_is_an_answer() {
    let (mut keep_alive, mut traffic) = opened();
    traffic.on_written(at(0), MIN_THROUGHPUT as usize);
    traffic.on_received(at(100));
    assert_eq!(replaced_at(&mut keep_alive, &traffic, END), None);
}

/// Guards against a connection whose send buffer is full when it goes silent.
#[test]
fn a_blocked_connection_is_replaced() {
    let (mut keep_alive, mut traffic) = opened();
    traffic.on_written(at(0), PING_BYTES);
    traffic.on_blocked(at(10));
    traffic.on_received(at(100));
    assert_eq!(replaced_at(&mut keep_alive, &traffic, END), Some(at(800)));
}

/// Guards against replacing a connection because this process was suspended: what arrived meanwhile
/// is not read yet.
#[test]
fn a_late_check_starts_the_timeout_again_once() {
    let (mut keep_alive, mut traffic) = opened();
    traffic.on_written(at(100), PING_BYTES);
    assert_eq!(keep_alive.check(at(100), &traffic), Action::Check(at(800)));
    assert_eq!(keep_alive.check(at(5_000), &traffic), Action::Check(at(5_700)));
    assert!(!keep_alive.is_silent(at(5_000), &traffic));
    // Without a byte since, the process is overloaded or the connection is dead.
    assert_eq!(keep_alive.check(at(9_000), &traffic), Action::Replace);
    // After a byte, a further suspension counts.
    traffic.on_received(at(9_001));
    traffic.on_written(at(9_002), PING_BYTES);
    assert_eq!(keep_alive.check(at(9_003), &traffic), Action::Check(at(9_702)));
    assert_eq!(keep_alive.check(at(12_000), &traffic), Action::Check(at(12_700)));
}

/// Guards against attempts to connect without a pause, and against callers that wait for a peer
/// that is known to be unreachable.
#[test]
fn a_peer_is_unreachable_from_a_failed_attempt_until_a_byte_arrives() {
    let (mut keep_alive, mut traffic) = opened();
    traffic.on_written(at(0), PING_BYTES);
    keep_alive.check(at(0), &traffic);
    assert_eq!(keep_alive.check(at(701), &traffic), Action::Replace);
    assert!(!keep_alive.is_unreachable(at(701), &traffic));
    keep_alive.on_attempt_failed(at(1_100));
    assert!(keep_alive.is_unreachable(at(1_100), &traffic));
    assert_eq!(keep_alive.check(at(1_101), &traffic), Action::Check(at(1_600)));
    traffic.on_received(at(1_200));
    assert!(!keep_alive.is_unreachable(at(1_200), &traffic));
    assert!(matches!(keep_alive.check(at(1_600), &traffic), Action::Check(_)));
}

/// A connection with random writes, whose peer answers until it dies.
struct Connection {
    keep_alive: KeepAlive,
    traffic: Traffic,
    now: Timestamp,
    next_check: Timestamp,
    next_ping: Timestamp,
    next_write: Timestamp,
    /// When bytes arrive.
    answers: Vec<Timestamp>,
    /// From when on no byte arrives.
    dead_from: Timestamp,
}

impl Connection {
    fn new(dead_from: Timestamp) -> Connection {
        let (keep_alive, traffic) = opened();
        Connection {
            keep_alive,
            traffic,
            now: at(0),
            next_check: at(0),
            next_ping: at(300),
            next_write: at(0),
            answers: Vec::new(),
            dead_from,
        }
    }

    /// Writes bytes that are answered when they are transferred and a round trip has passed.
    fn write(&mut self, bytes: usize, round_trip: Duration) {
        self.traffic.on_written(self.now, bytes);
        let transfer = Duration::from_secs_f64(bytes as f64 / MIN_THROUGHPUT);
        self.answers.push(self.now + transfer + round_trip);
    }

    /// Advances to the next event, and returns whether the connection is to be replaced.
    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<bool> {
        let answer = self.answers.iter().min().copied().unwrap_or(END);
        self.now = self.next_check.min(self.next_ping).min(self.next_write).min(answer);
        let round_trip = ms(u.int_in_range(0..=150)?);
        if self.now == answer {
            self.answers.retain(|at| *at != answer);
            if answer < self.dead_from {
                self.traffic.on_received(self.now);
            }
        } else if self.now == self.next_ping {
            self.write(PING_BYTES, round_trip);
            self.next_ping = self.now + OPTIONS.ping_interval;
        } else if self.now == self.next_write {
            // Less than is transferred until the next write.
            let bytes = u.int_in_range(0..=20_000)?;
            self.write(bytes, round_trip);
            self.next_write = self.now + ms(u.int_in_range(500..=3_000)?);
        } else {
            match self.keep_alive.check(self.now, &self.traffic) {
                Action::Replace => return Ok(true),
                Action::Check(at) => {
                    self.next_check = at + ms(u.int_in_range(0..=MAX_LATENESS_MS)?);
                }
            }
        }
        Ok(false)
    }
}

/// Guards against replacing a connection that answers within the timeout, however much is written.
#[test]
fn a_connection_that_answers_is_never_replaced() {
    arbtest(|u| {
        let mut connection = Connection::new(END);
        while connection.now < END && !u.is_empty() {
            assert!(!connection.step(u)?, "replaced at {:?}", connection.now);
        }
        Ok(())
    });
}

/// Guards against a dead connection that is kept because of what is written on it.
#[test]
fn a_dead_connection_is_replaced_in_bounded_time() {
    let bound = OPTIONS.ping_interval + OPTIONS.timeout + OPTIONS.max_extension;
    arbtest(|u| {
        let dead_from = at(u.int_in_range(0..=5_000)?);
        let bound = dead_from + bound + ms(MAX_LATENESS_MS);
        let mut connection = Connection::new(dead_from);
        while !connection.step(u)? {
            assert!(
                connection.now <= bound,
                "dead from {dead_from:?}, kept at {:?}",
                connection.now
            );
        }
        Ok(())
    });
}
