//! Intents and confirmations that are applied after newer commands on the same items.

use cherrystream_core::errors::Error;
use cherrystream_core::plan;
use cherrystream_core::state::{Applied, ControlState, IntentOutcome};
use cherrystream_core::units::Revision;
use cherrystream_core::workspaces;
use cherrystream_schema::messages::{
    Change, Command, Entry, Instance, Intent, Plan, RolloutStage, ServerState,
};

const AT_MS: u64 = 1_000;
const WITHIN_MS: u64 = 60_000;

#[derive(Default)]
struct Log {
    state: ControlState,
    index: u64,
}

impl Log {
    fn commit(&mut self, command: Command) -> Applied {
        self.index += 1;
        self.state.apply(&Entry { term: 1, index: self.index, command })
    }

    fn apply(&mut self, intent: &Intent, base: Revision) -> IntentOutcome {
        match self.commit(Command::ApplyIntent { intent: intent.clone(), base }) {
            Applied::Intended(outcome) => outcome,
            other => panic!("{other:?}"),
        }
    }

    /// Returns a log with a service that has a backend server.
    fn with_service() -> Log {
        let mut log = Log::default();
        let service = Intent::PutService { service: "quotes".into(), measuring_per_second: 1 };
        let instance = Instance {
            id: "i".into(),
            service: "quotes".into(),
            version: "v1".into(),
            state: ServerState::Live,
            ..instance()
        };
        log.commit(Command::ShareAll {
            changes: vec![
                Change::Operator { intent: service },
                Change::PutInstance { host: "host".into(), instance },
            ],
        });
        log
    }

    fn stage(&self) -> RolloutStage {
        self.state.shared().config.rollouts["quotes"].stage
    }
}

fn instance() -> Instance {
    serde_json::from_value(serde_json::json!({
        "id": "i", "service": "quotes", "address": "127.0.0.1:1", "slots": 1, "state": "live",
        "sequence": 1
    }))
    .unwrap()
}

fn start(version: &str) -> Intent {
    Intent::StartRollout {
        service: "quotes".into(),
        version: version.into(),
        within_ms: WITHIN_MS,
        at_ms: AT_MS,
    }
}

fn stop() -> Intent {
    Intent::StopRollout { service: "quotes".into() }
}

/// Guards against a second roll-out of a version that was rolled back.
#[test]
fn a_late_start_of_a_roll_out_does_not_start_it_again() {
    let mut log = Log::with_service();
    let base = log.state.command_base();
    assert!(matches!(log.apply(&start("v2"), base), IntentOutcome::InForce(_)));
    log.commit(Command::Share {
        change: Change::StepRollout {
            service: "quotes".into(),
            version: "v2".into(),
            started_at_ms: AT_MS,
            stage: RolloutStage::RolledBack,
            exposure_milli: 0,
            reason: "worse".into(),
        },
    });
    let late = Intent::StartRollout {
        service: "quotes".into(),
        version: "v2".into(),
        within_ms: WITHIN_MS,
        at_ms: AT_MS + 10 * WITHIN_MS,
    };
    assert!(matches!(log.apply(&late, base), IntentOutcome::InForce(_)));
    assert_eq!(log.stage(), RolloutStage::RolledBack);
}

#[test]
fn a_late_start_of_a_roll_out_is_superseded_by_its_stop() {
    let mut log = Log::with_service();
    let base = log.state.command_base();
    log.apply(&start("v2"), base);
    log.apply(&stop(), log.state.command_base());
    assert_eq!(log.apply(&start("v2"), base), IntentOutcome::Superseded);
    assert_eq!(log.apply(&start("v3"), base), IntentOutcome::Superseded);
    assert_eq!(log.stage(), RolloutStage::RolledBack);
}

/// Guards against a check that was made before another roll-out was started.
#[test]
fn a_start_is_refused_while_another_roll_out_is_in_progress() {
    let mut log = Log::with_service();
    log.apply(&start("v2"), log.state.command_base());
    let outcome = log.apply(&start("v3"), log.state.command_base());
    assert!(matches!(outcome, IntentOutcome::Refused(Error::Busy { .. })), "{outcome:?}");
}

/// Guards against a roll-out that starts after its operator was told that it cannot.
#[test]
fn a_refused_start_of_a_roll_out_supersedes_an_earlier_try() {
    let mut log = Log::with_service();
    log.apply(&start("v2"), log.state.command_base());
    let base = log.state.command_base();
    let refused = log.apply(&start("v3"), base);
    assert!(matches!(refused, IntentOutcome::Refused(Error::Busy { .. })), "{refused:?}");
    assert_eq!(log.apply(&start("v3"), base), IntentOutcome::Superseded);
}

/// Guards against a restored replica that applies a command which the others discard.
#[test]
fn a_command_is_superseded_after_a_snapshot_as_well() {
    let mut log = Log::default();
    let base = log.state.command_base();
    let start = Intent::Evacuate { failure_domain: "a".into() };
    log.apply(&start, base);
    log.apply(&Intent::EndEvacuation { failure_domain: "a".into() }, log.state.command_base());
    let snapshot = serde_json::to_string(&log.state).unwrap();
    log.state = serde_json::from_str(&snapshot).unwrap();
    assert_eq!(log.apply(&start, base), IntentOutcome::Superseded);
    assert!(matches!(log.apply(&start, log.state.command_base()), IntentOutcome::InForce(_)));
}

/// Guards against a confirmation under way that contradicts the answer that nothing is to change.
#[test]
fn a_confirmation_is_superseded_by_a_refusal() {
    let mut log = Log::default();
    let workspace = Intent::PutWorkspace {
        workspace: "mine".into(),
        priority: None,
        rate_milli_per_s: 0,
        burst_milli: 0,
    };
    log.apply(&workspace, log.state.command_base());
    let key_digest = workspaces::digest("key");
    let add = Intent::AddKey { workspace: "mine".into(), key_digest: key_digest.clone() };
    let outline = plan::outline(log.state.shared(), &add).unwrap();
    let plan = Plan {
        id: "p".into(),
        operator: "anna".into(),
        intent: add,
        base_revision: log.state.config_revision(),
        steps: outline.steps,
        warnings: outline.warnings,
        expires_at_ms: AT_MS,
        request_key: None,
        accepted: None,
    };
    log.commit(Command::PutPlan { plan });
    let base = Some(log.state.command_base());
    let revoke = Intent::RevokeKey { workspace: "mine".into(), key_digest };
    log.commit(Command::NoteRefusal { intent: revoke });
    let confirm = |base| Command::Confirm { plan: "p".into(), at_ms: AT_MS, base };
    let late = log.commit(confirm(base));
    assert!(matches!(late, Applied::Confirmed(Err(Error::Superseded { .. }))), "{late:?}");
    let base = Some(log.state.command_base());
    let sent_again = log.commit(confirm(base));
    assert!(matches!(sent_again, Applied::Confirmed(Ok(_))), "{sent_again:?}");
}

/// Guards against an acknowledgement of a command that was refused to another operator.
#[test]
fn a_command_is_not_taken_for_the_same_one_that_was_refused() {
    let mut log = Log::default();
    let base = log.state.command_base();
    let start = Intent::Evacuate { failure_domain: "a".into() };
    log.commit(Command::NoteRefusal { intent: start.clone() });
    assert_eq!(log.apply(&start, base), IntentOutcome::Superseded);
    assert!(matches!(log.apply(&start, log.state.command_base()), IntentOutcome::InForce(_)));
    assert_eq!(log.state.shared().config.failure_domains_out, ["a"]);
}
