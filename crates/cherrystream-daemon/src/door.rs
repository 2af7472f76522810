//! The one door to a backend server of this host.

mod permit;
mod trial;

pub use permit::Permit;

use cherrystream_core::admission::{
    self, Action, Admission, Arrival, Decision, Flow, Refusal, Ticket,
};
use cherrystream_core::cold_rate_limit::ColdLimits;
use cherrystream_core::concurrency_limit::{self, ConcurrencyLimit};
use cherrystream_core::health::{Check, Health, ProbeBudget};
use cherrystream_core::nested_calls::NestedCallDetector;
use cherrystream_core::reasons::Reason;
use cherrystream_core::service_times::ServiceTimes;
use cherrystream_core::slowness;
use cherrystream_core::suspects::CrashDetector;
use cherrystream_core::units::Timestamp;
use cherrystream_net::clock::Clock;
use cherrystream_net::interface::{HealthResponse, ServerLoad};
use cherrystream_net::pool::Pool;
use cherrystream_schema::messages::{Report, ServerState, VersionTally};
use parking_lot::{Mutex, MutexGuard};
use permit::{Ending, Work};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use trial::TrialRecord;

type Waiter = oneshot::Sender<Result<Permit, Refusal>>;

/// Names a backend server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerName {
    /// Its service.
    pub service: Arc<str>,
    /// Its name in the service.
    pub name: Arc<str>,
}

impl ServerName {
    /// Creates the name of a backend server.
    pub fn new(service: &str, name: &str) -> ServerName {
        ServerName { service: service.into(), name: name.into() }
    }
}

/// A door.
pub struct Door {
    /// Names the backend server.
    pub id: ServerName,
    /// Version of its software; empty where it does not tell.
    pub version: Arc<str>,
    /// Connections to the backend server.
    pub backend: Pool,
    /// Budget for measuring it.
    pub budget: Mutex<ProbeBudget>,
    clock: Clock,
    /// Whether its backend server has ended, and under which requests. Taken with no other lock.
    ends: Mutex<CrashDetector>,
    inner: Mutex<Inner>,
}

struct Inner {
    admission: Admission,
    waiters: HashMap<Ticket, Waiter>,
    health: Health,
    callers: NestedCallDetector,
    service_times: ServiceTimes,
    /// As `service_times`, while the backend server is cold: work takes about twice as long then.
    cold_times: ServiceTimes,
    /// The roll-out of its service that is under way.
    trial: TrialRecord,
}

impl Door {
    /// Creates an open door.
    pub fn new(
        id: ServerName,
        backend: Pool,
        opts: admission::Options,
        measuring_per_second: u32,
        clock: Clock,
    ) -> Door {
        let inner = Inner {
            admission: Admission::new(opts),
            waiters: HashMap::new(),
            health: Health::default(),
            callers: NestedCallDetector::default(),
            service_times: ServiceTimes::default(),
            cold_times: ServiceTimes::default(),
            trial: TrialRecord::default(),
        };
        let budget = Mutex::new(ProbeBudget::new(measuring_per_second));
        let (ends, inner) = (Mutex::default(), Mutex::new(inner));
        Door { id, version: "".into(), backend, budget, clock, ends, inner }
    }

    /// Returns the door to a backend server of a version.
    pub fn with_version(self, version: &str) -> Door {
        Door { version: version.into(), ..self }
    }

    /// Follows the roll-out of the service that is under way, by the time of its order.
    pub fn follow_rollout(&self, started_at_ms: Option<u64>) {
        self.inner.lock().trial.follow(started_at_ms);
    }

    /// Returns whether the door stopped for the failures of a version under trial.
    pub fn is_stopped_by_trial(&self) -> bool {
        self.inner.lock().trial.is_stopped(self.clock.now())
    }

    /// Returns what became of requests here since the order of the roll-out that is under way.
    pub fn tally(&self) -> Option<VersionTally> {
        let inner = self.inner.lock();
        let (started_at_ms, kinds) = inner.trial.counted()?;
        Some(VersionTally {
            service: self.id.service.to_string(),
            version: self.version.to_string(),
            run: self.id.name.to_string(),
            started_at_ms,
            at_work: inner.admission.in_flight_count(),
            kinds,
        })
    }

    /// Changes the settings.
    pub fn set_options(&self, opts: admission::Options, measuring_per_second: u32) {
        self.inner.lock().admission.set_options(opts);
        self.budget.lock().set(measuring_per_second);
    }

    /// Returns what is known of ends of the backend server. It is held for one step at a time.
    pub fn ends(&self) -> MutexGuard<'_, CrashDetector> {
        self.ends.lock()
    }

    /// Returns whether the backend server has said that it leaves.
    pub fn is_draining(&self) -> bool {
        self.inner.lock().admission.state() == ServerState::Draining
    }

    /// Learns how much the backend server can take, from what is known of it or of its predecessor.
    pub fn learn_room(&self, room: ConcurrencyLimit) {
        self.inner.lock().admission.set_concurrency_limit(room);
    }

    /// Returns what is learned of how much the backend server can take.
    pub fn room(&self) -> Option<ConcurrencyLimit> {
        self.inner.lock().admission.concurrency_limit().cloned()
    }

    /// Returns the changes of how much the backend server can take since it was last asked.
    pub fn take_room_changes(&self) -> Vec<concurrency_limit::Change> {
        let mut inner = self.inner.lock();
        inner.admission.concurrency_limit().map(ConcurrencyLimit::take_changes).unwrap_or_default()
    }

    /// Changes what the backend server takes while it is cold.
    pub fn set_cold(&self, cold: Option<ColdLimits>) {
        self.inner.lock().admission.set_cold(cold);
    }

    /// Waits until a request of a kind is let in; `flow` is its workspace, where there are workspaces.
    ///
    /// # Errors
    ///
    /// Fails when the request is refused; it is not run then.
    pub async fn enter(
        self: &Arc<Self>,
        arrival: Arrival,
        kind: &Arc<str>,
        flow: Option<&Flow>,
    ) -> Result<Permit, Refusal> {
        let permit = self.wait_for_permit(arrival, kind, flow).await?;
        Ok(permit.begin(kind.clone()))
    }

    async fn wait_for_permit(
        self: &Arc<Self>,
        arrival: Arrival,
        kind: &Arc<str>,
        flow: Option<&Flow>,
    ) -> Result<Permit, Refusal> {
        let (ticket, rx) = match self.arrive(arrival, kind, flow)? {
            Entered::Now(permit) => return Ok(permit),
            Entered::Waits(ticket, rx) => (ticket, rx),
        };
        let _guard = QueueGuard { door: self, ticket };
        let wait = arrival.deadline.since(self.clock.now());
        match tokio::time::timeout(wait, rx).await {
            Ok(Ok(entered)) => entered,
            _ => Err(Refusal { reason: Reason::DeadlineBeforeStart, retry_after: wait }),
        }
    }

    fn arrive(
        self: &Arc<Self>,
        arrival: Arrival,
        kind: &str,
        flow: Option<&Flow>,
    ) -> Result<Entered, Refusal> {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let is_cold = inner.admission.is_cold(now);
        let arrival = Arrival { typical_time: inner.times(is_cold).typical(kind), ..arrival };
        let (decision, actions) = inner.admission.arrive_for(now, arrival, flow);
        let entered = match decision {
            Decision::Run(ticket) => Ok(Entered::Now(self.permit(ticket))),
            Decision::Wait(ticket) => {
                let (tx, rx) = oneshot::channel();
                inner.waiters.insert(ticket, tx);
                Ok(Entered::Waits(ticket, rx))
            }
            Decision::Refuse(refusal) => Err(refusal),
        };
        let told = self.prepare(&mut inner, actions);
        drop(inner);
        tell(told);
        entered
    }

    fn permit(self: &Arc<Self>, ticket: Ticket) -> Permit {
        Permit::new(self.clone(), ticket)
    }

    /// Pairs actions with those who wait for them. They are told after the lock is released: a
    /// permit that nobody takes goes back through the lock.
    fn prepare(
        self: &Arc<Self>,
        inner: &mut Inner,
        actions: Vec<Action>,
    ) -> Vec<(Option<Waiter>, Result<Permit, Refusal>)> {
        let mut told = Vec::new();
        for action in actions {
            let (ticket, result) = match action {
                Action::Start(ticket) => (ticket, Ok(self.permit(ticket))),
                Action::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            told.push((inner.waiters.remove(&ticket), result));
        }
        told
    }

    fn with<R>(self: &Arc<Self>, f: impl FnOnce(&mut Inner, Timestamp) -> (R, Vec<Action>)) -> R {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let (result, actions) = f(&mut inner, now);
        let told = self.prepare(&mut inner, actions);
        drop(inner);
        tell(told);
        result
    }

    /// Takes the result of a health check; returns the state that follows.
    pub fn on_check(self: &Arc<Self>, check: Check) -> ServerState {
        self.with(|inner, now| {
            let was = inner.admission.state();
            let state = inner.health.on_check(check);
            let actions = match was == state {
                true => Vec::new(),
                false => inner.admission.set_state(now, state),
            };
            (state, actions)
        })
    }

    /// Notes a request by its route and the service on whose host it began; returns whether it is
    /// taken for a call by a running request.
    pub fn is_called(&self, route: &Arc<str>, caller: &Arc<str>) -> bool {
        self.inner.lock().callers.on_request(self.clock.now(), route, caller)
    }

    /// Takes the backend server's word on its load.
    pub fn on_load(&self, load: &ServerLoad) {
        self.inner.lock().admission.on_slowness(self.clock.now(), load.slowness);
    }

    /// Takes the word of a report on the warmth of the backend server.
    pub fn on_reported_warmth(&self, sequence: u64, cold_for: Duration) {
        let mut inner = self.inner.lock();
        inner.admission.warmth().on_report(self.clock.now(), sequence, cold_for);
    }

    /// Takes an answer of the health endpoint. One of another instance says nothing of this one.
    pub fn on_health(&self, word: &HealthResponse) {
        let is_other = word.instance.as_ref().is_some_and(|name| **name != *self.id.name);
        if let Some(cold_for) = word.cold_for.filter(|_| !is_other) {
            self.inner.lock().admission.warmth().on_health_response(self.clock.now(), cold_for);
        }
    }

    /// Notes that the backend server got nothing before this process knew it.
    pub fn on_new(&self) {
        self.inner.lock().admission.on_new_instance();
    }

    /// Notes that the health endpoint is asked.
    pub fn on_asked(&self) {
        self.inner.lock().admission.on_probe_sent(self.clock.now());
    }

    /// Forgets what was heard of the warmth of the backend server.
    pub fn doubt_warmth(&self) {
        self.inner.lock().admission.warmth().invalidate();
    }

    /// Returns whether the backend server is given no more than a cold one takes.
    pub fn is_cold(&self) -> bool {
        self.inner.lock().admission.is_cold(self.clock.now())
    }

    /// Returns whether the backend server should be asked how warm it is.
    pub fn wants_warmth(&self) -> bool {
        self.inner.lock().admission.start_warmth_probe(self.clock.now())
    }

    fn on_sent(&self, ticket: Ticket) {
        self.inner.lock().admission.on_sent(self.clock.now(), ticket);
    }

    /// Returns whether a request should wait for the backend server's word on its pace before it is decided on.
    pub fn wants_pace_first(&self, arrival: &Arrival, kind: &str) -> bool {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let is_cold = inner.admission.is_cold(now);
        let arrival = Arrival { typical_time: inner.times(is_cold).typical(kind), ..*arrival };
        !is_cold && inner.admission.needs_slowness_first(now, &arrival)
    }

    /// Notes that the backend server gave no word on its pace while a request waited for it.
    pub fn on_no_pace(&self) {
        self.inner.lock().admission.on_slowness_timeout(self.clock.now());
    }

    /// Returns whether the backend server should be asked for its load.
    pub fn wants_load(&self) -> bool {
        self.inner.lock().admission.needs_slowness_probe(self.clock.now())
    }

    /// Lets time pass.
    pub fn tick(self: &Arc<Self>) {
        self.with(|inner, now| ((), inner.admission.tick(now)));
    }

    /// Returns the numbers that ride on each answer.
    pub fn report(&self, incarnation: u64) -> Report {
        self.inner.lock().admission.report(self.clock.now(), incarnation)
    }
}

impl Inner {
    /// Counts work that has ended for the roll-out that is under way.
    fn count(&mut self, now: Timestamp, work: &Work, ending: Ending) {
        let slowness = u32::midpoint(work.slowness, self.admission.slowness(now));
        let took = now.since(work.since) * slowness::NORMAL / slowness.max(1);
        self.trial.count(now, work, ending, took);
    }

    /// Learns from an answer how long such work takes at the usual pace.
    fn learn(&mut self, now: Timestamp, ticket: Ticket, work: &Work) {
        let done = concurrency_limit::Work {
            kind: &work.kind,
            took: now.since(work.since),
            slowness_before: work.slowness,
        };
        self.admission.on_service_time(now, ticket, &done);
        // The pace may have changed meanwhile: the mean of both ends stands for all of the time.
        let slowness = u32::midpoint(work.slowness, self.admission.slowness(now));
        let took = now.since(work.since);
        self.times(work.is_cold).on_answer(now, &work.kind, took, slowness);
    }

    fn times(&mut self, is_cold: bool) -> &mut ServiceTimes {
        match is_cold {
            true => &mut self.cold_times,
            false => &mut self.service_times,
        }
    }
}

enum Entered {
    Now(Permit),
    Waits(Ticket, oneshot::Receiver<Result<Permit, Refusal>>),
}

fn tell(told: Vec<(Option<Waiter>, Result<Permit, Refusal>)>) {
    for (waiter, result) in told {
        if let Some(waiter) = waiter {
            // A waiter that has gone drops its permit, which frees the slot.
            let _ = waiter.send(result);
        }
    }
}

/// Takes a request out of the queue when its caller goes.
struct QueueGuard<'a> {
    door: &'a Arc<Door>,
    ticket: Ticket,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let now = self.door.clock.now();
        let mut inner = self.door.inner.lock();
        inner.waiters.remove(&self.ticket);
        inner.admission.leave_queue(now, self.ticket);
    }
}
