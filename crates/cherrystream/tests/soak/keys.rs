//! Adds, revokes and moves keys of workspaces during faults, and checks the answers to callers with
//! keys.

use crate::support::client::{self, Answer, Ask};
use crate::support::site::Site;
use crate::watchers::{MAX_PROPAGATION_TIME, WatchedDaemon};
use cherrystream_core::workspaces;
use cherrystream_net::pool::Pool;
use cherrystream_schema::messages::PlanReply;
use cherrystream_standin::backend::WorkAnswer;
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Key of the other callers; it is never revoked.
pub const PERMANENT_KEY: &str = "soak-key-of-the-residents";
/// Keys that are added and revoked.
const KEYS: [&str; 4] =
    ["soak-key-number-one", "soak-key-number-two", "soak-key-three", "soak-key-four"];
/// Workspaces that the keys are added to.
const WORKSPACES: [&str; 2] = ["studio", "guild"];
/// A key that is never added.
const UNKNOWN_KEY: &str = "soak-key-of-nobody";
/// Pause between two changes, and between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(80);
/// Timeout of a request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Deadline of a request in milliseconds; none starts to run later than this.
const DEADLINE_MS: u64 = 2_000;
/// Time after which a revoked key must be refused everywhere.
const MAX_DELAY: Duration = MAX_PROPAGATION_TIME;

/// Makes every request require a key, before any daemon starts.
pub async fn require_keys(site: &Site) {
    for workspace in ["residents"].iter().chain(&WORKSPACES) {
        site.accept(json!({"intent": "put-workspace", "workspace": workspace})).await;
    }
    site.accept(add("residents", PERMANENT_KEY)).await;
    site.accept(json!({"intent": "need-keys", "needed": true})).await;
}

fn add(workspace: &str, key: &str) -> Value {
    let key_digest = workspaces::digest(key);
    json!({"intent": "add-key", "workspace": workspace, "key_digest": key_digest})
}

fn revoke(workspace: &str, key: &str) -> Value {
    let key_digest = workspaces::digest(key);
    json!({"intent": "revoke-key", "workspace": workspace, "key_digest": key_digest})
}

/// A period in which a workspace holds a key.
#[derive(Clone, Copy, Debug)]
struct Assignment {
    key: usize,
    workspace: &'static str,
    /// When the key's addition was requested.
    requested_at: Instant,
    /// When the addition was accepted.
    held_at: Option<Instant>,
    /// When the key's revocation was requested.
    end_requested_at: Option<Instant>,
    /// When the revocation was accepted.
    ended_at: Option<Instant>,
}

/// Adds keys to workspaces and revokes them.
pub struct Operator {
    apis: Vec<String>,
    rng: SmallRng,
    assignments: Vec<Assignment>,
    /// Plan whose confirmation got no clear answer.
    unresolved: Option<String>,
    /// The last intent with control's answer to it or to its plan, for failure messages.
    last_answer: String,
}

impl Operator {
    pub fn new(apis: Vec<String>, seed: u64) -> Operator {
        let rng = SmallRng::seed_from_u64(seed);
        let (unresolved, last_answer) = (None, String::new());
        Operator { apis, rng, assignments: Vec::new(), unresolved, last_answer }
    }

    /// Adds and revokes random keys until `stop` is set.
    pub async fn operate(mut self, stop: Arc<AtomicBool>) -> Operator {
        while !stop.load(Ordering::Relaxed) {
            let key = self.rng.random_range(0..KEYS.len());
            self.toggle(key, &stop).await;
            tokio::time::sleep(PAUSE).await;
        }
        self
    }

    /// Revokes a key from the workspace that holds it, or adds it to one.
    async fn toggle(&mut self, key: usize, stop: &AtomicBool) {
        let last = self
            .assignments
            .iter()
            .rposition(|assignment| assignment.key == key && assignment.ended_at.is_none());
        let Some(assignment) = last else {
            let workspace = WORKSPACES[self.rng.random_range(0..WORKSPACES.len())];
            let requested_at = Instant::now();
            let (held_at, end_requested_at, ended_at) = (None, None, None);
            self.assignments.push(Assignment {
                key,
                workspace,
                requested_at,
                held_at,
                end_requested_at,
                ended_at,
            });
            let accepted = self.accept(&add(workspace, KEYS[key]), stop).await;
            self.assignments.last_mut().unwrap().held_at = accepted.then(Instant::now);
            return;
        };
        self.assignments[assignment].end_requested_at.get_or_insert_with(Instant::now);
        let intent = revoke(self.assignments[assignment].workspace, KEYS[key]);
        if self.accept(&intent, stop).await {
            self.assignments[assignment].ended_at = Some(Instant::now());
        }
    }

    /// Submits an intent until control accepts it; returns whether control confirmed it before the
    /// stop. An earlier attempt may have succeeded without a confirmation: then control answers
    /// that there is nothing to change.
    async fn accept(&mut self, intent: &Value, stop: &AtomicBool) -> bool {
        while !stop.load(Ordering::Relaxed) {
            let planned = self.ask(&Ask::post("/v1/intents", intent.to_string())).await;
            let status = planned.as_ref().map_or(0, |answer| answer.status.as_u16());
            self.note(intent, planned.as_ref());
            if matches!(status, 404 | 409) {
                return true;
            }
            if status == 201 && self.confirm(&planned.unwrap(), stop).await {
                return true;
            }
            tokio::time::sleep(PAUSE / 4).await;
        }
        false
    }

    async fn confirm(&mut self, planned: &Answer, stop: &AtomicBool) -> bool {
        let Ok(plan) = serde_json::from_slice::<PlanReply>(&planned.body) else { return false };
        self.unresolved = Some(plan.plan);
        self.resolve(stop).await
    }

    /// Sends the last confirmation again until its outcome is known, as control's answers ask;
    /// returns whether the plan is accepted.
    async fn resolve(&mut self, stop: &AtomicBool) -> bool {
        while let Some(plan) = &self.unresolved {
            let ask = Ask::post(&format!("/v1/plans/{plan}/confirm"), "");
            let confirmed = self.ask(&ask).await;
            self.note(&json!(ask.path), confirmed.as_ref());
            match confirmed.map(|answer| answer.status.as_u16()) {
                Some(status @ (200 | 400..500)) => {
                    self.unresolved = None;
                    return status == 200;
                }
                _ if stop.load(Ordering::Relaxed) => return false,
                _ => tokio::time::sleep(PAUSE / 4).await,
            }
        }
        false
    }

    fn note(&mut self, what: &Value, answer: Option<&Answer>) {
        let body = answer.map(|a| String::from_utf8_lossy(&a.body).into_owned());
        self.last_answer = format!("{what}: {:?} {body:?}", answer.map(|answer| answer.status));
    }

    async fn ask(&mut self, ask: &Ask) -> Option<Answer> {
        let api = &self.apis[self.rng.random_range(0..self.apis.len())];
        tokio::time::timeout(ANSWER_TIMEOUT, client::send(api, ask)).await.ok()?
    }

    /// Revokes all keys but one after all faults have ended; returns the daemons that don't follow
    /// within the bound.
    pub async fn settle(&mut self, watched: &[WatchedDaemon]) -> Vec<String> {
        let stop = AtomicBool::new(false);
        let settled_by = Instant::now() + 2 * MAX_DELAY;
        if tokio::time::timeout_at(settled_by.into(), self.resolve(&stop)).await.is_err() {
            return vec![format!("a confirmation has no outcome: {}", self.last_answer)];
        }
        for key in 0..KEYS.len() {
            let is_held = |assignments: &[Assignment]| {
                assignments
                    .iter()
                    .any(|assignment| assignment.key == key && assignment.ended_at.is_none())
            };
            // The stop may have interrupted an intent whose result is unknown; it is revoked first.
            let is_uncertain = |assignments: &[Assignment]| {
                assignments.iter().any(|assignment| {
                    let is_open = assignment.key == key && assignment.ended_at.is_none();
                    is_open
                        && (assignment.held_at.is_none() || assignment.end_requested_at.is_some())
                })
            };
            while is_uncertain(&self.assignments) || is_held(&self.assignments) != (key == 0) {
                let toggle = tokio::time::timeout_at(settled_by.into(), self.toggle(key, &stop));
                if toggle.await.is_err() {
                    return vec![format!(
                        "key {key}: control confirmed no intent within {:?}; {}, assignments {:?}",
                        2 * MAX_DELAY,
                        self.last_answer,
                        self.assignments.iter().filter(|a| a.key == key).collect::<Vec<_>>()
                    )];
                }
            }
        }
        let until = Instant::now() + MAX_DELAY;
        let mut late_daemons = Vec::new();
        for watched in watched {
            for (key, text) in KEYS.iter().enumerate() {
                let holds = key == 0;
                loop {
                    let answer = settled_answer(&watched.address, text).await;
                    let status = answer.as_ref().map(|answer| answer.status.as_u16());
                    if status == Some(if holds { 200 } else { 401 }) {
                        break;
                    }
                    if Instant::now() > until {
                        let reason = answer.as_ref().map(Answer::reason);
                        let held = self.digests_held().await;
                        late_daemons.push(format!(
                            "daemon {}: key {key} ({}): accepted is not {holds} after \
                             {MAX_DELAY:?}: answered {status:?} {reason:?}; control: {held}; {}",
                            watched.daemon,
                            workspaces::digest(text),
                            self.last_answer
                        ));
                        break;
                    }
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
        late_daemons
    }

    /// Returns the revision and the workspaces of control's configuration, for failure messages.
    async fn digests_held(&mut self) -> String {
        match self.ask(&Ask::get("/v1/config")).await {
            Some(answer) if answer.status == 200 => {
                let reply = answer.json();
                format!("{} {}", reply["revision"], reply["config"]["workspaces"])
            }
            answer => format!("{:?}", answer.map(|answer| answer.status)),
        }
    }
}

async fn settled_answer(address: &str, key: &str) -> Option<Answer> {
    let ask = ask("/k/settled", Some(key));
    let sending = client::send(address, &ask);
    tokio::time::timeout(ANSWER_TIMEOUT, sending).await.ok()?
}

fn ask(path: &str, key: Option<&str>) -> Ask {
    let ask = Ask::get(&format!("{path}?tell_head=1")).service("quotes");
    let ask = ask.with("cherrystream-deadline-ms", DEADLINE_MS);
    let ask = ask.with("cherrystream-workspace", "forged");
    match key {
        Some(key) => ask.with("authorization", format!("Bearer {key}")),
        None => ask,
    }
}

/// The key that a request presents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PresentedKey {
    Known(usize),
    Unknown,
    Missing,
}

/// A request and its result.
#[derive(Clone, Debug)]
pub struct CallRecord {
    name: String,
    daemon: usize,
    presented: PresentedKey,
    sent_at: Instant,
    ended_at: Instant,
    status: u16,
    /// The backend server's description of the request, if one answered.
    work: Option<WorkAnswer>,
}

/// Sends requests with and without keys to a daemon until `stop` is set.
pub async fn call(
    watched: WatchedDaemon,
    seed: u64,
    stop: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<CallRecord>>>,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let pool = Pool::new(&watched.address, Default::default());
    for n in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let presented = match rng.random_range(0..6) {
            0 => PresentedKey::Unknown,
            1 => PresentedKey::Missing,
            _ => PresentedKey::Known(rng.random_range(0..KEYS.len())),
        };
        let key = match presented {
            PresentedKey::Known(key) => Some(KEYS[key]),
            PresentedKey::Unknown => Some(UNKNOWN_KEY),
            PresentedKey::Missing => None,
        };
        let name = format!("/k/{seed:x}/{n}");
        let sent_at = Instant::now();
        let ask = ask(&name, key);
        let answer =
            tokio::time::timeout(ANSWER_TIMEOUT, client::send_on(&pool, &ask)).await.ok().flatten();
        let status = answer.as_ref().map_or(0, |answer| answer.status.as_u16());
        let is_work = |answer: &Answer| answer.outcome() == "answered" && answer.status == 200;
        let work = answer.filter(is_work).and_then(|a| serde_json::from_slice(&a.body).ok());
        let (daemon, ended_at) = (watched.daemon, Instant::now());
        records.lock().push(CallRecord {
            name,
            daemon,
            presented,
            sent_at,
            ended_at,
            status,
            work,
        });
        tokio::time::sleep(PAUSE.mul_f64(rng.random_range(0.0..1.0))).await;
    }
}

/// Returns the violated guarantees about keys, from the records of callers and backend servers.
pub fn violations(
    operator: &Operator,
    records: &[CallRecord],
    runs: &HashSet<String>,
) -> Vec<String> {
    let violations = records.iter().filter_map(|record| {
        let what = violation(&operator.assignments, record, runs.contains(&record.name))?;
        Some(format!("{} ({:?}, daemon {}): {what}", record.name, record.presented, record.daemon))
    });
    violations.collect()
}

fn violation(assignments: &[Assignment], record: &CallRecord, ran: bool) -> Option<String> {
    let PresentedKey::Known(key) = record.presented else {
        return ran.then(|| "ran without the key of a workspace".into());
    };
    // Assignments that a daemon may still apply: none ended longer than the bound before the
    // request.
    let of_key: Vec<&Assignment> =
        assignments.iter().filter(|assignment| assignment.key == key).collect();
    let may_hold = |assignment: &&&Assignment| {
        assignment.requested_at <= record.ended_at
            && assignment.ended_at.is_none_or(|at| at + MAX_DELAY >= record.sent_at)
    };
    let holders: Vec<&str> =
        of_key.iter().filter(may_hold).map(|assignment| assignment.workspace).collect();
    if ran && holders.is_empty() {
        return Some(format!("ran under a key that no workspace holds: {of_key:?}"));
    }
    let work = record.work.as_ref();
    let name = work.map(|work| work.header("cherrystream-workspace").unwrap_or("none"));
    if let Some(name) = name.filter(|name| !holders.contains(name)) {
        return Some(format!("ran for workspace {name}, but its key belongs to {holders:?}"));
    }
    if work.is_some_and(|work| work.header("authorization").is_some()) {
        return Some("its key was forwarded to the backend server".into());
    }
    let certainly_held = |assignment: &&Assignment| {
        assignment.held_at.is_some_and(|at| at + MAX_DELAY < record.sent_at)
            && assignment.end_requested_at.is_none_or(|at| at > record.ended_at)
    };
    let refused = record.status == 401 && of_key.iter().any(certainly_held);
    refused.then(|| "was refused, although its key had been held for longer than the bound".into())
}

/// Counts the requests by status.
pub fn outcomes(records: &[CallRecord]) -> String {
    let count = |status: u16| records.iter().filter(|record| record.status == status).count();
    format!("{} with keys: {} answered, {} refused with 401", records.len(), count(200), count(401))
}
