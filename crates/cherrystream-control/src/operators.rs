//! Operators' calls: intents, plans, confirmations, configuration and status.

use crate::daemon_registry::{self, DaemonRegistry};
use crate::handle::{Handle, NoResult};
use crate::peers::Line;
use cherrystream_core::errors::Error;
use cherrystream_core::plan;
use cherrystream_core::rollout;
use cherrystream_core::shared;
use cherrystream_core::state::Applied;
use cherrystream_core::units::DisplayRevision;
use cherrystream_core::workspaces;
use cherrystream_net::clock;
use cherrystream_net::interface::OrderAnswer;
use cherrystream_net::rpc::ControlRpcClient;
use cherrystream_schema::messages;
use jsonrpsee::ws_client::WsClient;
use messages::{
    Command, ConfigReply, ConfirmReply, DaemonStatus, ErrorReply, Intent, OperatorAnswer,
    OperatorCall, Plan, PlanReply, ReplicaStatus, Shared, StatusReply,
};
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Time for which a plan waits for its confirmation.
const PLAN_LIFE: Duration = Duration::from_secs(600);
/// Longest wait for another replica's word on the daemons that it hears, which grows with their number. All
/// replicas are asked at once.
const REACH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Silence after which a control replica counts as unreachable.
const REPLICA_SILENCE: Duration = Duration::from_secs(2);

/// Answers operators' calls.
#[derive(Clone)]
pub struct Operators {
    /// The replicated log.
    pub handle: Handle,
    /// Lines to the other replicas.
    pub lines: Arc<BTreeMap<u64, Arc<Line>>>,
    /// Daemons that this replica hears.
    pub reach: Arc<DaemonRegistry>,
}

impl Operators {
    /// Answers a call on the leader, which may be another replica.
    pub async fn answer(&self, call: OperatorCall) -> OperatorAnswer {
        let standing = *self.handle.standing.borrow();
        if standing.leads {
            return self.answer_here(&call).await;
        }
        let client = match standing.leader {
            Some(leader) => self.client_of(leader).await,
            None => None,
        };
        let Some(client) = client else { return no_leader() };
        match client.operator(call).await {
            Ok(answer) => answer,
            Err(_) => not_known(),
        }
    }

    /// Answers a call on this replica.
    pub async fn answer_here(&self, call: &OperatorCall) -> OperatorAnswer {
        let path: Vec<&str> = call.path.trim_start_matches('/').split('/').collect();
        match (call.method.as_str(), path.as_slice()) {
            ("POST", ["v1", "intents"]) => self.intent(call).await,
            ("GET", ["v1", "plans", id]) => self.plan(id).await,
            ("POST", ["v1", "plans", id, "confirm"]) => self.confirm(id).await,
            ("GET", ["v1", "config"]) => self.config().await,
            ("GET", ["v1", "status"]) => self.status().await,
            _ => error(
                404,
                &format!("there is nothing at {} {}", call.method, call.path),
                "use POST /v1/intents, GET /v1/plans/ID, POST /v1/plans/ID/confirm, \
                 GET /v1/config or GET /v1/status",
            ),
        }
    }

    /// Returns the route table as the operator wrote it, with every change accepted before.
    pub async fn read_routes(&self) -> OrderAnswer {
        if self.confirm_read().await.is_err() {
            return OrderAnswer::Unavailable;
        }
        let state = self.handle.state.read();
        let source = state.route_source().map(str::to_string);
        source.map_or(OrderAnswer::NoTable, OrderAnswer::Table)
    }

    /// Returns how the latest roll-out of a service stands, with every change accepted before.
    pub async fn read_rollout(&self, service: &str) -> OrderAnswer {
        if self.confirm_read().await.is_err() {
            return OrderAnswer::Unavailable;
        }
        let state = self.handle.state.read();
        match state.shared().config.rollouts.get(service) {
            Some(r) => OrderAnswer::Rollout { version: r.version.clone(), stage: r.stage },
            None => OrderAnswer::NoRollout,
        }
    }

    /// Checks an intent against the state that is applied here.
    ///
    /// # Errors
    ///
    /// Fails when it names something missing, or holds a bad value.
    pub fn check(&self, intent: &Intent) -> Result<(), Error> {
        rollout::plan::check(self.handle.state.read().shared(), intent)
    }

    /// Waits until this replica has applied every change accepted before the call.
    ///
    /// # Errors
    ///
    /// Fails when no quorum confirms that.
    pub async fn confirm_read(&self) -> Result<(), NoResult> {
        let leader = match self.handle.read().await {
            Ok(_) => return Ok(()),
            Err(NoResult::NotLeader { leader: Some(leader) }) => leader,
            Err(e) => return Err(e),
        };
        let client = self.client_of(leader).await.ok_or(NoResult::Unknown)?;
        let index = client.read_index().await.map_err(|_| NoResult::Unknown)?;
        self.handle.applied(index).await
    }

    async fn client_of(&self, replica: u64) -> Option<Arc<WsClient>> {
        self.lines.get(&replica)?.client().await
    }

    async fn intent(&self, call: &OperatorCall) -> OperatorAnswer {
        let intent: Intent = match serde_json::from_str(&call.body) {
            Ok(intent) => intent,
            Err(e) => {
                let what = format!("the intent cannot be read: {e}");
                return error(400, &what, "see `docs/OPERATORS.md` for the intents and fields");
            }
        };
        // Without this read a new leader could plan on a state that is not the newest.
        if let Err(e) = self.handle.read().await {
            return no_result(e);
        }
        let plan = match self.outline(call, intent) {
            Ok(plan) => plan,
            Err(e) => return core_error(&e),
        };
        match self.handle.propose(Command::PutPlan { plan }).await {
            Ok(Applied::Planned(planned)) => match *planned {
                Ok(plan) => json(201, &plan_reply(&plan)),
                Err(e) => core_error(&e),
            },
            Ok(_) => not_known(),
            Err(e) => no_result(e),
        }
    }

    fn outline(&self, call: &OperatorCall, intent: Intent) -> Result<Plan, Error> {
        let state = self.handle.state.read();
        // A resent intent finds its plan, though the intent may change nothing any more.
        let known = call.request_key.as_deref().and_then(|k| state.plan_of(&call.operator, k));
        let outline = match known {
            Some(_) => plan::Outline::default(),
            None => {
                plan::outline(state.shared(), &plan::with_start_time(&intent, clock::unix_ms()))?
            }
        };
        Ok(Plan {
            id: uuid::Uuid::new_v4().simple().to_string()[..12].into(),
            operator: call.operator.clone(),
            intent,
            base_revision: state.config_revision(),
            steps: outline.steps,
            warnings: outline.warnings,
            expires_at_ms: clock::unix_ms() + PLAN_LIFE.as_millis() as u64,
            request_key: call.request_key.clone(),
            accepted: None,
        })
    }

    async fn plan(&self, id: &str) -> OperatorAnswer {
        if let Err(e) = self.handle.read().await {
            return no_result(e);
        }
        match self.handle.state.read().plan(id) {
            Ok(plan) => json(200, &plan_reply(plan)),
            Err(e) => core_error(&e),
        }
    }

    async fn confirm(&self, id: &str) -> OperatorAnswer {
        let command = Command::Confirm { plan: id.into(), at_ms: clock::unix_ms() };
        match self.handle.propose(command).await {
            Ok(Applied::Confirmed(Ok(revision))) => {
                let revision = DisplayRevision(revision).to_string();
                let reply = ConfirmReply { plan: id.into(), revision, state: "accepted".into() };
                json(200, &reply)
            }
            Ok(Applied::Confirmed(Err(e))) => core_error(&e),
            Ok(_) => not_known(),
            Err(e) => no_result(e),
        }
    }

    async fn config(&self) -> OperatorAnswer {
        if let Err(e) = self.handle.read().await {
            return no_result(e);
        }
        let state = self.handle.state.read();
        let revision = DisplayRevision(state.config_revision()).to_string();
        json(200, &ConfigReply { revision, config: state.shared().config.clone() })
    }

    async fn status(&self) -> OperatorAnswer {
        if let Err(e) = self.handle.read().await {
            return no_result(e);
        }
        let daemons = self.daemons().await;
        let replicas = self.replicas().await;
        let state = self.handle.state.read();
        let standing = *self.handle.standing.borrow();
        json(
            200,
            &StatusReply {
                revision: DisplayRevision(state.revision()).to_string(),
                leader: self.handle.replica,
                term: standing.term,
                needs_attention: needs_attention(&replicas, &daemons, state.shared()),
                replicas,
                daemons,
                keys_held: state.ledger().len() as u64,
            },
        )
    }

    /// Joins what all replicas hear, and adds registered hosts that none hears.
    async fn daemons(&self) -> Vec<DaemonStatus> {
        let newest = self.handle.state.read().revision();
        let mut all = self.reach.statuses(self.handle.clock.now(), newest);
        let mut asked = JoinSet::new();
        for line in self.lines.values() {
            asked.spawn(heard_by(line.clone()));
        }
        all.extend(asked.join_all().await.into_iter().flatten());
        let mut joined = daemon_registry::merge_statuses(all);
        for (host, record) in &self.handle.state.read().shared().hosts {
            joined.entry(host.clone()).or_insert_with(|| DaemonStatus {
                host: host.clone(),
                failure_domain: record.failure_domain.clone(),
                revision: "0.0".into(),
                state: "unreachable".into(),
                heard_ms_ago: u64::MAX,
            });
        }
        joined.into_values().collect()
    }

    async fn replicas(&self) -> Vec<ReplicaStatus> {
        let mut all = vec![ReplicaStatus {
            replica: self.handle.replica,
            state: "leader".into(),
            match_index: self.handle.standing.borrow().applied,
        }];
        for view in self.handle.views().await {
            let state = if self.handle.since(view.last_seen) > REPLICA_SILENCE {
                "unreachable"
            } else if view.votes {
                "follower"
            } else {
                "learner"
            };
            let (replica, match_index) = (view.id, view.match_index);
            all.push(ReplicaStatus { replica, state: state.into(), match_index });
        }
        all.sort_by_key(|r| r.replica);
        all
    }
}

/// Returns the daemons that another replica hears.
async fn heard_by(line: Arc<Line>) -> Vec<DaemonStatus> {
    let heard = async { line.client().await?.reach().await.ok() };
    match tokio::time::timeout(REACH_TIMEOUT, heard).await {
        Ok(Some(heard)) => heard,
        _ => {
            log::debug!("control: replica at {} does not tell whom it hears", line.address());
            Vec::new()
        }
    }
}

fn needs_attention(
    replicas: &[ReplicaStatus],
    daemons: &[DaemonStatus],
    shared: &Shared,
) -> Vec<String> {
    let replica = |r: &ReplicaStatus| match r.state.as_str() {
        "unreachable" => Some(format!("control replica {} is unreachable: start it", r.replica)),
        "learner" => Some(format!("control replica {} is catching up: wait", r.replica)),
        _ => None,
    };
    let daemon = |d: &DaemonStatus| match d.state.as_str() {
        "unreachable" => Some(format!(
            "the daemon of host {} is unreachable: start it, or take the host out",
            d.host
        )),
        _ => None,
    };
    let mut all: Vec<String> = replicas.iter().filter_map(replica).collect();
    all.extend(daemons.iter().filter_map(daemon));
    all.extend(services_without_servers(shared));
    all.extend(workspaces::needs_attention(shared.routes.as_ref(), &shared.config));
    all.extend(shared.config.failure_domains_out.iter().map(|domain| {
        format!(
            "failure domain {domain} is evacuated: `evacuate end {domain}` sends work there again"
        )
    }));
    all
}

/// Names the services that have backend servers, none of which may get work.
fn services_without_servers(shared: &Shared) -> Vec<String> {
    let is_out = |service: &messages::Service| {
        let mut servers = service.backend_servers.values().peekable();
        servers.peek().is_some() && servers.all(|s| shared::is_out(shared, &s.host))
    };
    let tell = |(name, _): (&String, &messages::Service)| {
        format!("every host of service {name} is out: return one, or add a backend server")
    };
    shared.config.services.iter().filter(|(_, service)| is_out(service)).map(tell).collect()
}

fn plan_reply(plan: &Plan) -> PlanReply {
    let state = if plan.accepted.is_some() {
        "accepted"
    } else if clock::unix_ms() > plan.expires_at_ms {
        "expired"
    } else {
        "pending"
    };
    PlanReply {
        plan: plan.id.clone(),
        base_revision: DisplayRevision(plan.base_revision).to_string(),
        steps: plan.steps.clone(),
        warnings: plan.warnings.clone(),
        expires_at: clock::rfc3339(plan.expires_at_ms),
        state: state.into(),
    }
}

fn json(status: u16, reply: &impl Serialize) -> OperatorAnswer {
    let body = serde_json::to_string(reply).expect("a reply always has a JSON form");
    OperatorAnswer { status, body }
}

/// Returns an answer that tells an error and its remedy.
pub fn error(status: u16, what: &str, remedy: &str) -> OperatorAnswer {
    json(status, &ErrorReply { error: what.into(), remedy: remedy.into() })
}

fn core_error(e: &Error) -> OperatorAnswer {
    error(e.status(), &e.to_string(), &e.remedy())
}

fn no_result(e: NoResult) -> OperatorAnswer {
    match e {
        NoResult::NotLeader { .. } => no_leader(),
        NoResult::Unknown => not_known(),
    }
}

fn no_leader() -> OperatorAnswer {
    let what = "the control group has no leader that can be reached";
    error(503, what, "nothing was done; check with `status` that a majority runs, then try again")
}

fn not_known() -> OperatorAnswer {
    let what = "it is not known whether the change was accepted";
    error(503, what, "send the same call again: it gets the same reply and runs once")
}
