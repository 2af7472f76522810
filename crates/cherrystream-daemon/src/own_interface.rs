//! The default interface to callers and backend servers.

use crate::headers;
use crate::refusal;
use cherrystream_core::backpressure::{RateLimit, Signals, Stated};
use cherrystream_core::instances::InstanceReport;
use cherrystream_core::reasons::{Outcome, Reason};
use cherrystream_core::workspaces::ApiKey;
use cherrystream_net::body::{self, Body};
use cherrystream_net::interface::{
    CallInterface, CallerHead, Execution, Fault, HealthResponse, RefusalHead, ReportAnswer,
    ReportError, ReportErrorKind, Reported, SendHead, ServerLoad,
};
use cherrystream_schema::messages::{ErrorReply, Instance};
use http::{HeaderMap, HeaderName, Method, Response, StatusCode, header, request, response};
use std::time::Duration;

/// Prefix of the path at which an instance reports; the identifier of the instance follows.
const INSTANCES_PATH: &str = "/v1/instances/";
/// Authentication scheme in front of an API key.
const KEY_PREFIX: &str = "Bearer ";
/// Remedy for an invalid report of an instance.
const REPORT_REMEDY: &str = "send id, service, address, slots, state and sequence";
/// Path of the readiness probe.
const READINESS_PATH: &str = "/readyz";

/// The default interface to callers and backend servers, with `cherrystream-` headers.
#[derive(Debug, Default)]
pub struct OwnInterface;

impl CallInterface for OwnInterface {
    fn read_caller(&self, head: &request::Parts) -> Result<CallerHead, Reason> {
        let map = &head.headers;
        let time_left = match headers::text(map, &headers::DEADLINE_MS) {
            None if map.contains_key(headers::DEADLINE_MS) => return Err(Reason::BadRequest),
            None => None,
            Some(text) => {
                let ms: u64 = text.parse().map_err(|_| Reason::BadRequest)?;
                Some(Duration::from_millis(ms))
            }
        };
        Ok(CallerHead { id: None, time_left, key: read_key(map) })
    }

    fn write_caller_service(&self, _headers: &mut HeaderMap, _service: &str) {}

    // All headers of this interface are removed when the request is forwarded.
    fn remove_caller_head(&self, _map: &mut HeaderMap) {}

    fn remove_key(&self, map: &mut HeaderMap) {
        map.remove(header::AUTHORIZATION);
    }

    fn write_send(&self, map: &mut HeaderMap, send: &SendHead<'_>) {
        headers::set(map, headers::CALL, send.id);
        headers::set(map, headers::DEADLINE_MS, send.time_left.as_millis().max(1));
        if let Some(workspace) = send.workspace {
            headers::set(map, headers::WORKSPACE, workspace);
        }
    }

    fn id_header(&self) -> HeaderName {
        headers::CALL
    }

    fn read_execution(&self, head: &response::Parts, id: &str) -> Execution {
        match headers::text(&head.headers, &headers::CALL) {
            Some(other) if other != id => Execution::WrongRequest,
            _ => Execution::Ran,
        }
    }

    fn read_load(&self, _head: &response::Parts) -> Option<ServerLoad> {
        None
    }

    fn read_signals(&self, head: &response::Parts) -> Signals {
        let map = &head.headers;
        Signals {
            rate_limit: Stated::read(headers::texts(map, &headers::SERVER_LIMIT), RateLimit::parse),
            leaving: Stated::read(
                headers::texts(map, &headers::SERVER_LEAVING),
                Signals::parse_leaving,
            ),
        }
    }

    fn read_health(&self, head: &response::Parts) -> HealthResponse {
        let instance = headers::text(&head.headers, &headers::SERVER).map(str::to_string);
        HealthResponse { instance, cold_for: read_cold_time(&head.headers) }
    }

    fn is_end_to_end(&self, _name: &HeaderName) -> bool {
        false
    }

    fn remove_answer_head(&self, _map: &mut HeaderMap) {}

    fn write_refusal(&self, refusal: &RefusalHead<'_>) -> Response<Body> {
        let RefusalHead { reason, retry_after, .. } = *refusal;
        refusal::response(refusal::Refused { reason, retry_after })
    }

    fn mark_answered(&self, map: &mut HeaderMap, _id: &str) {
        headers::set_static(map, headers::OUTCOME, Outcome::Answered.as_str());
    }

    fn is_readiness(&self, path: &str) -> bool {
        path == READINESS_PATH
    }

    fn read_report(&self, head: &request::Parts, body: &[u8]) -> Result<Reported, ReportError> {
        let Some(id) = head.uri.path().strip_prefix(INSTANCES_PATH).filter(|id| !id.is_empty())
        else {
            let fault = Fault {
                what: format!("unknown path {}", head.uri.path()),
                remedy: "use PUT or DELETE /v1/instances/ID".into(),
            };
            return Err(ReportError { kind: ReportErrorKind::UnknownCall, fault });
        };
        if head.method == Method::DELETE {
            let report = InstanceReport::Stopping { id: id.into(), born_ms: None };
            return Ok(Reported { report, cold_for: None });
        }
        let instance: Instance = serde_json::from_slice(body).map_err(|e| ReportError {
            kind: ReportErrorKind::Unreadable,
            fault: Fault {
                what: format!("the report cannot be read: {e}"),
                remedy: REPORT_REMEDY.into(),
            },
        })?;
        let cold_for = read_cold_time(&head.headers);
        if cold_for.is_none() && head.headers.contains_key(headers::COLD_MS) {
            let what = format!("{} is not a number of milliseconds", headers::COLD_MS);
            let fault = Fault { what, remedy: REPORT_REMEDY.into() };
            return Err(ReportError { kind: ReportErrorKind::FieldMistyped, fault });
        }
        let report = InstanceReport::Running(Instance { id: id.into(), ..instance });
        Reported { report, cold_for }.validate(REPORT_REMEDY)
    }

    fn write_report_answer(&self, answer: &ReportAnswer) -> Response<Body> {
        let (status, reply) = match answer {
            ReportAnswer::Taken => return Response::new(body::empty()),
            ReportAnswer::NotNow => (
                StatusCode::SERVICE_UNAVAILABLE,
                ErrorReply {
                    error: "control has not confirmed the report in time".into(),
                    remedy: "send the report again".into(),
                },
            ),
            ReportAnswer::Bad(fault) => (
                StatusCode::BAD_REQUEST,
                ErrorReply { error: fault.what.clone(), remedy: fault.remedy.clone() },
            ),
        };
        let mut res = Response::new(body::full(serde_json::to_string(&reply).unwrap_or_default()));
        *res.status_mut() = status;
        res
    }
}

/// Returns the API key of a request with exactly one `Authorization` header; several are ambiguous,
/// as another reader might choose a different one.
fn read_key(map: &HeaderMap) -> Option<ApiKey> {
    let mut values = map.get_all(header::AUTHORIZATION).iter();
    let value = values.next().filter(|_| values.next().is_none())?;
    value.to_str().ok()?.strip_prefix(KEY_PREFIX).map(|key| ApiKey::new(key.trim()))
}

/// Returns for how much longer a backend server is cold.
fn read_cold_time(map: &HeaderMap) -> Option<Duration> {
    headers::parsed(map, &headers::COLD_MS).map(Duration::from_millis)
}
