//! Route tables: validation, differences between tables, and look-up of routes.

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

/// Longest timeout of a route.
pub const MAX_TIMEOUT: Duration = Duration::from_secs(600);
/// The target latency of a route must be below its timeout plus this margin.
pub const MAX_TARGET_MARGIN: Duration = Duration::from_secs(60);

/// Reason why a route table is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{what}"))]
pub struct InvalidTable {
    /// Description of the error, with the name of the route.
    pub what: String,
    /// What to do about it.
    pub remedy: String,
}

fn fault<T>(what: String, remedy: &str) -> Result<T, InvalidTable> {
    Err(InvalidTable { what, remedy: remedy.into() })
}

/// Checks a route table.
///
/// # Errors
///
/// Fails with the first error found, which names the route and the remedy.
pub fn validate(table: &RouteTable) -> Result<(), InvalidTable> {
    if table.number == 0 {
        return fault("the table number is 0".into(), "number tables from 1");
    }
    let mut matchers = BTreeMap::new();
    for (name, route) in &table.routes {
        validate_route(table, name, route)?;
        let matcher = (route.host.to_ascii_lowercase(), route.path_prefix.as_str());
        if let Some(other) = matchers.insert(matcher, name) {
            let what = format!("routes {other} and {name} have the same host and path prefix");
            return fault(what, "give each a different host or path prefix");
        }
    }
    workspaces::validate(&table.workspaces)
}

fn validate_route(table: &RouteTable, name: &str, route: &Route) -> Result<(), InvalidTable> {
    if route.host.trim().is_empty() {
        return fault(format!("route {name} has no host"), "set the host that callers request");
    }
    if !route.path_prefix.starts_with('/') {
        let what =
            format!("path prefix '{}' of route {name} has no leading slash", route.path_prefix);
        return fault(what, "start it with a slash");
    }
    if route.timeout_us == 0 || Duration::from_micros(route.timeout_us) > MAX_TIMEOUT {
        let what = format!("timeout of route {name} is {} us", route.timeout_us);
        return fault(what, "use more than 0 and at most ten minutes");
    }
    let target = Duration::from_micros(route.target_us);
    if target >= Duration::from_micros(route.timeout_us) + MAX_TARGET_MARGIN {
        let what =
            format!("target latency of route {name} exceeds its timeout by a minute or more");
        return fault(what, "lower the target latency or raise the timeout");
    }
    validate_targets(table, name, route)
}

fn validate_targets(table: &RouteTable, name: &str, route: &Route) -> Result<(), InvalidTable> {
    let unknown = route.targets.iter().find(|t| !table.services.contains_key(&t.service));
    if let Some(target) = unknown {
        let what = format!("route {name} refers to the unknown service '{}'", target.service);
        return fault(what, "declare the service, or correct the name");
    }
    if route.targets.iter().all(|t| t.weight == 0) {
        return fault(format!("route {name} has no target with a weight"), "set a weight above 0");
    }
    Ok(())
}

/// Serializes and compresses a table or a patch for the log.
///
/// # Panics
///
/// Never: both types serialize without errors, and writing to memory does not fail.
pub fn pack(content: &impl Serialize) -> String {
    let json = serde_json::to_vec(content).expect("a table or a patch serializes to JSON");
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&json).expect("writing to memory does not fail");
    STANDARD_NO_PAD.encode(encoder.finish().expect("writing to memory does not fail"))
}

/// Decompresses and parses the output of [`pack`]. Returns `None` for any other text.
pub fn unpack<T: DeserializeOwned>(packed: &str) -> Option<T> {
    let bytes = STANDARD_NO_PAD.decode(packed).ok()?;
    serde_json::from_reader(ZlibDecoder::new(bytes.as_slice())).ok()
}

/// Returns the patch from a table and its source text to a new table and its source text.
pub fn patch(old: &RouteTable, old_source: &str, order: &RouteOrder) -> RoutePatch {
    RoutePatch {
        change: difference(Some(old), &order.table),
        source: text_patch::between(old_source, &order.source),
    }
}

/// Returns the change from one table to another.
pub fn difference(old: Option<&RouteTable>, new: &RouteTable) -> Change {
    let (put, removed) = map_difference(old.map(|old| &old.routes), &new.routes);
    let (workspaces, workspaces_removed) =
        map_difference(old.map(|old| &old.workspaces), &new.workspaces);
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

/// Returns the entries that were added or changed, and the names of those that were removed.
fn map_difference<T: Clone + PartialEq>(
    old: Option<&BTreeMap<String, T>>,
    new: &BTreeMap<String, T>,
) -> (BTreeMap<String, T>, Vec<String>) {
    let known = |name: &String| old.and_then(|old| old.get(name));
    let put = new.iter().filter(|(name, value)| known(name) != Some(value));
    let removed = old.into_iter().flat_map(BTreeMap::keys).filter(|name| !new.contains_key(*name));
    (put.map(|(name, value)| (name.clone(), value.clone())).collect(), removed.cloned().collect())
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
    /// Picks the service for a request at random, by the weights of the targets.
    pub fn pick(&self, rng: &mut impl Rng) -> Option<&str> {
        let sum: u64 = self.route.targets.iter().map(|t| u64::from(t.weight)).sum();
        if sum == 0 {
            return None;
        }
        let mut offset = rng.random_range(0..sum);
        for target in &self.route.targets {
            let weight = u64::from(target.weight);
            if offset < weight {
                return Some(&target.service);
            }
            offset -= weight;
        }
        None
    }
}

/// Index of a route table and the workspaces for look-ups.
#[derive(Debug, Default)]
pub struct RouteIndex {
    /// Number of the table; 0 for none.
    number: u64,
    /// Routes by lower-case host, sorted by descending length of the path prefix.
    by_host: HashMap<String, Vec<Arc<NamedRoute>>>,
    workspaces: WorkspaceIndex,
}

impl RouteIndex {
    /// Builds the index of the current table, if any, and of the workspaces of both sources.
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

    /// Returns whether the index was built from the table with a number and from an equal
    /// configuration.
    pub fn is_of(&self, number: u64, config: &Config) -> bool {
        self.number == number && self.workspaces.is_built_from(config)
    }

    /// Returns the number of the table, or 0 without a table.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the index of the workspaces.
    pub fn workspaces(&self) -> &WorkspaceIndex {
        &self.workspaces
    }

    /// Returns the route for a request: of the routes for the host, the one with the longest prefix
    /// of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<NamedRoute>> {
        let routes = self.by_host.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|named| path.starts_with(&named.route.path_prefix))
    }
}
