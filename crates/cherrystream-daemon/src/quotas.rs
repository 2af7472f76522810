//! Quotas shared by all hosts: decides on requests locally, and exchanges batches of lease requests
//! with the daemons that allocate the quotas.

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

/// Interval at which pending batches are sent: returned credits, and credits needed in advance.
const SEND_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of the reply to a batch: a quota allocator that hangs must not use up the time that a
/// caller waits.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest time that a request waits for a decision, while one allocator after another is asked.
const DECISION_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest batch, in bytes: an entry for each of 1,000 workspaces.
const MAX_BATCH_BYTES: usize = 64 * 1024;

/// Decides whether requests are within the quotas of their workspaces.
pub struct Quotas {
    policy: Mutex<Box<dyn Policy>>,
    /// Notified when a reply arrives.
    answered: Notify,
    own: Member,
    /// Parts of the shared state that the policy was last given.
    applied: Mutex<AppliedState>,
    log: Mutex<LogBudget>,
    deps: Dependencies,
}

/// Dependencies of [`Quotas`].
pub struct Dependencies {
    /// The current shared state.
    pub current_config: Arc<CurrentConfigCell>,
    /// Connections to other daemons.
    pub peers: Arc<Peers>,
    /// Key shared by the processes of the system.
    pub key: Option<Secret>,
    /// Clock of the process.
    pub clock: Clock,
    /// Metrics of the daemon.
    pub metrics: Metrics,
}

#[derive(Default)]
struct AppliedState {
    routes: Option<Arc<RouteIndex>>,
    members: Vec<Member>,
}

/// Returns by how much all daemons together may exceed a quota.
pub fn tolerance(settings: &DaemonSettings) -> Tolerance {
    Tolerance {
        window: Duration::from_secs_f64(settings.quota_window_s),
        over: settings.quota_over,
        slack: settings.quota_slack,
    }
}

impl Quotas {
    /// Creates the quotas for the daemon on a host.
    pub fn new(record: &HostRecord, tolerance: Tolerance, deps: Dependencies) -> Quotas {
        let own = member((&record.host, &record.failure_domain));
        let members = Members::new(own.clone(), []);
        Quotas {
            policy: Mutex::new(Box::new(Leases::new(tolerance, members))),
            answered: Notify::new(),
            own,
            applied: Mutex::default(),
            log: Mutex::default(),
            deps,
        }
    }

    /// Applies the daemons and the quotas of a new shared state.
    pub fn apply_config(&self, shared: &Shared, routes: Arc<RouteIndex>) {
        let mut applied = self.applied.lock();
        let mut policy = self.policy.lock();
        if !applied.routes.as_ref().is_some_and(|known| Arc::ptr_eq(known, &routes)) {
            policy.set_quotas(routes.workspaces().quotas().collect());
            applied.routes = Some(routes);
        }
        // Most revisions change other things, and there may be many daemons.
        if !applied.members.iter().map(host_and_domain).eq(sharing_hosts(shared)) {
            applied.members = sharing_hosts(shared).map(member).collect();
            let members = Members::new(self.own.clone(), applied.members.iter().cloned());
            policy.set_members(self.deps.clock.now(), &members);
        }
    }

    /// Decides on a request of a workspace; returns its charge if the workspace has a quota.
    ///
    /// # Errors
    ///
    /// Fails when the workspace has used up its quota.
    pub async fn admit(
        self: &Arc<Self>,
        workspace: &NamedWorkspace,
        id: Option<&str>,
    ) -> Result<Option<Charge>, Refused> {
        let Some(quota) = workspace.quota else { return Ok(None) };
        let metrics = &self.deps.metrics.quotas;
        let started = self.deps.clock.now();
        match self.decide(&workspace.name, quota).await {
            Ok(charge) => {
                metrics.on_used(&workspace.name, charge.allocator.is_none());
                Ok(Some(charge))
            }
            Err(over) => {
                metrics.on_refused(&workspace.name, over.answer_age);
                self.log_refusal(workspace, id, &over, started);
                Err(Refused { reason: Reason::OverQuota, retry_after: over.retry_after })
            }
        }
    }

    async fn decide(
        self: &Arc<Self>,
        workspace: &Arc<str>,
        quota: Quota,
    ) -> Result<Charge, OverQuota> {
        let started = self.deps.clock.now();
        let mut attempt = Try::First;
        loop {
            // Subscribes before the decision, so that a reply right after it is not missed.
            let mut answered = std::pin::pin!(self.answered.notified());
            answered.as_mut().enable();
            let now = self.deps.clock.now();
            let decision = self.policy.lock().admit(now, workspace, quota, attempt);
            match decision {
                Decision::Run(charge) => return Ok(charge),
                Decision::Refuse(over) => return Err(over),
                Decision::Wait => {}
            }
            attempt = Try::Again;
            self.send_due();
            let left = DECISION_TIMEOUT.saturating_sub(now.since(started));
            if tokio::time::timeout(left, answered).await.is_err() {
                let waited = self.deps.clock.now().since(started);
                return Err(OverQuota {
                    retry_after: DECISION_TIMEOUT,
                    answer_age: waited,
                    out_of_reach: true,
                });
            }
        }
    }

    /// Refunds the charge of a request that was not run and never will be.
    pub fn give_back(&self, charge: &Charge) {
        self.deps.metrics.quotas.on_given_back(&charge.workspace);
        self.policy.lock().give_back(self.deps.clock.now(), charge);
    }

    /// Returns the reply to a batch of another daemon; `None` when it cannot be decoded.
    pub fn answer(&self, batch: &[u8]) -> Option<Vec<u8>> {
        let batch: LeaseBatch = postcard::from_bytes(batch).ok()?;
        let reply = self.policy.lock().answer(self.deps.clock.now(), &batch);
        self.deps.metrics.quotas.on_answer(&batch, &reply);
        postcard::to_stdvec(&reply).ok()
    }

    /// Sends pending batches to other daemons at a fixed interval.
    pub async fn run(self: Arc<Self>) {
        loop {
            tokio::time::sleep(SEND_INTERVAL).await;
            self.send_due();
            // The quota allocator may be on this host, and then no reply arrives.
            self.answered.notify_waiters();
        }
    }

    fn send_due(self: &Arc<Self>) {
        let now = self.deps.clock.now();
        let batches = self.policy.lock().outgoing(now);
        for (allocator, batch) in batches {
            tokio::spawn(self.clone().exchange(now, allocator, batch));
        }
    }

    async fn exchange(self: Arc<Self>, sent: Timestamp, allocator: Arc<str>, batch: LeaseBatch) {
        let reply = tokio::time::timeout(REPLY_TIMEOUT, self.ask(&allocator, &batch)).await;
        let reply = reply.ok().flatten();
        self.deps.metrics.quotas.on_batch(reply.is_some());
        let now = self.deps.clock.now();
        if reply.is_none()
            && let Some(dropped) = self.log.lock().take(now, true)
        {
            log::info!("quota: home={allocator} outcome=no-answer lines_dropped={dropped}");
        }
        self.policy.lock().on_reply(now, sent, &allocator, &batch, reply.as_ref());
        self.answered.notify_waiters();
    }

    async fn ask(&self, allocator: &Arc<str>, batch: &LeaseBatch) -> Option<LeaseReply> {
        let held = self.deps.current_config.get();
        let address = &held.shared.hosts.get(&**allocator)?.peer_address;
        let req = request(address, batch, self.deps.key.as_ref())?;
        let res = self.deps.peers.send(address, req).await.ok()?;
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
        started: Timestamp,
    ) {
        let now = self.deps.clock.now();
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
            now.since(started).as_millis(),
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
    match body::read_start(body, MAX_BATCH_BYTES).await {
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

fn host_and_domain(member: &Member) -> (&str, &str) {
    (&member.host, &member.domain)
}

/// Returns the hosts whose daemons share the quotas, each with its failure domain. A host that is
/// leaving still serves, but grants no more leases.
fn sharing_hosts(shared: &Shared) -> impl Iterator<Item = (&str, &str)> {
    let remaining = shared.hosts.values().filter(|host| !host.leaving);
    remaining.map(|host| (host.host.as_str(), host.failure_domain.as_str()))
}
