//! Traffic to a peer, and the connections that carry it.
//!
//! Long bodies have a connection of their own. On a slow link, the bytes that wait on it would
//! otherwise delay the short requests behind them by seconds, and their transfer time would have to
//! pass before the connection could be taken for silent.

use cherrystream_core::demand_keep_alive::Options;
use http::Request;
use http_body::Body;
use std::time::Duration;

/// Largest body of a short request: one HTTP/2 frame.
const MAX_SHORT_BYTES: u64 = 16 * 1024;
/// Detection of silent connections. HTTP/2 pings find out whether the peer answers; the probe
/// covers calls that were cancelled before a ping was due.
const KEEP_ALIVE: Options = Options {
    timeout: Duration::from_millis(500),
    max_extension: Duration::from_millis(500),
    retry_interval: Duration::from_millis(250),
    probe_after: Duration::from_millis(300),
    close_after: Duration::from_millis(4_500),
    max_delay: Duration::from_millis(200),
};
/// Maximum extension of the timeout for long bodies. Leaves a second of the 3 s in which a request is
/// to be answered after a silence for sending it again.
const LONG_MAX_EXTENSION: Duration = Duration::from_millis(1_250);
/// Time without a call after which a connection for long bodies is closed.
const LONG_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Traffic that one connection carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Traffic {
    /// Requests with short bodies.
    Short,
    /// Requests with long bodies, and those for long responses of the system itself.
    Long,
}

impl Traffic {
    /// Returns the traffic that a request belongs to, by the length of its body.
    pub fn of<B: Body>(req: &Request<B>) -> Traffic {
        match req.body().size_hint().upper() {
            Some(bytes) if bytes <= MAX_SHORT_BYTES => Traffic::Short,
            _ => Traffic::Long,
        }
    }

    pub(super) fn as_str(self) -> &'static str {
        match self {
            Traffic::Short => "short",
            Traffic::Long => "long",
        }
    }

    pub(super) fn keep_alive(self) -> Options {
        match self {
            Traffic::Short => KEEP_ALIVE,
            Traffic::Long => Options { max_extension: LONG_MAX_EXTENSION, ..KEEP_ALIVE },
        }
    }

    /// Returns the time without a call after which the connection is closed.
    pub(super) fn idle_timeout(self) -> Duration {
        match self {
            Traffic::Short => Duration::MAX,
            Traffic::Long => LONG_IDLE_TIMEOUT,
        }
    }
}
