//! Workspaces: look-up by key, and validation of route tables and intents.

use arbtest::arbitrary;
use cherrystream_core::plan;
use cherrystream_core::routes;
use cherrystream_core::shared;
use cherrystream_core::workspaces::{self, ApiKey, WorkspaceIndex};
use cherrystream_schema::messages::{
    Change, Config, Intent, RequestLimits, RouteTable, Shared, Workspace,
};
use std::collections::BTreeMap;
use std::time::Instant;

fn workspace(keys: &[&str]) -> Workspace {
    Workspace {
        key_digests: keys.iter().map(|key| workspaces::digest(key)).collect(),
        priority: Some(1),
        rate_milli_per_s: 2_500,
        burst_milli: 5_000,
        allowed_regions: Vec::new(),
    }
}

fn table(number: u64, held: &[(&str, &[&str])]) -> RouteTable {
    let named = |(name, keys): &(&str, &[&str])| (name.to_string(), workspace(keys));
    RouteTable {
        number,
        routes: BTreeMap::new(),
        services: BTreeMap::new(),
        limits: RequestLimits {
            head_bytes: 16_384,
            body_bytes: 1 << 20,
            head_timeout_us: 3_000_000,
            idle_timeout_us: 15_000_000,
        },
        workspaces: held.iter().map(named).collect(),
        needs_key: true,
    }
}

fn index(table: &RouteTable) -> WorkspaceIndex {
    WorkspaceIndex::new(Some(table), &Config::default())
}

fn holder(index: &WorkspaceIndex, key: &str) -> Option<String> {
    index.workspace_for_key(&ApiKey::new(key)).map(|workspace| workspace.name.to_string())
}

#[test]
fn a_key_maps_to_its_workspace_with_its_quota() {
    let index = index(&table(1, &[("a", &["k1", "k2"]), ("b", &["k3"])]));
    assert!(index.needs_key());
    assert_eq!(holder(&index, "k2").as_deref(), Some("a"));
    assert_eq!(holder(&index, "k3").as_deref(), Some("b"));
    assert_eq!(holder(&index, "k"), None);
    assert_eq!(holder(&index, ""), None);
    let quota = index.workspace_for_key(&ApiKey::new("k1")).unwrap().quota.unwrap();
    assert_eq!((quota.per_second, quota.burst), (2.5, 5.0));
}

/// Guards against keys that remain valid after a patch removes them or moves them to another
/// workspace.
#[test]
fn a_patch_replaces_the_workspaces_of_the_old_table() {
    let old = table(1, &[("a", &["k1", "k2"]), ("b", &["k3"]), ("c", &["k4"])]);
    let new = table(2, &[("a", &["k1"]), ("b", &["k2", "k3"])]);
    let mut patched = Some(old.clone());
    shared::patch_routes(&mut patched, &routes::difference(Some(&old), &new));
    assert_eq!(patched.as_ref(), Some(&new));
    let index = index(&new);
    assert_eq!(holder(&index, "k2").as_deref(), Some("b"));
    assert_eq!(holder(&index, "k4"), None);
}

#[test]
fn a_key_of_two_workspaces_is_rejected_without_revealing_it() {
    let fault = routes::validate(&table(1, &[("a", &["k1"]), ("b", &["k1"])])).unwrap_err();
    assert!(fault.what.contains("a and b hold the same key"), "{}", fault.what);
    let all = format!("{}{}", fault.what, fault.remedy);
    assert!(!all.contains("k1") && !all.contains(&workspaces::digest("k1")));
    assert!(routes::validate(&table(1, &[(" ", &["k1"])])).is_err());
    assert!(routes::validate(&table(1, &[("a", &["k1"]), ("b", &["k2"])])).is_ok());
}

/// Guards against requests that run without their workspace because its header is omitted.
#[test]
fn a_name_that_cannot_be_sent_in_a_header_is_rejected() {
    for name in ["stu\ndio", "st\u{fc}dio", "a\u{0}"] {
        let fault = routes::validate(&table(1, &[(name, &["k1"])])).unwrap_err();
        assert!(fault.what.contains("cannot be sent in a header"), "{}", fault.what);
    }
    assert!(routes::validate(&table(1, &[("Studio Brest", &["k1"])])).is_ok());
}

#[test]
fn debug_output_hides_the_key() {
    assert_eq!(format!("{:?}", ApiKey::new("secret")), "ApiKey");
}

/// Reference implementation without an index: the route table takes precedence over the
/// configuration, by name and by key.
fn expected_holder(table: &RouteTable, config: &Config, key: &str) -> Option<String> {
    let digest = workspaces::digest(key);
    let holds = |(_, workspace): &(&String, &Workspace)| workspace.key_digests.contains(&digest);
    let in_table = table.workspaces.iter().find(holds);
    let mut in_config = config.workspaces.iter().filter(holds);
    let in_config = || in_config.find(|(name, _)| !table.workspaces.contains_key(*name));
    in_table.or_else(in_config).map(|(name, _)| name.clone())
}

const NAMES: [&str; 4] = ["a", "b", "c", "d"];
const KEYS: [&str; 5] = ["k1", "k2", "k3", "k4", "k5"];

/// Generates workspaces without common keys.
fn any_workspaces(
    u: &mut arbitrary::Unstructured<'_>,
) -> arbitrary::Result<BTreeMap<String, Workspace>> {
    let mut workspaces = BTreeMap::<String, Workspace>::new();
    for name in NAMES {
        if u.arbitrary()? {
            let burst_milli = u.int_in_range(0..=2)?;
            workspaces.insert(name.into(), Workspace { burst_milli, ..Workspace::default() });
        }
    }
    for key in KEYS {
        let holder = workspaces.get_mut(*u.choose(&NAMES)?);
        if let Some(holder) = holder {
            holder.key_digests.push(workspaces::digest(key));
        }
    }
    Ok(workspaces)
}

fn any_intent(u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<Intent> {
    let workspace = u.choose(&NAMES)?.to_string();
    let key_digest = workspaces::digest(u.choose(&KEYS)?);
    Ok(match u.int_in_range(0..=4)? {
        0 => Intent::DeleteWorkspace { workspace },
        1 => Intent::AddKey { workspace, key_digest },
        2 => Intent::RevokeKey { workspace, key_digest },
        3 => Intent::NeedKeys { needed: u.arbitrary()? },
        _ => Intent::PutWorkspace {
            workspace,
            priority: None,
            rate_milli_per_s: u.int_in_range(0..=2)?,
            burst_milli: 0,
        },
    })
}

/// Guards against daemons that accept different keys depending on whether they received single
/// changes or the whole state. Skips intents that a plan rejects: the log never contains them.
#[test]
fn incremental_changes_and_the_whole_state_give_the_same_index() {
    arbtest::arbtest(|u| {
        let mut state = shared::empty();
        let mut newest = RouteTable { needs_key: false, ..table(0, &[]) };
        for number in 1..12 {
            if u.arbitrary()? {
                let next = RouteTable {
                    number,
                    workspaces: any_workspaces(u)?,
                    needs_key: u.arbitrary()?,
                    ..newest.clone()
                };
                let change = routes::difference(state.routes.as_ref(), &next);
                shared::apply(&mut state, &change);
                newest = next;
                assert_eq!(state.routes.as_ref(), Some(&newest));
            } else {
                let intent = any_intent(u)?;
                if plan::outline(&state, &intent).is_ok() {
                    shared::apply(&mut state, &Change::Operator { intent });
                }
            }
            let whole: Shared =
                serde_json::from_str(&serde_json::to_string(&state).unwrap()).unwrap();
            let step = WorkspaceIndex::new(state.routes.as_ref(), &state.config);
            let whole = WorkspaceIndex::new(whole.routes.as_ref(), &whole.config);
            assert_eq!(step.needs_key(), newest.needs_key || state.config.needs_key);
            for key in KEYS {
                let expected = expected_holder(&newest, &state.config, key);
                assert_eq!(holder(&step, key), expected, "{key}");
                assert_eq!(holder(&whole, key), expected, "{key}");
            }
        }
        Ok(())
    });
}

/// Guards against an outdated index: a daemon rebuilds it only if `is_built_from` returns false.
#[test]
fn an_index_detects_changes_of_the_configuration() {
    let mut config = Config::default();
    let empty = WorkspaceIndex::new(None, &config);
    config.hosts_out.push("host-a".into());
    assert!(empty.is_built_from(&config));
    config.workspaces.insert("a".into(), workspace(&["k1"]));
    assert!(!empty.is_built_from(&config));
    let held = WorkspaceIndex::new(None, &config);
    assert!(held.is_built_from(&config));
    config.workspaces.get_mut("a").unwrap().key_digests.clear();
    assert!(!held.is_built_from(&config));
    let without = WorkspaceIndex::new(None, &config);
    config.needs_key = true;
    assert!(!without.is_built_from(&config));
}

/// Guards against look-ups that search all workspaces. Uses the shortest of several rounds, which
/// other load on the machine affects least.
#[test]
fn look_up_time_does_not_grow_with_the_number_of_workspaces() {
    let round = |index: &WorkspaceIndex, keys: &[ApiKey]| {
        let started = Instant::now();
        let found =
            keys.iter().cycle().take(10_000).filter(|key| index.workspace_for_key(key).is_some());
        assert_eq!(found.count(), 10_000);
        started.elapsed()
    };
    let shortest = |workspaces: usize| {
        let key = |i: usize| format!("key-of-workspace-{i}");
        let held = (0..workspaces).map(|i| (format!("w{i}"), workspace(&[&key(i)])));
        let config = Config { workspaces: held.collect(), ..Config::default() };
        let index = WorkspaceIndex::new(None, &config);
        let keys: Vec<ApiKey> = (0..workspaces).map(|i| ApiKey::new(&key(i))).collect();
        (0..5).map(|_| round(&index, &keys)).min().unwrap()
    };
    let (few, many) = (shortest(10), shortest(10_000));
    println!("10,000 look-ups: {few:?} with 10 workspaces, {many:?} with 10,000");
    // A linear search would take a thousand times as long; cache misses account for some increase.
    assert!(many < few * 10, "{few:?} with 10 workspaces, {many:?} with 10,000");
}

#[test]
fn a_digest_is_distinguished_from_a_key() {
    assert!(workspaces::is_digest(&workspaces::digest("secret")));
    for key in [
        "",
        "secret",
        "0123456789012345678901234567890123456789012",
        &workspaces::new_key([255; 32]),
    ] {
        assert!(!workspaces::is_digest(key), "{key}");
    }
}

/// Guards against silent lock-outs: no workspace has a key, or the route table shadows a workspace.
#[test]
fn lock_outs_of_callers_are_reported() {
    let locked = table(1, &[("a", &[])]);
    let reported = workspaces::needs_attention(Some(&locked), &Config::default());
    assert_eq!(reported, ["requests need a key and no workspace has one: all are refused"]);
    let mut config = Config { needs_key: true, ..Config::default() };
    assert_eq!(workspaces::needs_attention(None, &config).len(), 1);
    config.workspaces.insert("a".into(), workspace(&["k1"]));
    assert!(workspaces::needs_attention(None, &config).is_empty());
    let both = workspaces::needs_attention(Some(&table(1, &[("a", &["k2"])])), &config);
    assert_eq!(both.len(), 1);
    assert!(both[0].contains("workspace a is also in the route table"), "{both:?}");
    // A shadowed workspace can only be deleted.
    let mut state = shared::empty();
    state.routes = Some(table(1, &[("a", &["k2"])]));
    state.config = config;
    let delete = Intent::DeleteWorkspace { workspace: "a".into() };
    assert!(plan::outline(&state, &delete).is_ok());
    let key_digest = workspaces::digest("k3");
    let add = Intent::AddKey { workspace: "a".into(), key_digest };
    assert!(
        plan::outline(&state, &add).unwrap_err().remedy().contains("belongs to the route table")
    );
}
