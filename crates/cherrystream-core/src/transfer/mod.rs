//! Transfer of long messages between control replicas.
//!
//! A message whose size grows with the state is sent in pieces, with lower priority than short
//! messages. A transfer resumes after a connection breaks and fails only after a time without
//! progress. [`Outbox`] queues the messages to one replica, [`Sending`] and [`Receiving`] are the
//! two ends of a transfer, and [`PieceSize`] limits the size of pieces so that they do not delay
//! heartbeats.

mod content;
mod outbox;
mod packing;
mod piece_size;
mod receiving;
mod sending;

pub use outbox::Outbox;
pub use packing::{DecodeError, pack, unpack};
pub use piece_size::PieceSize;
pub use receiving::{PieceError, PieceOutcome, Receiving};
pub use sending::Sending;

use std::time::Duration;

/// Time without progress after which the sender aborts a transfer. It is longer than the time until
/// an unreachable replica is replaced. That takes 10 s at most; on a link that comes back within
/// three times that, the transfer resumes.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time without progress after which the receiver discards a transfer, later than the sender.
pub const PARTIAL_TTL: Duration = Duration::from_secs(60);
