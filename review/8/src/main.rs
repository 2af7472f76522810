//! Case 8: a request that waited for a slot before it was sent is held past its route's `timeout_s`.
//!
//! Starts three control processes and ten daemons as `deploy/system.toml` does, with settings
//! filled from the templates in `deploy/`. Backends, operator and clients are threads of this
//! program. Uses the standard library only.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream, ToSocketAddrs};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Requests a second to the service, beyond what its backends can do.
const PER_SECOND: u64 = 85;
/// Work of a request.
const WORK: Duration = Duration::from_millis(600);
/// The route's `timeout_s`.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Time after it at which a request must have its final answer (RULES.md).
const BOUND: Duration = Duration::from_millis(500);
/// Time that the clients wait.
const PATIENCE_MS: u64 = 8_000;
const BODY_BYTES: usize = 300;
/// Slots of a backend.
const SLOTS: u32 = 24;
/// Requests that a backend queues.
const QUEUE: u32 = 48;
/// Load before the freeze, length of the freeze (site file: 3.5 s), and load after it.
const BEFORE: Duration = Duration::from_secs(6);
const FREEZE: Duration = Duration::from_millis(3_400);
const AFTER: Duration = Duration::from_secs(5);
/// Fewest late requests that break the rule (RULES.md).
const MIN_LATE: usize = 8;

const SERVICES: [(&str, usize); 3] = [("licensing", 2), ("catalogue", 3), ("viewer", 4)];
const ZONES: [&str; 3] = ["abdali", "marka", "sahab"];
const CALLED: &str = "licensing";

type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

/// Lines of the record, with the time since the start in milliseconds.
struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64() * 1_000.0;
        let _ = writeln!(self.file.lock().unwrap(), "{at:10.1} {text}");
    }
}

/// Returns a number that differs from run to run.
fn drawn() -> u64 {
    let time = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    (time.as_nanos() as u64 ^ u64::from(std::process::id()) << 20)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// The head of a message whose body was read.
struct Message {
    first: String,
    headers: BTreeMap<String, String>,
}

impl Message {
    fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message with its body; `None` at the end of the connection.
fn read_message(reader: &mut BufReader<TcpStream>, is_answer: bool) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    let mut body = Vec::new();
    if headers.get("transfer-encoding").is_some_and(|v| v.contains("chunked")) {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let len = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; len + 2];
            reader.read_exact(&mut chunk)?;
            if len == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..len]);
        }
    } else if let Some(len) = headers.get("content-length") {
        body = vec![0; len.parse().unwrap_or(0)];
        reader.read_exact(&mut body)?;
    } else if is_answer {
        reader.read_to_end(&mut body)?;
    }
    Ok(Some(Message { first: first.trim_end().into(), headers }))
}

/// Sends one request on a connection of its own and reads the answer.
fn call(
    address: &str,
    method: &str,
    target: &str,
    headers: &str,
    body: &[u8],
    within: Duration,
) -> io::Result<Message> {
    let to = address.to_socket_addrs()?.next().ok_or(io::ErrorKind::NotFound)?;
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(within))?;
    let head =
        format!("{method} {target} HTTP/1.1\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    (&stream).write_all(&bytes)?;
    read_message(&mut BufReader::new(stream), true)?.ok_or(io::ErrorKind::UnexpectedEof.into())
}

/// A backend of a service.
struct Backend {
    id: String,
    service: &'static str,
    address: String,
    running: Mutex<u32>,
    freed: Condvar,
    waiting: AtomicU32,
    record: Arc<Record>,
}

impl Backend {
    fn head(&self, status: u16, id: &str, more: &str, len: usize) -> String {
        let running = *self.running.lock().unwrap();
        let waiting = self.waiting.load(Ordering::Relaxed);
        format!(
            "HTTP/1.1 {status} -\r\nX-Attempt-Id: {id}\r\nX-Server-Load: {running},{waiting},{SLOTS},100\r\n\
             {more}Content-Length: {len}\r\n\r\n"
        )
    }

    fn refuse(&self, mut stream: &TcpStream, id: &str, status: u16) -> io::Result<()> {
        self.record.line(&format!("turned-away {id} {status}"));
        stream.write_all(self.head(status, id, "X-Not-Executed: 1\r\n", 0).as_bytes())
    }

    fn serve(self: Arc<Self>, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            let server = self.clone();
            thread::spawn(move || {
                let _ = server.serve_connection(stream);
            });
        }
    }

    fn serve_connection(self: &Arc<Self>, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(req) = read_message(&mut reader, false)? {
            if req.first.contains(" /healthz") {
                let head = self.head(200, "", &format!("X-Instance-Id: {}\r\n", self.id), 0);
                (&stream).write_all(head.as_bytes())?;
                continue;
            }
            let id = req.header("x-attempt-id").to_string();
            if req.header("x-target-instance") != self.id {
                self.refuse(&stream, &id, 421)?;
            } else if self.waiting.load(Ordering::Relaxed) >= QUEUE {
                self.refuse(&stream, &id, 503)?;
            } else {
                self.run(&stream, &id)?;
            }
        }
        Ok(())
    }

    fn run(&self, mut stream: &TcpStream, id: &str) -> io::Result<()> {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let mut running = self.running.lock().unwrap();
        while *running >= SLOTS {
            running = self.freed.wait(running).unwrap();
        }
        *running += 1;
        drop(running);
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        self.record.line(&format!("runs {id} at {}", self.id));
        thread::sleep(WORK);
        *self.running.lock().unwrap() -= 1;
        self.freed.notify_one();
        let body = format!("done {id}");
        let more = format!("X-Server-Signature: {}.{id}\r\n", self.id);
        let mut bytes = self.head(200, id, &more, body.len()).into_bytes();
        bytes.extend_from_slice(body.as_bytes());
        self.record.line(&format!("ran {id}"));
        stream.write_all(&bytes)
    }

    /// Sends heartbeats to the daemon on the same machine.
    fn beat(self: Arc<Self>, daemon: String) {
        for seq in 1.. {
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"abdali\",\"version\":\"v1\",\"slots\":{SLOTS},\
                 \"state\":\"ready\",\"warmup_left_s\":0,\"seq\":{seq}}}",
                self.service, self.address
            );
            let target = format!("/-/rpc?call=instances.heartbeat&of={}", self.id);
            let headers = format!("Host: {daemon}\r\nContent-Type: application/json\r\n");
            let within = Duration::from_secs(1);
            let answer = call(&daemon, "POST", &target, &headers, body.as_bytes(), within);
            let is_taken = answer.is_ok_and(|answer| answer.status() == 200);
            thread::sleep(Duration::from_millis(if is_taken { 1_500 } else { 300 }));
        }
    }
}

/// Fills a template of the deploy file.
fn fill(template: &str, values: &BTreeMap<&str, String>) -> String {
    let mut out = template.to_string();
    while let Some(start) = out.find("{{#") {
        let name_end = start + out[start..].find("}}").expect("a section has a name");
        let name = out[start + 3..name_end].to_string();
        let close = format!("{{{{/{name}}}}}");
        let end = out.find(&close).expect("a section has an end");
        let inner = match values.contains_key(name.as_str()) {
            true => out[name_end + 2..end].to_string(),
            false => String::new(),
        };
        out.replace_range(start..end + close.len(), &inner);
    }
    while let Some(start) = out.find("{{") {
        let end = start + out[start..].find("}}").expect("a gap has an end");
        let value = values.get(&out[start + 2..end]).cloned().unwrap_or_default();
        out.replace_range(start..end + 2, &value);
    }
    out
}

/// Sends a signal to a process that this program started.
fn signal(process: u32, name: &str) {
    let _ = Command::new("kill").args([&format!("-{name}"), &process.to_string()]).status();
}

/// The processes that this program started.
struct Processes(Vec<Child>);

impl Drop for Processes {
    fn drop(&mut self) {
        for child in &mut self.0 {
            signal(child.id(), "CONT");
            let _ = child.kill();
        }
        for child in &mut self.0 {
            let _ = child.wait();
        }
    }
}

/// Addresses and ports of the site.
struct Site {
    net: u8,
    port: u16,
    folder: String,
    processes: Processes,
    /// Indices of the daemons among the processes, by host.
    daemons: BTreeMap<u8, usize>,
}

impl Site {
    fn ip(&self, host: u8) -> String {
        format!("127.{}.8.{host}", self.net)
    }

    fn at(&self, host: u8, offset: u16) -> String {
        format!("{}:{}", self.ip(host), self.port + offset)
    }

    fn control(&self, host: u8) -> String {
        self.at(host, 0)
    }

    fn outbound(&self, host: u8) -> String {
        self.at(host, 2)
    }

    fn start(&mut self, host: u8, name: &str, role: &str, zone: &str, service: &str) -> Result<()> {
        let folder = format!("{}/{name}", self.folder);
        fs::create_dir_all(format!("{folder}/data"))?;
        let seeds: Vec<String> =
            (1..=3).map(|seed| format!("\"{}\"", self.control(seed))).collect();
        let values = [
            ("node_name", name.to_string()),
            ("zone", zone.into()),
            ("region", "amman".into()),
            ("ip", self.ip(host)),
            ("port_range.0", (self.port + 4).to_string()),
            ("port_range.1", (self.port + 19).to_string()),
            ("listen.control", self.control(host)),
            ("listen.inbound", self.at(host, 1)),
            ("listen.outbound", self.outbound(host)),
            ("listen.readiness", self.at(host, 3)),
            ("service", service.into()),
            ("data_dir", format!("{folder}/data")),
            ("bootstrap", "true".into()),
            ("fault_tolerance.machines", "1".into()),
            ("seeds|json", format!("[{}]", seeds.join(","))),
            ("bounds.budget_extra", "58".into()),
            ("bounds.drain_s", "2".into()),
            ("bounds.config_apply_s", "2".into()),
        ];
        let template = fs::read_to_string(format!("deploy/{role}.yaml"))?;
        let settings = format!("{folder}/node.yaml");
        fs::write(&settings, fill(&template, &BTreeMap::from(values)))?;
        let log = File::create(format!("{folder}/log"))?;
        let child = Command::new("target/release/cherrystream")
            .args(["run", "--settings", &settings])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("CHERRYSTREAM_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.daemons.insert(host, self.processes.0.len());
        self.processes.0.push(child);
        Ok(())
    }

    /// Sends the configuration until it is acknowledged.
    fn configure(&self) -> Result<()> {
        let mut services = String::new();
        for (n, name) in ["front"].into_iter().chain(SERVICES.map(|s| s.0)).enumerate() {
            let comma = if n > 0 { "," } else { "" };
            write!(
                services,
                "{comma}\"{name}\":{{\"health_check_path\":\"/healthz\",\"max_connections\":220,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )?;
        }
        let body = format!(
            "{{\"version\":7,\"routes\":{{\"grant\":{{\"host\":\"hulo84.example\",\"path_prefix\":\"/grant/\",\
             \"route_type\":\"unsafe\",\"timeout_s\":3,\"target_latency_s\":3,\"priority\":1,\
             \"service\":\"{CALLED}\",\"max_attempts\":2}}}},\"services\":{{{services}}},\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\
             \"idle_timeout_s\":15}}}}"
        );
        for attempt in 0..60u8 {
            let to = self.control(attempt % 3 + 1);
            let headers = format!("Host: {to}\r\nContent-Type: application/json\r\n");
            let within = Duration::from_secs(1);
            let target = "/-/rpc?call=config.replace";
            let answer = call(&to, "POST", target, &headers, body.as_bytes(), within);
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(200));
        }
        Err("the configuration was not acknowledged".into())
    }

    /// Waits until a daemon answers that it is ready.
    fn await_ready(&self, host: u8) -> Result<()> {
        for _ in 0..60 {
            let to = self.at(host, 3);
            let headers = format!("Host: {to}\r\n");
            let answer = call(&to, "GET", "/-/readyz", &headers, b"", Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(200));
        }
        Err("a daemon did not become ready".into())
    }
}

/// Sends one request; returns its status, or 0 without an answer.
fn send(to: &str, id: &str, record: &Record) -> u16 {
    let headers = format!(
        "Host: hulo84.example\r\nX-Attempt-Id: {id}\r\nX-Request-Timeout-Ms: {PATIENCE_MS}\r\n"
    );
    record.line(&format!("sent {id}"));
    let within = Duration::from_millis(PATIENCE_MS);
    let answer = call(to, "POST", "/grant/image", &headers, &[b'p'; BODY_BYTES], within);
    let status = answer.as_ref().map_or(0, Message::status);
    let signature = answer.as_ref().map_or("", |answer| answer.header("x-server-signature"));
    record.line(&format!("answered {id} {status} signature={signature}"));
    status
}

fn play(record: &Arc<Record>, with_trouble: bool) -> Result<bool> {
    let drawn = drawn();
    let folder = std::env::temp_dir().join(format!("review-8-{}", std::process::id()));
    let folder = folder.to_string_lossy().into_owned();
    let mut site = Site {
        net: 20 + (drawn >> 8) as u8 % 200,
        port: 21_000 + (drawn >> 20) as u16 % 9_000,
        folder: folder.clone(),
        processes: Processes(Vec::new()),
        daemons: BTreeMap::new(),
    };
    for host in 1..=3 {
        site.start(host, &format!("core-{host}"), "control", ZONES[usize::from(host) - 1], "")?;
    }
    // The callers' machine, then one machine for each backend.
    let caller = 10;
    site.start(caller, "sidecar-front", "daemon", ZONES[0], "front")?;
    let mut backends = Vec::new();
    let mut host = caller;
    for (service, count) in SERVICES {
        for _ in 0..count {
            host += 1;
            site.start(
                host,
                &format!("sidecar-{host}"),
                "daemon",
                ZONES[usize::from(host) % 3],
                service,
            )?;
            let address = site.at(host, 30);
            let backend = Arc::new(Backend {
                id: format!("i-{host:04x}"),
                service,
                address: address.clone(),
                running: Mutex::new(0),
                freed: Condvar::new(),
                waiting: AtomicU32::new(0),
                record: record.clone(),
            });
            let listener = TcpListener::bind(&address)?;
            thread::spawn({
                let backend = backend.clone();
                move || backend.serve(listener)
            });
            backends.push((host, backend));
        }
    }
    site.configure()?;
    site.await_ready(caller)?;
    for (host, backend) in &backends {
        site.await_ready(*host)?;
        let (backend, daemon) = (backend.clone(), site.control(*host));
        thread::spawn(move || backend.beat(daemon));
    }
    let to = site.outbound(caller);
    let warm = (0..60u64).any(|n| {
        thread::sleep(Duration::from_millis(200));
        send(&to, &format!("{:016x}", 0xfeed_0000_0000 + n), record) == 200
    });
    if !warm {
        return Err("no request was served before the disruption".into());
    }
    thread::sleep(Duration::from_secs(3));

    let struck = backends.iter().find(|(_, b)| b.service == CALLED).map(|(host, _)| *host);
    let struck = site.daemons.get(&struck.ok_or("no backend")?).copied().ok_or("no daemon")?;
    let struck = site.processes.0[struck].id();
    let answers = Arc::new(Mutex::new(Vec::<(u16, Duration)>::new()));
    let mut clients = Vec::new();
    let start = Instant::now();
    let (mut sent, mut frozen, mut thawed) = (0u64, false, false);
    while start.elapsed() < BEFORE + FREEZE + AFTER {
        if with_trouble && !frozen && start.elapsed() >= BEFORE {
            frozen = true;
            signal(struck, "STOP");
            record.line("the daemon beside a backend is frozen");
        }
        if frozen && !thawed && start.elapsed() >= BEFORE + FREEZE {
            thawed = true;
            signal(struck, "CONT");
            record.line("the daemon beside a backend wakes");
        }
        let id = format!("{:016x}", drawn.wrapping_add(sent).wrapping_mul(0xff51_afd7_ed55_8ccd));
        let (to, record, answers) = (to.clone(), record.clone(), answers.clone());
        clients.push(thread::spawn(move || {
            let since = Instant::now();
            let status = send(&to, &id, &record);
            let took = since.elapsed();
            if took > TIMEOUT {
                let past = (took - TIMEOUT).as_millis();
                record.line(&format!("past {id} {status}: {past} ms past timeout_s"));
            }
            answers.lock().unwrap().push((status, took));
        }));
        sent += 1;
        let due = start + Duration::from_micros(1_000_000 * sent / PER_SECOND);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    for client in clients {
        let _ = client.join();
    }

    let ended = site.processes.0.iter_mut().any(|child| !matches!(child.try_wait(), Ok(None)));
    if ended {
        return Err("a process of the system ended".into());
    }
    let answers = answers.lock().unwrap();
    let mut by_status = BTreeMap::<u16, u32>::new();
    answers.iter().for_each(|(status, _)| *by_status.entry(*status).or_default() += 1);
    let past = answers.iter().filter(|(_, took)| *took > TIMEOUT).count();
    let late = answers.iter().filter(|(_, took)| *took > TIMEOUT + BOUND).count();
    let summary = format!(
        "sent {sent}; answers by status {by_status:?}; without a final answer at timeout_s {past}; of these 0.5 s later \
         {late}"
    );
    record.line(&summary);
    println!("{summary}");
    drop(site);
    let _ = fs::remove_dir_all(folder);
    Ok(late >= MIN_LATE && late * 4 > past)
}

fn main() {
    let path = std::env::args().nth(1).unwrap_or_else(|| "review/8/record.txt".into());
    let file = File::create(&path).expect("the record can be written");
    let record = Arc::new(Record { start: Instant::now(), file: Mutex::new(file) });
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match play(&record, with_trouble) {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(e) => {
            record.line(&format!("the case could not run: {e}"));
            eprintln!("the case could not run: {e}");
            2
        }
    };
    std::process::exit(code);
}
