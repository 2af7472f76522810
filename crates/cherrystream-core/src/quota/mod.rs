//! Quotas over all hosts: how many requests of a workspace run, summed over all daemons.
//!
//! A [`Policy`] decides at each daemon. It answers requests at once where it can, and exchanges batches with the
//! policies of other daemons. [`Leases`] is the one in use.

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

/// Thousandths of a request.
const MILLI: f64 = 1_000.0;

/// How far all daemons together may go beyond a quota.
#[derive(Clone, Copy, Debug)]
pub struct Tolerance {
    /// Time over which requests are summed.
    pub window: Duration,
    /// Share of a quota that may be sent beyond it within a window.
    pub over: f64,
    /// Requests beyond that within a window.
    pub slack: f64,
}

impl Tolerance {
    /// Returns how many requests beyond its quota a workspace may send within a window.
    pub fn room(&self, quota: Quota) -> f64 {
        let allowed = quota.per_second * self.window.as_secs_f64() + quota.burst;
        self.over * allowed + self.slack
    }
}

/// Whether a request is decided on for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Try {
    /// It has just been read.
    First,
    /// It has waited for an answer of another daemon.
    Again,
}

/// A request's part of a quota.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Charge {
    /// Workspace that it counts for.
    pub workspace: Arc<str>,
    /// Host whose daemon granted it.
    pub home: Option<Arc<str>>,
}

/// Why a request is over the quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Over {
    /// Time after which another request may run.
    pub retry_after: Duration,
    /// Age of the word that this rests on.
    pub answer_age: Duration,
    /// Whether some daemon that grants was out of reach.
    pub out_of_reach: bool,
}

/// What is decided on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may run.
    Run(Charge),
    /// It is refused.
    Over(Over),
    /// It is decided on once more when an answer comes.
    Wait,
}

/// A quota in whole numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaMilli {
    /// Thousandths of a request a second.
    pub milli_per_s: u64,
    /// Thousandths of a request on top at once.
    pub burst_milli: u64,
}

impl From<Quota> for QuotaMilli {
    fn from(quota: Quota) -> QuotaMilli {
        let milli = |number: f64| (number * MILLI).round() as u64;
        QuotaMilli { milli_per_s: milli(quota.per_second), burst_milli: milli(quota.burst) }
    }
}

impl From<QuotaMilli> for Quota {
    fn from(word: QuotaMilli) -> Quota {
        let whole = |milli: u64| milli as f64 / MILLI;
        Quota { per_second: whole(word.milli_per_s), burst: whole(word.burst_milli) }
    }
}

/// What a daemon tells another on one workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The workspace.
    pub workspace: Arc<str>,
    /// Its quota, for a daemon that does not hold the revision yet which brings it.
    pub quota: QuotaMilli,
    /// Requests that wait, or have run since the last batch.
    pub requests: u32,
    /// Requests that are expected soon.
    pub ahead: u32,
    /// Whether the daemon knows what the home lacks, so that it asks there for good reason.
    pub knows: bool,
    /// Credits that were granted and are not used.
    pub back: u32,
}

/// What a daemon tells another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseBatch {
    /// A line for each workspace.
    pub lines: Vec<LeaseRequest>,
}

/// What is answered to a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseAnswer {
    /// Requests may run.
    Granted {
        /// So many.
        credits: u32,
        /// Credits that the answering daemon lacks until it holds all that it may.
        lacking: u32,
    },
    /// None may run for so many milliseconds.
    OverForMs(u32),
    /// The answering daemon does not decide on this workspace.
    NotHome,
}

/// Answers to the lines of a batch, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// A word for each line.
    pub words: Vec<LeaseAnswer>,
}

/// Decides which requests of a workspace run.
pub trait Policy: Send {
    /// Takes the daemons that share the quotas.
    fn set_members(&mut self, now: Timestamp, members: &Members);
    /// Takes the quotas in force.
    fn set_quotas(&mut self, quotas: HashMap<Arc<str>, Quota>);
    /// Decides on a request.
    fn admit(&mut self, now: Timestamp, workspace: &Arc<str>, quota: Quota, turn: Try) -> Verdict;
    /// Takes back the charge of a request that was not run and never will be.
    fn give_back(&mut self, now: Timestamp, charge: &Charge);
    /// Returns the batches that are due, by host.
    fn outgoing(&mut self, now: Timestamp) -> Vec<(Arc<str>, LeaseBatch)>;
    /// Answers a batch of another daemon.
    fn answer(&mut self, now: Timestamp, batch: &LeaseBatch) -> Reply;
    /// Takes the answer to a batch that was sent at `sent`, or that none came.
    fn replied(
        &mut self,
        now: Timestamp,
        sent: Timestamp,
        home: &Arc<str>,
        batch: &LeaseBatch,
        reply: Option<&Reply>,
    );
}
