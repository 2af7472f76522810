//! The HTTP API for operators.

use crate::metrics::Metrics;
use crate::operators::{self, Operators};
use crate::orders::OperatorCommands;
use cherrystream_net::body::{self, Body, Start};
use cherrystream_net::key::{self, Secret};
use cherrystream_net::serve::IdleTime;
use cherrystream_schema::messages::{OperatorAnswer, OperatorCall};
use http::{Extensions, HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 256 * 1024;
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 255;
/// Operator name of every caller when no tokens are configured.
const ANONYMOUS: &str = "anybody";
/// Header that identifies retries of the same call.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// `Retry-After` in seconds of a call that failed because there is no leader.
const RETRY_AFTER_S: &str = "1";

/// An operator and the token that authenticates it.
#[derive(Clone, Debug)]
pub struct Operator {
    /// Name that is recorded with the plans of the operator.
    pub name: String,
    /// Bearer token.
    pub token: Secret,
}

/// Serves the HTTP API for operators.
#[derive(Clone)]
pub struct Api {
    /// Handles the calls.
    pub operators: Operators,
    /// Operators that may call; empty disables authentication.
    pub credentials: Arc<Vec<Operator>>,
    /// Handler of operator commands of another interface, if one is configured.
    pub orders: Option<OperatorCommands>,
    /// Metrics of the control role.
    pub metrics: Metrics,
}

impl Api {
    /// Handles a request and returns its response.
    pub async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        let (head, incoming) = req.into_parts();
        let orders = self.orders.as_ref().filter(|orders| orders.interface.is_command(&head));
        let req = Request::from_parts(head, incoming);
        match orders {
            Some(orders) => orders.answer(req).await,
            None => self.answer_call(req).await,
        }
    }

    async fn answer_call(&self, req: Request<Incoming>) -> Response<Body> {
        let Some(operator) = self.authenticate(req.headers()) else {
            self.metrics.refuse("wrong-token");
            let remedy = "send `Authorization: Bearer TOKEN` with an operator's token";
            return response(operators::error(401, "the token is missing or wrong", remedy));
        };
        let idle = idle_time(req.extensions());
        match read_call(operator, req).await {
            Ok(call) => response(self.operators.answer(call, idle).await),
            Err(answer) => {
                self.metrics.refuse("bad-call");
                response(answer)
            }
        }
    }

    /// Returns the name of the operator whose token the request carries. Compares every token, so
    /// that the duration reveals nothing about them.
    fn authenticate(&self, headers: &HeaderMap) -> Option<String> {
        if self.credentials.is_empty() {
            return Some(ANONYMOUS.into());
        }
        let token = key::bearer_of(headers)?;
        let mut found = None;
        for operator in self.credentials.iter() {
            if operator.token.matches(token) {
                found = Some(operator.name.clone());
            }
        }
        found
    }
}

/// Returns how long the connection of a request was idle before it.
pub(crate) fn idle_time(extensions: &Extensions) -> Duration {
    extensions.get().map_or(Duration::ZERO, |IdleTime(idle)| *idle)
}

async fn read_call(
    operator: String,
    req: Request<Incoming>,
) -> Result<OperatorCall, OperatorAnswer> {
    let (parts, incoming) = req.into_parts();
    let request_key = match parts.headers.get(IDEMPOTENCY_KEY).map(HeaderValue::to_str) {
        None => None,
        Some(Ok(key)) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => Some(key.to_string()),
        Some(_) => {
            let remedy = "use 1 to 255 visible characters";
            return Err(operators::error(400, "the Idempotency-Key cannot be used", remedy));
        }
    };
    let text = match body::read_request(incoming, MAX_BODY_BYTES).await {
        Ok(Start::Whole(bytes)) => String::from_utf8(bytes.to_vec()),
        Ok(Start::Longer(_)) => {
            return Err(operators::error(413, "the body is too large", "send 256 KiB at most"));
        }
        Err(_) => return Err(operators::error(400, "the body broke off", "send it again")),
    };
    let Ok(body) = text else {
        return Err(operators::error(400, "the body is not UTF-8", "send JSON"));
    };
    let (method, path) = (parts.method.to_string(), parts.uri.path().to_string());
    Ok(OperatorCall { operator, method, path, body, request_key, base: None })
}

fn response(answer: OperatorAnswer) -> Response<Body> {
    let mut res = Response::new(body::full(answer.body));
    *res.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = res.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if answer.status == StatusCode::SERVICE_UNAVAILABLE.as_u16() {
        headers.insert(header::RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_S));
    }
    res
}
