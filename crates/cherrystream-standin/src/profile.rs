//! Load profiles: kinds of requests with their shares.

use serde::{Deserialize, Serialize};

/// A kind of request of a load.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadKind {
    /// Service that the request is sent to.
    pub service: String,
    /// Name in the report.
    pub kind: String,
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Frequency of this kind, relative to the other kinds.
    pub share: f64,
    /// Value of an answer in the weighted share of served requests.
    #[serde(default = "one")]
    pub weight: f64,
    /// Size of the body, in bytes.
    #[serde(default)]
    pub body_bytes: usize,
    /// Whether each request has a new idempotency key.
    #[serde(default)]
    pub once: bool,
    /// Deadline sent with the request, in milliseconds.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
}

fn one() -> f64 {
    1.0
}

/// A load profile.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Kinds of request.
    pub kinds: Vec<LoadKind>,
}

fn read(service: &str, kind: &str, path: &str, share: f64, weight: f64) -> LoadKind {
    LoadKind {
        service: service.into(),
        kind: kind.into(),
        method: "GET".into(),
        path: path.into(),
        share,
        weight,
        body_bytes: 0,
        once: false,
        deadline_ms: None,
    }
}

fn once(service: &str, kind: &str, path: &str, share: f64, weight: f64) -> LoadKind {
    LoadKind {
        method: "POST".into(),
        once: true,
        body_bytes: 200,
        ..read(service, kind, path, share, weight)
    }
}

/// Returns the load profile of Prairie Hearth Remittance.
pub fn prairie_hearth() -> Profile {
    Profile {
        kinds: vec![
            read("quotes", "quote", "/quotes", 10.0, 1.0),
            once("payouts", "order", "/orders", 2.0, 5.0),
            once("settlement", "clear", "/clear", 0.5, 4.0),
            read("history", "review", "/review", 4.0, 1.0),
        ],
    }
}

/// Returns the load profile of Hotel Linen Exchange.
pub fn hotel_linen() -> Profile {
    Profile {
        kinds: vec![
            read("stock", "lookup", "/lookup", 10.0, 1.0),
            once("pickup", "book", "/book", 2.0, 4.0),
            once("invoicing", "invoice", "/invoice", 1.0, 3.0),
            read("fleet", "track", "/track", 3.0, 1.0),
        ],
    }
}
