//! Record of the requests that a stand-in has run, for tests to compare with callers' answers.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// A file with one line for each request that ran.
#[derive(Debug)]
pub struct Record {
    file: parking_lot::Mutex<File>,
}

impl Record {
    /// Opens a record for appending, and creates it if needed.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be opened.
    pub fn try_new(path: &Path) -> io::Result<Record> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Record { file: parking_lot::Mutex::new(file) })
    }

    /// Appends a run: the key of the request, or its path without a key.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    pub fn write(&self, run: &str) -> io::Result<()> {
        // A single write, so that a kill leaves no partial line.
        self.file.lock().write_all(format!("{run}\n").as_bytes())
    }
}

/// Returns the runs in a record, in order.
///
/// # Errors
///
/// Fails when the file cannot be read.
pub fn read_runs(path: &Path) -> io::Result<Vec<String>> {
    Ok(std::fs::read_to_string(path)?.lines().map(str::to_string).collect())
}
