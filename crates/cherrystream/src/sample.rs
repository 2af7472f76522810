//! The command `try`: a small temporary site in one process.

use crate::cli::TryArgs;
use crate::errors::{self, Error, Result};
use crate::process;
use crate::signals::StopSignals;
use crate::site::Site;
use cherrystream_core::settings;
use cherrystream_net::serve::{self, Phases};
use cherrystream_schema::messages::{ConfirmReply, Intent, PlanReply, StatusReply};
use cherrystream_standin::backend::{Backend, Options};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

use crate::api_client::ApiClient;
use crate::cli::Target;

/// Names of the sample hosts.
const HOSTS: [&str; 2] = ["sample-a", "sample-b"];
/// Longest wait for the daemons to reach a state.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between reads of the status.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Addresses of the sample site.
struct Addresses {
    api: String,
    rpc: String,
    callers: [String; 2],
    peers: [String; 2],
    servers: Vec<String>,
}

/// Runs the site until a signal arrives or the given time has passed.
///
/// # Errors
///
/// Fails when the site cannot be started.
pub fn run(args: &TryArgs) -> Result<()> {
    process::start_log("warn")?;
    let runtime = tokio::runtime::Runtime::new().map_err(errors::setup("start the runtime"))?;
    runtime.block_on(run_async(args))
}

async fn run_async(args: &TryArgs) -> Result<()> {
    let mut stop_signals = StopSignals::listen()?;
    let folder = tempfile::tempdir().map_err(errors::setup("make a temporary folder"))?;
    let addresses = start_servers().await?;
    let mut sites = Vec::new();
    for (i, host) in HOSTS.iter().enumerate() {
        let text = settings_text(&addresses, i, host, &folder.path().display().to_string());
        let settings = settings::read(&text)
            .map_err(|source| Error::Settings { file: "the sample's settings".into(), source })?;
        sites.push(Site::start(&settings, Arc::new(|| None)).await?);
    }
    configure(&addresses).await?;
    println!("{}", instructions(&addresses));
    let seconds = args.seconds.map_or(Duration::MAX, Duration::from_secs);
    tokio::select! {
        () = stop_signals.requested() => {}
        () = tokio::time::sleep(seconds) => {}
    }
    // The host without control stops first, while it can still announce to control that it leaves.
    for site in sites.into_iter().rev() {
        site.stop().await;
    }
    Ok(())
}

async fn start_servers() -> Result<Addresses> {
    let mut servers = Vec::new();
    for i in 0..4 {
        let listener = serve::listen("127.0.0.1:0").await?;
        servers.push(local_address(&listener)?);
        let opts = Options { name: server_name(i), ..Options::default() };
        let backend = Backend::new(opts, None);
        tokio::spawn(backend.serve(listener, Phases::default()));
    }
    Ok(Addresses {
        api: free_address("127.0.0.1:7301").await?,
        rpc: free_address("127.0.0.1:7201").await?,
        callers: [free_address("127.0.0.1:7100").await?, free_address("127.0.0.1:7110").await?],
        peers: [free_address("127.0.0.1:7101").await?, free_address("127.0.0.1:7111").await?],
        servers,
    })
}

/// Returns the preferred address, or one with a free port when it is in use.
async fn free_address(address: &str) -> Result<String> {
    let listener = match serve::listen(address).await {
        Ok(listener) => listener,
        Err(_) => serve::listen("127.0.0.1:0").await?,
    };
    local_address(&listener)
}

fn local_address(listener: &TcpListener) -> Result<String> {
    listener.local_addr().map(|a| a.to_string()).map_err(errors::setup("read an address"))
}

fn server_name(i: usize) -> String {
    format!("{}-{}", ["quotes", "payouts"][i / 2], i % 2 + 1)
}

fn settings_text(a: &Addresses, i: usize, host: &str, folder: &str) -> String {
    let daemon = format!(
        "host: {host}\nfailure_domain: {}\nlog: warn\ndaemon:\n  caller_address: {}\n  \
         peer_address: {}\n  control: [{}]\n  stop_grace_ms: 100\n",
        ["a", "b"][i],
        a.callers[i],
        a.peers[i],
        a.rpc
    );
    let control = format!(
        "control:\n  replica: 1\n  rpc_address: {}\n  api_address: {}\n  data_folder: {folder}\n  \
         replicas: [{{replica: 1, rpc_address: {}}}]\n",
        a.rpc, a.api, a.rpc
    );
    if i == 0 { daemon + &control } else { daemon }
}

async fn configure(a: &Addresses) -> Result<()> {
    let target = Target { api: Some(a.api.clone()), token_file: None, json: false };
    let client = ApiClient::try_new(&target)?;
    let ready = wait_for_daemons(&client, "live or behind", |s| s.daemons.len() == HOSTS.len());
    ready.await?;
    let mut intents = Vec::new();
    for service in ["quotes", "payouts"] {
        intents.push(Intent::PutService { service: service.into(), measuring_per_second: 5 });
    }
    intents.push(Intent::PutKind {
        service: "payouts".into(),
        kind: "order".into(),
        method: "POST".into(),
        path_prefix: "/orders".into(),
        repeatable: false,
        weight: 5,
        deadline_ms: 2_000,
    });
    for (i, address) in a.servers.iter().enumerate() {
        intents.push(Intent::PutBackendServer {
            service: server_name(i).split('-').next().unwrap_or_default().into(),
            name: server_name(i),
            host: HOSTS[i % 2].into(),
            address: address.clone(),
            slots: 12,
        });
    }
    for intent in intents {
        let plan: PlanReply = client.post("/v1/intents", &intent).await?;
        let path = format!("/v1/plans/{}/confirm", plan.plan);
        let _: ConfirmReply = client.post(&path, &()).await?;
    }
    let live = |s: &StatusReply| s.daemons.iter().all(|d| d.state == "live");
    wait_for_daemons(&client, "live", live).await
}

async fn wait_for_daemons(
    client: &ApiClient,
    what: &str,
    done: impl Fn(&StatusReply) -> bool,
) -> Result<()> {
    let waiting = async {
        loop {
            match client.get::<StatusReply>("/v1/status").await {
                Ok(status) if done(&status) => return,
                _ => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
    };
    let timed_out = |_| Error::Failed {
        what: format!(
            "the daemons are not {what} within {START_TIMEOUT:?}; stop other programs and try again"
        ),
    };
    tokio::time::timeout(START_TIMEOUT, waiting).await.map_err(timed_out)
}

fn instructions(a: &Addresses) -> String {
    let program = std::env::args().next().unwrap_or_else(|| "cherrystream".into());
    format!(
        "A sample site runs: services quotes and payouts, two backend servers each, on hosts \
         {} and {}.\n\n\
         Call it:\n  \
         curl -i -H 'Cherrystream-Service: quotes' http://{}/quotes\n  \
         curl -i -H 'Cherrystream-Service: payouts' -H 'Idempotency-Key: order-1' -d 'pay 20' \
         http://{}/orders\n\n\
         Take a host out (nothing changes until the plan is confirmed):\n  \
         {program} host take-out {} --api {}\n  \
         {program} confirm PLAN --api {}\n  \
         {program} status --api {}\n\n\
         Stop with Ctrl-C.",
        HOSTS[0], HOSTS[1], a.callers[0], a.callers[1], HOSTS[1], a.api, a.api, a.api
    )
}
