//! A backend server falls silent while it writes long answers.

use crate::site::{Fallible, Site};
use crate::{config, http, Held};
use std::sync::mpsc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const SERVICE: &str = "quote-desk";
const TIMEOUT: Duration = Duration::from_millis(1_000);
/// The rule grants half a second beyond the timeout.
const LATE: Duration = Duration::from_millis(1_500);
/// `for_s` of `srv_crash` in the site file.
const SILENCE: Duration = Duration::from_millis(4_500);
/// How long the clients of this test wait for an answer.
const PATIENCE: Duration = Duration::from_secs(12);
const PER_SECOND: u32 = 72;

struct End {
    id: String,
    sent: f64,
    took: Duration,
    what: String,
}

pub fn play(site: &mut Site, trouble: bool) -> Fallible<Held> {
    for host in 1..=3 {
        site.start_control(host, "yqr-a", true)?;
    }
    site.start_daemon(5, "yqr-a", "teller")?;
    site.start_backend(5, "teller", 24)?;
    for host in 6..=9 {
        site.start_daemon(host, "yqr-a", SERVICE)?;
        site.start_backend(host, SERVICE, 24)?;
    }
    site.replace_config(
        &[1, 2, 3],
        1,
        &config(1, SERVICE, TIMEOUT.as_secs_f64(), 0.8),
        Duration::from_secs(15),
    )?;
    site.wait_ready(&[5, 6, 7, 8, 9], Duration::from_secs(15))?;
    sleep(Duration::from_secs(4));
    let (tx, rx) = mpsc::channel();
    let at = site.outbound(5);
    let start = site.started;
    let sender = thread::spawn(move || {
        for n in 0..PER_SECOND * 12 {
            let tx = tx.clone();
            thread::spawn(move || {
                let id = format!("{:08x}{n:08x}", std::process::id());
                let headers = [
                    ("Host", "rate.example".to_string()),
                    ("X-Attempt-Id", id.clone()),
                    ("X-Request-Timeout-Ms", TIMEOUT.as_millis().to_string()),
                ];
                let sent = start.elapsed().as_secs_f64();
                let began = Instant::now();
                let answer =
                    http::call(at, "GET", &format!("/quote/big/{n}"), &headers, b"", PATIENCE);
                let what = match answer {
                    Ok(a) => format!(
                        "{} with {} bytes, signature {}",
                        a.status,
                        a.body.len(),
                        a.head.get("x-server-signature").unwrap_or("none")
                    ),
                    Err(e)
                        if e.kind() == std::io::ErrorKind::WouldBlock
                            || e.kind() == std::io::ErrorKind::TimedOut =>
                    {
                        "no complete answer when the client left".into()
                    }
                    Err(e) => format!("cut: {e}"),
                };
                let _ = tx.send(End { id, sent, took: began.elapsed(), what });
            });
            sleep(Duration::from_secs(1) / PER_SECOND);
        }
    });
    sleep(Duration::from_secs(4));
    if trouble {
        site.note(format!("backend-6 falls silent for {SILENCE:?} (SIGSTOP)"));
        site.signal("backend-6", "-STOP")?;
        sleep(SILENCE);
        site.signal("backend-6", "-CONT")?;
        site.note("backend-6 runs again");
    }
    sender.join().map_err(|_| "the clients failed")?;
    let mut ends: Vec<End> = rx.iter().collect();
    ends.sort_by(|a, b| a.sent.total_cmp(&b.sent));
    let lines: Vec<String> = ends
        .iter()
        .map(|e| {
            format!(
                "request {} sent at {:.3} s: {} after {:.3} s",
                e.id,
                e.sent,
                e.what,
                e.took.as_secs_f64()
            )
        })
        .collect();
    site.lines.extend(lines);
    let past = ends.iter().filter(|e| e.took > TIMEOUT).count();
    let late = ends.iter().filter(|e| e.took > LATE).count();
    let good = ends.iter().filter(|e| e.what.starts_with("200")).count();
    site.note(format!("{} requests, {good} answered with 200; {past} ran past the timeout of {TIMEOUT:?}, {late} of these lacked a final answer 0.5 s later", ends.len()));
    if good * 2 < ends.len() {
        return Err("under half of the requests were answered".into());
    }
    Ok(!(late >= 8 && late * 4 > past))
}
