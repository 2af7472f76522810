//! Errors of the daemon role.

use snafu::Snafu;

/// A result whose error is [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An error at the start of the daemon role.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A listener could not be opened or a key could not be read.
    #[snafu(transparent)]
    Net {
        /// The cause.
        source: cherrystream_net::errors::Error,
    },
}
