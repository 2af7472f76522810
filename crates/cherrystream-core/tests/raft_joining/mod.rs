//! Replaced hosts: a newcomer on another address takes the number of a replica that is gone.

use super::raft_cluster::{Disk, World, address, failure_domain};
use cherrystream_core::raft::{Admission, Newcomer, Raft};
use cherrystream_schema::messages::{Command, RaftBody};

use std::time::Duration;

const NEW_ADDRESS: &str = "10.0.0.9:7000";

/// Lets time pass and delivers everything.
fn run(world: &mut World, rounds: usize) {
    for _ in 0..rounds {
        world.pass_calmly();
    }
}

fn leader(world: &World) -> usize {
    let leads = |raft: Option<&Raft>| raft.is_some_and(Raft::is_leader);
    world.replicas.iter().position(|r| leads(r.raft.as_ref())).expect("nobody leads")
}

fn admit(world: &mut World, disk: &Disk) -> Option<u64> {
    ask(world, disk, false)
}

fn ask(world: &mut World, disk: &Disk, stands_by: bool) -> Option<u64> {
    let now = world.now;
    let i = leader(world);
    let newcomer = Newcomer {
        address: NEW_ADDRESS,
        disk: &disk.id,
        failure_domain: "",
        stands_by,
        runs_as: None,
    };
    match world.replicas[i].raft.as_mut().unwrap().admit(now, newcomer) {
        Admission::Granted(replica) => Some(replica),
        Admission::NotNow | Admission::Lost => None,
    }
}

/// A group of three whose replica `.1` is gone for good, and the disk of a newcomer.
fn with_one_gone() -> (World, usize, Disk) {
    let mut world = World::new();
    run(&mut world, 80);
    let first = leader(&world);
    world.propose(first);
    world.work_off(first, None);
    run(&mut world, 10);
    let gone = (first + 1) % 3;
    world.replicas[gone].raft = None;
    let disk = world.new_disk();
    (world, gone, disk)
}

#[test]
fn a_newcomer_waits_while_no_replica_is_silent() {
    let (mut world, _, disk) = with_one_gone();
    assert_eq!(admit(&mut world, &disk), None, "a restart is shorter");
    run(&mut world, 40);
    assert!(admit(&mut world, &disk).is_some());
}

/// A restart that takes some seconds must not cost a replica its place.
#[test]
fn one_that_stands_by_waits_longer_for_the_place_of_a_silent_replica() {
    let (mut world, gone, disk) = with_one_gone();
    run(&mut world, 100);
    assert_eq!(ask(&mut world, &disk, true), None);
    run(&mut world, 120);
    assert_eq!(ask(&mut world, &disk, true), Some(gone as u64 + 1));
}

#[test]
fn one_that_stands_by_takes_a_vacant_place_at_once() {
    let mut world = World::of(5, 3);
    run(&mut world, 80);
    let disk = world.new_disk();
    assert_eq!(ask(&mut world, &disk, true), Some(4));
    assert_eq!(ask(&mut world, &disk, true), Some(4), "asked again");
    let other = world.new_disk();
    assert_eq!(ask(&mut world, &other, true), Some(5));
}

#[test]
fn a_newcomer_takes_the_place_of_a_replica_that_is_gone() {
    let (mut world, gone, disk) = with_one_gone();
    run(&mut world, 40);
    assert_eq!(admit(&mut world, &disk), Some(gone as u64 + 1));
    let other = world.new_disk();
    assert_eq!(admit(&mut world, &other), None, "the place is taken");
    let old = std::mem::replace(&mut world.replicas[gone].disk, disk);
    world.start(gone);
    run(&mut world, 60);
    let now = world.now;
    let i = leader(&world);
    let known = |world: &World, i: usize| {
        let raft = world.replicas[i].raft.as_ref().unwrap();
        assert!(raft.is_voter());
        raft.address_of(now, gone as u64 + 1)
    };
    for i in 0..3 {
        assert_eq!(known(&world, i).as_deref(), Some(NEW_ADDRESS));
    }
    // The old disk counts no more, also where the newcomer is lost as well.
    world.replicas[gone].raft = None;
    world.replicas[gone].disk = old;
    world.start(gone);
    let third = 3 - gone - i;
    world.replicas[third].raft = None;
    let before = world.committed.len();
    run(&mut world, 80);
    assert_eq!(world.committed.len(), before, "a replaced disk helped to commit");
}

#[test]
fn the_word_of_a_quorum_grows_old_on_a_minority_side() {
    let (mut world, gone, _) = with_one_gone();
    let i = leader(&world);
    let third = 3 - gone - i;
    world.replicas[third].raft = None;
    run(&mut world, 12);
    let raft = world.replicas[i].raft.as_ref().unwrap();
    let age = raft.quorum_word(world.now).age().expect("no word");
    assert!(age >= Duration::from_millis(500));
}

#[test]
fn a_replica_that_catches_up_slowly_is_not_flooded() {
    let (mut world, gone, disk) = with_one_gone();
    let i = leader(&world);
    for _ in 0..100 {
        world.propose(i);
        world.work_off(i, None);
    }
    run(&mut world, 40);
    assert!(admit(&mut world, &disk).is_some());
    world.replicas[gone].disk = disk;
    world.start(gone);
    // What the newcomer says arrives; what it is sent is still on its way.
    let mut sent = 0;
    for _ in 0..40 {
        world.tick_all(10_000);
        for msg in std::mem::take(&mut world.bag) {
            if msg.to == gone as u64 + 1 {
                if let RaftBody::Append { entries, .. } = &msg.body {
                    sent += entries.len();
                }
                if sent > 0 {
                    continue;
                }
            }
            world.bag.push(msg);
            let last = world.bag.len() - 1;
            world.deliver(last, false);
        }
    }
    let held = world.replicas[i].raft.as_ref().unwrap().log().last().index as usize;
    assert!(sent >= 100, "{sent}");
    assert!(sent <= held * 3, "{sent} entries sent of {held}");
}

/// The leader's log no longer holds what a blank replica needs first, and the snapshot that it is sent
/// is lost: it must be sent another one, also when nobody proposes anything meanwhile.
#[test]
fn a_snapshot_that_was_lost_on_its_way_is_sent_again() {
    let (mut world, gone, disk) = with_one_gone();
    let i = leader(&world);
    for _ in 0..6 {
        world.propose(i);
        world.work_off(i, None);
    }
    run(&mut world, 40);
    world.compact(i);
    assert!(admit(&mut world, &disk).is_some());
    world.replicas[gone].disk = disk;
    world.start(gone);
    let mut lost = 0;
    while lost == 0 {
        world.tick_all(50_000);
        for msg in std::mem::take(&mut world.bag) {
            if matches!(msg.body, RaftBody::Install { .. }) {
                lost += 1;
                continue;
            }
            world.bag.push(msg);
            let last = world.bag.len() - 1;
            world.deliver(last, false);
        }
    }
    run(&mut world, 200);
    assert!(world.replicas[gone].raft.as_ref().unwrap().is_voter());
}

/// A group of five of which only three have places filled must not vacate one of these: nobody could
/// fill it again.
#[test]
fn no_place_is_vacated_that_the_quorum_needs() {
    let mut world = World::of(5, 3);
    run(&mut world, 80);
    let i = leader(&world);
    let other = (0..3).find(|other| *other != i).unwrap();
    // A newcomer runs under the number of a founder that is silent for a while.
    world.replicas[other].raft = None;
    run(&mut world, 2);
    let old = world.replicas[other].disk.clone();
    world.replicas[other].disk = world.new_disk();
    world.start(other);
    run(&mut world, 60);
    world.replicas[other].raft = None;
    world.replicas[other].disk = old;
    world.start(other);
    run(&mut world, 80);
    let before = world.committed.len();
    let i = leader(&world);
    world.propose(i);
    world.work_off(i, None);
    run(&mut world, 20);
    assert!(world.committed.len() > before, "the group accepts nothing any more");
}

#[test]
fn a_long_log_travels_in_messages_of_bounded_size() {
    const TABLE_BYTES: usize = 30_000;
    let (mut world, gone, disk) = with_one_gone();
    let i = leader(&world);
    for _ in 0..30 {
        let raft = world.replicas[i].raft.as_mut().unwrap();
        let packed = "x".repeat(TABLE_BYTES);
        raft.propose(Command::ReplaceRoutes { packed, number: 0 }).unwrap();
        raft.flush(world.now);
        world.work_off(i, None);
        run(&mut world, 2);
    }
    run(&mut world, 40);
    assert!(admit(&mut world, &disk).is_some());
    world.replicas[gone].disk = disk;
    world.start(gone);
    for _ in 0..400 {
        world.tick_all(10_000);
        for msg in std::mem::take(&mut world.bag) {
            let bytes = serde_json::to_string(&msg).unwrap().len();
            assert!(bytes <= 12 * TABLE_BYTES, "a message of {bytes} bytes");
            world.bag.push(msg);
            let last = world.bag.len() - 1;
            world.deliver(last, false);
        }
    }
    let raft = |i: usize| world.replicas[i].raft.as_ref().unwrap();
    assert!(raft(gone).is_voter(), "the newcomer has not caught up");
    assert_eq!(raft(gone).commit(), raft(i).commit());
}

/// A leader is asked for a place by itself: its own question came round to it by another replica.
#[test]
fn a_leader_never_gives_a_place_to_its_own_address() {
    let mut world = World::of(5, 3);
    run(&mut world, 80);
    let i = leader(&world);
    let now = world.now;
    let own = world.replicas[i].disk.id.clone();
    let raft = world.replicas[i].raft.as_mut().unwrap();
    let address = address(i);
    let mut ask = |disk: &str, runs_as: Option<u64>| {
        let failure_domain = &failure_domain(i);
        let newcomer =
            Newcomer { address: &address, disk, failure_domain, stands_by: true, runs_as };
        raft.admit(now, newcomer)
    };
    let own_place = i as u64 + 1;
    assert_eq!(ask(&own, None), Admission::Granted(own_place));
    assert_eq!(ask(&own, Some(own_place)), Admission::Granted(own_place));
    assert_eq!(ask("another disk", None), Admission::NotNow);
    assert_eq!(ask("another disk", Some(4)), Admission::NotNow);
}

/// A replica that stands by in a failure domain asks for a place; its host has this number.
fn stand_by(world: &mut World, disk: &Disk, host: usize, failure_domain: &str) -> Admission {
    let now = world.now;
    let i = leader(world);
    let address = &address(host);
    let newcomer =
        Newcomer { address, disk: &disk.id, failure_domain, stands_by: true, runs_as: None };
    world.replicas[i].raft.as_mut().unwrap().admit(now, newcomer)
}

/// Load: five places founded by three; the first to ask is of a failure domain that holds a place already.
#[test]
fn vacant_places_go_to_failure_domains_that_hold_none() {
    let mut world = World::of(5, 3);
    run(&mut world, 80);
    let [first, second, third, fourth] = [0; 4].map(|_| world.new_disk());
    let founder = failure_domain(0);
    assert_eq!(stand_by(&mut world, &first, 10, &founder), Admission::NotNow);
    assert_eq!(stand_by(&mut world, &second, 11, "elsewhere"), Admission::Granted(4));
    assert_eq!(stand_by(&mut world, &third, 12, "elsewhere"), Admission::NotNow, "promised");
    assert_eq!(stand_by(&mut world, &fourth, 13, "yet elsewhere"), Admission::Granted(5));
    assert_eq!(stand_by(&mut world, &first, 10, &founder), Admission::NotNow, "none is left");
}

#[test]
fn a_vacant_place_goes_to_a_failure_domain_that_holds_one_where_no_other_asks() {
    let mut world = World::of(5, 3);
    run(&mut world, 80);
    let disk = world.new_disk();
    let founder = failure_domain(1);
    for _ in 0..20 {
        assert_eq!(stand_by(&mut world, &disk, 10, &founder), Admission::NotNow);
        run(&mut world, 1);
    }
    assert_eq!(stand_by(&mut world, &disk, 10, &founder), Admission::Granted(4));
}

/// The place of a founder that is gone is left to its own failure domain, which holds no other.
#[test]
fn the_place_of_a_lost_replica_goes_to_the_failure_domain_that_lost_it() {
    let mut world = World::of(5, 3);
    run(&mut world, 80);
    for (number, domain) in [(4, "fourth"), (5, "fifth")] {
        let disk = world.replicas[number - 1].disk.clone();
        let granted = stand_by(&mut world, &disk, number - 1, domain);
        assert_eq!(granted, Admission::Granted(number as u64));
    }
    run(&mut world, 80);
    let gone = (leader(&world) + 1) % 3;
    let lost = failure_domain(gone);
    world.replicas[gone].raft = None;
    run(&mut world, 220);
    let [far, near] = [0; 2].map(|_| world.new_disk());
    assert_eq!(stand_by(&mut world, &far, 10, "fourth"), Admission::NotNow);
    let place = Admission::Granted(gone as u64 + 1);
    assert_eq!(stand_by(&mut world, &near, 11, &lost), place);
}

/// A host that replaces a lost one must not wait until one that stands by elsewhere may have the place.
#[test]
fn one_that_replaces_a_lost_host_waits_for_no_other_failure_domain() {
    let (mut world, gone, disk) = with_one_gone();
    run(&mut world, 40);
    let standing_by = world.new_disk();
    assert_eq!(stand_by(&mut world, &standing_by, 11, "elsewhere"), Admission::NotNow, "too early");
    let i = leader(&world);
    let (now, failure_domain) = (world.now, failure_domain(i));
    let newcomer = Newcomer {
        address: NEW_ADDRESS,
        disk: &disk.id,
        failure_domain: &failure_domain,
        stands_by: false,
        runs_as: None,
    };
    let granted = world.replicas[i].raft.as_mut().unwrap().admit(now, newcomer);
    assert_eq!(granted, Admission::Granted(gone as u64 + 1));
}
