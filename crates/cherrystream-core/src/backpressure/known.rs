//! What an outbound knows of the signals of backend servers, and brings along with its requests.
//!
//! The daemon beside a backend server forgets them when it is restarted; an outbound that has passed
//! them on to callers still has to observe them.

use super::UNREGISTERED_LEAVING_TTL;
use super::signals::RateLimit;
use crate::units::Timestamp;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Time for which an instance that is no longer listed is remembered.
const RETENTION: Duration = Duration::from_secs(60);

/// Identity of one run of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct InstanceKey {
    /// Its service.
    pub service: Arc<str>,
    /// Its name in the service.
    pub name: Arc<str>,
    /// Unix time in milliseconds at which it started; 0 if not reported.
    pub born_ms: u64,
}

/// Signals of a backend server, sent by the daemon beside it with its answers.
#[derive(Clone, Debug, PartialEq)]
pub struct SignalReport {
    /// The instance that states them.
    pub instance: InstanceKey,
    /// Rate limit that it states.
    pub limit: Option<RateLimit>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Time until the limit lets another request through.
    pub token_wait: Duration,
}

/// What an outbound knows of a backend server, sent along with a request.
#[derive(Clone, Debug, PartialEq)]
pub struct SignalHint {
    /// The instance.
    pub instance: InstanceKey,
    /// Rate limit that it stated last.
    pub limit: Option<RateLimit>,
    /// Whether it is leaving.
    pub leaving: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    limit: Option<RateLimit>,
    /// When an answer last stated the limit.
    limit_stated_at: Timestamp,
    /// When it became known that the instance is leaving.
    leaving_since: Option<Timestamp>,
    last_listed_at: Timestamp,
}

/// Signals of the instances that state any.
#[derive(Debug, Default)]
pub struct KnownSignals {
    entries: HashMap<InstanceKey, Entry>,
}

impl KnownSignals {
    /// Handles the signals sent with an answer or a refusal.
    pub fn on_report(&mut self, now: Timestamp, report: &SignalReport) {
        let entry = self.entries.entry(report.instance.clone()).or_default();
        entry.last_listed_at = now;
        entry.limit = report.limit;
        entry.limit_stated_at = now;
        if report.leaving {
            entry.leaving_since.get_or_insert(now);
        }
    }

    /// Handles an answer of a backend server to a request sent at `sent_at` that came without
    /// signals: its limit has ended. A limit that was stated in the meantime stays.
    pub fn on_no_signals(&mut self, sent_at: Timestamp, instance: &InstanceKey) {
        let Some(entry) = self.entries.get_mut(instance) else { return };
        if sent_at <= entry.limit_stated_at {
            return;
        }
        entry.limit = None;
        if entry.leaving_since.is_none() {
            self.entries.remove(instance);
        }
    }

    /// Records that the configuration lists an instance as leaving.
    pub fn on_listed_leaving(&mut self, now: Timestamp, instance: InstanceKey) {
        let entry = self.entries.entry(instance).or_default();
        entry.last_listed_at = now;
        entry.leaving_since.get_or_insert(now);
    }

    /// Forgets instances that have not been listed for a while.
    pub fn retain_listed(&mut self, now: Timestamp, is_listed: impl Fn(&InstanceKey) -> bool) {
        self.entries.retain(|instance, entry| {
            if is_listed(instance) {
                entry.last_listed_at = now;
            }
            now.since(entry.last_listed_at) < RETENTION
        });
    }

    /// Returns whether nothing is known of any instance.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the instances that are known to be leaving, and since when.
    pub fn leaving(&self) -> impl Iterator<Item = (&InstanceKey, Timestamp)> {
        let leaving = |(instance, entry): (_, &Entry)| Some((instance, entry.leaving_since?));
        self.entries.iter().filter_map(leaving)
    }

    /// Returns what to send along with a request to an instance. One that is not `registered` is
    /// considered leaving for a limited time.
    pub fn hint(
        &self,
        now: Timestamp,
        instance: &InstanceKey,
        registered: bool,
    ) -> Option<SignalHint> {
        let Entry { limit, leaving_since, last_listed_at, .. } = self.entries.get(instance)?;
        let is_same_run = registered || now.since(*last_listed_at) < UNREGISTERED_LEAVING_TTL;
        let leaving = leaving_since.is_some() && is_same_run;
        let is_useful = limit.is_some() || leaving;
        is_useful.then(|| SignalHint { instance: instance.clone(), limit: *limit, leaving })
    }
}
