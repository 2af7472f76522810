//! Choice of a backend server: the state that an outbound keeps for each, and the policies.

mod policies;
mod refusals;
mod server;

pub use policies::{Choose, policy};
pub use server::{CallId, Distance, Server, ServerId};

use crate::suspects::{self, Fingerprint};
use crate::units::Timestamp;
use rand::rngs::SmallRng;
use std::sync::Arc;
use std::time::Duration;

/// Backend servers of one service with the state that an outbound keeps for each.
pub struct ServerTable {
    servers: Vec<Server>,
    choose: Box<dyn Choose + Send>,
}

impl ServerTable {
    /// Creates an empty table with a policy.
    pub fn new(choose: Box<dyn Choose + Send>) -> ServerTable {
        ServerTable { servers: Vec::new(), choose }
    }

    /// Replaces the list of backend servers. Instances that remain keep their state.
    pub fn set_servers(&mut self, ids: Vec<ServerId>) {
        let mut old = std::mem::take(&mut self.servers);
        for id in ids {
            let position = old.iter().position(|s| s.id.is_same_instance(&id));
            match position {
                Some(i) => {
                    let mut server = old.swap_remove(i);
                    server.id = id;
                    self.servers.push(server);
                }
                None => self.servers.push(Server::new(id)),
            }
        }
    }

    /// Chooses a backend server that has not been tried.
    pub fn choose(
        &mut self,
        now: Timestamp,
        rng: &mut SmallRng,
        tried: &[Arc<str>],
    ) -> Option<ServerId> {
        let untried = |s: &&Server| !tried.contains(&s.id.name) && !s.id.out;
        let all: Vec<&Server> = self.servers.iter().filter(untried).collect();
        let open: Vec<&Server> = all.iter().copied().filter(|s| s.accepts_work(now)).collect();
        // If none seems to accept work, the state may be stale. A refused hop costs little.
        let from = if open.is_empty() { all } else { open };
        let chosen = self.choose.choose(now, rng, &from)?;
        from.get(chosen).map(|s| s.id.clone())
    }

    /// Chooses a backend server that is not considered busy, so that no hop is wasted.
    ///
    /// Healthy servers of this failure domain are preferred. Their inbound refuses the request if
    /// it could not be served in time.
    pub fn choose_free(
        &mut self,
        now: Timestamp,
        rng: &mut SmallRng,
        tried: &[Arc<str>],
        kind: &str,
    ) -> Option<ServerId> {
        let is_free = |s: &Server| !s.is_busy(now, kind);
        let free = candidates(&self.servers, now, tried, is_free);
        let near: Vec<&Server> =
            free.iter().copied().filter(|s| s.is_near() && s.is_healthy(now)).collect();
        let from = if near.is_empty() { free } else { near };
        let chosen = self.choose.choose(now, rng, &from)?;
        from.get(chosen).map(|s| s.id.clone())
    }

    /// Chooses a healthy backend server of this failure domain, or returns how long all of them
    /// are considered busy.
    pub fn choose_nearby(
        &mut self,
        now: Timestamp,
        rng: &mut SmallRng,
        tried: &[Arc<str>],
        kind: &str,
    ) -> Nearby {
        let near = candidates(&self.servers, now, tried, |s| s.is_near() && s.is_healthy(now));
        let is_free = |s: &&Server| !s.is_busy(now, kind);
        let free: Vec<&Server> = near.iter().copied().filter(is_free).collect();
        let chosen = self.choose.choose(now, rng, &free).and_then(|i| free.get(i));
        if let Some(server) = chosen {
            return Nearby::Free(server.id.clone());
        }
        let soonest = near.iter().map(|s| s.busy_for(now, kind)).min();
        soonest.map_or(Nearby::None, Nearby::BusyFor)
    }

    /// Chooses a backend server of this failure domain where a queued request starts within the
    /// given time.
    pub fn choose_near_within(
        &mut self,
        now: Timestamp,
        rng: &mut SmallRng,
        tried: &[Arc<str>],
        kind: &str,
        within: Duration,
    ) -> Option<ServerId> {
        let fits = |s: &Server| s.is_near() && s.can_serve_within(now, kind, within);
        let from = candidates(&self.servers, now, tried, fits);
        let chosen = self.choose.choose(now, rng, &from)?;
        from.get(chosen).map(|s| s.id.clone())
    }

    /// Chooses a backend server whose queue is not considered full.
    ///
    /// # Errors
    ///
    /// Fails if all queues are considered full, with the time until the first may have space.
    pub fn choose_not_full(
        &mut self,
        now: Timestamp,
        rng: &mut SmallRng,
        tried: &[Arc<str>],
        kind: &str,
    ) -> Result<Option<ServerId>, Duration> {
        let full_for = |s: &Server| s.full_for(now, kind);
        let full: Vec<Arc<str>> = self
            .servers
            .iter()
            .filter(|s| !full_for(s).is_zero())
            .map(|s| s.id.name.clone())
            .collect();
        let avoided: Vec<Arc<str>> = full.iter().chain(tried).cloned().collect();
        let chosen = match self.first_token(now, &avoided) {
            Some(limited) => Some(limited),
            None => self.choose_unlimited(now, rng, avoided),
        };
        let soonest = self.servers.iter().map(full_for).filter(|d| !d.is_zero()).min();
        match (chosen, soonest) {
            (None, Some(soonest)) => Err(soonest),
            (chosen, _) => Ok(chosen),
        }
    }

    /// Returns whether rate limits are expected to refuse a request at all backend servers.
    pub fn all_limited(&self, now: Timestamp, excluded: &[Arc<str>]) -> bool {
        self.first_token(now, excluded).is_some()
    }

    /// Returns the backend server whose rate limit lets a request through first, if all that accept
    /// work are limited.
    fn first_token(&self, now: Timestamp, excluded: &[Arc<str>]) -> Option<ServerId> {
        if self.servers.iter().all(|s| s.limited_for(now).is_zero()) {
            return None;
        }
        let open = candidates(&self.servers, now, excluded, |_| true);
        let first = open.into_iter().min_by_key(|s| s.limited_for(now))?;
        (!first.limited_for(now).is_zero()).then(|| first.id.clone())
    }

    /// Chooses a backend server that no rate limit holds back.
    fn choose_unlimited(
        &mut self,
        now: Timestamp,
        rng: &mut SmallRng,
        mut avoided: Vec<Arc<str>>,
    ) -> Option<ServerId> {
        let limited = self.servers.iter().filter(|s| !s.limited_for(now).is_zero());
        avoided.extend(limited.map(|s| s.id.name.clone()));
        self.choose(now, rng, &avoided)
    }

    /// Chooses the backend server on which a suspect request runs in isolation, except barred ones.
    ///
    /// The choice is deterministic: daemons with the same list that consider the same servers
    /// available choose the same one.
    pub fn choose_isolated(
        &self,
        now: Timestamp,
        request: Fingerprint,
        barred: &[Arc<str>],
    ) -> Option<ServerId> {
        let may = |s: &&Server| !s.id.out && s.accepts_work(now) && !barred.contains(&s.id.name);
        let open = self.servers.iter().filter(may);
        let chosen = open.max_by_key(|s| suspects::weight(request, &s.id.host))?;
        Some(chosen.id.clone())
    }

    /// Returns the names of the backend servers that are leaving and must not be used. If no other
    /// one is in service, those that have been leaving for less than `grace` may be used.
    pub fn closed_by_leaving(
        &self,
        now: Timestamp,
        grace: Duration,
        excluded: &[Arc<str>],
    ) -> Vec<Arc<str>> {
        let leaving = self.servers.iter().filter(|s| s.leaving_since(now).is_some());
        let mut leaving = leaving.peekable();
        if leaving.peek().is_none() {
            return Vec::new();
        }
        let stays = |s: &Server| {
            s.leaving_since(now).is_none() && !s.id.out && !excluded.contains(&s.id.name)
        };
        let grace = if self.servers.iter().any(stays) { Duration::ZERO } else { grace };
        let is_over =
            |s: &&Server| s.leaving_since(now).is_some_and(|since| now.since(since) >= grace);
        leaving.filter(is_over).map(|s| s.id.name.clone()).collect()
    }

    /// Returns the identities of all backend servers.
    pub fn ids(&self) -> impl Iterator<Item = &ServerId> {
        self.servers.iter().map(|server| &server.id)
    }

    /// Returns the state of a backend server by name.
    pub fn server(&mut self, name: &str) -> Option<&mut Server> {
        self.servers.iter_mut().find(|s| &*s.id.name == name)
    }
}

/// Availability of backend servers in this failure domain.
#[derive(Clone, Debug, PartialEq)]
pub enum Nearby {
    /// A backend server that is not considered busy.
    Free(ServerId),
    /// All healthy ones are considered busy for at least this time.
    BusyFor(Duration),
    /// There is no healthy one.
    None,
}

/// Returns the backend servers that accept work, were not tried, and fit.
fn candidates<'a>(
    servers: &'a [Server],
    now: Timestamp,
    tried: &[Arc<str>],
    fits: impl Fn(&Server) -> bool,
) -> Vec<&'a Server> {
    let untried = |s: &Server| !tried.contains(&s.id.name) && !s.id.out;
    let eligible = |s: &&Server| untried(s) && s.accepts_work(now) && fits(s);
    servers.iter().filter(eligible).collect()
}
