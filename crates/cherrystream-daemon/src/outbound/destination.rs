//! Reads the head of a request and determines its destination.

use super::Outbound;
use super::request::Member;
use crate::current_config::CurrentConfig;
use crate::headers;
use crate::refusal::Refused;
use cherrystream_core::kinds::{self, RequestClass};
use cherrystream_core::reasons::Reason;
use cherrystream_core::routes::{NamedRoute, RouteIndex};
use cherrystream_core::workspaces::ApiKey;
use cherrystream_net::framing;
use cherrystream_net::interface::CallerHead;
use http::{HeaderMap, Uri, header, request};
use std::sync::Arc;
use std::time::Duration;

/// Weight of requests of the highest priority.
const HIGHEST_PRIORITY_WEIGHT: u32 = 1_000;
/// Largest length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Values read from the head of a request.
pub(super) struct ParsedHead {
    pub(super) head: CallerHead,
    pub(super) destination: Destination,
    pub(super) key: Option<Arc<str>>,
    pub(super) uri: Uri,
}

/// Reads the head of a request; checks its route, workspace key and idempotency key.
pub(super) fn read_head(
    outbound: &Outbound,
    current: &CurrentConfig,
    parts: &request::Parts,
    caller: Result<CallerHead, Reason>,
) -> Result<ParsedHead, Refused> {
    // The body would be forwarded as it is, without the header that names its coding.
    if framing::has_unknown_coding(&parts.headers) {
        return Err(Refused::new(Reason::BadRequest));
    }
    let head = caller.map_err(Refused::new)?;
    let destination = find_destination(outbound, current, parts, head.key.as_ref())?;
    let key = read_key(&parts.headers, &destination.class)?;
    Ok(ParsedHead { head, destination, key, uri: target(parts)? })
}

/// Service, class and workspace of a request.
pub(super) struct Destination {
    pub(super) service: Arc<str>,
    pub(super) class: RequestClass,
    pub(super) route: Option<Arc<NamedRoute>>,
    pub(super) member: Option<Member>,
    /// Whether the workspace key and workspace headers of the caller are removed before the request
    /// is forwarded. They are forwarded to the application if no workspace matches and none is
    /// required.
    pub(super) strips_key: bool,
}

/// Finds the route of a request, or else the service named in it.
fn find_destination(
    outbound: &Outbound,
    current: &CurrentConfig,
    parts: &request::Parts,
    key: Option<&ApiKey>,
) -> Result<Destination, Refused> {
    let has_service_header = parts.headers.contains_key(headers::SERVICE);
    if outbound.routes_only || !has_service_header {
        let host = host_name(parts).unwrap_or_default();
        let routes = outbound.routes();
        if let Some(route) = routes.find(host, parts.uri.path()) {
            return route_destination(&routes, route, key);
        }
    }
    if outbound.routes_only {
        let has_routes = current.routes.is_some();
        return Err(Refused::new(if has_routes {
            Reason::NoRoute
        } else {
            Reason::NoConfiguration
        }));
    }
    let name = service_name(parts)?;
    let routes = outbound.routes();
    // Authenticates before the look-up, so that callers without a key cannot probe for services.
    let admitted = admit(&routes, key, false)?;
    let service =
        current.shared.config.services.get(name).ok_or(Refused::new(Reason::NoSuchService))?;
    let class = kinds::classify(service, parts.method.as_str(), parts.uri.path());
    let Admission { member, strips_key } = admitted;
    Ok(Destination { service: name.into(), class, route: None, member, strips_key })
}

fn route_destination(
    routes: &Arc<RouteIndex>,
    route: &Arc<NamedRoute>,
    key: Option<&ApiKey>,
) -> Result<Destination, Refused> {
    let Admission { member, strips_key } = admit(routes, key, route.route.keyless)?;
    let workspace_priority = member.as_ref().and_then(|member| member.workspace.priority);
    let priority = workspace_priority.unwrap_or(route.route.priority);
    let weight = HIGHEST_PRIORITY_WEIGHT.saturating_sub(priority).max(1);
    let service = route.pick(&mut rand::rng()).ok_or(Refused::new(Reason::NoSuchService))?;
    let class = RequestClass {
        kind: route.name.to_string(),
        repeatable: route.route.repeatable,
        needs_key: false,
        weight,
        deadline: Duration::from_micros(route.route.timeout_us),
    };
    Ok(Destination {
        service: service.into(),
        class,
        route: Some(route.clone()),
        member,
        strips_key,
    })
}

/// Result of the workspace check.
struct Admission {
    member: Option<Member>,
    strips_key: bool,
}

/// Checks the workspace key of a request, where one is required.
fn admit(
    routes: &Arc<RouteIndex>,
    key: Option<&ApiKey>,
    keyless: bool,
) -> Result<Admission, Refused> {
    let has_workspaces = routes.workspaces().needs_key();
    let key_required = has_workspaces && !keyless;
    let member = find_member(routes, key, key_required);
    if key_required && member.is_none() {
        return Err(Refused::new(Reason::UnknownKey));
    }
    let strips_key = has_workspaces || member.is_some();
    Ok(Admission { member, strips_key })
}

/// Returns the workspace of a key.
fn find_member(
    routes: &Arc<RouteIndex>,
    key: Option<&ApiKey>,
    key_required: bool,
) -> Option<Member> {
    let key = key?;
    let workspace = routes.workspaces().workspace_for_key(key)?.clone();
    Some(Member { workspace, key: key.clone(), key_required, checked_against: routes.clone() })
}

/// Returns the requested host name, without its port.
pub(super) fn host_name(parts: &request::Parts) -> Option<&str> {
    let host = parts.uri.host().or_else(|| headers::text(&parts.headers, &header::HOST))?;
    Some(host.split_once(':').map_or(host, |(name, _)| name))
}

/// Returns the requested service, from its header or else from the first label of the host name.
/// Repeated headers are ambiguous and rejected.
fn service_name(parts: &request::Parts) -> Result<&str, Refused> {
    let count = parts.headers.get_all(headers::SERVICE).iter().count();
    if count > 1 {
        return Err(Refused::new(Reason::BadRequest));
    }
    if let Some(name) = headers::text(&parts.headers, &headers::SERVICE) {
        return Ok(name);
    }
    let host = parts.uri.host().or_else(|| headers::text(&parts.headers, &header::HOST));
    let label = host.and_then(|host| host.split(['.', ':']).next());
    label.ok_or(Refused::new(Reason::NoSuchService))
}

/// Returns the idempotency key of a non-repeatable request. It is ignored on other requests.
fn read_key(map: &HeaderMap, class: &RequestClass) -> Result<Option<Arc<str>>, Refused> {
    if !class.needs_key {
        return Ok(None);
    }
    if !map.contains_key(headers::IDEMPOTENCY_KEY) {
        return Err(Refused::new(Reason::KeyMissing));
    }
    let one = map.get_all(headers::IDEMPOTENCY_KEY).iter().count() == 1;
    match headers::text(map, &headers::IDEMPOTENCY_KEY) {
        Some(key) if one && !key.is_empty() && key.len() <= MAX_KEY_BYTES => Ok(Some(key.into())),
        _ => Err(Refused::new(Reason::BadRequest)),
    }
}

fn target(parts: &request::Parts) -> Result<Uri, Refused> {
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    path.parse().map_err(|_| Refused::new(Reason::BadRequest))
}
