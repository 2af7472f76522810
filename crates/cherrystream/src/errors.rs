//! Errors of the command line.

use cherrystream_core::settings::SettingsError;
use snafu::Snafu;
use std::io;

/// A result whose error is [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// What can go wrong in a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The settings cannot be used.
    #[snafu(display("{file}: {source}"))]
    Settings {
        /// The file.
        file: String,
        /// What is wrong.
        source: SettingsError,
    },
    /// The settings file cannot be read.
    #[snafu(display("{file} cannot be read: {source}; check the path"))]
    File {
        /// The file.
        file: String,
        /// What the system says.
        source: io::Error,
    },
    /// An argument cannot be used.
    #[snafu(display("{what}; {remedy}"))]
    Usage {
        /// What is wrong.
        what: String,
        /// What to do about it.
        remedy: String,
    },
    /// The control role failed.
    #[snafu(transparent)]
    Control {
        /// The cause.
        source: cherrystream_control::errors::Error,
    },
    /// The daemon role failed.
    #[snafu(transparent)]
    Daemon {
        /// The cause.
        source: cherrystream_daemon::errors::Error,
    },
    /// A listener or key failed.
    #[snafu(transparent)]
    Net {
        /// The cause.
        source: cherrystream_net::errors::Error,
    },
    /// The process cannot be set up.
    #[snafu(display("cannot {action}: {source}; check the limits of this host"))]
    Setup {
        /// What was tried.
        action: &'static str,
        /// What the system says.
        source: io::Error,
    },
    /// A role stopped by itself.
    #[snafu(display("{what}"))]
    Failed {
        /// Why.
        what: String,
    },
    /// The control API does not answer.
    #[snafu(display("no answer from the control API at {address}; check --api and that it runs"))]
    NoAnswer {
        /// The address.
        address: String,
    },
    /// A daemon did not answer.
    #[snafu(display(
        "the daemon at {address} does not answer; give the address that its settings name as peer_address in --daemon"
    ))]
    NoDaemon {
        /// The address.
        address: String,
    },
    /// The control API refused the call.
    #[snafu(display("{error}; {remedy}"))]
    Refused {
        /// What is wrong.
        error: String,
        /// What to do about it.
        remedy: String,
    },
}

impl Error {
    /// Returns whether the settings or arguments are at fault.
    pub fn is_usage(&self) -> bool {
        matches!(
            self,
            Error::Settings { .. }
                | Error::File { .. }
                | Error::Usage { .. }
                | Error::Net { source: cherrystream_net::errors::Error::Secret { .. } }
        )
    }
}

/// Returns the error for an argument that cannot be used.
pub fn usage(what: impl Into<String>, remedy: impl Into<String>) -> Error {
    Error::Usage { what: what.into(), remedy: remedy.into() }
}

/// Returns a function that turns an I/O error into one that names the action.
pub fn setup(action: &'static str) -> impl FnOnce(io::Error) -> Error {
    move |source| Error::Setup { action, source }
}
