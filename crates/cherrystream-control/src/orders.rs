//! Operator commands that arrive in the format of a configured interface: replacing the route
//! table, intents and roll-outs.

use crate::metrics::Metrics;
use crate::operators::Operators;
use crate::registrar::Registrar;
use cherrystream_core::errors::Error;
use cherrystream_core::plan;
use cherrystream_core::routes;
use cherrystream_net::body::{self, Body, Start};
use cherrystream_net::clock;
use cherrystream_net::interface::{Fault, Order, OrderAnswer, OrderInterface, RolloutStart};
use cherrystream_schema::messages::{Change, Intent};
use http::{Request, Response};
use hyper::body::Incoming;
use std::sync::Arc;

/// Maximum size of the body of a command.
const MAX_ORDER_BYTES: usize = 16 * 1024 * 1024;

/// Executes operator commands.
#[derive(Clone)]
pub struct Orders {
    /// Forwards route tables and reads to the leader.
    pub operators: Operators,
    /// Commits intents through the leader.
    pub registrar: Registrar,
    /// Decodes commands and encodes their results.
    pub interface: Arc<dyn OrderInterface>,
    /// Metrics of the control role.
    pub metrics: Metrics,
}

impl Orders {
    /// Executes the command in a request and returns the response.
    pub async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        let (head, incoming) = req.into_parts();
        let answer = match body::read_start(body::incoming(incoming), MAX_ORDER_BYTES).await {
            Ok(Start::Whole(bytes)) => match self.interface.read_order(&head, &bytes) {
                Ok(order) => self.execute(order).await,
                Err(fault) => OrderAnswer::Invalid(fault),
            },
            Ok(Start::Longer(_)) => OrderAnswer::Invalid(Fault {
                what: "the order is too large".into(),
                remedy: "send 16 MiB at most".into(),
            }),
            Err(_) => OrderAnswer::Invalid(Fault {
                what: "the order broke off".into(),
                remedy: "send it again".into(),
            }),
        };
        self.record(&answer);
        self.interface.write_order_answer(&answer)
    }

    async fn execute(&self, order: Order) -> OrderAnswer {
        match order {
            Order::ReadRoutes => self.operators.read_routes().await,
            Order::Intend(intent) => self.apply_intent(intent).await,
            Order::StartRollout(start) => self.start_rollout(start).await,
            Order::ReadRollout(service) => self.operators.read_rollout(&service).await,
            Order::ReplaceRoutes(order) => match routes::validate(&order.table) {
                Ok(()) => self.operators.replace_routes(&order).await,
                Err(e) => OrderAnswer::Invalid(Fault { what: e.what, remedy: e.remedy }),
            },
        }
    }

    /// Applies an intent. Returns once it is committed to the replicated log.
    async fn apply_intent(&self, intent: Intent) -> OrderAnswer {
        let what = plan::describe(&intent);
        match self.registrar.register(vec![Change::Operator { intent }]).await {
            Ok(()) => {
                log::info!("orders: {what} is committed");
                OrderAnswer::Intended
            }
            Err(e) => {
                log::warn!("orders: the outcome of {what} is unknown: {}", e.message());
                OrderAnswer::Unavailable
            }
        }
    }

    /// Starts a roll-out, unless the current state forbids it.
    async fn start_rollout(&self, start: RolloutStart) -> OrderAnswer {
        let RolloutStart { service, version, within } = start;
        let within_ms = within.as_millis().try_into().unwrap_or(u64::MAX);
        let intent = Intent::StartRollout { service, version, within_ms, at_ms: clock::unix_ms() };
        if self.operators.confirm_read().await.is_err() {
            return OrderAnswer::Unavailable;
        }
        match self.operators.check(&intent) {
            Ok(()) => self.apply_intent(intent).await,
            Err(e) => {
                let fault = Fault { what: e.to_string(), remedy: e.remedy() };
                match e {
                    Error::Busy { .. } => OrderAnswer::Busy(fault),
                    _ => OrderAnswer::Invalid(fault),
                }
            }
        }
    }

    /// Logs a result and counts refusals.
    fn record(&self, answer: &OrderAnswer) {
        match answer {
            OrderAnswer::Held(number) => log::info!("orders: route table {number} is current"),
            OrderAnswer::Table(_) | OrderAnswer::Intended | OrderAnswer::Rollout { .. } => {}
            OrderAnswer::NoRollout => self.metrics.refuse("no-rollout"),
            OrderAnswer::Busy(fault) => {
                self.metrics.refuse("under-way");
                log::warn!("orders: refused: {}; {}", fault.what, fault.remedy);
            }
            OrderAnswer::NoTable => self.metrics.refuse("no-table"),
            OrderAnswer::Unavailable => self.metrics.refuse("no-quorum"),
            OrderAnswer::Invalid(fault) => {
                self.metrics.refuse("invalid-order");
                log::warn!("orders: refused: {}; {}", fault.what, fault.remedy);
            }
        }
    }
}
