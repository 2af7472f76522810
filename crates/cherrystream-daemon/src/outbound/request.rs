//! Reads a caller's request.

use super::Outbound;
use super::aim::{self, Aim, Aimed};
use super::regions::Regions;
use super::replay::{self, HELD_BYTES, Replay};
use crate::headers;
use crate::held::Held;
use crate::refusal::Refused;
use crate::request_log::RequestSummary;
use cherrystream_core::deadline::Deadline;
use cherrystream_core::kinds::RequestClass;
use cherrystream_core::quota::Charge;
use cherrystream_core::reasons::{Outcome, Reason};
use cherrystream_core::request_times::{RequestTimes, TimeInputs};
use cherrystream_core::retry::Allowance;
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

/// Largest body of a request that may not be repeated: it is held until the claim is recorded.
const ONCE_BYTES: usize = 1024 * 1024;
/// Backend servers that a request is offered to before it takes what it gets.
const SELECTIVE_OFFERS: u32 = 4;

/// A request as it arrived, with what its caller says.
pub(super) struct Arrived {
    pub(super) head: request::Parts,
    pub(super) caller: Result<CallerHead, Reason>,
    pub(super) body: Body,
}

/// A request on its way.
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
    /// Key of a request that may not be repeated.
    pub(super) key: Option<Arc<str>>,
    /// Names of the backend servers tried.
    pub(super) tried: Vec<Arc<str>>,
    /// Names of those that turned the request down for being busy.
    pub(super) busy: Vec<Arc<str>>,
    /// Attempts that have failed.
    pub(super) attempts: u32,
    /// Backend servers that the request has reached.
    pub(super) arrivals: u32,
    /// Backend servers that it may reach at most.
    pub(super) arrivals_at_most: u32,
    /// Attempts that are on their way to a backend server, those of a fork included.
    pub(super) under_way: Arc<AtomicUsize>,
    /// Why an attempt ended of which it cannot be told whether it ran.
    pub(super) broke: Option<Reason>,
    /// Offers to backend servers that may still turn it down for being busy.
    pub(super) selective_offers: u32,
    /// Its times, where a route tells in which time an answer is wanted.
    pub(super) times: Option<RequestTimes>,
    /// Workspace that it belongs to, with its key.
    pub(super) member: Option<Member>,
    /// Its part of the quota of its workspace. A second attempt beside it has none: both are one request.
    pub(super) charge: Option<Charge>,
    /// What makes it the same request when it comes again.
    pub(super) identity: Identity,
    /// Whether it runs alone.
    pub(super) alone: bool,
    /// Whether it is to be offered to the version under trial.
    pub(super) on_trial: bool,
    /// Regions in which it may be served.
    pub(super) regions: Regions,
}

/// A request's membership in a workspace.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) workspace: Arc<NamedWorkspace>,
    pub(super) key: ApiKey,
    /// Whether the request was let in for its key only.
    pub(super) needed: bool,
    /// Routes and workspaces by which it was last checked.
    pub(super) checked: Arc<RouteIndex>,
}

impl Call {
    /// Notes that the request runs alone: there is one backend server for it, which it takes as it is.
    pub(super) fn run_alone(&mut self) {
        self.alone = true;
        self.selective_offers = 0;
    }

    /// Returns whether the request is let in only where it is served well.
    pub(super) fn is_selective(&self) -> bool {
        self.selective_offers > 0
    }

    /// Returns whether it stays in its own failure domain for now.
    pub(super) fn stays_nearby(&self, now: Timestamp) -> bool {
        self.is_selective() && self.times.is_some_and(|times| times.stays_in_own_domain(now))
    }

    /// Returns the request once more, for a second attempt while the first one runs.
    pub(super) fn fork_for_hedge(&self) -> Option<Call> {
        let times = self.times.filter(|times| times.hedge_after.is_some())?;
        let Replay::Whole(bytes) = &self.body else { return None };
        // A request that has failed before has its retries for that.
        if self.arrivals > 0 || self.arrivals_at_most < 2 {
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
            attempts: 0,
            arrivals: 0,
            arrivals_at_most: 1,
            under_way: self.under_way.clone(),
            broke: None,
            selective_offers: 1,
            times: Some(RequestTimes { own_domain_until: None, ..times }),
            member: self.member.clone(),
            charge: None,
            identity: self.identity,
            alone: self.alone,
            on_trial: false,
            regions: self.regions.clone(),
        })
    }

    /// Returns the name of its workspace.
    pub(super) fn workspace_name(&self) -> Option<&Arc<str>> {
        self.member.as_ref().map(|member| &member.workspace.name)
    }

    /// Checks that no later revision has taken its key away: it may have waited since it was read. One that needs no key
    /// then belongs to no workspace.
    ///
    /// # Errors
    ///
    /// Fails when it needs its key, and no workspace holds that any more.
    pub(super) fn check_key(&mut self, routes: &Arc<RouteIndex>) -> Result<(), Refused> {
        let Some(member) = &mut self.member else { return Ok(()) };
        if Arc::ptr_eq(&member.checked, routes) {
            return Ok(());
        }
        match routes.workspaces().workspace_for_key(&member.key) {
            Some(holder) => {
                member.workspace = holder.clone();
                member.checked = routes.clone();
            }
            None if member.needed => return Err(Refused::new(Reason::UnknownKey)),
            None => self.member = None,
        }
        Ok(())
    }

    /// Returns whether an attempt is on its way to a backend server.
    pub(super) fn is_under_way(&self) -> bool {
        self.under_way.load(Ordering::Relaxed) > 0
    }

    /// Returns what its caller is told: that it was not run, only when that holds for all attempts.
    pub(super) fn tell(&self, refused: Refused) -> Refused {
        match self.broke.filter(|_| refused.reason.outcome() == Outcome::NotRun) {
            Some(reason) => Refused { reason, ..refused },
            None => refused,
        }
    }

    /// Returns what the log tells of the request.
    pub(super) fn summary(&self) -> RequestSummary {
        RequestSummary {
            id: self.id.clone(),
            kind: self.class.kind.clone(),
            service: self.service.to_string(),
            workspace: self.workspace_name().cloned(),
            key: None,
            mark: Some(self.identity.request),
            busy: self.busy.clone(),
            tried: self.tried.clone(),
            attempts: self.attempts,
            arrivals: self.arrivals,
        }
    }

    /// Returns a hash of what makes two requests with one key the same: one workspace gets no answer of another's.
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
    held: &Held,
    arrived: Arrived,
) -> Result<Call, Refused> {
    let Arrived { head: parts, caller, body } = arrived;
    let aimed = match aim::aim(outbound, held, &parts, caller) {
        Ok(aimed) => aimed,
        Err(refused) => {
            // Requests may wait behind it on the connection.
            replay::discard(body);
            return Err(refused);
        }
    };
    let Aimed { head, aim, key, uri } = aimed;
    let Aim { service, class, route, member, strips_key } = aim;
    let deadline = Deadline::new(outbound.clock.now(), head.time_left, class.deadline);
    let remaining = deadline.remaining(outbound.clock.now()).unwrap_or_default();
    let charging = charge(outbound, member.as_ref(), head.id.as_deref());
    let charged = tokio::time::timeout(remaining, charging).await;
    let charge = match charged.unwrap_or(Err(Refused::new(Reason::DeadlineBeforeStart))) {
        Ok(charge) => charge,
        Err(refused) => {
            replay::discard(body);
            return Err(refused);
        }
    };
    let now = outbound.clock.now();
    let carried = headers::parsed(&parts.headers, &headers::ALLOWANCE);
    let limit = if key.is_some() { ONCE_BYTES } else { HELD_BYTES };
    let remaining = deadline.remaining(now).unwrap_or_default();
    let give_back =
        |_: &Refused| charge.iter().for_each(|charge| outbound.quotas.give_back(charge));
    let mut body = read_body(body, limit, remaining, key.is_some()).await.inspect_err(give_back)?;
    let remaining = deadline.remaining(outbound.clock.now()).unwrap_or_default();
    let beginning = body.beginning(identity::BODY_BYTES, remaining).await;
    let (beginning, body_length) = beginning.inspect_err(give_back)?;
    let identity = identity::Parts {
        workspace: member.as_ref().map(|member| &*member.workspace.name),
        service: outbound.caller_service.as_deref(),
        method: parts.method.as_str(),
        host: aim::host_name(&parts).unwrap_or_default(),
        target: uri.path_and_query().map_or("/", |target| target.as_str()),
        body: &beginning,
        body_length,
    }
    .identity(&outbound.fingerprints);
    // An answer is in time by the clock of the caller, which may have asked before.
    let elapsed = first_asked(outbound, &class, head.time_left);
    let times = route.as_ref().map(|named| {
        RequestTimes::new(TimeInputs {
            now,
            target: Duration::from_micros(named.route.target_us),
            elapsed,
            repeatable: named.route.repeatable,
            body_bytes: body.bytes(),
            crossing_cost: outbound.crossing_cost,
        })
    });
    let of_route = route.as_ref().map(|named| named.route.allowed_regions.as_slice());
    let of_workspace = member.as_ref().map(|member| member.workspace.allowed_regions.as_slice());
    let regions = Regions::allowed(of_route.unwrap_or_default(), of_workspace.unwrap_or_default());
    let selective_offers = if route.is_some() { SELECTIVE_OFFERS } else { 0 };
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
        attempts: 0,
        arrivals: 0,
        under_way: Arc::default(),
        broke: None,
        selective_offers,
        arrivals_at_most: route.as_ref().map_or(u32::MAX, |r| r.route.attempts_at_most),
        times,
        member,
        charge,
        identity,
        alone: false,
        on_trial: false,
        regions,
    })
}

/// Takes a request's part of the quota of its workspace, before anything is sent.
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
    within: Duration,
    must_be_whole: bool,
) -> Result<Replay, Refused> {
    match Replay::read(body, limit, within).await? {
        Replay::Stream(Some(body)) if must_be_whole => {
            replay::discard(body);
            Err(Refused::new(Reason::BodyTooLarge))
        }
        read => Ok(read),
    }
}

/// Returns how long ago the caller first asked, as far as that can be told.
fn first_asked(outbound: &Outbound, class: &RequestClass, time_left: Option<Duration>) -> Duration {
    let Some(left) = time_left else { return Duration::ZERO };
    let kind: Arc<str> = class.kind.as_str().into();
    outbound.first_asked.lock().on_request(outbound.clock.now(), &kind, left)
}

/// Returns the headers that are passed on.
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
