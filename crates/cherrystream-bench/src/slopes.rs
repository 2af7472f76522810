//! Resource use of control and daemons as a function of the number of daemons, backend servers,
//! claims, peers and routes.

use crate::claims;
use crate::group::Group;
use crate::light::{self, LightDaemons};
use crate::rig;
use crate::spread;
use crate::stats;
use crate::transfers;
use argh::FromArgs;
use cherrystream_core::reasons::Reason;
use cherrystream_daemon::hop;
use cherrystream_daemon::refusal::Refused;
use cherrystream_net::body;
use cherrystream_net::pool::Pool;
use cherrystream_net::rpc::{self, ControlRpcClient};
use cherrystream_net::serve::{self, Phases};
use cherrystream_schema::messages::{HostRecord, Intent, Revision, SyncRequest};
use prometheus_client::metrics::counter::Counter;
use std::time::{Duration, Instant};

/// Timeout of one call.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Default numbers of routes that a change adds.
const DEFAULT_ROUTES: [u64; 3] = [14, 1_400, 14_000];

/// Measure slopes for docs/CAPACITY.md.
#[derive(FromArgs)]
#[argh(subcommand, name = "slopes")]
pub struct Args {
    /// measurement to run: daemons, claims, memory, peers, transfers or spread
    #[argh(positional)]
    what: String,
    /// sizes to measure at
    #[argh(option)]
    size: Vec<u64>,
    /// duration of each measurement in seconds
    #[argh(option, default = "8.0")]
    seconds: f64,
    /// for spread: seconds within which a change must be applied everywhere
    #[argh(option, default = "18.0")]
    within: f64,
    /// for spread: all daemons start without a configuration
    #[argh(switch)]
    from_nothing: bool,
    /// for spread: share of the hosts' link rates that is available for updates
    #[argh(option, default = "1.0")]
    link_share: f64,
}

/// Runs the selected measurement.
pub async fn run(args: &Args) -> Result<(), String> {
    match args.what.as_str() {
        "daemons" => daemons(args).await,
        "claims" => claims::run(&sizes(args, &claims::DEFAULT_RATES), args.seconds).await,
        "memory" => memory(args).await,
        "peers" => peers(args).await,
        "transfers" => transfers::run(&sizes(args, &DEFAULT_ROUTES)),
        "spread" => {
            let plan = spread::Plan {
                within: Duration::from_secs_f64(args.within),
                from_nothing: args.from_nothing,
                share: args.link_share,
            };
            spread::run(&sizes(args, &DEFAULT_ROUTES), plan)
        }
        other => Err(format!(
            "unknown measurement '{other}'; use daemons, claims, memory, peers, transfers or spread"
        )),
    }
}

fn sizes(args: &Args, defaults: &[u64]) -> Vec<u64> {
    if args.size.is_empty() { defaults.to_vec() } else { args.size.clone() }
}

fn service(name: &str) -> Intent {
    Intent::PutService { service: name.into(), measuring_per_second: 5 }
}

/// Measures control's resource use by the number of daemons, and the time until a change reaches
/// all of them.
async fn daemons(args: &Args) -> Result<(), String> {
    let sizes = sizes(args, &[100, 400, 790]);
    println!(
        "{:>8} {:>12} {:>14} {:>10} {:>14} {:>12} {:>16}",
        "daemons",
        "leader cpu%",
        "follower cpu%",
        "leader MB",
        "join all s",
        "change ms",
        "B/s each daemon"
    );
    let (mut leader_points, mut follower_points, mut memory_points) = (vec![], vec![], vec![]);
    for size in sizes {
        let group = Group::start(3).await?;
        let leader = group.leader().await?;
        let joined = Instant::now();
        let light = LightDaemons::start(&group.base, size);
        wait_for(|| all_joined(&light, size)).await?;
        let join = joined.elapsed().as_secs_f64();
        tokio::time::sleep(Duration::from_secs(2)).await;
        let (before, bytes, at) = (group.costs(), light.bytes(), Instant::now());
        tokio::time::sleep(Duration::from_secs_f64(args.seconds)).await;
        let (after, span) = (group.costs(), at.elapsed().as_secs_f64());
        let each = (light.bytes() - bytes) as f64 / span / size as f64;
        let cpu = |i: usize| (after[i].cpu - before[i].cpu) / span * 100.0;
        let follower = (0..3).filter(|i| *i != leader).map(cpu).fold(0.0, f64::max);
        let changes = change_times(&group, &light).await?;
        let memory = after[leader].memory as f64 / 1e6;
        println!(
            "{size:>8} {:>12.2} {follower:>14.2} {memory:>10.1} {join:>14.2} {:>12.0} {each:>16.0}",
            cpu(leader),
            stats::median(&changes)
        );
        leader_points.push((size as f64, cpu(leader)));
        follower_points.push((size as f64, follower));
        memory_points.push((size as f64, memory));
    }
    for (name, points) in [
        ("leader cpu%", leader_points),
        ("follower cpu%", follower_points),
        ("leader MB", memory_points),
    ] {
        let line = stats::fit(&points);
        println!("{name}: {:.3} + {:.5} for each daemon", line.intercept, line.slope);
    }
    Ok(())
}

/// Returns whether every daemon has received the registration of all daemons.
fn all_joined(light: &LightDaemons, size: u64) -> bool {
    // The first four entries bootstrap the group and create the probe service.
    light.lowest() >= size + 4
}

async fn change_times(group: &Group, light: &LightDaemons) -> Result<Vec<f64>, String> {
    let mut times = Vec::new();
    for n in 0..5 {
        let before = light.lowest();
        let start = Instant::now();
        group.accept(service(&format!("change-{n}"))).await?;
        wait_for(|| light.lowest() > before).await?;
        times.push(start.elapsed().as_secs_f64() * 1_000.0);
    }
    Ok(times)
}

async fn wait_for(mut done: impl FnMut() -> bool) -> Result<(), String> {
    let start = Instant::now();
    while !done() {
        if start.elapsed() > Duration::from_secs(60) {
            return Err(
                "the expected state was not reached within 60 s; measure fewer daemons at once"
                    .into(),
            );
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    Ok(())
}

/// Measures a daemon's memory and processor time by the number of backend servers in the
/// configuration.
async fn memory(args: &Args) -> Result<(), String> {
    let sizes = sizes(args, &[100, 400, 790]);
    println!(
        "{:>16} {:>12} {:>12} {:>14}",
        "backend servers", "daemon MB", "daemon cpu%", "state bytes"
    );
    let (mut memory_points, mut cpu_points) = (vec![], vec![]);
    for size in sizes {
        let group = Group::start(3).await?;
        let light = LightDaemons::start(&group.base, size);
        wait_for(|| all_joined(&light, size)).await?;
        register_backend_servers(&group, size).await?;
        let daemon = group.start_daemon("watched", 0, 2)?;
        tokio::time::sleep(Duration::from_secs(3)).await;
        let (before, at) = (daemon.cost(), Instant::now());
        tokio::time::sleep(Duration::from_secs_f64(args.seconds)).await;
        let after = daemon.cost();
        let cpu = (after.cpu - before.cpu) / at.elapsed().as_secs_f64() * 100.0;
        let megabytes = after.memory as f64 / 1e6;
        let bytes = first_update_bytes(&group).await?;
        println!("{size:>16} {megabytes:>12.1} {cpu:>12.2} {bytes:>14}");
        memory_points.push((size as f64, megabytes));
        cpu_points.push((size as f64, cpu));
    }
    for (name, points) in [("daemon MB", memory_points), ("daemon cpu%", cpu_points)] {
        let line = stats::fit(&points);
        println!("{name}: {:.2} + {:.5} for each backend server", line.intercept, line.slope);
    }
    Ok(())
}

/// Registers backend servers, six for each service.
async fn register_backend_servers(group: &Group, size: u64) -> Result<(), String> {
    for i in 0..size {
        let name = format!("service-{}", i / 6);
        if i % 6 == 0 {
            group.accept(service(&name)).await?;
        }
        let intent = Intent::PutBackendServer {
            service: name,
            name: format!("server-{i:04}"),
            host: format!("host-{i:04}"),
            address: "127.0.0.1:9001".into(),
            slots: 12,
        };
        group.accept(intent).await?;
    }
    Ok(())
}

/// Returns the size in bytes of the first update that a daemon receives: encoded, or as plain JSON
/// if it is short.
async fn first_update_bytes(group: &Group) -> Result<u64, String> {
    let address = format!("{}:7201", group.base);
    let client = rpc::connect(&address, None, TIMEOUT).await.map_err(|e| e.to_string())?;
    let held = Revision::default();
    let req = SyncRequest {
        record: light::record(0),
        held,
        confirmed: false,
        wait_ms: 0,
        instance: None,
        fetching: None,
        looks_in: false,
        control_known: 0,
        tally: None,
    };
    let reply = client.sync(req).await.map_err(|e| e.to_string())?;
    match reply.offer {
        Some(offer) => Ok(offer.id.bytes),
        None => serde_json::to_vec(&reply).map(|t| t.len() as u64).map_err(|e| e.to_string()),
    }
}

/// Measures the memory of a daemon's connections to peers. The peers refuse each call as not run.
async fn peers(args: &Args) -> Result<(), String> {
    let sizes = sizes(args, &[50, 200, 400]);
    println!("{:>8} {:>12} {:>12}", "peers", "before MB", "after MB");
    let mut points = Vec::new();
    for size in sizes {
        let group = Group::start(1).await?;
        let daemon = group.start_daemon("watched", 0, 2)?;
        let base = rig::fresh_base();
        for i in 0..size {
            let address = start_peer(&base).await?;
            let peer = HostRecord { peer_address: address, ..light::record(i) };
            register(&group, peer).await?;
        }
        group.accept(service("spread")).await?;
        for i in 0..size {
            let intent = Intent::PutBackendServer {
                service: "spread".into(),
                name: format!("server-{i:04}"),
                host: format!("host-{i:04}"),
                address: "127.0.0.1:9001".into(),
                slots: 12,
            };
            group.accept(intent).await?;
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
        let before = daemon.cost().memory as f64 / 1e6;
        let caller = group.caller(0);
        for _ in 0..size * 3 {
            call(&caller).await;
        }
        let after = daemon.cost().memory as f64 / 1e6;
        println!("{size:>8} {before:>12.1} {after:>12.1}");
        points.push((size as f64, after - before));
    }
    let line = stats::fit(&points);
    println!("daemon MB: {:.2} + {:.4} for each peer connected", line.intercept, line.slope);
    Ok(())
}

async fn start_peer(base: &str) -> Result<String, String> {
    let listener = serve::listen(&format!("{base}:0")).await.map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?.to_string();
    let refuse = |req: http::Request<hyper::body::Incoming>| async move {
        let call = hop::read_call(req.headers()).map(|(_, head)| head.call);
        hop::write_answer(call.unwrap_or_default(), Err(Refused::new(Reason::Draining)), None)
    };
    tokio::spawn(serve::serve(listener, Phases::default(), refuse));
    Ok(address)
}

async fn register(group: &Group, record: HostRecord) -> Result<(), String> {
    let address = format!("{}:7201", group.base);
    let client = rpc::connect(&address, None, TIMEOUT).await.map_err(|e| e.to_string())?;
    let held = Revision::default();
    let req = SyncRequest {
        record,
        held,
        confirmed: false,
        wait_ms: 0,
        instance: None,
        fetching: None,
        looks_in: false,
        control_known: 0,
        tally: None,
    };
    client.sync(req).await.map(|_| ()).map_err(|e| e.to_string())
}

async fn call(caller: &str) {
    let pool = Pool::new(caller, Counter::default());
    let req = http::Request::get("/work").header("cherrystream-service", "spread");
    if let (Ok(connection), Ok(req)) = (pool.connection().await, req.body(body::empty())) {
        let _ = pool.send(connection, req).await;
    }
}
