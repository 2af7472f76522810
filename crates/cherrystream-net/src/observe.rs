//! Serves `/metrics`, `/healthz` and `/readyz`.

use crate::body::{self, Body};
use crate::serve::{Phase, Phases};
use http::{Response, StatusCode, header};
use prometheus_client::encoding::text;
use prometheus_client::registry::Registry;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Media type of the metrics page.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// State that is served on the metrics address.
#[derive(Clone)]
pub struct Observed {
    /// Metrics of the process.
    pub registry: Arc<Registry>,
    /// Phase of the process.
    pub phases: Phases,
    /// Whether the process has a configuration to serve.
    pub ready: Arc<AtomicBool>,
}

impl Observed {
    /// Returns the response for a path.
    pub fn answer(&self, path: &str) -> Response<Body> {
        match path {
            "/metrics" => self.metrics(),
            "/healthz" => plain(StatusCode::OK, "alive\n"),
            "/readyz" => self.readiness(),
            _ => plain(StatusCode::NOT_FOUND, "use /metrics, /healthz or /readyz\n"),
        }
    }

    fn metrics(&self) -> Response<Body> {
        let mut page = String::new();
        if text::encode(&mut page, &self.registry).is_err() {
            return plain(StatusCode::INTERNAL_SERVER_ERROR, "the metrics cannot be written\n");
        }
        let mut res = plain(StatusCode::OK, "");
        *res.body_mut() = body::full(page);
        res.headers_mut()
            .insert(header::CONTENT_TYPE, header::HeaderValue::from_static(METRICS_TYPE));
        res
    }

    fn readiness(&self) -> Response<Body> {
        if self.phases.now() != Phase::Serving {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "leaving\n");
        }
        if !self.ready.load(Ordering::Relaxed) {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n");
        }
        plain(StatusCode::OK, "ready\n")
    }
}

/// Returns a response in plain text.
pub fn plain(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut res = Response::new(body::full(text));
    *res.status_mut() = status;
    res
}
