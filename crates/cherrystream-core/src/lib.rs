//! Decision logic and types of cherrystream.
//!
//! Every component is a deterministic state machine: events and the current time go in, actions
//! come out. There are no sockets, clocks, files or tasks, and random numbers come from a seed, so
//! that tests can compare whole sessions with golden files.

#![forbid(unsafe_code)]

pub mod admission;
pub mod attempts;
pub mod call_times;
pub mod callers;
pub mod choose;
pub mod cold_pace;
pub mod deadline;
pub mod distribution;
pub mod errors;
pub mod first_asked;
pub mod instances;
pub mod kinds;
pub mod ledger;
pub mod log_budget;
pub mod measuring;
pub mod pace;
pub mod plan;
pub mod quota;
pub mod raft;
pub mod reasons;
pub mod replica_choice;
pub mod reservations;
pub mod reserve;
pub mod retry;
pub mod rollout;
pub mod room;
pub mod routes;
pub mod settings;
pub mod shared;
pub mod state;
pub mod suspects;
pub mod text_patch;
pub mod transfer;
pub mod units;
pub mod usual_times;
pub mod warmth;
mod workspace_plan;
pub mod workspaces;
