//! Addresses of members that a standby has learned, stored on disk.
//!
//! All seeds in the settings may be standbys. After a restart of all hosts, the stored addresses
//! are then the only way to find the members.

use crate::folder::Folder;
use std::io;

/// Name of the file that holds the addresses.
pub(crate) const CONTACTS_FILE: &str = "contacts.json";
/// Name of the file until it is complete.
const UNFINISHED_FILE: &str = "contacts.json.new";

/// Returns the stored addresses. Returns none when the file cannot be read: the seeds are the
/// fallback.
pub fn read(folder: &impl Folder) -> Vec<String> {
    let read = folder.read(CONTACTS_FILE).ok();
    read.and_then(|bytes| serde_json::from_slice(&bytes).ok()).unwrap_or_default()
}

/// Replaces the stored addresses.
///
/// # Errors
///
/// Fails when the file cannot be written. The previous addresses remain.
pub fn write(folder: &mut impl Folder, addresses: &[String]) -> io::Result<()> {
    // An interrupted write may have left the file.
    if folder.list()?.iter().any(|name| name == UNFINISHED_FILE) {
        folder.remove(UNFINISHED_FILE)?;
    }
    folder.append(UNFINISHED_FILE, &serde_json::to_vec(addresses)?)?;
    folder.sync(UNFINISHED_FILE)?;
    folder.rename(UNFINISHED_FILE, CONTACTS_FILE)?;
    folder.sync_names()
}
