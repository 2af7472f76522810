//! Replicated state machine of control, to which the committed log entries are applied.

mod changes;
mod plans;
mod recent_commands;
mod recent_intents;

pub use changes::UpdateKind;

use crate::errors::{Error, Result};
use crate::ledger::Ledger;
use crate::rollout;
use crate::routes;
use crate::shared;
use crate::text_patch;
use crate::units::Revision;
use cherrystream_schema::messages;
use messages::{
    Change, ClaimReply, Command, Entry, Intent, NumberedChange, Plan, RouteOrder, RoutePatch,
    Shared,
};
use recent_commands::{CommandOrder, RecentCommands};
use recent_intents::RecentIntents;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Result of applying an entry, for its proposer.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// The entry has no result.
    Nothing,
    /// The recorded plan, or the earlier one with the same idempotency key.
    Planned(Box<Result<Plan>>),
    /// The revision at which the plan was accepted, or why it was not.
    Confirmed(Result<Revision>),
    /// How an intent was applied.
    Intended(IntentOutcome),
    /// The reply to a claim.
    Claimed(ClaimReply),
    /// The number of the current route table.
    CurrentRoutes(u64),
    /// The patch was discarded: it is based on another route table than the current one, which has
    /// this number.
    RouteConflict(u64),
}

/// How an intent with a base was applied.
#[derive(Clone, Debug, PartialEq)]
pub enum IntentOutcome {
    /// The intent is in force at this revision.
    InForce(Revision),
    /// Another command on the same items was applied after the base.
    Superseded,
    /// The intent is invalid in the current state.
    Refused(Error),
}

/// Payload of a command.
#[derive(Clone, Debug)]
pub enum Payload {
    /// No payload, or a malformed one.
    Nothing,
    /// A whole route table.
    Table(Box<RouteOrder>),
    /// A patch to the previous route table.
    Patch(Box<RoutePatch>),
}

impl Payload {
    /// Unpacks the payload of a command.
    pub fn unpack(command: &Command) -> Payload {
        let unpacked = match command {
            Command::ReplaceRoutes { packed, .. } => {
                routes::unpack(packed).map(|order| Payload::Table(Box::new(order)))
            }
            Command::PatchRoutes { packed, .. } => {
                routes::unpack(packed).map(|patch| Payload::Patch(Box::new(patch)))
            }
            _ => None,
        };
        unpacked.unwrap_or(Payload::Nothing)
    }

    /// Returns whether a command has a packed payload.
    pub fn is_packed(command: &Command) -> bool {
        matches!(command, Command::ReplaceRoutes { .. } | Command::PatchRoutes { .. })
    }
}

/// State of a control replica. Its serialized form is stored in snapshots.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ControlState {
    shared: Shared,
    /// Revision of the last change of the shared state.
    revision: Revision,
    /// Revision of the last change by an operator.
    config_revision: Revision,
    changes: VecDeque<NumberedChange>,
    /// Changes up to and including this revision are no longer retained.
    changes_after: Revision,
    plans: BTreeMap<String, Plan>,
    plan_order: VecDeque<String>,
    /// Plan identifiers by operator and idempotency key.
    requests: BTreeMap<String, String>,
    ledger: Ledger,
    /// Source text of the route table.
    #[serde(default)]
    route_source: Option<String>,
    /// Whether route tables were skipped since the last one that was applied.
    #[serde(skip)]
    skipped_routes: bool,
    /// Replicated, since applying a command depends on it.
    #[serde(default)]
    recent_commands: RecentCommands,
    /// Not replicated: only the leader's decision to rebase a plan depends on it.
    #[serde(skip)]
    recent_intents: RecentIntents,
}

impl Default for ControlState {
    fn default() -> Self {
        ControlState {
            shared: shared::empty(),
            revision: Revision::default(),
            config_revision: Revision::default(),
            changes: VecDeque::new(),
            changes_after: Revision::default(),
            plans: BTreeMap::new(),
            plan_order: VecDeque::new(),
            requests: BTreeMap::new(),
            ledger: Ledger::default(),
            route_source: None,
            skipped_routes: false,
            recent_commands: RecentCommands::default(),
            recent_intents: RecentIntents::default(),
        }
    }
}

impl ControlState {
    /// Applies a committed entry.
    pub fn apply(&mut self, entry: &Entry) -> Applied {
        self.apply_unpacked(entry, Payload::unpack(&entry.command))
    }

    /// Applies a committed entry whose payload is already unpacked.
    pub fn apply_unpacked(&mut self, entry: &Entry, unpacked: Payload) -> Applied {
        let at = Revision { term: entry.term, index: entry.index };
        match &entry.command {
            Command::Found { .. } | Command::ReplaceDisk { .. } | Command::Noop { .. } => {}
            Command::PutPlan { plan } => {
                return Applied::Planned(Box::new(self.put_plan(plan)));
            }
            Command::Confirm { plan, at_ms, base } => {
                return Applied::Confirmed(self.confirm(plan, *at_ms, *base, at));
            }
            Command::ApplyIntent { intent, base } => {
                return Applied::Intended(self.apply_intent(intent, *base, at));
            }
            Command::NoteRefusal { intent } => self.recent_commands.record_refusal(at, intent),
            Command::Share { change } => self.share(change, at),
            Command::ShareAll { changes } => {
                changes.iter().for_each(|change| self.share(change, at));
            }
            Command::Claim { request, at_ms, expire_before_ms } => {
                self.ledger.expire(*expire_before_ms);
                return Applied::Claimed(self.ledger.claim(entry.index, *at_ms, request));
            }
            Command::Release { request } => self.ledger.release(request),
            Command::ReplaceRoutes { .. } => {
                // A proposed payload is always well-formed; a malformed one would be ignored.
                let number = match unpacked {
                    Payload::Table(order) => self.replace_routes(&order, at),
                    _ => self.route_number(),
                };
                return Applied::CurrentRoutes(number);
            }
            Command::PatchRoutes { base, number, .. } => {
                return self.patch_routes(*base, *number, unpacked, at);
            }
        }
        Applied::Nothing
    }

    /// Applies an intent unless its items were commanded after its base.
    fn apply_intent(&mut self, intent: &Intent, base: Revision, at: Revision) -> IntentOutcome {
        match self.recent_commands.order(intent, base) {
            CommandOrder::Superseded => return IntentOutcome::Superseded,
            CommandOrder::Repeated => {
                // Acknowledged again, so that older commands are superseded from here on.
                self.recent_commands.record(at, intent);
                return IntentOutcome::InForce(at);
            }
            CommandOrder::Newest => {}
        }
        if let Err(e) = rollout::plan::check(&self.shared, intent) {
            self.recent_commands.record_refusal(at, intent);
            return IntentOutcome::Refused(e);
        }
        self.share(&Change::Operator { intent: intent.clone() }, at);
        IntentOutcome::InForce(at)
    }

    /// Skips a route table that a later entry with a higher number replaces. The retained changes
    /// lack it, so they no longer lead from every daemon's revision to the newest one: once the
    /// later table is applied, daemons get the whole state.
    pub fn skip_routes(&mut self, number: u64) -> Applied {
        // A table that is not newer than the current one has no effect anyway.
        self.skipped_routes |= number > self.route_number();
        Applied::CurrentRoutes(number.max(self.route_number()))
    }

    /// Returns whether a route table was skipped and its replacement is not applied yet.
    pub fn has_skipped_routes(&self) -> bool {
        self.skipped_routes
    }

    /// Replaces the route table unless the current one has the same or a higher number.
    fn replace_routes(&mut self, order: &RouteOrder, at: Revision) -> u64 {
        let current = self.route_number();
        if order.table.number <= current {
            return current;
        }
        let change = routes::difference(self.shared.routes.as_ref(), &order.table);
        self.share(&change, at);
        if std::mem::take(&mut self.skipped_routes) {
            self.changes.clear();
            self.changes_after = at;
        }
        self.route_source = Some(order.source.clone());
        order.table.number
    }

    /// Applies a patch if it is based on the current route table. The outcome is the same on every
    /// replica, because the current table at a log entry is.
    fn patch_routes(&mut self, base: u64, number: u64, unpacked: Payload, at: Revision) -> Applied {
        let current = self.route_number();
        if number <= current {
            return Applied::CurrentRoutes(current);
        }
        if base != current {
            return Applied::RouteConflict(current);
        }
        let Payload::Patch(patch) = unpacked else {
            return Applied::RouteConflict(current);
        };
        let old = self.route_source.as_deref().unwrap_or_default();
        let Some(source) = text_patch::apply(old, &patch.source) else {
            return Applied::RouteConflict(current);
        };
        self.share(&patch.change, at);
        self.route_source = Some(source);
        Applied::CurrentRoutes(number)
    }

    /// Returns the number of the current route table; 0 if there is none.
    pub fn route_number(&self) -> u64 {
        self.shared.routes.as_ref().map_or(0, |table| table.number)
    }

    /// Returns the source text of the route table, as the operator wrote it.
    pub fn route_source(&self) -> Option<&str> {
        self.route_source.as_deref()
    }

    /// Returns the state shared with daemons.
    pub fn shared(&self) -> &Shared {
        &self.shared
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the revision of the last change by an operator.
    pub fn config_revision(&self) -> Revision {
        self.config_revision
    }

    /// Returns the base of a command that is received now: the last command that is applied.
    pub fn command_base(&self) -> Revision {
        self.recent_commands.last().max(self.config_revision)
    }

    /// Returns the ledger.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }
}
