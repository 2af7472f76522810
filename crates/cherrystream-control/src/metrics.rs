//! Metrics of the control role.

use cherrystream_net::connection_metrics::ConnectionFamilies;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Label with the reason of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// Reason, such as `not-leader`.
    pub reason: &'static str,
}

/// Label of a call through the leader that failed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct FailedCallLabel {
    /// Kind of the call, such as `read`.
    pub call: &'static str,
    /// Step at which it failed, such as `answer`.
    pub step: &'static str,
    /// How it ended: `failed`, or `cancelled` if its caller has left.
    pub end: &'static str,
}

/// Label of a command of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CommandLabel {
    /// How it ended, such as `committed`, or `abandoned` if its caller has left.
    pub outcome: &'static str,
}

/// Label with the decision on a join request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct JoinLabel {
    /// Decision, such as `granted`.
    pub decision: &'static str,
}

/// Metrics of the control role.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Refused calls by reason.
    pub refusals: Family<ReasonLabel, Counter>,
    /// Claims granted by this replica.
    pub claims_granted: Counter,
    /// Idempotency keys in the ledger.
    pub keys_held: Gauge,
    /// Term of the replicated log.
    pub term: Gauge,
    /// Commit index of the replicated log.
    pub commit: Gauge,
    /// 1 on the leader, 0 on the other replicas.
    pub leads: Gauge,
    /// Voting members that a decision needs; 0 unless this replica leads.
    pub quorum: Gauge,
    /// Voting members in contact with this replica, itself included; 0 unless it leads.
    pub voters_in_contact: Gauge,
    /// The leader that this replica follows; 0 if none is known.
    pub leader: Gauge,
    /// Changes of the leader that this replica follows.
    pub leader_changes: Counter,
    /// Calls through the leader that failed.
    pub failed_calls: Family<FailedCallLabel, Counter>,
    /// Commands of operators that this replica received.
    pub commands: Family<CommandLabel, Counter>,
    /// Decisions of this replica on join requests, as the leader.
    pub joins: Family<JoinLabel, Counter>,
    /// Connections to the other replicas.
    pub connections: ConnectionFamilies,
    /// Syncs of the log to disk.
    pub syncs: Counter,
    /// Size of the log file in bytes.
    pub log_bytes: Gauge,
    /// Messages to other replicas dropped before delivery.
    pub dropped_messages: Counter,
    /// Heartbeats received from daemons.
    pub heartbeats: Counter,
    /// Roll-out steps committed by this replica.
    pub rollout_steps: Counter,
}

impl Metrics {
    /// Registers the metrics with the prefix `cherrystream_control`.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("cherrystream_control");
        registry.register("refusals", "Refused calls by reason", self.refusals.clone());
        registry.register("claims_granted", "Claims granted", self.claims_granted.clone());
        registry.register("keys_held", "Keys held in the ledger", self.keys_held.clone());
        registry.register("term", "Term of the replicated log", self.term.clone());
        registry.register("commit", "Commit index of the replicated log", self.commit.clone());
        registry.register("leads", "1 on the leader", self.leads.clone());
        registry.register("quorum", "Voters needed, on the leader", self.quorum.clone());
        registry.register(
            "voters_in_contact",
            "Voters in contact with the leader, itself included, on the leader",
            self.voters_in_contact.clone(),
        );
        registry.register("leader", "Leader that is followed; 0 if unknown", self.leader.clone());
        registry.register(
            "leader_changes",
            "Changes of the leader that is followed",
            self.leader_changes.clone(),
        );
        registry.register(
            "failed_calls",
            "Calls through the leader that failed, by the step that they had reached",
            self.failed_calls.clone(),
        );
        registry.register("commands", "Commands of operators, by outcome", self.commands.clone());
        registry.register("joins", "Decisions on join requests", self.joins.clone());
        self.connections.register(registry.sub_registry_with_prefix("replica"));
        registry.register("syncs", "Writes made durable", self.syncs.clone());
        registry.register("log_bytes", "Bytes of the log file", self.log_bytes.clone());
        registry.register(
            "dropped_messages",
            "Messages dropped because a replica did not take them",
            self.dropped_messages.clone(),
        );
        registry.register("heartbeats", "Heartbeats of daemons", self.heartbeats.clone());
        registry.register("rollout_steps", "Steps of roll-outs", self.rollout_steps.clone());
    }

    /// Counts a refusal.
    pub fn refuse(&self, reason: &'static str) {
        self.refusals.get_or_create(&ReasonLabel { reason }).inc();
    }
}
