//! Faults of a stand-in backend server, set over HTTP while it runs.

use cherrystream_schema::messages::ServerState;
use serde::{Deserialize, Serialize};

/// Active faults of a stand-in backend server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// State that the health endpoint reports; live when absent.
    pub state: Option<ServerState>,
    /// Milliseconds added to each service time.
    pub slow_ms: u64,
    /// Milliseconds from now on during which no request finishes.
    pub stall_ms: u64,
    /// Share of requests that fail at once with status 500.
    pub fail_share: f64,
    /// Requests in flight that the load endpoint reports; the true number when absent.
    pub claimed_in_flight: Option<u32>,
    /// Share of requests whose answer breaks off in the middle.
    pub break_share: f64,
    /// Share of requests that run and whose answer then breaks off.
    pub drop_share: f64,
    /// Whether requests are refused with status 503 while all slots are taken.
    pub shed: bool,
    /// Whether answers contain the identifier of another call.
    pub wrong_call: bool,
    /// Rate limit that answers state, as text; none when absent.
    pub limit: Option<String>,
    /// Whether answers state that the server is leaving.
    pub leaving: bool,
}
