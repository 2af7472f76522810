//! Choice of the control replica that a daemon connects to.

use cherrystream_core::replica_choice::{self, ReplicaChoice};
use cherrystream_core::units::Timestamp;
use cherrystream_schema::messages::ReplicaAddress;
use std::time::Duration;

fn replica(address: &str, failure_domain: &str) -> ReplicaAddress {
    ReplicaAddress { address: address.into(), failure_domain: Some(failure_domain.into()) }
}

fn seeds() -> Vec<String> {
    ["a:1", "b:1", "c:1"].map(String::from).to_vec()
}

const START: Timestamp = Timestamp::from_millis(1_000);

#[test]
fn a_replica_of_the_same_failure_domain_is_preferred_once_it_is_known() {
    let mut choice = ReplicaChoice::new("d", seeds(), 1);
    assert_eq!(choice.next(START), Some("b:1"));
    choice.update(&[replica("a:1", "a"), replica("b:1", "b"), replica("d:1", "d")]);
    assert!(choice.has_nearer(START, "b:1"));
    assert_eq!(choice.next(START), Some("d:1"));
    assert!(!choice.has_nearer(START, "d:1"));
}

/// Guards against a daemon that stays at a remote replica after the near one is back.
#[test]
fn a_daemon_returns_to_the_replica_of_its_failure_domain_after_the_backoff() {
    let mut choice = ReplicaChoice::new("a", Vec::new(), 0);
    choice.update(&[replica("a:1", "a"), replica("b:1", "b")]);
    choice.on_failure(START, "a:1", Duration::ZERO);
    assert_eq!(choice.next(START), Some("b:1"));
    choice.on_success("b:1");
    let soon = Timestamp::from_millis(1_400);
    assert!(!choice.has_nearer(soon, "b:1"));
    let later = Timestamp::from_millis(1_500);
    assert!(choice.has_nearer(later, "b:1"));
    assert_eq!(choice.next(later), Some("a:1"));
}

/// Guards against retries of an unresponsive replica that keep a daemon without control.
#[test]
fn an_unresponsive_replica_costs_a_small_share_of_the_time() {
    let mut choice = ReplicaChoice::new("a", Vec::new(), 0);
    choice.update(&[replica("a:1", "a"), replica("b:1", "b")]);
    let call = Duration::from_millis(1_200);
    let (mut now, mut without) = (START, Duration::ZERO);
    while now < Timestamp::from_millis(61_000) {
        if choice.has_nearer(now, "b:1") {
            now = now + call;
            without += call;
            choice.on_failure(now, "a:1", call);
        }
        now = now + Duration::from_millis(100);
    }
    assert!(without <= Duration::from_secs(11), "{without:?} of a minute without control");
}

#[test]
fn all_replicas_are_tried_in_turn_while_none_answers() {
    let mut choice = ReplicaChoice::new("a", seeds(), 0);
    let mut tried = Vec::new();
    for _ in 0..6 {
        let address = choice.next(START).unwrap().to_string();
        choice.on_failure(START, &address, Duration::ZERO);
        tried.push(address);
    }
    for seed in seeds() {
        assert!(tried.contains(&seed), "{seed} was not tried: {tried:?}");
    }
}

/// Standby replicas return addresses without failure domains.
#[test]
fn a_known_failure_domain_is_kept_when_a_list_lacks_it() {
    let mut choice = ReplicaChoice::new("a", seeds(), 0);
    choice.set_failure_domain("c:1", "a");
    let unknown = |address: String| ReplicaAddress { address, failure_domain: None };
    choice.update(&seeds().into_iter().map(unknown).collect::<Vec<_>>());
    assert_eq!(choice.next(START), Some("c:1"));
}

#[test]
fn the_checksum_covers_addresses_and_failure_domains() {
    let replicas = [replica("a:1", "a"), replica("b:1", "b")];
    let mut choice = ReplicaChoice::new("a", Vec::new(), 0);
    choice.update(&replicas);
    assert_eq!(choice.checksum(), replica_choice::checksum(&replicas));
    assert_ne!(choice.checksum(), replica_choice::checksum(&[replica("a:1", "b")]));
}
