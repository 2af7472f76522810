//! Finds the kind of a request.

use cherrystream_schema::messages;
use std::time::Duration;

/// Deadline of a request whose kind no operator has described.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
/// Weight of a request whose kind no operator has described.
pub const DEFAULT_WEIGHT: u32 = 1;

/// What the balancer must know of a request before it sends it on.
#[derive(Clone, Debug, PartialEq)]
pub struct Treatment {
    /// Name of the kind, or `other`.
    pub kind: String,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the request must run at most once and so needs a key.
    pub needs_key: bool,
    /// Weight when load is shed.
    pub weight: u32,
    /// Time that the call may take.
    pub deadline: Duration,
}

/// Returns how a request is treated: by the kind with the longest prefix that fits, else by its
/// method alone.
pub fn treatment(service: &messages::Service, method: &str, path: &str) -> Treatment {
    let fits = |kind: &messages::Kind| {
        kind.method.eq_ignore_ascii_case(method) && path.starts_with(&kind.path_prefix)
    };
    let found = service
        .kinds
        .iter()
        .filter(|(_, kind)| fits(kind))
        .max_by_key(|(_, kind)| kind.path_prefix.len());
    match found {
        Some((name, kind)) => Treatment {
            kind: name.clone(),
            repeatable: kind.repeatable,
            needs_key: !kind.repeatable,
            weight: kind.weight,
            deadline: Duration::from_millis(kind.deadline_ms),
        },
        None => undescribed(method),
    }
}

fn undescribed(method: &str) -> Treatment {
    Treatment {
        kind: "other".into(),
        repeatable: matches!(method, "GET" | "HEAD"),
        needs_key: false,
        weight: DEFAULT_WEIGHT,
        deadline: DEFAULT_DEADLINE,
    }
}
