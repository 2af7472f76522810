//! A caller whose request crashes every backend server that runs it, during other faults.

use crate::cluster::Cluster;
use crate::support::client::{self, Ask};
use crate::watchers::WatchedDaemon;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Path prefix of requests that crash backend servers.
pub const PATHS: &str = "/deadly/";
/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(80);
/// Timeout of a request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without faults in which all daemons must learn that the request is suspect: three backend
/// servers crash and restart one after the other, and dissemination takes up to 3 s.
const DISSEMINATION_TIME: Duration = Duration::from_secs(6);
/// Time after that in which crashes are counted.
const COUNTING_TIME: Duration = Duration::from_secs(2);
/// Crashes that the request may still cause: the total limit of a suspect request.
const MAX_LATE_CRASHES: usize = 3;
/// Interval of checking for crashed backend servers.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Returns whether a run has such a caller. Runs of planned stops have none, because each crash is
/// a disruptive fault.
pub fn is_in(seed: u64) -> bool {
    seed % 4 == 2
}

/// Sends the request to random daemons until `stop` is set.
pub async fn call(watched: Vec<WatchedDaemon>, seed: u64, stop: Arc<AtomicBool>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    while !stop.load(Ordering::Relaxed) {
        let at = &watched[rng.random_range(0..watched.len())];
        let ask = Ask::get(&format!("{PATHS}1")).service("quotes").with_key(at.key);
        let _ = tokio::time::timeout(ANSWER_TIMEOUT, client::send(&at.address, &ask)).await;
        tokio::time::sleep(PAUSE).await;
    }
}

/// Counts crashes after all faults have ended; returns a violation if there are too many.
pub async fn settle(cluster: &mut Cluster) -> Option<String> {
    restart_servers_for(cluster, DISSEMINATION_TIME).await;
    let before = cluster.crashes;
    restart_servers_for(cluster, COUNTING_TIME).await;
    let late = cluster.crashes - before;
    println!(
        "a request crashed {} backend servers, {late} of them after all faults",
        cluster.crashes
    );
    (late > MAX_LATE_CRASHES).then(|| {
        format!(
            "a request still crashed backend servers after all faults: {late} in {COUNTING_TIME:?}"
        )
    })
}

/// Restarts the backend servers after the caller has stopped.
pub async fn restore(cluster: &mut Cluster) {
    restart_servers_for(cluster, COUNTING_TIME).await;
}

async fn restart_servers_for(cluster: &mut Cluster, time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        cluster.restart_crashed_servers().await;
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}
