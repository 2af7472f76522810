//! Which backend server a request goes to next.

use super::request::Call;
use super::{Choosing, Outbound};
use crate::refusal::Refused;
use cherrystream_core::choose::{Distance, Nearby, ServerId};
use cherrystream_core::reasons::Reason;
use std::time::Duration;

/// Part of the time that a request may wait for a slot in which it rather waits nearby.
const NEAR_WAIT_PART: f64 = 0.5;
/// Shortest time between offers of one request in its own failure domain.
const OFFER_AGAIN_AFTER: Duration = Duration::from_millis(20);
/// As `OFFER_AGAIN_AFTER`, the longest: a backend server that works slowly is asked for its pace as often.
const OFFER_AGAIN_WITHIN: Duration = Duration::from_millis(60);

/// Where a request goes next.
pub(super) enum Next {
    /// To this backend server now.
    Server(ServerId),
    /// Nowhere yet: it is better chosen for after this time.
    Later(Duration),
}

impl Outbound {
    /// Chooses where a request goes next: one with a long body rather waits in its own failure domain for
    /// a while than leaves it.
    ///
    /// # Errors
    ///
    /// Fails with the final refusal when there is no backend server to go to.
    pub(super) fn choose_next(&self, call: &mut Call) -> Result<Next, Refused> {
        let now = self.clock.now();
        if let Some(server) = self.choose_on_trial(call, now) {
            return Ok(Next::Server(server));
        }
        if call.alone || !call.stays_nearby(now) {
            return self.choose(call).map(Next::Server);
        }
        let table = self.table(&call.service).ok_or(Refused::new(Reason::NoSuchService))?;
        let kind = call.class.kind.as_str();
        let mut choosing = table.lock();
        let Choosing { table, rng, .. } = &mut *choosing;
        let mut avoided = self.barred(call, table);
        avoided.extend(call.tried.iter().cloned());
        let busy_for = match table.choose_nearby(now, rng, &avoided, kind) {
            Nearby::Free(server) => return Ok(Next::Server(server)),
            Nearby::BusyFor(time) => Some(time),
            Nearby::None => None,
        };
        drop(choosing);
        match busy_for {
            Some(time) => Ok(Next::Later(time.clamp(OFFER_AGAIN_AFTER, OFFER_AGAIN_WITHIN))),
            None => self.choose(call).map(Next::Server),
        }
    }

    /// Chooses the backend server for the next attempt.
    ///
    /// # Errors
    ///
    /// Fails with the final refusal when there is none to go to.
    pub(super) fn choose(&self, call: &mut Call) -> Result<ServerId, Refused> {
        let table = self.table(&call.service).ok_or(Refused::new(Reason::NoSuchService))?;
        let now = self.clock.now();
        if call.deadline.remaining(now).is_none() {
            return Err(Refused::new(Reason::DeadlineBeforeStart));
        }
        let mut choosing = table.lock();
        let Choosing { table, rng, .. } = &mut *choosing;
        let barred = self.barred(call, table);
        if !barred.is_empty() && barred.len() == table.ids().count() {
            return Err(Refused::new(Reason::RegionNotAllowed));
        }
        if call.alone {
            let server = table.choose_isolated(now, call.identity.request, &barred);
            let server = server.ok_or(Refused::new(Reason::NoBackendServer))?;
            call.tried.push(server.name.clone());
            return Ok(server);
        }
        // When all were tried, the first may have a free slot by now.
        let tried: Vec<_> = barred.iter().chain(&call.tried).cloned().collect();
        let avoided: Vec<_> = tried.iter().chain(&call.busy).cloned().collect();
        let kind = call.class.kind.as_str();
        let free = match call.is_selective() {
            true => table.choose_free(now, rng, &avoided, kind),
            false => None,
        };
        let far = free.as_ref().is_some_and(|server| server.distance >= Distance::SameRegion);
        let within = self.worth_of_crossing(call);
        let near = match far {
            true => table.choose_near_within(now, rng, &tried, kind, within),
            false => None,
        };
        let server = match near.or(free) {
            Some(server) if far && server.distance < Distance::SameRegion => {
                call.selective_offers = 0;
                Some(server)
            }
            Some(server) => Some(server),
            None => {
                // None has room: it takes what it gets, from one that has not failed it yet.
                call.selective_offers = 0;
                let open = table.choose_not_full(now, rng, &tried, kind);
                let open = open.map_err(|retry_after| Refused {
                    retry_after,
                    ..Refused::new(Reason::QueueTooLong)
                })?;
                open.or_else(|| table.choose(now, rng, &barred))
            }
        };
        let server = server.ok_or(Refused::new(Reason::NoBackendServer))?;
        if !call.is_selective() {
            call.tried.push(server.name.clone());
        }
        Ok(server)
    }

    /// Returns how long a request rather waits in the own failure domain than leaves it: not for longer
    /// than that costs, and so that it may still go elsewhere when it has waited in vain.
    fn worth_of_crossing(&self, call: &Call) -> Duration {
        self.crossing_cost.min(self.wait_left(call).mul_f64(NEAR_WAIT_PART))
    }
}
