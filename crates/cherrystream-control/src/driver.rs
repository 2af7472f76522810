//! The thread that drives the replicated log and does all its disk I/O. Another thread applies
//! committed entries.

use crate::applier::{Applier, Outcome};
use crate::errors::{Error, Result};
use crate::folder::Folder;
use crate::handle::{Event, Handle, LogStatus, NoResult};
use crate::join_log::JoinLog;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::snapshots::{self, FinishedSnapshot};
use crate::store::{Batch, Store};
use cherrystream_core::raft::rejoin::{self, PlaceView};
use cherrystream_core::raft::{JoinDecision, JoiningReplica, Options, Position, Raft, Ready};
use cherrystream_core::state::{Applied, ControlState};
use cherrystream_core::units::Timestamp;
use cherrystream_net::clock::Clock;
use cherrystream_schema::messages::{HardState, JoinRequest, ReplicaAddress};
use parking_lot::RwLock;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError};
use std::thread;
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch};

/// Longest time between two ticks of the Raft state machine.
const TICK: Duration = Duration::from_millis(20);
/// Largest number of events handled before the log is flushed. They share one sync.
const MAX_EVENTS_PER_FLUSH: usize = 1_024;
/// Time between attempts to write to a full disk.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait for another replica to become the leader.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Age of a read from which the state of the replication is logged.
const SLOW_READ: Duration = Duration::from_millis(500);
/// Shortest time between two such lines.
const SLOW_READ_LOG_INTERVAL: Duration = Duration::from_millis(500);

type Waiter = oneshot::Sender<std::result::Result<Applied, NoResult>>;

/// A read that a quorum has not confirmed.
struct PendingRead {
    reply: oneshot::Sender<std::result::Result<u64, NoResult>>,
    since: Timestamp,
}

/// State of the driver thread.
pub struct Driver<F> {
    pub(crate) raft: Raft,
    pub(crate) store: Store<F>,
    pub(crate) state: Arc<RwLock<ControlState>>,
    status: watch::Sender<LogStatus>,
    addresses: Arc<RwLock<BTreeMap<u64, ReplicaAddress>>>,
    last_quorum_contact: Arc<RwLock<Option<Timestamp>>>,
    caught_up: Arc<RwLock<Option<Timestamp>>>,
    pub(crate) peers: Peers,
    metrics: Metrics,
    join_log: JoinLog,
    clock: Clock,
    pub(crate) hard: HardState,
    pub(crate) applied: Position,
    pub(crate) applier: Applier,
    pub(crate) snapshot_bytes: u64,
    waiters: BTreeMap<Position, Waiter>,
    reads: BTreeMap<u64, PendingRead>,
    next_read: u64,
    /// When reads that wait for long were last logged.
    slow_reads_logged_at: Timestamp,
    leadership_transfer: Option<(Instant, oneshot::Sender<()>)>,
    was_leader: bool,
    /// Whether the next loss of a voter would end the quorum.
    is_at_risk: bool,
    /// Snapshot that another thread is creating.
    pub(crate) pending_snapshot: Option<Receiver<Result<FinishedSnapshot>>>,
    /// Replicas that need a snapshot.
    pub(crate) need_snapshot: Vec<u64>,
    /// Number of times that the file was replaced while entries stayed in memory because a snapshot
    /// was being sent.
    pub(crate) deferred_compactions: u32,
}

/// Opens the store and starts the driver thread.
///
/// # Errors
///
/// Fails when the data folder cannot be used or read.
pub fn start<F: Folder + 'static>(
    folder: F,
    mut opts: Options,
    peers: Peers,
    metrics: Metrics,
    on_failure: impl FnOnce(Error) + Send + 'static,
) -> Result<(Handle, thread::JoinHandle<()>)> {
    let (store, recovered) = Store::open(folder, opts.id, &opts.disk)?;
    if recovered.torn_bytes > 0 {
        log::warn!("control: truncated {} bytes of an incomplete last write", recovered.torn_bytes);
    }
    opts.disk = store.disk().into();
    let clock = Clock::default();
    let restored_state = match &recovered.restored.snapshot {
        Some(snapshot) => snapshots::read_state(snapshot),
        None => ControlState::default(),
    };
    let state = Arc::new(RwLock::new(restored_state));
    let applied = recovered
        .restored
        .snapshot
        .as_ref()
        .map_or(Position { term: 0, index: 0 }, |s| Position { term: s.term, index: s.index });
    let hard = recovered.restored.hard.clone().unwrap_or(HardState {
        term: 0,
        voted_for: None,
        commit: 0,
    });
    let id = opts.id;
    log::info!("control: replica {id} opened its log at index {}", applied.index);
    let raft = Raft::new(opts, recovered.restored, clock.now());
    let (events, rx) = mpsc::channel();
    let applier = Applier::start(state.clone(), applied, events.clone(), metrics.clone())
        .map_err(crate::errors::folder("start the thread that applies entries"))?;
    let (status, status_rx) = watch::channel(LogStatus::default());
    let addresses = Arc::<RwLock<BTreeMap<u64, ReplicaAddress>>>::default();
    let last_quorum_contact = Arc::<RwLock<Option<Timestamp>>>::default();
    let caught_up = Arc::<RwLock<Option<Timestamp>>>::default();
    let handle = Handle {
        events,
        state: state.clone(),
        status: status_rx,
        replica: id,
        addresses: addresses.clone(),
        last_quorum_contact: last_quorum_contact.clone(),
        caught_up: caught_up.clone(),
        clock,
    };
    let driver = Driver {
        raft,
        store,
        state,
        status,
        addresses,
        last_quorum_contact,
        caught_up,
        peers,
        metrics,
        join_log: JoinLog::default(),
        clock,
        hard,
        applied,
        applier,
        snapshot_bytes: 0,
        waiters: BTreeMap::new(),
        reads: BTreeMap::new(),
        next_read: 0,
        slow_reads_logged_at: Timestamp::default(),
        leadership_transfer: None,
        was_leader: false,
        is_at_risk: false,
        pending_snapshot: None,
        need_snapshot: Vec::new(),
        deferred_compactions: 0,
    };
    let thread = thread::Builder::new()
        .name("control-log".into())
        .spawn(move || {
            if let Err(e) = driver.run(rx) {
                on_failure(e);
            }
        })
        .map_err(crate::errors::folder("start the thread that drives the log"))?;
    Ok((handle, thread))
}

impl<F: Folder> Driver<F> {
    fn run(mut self, rx: Receiver<Event>) -> Result<()> {
        loop {
            match rx.recv_timeout(TICK) {
                Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return Ok(()),
                Ok(Event::Replaced) if self.may_discard_log() => return self.discard_log(),
                Ok(event) => self.handle_event(event),
                Err(RecvTimeoutError::Timeout) => {}
            }
            for event in rx.try_iter().take(MAX_EVENTS_PER_FLUSH) {
                match event {
                    Event::Stop => return Ok(()),
                    Event::Replaced if self.may_discard_log() => return self.discard_log(),
                    event => self.handle_event(event),
                }
            }
            let now = self.clock.now();
            self.raft.tick(now);
            self.raft.flush(now);
            self.raft.flush_reads(now);
            self.process_ready()?;
            self.publish();
            self.log_slow_reads();
            self.poll_snapshots()?;
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Messages(messages) => {
                for msg in messages {
                    self.raft.step(now, msg);
                }
            }
            Event::Propose(command, reply) => match self.raft.propose(*command) {
                Ok(position) => {
                    self.waiters.insert(position, reply);
                }
                Err(e) => {
                    let _ = reply.send(Err(NoResult::NotLeader { leader: e.leader }));
                }
            },
            Event::Read(reply) => {
                self.next_read += 1;
                match self.raft.read(now, self.next_read) {
                    Ok(()) => {
                        self.reads.insert(self.next_read, PendingRead { reply, since: now });
                    }
                    Err(e) => {
                        let _ = reply.send(Err(NoResult::NotLeader { leader: e.leader }));
                    }
                }
            }
            Event::Views(reply) => {
                let _ = reply.send(self.raft.replica_views());
            }
            Event::Admit(request, reply) => {
                let _ = reply.send(self.admit(now, &request));
            }
            Event::Applied(outcomes) => self.on_applied(outcomes),
            Event::HandOver(reply) => {
                self.raft.transfer_leadership(now);
                self.leadership_transfer = Some((Instant::now(), reply));
            }
            Event::Stop | Event::Replaced => {}
        }
    }

    /// Decides on a join request, as the leader.
    fn admit(&mut self, now: Timestamp, req: &JoinRequest) -> Result<JoinDecision, NoResult> {
        if !self.raft.is_leader() {
            return Err(NoResult::NotLeader { leader: self.raft.leader() });
        }
        let joining = JoiningReplica {
            address: &req.address,
            disk: &req.disk,
            failure_domain: &req.failure_domain,
            stands_by: req.stands_by,
            runs_as: req.runs_as,
        };
        let slots = self.raft.slot_views(now);
        let decision = self.raft.admit(now, joining);
        self.join_log.record(&self.metrics, req, decision, &slots);
        Ok(decision)
    }

    /// Returns whether this replica may discard its data after a report that its member slot is
    /// lost. A replica that belongs to a working quorum ignores such a report.
    fn may_discard_log(&self) -> bool {
        let view = PlaceView {
            leads: self.raft.is_leader(),
            votes: self.raft.is_voter(),
            word: self.raft.quorum_contact(self.clock.now()),
        };
        let may_discard = rejoin::may_discard_data(view);
        if !may_discard {
            log::warn!(
                "control: replica {} received a report that its member slot is lost, but belongs \
                 to a quorum; it keeps its place ({view:?})",
                self.raft.id()
            );
        }
        may_discard
    }

    /// Renames the log files of a replica that lost its member slot, and ends the driver. The next
    /// incarnation asks for a new member slot.
    fn discard_log(&mut self) -> Result<()> {
        self.store.set_aside()?;
        Err(Error::Replaced { replica: self.raft.id() })
    }

    /// Processes the pending work of the Raft state machine until there is none left.
    fn process_ready(&mut self) -> Result<()> {
        loop {
            let ready = self.raft.take_ready();
            if ready.is_empty() {
                return Ok(());
            }
            self.process(ready)?;
            self.raft.saved(self.clock.now());
        }
    }

    fn process(&mut self, ready: Ready) -> Result<()> {
        self.peers.send(ready.immediate_messages);
        if let Some(hard) = &ready.hard {
            self.hard = hard.clone();
        }
        if let Some(snapshot) = &ready.installed {
            self.install(snapshot)?;
        }
        let batch = Batch { entries: &ready.entries, hard: ready.hard.as_ref() };
        if batch.hard.is_some() || !batch.entries.is_empty() {
            self.write(&batch)?;
        }
        self.peers.send(ready.messages_after_save);
        self.applier.apply(ready.committed);
        for read in ready.reads {
            if let Some(pending) = self.reads.remove(&read.ticket) {
                let _ = pending.reply.send(Ok(read.index));
            }
        }
        self.need_snapshot.extend(ready.need_snapshot);
        Ok(())
    }

    /// Makes a batch durable. Blocks while the disk is full, so that another replica is elected
    /// leader.
    fn write(&mut self, batch: &Batch) -> Result<()> {
        let mut logged = false;
        loop {
            match self.store.append(batch) {
                Err(e @ Error::NotWritten { .. }) => {
                    if !std::mem::replace(&mut logged, true) {
                        log::error!("control: {e}");
                    }
                    self.metrics.refuse("disk-full");
                    thread::sleep(WRITE_RETRY_INTERVAL);
                }
                written => {
                    self.metrics.syncs.inc();
                    return written;
                }
            }
        }
    }

    /// Records applied entries and sends their outcomes to the callers that proposed them.
    fn on_applied(&mut self, outcomes: Vec<Outcome>) {
        for (position, applied) in outcomes {
            self.applied = position;
            if let Some(waiter) = self.waiters.remove(&position) {
                let _ = waiter.send(Ok(applied));
            }
        }
    }

    /// Publishes the state of the log, and fails the pending calls after a loss of leadership.
    fn publish(&mut self) {
        let status = LogStatus {
            term: self.raft.term(),
            leader: self.raft.leader(),
            leads: self.raft.is_leader(),
            applied: self.applied.index,
            votes: self.raft.is_voter(),
        };
        if self.was_leader && !status.leads {
            self.fail_pending();
        }
        if self.was_leader != status.leads {
            let change = if status.leads { "became leader" } else { "is no longer leader" };
            log::info!("control: replica {} {change} in term {}", self.raft.id(), status.term);
        }
        self.was_leader = status.leads;
        self.publish_voters(status.leads);
        self.publish_group();
        self.finish_leadership_transfer(status.leads);
        self.metrics.term.set(status.term as i64);
        self.metrics.commit.set(self.raft.commit() as i64);
        self.metrics.leads.set(i64::from(status.leads));
        self.metrics.log_bytes.set(self.store.bytes() as i64);
        let last_leader = self.status.borrow().leader;
        if last_leader != status.leader {
            self.peers.note_leader(status.leader);
            self.record_leader(status);
        }
        self.status.send_if_modified(|old| {
            let changed = *old != status;
            *old = status;
            changed
        });
    }

    /// Publishes how many voters the leader is in contact with. Logs when the next loss would end the
    /// quorum, and when it no longer would.
    fn publish_voters(&mut self, leads: bool) {
        let (voters, quorum) = match leads {
            true => (self.raft.voters_in_contact(self.clock.now()), self.raft.quorum()),
            false => (0, 0),
        };
        self.metrics.voters_in_contact.set(voters as i64);
        self.metrics.quorum.set(quorum as i64);
        let is_at_risk = leads && voters <= quorum && self.raft.slots() > quorum;
        if std::mem::replace(&mut self.is_at_risk, is_at_risk) == is_at_risk || !leads {
            return;
        }
        match is_at_risk {
            true => log::warn!(
                "control: {voters} of {quorum} needed voters are in contact; the loss of another \
                 one ends the quorum, so replace the lost hosts"
            ),
            false => log::info!("control: {voters} voters are in contact, {quorum} are needed"),
        }
    }

    /// Logs the state of the replication while reads wait for long.
    fn log_slow_reads(&mut self) {
        let now = self.clock.now();
        let Some(oldest) = self.reads.values().map(|read| read.since).min() else { return };
        let is_due = now.since(self.slow_reads_logged_at) >= SLOW_READ_LOG_INTERVAL;
        if now.since(oldest) < SLOW_READ || !is_due {
            return;
        }
        self.slow_reads_logged_at = now;
        let (round, commit, applied) = (self.raft.round(), self.raft.commit(), self.applied.index);
        log::info!(
            "control: {} reads wait, the oldest for {:?}: round={round} commit={commit} \
             applied={applied}",
            self.reads.len(),
            now.since(oldest)
        );
        for view in self.raft.replica_views() {
            log::info!(
                "control: replica {} votes={} acked_round={} match={} next={} seen {:?} ago; {}",
                view.id,
                view.votes,
                view.acked_round,
                view.match_index,
                view.next,
                now.since(view.last_seen),
                self.peers.describe(view.id)
            );
        }
    }

    fn record_leader(&self, status: LogStatus) {
        let (id, term) = (self.raft.id(), status.term);
        match status.leader {
            Some(leader) if leader != id => {
                log::info!("control: replica {id} follows replica {leader} in term {term}");
            }
            Some(_) => {}
            None => log::info!("control: replica {id} knows no leader in term {term}"),
        }
        self.metrics.leader.set(status.leader.map_or(0, |leader| leader as i64));
        self.metrics.leader_changes.inc();
    }

    /// Publishes the addresses of the replicas and the time of the last quorum contact.
    fn publish_group(&mut self) {
        let now = self.clock.now();
        let age = self.raft.quorum_contact(now).age();
        let last_contact = age.map(|age| now.earlier(age).unwrap_or_default());
        *self.last_quorum_contact.write() = last_contact;
        if self.applied.index >= self.raft.known_commit() {
            *self.caught_up.write() = last_contact;
        }
        let addresses = self.raft.addresses(now);
        if *self.addresses.read() != addresses {
            for (id, replica) in &addresses {
                self.peers.set_address(*id, &replica.address);
            }
            *self.addresses.write() = addresses;
        }
    }

    /// Fails all pending proposals and reads with an unknown outcome.
    fn fail_pending(&mut self) {
        for (_, waiter) in std::mem::take(&mut self.waiters) {
            let _ = waiter.send(Err(NoResult::Unknown));
        }
        for (_, read) in std::mem::take(&mut self.reads) {
            let _ = read.reply.send(Err(NoResult::Unknown));
        }
    }

    fn finish_leadership_transfer(&mut self, leads: bool) {
        let is_done = |since: &Instant| !leads || since.elapsed() > LEADERSHIP_TRANSFER_TIMEOUT;
        if self.leadership_transfer.as_ref().is_some_and(|(since, _)| is_done(since))
            && let Some((_, reply)) = self.leadership_transfer.take()
        {
            let _ = reply.send(());
        }
    }
}
