//! Conducts roll-outs: brings the daemons' counts to the leader, and has it record the steps that are due.

use crate::handle::Handle;
use crate::metrics::Metrics;
use crate::peers::Line;
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

/// Time between looks at a roll-out that is under way.
const LOOK: Duration = Duration::from_millis(100);
/// Longest wait for the leader to take counts: they come again, and newer ones, with the next heartbeats.
const TELL_WITHIN: Duration = Duration::from_millis(500);

/// The roll-outs that are under way, as this replica follows them.
#[derive(Clone)]
pub struct Rollouts {
    conductor: Arc<Mutex<Controller>>,
    /// Counts of daemons that were heard here and are not told to the leader yet. Taken with no other lock.
    heard: Arc<Mutex<BTreeMap<String, HostTally>>>,
}

/// What conducting needs.
pub struct Tools {
    /// The replicated log.
    pub handle: Handle,
    /// Lines to the other replicas.
    pub lines: Arc<BTreeMap<u64, Arc<Line>>>,
    /// Has the leader record steps.
    pub registrar: Registrar,
    /// Metrics.
    pub metrics: Metrics,
}

impl Rollouts {
    /// Creates the roll-outs of a replica.
    pub fn new(limits: Limits) -> Rollouts {
        let conductor = Arc::new(Mutex::new(Controller::new(limits)));
        Rollouts { conductor, heard: Arc::default() }
    }

    /// Takes what a daemon of this replica has counted.
    pub fn hear(&self, word: HostTally) {
        self.heard.lock().insert(word.host.clone(), word);
    }

    /// Takes what daemons of another replica have counted.
    pub fn take(&self, handle: &Handle, words: &[HostTally]) {
        let now = handle.clock.now();
        let mut conductor = self.conductor.lock();
        words.iter().for_each(|word| conductor.on_tally(now, word));
    }

    /// Runs for as long as the process does.
    pub async fn run(self, tools: Tools) {
        let mut standing = tools.handle.standing.clone();
        loop {
            if !self.is_any_under_way(&tools.handle) {
                self.heard.lock().clear();
                if standing.changed().await.is_err() {
                    return;
                }
                // Applied entries come in bursts.
                tokio::time::sleep(LOOK).await;
                continue;
            }
            self.bring_counts(&tools).await;
            self.take_steps(&tools).await;
            tokio::time::sleep(LOOK).await;
        }
    }

    fn is_any_under_way(&self, handle: &Handle) -> bool {
        let state = handle.state.read();
        state.shared().config.rollouts.values().any(rollout::is_in_progress)
    }

    async fn bring_counts(&self, tools: &Tools) {
        let words: Vec<HostTally> = std::mem::take(&mut *self.heard.lock()).into_values().collect();
        let standing = *tools.handle.standing.borrow();
        if words.is_empty() {
            return;
        }
        // This replica follows as well, so that it knows them should it lead.
        self.take(&tools.handle, &words);
        let Some(leader) = standing.leader.filter(|_| !standing.leads) else { return };
        let Some(line) = tools.lines.get(&leader) else { return };
        let telling = async {
            let client = line.client().await?;
            client.tally(words).await.ok()
        };
        if !matches!(tokio::time::timeout(TELL_WITHIN, telling).await, Ok(Some(()))) {
            log::debug!("control: the leader, replica {leader}, did not take counts of a roll-out");
        }
    }

    async fn take_steps(&self, tools: &Tools) {
        let handle = &tools.handle;
        let at = Moment { now: handle.clock.now(), unix_ms: clock::unix_ms() };
        let due = {
            let state = handle.state.read();
            self.conductor.lock().decide(at, state.shared())
        };
        if due.is_empty() || !handle.standing.borrow().leads {
            return;
        }
        let told: Vec<String> = due.iter().map(describe).collect();
        match tools.registrar.register(due).await {
            Ok(()) => told.iter().for_each(|step| {
                log::info!("control: roll-out of {step}");
                tools.metrics.rollout_steps.inc();
            }),
            Err(e) => log::warn!("control: a step of a roll-out has no outcome: {}", e.message()),
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
