//! Networking shared by the daemon and control: listeners, connection pools, bodies, the clock, the
//! shared key, and the RPC interface of control.

#![forbid(unsafe_code)]

pub mod activity;
pub mod body;
pub mod chunks;
pub mod clock;
pub mod connection_metrics;
pub mod errors;
mod fair;
pub mod framing;
pub mod interface;
pub mod key;
mod late_answers;
pub mod managed_client;
pub mod observe;
mod overhead;
pub mod pool;
pub mod rpc;
pub mod seeds;
pub mod serve;
pub mod stall;
pub mod suspensions;
pub mod tcp;
