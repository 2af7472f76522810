//! Requests that end the backend servers that run them.
//!
//! What users saw: over half of the requests for one service failed for 15 seconds at a time, three times in a day; its backend servers
//! ended one after the other, up to 16 of them, and each that came back ended again.
//!
//! Order of events: a caller sent a request whose run ended the backend server. The daemon that had sent it there took the broken
//! connection for one more failed attempt and sent it to the next one, which ended as well. The caller sent it again, under another
//! identifier and to another daemon, time and again; each arrival was a new request with attempts of its own.
//!
//! Cause: nothing joined the arrivals. No part of the system asked why a backend server had ended, knew a request beyond its own call,
//! or told other daemons. Evidence: on this site, on code without a mend, one such request four times a second ends 31 to 33 backend
//! servers in 15 s, 22 or 23 of them later than 3 s after the third, and 0.27 to 0.40 of the other callers' requests are answered; where
//! 14 servers end by themselves in that time all of them are.

use super::support::client::Ask;
use super::support::site::{Daemon, Server, Site};
use parking_lot::Mutex;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

const HOSTS: u16 = 5;
/// Time after which a backend server that has ended is back.
const BACK_AFTER: Duration = Duration::from_secs(2);
/// Time in which every daemon has to know of a request that has ended three backend servers.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// Ends that a known request may still cause after that.
const LATE_ENDS_AT_MOST: usize = 3;
/// Share of the other callers' requests that has to be answered while one request ends backend servers.
const OTHERS_SERVED: f64 = 0.9;
/// As `OTHERS_SERVED`, while backend servers end by themselves and a harmless request is at work there: it was 0.991 to 1.0
/// before anything was known of such requests.
const HARMLESS_SERVED: f64 = 0.98;

/// Keeps a backend server running, and notes when it ended.
struct Kept {
    kill: Arc<AtomicBool>,
    task: JoinHandle<()>,
}

type Ends = Arc<Mutex<Vec<Instant>>>;

fn keep(mut server: Server, ends: Ends) -> Kept {
    let kill = Arc::new(AtomicBool::new(false));
    let killed = kill.clone();
    let task = tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(10)).await;
            if killed.swap(false, Ordering::Relaxed) {
                server.process.kill_if_running();
            }
            if server.process.is_running() {
                continue;
            }
            ends.lock().push(Instant::now());
            tokio::time::sleep(BACK_AFTER).await;
            server.restart();
        }
    });
    Kept { kill, task }
}

impl Drop for Kept {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Five hosts with one backend server each, which certain requests end.
struct Rig {
    _site: Site,
    daemons: Arc<Vec<Daemon>>,
    servers: Vec<Kept>,
    ends: Ends,
}

async fn rig() -> Rig {
    let site = Site::with_control(1).await;
    let (mut daemons, mut servers) = (Vec::new(), Vec::new());
    let ends = Ends::default();
    site.put_service("quotes").await;
    for path in ["/work", "/deadly"] {
        site.accept(json!({
            "intent": "put-kind", "service": "quotes", "kind": path.trim_start_matches('/'), "method": "POST",
            "path_prefix": path, "repeatable": true, "weight": 1, "deadline_ms": 2000
        }))
        .await;
    }
    for number in 1..=HOSTS {
        let host = format!("host-{number}");
        daemons.push(site.start_daemon(&host, &format!("d{}", number % 3), number));
        let name = format!("quotes-{number}");
        let server = site.start_server(&name, &["--ends-on", "/deadly"]);
        site.put_server("quotes", &name, &host, &server).await;
        servers.push(keep(server, ends.clone()));
    }
    site.in_force(&daemons.iter().collect::<Vec<_>>()).await;
    for daemon in &daemons {
        daemon.serves("quotes").await;
    }
    Rig { _site: site, daemons: Arc::new(daemons), servers, ends }
}

impl Rig {
    /// Sends a request so often a second for a time, at one daemon after the other; returns the share that was answered.
    async fn ask(&self, per_second: u32, time: Duration, ask: impl Fn(u32) -> Ask) -> f64 {
        let mut asked = Vec::new();
        let mut interval = tokio::time::interval(Duration::from_secs(1) / per_second);
        for n in 0..(time.as_secs_f64() * f64::from(per_second)) as u32 {
            interval.tick().await;
            let (daemons, ask) = (self.daemons.clone(), ask(n).service("quotes"));
            // Seven steps on: two loads on one site do not always meet at the same daemon.
            let at = (n * 7 / 3) as usize % daemons.len();
            asked.push(tokio::spawn(async move {
                let answer = daemons[at].call(&ask).await;
                answer.is_some_and(|answer| answer.outcome() == "answered")
            }));
        }
        let (mut answered, all) = (0, asked.len());
        for task in asked {
            answered += usize::from(task.await.unwrap());
        }
        answered as f64 / all as f64
    }

    async fn others(&self, time: Duration) -> f64 {
        self.ask(40, time, |n| Ask::get(&format!("/work/{n}?work_ms=20"))).await
    }

    /// Returns how many backend servers ended later than that all daemons had to know.
    fn late_ends(&self) -> usize {
        let ends = self.ends.lock();
        let Some(third) = ends.get(2) else { return 0 };
        ends.iter().filter(|at| **at > *third + KNOWN_WITHIN).count()
    }
}

/// Plays a request that ends backend servers, sent four times a second, beside other callers' requests.
async fn play(deadly: Ask) -> Rig {
    let rig = rig().await;
    let time = Duration::from_secs(15);
    let (_, others) = tokio::join!(rig.ask(4, time, |_| deadly.clone()), rig.others(time));
    let (late, all) = (rig.late_ends(), rig.ends.lock().len());
    println!("{} ended, {late} of them late; others served: {others:.3}", all);
    assert!(late <= LATE_ENDS_AT_MOST, "{late} of {all} backend servers ended late");
    assert!(others > OTHERS_SERVED, "{others:.3} of the other callers' requests were answered");
    rig
}

#[tokio::test(flavor = "multi_thread")]
async fn one_request_that_ends_backend_servers_leaves_the_others_served_get() {
    play(Ask::get("/deadly/1")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_request_that_ends_backend_servers_leaves_the_others_served_post() {
    play(Ask::post("/deadly/1", "a body of 20 bytes..")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_request_that_ends_backend_servers_leaves_the_others_served_reserved() {
    play(Ask::post("/deadly/1", vec![b'x'; 20 * 1024])).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_request_that_ends_backend_servers_leaves_the_others_served_streamed() {
    play(Ask::post("/deadly/1", vec![b'x'; 100 * 1024])).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_harmless_request_is_served_while_backend_servers_end_by_themselves() {
    let rig = rig().await;
    let time = Duration::from_secs(15);
    let kills = async {
        for n in 0..15 {
            tokio::time::sleep(Duration::from_secs(1)).await;
            rig.servers[n * 2 % rig.servers.len()].kill.store(true, Ordering::Relaxed);
        }
    };
    let harmless = rig.ask(20, time, |_| Ask::get("/work/same?work_ms=20"));
    let (harmless, others, ()) = tokio::join!(harmless, rig.others(time), kills);
    println!("{} ended; served: harmless {harmless:.3}, others {others:.3}", rig.ends.lock().len());
    assert!(harmless > HARMLESS_SERVED && others > HARMLESS_SERVED, "{harmless:.3}, {others:.3}");
}
