//! Replaced hosts: a joining replica at another address takes over the number of a lost replica.

use super::raft_cluster::{Cluster, Disk, address, failure_domain};
use cherrystream_core::raft::{JoinDecision, JoiningReplica, Raft};
use cherrystream_schema::messages::{Command, RaftBody};

use std::time::Duration;

const NEW_ADDRESS: &str = "10.0.0.9:7000";
const OTHER_ADDRESS: &str = "10.0.0.8:7000";

/// Runs rounds without faults.
fn run(cluster: &mut Cluster, rounds: usize) {
    for _ in 0..rounds {
        cluster.run_fault_free();
    }
}

fn leader(cluster: &Cluster) -> usize {
    let leads = |raft: Option<&Raft>| raft.is_some_and(Raft::is_leader);
    cluster.replicas.iter().position(|r| leads(r.raft.as_ref())).expect("no leader")
}

fn admit(cluster: &mut Cluster, disk: &Disk) -> Option<u64> {
    request_slot(cluster, disk, false)
}

fn request_slot(cluster: &mut Cluster, disk: &Disk, stands_by: bool) -> Option<u64> {
    request_slot_at(cluster, NEW_ADDRESS, disk, stands_by)
}

fn request_slot_at(
    cluster: &mut Cluster,
    address: &str,
    disk: &Disk,
    stands_by: bool,
) -> Option<u64> {
    let now = cluster.now;
    let i = leader(cluster);
    let joining =
        JoiningReplica { address, disk: &disk.id, failure_domain: "", stands_by, runs_as: None };
    match cluster.replicas[i].raft.as_mut().unwrap().admit(now, joining) {
        JoinDecision::Granted(replica) => Some(replica),
        JoinDecision::Deferred | JoinDecision::SlotLost => None,
    }
}

/// Asks the leader for the slot under whose number a replica already runs.
fn request_again(cluster: &mut Cluster, disk: &str, id: u64) -> JoinDecision {
    let now = cluster.now;
    let i = leader(cluster);
    let joining = JoiningReplica {
        address: NEW_ADDRESS,
        disk,
        failure_domain: "",
        stands_by: false,
        runs_as: Some(id),
    };
    cluster.replicas[i].raft.as_mut().unwrap().admit(now, joining)
}

/// Returns a group of three, the index of its lost replica, and the disk of a joining replica.
fn with_lost_replica() -> (Cluster, usize, Disk) {
    let mut cluster = Cluster::new();
    run(&mut cluster, 80);
    let first = leader(&cluster);
    cluster.propose(first);
    cluster.process_ready(first, None);
    run(&mut cluster, 10);
    let gone = (first + 1) % 3;
    cluster.replicas[gone].raft = None;
    let disk = cluster.new_disk();
    (cluster, gone, disk)
}

#[test]
fn a_joining_replica_gets_no_slot_while_no_replica_is_silent() {
    let (mut cluster, _, disk) = with_lost_replica();
    assert_eq!(admit(&mut cluster, &disk), None, "the replica may be restarting");
    run(&mut cluster, 40);
    assert!(admit(&mut cluster, &disk).is_some());
}

/// A restart that takes a few seconds must not cost a replica its slot.
#[test]
fn a_standby_replica_waits_longer_for_the_slot_of_a_silent_replica() {
    let (mut cluster, gone, disk) = with_lost_replica();
    run(&mut cluster, 100);
    assert_eq!(request_slot(&mut cluster, &disk, true), None);
    run(&mut cluster, 120);
    assert_eq!(request_slot(&mut cluster, &disk, true), Some(gone as u64 + 1));
}

#[test]
fn a_standby_replica_gets_a_vacant_slot_at_once() {
    let mut cluster = Cluster::of(5, 3);
    run(&mut cluster, 80);
    let disk = cluster.new_disk();
    assert_eq!(request_slot(&mut cluster, &disk, true), Some(4));
    assert_eq!(request_slot(&mut cluster, &disk, true), Some(4), "asked again");
    let other = cluster.new_disk();
    assert_eq!(request_slot_at(&mut cluster, OTHER_ADDRESS, &other, true), Some(5));
}

#[test]
fn a_joining_replica_takes_over_the_slot_of_a_lost_replica() {
    let (mut cluster, gone, disk) = with_lost_replica();
    run(&mut cluster, 40);
    assert_eq!(admit(&mut cluster, &disk), Some(gone as u64 + 1));
    let other = cluster.new_disk();
    let at_other = request_slot_at(&mut cluster, OTHER_ADDRESS, &other, false);
    assert_eq!(at_other, None, "a learner has the slot");
    let old = std::mem::replace(&mut cluster.replicas[gone].disk, disk);
    cluster.start(gone);
    run(&mut cluster, 60);
    let now = cluster.now;
    let i = leader(&cluster);
    let address_on = |cluster: &Cluster, i: usize| {
        let raft = cluster.replicas[i].raft.as_ref().unwrap();
        assert!(raft.is_voter());
        raft.address_of(now, gone as u64 + 1)
    };
    for i in 0..3 {
        assert_eq!(address_on(&cluster, i).as_deref(), Some(NEW_ADDRESS));
    }
    // The old disk must not vote again, even if the new replica is lost as well.
    cluster.replicas[gone].raft = None;
    cluster.replicas[gone].disk = old;
    cluster.start(gone);
    let third = 3 - gone - i;
    cluster.replicas[third].raft = None;
    let before = cluster.committed.len();
    run(&mut cluster, 80);
    assert_eq!(cluster.committed.len(), before, "a replaced disk helped to commit");
}

/// Guards against a replacement that discards its log again and again: the leader granted it the
/// slot of a silent replica, and must not take the slot back on behalf of that replica.
#[test]
fn a_learner_that_asks_again_before_its_first_acknowledgement_keeps_its_slot() {
    let (mut cluster, gone, disk) = with_lost_replica();
    run(&mut cluster, 40);
    let id = gone as u64 + 1;
    assert_eq!(admit(&mut cluster, &disk), Some(id));
    run(&mut cluster, 8);
    assert_eq!(request_again(&mut cluster, &disk.id, id), JoinDecision::Granted(id));
    // Each request renews the grant.
    run(&mut cluster, 50);
    assert_eq!(request_again(&mut cluster, &disk.id, id), JoinDecision::Granted(id));
    run(&mut cluster, 50);
    assert_eq!(request_again(&mut cluster, &disk.id, id), JoinDecision::Granted(id));
}

/// Guards against a slot reported as lost to a holder that may itself be lost: only a holder that
/// the leader is in contact with takes it.
#[test]
fn no_slot_is_lost_to_a_silent_holder() {
    let (mut cluster, gone, disk) = with_lost_replica();
    let id = gone as u64 + 1;
    let old = cluster.replicas[gone].disk.id.clone();
    run(&mut cluster, 40);
    assert_eq!(admit(&mut cluster, &disk), Some(id));
    cluster.replicas[gone].disk = disk;
    cluster.start(gone);
    run(&mut cluster, 20);
    assert!(cluster.replicas[gone].raft.as_ref().unwrap().is_voter());
    assert_eq!(request_again(&mut cluster, &old, id), JoinDecision::SlotLost);
    cluster.replicas[gone].raft = None;
    run(&mut cluster, 80);
    assert_eq!(request_again(&mut cluster, &old, id), JoinDecision::Granted(id));
}

/// Guards against a lost member that operators do not see, since the group still decides.
#[test]
fn a_leader_counts_only_voters_that_it_is_in_contact_with() {
    let (mut cluster, gone, disk) = with_lost_replica();
    run(&mut cluster, 50);
    let voters = |cluster: &Cluster| {
        let raft = cluster.replicas[leader(cluster)].raft.as_ref().unwrap();
        (raft.voters_in_contact(cluster.now), raft.quorum(), raft.slots())
    };
    assert_eq!(voters(&cluster), (2, 2, 3));
    assert!(admit(&mut cluster, &disk).is_some());
    cluster.replicas[gone].disk = disk;
    cluster.start(gone);
    run(&mut cluster, 20);
    assert_eq!(voters(&cluster), (3, 2, 3));
}

/// Guards against a leader that stops and hands over to a lost replica, so that the group has no
/// leader until an election.
#[test]
fn leadership_is_transferred_to_no_lost_replica() {
    for lost in 0..3 {
        let mut cluster = Cluster::new();
        run(&mut cluster, 80);
        let first = leader(&cluster);
        if lost == first {
            continue;
        }
        cluster.replicas[lost].raft = None;
        run(&mut cluster, 8);
        let now = cluster.now;
        cluster.replicas[first].raft.as_mut().unwrap().transfer_leadership(now);
        run(&mut cluster, 4);
        assert_eq!(leader(&cluster), 3 - first - lost, "replica {lost} is lost");
    }
}

/// Guards against a replacement that loses its slot to another one because a new leader has no
/// record of its grant.
#[test]
fn a_slot_that_an_earlier_leader_granted_goes_to_no_other_replacement() {
    let mut cluster = Cluster::of(5, 5);
    run(&mut cluster, 80);
    let first = leader(&cluster);
    let mut lost = (0..5).filter(|i| *i != first);
    let [low, high] = [lost.next().unwrap(), lost.next().unwrap()];
    cluster.replicas[low].raft = None;
    cluster.replicas[high].raft = None;
    run(&mut cluster, 40);
    let [disk, other] = [0; 2].map(|_| cluster.new_disk());
    let (low, high) = (low as u64 + 1, high as u64 + 1);
    assert_eq!(admit(&mut cluster, &disk), Some(low));
    let now = cluster.now;
    cluster.replicas[first].raft.as_mut().unwrap().transfer_leadership(now);
    run(&mut cluster, 4);
    assert_ne!(leader(&cluster), first);
    assert_eq!(request_again(&mut cluster, &disk.id, low), JoinDecision::Deferred);
    run(&mut cluster, 30);
    assert_eq!(admit(&mut cluster, &other), Some(high));
    assert_eq!(request_again(&mut cluster, &disk.id, low), JoinDecision::Granted(low));
}

/// Guards against a healthy member that loses its slot because a new leader's messages reach it
/// late: its vote requests show that it runs.
#[test]
fn a_member_that_requests_votes_keeps_its_slot() {
    let mut cluster = Cluster::of_hosts(3, 3, 3);
    cluster.seeded = true;
    (0..3).for_each(|i| cluster.start(i));
    run(&mut cluster, 40);
    let i = leader(&cluster);
    let unreached = (i as u64 + 1) % 3 + 1;
    for _ in 0..40 {
        cluster.tick_all(50_000);
        for _ in 0..4 {
            for msg in std::mem::take(&mut cluster.in_flight) {
                if msg.from == i as u64 + 1 && msg.to == unreached {
                    continue;
                }
                cluster.in_flight.push(msg);
                let last = cluster.in_flight.len() - 1;
                cluster.deliver(last, false);
            }
        }
    }
    assert_eq!(leader(&cluster), i);
    let disk = cluster.new_disk();
    assert_eq!(admit(&mut cluster, &disk), None);
    cluster.replicas[unreached as usize - 1].raft = None;
    run(&mut cluster, 40);
    assert_eq!(admit(&mut cluster, &disk), Some(unreached));
}

/// Guards against a replacement that waits for the expiry of its own learner after it has started
/// again with a blank disk.
#[test]
fn a_learner_that_starts_again_with_another_disk_gets_its_slot_at_once() {
    let (mut cluster, gone, disk) = with_lost_replica();
    run(&mut cluster, 40);
    let id = gone as u64 + 1;
    assert_eq!(admit(&mut cluster, &disk), Some(id));
    let blank = cluster.new_disk();
    assert_eq!(request_slot_at(&mut cluster, OTHER_ADDRESS, &blank, false), None);
    assert_eq!(admit(&mut cluster, &blank), Some(id));
    assert_eq!(request_again(&mut cluster, &blank.id, id), JoinDecision::Granted(id));
}

/// Guards against the loss of a former replacement that keeps its slot from the next one for as long
/// as its admission would.
#[test]
fn a_replacement_that_is_lost_itself_is_replaced_as_soon_as_any_other() {
    let (mut cluster, gone, disk) = with_lost_replica();
    run(&mut cluster, 40);
    let id = gone as u64 + 1;
    assert_eq!(admit(&mut cluster, &disk), Some(id));
    cluster.replicas[gone].disk = disk;
    cluster.start(gone);
    run(&mut cluster, 20);
    assert!(cluster.replicas[gone].raft.as_ref().unwrap().is_voter());
    cluster.replicas[gone].raft = None;
    run(&mut cluster, 32);
    let next = cluster.new_disk();
    assert_eq!(request_slot_at(&mut cluster, OTHER_ADDRESS, &next, false), Some(id));
}

/// Guards against a grant that outlives its learner: a holder that has returned keeps its slot.
#[test]
fn a_learner_that_was_silent_for_long_gets_no_slot_whose_holder_has_returned() {
    let (mut cluster, gone, disk) = with_lost_replica();
    run(&mut cluster, 40);
    let id = gone as u64 + 1;
    assert_eq!(admit(&mut cluster, &disk), Some(id));
    run(&mut cluster, 80);
    cluster.start(gone);
    run(&mut cluster, 20);
    assert_eq!(admit(&mut cluster, &disk), None);
    assert_eq!(request_again(&mut cluster, &disk.id, id), JoinDecision::SlotLost);
}

#[test]
fn quorum_contact_ages_on_a_leader_in_a_minority() {
    let (mut cluster, gone, _) = with_lost_replica();
    let i = leader(&cluster);
    let third = 3 - gone - i;
    cluster.replicas[third].raft = None;
    run(&mut cluster, 12);
    let raft = cluster.replicas[i].raft.as_ref().unwrap();
    let age = raft.quorum_contact(cluster.now).age().expect("no quorum contact");
    assert!(age >= Duration::from_millis(500));
}

#[test]
fn entries_are_not_resent_without_bound_to_a_slow_learner() {
    let (mut cluster, gone, disk) = with_lost_replica();
    let i = leader(&cluster);
    for _ in 0..100 {
        cluster.propose(i);
        cluster.process_ready(i, None);
    }
    run(&mut cluster, 40);
    assert!(admit(&mut cluster, &disk).is_some());
    cluster.replicas[gone].disk = disk;
    cluster.start(gone);
    // Messages from the learner arrive; messages to it stay in flight.
    let mut sent = 0;
    for _ in 0..40 {
        cluster.tick_all(10_000);
        for msg in std::mem::take(&mut cluster.in_flight) {
            if msg.to == gone as u64 + 1 {
                if let RaftBody::Append { entries, .. } = &msg.body {
                    sent += entries.len();
                }
                if sent > 0 {
                    continue;
                }
            }
            cluster.in_flight.push(msg);
            let last = cluster.in_flight.len() - 1;
            cluster.deliver(last, false);
        }
    }
    let held = cluster.replicas[i].raft.as_ref().unwrap().log().last().index as usize;
    assert!(sent >= 100, "only {sent} entries sent");
    assert!(sent <= held * 3, "{sent} entries sent of {held}");
}

/// The leader's log no longer holds the first entries that a blank replica needs, and the snapshot
/// sent to it is lost. Another snapshot must follow even if no entry is proposed meanwhile.
#[test]
fn a_lost_snapshot_is_sent_again() {
    let (mut cluster, gone, disk) = with_lost_replica();
    let i = leader(&cluster);
    for _ in 0..6 {
        cluster.propose(i);
        cluster.process_ready(i, None);
    }
    run(&mut cluster, 40);
    cluster.compact(i);
    assert!(admit(&mut cluster, &disk).is_some());
    cluster.replicas[gone].disk = disk;
    cluster.start(gone);
    let mut lost = 0;
    while lost == 0 {
        cluster.tick_all(50_000);
        for msg in std::mem::take(&mut cluster.in_flight) {
            if matches!(msg.body, RaftBody::Install { .. }) {
                lost += 1;
                continue;
            }
            cluster.in_flight.push(msg);
            let last = cluster.in_flight.len() - 1;
            cluster.deliver(last, false);
        }
    }
    run(&mut cluster, 200);
    assert!(cluster.replicas[gone].raft.as_ref().unwrap().is_voter());
}

/// A group of five with only three filled slots must not vacate one of them: no quorum would be
/// left to fill it again.
#[test]
fn no_slot_is_vacated_that_the_quorum_needs() {
    let mut cluster = Cluster::of(5, 3);
    run(&mut cluster, 80);
    let i = leader(&cluster);
    let other = (0..3).find(|other| *other != i).unwrap();
    // A joining replica runs under the number of a bootstrap replica that is silent for a while.
    cluster.replicas[other].raft = None;
    run(&mut cluster, 2);
    let old = cluster.replicas[other].disk.clone();
    cluster.replicas[other].disk = cluster.new_disk();
    cluster.start(other);
    run(&mut cluster, 60);
    cluster.replicas[other].raft = None;
    cluster.replicas[other].disk = old;
    cluster.start(other);
    run(&mut cluster, 80);
    let before = cluster.committed.len();
    let i = leader(&cluster);
    cluster.propose(i);
    cluster.process_ready(i, None);
    run(&mut cluster, 20);
    assert!(cluster.committed.len() > before, "the group accepts no entries");
}

#[test]
fn a_long_log_is_sent_in_messages_of_bounded_size() {
    const TABLE_BYTES: usize = 30_000;
    let (mut cluster, gone, disk) = with_lost_replica();
    let i = leader(&cluster);
    for _ in 0..30 {
        let raft = cluster.replicas[i].raft.as_mut().unwrap();
        let packed = "x".repeat(TABLE_BYTES);
        raft.propose(Command::ReplaceRoutes { packed, number: 0 }).unwrap();
        raft.flush(cluster.now);
        cluster.process_ready(i, None);
        run(&mut cluster, 2);
    }
    run(&mut cluster, 40);
    assert!(admit(&mut cluster, &disk).is_some());
    cluster.replicas[gone].disk = disk;
    cluster.start(gone);
    for _ in 0..400 {
        cluster.tick_all(10_000);
        for msg in std::mem::take(&mut cluster.in_flight) {
            let bytes = serde_json::to_string(&msg).unwrap().len();
            assert!(bytes <= 12 * TABLE_BYTES, "a message of {bytes} bytes");
            cluster.in_flight.push(msg);
            let last = cluster.in_flight.len() - 1;
            cluster.deliver(last, false);
        }
    }
    let raft = |i: usize| cluster.replicas[i].raft.as_ref().unwrap();
    assert!(raft(gone).is_voter(), "the learner has not caught up");
    assert_eq!(raft(gone).commit(), raft(i).commit());
}

/// A leader's own request may be forwarded back to it.
#[test]
fn a_leader_grants_no_slot_to_its_own_address() {
    let mut cluster = Cluster::of(5, 3);
    run(&mut cluster, 80);
    let i = leader(&cluster);
    let now = cluster.now;
    let own = cluster.replicas[i].disk.id.clone();
    let raft = cluster.replicas[i].raft.as_mut().unwrap();
    let address = address(i);
    let mut ask = |disk: &str, runs_as: Option<u64>| {
        let failure_domain = &failure_domain(i);
        let joining =
            JoiningReplica { address: &address, disk, failure_domain, stands_by: true, runs_as };
        raft.admit(now, joining)
    };
    let own_slot = i as u64 + 1;
    assert_eq!(ask(&own, None), JoinDecision::Granted(own_slot));
    assert_eq!(ask(&own, Some(own_slot)), JoinDecision::Granted(own_slot));
    assert_eq!(ask("another disk", None), JoinDecision::Deferred);
    assert_eq!(ask("another disk", Some(4)), JoinDecision::Deferred);
}

/// Requests a slot for a standby replica on the host with this index.
fn request_standby_slot(
    cluster: &mut Cluster,
    disk: &Disk,
    host: usize,
    failure_domain: &str,
) -> JoinDecision {
    let now = cluster.now;
    let i = leader(cluster);
    let address = &address(host);
    let joining =
        JoiningReplica { address, disk: &disk.id, failure_domain, stands_by: true, runs_as: None };
    cluster.replicas[i].raft.as_mut().unwrap().admit(now, joining)
}

/// Five slots, three of them filled at bootstrap; the first replica to ask is in a failure domain
/// that already holds a slot.
#[test]
fn vacant_slots_go_to_failure_domains_that_hold_none() {
    let mut cluster = Cluster::of(5, 3);
    run(&mut cluster, 80);
    let [first, second, third, fourth] = [0; 4].map(|_| cluster.new_disk());
    let held_domain = failure_domain(0);
    assert_eq!(
        request_standby_slot(&mut cluster, &first, 10, &held_domain),
        JoinDecision::Deferred
    );
    assert_eq!(
        request_standby_slot(&mut cluster, &second, 11, "elsewhere"),
        JoinDecision::Granted(4)
    );
    assert_eq!(
        request_standby_slot(&mut cluster, &third, 12, "elsewhere"),
        JoinDecision::Deferred,
        "its failure domain has a learner"
    );
    assert_eq!(
        request_standby_slot(&mut cluster, &fourth, 13, "yet elsewhere"),
        JoinDecision::Granted(5)
    );
    assert_eq!(
        request_standby_slot(&mut cluster, &first, 10, &held_domain),
        JoinDecision::Deferred,
        "no slot is left"
    );
}

#[test]
fn a_vacant_slot_goes_to_a_failure_domain_that_holds_one_if_no_other_asks() {
    let mut cluster = Cluster::of(5, 3);
    run(&mut cluster, 80);
    let disk = cluster.new_disk();
    let held_domain = failure_domain(1);
    for _ in 0..20 {
        assert_eq!(
            request_standby_slot(&mut cluster, &disk, 10, &held_domain),
            JoinDecision::Deferred
        );
        run(&mut cluster, 1);
    }
    assert_eq!(
        request_standby_slot(&mut cluster, &disk, 10, &held_domain),
        JoinDecision::Granted(4)
    );
}

/// The slot of a lost bootstrap replica is reserved for its own failure domain, which holds no
/// other.
#[test]
fn the_slot_of_a_lost_replica_goes_to_its_own_failure_domain() {
    let mut cluster = Cluster::of(5, 3);
    run(&mut cluster, 80);
    for (number, domain) in [(4, "fourth"), (5, "fifth")] {
        let disk = cluster.replicas[number - 1].disk.clone();
        let granted = request_standby_slot(&mut cluster, &disk, number - 1, domain);
        assert_eq!(granted, JoinDecision::Granted(number as u64));
    }
    run(&mut cluster, 80);
    let gone = (leader(&cluster) + 1) % 3;
    let lost = failure_domain(gone);
    cluster.replicas[gone].raft = None;
    run(&mut cluster, 220);
    let [far, near] = [0; 2].map(|_| cluster.new_disk());
    assert_eq!(request_standby_slot(&mut cluster, &far, 10, "fourth"), JoinDecision::Deferred);
    let granted = JoinDecision::Granted(gone as u64 + 1);
    assert_eq!(request_standby_slot(&mut cluster, &near, 11, &lost), granted);
}

/// A replacement must not wait until a standby replica of another failure domain may have the slot.
#[test]
fn a_replacement_of_a_lost_host_waits_for_no_other_failure_domain() {
    let (mut cluster, gone, disk) = with_lost_replica();
    run(&mut cluster, 40);
    let standby = cluster.new_disk();
    assert_eq!(
        request_standby_slot(&mut cluster, &standby, 11, "elsewhere"),
        JoinDecision::Deferred,
        "too early"
    );
    let i = leader(&cluster);
    let (now, failure_domain) = (cluster.now, failure_domain(i));
    let joining = JoiningReplica {
        address: NEW_ADDRESS,
        disk: &disk.id,
        failure_domain: &failure_domain,
        stands_by: false,
        runs_as: None,
    };
    let granted = cluster.replicas[i].raft.as_mut().unwrap().admit(now, joining);
    assert_eq!(granted, JoinDecision::Granted(gone as u64 + 1));
}
