//! Tests with real processes on loopback, with kills, freezes, partitions and lost disks.

mod access;
mod bad_input;
mod callers;
mod control;
mod ending;
mod half_open;
mod late_commands;
mod leaving;
mod limits;
mod odd_answers;
mod odd_requests;
mod once;
mod operators;
// Shared with the soak test, which uses more of it.
#[allow(dead_code)]
#[path = "../../../../platform/tests/support/orders.rs"]
mod orders;
mod path;
mod peers;
mod places;
mod relay;
mod rollouts;
mod silence;
mod silent_calls;
mod silent_control;
mod silent_operator;
// Shared with the soak test, which uses more of it.
#[allow(dead_code)]
mod support;
mod transfers;
mod truth;
mod workspaces;
