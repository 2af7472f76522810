//! Connections to control, and the detection of those that are silent.

use cherrystream_core::keep_alive::{Action, KeepAlive, Options};
use cherrystream_net::activity::Activity;
use cherrystream_net::rpc::Client;
use std::sync::Arc;
use std::time::Duration;

/// Detection of silent connections to control. A daemon writes little, so written bytes hardly
/// extend the timeout.
pub const KEEP_ALIVE: Options = Options {
    ping_interval: Duration::from_millis(400),
    timeout: Duration::from_millis(700),
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
        let activity = client.activity();
        SilenceDetector { activity, keep_alive: KeepAlive::new(activity.now(), KEEP_ALIVE) }
    }

    /// Waits until an attempt to open another connection is due.
    pub async fn silent(&mut self) {
        loop {
            let now = self.activity.now();
            match self.keep_alive.check(now, &self.activity.traffic()) {
                Action::Replace => return,
                Action::Check(at) => tokio::time::sleep(at.since(now)).await,
            }
        }
    }

    /// Returns whether the connection is silent.
    pub fn is_silent(&self) -> bool {
        self.keep_alive.is_silent(self.activity.now(), &self.activity.traffic())
    }

    /// Records that no other connection could be opened.
    pub fn on_attempt_failed(&mut self) {
        self.keep_alive.on_attempt_failed(self.activity.now());
    }
}
