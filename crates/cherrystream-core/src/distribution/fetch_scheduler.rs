//! Fetch scheduling: which daemons fetch an update from a replica and which from a peer.
//!
//! Traffic between failure domains is expensive and the bandwidth of hosts is small. In a failure
//! domain without a replica, only a few daemons fetch from the replica at a time; the others fetch
//! from peers that have the update, a few from each.

use crate::units::Timestamp;
use cherrystream_schema::messages::StateId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Largest number of daemons of another failure domain that fetch from the replica at a time. More
/// than one, because one may fail.
const MAX_REMOTE_FETCHES: usize = 2;
/// Largest number of daemons of the replica's failure domain that fetch from it at a time.
const MAX_LOCAL_FETCHES: usize = 264;
/// Largest number of daemons that fetch from one peer at a time.
const MAX_FETCHES_PER_PEER: usize = 2;
/// Time without a message after which a daemon is no longer considered fetching: more than two
/// heartbeats.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after which a fetch no longer counts towards the limits, even if it continues.
const SLOW_FETCH: Duration = Duration::from_millis(4_000);
/// Largest number of peers returned to a daemon. More than one, because the first may be gone.
const MAX_PEERS: usize = 2;
/// Largest number of updates for which the hosts that fetched them are recorded.
const MAX_UPDATES: usize = 32;

/// Daemon that requests an update.
#[derive(Clone, Copy, Debug)]
pub struct Requester<'a> {
    /// Name of its host.
    pub host: &'a str,
    /// Failure domain of the host.
    pub failure_domain: &'a str,
    /// Whether the replica is in the same failure domain.
    pub near: bool,
}

/// Where a daemon fetches an update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchSource {
    /// From this replica.
    Replica,
    /// From the daemons of these hosts.
    Peers(Vec<String>),
    /// Nowhere yet. The daemon retries when a peer may have the update.
    Later,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum From {
    Replica,
    Peer,
}

#[derive(Debug)]
struct Fetch {
    id: StateId,
    failure_domain: String,
    from: From,
    since: Timestamp,
    last_seen: Timestamp,
}

/// Hosts that have fetched an update, with their failure domains.
#[derive(Debug)]
struct Fetched {
    id: StateId,
    hosts: Vec<(String, String)>,
}

/// Scheduler of the fetches of updates that this replica offers.
#[derive(Debug, Default)]
pub struct FetchScheduler {
    /// Fetches in progress by host.
    fetches: BTreeMap<String, Fetch>,
    fetched: VecDeque<Fetched>,
}

impl FetchScheduler {
    /// Decides where a daemon fetches an update. Only hosts for which `is_reachable` returns true
    /// are returned as peers.
    pub fn source(
        &mut self,
        now: Timestamp,
        requester: Requester,
        id: StateId,
        is_reachable: impl Fn(&str) -> bool,
    ) -> FetchSource {
        self.fetches.retain(|_, fetch| now.since(fetch.last_seen) < SILENCE_TIMEOUT);
        let limit = if requester.near { MAX_LOCAL_FETCHES } else { MAX_REMOTE_FETCHES };
        let own = self.fetches.get(requester.host).filter(|fetch| fetch.id == id).map(|f| f.from);
        let holders = self.holders(requester, id, is_reachable);
        let replica_free = self.count(now, requester, From::Replica) < limit;
        let peer_free =
            self.count(now, requester, From::Peer) < holders.len() * MAX_FETCHES_PER_PEER;
        let prefers_replica = requester.near || holders.is_empty();
        if own == Some(From::Replica) || replica_free && prefers_replica {
            self.record(now, requester, id, From::Replica);
            return FetchSource::Replica;
        }
        if holders.is_empty() || !peer_free && own.is_none() {
            return FetchSource::Later;
        }
        self.record(now, requester, id, From::Peer);
        FetchSource::Peers(select_peers(requester.host, &holders))
    }

    /// Records that a daemon requested a chunk after which `rest` bytes remain.
    pub fn on_chunk(&mut self, now: Timestamp, requester: Requester, id: StateId, rest: u64) {
        match rest {
            0 => self.on_fetched(requester, id),
            _ => self.record(now, requester, id, From::Replica),
        }
    }

    /// Records that a daemon is still fetching an update.
    pub fn on_fetching(&mut self, now: Timestamp, requester: Requester, id: StateId) {
        if let Some(fetch) = self.fetches.get_mut(requester.host).filter(|fetch| fetch.id == id) {
            fetch.last_seen = now;
        }
    }

    /// Records that a daemon no longer needs a long update.
    pub fn on_done(&mut self, requester: Requester) {
        if let Some(fetch) = self.fetches.get(requester.host) {
            self.on_fetched(requester, fetch.id);
        }
    }

    fn on_fetched(&mut self, requester: Requester, id: StateId) {
        self.fetches.remove(requester.host);
        let host = (requester.host.to_string(), requester.failure_domain.to_string());
        match self.fetched.iter_mut().find(|fetched| fetched.id == id) {
            Some(fetched) if fetched.hosts.contains(&host) => {}
            Some(fetched) => fetched.hosts.push(host),
            None => {
                self.fetched.push_back(Fetched { id, hosts: vec![host] });
                if self.fetched.len() > MAX_UPDATES {
                    self.fetched.pop_front();
                }
            }
        }
    }

    /// Returns the reachable hosts of the daemon's failure domain that have an update.
    fn holders(
        &self,
        requester: Requester,
        id: StateId,
        is_reachable: impl Fn(&str) -> bool,
    ) -> Vec<String> {
        let fetched = self.fetched.iter().find(|fetched| fetched.id == id);
        let hosts = fetched.into_iter().flat_map(|fetched| &fetched.hosts);
        let near = hosts.filter(|(_, domain)| domain == requester.failure_domain);
        near.map(|(host, _)| host.clone()).filter(|host| is_reachable(host)).collect()
    }

    /// Returns the number of other daemons of the same failure domain that fetch any update from
    /// the replica or from peers.
    fn count(&self, now: Timestamp, requester: Requester, from: From) -> usize {
        let counts = |(host, fetch): &(&String, &Fetch)| {
            fetch.failure_domain == requester.failure_domain
                && fetch.from == from
                && now.since(fetch.since) < SLOW_FETCH
                && host.as_str() != requester.host
        };
        self.fetches.iter().filter(counts).count()
    }

    fn record(&mut self, now: Timestamp, requester: Requester, id: StateId, from: From) {
        let known = self.fetches.get(requester.host).filter(|f| f.id == id && f.from == from);
        let since = known.map_or(now, |fetch| fetch.since);
        let failure_domain = requester.failure_domain.into();
        let fetch = Fetch { id, failure_domain, from, since, last_seen: now };
        self.fetches.insert(requester.host.into(), fetch);
    }
}

/// Selects a few hosts, different ones for different daemons.
fn select_peers(requester: &str, hosts: &[String]) -> Vec<String> {
    let start = crc32fast::hash(requester.as_bytes()) as usize;
    let count = hosts.len().min(MAX_PEERS);
    (0..count).map(|i| hosts[(start + i) % hosts.len()].clone()).collect()
}
