//! Creates and starts the components of the daemon role.

use crate::current_config::CurrentConfigCell;
use crate::errors::Result;
use crate::health_checks::{self, HealthCheckContext};
use crate::inbound::Inbound;
use crate::instances::Instances;
use crate::ledger::LedgerClient;
use crate::local_servers::{LocalServerOptions, LocalServers};
use crate::metrics::Metrics;
use crate::outbound::{Outbound, RetryOptions};
use crate::peer::Peers;
use crate::peer_server::PeerServer;
use crate::quotas::{self, Quotas};
use crate::request_log::RequestLog;
use crate::suspects::{self, SuspectTracker};
use crate::sync::{self, Downloads, NewestPeer, Sync};
use cherrystream_core::attempts::{self, Attempts};
use cherrystream_core::distribution::UpdateCache;
use cherrystream_core::replica_choice::ReplicaChoice;
use cherrystream_core::shared;
use cherrystream_core::suspects::FingerprintKey;
use cherrystream_core::units::Revision;
use cherrystream_net::body::Body;
use cherrystream_net::clock::Clock;
use cherrystream_net::interface::CallInterface;
use cherrystream_net::key::Secret;
use cherrystream_net::observe;
use cherrystream_net::seeds;
use cherrystream_net::serve::{self, Phase, Phases};
use cherrystream_schema::messages::HostRecord;
use cherrystream_schema::settings::{
    ChoicePolicy, DaemonSettings, InterfaceKind, RoomKind, Settings,
};
use http::{Response, StatusCode};
use parking_lot::{Mutex, RwLock};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Size of the cache of encoded updates that other daemons can fetch: twice a full state with
/// 14,000 routes.
const UPDATE_CACHE_BYTES: u64 = 1 << 20;

/// Label of connections that carry claims on the ledger.
const LEDGER_TRAFFIC: &str = "ledger";

/// Returns the RPC addresses of the seeds that the settings currently name.
pub type SeedReader = Arc<dyn Fn() -> Option<Vec<String>> + Send + std::marker::Sync>;

/// Dependencies of the daemon role besides its settings.
pub struct Context {
    /// Phase of the process.
    pub phases: Phases,
    /// Key shared by the processes of the system.
    pub key: Option<Secret>,
    /// Interface to callers and backend servers.
    pub interface: Arc<dyn CallInterface>,
    /// Reads the seeds again when control is unreachable.
    pub read_seeds: SeedReader,
    /// Metrics of the daemon.
    pub metrics: Metrics,
    /// Set while the daemon has the configuration that it needs to serve.
    pub ready: Arc<AtomicBool>,
}

/// The running daemon role.
pub struct Daemon {
    callers: JoinHandle<()>,
    peers: JoinHandle<()>,
    inbound: Arc<Inbound>,
    current_config: Arc<CurrentConfigCell>,
}

impl Daemon {
    /// Starts the role.
    ///
    /// # Errors
    ///
    /// Fails when a listener cannot be bound to its address.
    pub async fn start(all: &Settings, settings: &DaemonSettings, cx: Context) -> Result<Daemon> {
        let control = control_addresses(settings);
        let caller_listener = serve::listen(&settings.caller_address).await?;
        let peer_listener = serve::listen(&settings.peer_address).await?;
        let record = record(all, settings, &peer_listener);
        let fingerprints = FingerprintKey::new(cx.key.as_ref().map(Secret::expose));
        let clock = Clock::default();
        let current_config = Arc::new(CurrentConfigCell::default());
        let peers = Arc::new(Peers::new(cx.metrics.clone()).with_key(cx.key.clone()));
        let newest_peer = Arc::new(NewestPeer::default());
        let routes_only = all.interface == Some(InterfaceKind::Platform);
        let local_servers = Arc::new(local_servers(&record, settings, &cx, clock));
        let suspects = Arc::new(SuspectTracker::new(suspects::Dependencies {
            host: record.host.as_str().into(),
            local_servers: local_servers.clone(),
            current_config: current_config.clone(),
            peers: peers.clone(),
            key: cx.key.clone(),
            phases: cx.phases.clone(),
            clock,
            metrics: cx.metrics.clone(),
        }));
        tokio::spawn(suspects.clone().run());
        let inbound = Arc::new(Inbound {
            incarnation: record.incarnation,
            local_servers: local_servers.clone(),
            interface: cx.interface.clone(),
            suspects: suspects.clone(),
            attempts: Mutex::new(Attempts::new(attempts::Options {
                incarnation: record.incarnation,
                ..attempts::Options::default()
            })),
            reservations: Mutex::default(),
            current_config: current_config.clone(),
            host: record.host.as_str().into(),
            phases: cx.phases.clone(),
            stall_limit: Duration::from_millis(settings.stall_limit_ms),
            clock,
            metrics: cx.metrics.clone(),
        });
        let instances = Arc::new(Instances::new(local_servers, cx.interface.clone()));
        tokio::spawn(instances.clone().follow_leaving());
        let quotas = Arc::new(Quotas::new(
            &record,
            quotas::tolerance(settings),
            quotas::Dependencies {
                current_config: current_config.clone(),
                peers: peers.clone(),
                key: cx.key.clone(),
                clock,
                metrics: cx.metrics.clone(),
            },
        ));
        tokio::spawn(quotas.clone().run());
        let outbound = Arc::new(Outbound {
            host: record.host.as_str().into(),
            record: record.clone(),
            policy: settings.policy.unwrap_or(ChoicePolicy::LowestLoad),
            current_config: current_config.clone(),
            balancers: RwLock::default(),
            inbound: inbound.clone(),
            peers: peers.clone(),
            quotas: quotas.clone(),
            suspects: suspects.clone(),
            signals: Mutex::default(),
            ledger: Arc::new(LedgerClient::new(
                &control,
                cx.key.clone(),
                cx.metrics.connections.metrics(LEDGER_TRAFFIC),
            )),
            newest_peer: newest_peer.clone(),
            retries: RetryOptions {
                share: settings.retry_share,
                hedge_share: settings.hedge_share,
                extra: settings.retry_extra,
            },
            request_log: RequestLog::default(),
            leaving_grace: leaving_grace(settings),
            crossing_cost: Duration::from_secs_f64(settings.crossing_cost_ms / 1_000.0),
            interface: cx.interface.clone(),
            routes_only,
            caller_service: settings.service.as_deref().map(Into::into),
            routes: RwLock::default(),
            elapsed_times: Mutex::default(),
            key: cx.key.clone(),
            fingerprints,
            phases: cx.phases.clone(),
            clock,
            metrics: cx.metrics.clone(),
        });
        let update_cache = Arc::new(Mutex::new(UpdateCache::new(UPDATE_CACHE_BYTES)));
        let downloads = Arc::new(Downloads::new(sync::Dependencies {
            current_config: current_config.clone(),
            update_cache: update_cache.clone(),
            peers: peers.clone(),
            record: record.clone(),
            key: cx.key.clone(),
            within: Duration::from_secs_f64(settings.change_within_s),
            clock,
            metrics: cx.metrics.clone(),
        }));
        let sync = Arc::new(Sync {
            current_config: current_config.clone(),
            control: Mutex::new(ReplicaChoice::new(
                &record.failure_domain,
                control,
                record.incarnation,
            )),
            record,
            read_seeds: cx.read_seeds,
            fixed: settings.seeds.is_none(),
            instances: instances.clone(),
            routes_only,
            seeds: settings.peers.clone(),
            key: cx.key.clone(),
            peers,
            downloads: downloads.clone(),
            reported: Mutex::default(),
            clock,
            phases: cx.phases.clone(),
            ready: cx.ready.clone(),
            metrics: cx.metrics.clone(),
        });
        // Subscribes before any task can apply an update, so that no revision is missed.
        let revisions = current_config.subscribe();
        tokio::spawn(apply_revisions(
            revisions,
            current_config.clone(),
            outbound.clone(),
            inbound.clone(),
        ));
        tokio::spawn(sync.clone().publish_revisions(current_config.subscribe()));
        tokio::spawn(downloads.run());
        tokio::spawn(sync.clone().run());
        tokio::spawn(sync.follow_peers(newest_peer));
        let health_checks = HealthCheckContext { clock, metrics: cx.metrics.clone() };
        tokio::spawn(health_checks::run(inbound.clone(), health_checks));
        let readiness = Readiness {
            interface: cx.interface.clone(),
            ready: cx.ready,
            phases: cx.phases.clone(),
        };
        let peer_server = PeerServer {
            inbound: inbound.clone(),
            quotas,
            suspects,
            current_config: current_config.clone(),
            update_cache,
            fingerprints,
            key: cx.key,
            clock,
            metrics: cx.metrics,
        };
        if let Some(address) = &settings.instance_address {
            let listener = serve::listen(address).await?;
            let instances = instances.clone();
            tokio::spawn(serve::serve(listener, Phases::default(), move |req| {
                let instances = instances.clone();
                async move { instances.answer(req).await }
            }));
            log::info!("daemon: instance reports on {address}");
        }
        if let Some(address) = &settings.readiness_address {
            let listener = serve::listen(address).await?;
            let readiness = readiness.clone();
            tokio::spawn(serve::serve(listener, Phases::default(), move |req| {
                let readiness = readiness.clone();
                async move { readiness.answer(req.uri().path()) }
            }));
        }
        let callers = serve::serve(caller_listener, cx.phases.clone(), move |req| {
            outbound.clone().answer(req)
        });
        let peers = serve::serve_peers(peer_listener, cx.phases, move |req| {
            let peer_server = peer_server.clone();
            async move { peer_server.answer(req).await }
        });
        log::info!("daemon: callers on {}", settings.caller_address);
        log::info!("daemon: peers on {}", settings.peer_address);
        Ok(Daemon {
            callers: tokio::spawn(callers),
            peers: tokio::spawn(peers),
            inbound,
            current_config,
        })
    }

    /// Returns the inbound.
    pub fn inbound(&self) -> &Arc<Inbound> {
        &self.inbound
    }

    /// Returns the current shared state.
    pub fn current_config(&self) -> &Arc<CurrentConfigCell> {
        &self.current_config
    }

    /// Waits until the last responses are sent. The process must be in the closing phase.
    pub async fn stop(self) {
        let _ = self.callers.await;
        let _ = self.peers.await;
        log::info!("daemon: stopped");
    }
}

/// Returns the initial RPC addresses of control.
fn control_addresses(settings: &DaemonSettings) -> Vec<String> {
    match &settings.seeds {
        Some(seeds) => seeds::rpc_addresses(seeds),
        None => settings.control.clone(),
    }
}

/// Answers readiness probes.
#[derive(Clone)]
struct Readiness {
    interface: Arc<dyn CallInterface>,
    ready: Arc<AtomicBool>,
    phases: Phases,
}

impl Readiness {
    fn answer(&self, path: &str) -> Response<Body> {
        if !self.interface.is_readiness(path) {
            return observe::plain(StatusCode::NOT_FOUND, "only readiness is served here\n");
        }
        let serving = self.phases.now() == Phase::Serving;
        match serving && self.ready.load(Ordering::Relaxed) {
            true => observe::plain(StatusCode::OK, "ready\n"),
            false => observe::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        }
    }
}

fn record(all: &Settings, settings: &DaemonSettings, listener: &TcpListener) -> HostRecord {
    // Port 0 selects any free port; the record announces the selected one.
    let local = listener.local_addr().map(|a| a.to_string());
    let local = local.unwrap_or_else(|_| settings.peer_address.clone());
    HostRecord {
        host: all.host.clone(),
        failure_domain: all.failure_domain.clone(),
        region: all.region.clone(),
        peer_address: settings.advertised_peer_address.clone().unwrap_or(local),
        incarnation: rand::random(),
        leaving: false,
    }
}

fn leaving_grace(settings: &DaemonSettings) -> Duration {
    Duration::from_secs_f64(settings.leaving_grace_s)
}

fn local_servers(
    record: &HostRecord,
    settings: &DaemonSettings,
    cx: &Context,
    clock: Clock,
) -> LocalServers {
    let opts = LocalServerOptions {
        queue_per_slot: settings.queue_per_slot,
        slot_share: settings.slot_share,
        concurrency_limit: settings.room.unwrap_or(RoomKind::Fixed),
        cold_over: settings.cold_over,
        cold_slack: settings.cold_slack,
        leaving_grace: leaving_grace(settings),
    };
    let host = record.host.as_str().into();
    LocalServers::new(host, opts, clock, cx.interface.id_header(), cx.metrics.clone())
}

/// Applies each new revision to the inbound and outbound sides.
async fn apply_revisions(
    mut revisions: watch::Receiver<Revision>,
    current_config: Arc<CurrentConfigCell>,
    outbound: Arc<Outbound>,
    inbound: Arc<Inbound>,
) {
    let mut was_evacuated = false;
    while revisions.changed().await.is_ok() {
        let now = current_config.get();
        let is_evacuated = shared::is_evacuated(&now.shared, &inbound.host);
        if std::mem::replace(&mut was_evacuated, is_evacuated) && !is_evacuated {
            // The backend servers may have become cold without load.
            inbound.local_servers.invalidate_warmth();
        }
        inbound.local_servers.apply_config(&now);
        outbound.apply_config(&now);
    }
}
