//! The daemon role: accepts calls, chooses a backend server for each, and protects the backend
//! servers of its own host from overload.
//!
//! Locks are taken in this order and never across an await: the download in progress, the current
//! configuration, tables of backend servers, the backend servers of this host, the admission of one
//! of them, attempts. The cache of encoded updates and the last state that control announced are
//! never locked together with another lock. The configuration of the quotas is locked before their
//! policy, and both never together with another lock. The signals that an outbound knows of are
//! locked last.

#![forbid(unsafe_code)]

pub mod current_config;
pub mod errors;
pub mod headers;
pub mod health_checks;
mod health_requests;
pub mod hop;
pub mod inbound;
pub mod instances;
pub mod ledger;
pub mod local_server;
pub mod local_servers;
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
