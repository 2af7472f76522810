//! Control states with generated route tables. Names are random, so that they compress as little as
//! real ones.

use crate::light;
use cherrystream_core::routes;
use cherrystream_core::state::ControlState;
use cherrystream_schema::messages;
use messages::{
    Change, Command, Entry, HostRecord, Instance, NumberedChange, RequestLimits, Revision, Route,
    RouteOrder, RouteTable, RouteTarget, RoutedService, ServerState, Update,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// Seed of all names; fixed, so that runs are comparable.
const SEED: u64 = 27;
/// Length of a random name in characters.
const NAME_CHARS: usize = 8;
/// Number of host names in requests that the routes match.
const REQUEST_HOSTS: usize = 4;
/// Number of services that routes point to.
const SERVICES: usize = 6;

/// A control state with the changes that led to it.
pub struct History {
    /// State of a replica that has applied every change.
    pub state: ControlState,
    changes: Vec<NumberedChange>,
    table: RouteTable,
    rng: StdRng,
}

impl History {
    /// Creates a state with registered daemons and their backend servers.
    pub fn new(records: &[HostRecord]) -> History {
        let mut history = History {
            state: ControlState::default(),
            changes: Vec::new(),
            table: empty_table(),
            rng: StdRng::seed_from_u64(SEED),
        };
        for (i, record) in records.iter().enumerate() {
            history.apply_change(Change::PutHost { record: record.clone() });
            let (host, instance) = (record.host.clone(), instance(i));
            history.apply_change(Change::PutInstance { host, instance });
        }
        history
    }

    /// Applies a table with `count` more routes.
    pub fn add_routes(&mut self, count: u32) {
        let old = (self.table.number > 0).then(|| self.table.clone());
        self.table.number += 1;
        for _ in 0..count {
            let (name, route) = (random_name(&mut self.rng), random_route(&mut self.rng));
            self.table.routes.insert(name, route);
        }
        let change = routes::difference(old.as_ref(), &self.table);
        let order = RouteOrder { source: String::new(), table: self.table.clone() };
        let number = self.table.number;
        self.apply(Command::ReplaceRoutes { number, packed: routes::pack(&order) });
        self.changes.push(NumberedChange { revision: self.state.revision(), change });
    }

    /// Returns every change since a revision as one unencoded update.
    pub fn changes_since(&self, held: Revision) -> Update {
        let newer = self.changes.iter().filter(|c| c.revision > held).cloned();
        Update { revision: self.state.revision(), changes: newer.collect(), full: None }
    }

    fn apply_change(&mut self, change: Change) {
        self.apply(Command::Share { change: change.clone() });
        self.changes.push(NumberedChange { revision: self.state.revision(), change });
    }

    fn apply(&mut self, command: Command) {
        let index = self.state.revision().index + 1;
        self.state.apply(&Entry { command, index, term: 1 });
    }
}

/// Returns the registrations of daemons distributed evenly over failure domains.
pub fn records(hosts: usize, domains: usize) -> Vec<HostRecord> {
    let record = |i: usize| HostRecord {
        failure_domain: format!("domain-{}", i % domains),
        // Not random, so that runs are comparable.
        incarnation: i as u64 + 1,
        ..light::record(i as u64)
    };
    (0..hosts).map(record).collect()
}

fn instance(i: usize) -> Instance {
    Instance {
        address: format!("10.{}.{}.1:9001", i / 250, i % 250),
        id: format!("instance-{i:04}"),
        sequence: 1,
        born_ms: 0,
        version: String::new(),
        service: service_name(i),
        slots: 12,
        state: ServerState::Live,
    }
}

fn empty_table() -> RouteTable {
    let service = || RoutedService {
        connections_at_most: 100,
        health_path: "/healthz".to_string(),
        cold_milli_per_s: None,
    };
    RouteTable {
        limits: RequestLimits {
            body_bytes: 1 << 20,
            head_bytes: 16 * 1024,
            head_timeout_us: 3_000_000,
            idle_timeout_us: 15_000_000,
        },
        number: 0,
        routes: BTreeMap::new(),
        services: (0..SERVICES).map(|i| (service_name(i), service())).collect(),
        workspaces: BTreeMap::new(),
        needs_key: false,
    }
}

fn service_name(i: usize) -> String {
    format!("service-{}", i % SERVICES)
}

fn random_route(rng: &mut StdRng) -> Route {
    let site = rng.random_range(0..REQUEST_HOSTS);
    let service = service_name(rng.random_range(0..SERVICES));
    Route {
        attempts_at_most: 2,
        host: format!("site-{site}.example"),
        path_prefix: format!("/{}/", random_name(rng)),
        priority: 1,
        repeatable: true,
        target_us: 1_000_000,
        targets: vec![RouteTarget { service, weight: 1 }],
        timeout_us: 2_000_000,
        keyless: false,
        allowed_regions: Vec::new(),
    }
}

fn random_name(rng: &mut StdRng) -> String {
    let alphabet = rand::distr::Alphanumeric;
    rng.sample_iter(alphabet).take(NAME_CHARS).map(char::from).collect()
}
