//! Puts the parts of the control role together.

use crate::api::{Api, Operator};
use crate::daemon_registry::DaemonRegistry;
use crate::distribution::Distribution;
use crate::driver;
use crate::errors::{self, Error, Result};
use crate::folder::DiskFolder;
use crate::handle::{Event, Handle};
use crate::incoming_transfers::IncomingTransfers;
use crate::member_slot::{self, FindContext, MemberSlot};
use crate::metrics::Metrics;
use crate::operators::Operators;
use crate::orders::Orders;
use crate::peers::Peers;
use crate::platform;
use crate::registrar::Registrar;
use crate::release;
use crate::rollouts::{self, Rollouts};
use crate::rpc_server::{LedgerLimits, RpcServer};
use cherrystream_core::raft::rejoin::JoinTimer;
use cherrystream_core::rollout::controller::Limits;
use cherrystream_net::interface::OrderInterface;
use cherrystream_net::key::Secret;
use cherrystream_net::serve::{self, Phases};
use cherrystream_schema::messages::JoinRequest;
use cherrystream_schema::settings::{ControlSettings, OperatorSettings};
use jsonrpsee::server::ServerHandle;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::task::{self, JoinSet};

/// Time between looks at whether to ask for a place.
const LOOK: Duration = Duration::from_millis(100);

/// What the control role needs besides its settings.
pub struct Context {
    /// Phase of the process.
    pub phases: Phases,
    /// Key of the system's own processes.
    pub key: Option<Secret>,
    /// Failure domain of this host.
    pub failure_domain: String,
    /// Interface for operators' orders, beside the intent API.
    pub orders: Option<Arc<dyn OrderInterface>>,
    /// Metrics.
    pub metrics: Metrics,
    /// Called with the reason when the role can no longer run.
    pub on_failure: Box<dyn FnOnce(Error) + Send + Sync>,
}

/// The running control role.
pub struct Control {
    handle: Handle,
    thread: JoinHandle<()>,
    rpc: ServerHandle,
    api: task::JoinHandle<()>,
    /// Asks for this replica's place; ends with this value.
    _asking: JoinSet<()>,
}

impl Control {
    /// Starts the role.
    ///
    /// # Errors
    ///
    /// Fails when the data folder, an address or a token file cannot be used.
    pub async fn start(settings: &ControlSettings, cx: Context) -> Result<Control> {
        let folder = DiskFolder::try_new(&settings.data_folder)
            .map_err(errors::folder(format!("open {}", settings.data_folder)))?;
        let place = find_place(settings, &cx, &folder).await?;
        let lines = place.lines(cx.key.as_ref());
        let peers = Peers::start(place.identity.replica, &lines, cx.metrics.clone());
        let known = Arc::new(read_operators(&settings.operators)?);
        let listener = serve::listen(&settings.api_address).await?;
        let opts = place.raft_options();
        let (handle, thread) =
            driver::start(folder, opts, peers, cx.metrics.clone(), cx.on_failure)?;
        let mut asking = JoinSet::new();
        if !place.fixed {
            let request = JoinRequest {
                address: settings.rpc_address.clone(),
                disk: place.identity.disk.clone(),
                failure_domain: cx.failure_domain.clone(),
                stands_by: true,
                runs_as: Some(handle.replica),
            };
            asking.spawn(ask_to_be_heard(handle.clone(), request, cx.key.clone()));
        }
        let reach = Arc::new(DaemonRegistry::default());
        // Calls have connections of their own, so that no message of the log waits behind an order.
        let lines = lines.into_iter().map(|(id, line)| (id, Arc::new(line.sibling())));
        let lines = Arc::new(lines.collect::<BTreeMap<_, _>>());
        let operators =
            Operators { handle: handle.clone(), lines: lines.clone(), reach: reach.clone() };
        let limits =
            LedgerLimits { window_ms: settings.key_window_ms, keys_at_most: settings.keys_at_most };
        let rpc = RpcServer {
            released: release::start(handle.clone()),
            handle: handle.clone(),
            lines,
            reach,
            arrivals: IncomingTransfers::new(handle.events.clone()),
            distribution: Arc::new(Distribution::new(&cx.failure_domain)),
            registrar: Registrar::start(&operators, cx.metrics.clone()),
            rollouts: Rollouts::new(rollout_limits(settings)),
            operators: operators.clone(),
            limits,
            failure_domain: (!place.fixed).then(|| cx.failure_domain.clone()),
            metrics: cx.metrics.clone(),
        };
        let registrar = rpc.registrar.clone();
        task::spawn(rpc.rollouts.clone().run(rollouts::Tools {
            handle: handle.clone(),
            lines: rpc.lines.clone(),
            registrar: registrar.clone(),
            metrics: cx.metrics.clone(),
        }));
        let rpc = rpc.serve(&settings.rpc_address, cx.key).await?;
        let orders = cx.orders.map(|interface| Orders {
            operators: operators.clone(),
            registrar,
            interface,
            metrics: cx.metrics.clone(),
        });
        let api = Api { operators, known, orders, metrics: cx.metrics };
        let api = task::spawn(serve::serve(listener, cx.phases, move |req| {
            let api = api.clone();
            async move { api.answer(req).await }
        }));
        if let Some(url) = &settings.platform_list {
            task::spawn(platform::watch(handle.clone(), url.clone()));
        }
        log::info!("control: API on {}, RPC on {}", settings.api_address, settings.rpc_address);
        Ok(Control { handle, thread, rpc, api, _asking: asking })
    }

    /// Returns the handle to the replicated log.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Hands the leadership over and ends once the last answers are out. The phase must be
    /// closing by then.
    pub async fn stop(self) {
        self.handle.hand_over().await;
        let _ = self.api.await;
        let _ = self.rpc.stop();
        self.rpc.stopped().await;
        let _ = self.handle.events.send(Event::Stop);
        let _ = task::spawn_blocking(|| self.thread.join()).await;
        log::info!("control: stopped");
    }

    /// Lets go of the addresses and the data folder after the log has ended by itself. The phase must be closing
    /// by then.
    pub async fn abandon(self) {
        let Control { api, rpc, thread, .. } = self;
        let aborting = api.abort_handle();
        if tokio::time::timeout(LAST_ANSWERS, api).await.is_err() {
            aborting.abort();
        }
        let _ = rpc.stop();
        if tokio::time::timeout(LAST_ANSWERS, rpc.stopped()).await.is_err() {
            log::warn!("control: calls of the run that ended are still under way");
        }
        let _ = task::spawn_blocking(|| thread.join()).await;
    }
}

/// Longest wait for the answers under way when a run ends by itself: nobody commits or reads here any more.
const LAST_ANSWERS: Duration = Duration::from_millis(500);

/// Asks the others for this replica's place whenever that is due, and gives it up once a quorum says
/// that it is lost.
async fn ask_to_be_heard(handle: Handle, request: JoinRequest, key: Option<Secret>) {
    let mut timer = JoinTimer::new(handle.clock.now());
    let mut turn = 0;
    loop {
        tokio::time::sleep(LOOK).await;
        if !timer.is_due(handle.clock.now(), handle.place_view()) {
            continue;
        }
        let addresses = handle.known_addresses();
        turn += 1;
        let Some(address) = addresses.get(turn % addresses.len().max(1)) else { continue };
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
) -> Result<MemberSlot> {
    let finder = FindContext {
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
