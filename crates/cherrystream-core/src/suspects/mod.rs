//! Requests that end the backend servers that run them: what is known of each, and what follows from it.

pub mod identity;
