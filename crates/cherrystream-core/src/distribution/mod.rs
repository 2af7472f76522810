//! How the shared state reaches every daemon.
//!
//! What a daemon lacks may be a line or the whole state, and its link may be thin. So a long update is
//! [`Encoded`] once and fetched in chunks: what has come of a [`Download`] outlasts connections and
//! replicas, and what counts is the time without progress, never the time in all. Encoded updates are
//! kept in a [`Library`] for those who ask next, and [`Crossing`] lets few daemons of a failure domain
//! fetch from afar while the others wait for one of them. Changes that come together are told together
//! ([`Gather`]).

mod crossing;
mod download;
mod encoded;
mod gather;
mod library;
mod weight;

pub use crossing::{Asker, Crossing, Way};
pub use download::{ChunkFault, Download, Taken};
pub use encoded::{BYTES_AT_MOST, Encoded, Unreadable};
pub use gather::Gather;
pub use library::Library;
pub use weight::{LIGHT, of_changes, of_state};
