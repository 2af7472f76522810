//! Processes, HTTP client and relays for the tests.

pub mod client;
pub mod process;
pub mod relay;
pub mod site;
pub mod wait;
