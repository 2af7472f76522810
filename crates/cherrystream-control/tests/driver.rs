//! The thread that drives the replicated log, with a folder on disk.

mod support;

use cherrystream_control::driver;
use cherrystream_control::folder::DiskFolder;
use cherrystream_control::handle::Handle;
use cherrystream_control::metrics::Metrics;
use cherrystream_control::peers::Peers;
use cherrystream_core::raft::Options;
use cherrystream_core::routes;
use cherrystream_schema::messages::Command;
use std::path::Path;
use std::time::{Duration, Instant};

/// Tables in the log. Applying them takes many slices.
const TABLES: u64 = 150;
/// Routes of each table.
const ROUTES_PER_TABLE: u64 = 300;

fn open(folder: &Path) -> (Handle, std::thread::JoinHandle<()>) {
    let folder = DiskFolder::try_new(folder.to_str().unwrap()).unwrap();
    let first_election = Duration::from_millis(1);
    let opts = Options { disk: "a".into(), first_election, ..Options::default() };
    let peers = Peers::default();
    driver::start(folder, opts, peers, Metrics::default(), |e| panic!("{e}")).unwrap()
}

fn stop(handle: &Handle, thread: std::thread::JoinHandle<()>) {
    handle.events.send(cherrystream_control::handle::Event::Stop).unwrap();
    thread.join().unwrap();
}

/// Guards against repeated elections: a replica that applies a long log must keep sending
/// heartbeats and votes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_replica_responds_while_it_applies_a_long_log() {
    let folder = tempfile::tempdir().unwrap();
    let (handle, thread) = open(folder.path());
    handle.standing.clone().wait_for(|s| s.leads).await.unwrap();
    for number in 1..=TABLES {
        let packed = routes::pack(&support::order(number, ROUTES_PER_TABLE));
        handle.propose(Command::ReplaceRoutes { packed, number: 0 }).await.unwrap();
    }
    stop(&handle, thread);

    let (handle, thread) = open(folder.path());
    let mut responses = 0;
    loop {
        handle.views().await;
        let applied = handle.standing.borrow().applied;
        if handle.state.read().route_number() == TABLES {
            break;
        }
        responses += u32::from(applied > 0);
    }
    // A read waits until the whole log is applied.
    handle.read().await.unwrap();
    assert_eq!(handle.state.read().route_number(), TABLES);
    assert!(responses >= 3, "{responses} responses while the log was applied");
    stop(&handle, thread);
}

/// Routes of one large table.
const LARGE_TABLE_ROUTES: u64 = 14_000;
/// Longest time in which the driver thread may be unresponsive: the heartbeat interval of groups
/// formed from seeds.
const MAX_PAUSE: Duration = Duration::from_millis(200);

/// Guards against the loss of leadership while one large table is applied.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_replica_responds_while_it_applies_one_large_table() {
    let folder = tempfile::tempdir().unwrap();
    let (handle, thread) = open(folder.path());
    handle.standing.clone().wait_for(|s| s.leads).await.unwrap();
    let packed = routes::pack(&support::order(1, LARGE_TABLE_ROUTES));
    let proposing = handle.clone();
    let proposed = tokio::spawn(async move {
        proposing.propose(Command::ReplaceRoutes { packed, number: 1 }).await
    });
    let mut longest = Duration::ZERO;
    while !proposed.is_finished() {
        let asked = Instant::now();
        handle.views().await;
        longest = longest.max(asked.elapsed());
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    proposed.await.unwrap().unwrap();
    assert_eq!(handle.state.read().route_number(), 1);
    println!("the longest pause was {longest:?}");
    assert!(longest < MAX_PAUSE, "no response for {longest:?}");
    stop(&handle, thread);
}
