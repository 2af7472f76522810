//! The thread that applies committed entries.
//!
//! A route table of 14,000 routes takes 163 ms to apply (894 ms in a debug build). The thread that drives the log goes on
//! with heartbeats and votes meanwhile, so that no leader is taken for dead. Entries are unpacked before the state is
//! locked: daemons' heartbeats read it.

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

/// Time for which the state is kept locked while entries are applied: readers wait no longer, but for one long entry.
const APPLY_SLICE: Duration = Duration::from_millis(20);

/// What is to be applied.
enum Work {
    /// Committed entries, in the order of the log.
    Entries(Vec<Entry>),
    /// The state of a snapshot, in place of everything before it.
    Install(Box<ControlState>, Position),
}

/// An entry that was applied: its position, and what it led to.
pub type Outcome = (Position, Applied);

/// Applies entries in the order in which they are handed over.
pub struct Applier {
    work: Sender<Work>,
    /// Last position that was handed over.
    handed_over: Position,
}

impl Applier {
    /// Starts the thread. It tells of what it applied by events.
    ///
    /// # Errors
    ///
    /// Fails when there can be no further thread.
    pub fn start(
        state: Arc<RwLock<ControlState>>,
        applied: Position,
        events: Sender<Event>,
        metrics: Metrics,
    ) -> std::io::Result<Applier> {
        let (work, rx) = mpsc::channel();
        let worker = Worker { state, events, metrics, backlog: Backlog::default() };
        thread::Builder::new().name("control-apply".into()).spawn(move || worker.run(&rx))?;
        Ok(Applier { work, handed_over: applied })
    }

    /// Hands committed entries over.
    pub fn apply(&mut self, entries: Vec<Entry>) {
        let Some(last) = entries.last() else { return };
        self.handed_over = Position { term: last.term, index: last.index };
        self.hand_over(Work::Entries(entries));
    }

    /// Hands the state of a snapshot over.
    pub fn install(&mut self, state: ControlState, at: Position) {
        self.handed_over = at;
        self.hand_over(Work::Install(Box::new(state), at));
    }

    /// Returns whether everything that was handed over is applied, by the position that was told last.
    pub fn is_done(&self, told: Position) -> bool {
        told == self.handed_over
    }

    fn hand_over(&self, work: Work) {
        if self.work.send(work).is_err() {
            // Its panic has been written to the log, and the process cannot go on.
            panic!("the thread that applies entries has ended");
        }
    }
}

/// The thread's side.
struct Worker {
    state: Arc<RwLock<ControlState>>,
    events: Sender<Event>,
    metrics: Metrics,
    backlog: Backlog,
}

impl Worker {
    fn run(mut self, rx: &Receiver<Work>) {
        while let Ok(work) = rx.recv() {
            self.take(work);
            while !self.backlog.is_empty() {
                self.apply_slice();
                // What waits behind may show that some of it need not be unpacked.
                rx.try_iter().for_each(|work| self.take(work));
            }
        }
    }

    fn take(&mut self, work: Work) {
        match work {
            Work::Entries(entries) => self.backlog.extend(entries),
            Work::Install(state, at) => {
                self.backlog.clear();
                *self.state.write() = *state;
                self.tell(vec![(at, Applied::Nothing)]);
            }
        }
    }

    fn apply_slice(&mut self) {
        self.backlog.unpack_first();
        let mut outcomes = Vec::new();
        {
            let mut state = self.state.write();
            let until = Instant::now() + APPLY_SLICE;
            let is_over = || Instant::now() >= until;
            let tell = |at, applied| outcomes.push((at, applied));
            self.backlog.apply_unpacked(&mut state, is_over, tell);
            self.metrics.keys_held.set(state.ledger().len() as i64);
        }
        self.tell(outcomes);
    }

    fn tell(&self, outcomes: Vec<Outcome>) {
        if !outcomes.is_empty() && self.events.send(Event::Applied(outcomes)).is_err() {
            log::debug!("control: entries were applied after the log was closed");
        }
    }
}
