//! Units: timestamps and revisions.

use std::fmt;
use std::ops::Add;
use std::time::Duration;

pub use cherrystream_schema::messages::Revision;

/// Microseconds since the start of the process, from a monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Creates the timestamp `millis` milliseconds after the start.
    pub const fn from_millis(millis: u64) -> Self {
        Timestamp(millis * 1_000)
    }

    /// Returns the time since `earlier`, or zero if that is later.
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the timestamp `age` earlier, or `None` if that is before the start.
    pub fn earlier(self, age: Duration) -> Option<Timestamp> {
        self.0.checked_sub(micros(age)).map(Timestamp)
    }

    /// Returns the whole milliseconds since the start.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, rhs: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(micros(rhs)))
    }
}

/// Returns a duration in whole microseconds, saturating at `u64::MAX`.
pub fn micros(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}

/// Formats a revision as `term.index`.
pub struct DisplayRevision(pub Revision);

impl fmt::Display for DisplayRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.0.term, self.0.index)
    }
}

/// Parses a revision of the form `term.index`.
pub fn parse_revision(text: &str) -> Option<Revision> {
    let (term, index) = text.split_once('.')?;
    Some(Revision { term: term.parse().ok()?, index: index.parse().ok()? })
}
