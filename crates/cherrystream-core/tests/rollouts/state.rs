//! Start requests and steps of roll-outs in the replicated state.

use arbtest::arbtest;
use cherrystream_core::plan;
use cherrystream_core::rollout::{self, Exposure};
use cherrystream_core::state::ControlState;
use cherrystream_schema::messages::{
    Change, Command, Entry, Instance, Intent, Plan, RequestLimits, RolloutStage, RouteTable,
    RoutedService, ServerState,
};
use std::collections::BTreeMap;

const WITHIN_MS: u64 = 12_000;

#[derive(Default)]
struct Log {
    state: ControlState,
    index: u64,
}

impl Log {
    fn commit(&mut self, command: Command) {
        self.index += 1;
        self.state.apply(&Entry { term: 1, index: self.index, command });
    }

    fn share(&mut self, change: Change) {
        self.commit(Command::ShareAll { changes: vec![change] });
    }

    fn configure(&mut self, service: &str) {
        let routed = RoutedService {
            health_path: "/h".into(),
            connections_at_most: 9,
            cold_milli_per_s: None,
        };
        let limits =
            RequestLimits { head_bytes: 1, body_bytes: 1, head_timeout_us: 1, idle_timeout_us: 1 };
        let table = RouteTable {
            number: 1,
            routes: BTreeMap::new(),
            services: BTreeMap::from([(service.to_string(), routed)]),
            limits,
            workspaces: BTreeMap::new(),
            needs_key: false,
        };
        self.share(cherrystream_core::routes::difference(None, &table));
    }

    fn report(&mut self, host: &str, version: &str, sequence: u64) {
        let instance = Instance {
            id: format!("{host}-{version}-{sequence}"),
            service: "s".into(),
            address: "127.0.0.1:1".into(),
            slots: 4,
            state: ServerState::Live,
            sequence,
            born_ms: 0,
            version: version.into(),
        };
        self.share(Change::PutInstance { host: host.into(), instance });
    }

    fn start(&mut self, version: &str, at_ms: u64) {
        let intent = start(version, at_ms);
        self.share(Change::Operator { intent });
    }

    fn step(&mut self, stage: RolloutStage, exposure_milli: u32) {
        let known = &self.state.shared().config.rollouts["s"];
        let change = Change::StepRollout {
            service: "s".into(),
            version: known.version.clone(),
            started_at_ms: known.started_at_ms,
            stage,
            exposure_milli,
            reason: "counted".into(),
        };
        self.share(change);
    }

    fn stage(&self) -> RolloutStage {
        self.state.shared().config.rollouts["s"].stage
    }

    fn exposure(&self, version: &str) -> Exposure {
        rollout::exposure(self.state.shared().config.rollouts.get("s"), version)
    }
}

fn start(version: &str, at_ms: u64) -> Intent {
    Intent::StartRollout {
        service: "s".into(),
        version: version.into(),
        within_ms: WITHIN_MS,
        at_ms,
    }
}

fn two_versions() -> Log {
    let mut log = Log::default();
    log.configure("s");
    log.report("a", "v1", 1);
    log.report("b", "v1", 1);
    log.report("c", "v2", 1);
    log
}

#[test]
fn a_repeated_start_request_changes_nothing() {
    let mut log = two_versions();
    log.start("v2", 1_000);
    let revision = log.state.revision();
    log.start("v2", 2_000);
    assert_eq!(log.state.revision(), revision);
    log.step(RolloutStage::RolledBack, 0);
    // A retry after a lost acknowledgement; the roll-out was rolled back meanwhile.
    log.start("v2", 3_000);
    assert_eq!(log.stage(), RolloutStage::RolledBack);
    // A much later request starts a new roll-out.
    log.start("v2", 60_000);
    assert_eq!(log.stage(), RolloutStage::Trying);
}

#[test]
fn a_start_request_is_refused_while_another_roll_out_is_in_progress() {
    let mut log = two_versions();
    log.start("v2", 1_000);
    let refused = plan::outline(log.state.shared(), &start("v3", 2_000)).unwrap_err();
    assert_eq!(refused.status(), 409);
    assert!(refused.remedy().contains("rollout stop s"), "{}", refused.remedy());
    log.start("v3", 2_000);
    assert_eq!(log.state.shared().config.rollouts["s"].version, "v2");
}

#[test]
fn invalid_requests_are_refused_with_a_remedy() {
    let log = two_versions();
    let shared = log.state.shared();
    let request = |service: &str, version: &str, within_ms| Intent::StartRollout {
        service: service.into(),
        version: version.into(),
        within_ms,
        at_ms: 0,
    };
    for (intent, status) in [
        (request("nowhere", "v2", WITHIN_MS), 404),
        (request("s", "", WITHIN_MS), 400),
        (request("s", "v2", 0), 400),
        (request("s", "v2", u64::MAX), 400),
        (Intent::StopRollout { service: "s".into() }, 404),
    ] {
        let refused = plan::outline(shared, &intent).unwrap_err();
        assert_eq!(refused.status(), status, "{intent:?}");
        assert!(!refused.remedy().is_empty());
    }
}

#[test]
fn a_confirmed_plan_starts_the_roll_out_at_its_confirmation() {
    let mut log = two_versions();
    log.start("v2", 1_000);
    log.step(RolloutStage::RolledBack, 0);
    // The command line sends no time; control sets it.
    let stated = start("v2", 0);
    assert!(
        plan::outline(log.state.shared(), &plan::with_start_time(&stated, 5_000)).is_err(),
        "too soon"
    );
    assert!(plan::outline(log.state.shared(), &plan::with_start_time(&stated, 60_000)).is_ok());
    let planned = Plan {
        id: "p".into(),
        operator: "anna".into(),
        intent: stated,
        base_revision: log.state.config_revision(),
        steps: Vec::new(),
        warnings: Vec::new(),
        expires_at_ms: 600_000,
        request_key: None,
        accepted: None,
    };
    log.commit(Command::PutPlan { plan: planned });
    log.commit(Command::Confirm { plan: "p".into(), at_ms: 90_000, base: None });
    let known = &log.state.shared().config.rollouts["s"];
    assert_eq!((known.stage, known.started_at_ms), (RolloutStage::Trying, 90_000));
}

#[test]
fn a_plan_lists_its_steps_and_warns_of_a_missing_version() {
    let log = two_versions();
    let outline = plan::outline(log.state.shared(), &start("v2", 0)).unwrap();
    assert!(outline.steps[0].contains("1 of its backend servers run, beside 2"), "{outline:?}");
    assert!(outline.warnings.is_empty());
    let outline = plan::outline(log.state.shared(), &start("v3", 0)).unwrap();
    assert!(outline.warnings[0].contains("has reported yet"), "{outline:?}");
}

#[test]
fn a_version_rolled_back_gets_no_requests_until_a_new_roll_out() {
    let mut log = two_versions();
    log.start("v2", 1_000);
    log.step(RolloutStage::RolledBack, 0);
    assert_eq!(log.exposure("v2"), Exposure::Closed);
    log.report("d", "v2", 1);
    log.report("e", "v3", 1);
    log.start("v3", 60_000);
    assert_eq!(log.exposure("v2"), Exposure::Closed, "another roll-out does not restore it");
    log.step(RolloutStage::Completed, 1_000);
    assert_eq!(log.exposure("v2"), Exposure::Closed);
    assert_eq!(log.exposure("v3"), Exposure::Unrestricted);
    log.start("v2", 120_000);
    assert_eq!(log.exposure("v2"), Exposure::Canary { exposure_milli: 0 });
}

#[test]
fn old_versions_get_no_requests_after_the_move_until_restarted() {
    let mut log = two_versions();
    log.start("v2", 1_000);
    log.step(RolloutStage::Trying, 20);
    assert_eq!(log.exposure("v1"), Exposure::Unrestricted);
    log.step(RolloutStage::Moving, 1_000);
    assert_eq!(log.exposure("v1"), Exposure::Closed);
    log.step(RolloutStage::Trying, 20);
    assert_eq!(log.stage(), RolloutStage::Moving, "no step leads back to trying");
    log.step(RolloutStage::Completed, 1_000);
    assert_eq!(log.exposure("v1"), Exposure::Closed);
    log.report("a", "v1", 2);
    assert_eq!(log.exposure("v1"), Exposure::Unrestricted, "the old version was started again");
}

/// Random order of requests, steps, stops, new instances and restores from snapshots: a finished
/// roll-out stays finished, and a version rolled back gets no requests until a new roll-out of it.
#[test]
fn a_finished_roll_out_stays_finished() {
    arbtest(|u| {
        let versions = ["v1", "v2", "v3"];
        let mut log = two_versions();
        let mut now_ms = 1_000;
        while !u.is_empty() {
            now_ms += u.int_in_range(1..=20_000_u64)?;
            let version = *u.choose(&versions)?;
            let before = log.state.shared().config.rollouts.get("s").cloned();
            let action = u.int_in_range(0..=4)?;
            match action {
                0 => log.start(version, now_ms),
                1 if before.is_some() => {
                    let stage = *u.choose(&[
                        RolloutStage::Trying,
                        RolloutStage::Moving,
                        RolloutStage::Completed,
                        RolloutStage::RolledBack,
                    ])?;
                    log.step(stage, 100);
                }
                2 => log.share(Change::Operator {
                    intent: Intent::StopRollout { service: "s".into() },
                }),
                3 => log.report(["a", "b", "c"][u.int_in_range(0..=2)?], version, now_ms),
                _ => {
                    let snapshot = serde_json::to_string(&log.state).unwrap();
                    log.state = serde_json::from_str(&snapshot).unwrap();
                }
            }
            let Some(before) = before else { continue };
            let after = &log.state.shared().config.rollouts["s"];
            if after.started_at_ms == before.started_at_ms && !rollout::is_in_progress(&before) {
                assert_eq!(after.stage, before.stage, "a finished roll-out keeps its stage");
            }
            for version in versions {
                let held_back = rollout::is_held_back(Some(&before), version);
                let restarted = action == 0 && after.version == version;
                if held_back && !restarted {
                    assert!(rollout::is_held_back(Some(after), version), "{version}");
                }
            }
        }
        Ok(())
    })
    .budget_ms(1_000);
}
