//! Patches of route tables in the log, and of their source texts.

use arbtest::arbtest;
use cherrystream_core::routes;
use cherrystream_core::state::{Applied, ControlState};
use cherrystream_core::text_patch;
use cherrystream_schema::messages::{
    Command, Entry, RequestLimits, Route, RouteOrder, RouteTable, RouteTarget, RoutedService,
};

fn route(path: u64) -> Route {
    Route {
        host: "a.example".into(),
        path_prefix: format!("/{path}/"),
        repeatable: true,
        timeout_us: 1_000_000,
        target_us: 400_000,
        priority: 1,
        attempts_at_most: 2,
        targets: vec![RouteTarget { service: "quotes".into(), weight: 1 }],
        keyless: false,
        allowed_regions: Vec::new(),
    }
}

fn order(number: u64, paths: &[u64]) -> RouteOrder {
    let service = RoutedService {
        health_path: "/health".into(),
        connections_at_most: 100,
        cold_milli_per_s: None,
    };
    let table = RouteTable {
        number,
        routes: paths.iter().map(|path| (format!("r{path}"), route(*path))).collect(),
        services: [("quotes".to_string(), service)].into(),
        limits: RequestLimits {
            head_bytes: 16_384,
            body_bytes: 1 << 20,
            head_timeout_us: 3_000_000,
            idle_timeout_us: 15_000_000,
        },
        workspaces: Default::default(),
        needs_key: false,
    };
    RouteOrder { source: serde_json::to_string(&table).unwrap(), table }
}

fn whole(order: &RouteOrder) -> Command {
    Command::ReplaceRoutes { packed: routes::pack(order), number: order.table.number }
}

fn patch(old: &RouteOrder, new: &RouteOrder) -> Command {
    let patch = routes::patch(&old.table, &old.source, new);
    Command::PatchRoutes {
        base: old.table.number,
        number: new.table.number,
        packed: routes::pack(&patch),
    }
}

#[derive(Default)]
struct Log {
    state: ControlState,
    index: u64,
}

impl Log {
    fn apply(&mut self, command: Command) -> Applied {
        self.index += 1;
        self.state.apply(&Entry { term: 1, index: self.index, command })
    }

    fn holds(&self, order: &RouteOrder) -> bool {
        self.state.shared().routes.as_ref() == Some(&order.table)
            && self.state.route_source() == Some(&*order.source)
    }
}

#[test]
fn a_patch_yields_the_new_table_and_its_source_text() {
    arbtest(|u| {
        let mut log = Log::default();
        let mut held = order(1, &[1, 2, 3]);
        log.apply(whole(&held));
        for number in 2..6 {
            let mut paths = Vec::new();
            for path in 0..12 {
                if u.arbitrary()? {
                    paths.push(path);
                }
            }
            let next = order(number, &paths);
            assert_eq!(log.apply(patch(&held, &next)), Applied::CurrentRoutes(number));
            assert!(log.holds(&next));
            held = next;
        }
        Ok(())
    });
}

#[test]
fn a_patch_of_another_table_changes_nothing_and_returns_the_current_number() {
    let mut log = Log::default();
    let (first, second, third) = (order(1, &[1]), order(2, &[1, 2]), order(3, &[1, 2, 3]));
    assert_eq!(
        log.apply(patch(&first, &second)),
        Applied::RouteConflict(0),
        "there is no table yet"
    );
    log.apply(whole(&second));
    assert_eq!(log.apply(patch(&first, &third)), Applied::RouteConflict(2));
    assert!(log.holds(&second));
    assert_eq!(log.apply(patch(&second, &third)), Applied::CurrentRoutes(3));
    assert_eq!(log.apply(patch(&second, &third)), Applied::CurrentRoutes(3), "sent once more");
    assert!(log.holds(&third));
    let torn = Command::PatchRoutes { base: 3, number: 4, packed: "torn".into() };
    assert_eq!(log.apply(torn), Applied::RouteConflict(3));
    assert!(log.holds(&third));
}

/// Guards against log entries with the whole table for a small change of a large table.
#[test]
fn the_size_of_a_patch_follows_the_size_of_the_change() {
    let old = order(1, &(0..4_200).collect::<Vec<_>>());
    let renumbered = order(2, &(0..4_200).collect::<Vec<_>>());
    let longer = order(2, &(0..4_300).collect::<Vec<_>>());
    let bytes = |new: &RouteOrder| match patch(&old, new) {
        Command::PatchRoutes { packed, .. } => packed.len(),
        _ => unreachable!(),
    };
    let whole = routes::pack(&longer).len();
    assert!(bytes(&renumbered) < 2_000, "{}", bytes(&renumbered));
    assert!(bytes(&longer) * 10 < whole, "{} of {whole}", bytes(&longer));
}

#[test]
fn a_text_patch_yields_the_new_text_and_does_not_apply_to_a_third() {
    arbtest(|u| {
        let mut text = || {
            let mut text = String::new();
            for _ in 0..u.int_in_range(0..=20)? {
                text.push_str(u.choose(&["{", "}", "a}", "bb}", "é", "\"x\":1}", ","])?);
            }
            Ok(text)
        };
        let (old, new, third) = (text()?, text()?, text()?);
        let patch = text_patch::between(&old, &new);
        assert_eq!(text_patch::apply(&old, &patch).as_ref(), Some(&new));
        if let Some(other) = text_patch::apply(&third, &patch) {
            assert_eq!(other, new);
        }
        Ok(())
    });
}
