//! The system's own interface to callers and backend servers.

use crate::headers;
use crate::refusal;
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

/// Path at which an instance reports; its identifier follows.
const INSTANCES: &str = "/v1/instances/";
/// Word before a key.
const KEY_SCHEME: &str = "Bearer ";
/// Path that asks for readiness.
const READINESS: &str = "/readyz";

/// The system's own interface.
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

    // All own headers are removed on the way.
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

    fn read_health(&self, head: &response::Parts) -> HealthResponse {
        let instance = headers::text(&head.headers, &headers::SERVER).map(str::to_string);
        HealthResponse { instance, cold_for: read_cold(&head.headers) }
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
        path == READINESS
    }

    fn read_report(&self, head: &request::Parts, body: &[u8]) -> Result<Reported, ReportError> {
        let Some(id) = head.uri.path().strip_prefix(INSTANCES).filter(|id| !id.is_empty()) else {
            let fault = Fault {
                what: format!("there is nothing at {}", head.uri.path()),
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
                remedy: "send id, service, address, slots, state and sequence".into(),
            },
        })?;
        let report = InstanceReport::Running(Instance { id: id.into(), ..instance });
        Ok(Reported { report, cold_for: read_cold(&head.headers) })
    }

    fn write_report_answer(&self, answer: &ReportAnswer) -> Response<Body> {
        let (status, reply) = match answer {
            ReportAnswer::Taken => return Response::new(body::empty()),
            ReportAnswer::NotNow => (
                StatusCode::SERVICE_UNAVAILABLE,
                ErrorReply {
                    error: "control does not confirm the report now".into(),
                    remedy: "report again".into(),
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

/// Reads the key of a request that bears exactly one: two could mean two callers to two readers.
fn read_key(map: &HeaderMap) -> Option<ApiKey> {
    let mut values = map.get_all(header::AUTHORIZATION).iter();
    let value = values.next().filter(|_| values.next().is_none())?;
    value.to_str().ok()?.strip_prefix(KEY_SCHEME).map(|key| ApiKey::new(key.trim()))
}

/// Reads how much longer a backend server is cold.
fn read_cold(map: &HeaderMap) -> Option<Duration> {
    headers::parsed(map, &headers::COLD_MS).map(Duration::from_millis)
}
