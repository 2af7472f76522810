//! A small deployment of real processes on loopback addresses, with settings as
//! `deploy/control.yaml` and `deploy/daemon.yaml` give them.

use crate::http;
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

const CONTROL_PORT: u16 = 8306;
const RPC_PORT: u16 = 7620;
const METRICS_PORT: u16 = 7635;
const INBOUND_PORT: u16 = 8300;
const APP_PORT: u16 = 8301;
const READINESS_PORT: u16 = 8302;
const OUTBOUND_PORT: u16 = 8304;

/// The script could not do its work; it says nothing about the system.
pub type Fallible<T> = Result<T, String>;

/// Distance between two sets of ports, and their number.
const PORT_STEP: u16 = 41;
const PORT_SETS: u16 = 60;

pub struct Site {
    pub folder: PathBuf,
    base: String,
    /// Added to each port.
    shift: u16,
    program: PathBuf,
    harness: PathBuf,
    pub processes: BTreeMap<String, Child>,
    pub started: Instant,
    pub lines: Vec<String>,
}

fn err(what: &str, e: impl std::fmt::Display) -> String {
    format!("{what}: {e}")
}

impl Site {
    /// Creates a site without processes in a folder, on addresses and ports that nobody uses.
    pub fn new(program: PathBuf, folder: PathBuf) -> Fallible<Site> {
        let id = std::process::id();
        let ports = [
            CONTROL_PORT,
            RPC_PORT,
            METRICS_PORT,
            INBOUND_PORT,
            APP_PORT,
            READINESS_PORT,
            OUTBOUND_PORT,
        ];
        let is_free = |base: &str, shift: u16| {
            let free = |n: u8, port: &u16| {
                TcpListener::bind(format!("{base}{n}:{}", port + shift)).is_ok()
            };
            (1..12u8).all(|n| ports.iter().all(|port| free(n, port)))
        };
        let sets = (0..PORT_SETS).map(|n| {
            let n32 = u32::from(n);
            let base = format!("127.{}.{}.", 20 + (id + n32) % 200, 1 + (id / 200 + n32) % 250);
            (base, n * PORT_STEP)
        });
        let (base, shift) = sets
            .into_iter()
            .find(|(base, shift)| is_free(base, *shift))
            .ok_or("no free loopback addresses and ports")?;
        let harness = std::env::current_exe().map_err(|e| err("own path", e))?;
        Ok(Site {
            folder,
            base,
            shift,
            program,
            harness,
            processes: BTreeMap::new(),
            started: Instant::now(),
            lines: Vec::new(),
        })
    }

    pub fn ip(&self, host: u8) -> String {
        format!("{}{host}", self.base)
    }

    fn at(&self, host: u8, port: u16) -> SocketAddr {
        format!("{}{host}:{}", self.base, port + self.shift).parse().expect("an address")
    }

    pub fn outbound(&self, host: u8) -> SocketAddr {
        self.at(host, OUTBOUND_PORT)
    }

    /// Adds a line to the record.
    pub fn note(&mut self, line: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}", self.started.elapsed().as_secs_f64(), line.as_ref());
        println!("{line}");
        self.lines.push(line);
    }

    fn spawn(&mut self, name: &str, mut command: Command) -> Fallible<()> {
        let log =
            File::options().create(true).append(true).open(self.folder.join(format!("{name}.log")));
        let log = log.map_err(|e| err("log", e))?;
        let errors = log.try_clone().map_err(|e| err("log", e))?;
        let child = command.stdin(Stdio::null()).stdout(log).stderr(errors).spawn();
        let child = child.map_err(|e| err(name, e))?;
        self.record_id(child.id())?;
        self.processes.insert(name.into(), child);
        Ok(())
    }

    /// Records the id of a process, so that run.sh can end it if this program is ended.
    fn record_id(&self, id: u32) -> Fallible<()> {
        let file = File::options().create(true).append(true).open(self.folder.join("pids"));
        file.and_then(|mut file| writeln!(file, "{id}")).map_err(|e| err("pids", e))
    }

    /// Starts a process of the system with the command of the deploy file.
    fn run(&mut self, name: &str) -> Fallible<()> {
        let mut command = Command::new(&self.program);
        command.arg("run").arg("--settings").arg(self.folder.join(format!("{name}.yaml")));
        self.spawn(name, command)
    }

    fn seeds(&self) -> String {
        let control_port = CONTROL_PORT + self.shift;
        let seeds: Vec<String> =
            (1..=3).map(|n| format!("\"{}:{control_port}\"", self.ip(n))).collect();
        format!("[{}]", seeds.join(","))
    }

    /// Starts control on host `host`. `first` is true at the first start of the whole system.
    pub fn start_control(&mut self, host: u8, zone: &str, first: bool) -> Fallible<()> {
        let (ip, name) = (self.ip(host), format!("core-{host}"));
        let [control_port, rpc_port, metrics_port] =
            [CONTROL_PORT, RPC_PORT, METRICS_PORT].map(|port| port + self.shift);
        let text = format!(
            "host: \"{name}\"\nfailure_domain: \"{zone}\"\nregion: \"yqr\"\ninterface: platform\nclosed_network: true\n\
             metrics_address: \"{ip}:{metrics_port}\"\ncontrol:\n  rpc_address: \"{ip}:{rpc_port}\"\n  \
             api_address: \"{ip}:{control_port}\"\n  data_folder: \"{}\"\n  found: {first}\n  losses_borne: 1\n  \
             seeds:\n    addresses: {}\n    rpc_port: {rpc_port}\n",
            self.data(host).display(),
            self.seeds()
        );
        fs::write(self.folder.join(format!("{name}.yaml")), text)
            .map_err(|e| err("settings", e))?;
        fs::create_dir_all(self.data(host)).map_err(|e| err("data folder", e))?;
        self.run(&name)
    }

    pub fn data(&self, host: u8) -> PathBuf {
        self.folder.join(format!("disk-{host}"))
    }

    /// Starts the daemon of host `host`.
    pub fn start_daemon(&mut self, host: u8, zone: &str, service: &str) -> Fallible<()> {
        let (ip, name) = (self.ip(host), format!("sidecar-{host}"));
        let [control_port, rpc_port, metrics_port, inbound_port, readiness_port, outbound_port] =
            [CONTROL_PORT, RPC_PORT, METRICS_PORT, INBOUND_PORT, READINESS_PORT, OUTBOUND_PORT]
                .map(|port| port + self.shift);
        let text = format!(
            "host: \"{name}\"\nfailure_domain: \"{zone}\"\nregion: \"yqr\"\ninterface: platform\nclosed_network: true\n\
             metrics_address: \"{ip}:{metrics_port}\"\ndaemon:\n  caller_address: \"{ip}:{outbound_port}\"\n  \
             peer_address: \"{ip}:{inbound_port}\"\n  instance_address: \"{ip}:{control_port}\"\n  \
             readiness_address: \"{ip}:{readiness_port}\"\n  service: \"{service}\"\n  seeds:\n    addresses: {}\n    \
             rpc_port: {rpc_port}\n  retry_share: 0.1\n  hedge_share: 0.05\n  retry_extra: 58\n  slot_share: 0.8\n  \
             room: learned-if-rounded\n  queue_per_slot: 1.0\n  crossing_cost_ms: 200\n  leaving_grace_s: 2\n  \
             change_within_s: 2\n  stop_notice_ms: 2000\n  stop_grace_ms: 1000\n  stop_last_answers_ms: 2600\n",
            self.seeds()
        );
        fs::write(self.folder.join(format!("{name}.yaml")), text)
            .map_err(|e| err("settings", e))?;
        self.run(&name)
    }

    /// Starts a stand-in backend server on host `host`.
    pub fn start_backend(&mut self, host: u8, service: &str, slots: u32) -> Fallible<()> {
        let mut command = Command::new(&self.harness);
        let ip = self.ip(host);
        let [app_port, control_port] = [APP_PORT, CONTROL_PORT].map(|port| port + self.shift);
        command.args([
            "backend",
            &format!("{ip}:{app_port}"),
            &format!("{ip}:{control_port}"),
            service,
            &format!("i-{host}"),
            &slots.to_string(),
        ]);
        self.spawn(&format!("backend-{host}"), command)
    }

    pub fn signal(&self, name: &str, signal: &str) -> Fallible<()> {
        let id = self.processes.get(name).ok_or_else(|| format!("no process {name}"))?.id();
        let done = Command::new("kill").args([signal, &id.to_string()]).status();
        match done {
            Ok(status) if status.success() => Ok(()),
            _ => Err(format!("kill {signal} {name} failed")),
        }
    }

    /// Ends a process with SIGKILL and waits for its end.
    pub fn kill(&mut self, name: &str) -> Fallible<()> {
        let mut child = self.processes.remove(name).ok_or_else(|| format!("no process {name}"))?;
        child.kill().map_err(|e| err(name, e))?;
        child.wait().map_err(|e| err(name, e)).map(|_| ())
    }

    /// Asks control on a host; `None` without an answer.
    fn ask(&self, host: u8, call: &str, body: &str) -> Option<(u16, String)> {
        let headers =
            [("Host", "control".to_string()), ("Content-Type", "application/json".into())];
        let path = format!("/-/rpc?call={call}");
        let answer = http::call(
            self.at(host, CONTROL_PORT),
            "POST",
            &path,
            &headers,
            body.as_bytes(),
            Duration::from_secs(1),
        );
        answer.ok().map(|a| (a.status, String::from_utf8_lossy(&a.body).into_owned()))
    }

    /// Sends a configuration, as the operator does, until it is acknowledged.
    pub fn replace_config(
        &mut self,
        hosts: &[u8],
        version: u64,
        text: &str,
        within: Duration,
    ) -> Fallible<()> {
        let end = Instant::now() + within;
        let sent = Instant::now();
        for n in 0.. {
            let host = hosts[n % hosts.len()];
            if let Some((200, _)) = self.ask(host, "config.replace", text) {
                self.note(format!(
                    "operator: version {version} acknowledged by core-{host} after {:?}",
                    sent.elapsed()
                ));
                return Ok(());
            }
            if Instant::now() > end {
                return Err(format!("version {version} was not acknowledged within {within:?}"));
            }
            sleep(Duration::from_millis(150));
        }
        Ok(())
    }

    /// Reads the configuration, as the operator does, until an answer is 200. Returns its text.
    pub fn read_config(&mut self, hosts: &[u8], within: Duration) -> Option<String> {
        let start = Instant::now();
        let mut seen = BTreeMap::<String, u32>::new();
        for n in 0.. {
            let host = hosts[n % hosts.len()];
            let answer = self.ask(host, "config.read", "");
            if let Some((200, text)) = answer {
                self.note(format!(
                    "operator: config.read answered by core-{host} after {:?}",
                    start.elapsed()
                ));
                return Some(text);
            }
            let what = answer.map_or("no answer".to_string(), |(status, _)| status.to_string());
            *seen.entry(format!("core-{host}: {what}")).or_default() += 1;
            if start.elapsed() > within {
                break;
            }
            sleep(Duration::from_millis(200));
        }
        self.note(format!(
            "operator: config.read without a configuration for {within:?}: {seen:?}"
        ));
        None
    }

    /// Returns whether control on a host says in its metrics that it leads.
    pub fn leads(&self, host: u8) -> bool {
        let headers = [("Host", "metrics".to_string())];
        let answer = http::call(
            self.at(host, METRICS_PORT),
            "GET",
            "/metrics",
            &headers,
            b"",
            Duration::from_secs(1),
        );
        let text =
            answer.map(|a| String::from_utf8_lossy(&a.body).into_owned()).unwrap_or_default();
        text.lines()
            .any(|l| !l.starts_with('#') && l.contains("leads") && l.trim_end().ends_with(" 1"))
    }

    /// Waits until the daemons are ready.
    pub fn wait_ready(&self, hosts: &[u8], within: Duration) -> Fallible<()> {
        let end = Instant::now() + within;
        let headers = [("Host", "daemon".to_string())];
        let is_ready = |host: &u8| {
            let asked = http::call(
                self.at(*host, READINESS_PORT),
                "GET",
                "/-/readyz",
                &headers,
                b"",
                Duration::from_secs(1),
            );
            asked.is_ok_and(|a| a.status == 200)
        };
        while !hosts.iter().all(is_ready) {
            if Instant::now() > end {
                return Err("the daemons were not ready in time".into());
            }
            sleep(Duration::from_millis(100));
        }
        Ok(())
    }

    /// Returns what the backend servers recorded.
    pub fn runs(&self) -> Vec<String> {
        let mut runs = Vec::new();
        for n in 1..12 {
            if let Ok(text) = fs::read_to_string(self.folder.join(format!("backend-{n}.log"))) {
                runs.extend(text.lines().map(|line| format!("backend-{n}: {line}")));
            }
        }
        runs
    }

    /// Ends all processes and reads the records of the backend servers.
    pub fn finish(&mut self) -> Vec<String> {
        for child in self.processes.values_mut() {
            let _ = Command::new("kill").args(["-CONT", &child.id().to_string()]).status();
            let _ = child.kill();
            let _ = child.wait();
        }
        let runs = self.runs();
        runs
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
