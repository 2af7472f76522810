//! Maps API keys to workspaces.
//!
//! Daemons store and look up digests of keys. Only control stores the keys themselves, in the
//! source text of the route table, which operators can read back unchanged. Comparing digests keeps
//! the time of a look-up independent of how much of a guessed key is right.

use crate::routes::InvalidTable;
use base64::Engine;
use base64::engine::general_purpose::{STANDARD_NO_PAD, URL_SAFE_NO_PAD};
use cherrystream_schema::messages::{Config, RouteTable, Workspace};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::Arc;

/// Characters of a digest that logs show; collisions among a million keys are unlikely.
const FINGERPRINT_CHARACTERS: usize = 12;
/// Number of random bytes in a new key.
pub const NEW_KEY_BYTES: usize = 32;
/// Thousandths per request.
const MILLI: f64 = 1_000.0;

/// An API key as a caller sent it. `Debug` does not print it.
#[derive(Clone, PartialEq, Eq)]
pub struct ApiKey(String);

impl ApiKey {
    /// Wraps a key.
    pub fn new(key: &str) -> ApiKey {
        ApiKey(key.into())
    }

    /// Returns the beginning of its digest, which distinguishes keys in logs without revealing
    /// them.
    pub fn fingerprint(&self) -> String {
        let mut fingerprint = digest(&self.0);
        fingerprint.truncate(FINGERPRINT_CHARACTERS);
        fingerprint
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey")
    }
}

/// Returns the digest under which a key is stored: its SHA-256 as base64 without padding.
pub fn digest(key: &str) -> String {
    STANDARD_NO_PAD.encode(Sha256::digest(key))
}

/// Returns a new key made of random bytes. It has enough entropy to be stored as an unsalted
/// digest.
pub fn new_key(random: [u8; NEW_KEY_BYTES]) -> String {
    URL_SAFE_NO_PAD.encode(random)
}

/// Length of a decoded digest.
const DIGEST_BYTES: usize = 32;

/// Returns whether a text has the format of a digest.
pub fn is_digest(text: &str) -> bool {
    STANDARD_NO_PAD.decode(text).is_ok_and(|bytes| bytes.len() == DIGEST_BYTES)
}

/// Limit on the requests of a workspace over all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Sustained rate, in requests per second.
    pub per_second: f64,
    /// Requests allowed beyond that rate at once.
    pub burst: f64,
}

/// Properties of a workspace that apply to its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedWorkspace {
    /// Its name.
    pub name: Arc<str>,
    /// Priority of its requests in place of the route's; 0 is the highest.
    pub priority: Option<u32>,
    /// Its quota; `None` for no limit.
    pub quota: Option<Quota>,
    /// Regions in which its requests may be served; all regions if empty.
    pub allowed_regions: Vec<String>,
}

/// Index of workspaces by key digest.
#[derive(Debug, Default)]
pub struct WorkspaceIndex {
    needs_key: bool,
    by_digest: HashMap<String, Arc<NamedWorkspace>>,
    /// `needs_key` and workspaces of the configuration that the index was built from.
    config_source: (bool, BTreeMap<String, Workspace>),
}

impl WorkspaceIndex {
    /// Builds the index of the workspaces of a route table and of the configuration. A name or key
    /// in both belongs to the route table, which is replaced independently of the configuration.
    pub fn new(table: Option<&RouteTable>, config: &Config) -> WorkspaceIndex {
        let config_source = (config.needs_key, config.workspaces.clone());
        let needs_key = config.needs_key || table.is_some_and(|table| table.needs_key);
        let mut index = WorkspaceIndex { needs_key, by_digest: HashMap::new(), config_source };
        let in_table = |name: &String| table.is_some_and(|t| t.workspaces.contains_key(name));
        for (name, workspace) in config.workspaces.iter().filter(|(name, _)| !in_table(name)) {
            index.insert(name, workspace);
        }
        for (name, workspace) in table.into_iter().flat_map(|table| &table.workspaces) {
            index.insert(name, workspace);
        }
        index
    }

    fn insert(&mut self, name: &str, workspace: &Workspace) {
        let named = Arc::new(named(name, workspace));
        let digests = workspace.key_digests.iter().cloned();
        self.by_digest.extend(digests.map(|digest| (digest, named.clone())));
    }

    /// Returns whether a configuration has the same workspaces as the one the index was built from.
    pub fn is_built_from(&self, config: &Config) -> bool {
        self.config_source.0 == config.needs_key && self.config_source.1 == config.workspaces
    }

    /// Returns whether requests need a key, except on keyless routes.
    pub fn needs_key(&self) -> bool {
        self.needs_key
    }

    /// Returns the quotas of the workspaces that have a key; a workspace may appear repeatedly.
    pub fn quotas(&self) -> impl Iterator<Item = (Arc<str>, Quota)> {
        self.by_digest.values().filter_map(|named| Some((named.name.clone(), named.quota?)))
    }

    /// Returns the workspace that a key belongs to.
    pub fn workspace_for_key(&self, key: &ApiKey) -> Option<&Arc<NamedWorkspace>> {
        self.by_digest.get(&digest(&key.0))
    }
}

/// Describes the priority and the quota of a workspace to operators.
pub fn describe_limits(priority: Option<u32>, rate_milli_per_s: u64, burst_milli: u64) -> String {
    let priority = match priority {
        Some(priority) => format!("priority {priority}"),
        None => "the priority of its requests' routes".into(),
    };
    match rate_milli_per_s {
        0 => format!("{priority}, no limit"),
        rate => format!(
            "{priority}, {} requests a second over all hosts and {} more at once",
            rate as f64 / MILLI,
            burst_milli as f64 / MILLI
        ),
    }
}

fn named(name: &str, workspace: &Workspace) -> NamedWorkspace {
    let quota = (workspace.rate_milli_per_s > 0).then(|| Quota {
        per_second: workspace.rate_milli_per_s as f64 / MILLI,
        burst: workspace.burst_milli as f64 / MILLI,
    });
    NamedWorkspace {
        name: name.into(),
        priority: workspace.priority,
        quota,
        allowed_regions: workspace.allowed_regions.clone(),
    }
}

/// Returns whether any workspace of the route table or the configuration has a key.
pub fn has_key(table: Option<&RouteTable>, config: &Config) -> bool {
    let of_table = table.into_iter().flat_map(|table| table.workspaces.values());
    config.workspaces.values().chain(of_table).any(|w| !w.key_digests.is_empty())
}

/// Describes settings that lock out all callers, or that shadow a workspace.
pub fn needs_attention(table: Option<&RouteTable>, config: &Config) -> Vec<String> {
    let needs_key = config.needs_key || table.is_some_and(|table| table.needs_key);
    let locked = needs_key && !has_key(table, config);
    let locked =
        locked.then(|| "requests need a key and no workspace has one: all are refused".into());
    let in_table = |name: &&String| table.is_some_and(|t| t.workspaces.contains_key(*name));
    let shadowed = config.workspaces.keys().filter(in_table).map(|name| {
        format!(
            "workspace {name} is also in the route table, which takes precedence: \
             delete it from the configuration"
        )
    });
    locked.into_iter().chain(shadowed).collect()
}

/// Validates the workspaces of a route table.
///
/// # Errors
///
/// Returns the first fault, with the name of the workspace and the remedy, but never a key.
pub fn validate(workspaces: &BTreeMap<String, Workspace>) -> Result<(), InvalidTable> {
    let mut holders = HashMap::new();
    for (name, workspace) in workspaces {
        if name.trim().is_empty() {
            let what = "a workspace has no name".into();
            return Err(InvalidTable { what, remedy: "name each workspace".into() });
        }
        if !name.bytes().all(|byte| byte == b' ' || byte.is_ascii_graphic()) {
            // The name is sent in a header. An invalid header would be omitted, and the request
            // would run without its workspace.
            let what = format!("the name {name:?} of a workspace cannot be sent in a header");
            let remedy = "use printable ASCII characters only".into();
            return Err(InvalidTable { what, remedy });
        }
        for digest in &workspace.key_digests {
            let Some(other) = holders.insert(digest, name) else { continue };
            let what = format!("workspaces {other} and {name} hold the same key");
            let remedy = "give each key to one workspace, once".into();
            return Err(InvalidTable { what, remedy });
        }
    }
    Ok(())
}
