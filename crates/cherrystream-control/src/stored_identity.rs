//! Reads the identity of a replica from its data folder before the replica starts.

use crate::errors::{self, Result};
use crate::folder::Folder;
use crate::member_slot;
use crate::records::{Reader, Record};
use crate::store::{file_name, file_number};
use cherrystream_schema::messages::Command;
use std::collections::BTreeMap;

/// Number and disk of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Number of the replica.
    pub replica: u64,
    /// Identifier of its disk.
    pub disk: String,
}

/// Identity and known addresses from a data folder.
#[derive(Clone, Debug)]
pub struct StoredReplica {
    /// Number and disk of the replica.
    pub identity: Identity,
    /// Addresses by replica number, as far as the log contains them.
    pub addresses: BTreeMap<u64, String>,
}

/// Returns the replica that the folder belongs to, or `None` when the folder is blank.
///
/// # Errors
///
/// Fails when the folder cannot be read.
pub fn read(folder: &impl Folder) -> Result<Option<StoredReplica>> {
    let names = folder.list().map_err(errors::folder("list the files"))?;
    let Some(number) = names.iter().filter_map(|name| file_number(name)).max() else {
        return Ok(None);
    };
    let name = file_name(number);
    let content = folder.read(&name).map_err(errors::folder("read the log"))?;
    let mut reader = Reader { name: &name, content: &content, offset: 0 };
    let mut stored = None;
    while let Some(record) = reader.next_record()? {
        match record {
            Record::Disk { disk, replica } => {
                let identity = Identity { replica, disk };
                stored = Some(StoredReplica { identity, addresses: BTreeMap::new() });
            }
            record => record_addresses(stored.as_mut(), &record),
        }
    }
    Ok(stored)
}

fn record_addresses(stored: Option<&mut StoredReplica>, record: &Record) {
    let Some(stored) = stored else { return };
    let members = match record {
        Record::Snapshot(snapshot) => Some(&snapshot.members),
        Record::Entry(entry) => match &entry.command {
            Command::Found { members } => Some(members),
            Command::ReplaceDisk { replica, address: Some(address), .. } => {
                stored.addresses.insert(*replica, address.clone());
                None
            }
            _ => None,
        },
        _ => None,
    };
    if let Some(members) = members {
        stored.addresses.extend(member_slot::by_number(&members.addresses));
    }
}
