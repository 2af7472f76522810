//! Marker file of a replica that may bootstrap the group.
//!
//! The settings allow the bootstrap only at the first start. The marker lets a replica that stopped
//! before the bootstrap completed continue after a restart.

use crate::errors::{self, Result};
use crate::folder::Folder;

/// Name of the marker file.
const MARKER_FILE: &str = "founder";

/// Returns whether the folder has the marker.
///
/// # Errors
///
/// Fails when the folder cannot be read.
pub fn exists(folder: &impl Folder) -> Result<bool> {
    let names = folder.list().map_err(errors::folder("list the files"))?;
    Ok(names.iter().any(|name| name == MARKER_FILE))
}

/// Writes the marker durably.
///
/// # Errors
///
/// Fails when the marker cannot be written.
pub fn write(folder: &mut impl Folder) -> Result<()> {
    folder.append(MARKER_FILE, &[]).map_err(errors::folder("write the bootstrap marker"))?;
    folder.sync(MARKER_FILE).map_err(errors::folder("sync the bootstrap marker"))?;
    folder.sync_names().map_err(errors::folder("sync the folder"))
}

/// Removes the marker if there is one. The caller syncs the folder.
///
/// # Errors
///
/// Fails when the marker cannot be removed.
pub fn remove(folder: &mut impl Folder, names: &[String]) -> Result<()> {
    if !names.iter().any(|name| name == MARKER_FILE) {
        return Ok(());
    }
    folder.remove(MARKER_FILE).map_err(errors::folder("remove the bootstrap marker"))
}
