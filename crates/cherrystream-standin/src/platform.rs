//! Stand-in for the platform's list of hosts, which can be replaced over HTTP.

use cherrystream_net::body::{self, Body, Start};
use cherrystream_net::observe;
use cherrystream_net::serve::{self, Phases};
use cherrystream_schema::messages::PlatformList;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use std::sync::Arc;
use tokio::net::TcpListener;

/// Largest list, in bytes.
const MAX_LIST_BYTES: usize = 1 << 20;

/// A server with the list of hosts.
pub struct Platform {
    list: Mutex<PlatformList>,
}

impl Default for Platform {
    fn default() -> Self {
        Platform { list: Mutex::new(PlatformList { hosts: Vec::new() }) }
    }
}

impl Platform {
    /// Serves on a listener for as long as the process runs.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, phases: Phases) {
        serve::serve(listener, phases, move |req| {
            let platform = self.clone();
            async move { platform.answer(req).await }
        })
        .await;
    }

    /// Replaces the list.
    pub fn set(&self, list: PlatformList) {
        *self.list.lock() = list;
    }

    async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        if req.method() == Method::PUT {
            let read = body::read_start(body::incoming(req.into_body()), MAX_LIST_BYTES).await;
            let list = match read {
                Ok(Start::Whole(bytes)) => serde_json::from_slice(&bytes).ok(),
                _ => None,
            };
            let Some(list) = list else {
                return observe::plain(StatusCode::BAD_REQUEST, "send a list of hosts\n");
            };
            self.set(list);
        }
        let text = serde_json::to_vec(&*self.list.lock()).unwrap_or_default();
        Response::new(body::full(text))
    }
}
