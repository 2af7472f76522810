//! The inbound side: forwards requests to the backend servers of this host and reports the outcome
//! of each.

mod attempt;
mod exchange;
mod slowness_probe;

use crate::current_config::CurrentConfigCell;
use crate::local_server::{LocalServer, Permit};
use crate::local_servers::LocalServers;
use crate::metrics::{self, Metrics, ServerLabel};
use crate::refusal::Refused;
use crate::suspects::{IsolationPermit, SuspectTracker};
use attempt::Attempt;
use bytes::Bytes;
use cherrystream_core::admission::{Arrival, Flow};
use cherrystream_core::attempts::{Attempts, Claimed, RequestKey};
use cherrystream_core::backpressure::{SignalHint, SignalReport};
use cherrystream_core::deadline::Deadline;
use cherrystream_core::reasons::Reason;
use cherrystream_core::request_times;
use cherrystream_core::reservations::{Reservation, Reservations};
use cherrystream_core::rollout;
use cherrystream_core::shared;
use cherrystream_core::suspects::{Identity, Treatment};
use cherrystream_net::body::{self, Body};
use cherrystream_net::clock::Clock;
use cherrystream_net::interface::CallInterface;
use cherrystream_net::serve::{Phase, Phases};
use cherrystream_schema::messages::{AttemptState, FenceRequest, Report, RolloutStage};
use http::{Request, Response, response};
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;

/// Largest answer that is buffered whole before its first byte is sent, and cached for resends.
pub const MAX_CACHED_BYTES: usize = 64 * 1024;

/// A request for a backend server of this host.
pub struct InboundCall {
    /// Service of the backend server.
    pub service: Arc<str>,
    /// Chosen backend server.
    pub server: Arc<str>,
    /// Route of the request, or its kind.
    pub kind: Arc<str>,
    /// Service of the host that the request came from, if it has one.
    pub caller: Option<Arc<str>>,
    /// Workspace of the request, if workspaces are in use.
    pub workspace: Option<Arc<str>>,
    /// Weight in load shedding.
    pub weight: u32,
    /// Deadline of the call.
    pub deadline: Deadline,
    /// Longest wait for a slot.
    pub max_wait: Duration,
    /// Whether it is refused at once by a busy or slow backend server.
    pub selective: bool,
    /// Target latency of the route, if it has one.
    pub good_for: Option<Duration>,
    /// Reservation of a slot.
    pub reservation: Option<Reservation>,
    /// Identity of the request, equal for repetitions.
    pub identity: Identity,
    /// Whether it was sent here to run in isolation.
    pub alone: bool,
    /// Whether the sender sends it again if it fails because its connection is silent.
    pub is_resendable: bool,
    /// Identifier of the call.
    pub call: String,
    /// Request key and claim, if the request may not be repeated.
    pub claimed: Option<(RequestKey, Claimed)>,
    /// What the sender knows of the signals of the backend server.
    pub hint: Option<SignalHint>,
    /// The request.
    pub req: Request<Body>,
}

/// Outcome of a request, with a report on the backend server.
pub struct InboundAnswer {
    /// Answer of the backend server, or the refusal.
    pub result: Result<Response<Body>, Refused>,
    /// Report on the backend server, if it runs on this host.
    pub report: Option<Report>,
    /// Signals of the backend server, if there are any.
    pub signals: Option<SignalReport>,
}

/// Outcome of a reservation, with a report on the backend server.
pub struct Reserved {
    /// The reserved slot, or the refusal.
    pub result: Result<Reservation, Refused>,
    /// Report on the backend server, if it runs on this host.
    pub report: Option<Report>,
    /// Signals of the backend server, if there are any.
    pub signals: Option<SignalReport>,
}

/// An answer that is cached for resends.
#[derive(Debug)]
pub struct CachedAnswer {
    parts: response::Parts,
    bytes: Bytes,
}

impl CachedAnswer {
    /// Returns a copy of the answer.
    pub fn response(&self) -> Response<Body> {
        Response::from_parts(self.parts.clone(), body::full(self.bytes.clone()))
    }
}

/// Outcome of an attempt.
pub struct Fate {
    /// State of the attempt.
    pub state: AttemptState,
    /// The answer, while it is cached.
    pub answer: Option<Arc<CachedAnswer>>,
}

/// The inbound side of a daemon.
pub struct Inbound {
    /// Random number that identifies this run of the process.
    pub incarnation: u64,
    /// Backend servers of this host.
    pub local_servers: Arc<LocalServers>,
    pub(crate) interface: Arc<dyn CallInterface>,
    pub(crate) suspects: Arc<SuspectTracker>,
    pub(crate) attempts: Mutex<Attempts<CachedAnswer>>,
    /// Slots reserved for calls whose bodies follow. Never locked together with the admission of a
    /// backend server.
    pub(crate) reservations: Mutex<Reservations<Permit>>,
    pub(crate) current_config: Arc<CurrentConfigCell>,
    pub(crate) host: Arc<str>,
    pub(crate) phases: Phases,
    /// Time after which a long answer is cut off if its reader makes no progress.
    pub(crate) stall_limit: Duration,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
}

impl Inbound {
    /// Forwards a request to its backend server.
    pub async fn call(self: &Arc<Self>, call: InboundCall) -> InboundAnswer {
        let Some(server) = self.server_for(&call) else {
            let result = Err(self.refuse(Reason::NotHere));
            return InboundAnswer { result, report: None, signals: None };
        };
        self.local_servers.on_hint(&server, call.hint.as_ref());
        let result = match self.check_open(&server, &call) {
            Some(reason) => Err(self.refuse(reason)),
            None => self.forward(&server, call).await,
        };
        let report = Some(server.report(self.incarnation));
        InboundAnswer { result, report, signals: server.signal_report() }
    }

    /// Returns the backend server that serves a call. If the sender chose a previous instance, the
    /// running one serves the call, except for a claimed call: a claim in the ledger is bound to
    /// one backend server. After a power loss, for example, every backend server runs as a new
    /// instance.
    fn server_for(&self, call: &InboundCall) -> Option<Arc<LocalServer>> {
        let named = self.local_servers.get(&call.service, &call.server);
        named.or_else(|| match call.claimed {
            None => self.local_servers.instance_of(&call.service),
            Some(_) => None,
        })
    }

    /// Reserves a slot for a call whose body follows.
    pub async fn reserve(self: &Arc<Self>, call: InboundCall) -> Reserved {
        let Some(server) = self.server_for(&call) else {
            let result = Err(self.refuse(Reason::NotHere));
            return Reserved { result, report: None, signals: None };
        };
        self.local_servers.on_hint(&server, call.hint.as_ref());
        let result = match self.check_open(&server, &call) {
            Some(reason) => Err(self.refuse(reason)),
            // A request that runs in isolation takes its place only once its body is here.
            None => match self.check_suspect(&server, &call) {
                Ok(_) => {
                    self.admit(&server, &call).await.map(|permit| self.add_reservation(permit))
                }
                Err(refused) => Err(refused),
            },
        };
        let report = Some(server.report(self.incarnation));
        Reserved { result, report, signals: server.signal_report() }
    }

    fn add_reservation(&self, permit: Permit) -> Reservation {
        let name = Reservation(rand::random());
        self.reservations.lock().reserve(self.clock.now(), name, permit);
        name
    }

    /// Returns the slot that is reserved for a call at a backend server.
    fn take_reservation(&self, server: &Arc<LocalServer>, call: &InboundCall) -> Option<Permit> {
        let name = call.reservation?;
        let permit = self.reservations.lock().take(self.clock.now(), name)?;
        permit.is_for(server).then_some(permit)
    }

    /// Frees the slots whose reservations have expired.
    pub fn expire_reservations(&self) {
        // Dropping a permit locks its admission, so this happens after the lock is released.
        let expired = self.reservations.lock().expire(self.clock.now());
        self.metrics.reservations_expired.inc_by(expired.len() as u64);
    }

    /// Returns the path of the health endpoint of a service of the route table.
    pub fn health_path(&self, service: &str) -> Option<String> {
        let routes = self.current_config.get().routes?;
        let service = routes.services.get(service)?;
        Some(service.health_path.clone())
    }

    /// Returns the outcome of an attempt, and prevents it if it has not started.
    pub fn fence(&self, req: &FenceRequest) -> Fate {
        let mut attempts = self.attempts.lock();
        let state = attempts.fence(req);
        let key = RequestKey { service: req.service.as_str().into(), key: req.key.as_str().into() };
        let answer = (state == AttemptState::Answered).then(|| attempts.answer(&key)).flatten();
        Fate { state, answer }
    }

    fn refuse(&self, reason: Reason) -> Refused {
        self.metrics.inbound_refusals.get_or_create(&metrics::label(reason)).inc();
        Refused::new(reason)
    }

    /// Refuses requests while this host drains, was taken out or is evacuated.
    pub(crate) fn check_leaving(&self) -> Option<Reason> {
        let out = shared::is_out(&self.current_config.get().shared, &self.host);
        (out || self.phases.now() >= Phase::Draining).then_some(Reason::HostLeaving)
    }

    /// Refuses requests while this host drains or has no configuration, which holds the rate limits
    /// of cold backend servers. Without them, a cold backend server got 40 requests in its first
    /// second and failed.
    fn check_ready(&self) -> Option<Reason> {
        let is_configured = self.local_servers.is_configured();
        (!is_configured).then_some(Reason::BusyNow).or_else(|| self.check_leaving())
    }

    /// Returns why a backend server gets no new requests, if it gets none.
    fn check_open(&self, server: &LocalServer, call: &InboundCall) -> Option<Reason> {
        let closed = self.check_ready().or_else(|| self.check_version(server));
        closed.or_else(|| check_leaving_server(server, call))
    }

    /// Refuses requests to a version that was rolled back, and to a canary whose failures opened
    /// the circuit breaker or whose trial control has not confirmed lately: control could not roll
    /// it back then.
    fn check_version(&self, server: &LocalServer) -> Option<Reason> {
        let config = self.current_config.get();
        let rollout = config.shared.config.rollouts.get(&*server.id.service)?;
        if rollout::is_held_back(Some(rollout), &server.version) {
            return Some(Reason::VersionHeldBack);
        }
        let is_canary = rollout::is_in_progress(rollout) && *server.version == *rollout.version;
        if !is_canary {
            return None;
        }
        let trying = rollout.stage == RolloutStage::Trying;
        let confirmed = self.current_config.has_canary_lease(self.clock.now());
        (trying && !confirmed || server.is_circuit_open()).then_some(Reason::VersionInDoubt)
    }

    async fn forward(
        self: &Arc<Self>,
        server: &Arc<LocalServer>,
        call: InboundCall,
    ) -> Result<Response<Body>, Refused> {
        let place = self.check_suspect(server, &call)?;
        let Some((key, claimed)) = call.claimed.clone() else {
            let permit = match self.take_reservation(server, &call) {
                Some(permit) => permit,
                None => self.admit(server, &call).await?,
            };
            return self.exchange(server, permit, place, call).await;
        };
        self.attempts.lock().begin(&key, claimed).map_err(|reason| self.refuse(reason))?;
        let mut attempt = Attempt::new(self.clone(), key, claimed.claim);
        let permit = self.admit(server, &call).await?;
        // Once sent, an unrepeatable request completes even if its caller disconnects, so that a
        // resend gets the answer and not an unknown outcome.
        let (inbound, server, deadline) = (self.clone(), server.clone(), call.deadline);
        let exchange = tokio::spawn(async move {
            let result = inbound.exchange(&server, permit, place, call).await;
            match inbound.clock.timeout_at(deadline.at(), attempt.settle(result)).await {
                Ok(settled) => settled,
                Err(_) => Err(inbound.refuse(Reason::DeadlinePassed)),
            }
        });
        exchange.await.unwrap_or_else(|_| Err(self.refuse(Reason::BackendServerBroke)))
    }

    /// Checks whether a request is a suspect; returns its place if it runs in isolation.
    ///
    /// # Errors
    ///
    /// Fails if the request is quarantined, or may not run in isolation here now.
    fn check_suspect(
        &self,
        server: &Arc<LocalServer>,
        call: &InboundCall,
    ) -> Result<Option<IsolationPermit>, Refused> {
        let must_be_isolated = match self.suspects.treatment(call.identity.request) {
            Treatment::Quarantined(retry_after) => {
                return Err(Refused { retry_after, ..self.refuse(Reason::HeldBack) });
            }
            Treatment::Isolated => true,
            Treatment::Clear | Treatment::Watched => false,
        };
        // The sender does not yet treat the request as a suspect, and has to choose again.
        if must_be_isolated && !call.alone {
            return Err(self.refuse(Reason::RunsAlone));
        }
        if !call.alone {
            return Ok(None);
        }
        let place =
            IsolationPermit::try_acquire(server).ok_or_else(|| self.refuse(Reason::RunsAlone))?;
        Ok(Some(place))
    }

    async fn admit(
        self: &Arc<Self>,
        server: &Arc<LocalServer>,
        call: &InboundCall,
    ) -> Result<Permit, Refused> {
        let nested = call.caller.as_ref().is_some_and(|c| server.is_nested_call(&call.kind, c));
        let now = self.clock.now();
        // The parent request fails without its nested call, so the call waits until its deadline.
        let deadline = match nested {
            true => call.deadline.at(),
            false => request_times::wait_deadline(now, call.deadline.at(), call.max_wait),
        };
        let arrival = Arrival {
            nested,
            weight: call.weight,
            deadline,
            selective: call.selective,
            good_until: call.good_for.map(|time| now + time),
            typical_time: None,
        };
        self.refresh_slowness(server, &arrival, &call.kind).await;
        let flow = self.flow(call);
        // Slots that are freed while the process ends must not start queued requests.
        let admitted = tokio::select! {
            biased;
            () = self.phases.reached(Phase::Ending) => return Err(self.refuse(Reason::HostLeaving)),
            admitted = server.admit(arrival, &call.kind, flow.as_ref()) => admitted,
        };
        let permit = admitted.map_err(|refusal| {
            if refusal.yields_slot() {
                let label = ServerLabel { server: server.id.name.to_string() };
                self.metrics.made_way.get_or_create(&label).inc();
            }
            let refused = self.refuse(refusal.reason);
            Refused { retry_after: refusal.retry_after, ..refused }
        })?;
        // The failure domain may have been evacuated while the request waited.
        match shared::is_evacuated(&self.current_config.get().shared, &self.host) {
            true => Err(self.refuse(Reason::HostLeaving)),
            false => Ok(permit),
        }
    }

    /// Returns the flow of a request in fair queueing, if workspaces are in use: its workspace,
    /// with the permitted rate as its share. Requests of keyless routes form one flow.
    fn flow(&self, call: &InboundCall) -> Option<Flow> {
        let routes =
            self.current_config.get().routes.filter(|routes| !routes.workspaces.is_empty())?;
        let workspace = call.workspace.clone().unwrap_or_default();
        let rate = routes.workspaces.get(&*workspace).map(|known| known.rate_milli_per_s);
        let share = rate.filter(|rate| *rate > 0).map(|rate| rate as f64);
        Some(Flow { workspace, share })
    }
}

/// Refuses requests to a backend server that is leaving, except those whose sender knows that and
/// has no other, and those that a slot was reserved for before.
fn check_leaving_server(server: &LocalServer, call: &InboundCall) -> Option<Reason> {
    let is_last_resort = call.hint.as_ref().is_some_and(|hint| hint.leaving);
    let is_refused = !is_last_resort && call.reservation.is_none() && server.is_leaving();
    is_refused.then_some(Reason::Draining)
}
