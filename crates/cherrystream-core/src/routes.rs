//! Route tables: whether one can be used, which route takes a request, and what two differ in.

use crate::text_patch;
use crate::workspaces::{self, WorkspaceIndex};
use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use cherrystream_schema::messages::{Change, Config, Route, RouteOrder, RoutePatch, RouteTable};
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use rand::Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

/// Longest time that a route may give a request.
pub const TIMEOUT_AT_MOST: Duration = Duration::from_secs(600);
/// How far the target latency of a route must stay below its timeout plus this much.
pub const TARGET_BEYOND_TIMEOUT: Duration = Duration::from_secs(60);

/// Why a route table is refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{what}"))]
pub struct TableFault {
    /// What is wrong, with the name of the route.
    pub what: String,
    /// What to do about it.
    pub remedy: String,
}

fn fault<T>(what: String, remedy: &str) -> Result<T, TableFault> {
    Err(TableFault { what, remedy: remedy.into() })
}

/// Checks a whole table.
///
/// # Errors
///
/// Fails at the first fault, with the name of the route and the remedy.
pub fn validate(table: &RouteTable) -> Result<(), TableFault> {
    if table.number == 0 {
        return fault("the number of the table is 0".into(), "number tables from 1");
    }
    let mut places = BTreeMap::new();
    for (name, route) in &table.routes {
        validate_route(table, name, route)?;
        let place = (route.host.to_ascii_lowercase(), route.path_prefix.as_str());
        if let Some(other) = places.insert(place, name) {
            let what = format!("routes {other} and {name} have the same host and path prefix");
            return fault(what, "give each its own host or path prefix");
        }
    }
    workspaces::validate(&table.workspaces)
}

fn validate_route(table: &RouteTable, name: &str, route: &Route) -> Result<(), TableFault> {
    if route.host.trim().is_empty() {
        return fault(format!("route {name} has no host"), "name the host that callers ask for");
    }
    if !route.path_prefix.starts_with('/') {
        let what = format!("path prefix '{}' of route {name} lacks a slash", route.path_prefix);
        return fault(what, "begin it with a slash");
    }
    if route.timeout_us == 0 || Duration::from_micros(route.timeout_us) > TIMEOUT_AT_MOST {
        let what = format!("timeout of route {name} is {} us", route.timeout_us);
        return fault(what, "use more than 0 and at most ten minutes");
    }
    let target = Duration::from_micros(route.target_us);
    if target >= Duration::from_micros(route.timeout_us) + TARGET_BEYOND_TIMEOUT {
        let what = format!("target latency of route {name} lies a minute beyond its timeout");
        return fault(what, "lower the target latency or raise the timeout");
    }
    validate_targets(table, name, route)
}

fn validate_targets(table: &RouteTable, name: &str, route: &Route) -> Result<(), TableFault> {
    let unknown = route.targets.iter().find(|t| !table.services.contains_key(&t.service));
    if let Some(target) = unknown {
        let what = format!("route {name} names the unknown service '{}'", target.service);
        return fault(what, "declare the service, or correct the name");
    }
    if route.targets.iter().all(|t| t.weight == 0) {
        return fault(format!("route {name} sends to no service"), "give a service some weight");
    }
    Ok(())
}

/// Packs an order or a patch for the log.
///
/// # Panics
///
/// Never: both always have a JSON form, and memory takes all that is written to it.
pub fn pack(content: &impl Serialize) -> String {
    let json = serde_json::to_vec(content).expect("an order always has a JSON form");
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&json).expect("memory can be written to");
    STANDARD_NO_PAD.encode(encoder.finish().expect("memory can be written to"))
}

/// Unpacks an order or a patch; `None` when the text is none that [`pack`] has written.
pub fn unpack<T: DeserializeOwned>(packed: &str) -> Option<T> {
    let bytes = STANDARD_NO_PAD.decode(packed).ok()?;
    serde_json::from_reader(ZlibDecoder::new(bytes.as_slice())).ok()
}

/// Returns what leads from a table, and its source, to an order.
pub fn patch(old: &RouteTable, old_source: &str, order: &RouteOrder) -> RoutePatch {
    RoutePatch {
        change: difference(Some(old), &order.table),
        source: text_patch::between(old_source, &order.source),
    }
}

/// Returns the change that leads from one table to another.
pub fn difference(old: Option<&RouteTable>, new: &RouteTable) -> Change {
    let (put, removed) = differing(old.map(|old| &old.routes), &new.routes);
    let (workspaces, workspaces_removed) =
        differing(old.map(|old| &old.workspaces), &new.workspaces);
    Change::PatchRoutes {
        number: new.number,
        put,
        removed,
        services: new.services.clone(),
        limits: new.limits.clone(),
        workspaces,
        workspaces_removed,
        needs_key: new.needs_key,
    }
}

/// Returns the entries that are new or differ, and the names of those that are gone.
fn differing<T: Clone + PartialEq>(
    old: Option<&BTreeMap<String, T>>,
    new: &BTreeMap<String, T>,
) -> (BTreeMap<String, T>, Vec<String>) {
    let known = |name: &String| old.and_then(|old| old.get(name));
    let put = new.iter().filter(|(name, value)| known(name) != Some(value));
    let gone = old.into_iter().flat_map(BTreeMap::keys).filter(|name| !new.contains_key(*name));
    (put.map(|(name, value)| (name.clone(), value.clone())).collect(), gone.cloned().collect())
}

/// A route with its name.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedRoute {
    /// Name of the route.
    pub name: Arc<str>,
    /// The route.
    pub route: Route,
}

impl NamedRoute {
    /// Picks the service that takes a request, by the weights.
    pub fn pick(&self, rng: &mut impl Rng) -> Option<&str> {
        let sum: u64 = self.route.targets.iter().map(|t| u64::from(t.weight)).sum();
        if sum == 0 {
            return None;
        }
        let mut at = rng.random_range(0..sum);
        for target in &self.route.targets {
            let weight = u64::from(target.weight);
            if at < weight {
                return Some(&target.service);
            }
            at -= weight;
        }
        None
    }
}

/// A route table and the workspaces made ready for look-ups.
#[derive(Debug, Default)]
pub struct RouteIndex {
    /// Number of the table.
    number: u64,
    /// Routes by lower-case host, those with the longest prefix first.
    by_host: HashMap<String, Vec<Arc<NamedRoute>>>,
    workspaces: WorkspaceIndex,
}

impl RouteIndex {
    /// Makes the table that holds ready, if there is one, and the workspaces of both sources.
    pub fn new(table: Option<&RouteTable>, config: &Config) -> RouteIndex {
        let mut by_host = HashMap::<String, Vec<Arc<NamedRoute>>>::new();
        for (name, route) in table.into_iter().flat_map(|table| &table.routes) {
            let named = NamedRoute { name: name.as_str().into(), route: route.clone() };
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(named));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|named| std::cmp::Reverse(named.route.path_prefix.len()));
        }
        let number = table.map_or(0, |table| table.number);
        RouteIndex { number, by_host, workspaces: WorkspaceIndex::new(table, config) }
    }

    /// Returns whether it was made of the table with a number and of such a configuration.
    pub fn is_of(&self, number: u64, config: &Config) -> bool {
        self.number == number && self.workspaces.is_built_from(config)
    }

    /// Returns the number of the table; 0 for none.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the workspaces that hold together with the routes.
    pub fn workspaces(&self) -> &WorkspaceIndex {
        &self.workspaces
    }

    /// Returns the route that takes a request: of those for the host, the one with the longest
    /// prefix that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<NamedRoute>> {
        let routes = self.by_host.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|named| path.starts_with(&named.route.path_prefix))
    }
}
