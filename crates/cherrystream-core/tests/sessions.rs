//! Golden files of whole sessions: operators, the ledger, an inbound, replicas, the checker.

mod session;

use cherrystream_core::attempts::{self, Attempts, Claimed, RequestKey};
use cherrystream_core::ledger;
use cherrystream_core::plan;
use cherrystream_core::raft::{Options, Raft, Restored};
use cherrystream_core::settings;
use cherrystream_core::shared;
use cherrystream_core::state::{Applied, ControlState};
use cherrystream_core::units::{Revision, Timestamp};
use cherrystream_core::workspaces;
use cherrystream_schema::messages::{
    Change, ClaimRequest, Command, Entry, FenceRequest, Holder, Instance, Intent, Plan,
    ReleaseRequest, ServerState,
};
use session::{Session, ms};

/// Log of a single replica, which commits each command immediately.
struct Log {
    state: ControlState,
    index: u64,
}

impl Log {
    fn commit(&mut self, command: Command) -> Applied {
        self.index += 1;
        self.state.apply(&Entry { term: 3, index: self.index, command })
    }

    fn plan(&mut self, id: &str, operator: &str, key: Option<&str>, intent: Intent) -> Applied {
        let outline = plan::outline(self.state.shared(), &intent).unwrap_or_default();
        self.commit(Command::PutPlan {
            plan: Plan {
                id: id.into(),
                operator: operator.into(),
                intent,
                base_revision: self.state.config_revision(),
                steps: outline.steps,
                warnings: outline.warnings,
                expires_at_ms: 600_000,
                request_key: key.map(str::to_string),
                accepted: None,
            },
        })
    }

    fn confirm(&mut self, id: &str, at_ms: u64) -> Applied {
        self.commit(Command::Confirm { plan: id.into(), at_ms, base: None })
    }
}

fn put_service(service: &str) -> Intent {
    Intent::PutService { service: service.into(), measuring_per_second: 5 }
}

#[test]
fn operators_session() {
    let mut log = Log { state: ControlState::default(), index: 0 };
    let mut s = Session::default();
    s.event("anna plans payouts", log.plan("p1", "anna", Some("k1"), put_service("payouts")));
    s.event("nothing has changed yet", &log.state.shared().config);
    s.event("anna's intent is resent", log.plan("p1b", "anna", Some("k1"), put_service("payouts")));
    s.event(
        "her key comes with another intent",
        log.plan("p1c", "anna", Some("k1"), put_service("x")),
    );
    s.event(
        "ben plans quotes on the same revision",
        log.plan("p2", "ben", None, put_service("quotes")),
    );
    s.event("anna confirms", log.confirm("p1", 1_000));
    s.event("anna's confirmation is resent", log.confirm("p1", 2_000));
    let lost = log.confirm("p2", 3_000);
    s.event("ben's confirmation lost the race", &lost);
    if let Applied::Confirmed(Err(e)) = lost {
        s.event("ben receives", (e.status(), e.to_string(), e.remedy()));
    }
    s.event("an unknown plan is confirmed", log.confirm("p9", 3_000));
    log.plan("p3", "ben", None, put_service("quotes"));
    s.event("ben plans again and confirms too late", log.confirm("p3", 600_001));
    s.event("update of a daemon without state", log.state.update_since(Revision::default()));
    let newest = log.state.revision();
    s.event("update of an up-to-date daemon", log.state.update_since(newest));
    s.event(
        "a plan that changes nothing",
        plan::outline(log.state.shared(), &put_service("payouts")),
    );
    let bad = Intent::PutBackendServer {
        service: "payouts".into(),
        name: "payouts-1".into(),
        host: "ph-a1".into(),
        address: "nowhere".into(),
        slots: 12,
    };
    s.event("a backend server with an invalid address", plan::outline(log.state.shared(), &bad));
    insta::assert_snapshot!(s.0);
}

#[test]
fn taking_a_host_out_session() {
    let mut state = shared::empty();
    let mut s = Session::default();
    let apply = |state: &mut _, intent: Intent| shared::apply(state, &Change::Operator { intent });
    apply(&mut state, put_service("payouts"));
    for (name, host) in [("payouts-1", "ph-a1"), ("payouts-2", "ph-b1"), ("payouts-3", "ph-c1")] {
        let intent = Intent::PutBackendServer {
            service: "payouts".into(),
            name: name.into(),
            host: host.into(),
            address: "127.0.0.1:9001".into(),
            slots: 12,
        };
        apply(&mut state, intent);
    }
    for host in ["ph-a1", "ph-b1", "ph-c1", "ph-x9"] {
        let intent = Intent::TakeOutHost { host: host.into() };
        s.event(&format!("take out {host}"), plan::outline(&state, &intent));
        apply(&mut state, intent);
    }
    let back = Intent::ReturnHost { host: "ph-a1".into() };
    s.event("return ph-a1", plan::outline(&state, &back));
    insta::assert_snapshot!(s.0);
}

#[test]
fn workspaces_session() {
    let mut state = shared::empty();
    let mut s = Session::default();
    let key = |name: &str| workspaces::digest(name);
    let put = |rate_milli_per_s: u64, burst_milli: u64| Intent::PutWorkspace {
        workspace: "studio".into(),
        priority: Some(1),
        rate_milli_per_s,
        burst_milli,
    };
    let add = |workspace: &str, key_digest: String| Intent::AddKey {
        workspace: workspace.into(),
        key_digest,
    };
    let revoke = |key_digest: String| Intent::RevokeKey { workspace: "studio".into(), key_digest };
    let delete = |workspace: &str| Intent::DeleteWorkspace { workspace: workspace.into() };
    let need = |needed: bool| Intent::NeedKeys { needed };
    let mut submit = |what: &str, intent: Intent| {
        let outline = plan::outline(&state, &intent);
        let error = outline.as_ref().err().map(|e| (e.status(), e.to_string(), e.remedy()));
        let accepted = outline.is_ok();
        match error {
            Some(error) => s.event(what, error),
            None => s.event(what, outline),
        }
        if accepted {
            shared::apply(&mut state, &Change::Operator { intent });
        }
    };
    submit("keys are required before one exists", need(true));
    submit("a key for a missing workspace", add("studio", key("k1")));
    submit("a workspace", put(87_500, 9_000));
    submit("the same workspace again", put(87_500, 9_000));
    submit("a burst without a rate", put(0, 9_000));
    submit("a rate out of range", put(u64::MAX, 0));
    submit("a key in place of its digest", add("studio", "secret-key-of-a-studio".into()));
    submit("a key", add("studio", key("k1")));
    submit("the same key again", add("studio", key("k1")));
    submit("a second key", add("studio", key("k2")));
    let other = Intent::PutWorkspace {
        workspace: "guild".into(),
        priority: None,
        rate_milli_per_s: 0,
        burst_milli: 0,
    };
    submit("another workspace", other);
    submit("a key of another workspace", add("guild", key("k1")));
    submit("keys are required", need(true));
    submit("a lower quota", put(20_000, 9_000));
    submit("a higher quota", put(30_000, 10_000));
    submit("no limit", put(0, 0));
    submit("a limit", put(1_000, 0));
    submit("an unknown key is revoked", revoke(key("k9")));
    submit("one key is revoked", revoke(key("k1")));
    submit("the last key is revoked", revoke(key("k2")));
    submit("a key is added again", add("studio", key("k2")));
    submit("the workspace with the last key is deleted", delete("studio"));
    submit("a missing workspace is deleted", delete("studio"));
    submit("the last workspace is deleted", delete("guild"));
    submit("keys are no longer required", need(false));
    s.event("resulting configuration", &state.config);
    insta::assert_snapshot!(s.0);
}

#[test]
fn rollouts_session() {
    let mut s = Session::default();
    let mut held = shared::empty();
    shared::apply(&mut held, &Change::Operator { intent: put_service("quotes") });
    for (host, version) in [("a", "v1"), ("b", "v1"), ("c", "v2")] {
        let instance = Instance {
            id: host.into(),
            service: "quotes".into(),
            address: "127.0.0.1:1".into(),
            slots: 4,
            state: ServerState::Live,
            sequence: 1,
            born_ms: 0,
            version: version.into(),
        };
        shared::apply(&mut held, &Change::PutInstance { host: host.into(), instance });
    }
    let start = |version: &str, within_ms, at_ms| Intent::StartRollout {
        service: "quotes".into(),
        version: version.into(),
        within_ms,
        at_ms,
    };
    let stop = || Intent::StopRollout { service: "quotes".into() };
    let mut state = |what: &str, intent: Intent| {
        let outline = plan::outline(&held, &intent);
        if outline.is_ok() {
            shared::apply(&mut held, &Change::Operator { intent });
        }
        match outline {
            Err(e) => s.event(what, format!("{e}; {}", e.remedy())),
            Ok(outline) => s.event(what, outline),
        }
    };
    state("stop without a roll-out", stop());
    state("start without a time", start("v2", 0, 1_000));
    state("start", start("v2", 12_000, 1_000));
    state("the same start again", start("v2", 12_000, 2_000));
    state("another version meanwhile", start("v3", 12_000, 3_000));
    state("stop", stop());
    state("the same start soon after", start("v2", 12_000, 4_000));
    state("a version without instances", start("v3", 12_000, 60_000));
    s.event("roll-outs at the end", &held.config.rollouts);
    insta::assert_snapshot!(s.0);
}

fn claim(claim: u64, attempt: u32, fenced: Option<Holder>) -> ClaimRequest {
    ClaimRequest {
        service: "payouts".into(),
        key: "order-7".into(),
        fingerprint: 11,
        attempt,
        claim,
        host: "ph-a1".into(),
        backend_server: "payouts-1".into(),
        incarnation: 500,
        fenced,
    }
}

#[test]
fn ledger_session() {
    let mut log = Log { state: ControlState::default(), index: 0 };
    let mut s = Session::default();
    let at = |log: &mut Log, at_ms: u64, request: ClaimRequest| {
        log.commit(Command::Claim { request, at_ms, expire_before_ms: at_ms.saturating_sub(1_000) })
    };
    s.event("first claim", at(&mut log, 0, claim(1, 1, None)));
    s.event("the same claim again", at(&mut log, 10, claim(1, 1, None)));
    s.event("a resend by another outbound", at(&mut log, 20, claim(2, 1, None)));
    let other = ClaimRequest { fingerprint: 12, ..claim(3, 1, None) };
    s.event("another request with the same key", at(&mut log, 30, other));
    s.event("a second attempt without a proof", at(&mut log, 40, claim(4, 2, None)));
    let holder = Holder {
        attempt: 1,
        claim: 1,
        host: "ph-a1".into(),
        backend_server: "payouts-1".into(),
        incarnation: 500,
    };
    let wrong = Holder { claim: 9, ..holder.clone() };
    s.event("proof of another attempt", at(&mut log, 50, claim(5, 2, Some(wrong))));
    s.event("proof of the inbound", at(&mut log, 60, claim(6, 2, Some(holder.clone()))));
    s.event("the same proof again", at(&mut log, 70, claim(7, 2, Some(holder))));
    let release = ReleaseRequest { service: "payouts".into(), key: "order-7".into(), claim: 6 };
    s.event("the second attempt is released", log.commit(Command::Release { request: release }));
    s.event("a resend is informed of the release", at(&mut log, 80, claim(8, 1, None)));
    s.event("the resend claims the third attempt", at(&mut log, 90, claim(9, 3, None)));
    s.event("a claim after the first ones expired", at(&mut log, 2_000, claim(10, 1, None)));
    insta::assert_snapshot!(s.0);
}

#[test]
fn only_a_uuid_v7_with_hyphens_has_a_time() {
    let time_ms = |key| ledger::key_time_ms(key);
    assert_eq!(time_ms("01890a5d-ac96-774b-bcce-b302099a8057"), Some(0x0189_0a5d_ac96));
    assert_eq!(time_ms("3f0e8d0a-1c2b-4d3e-9f00-a1b2c3d4e5f6"), None);
    // 32 random digits that look like a UUIDv7.
    assert_eq!(time_ms("01890a5dac96774bbcceb302099a8057"), None);
    assert_eq!(time_ms("order-7"), None);
}

#[test]
fn inbound_attempts_session() {
    let opts = attempts::Options { incarnation: 500, attempts: 3, answer_bytes: 20 };
    let mut table: Attempts<&str> = Attempts::new(opts);
    let mut s = Session::default();
    let key = |key: &str| RequestKey { service: "payouts".into(), key: key.into() };
    let claimed = |claim, index| Claimed { claim, index, incarnation: 500 };
    let fence = |name: &str, claim, index, forbid| FenceRequest {
        service: "payouts".into(),
        key: name.into(),
        attempt: 1,
        claim,
        index,
        incarnation: 500,
        forbid,
    };
    let old = Claimed { incarnation: 499, ..claimed(1, 10) };
    s.event("an attempt for an earlier incarnation", table.begin(&key("a"), old));
    s.event("an attempt starts", table.begin(&key("a"), claimed(1, 10)));
    s.event("it arrives again", table.begin(&key("a"), claimed(1, 10)));
    s.event("a resend queries its state", table.fence(&fence("a", 1, 10, true)));
    table.on_answered(&key("a"), 1, Some(("paid".into(), 15)));
    s.event(
        "it is answered, and a resend queries its state",
        table.fence(&fence("a", 1, 10, true)),
    );
    s.event("the held answer", table.answer(&key("a")));
    s.event("an unknown attempt is queried", table.fence(&fence("b", 2, 11, false)));
    s.event("the unknown attempt is fenced", table.fence(&fence("b", 2, 11, true)));
    s.event("the fenced attempt arrives", table.begin(&key("b"), claimed(2, 11)));
    s.event("the next attempt of the key starts", table.begin(&key("b"), claimed(3, 12)));
    s.event("the fenced attempt arrives again", table.begin(&key("b"), claimed(2, 11)));
    table.on_answered(&key("b"), 3, Some(("paid".into(), 15)));
    s.event("the first answer was evicted", table.fence(&fence("a", 1, 10, true)));
    s.event("a third attempt starts", table.begin(&key("c"), claimed(4, 13)));
    table.on_broken(&key("c"), 4);
    s.event(
        "its connection broke, and a resend queries its state",
        table.fence(&fence("c", 4, 13, true)),
    );
    s.event("a fourth attempt exceeds the table", table.begin(&key("d"), claimed(5, 14)));
    s.event("the evicted attempt arrives again", table.begin(&key("a"), claimed(1, 10)));
    s.event("the evicted attempt is queried", table.fence(&fence("a", 1, 10, true)));
    insta::assert_snapshot!(s.0);
}

const SETTINGS: &str = "\
host: ph-a1
failure_domain: a
metrics_address: 127.0.0.1:7400
log: info
daemon:
  caller_address: 127.0.0.1:7100
  peer_address: 127.0.0.1:7101
  control: [127.0.0.1:7201]
control:
  replica: 1
  rpc_address: 127.0.0.1:7201
  api_address: 127.0.0.1:7301
  data_folder: data/1
  replicas: [{replica: 1, rpc_address: 127.0.0.1:7201}]
";

#[test]
fn settings_session() {
    let mut s = Session::default();
    s.event("a valid file", settings::read(SETTINGS).map(|s| s.host));
    let cases = [
        ("an unknown key", "log: info", "logs: info"),
        ("a missing key", "  peer_address: 127.0.0.1:7101\n", ""),
        (
            "a wrong unit",
            "  control: [127.0.0.1:7201]\ncontrol",
            "  control: [127.0.0.1:7201]\n  stop_grace_ms: 2s\ncontrol",
        ),
        ("a duplicate address", "caller_address: 127.0.0.1:7100", "caller_address: 127.0.0.1:7301"),
        ("an invalid address", "peer_address: 127.0.0.1:7101", "peer_address: localhost"),
        ("an unknown log level", "log: info", "log: loud"),
        ("an empty name", "host: ph-a1", "host: ''"),
        ("no control", "control: [127.0.0.1:7201]", "control: []"),
        (
            "a non-loopback address without a key",
            "caller_address: 127.0.0.1:7100",
            "caller_address: 10.0.0.1:7100",
        ),
        ("this replica is not listed", "replica: 1\n", "replica: 2\n"),
        ("two replicas", "replicas: [{", "replicas: [{replica: 2, rpc_address: 127.0.0.1:7202}, {"),
        ("an unsupported protocol", "  data_folder", "  platform_list: ftp://x\n  data_folder"),
        (
            "a share above 1",
            "  control: [127.0.0.1:7201]\ncontrol",
            "  control: [127.0.0.1:7201]\n  retry_share: 3\ncontrol",
        ),
        ("invalid YAML", "host: ph-a1", "host: [ph-a1"),
        ("an empty file", SETTINGS, ""),
    ];
    for (what, from, to) in cases {
        match settings::read(&SETTINGS.replace(from, to)) {
            Ok(_) => s.event(what, "accepted"),
            Err(e) => s.event(what, format_args!("{e}")),
        }
    }
    insta::assert_snapshot!(s.0);
}

/// Delivers messages between replicas until none are left, except those that `cut` drops.
fn deliver(group: &mut [Raft], now: Timestamp, cut: &dyn Fn(u64, u64) -> bool) {
    loop {
        let mut messages = Vec::new();
        for raft in group.iter_mut() {
            loop {
                let ready = raft.take_ready();
                if ready.is_empty() {
                    break;
                }
                messages.extend(ready.immediate_messages);
                messages.extend(ready.messages_after_save);
                raft.saved(now);
            }
        }
        messages.retain(|m| !cut(m.from, m.to));
        if messages.is_empty() {
            return;
        }
        for msg in messages {
            if let Some(raft) = group.iter_mut().find(|r| r.id() == msg.to) {
                raft.step(now, msg);
            }
        }
    }
}

fn views(group: &[Raft]) -> Vec<String> {
    let view = |r: &Raft| {
        let role = if r.is_leader() { "leads" } else { "follows" };
        let votes = if r.is_voter() { "" } else { ", no vote" };
        format!("{}: term {} {role}, commit {}{votes}", r.id(), r.term(), r.commit())
    };
    group.iter().map(view).collect()
}

fn replica(id: u64, disk: &str, started_ms: u64, now: Timestamp) -> Raft {
    let opts = Options {
        id,
        disk: disk.into(),
        replicas: vec![1, 2, 3],
        seed: id,
        started_ms,
        ..Options::default()
    };
    Raft::new(opts, Restored::default(), now)
}

#[test]
fn replicas_session() {
    let mut s = Session::default();
    let mut group: Vec<Raft> =
        (1..=3).map(|id| replica(id, &format!("disk-{id}"), 1, ms(0))).collect();
    let mut now = 0;
    let mut run = |group: &mut Vec<Raft>, until: u64, cut: &dyn Fn(u64, u64) -> bool| {
        while now < until {
            now += 50;
            group.iter_mut().for_each(|r| r.tick(ms(now)));
            deliver(group, ms(now), cut);
        }
    };
    run(&mut group, 100, &|_, to| to == 3);
    s.event("three blank disks, the third unreachable", views(&group));
    run(&mut group, 3_000, &|_, _| false);
    s.event("all are reachable", views(&group));
    let leader = group.iter().position(Raft::is_leader).unwrap();
    let old = group[leader].id();
    run(&mut group, 8_000, &|from, to| from == old || to == old);
    s.event(&format!("replica {old} is partitioned from the others"), views(&group));
    run(&mut group, 10_000, &|_, _| false);
    s.event("the partition heals", views(&group));
    let lost = group.iter().position(|r| !r.is_leader()).unwrap();
    group[lost] = replica(group[lost].id(), "disk-new", 2, ms(10_000));
    let id = group[lost].id();
    s.event(&format!("replica {id} restarts with a blank disk"), views(&group));
    run(&mut group, 10_200, &|_, _| false);
    s.event("it catches up and votes", views(&group));
    let leader = group.iter().position(Raft::is_leader).unwrap();
    let gone = group[leader].id();
    group.remove(leader);
    run(&mut group, 16_000, &|_, _| false);
    s.event(&format!("replica {gone} is lost immediately afterwards"), views(&group));
    insta::assert_snapshot!(s.0);
}
