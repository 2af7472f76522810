//! An operator who evacuates a failure domain without hosts and ends that again, and gives up commands,
//! while earlier tries are delivered late. Checks that each acknowledged command stays in force
//! until a newer one is sent.

use crate::operators::ask_control;
use crate::orders;
use crate::support::client::Ask;
use cherrystream_schema::messages::ConfigReply;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

const DOMAIN: &str = "empty";
/// Maximum number of tries of a command.
const MAX_TRIES: usize = 6;
/// Reads after an acknowledgement.
const READS: usize = 8;
/// Pause between two reads or tries.
const PAUSE: Duration = Duration::from_millis(60);
/// Probability that a try is delivered late, when its sender has left.
const LATE_PROBABILITY: f64 = 0.4;
/// Delay of such a try in milliseconds: longer than the patience that control assumes of a caller.
const DELAY_MS: Range<u64> = 600..1_600;
/// Time in milliseconds from its last byte to the end of its connection.
const CLOSE_DELAY_MS: Range<u64> = 0..4;
/// Probability that the operator gives up a command without a clear answer.
const GIVE_UP_PROBABILITY: f64 = 0.3;

/// What the operator has observed.
#[derive(Debug, Default)]
pub struct Observed {
    pub acknowledged: usize,
    pub late: usize,
    /// Violated guarantees.
    pub violations: Vec<String>,
}

struct Operator {
    apis: Vec<String>,
    rng: SmallRng,
    late: JoinSet<()>,
    observed: Observed,
}

/// Sends commands and reads them back until `stop` is set.
pub async fn operate(apis: Vec<String>, seed: u64, stop: Arc<AtomicBool>) -> Observed {
    let rng = SmallRng::seed_from_u64(seed);
    let mut operator = Operator { apis, rng, late: JoinSet::new(), observed: Observed::default() };
    let mut starts = false;
    let mut is_acknowledged = false;
    while !stop.load(Ordering::Relaxed) {
        starts = !starts;
        is_acknowledged = operator.command(starts).await;
        if is_acknowledged {
            operator.observed.acknowledged += 1;
            operator.check(starts).await;
        }
        tokio::time::sleep(PAUSE).await;
    }
    while operator.late.join_next().await.is_some() {}
    if is_acknowledged {
        operator.check(starts).await;
    }
    operator.observed
}

impl Operator {
    fn api(&mut self) -> String {
        self.apis[self.rng.random_range(0..self.apis.len())].clone()
    }

    /// Sends a command to replicas in turn; returns whether it was acknowledged.
    async fn command(&mut self, starts: bool) -> bool {
        let path = if starts { orders::evacuate(DOMAIN) } else { orders::end_evacuation(DOMAIN) };
        for _ in 0..MAX_TRIES {
            let api = self.api();
            if self.rng.random_bool(LATE_PROBABILITY) {
                let delay = Duration::from_millis(self.rng.random_range(DELAY_MS));
                let close_delay = Duration::from_millis(self.rng.random_range(CLOSE_DELAY_MS));
                self.late.spawn(deliver_late(api, path.clone(), delay, close_delay));
                self.observed.late += 1;
                continue;
            }
            let answer = ask_control(&api, &Ask::post(&path, "")).await;
            match answer.map(|answer| answer.status.as_u16()) {
                Some(200) => return true,
                Some(status @ 400..500) => {
                    self.observed.violations.push(format!("{path} was refused with {status}"));
                    return false;
                }
                _ if self.rng.random_bool(GIVE_UP_PROBABILITY) => return false,
                _ => tokio::time::sleep(PAUSE).await,
            }
        }
        false
    }

    /// Checks that an acknowledged command is in force.
    async fn check(&mut self, starts: bool) {
        for _ in 0..READS {
            let api = self.api();
            if let Some(is_evacuated) = read(&api).await
                && is_evacuated != starts
            {
                let what = if starts { "evacuation" } else { "end of an evacuation" };
                self.observed
                    .violations
                    .push(format!("the acknowledged {what} is not in force, as {api} reads it"));
                return;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Delivers a command and then the end of its connection, as a link that held both does.
async fn deliver_late(api: String, path: String, delay: Duration, close_delay: Duration) {
    let Ok(mut stream) = TcpStream::connect(&api).await else { return };
    tokio::time::sleep(delay).await;
    let head = format!("POST {path} HTTP/1.1\r\nhost: control\r\ncontent-length: 0\r\n\r\n");
    let _ = stream.write_all(head.as_bytes()).await;
    tokio::time::sleep(close_delay).await;
}

/// Returns whether the failure domain is evacuated; `None` if the replica gives no definite answer.
async fn read(api: &str) -> Option<bool> {
    let answer = ask_control(api, &Ask::get("/v1/config")).await?;
    let reply: ConfigReply = serde_json::from_slice(&answer.body).ok()?;
    Some(reply.config.failure_domains_out.iter().any(|out| out == DOMAIN))
}
