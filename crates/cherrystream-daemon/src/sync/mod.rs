//! Replicates the shared state: heartbeats to control, and peers while control is unreachable.

mod connection;
mod downloads;
mod newest_peer;

pub use downloads::{Dependencies, Downloads};
pub use newest_peer::{NewestPeer, PeerRevision};

use crate::current_config::{CurrentConfig, CurrentConfigCell};
use crate::headers::{self, Op};
use crate::instances::Instances;
use crate::metrics::{Metrics, ReasonLabel};
use crate::peer::Peers;
use crate::role::SeedReader;
use cherrystream_core::replica_choice::ReplicaChoice;
use cherrystream_core::units::{DisplayRevision, Revision, Timestamp};
use cherrystream_net::body::{self, Start};
use cherrystream_net::clock::Clock;
use cherrystream_net::key::Secret;
use cherrystream_net::rpc::{self, Client, ConnectOptions, ControlRpcClient};
use cherrystream_net::serve::{Phase, Phases};
use cherrystream_schema::messages::{HostRecord, Offer, SyncReply, SyncRequest, Update};
use connection::{Connection, SilenceDetector};
use parking_lot::Mutex;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Time that control may hold a heartbeat open for a change, where the replicas are fixed.
const HEARTBEAT_WAIT: Duration = Duration::from_secs(4);
/// As `HEARTBEAT_WAIT` where replicas come and go: detects an unreachable replica sooner.
const SHORT_HEARTBEAT_WAIT: Duration = Duration::from_millis(400);
/// Timeout of one call where replicas come and go. No reply grows with the state, so this bounds
/// the time without progress.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Largest age of a replica's state; the daemon leaves a replica that is further behind a quorum.
const MAX_STATE_AGE: Duration = Duration::from_millis(1_000);
/// Timeout of one call where the replicas are fixed.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Validity of a confirmation by control, from the time its replica last reached a leader with a
/// quorum: a few heartbeats of `SHORT_HEARTBEAT_WAIT` and their calls.
const CONFIRMATION_TTL: Duration = Duration::from_millis(2_000);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// As `RETRY_PAUSE` until control first replies: callers are refused until then.
const STARTUP_RETRY_PAUSE: Duration = Duration::from_millis(40);
/// Connect timeout until control first replies: after a power loss, the first packets to a host
/// that is still down are lost, and TCP retransmits them only after a second.
const STARTUP_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time that control has to announce a change before the daemon asks a peer.
const PEER_FETCH_DELAY: Duration = Duration::from_millis(1_000);
/// Largest reply of a peer to a request for an offer.
const MAX_OFFER_BYTES: usize = 64 * 1024;
/// Timeout of a request for an offer: the peer may have to encode its state first.
const OFFER_TIMEOUT: Duration = Duration::from_secs(3);

/// Replicates the shared state from control and from peers.
pub struct Sync {
    /// The current shared state.
    pub current_config: Arc<CurrentConfigCell>,
    /// Registration of this host.
    pub record: HostRecord,
    /// The control replicas. Never locked together with another lock.
    pub control: Mutex<ReplicaChoice>,
    /// Reads the seeds again when control is unreachable.
    pub read_seeds: SeedReader,
    /// Whether the set of control replicas never changes.
    pub fixed: bool,
    /// The backend server instance next to this daemon.
    pub instances: Arc<Instances>,
    /// Whether this daemon serves nothing until it has a route table.
    pub routes_only: bool,
    /// Addresses of peers to ask while control is unreachable after a restart.
    pub seeds: Vec<String>,
    /// Key shared by the processes of the system.
    pub key: Option<Secret>,
    /// Connections to peers.
    pub peers: Arc<Peers>,
    /// Downloads of long updates.
    pub downloads: Arc<Downloads>,
    /// The newest revision that control reported, and when.
    pub reported: Mutex<Option<ReportedRevision>>,
    /// Clock of the process.
    pub clock: Clock,
    /// Phase of the process.
    pub phases: Phases,
    /// Set while the daemon has the configuration that it needs to serve.
    pub ready: Arc<AtomicBool>,
    /// Metrics of the daemon.
    pub metrics: Metrics,
}

impl Sync {
    /// Follows control for the lifetime of the process.
    pub async fn run(self: Arc<Self>) {
        let mut search = ControlSearch::default();
        let mut replacement = None;
        loop {
            let started = Instant::now();
            let (address, opened) = match replacement.take() {
                Some(Connection { address, client }) => (address, Ok(client)),
                None => {
                    let address = self.address();
                    let opened = self.connect(&address, search.confirmed).await;
                    (address, opened)
                }
            };
            let end = match opened {
                Ok(client) => self.use_connection(&client, &address, &mut search).await,
                Err(reason) => LeaveReason::Lost { reason, took: started.elapsed() },
            };
            match end {
                LeaveReason::NearerReplica => {}
                LeaveReason::Silent(connection) => replacement = Some(connection),
                LeaveReason::Lost { reason, took } => {
                    self.on_lost(&address, &reason, took, &mut search).await;
                }
            }
        }
    }

    /// Follows a replica until the daemon has to leave it, and returns why. Calls that are in
    /// progress on a lost connection end at once.
    async fn use_connection(
        &self,
        client: &Arc<Client>,
        address: &str,
        search: &mut ControlSearch,
    ) -> LeaveReason {
        self.downloads.set_control(Some(client.clone()));
        let end = self.follow(client, address, search).await;
        match &end {
            LeaveReason::NearerReplica => self.downloads.set_control(None),
            LeaveReason::Lost { .. } => {
                self.downloads.set_control(None);
                client.activity().abort();
            }
            LeaveReason::Silent(replacement) => {
                let activity = client.activity();
                log::info!(
                    "sync: the connection to {address}, {:?} old, was silent for {:?} and is \
                     replaced by one to {}",
                    activity.age(),
                    activity.silence(),
                    replacement.address
                );
                self.downloads.set_control(Some(replacement.client.clone()));
                activity.abort();
            }
        }
        end
    }

    /// Handles the loss of a replica; returns when the next one may be tried.
    async fn on_lost(
        &self,
        address: &str,
        reason: &str,
        took: Duration,
        search: &mut ControlSearch,
    ) {
        self.control.lock().on_failure(self.clock.now(), address, took);
        search.failures += 1;
        if !search.is_unreachable {
            log::warn!("sync: control is unreachable: {reason}");
        }
        search.is_unreachable = true;
        self.metrics.control_errors.inc();
        if !search.confirmed {
            self.ask_seed_peers().await;
        }
        self.add_seeds(search.failures);
        let pause = if search.confirmed { RETRY_PAUSE } else { STARTUP_RETRY_PAUSE };
        tokio::time::sleep(pause).await;
    }

    async fn connect(&self, address: &str, confirmed: bool) -> Result<Arc<Client>, String> {
        let opts = ConnectOptions {
            key: self.key.as_ref(),
            call_timeout: self.call_timeout(),
            ping_interval: Some(connection::KEEP_ALIVE.ping_interval),
        };
        let connecting = rpc::connect_with(address, opts);
        let connected = match confirmed || self.fixed {
            true => connecting.await,
            false => match tokio::time::timeout(STARTUP_CONNECT_TIMEOUT, connecting).await {
                Ok(connected) => connected,
                Err(_) => {
                    let limit = STARTUP_CONNECT_TIMEOUT;
                    return Err(format!("no connection to {address} within {limit:?}"));
                }
            },
        };
        connected.map(Arc::new).map_err(|e| e.to_string())
    }

    /// Waits until a connection is silent and another one is open. The silent one is kept until
    /// then: behind a congested link, no other one can be opened either.
    async fn replacement(&self, client: &Client) -> Connection {
        let mut detector = SilenceDetector::new(client);
        loop {
            detector.silent().await;
            match self.open_replacement().await {
                Some(connection) if detector.is_silent() => return connection,
                // After this process was suspended, bytes were waiting to be read.
                Some(_) => {}
                None => detector.on_attempt_failed(),
            }
        }
    }

    /// Opens a connection in place of a silent one, to the replica that is to be tried next.
    async fn open_replacement(&self) -> Option<Connection> {
        let address = self.address();
        let started = Instant::now();
        match self.connect(&address, true).await {
            Ok(client) => Some(Connection { address, client }),
            Err(reason) => {
                log::debug!("sync: no connection in place of a silent one: {reason}");
                self.control.lock().on_failure(self.clock.now(), &address, started.elapsed());
                None
            }
        }
    }

    fn address(&self) -> String {
        self.control.lock().next(self.clock.now()).unwrap_or_default().into()
    }

    fn call_timeout(&self) -> Duration {
        if self.fixed { CALL_TIMEOUT } else { SHORT_CALL_TIMEOUT }
    }

    /// Returns the wait of a heartbeat. Short during a roll-out, as heartbeats carry its counts.
    fn wait(&self) -> Duration {
        let short = !self.fixed || self.instances.version_counts().is_some();
        if short { SHORT_HEARTBEAT_WAIT } else { HEARTBEAT_WAIT }
    }

    /// Records until when a confirmation by control is valid.
    fn record_confirmation(&self, state_age: Duration) {
        let until = self.clock.now() + CONFIRMATION_TTL.saturating_sub(state_age);
        self.current_config.extend_canary_lease(until);
    }

    /// Sends heartbeats until the daemon has to leave the replica, and returns why. It leaves a
    /// replica of another failure domain when a nearer one is available.
    async fn follow(
        &self,
        client: &Client,
        address: &str,
        search: &mut ControlSearch,
    ) -> LeaveReason {
        let mut changes = LocalChanges {
            instance: self.instances.subscribe(),
            ended: self.downloads.subscribe(),
        };
        // Lasts longer than a call: calls may be abandoned before they can show a silence.
        let mut replacement = pin!(self.replacement(client));
        let mut is_following = false;
        loop {
            changes.mark_unchanged();
            let looks_in = !self.fixed && !is_following && !self.is_near(address);
            let req = self.heartbeat(search.confirmed, looks_in);
            let reply = match self.call(client, req, &mut changes, replacement.as_mut()).await {
                CallOutcome::Answered(reply) => reply,
                CallOutcome::Abandoned => continue,
                CallOutcome::Silent(replacement) => return LeaveReason::Silent(replacement),
                CallOutcome::Failed { reason, took } => return LeaveReason::Lost { reason, took },
            };
            if std::mem::take(&mut search.is_unreachable) {
                log::info!("sync: control is reachable again");
            }
            self.update_replicas(address, &reply);
            let state_age = Duration::from_millis(reply.state_age_ms);
            if !self.fixed && state_age > MAX_STATE_AGE {
                self.apply_reply(SyncReply { offer: None, ..*reply });
                let reason = format!("it has not caught up with a quorum for {state_age:?}");
                return LeaveReason::Lost { reason, took: Duration::ZERO };
            }
            search.confirmed = true;
            self.record_confirmation(state_age);
            if self.instances.on_confirmed(reply.instance.as_ref(), reply.newest) {
                changes.instance.mark_unchanged();
            }
            self.metrics.unconfirmed.set(0);
            self.apply_reply(*reply);
            if self.should_switch_replica(address) {
                return LeaveReason::NearerReplica;
            }
            is_following = true;
        }
    }

    /// Records that a replica replied, and returns whether a nearer one should be tried instead.
    fn should_switch_replica(&self, address: &str) -> bool {
        let mut control = self.control.lock();
        control.on_success(address);
        !self.fixed && control.has_nearer(self.clock.now(), address)
    }

    /// Makes one heartbeat call; abandons it when a local change has to be reported first.
    async fn call(
        &self,
        client: &Client,
        req: SyncRequest,
        changes: &mut LocalChanges,
        replacement: Pin<&mut impl Future<Output = Connection>>,
    ) -> CallOutcome {
        let leaving = req.record.leaving;
        let started = Instant::now();
        let answered = tokio::select! {
            answered = client.sync(req) => answered,
            // Reports at once that this host is leaving.
            () = self.phases.reached(Phase::Draining), if !leaving => {
                return self.count_call("abandoned", CallOutcome::Abandoned);
            }
            () = changes.changed() => return self.count_call("abandoned", CallOutcome::Abandoned),
            connection = replacement => {
                return self.count_call("silent", CallOutcome::Silent(connection));
            }
        };
        match answered {
            Ok(reply) => self.count_call("answered", CallOutcome::Answered(Box::new(reply))),
            Err(e) => {
                let (took, held) =
                    (started.elapsed(), DisplayRevision(self.current_config.revision()));
                let reason = format!("{e} after {took:?}, at {held}");
                self.count_call("failed", CallOutcome::Failed { reason, took })
            }
        }
    }

    fn count_call(&self, end: &'static str, called: CallOutcome) -> CallOutcome {
        self.metrics.sync_calls.get_or_create(&ReasonLabel { reason: end }).inc();
        called
    }

    fn is_near(&self, address: &str) -> bool {
        self.control.lock().is_address_near(address)
    }

    fn heartbeat(&self, confirmed: bool, looks_in: bool) -> SyncRequest {
        let leaving = self.phases.now() >= Phase::Draining;
        SyncRequest {
            record: HostRecord { leaving, ..self.record.clone() },
            held: self.current_config.revision(),
            confirmed: !confirmed,
            wait_ms: self.wait().as_millis() as u64,
            instance: self.instances.current(),
            fetching: self.downloads.status(),
            looks_in,
            tally: self.instances.version_counts(),
            control_known: if self.fixed { 0 } else { self.control.lock().checksum() },
        }
    }

    /// Applies the update or starts the download that a replica's reply contains.
    fn apply_reply(&self, reply: SyncReply) {
        self.record_lag(reply.newest);
        *self.reported.lock() =
            Some(ReportedRevision { newest: reply.newest, at: self.clock.now() });
        if let Some(update) = reply.update {
            self.apply(update, "control");
        }
        if let Some(offer) = reply.offer {
            self.downloads.begin(offer);
        }
    }

    /// Counts replies of replicas that are behind this daemon.
    fn record_lag(&self, newest: Revision) {
        let held = self.current_config.revision();
        if newest < held {
            self.metrics.lagging_answers.inc();
            let (theirs, held) = (DisplayRevision(newest), DisplayRevision(held));
            log::debug!("sync: the replica is at {theirs}, this daemon at {held}");
        }
    }

    fn apply(&self, update: Update, from: &'static str) {
        let revision = update.revision;
        let (changes, whole) = (update.changes.len(), update.full.is_some());
        let evacuated = self.evacuated_domains();
        if self.current_config.apply(update) {
            let shown = DisplayRevision(revision);
            let now_evacuated = self.evacuated_domains();
            if now_evacuated != evacuated {
                log::info!("sync: evacuated failure domains are {now_evacuated:?} at {shown}");
            }
            log::info!("sync: revision {shown} from {from}: {changes} changes, whole: {whole}");
            self.metrics.updates.get_or_create(&ReasonLabel { reason: from }).inc();
        }
    }

    fn evacuated_domains(&self) -> Vec<String> {
        self.current_config.get().shared.config.failure_domains_out.clone()
    }

    /// Publishes each new revision in the metrics and updates readiness.
    pub async fn publish_revisions(self: Arc<Self>, mut revisions: watch::Receiver<Revision>) {
        while revisions.changed().await.is_ok() {
            let CurrentConfig { revision, routes, .. } = self.current_config.get();
            self.metrics.revision_index.set(revision.index as i64);
            self.metrics.revision_term.set(revision.term as i64);
            let serves = !self.routes_only || routes.is_some();
            self.ready.store(serves, Ordering::Relaxed);
        }
    }

    /// Adds the seeds that the settings currently name, once per round of failed attempts: all
    /// known replicas may have been replaced.
    fn add_seeds(&self, failures: usize) {
        let mut control = self.control.lock();
        if self.fixed || !failures.is_multiple_of(control.len().max(1)) {
            return;
        }
        control.add((self.read_seeds)().into_iter().flatten());
    }

    fn update_replicas(&self, address: &str, reply: &SyncReply) {
        if self.fixed {
            return;
        }
        let mut control = self.control.lock();
        control.update(&reply.control);
        if let Some(failure_domain) = &reply.failure_domain {
            control.set_failure_domain(address, failure_domain);
        }
    }

    /// Downloads the newest state that a peer has, after a restart without control.
    async fn ask_seed_peers(&self) {
        for address in &self.seeds {
            if let Some(offer) = self.request_offer(address).await
                && offer.id.to > self.current_config.revision()
                && !self.downloads.is_fetching(offer.id.to)
            {
                self.metrics.unconfirmed.set(1);
                self.downloads.begin_from(address, offer);
            }
        }
    }

    /// Fetches newer revisions from peers when control does not announce them in time.
    pub async fn follow_peers(self: Arc<Self>, newest_peer: Arc<NewestPeer>) {
        loop {
            newest_peer.wait().await;
            // Control announces most changes itself, at a lower cost.
            tokio::time::sleep(PEER_FETCH_DELAY).await;
            let Some(PeerRevision { address, revision, .. }) = newest_peer.take() else { continue };
            if revision <= self.current_config.revision() || self.is_expected(revision) {
                continue;
            }
            if let Some(offer) = self.request_offer(&address).await
                && offer.id.to > self.current_config.revision()
                && !self.is_expected(offer.id.to)
            {
                self.downloads.begin_from(&address, offer);
            }
        }
    }

    /// Returns whether a revision is being downloaded, or control has it and replies.
    fn is_expected(&self, revision: Revision) -> bool {
        let reported = *self.reported.lock();
        let by_control = reported.is_some_and(|reported| {
            let age = self.clock.now().since(reported.at);
            reported.newest >= revision && age < self.wait() + PEER_FETCH_DELAY
        });
        by_control || self.downloads.is_fetching(revision)
    }

    /// Requests an offer of the state that a peer has.
    async fn request_offer(&self, address: &str) -> Option<Offer> {
        let mut req = downloads::request(address, Op::Fetch, self.key.as_ref())?;
        headers::set(
            req.headers_mut(),
            headers::REVISION,
            DisplayRevision(self.current_config.revision()),
        );
        let fetch = async {
            let res = self.peers.send(address, req).await.ok()?;
            match body::read_start(res.into_body(), MAX_OFFER_BYTES).await {
                Ok(Start::Whole(bytes)) => serde_json::from_slice(&bytes).ok(),
                _ => None,
            }
        };
        tokio::time::timeout(OFFER_TIMEOUT, fetch).await.ok()?
    }
}

/// The revision that control last reported.
#[derive(Clone, Copy, Debug)]
pub struct ReportedRevision {
    /// The newest revision that the replica had applied.
    pub newest: Revision,
    /// When the reply arrived.
    pub at: Timestamp,
}

/// State of the search for a control replica.
#[derive(Debug, Default)]
struct ControlSearch {
    /// Whether control has confirmed the registration since the process started.
    confirmed: bool,
    /// Whether control is unreachable.
    is_unreachable: bool,
    /// Failures of replicas since the start.
    failures: usize,
}

/// Local changes that interrupt a heartbeat call, so that control receives them at once.
struct LocalChanges {
    /// Changes of the backend server instance.
    instance: watch::Receiver<u64>,
    /// Ended downloads: later changes may have to be requested.
    ended: watch::Receiver<u64>,
}

impl LocalChanges {
    fn mark_unchanged(&mut self) {
        self.instance.mark_unchanged();
        self.ended.mark_unchanged();
    }

    async fn changed(&mut self) {
        // The senders live as long as the daemon, so neither wait fails.
        tokio::select! {
            _ = self.instance.changed() => {}
            _ = self.ended.changed() => {}
        }
    }
}

/// How a heartbeat call ended.
enum CallOutcome {
    /// With a reply.
    Answered(Box<SyncReply>),
    /// Cancelled to report a newer change.
    Abandoned,
    /// Without a reply, as the connection is silent. This one is open.
    Silent(Connection),
    /// Without a reply.
    Failed {
        /// Why.
        reason: String,
        /// Duration of the call.
        took: Duration,
    },
}

/// Why the daemon leaves a replica.
enum LeaveReason {
    /// It does not reply, or is too far behind.
    Lost {
        /// Why.
        reason: String,
        /// Duration of the failed call.
        took: Duration,
    },
    /// The connection is silent, and this one is open.
    Silent(Connection),
    /// A nearer replica is available.
    NearerReplica,
}
