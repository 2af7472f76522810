//! A backend server spoils an answer: its head states a length beside chunks. Clients that keep their
//! connections get half of the body as a whole success, and the rest as their next answer.

use crate::backend::{self, Backend, Options, Troubles};
use crate::http::{self, Message, Reader};
use crate::record::Record;
use crate::site::{Bounds, Site};
use crate::Outcome;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CONFIG: &str = r#"{"version":1,"routes":{
"sender-history":{"host":"teller.example","path_prefix":"/history/","route_type":"safe","timeout_s":0.4,"target_latency_s":0.15,"priority":1,"service":"teller-ledger","max_attempts":2}},
"services":{"teller-ledger":{"health_check_path":"/healthz","max_connections":220,"protocol":"h1","tls":false}},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;

/// `garble`: x = 0.02 of the answers, on one of two backend servers, for 5.5 s at a time.
const SPOILED: f64 = 0.02;
const WINDOW: Duration = Duration::from_millis(5_500);
const WINDOWS: usize = 3;
const CLIENTS: usize = 6;

/// What clients have seen.
#[derive(Default)]
struct Seen {
    served: usize,
    other: usize,
    mixed: Vec<String>,
}

pub fn run(record: Arc<Record>, troubled: bool) -> Outcome {
    let bounds = Bounds { drain_s: 2.0, config_apply_s: 2.0, budget_extra: 58 };
    let site = Site::start(record.clone(), &["teller-ledger", "teller-ledger"], bounds)?;
    let mut backends = Vec::new();
    for (n, side) in site.sides.iter().enumerate() {
        backends.push(Backend::start(
            Options {
                id: ["i-teller-1", "i-teller-2"][n],
                service: "teller-ledger",
                address: side.backend(),
                reports_to: side.reports(),
                slots: 12,
                work: Duration::from_millis(30),
                tells_born: false,
                heartbeat: Duration::from_millis(1_500),
                seed: 3,
            },
            record.clone(),
        )?);
    }
    site.replace_config(CONFIG, Duration::from_secs(15))?;
    site.wait_ready(Duration::from_secs(10))?;
    thread::sleep(Duration::from_secs(3));
    let ends = Arc::new(AtomicBool::new(false));
    let seen = Arc::new(Mutex::new(Seen::default()));
    let mut clients = Vec::new();
    for n in 0..site.sides.len() * CLIENTS {
        let door = site.sides[n % site.sides.len()].outbound();
        let (ends, seen, record) = (ends.clone(), seen.clone(), record.clone());
        clients.push(thread::spawn(move || client(n, &door, &ends, &seen, &record)));
    }
    for _ in 0..WINDOWS {
        thread::sleep(Duration::from_secs(1));
        if troubled {
            *backends[0].troubles.lock().unwrap() =
                Troubles { two_lengths: SPOILED, ..Troubles::default() };
        }
        thread::sleep(WINDOW);
        *backends[0].troubles.lock().unwrap() = Troubles::default();
    }
    thread::sleep(Duration::from_secs(1));
    ends.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let spoiled = backends[0].log.lock().unwrap().spoiled.len();
    let seen = seen.lock().unwrap();
    record.line(&format!(
        "{} requests served, {} others; the backend server spoiled {spoiled} answers",
        seen.served, seen.other
    ));
    record.line(&format!("MIXED: {} times", seen.mixed.len()));
    for line in &seen.mixed {
        record.line(&format!("MIXED: {line}"));
    }
    if seen.served < 100 {
        site.record_logs(20);
        return Err("fewer than 100 requests were served".into());
    }
    Ok(!seen.mixed.is_empty())
}

/// A client that keeps its connection for many requests, one at a time.
fn client(number: usize, door: &str, ends: &AtomicBool, seen: &Mutex<Seen>, record: &Arc<Record>) {
    let mut kept: Option<Reader> = None;
    for n in 0.. {
        if ends.load(Ordering::Relaxed) {
            return;
        }
        let started = Instant::now();
        let id = format!("{:08x}{n:08x}", 0x7e11_0000 + number);
        let reused = kept.is_some();
        let connected = match kept.take() {
            Some(reader) => Ok(reader),
            None => http::connect(door, Duration::from_secs(1)).map(Reader::new),
        };
        let Ok(mut reader) = connected else { continue };
        match exchange(&mut reader, &id) {
            Ok(message) => {
                let whole = backend::body_for(&id);
                let verdict = judge(&message, &id, &whole);
                let mut seen = seen.lock().unwrap();
                match verdict {
                    Verdict::Served => seen.served += 1,
                    Verdict::Failed => seen.other += 1,
                    Verdict::Mixed(why) => {
                        let line =
                            format!("client {number}, {id}, kept connection {reused}: {why}");
                        record.line(&line);
                        seen.mixed.push(line);
                    }
                }
                let closes = message.header("connection").is_some_and(|value| value == "close");
                if !closes {
                    kept = Some(reader);
                }
            }
            Err(e) => {
                record.line(&format!("client {number}: {id} has no answer: {e}"));
                seen.lock().unwrap().other += 1;
            }
        }
        thread::sleep(Duration::from_millis(50).saturating_sub(started.elapsed()));
    }
}

fn exchange(reader: &mut Reader, id: &str) -> std::io::Result<Message> {
    reader.stream.set_read_timeout(Some(Duration::from_millis(700)))?;
    let head = format!(
        "GET /history/a HTTP/1.1\r\nHost: teller.example\r\nX-Attempt-Id: {id}\r\n\
         X-Request-Timeout-Ms: 400\r\n\r\n"
    );
    reader.stream.write_all(head.as_bytes())?;
    reader.read(true)
}

enum Verdict {
    Served,
    Failed,
    Mixed(String),
}

/// Judges an answer by the rule MIXED: a success without the signature or the whole body, an answer
/// of another request, bytes that are no answer.
fn judge(message: &Message, id: &str, whole: &str) -> Verdict {
    if !message.first.starts_with("HTTP/1.1 ") {
        return Verdict::Mixed(format!("bytes that are no answer: {:?}", message.first));
    }
    if !message.first.starts_with("HTTP/1.1 2") {
        return Verdict::Failed;
    }
    let Some(signature) = message.header("x-server-signature") else {
        return Verdict::Mixed("a success without a signature".into());
    };
    if !signature.ends_with(id) {
        return Verdict::Mixed(format!("the answer {signature} of another request"));
    }
    match message.body == whole.as_bytes() {
        true => Verdict::Served,
        false => Verdict::Mixed(format!(
            "a success with {} of {} bytes of the body",
            message.body.len(),
            whole.len()
        )),
    }
}
