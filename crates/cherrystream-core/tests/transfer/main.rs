//! Transfer of long messages between control replicas.

mod lanes;
mod pieces;
mod schedules;
