//! The replicated state of control: what applying the log's committed entries leads to.

use crate::distribution;
use crate::errors::{Error, Result};
use crate::ledger::Ledger;
use crate::plan;
use crate::routes;
use crate::shared;
use crate::text_patch;
use crate::units::{Dotted, Revision};
use cherrystream_schema::messages;
use messages::{
    Change, ClaimReply, Command, Entry, NumberedChange, Plan, RouteOrder, RoutePatch, Shared,
    Update,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Changes kept so that daemons a little behind fetch only what they lack.
const CHANGES_KEPT: usize = 4_096;
/// Items that the changes kept may hold together, where that is more than the whole state holds: some 300 KB.
const WEIGHT_KEPT: usize = 1_024;
/// Plans kept, confirmed ones included, so that a resent confirmation gets the same reply.
const PLANS_KEPT: usize = 4_096;

/// What applying an entry led to, for whoever proposed it.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// Nothing that anybody waits for.
    Nothing,
    /// A plan was recorded, or was on record under the same idempotency key.
    Planned(Box<Result<Plan>>),
    /// A plan was confirmed, or was not.
    Confirmed(Result<Revision>),
    /// A claim was decided.
    Claimed(ClaimReply),
    /// The route table with this number holds.
    RoutesHeld(u64),
    /// A patch builds on another route table than the one with this number, which holds; it changed nothing.
    RoutesMoved(u64),
}

/// What a command brings in packed form, unpacked.
#[derive(Clone, Debug)]
pub enum Unpacked {
    /// Nothing, or nothing that can be read.
    Nothing,
    /// A whole route table.
    Order(Box<RouteOrder>),
    /// What leads to a route table from the one before.
    Patch(Box<RoutePatch>),
}

impl Unpacked {
    /// Unpacks what a command brings.
    pub fn of(command: &Command) -> Unpacked {
        let unpacked = match command {
            Command::ReplaceRoutes { packed, .. } => {
                routes::unpack(packed).map(|order| Unpacked::Order(Box::new(order)))
            }
            Command::PatchRoutes { packed, .. } => {
                routes::unpack(packed).map(|patch| Unpacked::Patch(Box::new(patch)))
            }
            _ => None,
        };
        unpacked.unwrap_or(Unpacked::Nothing)
    }

    /// Returns whether a command brings anything in packed form.
    pub fn is_needed(command: &Command) -> bool {
        matches!(command, Command::ReplaceRoutes { .. } | Command::PatchRoutes { .. })
    }
}

/// What lies between a revision that a daemon holds and the newest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing.
    Nothing,
    /// Changes that hold so many items.
    Changes {
        /// Their items.
        weight: usize,
    },
    /// The whole state, which holds so many items.
    Whole {
        /// Its items.
        weight: usize,
    },
}

/// The state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ControlState {
    shared: Shared,
    /// Revision of the last change of the shared state.
    revision: Revision,
    /// Revision of the last change by an operator.
    config_revision: Revision,
    changes: VecDeque<NumberedChange>,
    /// Changes up to and including this revision are no longer kept one by one.
    changes_after: Revision,
    plans: BTreeMap<String, Plan>,
    plan_order: VecDeque<String>,
    /// Plans by operator and idempotency key.
    requests: BTreeMap<String, String>,
    ledger: Ledger,
    /// The route table as the operator wrote it.
    #[serde(default)]
    route_source: Option<String>,
    /// Whether route tables were passed over since the last one that was applied.
    #[serde(skip)]
    passed_over: bool,
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
            passed_over: false,
        }
    }
}

impl ControlState {
    /// Applies a committed entry.
    pub fn apply(&mut self, entry: &Entry) -> Applied {
        self.apply_unpacked(entry, Unpacked::of(&entry.command))
    }

    /// Applies a committed entry whose route table was unpacked before.
    pub fn apply_unpacked(&mut self, entry: &Entry, unpacked: Unpacked) -> Applied {
        let at = Revision { term: entry.term, index: entry.index };
        match &entry.command {
            Command::Found { .. } | Command::ReplaceDisk { .. } | Command::Noop { .. } => {}
            Command::PutPlan { plan } => {
                return Applied::Planned(Box::new(self.put_plan(plan)));
            }
            Command::Confirm { plan, at_ms } => {
                return Applied::Confirmed(self.confirm(plan, *at_ms, at));
            }
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
                // Only what `pack` has written is ever proposed; anything else changes nothing.
                let held = match unpacked {
                    Unpacked::Order(order) => self.replace_routes(&order, at),
                    _ => self.route_number(),
                };
                return Applied::RoutesHeld(held);
            }
            Command::PatchRoutes { base, number, .. } => {
                return self.patch_routes(*base, *number, unpacked, at);
            }
        }
        Applied::Nothing
    }

    fn put_plan(&mut self, plan: &Plan) -> Result<Plan> {
        if let Some(key) = request_key(plan) {
            // A resent intent gets the plan of the first one.
            if let Some(first) = self.requests.get(&key).and_then(|id| self.plans.get(id)) {
                return if first.intent == plan.intent {
                    Ok(first.clone())
                } else {
                    Err(Error::KeyReused)
                };
            }
            self.requests.insert(key, plan.id.clone());
        }
        self.plans.insert(plan.id.clone(), plan.clone());
        self.plan_order.push_back(plan.id.clone());
        self.forget_old_plans();
        Ok(plan.clone())
    }

    fn forget_old_plans(&mut self) {
        while self.plan_order.len() > PLANS_KEPT {
            let Some(id) = self.plan_order.pop_front() else { return };
            if let Some(key) = self.plans.remove(&id).as_ref().and_then(request_key) {
                self.requests.remove(&key);
            }
        }
    }

    fn confirm(&mut self, id: &str, at_ms: u64, at: Revision) -> Result<Revision> {
        let Some(plan) = self.plans.get(id) else {
            return Err(no_plan(id));
        };
        if let Some(accepted) = plan.accepted {
            return Ok(accepted);
        }
        if at_ms > plan.expires_at_ms {
            return Err(Error::Expired { plan: id.into() });
        }
        if plan.base_revision != self.config_revision {
            return Err(Error::Conflict { changes: self.changes_since(plan.base_revision) });
        }
        let change = Change::Operator { intent: plan.intent.clone() };
        self.share(&change, at);
        self.config_revision = at;
        if let Some(plan) = self.plans.get_mut(id) {
            plan.accepted = Some(at);
        }
        Ok(at)
    }

    /// Passes over a route table that an entry behind it with a higher number replaces. What daemons hold
    /// that know of it is not known here, so from then on they get the whole state.
    pub fn pass_over(&mut self, number: u64) -> Applied {
        // One that is not newer than what holds would have changed nothing.
        self.passed_over |= number > self.route_number();
        Applied::RoutesHeld(number.max(self.route_number()))
    }

    /// Returns whether a table was passed over and the one that holds in its place is not applied yet.
    pub fn lags(&self) -> bool {
        self.passed_over
    }

    /// The table with the highest number holds; another one changes nothing.
    fn replace_routes(&mut self, order: &RouteOrder, at: Revision) -> u64 {
        let held = self.route_number();
        if order.table.number <= held {
            return held;
        }
        let change = routes::difference(self.shared.routes.as_ref(), &order.table);
        self.share(&change, at);
        if std::mem::take(&mut self.passed_over) {
            self.changes.clear();
            self.changes_after = at;
        }
        self.route_source = Some(order.source.clone());
        order.table.number
    }

    /// A patch counts only for the table that it builds on. Whether it does is the same on every replica, for the
    /// table that holds at an entry is.
    fn patch_routes(
        &mut self,
        base: u64,
        number: u64,
        unpacked: Unpacked,
        at: Revision,
    ) -> Applied {
        let held = self.route_number();
        if number <= held {
            return Applied::RoutesHeld(held);
        }
        if base != held {
            return Applied::RoutesMoved(held);
        }
        let Unpacked::Patch(patch) = unpacked else {
            return Applied::RoutesMoved(held);
        };
        let old = self.route_source.as_deref().unwrap_or_default();
        let Some(source) = text_patch::apply(old, &patch.source) else {
            return Applied::RoutesMoved(held);
        };
        self.share(&patch.change, at);
        self.route_source = Some(source);
        Applied::RoutesHeld(number)
    }

    /// Returns the number of the route table that holds; 0 when there is none.
    pub fn route_number(&self) -> u64 {
        self.shared.routes.as_ref().map_or(0, |table| table.number)
    }

    /// Returns the route table as the operator wrote it.
    pub fn route_source(&self) -> Option<&str> {
        self.route_source.as_deref()
    }

    fn share(&mut self, change: &Change, at: Revision) {
        if let Change::Operator { .. } = change {
            let before = self.shared.config.clone();
            shared::apply(&mut self.shared, change);
            // An order that comes again changes nothing, and leaves plans as they are.
            if self.shared.config == before {
                return;
            }
            self.config_revision = at;
        } else {
            shared::apply(&mut self.shared, change);
        }
        self.revision = at;
        self.changes.push_back(NumberedChange { revision: at, change: change.clone() });
        self.drop_old_changes();
    }

    /// Changes that hold more together than the whole state are never sent.
    fn drop_old_changes(&mut self) {
        let weight_at_most = distribution::of_state(&self.shared).max(WEIGHT_KEPT);
        let mut weight = 0;
        let mut kept = 0;
        for numbered in self.changes.iter().rev() {
            weight += distribution::of_changes([&numbered.change].into_iter());
            if kept == CHANGES_KEPT || weight > weight_at_most {
                break;
            }
            kept += 1;
        }
        let excess = self.changes.len() - kept;
        if let Some(dropped) = self.changes.drain(..excess).next_back() {
            self.changes_after = dropped.revision;
        }
    }

    /// Describes the operators' changes after a revision.
    fn changes_since(&self, base: Revision) -> String {
        let describe = |c: &NumberedChange| match &c.change {
            Change::Operator { intent } if c.revision > base => {
                Some(format!("{} at {}", plan::describe(intent), Dotted(c.revision)))
            }
            _ => None,
        };
        let changes: Vec<String> = self.changes.iter().filter_map(describe).collect();
        if changes.is_empty() { "too long ago to list".into() } else { changes.join(", ") }
    }

    /// Returns what lies between a revision that a daemon holds and the newest one.
    pub fn step_since(&self, held: Revision) -> Step {
        // A replica that lags may know less than the daemon: it then has nothing to give. Nor has one that passed
        // over tables of which the last is not applied yet: its revision tells of more than its state.
        if held >= self.revision || self.passed_over {
            return Step::Nothing;
        }
        let whole = Step::Whole { weight: distribution::of_state(&self.shared) };
        if held < self.changes_after {
            return whole;
        }
        let newer = self.newer_than(held).map(|numbered| &numbered.change);
        let weight = distribution::of_changes(newer);
        match whole {
            Step::Whole { weight: w } if weight > distribution::LIGHT && w <= weight => whole,
            _ => Step::Changes { weight },
        }
    }

    /// Returns what a daemon lacks that holds `held`: the changes since, or the whole state where that is
    /// shorter or they are no longer kept.
    pub fn update_since(&self, held: Revision) -> Update {
        let revision = self.revision;
        match self.step_since(held) {
            Step::Nothing => Update { revision, changes: vec![], full: None },
            Step::Whole { .. } => {
                Update { revision, changes: vec![], full: Some(self.shared.clone()) }
            }
            Step::Changes { .. } => {
                let changes = self.newer_than(held).cloned().collect();
                Update { revision, changes, full: None }
            }
        }
    }

    fn newer_than(&self, held: Revision) -> impl Iterator<Item = &NumberedChange> {
        let first = self.changes.partition_point(|numbered| numbered.revision <= held);
        self.changes.range(first..)
    }

    /// Returns a plan.
    ///
    /// # Errors
    ///
    /// Fails when no plan has the identifier.
    pub fn plan(&self, id: &str) -> Result<&Plan> {
        self.plans.get(id).ok_or_else(|| no_plan(id))
    }

    /// Returns the plan that an operator's idempotency key led to.
    pub fn plan_of(&self, operator: &str, key: &str) -> Option<&Plan> {
        self.requests.get(&request_name(operator, key)).and_then(|id| self.plans.get(id))
    }

    /// Returns the state that daemons hold.
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

    /// Returns the ledger.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }
}

fn request_key(plan: &Plan) -> Option<String> {
    plan.request_key.as_ref().map(|key| request_name(&plan.operator, key))
}

fn request_name(operator: &str, key: &str) -> String {
    format!("{operator}/{key}")
}

fn no_plan(id: &str) -> Error {
    Error::Missing {
        what: "plan",
        name: id.into(),
        remedy: "state the intent again to get a new plan".into(),
    }
}
