//! Route tables: validation, look-up of routes, patches and packing.

use arbtest::arbtest;
use cherrystream_core::routes::{self, RouteIndex};
use cherrystream_core::shared;
use cherrystream_core::state::{Applied, ControlState};
use cherrystream_schema::messages::{
    Command, Config, Entry, RequestLimits, Route, RouteOrder, RouteTable, RouteTarget,
    RoutedService,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn limits() -> RequestLimits {
    RequestLimits {
        head_bytes: 16_384,
        body_bytes: 1 << 20,
        head_timeout_us: 3_000_000,
        idle_timeout_us: 15_000_000,
    }
}

fn route(host: &str, prefix: &str, targets: &[(&str, u32)]) -> Route {
    let target = |(service, weight): &(&str, u32)| RouteTarget {
        service: service.to_string(),
        weight: *weight,
    };
    Route {
        host: host.into(),
        path_prefix: prefix.into(),
        repeatable: true,
        timeout_us: 1_000_000,
        target_us: 400_000,
        priority: 1,
        attempts_at_most: 2,
        targets: targets.iter().map(target).collect(),
        keyless: false,
        allowed_regions: Vec::new(),
    }
}

fn table(number: u64, routes: &[(&str, Route)]) -> RouteTable {
    let service = RoutedService {
        health_path: "/health".into(),
        connections_at_most: 100,
        cold_milli_per_s: None,
    };
    RouteTable {
        number,
        routes: routes.iter().map(|(name, route)| (name.to_string(), route.clone())).collect(),
        services: [("quotes".to_string(), service.clone()), ("payouts".to_string(), service)]
            .into(),
        limits: limits(),
        workspaces: Default::default(),
        needs_key: false,
    }
}

fn fault(change: impl FnOnce(&mut Route)) -> String {
    let mut bad = route("a.example", "/a/", &[("quotes", 1)]);
    change(&mut bad);
    match routes::validate(&table(1, &[("r", bad)])) {
        Ok(()) => "accepted".into(),
        Err(e) => format!("{}; {}", e.what, e.remedy),
    }
}

#[test]
fn invalid_tables_are_rejected_with_a_remedy() {
    let faults = [
        ("valid", fault(|_| {})),
        ("no host", fault(|r| r.host = " ".into())),
        ("a prefix without a leading slash", fault(|r| r.path_prefix = "a/".into())),
        ("no timeout", fault(|r| r.timeout_us = 0)),
        ("a timeout over ten minutes", fault(|r| r.timeout_us = 600_000_001)),
        ("a timeout of ten minutes", fault(|r| r.timeout_us = 600_000_000)),
        ("a target latency a minute over the timeout", fault(|r| r.target_us = 61_000_000)),
        ("a target latency just below that", fault(|r| r.target_us = 60_999_999)),
        ("an unknown service", fault(|r| r.targets[0].service = "nowhere".into())),
        ("no weight", fault(|r| r.targets[0].weight = 0)),
        ("no service", fault(|r| r.targets.clear())),
    ];
    insta::assert_debug_snapshot!(faults);
    let same = route("a.example", "/a/", &[("quotes", 1)]);
    let twice = table(1, &[("r", same.clone()), ("s", Route { host: "A.example".into(), ..same })]);
    assert!(routes::validate(&twice).is_err());
    assert!(routes::validate(&table(0, &[])).is_err());
}

#[test]
fn a_request_matches_the_longest_prefix_of_its_host() {
    let long = route("a.example", "/a/b/", &[("payouts", 1)]);
    let short = route("a.example", "/a/", &[("quotes", 1)]);
    let other = route("b.example", "/", &[("quotes", 1)]);
    let index = RouteIndex::new(
        Some(&table(1, &[("long", long), ("short", short), ("other", other)])),
        &Config::default(),
    );
    let found = |host, path| index.find(host, path).map(|named| named.name.to_string());
    assert_eq!(found("a.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(found("A.EXAMPLE", "/a/bc").as_deref(), Some("short"));
    assert_eq!(found("b.example", "/a/b/c").as_deref(), Some("other"));
    assert_eq!(found("a.example", "/b/"), None);
    assert_eq!(found("c.example", "/a/"), None);
}

#[test]
fn targets_of_a_route_get_requests_in_proportion_to_their_weights() {
    let parts = route("a.example", "/", &[("quotes", 90), ("payouts", 10)]);
    let index = RouteIndex::new(Some(&table(1, &[("r", parts)])), &Config::default());
    let named = index.find("a.example", "/x").unwrap();
    let mut rng = SmallRng::seed_from_u64(7);
    let picked = (0..10_000).filter(|_| named.pick(&mut rng) == Some("payouts")).count();
    assert!((900..1_100).contains(&picked), "{picked}");
}

#[test]
fn the_difference_of_two_tables_turns_one_into_the_other() {
    arbtest(|u| {
        let mut make = |number| {
            let mut routes = Vec::new();
            for name in ["a", "b", "c", "d"] {
                if u.arbitrary()? {
                    let host = if u.arbitrary()? { "x.example" } else { "y.example" };
                    routes.push((name, route(host, &format!("/{name}/"), &[("quotes", 1)])));
                }
            }
            Ok(table(number, &routes))
        };
        let (old, new) = (make(3)?, make(4)?);
        let mut held = shared::empty();
        shared::apply(&mut held, &routes::difference(None, &old));
        assert_eq!(held.routes.as_ref(), Some(&old));
        shared::apply(&mut held, &routes::difference(Some(&old), &new));
        assert_eq!(held.routes.as_ref(), Some(&new));
        Ok(())
    });
}

#[test]
fn the_table_with_the_highest_number_is_kept_with_its_source_text() {
    let mut state = ControlState::default();
    let mut index = 0;
    let mut put = |number: u64, text: &str| {
        index += 1;
        let order = RouteOrder { table: table(number, &[]), source: text.into() };
        let command =
            Command::ReplaceRoutes { packed: routes::pack(&order), number: order.table.number };
        let applied = state.apply(&Entry { term: 1, index, command });
        (applied, state.route_source().map(str::to_string))
    };
    assert_eq!(put(7, "seven"), (Applied::CurrentRoutes(7), Some("seven".into())));
    assert_eq!(put(5, "five"), (Applied::CurrentRoutes(7), Some("seven".into())));
    assert_eq!(put(7, "another seven"), (Applied::CurrentRoutes(7), Some("seven".into())));
    assert_eq!(put(9, "nine"), (Applied::CurrentRoutes(9), Some("nine".into())));
}

#[test]
fn a_large_table_is_compressed_and_restored_unchanged() {
    let routes: Vec<(String, Route)> = (0..350)
        .map(|i| (format!("r-{i}"), route("a.example", &format!("/path-{i}/"), &[("quotes", 1)])))
        .collect();
    let routes: Vec<(&str, Route)> = routes.iter().map(|(n, r)| (n.as_str(), r.clone())).collect();
    let table = table(3, &routes);
    let order = RouteOrder { source: serde_json::to_string(&table).unwrap(), table };
    let packed = routes::pack(&order);
    assert!(packed.len() * 8 < serde_json::to_string(&order).unwrap().len(), "{}", packed.len());
    assert_eq!(routes::unpack(&packed), Some(order));
    assert_eq!(routes::unpack::<RouteOrder>("not packed"), None);
}
