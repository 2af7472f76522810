//! Emulates how long a change takes to be applied at all hosts.
//!
//! A discrete-event simulation without sockets and clock, over modelled links. Decisions are made
//! by production code: `control::distribution` (with core's `FetchScheduler`, `UpdateCache` and
//! `EncodedUpdate`) at the replicas, core's `Download` and `PieceSize` at the hosts. The loops
//! around them (a daemon's heartbeat and downloads, a replica's wait) are reimplemented here after
//! `daemon::sync` and `control::rpc_server`.
//!
//! Assumptions:
//! - All daemons are at the same revision, each with an open heartbeat, when all replicas apply the
//!   change at the same time. Replication between replicas is left out.
//! - Links carry nothing else, or a given share of the hosts' link rates is available. No other
//!   change comes. Links are full duplex. A message, with 100 bytes of framing, occupies its
//!   sender's and its receiver's link exclusively, and is forwarded while it is received.
//! - Half of the hosts have 2.7 Mbit/s and half 3.8, or all have 1,000. Replicas have 1,000.
//! - Latency is 1 ms within a failure domain and 5 ms between two. No message is lost.
//! - Hosts and replicas spend no processor time; `slopes transfers` measures that.
//! - Daemons in a failure domain with a replica use that replica; the others are distributed over
//!   all replicas. A daemon whose heartbeat times out retries at the same replica.
//!
//! [`before`] emulates the same change without chunks, [`after`] with them.

mod after;
mod before;
mod network;

use crate::tables::{self, History};
use crate::transfers::BASE_ROUTES;
use cherrystream_schema::messages::HostRecord;
use std::time::Duration;

/// Time after which a change counts as never applied.
const TIME_LIMIT: Duration = Duration::from_secs(60);
/// Rates of slow host links in Mbit/s, assigned in turn.
const SLOW_MBITS: [f64; 2] = [2.7, 3.8];
/// Rates of host links as fast as those of replicas, in Mbit/s.
const FAST_MBITS: [f64; 1] = [1_000.0];

/// A site to emulate.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    /// Number of hosts, each with a daemon.
    pub hosts: usize,
    /// Number of failure domains; hosts are distributed evenly over them.
    pub domains: usize,
    /// Number of replicas, one in each of the first failure domains.
    pub replicas: usize,
    /// Rates of the hosts' links in Mbit/s, assigned in turn.
    pub mbits: &'static [f64],
    /// Share of the hosts' link rates that is available for updates.
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

    /// Returns the replica that a host's daemon uses.
    fn replica(&self, host: usize) -> usize {
        let domain = self.domain(host);
        if domain < self.replicas { domain } else { (host / self.domains) % self.replicas }
    }

    /// Returns the rate of a host's link in bytes per second.
    fn rate(&self, host: usize) -> f64 {
        // Each failure domain has hosts of every rate.
        self.mbits[(host / self.domains) % self.mbits.len()] * 1e6 / 8.0 * self.share
    }
}

/// Result of one emulation.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Seconds until the change was applied, for each host that applied it.
    pub applied_s: Vec<f64>,
    /// Bytes of the state sent between failure domains.
    pub cross_domain_bytes: f64,
    /// Bytes of the state sent by replicas.
    pub replica_bytes: f64,
    /// Number of calls and chunk requests that timed out.
    pub timeouts: u64,
}

impl Outcome {
    fn format_last(&self, hosts: usize) -> String {
        let last = self.applied_s.iter().copied().fold(0.0, f64::max);
        match self.applied_s.len() {
            n if n == hosts => format!("{last:.2} s"),
            n => format!("never ({n} of {hosts})"),
        }
    }
}

/// Parameters of the emulation.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Time within which a change must be applied.
    pub within: Duration,
    /// Whether all daemons start without a configuration; otherwise they hold a table of
    /// [`BASE_ROUTES`].
    pub from_nothing: bool,
    /// Share of the hosts' link rates that is available for updates.
    pub share: f64,
}

/// Emulates the distribution of tables with each number of additional routes.
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
    for mbits in [&SLOW_MBITS[..], &FAST_MBITS[..]] {
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
        before.format_last(site.hosts),
        before.cross_domain_bytes / 1e6,
        after.format_last(site.hosts),
        after.cross_domain_bytes / 1e6,
        after.replica_bytes / 1e6,
        after.timeouts
    );
    Ok(())
}
