//! Detects that a connection to a peer is silent, and replaces it.
//!
//! The monitor is a task of the connection: a call that is cancelled before its response takes
//! nothing from the detection.

use super::channel::Channel;
use super::{Opened, Peer};
use cherrystream_core::demand_keep_alive::{DemandKeepAlive, Step};
use cherrystream_net::activity::Activity;
use cherrystream_net::body;
use http::{Method, Request};
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::task::JoinHandle;

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
        let mut keep_alive = DemandKeepAlive::new(channel.traffic.keep_alive());
        let steps = async {
            loop {
                let activity = &channel.activity;
                let now = activity.now();
                match keep_alive.next(now, activity.progress(), channel.has_calls()) {
                    Step::Idle => wait_for_call(&peer, &channel).await,
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

/// Waits for a call on an idle connection. One that stays idle for long is not used for new calls;
/// it closes once nobody holds it.
async fn wait_for_call(peer: &Weak<Peer>, channel: &Arc<Channel>) {
    let idle_timeout = channel.traffic.idle_timeout();
    if tokio::time::timeout(idle_timeout, channel.called()).await.is_err()
        && let Some(peer) = peer.upgrade()
    {
        peer.discard(channel);
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
        let opened = peer.connect().await?;
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
        "peer: the connection to {}, {age:?} old, was silent for {silence:?} and is replaced: \
         traffic={}",
        peer.address,
        channel.traffic.as_str(),
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
