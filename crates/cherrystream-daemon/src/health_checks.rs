//! Health checks and probes of the backend servers of this host, within the configured rate.

use crate::health_requests::{self, Failure};
use crate::inbound::Inbound;
use crate::local_server::LocalServer;
use crate::metrics::{Metrics, ServerLabel};
use cherrystream_core::health::Check;
use cherrystream_net::body::{self, Body, Start};
use cherrystream_net::clock::Clock;
use cherrystream_schema::messages::ServerState;
use http::StatusCode;
use serde::Deserialize;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Time between checks of what is due.
const TICK: Duration = Duration::from_millis(50);
/// Time between checks of what is due while requests wait for a rate limit of the instance; a few
/// times per request that such a limit admits.
const RATE_LIMITED_TICK: Duration = Duration::from_millis(10);
/// Timeout of one health check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(800);
/// Shortest time between health checks of a backend server.
const MIN_INTERVAL: Duration = Duration::from_millis(400);
/// Path of the health endpoint of listed backend servers.
const HEALTH_PATH: &str = "/health";
/// Largest body of a health response.
const MAX_RESPONSE_BYTES: usize = 16 * 1024;

/// Body of a health response.
#[derive(Debug, Deserialize)]
struct HealthBody {
    state: ServerState,
}

/// Sends health checks and probes for as long as the process runs.
pub async fn run(inbound: Arc<Inbound>, cx: HealthCheckContext) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut due = HashMap::new();
    loop {
        let instance = inbound.local_servers.instance();
        if instance.is_some_and(|server| server.is_cold() || server.waits_for_token()) {
            tokio::time::sleep(RATE_LIMITED_TICK).await;
        } else {
            interval.tick().await;
        }
        let now = cx.clock.now();
        inbound.expire_reservations();
        inbound.local_servers.record_limit_changes();
        inbound.local_servers.record_forgotten_signals();
        if let Some(server) = inbound.local_servers.instance() {
            server.tick();
            // An instance of a leaving host receives no requests, so it needs no probes.
            let is_in_service = inbound.check_leaving().is_none();
            let needs_probe = server.needs_slowness_probe()
                || server.start_warmth_probe()
                || server.needs_connection_probe();
            if is_in_service && needs_probe {
                tokio::spawn(probe_health(server, inbound.clone()));
            }
        }
        for server in inbound.local_servers.listed() {
            server.tick();
            let due_at = due.entry(server.id.clone()).or_insert(now);
            if *due_at <= now {
                *due_at = now + server.probe_budget.lock().interval().max(MIN_INTERVAL);
                tokio::spawn(check(server, cx.clone()));
            }
        }
    }
}

/// Context of the health checks.
#[derive(Clone)]
pub struct HealthCheckContext {
    /// Clock of the process.
    pub clock: Clock,
    /// Metrics.
    pub metrics: Metrics,
}

async fn check(server: Arc<LocalServer>, cx: HealthCheckContext) {
    // Spent here, where the request is sent, so that no check bypasses the budget.
    if !server.probe_budget.lock().try_spend(cx.clock.now()) {
        return;
    }
    let label = ServerLabel { server: server.id.name.to_string() };
    let measured = cx.metrics.measuring.get_or_create_owned(&label);
    measured.inc();
    let may_repeat = || {
        let may = server.probe_budget.lock().try_spend(cx.clock.now());
        measured.inc_by(u64::from(may));
        may
    };
    let result = tokio::time::timeout(CHECK_TIMEOUT, check_state(&server, may_repeat)).await;
    let check = match result {
        Ok(Ok(state)) => Check::Reported(state),
        // It says nothing about the backend server; the next check uses a new connection.
        Ok(Err(Failure::Inconclusive)) => return,
        Ok(Err(Failure::NoAnswer)) | Err(_) => Check::Failed,
    };
    server.on_check(check);
}

/// Probes the slowness and the warmth of an instance; waits no longer than for a health check.
pub async fn probe_health(server: Arc<LocalServer>, inbound: Arc<Inbound>) {
    let Some(path) = inbound.health_path(&server.id.service) else { return };
    let label = ServerLabel { server: server.id.name.to_string() };
    inbound.metrics.measuring.get_or_create(&label).inc();
    server.on_probe_sent();
    let sent_at = server.now();
    let may_repeat = || {
        inbound.metrics.measuring.get_or_create(&label).inc();
        true
    };
    let response =
        tokio::time::timeout(CHECK_TIMEOUT, health_requests::send(&server, &path, may_repeat));
    if let Ok(Ok(res)) = response.await {
        let (parts, body) = res.into_parts();
        if let Some(load) = inbound.interface.read_load(&parts) {
            server.on_load(&load);
        }
        let health = inbound.interface.read_health(&parts);
        server.on_health_response(&health);
        if health.instance.as_deref() == Some(&*server.id.name) {
            let signals = inbound.interface.read_signals(&parts);
            inbound.local_servers.on_health_signals(&server, sent_at, &signals);
        }
        // The connection is reused only if the body was read.
        let _ = body::read_start(body, MAX_RESPONSE_BYTES).await;
    }
}

async fn check_state(
    server: &Arc<LocalServer>,
    may_repeat: impl Fn() -> bool,
) -> Result<ServerState, Failure> {
    let res = health_requests::send(server, HEALTH_PATH, may_repeat).await?;
    let status = res.status();
    read_state(status, res.into_body()).await
}

/// Reads the state from a response. A success without a readable state is considered live, so that
/// endpoints that report no state can be used.
async fn read_state(status: StatusCode, body: Body) -> Result<ServerState, Failure> {
    let body = match body::read_start(body, MAX_RESPONSE_BYTES).await {
        Ok(Start::Whole(bytes)) => serde_json::from_slice::<HealthBody>(&bytes).ok(),
        _ => return Err(Failure::NoAnswer),
    };
    match body {
        Some(body) => Ok(body.state),
        None if status.is_success() => Ok(ServerState::Live),
        None => Err(Failure::NoAnswer),
    }
}
