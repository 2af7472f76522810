//! An operator that starts and stops roll-outs during faults. No backend server reports such a
//! version, so each roll-out is rolled back when its time is over. Checks that control keeps
//! acknowledged roll-outs and their decisions.

use crate::operators::ask_control;
use crate::support::client::Ask;
use cherrystream_schema::messages::{ConfigReply, PlanReply, Rollout, RolloutStage};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// One in this many runs has such an operator.
const ROLLOUT_RUN_EVERY: u64 = 3;
const SERVICE: &str = "quotes";
/// Shortest duration of a roll-out that control accepts, in milliseconds.
const WITHIN_MS: u64 = 5_000;
/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(300);
/// Time beyond the roll-out's duration in which it must be decided after all faults.
const DECISION_TIMEOUT: Duration = Duration::from_secs(18);

/// Returns whether a run has such an operator.
pub fn is_in(seed: u64) -> bool {
    seed % ROLLOUT_RUN_EVERY == 1
}

/// State that the operator has observed.
#[derive(Default)]
pub struct Observed {
    /// Number of the last acknowledged roll-out.
    acknowledged: Option<u64>,
    /// The last decision that was read back.
    decided: Option<Rollout>,
    /// Violated guarantees.
    pub violations: Vec<String>,
}

/// Starts and stops roll-outs and reads them back until `stop` is set.
pub async fn operate(apis: Vec<String>, seed: u64, stop: Arc<AtomicBool>) -> Observed {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut observed = Observed::default();
    for n in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let intent = match rng.random_bool(0.7) {
            true => json!({
                "intent": "start-rollout", "service": SERVICE, "version": version(n),
                "within_ms": WITHIN_MS
            }),
            false => json!({"intent": "stop-rollout", "service": SERVICE}),
        };
        let starts = intent["intent"] == "start-rollout";
        let api = &apis[rng.random_range(0..apis.len())];
        if accept(api, &intent).await && starts {
            observed.acknowledged = Some(n);
        }
        let api = &apis[rng.random_range(0..apis.len())];
        if let Some(rollout) = read(api).await {
            observed.check(rollout);
        }
        tokio::time::sleep(PAUSE).await;
    }
    observed
}

/// Waits until the last roll-out is decided.
pub async fn settle(api: &str, observed: &mut Observed) {
    if observed.acknowledged.is_none() {
        return;
    }
    let deciding = async {
        loop {
            if let Some(rollout) = read(api).await
                && observed.check(rollout)
            {
                return;
            }
            tokio::time::sleep(PAUSE).await;
        }
    };
    let within = Duration::from_millis(WITHIN_MS) + DECISION_TIMEOUT;
    if tokio::time::timeout(within, deciding).await.is_err() {
        observed.violations.push("a roll-out is still undecided after all faults".into());
    }
}

fn version(n: u64) -> String {
    format!("soak-{n}")
}

fn number(version: &str) -> Option<u64> {
    version.strip_prefix("soak-")?.parse().ok()
}

impl Observed {
    /// Checks a roll-out against earlier observations; returns whether it is decided.
    fn check(&mut self, rollout: Option<Rollout>) -> bool {
        let number = rollout.as_ref().and_then(|rollout| number(&rollout.version));
        if number < self.acknowledged {
            self.violations.push(format!(
                "roll-out {:?} was acknowledged, but {rollout:?} is read back",
                self.acknowledged
            ));
        }
        let Some(rollout) = rollout else { return false };
        if let Some(before) = &self.decided
            && before.version == rollout.version
            && before.stage != rollout.stage
        {
            self.violations.push(format!("decided as {before:?}, then changed to {rollout:?}"));
        }
        let is_decided =
            matches!(rollout.stage, RolloutStage::Completed | RolloutStage::RolledBack);
        if rollout.stage == RolloutStage::Completed {
            self.violations.push(format!("{rollout:?} is completed without backend servers"));
        }
        if is_decided {
            self.decided = Some(rollout);
        }
        is_decided
    }
}

/// Submits an intent and confirms it once; returns whether control acknowledged it.
async fn accept(api: &str, intent: &serde_json::Value) -> bool {
    let ask = Ask::post("/v1/intents", intent.to_string());
    let planned = ask_control(api, &ask).await.filter(|answer| answer.status == 201);
    let plan = planned.and_then(|answer| serde_json::from_slice::<PlanReply>(&answer.body).ok());
    let Some(plan) = plan else { return false };
    let confirm = Ask::post(&format!("/v1/plans/{}/confirm", plan.plan), "");
    ask_control(api, &confirm).await.is_some_and(|answer| answer.status == 200)
}

/// Reads the roll-out of the service; returns `None` if the replica gives no definite answer.
async fn read(api: &str) -> Option<Option<Rollout>> {
    let answer = ask_control(api, &Ask::get("/v1/config")).await?;
    let reply: ConfigReply = serde_json::from_slice(&answer.body).ok()?;
    Some(reply.config.rollouts.get(SERVICE).cloned())
}
