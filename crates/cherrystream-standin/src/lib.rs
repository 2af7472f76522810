//! Stand-ins for backend servers and the platform's list of hosts, and a load generator. Only for
//! tests and for the sample backend servers of `cherrystream try`.

#![forbid(unsafe_code)]

pub mod backend;
pub mod counters;
pub mod faults;
pub mod load;
pub mod platform;
pub mod profile;
pub mod record;
pub mod report;
