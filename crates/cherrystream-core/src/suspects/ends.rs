//! Finds out at one door that its backend server has ended, and which requests were at work there.
//!
//! A broken connection alone proves nothing: it may have been reset, or the answer was broken off. Nor does it when the server takes no
//! other one at that moment: some are full and reset all that is too much. An end is proved when nothing that was at work before is at
//! work any more, and soon after connections broke another one is refused, or closed at once time and again, or another run of the
//! server is heard of.

use super::identity::Identity;
use super::record::EndId;
use crate::units::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a broken connection may still be explained by an end: within it another run of the server is heard of. On the day
/// on which this was first seen, servers reported again 3.0 to 3.5 s after they had ended.
const EXPLAINED_WITHIN: Duration = Duration::from_secs(5);
/// Time for which a request was at work from which the server is taken to have lived: whoever passes connections on for one that is
/// down closes them sooner.
const LIVED_FOR: Duration = Duration::from_millis(20);
/// As `EXPLAINED_WITHIN`, for a request whose caller left while it was at work: a caller that leaves early is not proved innocent.
const LEFT_WITHIN: Duration = Duration::from_secs(1);
/// Time after a proved end in which other connections are noticed to have broken with it.
const NOTICED_WITHIN: Duration = Duration::from_secs(1);
/// Requests remembered at most: several times the slots of a backend server.
const REMEMBERED_AT_MOST: usize = 256;

/// A request at work at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sent {
    /// The request.
    pub identity: Identity,
    /// Whether it runs alone: no other request that is known for ends runs there.
    pub alone: bool,
}

/// A proved end, with the requests that were at work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// The end.
    pub id: EndId,
    /// Requests that were at work.
    pub at_work: Vec<Sent>,
}

struct Unexplained {
    sent_at: Timestamp,
    since: Timestamp,
    until: Timestamp,
    sent: Sent,
}

impl Unexplained {
    /// Returns whether it shows that the server lived after a time: it was sent later, and at work for a while.
    fn shows_life_after(&self, at: Timestamp) -> bool {
        self.sent_at > at && self.since.since(self.sent_at) >= LIVED_FOR
    }
}

/// What one door knows of ends.
#[derive(Default)]
pub struct Ends {
    unexplained: Vec<Unexplained>,
    /// The last proved end, until an answer shows that the server is there again.
    last: Option<(Timestamp, EndId)>,
    /// When each request at work was sent.
    at_work: BTreeMap<Ticket, Timestamp>,
    next: Ticket,
    alone: bool,
    looking: bool,
}

/// Names a request at work at a door.
pub type Ticket = u64;

impl Ends {
    /// Notes that a request is sent.
    pub fn begin(&mut self, now: Timestamp) -> Ticket {
        self.next += 1;
        self.at_work.insert(self.next, now);
        self.next
    }

    /// Notes that a request is not at work any more, whatever became of it.
    pub fn leave(&mut self, ticket: Ticket) {
        self.at_work.remove(&ticket);
    }

    /// Returns whether a request is still at work that was so when connections broke: the server is there.
    pub fn has_survivor(&self) -> bool {
        let broke = self.unexplained.iter().map(|broken| broken.since).min();
        broke.is_some_and(|broke| self.at_work.values().any(|sent_at| *sent_at < broke))
    }

    /// Returns whether somebody has to look for the proof of an end, and nobody does.
    pub fn begin_look(&mut self, now: Timestamp) -> bool {
        self.wants_proof(now) && !std::mem::replace(&mut self.looking, true)
    }

    /// Notes that nobody looks any more.
    pub fn end_look(&mut self) {
        self.looking = false;
    }

    /// Takes the place of the one request that may run alone; returns whether it was free.
    pub fn begin_alone(&mut self) -> bool {
        !std::mem::replace(&mut self.alone, true)
    }

    /// Frees the place of the request that ran alone.
    pub fn end_alone(&mut self) {
        self.alone = false;
    }

    /// Notes that the connection under a request that was sent at a time broke. Returns the end that explains it, where that is proved
    /// already.
    pub fn on_broke(&mut self, now: Timestamp, sent_at: Timestamp, sent: Sent) -> Option<Ended> {
        let broken = Unexplained { sent_at, since: now, until: now + EXPLAINED_WITHIN, sent };
        let proved = self.last.filter(|(at, _)| now.since(*at) < NOTICED_WITHIN);
        if let Some((_, id)) = proved.filter(|(at, _)| !broken.shows_life_after(*at)) {
            return Some(Ended { id, at_work: vec![sent] });
        }
        self.remember(broken);
        None
    }

    /// Notes that the caller of a request that was sent at a time left while it was at work.
    pub fn on_left(&mut self, now: Timestamp, sent_at: Timestamp, sent: Sent) {
        self.remember(Unexplained { sent_at, since: now, until: now + LEFT_WITHIN, sent });
    }

    /// Notes the proof that the server has ended; `id` is used if this is news. Returns the end with the requests that it explains.
    pub fn on_ended(&mut self, now: Timestamp, id: EndId) -> Option<Ended> {
        // A server that is back and ends at once, before it has answered anything, has ended twice.
        let lived = |at: &Timestamp| self.unexplained.iter().any(|b| b.shows_life_after(*at));
        let known = self.last.filter(|(at, _)| now.since(*at) < EXPLAINED_WITHIN && !lived(at));
        let (at, id) = known.unwrap_or((now, id));
        self.last = Some((at, id));
        self.forget_late(now);
        let at_work: Vec<Sent> = self.unexplained.drain(..).map(|broken| broken.sent).collect();
        (!at_work.is_empty()).then_some(Ended { id, at_work })
    }

    /// Notes an end that was planned: it is nobody's fault.
    pub fn on_planned_end(&mut self) {
        self.unexplained.clear();
    }

    /// Notes an answer to a request that was sent at a time: the server was there then, and what broke before broke by itself. An
    /// answer to an earlier one proves nothing: it may have been read only after the end.
    pub fn on_answer(&mut self, sent_at: Timestamp) {
        self.last = self.last.filter(|(at, _)| *at >= sent_at);
        self.unexplained.retain(|broken| broken.since >= sent_at);
    }

    /// Returns whether connections have broken that nothing explains yet.
    pub fn wants_proof(&mut self, now: Timestamp) -> bool {
        self.forget_late(now);
        !self.unexplained.is_empty()
    }

    fn remember(&mut self, broken: Unexplained) {
        self.forget_late(broken.since);
        if self.unexplained.len() < REMEMBERED_AT_MOST {
            self.unexplained.push(broken);
        }
    }

    fn forget_late(&mut self, now: Timestamp) {
        self.unexplained.retain(|broken| now < broken.until);
    }
}
