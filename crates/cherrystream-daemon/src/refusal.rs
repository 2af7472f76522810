//! The answer to a request that no backend server answered.

use crate::headers;
use cherrystream_core::reasons::Reason;
use cherrystream_net::body::{self, Body};
use cherrystream_schema::messages::ErrorReply;
use http::{Response, StatusCode, header};
use std::time::Duration;

/// A request that was not answered by a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refused {
    /// Why.
    pub reason: Reason,
    /// When it is worth coming back.
    pub retry_after: Duration,
}

/// When a caller comes back whose refusal tells nothing of how long its cause will last.
const RETURN_SOON: Duration = Duration::from_millis(100);
/// When a caller comes back to a daemon that knows no configuration yet: measured after a loss of all power,
/// daemons had theirs 0.4 to 0.7 s after their start. Callers try a few times only.
const RETURN_WHEN_CONFIGURED: Duration = Duration::from_millis(400);

impl Refused {
    /// Creates a refusal that tells nothing of how long its cause will last.
    pub fn new(reason: Reason) -> Refused {
        let retry_after = match reason {
            Reason::NoConfiguration => RETURN_WHEN_CONFIGURED,
            _ => RETURN_SOON,
        };
        Refused { reason, retry_after }
    }
}

/// Writes a refusal as an answer.
pub fn response(refused: Refused) -> Response<Body> {
    let reason = refused.reason;
    let reply = ErrorReply { error: reason.to_string(), remedy: remedy(reason).into() };
    let text = serde_json::to_string(&reply).unwrap_or_default();
    let mut res = Response::new(body::full(text));
    *res.status_mut() = StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let map = res.headers_mut();
    headers::set_static(map, header::CONTENT_TYPE, "application/json");
    headers::set_static(map, headers::OUTCOME, reason.outcome().as_str());
    headers::set_static(map, headers::REASON, reason.as_str());
    if comes_back(reason) {
        let ms = refused.retry_after.as_millis().max(1);
        headers::set(map, header::RETRY_AFTER, ms.div_ceil(1_000));
        headers::set(map, headers::RETRY_AFTER_MS, ms);
    }
    res
}

/// Returns whether sending the same request later can help.
fn comes_back(reason: Reason) -> bool {
    matches!(reason.status(), 429 | 502..=504) || matches!(reason, Reason::StillRunning)
}

fn remedy(reason: Reason) -> &'static str {
    match reason {
        Reason::NoSuchService => "name a service in Cherrystream-Service or the host name",
        Reason::BadRequest => "correct the request",
        Reason::UnknownKey => "send a key of a workspace, as `Authorization: Bearer KEY`",
        Reason::HeldBack => {
            "backend servers ended while they ran it; mend the service or the request, or lift it"
        }
        Reason::RunsAlone => "it was not run: another one like it is on trial; send it again later",
        Reason::OverQuota => "send it again after the time in Retry-After, or raise the quota",
        Reason::KeyMissing => "send an Idempotency-Key, a new one for each new request",
        Reason::KeyTooOld => "ask what became of the first request; send no new one by itself",
        Reason::KeyReused => "send a new Idempotency-Key with each new request",
        Reason::BodyTooLarge => "send a smaller body",
        Reason::StillRunning => "send the same request again later to get its answer",
        Reason::RanBefore => "it ran; ask the service for its result",
        Reason::EarlierUnknown => "it may have run; ask the service before a new request",
        Reason::DeadlinePassed
        | Reason::BackendServerBroke
        | Reason::PeerBroke
        | Reason::HostEnded
        | Reason::WrongCall
        | Reason::AttemptRepeated => {
            "it may have run; send it again only if it may be repeated, or with the same key"
        }
        _ => "it was not run; send it again after the time in Retry-After",
    }
}
