//! Quotas over all hosts: decides on requests where they are read, and exchanges batches with the daemons of other hosts.

use crate::current_config::CurrentConfigCell;
use crate::headers::{self, Op};
use crate::metrics::Metrics;
use crate::peer::Peers;
use crate::refusal::Refused;
use cherrystream_core::log_budget::LogBudget;
use cherrystream_core::quota::{
    Charge, Decision, LeaseBatch, LeaseReply, Leases, Member, Members, OverQuota, Policy,
    Tolerance, Try,
};
use cherrystream_core::reasons::Reason;
use cherrystream_core::routes::RouteIndex;
use cherrystream_core::units::Timestamp;
use cherrystream_core::workspaces::{NamedWorkspace, Quota};
use cherrystream_net::body::{self, Body, Start};
use cherrystream_net::clock::Clock;
use cherrystream_net::key::Secret;
use cherrystream_schema::messages::{HostRecord, Shared};
use cherrystream_schema::settings::DaemonSettings;
use http::Request;
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// Time between two looks at what is to be told: credits given back, and credits wanted in advance.
const TELL_EVERY: Duration = Duration::from_millis(100);
/// Longest wait for the answer to a batch: a home that stands still must not use up a caller's time.
const ANSWER_WITHIN: Duration = Duration::from_millis(150);
/// Longest time that a request waits to be decided on, with one home after the other asked.
const DECIDED_WITHIN: Duration = Duration::from_millis(500);
/// Largest batch, in bytes: a line for each of 1,000 workspaces.
const BATCH_BYTES: usize = 64 * 1024;

/// Decides on requests.
pub struct Quotas {
    policy: Mutex<Box<dyn Policy>>,
    /// Told when an answer came.
    answered: Notify,
    own: Member,
    /// What the policy was last told of the configuration.
    told: Mutex<Told>,
    log: Mutex<LogBudget>,
    tools: Tools,
}

/// What the exchange of batches needs.
pub struct Tools {
    /// Shared state held.
    pub held: Arc<CurrentConfigCell>,
    /// Connections to other daemons.
    pub peers: Arc<Peers>,
    /// Key of the system's own processes.
    pub key: Option<Secret>,
    /// The clock.
    pub clock: Clock,
    /// Metrics.
    pub metrics: Metrics,
}

#[derive(Default)]
struct Told {
    routes: Option<Arc<RouteIndex>>,
    members: Vec<Member>,
}

/// Returns how far all daemons together may go beyond a quota.
pub fn tolerance(settings: &DaemonSettings) -> Tolerance {
    Tolerance {
        window: Duration::from_secs_f64(settings.quota_window_s),
        over: settings.quota_over,
        slack: settings.quota_slack,
    }
}

impl Quotas {
    /// Creates the quotas of the daemon on a host.
    pub fn new(record: &HostRecord, tolerance: Tolerance, tools: Tools) -> Quotas {
        let own = member((&record.host, &record.failure_domain));
        let members = Members::new(own.clone(), []);
        Quotas {
            policy: Mutex::new(Box::new(Leases::new(tolerance, members))),
            answered: Notify::new(),
            own,
            told: Mutex::default(),
            log: Mutex::default(),
            tools,
        }
    }

    /// Takes the state held: the daemons, and the quotas.
    pub fn set(&self, shared: &Shared, routes: Arc<RouteIndex>) {
        let mut told = self.told.lock();
        let mut policy = self.policy.lock();
        if !told.routes.as_ref().is_some_and(|known| Arc::ptr_eq(known, &routes)) {
            policy.set_quotas(routes.workspaces().quotas().collect());
            told.routes = Some(routes);
        }
        // Most revisions change other things, and there may be many daemons.
        if !told.members.iter().map(names).eq(sharing(shared)) {
            told.members = sharing(shared).map(member).collect();
            let members = Members::new(self.own.clone(), told.members.iter().cloned());
            policy.set_members(self.tools.clock.now(), &members);
        }
    }

    /// Decides on a request of a workspace; returns its charge, where the workspace has a quota.
    ///
    /// # Errors
    ///
    /// Fails when the workspace has sent as many requests as its quota allows.
    pub async fn admit(
        self: &Arc<Self>,
        workspace: &NamedWorkspace,
        id: Option<&str>,
    ) -> Result<Option<Charge>, Refused> {
        let Some(quota) = workspace.quota else { return Ok(None) };
        let metrics = &self.tools.metrics.quotas;
        let began = self.tools.clock.now();
        match self.decide(&workspace.name, quota).await {
            Ok(charge) => {
                metrics.on_used(&workspace.name, charge.allocator.is_none());
                Ok(Some(charge))
            }
            Err(over) => {
                metrics.on_refused(&workspace.name, over.answer_age);
                self.log_refusal(workspace, id, &over, began);
                Err(Refused { reason: Reason::OverQuota, retry_after: over.retry_after })
            }
        }
    }

    async fn decide(
        self: &Arc<Self>,
        workspace: &Arc<str>,
        quota: Quota,
    ) -> Result<Charge, OverQuota> {
        let began = self.tools.clock.now();
        let mut turn = Try::First;
        loop {
            // Listened for before the decision, or an answer that comes right after it would be missed.
            let mut answered = std::pin::pin!(self.answered.notified());
            answered.as_mut().enable();
            let now = self.tools.clock.now();
            let verdict = self.policy.lock().admit(now, workspace, quota, turn);
            match verdict {
                Decision::Run(charge) => return Ok(charge),
                Decision::Refuse(over) => return Err(over),
                Decision::Wait => {}
            }
            turn = Try::Again;
            self.send_due();
            let left = DECIDED_WITHIN.saturating_sub(now.since(began));
            if tokio::time::timeout(left, answered).await.is_err() {
                let waited = self.tools.clock.now().since(began);
                return Err(OverQuota {
                    retry_after: DECIDED_WITHIN,
                    answer_age: waited,
                    out_of_reach: true,
                });
            }
        }
    }

    /// Takes back the charge of a request that was not run and never will be.
    pub fn give_back(&self, charge: &Charge) {
        self.tools.metrics.quotas.on_given_back(&charge.workspace);
        self.policy.lock().give_back(self.tools.clock.now(), charge);
    }

    /// Answers a batch of another daemon; `None` when it cannot be read.
    pub fn answer(&self, batch: &[u8]) -> Option<Vec<u8>> {
        let batch: LeaseBatch = postcard::from_bytes(batch).ok()?;
        let reply = self.policy.lock().answer(self.tools.clock.now(), &batch);
        self.tools.metrics.quotas.on_answer(&batch, &reply);
        postcard::to_stdvec(&reply).ok()
    }

    /// Tells other daemons what is due, time and again.
    pub async fn run(self: Arc<Self>) {
        loop {
            tokio::time::sleep(TELL_EVERY).await;
            self.send_due();
            // The home may be on this host, and then no answer comes.
            self.answered.notify_waiters();
        }
    }

    fn send_due(self: &Arc<Self>) {
        let now = self.tools.clock.now();
        let batches = self.policy.lock().outgoing(now);
        for (home, batch) in batches {
            tokio::spawn(self.clone().exchange(now, home, batch));
        }
    }

    async fn exchange(self: Arc<Self>, sent: Timestamp, home: Arc<str>, batch: LeaseBatch) {
        let asked = tokio::time::timeout(ANSWER_WITHIN, self.ask(&home, &batch)).await;
        let reply = asked.ok().flatten();
        self.tools.metrics.quotas.on_batch(reply.is_some());
        let now = self.tools.clock.now();
        if reply.is_none()
            && let Some(dropped) = self.log.lock().take(now, true)
        {
            log::info!("quota: home={home} outcome=no-answer lines_dropped={dropped}");
        }
        self.policy.lock().on_reply(now, sent, &home, &batch, reply.as_ref());
        self.answered.notify_waiters();
    }

    async fn ask(&self, home: &Arc<str>, batch: &LeaseBatch) -> Option<LeaseReply> {
        let held = self.tools.held.get();
        let address = &held.shared.hosts.get(&**home)?.peer_address;
        let req = request(address, batch, self.tools.key.as_ref())?;
        let res = self.tools.peers.send(address, req).await.ok()?;
        if !res.status().is_success() {
            return None;
        }
        read(res.into_body()).await
    }

    fn log_refusal(
        &self,
        workspace: &NamedWorkspace,
        id: Option<&str>,
        over: &OverQuota,
        began: Timestamp,
    ) {
        let now = self.tools.clock.now();
        let Some(dropped) = self.log.lock().take(now, true) else { return };
        let (per_second, burst) = workspace.quota.map_or((0.0, 0.0), |q| (q.per_second, q.burst));
        log::info!(
            "quota: id={} workspace={} outcome=refused per_second={per_second} burst={burst} retry_after_ms={} \
             answer_age_ms={} home_out_of_reach={} took_ms={} lines_dropped={dropped}",
            id.unwrap_or("none"),
            workspace.name,
            over.retry_after.as_millis(),
            over.answer_age.as_millis(),
            over.out_of_reach,
            now.since(began).as_millis(),
        );
    }
}

fn request(address: &str, batch: &LeaseBatch, key: Option<&Secret>) -> Option<Request<Body>> {
    let bytes = postcard::to_stdvec(batch).ok()?;
    let mut req = Request::post(format!("http://{address}/")).body(body::full(bytes)).ok()?;
    headers::set_static(req.headers_mut(), headers::OP, Op::Quota.as_str());
    if let Some(key) = key {
        headers::set(req.headers_mut(), headers::KEY, key.expose());
    }
    Some(req)
}

/// Reads a whole body.
pub async fn read_bytes(body: Body) -> Option<Vec<u8>> {
    match body::read_start(body, BATCH_BYTES).await {
        Ok(Start::Whole(bytes)) => Some(bytes.to_vec()),
        _ => None,
    }
}

async fn read<T: DeserializeOwned + Serialize>(body: Body) -> Option<T> {
    postcard::from_bytes(&read_bytes(body).await?).ok()
}

fn member((host, domain): (&str, &str)) -> Member {
    Member { host: host.into(), domain: domain.into() }
}

fn names(member: &Member) -> (&str, &str) {
    (&member.host, &member.domain)
}

/// Returns the daemons that share the quotas, each with its failure domain. Those that leave still serve, but lend
/// nothing any more.
fn sharing(shared: &Shared) -> impl Iterator<Item = (&str, &str)> {
    let staying = shared.hosts.values().filter(|host| !host.leaving);
    staying.map(|host| (host.host.as_str(), host.failure_domain.as_str()))
}
