//! Connections to control, and the detection of those that are silent.

use cherrystream_core::keep_alive::{KeepAlive, Options};
use cherrystream_core::units::Timestamp;
use cherrystream_net::activity::Activity;
use cherrystream_net::rpc::Client;
use std::sync::Arc;
use std::time::Duration;

/// Interval of pings on a connection of a daemon to control.
pub const PING_INTERVAL: Duration = Duration::from_millis(400);
/// Detection of silent connections to control. A daemon writes little, so written bytes hardly
/// extend the timeout.
pub const KEEP_ALIVE: Options = Options {
    timeout: Duration::from_millis(1_000),
    min_throughput: 50_000.0,
    max_extension: Duration::from_secs(1),
    retry_interval: Duration::from_millis(500),
};

/// Delay of a timer beyond which this process was suspended.
const MAX_DELAY: Duration = Duration::from_millis(200);

/// An open connection to a control replica.
pub struct Connection {
    /// RPC address of the replica.
    pub address: String,
    /// Client to call.
    pub client: Arc<Client>,
}

/// Detects that a connection is silent.
pub struct SilenceDetector<'a> {
    activity: &'a Activity,
    keep_alive: KeepAlive,
}

impl SilenceDetector<'_> {
    /// Creates the detector of an open connection.
    pub fn new(client: &Client) -> SilenceDetector<'_> {
        SilenceDetector { activity: client.activity(), keep_alive: KeepAlive::new(KEEP_ALIVE) }
    }

    /// Waits until an attempt to open another connection is due.
    pub async fn silent(&self) {
        loop {
            let (now, traffic) = (self.activity.now(), self.activity.traffic());
            if self.keep_alive.should_replace(now, traffic) {
                return;
            }
            self.sleep_until(self.keep_alive.replace_at(traffic)).await;
        }
    }

    /// Waits until a time. If this process was suspended meanwhile, waits on, so that the peer can
    /// answer a ping.
    async fn sleep_until(&self, mut due: Timestamp) {
        loop {
            tokio::time::sleep(due.since(self.activity.now())).await;
            let now = self.activity.now();
            if now.since(due) <= MAX_DELAY {
                return;
            }
            due = now + PING_INTERVAL;
        }
    }

    /// Returns whether the connection is silent.
    pub fn is_silent(&self) -> bool {
        self.keep_alive.is_silent(self.activity.now(), self.activity.traffic())
    }

    /// Records that no other connection could be opened.
    pub fn on_attempt_failed(&mut self) {
        self.keep_alive.on_attempt_failed(self.activity.now());
    }
}
