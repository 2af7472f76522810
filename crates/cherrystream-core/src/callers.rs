//! Tells calls by running requests from requests of callers, at the backend server that they reach.
//!
//! Callers come in on the hosts of all services; a route that only one service's hosts use, beside
//! others that many use, is one by which that service's backend servers call.

use crate::units::Timestamp;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Requests of a route from which its share by service tells something.
const ENOUGH: f64 = 12.0;
/// Share of one service from which a route counts as that service's own.
const OWN_FROM: f64 = 0.97;
/// Share of the most frequent service up to which a route counts as everybody's.
const SHARED_UP_TO: f64 = 0.7;
/// Time after which half of what was seen is forgotten.
const HALF_LIFE: Duration = Duration::from_secs(8);

/// Requests of one route by the service on whose host they began.
#[derive(Debug, Default)]
struct Seen {
    by_service: BTreeMap<Arc<str>, f64>,
}

impl Seen {
    fn total(&self) -> f64 {
        self.by_service.values().sum()
    }

    /// Returns the share of the most frequent service, once enough was seen.
    fn largest_share(&self) -> Option<f64> {
        let total = self.total();
        let largest = self.by_service.values().copied().fold(0.0, f64::max);
        (total >= ENOUGH).then(|| largest / total)
    }
}

/// What one backend server sees of its callers.
#[derive(Debug, Default)]
pub struct Callers {
    routes: BTreeMap<Arc<str>, Seen>,
    at: Timestamp,
}

impl Callers {
    /// Notes a request of a route that began on a host of a service; returns whether it is taken
    /// for a call by a running request.
    pub fn on_request(&mut self, now: Timestamp, route: &Arc<str>, service: &Arc<str>) -> bool {
        self.forget(now);
        let seen = self.routes.entry(route.clone()).or_default();
        *seen.by_service.entry(service.clone()).or_default() += 1.0;
        self.is_own(route) && self.some_is_shared()
    }

    fn is_own(&self, route: &Arc<str>) -> bool {
        let share = self.routes.get(route).and_then(Seen::largest_share);
        share.is_some_and(|share| share >= OWN_FROM)
    }

    fn some_is_shared(&self) -> bool {
        let mut shares = self.routes.values().filter_map(Seen::largest_share);
        shares.any(|share| share <= SHARED_UP_TO)
    }

    fn forget(&mut self, now: Timestamp) {
        if now.since(self.at) < HALF_LIFE {
            return;
        }
        self.at = now;
        for seen in self.routes.values_mut() {
            seen.by_service.values_mut().for_each(|count| *count /= 2.0);
            seen.by_service.retain(|_, count| *count >= 0.5);
        }
        self.routes.retain(|_, seen| !seen.by_service.is_empty());
    }
}
