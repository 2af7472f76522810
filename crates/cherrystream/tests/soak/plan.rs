//! The faults of one run, drawn from its seed.

use crate::support::relay::Mode;
use rand::Rng;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;
use std::time::Duration;

/// Duration of a fault, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 100..1_800;
/// Mean pause between two faults, in milliseconds.
const MEAN_PAUSE_MS: u64 = 160;

/// Mean pause between two series of signals, in milliseconds.
const MEAN_SERIES_PAUSE_MS: u64 = 1_500;
/// Pause between the signals of a series, in milliseconds.
const SERIES_STEP_MS: u64 = 120;
/// Duration of each fault of a series, in milliseconds.
const SERIES_DURATION_MS: u64 = 300;
/// Rates of hosts' links in bytes per second: 3.8 and 2.7 Mbit/s, and half of the slower one;
/// `None` for unlimited links.
const LINK_BYTES_PER_SECOND: [Option<u64>; 4] = [None, Some(170_000), Some(340_000), Some(475_000)];

/// Setup of the hosts of a run.
#[derive(Clone, Copy, Debug)]
pub struct Hosts {
    /// Rate of the links between hosts in bytes per second.
    pub link_rate: Option<u64>,
    /// Whether daemons discover control by seeds.
    pub seeds: bool,
}

impl Hosts {
    pub fn draw(rng: &mut SmallRng) -> Hosts {
        let link_rate = LINK_BYTES_PER_SECOND[rng.random_range(0..LINK_BYTES_PER_SECOND.len())];
        Hosts { link_rate, seeds: rng.random_bool(0.5) }
    }
}

/// Number of processes of a run.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub controls: u64,
    pub daemons: usize,
}

/// A fault of a process, caused by a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProcessFault {
    /// Kills the process; it is restarted later.
    Kill,
    /// Requests a graceful stop; the process is restarted after it has exited.
    Stop,
    /// Suspends the process for a while.
    Pause,
    /// Makes the process reload its settings.
    Reload,
}

impl ProcessFault {
    /// Returns whether the process handles the signal itself.
    pub fn is_graceful(self) -> bool {
        matches!(self, ProcessFault::Stop | ProcessFault::Reload)
    }
}

/// A fault.
#[derive(Clone, Debug)]
pub enum Fault {
    Daemon(usize, ProcessFault),
    Control(u64, ProcessFault),
    /// A control replica is killed and restarted with an empty disk.
    LostDisk(u64),
    /// A backend server is killed and restarted.
    Server(usize),
    /// A backend server simulates faults; the value is the body of the request that sets them.
    FaultyServer(usize, serde_json::Value),
    /// A relay disturbs the connections that pass through it.
    Link(Link, Mode),
}

/// A connection that passes through a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Link {
    /// From all other daemons to this one.
    Peer(usize),
    /// From a daemon to its backend server.
    Server(usize),
    /// From a daemon to all of control.
    Sync(usize),
    /// From one control replica to another.
    Control(u64, u64),
}

impl Fault {
    /// Returns whether the fault itself may make requests fail. Planned stops, reloads and faults
    /// of control alone may not.
    pub fn is_disruptive(&self) -> bool {
        match self {
            Fault::Daemon(_, process_fault) => !process_fault.is_graceful(),
            Fault::Control(..) | Fault::LostDisk(_) => false,
            Fault::Server(_) | Fault::FaultyServer(..) | Fault::Link(..) => true,
        }
    }

    /// Returns the name of the kind of fault.
    pub fn kind(&self) -> String {
        match self {
            Fault::Daemon(_, process_fault) => format!("daemon-{process_fault:?}").to_lowercase(),
            Fault::Control(_, process_fault) => format!("control-{process_fault:?}").to_lowercase(),
            Fault::LostDisk(_) => "control-lost-disk".into(),
            Fault::Server(_) => "server-kill".into(),
            Fault::FaultyServer(..) => "server-misbehaves".into(),
            Fault::Link(link, mode) => {
                let link = match link {
                    Link::Peer(_) => "peer",
                    Link::Server(_) => "server",
                    Link::Sync(_) => "sync",
                    Link::Control(..) => "control",
                };
                format!("link-{link}-{mode:?}").to_lowercase()
            }
        }
    }
}

/// A fault with its start and duration.
#[derive(Clone, Debug)]
pub struct ScheduledFault {
    pub at: Duration,
    pub duration: Duration,
    pub fault: Fault,
}

/// Draws the faults of a run. At most one disk is lost in a run, because two could hold the only
/// copies of a change.
pub fn draw(rng: &mut SmallRng, size: Size, length: Duration) -> Vec<ScheduledFault> {
    let mut plan = Vec::new();
    let mut at = Duration::from_millis(200);
    let mut disk_lost = false;
    while at < length {
        let fault = draw_fault(rng, size);
        let another_disk = matches!(fault, Fault::LostDisk(_)) && disk_lost;
        if !another_disk {
            disk_lost |= matches!(fault, Fault::LostDisk(_));
            let duration = Duration::from_millis(rng.random_range(DURATION_MS));
            plan.push(ScheduledFault { at, duration, fault });
        }
        at += Duration::from_millis(rng.random_range(0..2 * MEAN_PAUSE_MS));
    }
    plan
}

/// Draws series of signals in addition to the other faults. Signals of a series come one after the
/// other or all at once.
pub fn draw_series(rng: &mut SmallRng, size: Size, length: Duration) -> Vec<ScheduledFault> {
    let mut plan = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(0..MEAN_SERIES_PAUSE_MS));
    while at < length {
        plan.extend(draw_one_series(rng, size, at));
        at += Duration::from_millis(rng.random_range(0..2 * MEAN_SERIES_PAUSE_MS));
    }
    plan
}

fn draw_one_series(rng: &mut SmallRng, size: Size, start: Duration) -> Vec<ScheduledFault> {
    let daemons = 0..size.daemons;
    let faults: Vec<Fault> = match rng.random_range(0..5) {
        0 => daemons.map(|i| Fault::Daemon(i, ProcessFault::Stop)).collect(),
        1 => daemons.step_by(2).map(|i| Fault::Daemon(i, ProcessFault::Kill)).collect(),
        2 => (1..=size.controls).map(|r| Fault::Control(r, ProcessFault::Stop)).collect(),
        3 => {
            let daemon = rng.random_range(daemons);
            [ProcessFault::Reload, ProcessFault::Stop, ProcessFault::Reload, ProcessFault::Stop]
                .map(|h| Fault::Daemon(daemon, h))
                .into()
        }
        _ => (1..=size.controls).map(|r| Fault::Control(r, ProcessFault::Kill)).collect(),
    };
    let step = SERIES_STEP_MS * rng.random_range(0..2);
    let scheduled = |(n, fault)| {
        let at = start + Duration::from_millis(step * n as u64);
        ScheduledFault { at, duration: Duration::from_millis(SERIES_DURATION_MS), fault }
    };
    faults.into_iter().enumerate().map(scheduled).collect()
}

fn draw_fault(rng: &mut SmallRng, size: Size) -> Fault {
    let daemon = rng.random_range(0..size.daemons);
    let control = rng.random_range(1..=size.controls);
    match rng.random_range(0..100) {
        0..30 => Fault::Daemon(daemon, draw_process_fault(rng)),
        30..45 => Fault::Control(control, draw_process_fault(rng)),
        45..48 => Fault::LostDisk(control),
        48..56 => Fault::Server(daemon),
        56..66 => Fault::FaultyServer(daemon, draw_server_fault(rng)),
        _ => Fault::Link(draw_link(rng, size, daemon, control), draw_mode(rng)),
    }
}

fn draw_process_fault(rng: &mut SmallRng) -> ProcessFault {
    [
        ProcessFault::Kill,
        ProcessFault::Stop,
        ProcessFault::Stop,
        ProcessFault::Pause,
        ProcessFault::Reload,
    ][rng.random_range(0..5)]
}

fn draw_mode(rng: &mut SmallRng) -> Mode {
    [Mode::Hold, Mode::HoldBack, Mode::Cut, Mode::Delay][rng.random_range(0..4)]
}

fn draw_link(rng: &mut SmallRng, size: Size, daemon: usize, control: u64) -> Link {
    match rng.random_range(0..4) {
        0 => Link::Peer(daemon),
        1 => Link::Server(daemon),
        2 => Link::Sync(daemon),
        _ => Link::Control(control, control % size.controls + 1),
    }
}

fn draw_server_fault(rng: &mut SmallRng) -> serde_json::Value {
    match rng.random_range(0..6) {
        0 => serde_json::json!({"slow_ms": 150}),
        1 => serde_json::json!({"stall_ms": 900}),
        2 => serde_json::json!({"fail_share": 0.5}),
        3 => serde_json::json!({"break_share": 0.3}),
        4 => serde_json::json!({"drop_share": 0.3}),
        _ => serde_json::json!({"wrong_call": true}),
    }
}

/// Counts the faults of a plan by kind.
pub fn count(plan: &[ScheduledFault]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for scheduled in plan {
        *counts.entry(scheduled.fault.kind()).or_default() += 1;
    }
    counts
}
