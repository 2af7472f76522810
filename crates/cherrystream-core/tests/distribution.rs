//! Distribution of the shared state: encoded updates, downloads and fetch scheduling.

use arbtest::arbtest;
use cherrystream_core::distribution::{
    BatchSchedule, ChunkError, ChunkOutcome, Download, EncodedUpdate, FetchScheduler, FetchSource,
    MAX_UPDATE_BYTES, Requester, UpdateCache,
};
use cherrystream_core::shared;
use cherrystream_core::state::{ControlState, UpdateKind};
use cherrystream_core::units::{Revision, Timestamp};
use cherrystream_schema::messages::{Change, Command, Entry, HostRecord, StateId, Update};
use std::time::Duration;

const WITHIN: Duration = Duration::from_secs(2);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn revision(index: u64) -> Revision {
    Revision { term: 1, index }
}

fn host(n: u64) -> Change {
    let record = HostRecord {
        host: format!("h{n}"),
        failure_domain: "a".into(),
        region: "r".into(),
        peer_address: format!("10.0.0.{n}:1"),
        incarnation: n.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        leaving: false,
    };
    Change::PutHost { record }
}

/// Returns a state with a number of hosts.
fn state(hosts: u64) -> ControlState {
    let mut state = ControlState::default();
    for index in 1..=hosts {
        let command = Command::Share { change: host(index) };
        state.apply(&Entry { term: 1, index, command });
    }
    state
}

fn whole(hosts: u64) -> EncodedUpdate {
    EncodedUpdate::new(Revision::default(), &state(hosts).update_since(Revision::default()))
}

fn change(from: u64, to: u64) -> EncodedUpdate {
    let update = state(to).update_since(revision(from));
    EncodedUpdate::new(revision(from), &update)
}

#[test]
fn chunks_of_any_length_yield_the_update_despite_duplicates() {
    let encoded = whole(60);
    let update = encoded.decode().unwrap();
    arbtest(|u| {
        let mut download = Download::new(at(0), encoded.id(), WITHIN).unwrap();
        for turn in 0.. {
            // Every second chunk is the next one, so that the download always completes.
            let offset = match turn % 2 == 0 && u.arbitrary()? {
                true => u.int_in_range(0..=encoded.id().bytes - 1)?,
                false => download.received(),
            };
            let len = u.int_in_range(10..=500)?;
            let data = encoded.chunk(offset, len).unwrap();
            match download.take(at(1), offset, data).unwrap() {
                ChunkOutcome::Whole(got) => {
                    assert_eq!(got.decode().unwrap(), update);
                    return Ok(());
                }
                ChunkOutcome::Partial => assert!(download.received() < encoded.id().bytes),
                ChunkOutcome::Ignored => assert_ne!(offset, download.received()),
            }
        }
        Ok(())
    });
}

#[test]
fn data_that_does_not_match_the_offer_is_rejected() {
    let encoded = whole(30);
    let id = encoded.id();
    let mut data = encoded.chunk(0, usize::MAX).unwrap().to_vec();
    data[20] ^= 1;
    let mut download = Download::new(at(0), id, WITHIN).unwrap();
    assert!(matches!(download.take(at(1), 0, &data), Err(ChunkError::Whole { .. })));
    let mut download = Download::new(at(0), id, WITHIN).unwrap();
    data.push(0);
    assert!(matches!(download.take(at(1), 0, &data), Err(ChunkError::TooLong)));
    let too_long = StateId { bytes: MAX_UPDATE_BYTES + 1, ..id };
    assert!(Download::new(at(0), too_long, WITHIN).is_none());
    let other = StateId { to: revision(999), ..id };
    let bytes = encoded.chunk(0, usize::MAX).unwrap().to_vec();
    assert!(EncodedUpdate::from_bytes(other, bytes).unwrap().decode().is_err());
}

#[test]
fn a_download_stalls_only_without_progress() {
    let encoded = whole(60);
    let mut download = Download::new(at(0), encoded.id(), WITHIN).unwrap();
    for second in 1..=40 {
        let offset = download.received();
        let data = encoded.chunk(offset, 8).unwrap();
        download.take(at(second * 1_000), offset, data).unwrap();
        assert!(!download.is_stalled(at(second * 1_000 + 900)));
    }
    assert!(download.is_stalled(at(50_000)));
    assert_eq!(download.received(), 320, "received bytes are kept");
}

#[test]
fn a_download_pauses_only_while_it_can_complete_in_time() {
    let encoded = whole(200);
    let mut download = Download::new(at(0), encoded.id(), WITHIN).unwrap();
    let (took, half) = (Duration::from_millis(20), encoded.id().bytes as usize / 2);
    download.take(at(20), 0, encoded.chunk(0, half).unwrap()).unwrap();
    assert_eq!(download.rest(at(20), half, took), took);
    assert_eq!(download.rest(at(490), half, took), Duration::ZERO);
    assert_eq!(download.rest(at(20), half / 100, took), Duration::ZERO, "no pause on a slow link");
}

#[test]
fn the_whole_state_is_sent_if_it_is_smaller_than_the_changes() {
    let mut state = state(30);
    for index in 31..=400 {
        // Changes of the same hosts.
        let command = Command::Share { change: host(index % 30 + 1) };
        state.apply(&Entry { term: 1, index, command });
    }
    assert_eq!(state.update_kind_since(Revision::default()), UpdateKind::Whole { weight: 30 });
    assert_eq!(state.update_kind_since(revision(390)), UpdateKind::Changes { weight: 10 });
    assert_eq!(state.update_kind_since(revision(400)), UpdateKind::Nothing);
    assert_eq!(state.update_kind_since(revision(500)), UpdateKind::Nothing, "this replica lags");
    for held in [0, 10, 100, 350, 390] {
        let update = state.update_since(Revision { term: u64::from(held > 0), index: held });
        assert_eq!(apply(held, &state, update), *state.shared(), "from {held}");
    }
}

/// Applies an update to the state of a daemon that has applied the first `held` entries.
fn apply(held: u64, state: &ControlState, update: Update) -> cherrystream_schema::messages::Shared {
    assert_eq!(update.revision, state.revision());
    if let Some(full) = update.full {
        return full;
    }
    let mut before = shared::empty();
    (1..=held).for_each(|index| shared::apply(&mut before, &host((index - 1) % 30 + 1)));
    (1..=held)
        .filter(|i| *i > 30)
        .for_each(|index| shared::apply(&mut before, &host(index % 30 + 1)));
    update.changes.iter().for_each(|c| shared::apply(&mut before, &c.change));
    before
}

#[test]
fn the_cache_evicts_the_least_recently_used_update() {
    let (first, second, third) = (whole(40), whole(41), change(5, 42));
    let mut cache = UpdateCache::new(first.id().bytes + second.id().bytes);
    cache.add(first.clone());
    cache.add(second.clone());
    assert_eq!(cache.furthest(Revision::default()).map(EncodedUpdate::id), Some(second.id()));
    assert!(cache.get(&first.id()).is_some());
    cache.add(third.clone());
    assert!(!cache.holds(&second.id()), "least recently used");
    assert_eq!(cache.furthest(revision(5)).map(EncodedUpdate::id), Some(third.id()));
    assert!(cache.furthest(revision(6)).is_none());
}

#[test]
fn a_replica_that_skipped_tables_offers_nothing_until_it_has_applied_the_last() {
    let mut state = state(3);
    state.skip_routes(7);
    let command = Command::Share { change: host(4) };
    state.apply(&Entry { term: 1, index: 5, command });
    assert_eq!(state.update_kind_since(Revision::default()), UpdateKind::Nothing);
    assert_eq!(state.update_kind_since(revision(2)), UpdateKind::Nothing);
}

#[test]
fn changes_larger_than_the_whole_state_are_discarded() {
    let mut state = state(10);
    for index in 11..=5_000 {
        let command = Command::Share { change: host(index % 10) };
        state.apply(&Entry { term: 1, index, command });
    }
    let text = serde_json::to_string(&state).unwrap();
    assert!(text.len() < 400_000, "{} bytes", text.len());
    assert!(matches!(state.update_kind_since(revision(3_000)), UpdateKind::Whole { .. }));
    assert_eq!(state.update_kind_since(revision(4_990)), UpdateKind::Changes { weight: 10 });
}

fn requester<'a>(host: &'a str, failure_domain: &'a str) -> Requester<'a> {
    Requester { host, failure_domain, near: failure_domain == "near" }
}

/// Returns where hosts of a failure domain fetch an update, requested in order at one time.
fn sources(
    scheduler: &mut FetchScheduler,
    now: u64,
    domain: &str,
    hosts: &[&str],
    id: StateId,
) -> Vec<FetchSource> {
    let ask = |host: &&str| scheduler.source(at(now), requester(host, domain), id, |_| true);
    hosts.iter().map(ask).collect()
}

#[test]
fn few_daemons_of_a_remote_failure_domain_fetch_from_the_replica() {
    let (mut scheduler, id) = (FetchScheduler::default(), whole(30).id());
    let far = sources(&mut scheduler, 0, "far", &["f1", "f2", "f3"], id);
    assert_eq!(far, [FetchSource::Replica, FetchSource::Replica, FetchSource::Later]);
    assert_eq!(
        sources(&mut scheduler, 0, "farther", &["g1"], id),
        [FetchSource::Replica],
        "the limit is per failure domain"
    );
    assert_eq!(
        sources(&mut scheduler, 10, "far", &["f1"], id),
        [FetchSource::Replica],
        "it is already fetching"
    );
    let renamed = StateId { to: revision(31), ..id };
    assert_eq!(
        sources(&mut scheduler, 20, "far", &["f4"], renamed),
        [FetchSource::Later],
        "the limit covers all updates"
    );
    scheduler.on_chunk(at(30), requester("f1", "far"), id, 0);
    let rest = sources(&mut scheduler, 40, "far", &["f3", "f5", "f6"], id);
    let peers = FetchSource::Peers(vec!["f1".into()]);
    assert_eq!(
        rest,
        [peers.clone(), peers.clone(), FetchSource::Later],
        "two at a time from each peer"
    );
    scheduler.on_done(requester("f3", "far"));
    assert!(matches!(
        &sources(&mut scheduler, 50, "far", &["f6"], id)[..],
        [FetchSource::Peers(_)]
    ));
    assert_eq!(sources(&mut scheduler, 60, "near", &["n1"], id), [FetchSource::Replica]);
}

#[test]
fn silent_and_slow_daemons_do_not_block_others() {
    let (mut scheduler, id) = (FetchScheduler::default(), whole(30).id());
    sources(&mut scheduler, 0, "far", &["f1", "f2"], id);
    scheduler.on_chunk(at(900), requester("f1", "far"), id, 100);
    assert_eq!(sources(&mut scheduler, 950, "far", &["f3"], id), [FetchSource::Later]);
    assert_eq!(
        sources(&mut scheduler, 1_100, "far", &["f3"], id),
        [FetchSource::Replica],
        "f2 is silent"
    );
    for step in 2..=8 {
        scheduler.on_chunk(at(step * 500), requester("f1", "far"), id, 100);
        scheduler.on_chunk(at(step * 500), requester("f3", "far"), id, 100);
    }
    assert_eq!(
        sources(&mut scheduler, 4_100, "far", &["f4"], id),
        [FetchSource::Replica],
        "f1 is slow"
    );
}

#[test]
fn an_unreachable_peer_is_not_returned() {
    let (mut scheduler, id) = (FetchScheduler::default(), whole(30).id());
    scheduler.source(at(0), requester("f1", "far"), id, |_| true);
    scheduler.on_chunk(at(1), requester("f1", "far"), id, 0);
    assert_eq!(
        scheduler.source(at(2), requester("f2", "far"), id, |_| false),
        FetchSource::Replica
    );
}

/// Guards against a message to every daemon for each of many registrations.
#[test]
fn changes_within_a_short_time_are_sent_in_batches() {
    let mut schedule = BatchSchedule::default();
    let start = Timestamp::from_millis(10_000);
    assert_eq!(schedule.due(start), start, "at once after a quiet period");
    let (mut batches, mut due) = (0, None);
    for ms in (0..1_500).step_by(5) {
        let now = start + Duration::from_millis(ms);
        if now >= *due.get_or_insert_with(|| schedule.due(now)) {
            schedule.on_sent(now);
            (batches, due) = (batches + 1, None);
        }
    }
    assert!(batches <= 8, "300 changes were sent in {batches} batches");
}
