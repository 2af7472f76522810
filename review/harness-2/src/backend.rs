//! A stand-in backend server that follows PROTOCOL.md, with the disruptions that the pages name.

use crate::http::{self, Reader};
use crate::record::Record;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Shares of requests and answers that a faulty backend server spoils.
#[derive(Clone, Copy, Default)]
pub struct Troubles {
    /// Share of requests that are rejected although a slot is free (`srv_grey`, `shed`).
    pub shed: f64,
    /// Share of answers that come a second time, late, in the slot of the next answer on the
    /// connection (`garble`, `extra late`).
    pub extra_late: f64,
    /// Share of answers that are spoiled: their head states half of the body's length beside the
    /// chunks in which the whole body comes (`garble`).
    pub two_lengths: f64,
}

/// What a backend server has done.
#[derive(Default)]
pub struct Log {
    /// Times at which it began to work on a request, by the id of the client's attempt.
    pub runs: BTreeMap<String, Vec<Instant>>,
    /// Answers that it sent a second time.
    pub extras: usize,
    /// Requests that it rejected.
    pub shed: usize,
    /// Ids of the requests whose answer it spoiled.
    pub spoiled: Vec<String>,
}

pub struct Backend {
    pub id: String,
    pub service: String,
    pub address: String,
    reports_to: String,
    slots: usize,
    work: Duration,
    /// Unix time of its start in milliseconds, where the deployment tells it.
    born: Option<u64>,
    pub draining: AtomicBool,
    seq: AtomicU64,
    pub troubles: Mutex<Troubles>,
    rng: Mutex<u64>,
    running: Mutex<usize>,
    freed: Condvar,
    pub log: Mutex<Log>,
    pub acked: AtomicU64,
    record: Arc<Record>,
}

pub struct Options<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub address: String,
    pub reports_to: String,
    pub slots: usize,
    pub work: Duration,
    pub tells_born: bool,
    /// Time between two heartbeats.
    pub heartbeat: Duration,
    pub seed: u64,
}

impl Backend {
    pub fn start(opts: Options<'_>, record: Arc<Record>) -> Result<Arc<Backend>, String> {
        let listener =
            TcpListener::bind(&opts.address).map_err(|e| format!("{}: {e}", opts.address))?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        let backend = Arc::new(Backend {
            id: opts.id.into(),
            service: opts.service.into(),
            address: opts.address,
            reports_to: opts.reports_to,
            slots: opts.slots,
            work: opts.work,
            born: opts.tells_born.then_some(born),
            draining: AtomicBool::new(false),
            seq: AtomicU64::new(0),
            troubles: Mutex::default(),
            rng: Mutex::new(opts.seed),
            running: Mutex::new(0),
            freed: Condvar::new(),
            log: Mutex::default(),
            acked: AtomicU64::new(0),
            record,
        });
        let server = backend.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        let (reporter, heartbeat) = (backend.clone(), opts.heartbeat);
        thread::spawn(move || loop {
            reporter.report();
            thread::sleep(heartbeat);
        });
        Ok(backend)
    }

    /// Returns the body of a heartbeat.
    pub fn heartbeat(&self) -> String {
        let state = if self.draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        let born = self.born.map(|born| format!(",\"born\":{born}")).unwrap_or_default();
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-0\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"{state}\",\"warmup_left_s\":0,\"seq\":{seq}{born}}}",
            self.service, self.address, self.slots
        )
    }

    /// Sends a heartbeat; returns whether it was acknowledged.
    pub fn report(&self) -> bool {
        let path = format!("/-/rpc?call=instances.heartbeat&of={}", self.id);
        let status = send_report(&self.reports_to, &path, &self.heartbeat());
        let taken = status.is_some_and(|status| (200..300).contains(&status));
        if taken {
            self.acked.fetch_add(1, Ordering::Relaxed);
        }
        taken
    }

    fn chance(&self, share: f64) -> bool {
        let mut state = self.rng.lock().unwrap();
        *state =
            state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((*state >> 33) as f64 / (1_u64 << 31) as f64) < share
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        let mut extra: Option<Vec<u8>> = None;
        while let Ok(request) = reader.read(false) {
            // The extra answer stands where the answer to this request is expected.
            if let Some(extra) = extra.take() {
                if reader.stream.write_all(&extra).is_err() {
                    return;
                }
                self.record.line(&format!("{}: sent the last answer once more", self.id));
            }
            let id = request.header("x-attempt-id").unwrap_or_default().to_string();
            let answer = self.answer(&request, &id);
            let troubles = *self.troubles.lock().unwrap();
            if !id.is_empty() && self.chance(troubles.extra_late) {
                self.log.lock().unwrap().extras += 1;
                extra = Some(answer.clone());
            }
            if reader.stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn load(&self) -> String {
        let running = *self.running.lock().unwrap();
        format!("X-Server-Load: {running},0,{},100\r\n", self.slots)
    }

    fn answer(&self, request: &http::Message, id: &str) -> Vec<u8> {
        let path = request.first.split(' ').nth(1).unwrap_or_default();
        if path == "/healthz" {
            let head = format!("X-Instance-Id: {}\r\n{}", self.id, self.load());
            return answer(200, &head, b"");
        }
        let echo = format!("X-Attempt-Id: {id}\r\n");
        if id.is_empty() {
            return answer(400, "X-Not-Executed: 1\r\n", b"");
        }
        if request.header("x-target-instance").is_some_and(|target| target != self.id) {
            return answer(421, &format!("{echo}X-Instance-Id: {}\r\n", self.id), b"");
        }
        let troubles = *self.troubles.lock().unwrap();
        if self.chance(troubles.shed) {
            self.log.lock().unwrap().shed += 1;
            self.record.line(&format!("{}: {id} rejected, not run", self.id));
            let head = format!("{echo}X-Not-Executed: 1\r\n{}", self.load());
            return answer(503, &head, b"");
        }
        let mut running = self.running.lock().unwrap();
        while *running >= self.slots {
            running = self.freed.wait(running).unwrap();
        }
        *running += 1;
        drop(running);
        let runs = {
            let mut log = self.log.lock().unwrap();
            let runs = log.runs.entry(id.to_string()).or_default();
            runs.push(Instant::now());
            runs.len()
        };
        self.record.line(&format!("{}: {id} runs (run {runs} of this id here)", self.id));
        thread::sleep(self.work);
        *self.running.lock().unwrap() -= 1;
        self.freed.notify_one();
        let head = format!("{echo}X-Server-Signature: {}.{id}\r\n{}", self.id, self.load());
        let body = body_for(id);
        if self.chance(troubles.two_lengths) {
            self.log.lock().unwrap().spoiled.push(id.to_string());
            self.record.line(&format!("{}: spoils its answer to {id}", self.id));
            let half = body.len() / 2;
            return format!(
                "HTTP/1.1 200 OK\r\n{head}Content-Length: {half}\r\n\
                 Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
                body.len()
            )
            .into_bytes();
        }
        answer(200, &head, body.as_bytes())
    }
}

/// Returns the whole body of the answer to a request.
pub fn body_for(id: &str) -> String {
    (1..=6).map(|n| format!("transfer {n} of the sender, as asked by {id}\n")).collect()
}

fn answer(status: u16, head: &str, body: &[u8]) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        421 => "Misdirected Request",
        _ => "Service Unavailable",
    };
    let head =
        format!("HTTP/1.1 {status} {reason}\r\n{head}Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a report about a backend server; returns the status of the answer.
pub fn send_report(to: &str, path: &str, body: &str) -> Option<u16> {
    let headers = [("Content-Type", "application/json")];
    let sent = http::call(to, "POST", path, &headers, body.as_bytes(), Duration::from_secs(1));
    sent.ok().map(|answer| answer.status)
}

/// Delivers a report whose sender has gone: the bytes arrive, and with them the end of the connection.
pub fn deliver_report(to: &str, path: &str, body: &str) -> std::io::Result<()> {
    let mut stream = http::connect(to, Duration::from_secs(1))?;
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes())
}
