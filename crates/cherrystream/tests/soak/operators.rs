//! Operators that change the configuration during faults.

use crate::support::client::{self, Ask};
use cherrystream_schema::messages::{ConfigReply, PlanReply};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(60);
/// Timeout of a request to control.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of attempts to confirm a plan.
const MAX_CONFIRM_ATTEMPTS: usize = 20;

/// Observations of an operator.
#[derive(Debug, Default)]
pub struct Report {
    /// Names of the kinds that control accepted.
    pub accepted: Vec<String>,
    /// Violated guarantees of control.
    pub violations: Vec<String>,
    pub reads: usize,
}

/// Declares kinds and reads them back until `stop` is set.
pub async fn operate(apis: Vec<String>, seed: u64, stop: Arc<AtomicBool>) -> Report {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut report = Report::default();
    for n in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let kind = format!("soak-{seed:x}-{n}");
        if declare(&apis, &mut rng, &kind).await {
            report.accepted.push(kind);
        }
        let api = &apis[rng.random_range(0..apis.len())];
        if let Some(missing) = missing(api, &report.accepted).await {
            report.reads += 1;
            if !missing.is_empty() {
                report
                    .violations
                    .push(format!("{api} reads back without the accepted kinds {missing:?}"));
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
    report
}

/// Declares a kind; returns whether control acknowledged it.
async fn declare(apis: &[String], rng: &mut SmallRng, kind: &str) -> bool {
    let intent = json!({
        "intent": "put-kind", "service": "quotes", "kind": kind, "method": "PUT",
        "path_prefix": format!("/{kind}"), "repeatable": true, "weight": 1, "deadline_ms": 1_000
    });
    let api = &apis[rng.random_range(0..apis.len())];
    let ask = Ask::post("/v1/intents", intent.to_string());
    let Some(planned) = ask_control(api, &ask).await.filter(|answer| answer.status == 201) else {
        return false;
    };
    let Ok(plan) = serde_json::from_slice::<PlanReply>(&planned.body) else { return false };
    let confirm = Ask::post(&format!("/v1/plans/{}/confirm", plan.plan), "");
    // An answer may be lost, so the same confirmation is sent again to any replica.
    for _ in 0..MAX_CONFIRM_ATTEMPTS {
        let api = &apis[rng.random_range(0..apis.len())];
        match ask_control(api, &confirm).await.map(|answer| answer.status.as_u16()) {
            Some(200) => return true,
            Some(400..500) => return false,
            _ => tokio::time::sleep(PAUSE).await,
        }
    }
    false
}

/// Sends a request to a replica; returns `None` if it fails or times out.
pub async fn ask_control(api: &str, ask: &Ask) -> Option<client::Answer> {
    tokio::time::timeout(ANSWER_TIMEOUT, client::send(api, ask)).await.ok()?
}

/// Returns the kinds that are missing at a replica; `None` if it gives no definite answer.
pub async fn missing(api: &str, kinds: &[String]) -> Option<Vec<String>> {
    let answer = ask_control(api, &Ask::get("/v1/config")).await?;
    let reply: ConfigReply = serde_json::from_slice(&answer.body).ok()?;
    let held = &reply.config.services.get("quotes")?.kinds;
    Some(kinds.iter().filter(|kind| !held.contains_key(*kind)).cloned().collect())
}
