//! The daemon role: takes calls, chooses a backend server, and guards those of its own host.
//!
//! Locks are taken in this order and never across an await: the download under way, held configuration,
//! tables of backend servers, doors, a door's admission, attempts. The library of encoded updates, and what
//! control told of last, are taken with no other lock.
//! What quotas were told of the configuration is locked before their policy, and both with no other lock.

#![forbid(unsafe_code)]

pub mod current_config;
pub mod door;
pub mod doors;
pub mod errors;
pub mod headers;
pub mod hop;
pub mod inbound;
pub mod instances;
pub mod ledger;
pub mod measure;
pub mod metrics;
pub mod outbound;
pub mod own_interface;
pub mod peer;
pub mod peer_server;
pub mod quotas;
pub mod refusal;
pub mod request_log;
pub mod role;
pub mod suspects;
pub mod sync;
