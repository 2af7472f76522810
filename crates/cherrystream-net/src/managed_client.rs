//! An RPC client that keeps its connection usable, independently of the calls on it.
//!
//! A task opens the connection on the first demand, replaces it once it is silent, and follows
//! changes of the address. Calls may be cancelled at any time: nothing that keeps the connection
//! usable depends on them.

use crate::activity::Activity;
use crate::connection_metrics::ConnectionMetrics;
use crate::key::Secret;
use crate::rpc::{self, Client, ConnectOptions};
use cherrystream_core::keep_alive::{Action, KeepAlive, Options};
use cherrystream_core::units::Timestamp;
use std::future;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Detection of silent connections whose calls may take longer than the timeout.
pub const CALL_KEEP_ALIVE: Options = Options {
    ping_interval: Duration::from_millis(300),
    timeout: Duration::from_millis(700),
    max_extension: Duration::from_secs(1),
    retry_interval: Duration::from_millis(500),
};
/// Delay before the next attempt to connect to an unreachable peer.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Longest wait of a call for a connection that is being opened.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

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
    Silent {
        client: Arc<Client>,
        last_received: Timestamp,
    },
}

impl State {
    /// Returns a client whose connection works as far as known.
    fn usable(&self) -> Option<&Arc<Client>> {
        match self {
            State::Open(client) => Some(client).filter(|client| client.is_connected()),
            // The peer has resumed.
            State::Silent { client, last_received } => Some(client).filter(|client| {
                client.is_connected()
                    && client.activity().traffic().last_received() > *last_received
            }),
            State::Closed | State::Unreachable => None,
        }
    }

    fn is_unreachable(&self) -> bool {
        matches!(self, State::Unreachable | State::Silent { .. })
    }
}

/// Settings of a [`ManagedClient`].
#[derive(Clone)]
pub struct ManagedClientOptions {
    /// Key shared by the processes of the system.
    pub key: Option<Secret>,
    /// Timeout of a call.
    pub call_timeout: Duration,
    /// Detection of silent connections; `None` if whoever calls detects them. Then no pings are
    /// sent.
    pub keep_alive: Option<Options>,
    /// Metrics of the connections.
    pub metrics: ConnectionMetrics,
}

/// A client whose connection is replaced when it is silent.
pub struct ManagedClient {
    state: watch::Receiver<State>,
    /// Number of calls that wanted a connection and found none.
    wanted: watch::Sender<u64>,
    /// Opens and replaces connections; aborted on drop.
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
        {
            let state = self.state.borrow();
            if let Some(client) = state.usable() {
                return Some(client.clone());
            }
            if matches!(*state, State::Silent { .. }) {
                return None;
            }
        }
        self.wait_for_client().await
    }

    /// Like [`ManagedClient::client`], but returns the connection to an unreachable peer if one is
    /// still open. For messages that may be lost.
    pub async fn client_even_if_silent(&self) -> Option<Arc<Client>> {
        if let State::Silent { client, .. } = &*self.state.borrow()
            && client.is_connected()
        {
            return Some(client.clone());
        }
        self.client().await
    }

    /// Returns the age of the open connection.
    pub fn age(&self) -> Option<Duration> {
        match &*self.state.borrow() {
            State::Open(client) | State::Silent { client, .. } => Some(client.activity().age()),
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
        let decided = state.wait_for(|s| s.usable().is_some() || s.is_unreachable());
        match tokio::time::timeout(OPEN_TIMEOUT, decided).await {
            Ok(Ok(s)) => s.usable().cloned(),
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

    /// Opens a connection. Returns `None` after a failure, once calls may try again. Begins anew
    /// when the address changes, because an attempt to reach a lost host lasts until its timeout.
    async fn open(&mut self) -> Option<Arc<Client>> {
        loop {
            self.address.mark_unchanged();
            let mut address = self.address.clone();
            tokio::select! {
                client = self.attempt() => return client,
                () = changed(&mut address) => {}
            }
            self.state.send_replace(State::Closed);
        }
    }

    /// Tries to open a connection. Returns `None` after a failure and a pause.
    async fn attempt(&self) -> Option<Arc<Client>> {
        if let Some(client) = self.connect().await {
            return Some(client);
        }
        self.state.send_replace(State::Unreachable);
        tokio::time::sleep(RECONNECT_DELAY).await;
        None
    }

    async fn connect(&self) -> Option<Arc<Client>> {
        let address = self.address.borrow().clone();
        let opts = &self.opts;
        let connect_options = ConnectOptions {
            key: opts.key.as_ref(),
            call_timeout: opts.call_timeout,
            ping_interval: opts.keep_alive.map(|keep_alive| keep_alive.ping_interval),
        };
        match rpc::connect_with(&address, connect_options).await {
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
            self.log_silence(&client, "replaced");
            self.opts.metrics.replaced.inc();
            // Calls that fail because of the abort find the replacement.
            self.state.send_replace(State::Open(replacement.clone()));
            client.activity().abort();
            client = replacement;
        }
    }

    /// Waits until a connection is silent, and returns a new one that is open. Returns `None` if the
    /// connection has ended or the address has changed.
    async fn wait_for_silence(&mut self, client: &Arc<Client>) -> Option<Arc<Client>> {
        let Some(opts) = self.opts.keep_alive else {
            self.wait_for_end(client).await;
            return None;
        };
        let activity = client.activity();
        let mut keep_alive = KeepAlive::new(activity.now(), opts);
        loop {
            let now = activity.now();
            let traffic = activity.traffic();
            let action = keep_alive.check(now, &traffic);
            self.publish_silence(keep_alive.is_unreachable(now, &traffic));
            match action {
                Action::Replace => {
                    let mut address = self.address.clone();
                    let replacement = tokio::select! {
                        replacement = self.connect() => replacement,
                        () = changed(&mut address) => return None,
                    };
                    match replacement {
                        // A byte that has arrived meanwhile shows that the connection works.
                        Some(replacement)
                            if keep_alive.is_silent(activity.now(), &activity.traffic()) =>
                        {
                            return Some(replacement);
                        }
                        Some(_) => {}
                        None => {
                            if !keep_alive.is_unreachable(now, &traffic) {
                                self.log_silence(client, "kept, because no new one can be opened");
                            }
                            keep_alive.on_attempt_failed(activity.now());
                        }
                    }
                }
                Action::Check(at) => {
                    let ended = self.wait_for_end(client);
                    if tokio::time::timeout(at.since(now), ended).await.is_ok() {
                        return None;
                    }
                }
            }
        }
    }

    fn log_silence(&self, client: &Client, action: &str) {
        let address = self.address.borrow();
        self.opts.metrics.log_silence(&address, client.activity(), action);
    }

    /// Waits until a connection has ended or the address has changed.
    async fn wait_for_end(&mut self, client: &Client) {
        tokio::select! {
            _ = client.on_disconnect() => {}
            () = changed(&mut self.address) => {}
        }
    }

    /// Publishes whether calls on the open connection would get no answer.
    fn publish_silence(&self, is_unreachable: bool) {
        self.state.send_if_modified(|state| {
            let next = match state {
                State::Open(client) if is_unreachable => State::Silent {
                    client: client.clone(),
                    last_received: client.activity().traffic().last_received(),
                },
                State::Silent { client, .. } if !is_unreachable => State::Open(client.clone()),
                _ => return false,
            };
            *state = next;
            true
        });
    }
}

/// Waits until the address changes.
async fn changed(address: &mut watch::Receiver<String>) {
    if address.changed().await.is_err() {
        // The address cannot change any more.
        future::pending().await
    }
}
