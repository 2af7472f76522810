//! A backend server of this host: admission control, health and connections.

mod permit;
mod rollout_record;

pub use permit::Permit;

use cherrystream_core::admission::{
    self, Action, Admission, Arrival, Decision, Flow, Refusal, Ticket,
};
use cherrystream_core::backpressure::{
    InstanceKey, SignalChange, SignalHint, SignalReport, SignalTracker, Signals,
};
use cherrystream_core::cold_rate_limit::ColdLimits;
use cherrystream_core::concurrency_limit::{self, ConcurrencyLimit};
use cherrystream_core::health::{Check, Health, ProbeBudget};
use cherrystream_core::nested_calls::NestedCallDetector;
use cherrystream_core::reasons::Reason;
use cherrystream_core::service_times::ServiceTimes;
use cherrystream_core::silent_connections::{self, Evidence, Owing};
use cherrystream_core::slowness;
use cherrystream_core::suspects::CrashDetector;
use cherrystream_core::units::Timestamp;
use cherrystream_net::activity::Activity;
use cherrystream_net::clock::Clock;
use cherrystream_net::interface::{HealthResponse, ServerLoad};
use cherrystream_net::pool::Pool;
use cherrystream_schema::messages::{Instance, Report, ServerState, VersionTally};
use parking_lot::{Mutex, MutexGuard};
use permit::{Ending, Work};
use rollout_record::RolloutRecord;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Shortest time after which a request without a response is considered lost.
const MIN_LOSS_TIMEOUT: Duration = Duration::from_millis(500);
/// Loss timeout of a kind whose usual service time is not known.
const DEFAULT_LOSS_TIMEOUT: Duration = Duration::from_secs(1);
/// Loss timeout as a multiple of the usual service time.
const MAX_SLOWDOWN: u32 = 8;

/// Shortest time between two comparisons of connections.
const COMPARISON_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time until the connection of an overdue response is judged again.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

type Waiter = oneshot::Sender<Result<Permit, Refusal>>;

/// Identifies a backend server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerName {
    /// Its service.
    pub service: Arc<str>,
    /// Its name in the service.
    pub name: Arc<str>,
}

impl ServerName {
    /// Creates a name from a service and the name in it.
    pub fn new(service: &str, name: &str) -> ServerName {
        ServerName { service: service.into(), name: name.into() }
    }
}

/// A backend server of this host, with its admission control. Every request to it passes here.
pub struct LocalServer {
    /// Service and name of the backend server.
    pub id: ServerName,
    /// Version of its software; empty if it reports none.
    pub version: Arc<str>,
    /// Unix time in milliseconds at which its instance started; 0 if not reported.
    pub born_ms: u64,
    /// Whether its instance registers itself, so that a new run has another identity.
    is_registered: bool,
    /// Time for which it serves requests that no other server accepts, once it is leaving.
    leaving_grace: Duration,
    /// Pool of connections to the backend server.
    pub backend: Pool,
    /// Connections that only health checks use.
    pub checks: Pool,
    connection_state: Mutex<ConnectionState>,
    /// Rate limit of its health checks.
    pub probe_budget: Mutex<ProbeBudget>,
    clock: Clock,
    /// Detects crashes and the requests in flight at them. Never locked together with another lock.
    crash_detector: Mutex<CrashDetector>,
    inner: Mutex<Inner>,
}

/// Suspicion that open connections are silent.
#[derive(Default)]
struct ConnectionState {
    /// Latest time since when a connection owes a response that is overdue.
    suspected_since: Option<Timestamp>,
    /// When connections were last compared because of a suspicion.
    compared_at: Option<Timestamp>,
}

struct Inner {
    admission: Admission,
    waiters: HashMap<Ticket, Waiter>,
    health: Health,
    nested_calls: NestedCallDetector,
    service_times: ServiceTimes,
    /// Service times while the backend server is cold: about twice the typical ones.
    cold_service_times: ServiceTimes,
    /// Counts for the roll-out of the service that is in progress.
    rollout: RolloutRecord,
    signals: SignalTracker,
    /// Whether signals of an earlier run were forgotten since the last call of
    /// [`LocalServer::take_forgotten_signals`].
    has_forgotten_signals: bool,
    /// When a change of the stated limit was last logged.
    limit_logged_at: Timestamp,
}

impl LocalServer {
    /// Creates a backend server that is considered live.
    pub fn new(
        id: ServerName,
        backend: Pool,
        opts: admission::Options,
        probes_per_second: u32,
        clock: Clock,
    ) -> LocalServer {
        let inner = Inner {
            admission: Admission::new(opts),
            waiters: HashMap::new(),
            health: Health::default(),
            nested_calls: NestedCallDetector::default(),
            service_times: ServiceTimes::default(),
            cold_service_times: ServiceTimes::default(),
            rollout: RolloutRecord::default(),
            signals: SignalTracker::default(),
            has_forgotten_signals: false,
            limit_logged_at: Timestamp::default(),
        };
        let probe_budget = Mutex::new(ProbeBudget::new(probes_per_second));
        let (crash_detector, inner) = (Mutex::default(), Mutex::new(inner));
        LocalServer {
            id,
            version: "".into(),
            born_ms: 0,
            is_registered: false,
            leaving_grace: Duration::ZERO,
            checks: backend.for_same_address(),
            backend,
            connection_state: Mutex::default(),
            probe_budget,
            clock,
            crash_detector,
            inner,
        }
    }

    /// Waits until the connection of a request is known to be silent: its response takes far longer
    /// than usual, and other connections show that it is not for the backend server. `sent_at` is on
    /// the clock of the pool.
    pub async fn lost(&self, kind: &str, activity: &Activity, sent_at: Timestamp) {
        let typical = self.inner.lock().service_times.typical(kind);
        let (patience, is_usual_known) = (loss_timeout(typical), typical.is_some());
        loop {
            let last_received = activity.traffic().last_received();
            let since = last_received.max(sent_at);
            let owing = Owing { since, last_received, patience, is_usual_known };
            let now = self.backend.now();
            let wait = owing.overdue_at().since(now);
            if !wait.is_zero() {
                tokio::time::sleep(wait).await;
                continue;
            }
            let more_known = self.backend.more_known();
            if silent_connections::is_silent(now, owing, &self.evidence(owing.since)) {
                return;
            }
            self.suspect_connections(owing.since);
            let _ = tokio::time::timeout(OVERDUE_CHECK_INTERVAL, more_known).await;
        }
    }

    /// Returns what is known for a connection that owes a response since a time.
    fn evidence(&self, owing_since: Timestamp) -> Evidence {
        let evidence = self.backend.evidence(owing_since);
        let checks = self.checks.evidence(owing_since);
        let has_older_answered = evidence.has_older_answered || checks.has_older_answered;
        Evidence { has_older_answered, ..evidence }
    }

    /// Records that a connection owes a response for long.
    pub fn suspect_connections(&self, owing_since: Timestamp) {
        let suspected = &mut self.connection_state.lock().suspected_since;
        *suspected = (*suspected).max(Some(owing_since));
    }

    /// Returns the time before which a connection must have been opened to be compared with new
    /// ones, if there is a suspicion; not again for a while.
    pub fn take_suspicion(&self) -> Option<Timestamp> {
        let now = self.backend.now();
        let mut state = self.connection_state.lock();
        if state.compared_at.is_some_and(|at| now.since(at) < COMPARISON_INTERVAL) {
            return None;
        }
        let suspected_since = state.suspected_since.take()?;
        state.compared_at = Some(now);
        Some(suspected_since)
    }

    /// Returns the current time of its clock.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Sets the version and the start time of the instance.
    pub fn with_instance(self, instance: &Instance) -> LocalServer {
        let version = instance.version.as_str().into();
        LocalServer { version, born_ms: instance.born_ms, is_registered: true, ..self }
    }

    /// Sets the time for which it serves requests that no other server accepts, once it is leaving.
    pub fn with_leaving_grace(self, leaving_grace: Duration) -> LocalServer {
        LocalServer { leaving_grace, ..self }
    }

    /// Returns whether the backend server has stated that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.inner.lock().signals.is_leaving()
    }

    /// Sets the roll-out of the service that is in progress, by its start in Unix milliseconds.
    pub fn set_rollout(&self, started_at_ms: Option<u64>) {
        self.inner.lock().rollout.set(started_at_ms);
    }

    /// Returns whether the circuit breaker opened because of failures of the canary version.
    pub fn is_circuit_open(&self) -> bool {
        self.inner.lock().rollout.is_circuit_open(self.clock.now())
    }

    /// Returns the counts of answers since the roll-out in progress started.
    pub fn version_counts(&self) -> Option<VersionTally> {
        let inner = self.inner.lock();
        let (started_at_ms, kinds) = inner.rollout.counts()?;
        Some(VersionTally {
            service: self.id.service.to_string(),
            version: self.version.to_string(),
            run: self.id.name.to_string(),
            started_at_ms,
            at_work: inner.admission.in_flight_count(),
            kinds,
        })
    }

    /// Replaces the settings; requests that were admitted stay.
    pub fn set_options(&self, opts: admission::Options, probes_per_second: u32) {
        self.inner.lock().admission.set_options(opts);
        self.probe_budget.lock().set(probes_per_second);
    }

    /// Locks the crash detector. The guard is dropped before any other lock is taken.
    pub fn crash_detector(&self) -> MutexGuard<'_, CrashDetector> {
        self.crash_detector.lock()
    }

    /// Returns whether the backend server reported or stated that it is leaving.
    pub fn is_draining(&self) -> bool {
        self.inner.lock().admission.is_draining()
    }

    /// Replaces the fixed share of the slots by an adaptive concurrency limit, which may come from
    /// the previous instance.
    pub fn set_concurrency_limit(&self, limit: ConcurrencyLimit) {
        self.inner.lock().admission.set_concurrency_limit(limit);
    }

    /// Returns the adaptive concurrency limit, if there is one.
    pub fn concurrency_limit(&self) -> Option<ConcurrencyLimit> {
        self.inner.lock().admission.concurrency_limit().cloned()
    }

    /// Returns the changes of the concurrency limit since the last call.
    pub fn take_limit_changes(&self) -> Vec<concurrency_limit::Change> {
        let mut inner = self.inner.lock();
        inner.admission.concurrency_limit().map(ConcurrencyLimit::take_changes).unwrap_or_default()
    }

    /// Replaces the limits that apply while the backend server is cold.
    pub fn set_cold(&self, cold: Option<ColdLimits>) {
        self.inner.lock().admission.set_cold(cold);
    }

    /// Waits until a request of a kind is admitted; `flow` is its workspace, if workspaces are in
    /// use.
    ///
    /// # Errors
    ///
    /// Fails if the request is refused; it has not run then.
    pub async fn admit(
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
            Arrived::Admitted(permit) => return Ok(permit),
            Arrived::Queued(ticket, rx) => (ticket, rx),
        };
        let _guard = QueueGuard { server: self, ticket };
        let started = self.clock.now();
        match self.clock.timeout_at(arrival.deadline, rx).await {
            Ok(Ok(result)) => result,
            _ => {
                let retry_after = arrival.deadline.since(started);
                Err(Refusal { reason: Reason::DeadlineBeforeStart, retry_after })
            }
        }
    }

    fn arrive(
        self: &Arc<Self>,
        arrival: Arrival,
        kind: &str,
        flow: Option<&Flow>,
    ) -> Result<Arrived, Refusal> {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let is_cold = inner.admission.is_cold(now);
        let arrival = Arrival { typical_time: inner.times(is_cold).typical(kind), ..arrival };
        let (decision, actions) = inner.admission.arrive_for(now, arrival, flow);
        let arrived = match decision {
            Decision::Run(ticket) => Ok(Arrived::Admitted(self.permit(ticket))),
            Decision::Wait(ticket) => {
                let (tx, rx) = oneshot::channel();
                inner.waiters.insert(ticket, tx);
                Ok(Arrived::Queued(ticket, rx))
            }
            Decision::Refuse(refusal) => Err(refusal),
        };
        let results = self.pair_with_waiters(&mut inner, actions);
        drop(inner);
        deliver(results);
        arrived
    }

    fn permit(self: &Arc<Self>, ticket: Ticket) -> Permit {
        Permit::new(self.clone(), ticket)
    }

    /// Pairs actions with the waiting requests. Results are delivered after the lock is released:
    /// dropping an unclaimed permit takes the lock again.
    fn pair_with_waiters(
        self: &Arc<Self>,
        inner: &mut Inner,
        actions: Vec<Action>,
    ) -> Vec<(Option<Waiter>, Result<Permit, Refusal>)> {
        let mut results = Vec::new();
        for action in actions {
            let (ticket, result) = match action {
                Action::Start(ticket) => (ticket, Ok(self.permit(ticket))),
                Action::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            results.push((inner.waiters.remove(&ticket), result));
        }
        results
    }

    /// Updates the state and delivers the results of the actions that follow.
    fn update<R>(self: &Arc<Self>, f: impl FnOnce(&mut Inner, Timestamp) -> (R, Vec<Action>)) -> R {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let (result, actions) = f(&mut inner, now);
        let results = self.pair_with_waiters(&mut inner, actions);
        drop(inner);
        deliver(results);
        result
    }

    /// Handles the result of a health check; returns the new state.
    pub fn on_check(self: &Arc<Self>, check: Check) -> ServerState {
        self.update(|inner, now| {
            let previous = inner.admission.state();
            let state = inner.health.on_check(check);
            let actions = match previous == state {
                true => Vec::new(),
                false => inner.admission.set_state(now, state),
            };
            (state, actions)
        })
    }

    /// Records a request by its route and the service of the host that it came from; returns
    /// whether it is considered a nested call.
    pub fn is_nested_call(&self, route: &Arc<str>, caller: &Arc<str>) -> bool {
        self.inner.lock().nested_calls.on_request(self.clock.now(), route, caller)
    }

    /// Handles a load report of the backend server.
    pub fn on_load(&self, load: &ServerLoad) {
        self.inner.lock().admission.on_slowness(self.clock.now(), load.slowness);
    }

    /// Handles the signals in the answer to a request that was sent at `sent_at`.
    pub fn on_signals(
        self: &Arc<Self>,
        sent_at: Timestamp,
        signals: &Signals,
    ) -> Vec<SignalChange> {
        self.update_signals(|tracker, now| tracker.on_answer(now, sent_at, signals))
    }

    /// Handles the signals in an answer of the health endpoint to a probe that was sent at
    /// `sent_at`.
    pub fn on_health_signals(
        self: &Arc<Self>,
        sent_at: Timestamp,
        signals: &Signals,
    ) -> Vec<SignalChange> {
        self.update_signals(|tracker, now| tracker.on_health_answer(now, sent_at, signals))
    }

    /// Handles what another daemon knows from earlier answers.
    pub fn on_signal_hint(self: &Arc<Self>, hint: &SignalHint) -> Vec<SignalChange> {
        self.update_signals(|tracker, now| tracker.on_hint(now, hint.limit, hint.leaving))
    }

    fn update_signals(
        self: &Arc<Self>,
        f: impl FnOnce(&mut SignalTracker, Timestamp) -> Vec<SignalChange>,
    ) -> Vec<SignalChange> {
        self.update(|inner, now| {
            let changes = f(&mut inner.signals, now);
            let mut actions = Vec::new();
            for change in &changes {
                match change {
                    SignalChange::Limit { to, .. } => {
                        actions.extend(inner.admission.set_rate_limit(now, *to));
                    }
                    SignalChange::Leaving => {
                        inner.admission.on_leaving(now, self.leaving_grace);
                    }
                    SignalChange::UnreadableLimit | SignalChange::UnreadableLeaving => {}
                }
            }
            (changes, actions)
        })
    }

    /// Returns what other daemons have to know of the signals, if there are any.
    pub fn signal_report(&self) -> Option<SignalReport> {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let (limit, leaving) = (inner.signals.limit(), inner.signals.is_leaving());
        if limit.is_none() && !leaving {
            return None;
        }
        let token_wait = inner.admission.token_wait(now).unwrap_or_default();
        let instance = self.instance_key();
        Some(SignalReport { instance, limit, leaving, token_wait })
    }

    /// Returns the identity of this run of the backend server.
    pub fn instance_key(&self) -> InstanceKey {
        InstanceKey {
            service: self.id.service.clone(),
            name: self.id.name.clone(),
            born_ms: self.born_ms,
        }
    }

    /// Returns whether signals of an earlier run were forgotten since the last call.
    pub fn take_forgotten_signals(&self) -> bool {
        std::mem::take(&mut self.inner.lock().has_forgotten_signals)
    }

    /// Returns whether this is the run of the backend server that a report describes.
    pub fn is_run_of(&self, report: &Instance) -> bool {
        let is_named = *self.id.service == *report.service && *self.id.name == *report.id;
        is_named && self.born_ms == report.born_ms
    }

    /// Returns whether requests wait for the rate limit that the backend server states.
    pub fn waits_for_token(&self) -> bool {
        self.inner.lock().admission.waits_for_token()
    }

    /// Returns whether a change of the stated limit may be logged, at most once in `interval`.
    pub fn may_log_limit(&self, interval: Duration) -> bool {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let may = now.since(inner.limit_logged_at) >= interval;
        if may {
            inner.limit_logged_at = now;
        }
        may
    }

    /// Handles the warmth in a report of the instance; it becomes warm after `cold_for`.
    pub fn on_reported_warmth(&self, sequence: u64, cold_for: Duration) {
        let mut inner = self.inner.lock();
        inner.admission.warmth().on_report(self.clock.now(), sequence, cold_for);
    }

    /// Handles a response of the health endpoint. The response of another instance is ignored.
    pub fn on_health_response(&self, res: &HealthResponse) {
        let is_other = res.instance.as_ref().is_some_and(|name| **name != *self.id.name);
        if let Some(cold_for) = res.cold_for.filter(|_| !is_other) {
            self.inner.lock().admission.warmth().on_health_response(self.clock.now(), cold_for);
        }
    }

    /// Records that the instance received no request before this process knew it.
    pub fn on_new_instance(&self) {
        self.inner.lock().admission.on_new_instance();
    }

    /// Records that a health probe is sent.
    pub fn on_probe_sent(&self) {
        self.inner.lock().admission.on_probe_sent(self.clock.now());
    }

    /// Discards the reported warmth of the backend server.
    pub fn invalidate_warmth(&self) {
        self.inner.lock().admission.warmth().invalidate();
    }

    /// Returns whether the backend server is considered cold.
    pub fn is_cold(&self) -> bool {
        self.inner.lock().admission.is_cold(self.clock.now())
    }

    /// Returns whether a probe of the warmth is due, and marks it as started.
    pub fn start_warmth_probe(&self) -> bool {
        self.inner.lock().admission.start_warmth_probe(self.clock.now())
    }

    fn on_sent(&self, ticket: Ticket) {
        self.inner.lock().admission.on_sent(self.clock.now(), ticket);
    }

    /// Returns whether a request should wait for the reported slowness before it is admitted or
    /// refused.
    pub fn needs_slowness_first(&self, arrival: &Arrival, kind: &str) -> bool {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let is_cold = inner.admission.is_cold(now);
        let arrival = Arrival { typical_time: inner.times(is_cold).typical(kind), ..*arrival };
        !is_cold && inner.admission.needs_slowness_first(now, &arrival)
    }

    /// Records that the backend server did not report its slowness while a request waited for it.
    pub fn on_slowness_timeout(&self) {
        self.inner.lock().admission.on_slowness_timeout(self.clock.now());
    }

    /// Returns whether a probe of the slowness is due.
    pub fn needs_slowness_probe(&self) -> bool {
        self.inner.lock().admission.needs_slowness_probe(self.clock.now())
    }

    /// Handles the passage of time: refuses requests whose wait has expired and starts others.
    pub fn tick(self: &Arc<Self>) {
        self.update(|inner, now| {
            if !self.is_registered && inner.signals.may_be_replaced(now) {
                inner.forget_signals(now);
            }
            ((), inner.admission.tick(now))
        });
    }

    /// Returns the report that is attached to each answer.
    pub fn report(&self, incarnation: u64) -> Report {
        self.inner.lock().admission.report(self.clock.now(), incarnation)
    }
}

impl Inner {
    /// Forgets what an earlier run of the backend server stated.
    fn forget_signals(&mut self, now: Timestamp) {
        self.signals = SignalTracker::default();
        self.admission.forget_signals(now);
        self.has_forgotten_signals = true;
    }

    /// Counts finished work for the roll-out in progress.
    fn count(&mut self, now: Timestamp, work: &Work, ending: Ending) {
        let slowness = u32::midpoint(work.slowness, self.admission.slowness(now));
        let took = now.since(work.since) * slowness::NORMAL / slowness.max(1);
        self.rollout.count(now, work, ending, took);
    }

    /// Records the service time of answered work.
    fn record_service_time(&mut self, now: Timestamp, ticket: Ticket, work: &Work) {
        let done = concurrency_limit::Work {
            kind: &work.kind,
            took: now.since(work.since),
            slowness_before: work.slowness,
        };
        self.admission.on_service_time(now, ticket, &done);
        // The slowness may have changed meanwhile: uses the mean of start and end.
        let slowness = u32::midpoint(work.slowness, self.admission.slowness(now));
        let took = now.since(work.since);
        self.times(work.is_cold).on_answer(now, &work.kind, took, slowness);
    }

    fn times(&mut self, is_cold: bool) -> &mut ServiceTimes {
        match is_cold {
            true => &mut self.cold_service_times,
            false => &mut self.service_times,
        }
    }
}

/// Returns how long a request without a response is not considered lost. A backend server that is
/// several times as slow as usual answers within it.
fn loss_timeout(typical: Option<Duration>) -> Duration {
    typical.map_or(DEFAULT_LOSS_TIMEOUT, |typical| typical * MAX_SLOWDOWN).max(MIN_LOSS_TIMEOUT)
}

/// A request that was not refused on arrival.
enum Arrived {
    Admitted(Permit),
    Queued(Ticket, oneshot::Receiver<Result<Permit, Refusal>>),
}

fn deliver(results: Vec<(Option<Waiter>, Result<Permit, Refusal>)>) {
    for (waiter, result) in results {
        if let Some(waiter) = waiter {
            // If the waiter has gone, the permit is dropped, which frees the slot.
            let _ = waiter.send(result);
        }
    }
}

/// Removes a request from the queue when its caller disconnects.
struct QueueGuard<'a> {
    server: &'a Arc<LocalServer>,
    ticket: Ticket,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let now = self.server.clock.now();
        let mut inner = self.server.inner.lock();
        inner.waiters.remove(&self.ticket);
        inner.admission.leave_queue(now, self.ticket);
    }
}
