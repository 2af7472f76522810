//! Recovery of the store after power failures, torn writes and bit flips, on a simulated disk.

use cherrystream_control::errors::Error;
use cherrystream_control::folder::Folder;
use cherrystream_control::store::{Batch, Recovery, Store};
use cherrystream_schema::messages::{Command, Entry, HardState, Members, Snapshot};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

/// Durable content and current content of a file. A power failure may lose the difference.
#[derive(Clone, Debug, Default)]
struct File {
    synced: Vec<u8>,
    now: Vec<u8>,
}

/// A disk that loses unsynced data, and fails after a number of operations.
#[derive(Clone, Debug, Default)]
struct Disk {
    /// Current files by name.
    now: BTreeMap<String, File>,
    /// Files by name as of the last sync of the folder.
    synced_names: BTreeMap<String, File>,
    operations: usize,
    /// Free bytes. A longer write stores this many bytes and fails.
    free_bytes: Option<usize>,
    stop_after: Option<usize>,
}

impl Disk {
    fn operate(&mut self) -> io::Result<()> {
        if self.stop_after == Some(self.operations) {
            return Err(io::Error::other("power cut"));
        }
        self.operations += 1;
        Ok(())
    }

    /// Returns the disk after a power failure: synced names with their synced content, and `torn`
    /// bytes of each file written after its last sync.
    fn after_power_cut(&self, torn: usize) -> Disk {
        let mut left = Disk::default();
        for (name, at_sync) in &self.synced_names {
            // Content that was synced under any name is durable.
            let file = self.now.get(name).unwrap_or(at_sync);
            let more = file.now.len().saturating_sub(file.synced.len()).min(torn);
            let kept = match file.now.starts_with(&file.synced) {
                true => file.now[..file.synced.len() + more].to_vec(),
                false => file.synced.clone(),
            };
            left.now.insert(name.clone(), File { synced: kept.clone(), now: kept });
        }
        left.synced_names = left.now.clone();
        left
    }
}

#[derive(Clone)]
struct FakeFolder(Arc<Mutex<Disk>>);

impl FakeFolder {
    fn new(disk: Disk) -> FakeFolder {
        FakeFolder(Arc::new(Mutex::new(disk)))
    }

    fn disk(&self) -> Disk {
        self.0.lock().unwrap().clone()
    }
}

impl Folder for FakeFolder {
    fn fork(&self) -> FakeFolder {
        self.clone()
    }

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.0.lock().unwrap().now.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let disk = self.0.lock().unwrap();
        disk.now.get(name).map(|f| f.now.clone()).ok_or(io::ErrorKind::NotFound.into())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        disk.operate()?;
        let fits = disk.free_bytes.map_or(bytes.len(), |free| free.min(bytes.len()));
        let file = disk.now.entry(name.into()).or_default();
        file.now.extend_from_slice(&bytes[..fits]);
        if fits < bytes.len() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        disk.operate()?;
        disk.now.get_mut(name).unwrap().now.truncate(len as usize);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        disk.operate()?;
        let file = disk.now.get_mut(name).unwrap();
        file.synced = file.now.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        disk.operate()?;
        let file = disk.now.remove(from).unwrap();
        disk.now.insert(to.into(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        disk.operate()?;
        disk.now.remove(name);
        Ok(())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        disk.operate()?;
        disk.synced_names = disk.now.clone();
        Ok(())
    }
}

fn entry(term: u64, index: u64) -> Entry {
    Entry { term, index, command: Command::Noop { by: term } }
}

fn hard(term: u64) -> HardState {
    HardState { term, voted_for: Some(1), commit: 0 }
}

fn snapshot(term: u64, index: u64) -> Snapshot {
    let members = Members {
        disks: BTreeMap::new(),
        addresses: BTreeMap::new(),
        failure_domains: BTreeMap::new(),
    };
    Snapshot { term, index, members, state: "{}".into() }
}

/// State that was acknowledged before the power failure.
#[derive(Clone, Debug, Default, PartialEq)]
struct Acknowledged {
    term: u64,
    last: u64,
    snapshot: u64,
}

/// Writes, overwrites and compacts until the disk fails. Returns the acknowledged state.
fn write_until_failure(folder: &FakeFolder) -> Acknowledged {
    let mut done = Acknowledged::default();
    let _ = try_write_all(folder, &mut done);
    done
}

fn try_write_all(
    folder: &FakeFolder,
    done: &mut Acknowledged,
) -> cherrystream_control::errors::Result<()> {
    let (mut store, _) = Store::open(folder.clone(), 1, "disk")?;
    for index in 1..=6 {
        let entries = [entry(1, index)];
        store.append(&Batch { entries: &entries, hard: Some(&hard(1)) })?;
        *done = Acknowledged { term: 1, last: index, snapshot: 0 };
    }
    store.replace(&snapshot(1, 4), &hard(1), &[entry(1, 5), entry(1, 6)])?;
    done.snapshot = 4;
    // A new leader's entries replace the tail.
    let entries = [entry(2, 6), entry(2, 7)];
    store.append(&Batch { entries: &entries, hard: Some(&hard(2)) })?;
    *done = Acknowledged { term: 2, last: 7, snapshot: 4 };
    store.replace(&snapshot(2, 7), &hard(2), &[])?;
    done.snapshot = 7;
    Ok(())
}

/// Returns the term and index of the last entry or snapshot. Checks that no entry is missing.
fn last_of(found: &Recovery) -> (u64, u64) {
    let base = found.restored.snapshot.as_ref().map_or(0, |s| s.index);
    for (offset, entry) in found.restored.entries.iter().enumerate() {
        assert_eq!(entry.index, base + 1 + offset as u64, "an entry is missing");
    }
    let entries = &found.restored.entries;
    let at_base = found.restored.snapshot.as_ref().map_or((0, 0), |s| (s.term, s.index));
    entries.last().map_or(at_base, |e| (e.term, e.index))
}

/// Guards against the loss of acknowledged entries, votes and snapshots.
#[test]
fn a_power_failure_at_any_operation_loses_nothing_acknowledged() {
    let whole = FakeFolder::new(Disk::default());
    assert_eq!(write_until_failure(&whole), Acknowledged { term: 2, last: 7, snapshot: 7 });
    let operations = whole.disk().operations;
    assert!(operations > 25, "{operations}");
    for stop_after in 0..operations {
        for torn in [0, 1, 7, 30, 200, usize::MAX] {
            let disk = Disk { stop_after: Some(stop_after), ..Disk::default() };
            let folder = FakeFolder::new(disk);
            let acknowledged = write_until_failure(&folder);
            let left = FakeFolder::new(folder.disk().after_power_cut(torn));
            let (store, found) = Store::open(left, 1, "another-disk").unwrap();
            let (term, index) = last_of(&found);
            let at = format!("cut after {stop_after}, {torn} torn bytes");
            assert!(index >= acknowledged.last, "{at}: {index} of {acknowledged:?}");
            assert!(term >= acknowledged.term || acknowledged.last < 7, "{at}");
            let term = found.restored.hard.as_ref().map_or(0, |h| h.term);
            assert!(term >= acknowledged.term, "{at}: the vote was lost");
            let base = found.restored.snapshot.as_ref().map_or(0, |s| s.index);
            assert!(base >= acknowledged.snapshot, "{at}: the snapshot is older");
            // A disk with acknowledged data keeps its identifier.
            assert!(acknowledged.last == 0 || store.disk() == "disk", "{at}");
        }
    }
}

/// Guards against silent loss of entries after a bit flip.
#[test]
fn a_bit_flip_is_detected_or_harmless() {
    let whole = FakeFolder::new(Disk::default());
    let (mut store, _) = Store::open(whole.clone(), 1, "disk").unwrap();
    for index in 1..=4 {
        store.append(&Batch { entries: &[entry(1, index)], hard: Some(&hard(1)) }).unwrap();
    }
    let disk = whole.disk();
    let (name, file) = disk.now.iter().next().unwrap();
    for at in 0..file.now.len() {
        let mut bytes = file.now.clone();
        bytes[at] ^= 1 << (at % 8);
        let mut flipped = disk.clone();
        flipped.now.insert(name.clone(), File { synced: bytes.clone(), now: bytes });
        match Store::open(FakeFolder::new(flipped), 1, "disk") {
            Err(e) => assert!(e.to_string().contains("nothing was dropped"), "{e}"),
            Ok((_, found)) => assert_eq!(last_of(&found), (1, 4), "bit at {at} dropped an entry"),
        }
    }
}

/// Guards against a start with the data of another replica.
#[test]
fn a_folder_of_another_replica_is_rejected() {
    let folder = FakeFolder::new(Disk::default());
    Store::open(folder.clone(), 1, "disk").unwrap();
    let e = Store::open(folder, 2, "disk").err().unwrap().to_string();
    assert_eq!(
        e,
        "data folder: it belongs to replica 1, not 2; correct `replica` or `data_folder` in the \
         settings"
    );
}

/// Guards against partial records in the log after a write to a full disk.
#[test]
fn a_write_to_a_full_disk_leaves_the_file_unchanged_and_may_be_retried() {
    let folder = FakeFolder::new(Disk::default());
    let (mut store, _) = Store::open(folder.clone(), 1, "disk").unwrap();
    let first = [entry(1, 1)];
    store.append(&Batch { entries: &first, hard: Some(&hard(1)) }).unwrap();
    let second = [entry(1, 2), entry(1, 3)];
    let batch = Batch { entries: &second, hard: None };
    for free in [0, 1, 7, 40] {
        folder.0.lock().unwrap().free_bytes = Some(free);
        let failed = store.append(&batch);
        assert!(matches!(failed, Err(Error::NotWritten { .. })), "{failed:?}");
    }
    folder.0.lock().unwrap().free_bytes = None;
    store.append(&batch).unwrap();
    let (_, found) = Store::open(FakeFolder::new(folder.disk()), 1, "other").unwrap();
    let indexes: Vec<u64> = found.restored.entries.iter().map(|e| e.index).collect();
    assert_eq!(indexes, [1, 2, 3]);
    assert_eq!(found.torn_bytes, 0);
}

/// Guards against the loss of the log of a replica that lost its member slot, and against the
/// accumulation of old logs.
#[test]
fn a_log_that_is_set_aside_replaces_the_previous_one() {
    let folder = FakeFolder::new(Disk::default());
    for disk in ["first", "second"] {
        let (mut store, found) = Store::open(folder.clone(), 1, disk).unwrap();
        assert!(found.restored.entries.is_empty(), "the folder is blank again");
        assert_eq!(store.disk(), disk);
        store.append(&Batch { entries: &[entry(1, 1)], hard: Some(&hard(1)) }).unwrap();
        store.set_aside().unwrap();
        let names: Vec<String> = folder.disk().after_power_cut(0).now.into_keys().collect();
        assert_eq!(names, ["aside-log-1"]);
    }
}
