//! Quotas limit the request rate of a workspace over all daemons together.
//!
//! Each daemon has a [`Policy`], which decides at once where it can and exchanges batches with
//! those of other daemons. Daemons use [`Leases`].

mod allocators;
mod bucket;
mod leases;
mod members;
mod workspace_leases;

pub use leases::Leases;
pub use members::{Member, Members};

use crate::units::Timestamp;
use crate::workspaces::Quota;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Thousandths per request.
const MILLI: f64 = 1_000.0;

/// Limit on requests admitted beyond a quota by all daemons together.
#[derive(Clone, Copy, Debug)]
pub struct Tolerance {
    /// Length of the sliding window in which requests are counted.
    pub window: Duration,
    /// Share of the quota that may be exceeded within a window, from 0 to 1.
    pub over: f64,
    /// Further requests allowed within a window.
    pub slack: f64,
}

impl Tolerance {
    /// Returns the requests beyond its quota that a workspace may send within a window.
    pub fn max_excess(&self, quota: Quota) -> f64 {
        let allowed = quota.per_second * self.window.as_secs_f64() + quota.burst;
        self.over * allowed + self.slack
    }
}

/// Distinguishes the first decision on a request from repeated ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Try {
    /// The request has just been read.
    First,
    /// The request has waited for an answer of another daemon.
    Again,
}

/// The credit used by an admitted request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Charge {
    /// Workspace whose quota it counts against.
    pub workspace: Arc<str>,
    /// Host of the allocator that granted it; `None` if the request ran without a lease.
    pub allocator: Option<Arc<str>>,
}

/// Why a request is over the quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverQuota {
    /// Time after which a retry may be admitted.
    pub retry_after: Duration,
    /// Age of the allocator's answer behind the refusal.
    pub answer_age: Duration,
    /// Whether some allocator was unavailable.
    pub out_of_reach: bool,
}

/// Decision on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may run.
    Run(Charge),
    /// The request is refused.
    Refuse(OverQuota),
    /// The decision is repeated when an answer arrives.
    Wait,
}

/// A quota in fixed-point numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaMilli {
    /// Rate, in thousandths of a request per second.
    pub milli_per_s: u64,
    /// Burst, in thousandths of a request.
    pub burst_milli: u64,
}

impl From<Quota> for QuotaMilli {
    fn from(quota: Quota) -> QuotaMilli {
        let milli = |number: f64| (number * MILLI).round() as u64;
        QuotaMilli { milli_per_s: milli(quota.per_second), burst_milli: milli(quota.burst) }
    }
}

impl From<QuotaMilli> for Quota {
    fn from(quota: QuotaMilli) -> Quota {
        let requests = |milli: u64| milli as f64 / MILLI;
        Quota { per_second: requests(quota.milli_per_s), burst: requests(quota.burst_milli) }
    }
}

/// A daemon's request to an allocator of one workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The workspace.
    pub workspace: Arc<str>,
    /// Its quota, for an allocator that does not have the revision with it yet.
    pub quota: QuotaMilli,
    /// Requests that wait for credits, or that ran without them since the last batch.
    pub requests: u32,
    /// Credits wanted for expected requests.
    #[serde(rename = "ahead")]
    pub prefetch: u32,
    /// Whether the daemon took the allocator's recent deficit into account.
    #[serde(rename = "knows")]
    pub deficit_considered: bool,
    /// Unused credits returned to the allocator.
    #[serde(rename = "back")]
    pub unused: u32,
}

/// A batch of requests from one daemon to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseBatch {
    /// One line per workspace and purpose.
    pub lines: Vec<LeaseRequest>,
}

/// Answer to a line of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseAnswer {
    /// Credits are granted.
    Granted {
        /// Number of credits; may be 0.
        credits: u32,
        /// Credits missing from the allocator's full bucket.
        #[serde(rename = "lacking")]
        deficit: u32,
    },
    /// The quota is used up; a retry may succeed after this time in milliseconds.
    #[serde(rename = "OverForMs")]
    RetryAfterMs(u32),
    /// The answering daemon is not an allocator of this workspace.
    #[serde(rename = "NotHome")]
    NotAllocator,
}

/// Answers to the lines of a batch, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseReply {
    /// One answer per line.
    #[serde(rename = "words")]
    pub answers: Vec<LeaseAnswer>,
}

/// Enforces quotas at one daemon.
pub trait Policy: Send {
    /// Sets the daemons that share the quotas.
    fn set_members(&mut self, now: Timestamp, members: &Members);
    /// Sets the quotas in force, by workspace.
    fn set_quotas(&mut self, quotas: HashMap<Arc<str>, Quota>);
    /// Decides on a request.
    fn admit(&mut self, now: Timestamp, workspace: &Arc<str>, quota: Quota, turn: Try) -> Decision;
    /// Returns the credit of a request that did not run and never will.
    fn give_back(&mut self, now: Timestamp, charge: &Charge);
    /// Returns the batches that are due, each with the host to send it to.
    fn outgoing(&mut self, now: Timestamp) -> Vec<(Arc<str>, LeaseBatch)>;
    /// Answers a batch of another daemon.
    fn answer(&mut self, now: Timestamp, batch: &LeaseBatch) -> LeaseReply;
    /// Handles the reply to a batch that was sent at `sent`; `None` if no reply arrived.
    fn on_reply(
        &mut self,
        now: Timestamp,
        sent: Timestamp,
        allocator: &Arc<str>,
        batch: &LeaseBatch,
        reply: Option<&LeaseReply>,
    );
}
