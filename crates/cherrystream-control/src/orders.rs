//! Operator commands that arrive in the format of a configured interface: replacing the route
//! table, intents and roll-outs.

use crate::command_trace::{CommandTrace, CommandTraces, Outcome};
use crate::metrics::Metrics;
use crate::operators::Operators;
use crate::registrar::Registrar;
use cherrystream_core::errors::Error;
use cherrystream_core::plan;
use cherrystream_core::routes;
use cherrystream_net::body::{self, Body, Start};
use cherrystream_net::clock;
use cherrystream_net::interface::{
    CommandOutcome, Fault, OperatorCommand, OperatorInterface, RolloutStart,
};
use cherrystream_net::serve::ClientAddress;
use cherrystream_schema::messages::{Change, Intent};
use http::{Request, Response};
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum size of the body of a command.
const MAX_COMMAND_BYTES: usize = 16 * 1024 * 1024;

/// Executes operator commands.
#[derive(Clone)]
pub struct OperatorCommands {
    /// Forwards route tables and reads to the leader.
    pub operators: Operators,
    /// Commits intents through the leader.
    pub registrar: Registrar,
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
        let from = head.extensions.get().map(|ClientAddress(address)| *address);
        let outcome = match body::read_request(incoming, MAX_COMMAND_BYTES).await {
            Ok(Start::Whole(bytes)) => match self.interface.read_command(&head, &bytes) {
                Ok(command) => self.execute(command, from).await,
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

    async fn execute(&self, command: OperatorCommand, from: Option<SocketAddr>) -> CommandOutcome {
        match command {
            OperatorCommand::ReadRoutes => self.operators.read_routes().await,
            OperatorCommand::ApplyIntent(intent) => {
                let trace = self.start_trace(&intent, from);
                self.apply_intent(intent, trace).await
            }
            OperatorCommand::StartRollout(start) => self.start_rollout(start, from).await,
            OperatorCommand::ReadRollout(service) => self.operators.read_rollout(&service).await,
            OperatorCommand::ReplaceRoutes(order) => match routes::validate(&order.table) {
                Ok(()) => self.operators.replace_routes(&order).await,
                Err(e) => CommandOutcome::Invalid(Fault { what: e.what, remedy: e.remedy }),
            },
        }
    }

    /// Applies an intent. Returns once it is committed to the replicated log.
    async fn apply_intent(&self, intent: Intent, trace: CommandTrace) -> CommandOutcome {
        let what = plan::describe(&intent);
        match self.registrar.register(vec![Change::Operator { intent }]).await {
            Ok(()) => {
                trace.finish(Outcome::Committed);
                CommandOutcome::Committed
            }
            Err(e) => {
                trace.finish(Outcome::Unknown);
                log::warn!("orders: the outcome of {what} is unknown: {}", e.message());
                CommandOutcome::Unavailable
            }
        }
    }

    fn start_trace(&self, intent: &Intent, from: Option<SocketAddr>) -> CommandTrace {
        let held = self.operators.handle.state.read().revision();
        self.traces.start(plan::describe(intent), from, held)
    }

    /// Starts a roll-out, unless the current state forbids it.
    async fn start_rollout(&self, start: RolloutStart, from: Option<SocketAddr>) -> CommandOutcome {
        let RolloutStart { service, version, within } = start;
        let within_ms = within.as_millis().try_into().unwrap_or(u64::MAX);
        let intent = Intent::StartRollout { service, version, within_ms, at_ms: clock::unix_ms() };
        let trace = self.start_trace(&intent, from);
        if self.operators.confirm_read().await.is_err() {
            trace.finish(Outcome::Unknown);
            return CommandOutcome::Unavailable;
        }
        match self.operators.check(&intent) {
            Ok(()) => self.apply_intent(intent, trace).await,
            Err(e) => {
                trace.finish(Outcome::Refused);
                let fault = Fault { what: e.to_string(), remedy: e.remedy() };
                match e {
                    Error::Busy { .. } => CommandOutcome::Busy(fault),
                    _ => CommandOutcome::Invalid(fault),
                }
            }
        }
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
