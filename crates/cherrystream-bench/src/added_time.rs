//! Latency that the system adds to a call over one hop and over two, compared with a direct call.

use crate::group::Group;
use crate::stats;
use argh::FromArgs;
use cherrystream_net::serve::{self, Phases};
use cherrystream_schema::messages::Intent;
use cherrystream_standin::backend::{Backend, Options};
use cherrystream_standin::load;
use cherrystream_standin::profile::{LoadKind, Profile};
use std::time::Duration;

/// Measure the latency that the system adds to a call.
#[derive(FromArgs)]
#[argh(subcommand, name = "added-time")]
pub struct Args {
    /// requests per second
    #[argh(option, default = "1000.0")]
    rate: f64,
    /// rounds; each measures the three paths one after the other
    #[argh(option, default = "7")]
    rounds: usize,
    /// worker threads of each daemon
    #[argh(option, default = "2")]
    workers: u32,
    /// duration of each measurement in seconds
    #[argh(option, default = "2.0")]
    seconds: f64,
}

/// Time for the daemons to receive the configuration.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// A path that calls take to a backend server.
struct CallPath {
    name: &'static str,
    target: String,
    service: &'static str,
    direct: bool,
}

/// Runs the measurement.
pub async fn run(args: &Args) -> Result<(), String> {
    let group = Group::start(1).await?;
    let daemons = [
        group.start_daemon("host-0", 0, args.workers)?,
        group.start_daemon("host-1", 1, args.workers)?,
    ];
    let mut servers = Vec::new();
    for (number, service) in ["here", "there"].into_iter().enumerate() {
        let address = start_server(&group.base).await?;
        group
            .accept(Intent::PutService { service: service.into(), measuring_per_second: 5 })
            .await?;
        let intent = Intent::PutBackendServer {
            service: service.into(),
            name: format!("{service}-1"),
            host: format!("host-{number}"),
            address: address.clone(),
            slots: 200,
        };
        group.accept(intent).await?;
        servers.push(address);
    }
    let caller = group.caller(0);
    let path = |name, target: &str, service, direct| CallPath {
        name,
        target: target.into(),
        service,
        direct,
    };
    let paths = [
        path("direct", &servers[0], "here", true),
        path("one hop", &caller, "here", false),
        path("two hops", &caller, "there", false),
    ];
    tokio::time::sleep(SETTLING_TIME).await;
    let cost = || daemons.iter().map(|d| d.cost().cpu).sum::<f64>();
    let before = cost();
    let calls = measure(args, &paths).await?;
    println!("processor time of both daemons: {:.1} us a call", (cost() - before) / calls * 1e6);
    Ok(())
}

/// Starts a backend server whose work takes no time, so that only the path's latency remains.
async fn start_server(base: &str) -> Result<String, String> {
    let listener = serve::listen(&format!("{base}:0")).await.map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?.to_string();
    let opts = Options { work: Duration::ZERO, slots: 200, ..Options::default() };
    tokio::spawn(Backend::new(opts, None).serve(listener, Phases::default()));
    Ok(address)
}

/// Measures all paths, prints the table and returns the number of calls that passed the daemons.
async fn measure(args: &Args, paths: &[CallPath]) -> Result<f64, String> {
    let mut calls = 0.0;
    let mut p50 = vec![Vec::new(); paths.len()];
    let mut p99 = vec![Vec::new(); paths.len()];
    for round in 0..=args.rounds {
        for (i, path) in paths.iter().enumerate() {
            let report = load::run(&options(args, path, round as u64), &profile(path)).await;
            let all = report.lines.last().ok_or("the load generator returned no report")?;
            if all.answered != all.sent {
                return Err(format!(
                    "{}: {} of {} calls were answered; use a lower rate",
                    path.name, all.answered, all.sent
                ));
            }
            if !path.direct {
                calls += all.sent as f64;
            }
            // The first round opens the connections and is not counted.
            if round > 0 {
                p50[i].push(all.p50_us as f64);
                p99[i].push(all.p99_us as f64);
            }
        }
    }
    println!(
        "{} requests/s, {} rounds of {} s, medians in ms",
        args.rate, args.rounds, args.seconds
    );
    println!("{:<10} {:>8} {:>8} {:>12} {:>12}", "way", "p50", "p99", "added p50", "added p99");
    for (i, path) in paths.iter().enumerate() {
        let added = |all: &[Vec<f64>]| {
            let each: Vec<f64> = all[i].iter().zip(&all[0]).map(|(a, b)| a - b).collect();
            stats::median(&each) / 1_000.0
        };
        let (a, b) = (stats::median(&p50[i]) / 1_000.0, stats::median(&p99[i]) / 1_000.0);
        println!("{:<10} {a:>8.3} {b:>8.3} {:>12.3} {:>12.3}", path.name, added(&p50), added(&p99));
    }
    Ok(calls)
}

fn options(args: &Args, path: &CallPath, seed: u64) -> load::Options {
    load::Options {
        targets: vec![path.target.clone()],
        rate: args.rate,
        duration: Duration::from_secs_f64(args.seconds),
        direct: path.direct,
        seed,
        ..load::Options::default()
    }
}

fn profile(path: &CallPath) -> Profile {
    let kind = LoadKind {
        service: path.service.into(),
        kind: "read".into(),
        method: "GET".into(),
        path: "/work".into(),
        share: 1.0,
        weight: 1.0,
        body_bytes: 0,
        once: false,
        deadline_ms: None,
    };
    Profile { kinds: vec![kind] }
}
