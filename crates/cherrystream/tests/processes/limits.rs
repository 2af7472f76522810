//! Backend servers that state a rate limit, or that they are leaving, in their answers.

use super::support::client::{self, Ask};
use super::support::site::{Daemon, Server, Site};
use super::support::wait;
use cherrystream_net::pool::Pool;
use nix::sys::signal::Signal;
use parking_lot::Mutex;
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

const HOSTS: u16 = 5;
/// Requests per second of all callers together.
const OFFERED_PER_SECOND: u32 = 100;
/// Requests per second that a limited server states.
const LIMIT: u64 = 4;
/// Length of the sliding window in which the requests of a limited server are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Most requests of a limited server in a window: one and a half times its limit, and five.
const MAX_IN_WINDOW: u64 = LIMIT * 4 * 3 / 2 + 5;
/// Time after which a server that is leaving gets no request.
const DRAIN_TIME: Duration = Duration::from_secs(3);
/// Interval of the samples of the servers' counts.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Requests that a server has run, sampled over time.
type Samples = Arc<Mutex<Vec<(Instant, u64)>>>;

/// Five hosts with one backend server each.
struct Rig {
    site: Site,
    daemons: Vec<Daemon>,
    servers: Vec<Server>,
    /// Daemons that callers avoid while they are restarted.
    down: Arc<Vec<AtomicBool>>,
    samples: Vec<Samples>,
    sampling: Vec<JoinHandle<()>>,
}

/// A request's end at its caller.
struct Ended {
    at: Instant,
    took: Duration,
    /// Whether the answer was complete, and whether it was that of a backend server.
    outcome: Option<bool>,
    /// Why it was refused, if it was.
    reason: String,
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.sampling.iter().for_each(JoinHandle::abort);
    }
}

async fn rig() -> Rig {
    let site = Site::with_control(1).await;
    let (mut daemons, mut servers) = (Vec::new(), Vec::new());
    site.put_service("quotes").await;
    for number in 1..=HOSTS {
        let host = format!("host-{number}");
        daemons.push(site.start_daemon(&host, &format!("d{}", number % 3), number));
        let name = format!("quotes-{number}");
        let server = site.start_server(&name, &[]);
        site.put_server("quotes", &name, &host, &server).await;
        servers.push(server);
    }
    site.in_force(&daemons.iter().collect::<Vec<_>>()).await;
    for daemon in &daemons {
        daemon.serves("quotes").await;
    }
    let samples: Vec<Samples> = servers.iter().map(|_| Samples::default()).collect();
    let sampling = servers
        .iter()
        .zip(&samples)
        .map(|(server, samples)| tokio::spawn(sample(server.address.clone(), samples.clone())));
    let sampling = sampling.collect();
    let down = Arc::new((0..HOSTS).map(|_| AtomicBool::new(false)).collect());
    Rig { site, daemons, servers, down, samples, sampling }
}

async fn sample(address: String, samples: Samples) {
    let pool = Pool::new(&address, Default::default());
    loop {
        let answer = client::send_on(&pool, &Ask::get("/standin/counts")).await;
        if let Some(runs) = answer.and_then(|answer| answer.json()["runs"].as_u64()) {
            samples.lock().push((Instant::now(), runs));
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

impl Rig {
    /// Starts callers that send requests to the daemons in turn until the task is awaited.
    fn start_callers(&self) -> (Arc<AtomicBool>, JoinHandle<Vec<Ended>>) {
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, down) = (stop.clone(), self.down.clone());
        let callers: Vec<String> = self.daemons.iter().map(|d| d.caller.clone()).collect();
        let task = tokio::spawn(async move {
            let mut sent = Vec::new();
            let mut interval = tokio::time::interval(Duration::from_secs(1) / OFFERED_PER_SECOND);
            let mut n = 0;
            while !stopped.load(Ordering::Relaxed) {
                interval.tick().await;
                n += 1;
                let up = (0..callers.len()).map(|i| (n + i) % callers.len());
                let at = up.into_iter().find(|at| !down[*at].load(Ordering::Relaxed)).unwrap();
                sent.push(tokio::spawn(call(callers[at].clone(), 20 + n % 40)));
            }
            let mut ended = Vec::new();
            for task in sent {
                ended.push(task.await.unwrap());
            }
            ended
        });
        (stop, task)
    }

    async fn state(&self, server: usize, faults: serde_json::Value) -> Instant {
        client::set_faults(&self.servers[server].address, faults).await;
        Instant::now()
    }

    /// Ends the daemon beside a server with a signal and starts it again. Callers avoid it.
    async fn restart_daemon(&mut self, number: usize, signal: Signal) {
        self.down[number].store(true, Ordering::Relaxed);
        let daemon = &mut self.daemons[number];
        daemon.process.signal(signal);
        daemon.process.ended().await;
        daemon.restart();
        self.site.in_force(&[&self.daemons[number]]).await;
    }

    /// Lets callers use a daemon again.
    async fn use_daemon(&self, number: usize) {
        self.daemons[number].serves("quotes").await;
        self.down[number].store(false, Ordering::Relaxed);
    }

    /// Returns the most requests that a server ran in a window that begins between two times.
    fn most_in_window(&self, server: usize, from: Instant, until: Instant) -> u64 {
        let samples = self.samples[server].lock();
        let inside: Vec<_> = samples.iter().filter(|(at, _)| (from..until).contains(at)).collect();
        let in_window = |(first, (start, before)): (usize, &&(Instant, u64))| {
            let last = inside[first..].iter().take_while(|(at, _)| *at <= *start + WINDOW).last();
            last.map_or(0, |(_, runs)| runs - before)
        };
        inside.iter().enumerate().map(in_window).max().unwrap_or_default()
    }

    /// Returns the requests that a server ran between two times.
    fn runs_between(&self, server: usize, from: Instant, until: Instant) -> u64 {
        let samples = self.samples[server].lock();
        let mut runs =
            samples.iter().filter(|(at, _)| (from..until).contains(at)).map(|(_, runs)| *runs);
        let first = runs.next().unwrap_or_default();
        runs.next_back().map_or(0, |last| last - first)
    }
}

async fn call(address: String, work_ms: usize) -> Ended {
    let sent = Instant::now();
    let ask = Ask::get(&format!("/work?work_ms={work_ms}")).service("quotes");
    let answer = client::send(&address, &ask).await;
    let reason = answer.as_ref().map(|answer| answer.reason().to_string()).unwrap_or_default();
    let outcome = answer.map(|answer| answer.outcome() == "answered");
    Ended { at: sent, took: sent.elapsed(), outcome, reason }
}

/// Returns the share of the requests sent between two times that a backend server answered.
fn served(ended: &[Ended], from: Instant, until: Instant) -> f64 {
    let sent: Vec<_> = ended.iter().filter(|e| (from..until).contains(&e.at)).collect();
    let answered = sent.iter().filter(|e| e.outcome == Some(true)).count();
    answered as f64 / sent.len() as f64
}

/// Counts the refusals of requests sent between two times by reason.
fn refusals(ended: &[Ended], from: Instant, until: Instant) -> BTreeMap<&str, usize> {
    let mut counts = BTreeMap::new();
    let refused = ended.iter().filter(|e| e.outcome == Some(false));
    for refused in refused.filter(|e| (from..until).contains(&e.at)) {
        *counts.entry(refused.reason.as_str()).or_default() += 1;
    }
    counts
}

fn limit() -> serde_json::Value {
    json!({"limit": LIMIT.to_string()})
}

async fn seconds(seconds: f64) {
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
}

/// Guards against a server getting more than the rate it states, also after restarts beside it.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_states_a_limit_gets_no_more_than_that() {
    let mut rig = rig().await;
    let (stop, callers) = rig.start_callers();
    seconds(2.0).await;
    let stated = rig.state(0, limit()).await;
    rig.state(1, limit()).await;
    seconds(6.0).await;
    rig.restart_daemon(0, Signal::SIGTERM).await;
    rig.use_daemon(0).await;
    seconds(3.0).await;
    rig.restart_daemon(1, Signal::SIGKILL).await;
    rig.use_daemon(1).await;
    seconds(4.0).await;
    let until = Instant::now();
    stop.store(true, Ordering::Relaxed);
    let ended = callers.await.unwrap();
    let from = stated + Duration::from_secs(1);
    let most = [0, 1].map(|server| rig.most_in_window(server, from, until));
    let served = served(&ended, from, until);
    println!("most in 4 s: {most:?}, served {served:.3}");
    assert!(most.iter().all(|most| *most <= MAX_IN_WINDOW), "{most:?} in 4 s");
    // The other three servers have free slots for all requests.
    assert!(served > 0.95, "{served:.3} of the requests were served");
}

/// Guards against origins that know of a server's leaving sending there, also after a restart beside it.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_states_its_leaving_gets_no_requests() {
    let mut rig = rig().await;
    let (stop, callers) = rig.start_callers();
    seconds(2.0).await;
    let stated = rig.state(2, json!({"leaving": true})).await;
    seconds(5.0).await;
    rig.restart_daemon(2, Signal::SIGTERM).await;
    seconds(3.0).await;
    let until = Instant::now();
    stop.store(true, Ordering::Relaxed);
    let ended = callers.await.unwrap();
    let late = rig.runs_between(2, stated + DRAIN_TIME, until);
    let served = served(&ended, stated, until);
    println!("late requests: {late}, served {served:.3}");
    assert_eq!(late, 0, "requests later than {DRAIN_TIME:?} after it stated its leaving");
    assert!(served > 0.95, "{served:.3} of the requests were served");
}

/// Guards against refusing requests while a server that leaves could still serve them, and against
/// using it for longer.
#[tokio::test(flavor = "multi_thread")]
async fn a_service_whose_servers_all_leave_is_served_for_the_grace_only() {
    let rig = rig().await;
    let (stop, callers) = rig.start_callers();
    seconds(1.0).await;
    let mut stated = Instant::now();
    for server in 0..usize::from(HOSTS) {
        stated = rig.state(server, json!({"leaving": true})).await;
    }
    seconds(5.0).await;
    let until = Instant::now();
    stop.store(true, Ordering::Relaxed);
    let ended = callers.await.unwrap();
    let in_grace = stated + Duration::from_millis(1_500);
    let refusals = refusals(&ended, stated, in_grace);
    let grace = served(&ended, stated, in_grace);
    let late = served(&ended, stated + DRAIN_TIME, until);
    println!("served {grace:.3} in the grace, {late:.3} after it");
    assert!(grace >= 0.99, "{grace:.3} served in the grace, refused: {refusals:?}");
    assert_eq!(late, 0.0, "requests served after the grace");
}

/// Guards against a limited service being idle, answering late, or staying limited.
#[tokio::test(flavor = "multi_thread")]
async fn a_service_whose_servers_are_all_limited_serves_their_sum() {
    let rig = rig().await;
    let (stop, callers) = rig.start_callers();
    seconds(1.0).await;
    let mut stated = Instant::now();
    for server in 0..usize::from(HOSTS) {
        stated = rig.state(server, limit()).await;
    }
    seconds(9.0).await;
    let ending = Instant::now();
    for server in 0..usize::from(HOSTS) {
        rig.state(server, json!({})).await;
    }
    seconds(5.0).await;
    let until = Instant::now();
    stop.store(true, Ordering::Relaxed);
    let ended = callers.await.unwrap();
    let from = stated + Duration::from_secs(1);
    let limited = served(&ended, from, ending);
    let after = served(&ended, ending + Duration::from_secs(3), until);
    let most: Vec<_> =
        (0..usize::from(HOSTS)).map(|s| rig.most_in_window(s, from, ending)).collect();
    let mut refusals: Vec<_> =
        ended.iter().filter(|e| e.outcome == Some(false)).map(|e| e.took).collect();
    refusals.sort_unstable();
    let slow = refusals.get(refusals.len() * 95 / 100).copied().unwrap_or_default();
    let closed = ended.iter().filter(|e| e.outcome.is_none()).count();
    println!("most {most:?}, served {limited:.3}, then {after:.3}; refused in {slow:?}");
    assert!(most.iter().all(|most| *most <= MAX_IN_WINDOW), "{most:?} in 4 s");
    let allowed = (LIMIT * u64::from(HOSTS)) as f64 / f64::from(OFFERED_PER_SECOND);
    assert!(limited >= 0.7 * allowed, "{limited:.3} served where the limits allow {allowed:.3}");
    assert!(after >= 0.99, "{after:.3} served after the end of the limits");
    assert!(slow < Duration::from_millis(500), "refusals took {slow:?}");
    assert_eq!(closed, 0, "connections closed without an answer");
}

/// Guards against hiding from callers what a server states.
#[tokio::test(flavor = "multi_thread")]
async fn callers_receive_what_a_server_states() {
    let rig = rig().await;
    for server in 0..usize::from(HOSTS) {
        rig.state(server, json!({"limit": "50.5", "leaving": false})).await;
    }
    for daemon in &rig.daemons {
        let answer = daemon.call(&Ask::get("/work").service("quotes")).await.unwrap();
        assert_eq!(answer.header("cherrystream-server-limit"), "50.5");
    }
    wait::until("an operator sees the limit", || async {
        let mut stated = 0.0;
        for daemon in &rig.daemons {
            for server in 1..=HOSTS {
                let name = format!("cherrystream_server_limit{{server=\"quotes-{server}\"}}");
                stated += daemon.metric(&name).await;
            }
        }
        (stated >= 50.5).then_some(())
    })
    .await;
    assert!(rig.site.status().await.is_some());
}
