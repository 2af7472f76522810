//! Starts and stops the control role.

use crate::api::{Api, Operator};
use crate::call_trace::CallTraces;
use crate::command_trace::CommandTraces;
use crate::daemon_registry::DaemonRegistry;
use crate::distribution::Distribution;
use crate::driver;
use crate::errors::{self, Error, Result};
use crate::folder::DiskFolder;
use crate::handle::{Event, Handle};
use crate::incoming_transfers::IncomingTransfers;
use crate::leader_client::LeaderClient;
use crate::member_slot::{self, FindContext, MemberSlot, RoleStart};
use crate::metrics::Metrics;
use crate::operators::Operators;
use crate::orders::OperatorCommands;
use crate::peers::Peers;
use crate::platform;
use crate::registrar::Registrar;
use crate::release;
use crate::rollouts::{self, Rollouts};
use crate::rpc_server::{LedgerLimits, RpcServer};
use cherrystream_core::raft::rejoin::JoinTimer;
use cherrystream_core::rollout::controller::Limits;
use cherrystream_net::interface::OperatorInterface;
use cherrystream_net::key::Secret;
use cherrystream_net::serve::{self, Phases};
use cherrystream_net::suspensions::Suspensions;
use cherrystream_schema::messages::JoinRequest;
use cherrystream_schema::settings::{ControlSettings, OperatorSettings};
use jsonrpsee::server::ServerHandle;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::task::{self, JoinSet};

/// Time between two checks for whether to request the member slot.
const JOIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Dependencies of the control role besides its settings.
pub struct Context {
    /// Phase of the process, such as closing.
    pub phases: Phases,
    /// Key shared by daemons and control replicas.
    pub key: Option<Secret>,
    /// Failure domain of this host.
    pub failure_domain: String,
    /// Interface for operator commands, in addition to the intent API.
    pub orders: Option<Arc<dyn OperatorInterface>>,
    /// Metrics of the control role.
    pub metrics: Metrics,
    /// Called with the error when the role stops because of a failure.
    pub on_failure: Box<dyn FnOnce(Error) + Send + Sync>,
}

/// The running control role.
pub struct Control {
    handle: Handle,
    thread: JoinHandle<()>,
    rpc: ServerHandle,
    api: task::JoinHandle<()>,
    /// Task that requests the member slot of this replica, aborted on drop.
    _join_task: JoinSet<()>,
}

impl Control {
    /// Starts the role.
    ///
    /// # Errors
    ///
    /// Fails if the data folder, an address or a token file cannot be used.
    pub async fn start(settings: &ControlSettings, cx: Context) -> Result<Control> {
        Control::start_as(settings, cx, RoleStart::First).await
    }

    /// Starts the role again after its member slot was assigned to another host.
    ///
    /// # Errors
    ///
    /// As [`Control::start`].
    pub async fn start_after_slot_loss(settings: &ControlSettings, cx: Context) -> Result<Control> {
        Control::start_as(settings, cx, RoleStart::AfterSlotLoss).await
    }

    async fn start_as(
        settings: &ControlSettings,
        cx: Context,
        start: RoleStart,
    ) -> Result<Control> {
        let folder = DiskFolder::try_new(&settings.data_folder)
            .map_err(errors::folder(format!("open {}", settings.data_folder)))?;
        let place = find_place(settings, &cx, &folder, start).await?;
        let connections = place.connections(cx.key.as_ref(), &cx.metrics);
        let peers = Peers::start(place.identity.replica, &connections, cx.metrics.clone());
        let credentials = Arc::new(read_operators(&settings.operators)?);
        let listener = serve::listen(&settings.api_address).await?;
        let opts = place.raft_options();
        let (handle, thread) =
            driver::start(folder, opts, peers, cx.metrics.clone(), cx.on_failure)?;
        let mut join_task = JoinSet::new();
        if !place.fixed {
            let request = place.join_request(settings);
            join_task.spawn(keep_slot(handle.clone(), request, cx.key.clone()));
        }
        let reach = Arc::new(DaemonRegistry::default());
        // Calls use separate connections, so that no message of the log waits behind a large call.
        let connections =
            connections.into_iter().map(|(id, connection)| (id, Arc::new(connection.sibling())));
        let connections = Arc::new(connections.collect::<BTreeMap<_, _>>());
        let leader = LeaderClient {
            handle: handle.clone(),
            connections: connections.clone(),
            metrics: cx.metrics.clone(),
        };
        let operators = Operators {
            handle: handle.clone(),
            connections: connections.clone(),
            reach: reach.clone(),
            confirmations: Arc::default(),
            leader,
            traces: CallTraces::new(cx.metrics.clone()),
            suspensions: Suspensions::watch(),
        };
        let limits =
            LedgerLimits { window_ms: settings.key_window_ms, max_keys: settings.keys_at_most };
        let rpc = RpcServer {
            released: release::start(handle.clone()),
            handle: handle.clone(),
            connections,
            reach,
            arrivals: IncomingTransfers::new(handle.events.clone()),
            distribution: Arc::new(Distribution::new(&cx.failure_domain)),
            registrar: Registrar::start(&operators),
            rollouts: Rollouts::new(rollout_limits(settings)),
            operators: operators.clone(),
            limits,
            failure_domain: (!place.fixed).then(|| cx.failure_domain.clone()),
            metrics: cx.metrics.clone(),
        };
        let registrar = rpc.registrar.clone();
        task::spawn(rpc.rollouts.clone().run(rollouts::Context {
            handle: handle.clone(),
            connections: rpc.connections.clone(),
            registrar,
            metrics: cx.metrics.clone(),
        }));
        let rpc = rpc.serve(&settings.rpc_address, cx.key).await?;
        let orders = cx.orders.map(|interface| OperatorCommands {
            operators: operators.clone(),
            traces: CommandTraces::new(cx.metrics.clone()),
            interface,
            metrics: cx.metrics.clone(),
        });
        let api = Api { operators, credentials, orders, metrics: cx.metrics };
        let api = task::spawn(serve::serve(listener, cx.phases, move |req| {
            let api = api.clone();
            async move { api.answer(req).await }
        }));
        if let Some(url) = &settings.platform_list {
            task::spawn(platform::watch(handle.clone(), url.clone()));
        }
        log::info!("control: API on {}, RPC on {}", settings.api_address, settings.rpc_address);
        Ok(Control { handle, thread, rpc, api, _join_task: join_task })
    }

    /// Returns the handle to the replicated log.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Hands over the leadership and stops once pending responses are sent. The phase must be
    /// closing.
    pub async fn stop(self) {
        self.handle.hand_over().await;
        let _ = self.api.await;
        let _ = self.rpc.stop();
        self.rpc.stopped().await;
        let _ = self.handle.events.send(Event::Stop);
        let _ = task::spawn_blocking(|| self.thread.join()).await;
        log::info!("control: stopped");
    }

    /// Releases the addresses and the data folder after the log has stopped because of a failure.
    /// The phase must be closing.
    pub async fn abandon(self) {
        let Control { api, rpc, thread, .. } = self;
        let abort_handle = api.abort_handle();
        if tokio::time::timeout(DRAIN_TIMEOUT, api).await.is_err() {
            abort_handle.abort();
        }
        let _ = rpc.stop();
        if tokio::time::timeout(DRAIN_TIMEOUT, rpc.stopped()).await.is_err() {
            log::warn!("control: some RPC calls are still in flight after the log has stopped");
        }
        let _ = task::spawn_blocking(|| thread.join()).await;
    }
}

/// Longest wait for pending responses after a failure.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Requests the member slot of this replica from the others when due. Reports the replica as
/// replaced once a quorum confirms that the slot is lost.
async fn keep_slot(handle: Handle, request: JoinRequest, key: Option<Secret>) {
    let mut timer = JoinTimer::new(handle.clock.now());
    let mut attempt = 0;
    loop {
        tokio::time::sleep(JOIN_CHECK_INTERVAL).await;
        if !timer.is_due(handle.clock.now(), handle.place_view()) {
            continue;
        }
        let addresses = handle.known_addresses();
        attempt += 1;
        let Some(address) = addresses.get(attempt % addresses.len().max(1)) else { continue };
        let reply = member_slot::request(address, &request, key.as_ref()).await;
        if reply.is_some_and(|reply| reply.place_lost) {
            let _ = handle.events.send(Event::Replaced);
        }
    }
}

async fn find_place(
    settings: &ControlSettings,
    cx: &Context,
    folder: &DiskFolder,
    start: RoleStart,
) -> Result<MemberSlot> {
    let finder = FindContext {
        start,
        failure_domain: &cx.failure_domain,
        key: cx.key.as_ref(),
        metrics: &cx.metrics,
    };
    member_slot::find(settings, folder, &finder).await
}

fn rollout_limits(settings: &ControlSettings) -> Limits {
    Limits { share: settings.rollout_share, slack: settings.rollout_slack }
}

fn read_operators(settings: &[OperatorSettings]) -> Result<Vec<Operator>> {
    let read = |o: &OperatorSettings| {
        Ok(Operator { name: o.name.clone(), token: Secret::read(&o.token_file)? })
    };
    settings.iter().map(read).collect()
}
