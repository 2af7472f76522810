//! Calls to the control API.

use crate::cli::Target;
use crate::errors::{Error, Result};
use cherrystream_net::body::{self, Body, Start};
use cherrystream_net::key::Secret;
use cherrystream_net::pool::Pool;
use cherrystream_schema::messages::ErrorReply;
use http::{Method, Request, Response, StatusCode, header};
use prometheus_client::metrics::counter::Counter;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Address of the API unless an argument or the environment names one.
const DEFAULT_API_ADDRESS: &str = "127.0.0.1:7301";
/// Environment variable with the address of the API.
const API_VARIABLE: &str = "CHERRYSTREAM_API";
/// Environment variable with the path of the token file.
const TOKEN_VARIABLE: &str = "CHERRYSTREAM_TOKEN_FILE";
/// Largest reply, in bytes.
const MAX_REPLY_BYTES: usize = 64 << 20;
/// Time limit of a call, connecting included.
const TIMEOUT: Duration = Duration::from_secs(15);
/// Time limit until the head of a reply. Covers a commit on the leader, and leaves time for a
/// second attempt on another connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(7);

/// Client of the control API.
pub struct ApiClient {
    pool: Pool,
    token: Option<Secret>,
}

impl ApiClient {
    /// Creates a client from the arguments and the environment.
    ///
    /// # Errors
    ///
    /// Fails when the token file cannot be read or holds no valid token.
    pub fn try_new(target: &Target) -> Result<ApiClient> {
        let variable = |name| std::env::var(name).ok();
        let api = target.api.clone().or_else(|| variable(API_VARIABLE));
        let token_file = target.token_file.clone().or_else(|| variable(TOKEN_VARIABLE));
        let token = token_file.as_deref().map(Secret::read).transpose()?;
        let address = api.unwrap_or_else(|| DEFAULT_API_ADDRESS.into());
        Ok(ApiClient { pool: Pool::new(&address, Counter::default()), token })
    }

    /// Sends a GET request and decodes the reply.
    ///
    /// # Errors
    ///
    /// Fails when the API does not answer in time, refuses the call or sends an unknown reply.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        self.call(Method::GET, path, Vec::new()).await
    }

    /// Sends a POST request with a JSON body and decodes the reply.
    ///
    /// # Errors
    ///
    /// Fails when the API does not answer in time, refuses the call or sends an unknown reply.
    pub async fn post<T: DeserializeOwned>(&self, path: &str, value: &impl Serialize) -> Result<T> {
        let body = serde_json::to_vec(value).unwrap_or_default();
        self.call(Method::POST, path, body).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        bytes: Vec<u8>,
    ) -> Result<T> {
        let no_answer = || Error::NoAnswer { address: self.pool.address().into() };
        let exchange = async {
            let res = self.head(&method, path, &bytes).await?;
            let status = res.status();
            match body::read_start(res.into_body(), MAX_REPLY_BYTES).await {
                Ok(Start::Whole(bytes)) => Some((status, bytes)),
                _ => None,
            }
        };
        let (status, bytes) =
            tokio::time::timeout(TIMEOUT, exchange).await.ok().flatten().ok_or_else(no_answer)?;
        if status.is_success() {
            return serde_json::from_slice(&bytes).map_err(|_| no_answer());
        }
        match serde_json::from_slice::<ErrorReply>(&bytes) {
            Ok(ErrorReply { error, remedy }) if status == StatusCode::SERVICE_UNAVAILABLE => {
                Err(Error::Unavailable { error, remedy })
            }
            Ok(reply) => Err(Error::Refused { error: reply.error, remedy: reply.remedy }),
            Err(_) => Err(no_answer()),
        }
    }

    /// Sends a call, and returns the reply once its head has arrived. A read whose connection is
    /// silent is sent again on a new one.
    async fn head(&self, method: &Method, path: &str, bytes: &[u8]) -> Option<Response<Body>> {
        loop {
            let sent = self.send(self.request(method, path, bytes)?);
            match tokio::time::timeout(HEAD_TIMEOUT, sent).await {
                Ok(res) => return res,
                Err(_) if method == Method::GET => {}
                Err(_) => return None,
            }
        }
    }

    fn request(&self, method: &Method, path: &str, bytes: &[u8]) -> Option<Request<Body>> {
        let mut req = Request::builder().method(method).uri(path);
        req = req.header(header::HOST, self.pool.address());
        if let Some(token) = &self.token {
            req = req.header(header::AUTHORIZATION, token.bearer());
        }
        req.body(body::full(bytes.to_vec())).ok()
    }

    async fn send(&self, req: Request<Body>) -> Option<Response<Body>> {
        let connection = self.pool.connection().await.ok()?;
        self.pool.send(connection, req).await.ok()
    }
}
