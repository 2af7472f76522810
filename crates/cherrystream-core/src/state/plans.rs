//! Plans of operators: recorded once per idempotency key, and confirmed at most once.

use super::ControlState;
use super::recent_commands::CommandOrder;
use crate::errors::{Error, Result};
use crate::plan;
use crate::units::Revision;
use cherrystream_schema::messages::{Change, Plan};

/// Maximum number of retained plans, including confirmed ones: a retried confirmation gets the same
/// reply.
const MAX_PLANS: usize = 4_096;

impl ControlState {
    /// Records a plan.
    ///
    /// # Errors
    ///
    /// Fails if its idempotency key was used for another intent.
    pub(super) fn put_plan(&mut self, plan: &Plan) -> Result<Plan> {
        if let Some(key) = request_key(plan) {
            // A retried request gets the plan of the first one.
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
        self.drop_old_plans();
        Ok(plan.clone())
    }

    fn drop_old_plans(&mut self) {
        while self.plan_order.len() > MAX_PLANS {
            let Some(id) = self.plan_order.pop_front() else { return };
            self.plans.remove(&id);
            // A rebased plan has no key of its own.
            self.requests.retain(|_, plan| *plan != id);
        }
    }

    /// Accepts a plan and applies its intent.
    ///
    /// # Errors
    ///
    /// Fails if the plan is missing or expired, the configuration has changed since, or its items
    /// were commanded after the base of the confirmation.
    pub(super) fn confirm(
        &mut self,
        id: &str,
        at_ms: u64,
        base: Option<Revision>,
        at: Revision,
    ) -> Result<Revision> {
        let Some(plan) = self.plans.get(id) else {
            return Err(no_plan(id));
        };
        if let Some(accepted) = plan.accepted {
            return Ok(accepted);
        }
        if at_ms > plan.expires_at_ms {
            return Err(Error::Expired { plan: id.into() });
        }
        if let Some(base) = base
            && self.recent_commands.order(&plan.intent, base) == CommandOrder::Superseded
        {
            return Err(Error::Superseded { plan: id.into() });
        }
        if plan.base_revision != self.config_revision {
            let changes = self.recent_intents.describe_since(plan.base_revision);
            return Err(Error::Conflict { changes });
        }
        let change = Change::Operator { intent: plan::with_start_time(&plan.intent, at_ms) };
        self.share(&change, at);
        self.config_revision = at;
        if let Some(plan) = self.plans.get_mut(id) {
            plan.accepted = Some(at);
        }
        Ok(at)
    }

    /// Returns an unconfirmed plan with the current revision as its base, if it still does what its
    /// operator was shown and none of the changes since its base affects it.
    ///
    /// The leader records the returned plan and confirms it again. [`Command::Confirm`] itself only
    /// compares revisions, so that replicas of different releases apply it alike.
    ///
    /// [`Command::Confirm`]: cherrystream_schema::messages::Command::Confirm
    ///
    /// # Errors
    ///
    /// Fails if the plan is missing, or affected by the changes since its base.
    pub fn rebase_plan(&self, id: &str, at_ms: u64) -> Result<Plan> {
        let plan = self.plan(id)?;
        if let Some(changes) =
            self.recent_intents.describe_affecting(&plan.intent, plan.base_revision)
        {
            return Err(Error::Conflict { changes });
        }
        let intent = plan::with_start_time(&plan.intent, at_ms);
        let is_as_shown = plan::outline(&self.shared, &intent)
            .is_ok_and(|now| now.steps == plan.steps && now.warnings == plan.warnings);
        if !is_as_shown {
            let changes = self.recent_intents.describe_since(plan.base_revision);
            return Err(Error::Conflict { changes });
        }
        // With its idempotency key, the recorded plan would be returned instead of replaced.
        Ok(Plan { base_revision: self.config_revision, request_key: None, ..plan.clone() })
    }

    /// Returns a plan.
    ///
    /// # Errors
    ///
    /// Fails if no plan has the identifier.
    pub fn plan(&self, id: &str) -> Result<&Plan> {
        self.plans.get(id).ok_or_else(|| no_plan(id))
    }

    /// Returns the plan that was recorded for an operator's idempotency key.
    pub fn plan_of(&self, operator: &str, key: &str) -> Option<&Plan> {
        self.requests.get(&scoped_key(operator, key)).and_then(|id| self.plans.get(id))
    }
}

fn request_key(plan: &Plan) -> Option<String> {
    plan.request_key.as_ref().map(|key| scoped_key(&plan.operator, key))
}

fn scoped_key(operator: &str, key: &str) -> String {
    format!("{operator}/{key}")
}

fn no_plan(id: &str) -> Error {
    Error::Missing {
        what: "plan",
        name: id.into(),
        remedy: "state the intent again to get a new plan".into(),
    }
}
