//! Polls the platform's list of hosts on the leader and records which hosts are leaving.

use crate::handle::Handle;
use cherrystream_net::body::{self, Body, BoxError, Start};
use cherrystream_schema::messages::{
    Change, Command, PlatformHost, PlatformList, PlatformState, Shared,
};
use http::{Request, Uri};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time between two reads of the list.
const POLL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Timeout of one read.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum size of the list.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Polls the list while this replica leads. Never returns.
pub async fn watch(handle: Handle, url: String) {
    let mut interval = tokio::time::interval(POLL_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if !handle.status.borrow().leads {
            continue;
        }
        match tokio::time::timeout(READ_TIMEOUT, read_list(&url)).await {
            Ok(Ok(list)) => record(&handle, &list).await,
            Ok(Err(e)) => log::warn!("platform: cannot read {url}: {e}"),
            Err(_) => log::warn!("platform: {url} did not respond in time"),
        }
    }
}

async fn record(handle: &Handle, list: &PlatformList) {
    let changes = changes(handle.state.read().shared(), list);
    for change in changes {
        if let Change::HostLeaving { host, leaving } = &change {
            let state = if *leaving { "leaving" } else { "live again" };
            log::info!("platform: host {host} is {state}");
        }
        if handle.propose(Command::Share { change }).await.is_err() {
            return;
        }
    }
}

/// Returns the changes that bring the recorded state in line with the list. A host that is missing
/// from the list keeps its state: the list lags, and a new host may not be on it yet.
pub fn changes(shared: &Shared, list: &PlatformList) -> Vec<Change> {
    let change = |entry: &PlatformHost| {
        let leaving = entry.state == PlatformState::Leaving;
        let recorded = shared.leaving.contains(&entry.host);
        (leaving != recorded).then(|| Change::HostLeaving { host: entry.host.clone(), leaving })
    };
    list.hosts.iter().filter_map(change).collect()
}

async fn read_list(url: &str) -> Result<PlatformList, BoxError> {
    let uri: Uri = url.parse()?;
    let authority = uri.authority().ok_or("the URL names no host")?.to_string();
    let stream = TcpStream::connect(&authority).await?;
    let (mut sender, connection) = http1::handshake::<_, Body>(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let path = uri.path_and_query().map_or("/", |p| p.as_str());
    let req = Request::get(path).header("host", authority).body(body::empty())?;
    let res = sender.send_request(req).await?;
    if !res.status().is_success() {
        return Err(format!("the response has status {}", res.status()).into());
    }
    match body::read_start(body::incoming(res.into_body()), MAX_LIST_BYTES).await? {
        Start::Whole(bytes) => Ok(serde_json::from_slice(&bytes)?),
        Start::Longer(_) => Err("the list is too long".into()),
    }
}
