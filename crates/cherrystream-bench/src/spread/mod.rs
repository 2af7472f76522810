//! How long a change takes to be in force at all hosts, emulated.
//!
//! No sockets and no clock: events in the order of their times, over modelled links. What decides is the system's
//! own code: `control::distribution` (with core's `FetchScheduler`, `UpdateCache` and `EncodedUpdate`) at the replicas, core's
//! `Download` and `PieceSize` at the hosts. The loops around them (a daemon's heartbeat and its downloads, a replica's
//! wait) are written again here after `daemon::sync` and `control::rpc_server`.
//!
//! Assumptions:
//! - All daemons are at the same revision, each with an open heartbeat, when every replica applies the change at
//!   once; the way of the change between replicas is left out.
//! - Links carry nothing else, or requests leave a given share of the hosts' links; no other change comes. A link
//!   has its rate each way; a message, with 100 bytes of framing, occupies its sender's and its receiver's link one
//!   after another with others, and passes on as it comes.
//! - Half of the hosts have 2.7 Mbit/s and half 3.8, or all have 1,000. Replicas have 1,000.
//! - A way takes 1 ms within a failure domain and 5 ms between two; nothing is lost.
//! - Hosts and replicas spend no processor time; `slopes transfers` shows what an update costs there.
//! - Daemons in a failure domain with a replica keep to it; the others spread over all replicas. One whose heartbeat
//!   is not answered in time asks the same replica again.
//!
//! The old way, for the same change, is [`before`].

mod after;
mod before;
mod network;

use crate::tables::{self, History};
use crate::transfers::BASE_ROUTES;
use cherrystream_schema::messages::HostRecord;
use std::time::Duration;

/// Time after which a change that is not in force counts as never in force.
const GIVE_UP: Duration = Duration::from_secs(60);
/// Rates of hosts in Mbit/s, in turn.
const THIN_MBITS: [f64; 2] = [2.7, 3.8];
/// As `THIN_MBITS`, where hosts have links as replicas do.
const WIDE_MBITS: [f64; 1] = [1_000.0];

/// Hosts, failure domains and replicas.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    /// Hosts with a daemon.
    pub hosts: usize,
    /// Failure domains, over which the hosts spread evenly.
    pub domains: usize,
    /// Replicas, one in each of the first failure domains.
    pub replicas: usize,
    /// Rates of the hosts' links in Mbit/s, in turn.
    pub mbits: &'static [f64],
    /// Share of the hosts' links that requests leave.
    pub share: f64,
}

impl Site {
    fn records(&self) -> Vec<HostRecord> {
        tables::records(self.hosts, self.domains)
    }

    /// Returns the failure domain of a host.
    fn domain(&self, host: usize) -> usize {
        host % self.domains
    }

    /// Returns the replica that a host keeps to.
    fn replica(&self, host: usize) -> usize {
        let domain = self.domain(host);
        if domain < self.replicas { domain } else { (host / self.domains) % self.replicas }
    }

    /// Returns the rate of a host's link in bytes a second.
    fn rate(&self, host: usize) -> f64 {
        // Hosts of each failure domain have both rates.
        self.mbits[(host / self.domains) % self.mbits.len()] * 1e6 / 8.0 * self.share
    }
}

/// What became of a change.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Seconds until it was in force, for each host where it was.
    pub in_force: Vec<f64>,
    /// Bytes of the state between failure domains.
    pub crossed: f64,
    /// Bytes of the state that replicas sent.
    pub by_replicas: f64,
    /// Calls, or chunks, that were not answered in time.
    pub late: u64,
}

impl Outcome {
    fn shown(&self, hosts: usize) -> String {
        let last = self.in_force.iter().copied().fold(0.0, f64::max);
        match self.in_force.len() {
            n if n == hosts => format!("{last:.2} s"),
            n => format!("never ({n} of {hosts})"),
        }
    }
}

/// What to emulate.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Time within which a change is to be in force.
    pub within: Duration,
    /// Whether all daemons start with nothing, in place of a change to a table of [`BASE_ROUTES`].
    pub from_nothing: bool,
    /// Share of the hosts' links that requests leave.
    pub share: f64,
}

/// Emulates changes that add so many routes, or starts with tables of so many.
pub fn run(sizes: &[u64], plan: Plan) -> Result<(), String> {
    println!(
        "{:>6} {:>8} {:>9} {:>8} {:>8} {:>22} {:>10} {:>22} {:>10} {:>12} {:>8}",
        "hosts",
        "domains",
        "replicas",
        "Mbit/s",
        "routes",
        "before: last",
        "crossed MB",
        "after: last",
        "crossed MB",
        "replicas MB",
        "late"
    );
    for mbits in [&THIN_MBITS[..], &WIDE_MBITS[..]] {
        for (hosts, domains, replicas) in [(55, 3, 3), (81, 4, 4), (790, 4, 4), (790, 7, 3)] {
            for &size in sizes {
                let site = Site { hosts, domains, replicas, mbits, share: plan.share };
                show(site, size, plan)?;
            }
        }
    }
    Ok(())
}

fn show(site: Site, size: u64, plan: Plan) -> Result<(), String> {
    let mut history = History::new(&site.records());
    if !plan.from_nothing {
        history.add_routes(BASE_ROUTES);
    }
    let held = if plan.from_nothing { Default::default() } else { history.state.revision() };
    history.add_routes(size as u32);
    let plain = serde_json::to_vec(&history.changes_since(held)).map_err(|e| e.to_string())?.len();
    let before = before::emulate(&site, plain);
    let after = after::emulate(&site, history.state, held, plan.within);
    let rates: Vec<String> = site.mbits.iter().map(f64::to_string).collect();
    println!(
        "{:>6} {:>8} {:>9} {:>8} {size:>8} {:>22} {:>10.2} {:>22} {:>10.2} {:>12.2} {:>8}",
        site.hosts,
        site.domains,
        site.replicas,
        rates.join("/"),
        before.shown(site.hosts),
        before.crossed / 1e6,
        after.shown(site.hosts),
        after.crossed / 1e6,
        after.by_replicas / 1e6,
        after.late
    );
    Ok(())
}
