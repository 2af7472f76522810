//! Snapshots of the driver's state: made by another thread, and taken from the leader.

use crate::driver::Driver;
use crate::errors::Result;
use crate::folder::Folder;
use crate::store::Written;
use cherrystream_core::raft::Position;
use cherrystream_core::state::ControlState;
use cherrystream_schema::messages::Snapshot;
use std::collections::BTreeMap;
use std::sync::mpsc::{self, TryRecvError};
use std::thread;

/// The file is replaced by a snapshot when it has grown past this.
const LOG_BYTES: u64 = 2 << 20;
/// The file is also let grow to this many times the last snapshot, so that writing snapshots
/// costs no more than writing the log.
const LOG_PER_SNAPSHOT: u64 = 2;
/// Times that the file may be replaced while the entries after a snapshot on its way stay in memory.
const COMPACTIONS_HELD: u32 = 4;

/// A snapshot, with the new file that holds it if one was asked for.
pub(crate) struct Made {
    snapshot: Snapshot,
    written: Option<Written>,
}

/// Reads the state that a snapshot holds.
pub(crate) fn read_state(snapshot: &Snapshot) -> ControlState {
    // The record's check has passed, so the text is what this program wrote.
    serde_json::from_str(&snapshot.state).expect("a checked snapshot can be read")
}

impl<F: Folder> Driver<F> {
    /// Takes a snapshot of the leader in place of the whole log.
    pub(crate) fn install(&mut self, snapshot: &Snapshot) -> Result<()> {
        // A file that is being written for an older state must not count any more.
        if let Some(making) = self.snapshots.take() {
            let _ = making.recv();
        }
        self.store.replace(snapshot, &self.hard, &[])?;
        self.snapshot_bytes = self.store.bytes();
        let at = Position { term: snapshot.term, index: snapshot.index };
        self.applier.install(read_state(snapshot), at);
        log::info!("control: took a snapshot of the leader at index {}", snapshot.index);
        Ok(())
    }

    /// Has a snapshot made when the file is long or a replica needs one, and uses the one that was
    /// made. The state may hold many keys, so another thread writes it down.
    pub(crate) fn work_on_snapshots(&mut self) -> Result<()> {
        if let Some(making) = &self.snapshots {
            match making.try_recv() {
                Ok(made) => {
                    self.snapshots = None;
                    return self.use_snapshot(made?);
                }
                Err(TryRecvError::Empty) => return Ok(()),
                Err(TryRecvError::Disconnected) => self.snapshots = None,
            }
        }
        // One that is on its way is of use before another one, made only now, could be.
        self.need_snapshot.retain(|id| self.peers.snapshot_index(*id).is_none());
        let limit = LOG_BYTES.max(self.snapshot_bytes * LOG_PER_SNAPSHOT);
        let long = self.store.bytes() >= limit;
        let wanted = long || !self.need_snapshot.is_empty();
        // The membership of a snapshot is that of the last committed entry, which must be applied.
        if wanted && self.applier.is_done(self.applied) {
            self.make_snapshot(long);
        }
        Ok(())
    }

    fn make_snapshot(&mut self, long: bool) {
        let state = self.state.read().clone();
        let no_members = || cherrystream_schema::messages::Members {
            disks: BTreeMap::new(),
            addresses: BTreeMap::new(),
            failure_domains: BTreeMap::new(),
        };
        let members = self.raft.members().cloned().unwrap_or_else(no_members);
        let Position { term, index } = self.applied;
        let replacement = long.then(|| self.store.begin_replace());
        let (tx, rx) = mpsc::channel();
        thread::spawn(move || {
            let state = serde_json::to_string(&state).expect("the state always has a JSON form");
            let snapshot = Snapshot { term, index, members, state };
            let written = replacement.map(|r| r.write(&snapshot)).transpose();
            let _ = tx.send(written.map(|written| Made { snapshot, written }));
        });
        self.snapshots = Some(rx);
    }

    /// Returns the index up to which the log in memory may be dropped: entries after a snapshot that is on
    /// its way are kept, as the replica needs them next. A link that is slower than the log grows
    /// must not hold all memory.
    fn compaction_index(&mut self, snapshot_index: u64) -> u64 {
        let on_way = self.peers.lowest_snapshot_index().filter(|index| *index < snapshot_index);
        match on_way {
            Some(index) if self.compactions_held < COMPACTIONS_HELD => {
                self.compactions_held += 1;
                index
            }
            _ => {
                self.compactions_held = 0;
                snapshot_index
            }
        }
    }

    fn use_snapshot(&mut self, made: Made) -> Result<()> {
        let Made { snapshot, written } = made;
        // A snapshot of the leader may have overtaken this one.
        let overtaken = snapshot.index < self.raft.log().base().index;
        if let Some(written) = written.filter(|_| !overtaken) {
            let last = self.raft.log().last().index;
            let entries = self.raft.log().range(snapshot.index + 1, last);
            self.store.finish_replace(written, &self.hard, &entries)?;
            self.snapshot_bytes = self.store.bytes();
            let dropped_to = self.compaction_index(snapshot.index);
            self.raft.compact(dropped_to);
            log::info!("control: replaced the log by a snapshot at index {}", snapshot.index);
        }
        for id in std::mem::take(&mut self.need_snapshot) {
            if !overtaken {
                self.raft.send_snapshot(id, snapshot.clone());
            }
        }
        Ok(())
    }
}
