//! Names of the headers, and how their values are read and written.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::str::FromStr;

/// Service that a caller asks for.
pub const SERVICE: HeaderName = HeaderName::from_static("cherrystream-service");
/// Milliseconds that the call may take.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("cherrystream-deadline-ms");
/// Key of a request that may not be repeated.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// What is known of the request.
pub const OUTCOME: HeaderName = HeaderName::from_static("cherrystream-outcome");
/// Why the request was not answered by a backend server.
pub const REASON: HeaderName = HeaderName::from_static("cherrystream-reason");
/// Milliseconds after which to come back.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("cherrystream-retry-after-ms");
/// Set on an answer that was given before.
pub const REPLAYED: HeaderName = HeaderName::from_static("cherrystream-replayed");
/// Identifier of the call.
pub const CALL: HeaderName = HeaderName::from_static("cherrystream-call");
/// Retries that the call may still cause.
pub const ALLOWANCE: HeaderName = HeaderName::from_static("cherrystream-retry-allowance");
/// Newest revision that the sender holds.
pub const REVISION: HeaderName = HeaderName::from_static("cherrystream-revision");
/// Key of the system's own processes.
pub const KEY: HeaderName = HeaderName::from_static("cherrystream-key");
/// What a daemon asks of another; see [`Op`].
pub const OP: HeaderName = HeaderName::from_static("cherrystream-op");
/// Backend server that a daemon chose.
pub const SERVER: HeaderName = HeaderName::from_static("cherrystream-server");
/// What differs from call to call on the hop between two daemons, in compact form; see
/// [`crate::hop`].
pub const HOP: HeaderName = HeaderName::from_static("cherrystream-hop");
/// Route that took the request, or its kind.
pub const KIND: HeaderName = HeaderName::from_static("cherrystream-kind");
/// Service on whose host the request began.
pub const CALLER: HeaderName = HeaderName::from_static("cherrystream-caller");
/// Workspace that a request belongs to.
pub const WORKSPACE: HeaderName = HeaderName::from_static("cherrystream-workspace");
/// Milliseconds for which a backend server is still cold, on its reports and health answers.
pub const COLD_MS: HeaderName = HeaderName::from_static("cherrystream-cold-ms");
/// Claim of an unrepeatable request, as JSON.
pub const CLAIM: HeaderName = HeaderName::from_static("cherrystream-claim");
/// Part of an encoded update that is asked for, as JSON.
pub const CHUNK: HeaderName = HeaderName::from_static("cherrystream-chunk");
/// What became of an attempt, as JSON.
pub const FATE: HeaderName = HeaderName::from_static("cherrystream-fate");

/// Beginning of the names that belong to the system.
const OWN_PREFIX: &str = "cherrystream-";
/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// What a daemon asks of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    /// To pass a request to a backend server.
    Call,
    /// To keep a slot for a request that follows; see [`cherrystream_core::reservations`].
    Reserve,
    /// To tell what became of an attempt, and forbid it if it has not begun.
    Fence,
    /// For an offer of the shared state that it holds.
    Fetch,
    /// For a part of an update that it holds; see [`cherrystream_core::distribution`].
    Chunk,
    /// For credits of a quota; see [`cherrystream_core::quota`].
    Quota,
    /// To take and tell what is known of requests that end backend servers; see [`cherrystream_core::suspects`].
    Suspects,
    /// For a list of these, for operators.
    SuspectList,
    /// To clear one of them, as an operator wants it.
    SuspectLift,
}

impl Op {
    const ALL: [Op; 9] = [
        Op::Call,
        Op::Reserve,
        Op::Fence,
        Op::Fetch,
        Op::Chunk,
        Op::Quota,
        Op::Suspects,
        Op::SuspectList,
        Op::SuspectLift,
    ];

    /// Returns the value of the header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Op::Call => "call",
            Op::Reserve => "reserve",
            Op::Fence => "fence",
            Op::Fetch => "fetch",
            Op::Chunk => "chunk",
            Op::Quota => "quota",
            Op::Suspects => "suspects",
            Op::SuspectList => "suspect-list",
            Op::SuspectLift => "suspect-lift",
        }
    }

    /// Reads the value of the header.
    pub fn read(headers: &HeaderMap) -> Option<Op> {
        let text = text(headers, &OP)?;
        Op::ALL.into_iter().find(|op| op.as_str() == text)
    }
}

/// Returns a header's value as text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns a header's value, read from its text.
pub fn parsed<T: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    text(headers, name)?.parse().ok()
}

/// Returns a header's value, read from its JSON form.
pub fn json<T: DeserializeOwned>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    serde_json::from_slice(headers.get(name)?.as_bytes()).ok()
}

/// Sets a header; a value that cannot stand in one is left out.
pub fn set(headers: &mut HeaderMap, name: HeaderName, value: impl ToString) {
    if let Ok(value) = HeaderValue::try_from(value.to_string()) {
        headers.insert(name, value);
    }
}

/// Sets a header to a value that needs no check.
pub fn set_static(headers: &mut HeaderMap, name: HeaderName, value: &'static str) {
    headers.insert(name, HeaderValue::from_static(value));
}

/// Sets a header to a JSON form.
pub fn set_json(headers: &mut HeaderMap, name: HeaderName, value: &impl Serialize) {
    if let Ok(text) = serde_json::to_string(value) {
        set(headers, name, text);
    }
}

/// Sets a header to the compact form of a value.
pub fn set_compact(headers: &mut HeaderMap, name: HeaderName, value: &impl Serialize) {
    if let Ok(bytes) = postcard::to_stdvec(value) {
        set(headers, name, URL_SAFE_NO_PAD.encode(bytes));
    }
}

/// Reads the compact form of a value.
pub fn compact<T: DeserializeOwned>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    let bytes = URL_SAFE_NO_PAD.decode(headers.get(name)?).ok()?;
    postcard::from_bytes(&bytes).ok()
}

/// Removes the headers that concern one connection only, and those that they name.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
}

/// Removes the system's own headers, which no caller or backend server may set for others.
pub fn remove_own(headers: &mut HeaderMap) {
    let own: Vec<HeaderName> =
        headers.keys().filter(|name| name.as_str().starts_with(OWN_PREFIX)).cloned().collect();
    for name in &own {
        headers.remove(name);
    }
}
