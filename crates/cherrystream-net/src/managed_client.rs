//! An RPC client that keeps its connection usable, independently of the calls on it.
//!
//! A task opens the connection on the first demand, replaces it once it is silent, and follows
//! changes of the address. Calls may be cancelled at any time: nothing that keeps the connection
//! usable depends on them.

use crate::activity::Activity;
use crate::key::Secret;
use crate::rpc::{self, Client, ConnectOptions};
use cherrystream_core::keep_alive::{KeepAlive, Options};
use prometheus_client::metrics::counter::Counter;
use std::future;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Detection of silent connections. A replacement is open before the leader of a group misses its
/// quorum for one election timeout (1 s).
pub const KEEP_ALIVE: Options = Options {
    timeout: Duration::from_millis(500),
    min_throughput: 50_000.0,
    max_extension: Duration::from_secs(1),
    retry_interval: Duration::from_millis(500),
};
/// Delay before the next attempt to connect to an unreachable peer.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Longest wait of a call for a connection that is being opened.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// Metrics of managed connections.
#[derive(Clone, Debug, Default)]
pub struct ConnectionMetrics {
    /// Connections opened.
    pub opened: Counter,
    /// Silent connections that were replaced.
    pub replaced: Counter,
    /// Attempts to connect that failed.
    pub failed: Counter,
}

/// State of the connection.
#[derive(Clone, Default)]
enum State {
    /// Being opened, or not wanted yet.
    #[default]
    Closed,
    /// The last attempt to connect failed.
    Unreachable,
    Open(Arc<Client>),
    /// Silent; a new connection could not be opened.
    Silent(Arc<Client>),
}

/// Settings of a [`ManagedClient`].
#[derive(Clone)]
pub struct ManagedClientOptions {
    /// Key shared by the processes of the system.
    pub key: Option<Secret>,
    /// Timeout of a call.
    pub call_timeout: Duration,
    /// Interval of pings.
    pub ping_interval: Duration,
    /// Detection of silent connections; `None` if whoever calls detects them.
    pub keep_alive: Option<Options>,
    /// Metrics of the connections.
    pub metrics: ConnectionMetrics,
}

/// A client whose connection is replaced when it is silent.
pub struct ManagedClient {
    state: watch::Receiver<State>,
    /// Number of calls that wanted a connection and found none.
    wanted: watch::Sender<u64>,
    _task: JoinSet<()>,
}

impl ManagedClient {
    /// Creates a client of an address that may change. The first call opens the connection.
    pub fn new(address: watch::Receiver<String>, opts: ManagedClientOptions) -> ManagedClient {
        let (tx, state) = watch::channel(State::default());
        let wanted = watch::Sender::new(0);
        let mut task = JoinSet::new();
        let connector = Connector { address, opts, state: tx, wanted: wanted.subscribe() };
        task.spawn(connector.run());
        ManagedClient { state, wanted, _task: task }
    }

    /// Returns a client to call, or `None` if the peer is unreachable.
    pub async fn client(&self) -> Option<Arc<Client>> {
        match &*self.state.borrow() {
            State::Open(client) if client.is_connected() => return Some(client.clone()),
            State::Silent(_) => return None,
            _ => {}
        }
        self.wait_for_client().await
    }

    /// Like [`ManagedClient::client`], but returns the connection to an unreachable peer if one is
    /// still open. For messages that may be lost.
    pub async fn any_client(&self) -> Option<Arc<Client>> {
        if let State::Silent(client) = &*self.state.borrow()
            && client.is_connected()
        {
            return Some(client.clone());
        }
        self.client().await
    }

    /// Returns the age of the open connection.
    pub fn age(&self) -> Option<Duration> {
        match &*self.state.borrow() {
            State::Open(client) | State::Silent(client) => Some(client.activity().age()),
            State::Closed | State::Unreachable => None,
        }
    }

    async fn wait_for_client(&self) -> Option<Arc<Client>> {
        let mut state = self.state.clone();
        let was_unreachable = matches!(*state.borrow_and_update(), State::Unreachable);
        self.wanted.send_modify(|n| *n += 1);
        if was_unreachable {
            return None;
        }
        let open = state.wait_for(|s| match s {
            State::Open(client) => client.is_connected(),
            State::Unreachable | State::Silent(_) => true,
            State::Closed => false,
        });
        match tokio::time::timeout(OPEN_TIMEOUT, open).await {
            Ok(Ok(s)) => match &*s {
                State::Open(client) => Some(client.clone()),
                _ => None,
            },
            _ => None,
        }
    }
}

/// The task that opens and replaces connections.
struct Connector {
    address: watch::Receiver<String>,
    opts: ManagedClientOptions,
    state: watch::Sender<State>,
    wanted: watch::Receiver<u64>,
}

impl Connector {
    async fn run(mut self) {
        loop {
            self.state.send_replace(State::Closed);
            if self.wanted.changed().await.is_err() {
                return;
            }
            self.wanted.mark_unchanged();
            while let Some(client) = self.open().await {
                let activity = self.keep(client).await;
                self.state.send_replace(State::Closed);
                // A peer that closes each connection at once is not called without pause.
                tokio::time::sleep(RECONNECT_DELAY.saturating_sub(activity.age())).await;
            }
        }
    }

    /// Opens a connection. Returns `None` after a failure, once calls may try again.
    async fn open(&mut self) -> Option<Arc<Client>> {
        if let Some(client) = self.connect().await {
            return Some(client);
        }
        self.state.send_replace(State::Unreachable);
        tokio::time::sleep(RECONNECT_DELAY).await;
        None
    }

    async fn connect(&mut self) -> Option<Arc<Client>> {
        let address = self.address.borrow_and_update().clone();
        let opts = &self.opts;
        let connect_opts =
            ConnectOptions { call_timeout: opts.call_timeout, ping_interval: opts.ping_interval };
        match rpc::connect_with(&address, opts.key.as_ref(), connect_opts).await {
            Ok(client) => {
                opts.metrics.opened.inc();
                Some(Arc::new(client))
            }
            Err(e) => {
                opts.metrics.failed.inc();
                log::debug!("rpc: {e}");
                None
            }
        }
    }

    /// Keeps a connection and its replacements until one of them ends or the address changes.
    /// Returns the activity of the last one.
    async fn keep(&mut self, mut client: Arc<Client>) -> Arc<Activity> {
        loop {
            self.state.send_replace(State::Open(client.clone()));
            let Some(replacement) = self.wait_for_silence(&client).await else {
                client.activity().abort();
                return client.activity().clone();
            };
            let (age, silence) = (client.activity().age(), client.activity().silence());
            log::info!(
                "rpc: the connection to {}, {age:?} old, was silent for {silence:?} and is replaced",
                *self.address.borrow()
            );
            self.opts.metrics.replaced.inc();
            client.activity().abort();
            client = replacement;
        }
    }

    /// Waits until a connection is silent, and returns a new one that is open. Returns `None` if the
    /// connection has ended or the address has changed.
    async fn wait_for_silence(&mut self, client: &Client) -> Option<Arc<Client>> {
        let Some(opts) = self.opts.keep_alive else {
            self.wait_for_end(client).await;
            return None;
        };
        let mut keep_alive = KeepAlive::new(opts);
        loop {
            let activity = client.activity();
            let traffic = activity.traffic();
            let now = activity.now();
            self.publish_silence(keep_alive.is_unreachable(now, traffic));
            if keep_alive.should_replace(now, traffic) {
                if let Some(replacement) = self.connect().await {
                    return Some(replacement);
                }
                keep_alive.on_attempt_failed(activity.now());
                continue;
            }
            let wait = keep_alive.replace_at(traffic).since(now);
            if tokio::time::timeout(wait, self.wait_for_end(client)).await.is_ok() {
                return None;
            }
        }
    }

    /// Waits until a connection has ended or the address has changed.
    async fn wait_for_end(&mut self, client: &Client) {
        let changed = async {
            if self.address.changed().await.is_err() {
                // The address cannot change any more.
                future::pending().await
            }
        };
        tokio::select! {
            _ = client.on_disconnect() => {}
            () = changed => {}
        }
    }

    /// Publishes whether calls on the open connection would get no answer.
    fn publish_silence(&self, is_unreachable: bool) {
        self.state.send_if_modified(|state| {
            let next = match state {
                State::Open(client) if is_unreachable => State::Silent(client.clone()),
                State::Silent(client) if !is_unreachable => State::Open(client.clone()),
                _ => return false,
            };
            *state = next;
            true
        });
    }
}
