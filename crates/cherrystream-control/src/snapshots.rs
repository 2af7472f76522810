//! Snapshots of the driver's state: created by another thread, or received from the leader.

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

/// Smallest size of the log file, in bytes, at which a snapshot replaces it.
const MIN_COMPACTION_BYTES: u64 = 2 << 20;
/// Size of the log file, as a multiple of the last snapshot, at which a snapshot replaces it.
/// Bounds the share of the disk writes that snapshots take.
const LOG_TO_SNAPSHOT_RATIO: u64 = 2;
/// Number of times that the file may be replaced while the entries after a snapshot that is being
/// sent stay in memory.
const MAX_DEFERRED_COMPACTIONS: u32 = 4;

/// A snapshot, with the new log file that holds it if one was requested.
pub(crate) struct FinishedSnapshot {
    snapshot: Snapshot,
    written: Option<Written>,
}

/// Decodes the state of a snapshot.
pub(crate) fn read_state(snapshot: &Snapshot) -> ControlState {
    // The checksum of the record matched, so this program wrote the text.
    serde_json::from_str(&snapshot.state)
        .expect("a snapshot with a matching checksum can be decoded")
}

impl<F: Folder> Driver<F> {
    /// Replaces the whole log by a snapshot received from the leader.
    pub(crate) fn install(&mut self, snapshot: &Snapshot) -> Result<()> {
        // Waits for a file of an older state, which must not replace the new one later.
        if let Some(pending) = self.pending_snapshot.take() {
            let _ = pending.recv();
        }
        self.store.replace(snapshot, &self.hard, &[])?;
        self.snapshot_bytes = self.store.bytes();
        let at = Position { term: snapshot.term, index: snapshot.index };
        self.applier.install(read_state(snapshot), at);
        log::info!("control: installed a snapshot of the leader at index {}", snapshot.index);
        Ok(())
    }

    /// Starts a snapshot when the log file is large or a replica needs one, and uses a finished
    /// one. Another thread encodes the state, because it may hold many keys.
    pub(crate) fn poll_snapshots(&mut self) -> Result<()> {
        if let Some(pending) = &self.pending_snapshot {
            match pending.try_recv() {
                Ok(finished) => {
                    self.pending_snapshot = None;
                    return self.finish_snapshot(finished?);
                }
                Err(TryRecvError::Empty) => return Ok(()),
                Err(TryRecvError::Disconnected) => self.pending_snapshot = None,
            }
        }
        // A replica that is already receiving a snapshot needs no newer one.
        self.need_snapshot.retain(|id| self.peers.snapshot_index(*id).is_none());
        let limit = MIN_COMPACTION_BYTES.max(self.snapshot_bytes * LOG_TO_SNAPSHOT_RATIO);
        let log_is_large = self.store.bytes() >= limit;
        let wanted = log_is_large || !self.need_snapshot.is_empty();
        // The snapshot records the members as of the last committed entry, so all committed entries
        // must be applied.
        if wanted && self.applier.is_done(self.applied) {
            self.start_snapshot(log_is_large);
        }
        Ok(())
    }

    fn start_snapshot(&mut self, replace_log: bool) {
        let state = self.state.read().clone();
        let no_members = || cherrystream_schema::messages::Members {
            disks: BTreeMap::new(),
            addresses: BTreeMap::new(),
            failure_domains: BTreeMap::new(),
        };
        let members = self.raft.members().cloned().unwrap_or_else(no_members);
        let Position { term, index } = self.applied;
        let replacement = replace_log.then(|| self.store.begin_replace());
        let (tx, rx) = mpsc::channel();
        thread::spawn(move || {
            let state = serde_json::to_string(&state).expect("the state can be encoded as JSON");
            let snapshot = Snapshot { term, index, members, state };
            let written = replacement.map(|r| r.write(&snapshot)).transpose();
            let _ = tx.send(written.map(|written| FinishedSnapshot { snapshot, written }));
        });
        self.pending_snapshot = Some(rx);
    }

    /// Returns the index up to which the log in memory may be discarded. Keeps the entries after a
    /// snapshot that is being sent, because the receiver needs them next. The number of deferrals
    /// is bounded, so that a slow link does not exhaust the memory.
    fn compaction_index(&mut self, snapshot_index: u64) -> u64 {
        let in_transfer =
            self.peers.lowest_snapshot_index().filter(|index| *index < snapshot_index);
        match in_transfer {
            Some(index) if self.deferred_compactions < MAX_DEFERRED_COMPACTIONS => {
                self.deferred_compactions += 1;
                index
            }
            _ => {
                self.deferred_compactions = 0;
                snapshot_index
            }
        }
    }

    fn finish_snapshot(&mut self, finished: FinishedSnapshot) -> Result<()> {
        let FinishedSnapshot { snapshot, written } = finished;
        // A snapshot of the leader may have replaced the log in the meantime.
        let superseded = snapshot.index < self.raft.log().base().index;
        if let Some(written) = written.filter(|_| !superseded) {
            let last = self.raft.log().last().index;
            let entries = self.raft.log().range(snapshot.index + 1, last);
            self.store.finish_replace(written, &self.hard, &entries)?;
            self.snapshot_bytes = self.store.bytes();
            let compact_to = self.compaction_index(snapshot.index);
            self.raft.compact(compact_to);
            log::info!("control: compacted the log to a snapshot at index {}", snapshot.index);
        }
        for id in std::mem::take(&mut self.need_snapshot) {
            if !superseded {
                self.raft.send_snapshot(id, snapshot.clone());
            }
        }
        Ok(())
    }
}
