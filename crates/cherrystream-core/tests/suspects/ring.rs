//! How news spreads over a fleet.

use cherrystream_core::suspects::ring;
use std::collections::BTreeMap;

fn fleet(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("sidecar-domain-{}-{n}", n % 7)).collect()
}

/// Returns in how many steps each host that is up hears of what the first one tells, and the messages sent.
fn spread(hosts: &[String], is_up: impl Fn(&str) -> bool) -> (BTreeMap<&str, u32>, usize) {
    let mut heard = BTreeMap::from([(hosts[0].as_str(), 0)]);
    let (mut telling, mut messages) = (vec![hosts[0].as_str()], 0);
    for step in 1.. {
        let mut next = Vec::new();
        for from in telling {
            for to in ring::partners(hosts.iter().map(String::as_str), from) {
                messages += 1;
                if is_up(to) && !heard.contains_key(to) {
                    heard.insert(to, step);
                    next.push(to);
                }
            }
        }
        if next.is_empty() {
            break;
        }
        telling = next;
    }
    (heard, messages)
}

#[test]
fn news_reaches_all_in_few_steps_and_messages() {
    for count in [1, 2, 3, 18, 63, 302, 790] {
        let hosts = fleet(count);
        let (heard, messages) = spread(&hosts, |_| true);
        assert_eq!(heard.len(), count);
        let digits = usize::BITS - (count - 1).leading_zeros();
        assert!(heard.values().all(|steps| *steps <= digits), "{count}: {heard:?}");
        assert!(messages <= count * digits as usize, "{count}: {messages}");
    }
}

/// Load: a failure domain of seven has lost power, and one host in ten of the rest is down as well.
#[test]
fn hosts_that_are_down_have_ways_round_them() {
    let hosts = fleet(790);
    let is_up = |host: &str| !host.starts_with("sidecar-domain-3-") && !host.ends_with('8');
    let (heard, _) = spread(&hosts, is_up);
    let up = hosts.iter().filter(|host| is_up(host)).count();
    assert_eq!(heard.len(), up);
}

#[test]
fn partners_are_few_and_differ() {
    let hosts = fleet(790);
    for own in &hosts {
        let partners = ring::partners(hosts.iter().map(String::as_str), own);
        assert_eq!(partners.len(), 10);
        let mut once = partners.clone();
        once.sort_unstable();
        once.dedup();
        assert_eq!(once.len(), partners.len());
        assert!(!partners.contains(&own.as_str()));
    }
    // One that is not on the list yet tells the same ones as later.
    let others = || hosts.iter().skip(1).map(String::as_str);
    let listed = ring::partners(hosts.iter().map(String::as_str), &hosts[0]);
    assert_eq!(ring::partners(others(), &hosts[0]), listed);
    assert!(ring::partners(std::iter::empty(), "a").is_empty());
}
