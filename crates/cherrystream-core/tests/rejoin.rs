//! Guards the schedule of join requests, and the condition for discarding data.

use cherrystream_core::raft::rejoin::{self, JoinTimer, PlaceView, QuorumContact};
use cherrystream_core::units::Timestamp;
use std::time::Duration;

fn heard(millis: u64) -> QuorumContact {
    QuorumContact::Heard { age: Duration::from_millis(millis) }
}

/// Returns the milliseconds at which a replica with a constant view sends join requests.
fn asks(view: PlaceView, until: u64) -> Vec<u64> {
    let mut timer = JoinTimer::new(Timestamp::default());
    let due = |ms: &u64| timer.is_due(Timestamp::from_millis(*ms), view);
    (0..until).step_by(100).filter(due).collect()
}

/// A voter without quorum contact since its start must not ask at once: its first election may
/// still be running.
#[test]
fn a_voter_asks_only_after_a_long_time_without_quorum_contact() {
    let view = |word| PlaceView { leads: false, votes: true, word };
    assert_eq!(asks(view(QuorumContact::NotYet), 5_000), [3_000]);
    assert_eq!(asks(view(heard(100)), 5_000), [0_u64; 0]);
    assert_eq!(asks(view(heard(3_000)), 5_000), [2_000, 4_000]);
}

#[test]
fn a_replica_without_voting_disk_asks_often_and_a_leader_never() {
    let view = |leads, votes| PlaceView { leads, votes, word: QuorumContact::NotYet };
    assert_eq!(asks(view(false, false), 1_300), [400, 800, 1_200]);
    assert_eq!(asks(view(true, true), 10_000), [0_u64; 0]);
    assert_eq!(asks(view(true, false), 10_000), [0_u64; 0]);
}

#[test]
fn a_member_of_a_working_quorum_keeps_its_data() {
    let may = |leads, votes, word| rejoin::may_discard_data(PlaceView { leads, votes, word });
    assert!(!may(true, true, heard(0)));
    assert!(!may(true, false, QuorumContact::NotYet));
    assert!(!may(false, true, heard(500)));
    assert!(may(false, true, heard(4_000)), "another replica may hold its slot");
    assert!(may(false, false, heard(0)), "the quorum it is in contact with gave its slot away");
}
