//! The store under lost syncs, torn writes and flipped bits, on a fake disk.

use cherrystream_control::errors::Error;
use cherrystream_control::folder::Folder;
use cherrystream_control::store::{Batch, Recovery, Store};
use cherrystream_schema::messages::{Command, Entry, HardState, Members, Snapshot};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

/// Content that is durable, and content that a power cut may take.
#[derive(Clone, Debug, Default)]
struct File {
    synced: Vec<u8>,
    now: Vec<u8>,
}

/// A disk that forgets what was not synced, and stops after a number of operations.
#[derive(Clone, Debug, Default)]
struct Disk {
    /// Names as a look at the folder shows them.
    now: BTreeMap<String, File>,
    /// Names that a power cut leaves, with the file each stands for.
    synced_names: BTreeMap<String, File>,
    operations: usize,
    /// Bytes that still find room; a longer write leaves as many behind and fails.
    room: Option<usize>,
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

    /// What a power cut leaves: synced names with their synced content, and `torn` bytes of what
    /// was written after the last sync.
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
        let fits = disk.room.map_or(bytes.len(), |room| room.min(bytes.len()));
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

/// What was acknowledged by the time of the power cut.
#[derive(Clone, Debug, Default, PartialEq)]
struct Acknowledged {
    term: u64,
    last: u64,
    snapshot: u64,
}

/// Writes, overwrites and compacts until the disk stops; returns what was acknowledged.
fn work(folder: &FakeFolder) -> Acknowledged {
    let mut done = Acknowledged::default();
    let _ = work_until_cut(folder, &mut done);
    done
}

fn work_until_cut(
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

/// Returns the term and index of the last entry or snapshot, and whether all between is there.
fn last_of(found: &Recovery) -> (u64, u64) {
    let base = found.restored.snapshot.as_ref().map_or(0, |s| s.index);
    for (place, entry) in found.restored.entries.iter().enumerate() {
        assert_eq!(entry.index, base + 1 + place as u64, "an entry is missing");
    }
    let entries = &found.restored.entries;
    let at_base = found.restored.snapshot.as_ref().map_or((0, 0), |s| (s.term, s.index));
    entries.last().map_or(at_base, |e| (e.term, e.index))
}

#[test]
fn a_power_cut_at_every_operation_loses_nothing_acknowledged() {
    let whole = FakeFolder::new(Disk::default());
    assert_eq!(work(&whole), Acknowledged { term: 2, last: 7, snapshot: 7 });
    let operations = whole.disk().operations;
    assert!(operations > 25, "{operations}");
    for stop_after in 0..operations {
        for torn in [0, 1, 7, 30, 200, usize::MAX] {
            let disk = Disk { stop_after: Some(stop_after), ..Disk::default() };
            let folder = FakeFolder::new(disk);
            let acknowledged = work(&folder);
            let left = FakeFolder::new(folder.disk().after_power_cut(torn));
            let (store, found) = Store::open(left, 1, "another-disk").unwrap();
            let (term, index) = last_of(&found);
            let at = format!("cut after {stop_after}, {torn} torn bytes");
            assert!(index >= acknowledged.last, "{at}: {index} of {acknowledged:?}");
            assert!(term >= acknowledged.term || acknowledged.last < 7, "{at}");
            let term = found.restored.hard.as_ref().map_or(0, |h| h.term);
            assert!(term >= acknowledged.term, "{at}: the vote was forgotten");
            let base = found.restored.snapshot.as_ref().map_or(0, |s| s.index);
            assert!(base >= acknowledged.snapshot, "{at}: the snapshot went back");
            // A disk that acknowledged anything keeps its identity.
            assert!(acknowledged.last == 0 || store.disk() == "disk", "{at}");
        }
    }
}

#[test]
fn a_flipped_bit_anywhere_is_refused_or_harmless() {
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

#[test]
fn a_folder_of_another_replica_is_refused() {
    let folder = FakeFolder::new(Disk::default());
    Store::open(folder.clone(), 1, "disk").unwrap();
    let e = Store::open(folder, 2, "disk").err().unwrap().to_string();
    assert_eq!(
        e,
        "data folder: it belongs to replica 1, not 2; correct `replica` or `data_folder` in the \
         settings"
    );
}

#[test]
fn a_write_that_finds_no_room_leaves_the_file_as_it_was_and_may_be_tried_again() {
    let folder = FakeFolder::new(Disk::default());
    let (mut store, _) = Store::open(folder.clone(), 1, "disk").unwrap();
    let first = [entry(1, 1)];
    store.append(&Batch { entries: &first, hard: Some(&hard(1)) }).unwrap();
    let second = [entry(1, 2), entry(1, 3)];
    let batch = Batch { entries: &second, hard: None };
    for room in [0, 1, 7, 40] {
        folder.0.lock().unwrap().room = Some(room);
        let refused = store.append(&batch);
        assert!(matches!(refused, Err(Error::NotWritten { .. })), "{refused:?}");
    }
    folder.0.lock().unwrap().room = None;
    store.append(&batch).unwrap();
    let (_, found) = Store::open(FakeFolder::new(folder.disk()), 1, "other").unwrap();
    let indexes: Vec<u64> = found.restored.entries.iter().map(|e| e.index).collect();
    assert_eq!(indexes, [1, 2, 3]);
    assert_eq!(found.torn_bytes, 0);
}

/// What a replica held whose place was given away can still be looked at, and does not pile up.
#[test]
fn a_log_that_is_set_aside_is_kept_until_the_next_one() {
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
