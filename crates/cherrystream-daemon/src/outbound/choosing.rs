//! Choice of the backend server for the next attempt.

use super::request::Call;
use super::{Outbound, ServiceBalancer};
use crate::refusal::Refused;
use cherrystream_core::choose::{Distance, Nearby, ServerId};
use cherrystream_core::reasons::Reason;
use std::time::Duration;

/// Share of the remaining queue wait that a request may spend in its own failure domain.
const MAX_NEAR_WAIT_SHARE: f64 = 0.5;
/// Shortest interval between offers of a request in its own failure domain.
const MIN_OFFER_INTERVAL: Duration = Duration::from_millis(20);
/// Longest interval between such offers. A slow backend server is asked for its slowness as often.
const MAX_OFFER_INTERVAL: Duration = Duration::from_millis(60);

/// Next step of a request.
pub(super) enum Choice {
    /// Send it to this backend server now.
    Server(ServerId),
    /// Choose again after this time.
    Wait(Duration),
}

impl Outbound {
    /// Chooses the next step. A request with a long body stays in its own failure domain for a
    /// limited time.
    ///
    /// # Errors
    ///
    /// Returns the final refusal if no backend server is available.
    pub(super) fn choose_next(&self, call: &mut Call) -> Result<Choice, Refused> {
        let now = self.clock.now();
        if let Some(server) = self.choose_canary(call, now) {
            return Ok(Choice::Server(server));
        }
        if call.alone || !call.stays_nearby(now) {
            return self.choose(call).map(Choice::Server);
        }
        let balancer = self.balancer(&call.service).ok_or(Refused::new(Reason::NoSuchService))?;
        let kind = call.class.kind.as_str();
        let mut balancer = balancer.lock();
        let ServiceBalancer { table, rng, .. } = &mut *balancer;
        let mut excluded = self.excluded_servers(call, table);
        excluded.extend(call.tried.iter().cloned());
        let busy_for = match table.choose_nearby(now, rng, &excluded, kind) {
            Nearby::Free(server) => return Ok(Choice::Server(server)),
            Nearby::BusyFor(time) => Some(time),
            Nearby::None => None,
        };
        drop(balancer);
        match busy_for {
            Some(time) => Ok(Choice::Wait(time.clamp(MIN_OFFER_INTERVAL, MAX_OFFER_INTERVAL))),
            None => self.choose(call).map(Choice::Server),
        }
    }

    /// Chooses the backend server for the next attempt.
    ///
    /// # Errors
    ///
    /// Returns the final refusal if no backend server is available.
    pub(super) fn choose(&self, call: &mut Call) -> Result<ServerId, Refused> {
        let balancer = self.balancer(&call.service).ok_or(Refused::new(Reason::NoSuchService))?;
        let now = self.clock.now();
        if call.deadline.remaining(now).is_none() {
            return Err(Refused::new(Reason::DeadlineBeforeStart));
        }
        let mut balancer = balancer.lock();
        let ServiceBalancer { table, rng, .. } = &mut *balancer;
        let mut disallowed = self.disallowed_servers(call, table);
        if !disallowed.is_empty() && disallowed.len() == table.ids().count() {
            return Err(Refused::new(Reason::RegionNotAllowed));
        }
        self.add_leaving_servers(table, &mut disallowed);
        if call.alone {
            let server = table.choose_isolated(now, call.identity.request, &disallowed);
            let server = server.ok_or(Refused::new(Reason::NoBackendServer))?;
            call.tried.push(server.name.clone());
            return Ok(server);
        }
        // Once all were tried, the first may have a free slot again.
        let tried: Vec<_> = disallowed.iter().chain(&call.tried).cloned().collect();
        let excluded: Vec<_> = tried.iter().chain(&call.busy).cloned().collect();
        let kind = call.class.kind.as_str();
        let free = match call.is_selective() {
            true => table.choose_free(now, rng, &excluded, kind),
            false => None,
        };
        let is_far = free.as_ref().is_some_and(|server| server.distance >= Distance::SameRegion);
        let max_wait = self.max_near_wait(call);
        let near = match is_far {
            true => table.choose_near_within(now, rng, &tried, kind, max_wait),
            false => None,
        };
        let server = match near.or(free) {
            Some(server) if is_far && server.distance < Distance::SameRegion => {
                call.selective_offers = 0;
                Some(server)
            }
            Some(server) => Some(server),
            None => {
                // None has a free slot: queues at one that has not failed this request.
                call.selective_offers = 0;
                let open = table.choose_not_full(now, rng, &tried, kind);
                let open = open.map_err(|retry_after| Refused {
                    retry_after,
                    ..Refused::new(Reason::QueueTooLong)
                })?;
                open.or_else(|| table.choose(now, rng, &disallowed))
            }
        };
        let server = server.ok_or(Refused::new(Reason::NoBackendServer))?;
        if !call.is_selective() {
            call.tried.push(server.name.clone());
        }
        Ok(server)
    }

    /// Returns the longest wait for a slot in the own failure domain: at most the cost of leaving
    /// it, and short enough to leave time for an attempt elsewhere.
    fn max_near_wait(&self, call: &Call) -> Duration {
        self.crossing_cost.min(self.remaining_wait(call).mul_f64(MAX_NEAR_WAIT_SHARE))
    }
}
