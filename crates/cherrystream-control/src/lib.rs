//! The control role: the replicated log on disk, the intent API, and distribution of the shared
//! state to daemons.

#![forbid(unsafe_code)]

pub mod api;
mod applier;
pub mod backlog;
pub mod bootstrap_marker;
pub mod call_batcher;
pub mod call_trace;
pub mod command_trace;
pub mod contacts;
pub mod daemon_registry;
pub mod distribution;
pub mod driver;
pub mod errors;
pub mod folder;
pub mod handle;
pub mod incoming_transfers;
mod join_log;
pub mod leader_client;
pub mod member_slot;
pub mod metrics;
pub mod operators;
pub mod orders;
pub mod peers;
pub mod platform;
mod queue;
mod records;
pub mod registrar;
pub mod release;
pub mod role;
pub mod rollouts;
mod rpc_listener;
pub mod rpc_server;
mod snapshots;
pub mod standby;
pub mod store;
pub mod stored_identity;
pub mod tables;
