//! The thread that drives the replicated log: it alone touches the disk. Another one applies entries.

use crate::applier::{Applier, Outcome};
use crate::errors::{Error, Result};
use crate::folder::Folder;
use crate::handle::{Event, Handle, NoResult, Standing};
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::snapshots::{self, Made};
use crate::store::{Batch, Store};
use cherrystream_core::raft::rejoin::{self, PlaceView};
use cherrystream_core::raft::{JoiningReplica, Options, Position, Raft, Ready};
use cherrystream_core::state::{Applied, ControlState};
use cherrystream_core::units::Timestamp;
use cherrystream_net::clock::Clock;
use cherrystream_schema::messages::{HardState, ReplicaAddress};
use parking_lot::RwLock;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError};
use std::thread;
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch};

/// Time between looks at the clock.
const TICK: Duration = Duration::from_millis(20);
/// Events taken before the log is flushed, so that they share one sync.
const EVENTS_AT_ONCE: usize = 1_024;
/// Time between tries to write where the disk had no room.
const WRITE_AGAIN: Duration = Duration::from_millis(200);
/// Longest wait for another replica to take the leadership.
const HAND_OVER: Duration = Duration::from_millis(1_500);

type Waiter = oneshot::Sender<std::result::Result<Applied, NoResult>>;

/// The driver's thread.
pub struct Driver<F> {
    pub(crate) raft: Raft,
    pub(crate) store: Store<F>,
    pub(crate) state: Arc<RwLock<ControlState>>,
    standing: watch::Sender<Standing>,
    addresses: Arc<RwLock<BTreeMap<u64, ReplicaAddress>>>,
    quorum_word: Arc<RwLock<Option<Timestamp>>>,
    caught_up: Arc<RwLock<Option<Timestamp>>>,
    pub(crate) peers: Peers,
    metrics: Metrics,
    clock: Clock,
    pub(crate) hard: HardState,
    pub(crate) applied: Position,
    pub(crate) applier: Applier,
    pub(crate) snapshot_bytes: u64,
    waiters: BTreeMap<Position, Waiter>,
    reads: BTreeMap<u64, oneshot::Sender<std::result::Result<u64, NoResult>>>,
    next_read: u64,
    handing_over: Option<(Instant, oneshot::Sender<()>)>,
    led: bool,
    /// A snapshot that another thread makes.
    pub(crate) snapshots: Option<Receiver<Result<Made>>>,
    /// Replicas that wait for a snapshot.
    pub(crate) need_snapshot: Vec<u64>,
    /// Times that the file was replaced while entries stayed in memory for a snapshot on its way.
    pub(crate) compactions_held: u32,
}

/// Opens the store and starts the driver's thread.
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
    let (store, found) = Store::open(folder, opts.id, &opts.disk)?;
    if found.torn_bytes > 0 {
        log::warn!("control: cut off {} bytes of an unfinished last write", found.torn_bytes);
    }
    opts.disk = store.disk().into();
    let clock = Clock::default();
    let restored_state = match &found.restored.snapshot {
        Some(snapshot) => snapshots::read_state(snapshot),
        None => ControlState::default(),
    };
    let state = Arc::new(RwLock::new(restored_state));
    let applied = found
        .restored
        .snapshot
        .as_ref()
        .map_or(Position { term: 0, index: 0 }, |s| Position { term: s.term, index: s.index });
    let hard =
        found.restored.hard.clone().unwrap_or(HardState { term: 0, voted_for: None, commit: 0 });
    let id = opts.id;
    log::info!("control: replica {id} opened its log at index {}", applied.index);
    let raft = Raft::new(opts, found.restored, clock.now());
    let (events, rx) = mpsc::channel();
    let applier = Applier::start(state.clone(), applied, events.clone(), metrics.clone())
        .map_err(crate::errors::folder("start the thread that applies entries"))?;
    let (standing, standing_rx) = watch::channel(Standing::default());
    let addresses = Arc::<RwLock<BTreeMap<u64, ReplicaAddress>>>::default();
    let quorum_word = Arc::<RwLock<Option<Timestamp>>>::default();
    let caught_up = Arc::<RwLock<Option<Timestamp>>>::default();
    let handle = Handle {
        events,
        state: state.clone(),
        standing: standing_rx,
        replica: id,
        addresses: addresses.clone(),
        quorum_word: quorum_word.clone(),
        caught_up: caught_up.clone(),
        clock,
    };
    let driver = Driver {
        raft,
        store,
        state,
        standing,
        addresses,
        quorum_word,
        caught_up,
        peers,
        metrics,
        clock,
        hard,
        applied,
        applier,
        snapshot_bytes: 0,
        waiters: BTreeMap::new(),
        reads: BTreeMap::new(),
        next_read: 0,
        handing_over: None,
        led: false,
        snapshots: None,
        need_snapshot: Vec::new(),
        compactions_held: 0,
    };
    let thread = thread::Builder::new()
        .name("control-log".into())
        .spawn(move || {
            if let Err(e) = driver.run(rx) {
                on_failure(e);
            }
        })
        .map_err(crate::errors::folder("start the log's thread"))?;
    Ok((handle, thread))
}

impl<F: Folder> Driver<F> {
    fn run(mut self, rx: Receiver<Event>) -> Result<()> {
        loop {
            match rx.recv_timeout(TICK) {
                Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return Ok(()),
                Ok(Event::Replaced) if self.gives_up() => return self.forget(),
                Ok(event) => self.take(event),
                Err(RecvTimeoutError::Timeout) => {}
            }
            for event in rx.try_iter().take(EVENTS_AT_ONCE) {
                match event {
                    Event::Stop => return Ok(()),
                    Event::Replaced if self.gives_up() => return self.forget(),
                    event => self.take(event),
                }
            }
            let now = self.clock.now();
            self.raft.tick(now);
            self.raft.flush(now);
            self.raft.flush_reads(now);
            self.work_off()?;
            self.publish();
            self.work_on_snapshots()?;
        }
    }

    fn take(&mut self, event: Event) {
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
                        self.reads.insert(self.next_read, reply);
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
                let leader = self.raft.leader();
                let newcomer = JoiningReplica {
                    address: &request.address,
                    disk: &request.disk,
                    failure_domain: &request.failure_domain,
                    stands_by: request.stands_by,
                    runs_as: request.runs_as,
                };
                let answer = match self.raft.is_leader() {
                    true => Ok(self.raft.admit(now, newcomer)),
                    false => Err(NoResult::NotLeader { leader }),
                };
                let _ = reply.send(answer);
            }
            Event::Applied(outcomes) => self.note_applied(outcomes),
            Event::HandOver(reply) => {
                self.raft.transfer_leadership(now);
                self.handing_over = Some((Instant::now(), reply));
            }
            Event::Stop | Event::Replaced => {}
        }
    }

    /// Returns whether a replica that was told that its place is lost may believe it.
    fn gives_up(&self) -> bool {
        let view = PlaceView {
            leads: self.raft.is_leader(),
            votes: self.raft.is_voter(),
            word: self.raft.quorum_contact(self.clock.now()),
        };
        let gives_up = rejoin::may_discard_data(view);
        if !gives_up {
            log::warn!(
                "control: replica {} was told that its place is lost, but is part of a quorum; it \
                 keeps its place ({view:?})",
                self.raft.id()
            );
        }
        gives_up
    }

    /// Sets the log of a replica aside whose place was given away. Its run ends; the next one asks for
    /// another place.
    fn forget(&mut self) -> Result<()> {
        self.store.set_aside()?;
        Err(Error::Replaced { replica: self.raft.id() })
    }

    /// Does what the replica asks for until it asks for nothing more.
    fn work_off(&mut self) -> Result<()> {
        loop {
            let ready = self.raft.take_ready();
            if ready.is_empty() {
                return Ok(());
            }
            self.work(ready)?;
            self.raft.saved(self.clock.now());
        }
    }

    fn work(&mut self, ready: Ready) -> Result<()> {
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
            if let Some(reply) = self.reads.remove(&read.ticket) {
                let _ = reply.send(Ok(read.index));
            }
        }
        self.need_snapshot.extend(ready.need_snapshot);
        Ok(())
    }

    /// Makes a batch durable. While the disk has no room, this replica stands still, as with a disk
    /// that stalls: another one takes the leadership.
    fn write(&mut self, batch: &Batch) -> Result<()> {
        let mut told = false;
        loop {
            match self.store.append(batch) {
                Err(e @ Error::NotWritten { .. }) => {
                    if !std::mem::replace(&mut told, true) {
                        log::error!("control: {e}");
                    }
                    self.metrics.refuse("disk-full");
                    thread::sleep(WRITE_AGAIN);
                }
                written => {
                    self.metrics.syncs.inc();
                    return written;
                }
            }
        }
    }

    /// Tells those who wait what their entries led to. Reads wait until the index that they need is applied.
    fn note_applied(&mut self, outcomes: Vec<Outcome>) {
        for (position, applied) in outcomes {
            self.applied = position;
            if let Some(waiter) = self.waiters.remove(&position) {
                let _ = waiter.send(Ok(applied));
            }
        }
    }

    /// Shows where the log stands, and lets go of waiters that this replica cannot serve.
    fn publish(&mut self) {
        let standing = Standing {
            term: self.raft.term(),
            leader: self.raft.leader(),
            leads: self.raft.is_leader(),
            applied: self.applied.index,
            votes: self.raft.is_voter(),
        };
        if self.led && !standing.leads {
            self.let_go();
        }
        if self.led != standing.leads {
            let word = if standing.leads { "leads" } else { "no longer leads" };
            log::info!("control: replica {} {word} in term {}", self.raft.id(), standing.term);
        }
        self.led = standing.leads;
        self.publish_group();
        self.finish_hand_over(standing.leads);
        self.metrics.term.set(standing.term as i64);
        self.metrics.commit.set(self.raft.commit() as i64);
        self.metrics.leads.set(i64::from(standing.leads));
        self.metrics.log_bytes.set(self.store.bytes() as i64);
        if self.standing.borrow().leader != standing.leader {
            self.peers.note_leader(standing.leader);
        }
        self.standing.send_if_modified(|old| {
            let changed = *old != standing;
            *old = standing;
            changed
        });
    }

    /// Shows where the replicas are, and how old the word of a leader with a quorum is.
    fn publish_group(&mut self) {
        let now = self.clock.now();
        let age = self.raft.quorum_contact(now).age();
        let heard = age.map(|age| now.earlier(age).unwrap_or_default());
        *self.quorum_word.write() = heard;
        if self.applied.index >= self.raft.known_commit() {
            *self.caught_up.write() = heard;
        }
        let addresses = self.raft.addresses(now);
        if *self.addresses.read() != addresses {
            for (id, replica) in &addresses {
                self.peers.set_address(*id, &replica.address);
            }
            *self.addresses.write() = addresses;
        }
    }

    fn let_go(&mut self) {
        for (_, waiter) in std::mem::take(&mut self.waiters) {
            let _ = waiter.send(Err(NoResult::Unknown));
        }
        for (_, read) in std::mem::take(&mut self.reads) {
            let _ = read.send(Err(NoResult::Unknown));
        }
    }

    fn finish_hand_over(&mut self, leads: bool) {
        let over = |since: &Instant| !leads || since.elapsed() > HAND_OVER;
        if self.handing_over.as_ref().is_some_and(|(since, _)| over(since))
            && let Some((_, reply)) = self.handing_over.take()
        {
            let _ = reply.send(());
        }
    }
}
