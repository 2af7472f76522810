//! Runs roll-outs: forwards the daemons' request counts to the leader, which commits the steps that
//! are due.

use crate::handle::Handle;
use crate::metrics::Metrics;
use crate::peers::ReplicaConnection;
use crate::registrar::Registrar;
use cherrystream_core::rollout;
use cherrystream_core::rollout::controller::{Controller, Limits, Moment};
use cherrystream_net::clock;
use cherrystream_net::rpc::ControlRpcClient;
use cherrystream_schema::messages::{Change, HostTally};
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time between two evaluations of the roll-outs in progress.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout for sending counts to the leader. Lost counts are replaced by those of the next
/// heartbeats.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(500);

/// The roll-outs in progress, as observed by this replica.
#[derive(Clone)]
pub struct Rollouts {
    controller: Arc<Mutex<Controller>>,
    /// Counts received from daemons and not yet forwarded to the leader, by host. Never locked
    /// together with another lock.
    unsent: Arc<Mutex<BTreeMap<String, HostTally>>>,
}

/// Dependencies of [`Rollouts::run`].
pub struct Context {
    /// Handle to the replicated log.
    pub handle: Handle,
    /// Connections to the other replicas.
    pub connections: Arc<BTreeMap<u64, Arc<ReplicaConnection>>>,
    /// Commits steps through the leader.
    pub registrar: Registrar,
    /// Metrics of the control role.
    pub metrics: Metrics,
}

impl Rollouts {
    /// Creates the roll-out state of a replica.
    pub fn new(limits: Limits) -> Rollouts {
        let controller = Arc::new(Mutex::new(Controller::new(limits)));
        Rollouts { controller, unsent: Arc::default() }
    }

    /// Records the counts of a daemon that sends its heartbeats to this replica.
    pub fn record_counts(&self, tally: HostTally) {
        self.unsent.lock().insert(tally.host.clone(), tally);
    }

    /// Passes counts of daemons to the controller.
    pub fn on_counts(&self, handle: &Handle, tallies: &[HostTally]) {
        let now = handle.clock.now();
        let mut controller = self.controller.lock();
        tallies.iter().for_each(|tally| controller.on_tally(now, tally));
    }

    /// Returns once the replicated log has ended and no roll-out is in progress.
    pub async fn run(self, cx: Context) {
        let mut status = cx.handle.status.clone();
        loop {
            if !self.is_any_in_progress(&cx.handle) {
                self.unsent.lock().clear();
                if status.changed().await.is_err() {
                    return;
                }
                // Entries are applied in bursts: handles a whole burst at once.
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            }
            self.forward_counts(&cx).await;
            self.commit_due_steps(&cx).await;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn is_any_in_progress(&self, handle: &Handle) -> bool {
        let state = handle.state.read();
        state.shared().config.rollouts.values().any(rollout::is_in_progress)
    }

    async fn forward_counts(&self, cx: &Context) {
        let tallies: Vec<HostTally> =
            std::mem::take(&mut *self.unsent.lock()).into_values().collect();
        let status = *cx.handle.status.borrow();
        if tallies.is_empty() {
            return;
        }
        // A follower evaluates the counts too, to have them if it becomes the leader.
        self.on_counts(&cx.handle, &tallies);
        let Some(leader) = status.leader.filter(|_| !status.leads) else { return };
        let Some(connection) = cx.connections.get(&leader) else { return };
        let forwarding = connection.call(|client| {
            let tallies = tallies.clone();
            async move { client.tally(tallies).await }
        });
        if !matches!(tokio::time::timeout(FORWARD_TIMEOUT, forwarding).await, Ok(Ok(()))) {
            log::debug!(
                "control: the leader, replica {leader}, did not accept the counts of a roll-out"
            );
        }
    }

    async fn commit_due_steps(&self, cx: &Context) {
        let handle = &cx.handle;
        let at = Moment { now: handle.clock.now(), unix_ms: clock::unix_ms() };
        let due = {
            let state = handle.state.read();
            self.controller.lock().decide(at, state.shared())
        };
        if due.is_empty() || !handle.status.borrow().leads {
            return;
        }
        let descriptions: Vec<String> = due.iter().map(describe).collect();
        match cx.registrar.register(due).await {
            Ok(()) => descriptions.iter().for_each(|step| {
                log::info!("control: roll-out of {step}");
                cx.metrics.rollout_steps.inc();
            }),
            Err(e) => {
                log::warn!("control: the outcome of a roll-out step is unknown: {}", e.message())
            }
        }
    }
}

fn describe(change: &Change) -> String {
    match change {
        Change::StepRollout { service, version, stage, exposure_milli, reason, .. } => {
            let share = f64::from(*exposure_milli) / 10.0;
            format!("version {version} of {service}: {stage}, {share} of 100 requests; {reason}")
        }
        _ => String::new(),
    }
}
