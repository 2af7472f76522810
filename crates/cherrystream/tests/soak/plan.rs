//! The faults of one run, drawn from its seed.

use crate::support::relay::{Mode, Silenced};
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

/// Mean pause between two series of silences, in milliseconds.
const MEAN_SILENCES_PAUSE_MS: u64 = 900;
/// Largest number of silences of a series.
const MAX_SILENCES: usize = 3;
/// Longest pause between two silences of a series, in milliseconds.
const MAX_SILENCE_STEP_MS: u64 = 500;
/// Time in which silences begin after all other faults, in milliseconds.
const SILENCES_ALONE_MS: u64 = 1_000;
/// Probability that a link of one kind goes silent after all other faults.
const SILENCE_ALONE_PROBABILITY: f64 = 0.6;
/// Time for which a silence may disturb requests under way; less than the time after which all
/// connections must work again.
const SILENCE_DURATION: Duration = Duration::from_secs(2);

/// Mean pause between two periods in which answers of a backend server are spoiled, in milliseconds.
const MEAN_SPOIL_PAUSE_MS: u64 = 1_200;

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
    /// Open connections of these links stop to carry bytes for good. New ones work.
    Silence(Vec<Link>, Silenced),
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
    /// From callers that use a relay to a daemon.
    Caller(usize),
    /// From operators that use a relay to a control replica.
    Operator(u64),
}

impl Link {
    /// Returns whether requests, or the records that they need, pass through the link on behalf of
    /// a daemon.
    fn carries_requests(self) -> bool {
        matches!(self, Link::Peer(_) | Link::Server(_) | Link::Sync(_))
    }

    fn name(self) -> &'static str {
        match self {
            Link::Peer(_) => "peer",
            Link::Server(_) => "server",
            Link::Sync(_) => "sync",
            Link::Control(..) => "control",
            Link::Caller(_) => "caller",
            Link::Operator(_) => "operator",
        }
    }
}

impl Fault {
    /// Returns whether the fault itself may make requests fail. Planned stops, reloads and faults
    /// of control alone may not.
    pub fn is_disruptive(&self) -> bool {
        match self {
            Fault::Daemon(_, process_fault) => !process_fault.is_graceful(),
            Fault::Control(..) | Fault::LostDisk(_) => false,
            Fault::Server(_) | Fault::FaultyServer(..) | Fault::Link(..) => true,
            Fault::Silence(links, _) => links.iter().any(|link| link.carries_requests()),
        }
    }

    /// Returns whether control may be unable to answer because of the fault, other than by a
    /// silence.
    pub fn affects_control(&self) -> bool {
        matches!(self, Fault::Control(..) | Fault::LostDisk(_) | Fault::Link(Link::Control(..), _))
    }

    /// Returns whether a request that may be repeated can fail because of the fault, other than by
    /// a silence.
    pub fn affects_requests(&self) -> bool {
        match self {
            Fault::Daemon(_, process_fault) => *process_fault != ProcessFault::Reload,
            Fault::Server(_) | Fault::FaultyServer(..) => true,
            Fault::Link(link, _) => link.carries_requests(),
            Fault::Control(..) | Fault::LostDisk(_) | Fault::Silence(..) => false,
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
            Fault::Link(link, mode) => format!("link-{}-{mode:?}", link.name()).to_lowercase(),
            Fault::Silence(links, silenced) => {
                let all = if links.len() > 1 { "all-" } else { "" };
                format!("silence-{all}{}-{silenced:?}", links[0].name()).to_lowercase()
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

/// Draws series of silences in addition to the other faults.
pub fn draw_silences(rng: &mut SmallRng, size: Size, length: Duration) -> Vec<ScheduledFault> {
    let mut plan = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(0..2 * MEAN_SILENCES_PAUSE_MS));
    while at < length {
        plan.extend(draw_silence_series(rng, size, at));
        at += Duration::from_millis(rng.random_range(0..2 * MEAN_SILENCES_PAUSE_MS));
    }
    plan
}

/// Draws periods in which answers of backend servers are spoiled, in addition to the other faults.
pub fn draw_spoiled(rng: &mut SmallRng, size: Size, length: Duration) -> Vec<ScheduledFault> {
    let mut plan = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(0..2 * MEAN_SPOIL_PAUSE_MS));
    while at < length {
        let fault = Fault::Link(Link::Server(rng.random_range(0..size.daemons)), Mode::Spoil);
        let duration = Duration::from_millis(rng.random_range(DURATION_MS));
        plan.push(ScheduledFault { at, duration, fault });
        at += Duration::from_millis(rng.random_range(0..2 * MEAN_SPOIL_PAUSE_MS));
    }
    plan
}

/// Draws silences that no other fault overlaps: of one link or all between control replicas first,
/// and of some of the other kinds of links.
pub fn draw_silences_alone(rng: &mut SmallRng, size: Size) -> Vec<ScheduledFault> {
    let daemon = || 0..size.daemons;
    let one_of_each = [
        Link::Peer(rng.random_range(daemon())),
        Link::Server(rng.random_range(daemon())),
        Link::Sync(rng.random_range(daemon())),
        Link::Caller(rng.random_range(daemon())),
        Link::Operator(rng.random_range(1..=size.controls)),
    ];
    let control = match rng.random_bool(0.5) {
        true => control_links(size),
        false => draw_control_link(rng, size),
    };
    let mut plan = vec![silence(Duration::ZERO, control, rng)];
    for link in one_of_each {
        if rng.random_bool(SILENCE_ALONE_PROBABILITY) {
            let at = Duration::from_millis(rng.random_range(0..SILENCES_ALONE_MS));
            plan.push(silence(at, vec![link], rng));
        }
    }
    plan.sort_by_key(|scheduled| scheduled.at);
    plan
}

fn silence(at: Duration, links: Vec<Link>, rng: &mut SmallRng) -> ScheduledFault {
    let silenced = [Silenced::Both, Silenced::There, Silenced::Back][rng.random_range(0..3)];
    ScheduledFault { at, duration: SILENCE_DURATION, fault: Fault::Silence(links, silenced) }
}

fn draw_silence_series(rng: &mut SmallRng, size: Size, start: Duration) -> Vec<ScheduledFault> {
    let mut at = start;
    let mut plan = Vec::new();
    for _ in 0..rng.random_range(1..=MAX_SILENCES) {
        let links = draw_silenced_links(rng, size);
        plan.push(silence(at, links, rng));
        at += Duration::from_millis(rng.random_range(0..MAX_SILENCE_STEP_MS));
    }
    plan
}

fn draw_silenced_links(rng: &mut SmallRng, size: Size) -> Vec<Link> {
    let daemon = rng.random_range(0..size.daemons);
    let control = rng.random_range(1..=size.controls);
    match rng.random_range(0..7) {
        0 => control_links(size),
        1 => draw_control_link(rng, size),
        2 => vec![Link::Peer(daemon)],
        3 => vec![Link::Server(daemon)],
        4 => vec![Link::Sync(daemon)],
        5 => vec![Link::Caller(daemon)],
        _ => vec![Link::Operator(control)],
    }
}

fn draw_control_link(rng: &mut SmallRng, size: Size) -> Vec<Link> {
    let links = control_links(size);
    vec![links[rng.random_range(0..links.len())]]
}

/// Returns the links between control replicas.
fn control_links(size: Size) -> Vec<Link> {
    let from = 1..=size.controls;
    let links = from.flat_map(|from| (1..=size.controls).map(move |to| (from, to)));
    links.filter(|(from, to)| from != to).map(|(from, to)| Link::Control(from, to)).collect()
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

/// Counts faults by kind.
pub fn count<'a>(plan: impl Iterator<Item = &'a ScheduledFault>) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for scheduled in plan {
        *counts.entry(scheduled.fault.kind()).or_default() += 1;
    }
    counts
}
