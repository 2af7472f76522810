//! A small site of real processes on loopback.

use super::client::{self, Answer, Ask};
use super::process::{self, Process};
use super::wait;
use cherrystream_schema::messages::{PlanReply, StatusReply};
use serde_json::{Value, json};
use std::fs;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

/// Last lines of each log that a failed test prints.
const LINES_SHOWN: usize = 25;

/// Number of the next site. Each has its own loopback addresses, so that its ports are free.
static SITES: AtomicU32 = AtomicU32::new(1);
/// Last address byte from which on addresses are used by [`Site::side_address`] instead of sites.
const SIDE_HOSTS: u8 = 250;

/// Control replicas and settings of a site.
pub struct Site {
    pub folder: tempfile::TempDir,
    base: String,
    pub replicas: u64,
    pub controls: Vec<Option<Process>>,
    /// Addresses at which replica `.0.0` reaches replica `.0.1`, if other than its RPC address.
    pub control_lines: Vec<((u64, u64), String)>,
    /// Lines at the beginning of the settings of processes started from now on.
    pub top_lines: Vec<String>,
    /// As `top_lines`, for control replicas only.
    pub control_top_lines: Vec<String>,
    /// Key of a workspace that requests carry, if they need one.
    pub caller_key: Option<&'static str>,
}

/// A daemon of a site.
pub struct Daemon {
    pub host: String,
    pub caller: String,
    pub peer: String,
    pub metrics: String,
    settings: PathBuf,
    log: PathBuf,
    caller_key: Option<&'static str>,
    pub process: Process,
}

/// Additional settings of a daemon.
#[derive(Default)]
pub struct DaemonOptions {
    /// Lines added to the daemon's settings.
    pub lines: Vec<String>,
    /// Address of control to use instead of those of all replicas.
    pub control: Option<String>,
}

/// A stand-in backend server of a site.
pub struct Server {
    pub address: String,
    pub record: PathBuf,
    pub process: Process,
    args: Vec<String>,
    log: PathBuf,
}

impl Server {
    /// Starts the server again on its address, after a kill.
    pub fn restart(&mut self) {
        let mut args: Vec<&str> = self.args.iter().map(String::as_str).collect();
        args[2] = &self.address;
        self.process = Process::start_standin(&args, &self.log).0;
    }

    /// Removes an option with its value from the next start on.
    pub fn forget_option(&mut self, name: &str) {
        if let Some(at) = self.args.iter().position(|arg| arg == name) {
            self.args.drain(at..at + 2);
        }
    }

    /// Returns the requests that ran, from the record.
    pub fn runs(&self) -> Vec<String> {
        cherrystream_standin::record::read_runs(&self.record).unwrap()
    }
}

impl Site {
    /// Creates a site without processes.
    pub fn new(replicas: u64) -> Site {
        let pid = std::process::id();
        let n = SITES.fetch_add(1, Ordering::Relaxed);
        // All of 127.0.0.0/8 is loopback.
        let n = n % u32::from(SIDE_HOSTS);
        let base = format!("127.{}.{}.{n}", 1 + pid / 250 % 250, 1 + pid % 250);
        Site {
            folder: tempfile::tempdir().unwrap(),
            base,
            replicas,
            controls: (0..replicas).map(|_| None).collect(),
            control_lines: Vec::new(),
            top_lines: Vec::new(),
            control_top_lines: Vec::new(),
            caller_key: None,
        }
    }

    /// Creates a site with running control replicas and waits for a leader.
    pub async fn with_control(replicas: u64) -> Site {
        let mut site = Site::new(replicas);
        for replica in 1..=replicas {
            site.start_control(replica);
        }
        site.leader().await;
        site
    }

    pub fn address(&self, port: u16) -> String {
        format!("{}:{port}", self.base)
    }

    /// Returns an address of an additional host, outside the addresses of all sites.
    pub fn side_address(&self, host: u8, port: u16) -> String {
        let (network, _) = self.base.rsplit_once('.').unwrap();
        format!("{network}.{}:{port}", SIDE_HOSTS + host)
    }

    pub fn rpc(&self, replica: u64) -> String {
        self.address(7200 + replica as u16)
    }

    pub fn api(&self, replica: u64) -> String {
        self.address(7300 + replica as u16)
    }

    pub fn data_folder(&self, replica: u64) -> PathBuf {
        self.folder.path().join(format!("data-{replica}"))
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Starts a control replica.
    pub fn start_control(&mut self, replica: u64) {
        self.start_control_with(replica, &[]);
    }

    /// Starts a control replica with lines added to its settings.
    pub fn start_control_with(&mut self, replica: u64, lines: &[&str]) {
        let others: Vec<String> = (1..=self.replicas)
            .map(|r| format!("    - {{replica: {r}, rpc_address: {}}}", self.line(replica, r)))
            .collect();
        let added: String = lines.iter().map(|l| format!("  {l}\n")).collect();
        let top = self.top_lines.iter().chain(&self.control_top_lines);
        let top: String = top.map(|l| format!("{l}\n")).collect();
        let text = format!(
            "{top}host: control-{replica}\nfailure_domain: d{replica}\nlog: debug\ncontrol:\n  \
             replica: {replica}\n  rpc_address: {}\n  api_address: {}\n  data_folder: {}\n  \
             replicas:\n{}\n{added}",
            self.rpc(replica),
            self.api(replica),
            self.data_folder(replica).display(),
            others.join("\n")
        );
        let settings = self.path(&format!("control-{replica}.yaml"));
        fs::write(&settings, text).unwrap();
        let log = self.path(&format!("control-{replica}.log"));
        let args = ["run", "--settings", settings.to_str().unwrap()];
        let process = Process::start(&process::cherrystream(), &args, &log);
        self.controls[replica as usize - 1] = Some(process);
    }

    fn line(&self, from: u64, to: u64) -> String {
        let line = self.control_lines.iter().find(|(way, _)| *way == (from, to));
        line.map_or_else(|| self.rpc(to), |(_, address)| address.clone())
    }

    /// Returns the control process of a replica.
    pub fn control(&mut self, replica: u64) -> &mut Process {
        self.controls[replica as usize - 1].as_mut().unwrap()
    }

    /// Kills a control replica.
    pub fn kill_control(&mut self, replica: u64) {
        self.control(replica).kill();
        self.controls[replica as usize - 1] = None;
    }

    /// Returns the API address of a running control replica.
    pub fn any_api(&self) -> String {
        let running = self.controls.iter().position(Option::is_some).unwrap();
        self.api(running as u64 + 1)
    }

    /// Waits for a leader and returns it.
    pub async fn leader(&self) -> u64 {
        wait::until("control has a leader", || async { Some(self.status().await?.leader) }).await
    }

    /// Returns the status, if control answers.
    pub async fn status(&self) -> Option<StatusReply> {
        let answer = client::send(&self.any_api(), &Ask::get("/v1/status")).await?;
        answer.status.is_success().then(|| serde_json::from_slice(&answer.body).unwrap())
    }

    /// Starts a daemon.
    pub fn start_daemon(&self, host: &str, domain: &str, number: u16) -> Daemon {
        self.start_daemon_with(host, domain, number, &DaemonOptions::default())
    }

    /// Starts a daemon with further settings.
    pub fn start_daemon_with(
        &self,
        host: &str,
        domain: &str,
        number: u16,
        opts: &DaemonOptions,
    ) -> Daemon {
        let usual = || (1..=self.replicas).map(|r| self.rpc(r)).collect::<Vec<_>>().join(", ");
        let control = opts.control.clone().unwrap_or_else(usual);
        let port = 7400 + number * 10;
        let (caller, peer, metrics) =
            (self.address(port), self.address(port + 1), self.address(port + 2));
        let added: String = opts.lines.iter().map(|l| format!("  {l}\n")).collect();
        let top: String = self.top_lines.iter().map(|l| format!("{l}\n")).collect();
        let text = format!(
            "{top}host: {host}\nfailure_domain: {domain}\nlog: debug\nmetrics_address: {metrics}\n\
             daemon:\n  caller_address: {caller}\n  peer_address: {peer}\n  \
             control: [{control}]\n  stop_grace_ms: 300\n{added}"
        );
        let settings = self.path(&format!("{host}.yaml"));
        fs::write(&settings, text).unwrap();
        let log = self.path(&format!("{host}.log"));
        let args = ["run", "--settings", settings.to_str().unwrap()];
        let process = Process::start(&process::cherrystream(), &args, &log);
        let caller_key = self.caller_key;
        Daemon { host: host.into(), caller, peer, metrics, settings, log, caller_key, process }
    }

    /// Starts a stand-in backend server.
    pub fn start_server(&self, name: &str, more: &[&str]) -> Server {
        let record = self.path(&format!("{name}.runs"));
        fs::write(&record, "").unwrap();
        let address = format!("{}:0", self.base);
        let mut args = vec!["backend", "--address", &address, "--name", name, "--record"];
        args.push(record.to_str().unwrap());
        args.extend(more);
        let log = self.path(&format!("{name}.log"));
        let (process, address) = Process::start_standin(&args, &log);
        let args = args.iter().map(ToString::to_string).collect();
        Server { address, record, process, args, log }
    }

    /// Starts a stand-in for the platform's list.
    pub fn start_platform(&self) -> (Process, String) {
        let address = format!("{}:0", self.base);
        Process::start_standin(&["platform", "--address", &address], &self.path("platform.log"))
    }

    /// Sends an intent to a replica.
    pub async fn intend(&self, api: &str, intent: &Value) -> Option<Answer> {
        client::send(api, &Ask::post("/v1/intents", intent.to_string())).await
    }

    /// Confirms a plan at a replica.
    pub async fn confirm(&self, api: &str, plan: &str) -> Option<Answer> {
        client::send(api, &Ask::post(&format!("/v1/plans/{plan}/confirm"), "")).await
    }

    /// Submits an intent and confirms its plan; returns the revision. A confirmation without a
    /// clear answer may have been accepted, so the calls are retried with the same key.
    pub async fn accept(&self, intent: Value) -> String {
        let key = format!("accept-{:016x}", rand::random::<u64>());
        let ask = Ask::post("/v1/intents", intent.to_string()).key(&key);
        wait::until("the intent is accepted", || async {
            let api = self.any_api();
            let planned = client::send(&api, &ask).await?;
            if planned.status == 503 {
                return None;
            }
            assert_eq!(planned.status, 201, "{intent}: {:?}", planned.body);
            let plan: PlanReply = serde_json::from_slice(&planned.body).unwrap();
            let confirmed = self.confirm(&api, &plan.plan).await?;
            (confirmed.status == 200)
                .then(|| confirmed.json()["revision"].as_str().unwrap().to_string())
        })
        .await
    }

    pub async fn put_service(&self, service: &str) {
        self.accept(json!({
            "intent": "put-service", "service": service, "measuring_per_second": 5
        }))
        .await;
    }

    pub async fn put_server(&self, service: &str, name: &str, host: &str, server: &Server) {
        self.accept(json!({
            "intent": "put-backend-server", "service": service, "name": name, "host": host,
            "address": server.address, "slots": 12
        }))
        .await;
    }

    /// Declares POST /orders of a service as not repeatable.
    pub async fn put_once(&self, service: &str) {
        self.accept(json!({
            "intent": "put-kind", "service": service, "kind": "order", "method": "POST",
            "path_prefix": "/orders", "repeatable": false, "weight": 5, "deadline_ms": 8000
        }))
        .await;
    }

    /// Waits until these daemons apply the newest revision.
    pub async fn in_force(&self, daemons: &[&Daemon]) {
        wait::until("the revision is in force", || async {
            let status = self.status().await?;
            let holds = |d: &&&Daemon| {
                status.daemons.iter().any(|s| s.host == d.host && s.revision == status.revision)
            };
            (daemons.iter().filter(holds).count() == daemons.len()).then_some(())
        })
        .await;
    }
}

impl Drop for Site {
    /// Prints the last lines of all logs when a test fails.
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        for file in fs::read_dir(self.folder.path()).unwrap() {
            let path = file.unwrap().path();
            if path.extension().is_some_and(|e| e == "log") {
                let text = fs::read_to_string(&path).unwrap_or_default();
                let lines: Vec<&str> = text.lines().collect();
                let last = lines[lines.len().saturating_sub(LINES_SHOWN)..].join("\n");
                eprintln!("--- {}\n{last}", path.file_name().unwrap().display());
            }
        }
    }
}

impl Daemon {
    /// Starts the daemon again, after a kill.
    pub fn restart(&mut self) {
        let args = ["run", "--settings", self.settings.to_str().unwrap()];
        self.process = Process::start(&process::cherrystream(), &args, &self.log);
    }

    /// Sends a caller's request.
    pub async fn call(&self, ask: &Ask) -> Option<Answer> {
        client::send(&self.caller, ask).await
    }

    /// Returns the value of a metric.
    pub async fn metric(&self, name: &str) -> f64 {
        let page = wait::until("the daemon returns its metrics", || async {
            Some(client::send(&self.metrics, &Ask::get("/metrics")).await?.body)
        })
        .await;
        let page = String::from_utf8(page.to_vec()).unwrap();
        let lines = page.lines().filter_map(|l| l.strip_prefix(name));
        lines.filter_map(|rest| rest.trim().parse::<f64>().ok()).sum()
    }

    /// Waits until the daemon serves a service.
    pub async fn serves(&self, service: &str) {
        wait::until("the daemon serves", || async {
            let ask = Ask::get("/ready").service(service).with_key(self.caller_key);
            let answer = self.call(&ask).await?;
            (answer.outcome() == "answered").then_some(())
        })
        .await;
    }
}
