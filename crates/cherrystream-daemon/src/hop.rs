//! What two daemons tell each other about a call, on the hop between them.
//!
//! Values that differ from call to call travel in one compact header. HTTP/2 keeps a small table of
//! headers for each connection, and a value that never comes again only pushes out those that do.

use crate::headers::{self, Op};
use crate::refusal::Refused;
use cherrystream_core::reasons::{Outcome, Reason};
use cherrystream_core::reservations::Reservation;
use cherrystream_core::suspects::Fingerprint;
use cherrystream_net::body::{self, Body};
use cherrystream_schema::messages::Report;
use http::{HeaderMap, Response};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A fingerprint in eight bytes: its compact form would take ten.
pub type FingerprintBytes = [u8; 8];

/// Writes a fingerprint.
pub fn write_fingerprint(request: Fingerprint) -> FingerprintBytes {
    request.0.to_le_bytes()
}

/// Reads a fingerprint.
pub fn read_fingerprint(bytes: FingerprintBytes) -> Fingerprint {
    Fingerprint(u64::from_le_bytes(bytes))
}

/// Identifiers of calls. Those that the system makes, and most others, are 16 hexadecimal digits, which take half as many bytes.
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

/// What differs from call to call, as the outbound says it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallHead {
    /// Identifier of the call.
    #[serde(with = "call_id")]
    pub call: String,
    /// Weight when load is shed.
    pub weight: u32,
    /// Microseconds that remain of the call.
    pub remaining_us: u64,
    /// Microseconds that it may wait for a slot.
    pub wait_us: u64,
    /// Retries that it may still cause.
    pub allowance: u32,
    /// Whether it is to be let in only where it is served well.
    pub selective: bool,
    /// Microseconds within which an answer is good, where the route tells.
    pub good_us: Option<u64>,
    /// Slot that was reserved for it.
    pub reservation: Option<Reservation>,
    /// Stands for the request whenever it comes again.
    pub request: FingerprintBytes,
    /// Whether it was sent here to run alone.
    pub alone: bool,
}

/// What goes with an answer, as the inbound says it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// Identifier of the call that is answered.
    #[serde(with = "call_id")]
    pub call: String,
    /// Word on the backend server, if it is there.
    pub report: Option<Report>,
    /// Milliseconds after which to come back, on a refusal.
    pub retry_after_ms: u32,
    /// Slot that is kept for the call, if it asked for one.
    pub reservation: Option<Reservation>,
}

/// What does not differ between the calls of one caller to one backend server.
#[derive(Clone, Copy, Debug)]
pub struct Aim<'a> {
    /// Service of the backend server.
    pub service: &'a str,
    /// Backend server that was chosen.
    pub server: &'a str,
    /// Route that took the request, or its kind.
    pub kind: &'a str,
    /// Service on whose host the request began, where hosts have one.
    pub caller: Option<&'a str>,
    /// Workspace that the request belongs to, where there are workspaces.
    pub workspace: Option<&'a str>,
}

/// Writes a call's part of the headers.
pub fn write_call(map: &mut HeaderMap, op: Op, aim: &Aim<'_>, head: &CallHead) {
    headers::set_static(map, headers::OP, op.as_str());
    headers::set(map, headers::SERVICE, aim.service);
    headers::set(map, headers::SERVER, aim.server);
    headers::set(map, headers::KIND, aim.kind);
    if let Some(caller) = aim.caller {
        headers::set(map, headers::CALLER, caller);
    }
    if let Some(workspace) = aim.workspace {
        headers::set(map, headers::WORKSPACE, workspace);
    }
    headers::set_compact(map, headers::HOP, head);
}

/// Reads a call's part of the headers.
pub fn read_call(map: &HeaderMap) -> Option<(Aim<'_>, CallHead)> {
    let aim = Aim {
        service: headers::text(map, &headers::SERVICE)?,
        server: headers::text(map, &headers::SERVER)?,
        kind: headers::text(map, &headers::KIND)?,
        caller: headers::text(map, &headers::CALLER),
        workspace: headers::text(map, &headers::WORKSPACE),
    };
    Some((aim, headers::compact(map, &headers::HOP)?))
}

/// Writes a backend server's answer, or why there is none. A refusal has no body here: the outbound
/// writes the one that its caller gets.
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

/// Writes the slot that is kept for a call, or why there is none.
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

/// Reads what goes with an answer.
pub fn read_answer(map: &HeaderMap) -> Option<AnswerHead> {
    headers::compact(map, &headers::HOP)
}

/// Returns why there is no answer; `None` when there is one. A peer that gives no reason that is
/// known here may have run the request.
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
    /// Returns the time that remains of the call.
    pub fn remaining(&self) -> Duration {
        Duration::from_micros(self.remaining_us)
    }

    /// Returns the time that the call may wait for a slot.
    pub fn wait(&self) -> Duration {
        Duration::from_micros(self.wait_us)
    }
}
