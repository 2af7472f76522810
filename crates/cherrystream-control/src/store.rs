//! The log, hard state and snapshot of a replica, in one file of records with checksums.
//!
//! Records are appended and synced before anything is acknowledged. A snapshot starts a new file,
//! which replaces the old one by a rename. The disk identifier is in the same file, so that it is
//! lost together with the data that it identifies.

use crate::bootstrap_marker;
use crate::errors::{self, Error, Result};
use crate::folder::Folder;
use crate::records::{Reader, Record, encode};
use cherrystream_core::raft::Restored;
use cherrystream_schema::messages::{Entry, HardState, Snapshot};

/// Prefix of the names of log files.
const LOG_PREFIX: &str = "log-";
/// Prefix for the log files of a replica that lost its member slot.
const ASIDE_PREFIX: &str = "aside-";
/// Suffix of the name of an incomplete file.
const UNFINISHED_SUFFIX: &str = ".new";

/// Records to make durable with one sync.
#[derive(Debug, Default)]
pub struct Batch<'a> {
    /// Entries to append.
    pub entries: &'a [Entry],
    /// Hard state, written after the entries that it refers to.
    pub hard: Option<&'a HardState>,
}

/// The durable state of a replica in a folder.
pub struct Store<F> {
    folder: F,
    disk: String,
    replica: u64,
    number: u64,
    bytes: u64,
    buf: Vec<u8>,
}

/// State recovered from a folder.
#[derive(Debug, Default)]
pub struct Recovery {
    /// State to restore.
    pub restored: Restored,
    /// Truncated bytes of an incomplete last write.
    pub torn_bytes: u64,
}

impl<F: Folder> Store<F> {
    /// Opens the store of a replica. `new_disk` becomes the disk identifier if the folder is blank.
    ///
    /// # Errors
    ///
    /// Fails when the folder cannot be used, belongs to another replica or contains unreadable
    /// data. No log data is removed in these cases.
    pub fn open(mut folder: F, replica: u64, new_disk: &str) -> Result<(Store<F>, Recovery)> {
        let names = folder.list().map_err(errors::folder("list the files"))?;
        for name in names.iter().filter(|n| n.ends_with(UNFINISHED_SUFFIX)) {
            folder.remove(name).map_err(errors::folder("remove an unfinished file"))?;
        }
        let mut numbers: Vec<u64> = names.iter().filter_map(|name| file_number(name)).collect();
        numbers.sort_unstable();
        let Some(number) = numbers.pop() else {
            return Store::create(folder, replica, new_disk);
        };
        let mut store =
            Store { folder, disk: String::new(), replica, number, bytes: 0, buf: Vec::new() };
        let recovered = store.recover()?;
        for old in numbers {
            store.remove_file(old)?;
        }
        Ok((store, recovered))
    }

    fn create(folder: F, replica: u64, disk: &str) -> Result<(Store<F>, Recovery)> {
        let disk = disk.into();
        let mut store = Store { folder, disk, replica, number: 0, bytes: 0, buf: Vec::new() };
        let written = store.begin_replace().write_empty()?;
        let hard = HardState { term: 0, voted_for: None, commit: 0 };
        store.finish_replace(written, &hard, &[])?;
        Ok((store, Recovery::default()))
    }

    /// Returns the disk identifier.
    pub fn disk(&self) -> &str {
        &self.disk
    }

    /// Returns the size of the file in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Makes a batch durable.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::NotWritten`] when the write fails, for example on a full disk: the file
    /// is unchanged, and the same batch may be retried. After any other error the content of the
    /// file is undefined, and the caller must stop.
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
            // Removes the partial data of the failed write.
            let cut = self.folder.truncate(&name, self.bytes);
            cut.map_err(errors::folder("truncate a failed write"))?;
            return Err(Error::NotWritten { source });
        }
        self.folder.sync(&name).map_err(errors::folder("sync the log"))?;
        self.bytes += self.buf.len() as u64;
        Ok(())
    }

    /// Replaces the file by a snapshot and the entries after it.
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

    /// Renames the log files, so that the folder is treated as a new disk. Keeps one generation for
    /// inspection and removes older ones.
    ///
    /// # Errors
    ///
    /// Fails when the disk does.
    pub fn set_aside(&mut self) -> Result<()> {
        let names = self.folder.list().map_err(errors::folder("list the files"))?;
        for name in names.iter().filter(|name| name.starts_with(ASIDE_PREFIX)) {
            self.folder.remove(name).map_err(errors::folder("remove a file"))?;
        }
        // A replica that joins an existing group must not bootstrap one.
        bootstrap_marker::remove(&mut self.folder, &names)?;
        for name in names.iter().filter(|name| file_number(name).is_some()) {
            let aside = format!("{ASIDE_PREFIX}{name}");
            self.folder.rename(name, &aside).map_err(errors::folder("rename a file"))?;
            log::warn!("control: the log of the lost member slot is kept as {aside}");
        }
        self.folder.sync_names().map_err(errors::folder("sync the folder"))
    }

    /// Prepares a new file. Another thread can write its snapshot while this store stays in use.
    pub fn begin_replace(&self) -> Replacement<F> {
        Replacement {
            folder: self.folder.fork(),
            name: file_name(self.number + 1),
            disk: Record::Disk { disk: self.disk.clone(), replica: self.replica },
        }
    }

    /// Appends the records after the snapshot to the new file, and replaces the old file by a
    /// rename.
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
        let unfinished = format!("{name}{UNFINISHED_SUFFIX}");
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

    fn recover(&mut self) -> Result<Recovery> {
        let name = file_name(self.number);
        let content = self.folder.read(&name).map_err(errors::folder("read the log"))?;
        let mut reader = Reader { name: &name, content: &content, offset: 0 };
        let mut recovered = Recovery::default();
        let mut first = true;
        while let Some(record) = reader.next_record()? {
            self.restore_record(&name, reader.offset, record, first, &mut recovered.restored)?;
            first = false;
        }
        if first {
            return errors::unreadable(&name, 0, "the file contains no record");
        }
        self.bytes = reader.offset as u64;
        recovered.torn_bytes = (content.len() - reader.offset) as u64;
        if recovered.torn_bytes > 0 {
            let bytes = self.bytes;
            self.folder
                .truncate(&name, bytes)
                .map_err(errors::folder("truncate an incomplete write"))?;
            self.folder.sync(&name).map_err(errors::folder("sync the log"))?;
        }
        Ok(recovered)
    }

    fn restore_record(
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
            Record::Entry(entry) if !first => return restore_entry(name, offset, *entry, restored),
            _ => return errors::unreadable(name, offset as u64, "a record is misplaced"),
        }
        Ok(())
    }
}

/// A new file that is still incomplete.
pub struct Replacement<F> {
    folder: F,
    name: String,
    disk: Record,
}

/// A new file whose snapshot is written.
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

    fn write_empty(self) -> Result<Written> {
        self.write_records(None)
    }

    fn write_records(mut self, snapshot: Option<&Snapshot>) -> Result<Written> {
        let mut buf = Vec::new();
        encode(&self.disk, &mut buf);
        if let Some(snapshot) = snapshot {
            encode(&Record::Snapshot(snapshot.clone()), &mut buf);
        }
        let unfinished = format!("{}{UNFINISHED_SUFFIX}", self.name);
        // An abandoned replacement may have left a file.
        if self.folder.list().is_ok_and(|names| names.contains(&unfinished)) {
            self.folder.remove(&unfinished).map_err(errors::folder("remove an unfinished file"))?;
        }
        self.folder.append(&unfinished, &buf).map_err(errors::folder("write a new file"))?;
        self.folder.sync(&unfinished).map_err(errors::folder("sync a new file"))?;
        Ok(Written { bytes: buf.len() as u64 })
    }
}

/// Adds an entry at its index, and discards the entries at that index and after it.
fn restore_entry(name: &str, offset: usize, entry: Entry, restored: &mut Restored) -> Result<()> {
    let base = restored.snapshot.as_ref().map_or(0, |s| s.index);
    let offset_in_log = entry.index.checked_sub(base + 1).map(|offset| offset as usize);
    match offset_in_log {
        Some(at) if at <= restored.entries.len() => {
            restored.entries.truncate(at);
            restored.entries.push(entry);
            Ok(())
        }
        _ => errors::unreadable(name, offset as u64, "an entry before this one is missing"),
    }
}

/// Returns the name of the log file with a number.
pub(crate) fn file_name(number: u64) -> String {
    format!("{LOG_PREFIX}{number}")
}

/// Returns the number of a log file, or `None` for any other file.
pub(crate) fn file_number(name: &str) -> Option<u64> {
    name.strip_prefix(LOG_PREFIX)?.parse().ok()
}
