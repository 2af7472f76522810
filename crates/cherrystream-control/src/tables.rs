//! Orders to replace the route table: what differs from the table that holds goes through the log.

use crate::handle::NoResult;
use crate::operators::Operators;
use cherrystream_core::routes;
use cherrystream_core::state::Applied;
use cherrystream_net::interface::OrderAnswer;
use cherrystream_net::rpc::ControlRpcClient;
use cherrystream_schema::messages::{Command, RouteOrder, RouteOrderReply};
use std::time::Duration;

/// Times that an order is sent as what differs from the table that holds, before it goes as a whole: orders that run
/// beside it may be quicker.
const PATCHES_TRIED: usize = 2;
/// Longest wait until a table that the leader holds is applied here.
const TABLE_TIMEOUT: Duration = Duration::from_millis(300);

impl Operators {
    /// Replaces the route table, on the leader, which may be another replica. What differs from the table that holds
    /// is all that travels: tables may be long, and most changes are short.
    pub async fn replace_routes(&self, order: &RouteOrder) -> OrderAnswer {
        for _ in 0..PATCHES_TRIED {
            let Some(patch) = self.patch(order) else { break };
            match self.order_routes(patch).await {
                Some(reply) if reply.taken => return OrderAnswer::Held(reply.number),
                // Another order was quicker, or this replica lags.
                Some(reply) => self.wait_for_table(reply.number).await,
                None => return OrderAnswer::Unavailable,
            }
        }
        // What is applied is committed, so a table that is not newer changes nothing.
        let (held, number) = (self.handle.state.read().route_number(), order.table.number);
        if number <= held {
            return OrderAnswer::Held(held);
        }
        let whole = Command::ReplaceRoutes { packed: routes::pack(order), number };
        let reply = self.order_routes(whole).await;
        reply.map_or(OrderAnswer::Unavailable, |reply| OrderAnswer::Held(reply.number))
    }

    /// Returns what leads from the table that holds to a newer one.
    fn patch(&self, order: &RouteOrder) -> Option<Command> {
        let (base, patch) = {
            let state = self.handle.state.read();
            let table = state.shared().routes.as_ref()?;
            let newer = table.number < order.table.number;
            let source = state.route_source().filter(|_| newer)?;
            (table.number, routes::patch(table, source, order))
        };
        let (number, packed) = (order.table.number, routes::pack(&patch));
        Some(Command::PatchRoutes { base, number, packed })
    }

    async fn wait_for_table(&self, number: u64) {
        let mut standing = self.handle.standing.clone();
        let held = || self.handle.state.read().route_number() >= number;
        let _ = tokio::time::timeout(TABLE_TIMEOUT, standing.wait_for(|_| held())).await;
    }

    /// Has an order of a route table carried out by the leader; `None` when the outcome is not known.
    async fn order_routes(&self, order: Command) -> Option<RouteOrderReply> {
        let leader = match self.order_routes_here(order.clone()).await {
            Ok(reply) => return Some(reply),
            Err(NoResult::NotLeader { leader }) => leader?,
            Err(NoResult::Unknown) => return None,
        };
        let line = self.lines.get(&leader)?;
        // The call may last as long as its bytes take.
        let ordered = match order {
            Command::PatchRoutes { base, number, packed } => {
                let client = line.for_bytes(packed.len()).client().await?;
                client.patch_routes(base, number, packed).await
            }
            Command::ReplaceRoutes { packed, number } => {
                let client = line.for_bytes(packed.len()).client().await?;
                client.replace_routes(number, packed).await
            }
            _ => return None,
        };
        ordered.inspect_err(|e| log::warn!("control: an order has no outcome: {e}")).ok()
    }

    /// Carries an order of a route table out on this replica.
    ///
    /// # Errors
    ///
    /// Fails on a replica that does not lead, or when the outcome is not known.
    pub async fn order_routes_here(&self, order: Command) -> Result<RouteOrderReply, NoResult> {
        match self.handle.propose(order).await? {
            Applied::CurrentRoutes(number) => Ok(RouteOrderReply { number, taken: true }),
            Applied::RouteConflict(number) => Ok(RouteOrderReply { number, taken: false }),
            _ => Err(NoResult::Unknown),
        }
    }
}
