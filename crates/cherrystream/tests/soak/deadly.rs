//! A caller whose request ends every backend server that runs it, while other faults strike.

use crate::support::client::{self, Ask};
use crate::watchers::Watched;
use crate::world::World;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Beginning of the paths of requests that end backend servers.
pub const PATHS: &str = "/deadly/";
/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(80);
/// Longest wait for an answer.
const PATIENCE: Duration = Duration::from_secs(3);
/// Time at rest in which all daemons have to know of the request, whatever was lost before: three backend servers end, one after the
/// other, each is back after a moment, and 3 s are for telling.
const KNOWN_WITHIN: Duration = Duration::from_secs(6);
/// Time after that in which backend servers are counted that end.
const COUNTED_FOR: Duration = Duration::from_secs(2);
/// Backend servers that the request may still end: as many as a known one may in all.
const LATE_ENDS_AT_MOST: usize = 3;
/// Time between looks at backend servers that have ended.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Returns whether a run has such a caller. Each end of a server is a rough fault, so a run of planned stops has none.
pub fn is_in(seed: u64) -> bool {
    seed % 4 == 2
}

/// Sends the request to daemons at random until told to stop.
pub async fn call(watched: Vec<Watched>, seed: u64, stop: Arc<AtomicBool>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    while !stop.load(Ordering::Relaxed) {
        let at = &watched[rng.random_range(0..watched.len())];
        let ask = Ask::get(&format!("{PATHS}1")).service("quotes").with_key(at.key);
        let _ = tokio::time::timeout(PATIENCE, client::send(&at.address, &ask)).await;
        tokio::time::sleep(PAUSE).await;
    }
}

/// Watches the request at rest; returns whether backend servers went on ending.
pub async fn settle(world: &mut World) -> Option<String> {
    watch(world, KNOWN_WITHIN).await;
    let before = world.deadly_ends;
    watch(world, COUNTED_FOR).await;
    let late = world.deadly_ends - before;
    println!("a deadly request ended {} backend servers, {late} of them late", world.deadly_ends);
    (late > LATE_ENDS_AT_MOST).then(|| {
        format!("a request went on ending backend servers at rest: {late} in {COUNTED_FOR:?}")
    })
}

/// Has all backend servers run again, once nobody sends the request any more.
pub async fn restore(world: &mut World) {
    watch(world, COUNTED_FOR).await;
}

async fn watch(world: &mut World, time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        world.settle_servers().await;
        tokio::time::sleep(LOOK_EVERY).await;
    }
}
