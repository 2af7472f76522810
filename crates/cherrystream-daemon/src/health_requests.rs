//! Requests to health endpoints, which also find out whether connections have gone silent.
//!
//! A request goes out on a connection that was used before. If that stays silent, it is sent again
//! on a new connection: a response there, and still none on the other one, shows that open
//! connections have gone silent, and not that the backend server is slow or was suspended.

use crate::local_server::LocalServer;
use cherrystream_net::body::{self, Body};
use cherrystream_net::pool::{Connection, NoAnswer, Pool};
use http::{Request, Response, header};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::{self, JoinHandle};

/// Time without a response on a used connection after which a new one is tried.
const USED_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest wait for a response on a used connection.
const MAX_USED_WAIT: Duration = Duration::from_secs(10);

/// Why there is no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The backend server gave no response on a new connection.
    NoAnswer,
    /// Only a used connection was tried.
    Inconclusive,
}

/// A used connection and the pool that it returns to.
struct Used {
    pool: fn(&LocalServer) -> &Pool,
    connection: Connection,
}

/// Sends a request to the health endpoint of a backend server. `may_repeat` is asked before the
/// request is sent a second time.
///
/// # Errors
///
/// Fails if there is no response.
pub async fn send(
    server: &Arc<LocalServer>,
    path: &str,
    may_repeat: impl Fn() -> bool,
) -> Result<Response<Body>, Failure> {
    let Some(used) = used_connection(server).filter(|_| !server.is_silent()) else {
        return send_on_new(server, path).await;
    };
    let mut on_used = exchange_on_used(server.clone(), used, path.into());
    match tokio::time::timeout(USED_TIMEOUT, &mut on_used).await {
        Ok(Ok(Ok(res))) => return Ok(res),
        // The server has closed the connection, as it may do at any time.
        Ok(_) if may_repeat() => return send_on_new(server, path).await,
        Ok(_) => return Err(Failure::Inconclusive),
        Err(_) => server.set_silent(true),
    }
    if !may_repeat() {
        return Err(Failure::Inconclusive);
    }
    tokio::select! {
        biased;
        Ok(Ok(res)) = on_used => Ok(res),
        res = send_on_new(server, path) => res,
    }
}

/// Returns a connection that was used before. One that only health checks use is preferred, since
/// it is not in use by a slow request.
fn used_connection(server: &LocalServer) -> Option<Used> {
    let pools: [fn(&LocalServer) -> &Pool; 2] = [|server| &server.checks, |server| &server.backend];
    pools.into_iter().find_map(|pool| {
        let connection = pool(server).idle_connection()?;
        Some(Used { pool, connection })
    })
}

/// Sends a request on a used connection, in a task that also handles a response which comes after
/// the check has ended.
fn exchange_on_used(
    server: Arc<LocalServer>,
    used: Used,
    path: String,
) -> JoinHandle<Result<Response<Body>, NoAnswer>> {
    task::spawn(async move {
        let exchange = exchange((used.pool)(&server), used.connection, &path);
        let Ok(response) = tokio::time::timeout(MAX_USED_WAIT, exchange).await else {
            return Err(NoAnswer::Broke);
        };
        // A connection that was closed is not silent either.
        server.set_silent(false);
        response
    })
}

/// Sends a request on a new connection. After a response, the connections in use are distrusted if
/// one of them stays silent.
async fn send_on_new(server: &Arc<LocalServer>, path: &str) -> Result<Response<Body>, Failure> {
    let connection = server.checks.connect().await.map_err(|_| Failure::NoAnswer)?;
    let res = exchange(&server.checks, connection, path).await.map_err(|_| Failure::NoAnswer)?;
    if server.is_silent() {
        task::spawn(distrust_if_still_silent(server.clone()));
    }
    Ok(res)
}

/// Distrusts the connections in use unless a used one responds soon: a backend server that was slow
/// or suspended responds on all of them.
async fn distrust_if_still_silent(server: Arc<LocalServer>) {
    tokio::time::sleep(USED_TIMEOUT).await;
    if !server.is_silent() {
        return;
    }
    log::info!("server: open connections to {} are silent and are replaced", server.id.name);
    server.set_silent(false);
    server.backend.distrust(server.backend.now());
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
