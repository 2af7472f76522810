//! A replica's interface to daemons, modelled on `control::rpc_server`.

use super::ServedChunk;
use cherrystream_control::daemon_registry::DaemonRegistry;
use cherrystream_control::distribution::{Distribution, Lacking};
use cherrystream_core::state::ControlState;
use cherrystream_core::units::Timestamp;
use cherrystream_schema::messages::{ChunkRequest, SyncReply, SyncRequest};
use parking_lot::RwLock;
use std::time::Duration;

/// Interval of checking whether an update that other daemons fetch may be offered, as in control.
pub const POLL_INTERVAL: Duration = Duration::from_millis(80);

/// A replica.
pub struct Replica {
    /// Daemons that send heartbeats to this replica.
    pub daemons: DaemonRegistry,
    distribution: Distribution,
    failure_domain: String,
}

impl Replica {
    /// Creates the replica of a failure domain.
    pub fn new(domain: usize) -> Replica {
        let failure_domain = format!("domain-{domain}");
        Replica {
            daemons: DaemonRegistry::default(),
            distribution: Distribution::new(&failure_domain),
            failure_domain,
        }
    }

    /// Returns the answer to a heartbeat, or `None` if it should wait and be polled again.
    pub fn poll(
        &self,
        now: Timestamp,
        state: &RwLock<ControlState>,
        req: &SyncRequest,
        until: Timestamp,
    ) -> Option<SyncReply> {
        let lacking = self.distribution.lacking(now, state, req, &self.daemons);
        let waits = match lacking {
            Lacking::Later => true,
            Lacking::Nothing => req.fetching.is_some(),
            Lacking::Short(_) | Lacking::Long(_) => false,
        };
        if waits && now + POLL_INTERVAL <= until {
            return None;
        }
        let (update, offer) = match lacking {
            Lacking::Nothing | Lacking::Later => (None, None),
            Lacking::Short(update) => (Some(*update), None),
            Lacking::Long(offer) => (None, Some(offer)),
        };
        let state = state.read();
        Some(SyncReply {
            newest: state.revision(),
            update,
            offer,
            instance: state.shared().instances.get(&req.record.host).cloned(),
            state_age_ms: 0,
            control: Vec::new(),
            failure_domain: Some(self.failure_domain.clone()),
        })
    }

    /// Returns the chunk that a daemon requests.
    pub fn chunk(&self, now: Timestamp, req: &ChunkRequest) -> ServedChunk {
        ServedChunk::from_control_reply(&self.distribution.chunk(now, req))
    }
}
