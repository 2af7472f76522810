//! Handles operator calls: intents, plans, confirmations, configuration and status.

use crate::call_trace::{CallKind, CallTrace, CallTraces, Step};
use crate::daemon_registry::{self, DaemonRegistry};
use crate::handle::{Handle, NoResult};
use crate::leader_client::LeaderClient;
use crate::peers::{CallError, ReplicaConnection};
use cherrystream_core::errors::Error;
use cherrystream_core::plan;
use cherrystream_core::shared;
use cherrystream_core::state::Applied;
use cherrystream_core::units::{DisplayRevision, Revision};
use cherrystream_core::workspaces;
use cherrystream_net::clock;
use cherrystream_net::interface::CommandOutcome;
use cherrystream_net::rpc::{Client, ControlRpcClient};
use cherrystream_net::suspensions::Suspensions;
use cherrystream_schema::messages;
use jsonrpsee::core::client::Error as ClientError;
use messages::{
    Command, ConfigReply, ConfirmReply, DaemonStatus, ErrorReply, Intent, OperatorAnswer,
    OperatorCall, Plan, PlanReply, ReplicaStatus, Shared, StatusReply,
};
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Time after which an unconfirmed plan expires.
const PLAN_TTL: Duration = Duration::from_secs(600);
/// Timeout of the query for the daemons that another replica has seen. All replicas are queried
/// concurrently; the response grows with the number of daemons.
const DAEMONS_QUERY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of times that a plan is rebased in one call. One suffices unless the platform
/// changes the configuration at the same time.
const MAX_REBASES: usize = 5;
/// Time without a message after which a control replica is considered unreachable.
const REPLICA_TIMEOUT: Duration = Duration::from_secs(2);

/// Age up to which a command that a newer one superseded is proposed again. A caller that waits
/// longer may have sent it to another replica, and a newer one after it.
pub(crate) const MAX_REPEAT_AGE: Duration = Duration::from_millis(500);
/// Time for which a command that may be older waits for the end of its connection.
const CLOSE_WAIT: Duration = Duration::from_millis(200);

/// Handles operator calls.
#[derive(Clone)]
pub struct Operators {
    /// Handle to the replicated log.
    pub handle: Handle,
    /// Connections to the other replicas.
    pub connections: Arc<BTreeMap<u64, Arc<ReplicaConnection>>>,
    /// Daemons that send heartbeats to this replica.
    pub reach: Arc<DaemonRegistry>,
    /// Held while a plan is confirmed, exclusively while one is rebased.
    pub confirmations: Arc<tokio::sync::RwLock<()>>,
    /// Sends commands to the leader.
    pub leader: LeaderClient,
    /// Records calls that fail.
    pub traces: CallTraces,
    /// Suspensions of this process, during which calls may have arrived.
    pub suspensions: Suspensions,
}

impl Operators {
    /// Handles a call of an operator on a connection that was idle for a time before.
    pub async fn answer(&self, mut call: OperatorCall, idle: Duration) -> OperatorAnswer {
        if !is_confirmation(&call) {
            return self.answer_at_leader(&call).await;
        }
        let receipt = self.suspensions.receive();
        await_close_if_old(idle).await;
        loop {
            call.base = match self.leader.command_base().await {
                Ok(base) => Some(base),
                Err(e) => return no_result(e),
            };
            if receipt.may_be_old() {
                return unknown_outcome();
            }
            let answer = self.answer_at_leader(&call).await;
            if !answer.superseded || receipt.age() > MAX_REPEAT_AGE {
                return answer;
            }
        }
    }

    /// Handles a call on the leader; forwards it if another replica leads.
    async fn answer_at_leader(&self, call: &OperatorCall) -> OperatorAnswer {
        let status = *self.handle.status.borrow();
        let mut trace = self.traces.start(CallKind::Operator);
        if status.leads {
            let answer = self.answer_here(call).await;
            trace.finish(answer.status != NO_RESULT_STATUS);
            return answer;
        }
        trace.reach(Step::Leader);
        // All operator calls are idempotent: intents have a key or only create plans.
        let answer = match status.leader {
            Some(leader) => {
                let bytes = call.body.len();
                let forward = |client: Arc<Client>| {
                    let call = call.clone();
                    async move { client.operator(call).await }
                };
                self.call_leader(leader, &mut trace, bytes, forward).await
            }
            None => Err(NoResult::NotLeader { leader: None }),
        };
        trace.finish(answer.is_ok());
        answer.unwrap_or_else(no_result)
    }

    /// Handles a call on this replica.
    pub async fn answer_here(&self, call: &OperatorCall) -> OperatorAnswer {
        let path: Vec<&str> = call.path.trim_start_matches('/').split('/').collect();
        match (call.method.as_str(), path.as_slice()) {
            ("POST", ["v1", "intents"]) => self.intent(call).await,
            ("GET", ["v1", "plans", id]) => self.plan(id).await,
            ("POST", ["v1", "plans", id, "confirm"]) => self.confirm(id, call.base).await,
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

    /// Returns the route table as the operator wrote it. The read is linearizable.
    pub async fn read_routes(&self) -> CommandOutcome {
        if self.confirm_read().await.is_err() {
            return CommandOutcome::Unavailable;
        }
        let state = self.handle.state.read();
        let source = state.route_source().map(str::to_string);
        source.map_or(CommandOutcome::NoTable, CommandOutcome::Table)
    }

    /// Returns the stage of the latest roll-out of a service. The read is linearizable.
    pub async fn read_rollout(&self, service: &str) -> CommandOutcome {
        if self.confirm_read().await.is_err() {
            return CommandOutcome::Unavailable;
        }
        let state = self.handle.state.read();
        match state.shared().config.rollouts.get(service) {
            Some(r) => CommandOutcome::Rollout { version: r.version.clone(), stage: r.stage },
            None => CommandOutcome::NoRollout,
        }
    }

    /// Waits until this replica has applied every change accepted before the call.
    ///
    /// # Errors
    ///
    /// Fails if no quorum confirms the read.
    pub async fn confirm_read(&self) -> Result<(), NoResult> {
        let mut trace = self.traces.start(CallKind::Read);
        let confirmed = self.confirm_read_traced(&mut trace).await;
        trace.finish(confirmed.is_ok());
        confirmed
    }

    async fn confirm_read_traced(&self, trace: &mut CallTrace<'_>) -> Result<(), NoResult> {
        let leader = match self.handle.read().await {
            Ok(_) => return Ok(()),
            Err(NoResult::NotLeader { leader: Some(leader) }) => leader,
            Err(e) => {
                trace.reach(if e == NoResult::Unknown { Step::OwnLog } else { Step::Leader });
                return Err(e);
            }
        };
        let read = |client: Arc<Client>| async move { client.read_index().await };
        let index = self.call_leader(leader, trace, 0, read).await?;
        trace.reach(Step::Apply);
        self.handle.applied(index).await
    }

    /// Sends an idempotent call with a payload of `bytes` to the leader. Fails at once if it is known
    /// to be unreachable.
    async fn call_leader<T, F>(
        &self,
        leader: u64,
        trace: &mut CallTrace<'_>,
        bytes: usize,
        call: impl Fn(Arc<Client>) -> F,
    ) -> Result<T, NoResult>
    where
        F: Future<Output = Result<T, ClientError>>,
    {
        trace.set_leader(leader);
        trace.reach(Step::Connect);
        let unreachable = NoResult::NotLeader { leader: Some(leader) };
        let connection = self.connections.get(&leader).ok_or(unreachable)?;
        let traced = |client: Arc<Client>| {
            trace.set_connection_age(Some(client.activity().age()));
            trace.reach(Step::Answer);
            call(client)
        };
        connection.call_with_bytes(bytes, traced).await.map_err(|e| match e {
            CallError::Unreachable { .. } => unreachable,
            CallError::Failed { .. } => NoResult::Unknown,
        })
    }

    async fn intent(&self, call: &OperatorCall) -> OperatorAnswer {
        let intent: Intent = match serde_json::from_str(&call.body) {
            Ok(intent) => intent,
            Err(e) => {
                let what = format!("the intent cannot be read: {e}");
                return error(400, &what, "see `docs/OPERATORS.md` for the intents and fields");
            }
        };
        // A new leader may not have applied all committed entries yet; the read waits for them.
        if let Err(e) = self.handle.read().await {
            return no_result(e);
        }
        let plan = match self.outline(call, &intent) {
            Ok(plan) => plan,
            Err(_) => {
                // A change whose outcome its operator does not know may be proposed but not
                // committed, or its confirmation may still be on its way. The answer that there is
                // nothing to change must hold after it.
                let note = Command::NoteRefusal { intent: intent.clone() };
                if let Err(e) = self.handle.propose(note).await {
                    return no_result(e);
                }
                match self.outline(call, &intent) {
                    Ok(plan) => plan,
                    Err(e) => return core_error(&e),
                }
            }
        };
        match self.handle.propose(Command::PutPlan { plan }).await {
            Ok(Applied::Planned(planned)) => match *planned {
                Ok(plan) => json(201, &plan_reply(&plan)),
                Err(e) => core_error(&e),
            },
            Ok(_) => unknown_outcome(),
            Err(e) => no_result(e),
        }
    }

    fn outline(&self, call: &OperatorCall, intent: &Intent) -> Result<Plan, Error> {
        let state = self.handle.state.read();
        // A retried intent returns its existing plan, even if it would change nothing by now.
        let existing = call.request_key.as_deref().and_then(|k| state.plan_of(&call.operator, k));
        let outline = match existing {
            Some(_) => plan::Outline::default(),
            None => {
                plan::outline(state.shared(), &plan::with_start_time(intent, clock::unix_ms()))?
            }
        };
        Ok(Plan {
            id: uuid::Uuid::new_v4().simple().to_string()[..12].into(),
            operator: call.operator.clone(),
            intent: intent.clone(),
            base_revision: state.config_revision(),
            steps: outline.steps,
            warnings: outline.warnings,
            expires_at_ms: clock::unix_ms() + PLAN_TTL.as_millis() as u64,
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

    async fn confirm(&self, id: &str, base: Option<Revision>) -> OperatorAnswer {
        let at_ms = clock::unix_ms();
        let command = Command::Confirm { plan: id.into(), at_ms, base };
        let first = {
            let _shared = self.confirmations.read().await;
            self.handle.propose(command.clone()).await
        };
        let outcome = match first {
            Ok(Applied::Confirmed(Err(Error::Conflict { .. }))) => {
                self.confirm_alone(command, id, at_ms).await
            }
            outcome => outcome,
        };
        match outcome {
            Ok(Applied::Confirmed(Ok(revision))) => {
                let revision = DisplayRevision(revision).to_string();
                let reply = ConfirmReply { plan: id.into(), revision, state: "accepted".into() };
                json(200, &reply)
            }
            Ok(Applied::Confirmed(Err(e))) => {
                log::info!("control: plan {id} is not accepted: {e}");
                core_error(&e)
            }
            Ok(_) => unknown_outcome(),
            Err(e) => no_result(e),
        }
    }

    /// Confirms a plan whose base is outdated, after rebasing it. No other plan is confirmed
    /// meanwhile, so that a plan which nobody else's change affects is accepted however often the
    /// others change something.
    async fn confirm_alone(
        &self,
        command: Command,
        id: &str,
        at_ms: u64,
    ) -> Result<Applied, NoResult> {
        let _alone = self.confirmations.write().await;
        let mut outcome = self.handle.propose(command.clone()).await?;
        for _ in 0..MAX_REBASES {
            let Applied::Confirmed(Err(Error::Conflict { .. })) = outcome else { break };
            let plan = match self.handle.state.read().rebase_plan(id, at_ms) {
                Ok(plan) => plan,
                Err(e) => return Ok(Applied::Confirmed(Err(e))),
            };
            let base = DisplayRevision(plan.base_revision);
            log::debug!("control: plan {id} is rebased to {base}");
            let rebase = self.handle.propose(Command::PutPlan { plan });
            let (_, confirmed) = tokio::join!(biased; rebase, self.handle.propose(command.clone()));
            outcome = confirmed?;
        }
        Ok(outcome)
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
        let status = *self.handle.status.borrow();
        json(
            200,
            &StatusReply {
                revision: DisplayRevision(state.revision()).to_string(),
                leader: self.handle.replica,
                term: status.term,
                needs_attention: needs_attention(&replicas, &daemons, state.shared()),
                replicas,
                daemons,
                keys_held: state.ledger().len() as u64,
            },
        )
    }

    /// Merges the daemons that all replicas have seen, and adds registered hosts that none has
    /// seen.
    async fn daemons(&self) -> Vec<DaemonStatus> {
        let newest = self.handle.state.read().revision();
        let mut all = self.reach.statuses(self.handle.clock.now(), newest);
        let mut queries = JoinSet::new();
        for connection in self.connections.values() {
            queries.spawn(daemons_seen_by(connection.clone()));
        }
        all.extend(queries.join_all().await.into_iter().flatten());
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
            match_index: self.handle.status.borrow().applied,
        }];
        for view in self.handle.views().await {
            let state = if self.handle.since(view.last_seen) > REPLICA_TIMEOUT {
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

/// Queries another replica for the daemons that it has seen.
async fn daemons_seen_by(connection: Arc<ReplicaConnection>) -> Vec<DaemonStatus> {
    let query = connection.call(|client| async move { client.reach().await });
    match tokio::time::timeout(DAEMONS_QUERY_TIMEOUT, query).await {
        Ok(Ok(statuses)) => statuses,
        _ => {
            log::debug!("control: replica at {} did not return its daemons", connection.address());
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

/// Returns a message for each service whose backend servers are all taken out.
fn services_without_servers(shared: &Shared) -> Vec<String> {
    let is_out = |service: &messages::Service| {
        let mut servers = service.backend_servers.values().peekable();
        servers.peek().is_some() && servers.all(|s| shared::is_out(shared, &s.host))
    };
    let message = |(name, _): (&String, &messages::Service)| {
        format!("every host of service {name} is out: return one, or add a backend server")
    };
    shared.config.services.iter().filter(|(_, service)| is_out(service)).map(message).collect()
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
    OperatorAnswer { status, body, superseded: false }
}

/// Returns an error answer with a remedy.
pub fn error(status: u16, what: &str, remedy: &str) -> OperatorAnswer {
    json(status, &ErrorReply { error: what.into(), remedy: remedy.into() })
}

fn core_error(e: &Error) -> OperatorAnswer {
    let answer = error(e.status(), &e.to_string(), &e.remedy());
    OperatorAnswer { superseded: matches!(e, Error::Superseded { .. }), ..answer }
}

/// Waits before a command that may be old, as its connection was idle for long: the link may have held
/// its bytes and the end of the connection, which then ends the wait and the command.
pub(crate) async fn await_close_if_old(idle: Duration) {
    if idle >= MAX_REPEAT_AGE {
        tokio::time::sleep(CLOSE_WAIT).await;
    }
}

fn is_confirmation(call: &OperatorCall) -> bool {
    call.method == "POST" && call.path.ends_with("/confirm")
}

/// Status of an answer without a result.
const NO_RESULT_STATUS: u16 = 503;

fn no_result(e: NoResult) -> OperatorAnswer {
    match e {
        NoResult::NotLeader { .. } => no_leader(),
        NoResult::Unknown => unknown_outcome(),
    }
}

fn no_leader() -> OperatorAnswer {
    let what = "the control group has no leader that can be reached";
    error(
        NO_RESULT_STATUS,
        what,
        "nothing was done; check with `status` that a majority runs, then try again",
    )
}

fn unknown_outcome() -> OperatorAnswer {
    let what = "it is not known whether the change was accepted";
    error(NO_RESULT_STATUS, what, "send the same call again: it gets the same reply and runs once")
}
