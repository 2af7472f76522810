//! Health checks and probes of the backend servers of this host, within the configured rate.

use crate::health_requests::{self, Budget, Failure};
use crate::inbound::Inbound;
use crate::local_server::LocalServer;
use crate::metrics::{Metrics, ServerLabel};
use cherrystream_core::health::Check;
use cherrystream_core::units::Timestamp;
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
            let needs_probe = server.needs_slowness_probe() || server.start_warmth_probe();
            if is_in_service && needs_probe {
                tokio::spawn(probe_health(server.clone(), inbound.clone()));
            }
            if is_in_service && let Some(opened_before) = server.take_suspicion() {
                tokio::spawn(compare_of_instance(server, inbound.clone(), opened_before));
            }
        }
        for server in inbound.local_servers.listed() {
            server.tick();
            if let Some(opened_before) = server.take_suspicion() {
                tokio::spawn(compare(server.clone(), cx.clone(), opened_before));
            }
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

/// Returns the budget of health requests to a listed backend server. It is spent where a request is
/// sent, so that no check bypasses it.
fn budget(server: &Arc<LocalServer>, cx: &HealthCheckContext) -> impl Budget + use<> {
    let label = ServerLabel { server: server.id.name.to_string() };
    let measured = cx.metrics.measuring.get_or_create_owned(&label);
    let (server, clock) = (server.clone(), cx.clock);
    move || {
        let may = server.probe_budget.lock().try_spend(clock.now());
        measured.inc_by(u64::from(may));
        may
    }
}

/// Finds out whether connections to a listed backend server are silent.
async fn compare(server: Arc<LocalServer>, cx: HealthCheckContext, opened_before: Timestamp) {
    let budget = budget(&server, &cx);
    if budget() {
        health_requests::compare(&server, HEALTH_PATH, opened_before, budget).await;
    }
}

/// Finds out whether connections to an instance are silent.
async fn compare_of_instance(
    server: Arc<LocalServer>,
    inbound: Arc<Inbound>,
    opened_before: Timestamp,
) {
    let Some(path) = inbound.health_path(&server.id.service) else { return };
    let budget = instance_budget(&server, &inbound);
    if budget() {
        health_requests::compare(&server, &path, opened_before, budget).await;
    }
}

/// Returns the budget of health requests to an instance, which only counts them.
fn instance_budget(server: &LocalServer, inbound: &Inbound) -> impl Budget + use<> {
    let label = ServerLabel { server: server.id.name.to_string() };
    let measured = inbound.metrics.measuring.get_or_create_owned(&label);
    move || {
        measured.inc();
        true
    }
}

async fn check(server: Arc<LocalServer>, cx: HealthCheckContext) {
    let budget = budget(&server, &cx);
    if !budget() {
        return;
    }
    let result = tokio::time::timeout(CHECK_TIMEOUT, check_state(&server, budget)).await;
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
    let budget = instance_budget(&server, &inbound);
    budget();
    server.on_probe_sent();
    let sent_at = server.now();
    let response =
        tokio::time::timeout(CHECK_TIMEOUT, health_requests::send(&server, &path, budget));
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
    budget: impl Budget,
) -> Result<ServerState, Failure> {
    let res = health_requests::send(server, HEALTH_PATH, budget).await?;
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
