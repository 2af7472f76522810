//! Random schedules of commands by operators who give up and send newer ones, over a replicated log
//! with lost, duplicated and late messages, restarts and changes of leader.
//!
//! After each step, each acknowledged command must be in force until its operator sends a newer
//! one. `COMMAND_SEEDS=N` runs N schedules.

#[allow(dead_code)]
#[path = "../raft_cluster/mod.rs"]
mod raft_cluster;
mod recorded;
mod site;

use arbtest::arbitrary::{Result as ArbResult, Unstructured};
use site::{Bases, Counts, Site};
use std::panic::{self, AssertUnwindSafe};

/// Default number of schedules.
const SEEDS: u32 = 60;
/// Steps of one schedule.
const STEPS: usize = 1_500;
/// Schedules of which at least one must fail without bases.
const SEEDS_WITHOUT_BASES: u32 = 60;

fn seeds() -> u32 {
    std::env::var("COMMAND_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(SEEDS)
}

/// Runs a schedule; returns the counts of its commands.
fn run_schedule(seed: u32, bases: Bases) -> Counts {
    let mut counts = Counts::default();
    arbtest::arbtest(|u| {
        counts = schedule(Site::new(bases), u)?;
        Ok(())
    })
    .seed((u64::from(seed) << 32) | 0x6000)
    .size_min(0x3000)
    .size_max(0x6000)
    .run();
    counts
}

fn schedule(mut site: Site, u: &mut Unstructured) -> ArbResult<Counts> {
    for _ in 0..STEPS {
        if u.is_empty() {
            break;
        }
        site.step(u)?;
    }
    site.settle();
    Ok(site.counts)
}

#[test]
fn no_acknowledged_command_is_undone_by_an_older_one() {
    let mut all = Counts::default();
    (0..seeds()).for_each(|seed| all.add(run_schedule(seed, Bases::AtReceipt)));
    println!("{} schedules: {all:?}", seeds());
    assert!(all.superseded > 0 && all.acknowledged > seeds() as usize, "{all:?}");
}

/// Guards against schedules that would not notice an undone command.
#[test]
fn schedules_without_bases_undo_an_acknowledged_command() {
    let hook = panic::take_hook();
    panic::set_hook(Box::new(|_| {}));
    let undoes = |seed| {
        let schedule = AssertUnwindSafe(|| run_schedule(seed, Bases::Newest));
        panic::catch_unwind(schedule).is_err()
    };
    let found = (0..SEEDS_WITHOUT_BASES).any(undoes);
    panic::set_hook(hook);
    assert!(found, "none of {SEEDS_WITHOUT_BASES} schedules undoes a command");
}
