//! Settings and messages of cherrystream.
//!
//! The types are generated from the JSON Schema files under `schema/`; the generated code is
//! committed, so that a build needs no generator. `tests/regenerate.rs` compares the two.

#![forbid(unsafe_code)]

/// Messages between the system's processes, and the intent API.
#[rustfmt::skip]
#[allow(missing_docs, clippy::all, dead_code, unused_imports, unused_mut)]
#[path = "generated/messages.rs"]
pub mod messages;

/// Settings of a process.
#[rustfmt::skip]
#[allow(missing_docs, clippy::all, dead_code, unused_imports, unused_mut)]
#[path = "generated/settings.rs"]
pub mod settings;
