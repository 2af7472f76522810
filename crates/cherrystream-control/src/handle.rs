//! What the other parts of the control role use to speak to the replicated log.

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

/// Longest wait for an entry to be committed or a read to be confirmed.
pub(crate) const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a proposal or read has no result.
#[derive(Clone, Copy, Debug, PartialEq, Snafu)]
pub enum NoResult {
    /// This replica does not lead; nothing was proposed.
    #[snafu(display("this replica does not lead"))]
    NotLeader {
        /// The leader, if known.
        leader: Option<u64>,
    },
    /// The leadership was lost, or no quorum answered: the proposal may be accepted yet.
    #[snafu(display("it is not known whether the change was accepted; send the same call again"))]
    Unknown,
}

/// What happens to the replicated log.
pub enum Event {
    /// Messages from other replicas.
    Messages(Vec<RaftMessage>),
    /// A command to commit.
    Propose(Box<Command>, oneshot::Sender<Result<Applied, NoResult>>),
    /// A read to confirm; the reply is the index that must be applied first.
    Read(oneshot::Sender<Result<u64, NoResult>>),
    /// A question for what the leader knows of the others.
    Views(oneshot::Sender<Vec<ReplicaView>>),
    /// A replica asks for a place in the group; the reply says whether it may have one.
    Admit(Box<JoinRequest>, oneshot::Sender<Result<JoinDecision, NoResult>>),
    /// Committed entries were applied.
    Applied(Vec<Outcome>),
    /// Hand the leadership over, then answer.
    HandOver(oneshot::Sender<()>),
    /// This replica's place was given to another one.
    Replaced,
    /// Stop.
    Stop,
}

/// Where the log stands.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Standing {
    /// Term.
    pub term: u64,
    /// The leader, if known.
    pub leader: Option<u64>,
    /// Whether this replica leads.
    pub leads: bool,
    /// Index of the last entry applied.
    pub applied: u64,
    /// Whether this replica votes.
    pub votes: bool,
}

/// A handle to the replicated log.
#[derive(Clone)]
pub struct Handle {
    /// Events to the driver.
    pub events: mpsc::Sender<Event>,
    /// The applied state. Held only for short reads, never across an await.
    pub state: Arc<RwLock<ControlState>>,
    /// Where the log stands.
    pub standing: watch::Receiver<Standing>,
    /// This replica.
    pub replica: u64,
    /// Where all replicas are; empty where their addresses are fixed.
    pub addresses: Arc<RwLock<BTreeMap<u64, ReplicaAddress>>>,
    /// When this replica last had word from a leader with a quorum, on the driver's clock.
    pub quorum_word: Arc<RwLock<Option<Timestamp>>>,
    /// When this replica last had applied all that a leader with a quorum told of, on the driver's clock.
    pub caught_up: Arc<RwLock<Option<Timestamp>>>,
    /// The driver's clock, for the times in views.
    pub clock: cherrystream_net::clock::Clock,
}

impl Handle {
    /// Commits a command and returns what applying it led to.
    ///
    /// # Errors
    ///
    /// Fails on a replica that does not lead, or when the outcome is not known.
    pub async fn propose(&self, command: Command) -> Result<Applied, NoResult> {
        let (tx, rx) = oneshot::channel();
        self.send(Event::Propose(Box::new(command), tx))?;
        wait(rx).await
    }

    /// Lets a replica in that asks for a place, on the leader.
    ///
    /// # Errors
    ///
    /// Fails on a replica that does not lead.
    pub async fn admit(&self, request: JoinRequest) -> Result<JoinDecision, NoResult> {
        let (tx, rx) = oneshot::channel();
        self.send(Event::Admit(Box::new(request), tx))?;
        wait(rx).await
    }

    /// Returns where the replicas are, as far as that is known and not fixed.
    pub fn known_replicas(&self) -> Vec<ReplicaAddress> {
        let addresses = self.addresses.read();
        addresses.values().filter(|replica| !replica.address.is_empty()).cloned().collect()
    }

    /// Returns the addresses of the replicas, as far as they are known and not fixed.
    pub fn known_addresses(&self) -> Vec<String> {
        self.known_replicas().into_iter().map(|replica| replica.address).collect()
    }

    /// Returns how old the word of a leader with a quorum is here.
    pub fn quorum_word(&self) -> QuorumContact {
        self.word_at(*self.quorum_word.read())
    }

    /// Returns how old the newest word of a leader with a quorum is that is applied here as a whole. A replica that
    /// lags behind the log has an old one, however lately it heard its leader.
    pub fn state_word(&self) -> QuorumContact {
        self.word_at(*self.caught_up.read())
    }

    fn word_at(&self, heard: Option<Timestamp>) -> QuorumContact {
        match heard {
            Some(at) => QuorumContact::Heard { age: self.clock.now().since(at) },
            None => QuorumContact::NotYet,
        }
    }

    /// Returns where this replica stands in its group.
    pub fn place_view(&self) -> PlaceView {
        let standing = *self.standing.borrow();
        PlaceView { leads: standing.leads, votes: standing.votes, word: self.quorum_word() }
    }

    /// Waits until this replica has applied every change accepted before the call.
    ///
    /// # Errors
    ///
    /// Fails on a replica that does not lead, or without a quorum.
    pub async fn read(&self) -> Result<u64, NoResult> {
        let (tx, rx) = oneshot::channel();
        self.send(Event::Read(tx))?;
        let index = wait(rx).await?;
        self.applied(index).await?;
        Ok(index)
    }

    /// Waits until an index is applied here.
    ///
    /// # Errors
    ///
    /// Fails when that takes too long.
    pub async fn applied(&self, index: u64) -> Result<(), NoResult> {
        let mut standing = self.standing.clone();
        let waiting = standing.wait_for(|s| s.applied >= index);
        match tokio::time::timeout(COMMIT_TIMEOUT, waiting).await {
            Ok(Ok(_)) => Ok(()),
            _ => Err(NoResult::Unknown),
        }
    }

    /// Returns what the leader knows of the other replicas.
    pub async fn views(&self) -> Vec<ReplicaView> {
        let (tx, rx) = oneshot::channel();
        if self.send(Event::Views(tx)).is_err() {
            return Vec::new();
        }
        rx.await.unwrap_or_default()
    }

    /// Hands the leadership over, if this replica has it, and waits for that.
    pub async fn hand_over(&self) {
        let (tx, rx) = oneshot::channel();
        if self.send(Event::HandOver(tx)).is_ok() {
            let _ = rx.await;
        }
    }

    /// Returns the time since a point on the driver's clock.
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
