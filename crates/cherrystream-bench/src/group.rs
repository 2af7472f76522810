//! Control replicas and daemons, each in a process of its own.

use crate::process::{Cost, Process};
use crate::rig;
use cherrystream_net::pool::Pool;
use cherrystream_net::rpc::{self, ControlRpcClient};
use cherrystream_schema::messages::{ConfirmReply, Intent, PlanReply};
use prometheus_client::metrics::counter::Counter;
use std::path::Path;
use std::time::{Duration, Instant};

/// Timeout of one call.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A control group.
pub struct Group {
    /// Loopback IP address of all processes.
    pub base: String,
    folder: tempfile::TempDir,
    replicas: u64,
    processes: Vec<Process>,
}

impl Group {
    /// Starts a group and waits for a leader.
    pub async fn start(replicas: u64) -> Result<Group, String> {
        let base = rig::fresh_base();
        let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
        let all: Vec<String> = (1..=replicas)
            .map(|r| format!("{{replica: {r}, rpc_address: {base}:720{r}}}"))
            .collect();
        let mut processes = Vec::new();
        for r in 1..=replicas {
            let text = format!(
                "host: control-{r}\nfailure_domain: d{r}\nlog: error\ncontrol:\n  replica: {r}\n  \
                 rpc_address: {base}:720{r}\n  api_address: {base}:730{r}\n  \
                 data_folder: {}/{r}\n  replicas: [{}]\n",
                folder.path().display(),
                all.join(", ")
            );
            processes.push(start(folder.path(), &format!("control-{r}"), &text)?);
        }
        let group = Group { base, folder, replicas, processes };
        let probe = Intent::PutService { service: "probe".into(), measuring_per_second: 5 };
        group.accept(probe).await?;
        Ok(group)
    }

    fn api(&self) -> Pool {
        Pool::new(&format!("{}:7301", self.base), Counter::default())
    }

    /// Submits an intent and confirms its plan; retries until control accepts it.
    pub async fn accept(&self, intent: Intent) -> Result<(), String> {
        let start = Instant::now();
        let text = serde_json::to_string(&intent).map_err(|e| e.to_string())?;
        loop {
            let api = self.api();
            let accepted = async {
                let plan: PlanReply = rig::post(&api, "/v1/intents", text.clone()).await?;
                let path = format!("/v1/plans/{}/confirm", plan.plan);
                rig::post::<ConfirmReply>(&api, &path, String::new()).await
            };
            match accepted.await {
                Ok(_) => return Ok(()),
                Err(e) if start.elapsed() > TIMEOUT * 3 => return Err(e),
                Err(_) => tokio::time::sleep(Duration::from_millis(30)).await,
            }
        }
    }

    /// Returns each replica's resource use so far.
    pub fn costs(&self) -> Vec<Cost> {
        self.processes.iter().map(Process::cost).collect()
    }

    /// Returns the leader's index among the replicas.
    pub async fn leader(&self) -> Result<usize, String> {
        for r in 1..=self.replicas as usize {
            let address = format!("{}:720{r}", self.base);
            let client = rpc::connect(&address, None, TIMEOUT).await.map_err(|e| e.to_string())?;
            if client.read_index().await.is_ok() {
                return Ok(r - 1);
            }
        }
        Err("control has no leader; check that a majority of the replicas is running".into())
    }

    /// Returns the folder with the replicas' data.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the address at which a daemon accepts callers.
    pub fn caller(&self, number: u16) -> String {
        format!("{}:{}", self.base, 7400 + number * 10)
    }

    /// Starts a daemon.
    pub fn start_daemon(&self, host: &str, number: u16, workers: u32) -> Result<Process, String> {
        let base = &self.base;
        let control: Vec<String> = (1..=self.replicas).map(|r| format!("{base}:720{r}")).collect();
        let text = format!(
            "host: {host}\nfailure_domain: domain-{number}\nlog: error\nworkers: {workers}\n\
             daemon:\n  caller_address: {}\n  peer_address: {base}:{}\n  control: [{}]\n",
            self.caller(number),
            7401 + number * 10,
            control.join(", ")
        );
        start(self.folder.path(), host, &text)
    }
}

fn start(folder: &Path, name: &str, text: &str) -> Result<Process, String> {
    let path = folder.join(format!("{name}.yaml"));
    std::fs::write(&path, text).map_err(|e| e.to_string())?;
    Process::start(&path)
}
