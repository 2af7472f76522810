//! Formats replies of the control API and of daemons as text.

use cherrystream_core::workspaces;
use cherrystream_schema::messages::{
    ConfigReply, ConfirmReply, DaemonStatus, LiftReply, PlanReply, RolloutStage, StatusReply,
    SuspectList,
};
use std::fmt::Write;

/// Formats a plan.
pub fn plan(reply: &PlanReply) -> String {
    let mut text = format!("plan {} on revision {}\n", reply.plan, reply.base_revision);
    for (i, step) in reply.steps.iter().enumerate() {
        let _ = writeln!(text, "  {}. {step}", i + 1);
    }
    for warning in &reply.warnings {
        let _ = writeln!(text, "  warning: {warning}");
    }
    let _ = match reply.state.as_str() {
        "pending" => writeln!(
            text,
            "Nothing has changed yet. To accept, before {}:\n  cherrystream confirm {}",
            reply.expires_at, reply.plan
        ),
        state => writeln!(text, "This plan is {state}."),
    };
    text
}

/// Formats the confirmation of a plan.
pub fn confirmed(reply: &ConfirmReply) -> String {
    format!("plan {} is accepted at revision {}\n", reply.plan, reply.revision)
}

/// Formats the requests that were in flight when backend servers crashed.
pub fn suspects(reply: &SuspectList) -> String {
    let mut text = String::new();
    for suspect in &reply.suspects {
        let trial =
            suspect.next_trial_s.map_or(String::new(), |s| format!(", next trial in {s} s"));
        let _ = writeln!(
            text,
            "{} of caller {}: {}; backend servers ended: {}, {} of them while it ran alone, the last {} s ago{trial}",
            suspect.mark,
            suspect.caller,
            suspect.standing,
            suspect.ends,
            suspect.ends_alone,
            suspect.last_end_s
        );
    }
    match text.is_empty() {
        true => "no request is known for ends of backend servers\n".into(),
        false => text,
    }
}

/// Formats the result of lifting a suspect request.
pub fn lifted(reply: &LiftReply) -> String {
    match reply.lifted {
        true => {
            "it is let through again; it is held back anew if backend servers go on ending\n".into()
        }
        false => "this daemon knows no such request; nothing has changed\n".into(),
    }
}

/// Formats the evacuated failure domains.
pub fn evacuations(reply: &ConfigReply) -> String {
    match reply.config.failure_domains_out.as_slice() {
        [] => "no failure domain is evacuated\n".into(),
        domains => format!("failure domains evacuated: {}\n", domains.join(", ")),
    }
}

/// Formats the state of the latest roll-out of each service.
pub fn rollouts(reply: &ConfigReply) -> String {
    let mut text = String::new();
    for (service, r) in &reply.config.rollouts {
        let offered = match r.stage {
            RolloutStage::Trying => {
                format!(", offered {} in 100 requests", f64::from(r.exposure_milli) / 10.0)
            }
            _ => String::new(),
        };
        let _ = writeln!(text, "roll-out of {service} to {}: {}{offered}", r.version, r.stage);
        if !r.reason.is_empty() {
            let _ = writeln!(text, "  {}", r.reason);
        }
        if !r.old.is_empty() {
            let _ = writeln!(text, "  in place of {}", r.old.join(", "));
        }
        if !r.held_back.is_empty() {
            let _ =
                writeln!(text, "  rolled back before, and held back: {}", r.held_back.join(", "));
        }
    }
    text
}

/// Formats the workspaces that intents have created, and whether requests need a key.
pub fn workspaces(reply: &ConfigReply) -> String {
    let mut text = String::new();
    for (name, w) in &reply.config.workspaces {
        let limits = workspaces::describe_limits(w.priority, w.rate_milli_per_s, w.burst_milli);
        let _ = writeln!(text, "workspace {name}: {limits}");
        for digest in &w.key_digests {
            let _ = writeln!(text, "  key of digest {digest}");
        }
    }
    text.push_str(match reply.config.needs_key {
        true => "a request needs the key of a workspace\n",
        false => "a request needs no key\n",
    });
    text
}

/// Formats the configuration.
pub fn config(reply: &ConfigReply) -> String {
    let mut text = format!("revision {}\n", reply.revision);
    for (name, service) in &reply.config.services {
        let budget = service.measuring_per_second;
        let _ = writeln!(text, "service {name}, measured {budget} times a second at most");
        for (kind, k) in &service.kinds {
            let repeat = if k.repeatable { "may be repeated" } else { "runs at most once" };
            let _ = writeln!(
                text,
                "  kind {kind}: {} {} {repeat}, weight {}, {} ms at most",
                k.method, k.path_prefix, k.weight, k.deadline_ms
            );
        }
        for (server, s) in &service.backend_servers {
            let _ = writeln!(
                text,
                "  backend server {server}: {} on host {}, {} slots",
                s.address, s.host, s.slots
            );
        }
    }
    if !reply.config.workspaces.is_empty() || reply.config.needs_key {
        text.push_str(&workspaces(reply));
    }
    if !reply.config.hosts_out.is_empty() {
        let _ = writeln!(text, "hosts out: {}", reply.config.hosts_out.join(", "));
    }
    text.push_str(&rollouts(reply));
    if !reply.config.failure_domains_out.is_empty() {
        text.push_str(&evacuations(reply));
    }
    text
}

/// Formats the status of control and of the daemons.
pub fn status(reply: &StatusReply) -> String {
    let mut text = match reply.needs_attention.is_empty() {
        true => "all is well\n".to_string(),
        false => "needs a hand:\n".to_string(),
    };
    for line in &reply.needs_attention {
        let _ = writeln!(text, "  {line}");
    }
    let _ = writeln!(
        text,
        "revision {}, replica {} leads in term {}, {} keys held",
        reply.revision, reply.leader, reply.term, reply.keys_held
    );
    for r in &reply.replicas {
        let _ =
            writeln!(text, "  control replica {:<3} {:<12} {}", r.replica, r.state, r.match_index);
    }
    let _ = writeln!(
        text,
        "  {:<20} {:<12} {:<12} {:<10} heard",
        "host", "domain", "state", "revision"
    );
    for d in &reply.daemons {
        let _ = writeln!(
            text,
            "  {:<20} {:<12} {:<12} {:<10} {}",
            d.host,
            d.failure_domain,
            d.state,
            d.revision,
            last_seen(d)
        );
    }
    text
}

fn last_seen(daemon: &DaemonStatus) -> String {
    match daemon.heard_ms_ago {
        u64::MAX => "never".into(),
        ms => format!("{:.1} s ago", ms as f64 / 1_000.0),
    }
}
