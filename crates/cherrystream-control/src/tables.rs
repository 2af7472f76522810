//! Replaces the route table: sends the difference from the current table through the replicated
//! log.

use crate::handle::NoResult;
use crate::operators::Operators;
use cherrystream_core::routes;
use cherrystream_core::state::Applied;
use cherrystream_net::interface::CommandOutcome;
use cherrystream_net::rpc::{Client, ControlRpcClient};
use cherrystream_schema::messages::{Command, RouteOrder, RouteOrderReply};
use std::sync::Arc;
use std::time::Duration;

/// Attempts to send a table as a patch before it is sent as a whole. A patch fails if another table
/// is committed first.
const MAX_PATCH_ATTEMPTS: usize = 2;
/// Longest wait until the current table of the leader is applied on this replica.
const TABLE_TIMEOUT: Duration = Duration::from_millis(300);

impl Operators {
    /// Replaces the route table through the leader. Sends only the difference from the current
    /// table where possible: tables may be long, and most changes are short.
    pub async fn replace_routes(&self, order: &RouteOrder) -> CommandOutcome {
        for _ in 0..MAX_PATCH_ATTEMPTS {
            let Some(patch) = self.patch(order) else { break };
            match self.submit_routes(patch).await {
                Some(reply) if reply.taken => return CommandOutcome::CurrentRoutes(reply.number),
                // Another table was committed first, or this replica lags behind.
                Some(reply) => self.wait_for_table(reply.number).await,
                None => return CommandOutcome::Unavailable,
            }
        }
        // The applied table is committed, so a table that is not newer changes nothing.
        let (held, number) = (self.handle.state.read().route_number(), order.table.number);
        if number <= held {
            return CommandOutcome::CurrentRoutes(held);
        }
        let command = Command::ReplaceRoutes { packed: routes::pack(order), number };
        let reply = self.submit_routes(command).await;
        reply.map_or(CommandOutcome::Unavailable, |reply| {
            CommandOutcome::CurrentRoutes(reply.number)
        })
    }

    /// Returns a patch from the current table to a newer one.
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
        let mut status = self.handle.status.clone();
        let held = || self.handle.state.read().route_number() >= number;
        let _ = tokio::time::timeout(TABLE_TIMEOUT, status.wait_for(|_| held())).await;
    }

    /// Commits a route table command through the leader. Returns `None` if the outcome is unknown.
    async fn submit_routes(&self, command: Command) -> Option<RouteOrderReply> {
        let leader = match self.submit_routes_here(command.clone()).await {
            Ok(reply) => return Some(reply),
            Err(NoResult::NotLeader { leader }) => leader?,
            Err(NoResult::Unknown) => return None,
        };
        let connection = self.connections.get(&leader)?;
        // The commands have the number of their table, so they are idempotent.
        let reply = match command {
            Command::PatchRoutes { base, number, packed } => {
                let patch = |client: Arc<Client>| {
                    let packed = packed.clone();
                    async move { client.patch_routes(base, number, packed).await }
                };
                connection.for_bytes(packed.len()).call(patch).await
            }
            Command::ReplaceRoutes { packed, number } => {
                let replace = |client: Arc<Client>| {
                    let packed = packed.clone();
                    async move { client.replace_routes(number, packed).await }
                };
                connection.for_bytes(packed.len()).call(replace).await
            }
            _ => return None,
        };
        reply
            .inspect_err(|e| {
                log::warn!("control: the outcome of a route table command is unknown: {e}")
            })
            .ok()
    }

    /// Commits a route table command on this replica.
    ///
    /// # Errors
    ///
    /// Fails if this replica is not the leader or the outcome is unknown.
    pub async fn submit_routes_here(&self, command: Command) -> Result<RouteOrderReply, NoResult> {
        match self.handle.propose(command).await? {
            Applied::CurrentRoutes(number) => Ok(RouteOrderReply { number, taken: true }),
            Applied::RouteConflict(number) => Ok(RouteOrderReply { number, taken: false }),
            _ => Err(NoResult::Unknown),
        }
    }
}
