//! Marks a data folder as that of a founder.
//!
//! The settings say only at the very first start that the group may be founded. A founder that ends
//! before that happened finds its folder blank but for the mark, and goes on.

use crate::errors::{self, Result};
use crate::folder::Folder;

/// Name of the mark.
const MARK: &str = "founder";

/// Returns whether the folder is that of a founder.
///
/// # Errors
///
/// Fails when the folder cannot be read.
pub fn is_marked(folder: &impl Folder) -> Result<bool> {
    let names = folder.list().map_err(errors::folder("list the files"))?;
    Ok(names.iter().any(|name| name == MARK))
}

/// Marks the folder, durably.
///
/// # Errors
///
/// Fails when the folder does not take the mark.
pub fn mark(folder: &mut impl Folder) -> Result<()> {
    folder.append(MARK, &[]).map_err(errors::folder("mark a founder"))?;
    folder.sync(MARK).map_err(errors::folder("sync the mark of a founder"))?;
    folder.sync_names().map_err(errors::folder("sync the folder"))
}

/// Takes the mark off, if there is one; the caller syncs the folder.
///
/// # Errors
///
/// Fails when the mark cannot be removed.
pub fn unmark(folder: &mut impl Folder, names: &[String]) -> Result<()> {
    if !names.iter().any(|name| name == MARK) {
        return Ok(());
    }
    folder.remove(MARK).map_err(errors::folder("take off the mark of a founder"))
}
