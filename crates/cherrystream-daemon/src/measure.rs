//! Measures the backend servers of this host, within the budget that operators set.

use crate::door::Door;
use crate::inbound::Inbound;
use crate::metrics::{Metrics, ServerLabel};
use cherrystream_core::health::Check;
use cherrystream_net::body::{self, Body, Start};
use cherrystream_net::clock::Clock;
use cherrystream_net::pool::{NoAnswer, Pool};
use cherrystream_schema::messages::ServerState;
use http::{Request, Response, StatusCode, header};
use serde::Deserialize;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Time between looks at what is due.
const TICK: Duration = Duration::from_millis(50);
/// As `TICK`, while the instance is cold and requests wait for their turn: some three times in a turn.
const COLD_TICK: Duration = Duration::from_millis(10);
/// Longest time for one check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(800);
/// Shortest time between checks; more would tell nothing new.
const INTERVAL_AT_LEAST: Duration = Duration::from_millis(400);
/// Path of the health endpoint.
const HEALTH: &str = "/health";
/// Largest answer of the health endpoint.
const ANSWER_BYTES: usize = 16 * 1024;

/// Answer of the health endpoint.
#[derive(Debug, Deserialize)]
struct HealthAnswer {
    state: ServerState,
}

/// Measures for as long as the process runs.
pub async fn measure(inbound: Arc<Inbound>, m: Measuring) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut due = HashMap::new();
    loop {
        let is_cold = inbound.doors.instance().is_some_and(|door| door.is_cold());
        if is_cold {
            tokio::time::sleep(COLD_TICK).await;
        } else {
            interval.tick().await;
        }
        let now = m.clock.now();
        inbound.expire_reservations();
        inbound.doors.tell_room();
        if let Some(door) = inbound.doors.instance() {
            door.tick();
            // One that gets no work is asked once it gets some again.
            let asks = inbound.check_leaving().is_none();
            if asks && (door.wants_load() || door.wants_warmth()) {
                tokio::spawn(ask_health(door, inbound.clone()));
            }
        }
        for door in inbound.doors.listed() {
            door.tick();
            let at = due.entry(door.id.clone()).or_insert(now);
            if *at <= now {
                *at = now + door.budget.lock().interval().max(INTERVAL_AT_LEAST);
                tokio::spawn(check(door, m.clone()));
            }
        }
    }
}

/// What measuring needs.
#[derive(Clone)]
pub struct Measuring {
    /// The clock.
    pub clock: Clock,
    /// Metrics.
    pub metrics: Metrics,
}

async fn check(door: Arc<Door>, m: Measuring) {
    // The budget is asked where the request is made, so that nothing gets past it.
    if !door.budget.lock().try_spend(m.clock.now()) {
        return;
    }
    m.metrics.measuring.get_or_create(&ServerLabel { server: door.id.name.to_string() }).inc();
    let asked = tokio::time::timeout(CHECK_TIMEOUT, ask(&door.backend)).await;
    let check = match asked {
        Ok(Ok(state)) => Check::Reported(state),
        _ => Check::Failed,
    };
    door.on_check(check);
}

/// Asks an instance whether it is slow or cold, and waits for its word no longer than a check may take.
pub async fn ask_health(door: Arc<Door>, inbound: Arc<Inbound>) {
    let Some(path) = inbound.health_path(&door.id.service) else { return };
    let label = ServerLabel { server: door.id.name.to_string() };
    inbound.metrics.measuring.get_or_create(&label).inc();
    door.on_asked();
    let asked = tokio::time::timeout(CHECK_TIMEOUT, request(&door.backend, &path));
    if let Ok(Ok(res)) = asked.await {
        let (parts, body) = res.into_parts();
        if let Some(load) = inbound.interface.read_load(&parts) {
            door.on_load(&load);
        }
        door.on_health(&inbound.interface.read_health(&parts));
        // The connection is kept only once the answer was read.
        let _ = body::read_start(body, ANSWER_BYTES).await;
    }
}

async fn request(backend: &Pool, path: &str) -> Result<Response<Body>, NoAnswer> {
    let req = Request::get(path)
        .header(header::HOST, backend.address())
        .body(body::empty())
        .map_err(|_| NoAnswer::NotSent)?;
    let connection = backend.connection().await?;
    backend.send(connection, req).await
}

async fn ask(backend: &Pool) -> Result<ServerState, NoAnswer> {
    let res = request(backend, HEALTH).await?;
    let status = res.status();
    read_state(status, res.into_body()).await
}

/// A plain success without a readable state counts as live, so that an endpoint that knows no
/// states can be used.
async fn read_state(status: StatusCode, body: Body) -> Result<ServerState, NoAnswer> {
    let said = match body::read_start(body, ANSWER_BYTES).await {
        Ok(Start::Whole(bytes)) => serde_json::from_slice::<HealthAnswer>(&bytes).ok(),
        _ => return Err(NoAnswer::Broke),
    };
    match said {
        Some(answer) => Ok(answer.state),
        None if status.is_success() => Ok(ServerState::Live),
        None => Err(NoAnswer::Broke),
    }
}
