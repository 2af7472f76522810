//! Errors of the control role.

use snafu::Snafu;
use std::io;

/// A result whose error is [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Errors of the control role.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The data folder cannot be used.
    #[snafu(display(
        "data folder: cannot {action}: {source}; check that it exists, that this \
                     process may write to it and that the disk has free space"
    ))]
    Folder {
        /// The action that failed.
        action: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A write failed; the file is unchanged.
    #[snafu(display("data folder: a write failed: {source}; free space on the disk"))]
    NotWritten {
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file in the data folder is corrupt.
    #[snafu(display(
        "data folder: {file} cannot be read at byte {offset}: {what}; nothing was dropped. Move \
         the folder away and start this replica on an empty one: it rejoins as a new disk while \
         the other replicas hold a quorum"
    ))]
    Unreadable {
        /// File name.
        file: String,
        /// Offset in the file in bytes.
        offset: u64,
        /// Description of the corruption.
        what: String,
    },
    /// The data folder belongs to a replica with another number.
    #[snafu(display(
        "data folder: it belongs to replica {found}, not {wanted}; correct `replica` or \
         `data_folder` in the settings"
    ))]
    OtherReplica {
        /// Number in the folder.
        found: u64,
        /// Number in the settings.
        wanted: u64,
    },
    /// The member slot of this replica was assigned to another one.
    #[snafu(display(
        "control: the member slot of replica {replica} was assigned to another host while this one \
         was unreachable; its log is set aside, and it requests a new slot when it starts again"
    ))]
    Replaced {
        /// Number of the replica that lost its slot.
        replica: u64,
    },
    /// A listener cannot start or a key cannot be read.
    #[snafu(transparent)]
    Net {
        /// Error of the network layer.
        source: cherrystream_net::errors::Error,
    },
    /// The RPC server cannot start.
    #[snafu(display("cannot serve RPC on {address}: {source}; free the port or choose another"))]
    Rpc {
        /// Address to listen on.
        address: String,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Returns a function that wraps an I/O error with the action that failed.
pub fn folder(action: impl Into<String>) -> impl FnOnce(io::Error) -> Error {
    let action = action.into();
    move |source| Error::Folder { action, source }
}

/// Returns the error for a corrupt file in the data folder.
pub fn unreadable<T>(file: &str, offset: u64, what: impl Into<String>) -> Result<T> {
    Err(Error::Unreadable { file: file.into(), offset, what: what.into() })
}
