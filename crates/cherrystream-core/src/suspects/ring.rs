//! Selection of the peers to which a daemon sends records, such that records reach all daemons.
//!
//! Hosts are ordered on a ring by their hashes. Each daemon sends to the hosts 1, 2, 4, 8 and so on
//! positions ahead and forwards the records that are new to it. A record reaches all of n hosts
//! within log2(n) steps, there are alternative paths around a host that is down, and a daemon keeps
//! log2(n) connections.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Returns the hosts to which the daemon of host `own` sends records.
pub fn peers<'a>(hosts: impl Iterator<Item = &'a str>, own: &str) -> Vec<&'a str> {
    let mut ring: Vec<&str> = hosts.filter(|host| *host != own).collect();
    ring.sort_by_key(|host| position(host));
    let start = ring.partition_point(|host| position(host) < position(own));
    let steps = (0..usize::BITS).map(|bit| 1_usize << bit).take_while(|step| *step <= ring.len());
    steps.map(|step| ring[(start + step - 1) % ring.len()]).collect()
}

fn position(host: &str) -> (u64, &str) {
    let mut hasher = SipHasher13::new();
    hasher.write(host.as_bytes());
    (hasher.finish(), host)
}
