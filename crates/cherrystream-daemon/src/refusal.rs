//! Responses to requests that no backend server answered.

use crate::headers;
use cherrystream_core::reasons::Reason;
use cherrystream_net::body::{self, Body};
use cherrystream_schema::messages::ErrorReply;
use http::{Response, StatusCode, header};
use std::time::Duration;

/// Refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refused {
    /// Reason of the refusal.
    pub reason: Reason,
    /// Delay after which a retry is worthwhile.
    pub retry_after: Duration,
}

/// Delay before a retry if the cause has no known duration.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Delay before a retry if the daemon has no configuration yet. Covers a usual start of a daemon,
/// as callers retry only a few times. After a power loss, daemons had a configuration 0.4 to 0.7 s
/// after their start.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(400);

impl Refused {
    /// Creates a refusal with the default retry delay of its reason.
    pub fn new(reason: Reason) -> Refused {
        let retry_after = match reason {
            Reason::NoConfiguration => UNCONFIGURED_RETRY_AFTER,
            _ => DEFAULT_RETRY_AFTER,
        };
        Refused { reason, retry_after }
    }
}

/// Builds the response to a refused request.
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
    if can_retry(reason) {
        let ms = refused.retry_after.as_millis().max(1);
        headers::set(map, header::RETRY_AFTER, ms.div_ceil(1_000));
        headers::set(map, headers::RETRY_AFTER_MS, ms);
    }
    res
}

/// Returns whether a later retry of the same request can succeed.
fn can_retry(reason: Reason) -> bool {
    matches!(reason.status(), 429 | 502..=504) || matches!(reason, Reason::StillRunning)
}

fn remedy(reason: Reason) -> &'static str {
    match reason {
        Reason::NoSuchService => "name a service in Cherrystream-Service or the host name",
        Reason::BadRequest => "correct the request",
        Reason::UnknownKey => "send a key of a workspace, as `Authorization: Bearer KEY`",
        Reason::HeldBack => {
            "it crashed backend servers; fix the service or the request, or clear the suspect"
        }
        Reason::RunsAlone => {
            "it was not run: a request like it is running in isolation; send it again later"
        }
        Reason::OverQuota => "send it again after the time in Retry-After, or raise the quota",
        Reason::KeyMissing => "send an Idempotency-Key, a new one for each new request",
        Reason::KeyTooOld => {
            "look up the result of the first request; do not send a new one automatically"
        }
        Reason::KeyReused => "send a new Idempotency-Key with each new request",
        Reason::BodyTooLarge => "send a smaller body",
        Reason::StillRunning => "send the same request again later to get its answer",
        Reason::RanBefore => "it ran; ask the service for its result",
        Reason::EarlierUnknown => "it may have run; ask the service before a new request",
        Reason::DeadlinePassed
        | Reason::BackendServerBroke
        | Reason::BackendServerSilent
        | Reason::PeerBroke
        | Reason::PeerSilent
        | Reason::HostEnded
        | Reason::MalformedAnswer
        | Reason::WrongCall
        | Reason::AttemptRepeated => {
            "it may have run; send it again only if it may be repeated, or with the same key"
        }
        _ => "it was not run; send it again after the time in Retry-After",
    }
}
