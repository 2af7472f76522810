//! Classification of requests into kinds.

use cherrystream_schema::messages;
use std::time::Duration;

/// Deadline of a request that matches no configured kind.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
/// Weight of a request that matches no configured kind.
pub const DEFAULT_WEIGHT: u32 = 1;

/// Properties of a request that decide how it is balanced.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Name of the kind, or `other`.
    pub kind: String,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the request must run at most once and requires an idempotency key.
    pub needs_key: bool,
    /// Weight for load shedding.
    pub weight: u32,
    /// Time that the call may take.
    pub deadline: Duration,
}

/// Returns the properties of a request: those of the matching kind with the longest path prefix,
/// else defaults for its method.
pub fn classify(service: &messages::Service, method: &str, path: &str) -> RequestClass {
    let matches = |kind: &messages::Kind| {
        kind.method.eq_ignore_ascii_case(method) && path.starts_with(&kind.path_prefix)
    };
    let found = service
        .kinds
        .iter()
        .filter(|(_, kind)| matches(kind))
        .max_by_key(|(_, kind)| kind.path_prefix.len());
    match found {
        Some((name, kind)) => RequestClass {
            kind: name.clone(),
            repeatable: kind.repeatable,
            needs_key: !kind.repeatable,
            weight: kind.weight,
            deadline: Duration::from_millis(kind.deadline_ms),
        },
        None => default_class(method),
    }
}

fn default_class(method: &str) -> RequestClass {
    RequestClass {
        kind: "other".into(),
        repeatable: matches!(method, "GET" | "HEAD"),
        needs_key: false,
        weight: DEFAULT_WEIGHT,
        deadline: DEFAULT_DEADLINE,
    }
}
