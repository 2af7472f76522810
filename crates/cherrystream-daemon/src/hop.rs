//! Metadata of calls and answers on the hop between two daemons.
//!
//! Per-call values travel in one compact header. HTTP/2 keeps a small header table for each
//! connection, from which values that never repeat would evict those that do.

use crate::headers::{self, Op};
use crate::refusal::Refused;
use cherrystream_core::backpressure::{InstanceKey, RateLimit, SignalHint, SignalReport};
use cherrystream_core::reasons::{Outcome, Reason};
use cherrystream_core::reservations::Reservation;
use cherrystream_core::suspects::Fingerprint;
use cherrystream_net::body::{self, Body};
use cherrystream_schema::messages::Report;
use http::{HeaderMap, Response};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: u128 = 1_000;

/// A fingerprint as eight bytes; a variable-length integer would take ten.
pub type FingerprintBytes = [u8; 8];

/// Encodes a fingerprint.
pub fn write_fingerprint(request: Fingerprint) -> FingerprintBytes {
    request.0.to_le_bytes()
}

/// Decodes a fingerprint.
pub fn read_fingerprint(bytes: FingerprintBytes) -> Fingerprint {
    Fingerprint(u64::from_le_bytes(bytes))
}

/// Serializes call identifiers. Most are 16 hexadecimal digits, which fit in eight bytes.
mod call_id {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    #[derive(Serialize, Deserialize)]
    enum Compact {
        Digits([u8; 8]),
        Text(String),
    }

    pub fn serialize<S: Serializer>(id: &str, to: S) -> Result<S::Ok, S::Error> {
        let number = u64::from_str_radix(id, 16).ok();
        let number = number.filter(|number| digits(*number) == id);
        let compact = match number {
            Some(number) => Compact::Digits(number.to_le_bytes()),
            None => Compact::Text(id.into()),
        };
        compact.serialize(to)
    }

    pub fn deserialize<'a, D: Deserializer<'a>>(from: D) -> Result<String, D::Error> {
        Ok(match Compact::deserialize(from)? {
            Compact::Digits(bytes) => digits(u64::from_le_bytes(bytes)),
            Compact::Text(id) => id,
        })
    }

    fn digits(number: u64) -> String {
        format!("{number:016x}")
    }
}

/// Per-call values sent by the outbound.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallHead {
    /// Identifier of the call.
    #[serde(with = "call_id")]
    pub call: String,
    /// Weight of the call in load shedding.
    pub weight: u32,
    /// Time left until the deadline, in microseconds.
    pub remaining_us: u64,
    /// Longest wait for a slot, in microseconds.
    pub wait_us: u64,
    /// Number of retries that the call may still cause.
    pub allowance: u32,
    /// Whether the inbound refuses the call unless it can be served promptly.
    pub selective: bool,
    /// Time within which an answer is useful, in microseconds, if the route has a target latency.
    pub good_us: Option<u64>,
    /// Slot reserved for the call.
    pub reservation: Option<Reservation>,
    /// Fingerprint of the request, the same for each repetition of it.
    pub request: FingerprintBytes,
    /// Whether the call is to run in isolation.
    pub alone: bool,
}

/// Metadata of an answer, sent by the inbound.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// Identifier of the answered call.
    #[serde(with = "call_id")]
    pub call: String,
    /// Load report of the backend server, if it exists there.
    pub report: Option<Report>,
    /// Milliseconds after which to retry, set on a refusal.
    pub retry_after_ms: u32,
    /// Slot reserved for the call, if requested.
    pub reservation: Option<Reservation>,
}

/// Signals of a backend server, sent by the inbound beside it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ReportedSignals {
    server: String,
    born_ms: u64,
    limit_milli: Option<u64>,
    leaving: bool,
    token_wait_ms: u32,
}

/// What an outbound knows of the signals of the chosen backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct KnownSignals {
    born_ms: u64,
    limit_milli: Option<u64>,
    leaving: bool,
}

/// Writes the signals of a backend server into an answer.
pub fn write_signals(map: &mut HeaderMap, signals: Option<&SignalReport>) {
    let Some(signals) = signals else { return };
    let wait_ms = signals.token_wait.as_micros().div_ceil(MICROS_PER_MILLI);
    let reported = ReportedSignals {
        server: signals.instance.name.to_string(),
        born_ms: signals.instance.born_ms,
        limit_milli: signals.limit.map(RateLimit::as_milli),
        leaving: signals.leaving,
        token_wait_ms: u32::try_from(wait_ms).unwrap_or(u32::MAX),
    };
    headers::set_compact(map, headers::SIGNALS, &reported);
}

/// Reads the signals of a backend server of a service from an answer.
pub fn read_signals(map: &HeaderMap, service: &Arc<str>) -> Option<SignalReport> {
    let reported: ReportedSignals = headers::compact(map, &headers::SIGNALS)?;
    let instance = InstanceKey {
        service: service.clone(),
        name: reported.server.into(),
        born_ms: reported.born_ms,
    };
    Some(SignalReport {
        instance,
        limit: reported.limit_milli.map(RateLimit::from_milli),
        leaving: reported.leaving,
        token_wait: Duration::from_millis(reported.token_wait_ms.into()),
    })
}

/// Writes what is known of the chosen backend server into a call.
pub fn write_hint(map: &mut HeaderMap, hint: Option<&SignalHint>) {
    let Some(hint) = hint else { return };
    let known = KnownSignals {
        born_ms: hint.instance.born_ms,
        limit_milli: hint.limit.map(RateLimit::as_milli),
        leaving: hint.leaving,
    };
    headers::set_compact(map, headers::SIGNALS, &known);
}

/// Reads what the sender of a call knows of the chosen backend server.
pub fn read_hint(map: &HeaderMap, service: &Arc<str>, server: &Arc<str>) -> Option<SignalHint> {
    let known: KnownSignals = headers::compact(map, &headers::SIGNALS)?;
    let instance =
        InstanceKey { service: service.clone(), name: server.clone(), born_ms: known.born_ms };
    let limit = known.limit_milli.map(RateLimit::from_milli);
    Some(SignalHint { instance, limit, leaving: known.leaving })
}

/// Values shared by all calls of one caller to one backend server.
#[derive(Clone, Copy, Debug)]
pub struct CallTarget<'a> {
    /// Service of the backend server.
    pub service: &'a str,
    /// Name of the chosen backend server.
    pub server: &'a str,
    /// Name of the matched route, or the kind of the request.
    pub kind: &'a str,
    /// Service on whose host the request originates, if the host has one.
    pub caller: Option<&'a str>,
    /// Workspace of the request, if any.
    pub workspace: Option<&'a str>,
}

/// Writes the headers of a call.
pub fn write_call(map: &mut HeaderMap, op: Op, target: &CallTarget<'_>, head: &CallHead) {
    headers::set_static(map, headers::OP, op.as_str());
    headers::set(map, headers::SERVICE, target.service);
    headers::set(map, headers::SERVER, target.server);
    headers::set(map, headers::KIND, target.kind);
    if let Some(caller) = target.caller {
        headers::set(map, headers::CALLER, caller);
    }
    if let Some(workspace) = target.workspace {
        headers::set(map, headers::WORKSPACE, workspace);
    }
    headers::set_compact(map, headers::HOP, head);
}

/// Reads the headers of a call.
pub fn read_call(map: &HeaderMap) -> Option<(CallTarget<'_>, CallHead)> {
    let target = CallTarget {
        service: headers::text(map, &headers::SERVICE)?,
        server: headers::text(map, &headers::SERVER)?,
        kind: headers::text(map, &headers::KIND)?,
        caller: headers::text(map, &headers::CALLER),
        workspace: headers::text(map, &headers::WORKSPACE),
    };
    Some((target, headers::compact(map, &headers::HOP)?))
}

/// Writes the answer of a backend server, or a refusal. A refusal has no body here; the outbound
/// writes the body that its caller receives.
pub fn write_answer(
    call: String,
    result: Result<Response<Body>, Refused>,
    report: Option<Report>,
) -> Response<Body> {
    let mut head = AnswerHead { call, report, retry_after_ms: 0, reservation: None };
    let mut res = match result {
        Ok(mut res) => {
            headers::set_static(res.headers_mut(), headers::OUTCOME, Outcome::Answered.as_str());
            res
        }
        Err(refused) => refusal(refused, &mut head),
    };
    headers::set_compact(res.headers_mut(), headers::HOP, &head);
    res
}

/// Writes a reservation, or a refusal.
pub fn write_reservation(
    call: String,
    result: Result<Reservation, Refused>,
    report: Option<Report>,
) -> Response<Body> {
    let mut head = AnswerHead { call, report, retry_after_ms: 0, reservation: None };
    let mut res = match result {
        Ok(reservation) => {
            head.reservation = Some(reservation);
            Response::new(body::empty())
        }
        Err(refused) => refusal(refused, &mut head),
    };
    headers::set_compact(res.headers_mut(), headers::HOP, &head);
    res
}

fn refusal(refused: Refused, head: &mut AnswerHead) -> Response<Body> {
    head.retry_after_ms = u32::try_from(refused.retry_after.as_millis()).unwrap_or(u32::MAX);
    let mut res = Response::new(body::empty());
    headers::set_static(res.headers_mut(), headers::REASON, refused.reason.as_str());
    res
}

/// Reads the metadata of an answer.
pub fn read_answer(map: &HeaderMap) -> Option<AnswerHead> {
    headers::compact(map, &headers::HOP)
}

/// Returns the refusal in an answer, or `None` if a backend server answered. With an unknown
/// reason, the request is considered to have possibly run.
pub fn read_refusal(map: &HeaderMap, head: &AnswerHead) -> Option<Refused> {
    let outcome = headers::text(map, &headers::OUTCOME).and_then(Outcome::read);
    if outcome == Some(Outcome::Answered) {
        return None;
    }
    let reason = headers::text(map, &headers::REASON).and_then(Reason::read);
    let retry_after = Duration::from_millis(head.retry_after_ms.into());
    Some(Refused { reason: reason.unwrap_or(Reason::PeerBroke), retry_after })
}

impl CallHead {
    /// Returns the time left until the deadline.
    pub fn remaining(&self) -> Duration {
        Duration::from_micros(self.remaining_us)
    }

    /// Returns the longest wait for a slot.
    pub fn wait(&self) -> Duration {
        Duration::from_micros(self.wait_us)
    }
}
