//! Where a request goes, who sent it, and how it is treated: what its head tells.

use super::Outbound;
use super::request::Member;
use crate::headers;
use crate::held::Held;
use crate::refusal::Refused;
use cherrystream_core::kinds::{self, RequestClass};
use cherrystream_core::reasons::Reason;
use cherrystream_core::routes::{NamedRoute, RouteIndex};
use cherrystream_core::workspaces::ApiKey;
use cherrystream_net::interface::CallerHead;
use http::{HeaderMap, Uri, header, request};
use std::sync::Arc;
use std::time::Duration;

/// Weight of the requests with the highest priority.
const HIGHEST_PRIORITY_WEIGHT: u32 = 1_000;
/// Longest key, in bytes.
const KEY_BYTES: usize = 255;

/// What the head of a request tells.
pub(super) struct Aimed {
    pub(super) head: CallerHead,
    pub(super) aim: Aim,
    pub(super) key: Option<Arc<str>>,
    pub(super) uri: Uri,
}

/// Reads the head of a request.
pub(super) fn aim(
    outbound: &Outbound,
    held: &Held,
    parts: &request::Parts,
    caller: Result<CallerHead, Reason>,
) -> Result<Aimed, Refused> {
    let head = caller.map_err(Refused::new)?;
    let aim = find_aim(outbound, held, parts, head.key.as_ref())?;
    let key = read_key(&parts.headers, &aim.class)?;
    Ok(Aimed { head, aim, key, uri: target(parts)? })
}

/// Where a request goes, and how it is treated.
pub(super) struct Aim {
    pub(super) service: Arc<str>,
    pub(super) class: RequestClass,
    pub(super) route: Option<Arc<NamedRoute>>,
    pub(super) member: Option<Member>,
    /// Whether no key and no word of the caller on its workspace goes on. Where no workspace knows the caller and none has
    /// to, what it sends is for the application.
    pub(super) strips_key: bool,
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
    let class = kinds::classify(service, parts.method.as_str(), parts.uri.path());
    let Admitted { member, strips_key } = admitted;
    Ok(Aim { service: name.into(), class, route: None, member, strips_key })
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
    let class = RequestClass {
        kind: route.name.to_string(),
        repeatable: route.route.repeatable,
        needs_key: false,
        weight,
        deadline: Duration::from_micros(route.route.timeout_us),
    };
    Ok(Aim { service: service.into(), class, route: Some(route.clone()), member, strips_key })
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
    let workspace = routes.workspaces().workspace_for_key(key)?.clone();
    Some(Member { workspace, key: key.clone(), needed, checked: routes.clone() })
}

/// Returns the host name that the caller asks for, without its port.
pub(super) fn host_name(parts: &request::Parts) -> Option<&str> {
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
fn read_key(map: &HeaderMap, class: &RequestClass) -> Result<Option<Arc<str>>, Refused> {
    if !class.needs_key {
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
