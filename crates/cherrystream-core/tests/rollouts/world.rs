//! Simulation of a roll-out without a network: a service with two versions, its daemons, and a
//! leader of control. Counts and steps are delayed, and leaders change.

use cherrystream_core::rollout::controller::{Controller, Limits, Moment};
use cherrystream_core::rollout::counts::{Answer, Counts};
use cherrystream_core::rollout::guard::{CanaryLease, CircuitBreaker};
use cherrystream_core::rollout::{self, Exposure};
use cherrystream_core::shared;
use cherrystream_core::units::Timestamp;
use cherrystream_schema::messages::{
    Change, HostTally, Instance, Intent, RolloutStage, ServerState, Shared, VersionTally,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(10);
const HEARTBEAT: Duration = Duration::from_millis(400);
const CONTROL_INTERVAL: Duration = Duration::from_millis(100);
/// Time until a step is committed and received by the last daemon.
const STEP_DELAY: Duration = Duration::from_millis(350);
const LEASE_TIME: Duration = Duration::from_secs(2);
const SERVICE_TIME_S: f64 = 0.15;

/// Behaviour of the canary.
#[derive(Clone, Copy, Debug, Default)]
pub struct Version {
    /// Share of responses that fail.
    pub fails: f64,
    /// Service time relative to the old version.
    pub slower: f64,
    /// Second from which it differs from the old version.
    pub from_s: f64,
    /// Requests in flight at a backend server from which it differs.
    pub from_load: usize,
}

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Simulation {
    pub version: Version,
    pub per_second: f64,
    pub within: Duration,
    pub servers: usize,
    /// Interval without a leader.
    pub leaderless: Option<(Duration, Duration)>,
    pub seed: u64,
}

/// Result of a simulation.
#[derive(Debug)]
pub struct Outcome {
    /// Stage at the deadline.
    pub stage: RolloutStage,
    /// Reason of the last step, for failure messages.
    #[allow(dead_code)]
    pub reason: String,
    /// Requests sent to the canary until the deadline.
    pub exposed: u64,
    /// Requests to all versions until the deadline.
    pub all: u64,
    /// Longest time between the 50th bad response of the canary and a request to it.
    pub late: Duration,
    /// Requests in flight at old backend servers at completion.
    pub cut_off: usize,
}

impl Outcome {
    /// Returns whether the requests to the canary stayed within the limits.
    pub fn is_within(&self, limits: Limits) -> bool {
        self.exposed as f64 <= limits.share * self.all as f64 + limits.slack
    }
}

struct Server {
    host: String,
    is_canary: bool,
    breaker: CircuitBreaker,
    counts: Counts,
    at_work: Vec<(Timestamp, Timestamp, bool)>,
}

struct World {
    simulation: Simulation,
    rng: SmallRng,
    now: Timestamp,
    servers: Vec<Server>,
    committed: Shared,
    /// States in transit to the daemons.
    in_transit: VecDeque<(Timestamp, Shared)>,
    held: Shared,
    lease: CanaryLease,
    controller: Controller,
    was_leading: bool,
    pending: Vec<(Timestamp, Change)>,
    exposed: u64,
    all: u64,
    bad: u64,
    fiftieth_bad_at: Option<Timestamp>,
    late: Duration,
    cut_off: Option<usize>,
}

/// Simulates a roll-out until its deadline.
pub fn simulate(simulation: Simulation) -> Outcome {
    let mut world = World::new(simulation);
    let end = Timestamp::default() + simulation.within;
    while world.now < end {
        world.tick();
    }
    let rollout = &world.committed.config.rollouts["s"];
    Outcome {
        stage: rollout.stage,
        reason: rollout.reason.clone(),
        exposed: world.exposed,
        all: world.all,
        late: world.late,
        cut_off: world.cut_off.unwrap_or_default(),
    }
}

impl World {
    fn new(simulation: Simulation) -> World {
        let mut committed = shared::empty();
        let mut servers = Vec::new();
        for i in 0..2 * simulation.servers {
            let is_canary = i >= simulation.servers;
            let version = if is_canary { "v2" } else { "v1" };
            let host = format!("h{i}");
            let instance = Instance {
                id: host.clone(),
                service: "s".into(),
                address: "127.0.0.1:1".into(),
                slots: 9,
                state: ServerState::Live,
                sequence: 1,
                born_ms: 0,
                version: version.into(),
            };
            shared::apply(&mut committed, &Change::PutInstance { host: host.clone(), instance });
            let (breaker, counts) = (CircuitBreaker::default(), Counts::default());
            servers.push(Server { host, is_canary, breaker, counts, at_work: Vec::new() });
        }
        let intent = Intent::StartRollout {
            service: "s".into(),
            version: "v2".into(),
            within_ms: simulation.within.as_millis() as u64,
            at_ms: 0,
        };
        shared::apply(&mut committed, &Change::Operator { intent });
        World {
            simulation,
            rng: SmallRng::seed_from_u64(simulation.seed),
            now: Timestamp::default(),
            servers,
            held: committed.clone(),
            committed,
            in_transit: VecDeque::new(),
            lease: CanaryLease::default(),
            controller: Controller::new(Limits::default()),
            was_leading: true,
            pending: Vec::new(),
            exposed: 0,
            all: 0,
            bad: 0,
            fiftieth_bad_at: None,
            late: Duration::ZERO,
            cut_off: None,
        }
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        self.deliver();
        self.answer();
        let per_tick = self.simulation.per_second * TICK.as_secs_f64();
        let due =
            per_tick.floor() as usize + usize::from(self.rng.random::<f64>() < per_tick.fract());
        (0..due).for_each(|_| self.request());
        self.lead();
    }

    fn is_every(&self, period: Duration) -> bool {
        self.now.since(Timestamp::default()).as_millis().is_multiple_of(period.as_millis())
    }

    fn has_leader(&self) -> bool {
        let at = self.now.since(Timestamp::default());
        self.simulation.leaderless.is_none_or(|(from, to)| at < from || at > to)
    }

    /// Commits pending steps and delivers committed states to the daemons.
    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.pending).into_iter().partition(|(at, _)| *at <= now);
        self.pending = later;
        let due: Vec<(Timestamp, Change)> = due;
        for (_, change) in due {
            let was = self.committed.config.rollouts["s"].stage;
            shared::apply(&mut self.committed, &change);
            if was != RolloutStage::Completed
                && self.committed.config.rollouts["s"].stage == RolloutStage::Completed
            {
                let old = self.servers.iter().filter(|server| !server.is_canary);
                self.cut_off = Some(old.map(|server| server.at_work.len()).sum());
            }
            self.in_transit.push_back((now + STEP_DELAY / 2, self.committed.clone()));
        }
        while self.in_transit.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, held)) = self.in_transit.pop_front() {
                self.held = held;
            }
        }
        if self.has_leader() {
            self.lease.extend(now + LEASE_TIME);
        }
    }

    fn answer(&mut self) {
        let now = self.now;
        let kind: Arc<str> = "k".into();
        for server in &mut self.servers {
            let (done, at_work): (Vec<_>, Vec<_>) =
                server.at_work.iter().partition(|(_, ends, _)| *ends <= now);
            server.at_work = at_work;
            for (began, ends, failed) in done {
                let took = ends.since(began);
                server.counts.on_answer(&kind, Answer { failed, took: Some(took) });
                server.breaker.on_answer(now, failed);
                if server.is_canary && (failed || took.as_secs_f64() > 2.0 * SERVICE_TIME_S) {
                    self.bad += 1;
                    if self.bad == 50 {
                        self.fiftieth_bad_at = Some(now);
                    }
                }
            }
        }
    }

    /// Sends a request to the canary or the old version, as outbound and inbound decide.
    fn request(&mut self) {
        self.all += 1;
        let rollout = self.held.config.rollouts["s"].clone();
        let to_canary = match rollout::exposure(Some(&rollout), "v2") {
            Exposure::Canary { exposure_milli } => {
                self.rng.random::<f64>() < f64::from(exposure_milli) / 1_000.0
            }
            Exposure::Unrestricted => true,
            Exposure::Closed => false,
        };
        let servers = self.simulation.servers;
        if to_canary {
            let offered = match rollout.stage {
                RolloutStage::Trying => {
                    let share = f64::from(rollout.exposure_milli) / 1_000.0;
                    ((share * servers as f64).ceil() as usize).clamp(2.min(servers), servers)
                }
                _ => servers,
            };
            let chosen = servers + self.rng.random_range(0..offered);
            if self.admits(chosen, &rollout) {
                return self.run(chosen);
            }
            if rollout.stage != RolloutStage::Trying {
                return;
            }
        }
        let chosen = self.rng.random_range(0..servers);
        self.run(chosen);
    }

    fn admits(&self, server: usize, rollout: &cherrystream_schema::messages::Rollout) -> bool {
        let trying = rollout.stage == RolloutStage::Trying;
        let is_leased = !trying || self.lease.is_valid(self.now);
        is_leased && !self.servers[server].breaker.is_open(self.now)
    }

    fn run(&mut self, server: usize) {
        let Version { fails, slower, from_s, from_load } = self.simulation.version;
        let at = self.now.since(Timestamp::default()).as_secs_f64();
        let server = &mut self.servers[server];
        let is_bad = server.is_canary && at >= from_s && server.at_work.len() >= from_load;
        let (fails, slower) = if is_bad { (fails, slower) } else { (0.002, 1.0) };
        let deviation: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let took = Duration::from_secs_f64(SERVICE_TIME_S * (0.3 * deviation).exp() * slower);
        let failed = self.rng.random::<f64>() < fails;
        server.at_work.push((self.now, self.now + took, failed));
        if server.is_canary {
            self.exposed += 1;
            if let Some(fiftieth_bad_at) = self.fiftieth_bad_at {
                self.late = self.late.max(self.now.since(fiftieth_bad_at));
            }
        }
    }

    fn lead(&mut self) {
        if !self.has_leader() {
            self.was_leading = false;
            return;
        }
        if !std::mem::replace(&mut self.was_leading, true) {
            // The new leader follows the log and receives all counts again.
            self.controller = Controller::new(Limits::default());
        }
        if self.is_every(CONTROL_INTERVAL) {
            let unix_ms = self.now.since(Timestamp::default()).as_millis() as u64;
            let due = self.controller.decide(Moment { now: self.now, unix_ms }, &self.committed);
            let at = self.now + STEP_DELAY / 2;
            self.pending.extend(due.into_iter().map(|change| (at, change)));
        }
        self.send_counts();
    }

    /// Sends the counts of each daemon with its heartbeat, at staggered times.
    fn send_counts(&mut self) {
        let ticks = (HEARTBEAT.as_millis() / TICK.as_millis()) as usize;
        let tick = (self.now.since(Timestamp::default()).as_millis() / TICK.as_millis()) as usize;
        for (i, server) in self.servers.iter().enumerate() {
            if !(tick + i * 7).is_multiple_of(ticks) {
                continue;
            }
            let tally = VersionTally {
                service: "s".into(),
                version: if server.is_canary { "v2" } else { "v1" }.into(),
                run: server.host.clone(),
                started_at_ms: 0,
                at_work: server.at_work.len() as u32,
                kinds: server.counts.by_kind(),
            };
            let report = HostTally { host: server.host.clone(), incarnation: 1, tally };
            self.controller.on_tally(self.now, &report);
            // A repeated report counts once.
            self.controller.on_tally(self.now, &report);
        }
    }
}
