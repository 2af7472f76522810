//! Addresses that a replica without a place has learned, kept over restarts.
//!
//! The settings may name seeds that are all without a place, and all hosts may lose power at once. What a
//! replica that stands by has learned of the members is then the only way to find them.

use crate::folder::Folder;
use std::io;

/// Name of the file.
pub(crate) const FILE: &str = "contacts.json";
/// Name of the file while it is written.
const UNFINISHED: &str = "contacts.json.new";

/// Returns the addresses that were learned. A file that cannot be read is no loss: the seeds are asked.
pub fn read(folder: &impl Folder) -> Vec<String> {
    let read = folder.read(FILE).ok();
    read.and_then(|bytes| serde_json::from_slice(&bytes).ok()).unwrap_or_default()
}

/// Keeps addresses in place of those kept before.
///
/// # Errors
///
/// Fails when the folder does not take the file; those kept before stay.
pub fn write(folder: &mut impl Folder, addresses: &[String]) -> io::Result<()> {
    // Left behind by a write that did not end.
    if folder.list()?.iter().any(|name| name == UNFINISHED) {
        folder.remove(UNFINISHED)?;
    }
    folder.append(UNFINISHED, &serde_json::to_vec(addresses)?)?;
    folder.sync(UNFINISHED)?;
    folder.rename(UNFINISHED, FILE)?;
    folder.sync_names()
}
