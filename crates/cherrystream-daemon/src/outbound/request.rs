//! Reads a caller's request.

use super::Outbound;
use super::replay::{self, HELD_BYTES, Replay};
use crate::headers;
use crate::held::Held;
use crate::refusal::Refused;
use crate::request_log::RequestSummary;
use cherrystream_core::call_times::{CallTimes, Given};
use cherrystream_core::deadline::Deadline;
use cherrystream_core::kinds::{self, Treatment};
use cherrystream_core::quota::Charge;
use cherrystream_core::reasons::{Outcome, Reason};
use cherrystream_core::retry::Allowance;
use cherrystream_core::routes::{NamedRoute, RouteIndex};
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
/// Weight of the requests with the highest priority.
const HIGHEST_PRIORITY_WEIGHT: u32 = 1_000;
/// Longest key, in bytes.
const KEY_BYTES: usize = 255;

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
    pub(super) treatment: Treatment,
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
    pub(super) times: Option<CallTimes>,
    /// Workspace that it belongs to, with its key.
    pub(super) member: Option<Member>,
    /// Its part of the quota of its workspace. A second attempt beside it has none: both are one request.
    pub(super) charge: Option<Charge>,
    /// What makes it the same request when it comes again.
    pub(super) identity: Identity,
    /// Whether it runs alone.
    pub(super) alone: bool,
}

/// A request's membership in a workspace.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) workspace: Arc<NamedWorkspace>,
    key: ApiKey,
    /// Whether the request was let in for its key only.
    needed: bool,
    /// Routes and workspaces by which it was last checked.
    checked: Arc<RouteIndex>,
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
        self.is_selective() && self.times.is_some_and(|times| times.stays_nearby(now))
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
            treatment: self.treatment.clone(),
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
            times: Some(CallTimes { nearby_until: None, ..times }),
            member: self.member.clone(),
            charge: None,
            identity: self.identity,
            alone: self.alone,
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
        match routes.workspaces().holder(&member.key) {
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
            kind: self.treatment.kind.clone(),
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
    let aimed = match aim(outbound, held, &parts, caller) {
        Ok(aimed) => aimed,
        Err(refused) => {
            // Requests may wait behind it on the connection.
            replay::discard(body);
            return Err(refused);
        }
    };
    let Aimed { head, aim, key, uri } = aimed;
    let Aim { service, treatment, route, member, strips_key } = aim;
    let deadline = Deadline::new(outbound.clock.now(), head.time_left, treatment.deadline);
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
        host: host_name(&parts).unwrap_or_default(),
        target: uri.path_and_query().map_or("/", |target| target.as_str()),
        body: &beginning,
        body_length,
    }
    .identity(&outbound.fingerprints);
    // An answer is in time by the clock of the caller, which may have asked before.
    let asked_before = first_asked(outbound, &treatment, head.time_left);
    let times = route.as_ref().map(|named| {
        CallTimes::new(Given {
            now,
            target: Duration::from_micros(named.route.target_us),
            asked_before,
            repeatable: named.route.repeatable,
            body_bytes: body.bytes(),
            crossing_cost: outbound.crossing_cost,
        })
    });
    let selective_offers = if route.is_some() { SELECTIVE_OFFERS } else { 0 };
    Ok(Call {
        id: head.id.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>())),
        service,
        treatment,
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

/// What the head of a request tells.
struct Aimed {
    head: CallerHead,
    aim: Aim,
    key: Option<Arc<str>>,
    uri: Uri,
}

/// Reads the head of a request.
fn aim(
    outbound: &Outbound,
    held: &Held,
    parts: &request::Parts,
    caller: Result<CallerHead, Reason>,
) -> Result<Aimed, Refused> {
    let head = caller.map_err(Refused::new)?;
    let aim = find_aim(outbound, held, parts, head.key.as_ref())?;
    let key = read_key(&parts.headers, &aim.treatment)?;
    Ok(Aimed { head, aim, key, uri: target(parts)? })
}

/// Returns how long ago the caller first asked, as far as that can be told.
fn first_asked(
    outbound: &Outbound,
    treatment: &Treatment,
    time_left: Option<Duration>,
) -> Duration {
    let Some(left) = time_left else { return Duration::ZERO };
    let kind: Arc<str> = treatment.kind.as_str().into();
    outbound.first_asked.lock().on_request(outbound.clock.now(), &kind, left)
}

/// Where a request goes, and how it is treated.
struct Aim {
    service: Arc<str>,
    treatment: Treatment,
    route: Option<Arc<NamedRoute>>,
    member: Option<Member>,
    /// Whether no key and no word of the caller on its workspace goes on. Where no workspace knows the caller and none has
    /// to, what it sends is for the application.
    strips_key: bool,
}

/// Finds the route of a request, or else the service that it names.
fn find_aim(
    outbound: &Outbound,
    held: &Held,
    parts: &request::Parts,
    key: Option<&ApiKey>,
) -> Result<Aim, Refused> {
    let named = parts.headers.contains_key(headers::SERVICE);
    if outbound.routes_only || !named {
        let host = host_name(parts).unwrap_or_default();
        let routes = outbound.routes();
        if let Some(route) = routes.find(host, parts.uri.path()) {
            return routed(&routes, route, key);
        }
    }
    if outbound.routes_only {
        let known = held.routes.is_some();
        return Err(Refused::new(if known { Reason::NoRoute } else { Reason::NoConfiguration }));
    }
    let name = service_name(parts)?;
    let routes = outbound.routes();
    // Who bears no key learns nothing of which services there are.
    let admitted = admit(&routes, key, false)?;
    let service =
        held.shared.config.services.get(name).ok_or(Refused::new(Reason::NoSuchService))?;
    let treatment = kinds::treatment(service, parts.method.as_str(), parts.uri.path());
    let Admitted { member, strips_key } = admitted;
    Ok(Aim { service: name.into(), treatment, route: None, member, strips_key })
}

fn routed(
    routes: &Arc<RouteIndex>,
    route: &Arc<NamedRoute>,
    key: Option<&ApiKey>,
) -> Result<Aim, Refused> {
    let Admitted { member, strips_key } = admit(routes, key, route.route.keyless)?;
    let of_workspace = member.as_ref().and_then(|member| member.workspace.priority);
    let priority = of_workspace.unwrap_or(route.route.priority);
    let weight = HIGHEST_PRIORITY_WEIGHT.saturating_sub(priority).max(1);
    let service = route.pick(&mut rand::rng()).ok_or(Refused::new(Reason::NoSuchService))?;
    let treatment = Treatment {
        kind: route.name.to_string(),
        repeatable: route.route.repeatable,
        needs_key: false,
        weight,
        deadline: Duration::from_micros(route.route.timeout_us),
    };
    Ok(Aim { service: service.into(), treatment, route: Some(route.clone()), member, strips_key })
}

/// A request that may come in.
struct Admitted {
    member: Option<Member>,
    strips_key: bool,
}

/// Lets a request in by its key, or without one where none is needed.
fn admit(
    routes: &Arc<RouteIndex>,
    key: Option<&ApiKey>,
    keyless: bool,
) -> Result<Admitted, Refused> {
    let has_workspaces = routes.workspaces().needs_key();
    let needed = has_workspaces && !keyless;
    let member = find_member(routes, key, needed);
    if needed && member.is_none() {
        return Err(Refused::new(Reason::UnknownKey));
    }
    let strips_key = has_workspaces || member.is_some();
    Ok(Admitted { member, strips_key })
}

/// Returns the workspace that holds a key.
fn find_member(routes: &Arc<RouteIndex>, key: Option<&ApiKey>, needed: bool) -> Option<Member> {
    let key = key?;
    let workspace = routes.workspaces().holder(key)?.clone();
    Some(Member { workspace, key: key.clone(), needed, checked: routes.clone() })
}

/// Returns the host name that the caller asks for, without its port.
fn host_name(parts: &request::Parts) -> Option<&str> {
    let host = parts.uri.host().or_else(|| headers::text(&parts.headers, &header::HOST))?;
    Some(host.split_once(':').map_or(host, |(name, _)| name))
}

/// Returns the service asked for: by its header, else by the first label of the host name. Two
/// headers could mean two services to two readers, so they are refused.
fn service_name(parts: &request::Parts) -> Result<&str, Refused> {
    let named = parts.headers.get_all(headers::SERVICE).iter().count();
    if named > 1 {
        return Err(Refused::new(Reason::BadRequest));
    }
    if let Some(name) = headers::text(&parts.headers, &headers::SERVICE) {
        return Ok(name);
    }
    let host = parts.uri.host().or_else(|| headers::text(&parts.headers, &header::HOST));
    let label = host.and_then(|host| host.split(['.', ':']).next());
    label.ok_or(Refused::new(Reason::NoSuchService))
}

/// Returns the key of a request that may not be repeated. Other requests' keys are not looked at.
fn read_key(map: &HeaderMap, treatment: &Treatment) -> Result<Option<Arc<str>>, Refused> {
    if !treatment.needs_key {
        return Ok(None);
    }
    if !map.contains_key(headers::IDEMPOTENCY_KEY) {
        return Err(Refused::new(Reason::KeyMissing));
    }
    let one = map.get_all(headers::IDEMPOTENCY_KEY).iter().count() == 1;
    match headers::text(map, &headers::IDEMPOTENCY_KEY) {
        Some(key) if one && !key.is_empty() && key.len() <= KEY_BYTES => Ok(Some(key.into())),
        _ => Err(Refused::new(Reason::BadRequest)),
    }
}

fn target(parts: &request::Parts) -> Result<Uri, Refused> {
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    path.parse().map_err(|_| Refused::new(Reason::BadRequest))
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
