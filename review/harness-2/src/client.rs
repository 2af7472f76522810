//! Clients on the machines beside the backend servers.

use crate::http;
use crate::record::Record;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

static NEXT: AtomicU64 = AtomicU64::new(1);

/// One attempt of a client.
pub struct Attempt {
    pub id: String,
    /// Status of the answer, and whether it carries a backend server's signature; `None` without an
    /// answer.
    pub answer: Option<(u16, bool)>,
}

/// Sends one request and waits for its answer until its deadline.
pub fn send(
    to: &str,
    method: &str,
    host: &str,
    path: &str,
    deadline: Duration,
    record: &Arc<Record>,
) -> Attempt {
    let id = format!("{:016x}", 0x5eed_0000_0000_0000_u64 + NEXT.fetch_add(1, Ordering::Relaxed));
    let timeout = deadline.as_millis().to_string();
    let headers =
        [("Host", host), ("X-Attempt-Id", id.as_str()), ("X-Request-Timeout-Ms", timeout.as_str())];
    record.line(&format!("client: {id} {method} {path} sent to {to}"));
    let sent = Instant::now();
    // A little longer than the deadline, so that an answer at the deadline is seen.
    let wait = deadline + Duration::from_millis(300);
    let answer = http::call(to, method, path, &headers, b"order", wait);
    let answer = answer.ok().map(|a| (a.status, a.message.header("x-server-signature").is_some()));
    let took = sent.elapsed().as_millis();
    record.line(&match answer {
        Some((status, signed)) => {
            format!("client: {id} answered {status} after {took} ms, signed: {signed}")
        }
        None => format!("client: {id} has no answer after {took} ms"),
    });
    Attempt { id, answer }
}

/// Sends requests at an even rate for a while, each on its own connection, and returns them all.
pub fn load(
    every: Duration,
    count: usize,
    send: impl Fn(usize) -> Attempt + Send + Sync + 'static,
) -> Vec<Attempt> {
    let send = Arc::new(send);
    let started = Instant::now();
    let mut threads = Vec::new();
    for n in 0..count {
        let due = started + every * n as u32;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let send = send.clone();
        threads.push(std::thread::spawn(move || send(n)));
    }
    threads.into_iter().filter_map(|thread| thread.join().ok()).collect()
}
