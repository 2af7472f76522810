//! What this daemon knows of trees of calls, shared by its inbound and its outbound.

use cherrystream_core::call_trees::CallTrees;
use cherrystream_core::fair_share::FairShare;
use cherrystream_net::clock::Clock;
use parking_lot::Mutex;
use rand::Rng;
use std::sync::Arc;

/// Trees of calls, and what callers get. Its locks are taken with no other lock.
#[derive(Debug)]
pub struct Trees {
    clock: Clock,
    calls: Mutex<CallTrees>,
    shares: Mutex<FairShare>,
}

/// A request whose fate counts for the shares.
#[derive(Clone, Copy, Debug)]
pub struct Asked<'a> {
    /// Route or kind.
    pub kind: &'a Arc<str>,
    /// Service that it is for.
    pub service: &'a Arc<str>,
    /// Weight when load is shed.
    pub weight: u32,
}

impl Trees {
    /// Creates one that knows nothing.
    pub fn new(clock: Clock) -> Trees {
        Trees { clock, calls: Mutex::default(), shares: Mutex::default() }
    }

    /// Notes that a run begins; it ends when the result is dropped.
    pub fn begin_run(self: &Arc<Self>, kind: Arc<str>) -> Run {
        self.calls.lock().on_run(self.clock.now(), &kind);
        Run { trees: self.clone(), kind }
    }

    /// Notes a request that begins on this host.
    pub fn on_request(&self, kind: &str, service: &Arc<str>) {
        self.calls.lock().on_request(self.clock.now(), kind, service);
    }

    /// Notes that a request that began here was taken for a call by a run.
    pub fn on_called(&self, kind: &Arc<str>, leads_to: &[Arc<str>]) {
        self.calls.lock().on_called(self.clock.now(), kind, leads_to);
    }

    /// Returns whether requests of a kind that begin here are taken for calls by runs.
    pub fn is_called(&self, kind: &str) -> bool {
        self.calls.lock().is_called(kind)
    }

    /// Notes what became of a caller's request.
    pub fn on_outcome(&self, asked: Asked<'_>, let_in: bool) {
        let now = self.clock.now();
        let Asked { kind, service, weight } = asked;
        // Calls go before all others, so their share tells nothing.
        if self.is_called(kind) {
            return;
        }
        self.shares.lock().on_outcome(now, kind, service, weight, let_in);
    }

    /// Returns the services that runs of a kind lead to.
    pub fn leads_to(&self, kind: &str) -> Vec<Arc<str>> {
        self.calls.lock().leads_to(self.clock.now(), kind)
    }

    /// Decides whether a request of a kind is turned down because more urgent ones do not get in where it
    /// leads to.
    pub fn turns_down(&self, kind: &str) -> bool {
        let leads_to = self.leads_to(kind);
        if leads_to.is_empty() {
            return false;
        }
        let part = self.shares.lock().turned_down(self.clock.now(), kind, &leads_to);
        part > 0.0 && rand::rng().random_bool(part)
    }
}

/// A run at the backend server beside this daemon.
#[derive(Debug)]
pub struct Run {
    trees: Arc<Trees>,
    kind: Arc<str>,
}

impl Drop for Run {
    fn drop(&mut self) {
        self.trees.calls.lock().on_run_end(self.trees.clock.now(), &self.kind);
    }
}
