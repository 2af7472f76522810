//! Decides whether a request is sent or retried.

use super::Outbound;
use super::request::Call;
use crate::metrics;
use crate::refusal::Refused;
use cherrystream_core::reasons::{Outcome, Reason};
use cherrystream_core::retry::{self, FailedAttempt};
use cherrystream_core::suspects::Treatment;
use cherrystream_net::serve::Phase;

/// Largest number of refusals by draining servers that are not counted as attempts of a request.
const MAX_DRAINING_REFUSALS: u32 = 8;

impl Outbound {
    /// Checks whether the request is suspect. Refuses it if it is quarantined, as each attempt
    /// could crash a backend server.
    pub(super) fn check_suspect(&self, call: &mut Call) -> Result<(), Refused> {
        match self.suspects.treatment(call.identity.request) {
            Treatment::Clear | Treatment::Watched => {}
            Treatment::Isolated => call.run_alone(),
            Treatment::Quarantined(retry_after) => {
                return Err(Refused { retry_after, ..Refused::new(Reason::HeldBack) });
            }
        }
        Ok(())
    }

    /// Returns whether rate limits are expected to refuse a request at all backend servers.
    fn all_limited(&self, call: &Call) -> bool {
        let Some(balancer) = self.balancer(&call.service) else { return false };
        let now = self.clock.now();
        let table = &balancer.lock().table;
        table.all_limited(now, &self.excluded_servers(call, table))
    }

    /// Returns `Ok` if the request may be retried, or else the final refusal.
    pub(super) fn decide_retry(&self, call: &mut Call, refused: Refused) -> Result<(), Refused> {
        // The inbound has a newer status of the suspect request: isolates it.
        if refused.reason == Reason::RunsAlone && !call.alone {
            call.run_alone();
            return Ok(());
        }
        // Such refusals come in numbers when the servers of a service leave together. Each of them
        // shows one server to avoid, and none has received anything.
        if refused.reason == Reason::Draining && call.draining_refusals < MAX_DRAINING_REFUSALS {
            call.draining_refusals += 1;
        } else {
            call.attempts += 1;
        }
        call.arrivals += u32::from(refused.reason.reached_server());
        if refused.reason.outcome() == Outcome::Unknown {
            call.unknown_outcome.get_or_insert(refused.reason);
        }
        let may_have_ended_one = call.alone && refused.reason.outcome() == Outcome::Unknown;
        if may_have_ended_one || self.phases.now() == Phase::Ending {
            return Err(refused);
        }
        let failed = FailedAttempt {
            reason: refused.reason,
            attempts: call.attempts,
            repeatable: call.class.repeatable,
            replayable: call.body.is_replayable(),
            arrivals: call.arrivals,
            max_arrivals: call.max_arrivals,
            granted: call.granted_retries,
        };
        let label = metrics::label(refused.reason);
        let is_limited = refused.reason == Reason::OverServerLimit && self.all_limited(call);
        let may = !is_limited
            && self.balancer(&call.service).is_some_and(|balancer| {
                retry::decide(failed, &mut balancer.lock().budget, &mut call.allowance)
            });
        if may {
            call.granted_retries = call.arrivals;
            self.metrics.retries.get_or_create(&label).inc();
            return Ok(());
        }
        self.metrics.retries_denied.get_or_create(&label).inc();
        Err(refused)
    }
}
