//! Distribution of the shared state to daemons.
//!
//! A daemon may need a single change or the whole state, over a slow link. A long update is
//! encoded once ([`EncodedUpdate`]) and fetched in chunks. A [`Download`] continues over several
//! connections and replicas, and fails only after a time without progress. Encoded updates are
//! cached in an [`UpdateCache`]. [`FetchScheduler`] lets a few daemons of a failure domain fetch
//! from a remote replica, and the others from these. [`BatchSchedule`] batches changes that are
//! accepted within a short time.

mod batch_schedule;
mod download;
mod encoded;
mod fetch_scheduler;
mod update_cache;
mod weight;

pub use batch_schedule::BatchSchedule;
pub use download::{ChunkError, ChunkOutcome, Download};
pub use encoded::{DecodeError, EncodedUpdate, MAX_UPDATE_BYTES};
pub use fetch_scheduler::{FetchScheduler, FetchSource, Requester};
pub use update_cache::UpdateCache;
pub use weight::{MAX_INLINE_WEIGHT, changes_weight, state_weight};
