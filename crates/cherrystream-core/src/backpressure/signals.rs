//! Signals in an answer of a backend server.

use std::fmt;

/// Longest text that is parsed as a rate.
const MAX_RATE_CHARS: usize = 32;
/// Thousandths of a request per second in one request per second.
const MILLI: f64 = 1_000.0;

/// Requests per second that a backend server accepts from all callers together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RateLimit {
    per_second: f64,
}

impl RateLimit {
    /// Parses a decimal number of requests per second; signs and exponents are invalid.
    pub fn parse(text: &str) -> Option<RateLimit> {
        let text = text.trim();
        let is_decimal = text.chars().all(|c| c.is_ascii_digit() || c == '.');
        if !is_decimal || text.len() > MAX_RATE_CHARS {
            return None;
        }
        Some(RateLimit { per_second: text.parse().ok()? })
    }

    /// Creates a limit from thousandths of a request per second.
    pub fn from_milli(milli: u64) -> RateLimit {
        RateLimit { per_second: milli as f64 / MILLI }
    }

    /// Returns the limit in thousandths of a request per second.
    pub fn as_milli(self) -> u64 {
        (self.per_second * MILLI).round() as u64
    }

    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        self.per_second
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} requests/s", self.per_second)
    }
}

/// A value that an answer may state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stated<T> {
    /// The answer does not state it.
    #[default]
    Absent,
    /// The answer states this value.
    Value(T),
    /// The answer states something that cannot be read.
    Unreadable,
}

impl<T> Stated<T> {
    /// Reads a value from the texts of its header. Several are ambiguous.
    pub fn read<'a>(
        mut texts: impl Iterator<Item = Option<&'a str>>,
        parse: impl FnOnce(&'a str) -> Option<T>,
    ) -> Stated<T> {
        let Some(first) = texts.next() else { return Stated::Absent };
        let text = first.filter(|_| texts.next().is_none());
        text.and_then(parse).map_or(Stated::Unreadable, Stated::Value)
    }
}

/// Signals in an answer of a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signals {
    /// The rate limit.
    pub rate_limit: Stated<RateLimit>,
    /// Whether the backend server is leaving.
    pub leaving: Stated<bool>,
}

impl Signals {
    /// Parses whether a backend server is leaving.
    pub fn parse_leaving(text: &str) -> Option<bool> {
        match text.trim() {
            "1" => Some(true),
            "0" => Some(false),
            _ => None,
        }
    }
}
