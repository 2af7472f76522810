//! A heartbeat that names no backend server to use takes the place of the backend server beside a
//! daemon for good: that of another writer, one of whose fields has another type, or the late one of
//! an earlier run that has crashed.

use crate::backend::{self, Backend, Options};
use crate::client::{self, Attempt};
use crate::record::Record;
use crate::site::{Bounds, Site};
use crate::Outcome;
use std::net::TcpListener;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const FIRST: &str = r#""r-first":{"host":"desk.example","path_prefix":"/quote/","route_type":"safe","timeout_s":2,"target_latency_s":0.8,"priority":2,"service":"quote-desk","max_attempts":2}"#;
const ADDED: &str = r#""r-added":{"host":"desk.example","path_prefix":"/sanctions/","route_type":"safe","timeout_s":0.8,"target_latency_s":0.2,"priority":1,"service":"payout-engine","max_attempts":2}"#;
const REST: &str = r#""services":{"quote-desk":{"health_check_path":"/healthz","max_connections":3400,"protocol":"h1","tls":false},"payout-engine":{"health_check_path":"/healthz","max_connections":3400,"protocol":"h1","tls":false}},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;

/// Bounds of the deployment.
const CONTACT: Duration = Duration::from_secs(5);
const CONFIG_APPLY: Duration = Duration::from_secs(3);

/// Time for which the heartbeat of the earlier run is held up on its way.
const HELD_UP: Duration = Duration::from_secs(5);

/// Which heartbeat arrives.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Beat {
    /// That of another writer, whose `zone` is a number.
    OtherWriter,
    /// The first one of an earlier run, which crashed, seconds late.
    EarlierRun,
}

/// Starts a run of a backend server that crashes after a second. Nobody knows it, as its heartbeat is
/// held up, so it gets no request.
fn run_and_crash(address: &str, record: &Arc<Record>) -> Result<JoinHandle<()>, String> {
    let listener = TcpListener::bind(address).map_err(|e| format!("{address}: {e}"))?;
    let record = record.clone();
    record.line("i-earlier: started; its first heartbeat is held up on its way");
    Ok(thread::spawn(move || {
        thread::sleep(Duration::from_secs(1));
        drop(listener);
        record.line("i-earlier: crashed");
    }))
}

fn served(attempts: &[Attempt]) -> usize {
    attempts.iter().filter(|a| a.answer == Some((200, true))).count()
}

pub fn run(record: Arc<Record>, troubled: bool, beat: Beat) -> Outcome {
    let bounds = Bounds { drain_s: 3.0, config_apply_s: 3.0, budget_extra: 1040 };
    let site = Site::start(record.clone(), &["quote-desk", "payout-engine"], bounds)?;
    // The earlier run listens at the same address for a second and crashes before its second
    // heartbeat; the first one is held up on its way for 5 s.
    let earlier_started = Instant::now();
    let earlier_born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis());
    let earlier = match beat {
        Beat::EarlierRun => Some(run_and_crash(&site.sides[1].backend(), &record)?),
        Beat::OtherWriter => None,
    };
    if let Some(crashed) = earlier {
        let _ = crashed.join();
        thread::sleep(Duration::from_secs(2));
    }
    let mut backends = Vec::new();
    for (n, side) in site.sides.iter().enumerate() {
        backends.push(Backend::start(
            Options {
                id: ["i-quote", "i-payout"][n],
                service: ["quote-desk", "payout-engine"][n],
                address: side.backend(),
                reports_to: side.reports(),
                slots: 9,
                work: Duration::from_millis(40),
                tells_born: true,
                heartbeat: Duration::from_millis(3_000),
                seed: 11,
            },
            record.clone(),
        )?);
    }
    site.replace_config(
        &format!("{{\"version\":1,\"routes\":{{{FIRST}}},{REST}"),
        Duration::from_secs(20),
    )?;
    site.wait_ready(Duration::from_secs(10))?;
    thread::sleep(match beat {
        Beat::OtherWriter => Duration::from_secs(5),
        Beat::EarlierRun => HELD_UP.saturating_sub(earlier_started.elapsed()),
    });
    let taken = backends[1].acked.load(Ordering::Relaxed);
    if taken == 0 {
        return Err("the backend server was never acknowledged".into());
    }
    if troubled {
        let side = &site.sides[1];
        let (id, body) = match beat {
            // An id, a service that the configuration names, a known state; `zone` is a number.
            Beat::OtherWriter => (
                "i-otherwriter",
                format!(
                    "{{\"service\":\"payout-engine\",\"address\":\"{}:9\",\"zone\":7,\
                     \"version\":\"v1\",\"slots\":9,\"state\":\"ready\",\"warmup_left_s\":0,\
                     \"seq\":4,\"born\":1764728054000}}",
                    side.ip
                ),
            ),
            // The first heartbeat of the run that has crashed.
            Beat::EarlierRun => (
                "i-earlier",
                format!(
                    "{{\"service\":\"payout-engine\",\"address\":\"{}\",\"zone\":\"zone-1\",\
                     \"version\":\"v1\",\"slots\":9,\"state\":\"ready\",\"warmup_left_s\":3,\
                     \"seq\":1,\"born\":{earlier_born}}}",
                    side.backend()
                ),
            ),
        };
        let path = format!("/-/rpc?call=instances.heartbeat&of={id}");
        let outcome = match beat {
            Beat::OtherWriter => {
                format!("answered {:?}", backend::send_report(&side.reports(), &path, &body))
            }
            Beat::EarlierRun => {
                format!("{:?}", backend::deliver_report(&side.reports(), &path, &body))
            }
        };
        record.line(&format!("heartbeat of {id} arrives: {body}; {outcome}"));
    }
    thread::sleep(CONTACT);
    site.replace_config(
        &format!("{{\"version\":2,\"routes\":{{{FIRST},{ADDED}}},{REST}"),
        Duration::from_secs(10),
    )?;
    thread::sleep(CONFIG_APPLY + Duration::from_millis(500));
    let doors: Vec<String> = site.sides.iter().map(|side| side.outbound()).collect();
    let mut first = Vec::new();
    let mut added = Vec::new();
    // 30 s of steady state: the backend server's own heartbeats go on all the time.
    for _ in 0..3 {
        let (doors, sender) = (doors.clone(), record.clone());
        let attempts = client::load(Duration::from_millis(50), 200, move |n| {
            let (path, deadline) = match n % 2 {
                0 => ("/quote/a", Duration::from_millis(2_000)),
                _ => ("/sanctions/a", Duration::from_millis(800)),
            };
            client::send(&doors[n / 2 % 2], "GET", "desk.example", path, deadline, &sender)
        });
        for (n, attempt) in attempts.into_iter().enumerate() {
            if n % 2 == 0 {
                first.push(attempt)
            } else {
                added.push(attempt)
            }
        }
    }
    let again = backends[1].acked.load(Ordering::Relaxed);
    record.line(&format!(
        "i-payout: {} of its heartbeats were acknowledged after that",
        again - taken
    ));
    let (a, b) = (served(&first), served(&added));
    record.line(&format!("first routes: {a} of {} served", first.len()));
    record.line(&format!("added routes: {b} of {} served", added.len()));
    if a * 2 < first.len() {
        return Err("the first routes were not served".into());
    }
    // CONFIG: at least 20 requests on routes added later, served under a quarter as often.
    Ok(b * first.len() * 4 < a * added.len())
}
