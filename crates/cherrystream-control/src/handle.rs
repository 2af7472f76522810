//! Handle through which other parts of the control role use the replicated log.

use crate::applier::Outcome;
use cherrystream_core::raft::rejoin::{PlaceView, QuorumContact};
use cherrystream_core::raft::{JoinDecision, ReplicaView};
use cherrystream_core::state::{Applied, ControlState};
use cherrystream_core::units::Timestamp;
use cherrystream_schema::messages::{Command, JoinRequest, RaftMessage, ReplicaAddress};
use parking_lot::RwLock;
use snafu::Snafu;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// Timeout for committing an entry or confirming a read.
pub(crate) const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Error of a proposal or read without a result.
#[derive(Clone, Copy, Debug, PartialEq, Snafu)]
pub enum NoResult {
    /// This replica is not the leader; nothing was proposed.
    #[snafu(display("this replica is not the leader"))]
    NotLeader {
        /// The leader, if known.
        leader: Option<u64>,
    },
    /// The leadership was lost or no quorum responded. The proposal may still be committed.
    #[snafu(display("it is not known whether the change was accepted; send the same call again"))]
    Unknown,
}

/// Input of the driver of the replicated log.
pub enum Event {
    /// Messages received from other replicas.
    Messages(Vec<RaftMessage>),
    /// A command to commit; the reply is the result of applying it.
    Propose(Box<Command>, oneshot::Sender<Result<Applied, NoResult>>),
    /// A read to confirm; the reply is the index that must be applied first.
    Read(oneshot::Sender<Result<u64, NoResult>>),
    /// A request for the leader's view of the other replicas.
    Views(oneshot::Sender<Vec<ReplicaView>>),
    /// A request of a replica for a member slot of the group; the reply is the decision.
    Admit(Box<JoinRequest>, oneshot::Sender<Result<JoinDecision, NoResult>>),
    /// Committed entries were applied.
    Applied(Vec<Outcome>),
    /// Hand over the leadership; the reply is sent afterwards.
    HandOver(oneshot::Sender<()>),
    /// The member slot of this replica was assigned to another one.
    Replaced,
    /// Stop the driver.
    Stop,
}

/// Status of the replicated log on this replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LogStatus {
    /// Current term.
    pub term: u64,
    /// The leader, if known.
    pub leader: Option<u64>,
    /// Whether this replica is the leader.
    pub leads: bool,
    /// Index of the last entry applied.
    pub applied: u64,
    /// Whether this replica is a voting member.
    pub votes: bool,
}

/// A handle to the replicated log.
#[derive(Clone)]
pub struct Handle {
    /// Sends events to the driver.
    pub events: mpsc::Sender<Event>,
    /// The applied state. Held only for short reads, never across an await.
    pub state: Arc<RwLock<ControlState>>,
    /// Status of the log.
    pub status: watch::Receiver<LogStatus>,
    /// Number of this replica.
    pub replica: u64,
    /// Addresses of all replicas; empty if the addresses are fixed.
    pub addresses: Arc<RwLock<BTreeMap<u64, ReplicaAddress>>>,
    /// Last contact with a leader that has a quorum, on the driver's clock.
    pub last_quorum_contact: Arc<RwLock<Option<Timestamp>>>,
    /// Last time at which everything announced by a leader with a quorum was applied, on the
    /// driver's clock.
    pub caught_up: Arc<RwLock<Option<Timestamp>>>,
    /// The driver's clock, on which the timestamps of this handle and of views are based.
    pub clock: cherrystream_net::clock::Clock,
}

impl Handle {
    /// Commits a command and returns the result of applying it.
    ///
    /// # Errors
    ///
    /// Fails if this replica is not the leader or the outcome is unknown.
    pub async fn propose(&self, command: Command) -> Result<Applied, NoResult> {
        let (tx, rx) = oneshot::channel();
        self.send(Event::Propose(Box::new(command), tx))?;
        wait(rx).await
    }

    /// Decides on a request for a member slot, on the leader.
    ///
    /// # Errors
    ///
    /// Fails if this replica is not the leader.
    pub async fn admit(&self, request: JoinRequest) -> Result<JoinDecision, NoResult> {
        let (tx, rx) = oneshot::channel();
        self.send(Event::Admit(Box::new(request), tx))?;
        wait(rx).await
    }

    /// Returns the replicas whose addresses are recorded; empty if the addresses are fixed.
    pub fn known_replicas(&self) -> Vec<ReplicaAddress> {
        let addresses = self.addresses.read();
        addresses.values().filter(|replica| !replica.address.is_empty()).cloned().collect()
    }

    /// Returns the recorded addresses of the replicas; empty if they are fixed.
    pub fn known_addresses(&self) -> Vec<String> {
        self.known_replicas().into_iter().map(|replica| replica.address).collect()
    }

    /// Returns the age of the last contact with a leader that has a quorum.
    pub fn quorum_contact(&self) -> QuorumContact {
        self.contact_at(*self.last_quorum_contact.read())
    }

    /// Returns the age of the applied state, relative to what a leader with a quorum announced. The
    /// age is high on a replica that lags behind the log, even if its last contact with the leader
    /// is recent.
    pub fn state_contact(&self) -> QuorumContact {
        self.contact_at(*self.caught_up.read())
    }

    fn contact_at(&self, last: Option<Timestamp>) -> QuorumContact {
        match last {
            Some(at) => QuorumContact::Heard { age: self.clock.now().since(at) },
            None => QuorumContact::NotYet,
        }
    }

    /// Returns the membership of this replica in its group.
    pub fn place_view(&self) -> PlaceView {
        let status = *self.status.borrow();
        PlaceView { leads: status.leads, votes: status.votes, word: self.quorum_contact() }
    }

    /// Waits until this replica has applied every change accepted before the call.
    ///
    /// # Errors
    ///
    /// Fails if this replica is not the leader or no quorum confirms the read.
    pub async fn read(&self) -> Result<u64, NoResult> {
        let (tx, rx) = oneshot::channel();
        self.send(Event::Read(tx))?;
        let index = wait(rx).await?;
        self.applied(index).await?;
        Ok(index)
    }

    /// Waits until an index is applied on this replica.
    ///
    /// # Errors
    ///
    /// Fails if the wait times out.
    pub async fn applied(&self, index: u64) -> Result<(), NoResult> {
        let mut status = self.status.clone();
        let waiting = status.wait_for(|s| s.applied >= index);
        match tokio::time::timeout(COMMIT_TIMEOUT, waiting).await {
            Ok(Ok(_)) => Ok(()),
            _ => Err(NoResult::Unknown),
        }
    }

    /// Returns the leader's view of the other replicas; empty on other replicas.
    pub async fn views(&self) -> Vec<ReplicaView> {
        let (tx, rx) = oneshot::channel();
        if self.send(Event::Views(tx)).is_err() {
            return Vec::new();
        }
        rx.await.unwrap_or_default()
    }

    /// Hands over the leadership, if this replica is the leader, and waits for the result.
    pub async fn hand_over(&self) {
        let (tx, rx) = oneshot::channel();
        if self.send(Event::HandOver(tx)).is_ok() {
            let _ = rx.await;
        }
    }

    /// Returns the time elapsed since a timestamp of the driver's clock.
    pub fn since(&self, at: Timestamp) -> Duration {
        self.clock.now().since(at)
    }

    fn send(&self, event: Event) -> Result<(), NoResult> {
        self.events.send(event).map_err(|_| NoResult::Unknown)
    }
}

async fn wait<T>(rx: oneshot::Receiver<Result<T, NoResult>>) -> Result<T, NoResult> {
    match tokio::time::timeout(COMMIT_TIMEOUT, rx).await {
        Ok(Ok(result)) => result,
        _ => Err(NoResult::Unknown),
    }
}
