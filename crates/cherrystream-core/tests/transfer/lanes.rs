//! Send queue to one replica: order, limits and obsolete messages.

use cherrystream_core::transfer::Outbox;
use cherrystream_core::units::Timestamp;
use cherrystream_schema::messages::{Command, Entry, Members, RaftBody, RaftMessage, Snapshot};
use std::collections::BTreeMap;
use std::time::Duration;

/// Size in bytes of an entry that is sent in pieces.
const LONG: usize = 100_000;
const START: Timestamp = Timestamp(0);

fn message(term: u64, body: RaftBody) -> RaftMessage {
    RaftMessage { from: 1, to: 2, disk: "a".into(), term, body }
}

/// Returns a message with entries from index `first` on, with tables of the given sizes.
fn entries(first: u64, sizes: &[usize]) -> RaftMessage {
    let entry = |(i, size): (usize, &usize)| Entry {
        term: 1,
        index: first + i as u64,
        command: Command::ReplaceRoutes { packed: "x".repeat(*size), number: 1 },
    };
    let entries = sizes.iter().enumerate().map(entry).collect();
    append(first - 1, entries)
}

fn append(prev_index: u64, entries: Vec<Entry>) -> RaftMessage {
    message(1, RaftBody::Append { prev_index, prev_term: 1, entries, commit: 0, round: 1 })
}

fn snapshot(term: u64, index: u64, bytes: usize) -> RaftMessage {
    let members = Members {
        disks: BTreeMap::new(),
        addresses: BTreeMap::new(),
        failure_domains: BTreeMap::new(),
    };
    let snapshot = Snapshot { term: 1, index, members, state: "x".repeat(bytes) };
    message(term, RaftBody::Install { snapshot, round: 9 })
}

/// Returns the previous index and the indexes of the entries.
fn indexes(msg: &RaftMessage) -> (u64, Vec<u64>) {
    let RaftBody::Append { prev_index, entries, .. } = &msg.body else { panic!("{msg:?}") };
    (*prev_index, entries.iter().map(|e| e.index).collect())
}

fn short(outbox: &mut Outbox) -> Vec<(u64, Vec<u64>)> {
    let taken = outbox.take_short().iter().map(indexes).collect();
    outbox.finish_short(true);
    taken
}

fn outbox(messages: Vec<RaftMessage>) -> Outbox {
    let mut outbox = Outbox::default();
    messages.into_iter().for_each(|msg| outbox.push(START, msg));
    outbox
}

#[test]
fn short_entries_are_sent_as_short_messages() {
    let mut outbox = outbox(vec![entries(5, &[10, 10])]);
    assert_eq!(short(&mut outbox), vec![(4, vec![5, 6])]);
    assert_eq!(outbox.take_long(), None);
}

#[test]
fn long_entries_queue_a_heartbeat_among_the_short_messages() {
    let mut outbox = outbox(vec![entries(5, &[LONG])]);
    assert_eq!(short(&mut outbox), vec![(4, vec![])]);
    assert_eq!(indexes(&outbox.take_long().unwrap()), (4, vec![5]));
}

/// Guards against entries that the replica rejects because they overtake earlier ones.
#[test]
fn entries_after_long_ones_wait_for_them() {
    let mut outbox = outbox(vec![entries(5, &[LONG]), entries(6, &[10]), entries(7, &[10])]);
    assert_eq!(short(&mut outbox), vec![(4, vec![])]);
    assert_eq!(indexes(&outbox.take_long().unwrap()), (4, vec![5, 6, 7]));
}

#[test]
fn long_entries_wait_for_short_ones_before_them() {
    let mut outbox = outbox(vec![entries(5, &[10]), entries(6, &[LONG])]);
    assert_eq!(outbox.take_long(), None);
    let call = outbox.take_short();
    assert_eq!(call.len(), 2, "the entry and the heartbeat");
    assert_eq!(outbox.take_long(), None, "the call is in flight");
    outbox.finish_short(true);
    assert_eq!(indexes(&outbox.take_long().unwrap()), (5, vec![6]));
}

#[test]
fn entries_in_flight_are_not_sent_again() {
    let mut outbox = outbox(vec![entries(5, &[LONG, LONG])]);
    short(&mut outbox);
    outbox.take_long();
    outbox.push(START, entries(5, &[LONG, LONG]));
    outbox.push(START, entries(5, &[LONG, LONG, LONG]));
    assert_eq!(short(&mut outbox), vec![(4, vec![])], "one heartbeat, not ahead of the entries");
    assert!(!outbox.is_abandoned());
    outbox.finish_long(START, true);
    assert_eq!(indexes(&outbox.take_long().unwrap()), (6, vec![7]));
}

#[test]
fn delivered_entries_are_not_sent_again_before_the_timeout() {
    let mut outbox = outbox(vec![entries(5, &[LONG])]);
    short(&mut outbox);
    outbox.take_long();
    outbox.finish_long(START, true);
    outbox.push(START, entries(5, &[LONG]));
    assert_eq!(outbox.take_long(), None);
    outbox.push(START + Duration::from_millis(250), entries(5, &[LONG]));
    short(&mut outbox);
    assert_eq!(indexes(&outbox.take_long().unwrap()), (4, vec![5]));
}

#[test]
fn a_heartbeat_abandons_transfers_of_acknowledged_entries() {
    let mut outbox = outbox(vec![entries(5, &[LONG])]);
    short(&mut outbox);
    outbox.take_long();
    outbox.push(START, append(4, Vec::new()));
    assert!(!outbox.is_abandoned());
    outbox.push(START, append(5, Vec::new()));
    assert!(outbox.is_abandoned());
}

#[test]
fn lost_entries_before_long_ones_are_sent_first() {
    let mut outbox = outbox(vec![entries(7, &[LONG])]);
    short(&mut outbox);
    outbox.take_long();
    outbox.push(START, entries(5, &[10, 10, LONG]));
    assert!(!outbox.is_abandoned());
    assert_eq!(short(&mut outbox), vec![(4, vec![]), (4, vec![5, 6])]);
}

#[test]
fn a_replica_that_lost_its_log_receives_all_entries() {
    let mut outbox = outbox(vec![entries(7, &[LONG])]);
    short(&mut outbox);
    outbox.take_long();
    outbox.push(START, entries(5, &[LONG, LONG, LONG]));
    assert!(outbox.is_abandoned());
    outbox.finish_long(START, false);
    short(&mut outbox);
    assert_eq!(indexes(&outbox.take_long().unwrap()), (4, vec![5, 6, 7]));
}

#[test]
fn the_lane_has_no_gaps() {
    let mut outbox = outbox(vec![entries(5, &[LONG]), entries(7, &[LONG])]);
    assert_eq!(outbox.take_dropped(), 1);
    short(&mut outbox);
    outbox.take_long();
    assert_eq!(outbox.take_long(), None);
}

#[test]
fn the_lane_is_bounded() {
    let mut outbox = Outbox::default();
    for index in 1..200 {
        outbox.push(START, entries(index, &[LONG]));
    }
    assert!(outbox.take_dropped() > 100);
    short(&mut outbox);
    let mut bytes = 0;
    while let Some(msg) = outbox.take_long() {
        bytes += cherrystream_core::raft::message_bytes(&msg);
        outbox.finish_long(START, true);
    }
    assert!(bytes <= 4 << 20, "{bytes}");
}

#[test]
fn entries_of_an_earlier_term_are_dropped() {
    let mut outbox = outbox(vec![entries(5, &[LONG]), entries(6, &[LONG])]);
    short(&mut outbox);
    outbox.take_long();
    let heartbeat =
        RaftBody::Append { prev_index: 4, prev_term: 1, entries: vec![], commit: 0, round: 1 };
    outbox.push(START, message(2, heartbeat));
    assert!(outbox.is_abandoned());
    outbox.finish_long(START, false);
    assert_eq!(outbox.take_long(), None);
}

/// A snapshot holds only committed state, so its transfer stays valid after an election.
#[test]
fn a_snapshot_continues_in_the_next_term_of_the_same_leader() {
    let mut outbox = outbox(vec![snapshot(1, 50, LONG)]);
    let msg = outbox.take_long().unwrap();
    assert!(matches!(msg.body, RaftBody::Install { round: 0, .. }));
    outbox.push(START, message(2, append(50, Vec::new()).body));
    assert!(!outbox.is_abandoned());
    assert_eq!(outbox.term(), 2);
}

#[test]
fn a_newer_snapshot_replaces_one_in_flight_only_if_it_completes_sooner() {
    let mut outbox = outbox(vec![snapshot(1, 50, LONG)]);
    outbox.take_long();
    outbox.set_share_left(0.5);
    outbox.push(START, snapshot(1, 60, LONG));
    assert!(!outbox.is_abandoned());
    assert_eq!(outbox.snapshot_index(START), Some(50));
    outbox.push(START, snapshot(1, 70, LONG / 4));
    assert!(outbox.is_abandoned());
    assert_eq!(outbox.snapshot_index(START), Some(70));
}

#[test]
fn a_delivered_snapshot_is_not_sent_again_before_the_timeout() {
    let mut outbox = outbox(vec![snapshot(1, 50, LONG)]);
    assert_eq!(outbox.snapshot_index(START), Some(50));
    outbox.take_long();
    assert_eq!(outbox.snapshot_index(START), Some(50));
    outbox.finish_long(START, true);
    assert_eq!(outbox.snapshot_index(START), Some(50));
    assert_eq!(outbox.snapshot_index(START + Duration::from_secs(2)), None);
}

#[test]
fn a_change_of_leader_abandons_the_transfers() {
    let mut outbox = outbox(vec![snapshot(1, 50, LONG)]);
    outbox.take_long();
    outbox.drop_long();
    assert!(outbox.is_abandoned());
    assert_eq!(outbox.snapshot_index(START), None);
}

/// Guards against calls of short messages that always time out on a slow link.
#[test]
fn failed_calls_reduce_the_size_of_short_messages() {
    let mut outbox = Outbox::default();
    for _ in 0..10 {
        outbox.take_short();
        outbox.finish_short(false);
    }
    outbox.push(START, entries(5, &[10, 5_000]));
    assert_eq!(outbox.take_short().iter().map(indexes).collect::<Vec<_>>(), vec![(4, vec![])]);
    outbox.finish_short(true);
    assert_eq!(indexes(&outbox.take_long().unwrap()), (4, vec![5, 6]));
    outbox.finish_long(START, true);
    outbox.push(START, entries(7, &[5_000]));
    assert_eq!(short(&mut outbox), vec![(6, vec![7])]);
}

/// Guards against reads that wait for the entries of a call on a slow link, because the heartbeat
/// that confirms them is sent behind it, and against a heartbeat that is rejected because it is ahead
/// of these entries.
#[test]
fn a_heartbeat_overtakes_the_entries_in_the_call_in_flight() {
    let mut outbox = outbox(vec![entries(5, &[30_000])]);
    assert_eq!(outbox.take_short().iter().map(indexes).collect::<Vec<_>>(), [(4, vec![5])]);
    outbox.push(START, append(5, Vec::new()));
    let overtaking = outbox.take_overtaking_heartbeat();
    assert_eq!(overtaking.as_ref().map(indexes), Some((4, Vec::new())));
    assert!(!outbox.has_short());
    // One that is known to be held is not changed.
    outbox.push(START, append(2, Vec::new()));
    assert_eq!(outbox.take_overtaking_heartbeat().as_ref().map(indexes), Some((2, Vec::new())));
    outbox.finish_short(true);
    outbox.push(START, append(5, Vec::new()));
    assert_eq!(outbox.take_overtaking_heartbeat(), None);
    assert_eq!(short(&mut outbox), [(5, Vec::new())]);
}

/// Guards against a heartbeat that waits for queued entries while the link is unreachable.
#[test]
fn a_heartbeat_overtakes_queued_entries() {
    let mut outbox = outbox(vec![entries(5, &[30_000]), append(5, Vec::new())]);
    assert_eq!(outbox.take_overtaking_heartbeat().as_ref().map(indexes), Some((4, Vec::new())));
    assert_eq!(short(&mut outbox), [(4, vec![5])]);
}
