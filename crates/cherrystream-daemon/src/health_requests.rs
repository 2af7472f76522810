//! Requests to health endpoints, which also find out whether connections have gone silent.
//!
//! A request goes out on a connection that was used before. If that stays silent, it is sent again
//! on a new connection: a response there, and none on the other one, shows that open connections
//! have gone silent, and not that the backend server is slow.

use crate::local_server::LocalServer;
use cherrystream_net::body::{self, Body};
use cherrystream_net::pool::{Connection, NoAnswer, Pool};
use http::{Request, Response, header};
use std::time::Duration;

/// Time without a response on a used connection after which a new one is tried.
const USED_TIMEOUT: Duration = Duration::from_millis(200);

/// Why there is no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The backend server gave no response on a new connection.
    NoAnswer,
    /// Only a used connection was tried.
    Inconclusive,
}

/// A used connection and the pool that it returns to.
struct Used<'a> {
    pool: &'a Pool,
    connection: Connection,
}

/// Sends a request to the health endpoint of a backend server. `may_repeat` is asked before the
/// request is sent a second time.
///
/// # Errors
///
/// Fails if there is no response.
pub async fn send(
    server: &LocalServer,
    path: &str,
    may_repeat: impl Fn() -> bool,
) -> Result<Response<Body>, Failure> {
    let Some(used) = used_connection(server).filter(|_| !server.is_silent()) else {
        return send_on_new(server, path).await;
    };
    let on_used = exchange(used.pool, used.connection, path);
    tokio::pin!(on_used);
    match tokio::time::timeout(USED_TIMEOUT, on_used.as_mut()).await {
        Ok(Ok(res)) => return Ok(res),
        // The server has closed the connection, as it may do at any time.
        Ok(Err(_)) if may_repeat() => return send_on_new(server, path).await,
        Ok(Err(_)) => return Err(Failure::Inconclusive),
        Err(_) => server.set_silent(true),
    }
    if !may_repeat() {
        return Err(Failure::Inconclusive);
    }
    tokio::select! {
        biased;
        Ok(res) = on_used => {
            server.set_silent(false);
            Ok(res)
        }
        res = send_on_new(server, path) => res,
    }
}

/// Returns a connection that was used before. One that only health checks use is preferred, since
/// it is not in use by a slow request.
fn used_connection(server: &LocalServer) -> Option<Used<'_>> {
    [&server.checks, &server.backend].into_iter().find_map(|pool| {
        let connection = pool.idle_connection()?;
        Some(Used { pool, connection })
    })
}

/// Sends a request on a new connection. After a response, the connections in use are distrusted if
/// one of them is silent.
async fn send_on_new(server: &LocalServer, path: &str) -> Result<Response<Body>, Failure> {
    let connection = server.checks.connect().await.map_err(|_| Failure::NoAnswer)?;
    let res = exchange(&server.checks, connection, path).await.map_err(|_| Failure::NoAnswer)?;
    if server.is_silent() {
        log::info!("server: open connections to {} are silent and are replaced", server.id.name);
        server.set_silent(false);
        server.backend.distrust(server.backend.now());
    }
    Ok(res)
}

async fn exchange(
    pool: &Pool,
    connection: Connection,
    path: &str,
) -> Result<Response<Body>, NoAnswer> {
    let req = Request::get(path)
        .header(header::HOST, pool.address())
        .body(body::empty())
        .map_err(|_| NoAnswer::NotSent)?;
    pool.send(connection, req).await
}
