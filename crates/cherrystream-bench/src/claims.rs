//! Resource use of control by the rate of claims.

use crate::group::Group;
use crate::stats;
use cherrystream_net::rpc::{self, ControlRpcClient};
use cherrystream_schema::messages::{ClaimReply, ClaimRequest};
use rand::Rng;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Default rates in claims per second.
pub const DEFAULT_RATES: [u64; 4] = [500, 1_000, 2_000, 4_000];
/// Timeout of one call.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Measures, for each rate, the latency of claims and the replicas' processor time, memory and
/// disk use.
pub async fn run(rates: &[u64], seconds: f64) -> Result<(), String> {
    let group = Group::start(3).await?;
    let leader = group.leader().await?;
    let follower = (leader + 1) % 3;
    let address = format!("{}:720{}", group.base, leader + 1);
    println!(
        "{:>10} {:>10} {:>9} {:>9} {:>12} {:>14} {:>12} {:>12}",
        "claims/s",
        "granted/s",
        "p50 ms",
        "p99 ms",
        "leader cpu%",
        "follower cpu%",
        "leader MB",
        "disk MB"
    );
    let mut points = Vec::new();
    for &rate in rates {
        let before = group.costs();
        let at = Instant::now();
        let times = send_claims(&address, rate, seconds).await?;
        let span = at.elapsed().as_secs_f64();
        let after = group.costs();
        let cpu = |i: usize| (after[i].cpu - before[i].cpu) / span * 100.0;
        let granted = times.len() as f64 / seconds;
        let quantile = |q: f64| {
            let mut sorted = times.clone();
            sorted.sort_by(f64::total_cmp);
            sorted.get((sorted.len() as f64 * q) as usize).copied().unwrap_or(f64::NAN)
        };
        println!(
            "{rate:>10} {granted:>10.0} {:>9.2} {:>9.2} {:>12.1} {:>14.1} {:>12.1} {:>12.1}",
            quantile(0.5),
            quantile(0.99),
            cpu(leader),
            cpu(follower),
            after[leader].memory as f64 / 1e6,
            disk_bytes(&group.folder().join((leader + 1).to_string())) as f64 / 1e6
        );
        points.push((granted, cpu(leader)));
    }
    let line = stats::fit(&points);
    println!("leader cpu%: {:.2} + {:.5} for each claim a second", line.intercept, line.slope);
    Ok(())
}

/// Sends claims at a constant rate, and returns the latencies of the granted ones in milliseconds.
async fn send_claims(address: &str, rate: u64, seconds: f64) -> Result<Vec<f64>, String> {
    let mut clients = Vec::new();
    for _ in 0..8 {
        let client = rpc::connect(address, None, TIMEOUT).await.map_err(|e| e.to_string())?;
        clients.push(Arc::new(client));
    }
    let start = Instant::now();
    let mut sending = tokio::task::JoinSet::new();
    let count = (rate as f64 * seconds) as u64;
    for i in 0..count {
        let at = Duration::from_secs_f64(i as f64 / rate as f64);
        tokio::time::sleep_until((start + at).into()).await;
        let client = clients[i as usize % clients.len()].clone();
        sending.spawn(async move {
            let sent = Instant::now();
            let granted = client.claim(new_claim()).await;
            matches!(granted, Ok(ClaimReply::Granted { .. }))
                .then(|| sent.elapsed().as_secs_f64() * 1_000.0)
        });
    }
    let mut times = Vec::new();
    while let Some(done) = sending.join_next().await {
        times.extend(done.ok().flatten());
    }
    Ok(times)
}

fn new_claim() -> ClaimRequest {
    ClaimRequest {
        service: "payouts".into(),
        key: format!("{:032x}", rand::rng().random::<u128>()),
        fingerprint: 1,
        attempt: 1,
        claim: rand::rng().random(),
        host: "host-0001".into(),
        backend_server: "payouts-1".into(),
        incarnation: 1,
        fenced: None,
    }
}

fn disk_bytes(folder: &Path) -> u64 {
    let files = std::fs::read_dir(folder).into_iter().flatten().flatten();
    files.filter_map(|f| f.metadata().ok()).map(|m| m.len()).sum()
}
