//! The thread that applies committed entries.
//!
//! A large route table takes long to apply. The thread that drives the log sends heartbeats and
//! votes meanwhile, so that a leader which applies entries is not replaced. Entries are unpacked
//! before the state is locked, because the heartbeats of daemons read the state.

use crate::backlog::Backlog;
use crate::handle::Event;
use crate::metrics::Metrics;
use cherrystream_core::raft::Position;
use cherrystream_core::state::{Applied, ControlState};
use cherrystream_schema::messages::Entry;
use parking_lot::RwLock;
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

/// Longest time that the state stays locked while entries are applied, except for a single entry
/// that takes longer.
const MAX_LOCK_TIME: Duration = Duration::from_millis(20);

/// Work for the applying thread.
enum Work {
    /// Committed entries, in log order.
    Entries(Vec<Entry>),
    /// The state of a snapshot, which replaces everything before it.
    Install(Box<ControlState>, Position),
}

/// Position of an applied entry and the result of applying it.
pub type Outcome = (Position, Applied);

/// Queues work for the thread that applies entries.
pub struct Applier {
    work: Sender<Work>,
    /// Position of the last queued work.
    last_queued: Position,
}

impl Applier {
    /// Starts the thread. It reports applied entries as events.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started.
    pub fn start(
        state: Arc<RwLock<ControlState>>,
        applied: Position,
        events: Sender<Event>,
        metrics: Metrics,
    ) -> std::io::Result<Applier> {
        let (work, rx) = mpsc::channel();
        let worker = Worker { state, events, metrics, backlog: Backlog::default() };
        thread::Builder::new().name("control-apply".into()).spawn(move || worker.run(&rx))?;
        Ok(Applier { work, last_queued: applied })
    }

    /// Queues committed entries.
    pub fn apply(&mut self, entries: Vec<Entry>) {
        let Some(last) = entries.last() else { return };
        self.last_queued = Position { term: last.term, index: last.index };
        self.send(Work::Entries(entries));
    }

    /// Queues the state of a snapshot.
    pub fn install(&mut self, state: ControlState, at: Position) {
        self.last_queued = at;
        self.send(Work::Install(Box::new(state), at));
    }

    /// Returns whether all queued work is applied, given the last reported position.
    pub fn is_done(&self, reported: Position) -> bool {
        reported == self.last_queued
    }

    fn send(&self, work: Work) {
        if self.work.send(work).is_err() {
            // The thread panicked, and the log holds the reason.
            panic!("the thread that applies entries has ended");
        }
    }
}

/// State of the applying thread.
struct Worker {
    state: Arc<RwLock<ControlState>>,
    events: Sender<Event>,
    metrics: Metrics,
    backlog: Backlog,
}

impl Worker {
    fn run(mut self, rx: &Receiver<Work>) {
        while let Ok(work) = rx.recv() {
            self.enqueue(work);
            while !self.backlog.is_empty() {
                self.apply_slice();
                // Later route tables may supersede queued ones, which then need no unpacking.
                rx.try_iter().for_each(|work| self.enqueue(work));
            }
        }
    }

    fn enqueue(&mut self, work: Work) {
        match work {
            Work::Entries(entries) => self.backlog.extend(entries),
            Work::Install(state, at) => {
                self.backlog.clear();
                *self.state.write() = *state;
                self.report(vec![(at, Applied::Nothing)]);
            }
        }
    }

    fn apply_slice(&mut self) {
        self.backlog.unpack_first();
        let mut outcomes = Vec::new();
        {
            let mut state = self.state.write();
            let deadline = Instant::now() + MAX_LOCK_TIME;
            let is_over = || Instant::now() >= deadline;
            let on_applied = |at, applied| outcomes.push((at, applied));
            self.backlog.apply_unpacked(&mut state, is_over, on_applied);
            self.metrics.keys_held.set(state.ledger().len() as i64);
        }
        self.report(outcomes);
    }

    fn report(&self, outcomes: Vec<Outcome>) {
        if !outcomes.is_empty() && self.events.send(Event::Applied(outcomes)).is_err() {
            log::debug!(
                "control: discarded the outcomes of entries applied after the log was closed"
            );
        }
    }
}
