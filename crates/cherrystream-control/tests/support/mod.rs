//! Route tables for tests.

use cherrystream_schema::messages::{
    RequestLimits, Route, RouteOrder, RouteTable, RouteTarget, RoutedService,
};

/// Returns an operator command with a table of `routes` routes. The table number is part of each
/// route.
pub fn order(number: u64, routes: u64) -> RouteOrder {
    let route = |i: u64| Route {
        host: format!("h{i}.example"),
        path_prefix: format!("/v{number}/"),
        repeatable: true,
        timeout_us: 1_000_000,
        target_us: 400_000,
        priority: 1,
        attempts_at_most: 2,
        targets: vec![RouteTarget { service: "quotes".into(), weight: 1 }],
        keyless: false,
        allowed_regions: Vec::new(),
    };
    let limits = RequestLimits {
        head_bytes: 16_384,
        body_bytes: 1 << 20,
        head_timeout_us: 3_000_000,
        idle_timeout_us: 15_000_000,
    };
    let service = RoutedService {
        health_path: "/health".into(),
        connections_at_most: 100,
        cold_milli_per_s: None,
    };
    let table = RouteTable {
        number,
        routes: (0..routes).map(|i| (format!("r{number}-{i}"), route(i))).collect(),
        services: [("quotes".to_string(), service)].into(),
        limits,
        workspaces: Default::default(),
        needs_key: false,
    };
    RouteOrder { table, source: format!("source {number}") }
}
