//! The daemons that share the quotas, and the choice of the allocators of a workspace.

use siphasher::sip::SipHasher13;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// Maximum number of hosts per failure domain that may be allocators; bounds the connections of
/// each daemon.
const MAX_ALLOCATORS_PER_DOMAIN: usize = 32;

/// Hash input in place of a workspace when the eligible hosts are selected; no workspace has this
/// name.
const ELIGIBILITY_KEY: &str = "";

/// A daemon that shares the quotas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of its host.
    pub host: Arc<str>,
    /// Failure domain of its host.
    pub domain: Arc<str>,
}

/// The daemons that share the quotas, as seen by one of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Members {
    /// The daemon that holds this list.
    pub own: Member,
    by_domain: BTreeMap<Arc<str>, Vec<Arc<str>>>,
    /// Hosts that may be allocators, by failure domain.
    eligible: BTreeMap<Arc<str>, Vec<Arc<str>>>,
    count: usize,
}

impl Members {
    /// Creates the list. The own daemon is among `all` unless it is leaving or has not registered
    /// yet; another daemon then allocates in its place.
    pub fn new(own: Member, all: impl IntoIterator<Item = Member>) -> Members {
        let mut by_domain: BTreeMap<Arc<str>, Vec<Arc<str>>> = BTreeMap::new();
        for member in all {
            by_domain.entry(member.domain).or_default().push(member.host);
        }
        for hosts in by_domain.values_mut() {
            hosts.sort();
            hosts.dedup();
        }
        let count = by_domain.values().map(Vec::len).sum();
        let mut eligible = by_domain.clone();
        for hosts in eligible.values_mut() {
            hosts.sort_by_cached_key(|host| Reverse(score(ELIGIBILITY_KEY, host)));
            hosts.truncate(MAX_ALLOCATORS_PER_DOMAIN);
        }
        Members { own, by_domain, eligible, count }
    }

    /// Returns the number of daemons.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Returns the number of failure domains.
    pub(super) fn domains(&self) -> usize {
        self.by_domain.len()
    }

    /// Returns the allocators of a workspace, at most one per failure domain, nearest first. Chosen
    /// by rendezvous hashing (Thaler and Ravishankar, 1998), so few change when a host joins or
    /// leaves.
    pub(super) fn allocators(&self, workspace: &str, max_count: usize) -> Vec<Arc<str>> {
        let mut domains: Vec<_> = self.eligible.iter().collect();
        domains.sort_by_key(|(domain, _)| Reverse(score(workspace, domain)));
        domains.truncate(max_count);
        let shift = usize::from(score(workspace, &self.own.host).is_multiple_of(2));
        if domains.len() > 2 {
            // Daemons use different orders; else one allocator would get all overflow of another.
            let own = domains.iter().position(|(domain, _)| **domain == self.own.domain);
            domains.rotate_left(own.unwrap_or(shift));
            domains[1..].rotate_left(shift);
        } else {
            domains.sort_by_key(|(domain, _)| **domain != self.own.domain);
        }
        domains.into_iter().filter_map(|(_, hosts)| top_ranked(workspace, hosts)).collect()
    }

    /// Returns the one allocator of a workspace, chosen among the hosts of all failure domains.
    pub fn sole_allocator(&self, workspace: &str) -> Option<Arc<str>> {
        top_ranked(workspace, self.eligible.values().flatten())
    }

    /// Returns whether the own host is among the first `max_rank` hosts for a workspace.
    pub(super) fn is_ranked_within(&self, workspace: &str, max_rank: usize) -> bool {
        let own = rank(workspace, &self.own.host);
        let before = |host: &&Arc<str>| rank(workspace, host) > own;
        self.by_domain.values().flatten().filter(before).count() < max_rank
    }
}

fn top_ranked<'a>(
    workspace: &str,
    hosts: impl IntoIterator<Item = &'a Arc<str>>,
) -> Option<Arc<str>> {
    hosts.into_iter().max_by_key(|host| rank(workspace, host)).cloned()
}

fn rank<'a>(workspace: &str, host: &'a str) -> (u64, &'a str) {
    (score(workspace, host), host)
}

fn score(workspace: &str, name: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    (workspace, name).hash(&mut hasher);
    hasher.finish()
}
