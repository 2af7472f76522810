//! The outbound: takes callers' requests, chooses backend servers and sends the requests on.

mod aim;
mod choosing;
mod hedging;
mod listing;
mod once;
mod regions;
mod replay;
mod request;
mod reserving;
mod retrying;
mod send;
mod trials;

use crate::headers;
use crate::held::{Held, HeldCell};
use crate::inbound::Inbound;
use crate::ledger::LedgerClient;
use crate::metrics::{self, CallLabels, Metrics};
use crate::peer::Peers;
use crate::quotas::Quotas;
use crate::refusal::Refused;
use crate::request_log::{RequestLog, RequestSummary};
use crate::suspects::SuspectWatch;
use crate::sync::Newer;
use cherrystream_core::choose::{Server, Table};
use cherrystream_core::elapsed_time::ElapsedTimeEstimator;
use cherrystream_core::reasons::{Outcome, Reason};
use cherrystream_core::retry::{self, RetryBudget};
use cherrystream_core::routes::RouteIndex;
use cherrystream_core::suspects::FingerprintKey;
use cherrystream_net::body::{self, Body};
use cherrystream_net::clock::Clock;
use cherrystream_net::interface::{CallInterface, RefusalHead};
use cherrystream_net::key::Secret;
use cherrystream_net::serve::{Phase, Phases};
use cherrystream_schema::messages::HostRecord;
use cherrystream_schema::settings::ChoicePolicy;
use choosing::Next;
use http::{Request, Response, header};
use hyper::body::Incoming;
use parking_lot::{Mutex, RwLock};
use rand::rngs::SmallRng;
use request::Call;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use trials::Trial;

/// A table with the random numbers of its choices.
pub(crate) struct Choosing {
    table: Table,
    /// The version under trial, where there is one.
    trial: Option<Trial>,
    rng: SmallRng,
    budget: RetryBudget,
    /// Part of the retries that second attempts may use while the first one runs.
    hedges: RetryBudget,
}

impl Choosing {
    fn on_call(&mut self) {
        self.budget.on_call();
        self.hedges.on_call();
    }

    /// Returns what is known of a backend server.
    fn server(&mut self, name: &str) -> Option<&mut Server> {
        let trial = self.trial.as_mut().and_then(|trial| trial.table.server(name));
        trial.or_else(|| self.table.server(name))
    }
}

/// Second attempts that may be saved up.
const HEDGES_SAVED: f64 = 2.0;

type Tables = HashMap<Arc<str>, Arc<Mutex<Choosing>>>;

/// How many retries an outbound may make.
#[derive(Clone, Copy, Debug)]
pub struct RetryOptions {
    /// Retries for each call.
    pub share: f64,
    /// Second attempts for each call, made while the first one runs.
    pub hedge_share: f64,
    /// Retries beyond that which all outbounds together may save up for a service.
    pub extra: f64,
}

/// The outbound.
pub struct Outbound {
    pub(crate) host: Arc<str>,
    pub(crate) record: HostRecord,
    pub(crate) policy: ChoicePolicy,
    pub(crate) held: Arc<HeldCell>,
    pub(crate) tables: RwLock<Tables>,
    pub(crate) inbound: Arc<Inbound>,
    pub(crate) peers: Arc<Peers>,
    pub(crate) quotas: Arc<Quotas>,
    pub(crate) suspects: Arc<SuspectWatch>,
    pub(crate) ledger: Arc<LedgerClient>,
    pub(crate) newer: Arc<Newer>,
    pub(crate) retries: RetryOptions,
    pub(crate) crossing_cost: Duration,
    pub(crate) request_log: RequestLog,
    pub(crate) interface: Arc<dyn CallInterface>,
    /// Whether only requests that a route takes are served.
    pub(crate) routes_only: bool,
    /// Service of the backend server beside this daemon.
    pub(crate) caller_service: Option<Arc<str>>,
    pub(crate) routes: RwLock<Arc<RouteIndex>>,
    /// Patience of callers by kind of request. Taken with no other lock.
    pub(crate) first_asked: Mutex<ElapsedTimeEstimator>,
    pub(crate) key: Option<Secret>,
    pub(crate) fingerprints: FingerprintKey,
    pub(crate) phases: Phases,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
}

/// Result of a call, or of one attempt.
type Tried = Result<Response<Body>, Refused>;

impl Outbound {
    /// Answers a caller.
    pub async fn answer(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let started = self.clock.now();
        let held = self.held.get();
        let (head, incoming) = req.into_parts();
        let caller = self.interface.read_caller(&head);
        let id = caller.as_ref().ok().and_then(|caller| caller.id.clone());
        let key = caller.as_ref().ok().and_then(|caller| caller.key.clone());
        let arrived = request::Arrived { head, caller, body: body::incoming(incoming) };
        let (mut summary, result) = match request::read(&self, &held, arrived).await {
            Ok(mut call) => {
                if let Some(table) = self.table(&call.service) {
                    table.lock().on_call();
                }
                let result = self.carry_out_in_time(&mut call, &held).await;
                self.settle(&call, &result);
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
        self.request_log.finish(now, &summary, reason, took, held.revision);
        self.metrics.call_seconds.observe(took.as_secs_f64());
        self.write_answer(summary, id, result)
    }

    /// Gives back the part of the quota of a request that was not run and never will be.
    fn settle(&self, call: &Call, result: &Tried) {
        let Err(refused) = result else { return };
        let Some(charge) = call.charge.as_ref() else { return };
        if refused.reason.outcome() == Outcome::NotRun {
            self.quotas.give_back(charge);
        }
    }

    /// Carries a request out, unless the time of this process is over before that.
    async fn carry_out_in_time(&self, call: &mut Call, held: &Held) -> Tried {
        let time_is_over = async {
            self.phases.reached(Phase::Ending).await;
            tokio::time::sleep(DOORS_FIRST).await;
        };
        let tried = tokio::select! {
            tried = self.carry_out(call, held) => tried,
            () = time_is_over => Err(Refused::new(match call.is_under_way() {
                true => Reason::HostEnded,
                false => Reason::HostLeaving,
            })),
        };
        if let Some(unread) = call.body.take_stream() {
            replay::discard(unread);
        }
        tried.map_err(|refused| call.tell(refused))
    }

    async fn carry_out(&self, call: &mut Call, held: &Held) -> Tried {
        match call.key.clone() {
            Some(key) => self.run_once(call, key, held).await,
            None => self.run(call, held).await,
        }
    }

    /// Tries backend servers until one answers or no further attempt is allowed.
    async fn run(&self, call: &mut Call, held: &Held) -> Tried {
        call.on_trial = self.draws_trial(call);
        loop {
            call.check_key(&self.routes())?;
            self.check_suspect(call)?;
            let server = match self.choose_next(call)? {
                Next::Server(server) => server,
                Next::Later(wait) => {
                    tokio::time::sleep(wait).await;
                    continue;
                }
            };
            let selective = call.is_selective();
            let tried = self.attempt_hedged(call, held, &server).await;
            let busy = matches!(&tried, Err(refused) if refused.reason == Reason::BusyNow);
            if selective && !busy {
                call.tried.push(server.name.clone());
            }
            match tried {
                Ok(res) => return Ok(res),
                Err(refused) if refused.reason == Reason::BusyNow && call.is_selective() => {
                    if !call.stays_nearby(self.clock.now()) {
                        call.selective_offers -= 1;
                        call.busy.push(server.name.clone());
                    }
                }
                Err(refused) => self.weigh_retry(call, refused)?,
            }
        }
    }

    pub(crate) fn table(&self, service: &str) -> Option<Arc<Mutex<Choosing>>> {
        self.tables.read().get(service).cloned()
    }

    /// Returns the routes in force, with the workspaces.
    pub(crate) fn routes(&self) -> Arc<RouteIndex> {
        self.routes.read().clone()
    }

    fn write_answer(
        &self,
        summary: RequestSummary,
        id: Option<String>,
        result: Tried,
    ) -> Response<Body> {
        let (mut res, outcome) = match result {
            Ok(mut res) => {
                self.interface.mark_answered(res.headers_mut(), &summary.id);
                (res, Outcome::Answered)
            }
            Err(refused) => {
                let reason = refused.reason;
                self.metrics.refusals.get_or_create(&metrics::label(reason)).inc();
                let retry_after = retry::return_after(refused.retry_after, &mut rand::rng());
                let head = RefusalHead { reason, retry_after, id: id.as_deref() };
                (self.interface.write_refusal(&head), reason.outcome())
            }
        };
        let RequestSummary { service, kind, .. } = summary;
        let labels = CallLabels { service, kind, outcome: outcome.as_str() };
        self.metrics.calls.get_or_create(&labels).inc();
        // A caller on a kept connection learns that it should go to another host.
        if self.phases.now() != Phase::Serving {
            headers::set_static(res.headers_mut(), header::CONNECTION, "close");
        }
        res
    }

    /// Returns the time that may be spent on the ledger before a request is refused.
    fn patience(&self, call: &Call) -> Duration {
        let remaining = call.deadline.remaining(self.clock.now()).unwrap_or_default();
        remaining.min(LEDGER_PATIENCE)
    }
}

/// Time at the end of a stop for the doors of this host: they know which requests were not run.
const DOORS_FIRST: Duration = Duration::from_millis(20);
/// Longest wait for the ledger: an election is over by then.
const LEDGER_PATIENCE: Duration = Duration::from_secs(3);
