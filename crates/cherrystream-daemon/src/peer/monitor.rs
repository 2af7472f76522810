//! Detects that a connection to a peer is silent, and replaces it.
//!
//! The monitor is a task of the connection: a call that is cancelled before its response takes
//! nothing from the detection.

use super::channel::Channel;
use super::{Opened, Peer};
use cherrystream_core::demand_keep_alive::{DemandKeepAlive, Options, Step};
use cherrystream_net::activity::Activity;
use cherrystream_net::body;
use http::{Method, Request};
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::task::JoinHandle;

/// Detection of silent connections. HTTP/2 pings find out whether the peer answers; the probe
/// covers calls that were cancelled before a ping was due.
const KEEP_ALIVE: Options = Options {
    timeout: Duration::from_millis(500),
    max_extension: Duration::from_secs(2),
    retry_interval: Duration::from_millis(250),
    probe_after: Duration::from_millis(300),
    close_after: Duration::from_millis(4_500),
    max_delay: Duration::from_millis(200),
};
/// Timeout for the first byte on a connection that is opened in place of a silent one. A suspended
/// peer accepts connections, but sends nothing.
const REPLACE_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval of the checks for the first byte.
const FIRST_BYTE_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which the response to a probe is not awaited any longer.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// The monitor of a connection.
pub(super) struct Monitor {
    pub(super) peer: Weak<Peer>,
    pub(super) channel: Arc<Channel>,
    /// The task that drives the connection.
    pub(super) connection: JoinHandle<()>,
}

impl Monitor {
    /// Runs until the connection has ended.
    pub(super) async fn run(self) {
        let Monitor { peer, channel, mut connection } = self;
        let mut keep_alive = DemandKeepAlive::new(KEEP_ALIVE);
        let steps = async {
            loop {
                let activity = &channel.activity;
                let now = activity.now();
                match keep_alive.next(now, activity.progress(), channel.has_calls()) {
                    Step::Idle => channel.called().await,
                    Step::Wait(at) => tokio::time::sleep(at.since(now)).await,
                    Step::Probe => send_probe(&peer, &channel),
                    Step::Replace if replace(&peer, &channel).await => keep_alive.on_replaced(),
                    Step::Replace => keep_alive.on_attempt_failed(activity.now()),
                    Step::Close => return activity.abort(),
                }
            }
        };
        tokio::select! {
            _ = &mut connection => {}
            () = steps => {}
        }
    }
}

/// Sends a request that the peer refuses at once.
fn send_probe(peer: &Weak<Peer>, channel: &Arc<Channel>) {
    let Some(peer) = peer.upgrade() else { return };
    let Some(mut sender) = peer.sender_of(channel) else { return };
    let mut req = Request::new(body::empty());
    *req.method_mut() = Method::HEAD;
    let Ok(uri) = format!("http://{}/", peer.address).parse() else { return };
    *req.uri_mut() = uri;
    peer.write_key(req.headers_mut());
    tokio::spawn(tokio::time::timeout(PROBE_TIMEOUT, async move {
        let _ = sender.send_request(req).await;
    }));
}

/// Opens a connection and uses it for new calls, once the peer has sent a byte on it. Returns
/// whether it did; the silent connection is kept otherwise.
async fn replace(peer: &Weak<Peer>, channel: &Arc<Channel>) -> bool {
    let Some(peer) = peer.upgrade() else { return false };
    let before = channel.activity.progress().last_received;
    let opening = async {
        let opened = super::connect(&peer.address).await?;
        wait_for_first_byte(&opened.channel.activity).await;
        Some(opened)
    };
    let opened = tokio::time::timeout(REPLACE_TIMEOUT, opening).await;
    let Some(opened) = opened.ok().flatten() else { return false };
    let is_silent = channel.activity.progress().last_received == before;
    is_silent && install(&peer, channel, opened)
}

fn install(peer: &Arc<Peer>, channel: &Arc<Channel>, opened: Opened) -> bool {
    if !peer.install(Some(channel), opened) {
        return false;
    }
    let (age, silence) = (channel.activity.age(), channel.activity.silence());
    log::info!(
        "peer: the connection to {}, {age:?} old, was silent for {silence:?} and is replaced",
        peer.address
    );
    peer.metrics.peer_replaced.inc();
    channel.set_replaced();
    true
}

async fn wait_for_first_byte(activity: &Activity) {
    while !activity.has_received() {
        tokio::time::sleep(FIRST_BYTE_INTERVAL).await;
    }
}
