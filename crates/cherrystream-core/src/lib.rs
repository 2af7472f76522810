//! Decision logic and types of cherrystream.
//!
//! Every component is a deterministic state machine: events and the current time go in, actions
//! come out. There are no sockets, clocks, files or tasks, and random numbers come from a seed, so
//! that tests can compare whole sessions with golden files.

#![forbid(unsafe_code)]

pub mod admission;
pub mod attempts;
pub mod backpressure;
pub mod choose;
pub mod cold_rate_limit;
pub mod concurrency_limit;
pub mod deadline;
pub mod demand_keep_alive;
pub mod distribution;
pub mod elapsed_time;
pub mod errors;
pub mod health;
pub mod instances;
mod intent_scope;
pub mod keep_alive;
pub mod kinds;
pub mod ledger;
pub mod log_budget;
pub mod nested_calls;
pub mod plan;
pub mod quota;
pub mod raft;
pub mod reasons;
pub mod replica_choice;
pub mod request_times;
pub mod reservations;
pub mod reserve;
pub mod retry;
pub mod rollout;
pub mod routes;
pub mod service_times;
pub mod settings;
pub mod shared;
pub mod silent_connections;
pub mod slowness;
pub mod state;
pub mod suspects;
pub mod suspension;
pub mod text_patch;
pub mod token_bucket;
pub mod transfer;
pub mod units;
pub mod warmth;
mod workspace_plan;
pub mod workspaces;
