//! The inbound: passes requests to the backend servers of this host, and tells truthfully what
//! became of each.

mod asking;
mod attempt;
mod exchange;

use crate::current_config::CurrentConfigCell;
use crate::door::{Door, Permit};
use crate::doors::Doors;
use crate::metrics::{self, Metrics, ServerLabel};
use crate::refusal::Refused;
use crate::suspects::{IsolationPermit, SuspectTracker};
use attempt::Attempt;
use bytes::Bytes;
use cherrystream_core::admission::{Arrival, Flow};
use cherrystream_core::attempts::{Attempts, Claimed, RequestKey};
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

/// Answers up to this size are held whole before the first byte goes out.
pub const HELD_BYTES: usize = 64 * 1024;

/// A request for a backend server of this host.
pub struct InboundCall {
    /// Service of the backend server.
    pub service: Arc<str>,
    /// Backend server that was chosen.
    pub server: Arc<str>,
    /// Route that took the request, or its kind.
    pub kind: Arc<str>,
    /// Service on whose host the request began, where hosts have one.
    pub caller: Option<Arc<str>>,
    /// Workspace that it belongs to, where there are workspaces.
    pub workspace: Option<Arc<str>>,
    /// Weight when load is shed.
    pub weight: u32,
    /// When the call ends.
    pub deadline: Deadline,
    /// Longest wait for a slot.
    pub wait_at_most: Duration,
    /// Whether it is to be let in only where it is served well.
    pub selective: bool,
    /// Time within which an answer is good, where the route tells.
    pub good_for: Option<Duration>,
    /// Slot that was reserved for it.
    pub reservation: Option<Reservation>,
    /// What makes it the same request when it comes again.
    pub identity: Identity,
    /// Whether it was sent here to run alone.
    pub alone: bool,
    /// Identifier of the call.
    pub call: String,
    /// Key and claim, if the request may not be repeated.
    pub claimed: Option<(RequestKey, Claimed)>,
    /// The request.
    pub req: Request<Body>,
}

/// What became of a request, with a report on the backend server.
pub struct InboundAnswer {
    /// The backend server's answer, or why there is none.
    pub result: Result<Response<Body>, Refused>,
    /// Report on the backend server, if it is here.
    pub report: Option<Report>,
}

/// Whether a slot is kept for a call, with a report on the backend server.
pub struct Reserved {
    /// The slot, or why there is none.
    pub result: Result<Reservation, Refused>,
    /// Report on the backend server, if it is here.
    pub report: Option<Report>,
}

/// An answer that is held for resends.
#[derive(Debug)]
pub struct HeldAnswer {
    parts: response::Parts,
    bytes: Bytes,
}

impl HeldAnswer {
    /// Returns the answer as it was given first.
    pub fn response(&self) -> Response<Body> {
        Response::from_parts(self.parts.clone(), body::full(self.bytes.clone()))
    }
}

/// What became of an attempt.
pub struct Fate {
    /// State of the attempt.
    pub state: AttemptState,
    /// The answer, while it is held.
    pub answer: Option<Arc<HeldAnswer>>,
}

/// The inbound.
pub struct Inbound {
    /// Random number of this run.
    pub incarnation: u64,
    /// Doors of this host.
    pub doors: Arc<Doors>,
    pub(crate) interface: Arc<dyn CallInterface>,
    pub(crate) suspects: Arc<SuspectTracker>,
    pub(crate) attempts: Mutex<Attempts<HeldAnswer>>,
    /// Slots kept for calls whose bodies follow. Taken before a door's admission, never with it.
    pub(crate) reservations: Mutex<Reservations<Permit>>,
    pub(crate) held: Arc<CurrentConfigCell>,
    pub(crate) host: Arc<str>,
    pub(crate) phases: Phases,
    /// Time after which a long answer that its reader does not take is broken off.
    pub(crate) stall_limit: Duration,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
}

impl Inbound {
    /// Passes a request to its backend server.
    pub async fn call(self: &Arc<Self>, call: InboundCall) -> InboundAnswer {
        let Some(door) = self.door_for(&call) else {
            return InboundAnswer { result: Err(self.refuse(Reason::NotHere)), report: None };
        };
        let result = match self.check_open().or_else(|| self.check_version(&door)) {
            Some(reason) => Err(self.refuse(reason)),
            None => self.pass(&door, call).await,
        };
        InboundAnswer { result, report: Some(door.report(self.incarnation)) }
    }

    /// Returns the door that a call goes through. Its sender may know an earlier instance only, as after a loss of power,
    /// when all backend servers run anew; the one that runs now serves the call as well. A claim in the ledger is for one
    /// backend server.
    fn door_for(&self, call: &InboundCall) -> Option<Arc<Door>> {
        let named = self.doors.get(&call.service, &call.server);
        named.or_else(|| match call.claimed {
            None => self.doors.instance_of(&call.service),
            Some(_) => None,
        })
    }

    /// Keeps a slot for a call whose body is not here yet.
    pub async fn reserve(self: &Arc<Self>, call: InboundCall) -> Reserved {
        let Some(door) = self.door_for(&call) else {
            return Reserved { result: Err(self.refuse(Reason::NotHere)), report: None };
        };
        let result = match self.check_open().or_else(|| self.check_version(&door)) {
            Some(reason) => Err(self.refuse(reason)),
            // The place is taken when the request itself is here.
            None => match self.place_for(&door, &call) {
                Ok(_) => self.enter(&door, &call).await.map(|permit| self.keep(permit)),
                Err(refused) => Err(refused),
            },
        };
        Reserved { result, report: Some(door.report(self.incarnation)) }
    }

    fn keep(&self, permit: Permit) -> Reservation {
        let name = Reservation(rand::random());
        self.reservations.lock().reserve(self.clock.now(), name, permit);
        name
    }

    /// Returns the slot that was kept for a call at a door.
    fn reserved(&self, door: &Arc<Door>, call: &InboundCall) -> Option<Permit> {
        let name = call.reservation?;
        let permit = self.reservations.lock().take(self.clock.now(), name)?;
        permit.is_for(door).then_some(permit)
    }

    /// Frees the slots that were kept in vain.
    pub fn expire_reservations(&self) {
        // A permit goes back through its door's lock, so it is dropped after this one is released.
        let late = self.reservations.lock().expire(self.clock.now());
        self.metrics.reservations_expired.inc_by(late.len() as u64);
    }

    /// Returns the path of the health endpoint of a service that routes name.
    pub fn health_path(&self, service: &str) -> Option<String> {
        let routes = self.held.get().routes?;
        let service = routes.services.get(service)?;
        Some(service.health_path.clone())
    }

    /// Tells what became of an attempt, and forbids it if it has not begun.
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

    /// A host that leaves takes no new work, whoever said that it leaves.
    pub(crate) fn check_leaving(&self) -> Option<Reason> {
        let out = shared::is_out(&self.held.get().shared, &self.host);
        (out || self.phases.now() >= Phase::Draining).then_some(Reason::HostLeaving)
    }

    /// A host that knows no configuration yet takes no work of other hosts: what a cold backend server takes stands there,
    /// and one that got 40 requests in its first second, beside hosts that knew it, fell over.
    fn check_open(&self) -> Option<Reason> {
        let is_open = self.doors.is_configured();
        (!is_open).then_some(Reason::BusyNow).or_else(|| self.check_leaving())
    }

    /// A version that was rolled back gets nothing, whoever sends it. One under trial gets nothing while control does not
    /// say that the trial goes on: nobody would notice then that it is bad.
    fn check_version(&self, door: &Door) -> Option<Reason> {
        let held = self.held.get();
        let rollout = held.shared.config.rollouts.get(&*door.id.service)?;
        if rollout::is_held_back(Some(rollout), &door.version) {
            return Some(Reason::VersionHeldBack);
        }
        let new = rollout::is_in_progress(rollout) && *door.version == *rollout.version;
        if !new {
            return None;
        }
        let trying = rollout.stage == RolloutStage::Trying;
        let vouched = self.held.has_canary_lease(self.clock.now());
        (trying && !vouched || door.is_stopped_by_trial()).then_some(Reason::VersionInDoubt)
    }

    async fn pass(
        self: &Arc<Self>,
        door: &Arc<Door>,
        call: InboundCall,
    ) -> Result<Response<Body>, Refused> {
        let place = self.place_for(door, &call)?;
        let Some((key, claimed)) = call.claimed.clone() else {
            let permit = match self.reserved(door, &call) {
                Some(permit) => permit,
                None => self.enter(door, &call).await?,
            };
            return self.exchange(door, permit, place, call).await;
        };
        self.attempts.lock().begin(&key, claimed).map_err(|reason| self.refuse(reason))?;
        let mut attempt = Attempt::new(self.clone(), key, claimed.claim);
        let permit = self.enter(door, &call).await?;
        // Once sent, an unrepeatable request runs to its end though its caller leaves: a resend
        // then gets the answer in place of an unknown outcome.
        let (inbound, door) = (self.clone(), door.clone());
        let exchange = tokio::spawn(async move {
            let result = inbound.exchange(&door, permit, place, call).await;
            attempt.settle(result).await
        });
        exchange.await.unwrap_or_else(|_| Err(self.refuse(Reason::BackendServerBroke)))
    }

    /// Decides on a request by what is known of it; returns its place, where it runs alone.
    ///
    /// # Errors
    ///
    /// Fails when it is held back, or may not run alone here now.
    fn place_for(
        &self,
        door: &Arc<Door>,
        call: &InboundCall,
    ) -> Result<Option<IsolationPermit>, Refused> {
        let must_be_alone = match self.suspects.treatment(call.identity.request) {
            Treatment::Quarantined(retry_after) => {
                return Err(Refused { retry_after, ..self.refuse(Reason::HeldBack) });
            }
            Treatment::Isolated => true,
            Treatment::Clear | Treatment::Watched => false,
        };
        // Its sender knows less than this door, and would have sent it elsewhere.
        if must_be_alone && !call.alone {
            return Err(self.refuse(Reason::RunsAlone));
        }
        if !call.alone {
            return Ok(None);
        }
        let place =
            IsolationPermit::try_acquire(door).ok_or_else(|| self.refuse(Reason::RunsAlone))?;
        Ok(Some(place))
    }

    async fn enter(
        self: &Arc<Self>,
        door: &Arc<Door>,
        call: &InboundCall,
    ) -> Result<Permit, Refused> {
        let nested = call.caller.as_ref().is_some_and(|c| door.is_called(&call.kind, c));
        let now = self.clock.now();
        // The request that waits for the call is wasted without it, so the call is not given up
        // before its deadline.
        let deadline = match nested {
            true => call.deadline.at(),
            false => request_times::wait_deadline(now, call.deadline.at(), call.wait_at_most),
        };
        let arrival = Arrival {
            nested,
            weight: call.weight,
            deadline,
            selective: call.selective,
            good_until: call.good_for.map(|time| now + time),
            typical_time: None,
        };
        self.hear_pace(door, &arrival, &call.kind).await;
        let flow = self.flow(call);
        // Requests that are given up at the end free their slots, which nobody may take any more.
        let entered = tokio::select! {
            biased;
            () = self.phases.reached(Phase::Ending) => return Err(self.refuse(Reason::HostLeaving)),
            entered = door.enter(arrival, &call.kind, flow.as_ref()) => entered,
        };
        let permit = entered.map_err(|refusal| {
            if refusal.yields_slot() {
                let label = ServerLabel { server: door.id.name.to_string() };
                self.metrics.made_way.get_or_create(&label).inc();
            }
            let refused = self.refuse(refusal.reason);
            Refused { retry_after: refusal.retry_after, ..refused }
        })?;
        // One that waited may find that its failure domain has been evacuated meanwhile.
        match shared::is_evacuated(&self.held.get().shared, &self.host) {
            true => Err(self.refuse(Reason::HostLeaving)),
            false => Ok(permit),
        }
    }

    /// Returns the workspace for which a request shares a door with others, where there are workspaces. Its share is the
    /// rate that it may send. Requests of keyless routes count as one workspace.
    fn flow(&self, call: &InboundCall) -> Option<Flow> {
        let routes = self.held.get().routes.filter(|routes| !routes.workspaces.is_empty())?;
        let workspace = call.workspace.clone().unwrap_or_default();
        let rate = routes.workspaces.get(&*workspace).map(|known| known.rate_milli_per_s);
        let share = rate.filter(|rate| *rate > 0).map(|rate| rate as f64);
        Some(Flow { workspace, share })
    }
}
