//! Operator commands that arrive in the format of a configured interface: replacing the route
//! table, intents and roll-outs.

use crate::api;
use crate::command_trace::{CommandTrace, CommandTraces, Outcome};
use crate::metrics::Metrics;
use crate::operators::{self, MAX_REPEAT_AGE, Operators};
use cherrystream_core::plan;
use cherrystream_core::routes;
use cherrystream_net::body::{self, Body, Start};
use cherrystream_net::clock;
use cherrystream_net::interface::{
    CommandOutcome, Fault, OperatorCommand, OperatorInterface, RolloutStart,
};
use cherrystream_net::serve::ClientAddress;
use cherrystream_net::suspensions::Receipt;
use cherrystream_schema::messages::{Intent, IntentReply};
use http::{Request, Response};
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum size of the body of a command.
const MAX_COMMAND_BYTES: usize = 16 * 1024 * 1024;

/// What is known about a command besides its content.
struct CommandContext {
    receipt: Receipt,
    /// Time for which its connection was idle before.
    idle: Duration,
    from: Option<SocketAddr>,
}

/// Executes operator commands.
#[derive(Clone)]
pub struct OperatorCommands {
    /// Forwards commands and reads to the leader.
    pub operators: Operators,
    /// Records the commands that change something.
    pub traces: CommandTraces,
    /// Decodes commands and encodes their results.
    pub interface: Arc<dyn OperatorInterface>,
    /// Metrics of the control role.
    pub metrics: Metrics,
}

impl OperatorCommands {
    /// Executes the command in a request and returns the response.
    pub async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        let (head, incoming) = req.into_parts();
        let cx = CommandContext {
            receipt: self.operators.suspensions.receive(),
            idle: api::idle_time(&head.extensions),
            from: head.extensions.get().map(|ClientAddress(address)| *address),
        };
        let outcome = match body::read_request(incoming, MAX_COMMAND_BYTES).await {
            Ok(Start::Whole(bytes)) => match self.interface.read_command(&head, &bytes) {
                Ok(command) => self.execute(command, cx).await,
                Err(fault) => CommandOutcome::Invalid(fault),
            },
            Ok(Start::Longer(_)) => CommandOutcome::Invalid(Fault {
                what: "the order is too large".into(),
                remedy: "send 16 MiB at most".into(),
            }),
            Err(_) => CommandOutcome::Invalid(Fault {
                what: "the order broke off".into(),
                remedy: "send it again".into(),
            }),
        };
        self.record(&outcome);
        self.interface.write_outcome(&outcome)
    }

    async fn execute(&self, command: OperatorCommand, cx: CommandContext) -> CommandOutcome {
        match command {
            OperatorCommand::ReadRoutes => self.operators.read_routes().await,
            OperatorCommand::ApplyIntent(intent) => self.apply_intent(intent, cx).await,
            OperatorCommand::StartRollout(start) => self.start_rollout(start, cx).await,
            OperatorCommand::ReadRollout(service) => self.operators.read_rollout(&service).await,
            OperatorCommand::ReplaceRoutes(order) => match routes::validate(&order.table) {
                Ok(()) => self.operators.replace_routes(&order).await,
                Err(e) => CommandOutcome::Invalid(Fault { what: e.what, remedy: e.remedy }),
            },
        }
    }

    /// Applies an intent. Returns once it is committed to the replicated log.
    async fn apply_intent(&self, intent: Intent, cx: CommandContext) -> CommandOutcome {
        let mut trace = self.traces.start(plan::describe(&intent), cx.from);
        operators::await_close_if_old(cx.idle).await;
        loop {
            match self.try_apply_intent(&intent, &cx.receipt, &mut trace).await {
                Ok(IntentReply::Committed { revision }) => {
                    trace.commit(revision);
                    return CommandOutcome::Committed;
                }
                Ok(IntentReply::Superseded) if cx.receipt.age() < MAX_REPEAT_AGE => {}
                Ok(IntentReply::Superseded) => {
                    trace.finish(Outcome::Superseded);
                    return CommandOutcome::Unavailable;
                }
                Ok(IntentReply::Refused { busy, error, remedy }) => {
                    trace.finish(Outcome::Refused);
                    return refused(busy, Fault { what: error, remedy });
                }
                Err(outcome) => {
                    trace.finish(outcome);
                    return CommandOutcome::Unavailable;
                }
            }
        }
    }

    /// Sends an intent to the leader, with what is committed now as its base.
    async fn try_apply_intent(
        &self,
        intent: &Intent,
        receipt: &Receipt,
        trace: &mut CommandTrace,
    ) -> Result<IntentReply, Outcome> {
        let leader = &self.operators.leader;
        let base = leader.command_base().await.map_err(|_| Outcome::Unknown)?;
        trace.set_base(base);
        if receipt.may_be_old() {
            return Err(Outcome::Stale);
        }
        leader.apply_intent(intent, base).await.map_err(|e| {
            log::debug!("orders: no outcome: {}", e.message());
            Outcome::Unknown
        })
    }

    /// Starts a roll-out, unless the current state forbids it.
    async fn start_rollout(&self, start: RolloutStart, cx: CommandContext) -> CommandOutcome {
        let RolloutStart { service, version, within } = start;
        let within_ms = within.as_millis().try_into().unwrap_or(u64::MAX);
        let at_ms = clock::unix_ms();
        self.apply_intent(Intent::StartRollout { service, version, within_ms, at_ms }, cx).await
    }

    /// Logs a result and counts refusals.
    fn record(&self, outcome: &CommandOutcome) {
        match outcome {
            CommandOutcome::CurrentRoutes(number) => {
                log::info!("orders: route table {number} is current")
            }
            CommandOutcome::Table(_)
            | CommandOutcome::Committed
            | CommandOutcome::Rollout { .. } => {}
            CommandOutcome::NoRollout => self.metrics.refuse("no-rollout"),
            CommandOutcome::Busy(fault) => {
                self.metrics.refuse("under-way");
                log::warn!("orders: refused: {}; {}", fault.what, fault.remedy);
            }
            CommandOutcome::NoTable => self.metrics.refuse("no-table"),
            CommandOutcome::Unavailable => self.metrics.refuse("no-quorum"),
            CommandOutcome::Invalid(fault) => {
                self.metrics.refuse("invalid-order");
                log::warn!("orders: refused: {}; {}", fault.what, fault.remedy);
            }
        }
    }
}

fn refused(busy: bool, fault: Fault) -> CommandOutcome {
    match busy {
        true => CommandOutcome::Busy(fault),
        false => CommandOutcome::Invalid(fault),
    }
}
