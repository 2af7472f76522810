//! The outbound: accepts requests of callers, chooses backend servers and forwards the requests.

mod at_most_once;
mod canaries;
mod choosing;
mod destination;
mod hedging;
mod regions;
mod replay;
mod request;
mod reserving;
mod retrying;
mod send;
mod server_lists;
mod signals;

use crate::current_config::{CurrentConfig, CurrentConfigCell};
use crate::headers;
use crate::inbound::Inbound;
use crate::ledger::LedgerClient;
use crate::metrics::{self, CallLabels, Metrics};
use crate::peer::Peers;
use crate::quotas::Quotas;
use crate::refusal::Refused;
use crate::request_log::{RequestLog, RequestSummary};
use crate::suspects::SuspectTracker;
use crate::sync::NewestPeer;
use canaries::Canary;
use cherrystream_core::backpressure::KnownSignals;
use cherrystream_core::choose::{Server, ServerTable};
use cherrystream_core::elapsed_time::ElapsedTimeEstimator;
use cherrystream_core::reasons::{Outcome, Reason};
use cherrystream_core::retry::{self, RetryBudget};
use cherrystream_core::routes::RouteIndex;
use cherrystream_core::suspects::FingerprintKey;
use cherrystream_core::units::Timestamp;
use cherrystream_net::body::{self, Body};
use cherrystream_net::clock::Clock;
use cherrystream_net::interface::{CallInterface, RefusalHead};
use cherrystream_net::key::Secret;
use cherrystream_net::serve::{Phase, Phases};
use cherrystream_schema::messages::HostRecord;
use cherrystream_schema::settings::ChoicePolicy;
use choosing::Choice;
use http::{Request, Response, header};
use hyper::body::Incoming;
use parking_lot::{Mutex, RwLock};
use rand::rngs::SmallRng;
use request::Call;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// State for choosing among the backend servers of one service.
pub(crate) struct ServiceBalancer {
    table: ServerTable,
    /// The canary, during a roll-out.
    canary: Option<Canary>,
    rng: SmallRng,
    budget: RetryBudget,
    /// Budget of hedged attempts.
    hedges: RetryBudget,
}

impl ServiceBalancer {
    fn on_call(&mut self) {
        self.budget.on_call();
        self.hedges.on_call();
    }

    /// Returns the state of a backend server.
    fn server(&mut self, name: &str) -> Option<&mut Server> {
        let canary = self.canary.as_mut().and_then(|canary| canary.table.server(name));
        canary.or_else(|| self.table.server(name))
    }
}

/// Returns whether a request that was only offered may be offered to another backend server.
fn is_offer_refusal(reason: Reason) -> bool {
    matches!(reason, Reason::BusyNow | Reason::OverServerLimit)
}

/// Largest number of saved hedged attempts.
const MAX_SAVED_HEDGES: f64 = 2.0;

type Balancers = HashMap<Arc<str>, Arc<Mutex<ServiceBalancer>>>;

/// Limits of the retries of an outbound.
#[derive(Clone, Copy, Debug)]
pub struct RetryOptions {
    /// Retries earned by each call.
    pub share: f64,
    /// Hedged attempts earned by each call.
    pub hedge_share: f64,
    /// Retries that all outbounds together may save for a service.
    pub extra: f64,
}

/// Accepts requests of callers and forwards them to backend servers.
pub struct Outbound {
    pub(crate) host: Arc<str>,
    pub(crate) record: HostRecord,
    pub(crate) policy: ChoicePolicy,
    pub(crate) current_config: Arc<CurrentConfigCell>,
    pub(crate) balancers: RwLock<Balancers>,
    pub(crate) inbound: Arc<Inbound>,
    pub(crate) peers: Arc<Peers>,
    pub(crate) quotas: Arc<Quotas>,
    pub(crate) suspects: Arc<SuspectTracker>,
    /// Signals of backend servers. Locked last.
    pub(crate) signals: Mutex<KnownSignals>,
    pub(crate) ledger: Arc<LedgerClient>,
    pub(crate) newest_peer: Arc<NewestPeer>,
    pub(crate) retries: RetryOptions,
    pub(crate) crossing_cost: Duration,
    /// Time for which a backend server that is leaving is used if there is no other.
    pub(crate) leaving_grace: Duration,
    pub(crate) request_log: RequestLog,
    pub(crate) interface: Arc<dyn CallInterface>,
    /// Whether requests without a matching route are refused.
    pub(crate) routes_only: bool,
    /// Service of the backend server on this host.
    pub(crate) caller_service: Option<Arc<str>>,
    pub(crate) routes: RwLock<Arc<RouteIndex>>,
    /// Estimates the time since callers first sent a request. Locked while no other lock is held.
    pub(crate) elapsed_times: Mutex<ElapsedTimeEstimator>,
    pub(crate) key: Option<Secret>,
    pub(crate) fingerprints: FingerprintKey,
    pub(crate) phases: Phases,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
}

/// Result of a call or of one attempt.
type AttemptResult = Result<Response<Body>, Refused>;

impl Outbound {
    /// Answers a request of a caller.
    pub async fn answer(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let started = self.clock.now();
        let current = self.current_config.get();
        let (head, incoming) = req.into_parts();
        let caller = self.interface.read_caller(&head);
        let id = caller.as_ref().ok().and_then(|caller| caller.id.clone());
        let key = caller.as_ref().ok().and_then(|caller| caller.key.clone());
        let arrived = request::Arrived { head, caller, body: body::incoming(incoming) };
        let (mut summary, result) = match request::read(&self, &current, arrived).await {
            Ok(mut call) => {
                if let Some(balancer) = self.balancer(&call.service) {
                    balancer.lock().on_call();
                }
                let result = self.execute_until_stop(&mut call, &current).await;
                self.refund_unused(&call, &result);
                (call.summary(), result)
            }
            Err(refused) => {
                let id = id.clone().unwrap_or_default();
                (RequestSummary { id, ..RequestSummary::default() }, Err(refused))
            }
        };
        let now = self.clock.now();
        let took = now.since(started);
        let reason = result.as_ref().err().map(|refused| refused.reason);
        if reason == Some(Reason::UnknownKey) {
            summary.key = key.map(|key| key.fingerprint());
        }
        self.request_log.finish(now, &summary, reason, took, current.revision);
        self.metrics.call_seconds.observe(took.as_secs_f64());
        self.write_answer(summary, id, result)
    }

    /// Returns the quota charge of a request that did not run.
    fn refund_unused(&self, call: &Call, result: &AttemptResult) {
        let Err(refused) = result else { return };
        let Some(charge) = call.charge.as_ref() else { return };
        if refused.reason.outcome() == Outcome::NotRun {
            self.quotas.give_back(charge);
        }
    }

    /// Executes a request, unless this process stops first.
    async fn execute_until_stop(&self, call: &mut Call, current: &CurrentConfig) -> AttemptResult {
        let stopped = async {
            self.phases.reached(Phase::Ending).await;
            tokio::time::sleep(INBOUND_GRACE).await;
        };
        let result = tokio::select! {
            result = self.execute(call, current) => result,
            () = stopped => Err(Refused::new(match call.is_in_flight() {
                true => Reason::HostEnded,
                false => Reason::HostLeaving,
            })),
        };
        if let Some(unread) = call.body.take_stream() {
            replay::discard(unread);
        }
        result.map_err(|refused| call.final_refusal(refused))
    }

    async fn execute(&self, call: &mut Call, current: &CurrentConfig) -> AttemptResult {
        match call.key.clone() {
            Some(key) => self.run_once(call, key, current).await,
            None => self.run(call, current).await,
        }
    }

    /// Makes attempts until a backend server answers or no retry is allowed.
    async fn run(&self, call: &mut Call, current: &CurrentConfig) -> AttemptResult {
        call.try_canary = self.draws_canary(call);
        loop {
            call.check_key(&self.routes())?;
            self.check_suspect(call)?;
            let server = match self.choose_next(call)? {
                Choice::Server(server) => server,
                Choice::Wait(wait) => {
                    tokio::time::sleep(wait).await;
                    continue;
                }
            };
            let selective = call.is_selective();
            let result = self.attempt_hedged(call, current, &server).await;
            let busy = matches!(&result, Err(refused) if is_offer_refusal(refused.reason));
            if selective && !busy {
                call.tried.push(server.name.clone());
            }
            match result {
                Ok(res) => return Ok(res),
                Err(refused) if is_offer_refusal(refused.reason) && call.is_selective() => {
                    if !call.stays_nearby(self.clock.now()) {
                        call.selective_offers -= 1;
                        call.busy.push(server.name.clone());
                    }
                }
                Err(refused) => self.decide_retry(call, refused)?,
            }
        }
    }

    pub(crate) fn balancer(&self, service: &str) -> Option<Arc<Mutex<ServiceBalancer>>> {
        self.balancers.read().get(service).cloned()
    }

    /// Returns the current routes and workspaces.
    pub(crate) fn routes(&self) -> Arc<RouteIndex> {
        self.routes.read().clone()
    }

    fn write_answer(
        &self,
        summary: RequestSummary,
        id: Option<String>,
        result: AttemptResult,
    ) -> Response<Body> {
        let (mut res, outcome) = match result {
            Ok(mut res) => {
                self.interface.mark_answered(res.headers_mut(), &summary.id);
                (res, Outcome::Answered)
            }
            Err(refused) => {
                let reason = refused.reason;
                self.metrics.refusals.get_or_create(&metrics::label(reason)).inc();
                let retry_after = retry::retry_after(refused.retry_after, &mut rand::rng());
                let head = RefusalHead { reason, retry_after, id: id.as_deref() };
                (self.interface.write_refusal(&head), reason.outcome())
            }
        };
        let RequestSummary { service, kind, .. } = summary;
        let labels = CallLabels { service, kind, outcome: outcome.as_str() };
        self.metrics.calls.get_or_create(&labels).inc();
        // Makes a caller with a persistent connection move to another host.
        if self.phases.now() != Phase::Serving {
            headers::set_static(res.headers_mut(), header::CONNECTION, "close");
        }
        res
    }

    /// Returns the time until which a request waits for the ledger before it is refused.
    fn ledger_deadline(&self, call: &Call) -> Timestamp {
        call.deadline.at().min(self.clock.now() + MAX_LEDGER_WAIT)
    }
}

/// Additional time at the end of a stop, in which the inbound can report which requests did not
/// run.
const INBOUND_GRACE: Duration = Duration::from_millis(20);
/// Longest wait for the ledger. Covers an election.
const MAX_LEDGER_WAIT: Duration = Duration::from_secs(3);
