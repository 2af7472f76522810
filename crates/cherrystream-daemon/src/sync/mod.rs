//! Keeps the shared state up to date: heartbeats to control, and peers when control is away.

mod downloads;
mod newer;

pub use downloads::{Downloads, Tools};
pub use newer::{Newer, Seen};

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
use cherrystream_net::rpc::{self, ControlRpcClient};
use cherrystream_net::serve::{Phase, Phases};
use cherrystream_schema::messages::{HostRecord, Offer, SyncReply, SyncRequest, Update};
use jsonrpsee::ws_client::WsClient;
use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Time that a heartbeat waits for a change, where the replicas are fixed.
const WAIT: Duration = Duration::from_secs(4);
/// Time that a heartbeat waits where replicas come and go: silence is noticed sooner.
const SHORT_WAIT: Duration = Duration::from_millis(400);
/// Longest time for one call where replicas come and go. No answer grows with the state, so this is a time without
/// progress.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// A replica that has not caught up with a quorum for longer is left for another one.
const STATE_AGE_AT_MOST: Duration = Duration::from_millis(1_000);
/// Longest time for one call, as above.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Time for which a word of control is taken to hold, from when its replica heard a leader with a quorum: a few heartbeats
/// of `SHORT_WAIT` and the calls for them.
const WORD_HOLDS: Duration = Duration::from_millis(2_000);
/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(150);
/// As `PAUSE`, while no word of control was heard since the start: callers are refused meanwhile.
const PAUSE_AT_START: Duration = Duration::from_millis(40);
/// Longest wait for a connection while no word of control was heard since the start: after a loss of power
/// the first packets to a host that is not back yet are lost, and are sent again only after a second.
const CONNECT_AT_START: Duration = Duration::from_millis(150);
/// Time that control has to tell of a change before a peer is asked.
const PATIENCE: Duration = Duration::from_millis(1_000);
/// Longest answer of a peer that is asked for an offer.
const OFFER_BYTES: usize = 64 * 1024;
/// Longest wait for a peer's offer: it may have to encode its state first.
const OFFER_TIMEOUT: Duration = Duration::from_secs(3);

/// Keeps the shared state up to date.
pub struct Sync {
    /// Shared state held.
    pub held: Arc<CurrentConfigCell>,
    /// Registration of this host.
    pub record: HostRecord,
    /// The control replicas. Taken with no other lock.
    pub control: Mutex<ReplicaChoice>,
    /// Reads the seeds again when control is lost.
    pub reread: SeedReader,
    /// Whether these stay as they are.
    pub fixed: bool,
    /// The instance beside this daemon.
    pub instances: Arc<Instances>,
    /// Whether this daemon serves nothing before it knows a route table.
    pub routes_only: bool,
    /// Peer addresses to ask while control is away after a restart.
    pub seeds: Vec<String>,
    /// Key of the system's own processes.
    pub key: Option<Secret>,
    /// Connections to peers.
    pub peers: Arc<Peers>,
    /// Long updates on their way here.
    pub downloads: Arc<Downloads>,
    /// The newest revision that control told of, and when.
    pub told: Mutex<Option<Told>>,
    /// The clock.
    pub clock: Clock,
    /// Phase of the process.
    pub phases: Phases,
    /// Set once a configuration is held.
    pub ready: Arc<AtomicBool>,
    /// Metrics.
    pub metrics: Metrics,
}

impl Sync {
    /// Runs for as long as the process does.
    pub async fn run(self: Arc<Self>) {
        let mut search = Search::default();
        loop {
            let address = self.address();
            let started = Instant::now();
            let left = match self.connect(&address, search.confirmed).await {
                Ok(client) => {
                    let client = Arc::new(client);
                    self.downloads.set_control(Some(client.clone()));
                    let left = self.follow(&client, &address, &mut search).await;
                    self.downloads.set_control(None);
                    left
                }
                Err(what) => Left::Lost { what, took: started.elapsed() },
            };
            let Left::Lost { what, took } = left else { continue };
            self.control.lock().on_failure(self.clock.now(), &address, took);
            search.tries += 1;
            if !search.away {
                log::warn!("sync: control is away: {what}");
            }
            search.away = true;
            self.metrics.control_errors.inc();
            if !search.confirmed {
                self.ask_peers().await;
            }
            self.add_seeds(search.tries);
            let pause = if search.confirmed { PAUSE } else { PAUSE_AT_START };
            tokio::time::sleep(pause).await;
        }
    }

    async fn connect(&self, address: &str, confirmed: bool) -> Result<WsClient, String> {
        let connecting = rpc::connect(address, self.key.as_ref(), self.call_timeout());
        if confirmed || self.fixed {
            return connecting.await.map_err(|e| e.to_string());
        }
        match tokio::time::timeout(CONNECT_AT_START, connecting).await {
            Ok(connected) => connected.map_err(|e| e.to_string()),
            Err(_) => Err(format!("{address} takes no connection within {CONNECT_AT_START:?}")),
        }
    }

    fn address(&self) -> String {
        self.control.lock().next(self.clock.now()).unwrap_or_default().into()
    }

    fn call_timeout(&self) -> Duration {
        if self.fixed { CALL_TIMEOUT } else { SHORT_CALL_TIMEOUT }
    }

    /// While a roll-out is under way, the counts go with the heartbeats: these are short then everywhere.
    fn wait(&self) -> Duration {
        let short = !self.fixed || self.instances.version_counts().is_some();
        if short { SHORT_WAIT } else { WAIT }
    }

    /// Notes for how long a word of control holds: until the next one is late, by the shortest wait.
    fn hear_word(&self, state_age: Duration) {
        let until = self.clock.now() + WORD_HOLDS.saturating_sub(state_age);
        self.held.extend_canary_lease(until);
    }

    /// Sends heartbeats until one fails, and tells why it did. A replica of another failure domain is left when one
    /// nearby is known.
    async fn follow(&self, client: &WsClient, address: &str, search: &mut Search) -> Left {
        let mut news =
            News { instance: self.instances.subscribe(), ended: self.downloads.subscribe() };
        let mut keeps_to_it = false;
        loop {
            news.mark_unchanged();
            let looks_in = !self.fixed && !keeps_to_it && !self.is_known_near(address);
            let reply = match self.call(client, search.confirmed, looks_in, &mut news).await {
                Called::Answered(reply) => reply,
                Called::Abandoned => continue,
                Called::Failed { what, took } => return Left::Lost { what, took },
            };
            if std::mem::take(&mut search.away) {
                log::info!("sync: control is back");
            }
            self.learn_replicas(address, &reply);
            let state_age = Duration::from_millis(reply.state_age_ms);
            if !self.fixed && state_age > STATE_AGE_AT_MOST {
                self.take_state(SyncReply { offer: None, ..*reply });
                let what = format!("it has not caught up with a quorum for {state_age:?}");
                return Left::Lost { what, took: Duration::ZERO };
            }
            search.confirmed = true;
            self.hear_word(state_age);
            if self.instances.on_confirmed(reply.instance.as_ref(), reply.newest) {
                news.instance.mark_unchanged();
            }
            self.metrics.unconfirmed.set(0);
            self.take_state(*reply);
            if self.leaves_for_nearer(address) {
                return Left::TooFar;
            }
            keeps_to_it = true;
        }
    }

    /// Notes that a replica serves this daemon, and returns whether one nearby is to be tried in its place.
    fn leaves_for_nearer(&self, address: &str) -> bool {
        let mut control = self.control.lock();
        control.on_success(address);
        !self.fixed && control.has_nearer(self.clock.now(), address)
    }

    /// Makes one heartbeat call, unless something changes that control should hear first.
    async fn call(
        &self,
        client: &WsClient,
        confirmed: bool,
        looks_in: bool,
        news: &mut News,
    ) -> Called {
        let leaving = self.phases.now() >= Phase::Draining;
        let req = SyncRequest { looks_in, ..self.heartbeat(leaving, confirmed) };
        let started = Instant::now();
        let answered = tokio::select! {
            answered = client.sync(req) => answered,
            // Control must hear at once that this host leaves.
            () = self.phases.reached(Phase::Draining), if !leaving => {
                return self.count_call("abandoned", Called::Abandoned);
            }
            () = news.some() => return self.count_call("abandoned", Called::Abandoned),
        };
        match answered {
            Ok(reply) => self.count_call("answered", Called::Answered(Box::new(reply))),
            Err(e) => {
                let (took, held) = (started.elapsed(), DisplayRevision(self.held.revision()));
                let what = format!("{e} after {took:?}, {held} is held");
                self.count_call("failed", Called::Failed { what, took })
            }
        }
    }

    fn count_call(&self, end: &'static str, called: Called) -> Called {
        self.metrics.sync_calls.get_or_create(&ReasonLabel { reason: end }).inc();
        called
    }

    fn is_known_near(&self, address: &str) -> bool {
        self.control.lock().is_address_near(address)
    }

    fn heartbeat(&self, leaving: bool, confirmed: bool) -> SyncRequest {
        SyncRequest {
            record: HostRecord { leaving, ..self.record.clone() },
            held: self.held.revision(),
            confirmed: !confirmed,
            wait_ms: self.wait().as_millis() as u64,
            instance: self.instances.current(),
            fetching: self.downloads.status(),
            looks_in: false,
            tally: self.instances.version_counts(),
            control_known: if self.fixed { 0 } else { self.control.lock().checksum() },
        }
    }

    /// Takes what a replica tells of the state.
    fn take_state(&self, reply: SyncReply) {
        self.note_lag(reply.newest);
        *self.told.lock() = Some(Told { newest: reply.newest, at: self.clock.now() });
        if let Some(update) = reply.update {
            self.take(update, "control");
        }
        if let Some(offer) = reply.offer {
            self.downloads.begin(offer);
        }
    }

    /// A replica that knows less than this daemon lags behind the log.
    fn note_lag(&self, newest: Revision) {
        let held = self.held.revision();
        if newest < held {
            self.metrics.lagging_answers.inc();
            let (theirs, held) = (DisplayRevision(newest), DisplayRevision(held));
            log::debug!("sync: the replica is at {theirs}, {held} is held");
        }
    }

    fn take(&self, update: Update, from: &'static str) {
        let revision = update.revision;
        let (changes, whole) = (update.changes.len(), update.full.is_some());
        if self.held.apply(update) {
            let shown = DisplayRevision(revision);
            log::info!("sync: revision {shown} from {from}: {changes} changes, whole: {whole}");
            self.metrics.updates.get_or_create(&ReasonLabel { reason: from }).inc();
        }
    }

    /// Shows each revision that is held, however it came.
    pub async fn show_revisions(self: Arc<Self>, mut revisions: watch::Receiver<Revision>) {
        while revisions.changed().await.is_ok() {
            let CurrentConfig { revision, routes, .. } = self.held.get();
            self.metrics.revision_index.set(revision.index as i64);
            self.metrics.revision_term.set(revision.term as i64);
            let serves = !self.routes_only || routes.is_some();
            self.ready.store(serves, Ordering::Relaxed);
        }
    }

    /// Adds the seeds that the settings name now, once in a round of failed attempts: the replicas
    /// known so far may all be gone.
    fn add_seeds(&self, tries: usize) {
        let mut control = self.control.lock();
        if self.fixed || !tries.is_multiple_of(control.len().max(1)) {
            return;
        }
        control.add((self.reread)().into_iter().flatten());
    }

    fn learn_replicas(&self, address: &str, reply: &SyncReply) {
        if self.fixed {
            return;
        }
        let mut control = self.control.lock();
        control.update(&reply.control);
        if let Some(failure_domain) = &reply.failure_domain {
            control.set_failure_domain(address, failure_domain);
        }
    }

    /// After a restart without control, the newest state that a peer holds is taken.
    async fn ask_peers(&self) {
        for address in &self.seeds {
            if let Some(offer) = self.offer_of(address).await
                && offer.id.to > self.held.revision()
                && !self.downloads.leads_to(offer.id.to)
            {
                self.metrics.unconfirmed.set(1);
                self.downloads.begin_from(address, offer);
            }
        }
    }

    /// Fetches what peers hold that were seen to be newer, where control does not tell of it.
    pub async fn follow_peers(self: Arc<Self>, newer: Arc<Newer>) {
        loop {
            newer.some().await;
            // Control tells of most changes itself, at a smaller cost.
            tokio::time::sleep(PATIENCE).await;
            let Some(Seen { address, revision, .. }) = newer.take() else { continue };
            if revision <= self.held.revision() || self.is_served(revision) {
                continue;
            }
            if let Some(offer) = self.offer_of(&address).await
                && offer.id.to > self.held.revision()
                && !self.is_served(offer.id.to)
            {
                self.downloads.begin_from(&address, offer);
            }
        }
    }

    /// Returns whether a revision is on its way, or control knows it and answers.
    fn is_served(&self, revision: Revision) -> bool {
        let told = *self.told.lock();
        let by_control = told.is_some_and(|told| {
            let age = self.clock.now().since(told.at);
            told.newest >= revision && age < self.wait() + PATIENCE
        });
        by_control || self.downloads.leads_to(revision)
    }

    /// Asks a peer for an offer of the state that it holds.
    async fn offer_of(&self, address: &str) -> Option<Offer> {
        let mut req = downloads::request(address, Op::Fetch, self.key.as_ref())?;
        headers::set(req.headers_mut(), headers::REVISION, DisplayRevision(self.held.revision()));
        let asking = async {
            let res = self.peers.send(address, req).await.ok()?;
            match body::read_start(res.into_body(), OFFER_BYTES).await {
                Ok(Start::Whole(bytes)) => serde_json::from_slice(&bytes).ok(),
                _ => None,
            }
        };
        tokio::time::timeout(OFFER_TIMEOUT, asking).await.ok()?
    }
}

/// What control told of last.
#[derive(Clone, Copy, Debug)]
pub struct Told {
    /// The newest revision that it had applied.
    pub newest: Revision,
    /// When it told so.
    pub at: Timestamp,
}

/// What is known on the way to the replica that this daemon keeps to.
#[derive(Debug, Default)]
struct Search {
    /// Whether control has confirmed what is registered since the process started.
    confirmed: bool,
    /// Whether control is away.
    away: bool,
    /// Replicas that were lost since the start.
    tries: usize,
}

/// Changes here that end a heartbeat call, for control should hear of them.
struct News {
    /// The instance beside this daemon.
    instance: watch::Receiver<u64>,
    /// Downloads that ended: what came after them is to be asked for.
    ended: watch::Receiver<u64>,
}

impl News {
    fn mark_unchanged(&mut self) {
        self.instance.mark_unchanged();
        self.ended.mark_unchanged();
    }

    async fn some(&mut self) {
        // The senders live as long as the daemon, so neither wait can fail.
        tokio::select! {
            _ = self.instance.changed() => {}
            _ = self.ended.changed() => {}
        }
    }
}

/// How a heartbeat call ended.
enum Called {
    /// With an answer.
    Answered(Box<SyncReply>),
    /// Given up for something newer to tell.
    Abandoned,
    /// Without an answer.
    Failed {
        /// Why.
        what: String,
        /// How long the call took.
        took: Duration,
    },
}

/// Why a replica was left.
enum Left {
    /// It does not answer, or cannot.
    Lost {
        /// Why.
        what: String,
        /// How long the call took that showed it.
        took: Duration,
    },
    /// Another one is nearer.
    TooFar,
}
