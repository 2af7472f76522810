//! Header names, and helpers that read and write header values.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::str::FromStr;

/// Name of the requested service.
pub const SERVICE: HeaderName = HeaderName::from_static("cherrystream-service");
/// Remaining deadline of the call, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("cherrystream-deadline-ms");
/// Idempotency key of a non-repeatable request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Outcome of the request.
pub const OUTCOME: HeaderName = HeaderName::from_static("cherrystream-outcome");
/// Reason for which no backend server answered the request.
pub const REASON: HeaderName = HeaderName::from_static("cherrystream-reason");
/// Milliseconds after which to retry.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("cherrystream-retry-after-ms");
/// Marks a response that repeats the response to an earlier attempt.
pub const REPLAYED: HeaderName = HeaderName::from_static("cherrystream-replayed");
/// Identifier of the call.
pub const CALL: HeaderName = HeaderName::from_static("cherrystream-call");
/// Number of retries that the call may still cause.
pub const ALLOWANCE: HeaderName = HeaderName::from_static("cherrystream-retry-allowance");
/// Newest revision held by the sender.
pub const REVISION: HeaderName = HeaderName::from_static("cherrystream-revision");
/// Shared key that authenticates the system's own processes.
pub const KEY: HeaderName = HeaderName::from_static("cherrystream-key");
/// Operation requested of another daemon; see [`Op`].
pub const OP: HeaderName = HeaderName::from_static("cherrystream-op");
/// Chosen backend server.
pub const SERVER: HeaderName = HeaderName::from_static("cherrystream-server");
/// Per-call values exchanged between two daemons, in compact form; see [`crate::hop`].
pub const HOP: HeaderName = HeaderName::from_static("cherrystream-hop");
/// Name of the matched route, or the kind of the request.
pub const KIND: HeaderName = HeaderName::from_static("cherrystream-kind");
/// Service on whose host the request originates.
pub const CALLER: HeaderName = HeaderName::from_static("cherrystream-caller");
/// Workspace of the request.
pub const WORKSPACE: HeaderName = HeaderName::from_static("cherrystream-workspace");
/// Milliseconds for which a backend server remains cold, sent with its load reports and health
/// responses.
pub const COLD_MS: HeaderName = HeaderName::from_static("cherrystream-cold-ms");
/// Rate limit and leaving of a backend server, in compact form; see [`crate::hop`]. Between daemons,
/// and only while there are any.
pub const SIGNALS: HeaderName = HeaderName::from_static("cherrystream-signals");
/// Requests per second that a backend server accepts, in its answers.
pub const SERVER_LIMIT: HeaderName = HeaderName::from_static("cherrystream-server-limit");
/// 1 in the answers of a backend server that is leaving.
pub const SERVER_LEAVING: HeaderName = HeaderName::from_static("cherrystream-server-leaving");
/// Claim of a non-repeatable request, as JSON.
pub const CLAIM: HeaderName = HeaderName::from_static("cherrystream-claim");
/// 1 if a call is sent again once its connection to the backend server is known to be silent.
pub const RESENDABLE: HeaderName = HeaderName::from_static("cherrystream-resendable");
/// Requested chunk of an encoded update, as JSON.
pub const CHUNK: HeaderName = HeaderName::from_static("cherrystream-chunk");
/// State of an attempt, as JSON.
pub const FATE: HeaderName = HeaderName::from_static("cherrystream-fate");

/// Prefix of the system's own headers.
const OWN_PREFIX: &str = "cherrystream-";
/// Headers that apply to a single connection.
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

/// Operation requested of another daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    /// Forwards a request to a backend server.
    Call,
    /// Reserves a slot for a request that follows; see [`cherrystream_core::reservations`].
    Reserve,
    /// Returns the state of an attempt, and fences it if it has not started.
    Fence,
    /// Returns an offer of the shared state held by the peer.
    Fetch,
    /// Returns a chunk of an update held by the peer; see [`cherrystream_core::distribution`].
    Chunk,
    /// Leases credits of a quota; see [`cherrystream_core::quota`].
    Quota,
    /// Exchanges records of suspect requests; see [`cherrystream_core::suspects`].
    Suspects,
    /// Lists the suspect requests, for an operator.
    SuspectList,
    /// Clears a suspect request, for an operator.
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

    /// Returns the header value.
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

    /// Reads the operation from the headers.
    pub fn read(headers: &HeaderMap) -> Option<Op> {
        let text = text(headers, &OP)?;
        Op::ALL.into_iter().find(|op| op.as_str() == text)
    }
}

/// Returns a header's value as text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns all values of a header as text; `None` for one that is not text.
pub fn texts<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> impl Iterator<Item = Option<&'a str>> {
    headers.get_all(name).iter().map(|value| value.to_str().ok())
}

/// Returns a header's value, parsed from its text.
pub fn parsed<T: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    text(headers, name)?.parse().ok()
}

/// Returns a header's value, parsed from JSON.
pub fn json<T: DeserializeOwned>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    serde_json::from_slice(headers.get(name)?.as_bytes()).ok()
}

/// Sets a header; a value that is not valid in a header is omitted.
pub fn set(headers: &mut HeaderMap, name: HeaderName, value: impl ToString) {
    if let Ok(value) = HeaderValue::try_from(value.to_string()) {
        headers.insert(name, value);
    }
}

/// Sets a header to a value that needs no validation.
pub fn set_static(headers: &mut HeaderMap, name: HeaderName, value: &'static str) {
    headers.insert(name, HeaderValue::from_static(value));
}

/// Sets a header to a value encoded as JSON.
pub fn set_json(headers: &mut HeaderMap, name: HeaderName, value: &impl Serialize) {
    if let Ok(text) = serde_json::to_string(value) {
        set(headers, name, text);
    }
}

/// Sets a header to a value in compact form: postcard in URL-safe base64.
pub fn set_compact(headers: &mut HeaderMap, name: HeaderName, value: &impl Serialize) {
    if let Ok(bytes) = postcard::to_stdvec(value) {
        set(headers, name, URL_SAFE_NO_PAD.encode(bytes));
    }
}

/// Returns a header's value, decoded from the compact form.
pub fn compact<T: DeserializeOwned>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    let bytes = URL_SAFE_NO_PAD.decode(headers.get(name)?).ok()?;
    postcard::from_bytes(&bytes).ok()
}

/// Removes hop-by-hop headers, including those listed in `Connection`.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    remove_hop_by_hop_except(headers, |_| false);
}

/// Like [`remove_hop_by_hop`], but keeps some of the headers listed in `Connection`.
pub fn remove_hop_by_hop_except(headers: &mut HeaderMap, is_kept: impl Fn(&HeaderName) -> bool) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !is_kept(name))
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
}

/// Removes the system's own headers, which callers may not set.
pub fn remove_own(headers: &mut HeaderMap) {
    remove_own_except(headers, &[]);
}

/// Removes the system's own headers from an answer, except those that backend servers set for their
/// callers.
pub fn remove_own_from_answer(headers: &mut HeaderMap) {
    remove_own_except(headers, &[SERVER_LIMIT, SERVER_LEAVING]);
}

fn remove_own_except(headers: &mut HeaderMap, kept: &[HeaderName]) {
    let is_removed =
        |name: &&HeaderName| name.as_str().starts_with(OWN_PREFIX) && !kept.contains(name);
    let names: Vec<HeaderName> = headers.keys().filter(is_removed).cloned().collect();
    for name in &names {
        headers.remove(name);
    }
}
