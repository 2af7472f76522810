//! Dissemination of records over a fleet.

use cherrystream_core::suspects::ring;
use std::collections::BTreeMap;

fn fleet(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("sidecar-domain-{}-{n}", n % 7)).collect()
}

/// Returns the step in which each host that is up receives a record of the first host, and the
/// number of messages.
fn disseminate(hosts: &[String], is_up: impl Fn(&str) -> bool) -> (BTreeMap<&str, u32>, usize) {
    let mut received = BTreeMap::from([(hosts[0].as_str(), 0)]);
    let (mut senders, mut messages) = (vec![hosts[0].as_str()], 0);
    for step in 1.. {
        let mut next = Vec::new();
        for from in senders {
            for to in ring::peers(hosts.iter().map(String::as_str), from) {
                messages += 1;
                if is_up(to) && !received.contains_key(to) {
                    received.insert(to, step);
                    next.push(to);
                }
            }
        }
        if next.is_empty() {
            break;
        }
        senders = next;
    }
    (received, messages)
}

#[test]
fn records_reach_all_hosts_in_few_steps_and_messages() {
    for count in [1, 2, 3, 18, 63, 302, 790] {
        let hosts = fleet(count);
        let (received, messages) = disseminate(&hosts, |_| true);
        assert_eq!(received.len(), count);
        let digits = usize::BITS - (count - 1).leading_zeros();
        assert!(received.values().all(|steps| *steps <= digits), "{count}: {received:?}");
        assert!(messages <= count * digits as usize, "{count}: {messages}");
    }
}

/// One of seven failure domains has lost power, and one in ten of the other hosts is down.
#[test]
fn records_bypass_hosts_that_are_down() {
    let hosts = fleet(790);
    let is_up = |host: &str| !host.starts_with("sidecar-domain-3-") && !host.ends_with('8');
    let (received, _) = disseminate(&hosts, is_up);
    let up = hosts.iter().filter(|host| is_up(host)).count();
    assert_eq!(received.len(), up);
}

#[test]
fn peers_are_few_and_distinct() {
    let hosts = fleet(790);
    for own in &hosts {
        let peers = ring::peers(hosts.iter().map(String::as_str), own);
        assert_eq!(peers.len(), 10);
        let mut once = peers.clone();
        once.sort_unstable();
        once.dedup();
        assert_eq!(once.len(), peers.len());
        assert!(!peers.contains(&own.as_str()));
    }
    // A host that is not in the list yet has the same peers as later.
    let others = || hosts.iter().skip(1).map(String::as_str);
    let listed = ring::peers(hosts.iter().map(String::as_str), &hosts[0]);
    assert_eq!(ring::peers(others(), &hosts[0]), listed);
    assert!(ring::peers(std::iter::empty(), "a").is_empty());
}
