//! Connections to control, and the detection of those that are silent.

use cherrystream_core::keep_alive::{KeepAlive, Options};
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
            tokio::time::sleep(self.keep_alive.replace_at(traffic).since(now)).await;
        }
    }

    /// Records that no other connection could be opened.
    pub fn on_attempt_failed(&mut self) {
        self.keep_alive.on_attempt_failed(self.activity.now());
    }
}
