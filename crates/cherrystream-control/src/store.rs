//! The log, hard state and snapshot of a replica in one file of checked records.
//!
//! Records are appended and synced before anything is acknowledged. A snapshot is the first
//! record of a new file that takes the old one's place by a rename. The disk identifier stands
//! in the same file, so that it cannot outlive what it vouches for.

use crate::errors::{self, Error, Result};
use crate::folder::Folder;
use crate::founder;
use crate::records::{Reader, Record, encode};
use cherrystream_core::raft::Restored;
use cherrystream_schema::messages::{Entry, HardState, Snapshot};

/// Beginning of the names of log files.
const PREFIX: &str = "log-";
/// Put before the names of log files whose replica lost its place.
const SET_ASIDE: &str = "aside-";
/// End of the name of a file that is not complete yet.
const UNFINISHED: &str = ".new";

/// What to make durable in one go.
#[derive(Debug, Default)]
pub struct Batch<'a> {
    /// Entries.
    pub entries: &'a [Entry],
    /// Hard state; it speaks of the entries before it.
    pub hard: Option<&'a HardState>,
}

/// A store in a folder.
pub struct Store<F> {
    folder: F,
    disk: String,
    replica: u64,
    number: u64,
    bytes: u64,
    buf: Vec<u8>,
}

/// What a folder held.
#[derive(Debug, Default)]
pub struct Found {
    /// State to restore.
    pub restored: Restored,
    /// Bytes of an unfinished last write that were cut off.
    pub torn_bytes: u64,
}

impl<F: Folder> Store<F> {
    /// Opens the store of a replica; `new_disk` names the disk if the folder is blank.
    ///
    /// # Errors
    ///
    /// Fails when the folder cannot be used, belongs to another replica or holds what cannot be
    /// read. Nothing is dropped then.
    pub fn open(mut folder: F, replica: u64, new_disk: &str) -> Result<(Store<F>, Found)> {
        let names = folder.list().map_err(errors::folder("list the files"))?;
        for name in names.iter().filter(|n| n.ends_with(UNFINISHED)) {
            folder.remove(name).map_err(errors::folder("remove an unfinished file"))?;
        }
        let mut numbers: Vec<u64> = names.iter().filter_map(|name| number_of(name)).collect();
        numbers.sort_unstable();
        let Some(number) = numbers.pop() else {
            return Store::create(folder, replica, new_disk);
        };
        let mut store =
            Store { folder, disk: String::new(), replica, number, bytes: 0, buf: Vec::new() };
        let found = store.recover()?;
        for old in numbers {
            store.remove_file(old)?;
        }
        Ok((store, found))
    }

    fn create(folder: F, replica: u64, disk: &str) -> Result<(Store<F>, Found)> {
        let disk = disk.into();
        let mut store = Store { folder, disk, replica, number: 0, bytes: 0, buf: Vec::new() };
        let written = store.begin_replace().write_blank()?;
        let hard = HardState { term: 0, voted_for: None, commit: 0 };
        store.finish_replace(written, &hard, &[])?;
        Ok((store, Found::default()))
    }

    /// Returns the disk identifier.
    pub fn disk(&self) -> &str {
        &self.disk
    }

    /// Returns the bytes of the file.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Makes a batch durable.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::NotWritten`] when the write finds no room: the file is as before, and the
    /// same batch may be tried again. Fails otherwise when the disk does; the caller must then
    /// stop, for nothing is known of the file.
    pub fn append(&mut self, batch: &Batch) -> Result<()> {
        if batch.hard.is_none() && batch.entries.is_empty() {
            return Ok(());
        }
        self.buf.clear();
        for entry in batch.entries {
            encode(&Record::Entry(Box::new(entry.clone())), &mut self.buf);
        }
        if let Some(hard) = batch.hard {
            encode(&Record::Hard(hard.clone()), &mut self.buf);
        }
        let name = file_name(self.number);
        if let Err(source) = self.folder.append(&name, &self.buf) {
            // What a failed write left behind must not stand before the next one.
            let cut = self.folder.truncate(&name, self.bytes);
            cut.map_err(errors::folder("cut off a failed write"))?;
            return Err(Error::NotWritten { source });
        }
        self.folder.sync(&name).map_err(errors::folder("sync the log"))?;
        self.bytes += self.buf.len() as u64;
        Ok(())
    }

    /// Puts a snapshot and the entries after it in place of the file.
    ///
    /// # Errors
    ///
    /// Fails when the disk does; the caller must then stop.
    pub fn replace(
        &mut self,
        snapshot: &Snapshot,
        hard: &HardState,
        entries: &[Entry],
    ) -> Result<()> {
        let written = self.begin_replace().write(snapshot)?;
        self.finish_replace(written, hard, entries)
    }

    /// Sets the log files aside under other names, so that the folder counts as that of a new disk. Those
    /// that were set aside before are removed: one generation is kept, for people to look at.
    ///
    /// # Errors
    ///
    /// Fails when the disk does.
    pub fn set_aside(&mut self) -> Result<()> {
        let names = self.folder.list().map_err(errors::folder("list the files"))?;
        for name in names.iter().filter(|name| name.starts_with(SET_ASIDE)) {
            self.folder.remove(name).map_err(errors::folder("remove a file"))?;
        }
        // Whoever comes in another's place founds nothing.
        founder::unmark(&mut self.folder, &names)?;
        for name in names.iter().filter(|name| number_of(name).is_some()) {
            let aside = format!("{SET_ASIDE}{name}");
            self.folder.rename(name, &aside).map_err(errors::folder("rename a file"))?;
            log::warn!("control: the log of a place that was lost is kept as {aside}");
        }
        self.folder.sync_names().map_err(errors::folder("sync the folder"))
    }

    /// Prepares a new file, whose long part can be written by another thread while this store
    /// goes on.
    pub fn begin_replace(&self) -> Replacement<F> {
        Replacement {
            folder: self.folder.fork(),
            name: file_name(self.number + 1),
            disk: Record::Disk { disk: self.disk.clone(), replica: self.replica },
        }
    }

    /// Adds what came after the snapshot to a new file, and puts it in place of the old one. The
    /// rename makes it count.
    ///
    /// # Errors
    ///
    /// Fails when the disk does; the caller must then stop.
    pub fn finish_replace(
        &mut self,
        written: Written,
        hard: &HardState,
        entries: &[Entry],
    ) -> Result<()> {
        let mut buf = Vec::new();
        for entry in entries {
            encode(&Record::Entry(Box::new(entry.clone())), &mut buf);
        }
        encode(&Record::Hard(hard.clone()), &mut buf);
        let name = file_name(self.number + 1);
        let unfinished = format!("{name}{UNFINISHED}");
        self.folder.append(&unfinished, &buf).map_err(errors::folder("write a new file"))?;
        self.folder.sync(&unfinished).map_err(errors::folder("sync a new file"))?;
        self.folder.rename(&unfinished, &name).map_err(errors::folder("rename a file"))?;
        self.folder.sync_names().map_err(errors::folder("sync the folder"))?;
        let old = self.number;
        self.number += 1;
        self.bytes = written.bytes + buf.len() as u64;
        if old > 0 { self.remove_file(old) } else { Ok(()) }
    }

    fn remove_file(&mut self, number: u64) -> Result<()> {
        self.folder.remove(&file_name(number)).map_err(errors::folder("remove an old file"))
    }

    fn recover(&mut self) -> Result<Found> {
        let name = file_name(self.number);
        let content = self.folder.read(&name).map_err(errors::folder("read the log"))?;
        let mut reader = Reader { name: &name, content: &content, offset: 0 };
        let mut found = Found::default();
        let mut first = true;
        while let Some(record) = reader.next_record()? {
            self.take_record(&name, reader.offset, record, first, &mut found.restored)?;
            first = false;
        }
        if first {
            return errors::unreadable(&name, 0, "it holds no record");
        }
        self.bytes = reader.offset as u64;
        found.torn_bytes = (content.len() - reader.offset) as u64;
        if found.torn_bytes > 0 {
            let bytes = self.bytes;
            self.folder.truncate(&name, bytes).map_err(errors::folder("cut off a torn write"))?;
            self.folder.sync(&name).map_err(errors::folder("sync the log"))?;
        }
        Ok(found)
    }

    fn take_record(
        &mut self,
        name: &str,
        offset: usize,
        record: Record,
        first: bool,
        restored: &mut Restored,
    ) -> Result<()> {
        match record {
            Record::Disk { disk, replica } if first => {
                if replica != self.replica {
                    return Err(Error::OtherReplica { found: replica, wanted: self.replica });
                }
                self.disk = disk;
            }
            Record::Snapshot(snapshot) if !first => restored.snapshot = Some(snapshot),
            Record::Hard(hard) if !first => restored.hard = Some(hard),
            Record::Entry(entry) if !first => return take_entry(name, offset, *entry, restored),
            _ => return errors::unreadable(name, offset as u64, "a record is out of place"),
        }
        Ok(())
    }
}

/// A new file that is not complete yet.
pub struct Replacement<F> {
    folder: F,
    name: String,
    disk: Record,
}

/// A new file that holds its snapshot.
pub struct Written {
    bytes: u64,
}

impl<F: Folder> Replacement<F> {
    /// Writes a snapshot to the new file.
    ///
    /// # Errors
    ///
    /// Fails when the disk does.
    pub fn write(self, snapshot: &Snapshot) -> Result<Written> {
        self.write_records(Some(snapshot))
    }

    fn write_blank(self) -> Result<Written> {
        self.write_records(None)
    }

    fn write_records(mut self, snapshot: Option<&Snapshot>) -> Result<Written> {
        let mut buf = Vec::new();
        encode(&self.disk, &mut buf);
        if let Some(snapshot) = snapshot {
            encode(&Record::Snapshot(snapshot.clone()), &mut buf);
        }
        let unfinished = format!("{}{UNFINISHED}", self.name);
        // A replacement that was given up may have left a file.
        if self.folder.list().is_ok_and(|names| names.contains(&unfinished)) {
            self.folder.remove(&unfinished).map_err(errors::folder("remove an unfinished file"))?;
        }
        self.folder.append(&unfinished, &buf).map_err(errors::folder("write a new file"))?;
        self.folder.sync(&unfinished).map_err(errors::folder("sync a new file"))?;
        Ok(Written { bytes: buf.len() as u64 })
    }
}

/// Puts an entry in its place; it replaces what stood there and after.
fn take_entry(name: &str, offset: usize, entry: Entry, restored: &mut Restored) -> Result<()> {
    let base = restored.snapshot.as_ref().map_or(0, |s| s.index);
    let place = entry.index.checked_sub(base + 1).map(|place| place as usize);
    match place {
        Some(place) if place <= restored.entries.len() => {
            restored.entries.truncate(place);
            restored.entries.push(entry);
            Ok(())
        }
        _ => errors::unreadable(name, offset as u64, "an entry is missing"),
    }
}

pub(crate) fn file_name(number: u64) -> String {
    format!("{PREFIX}{number}")
}

pub(crate) fn number_of(name: &str) -> Option<u64> {
    name.strip_prefix(PREFIX)?.parse().ok()
}
