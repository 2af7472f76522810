//! Errors of the command line.

use cherrystream_core::settings::SettingsError;
use snafu::Snafu;
use std::io;

/// A result whose error is [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Error of a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The settings are invalid.
    #[snafu(display("{file}: {source}"))]
    Settings {
        /// Path of the file.
        file: String,
        /// Description of the fault.
        source: SettingsError,
    },
    /// The settings file cannot be read.
    #[snafu(display("{file} cannot be read: {source}; check the path"))]
    File {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// An argument is invalid.
    #[snafu(display("{what}; {remedy}"))]
    Usage {
        /// Description of the fault.
        what: String,
        /// How to correct it.
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
    /// A resource of the operating system is not available.
    #[snafu(display("cannot {action}: {source}; check the limits of this host"))]
    Setup {
        /// Action that failed.
        action: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A role stopped by itself.
    #[snafu(display("{what}"))]
    Failed {
        /// Description of the failure.
        what: String,
    },
    /// The control API does not answer, or with an unknown reply.
    #[snafu(display("no answer from the control API at {address}; check --api and that it runs"))]
    NoAnswer {
        /// Address that was called.
        address: String,
    },
    /// The daemon does not answer, or with an unknown reply.
    #[snafu(display(
        "the daemon at {address} does not answer; give the address that its settings name as peer_address in --daemon"
    ))]
    NoDaemon {
        /// Address that was called.
        address: String,
    },
    /// Control has no leader, or does not know the outcome of the call.
    #[snafu(display("{error}; {remedy}"))]
    Unavailable {
        /// Description of the fault.
        error: String,
        /// How to correct it.
        remedy: String,
    },
    /// The control API refused the call.
    #[snafu(display("{error}; {remedy}"))]
    Refused {
        /// Description of the fault.
        error: String,
        /// How to correct it.
        remedy: String,
    },
}

impl Error {
    /// Returns whether the outcome of the call is unknown, so that it has to be repeated.
    pub fn is_unresolved(&self) -> bool {
        matches!(self, Error::NoAnswer { .. } | Error::Unavailable { .. })
    }

    /// Returns whether the error lies in the settings or the arguments.
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

/// Returns the error for an invalid argument.
pub fn usage(what: impl Into<String>, remedy: impl Into<String>) -> Error {
    Error::Usage { what: what.into(), remedy: remedy.into() }
}

/// Returns a function that wraps an I/O error with the action that failed.
pub fn setup(action: &'static str) -> impl FnOnce(io::Error) -> Error {
    move |source| Error::Setup { action, source }
}
