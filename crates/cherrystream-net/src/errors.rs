//! Errors of listeners, keys and connections.

use snafu::Snafu;
use std::io;

/// A result whose error is [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Errors of listeners, secrets and connections.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}; free the port or choose another"))]
    Listen {
        /// Address to listen on.
        address: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A key or token file cannot be used.
    #[snafu(display("cannot use {path}: {what}; write a secret of 16 bytes or more to it"))]
    Secret {
        /// Path of the file.
        path: String,
        /// Description of the problem. Never contains the secret.
        what: String,
    },
    /// A control replica cannot be reached.
    #[snafu(display("cannot reach control at {address}: {what}; check that it runs"))]
    Connect {
        /// Address of the replica.
        address: String,
        /// Error of the client.
        what: String,
    },
}

/// Returns the error for a key or token file.
pub fn secret(path: &str, what: impl ToString) -> Error {
    Error::Secret { path: path.into(), what: what.to_string() }
}

/// Returns the error for a control replica that cannot be reached.
pub fn connect(address: &str, what: impl ToString) -> Error {
    Error::Connect { address: address.into(), what: what.to_string() }
}
