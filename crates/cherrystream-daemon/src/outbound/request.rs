//! Reads a caller's request.

use super::Outbound;
use super::destination::{self, Destination, ParsedHead};
use super::regions::Regions;
use super::replay::{self, MAX_BUFFERED_BYTES, Replay};
use crate::current_config::CurrentConfig;
use crate::headers;
use crate::refusal::Refused;
use crate::request_log::RequestSummary;
use cherrystream_core::deadline::Deadline;
use cherrystream_core::kinds::RequestClass;
use cherrystream_core::quota::Charge;
use cherrystream_core::reasons::{Outcome, Reason};
use cherrystream_core::request_times::{RequestTimes, TimeInputs};
use cherrystream_core::retry::{self, Allowance};
use cherrystream_core::routes::RouteIndex;
use cherrystream_core::suspects::identity::{self, Identity};
use cherrystream_core::units::Timestamp;
use cherrystream_core::workspaces::{ApiKey, NamedWorkspace};
use cherrystream_net::body::Body;
use cherrystream_net::interface::CallerHead;
use http::{HeaderMap, Method, Uri, header, request};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Largest body of a non-repeatable request, which is buffered until its claim is recorded.
const MAX_KEYED_BODY_BYTES: usize = 1024 * 1024;
/// Number of backend servers that may refuse a request as busy before it queues.
const MAX_SELECTIVE_OFFERS: u32 = 4;

/// A request as received.
pub(super) struct Arrived {
    pub(super) head: request::Parts,
    pub(super) caller: Result<CallerHead, Reason>,
    pub(super) body: Body,
}

/// A request being processed.
pub(super) struct Call {
    pub(super) id: String,
    pub(super) service: Arc<str>,
    pub(super) class: RequestClass,
    pub(super) deadline: Deadline,
    pub(super) allowance: Allowance,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Replay,
    /// Idempotency key of a non-repeatable request.
    pub(super) key: Option<Arc<str>>,
    /// Names of the backend servers that were tried.
    pub(super) tried: Vec<Arc<str>>,
    /// Names of the backend servers that refused the request as busy.
    pub(super) busy: Vec<Arc<str>>,
    /// Number of refusals by servers that are draining; these are not counted as attempts.
    pub(super) draining_refusals: u32,
    /// Number of failed attempts.
    pub(super) attempts: u32,
    /// Number of backend servers that the request has reached.
    pub(super) arrivals: u32,
    /// Largest number of backend servers that it may reach.
    pub(super) max_arrivals: u32,
    /// Number of granted retries that reach another backend server.
    pub(super) granted_retries: u32,
    /// Number of attempts in flight, including hedged ones.
    pub(super) in_flight: Arc<AtomicUsize>,
    /// Failure of an attempt that may have run.
    pub(super) unknown_outcome: Option<Reason>,
    /// Remaining offers that backend servers may refuse as busy.
    pub(super) selective_offers: u32,
    /// Time limits, if its route has a target latency.
    pub(super) times: Option<RequestTimes>,
    /// Workspace of the request and the key that identified it.
    pub(super) member: Option<Member>,
    /// Charge to the quota of its workspace. A hedged attempt has none, as it belongs to the same
    /// request.
    pub(super) charge: Option<Charge>,
    /// Identity of the request, the same for each repetition of it.
    pub(super) identity: Identity,
    /// Whether it runs in isolation, as a suspect request.
    pub(super) alone: bool,
    /// Whether it is offered to the canary first.
    pub(super) try_canary: bool,
    /// Regions in which it may be served.
    pub(super) regions: Regions,
}

/// Workspace of a request.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) workspace: Arc<NamedWorkspace>,
    pub(super) key: ApiKey,
    /// Whether the request would have been refused without its key.
    pub(super) key_required: bool,
    /// Routes and workspaces against which the key was last checked.
    pub(super) checked_against: Arc<RouteIndex>,
}

impl Call {
    /// Makes the request run in isolation: on one given backend server, where it queues if
    /// necessary.
    pub(super) fn run_alone(&mut self) {
        self.alone = true;
        self.selective_offers = 0;
    }

    /// Returns whether backend servers may refuse the request as busy.
    pub(super) fn is_selective(&self) -> bool {
        self.selective_offers > 0
    }

    /// Returns whether the request stays in its own failure domain for now.
    pub(super) fn stays_nearby(&self, now: Timestamp) -> bool {
        self.is_selective() && self.times.is_some_and(|times| times.stays_in_own_domain(now))
    }

    /// Returns a copy of the request for a hedged attempt.
    pub(super) fn fork_for_hedge(&self) -> Option<Call> {
        let times = self.times.filter(|times| times.hedge_after.is_some())?;
        let Replay::Whole(bytes) = &self.body else { return None };
        // After a failure the request is retried instead.
        if self.arrivals > 0 || self.max_arrivals < 2 {
            return None;
        }
        Some(Call {
            id: self.id.clone(),
            service: self.service.clone(),
            class: self.class.clone(),
            deadline: self.deadline,
            allowance: self.allowance,
            method: self.method.clone(),
            uri: self.uri.clone(),
            headers: self.headers.clone(),
            body: Replay::Whole(bytes.clone()),
            key: None,
            tried: self.tried.clone(),
            busy: Vec::new(),
            draining_refusals: 0,
            attempts: 0,
            arrivals: 0,
            max_arrivals: 1,
            granted_retries: 0,
            in_flight: self.in_flight.clone(),
            unknown_outcome: None,
            selective_offers: 1,
            times: Some(RequestTimes { own_domain_until: None, ..times }),
            member: self.member.clone(),
            charge: None,
            identity: self.identity,
            alone: self.alone,
            try_canary: false,
            regions: self.regions.clone(),
        })
    }

    /// Returns the name of the workspace.
    pub(super) fn workspace_name(&self) -> Option<&Arc<str>> {
        self.member.as_ref().map(|member| &member.workspace.name)
    }

    /// Checks that the workspace key is still valid, as the request may have waited since the last
    /// check. If the key is not required, a request with an invalid key continues without a
    /// workspace.
    ///
    /// # Errors
    ///
    /// Fails if the key is required and no longer valid.
    pub(super) fn check_key(&mut self, routes: &Arc<RouteIndex>) -> Result<(), Refused> {
        let Some(member) = &mut self.member else { return Ok(()) };
        if Arc::ptr_eq(&member.checked_against, routes) {
            return Ok(());
        }
        match routes.workspaces().workspace_for_key(&member.key) {
            Some(holder) => {
                member.workspace = holder.clone();
                member.checked_against = routes.clone();
            }
            None if member.key_required => return Err(Refused::new(Reason::UnknownKey)),
            None => self.member = None,
        }
        Ok(())
    }

    /// Returns whether an attempt is in flight.
    pub(super) fn is_in_flight(&self) -> bool {
        self.in_flight.load(Ordering::Relaxed) > 0
    }

    /// Returns whether the request can be sent again instead of waiting for an answer on a silent
    /// connection, on which it may have run.
    pub(super) fn is_repeatable_after_silence(&self) -> bool {
        let arrivals = self.arrivals as usize + self.in_flight.load(Ordering::Relaxed);
        self.class.repeatable
            && self.key.is_none()
            && !self.alone
            && self.attempts + 1 < retry::MAX_ATTEMPTS
            && self.body.is_replayable()
            && self.allowance.covers_silence()
            && arrivals < self.max_arrivals as usize
    }

    /// Returns the refusal reported to the caller. It states that the request did not run only if
    /// no attempt may have run.
    pub(super) fn final_refusal(&self, refused: Refused) -> Refused {
        match self.unknown_outcome.filter(|_| refused.reason.outcome() == Outcome::NotRun) {
            Some(reason) => Refused { reason, ..refused },
            None => refused,
        }
    }

    /// Returns the summary for the request log.
    pub(super) fn summary(&self) -> RequestSummary {
        RequestSummary {
            id: self.id.clone(),
            kind: self.class.kind.clone(),
            service: self.service.to_string(),
            workspace: self.workspace_name().cloned(),
            key: None,
            fingerprint: Some(self.identity.request),
            busy: self.busy.clone(),
            tried: self.tried.clone(),
            attempts: self.attempts,
            arrivals: self.arrivals,
        }
    }

    /// Returns a hash by which requests with the same idempotency key are compared. Includes the
    /// workspace, so that no workspace receives a response of another one.
    pub(super) fn fingerprint(&self) -> u64 {
        let mut hasher = SipHasher13::new();
        if let Some(workspace) = self.workspace_name() {
            workspace.hash(&mut hasher);
        }
        self.method.as_str().hash(&mut hasher);
        self.uri.to_string().hash(&mut hasher);
        if let Replay::Whole(bytes) = &self.body {
            bytes.hash(&mut hasher);
        }
        hasher.finish()
    }
}

/// Reads the head of a request, and its body if it is short.
pub(super) async fn read(
    outbound: &Outbound,
    current: &CurrentConfig,
    arrived: Arrived,
) -> Result<Call, Refused> {
    let Arrived { head: parts, caller, body } = arrived;
    let parsed = match destination::read_head(outbound, current, &parts, caller) {
        Ok(parsed) => parsed,
        Err(refused) => {
            // Further requests may follow on the same connection.
            replay::discard(body);
            return Err(refused);
        }
    };
    let ParsedHead { head, destination, key, uri } = parsed;
    let Destination { service, class, route, member, strips_key } = destination;
    let deadline = Deadline::new(outbound.clock.now(), head.time_left, class.deadline);
    let charging = charge(outbound, member.as_ref(), head.id.as_deref());
    let charged = outbound.clock.timeout_at(deadline.at(), charging).await;
    let charge = match charged.unwrap_or(Err(Refused::new(Reason::DeadlineBeforeStart))) {
        Ok(charge) => charge,
        Err(refused) => {
            replay::discard(body);
            return Err(refused);
        }
    };
    let now = outbound.clock.now();
    let carried = headers::parsed(&parts.headers, &headers::ALLOWANCE);
    let limit = if key.is_some() { MAX_KEYED_BODY_BYTES } else { MAX_BUFFERED_BYTES };
    let until = replay::Until { clock: outbound.clock, at: deadline.at() };
    let give_back =
        |_: &Refused| charge.iter().for_each(|charge| outbound.quotas.give_back(charge));
    let mut body = read_body(body, limit, until, key.is_some()).await.inspect_err(give_back)?;
    let prefix = body.prefix(identity::BODY_BYTES, until).await;
    let (prefix, body_length) = prefix.inspect_err(give_back)?;
    let identity = identity::Parts {
        workspace: member.as_ref().map(|member| &*member.workspace.name),
        service: outbound.caller_service.as_deref(),
        method: parts.method.as_str(),
        host: destination::host_name(&parts).unwrap_or_default(),
        target: uri.path_and_query().map_or("/", |target| target.as_str()),
        body: &prefix,
        body_length,
    }
    .identity(&outbound.fingerprints);
    // The target latency counts from when the caller first sent the request.
    let elapsed = estimate_elapsed(outbound, &class, head.time_left);
    let times = route.as_ref().map(|named| {
        RequestTimes::new(TimeInputs {
            now,
            target: Duration::from_micros(named.route.target_us),
            elapsed,
            repeatable: named.route.repeatable,
            body_bytes: body.min_bytes(),
            crossing_cost: outbound.crossing_cost,
        })
    });
    let route_regions = route.as_ref().map(|named| named.route.allowed_regions.as_slice());
    let workspace_regions =
        member.as_ref().map(|member| member.workspace.allowed_regions.as_slice());
    let regions =
        Regions::allowed(route_regions.unwrap_or_default(), workspace_regions.unwrap_or_default());
    let selective_offers = if route.is_some() { MAX_SELECTIVE_OFFERS } else { 0 };
    Ok(Call {
        id: head.id.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>())),
        service,
        class,
        deadline,
        allowance: Allowance::new(carried),
        method: parts.method.clone(),
        uri,
        headers: clean_headers(outbound, parts, strips_key),
        body,
        key,
        tried: Vec::new(),
        busy: Vec::new(),
        draining_refusals: 0,
        attempts: 0,
        arrivals: 0,
        granted_retries: 0,
        in_flight: Arc::default(),
        unknown_outcome: None,
        selective_offers,
        max_arrivals: route.as_ref().map_or(u32::MAX, |r| r.route.attempts_at_most),
        times,
        member,
        charge,
        identity,
        alone: false,
        try_canary: false,
        regions,
    })
}

/// Charges a request to the quota of its workspace before anything is sent.
async fn charge(
    outbound: &Outbound,
    member: Option<&Member>,
    id: Option<&str>,
) -> Result<Option<Charge>, Refused> {
    match member {
        Some(member) => outbound.quotas.admit(&member.workspace, id).await,
        None => Ok(None),
    }
}

async fn read_body(
    body: Body,
    limit: usize,
    until: replay::Until,
    must_be_whole: bool,
) -> Result<Replay, Refused> {
    match Replay::read(body, limit, until).await? {
        Replay::Stream(Some(body)) if must_be_whole => {
            replay::discard(body);
            Err(Refused::new(Reason::BodyTooLarge))
        }
        read => Ok(read),
    }
}

/// Returns the estimated time since the caller first sent the request.
fn estimate_elapsed(
    outbound: &Outbound,
    class: &RequestClass,
    time_left: Option<Duration>,
) -> Duration {
    let Some(left) = time_left else { return Duration::ZERO };
    let kind: Arc<str> = class.kind.as_str().into();
    outbound.elapsed_times.lock().on_request(outbound.clock.now(), &kind, left)
}

/// Returns the headers to forward.
fn clean_headers(outbound: &Outbound, parts: request::Parts, strips_key: bool) -> HeaderMap {
    let mut map = parts.headers;
    headers::remove_hop_by_hop(&mut map);
    headers::remove_own(&mut map);
    map.remove(header::EXPECT);
    outbound.interface.remove_caller_head(&mut map);
    if strips_key {
        outbound.interface.remove_key(&mut map);
    }
    if let Some(service) = &outbound.caller_service {
        outbound.interface.write_caller_service(&mut map, service);
    }
    if let Some(authority) = parts.uri.authority() {
        headers::set(&mut map, header::HOST, authority);
    }
    map
}
