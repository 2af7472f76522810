//! A small deployment of real processes on loopback addresses, with the deploy file's commands and
//! its templates of settings.

use crate::http;
use crate::record::Record;
use std::collections::BTreeMap;
use std::fs;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = "target/release/cherrystream";
const RPC_PORT: u16 = 7620;
const METRICS_PORT: u16 = 7621;
const CONTROL_PORT: u16 = 8306;
const INBOUND_PORT: u16 = 8300;
const BACKEND_PORT: u16 = 8301;
const READINESS_PORT: u16 = 8302;
const OUTBOUND_PORT: u16 = 8304;

/// Bounds of a deployment, as the pages give them.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub drain_s: f64,
    pub config_apply_s: f64,
    pub budget_extra: u32,
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Makes the process end with the script, however that ends.
fn end_with_parent() -> std::io::Result<()> {
    // SAFETY: this option takes the number of a signal.
    unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) };
    Ok(())
}

/// A process of the system.
pub struct Process {
    pub name: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn start(&mut self) -> Result<(), String> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let mut command = Command::new(PROGRAM);
        command.args(["run", "--settings"]).arg(&self.settings);
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        // SAFETY: `prctl` may be called between fork and exec, and takes no pointer here.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command.spawn();
        self.child = Some(child.map_err(|e| format!("{PROGRAM}: {e}"))?);
        Ok(())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A machine beside a backend server.
pub struct Side {
    pub ip: String,
    pub process: Process,
}

impl Side {
    pub fn outbound(&self) -> String {
        format!("{}:{OUTBOUND_PORT}", self.ip)
    }

    pub fn backend(&self) -> String {
        format!("{}:{BACKEND_PORT}", self.ip)
    }

    pub fn reports(&self) -> String {
        format!("{}:{CONTROL_PORT}", self.ip)
    }

    pub fn readiness(&self) -> String {
        format!("{}:{READINESS_PORT}", self.ip)
    }
}

/// The deployment.
pub struct Site {
    pub folder: PathBuf,
    pub cores: Vec<Process>,
    pub core_ips: Vec<String>,
    pub sides: Vec<Side>,
    pub record: Arc<Record>,
}

impl Site {
    /// Starts three core machines and one side machine for each service.
    pub fn start(record: Arc<Record>, services: &[&str], bounds: Bounds) -> Result<Site, String> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let net = free_net(3 + services.len())?;
        let ip = |n: usize| format!("{net}.{}", n + 1);
        let core_ips: Vec<String> = (0..3).map(ip).collect();
        let seeds: Vec<String> =
            core_ips.iter().map(|ip| format!("\"{ip}:{CONTROL_PORT}\"")).collect();
        let seeds = format!("[{}]", seeds.join(","));
        let mut site = Site { folder, cores: vec![], core_ips, sides: vec![], record };
        for n in 0..3 + services.len() {
            let is_core = n < 3;
            let ip = ip(n);
            let name = match is_core {
                true => format!("core-{}", n + 1),
                false => format!("sidecar-{}", n - 2),
            };
            let mut values = BTreeMap::new();
            let mut set = |key: &str, value: String| drop(values.insert(key.to_string(), value));
            set("node_name", name.clone());
            set("zone", format!("zone-{}", n % 3));
            set("region", "region".into());
            set("ip", ip.clone());
            set("port_range.0", RPC_PORT.to_string());
            set("port_range.1", METRICS_PORT.to_string());
            set("listen.control", format!("{ip}:{CONTROL_PORT}"));
            set("listen.inbound", format!("{ip}:{INBOUND_PORT}"));
            set("listen.outbound", format!("{ip}:{OUTBOUND_PORT}"));
            set("listen.readiness", format!("{ip}:{READINESS_PORT}"));
            set("seeds|json", seeds.clone());
            set("bootstrap", "true".into());
            set("fault_tolerance.machines", "1".into());
            set("bounds.drain_s", bounds.drain_s.to_string());
            set("bounds.config_apply_s", bounds.config_apply_s.to_string());
            set("bounds.budget_extra", bounds.budget_extra.to_string());
            let data = site.folder.join(format!("{name}.data"));
            set("data_dir", data.display().to_string());
            if !is_core {
                set("service", services[n - 3].to_string());
            }
            let template = if is_core { "deploy/control.yaml" } else { "deploy/daemon.yaml" };
            let text = fs::read_to_string(template).map_err(|e| format!("{template}: {e}"))?;
            let settings = site.folder.join(format!("{name}.yaml"));
            fs::write(&settings, fill(&text, &values)).map_err(|e| e.to_string())?;
            let log = site.folder.join(format!("{name}.log"));
            let mut process = Process { name, settings, log, child: None };
            process.start()?;
            match is_core {
                true => site.cores.push(process),
                false => site.sides.push(Side { ip, process }),
            }
        }
        Ok(site)
    }

    pub fn control_plane(&self) -> Vec<String> {
        self.core_ips.iter().map(|ip| format!("{ip}:{CONTROL_PORT}")).collect()
    }

    /// Sends a configuration as the operator does: again and again, to any machine, until it is
    /// acknowledged.
    pub fn replace_config(&self, body: &str, within: Duration) -> Result<(), String> {
        let until = Instant::now() + within;
        let mut n = 0;
        while Instant::now() < until {
            let to = &self.control_plane()[n % 3];
            n += 1;
            let answer = http::call(
                to,
                "POST",
                "/-/rpc?call=config.replace",
                &[("Content-Type", "application/json")],
                body.as_bytes(),
                Duration::from_secs(1),
            );
            match answer {
                Ok(answer) if answer.status == 200 => {
                    self.record.line(&format!("operator: configuration acknowledged by {to}"));
                    return Ok(());
                }
                Ok(answer) if (400..500).contains(&answer.status) => {
                    return Err(format!("the configuration was refused: {}", answer.status));
                }
                _ => thread::sleep(Duration::from_millis(100)),
            }
        }
        Err("the configuration was not acknowledged".into())
    }

    /// Waits until each daemon says that it is ready.
    pub fn wait_ready(&self, within: Duration) -> Result<(), String> {
        let until = Instant::now() + within;
        for side in &self.sides {
            loop {
                let answer = http::call(
                    &side.readiness(),
                    "GET",
                    "/-/readyz",
                    &[],
                    b"",
                    Duration::from_secs(1),
                );
                if answer.is_ok_and(|answer| answer.status == 200) {
                    break;
                }
                if Instant::now() >= until {
                    return Err(format!("{} is not ready", side.process.name));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Copies the last lines of the logs into the record.
    pub fn record_logs(&self, lines: usize) {
        let sides = self.sides.iter().map(|side| &side.process);
        for process in self.cores.iter().chain(sides) {
            let text = fs::read_to_string(&process.log).unwrap_or_default();
            let all: Vec<&str> = text.lines().collect();
            for line in &all[all.len().saturating_sub(lines)..] {
                self.record.line(&format!("log of {}: {line}", process.name));
            }
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.cores.clear();
        self.sides.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Fills a template of the deploy file: plain gaps, and sections that stand if their value is given.
fn fill(template: &str, values: &BTreeMap<String, String>) -> String {
    let mut text = template.to_string();
    while let Some(start) = text.find("{{#") {
        let name_end = start + text[start..].find("}}").expect("the section has a name");
        let name = text[start + 3..name_end].to_string();
        let close = format!("{{{{/{name}}}}}");
        let end = start + text[start..].find(&close).expect("the section ends");
        let inner = match values.contains_key(&name) {
            true => text[name_end + 2..end].to_string(),
            false => String::new(),
        };
        text.replace_range(start..end + close.len(), &inner);
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

/// Returns the first three bytes of loopback addresses on which all ports are free.
fn free_net(hosts: usize) -> Result<String, String> {
    let ports = [
        RPC_PORT,
        METRICS_PORT,
        CONTROL_PORT,
        INBOUND_PORT,
        BACKEND_PORT,
        READINESS_PORT,
        OUTBOUND_PORT,
    ];
    let first = std::process::id() % 200;
    for n in 0..200 {
        let net = format!("127.77.{}", 1 + (first + n) % 250);
        let mut addresses =
            (0..hosts).flat_map(|host| ports.map(|port| format!("{net}.{}:{port}", host + 1)));
        if addresses.all(|address| TcpListener::bind(address).is_ok()) {
            return Ok(net);
        }
    }
    Err("no free loopback addresses".into())
}

/// Returns whether the programs are built.
pub fn is_built() -> bool {
    Path::new(PROGRAM).exists()
}
