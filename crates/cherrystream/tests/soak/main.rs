//! A randomized soak: real processes under faults from outside them, and the promises of the product
//! checked from what callers, backend servers and operators see.
//!
//! By hand: `SOAK_SEEDS=50 cargo test --release -p cherrystream --test soak -- --nocapture`; `SOAK_FIRST`
//! is the first seed (drawn when absent and `SOAK_SEEDS` is set), `SOAK_SECONDS` the length of the faults.

#[allow(dead_code)]
#[path = "../processes/support/mod.rs"]
mod support;

mod callers;
mod operators;
mod plan;
mod verdict;
mod world;

use plan::{Size, Timed};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use support::wait;
use world::World;

/// Seeds that run in CI.
const SEEDS_IN_CI: [u64; 2] = [1, 2];
/// Seeds that have failed, each with its cause.
const FAILED_SEEDS: &[(u64, &str)] = &[
    (1000, "SIGTERM came before the process listened for it"),
    (1001, "a second SIGTERM ended a planned stop at once and cut a request off"),
    (1002, "a second SIGTERM ended a planned stop with exit code 1"),
];
/// Seconds of faults in CI.
const SECONDS_IN_CI: f64 = 3.0;
/// Callers of each daemon.
const CALLERS: u64 = 3;
/// Operators at once.
const OPERATORS: u64 = 2;
/// One run in this many has as many processes as the limits of the machines allow.
const LARGE_RUN_EVERY: u64 = 8;

fn size_of(seed: u64) -> Size {
    match seed % LARGE_RUN_EVERY {
        0 => Size { controls: 3, daemons: 12 },
        rest => Size { controls: 3, daemons: 2 + rest as usize % 4 },
    }
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Seeds to run, with the length of the faults of each.
fn seeds() -> (Vec<u64>, Duration) {
    let length = number("SOAK_SECONDS").map_or(SECONDS_IN_CI, |seconds| seconds as f64);
    let seeds = match number("SOAK_SEEDS") {
        Some(count) => {
            let first =
                number("SOAK_FIRST").unwrap_or_else(|| rand::rng().random_range(0..1 << 32));
            (first..first + count).collect()
        }
        None => FAILED_SEEDS.iter().map(|(seed, _)| *seed).chain(SEEDS_IN_CI).collect(),
    };
    (seeds, Duration::from_secs_f64(length))
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_random_faults() {
    let (seeds, length) = seeds();
    let mut failed = Vec::new();
    for seed in seeds {
        let broken = run(seed, length).await;
        if !broken.is_empty() {
            failed.push((seed, broken));
        }
    }
    assert!(failed.is_empty(), "seeds with broken promises: {failed:#?}");
}

/// Runs one seed; returns the promises that were broken.
async fn run(seed: u64, length: Duration) -> Vec<String> {
    let size = size_of(seed);
    let mut rng = SmallRng::seed_from_u64(seed);
    let plan = plan::draw(&mut rng, size, length);
    let mut world = World::start(size).await;
    let stop = Arc::new(AtomicBool::new(false));
    let mut calling = tokio::task::JoinSet::new();
    for (i, daemon) in world.daemons.iter().enumerate() {
        for caller in 0..CALLERS {
            let seed = (seed << 16) + (i as u64) * CALLERS + caller;
            calling.spawn(callers::call(i, daemon.caller.clone(), seed, stop.clone()));
        }
    }
    let apis: Vec<String> = (1..=size.controls).map(|r| world.site.api(r)).collect();
    let mut operating = tokio::task::JoinSet::new();
    for operator in 0..OPERATORS {
        let seed = (seed << 8) + operator;
        operating.spawn(operators::operate(apis.clone(), seed, stop.clone()));
    }
    strike(&mut world, &plan).await;
    let recovered = recover(&world).await;
    stop.store(true, Ordering::Relaxed);
    let told: Vec<callers::Told> = calling.join_all().await.into_iter().flatten().collect();
    let reports = operating.join_all().await;
    world.check_running(size);
    let mut broken = verdict::judge(&world, &told);
    broken.append(&mut world.bad_ends);
    let mut accepted = Vec::new();
    for mut report in reports {
        broken.append(&mut report.broken);
        accepted.append(&mut report.accepted);
    }
    let missing = wait::until("the configuration is read back", || async {
        operators::missing(&apis[0], &accepted).await
    })
    .await;
    if !missing.is_empty() {
        broken.push(format!("accepted, but gone at the end: {missing:?}"));
    }
    println!(
        "seed {seed}: {} daemons, faults {:?}, {} requests {:?}, {} changes accepted, served again \
         after {recovered:?}, {} promises broken",
        size.daemons,
        plan::count(&plan),
        told.len(),
        verdict::outcomes(&told),
        accepted.len(),
        broken.len(),
    );
    broken.iter().for_each(|what| println!("seed {seed}: {what}"));
    if !broken.is_empty() {
        keep_logs(&world, seed);
    }
    broken
}

/// Lets the faults of a plan strike at their times; all have ended when it returns.
async fn strike(world: &mut World, plan: &[Timed]) {
    let start = Instant::now();
    let mut ends: Vec<(Duration, &Timed)> = Vec::new();
    for timed in plan {
        end_until(world, &mut ends, start, timed.at).await;
        tokio::time::sleep_until((start + timed.at).into()).await;
        world.settle_stops().await;
        println!("{:?}: begins: {:?} for {:?}", start.elapsed(), timed.fault, timed.lasts);
        world.begin(&timed.fault).await;
        ends.push((timed.at + timed.lasts, timed));
    }
    end_until(world, &mut ends, start, Duration::MAX).await;
    world.finish_stops().await;
}

/// Ends the faults whose time comes before a moment, in their order.
async fn end_until(
    world: &mut World,
    ends: &mut Vec<(Duration, &Timed)>,
    start: Instant,
    moment: Duration,
) {
    ends.sort_by_key(|(at, _)| *at);
    while let Some((at, timed)) = ends.first().copied().filter(|(at, _)| *at <= moment) {
        ends.remove(0);
        tokio::time::sleep_until((start + at).into()).await;
        println!("{:?}: ends: {:?}", start.elapsed(), timed.fault);
        world.end(&timed.fault).await;
        world.settle_stops().await;
    }
}

/// Waits until every daemon serves; returns how long that took.
async fn recover(world: &World) -> Duration {
    let start = Instant::now();
    for daemon in &world.daemons {
        daemon.serves("quotes").await;
    }
    start.elapsed()
}

/// Keeps the logs of a run with a broken promise.
fn keep_logs(world: &World, seed: u64) {
    let folder = std::env::temp_dir().join(format!("cherrystream-soak-{seed}"));
    let _ = std::fs::create_dir_all(&folder);
    for file in std::fs::read_dir(world.site.folder.path()).into_iter().flatten().flatten() {
        let _ = std::fs::copy(file.path(), folder.join(file.file_name()));
    }
    println!("seed {seed}: logs and records are kept in {}", folder.display());
}
