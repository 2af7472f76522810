//! Detects crashes of one backend server and the requests that were in flight at that time.
//!
//! A broken connection alone is no evidence: it may have been reset, or the response cut off.
//! A refused connection is none either: an overloaded server resets excess connections. A crash is
//! confirmed when no request that was in flight before is still in flight and, shortly after
//! connections broke, a new connection is refused, or repeatedly closed at once, or another
//! instance of the server reports.

use super::identity::Identity;
use super::record::CrashId;
use crate::units::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time within which a crash that is confirmed later explains a broken connection. Covers the
/// restart of a server and the first report of its new instance.
const CRASH_WINDOW: Duration = Duration::from_secs(5);
/// Shortest time in flight after which a lost request shows that the server was alive. A proxy in
/// front of a server that is down closes connections sooner.
const MIN_ALIVE: Duration = Duration::from_millis(20);
/// Like `CRASH_WINDOW`, for a request whose caller disconnected while it was in flight: it may
/// still have caused the crash.
const ABANDONED_WINDOW: Duration = Duration::from_secs(1);
/// Time after a confirmed crash within which further broken connections belong to it.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(1);
/// Largest number of unexplained requests kept; exceeds the slots of a backend server.
const MAX_UNEXPLAINED: usize = 256;

/// A request that was sent to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentRequest {
    /// Identity of the request.
    pub identity: Identity,
    /// Whether it runs in isolation: no other suspect request runs at that server.
    pub isolated: bool,
}

/// A confirmed crash and the requests that were in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Identifier of the crash.
    pub id: CrashId,
    /// Requests that were in flight.
    pub in_flight: Vec<SentRequest>,
}

struct LostRequest {
    sent_at: Timestamp,
    lost_at: Timestamp,
    expires_at: Timestamp,
    sent: SentRequest,
}

impl LostRequest {
    /// Returns whether the server was alive after `at`: the request was sent later and stayed in
    /// flight for a while.
    fn proves_alive_after(&self, at: Timestamp) -> bool {
        self.sent_at > at && self.lost_at.since(self.sent_at) >= MIN_ALIVE
    }
}

/// Crash detection state of one backend server.
#[derive(Default)]
pub struct CrashDetector {
    unexplained: Vec<LostRequest>,
    /// The last confirmed crash, until a response shows that the server is back.
    last_crash: Option<(Timestamp, CrashId)>,
    /// Time at which each request in flight was sent.
    in_flight: BTreeMap<Ticket, Timestamp>,
    next: Ticket,
    isolated: bool,
    probing: bool,
}

/// Identifies a request in flight at a backend server.
pub type Ticket = u64;

impl CrashDetector {
    /// Records that a request is sent.
    pub fn begin(&mut self, now: Timestamp) -> Ticket {
        self.next += 1;
        self.in_flight.insert(self.next, now);
        self.next
    }

    /// Records that a request is no longer in flight, whatever its outcome.
    pub fn finish(&mut self, ticket: Ticket) {
        self.in_flight.remove(&ticket);
    }

    /// Returns whether a request sent before connections broke is still in flight, which shows that
    /// the server is alive.
    pub fn has_survivor(&self) -> bool {
        let broke = self.unexplained.iter().map(|lost| lost.lost_at).min();
        broke.is_some_and(|broke| self.in_flight.values().any(|sent_at| *sent_at < broke))
    }

    /// Starts a probe for a crash; returns whether one is needed and none is running.
    pub fn begin_probe(&mut self, now: Timestamp) -> bool {
        self.has_unexplained(now) && !std::mem::replace(&mut self.probing, true)
    }

    /// Records that the probe has ended.
    pub fn end_probe(&mut self) {
        self.probing = false;
    }

    /// Acquires the single slot for a request in isolation; returns whether it was free.
    pub fn begin_isolated(&mut self) -> bool {
        !std::mem::replace(&mut self.isolated, true)
    }

    /// Releases the slot for a request in isolation.
    pub fn end_isolated(&mut self) {
        self.isolated = false;
    }

    /// Records that the connection of a request sent at `sent_at` broke. Returns the crash that
    /// explains it, if one is already confirmed.
    pub fn on_connection_broken(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        sent: SentRequest,
    ) -> Option<Crash> {
        let lost = LostRequest { sent_at, lost_at: now, expires_at: now + CRASH_WINDOW, sent };
        let confirmed = self.last_crash.filter(|(at, _)| now.since(*at) < SAME_CRASH_WINDOW);
        if let Some((_, id)) = confirmed.filter(|(at, _)| !lost.proves_alive_after(*at)) {
            return Some(Crash { id, in_flight: vec![sent] });
        }
        self.record_lost(lost);
        None
    }

    /// Records that the caller of a request sent at `sent_at` disconnected while it was in flight.
    pub fn on_caller_disconnected(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        sent: SentRequest,
    ) {
        self.record_lost(LostRequest {
            sent_at,
            lost_at: now,
            expires_at: now + ABANDONED_WINDOW,
            sent,
        });
    }

    /// Records a confirmed crash; `id` is used unless it is one already recorded. Returns the crash
    /// with the requests that it explains.
    pub fn on_crash(&mut self, now: Timestamp, id: CrashId) -> Option<Crash> {
        // A server that restarts and crashes before its first response has crashed twice.
        let was_alive_after =
            |at: &Timestamp| self.unexplained.iter().any(|lost| lost.proves_alive_after(*at));
        let known =
            self.last_crash.filter(|(at, _)| now.since(*at) < CRASH_WINDOW && !was_alive_after(at));
        let (at, id) = known.unwrap_or((now, id));
        self.last_crash = Some((at, id));
        self.expire(now);
        let in_flight: Vec<SentRequest> =
            self.unexplained.drain(..).map(|lost| lost.sent).collect();
        (!in_flight.is_empty()).then_some(Crash { id, in_flight })
    }

    /// Records a planned stop, which is no evidence against any request.
    pub fn on_planned_stop(&mut self) {
        self.unexplained.clear();
    }

    /// Records a response to a request sent at `sent_at`: the server was alive then, so connections
    /// that broke earlier were not broken by a crash. A response to an earlier request is no
    /// evidence, as it may have been read only after the crash.
    pub fn on_answer(&mut self, sent_at: Timestamp) {
        self.last_crash = self.last_crash.filter(|(at, _)| *at >= sent_at);
        self.unexplained.retain(|lost| lost.lost_at >= sent_at);
    }

    /// Returns whether there are broken connections that no crash explains yet.
    pub fn has_unexplained(&mut self, now: Timestamp) -> bool {
        self.expire(now);
        !self.unexplained.is_empty()
    }

    fn record_lost(&mut self, lost: LostRequest) {
        self.expire(lost.lost_at);
        if self.unexplained.len() < MAX_UNEXPLAINED {
            self.unexplained.push(lost);
        }
    }

    fn expire(&mut self, now: Timestamp) {
        self.unexplained.retain(|lost| now < lost.expires_at);
    }
}
