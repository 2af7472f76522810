//! Hosts that are lost for good and replaced by others at new addresses, in groups formed from
//! seeds. `RAFT_SEEDS=N` runs N / 4 schedules.

mod hosts;

use arbtest::arbitrary::{Result as ArbResult, Unstructured};
use hosts::Hosts;
use std::time::Duration;

/// These schedules take longer than the others, so fewer of them are run.
const SEEDS_DIVISOR: u32 = 4;
/// Longest time from the start of a replacement until it votes.
const VOTE_TIMEOUT: Duration = Duration::from_secs(7);
/// Longest time until a new group has filled its slots.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_secs(40);
/// Longest time until a group that has its quorum commits an entry.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time until all slots vote after a suspended host has resumed.
const RESUME_TIMEOUT: Duration = Duration::from_secs(20);

fn start_group(slots: usize, u: &mut Unstructured) -> ArbResult<Hosts> {
    let mut hosts = Hosts::new(slots, u.arbitrary()?);
    let full = hosts.run_until(BOOTSTRAP_TIMEOUT, |hosts| hosts.voters().len() == slots);
    assert!(full.is_some(), "the new group has not filled its slots");
    Ok(hosts)
}

fn millis(u: &mut Unstructured, range: std::ops::RangeInclusive<u64>) -> ArbResult<Duration> {
    Ok(Duration::from_millis(u.int_in_range(range)?))
}

/// Transfers the leadership in some schedules, and runs for a drawn time.
fn run_with_transfer(hosts: &mut Hosts, u: &mut Unstructured, longest_ms: u64) -> ArbResult<()> {
    let time = millis(u, 0..=longest_ms)?;
    if u.ratio(1, 2)? {
        hosts.transfer_leadership();
    }
    hosts.run(time);
    Ok(())
}

/// Loses a member, and starts a replacement that may start again with a blank disk.
fn replace_one(hosts: &mut Hosts, u: &mut Unstructured, gone: usize) -> ArbResult<usize> {
    hosts.lose(gone);
    hosts.run(millis(u, 0..=2_500)?);
    let seeds = hosts.seeds(gone, u.choose_index(3)?);
    let i = hosts.start_replacement(seeds);
    if u.ratio(1, 4)? {
        hosts.run(millis(u, 0..=1_500)?);
        if !hosts.votes(i) {
            hosts.start_blank(i);
        }
    }
    Ok(i)
}

/// Replaces some members, one after the other or two at once, and checks that each replacement
/// votes in time.
fn replace(hosts: &mut Hosts, u: &mut Unstructured, tolerated: usize) -> ArbResult<()> {
    run_with_transfer(hosts, u, 2_000)?;
    let mut replacements = Vec::new();
    for _ in 0..u.int_in_range(1..=tolerated)? {
        let voters = hosts.voters().into_iter();
        let members: Vec<usize> = voters.filter(|i| !replacements.contains(i)).collect();
        let gone = *u.choose(&members)?;
        replacements.push(replace_one(hosts, u, gone)?);
    }
    run_with_transfer(hosts, u, 3_000)?;
    for i in replacements {
        // The next loss is tolerated only after this time.
        hosts.run(VOTE_TIMEOUT.saturating_sub(hosts.age(i)));
        assert!(hosts.votes(i), "replacement {i} does not vote {VOTE_TIMEOUT:?} after its start");
    }
    assert!(hosts.all_slots_vote(), "a slot has no voter");
    hosts.run(millis(u, 0..=4_000)?);
    assert!(hosts.all_slots_vote(), "a slot has lost its voter");
    Ok(())
}

fn run_replacements(slots: usize, u: &mut Unstructured) -> ArbResult<()> {
    let tolerated = slots / 2;
    let mut hosts = start_group(slots, u)?;
    for _ in 0..u.int_in_range(1..=4)? {
        replace(&mut hosts, u, tolerated)?;
    }
    for _ in 0..tolerated {
        let voters = hosts.voters();
        hosts.lose(*u.choose(&voters)?);
    }
    assert!(hosts.commits_within(COMMIT_TIMEOUT), "a tolerated loss has left no quorum");
    Ok(())
}

/// Suspends a member while a replacement takes or requests its slot.
fn run_resumed(slots: usize, u: &mut Unstructured) -> ArbResult<()> {
    let mut hosts = start_group(slots, u)?;
    for _ in 0..u.int_in_range(1..=3)? {
        let voters = hosts.voters();
        let suspended = *u.choose(&voters)?;
        hosts.suspend(suspended);
        hosts.run(millis(u, 0..=2_500)?);
        let seeds = hosts.seeds(suspended, u.choose_index(3)?);
        hosts.start_replacement(seeds);
        run_with_transfer(&mut hosts, u, 8_000)?;
        hosts.resume(suspended);
        let full = hosts.run_until(RESUME_TIMEOUT, |hosts| hosts.all_slots_vote());
        assert!(full.is_some(), "a slot has no voter after a suspended host has resumed");
    }
    assert!(hosts.commits_within(COMMIT_TIMEOUT), "the group accepts no entries");
    Ok(())
}

fn check(slots: usize, schedule: fn(usize, &mut Unstructured) -> ArbResult<()>) {
    for seed in 0..super::seeds() / SEEDS_DIVISOR {
        arbtest::arbtest(|u| schedule(slots, u)).seed((u64::from(seed) << 32) | 0x400).run();
    }
}

/// Guards against replacements that are granted a slot and then told that it is lost, so that the
/// next tolerated loss leaves no quorum.
#[test]
fn each_replacement_votes_in_time_in_a_group_of_three() {
    check(3, run_replacements);
}

/// As in a group of three, with one or two hosts lost at once.
#[test]
fn each_replacement_votes_in_time_in_a_group_of_five() {
    check(5, run_replacements);
}

/// Guards against slots that neither the returning host nor its replacement fills.
#[test]
fn a_slot_has_a_voter_after_its_suspended_host_resumes_in_a_group_of_three() {
    check(3, run_resumed);
}

/// As in a group of three.
#[test]
fn a_slot_has_a_voter_after_its_suspended_host_resumes_in_a_group_of_five() {
    check(5, run_resumed);
}
