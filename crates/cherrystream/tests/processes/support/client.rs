//! HTTP client for callers and operators.

use bytes::Bytes;
use cherrystream_net::body::{self, Start};
use cherrystream_net::pool::Pool;
use cherrystream_standin::backend::WorkAnswer;
use cherrystream_standin::counters::Counts;
use http::{HeaderMap, Request, StatusCode};
use prometheus_client::metrics::counter::Counter;

/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 256 << 20;

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |v| v.to_str().unwrap())
    }

    pub fn outcome(&self) -> &str {
        self.header("cherrystream-outcome")
    }

    pub fn reason(&self) -> &str {
        self.header("cherrystream-reason")
    }

    pub fn work(&self) -> WorkAnswer {
        serde_json::from_slice(&self.body).unwrap()
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap()
    }
}

/// A request to be sent.
#[derive(Clone, Debug)]
pub struct Ask {
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: Bytes,
}

impl Ask {
    pub fn get(path: &str) -> Ask {
        Ask { method: "GET", path: path.into(), headers: vec![], body: Bytes::new() }
    }

    pub fn post(path: &str, body: impl Into<Bytes>) -> Ask {
        Ask { method: "POST", body: body.into(), ..Ask::get(path) }
    }

    pub fn with(mut self, name: &'static str, value: impl ToString) -> Ask {
        self.headers.push((name, value.to_string()));
        self
    }

    pub fn service(self, name: &str) -> Ask {
        self.with("cherrystream-service", name)
    }

    /// Returns whether the request has a `Host` header of its own.
    pub fn names_host(&self) -> bool {
        self.headers.iter().any(|(name, _)| *name == "host")
    }

    /// Adds the key of a workspace, if there is one.
    pub fn with_key(self, key: Option<&str>) -> Ask {
        match key {
            Some(key) => self.with("authorization", format!("Bearer {key}")),
            None => self,
        }
    }

    pub fn key(self, key: &str) -> Ask {
        self.with("idempotency-key", key)
    }
}

/// Sends a request on a new connection; returns `None` without a complete answer.
pub async fn send(address: &str, ask: &Ask) -> Option<Answer> {
    let pool = Pool::new(address, Counter::default());
    send_on(&pool, ask).await
}

/// Sends a request on pooled connections; returns `None` without a complete answer.
pub async fn send_on(pool: &Pool, ask: &Ask) -> Option<Answer> {
    let mut req = Request::builder().method(ask.method).uri(&ask.path);
    if !ask.names_host() {
        req = req.header("host", pool.address());
    }
    for (name, value) in &ask.headers {
        req = req.header(*name, value);
    }
    let req = req.body(body::full(ask.body.clone())).unwrap();
    let connection = pool.connection().await.ok()?;
    let res = pool.send(connection, req).await.ok()?;
    let (parts, body) = res.into_parts();
    match body::read_start(body, MAX_ANSWER_BYTES).await {
        Ok(Start::Whole(body)) => {
            Some(Answer { status: parts.status, headers: parts.headers, body })
        }
        _ => None,
    }
}

/// Sets the faults of a stand-in backend server.
pub async fn set_faults(address: &str, faults: serde_json::Value) {
    let ask = Ask::post("/standin/faults", faults.to_string());
    let answer = send(address, &ask).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
}

/// Returns the counts of a stand-in backend server.
pub async fn counts(address: &str) -> Counts {
    let answer = send(address, &Ask::get("/standin/counts")).await.unwrap();
    serde_json::from_slice(&answer.body).unwrap()
}
