//! Two daemons are stopped one after the other, as in a rolling restart, while requests of some
//! seconds run.

use crate::site::{Fallible, Site};
use crate::{http, Held};
use std::sync::mpsc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const SERVICE: &str = "licensing";
/// `gap_s` of `roll_term` in the site file.
const GAP: Duration = Duration::from_millis(1_300);
/// A request is excused from here on: the last sixth of `grace_s`, counted from the SIGTERM.
const EXCUSED: Duration = Duration::from_millis(5_000);
const PATIENCE: Duration = Duration::from_secs(9);
const REQUESTS: u32 = 12;

struct End {
    id: String,
    sent: Duration,
    ended: Duration,
    what: String,
    answered: bool,
}

fn config() -> String {
    let service = |name: &str| {
        format!("\"{name}\":{{\"health_check_path\":\"/healthz\",\"max_connections\":220,\"protocol\":\"h1\",\"tls\":false}}")
    };
    format!(
        "{{\"version\":1,\"routes\":{{\"r-grant\":{{\"host\":\"grant.example\",\"path_prefix\":\"/grant/\",\"route_type\":\"unsafe\",\
         \"timeout_s\":5,\"target_latency_s\":0.8,\"priority\":1,\"service\":\"{SERVICE}\",\"max_attempts\":2}}}},\
         \"services\":{{{},{}}},\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\
         \"idle_timeout_s\":15}}}}",
        service(SERVICE),
        service("catalogue")
    )
}

pub fn play(site: &mut Site, trouble: bool) -> Fallible<Held> {
    for host in 1..=3 {
        site.start_control(host, "abdali", true)?;
    }
    site.start_daemon(5, "abdali", "catalogue")?;
    site.start_backend(5, "catalogue", 24)?;
    for host in 6..=7 {
        site.start_daemon(host, "abdali", SERVICE)?;
        site.start_backend(host, SERVICE, 24)?;
    }
    // Machines that only make the stopped ones a share of two in five.
    for host in 8..=9 {
        site.start_daemon(host, "abdali", "catalogue")?;
        site.start_backend(host, "catalogue", 12)?;
    }
    site.replace_config(&[1, 2, 3], 1, &config(), Duration::from_secs(15))?;
    site.wait_ready(&[5, 6, 7, 8, 9], Duration::from_secs(15))?;
    // Calm for longer than `contact_s` before the planned work.
    sleep(Duration::from_secs(5));
    if trouble {
        site.note("SIGTERM to the daemon of sidecar-6; its backend server keeps running");
        site.signal("sidecar-6", "-TERM")?;
    }
    sleep(GAP);
    let stop = Instant::now();
    if trouble {
        site.note("SIGTERM to the daemon of sidecar-5, which takes the clients' requests; its backend server keeps running");
        site.signal("sidecar-5", "-TERM")?;
    }
    sleep(Duration::from_millis(200));
    let (tx, rx) = mpsc::channel();
    let at = site.outbound(5);
    for n in 0..REQUESTS {
        let tx = tx.clone();
        thread::spawn(move || {
            let id = format!("{:08x}{n:08x}", std::process::id());
            let headers = [
                ("Host", "grant.example".to_string()),
                ("X-Attempt-Id", id.clone()),
                ("X-Request-Timeout-Ms", "5000".to_string()),
            ];
            let sent = stop.elapsed();
            let answer =
                http::call(at, "POST", &format!("/grant/{n}"), &headers, b"order", PATIENCE);
            let (what, answered) = match answer {
                Ok(a) => {
                    let signed = a.head.get("x-server-signature").is_some();
                    (
                        format!(
                            "{} with {} bytes, signature {}",
                            a.status,
                            a.body.len(),
                            if signed { "there" } else { "none" }
                        ),
                        signed,
                    )
                }
                Err(e) => (format!("no complete answer: {e}"), false),
            };
            let _ = tx.send(End { id, sent, ended: stop.elapsed(), what, answered });
        });
        sleep(Duration::from_millis(33));
    }
    drop(tx);
    let mut ends: Vec<End> = rx.iter().collect();
    ends.sort_by_key(|e| e.sent);
    if trouble {
        // The platform starts a process again after its end.
        for (host, service) in [(6u8, SERVICE), (5, "catalogue")] {
            let name = format!("sidecar-{host}");
            let end = Instant::now() + Duration::from_secs(3);
            while site.processes.get_mut(&name).is_some_and(|p| matches!(p.try_wait(), Ok(None)))
                && Instant::now() < end
            {
                sleep(Duration::from_millis(50));
            }
            site.start_daemon(host, "abdali", service)?;
        }
    }
    let runs = site.runs();
    let mut broken = 0;
    for e in &ends {
        let began = runs.iter().any(|line| line.contains(&format!("runs {} ", e.id)));
        let cut = runs.iter().any(|line| line.contains(&format!("ends {} cut", e.id)));
        let is_broken = !e.answered && began && cut && e.ended < EXCUSED;
        broken += u32::from(is_broken);
        site.note(format!(
            "request {} sent {:.3} s after the second SIGTERM: {} at {:.3} s; {}{}",
            e.id,
            e.sent.as_secs_f64(),
            e.what,
            e.ended.as_secs_f64(),
            match (began, cut) {
                (true, true) => "it was cut off from its backend server, which was working on it",
                (true, false) => "its backend server ended it",
                _ => "it did not run",
            },
            if is_broken { ": LOST" } else { "" }
        ));
    }
    let answered = ends.iter().filter(|e| e.answered).count();
    site.note(format!("{} requests, {answered} answered by their backend server, {broken} broken off while it worked", ends.len()));
    Ok(broken == 0)
}
