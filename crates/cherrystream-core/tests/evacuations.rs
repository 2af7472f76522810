//! Evacuations: failure domains taken out by operators, stored in the replicated state.

use arbtest::arbtest;
use cherrystream_core::plan;
use cherrystream_core::shared;
use cherrystream_core::state::ControlState;
use cherrystream_schema::messages::{Change, Command, Entry, HostRecord, Intent};
use std::collections::BTreeSet;

#[derive(Default)]
struct Log {
    state: ControlState,
    index: u64,
}

impl Log {
    fn share(&mut self, change: Change) {
        self.index += 1;
        let command = Command::ShareAll { changes: vec![change] };
        self.state.apply(&Entry { term: 1, index: self.index, command });
    }

    fn register(&mut self, host: &str, failure_domain: &str) {
        let record = HostRecord {
            host: host.into(),
            failure_domain: failure_domain.into(),
            region: "r".into(),
            peer_address: format!("{host}:1"),
            incarnation: 1,
            leaving: false,
        };
        self.share(Change::PutHost { record });
    }

    fn apply(&mut self, intent: Intent) {
        self.share(Change::Operator { intent });
    }

    fn is_out(&self, host: &str) -> bool {
        shared::is_out(self.state.shared(), host)
    }
}

fn start(domain: &str) -> Intent {
    Intent::Evacuate { failure_domain: domain.into() }
}

fn end(domain: &str) -> Intent {
    Intent::EndEvacuation { failure_domain: domain.into() }
}

/// Guards against plans that conflict with commands without effect.
#[test]
fn a_repeated_command_has_no_effect() {
    let mut log = Log::default();
    log.register("a1", "a");
    log.apply(start("a"));
    let (revision, config_revision) = (log.state.revision(), log.state.config_revision());
    assert_eq!(revision, config_revision, "an earlier plan conflicts");
    log.apply(start("a"));
    log.apply(end("b"));
    assert_eq!((log.state.revision(), log.state.config_revision()), (revision, config_revision));
}

/// Guards against evacuating only the hosts that were registered at the time of the command.
#[test]
fn a_host_that_registers_during_an_evacuation_gets_no_work() {
    let mut log = Log::default();
    log.apply(start("a"));
    log.register("a1", "a");
    assert!(log.is_out("a1"));
    log.apply(end("a"));
    assert!(!log.is_out("a1"));
}

#[test]
fn a_plan_states_its_steps_and_rejects_an_unknown_failure_domain() {
    let mut log = Log::default();
    log.register("a1", "a");
    let outline = plan::outline(log.state.shared(), &start("a")).unwrap();
    assert_eq!(outline.steps[0], "send no new work to the 1 hosts of failure domain 'a'");
    assert!(plan::outline(log.state.shared(), &start("nowhere")).is_err());
    assert!(
        plan::outline(log.state.shared(), &end("a")).is_err(),
        "the failure domain is not evacuated"
    );
}

/// Guards against losing evacuations while hosts register and leave and replicas restore snapshots:
/// the last command for a failure domain applies to all of its hosts.
#[test]
fn the_last_command_for_a_failure_domain_applies_to_all_its_hosts() {
    arbtest(|u| {
        let domains = ["a", "b", "c"];
        let mut log = Log::default();
        let mut out = BTreeSet::new();
        while !u.is_empty() {
            let domain = *u.choose(&domains)?;
            match u.int_in_range(0..=4)? {
                0 => {
                    log.apply(start(domain));
                    out.insert(domain);
                }
                1 => {
                    log.apply(end(domain));
                    out.remove(domain);
                }
                2 => log.register(&format!("{domain}{}", u.int_in_range(0..=2)?), domain),
                3 => {
                    let host = format!("{domain}{}", u.int_in_range(0..=2)?);
                    log.share(Change::RemoveHost { host });
                }
                _ => {
                    let snapshot = serde_json::to_string(&log.state).unwrap();
                    log.state = serde_json::from_str(&snapshot).unwrap();
                }
            }
            for host in log.state.shared().hosts.values() {
                let expected = out.contains(host.failure_domain.as_str());
                assert_eq!(log.is_out(&host.host), expected, "{}", host.host);
            }
        }
        Ok(())
    })
    .budget_ms(1_000);
}
