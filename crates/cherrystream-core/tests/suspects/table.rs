//! What follows for a request from ends, answers and the words of other daemons.

use super::{ended, identity, ms, sent, take};
use cherrystream_core::suspects::table::MAX_ENTRIES;
use cherrystream_core::suspects::{Fingerprint, Reach, Record, Sent, Suspects, Verdict};
use std::time::Duration;

const DEADLY: Fingerprint = Fingerprint(1);
const SECOND: u64 = 1_000;

/// Load: the request arrives, ends a server, is sent again and ends another, arrives again and runs alone.
fn convicted() -> Suspects {
    let mut table = Suspects::default();
    table.on_end(ms(100), &ended(1, &[sent(1, false)]));
    assert_eq!(table.judge(ms(101), DEADLY), Verdict::Watched);
    table.on_end(ms(200), &ended(2, &[sent(1, false)]));
    assert_eq!(table.judge(ms(201), DEADLY), Verdict::Alone);
    table.on_end(ms(300), &ended(3, &[sent(1, true)]));
    table
}

#[test]
fn three_ends_of_which_one_alone_hold_a_request_back() {
    let table = convicted();
    let left = Duration::from_secs(29);
    assert_eq!(table.judge(ms(1_300), DEADLY), Verdict::HeldBack(left));
}

#[test]
fn one_end_counts_once_however_many_of_the_kind_were_at_work() {
    let mut table = Suspects::default();
    table.on_end(ms(100), &ended(1, &[sent(1, false), sent(1, false), sent(1, false)]));
    assert_eq!(table.judge(ms(101), DEADLY), Verdict::Watched);
}

/// Load: most servers are killed at one moment, and the same harmless request was at work at several.
#[test]
fn a_mass_kill_holds_nothing_back() {
    let mut table = Suspects::default();
    for end in 1..=20 {
        table.on_end(ms(100), &ended(end, &[sent(1, false)]));
    }
    assert_eq!(table.judge(ms(101), DEADLY), Verdict::Alone);
    table.on_answer(ms(150), DEADLY);
    assert_eq!(table.judge(ms(151), DEADLY), Verdict::Clear);
}

/// Load: servers end by themselves, time and again, while a request is at work that succeeds elsewhere.
#[test]
fn a_success_between_two_ends_clears_all_that_was_known() {
    let mut table = Suspects::default();
    for end in 1..=50 {
        table.on_end(ms(end * 100), &ended(end, &[sent(1, false)]));
        assert_eq!(table.judge(ms(end * 100), DEADLY), Verdict::Watched);
        table.on_answer(ms(end * 100 + 50), DEADLY);
    }
    assert_eq!(table.judge(ms(5_100), DEADLY), Verdict::Clear);
}

/// Load: the service is not mended; what a day of trials costs.
#[test]
fn trials_of_a_request_that_still_ends_servers_become_rare() {
    let mut table = convicted();
    let (mut at, mut trials, mut in_first_minutes) = (300, 0, 0);
    while at < 24 * 3_600 * SECOND {
        at += SECOND;
        if table.judge(ms(at), DEADLY) == Verdict::Alone {
            trials += 1;
            in_first_minutes += u32::from(at < 200 * SECOND);
            table.on_end(ms(at), &ended(100 + trials, &[sent(1, true)]));
            assert_ne!(table.judge(ms(at), DEADLY), Verdict::Alone);
        }
    }
    // After 30 s, 90 s, 210 s, and so on up to an hour.
    assert_eq!(in_first_minutes, 2);
    assert!((25..=32).contains(&trials), "{trials} servers ended in a day");
}

/// Load: the service is mended.
#[test]
fn a_trial_that_succeeds_clears_the_request() {
    let mut table = convicted();
    assert_eq!(table.judge(ms(30_300), DEADLY), Verdict::Alone);
    let (reach, _) = table.on_answer(ms(30_400), DEADLY).unwrap();
    assert_eq!(reach, Reach::All);
    assert_eq!(table.judge(ms(30_401), DEADLY), Verdict::Clear);
}

#[test]
fn an_operator_clears_a_request() {
    let mut table = convicted();
    let listed = table.list(ms(10_300));
    assert_eq!(listed.len(), 1);
    let suspect = &listed[0];
    assert_eq!((&*suspect.mark, &*suspect.standing), ("0000000000000001", "held-back"));
    assert_eq!((suspect.ends, suspect.ends_alone, suspect.last_end_s), (3, 1, 10));
    assert_eq!(suspect.next_trial_s, Some(20));
    assert!(table.lift(ms(10_301), DEADLY).is_some());
    assert_eq!(table.judge(ms(10_302), DEADLY), Verdict::Clear);
    assert!(table.lift(ms(10_303), DEADLY).is_none());
}

#[test]
fn others_are_told_of_a_first_end_only_where_the_service_runs() {
    let mut table = Suspects::default();
    let news = table.on_end(ms(100), &ended(1, &[sent(1, false)]));
    assert_eq!(news[0].0, Reach::Service);
    let news = table.on_end(ms(200), &ended(2, &[sent(1, false)]));
    assert_eq!(news[0].0, Reach::All);
    assert!(table.on_end(ms(201), &ended(2, &[sent(1, false)])).is_empty());
}

/// Load: a daemon that has just started hears of what happened before.
#[test]
fn a_word_carries_its_age_over_a_restart() {
    let told = convicted().wide(ms(20_300));
    let mut blank = Suspects::default();
    assert!(blank.on_word(ms(5), &told[0]));
    assert_eq!(blank.judge(ms(5), DEADLY), Verdict::HeldBack(Duration::from_secs(10)));
    assert_eq!(blank.judge(ms(10_005), DEADLY), Verdict::Alone);
}

#[test]
fn a_late_word_of_before_a_success_says_nothing() {
    let mut table = convicted();
    let late = table.wide(ms(400));
    table.on_answer(ms(30_400), DEADLY);
    assert!(!table.on_word(ms(31_000), &late[0]));
    assert_eq!(table.judge(ms(31_000), DEADLY), Verdict::Clear);
}

#[test]
fn the_age_of_an_end_does_not_creep_on_with_each_word() {
    let (mut one, mut other) = (convicted(), Suspects::default());
    for round in 1..=100 {
        // Each message takes 50 ms, which its words do not count.
        let words = one.wide(ms(300 + round * 100));
        take(&mut other, ms(350 + round * 100), &words);
        let words = other.wide(ms(350 + round * 100));
        take(&mut one, ms(400 + round * 100), &words);
    }
    assert_eq!(one.judge(ms(30_300), DEADLY), Verdict::Alone);
}

#[test]
fn what_is_over_is_forgotten() {
    let mut table = convicted();
    table.on_end(ms(300), &ended(4, &[sent(2, false)]));
    table.tick(ms(3_600 * SECOND));
    assert_eq!(table.len(), 2);
    table.tick(ms(3_601 * SECOND));
    assert_eq!(table.len(), 1);
    table.tick(ms(24 * 3_600 * SECOND));
    assert_eq!(table.len(), 1);
    table.tick(ms(24 * 3_600 * SECOND + SECOND));
    assert!(table.is_empty());
    // Nor is it taken over from one that remembers it.
    let word = convicted().wide(ms(25 * 3_600 * SECOND));
    assert!(!table.on_word(ms(25 * 3_600 * SECOND), &word[0]));
}

/// Load: a caller sends many requests with different content, all of which were at work when servers ended.
#[test]
fn a_caller_with_many_suspects_displaces_its_own() {
    let mut table = convicted();
    let invented = (10_u64..).map(|n| Sent { identity: identity(n, 66), alone: false });
    let invented: Vec<Sent> = invented.take(3 * MAX_ENTRIES).collect();
    for (end, at_work) in invented.chunks(12).enumerate() {
        table.on_end(ms(400), &ended(1_000 + end as u64, at_work));
        table.on_end(ms(400), &ended(9_000 + end as u64, at_work));
        assert!(table.len() <= MAX_ENTRIES);
    }
    assert!(matches!(table.judge(ms(500), DEADLY), Verdict::HeldBack(_)));
}

#[test]
fn words_of_others_are_bounded_as_own_ends_are() {
    let mut table = convicted();
    let invented = |n| Record { request: Fingerprint(n), ..convicted().wide(ms(400))[0].clone() };
    for n in 10..(10 + 2 * MAX_ENTRIES as u64) {
        table.on_word(ms(400), &invented(n));
    }
    assert_eq!(table.len(), MAX_ENTRIES);
}
