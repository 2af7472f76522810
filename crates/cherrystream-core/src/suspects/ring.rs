//! Which daemons a daemon tells: few, the same ones each time, and so that news reaches all.
//!
//! Hosts stand on a ring in the order of their hashes. Each tells those that are 1, 2, 4, 8 and so on places ahead, and passes on what
//! is news to it. So news is everywhere after as many steps as the number of hosts has binary digits, a host that is down has other
//! ways round it, and a daemon keeps connections to ten others in a fleet of 790: one to each of them would cost 30 MB.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Returns the hosts that one tells.
pub fn partners<'a>(hosts: impl Iterator<Item = &'a str>, own: &str) -> Vec<&'a str> {
    let mut ring: Vec<&str> = hosts.filter(|host| *host != own).collect();
    ring.sort_by_key(|host| place(host));
    let next = ring.partition_point(|host| place(host) < place(own));
    let steps = (0..usize::BITS).map(|bit| 1_usize << bit).take_while(|step| *step <= ring.len());
    steps.map(|step| ring[(next + step - 1) % ring.len()]).collect()
}

fn place(host: &str) -> (u64, &str) {
    let mut hasher = SipHasher13::new();
    hasher.write(host.as_bytes());
    (hasher.finish(), host)
}
