//! Detects nested calls among the requests that reach a backend server.
//!
//! Requests of outside callers enter on the hosts of all services. If the hosts of some service
//! don't use a route although they use others, the route carries nested calls of the remaining
//! services.

use crate::units::Timestamp;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Requests of a route from which its distribution by service is used.
const MIN_REQUESTS: f64 = 12.0;
/// Probability, for a route of outside callers, that some service is absent by chance, below which
/// the route is considered one of nested calls.
const MAX_CHANCE: f64 = 0.01;
/// Time for which the result for a route is cached, as counts change slowly.
const RESULT_TTL: Duration = Duration::from_millis(100);
/// Share of one service from which only that service uses the route.
const MIN_OWN_SHARE: f64 = 0.97;
/// Share of the most frequent service up to which a route is shared by many.
const MAX_SHARED_SHARE: f64 = 0.7;
/// Half-life of the counts.
const HALF_LIFE: Duration = Duration::from_secs(16);

/// Requests of one route by the service on whose host they started.
#[derive(Debug, Default)]
struct RouteCounts {
    by_service: BTreeMap<Arc<str>, f64>,
    /// Whether a service is absent, and when that was determined.
    lacks_service: Option<(bool, Timestamp)>,
}

impl RouteCounts {
    fn total(&self) -> f64 {
        self.by_service.values().sum()
    }

    /// Returns the share of the most frequent service, if there are enough requests.
    fn largest_share(&self) -> Option<f64> {
        let total = self.total();
        let largest = self.by_service.values().copied().fold(0.0, f64::max);
        (total >= MIN_REQUESTS).then(|| largest / total)
    }
}

/// Requests of one backend server by route and calling service.
#[derive(Debug, Default)]
pub struct NestedCallDetector {
    routes: BTreeMap<Arc<str>, RouteCounts>,
    decayed_at: Timestamp,
}

impl NestedCallDetector {
    /// Records a request of a route that started on a host of `service`; returns whether it is
    /// considered a nested call.
    pub fn on_request(&mut self, now: Timestamp, route: &Arc<str>, service: &Arc<str>) -> bool {
        self.decay(now);
        let counts = self.routes.entry(route.clone()).or_default();
        *counts.by_service.entry(service.clone()).or_default() += 1.0;
        (self.is_own_route(route) && self.any_is_shared()) || self.lacks_service_cached(now, route)
    }

    /// Returns whether a service is absent on a route; caches the result.
    fn lacks_service_cached(&mut self, now: Timestamp, route: &Arc<str>) -> bool {
        let cached = self.routes.get(route).and_then(|counts| counts.lacks_service);
        if let Some((lacks_service, at)) = cached
            && now.since(at) < RESULT_TTL
        {
            return lacks_service;
        }
        let lacks_service = self.compute_lacks_service(route);
        if let Some(counts) = self.routes.get_mut(route) {
            counts.lacks_service = Some((lacks_service, now));
        }
        lacks_service
    }

    /// Returns whether a service whose hosts use other routes is absent on this one beyond chance.
    fn compute_lacks_service(&self, route: &Arc<str>) -> bool {
        let Some(counts) = self.routes.get(route) else { return false };
        let shared = self.shared_routes_except(route);
        let all = shared.total();
        // Any of the services may be absent by chance.
        let chance = MAX_CHANCE / shared.by_service.len().max(1) as f64;
        let is_absent = |(service, count): (&Arc<str>, &f64)| {
            let found = counts.by_service.get(service).copied().unwrap_or_default();
            let share = count / all;
            let is_stray = found < share * counts.total() * (1.0 - MIN_OWN_SHARE);
            is_stray && (1.0 - share).powf(counts.total()) < chance
        };
        all >= MIN_REQUESTS && shared.by_service.iter().any(is_absent)
    }

    /// Returns the total of the other routes that are shared by many services.
    fn shared_routes_except(&self, route: &Arc<str>) -> RouteCounts {
        let mut shared = RouteCounts::default();
        let is_shared = |counts: &RouteCounts| {
            counts.largest_share().is_some_and(|share| share <= MAX_SHARED_SHARE)
        };
        let others =
            self.routes.iter().filter(|(name, counts)| *name != route && is_shared(counts));
        for (_, counts) in others {
            for (service, count) in &counts.by_service {
                *shared.by_service.entry(service.clone()).or_default() += count;
            }
        }
        shared
    }

    fn is_own_route(&self, route: &Arc<str>) -> bool {
        let share = self.routes.get(route).and_then(RouteCounts::largest_share);
        share.is_some_and(|share| share >= MIN_OWN_SHARE)
    }

    fn any_is_shared(&self) -> bool {
        let mut shares = self.routes.values().filter_map(RouteCounts::largest_share);
        shares.any(|share| share <= MAX_SHARED_SHARE)
    }

    fn decay(&mut self, now: Timestamp) {
        if now.since(self.decayed_at) < HALF_LIFE {
            return;
        }
        self.decayed_at = now;
        for counts in self.routes.values_mut() {
            counts.by_service.values_mut().for_each(|count| *count /= 2.0);
            counts.by_service.retain(|_, count| *count >= 0.5);
        }
        self.routes.retain(|_, counts| !counts.by_service.is_empty());
    }
}
