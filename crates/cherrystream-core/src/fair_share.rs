//! How much of each kind of request is let in, so that none gets in more often than more urgent ones do at
//! the services that it leads to.
//!
//! Where a service is short of room, calls by running requests go first there, for the runs that wait for
//! them would be wasted. So less urgent requests that were let in elsewhere take the room of more urgent
//! ones. They are turned down before they start instead, until both get in equally often.

use crate::units::Timestamp;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Time over which shares are averaged: long enough for some ten requests of a kind at the slowest daemon
/// of the users' deployments, which see two to five a second.
const MEMORY: Duration = Duration::from_secs(4);
/// Requests of a kind, within the memory, from which its share is believed.
const ENOUGH: f64 = 5.0;
/// By how much a less urgent kind may get in more often: less is noise of shares of so few requests.
const SLACK: f64 = 0.05;
/// Part of the requests that is turned down for each part by which they get in too often.
const GAIN: f64 = 3.0;
/// Part of the requests that is turned down at most, so that what is learned stays true.
const TURNED_DOWN_AT_MOST: f64 = 0.9;
/// Kinds that are remembered at most.
const KINDS_AT_MOST: usize = 256;

/// Requests of one kind at one service.
#[derive(Debug)]
struct Counts {
    service: Arc<str>,
    weight: u32,
    asked: f64,
    let_in: f64,
    at: Timestamp,
}

impl Counts {
    fn fade(&mut self, now: Timestamp) {
        let passed = now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64();
        let worth = (-passed).exp();
        self.asked *= worth;
        self.let_in *= worth;
        self.at = now;
    }

    fn share(&self, now: Timestamp) -> Option<f64> {
        let passed = now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64();
        (self.asked * (-passed).exp() >= ENOUGH).then(|| self.let_in / self.asked)
    }
}

/// Shares of what one daemon's callers ask for.
#[derive(Debug, Default)]
pub struct FairShare {
    by_kind: HashMap<Arc<str>, Counts>,
}

impl FairShare {
    /// Notes that a request of callers was let in at a service, or was turned down for want of room.
    pub fn on_outcome(
        &mut self,
        now: Timestamp,
        kind: &Arc<str>,
        service: &Arc<str>,
        weight: u32,
        let_in: bool,
    ) {
        if !self.by_kind.contains_key(kind) && self.by_kind.len() >= KINDS_AT_MOST {
            self.by_kind.retain(|_, counts| now.since(counts.at) < MEMORY);
            return;
        }
        let counts = self.by_kind.entry(kind.clone()).or_insert_with(|| Counts {
            service: service.clone(),
            weight,
            asked: 0.0,
            let_in: 0.0,
            at: now,
        });
        counts.fade(now);
        counts.service = service.clone();
        counts.weight = weight;
        counts.asked += 1.0;
        counts.let_in += f64::from(u8::from(let_in));
    }

    /// Returns the part of the requests of a kind to turn down: it gets in more often than more urgent
    /// ones at the services that it leads to.
    pub fn turned_down(&self, now: Timestamp, kind: &str, leads_to: &[Arc<str>]) -> f64 {
        let Some(own) = self.by_kind.get(kind) else { return 0.0 };
        let Some(own_share) = own.share(now) else { return 0.0 };
        let urgent = |c: &&Counts| c.weight > own.weight && leads_to.contains(&c.service);
        let shares = self.by_kind.values().filter(urgent).filter_map(|c| c.share(now));
        let least = shares.fold(1.0, f64::min);
        (GAIN * (own_share - least - SLACK)).clamp(0.0, TURNED_DOWN_AT_MOST)
    }
}
