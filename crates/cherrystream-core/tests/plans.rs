//! Plans of several operators: which changes of others a confirmation tolerates.

use arbtest::arbtest;
use cherrystream_core::errors::Error;
use cherrystream_core::plan;
use cherrystream_core::state::{Applied, ControlState};
use cherrystream_core::units::Revision;
use cherrystream_schema::messages::{Change, Command, Entry, HostRecord, Intent, Plan, Shared};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time budget of each property, in milliseconds.
const BUDGET_MS: u64 = 2_000;
const NOW_MS: u64 = 1_000;

/// A control state with the log that leads to it.
#[derive(Default)]
struct Log {
    state: ControlState,
    index: u64,
    plans: u64,
}

impl Log {
    fn commit(&mut self, command: Command) -> Applied {
        self.index += 1;
        self.state.apply(&Entry { term: 1, index: self.index, command })
    }

    /// Records the plan of an intent; returns its identifier, if the intent changes anything.
    fn plan(&mut self, intent: &Intent) -> Option<String> {
        let outline = plan::outline(self.state.shared(), intent).ok()?;
        self.plans += 1;
        let id = format!("plan-{}", self.plans);
        let plan = Plan {
            id: id.clone(),
            operator: "anna".into(),
            intent: intent.clone(),
            base_revision: self.state.config_revision(),
            steps: outline.steps,
            warnings: outline.warnings,
            expires_at_ms: NOW_MS,
            request_key: Some(id.clone()),
            accepted: None,
        };
        self.commit(Command::PutPlan { plan });
        Some(id)
    }

    fn try_confirm(&mut self, id: &str) -> Result<Revision, Error> {
        match self.commit(Command::Confirm { plan: id.into(), at_ms: NOW_MS, base: None }) {
            Applied::Confirmed(outcome) => outcome,
            other => panic!("{other:?}"),
        }
    }

    /// Confirms a plan like the leader does: rebases it once if its base is outdated.
    fn confirm(&mut self, id: &str) -> Result<Revision, Error> {
        match self.try_confirm(id) {
            Err(Error::Conflict { .. }) => {}
            outcome => return outcome,
        }
        let plan = self.state.rebase_plan(id, NOW_MS)?;
        self.commit(Command::PutPlan { plan });
        self.try_confirm(id)
    }

    fn accept(&mut self, intent: &Intent) {
        if let Some(id) = self.plan(intent) {
            self.confirm(&id).unwrap();
        }
    }
}

fn key_digest(n: u64) -> String {
    cherrystream_core::workspaces::digest(&format!("key-{n}"))
}

/// Draws an intent about items whose names start with a prefix.
fn draw_intent(rng: &mut SmallRng, prefix: &str) -> Intent {
    let mut name = |what: &str| format!("{prefix}-{what}-{}", rng.random_range(0..2));
    let (service, kind, server, host) = (name("s"), name("k"), name("b"), name("h"));
    let workspace = name("w");
    let key = u64::from(prefix.as_bytes()[0]) * 10 + rng.random_range(0..2);
    let key_digest = key_digest(key);
    match rng.random_range(0..11) {
        0 => Intent::PutService { service, measuring_per_second: rng.random_range(1..4) },
        1 => Intent::DeleteService { service },
        2 => Intent::PutKind {
            service,
            kind,
            method: "GET".into(),
            path_prefix: "/".into(),
            repeatable: rng.random_bool(0.5),
            weight: 1,
            deadline_ms: rng.random_range(1..4),
        },
        3 => Intent::DeleteKind { service, kind },
        4 => Intent::PutBackendServer {
            service,
            name: server,
            host,
            address: "127.0.0.1:9001".into(),
            slots: rng.random_range(1..4),
        },
        5 => Intent::DeleteBackendServer { service, name: server },
        6 => Intent::TakeOutHost { host },
        7 => Intent::ReturnHost { host },
        8 => Intent::PutWorkspace {
            workspace,
            priority: Some(1),
            rate_milli_per_s: 1_000 * rng.random_range(1..4),
            burst_milli: 0,
        },
        9 => Intent::AddKey { workspace, key_digest },
        _ => Intent::RevokeKey { workspace, key_digest },
    }
}

/// Returns the configuration without the items whose names start with a prefix.
fn without(shared: &Shared, prefix: &str) -> Shared {
    let mut rest = shared.clone();
    rest.config.services.retain(|name, _| !name.starts_with(prefix));
    rest.config.workspaces.retain(|name, _| !name.starts_with(prefix));
    rest.config.hosts_out.retain(|name| !name.starts_with(prefix));
    rest
}

/// Guards against plans that are never accepted while other operators change unrelated items.
#[test]
fn changes_of_unrelated_items_never_conflict() {
    arbtest(|u| {
        let mut rng = SmallRng::seed_from_u64(u.arbitrary()?);
        let mut log = Log::default();
        for _ in 0..20 {
            let intent = draw_intent(&mut rng, "mine");
            log.accept(&intent);
            log.accept(&draw_intent(&mut rng, "other"));
        }
        for _ in 0..20 {
            let intent = draw_intent(&mut rng, "mine");
            let Some(id) = log.plan(&intent) else { continue };
            for _ in 0..rng.random_range(0..20) {
                log.accept(&draw_intent(&mut rng, "other"));
            }
            let others = without(log.state.shared(), "mine");
            log.confirm(&id).unwrap();
            assert_eq!(without(log.state.shared(), "mine"), others, "{intent:?}");
        }
        Ok(())
    })
    .budget_ms(BUDGET_MS);
}

/// Guards against accepted plans that do something else than their operator was shown, overwrite a
/// change made since, or run twice.
#[test]
fn an_accepted_plan_does_what_was_shown_to_an_item_that_nobody_else_changed() {
    arbtest(|u| {
        let mut rng = SmallRng::seed_from_u64(u.arbitrary()?);
        let mut log = Log::default();
        for _ in 0..20 {
            log.accept(&draw_intent(&mut rng, "mine"));
        }
        for _ in 0..20 {
            let intent = draw_intent(&mut rng, "mine");
            let shown = plan::outline(log.state.shared(), &intent);
            let Some(id) = log.plan(&intent) else { continue };
            let before = log.state.shared().clone();
            for _ in 0..rng.random_range(0..3) {
                log.accept(&draw_intent(&mut rng, "mine"));
            }
            let outline = plan::outline(log.state.shared(), &intent);
            let between = log.state.shared().clone();
            match log.confirm(&id) {
                Ok(revision) => {
                    assert_eq!(outline, shown, "{intent:?}");
                    let after = log.state.shared().clone();
                    // A repeated confirmation gets the same reply and changes nothing.
                    assert_eq!(log.confirm(&id), Ok(revision));
                    assert_eq!(*log.state.shared(), after);
                    assert_eq!(item(&before, &intent), item(&between, &intent), "{intent:?}");
                }
                Err(Error::Conflict { changes }) => {
                    assert!(changes.contains(" at 1."), "{changes}");
                    assert_eq!(*log.state.shared(), between);
                }
                Err(e) => panic!("{e:?}"),
            }
        }
        Ok(())
    })
    .budget_ms(BUDGET_MS);
}

/// Returns the item that an intent is about, in a form to compare.
fn item(shared: &Shared, intent: &Intent) -> String {
    let config = &shared.config;
    let service = |name: &str| config.services.get(name);
    match intent {
        Intent::PutService { service: s, .. } => {
            format!("{:?}", service(s).map(|s| s.measuring_per_second))
        }
        Intent::DeleteService { service: s } => format!("{:?}", service(s)),
        Intent::PutKind { service: s, kind, .. } | Intent::DeleteKind { service: s, kind } => {
            format!("{:?}", service(s).and_then(|s| s.kinds.get(kind)))
        }
        Intent::PutBackendServer { service: s, name, .. }
        | Intent::DeleteBackendServer { service: s, name } => {
            format!("{:?}", service(s).and_then(|s| s.backend_servers.get(name)))
        }
        Intent::TakeOutHost { host } | Intent::ReturnHost { host } => {
            format!("{:?}", config.hosts_out.contains(host))
        }
        Intent::PutWorkspace { workspace, .. } => {
            let settings = config.workspaces.get(workspace);
            format!("{:?}", settings.map(|w| (w.priority, w.rate_milli_per_s, w.burst_milli)))
        }
        Intent::AddKey { workspace, key_digest } | Intent::RevokeKey { workspace, key_digest } => {
            let held = config.workspaces.get(workspace);
            format!("{:?}", held.map(|w| w.key_digests.contains(key_digest)))
        }
        _ => String::new(),
    }
}

/// Guards against a request that is repeated after its plan was rebased and gets another plan.
#[test]
fn a_repeated_intent_gets_the_same_plan_after_a_rebase() {
    let mut log = Log::default();
    let intent = Intent::PutService { service: "mine".into(), measuring_per_second: 5 };
    let id = log.plan(&intent).unwrap();
    log.accept(&Intent::PutService { service: "other".into(), measuring_per_second: 5 });
    log.confirm(&id).unwrap();
    let plan = log.state.plan_of("anna", &id).unwrap();
    assert_eq!((plan.id.as_str(), plan.accepted.is_some()), (id.as_str(), true));
}

fn put_service(service: &str, measuring_per_second: u64) -> Intent {
    Intent::PutService { service: service.into(), measuring_per_second: measuring_per_second as _ }
}

/// Guards against plans that are refused because large changes by the platform displaced the
/// changes by operators that are retained for daemons.
#[test]
fn large_changes_by_the_platform_between_do_not_conflict() {
    let mut log = Log::default();
    let id = log.plan(&put_service("mine", 5)).unwrap();
    log.accept(&put_service("other", 5));
    for incarnation in 0..2_000 {
        let record = HostRecord {
            host: "host-a".into(),
            failure_domain: "a".into(),
            region: "r".into(),
            peer_address: "127.0.0.1:1".into(),
            incarnation,
            leaving: false,
        };
        log.commit(Command::ShareAll { changes: vec![Change::PutHost { record }] });
    }
    log.confirm(&id).unwrap();
}

/// Guards against overwriting a change of which a replica that starts from a snapshot knows nothing.
#[test]
fn a_change_before_a_restored_snapshot_conflicts() {
    let mut log = Log::default();
    log.accept(&put_service("mine", 5));
    let id = log.plan(&put_service("mine", 6)).unwrap();
    log.accept(&put_service("mine", 7));
    let snapshot = serde_json::to_string(&log.state).unwrap();
    log.state = serde_json::from_str(&snapshot).unwrap();
    assert!(matches!(log.confirm(&id), Err(Error::Conflict { .. })));
    log.accept(&put_service("other", 5));
    assert!(matches!(log.confirm(&id), Err(Error::Conflict { .. })));
}
