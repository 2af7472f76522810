//! Text of a session for golden files: a line for each event, followed by the decision.

use cherrystream_core::units::Timestamp;
use std::fmt::{Debug, Write};

/// Text of a session.
#[derive(Default)]
pub struct Session(pub String);

impl Session {
    /// Appends an event and its decision.
    pub fn event(&mut self, event: &str, decided: impl Debug) {
        let _ = writeln!(self.0, "{event}\n    {decided:?}");
    }
}

/// Returns the timestamp a number of milliseconds after the start.
pub fn ms(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}
