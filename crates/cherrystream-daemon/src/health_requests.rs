//! Requests to health endpoints, which also find out whether connections have gone silent.
//!
//! A request goes out on a connection that was used before. If that stays silent, it is sent again
//! on a new connection: a response there, and still none on the other one, shows that open
//! connections have gone silent, and not that the backend server is slow or was suspended. The
//! comparison is a task of its own: whoever asked for it may leave before it ends.

use crate::local_server::LocalServer;
use cherrystream_core::silent_connections::FreshAnswer;
use cherrystream_core::units::Timestamp;
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
/// Longest wait for a response on a new connection.
const NEW_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two attempts to spend from the budget of health requests.
const BUDGET_INTERVAL: Duration = Duration::from_millis(50);
/// Number of these attempts.
const BUDGET_ATTEMPTS: u32 = 20;
/// Largest body of a response that is only awaited.
const MAX_RESPONSE_BYTES: usize = 16 * 1024;

/// Why there is no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The backend server gave no response on a new connection.
    NoAnswer,
    /// Only a used connection was tried.
    Inconclusive,
}

/// A budget of health requests: returns whether another one may be sent now, and counts it.
pub trait Budget: Fn() -> bool + Send + Sync + 'static {}

impl<F: Fn() -> bool + Send + Sync + 'static> Budget for F {}

/// A used connection and the pool that it returns to.
struct Used {
    pool: fn(&LocalServer) -> &Pool,
    connection: Connection,
}

type Exchange = JoinHandle<Result<Response<Body>, NoAnswer>>;

/// Sends a request to the health endpoint of a backend server. `budget` is asked before the request
/// is sent a second time.
///
/// # Errors
///
/// Fails if there is no response.
pub async fn send(
    server: &Arc<LocalServer>,
    path: &str,
    budget: impl Budget,
) -> Result<Response<Body>, Failure> {
    match used_connection(server, Timestamp(u64::MAX)) {
        Some(used) => send_on_used(server, used, path, budget).await,
        None => send_on_new(server, path).await,
    }
}

/// Finds out whether the connections of a backend server that were opened before a time have gone
/// silent. Sends at most two health requests.
pub async fn compare(
    server: &Arc<LocalServer>,
    path: &str,
    opened_before: Timestamp,
    budget: impl Budget,
) {
    let answer = match used_connection(server, opened_before) {
        Some(used) => send_on_used(server, used, path, budget).await,
        None => send_on_new(server, path).await,
    };
    if let Ok(res) = answer {
        // The connection is reused only if the body was read.
        let reading = body::read_start(res.into_body(), MAX_RESPONSE_BYTES);
        let _ = tokio::time::timeout(NEW_TIMEOUT, reading).await;
    }
}

async fn send_on_used(
    server: &Arc<LocalServer>,
    used: Used,
    path: &str,
    budget: impl Budget,
) -> Result<Response<Body>, Failure> {
    let asked_at = server.backend.now();
    let mut on_used = exchange_on_used(server.clone(), used, path.into());
    match tokio::time::timeout(USED_TIMEOUT, &mut on_used).await {
        Ok(Ok(Ok(res))) => return Ok(res),
        // The server has closed the connection, as it may do at any time.
        Ok(_) if budget() => return send_on_new(server, path).await,
        Ok(_) => return Err(Failure::Inconclusive),
        Err(_) => {}
    }
    let (server, path) = (server.clone(), path.to_string());
    let comparing = async move {
        wait_for_budget(budget).await?;
        tokio::select! {
            biased;
            Ok(Ok(res)) = &mut on_used => Ok(res),
            res = send_on_new(&server, &path) => {
                let res = res?;
                task::spawn(distrust_unless_answered(server, on_used, asked_at));
                Ok(res)
            }
        }
    };
    task::spawn(comparing).await.unwrap_or(Err(Failure::NoAnswer))
}

async fn wait_for_budget(budget: impl Budget) -> Result<(), Failure> {
    for _ in 0..BUDGET_ATTEMPTS {
        if budget() {
            return Ok(());
        }
        tokio::time::sleep(BUDGET_INTERVAL).await;
    }
    Err(Failure::Inconclusive)
}

/// Returns a connection that was opened before a time and used. One that only health checks use is
/// preferred, since it is not in use by a slow request.
fn used_connection(server: &LocalServer, opened_before: Timestamp) -> Option<Used> {
    let pools: [fn(&LocalServer) -> &Pool; 2] = [|server| &server.checks, |server| &server.backend];
    pools.into_iter().find_map(|pool| {
        let connection = pool(server).idle_connection_opened_before(opened_before)?;
        Some(Used { pool, connection })
    })
}

/// Sends a request on a used connection, in a task that also handles a response which comes after
/// the check has ended.
fn exchange_on_used(server: Arc<LocalServer>, used: Used, path: String) -> Exchange {
    task::spawn(async move {
        let exchange = exchange((used.pool)(&server), used.connection, &path);
        tokio::time::timeout(MAX_USED_WAIT, exchange).await.unwrap_or(Err(NoAnswer::Broke))
    })
}

/// Sends a request on a new connection, and records its answer.
async fn send_on_new(server: &Arc<LocalServer>, path: &str) -> Result<Response<Body>, Failure> {
    let asked_at = server.backend.now();
    let sending = async {
        let connection = server.checks.connect().await?;
        exchange(&server.checks, connection, path).await
    };
    let res = tokio::time::timeout(NEW_TIMEOUT, sending).await;
    let res = res.ok().and_then(Result::ok).ok_or(Failure::NoAnswer)?;
    server.backend.on_fresh_answer(FreshAnswer { asked_at, answered_at: server.backend.now() });
    Ok(res)
}

/// Distrusts the connections in use at a time unless a used one responds soon: a backend server that
/// was slow or suspended responds on all of them.
async fn distrust_unless_answered(
    server: Arc<LocalServer>,
    on_used: Exchange,
    asked_at: Timestamp,
) {
    // A connection that was closed is not silent either.
    if on_used.is_finished() || tokio::time::timeout(USED_TIMEOUT, on_used).await.is_ok() {
        return;
    }
    log::info!("server: open connections to {} are silent and are replaced", server.id.name);
    server.backend.distrust(asked_at);
    server.checks.distrust(asked_at);
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
