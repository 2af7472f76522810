//! Send queue to one replica: short messages, and long ones that are sent in pieces.

use super::content::{self, Content, Span};
use crate::raft;
use crate::units::Timestamp;
use cherrystream_schema::messages::{RaftBody, RaftMessage};
use std::collections::VecDeque;
use std::time::Duration;

/// Largest estimated size in bytes of entries among the short messages. More are sent in pieces.
/// They take 190 ms on a link of 340 KB a second.
const MAX_SHORT_BYTES: usize = 64 * 1024;
/// Smallest value to which failed calls reduce the limit for entries among the short messages.
const MIN_SHORT_BYTES: usize = 4 * 1024;
/// Largest number of queued short messages. Raft sends dropped ones again.
const MAX_SHORT_MESSAGES: usize = 4_096;
/// Largest number of short messages in one call.
const MAX_CALL_MESSAGES: usize = 64;
/// Largest estimated size in bytes of queued long messages. A single message may exceed it.
const MAX_LANE_BYTES: usize = 4 << 20;
/// Largest estimated size in bytes of queued messages joined to one.
const MAX_JOINED_BYTES: usize = 256 * 1024;
/// Time for which delivered entries are not sent again: the replica writes them to its disk before
/// it acknowledges them. The log sends unacknowledged entries again after the same time.
const ENTRIES_ACK_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a delivered snapshot is not sent again: the replica reads and writes all of it.
const SNAPSHOT_ACK_TIMEOUT: Duration = Duration::from_secs(2);

/// The transfer in flight.
#[derive(Debug)]
struct InFlight {
    content: Content,
    share_left: f64,
    abandoned: bool,
}

/// Send queue to one replica.
#[derive(Debug)]
pub struct Outbox {
    short: VecDeque<RaftMessage>,
    /// Bytes of entries among the short messages, queued or in the call in flight.
    short_bytes: usize,
    /// Bytes of entries in the call in flight.
    call_bytes: usize,
    /// Index and term of the entry before those in the call in flight.
    call_base: Option<(u64, u64)>,
    /// Current limit for `short_bytes`.
    short_limit: usize,
    /// Queued long messages. Their entries are consecutive.
    long: VecDeque<RaftMessage>,
    long_bytes: usize,
    in_flight: Option<InFlight>,
    /// Content that was delivered last, and when.
    delivered: Option<(Content, Timestamp)>,
    /// Term of the latest message of a type that only a leader sends.
    term: u64,
    dropped: u64,
}

impl Default for Outbox {
    fn default() -> Self {
        Outbox {
            short: VecDeque::new(),
            short_bytes: 0,
            call_bytes: 0,
            call_base: None,
            short_limit: MAX_SHORT_BYTES,
            long: VecDeque::new(),
            long_bytes: 0,
            in_flight: None,
            delivered: None,
            term: 0,
            dropped: 0,
        }
    }
}

impl Outbox {
    /// Queues a message. Drops it if its queue is full or its entries are already being sent.
    pub fn push(&mut self, now: Timestamp, msg: RaftMessage) {
        match &msg.body {
            RaftBody::Append { entries, .. } if entries.is_empty() => self.push_heartbeat(msg),
            RaftBody::Append { .. } => self.push_entries(now, msg),
            RaftBody::Install { .. } => self.push_snapshot(msg),
            _ => self.push_short(msg, 0),
        }
    }

    /// Removes the short messages for one call, which is in flight until [`Outbox::finish_short`].
    pub fn take_short(&mut self) -> Vec<RaftMessage> {
        let count = self.short.len().min(MAX_CALL_MESSAGES);
        let messages: Vec<RaftMessage> = self.short.drain(..count).collect();
        self.call_bytes = messages.iter().map(raft::message_bytes).sum();
        self.call_base = messages.iter().filter_map(content::base).min();
        messages
    }

    /// Removes the queued heartbeat if it would wait for entries, in the call in flight or before it
    /// in the queue. It depends on none of them, and reads and elections wait for it.
    pub fn take_overtaking_heartbeat(&mut self) -> Option<RaftMessage> {
        if self.short_bytes == 0 {
            return None;
        }
        let queued = self.short.iter().position(content::is_heartbeat)?;
        let mut heartbeat = self.short.remove(queued)?;
        // The replica would reject an entry that it has not received.
        let undelivered =
            self.call_base.into_iter().chain(self.short.iter().filter_map(content::base));
        if let Some(base) = undelivered.min()
            && let RaftBody::Append { prev_index, prev_term, .. } = &mut heartbeat.body
            && base.0 < *prev_index
        {
            (*prev_index, *prev_term) = base;
        }
        Some(heartbeat)
    }

    /// Records the end of the call of short messages. A failure lowers the limit for entries,
    /// because the link may be too slow for the call.
    pub fn finish_short(&mut self, delivered: bool) {
        self.short_bytes -= std::mem::take(&mut self.call_bytes);
        self.call_base = None;
        self.short_limit = match delivered {
            true => (self.short_limit * 2).min(MAX_SHORT_BYTES),
            false => (self.short_limit / 2).max(MIN_SHORT_BYTES),
        };
    }

    /// Drops the short messages, which are stale when an unreachable replica returns.
    pub fn drop_short(&mut self) {
        self.dropped += self.short.len() as u64;
        self.short.clear();
        self.short_bytes = self.call_bytes;
    }

    /// Removes the next long message, which is then in flight. Returns `None` while entries among
    /// the short messages are not delivered, because the long message follows them.
    pub fn take_long(&mut self) -> Option<RaftMessage> {
        if self.short_bytes > 0 {
            return None;
        }
        let msg = self.long.pop_front()?;
        self.long_bytes -= raft::message_bytes(&msg);
        let content = Content::of(&msg)?;
        self.in_flight = Some(InFlight { content, share_left: 1.0, abandoned: false });
        Some(msg)
    }

    /// Records the share of the transfer in flight that is not sent yet.
    pub fn set_share_left(&mut self, share: f64) {
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.share_left = share;
        }
    }

    /// Returns whether the transfer in flight has become obsolete.
    pub fn is_abandoned(&self) -> bool {
        self.in_flight.as_ref().is_some_and(|in_flight| in_flight.abandoned)
    }

    /// Records the end of the transfer in flight.
    pub fn finish_long(&mut self, now: Timestamp, delivered: bool) {
        let in_flight = self.in_flight.take().filter(|t| delivered && !t.abandoned);
        self.delivered = in_flight.map(|in_flight| (in_flight.content, now));
    }

    /// Returns the log index of a snapshot that is queued, in flight, or was delivered recently.
    pub fn snapshot_index(&self, now: Timestamp) -> Option<u64> {
        let in_flight = self.in_flight.as_ref().filter(|t| !t.abandoned).map(|t| t.content);
        let queued = self.long.iter().filter_map(Content::of);
        let mut all = in_flight.into_iter().chain(queued).chain(self.delivered(now));
        all.find(|content| content.is_snapshot()).map(|content| content.span().last)
    }

    /// Drops the long messages and abandons the transfer in flight, after a change of the leader.
    pub fn drop_long(&mut self) {
        self.drop_queued(|_| true);
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.abandoned = true;
        }
    }

    /// Returns the latest term in which this replica sent messages as leader.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns a description of what is queued and in flight, for logs.
    pub fn describe(&self) -> String {
        let in_flight = self.in_flight.as_ref().map_or_else(
            || "none".into(),
            |t| {
                format!("{:?} left {:.2} abandoned {}", t.content.span(), t.share_left, t.abandoned)
            },
        );
        format!(
            "short {} in {} messages, of which {} in the call; long {} in {} messages, in flight \
             {in_flight}",
            self.short_bytes,
            self.short.len(),
            self.call_bytes,
            self.long_bytes,
            self.long.len(),
        )
    }

    /// Returns the number of messages dropped since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    /// Returns whether short messages are queued.
    pub fn has_short(&self) -> bool {
        !self.short.is_empty()
    }

    /// Returns whether long messages are queued.
    pub fn has_long(&self) -> bool {
        !self.long.is_empty()
    }

    fn push_short(&mut self, msg: RaftMessage, bytes: usize) {
        if self.short.len() >= MAX_SHORT_MESSAGES {
            self.dropped += 1;
            return;
        }
        self.short_bytes += bytes;
        self.short.push_back(msg);
    }

    /// Queues a heartbeat. Its previous index is the last entry known to match on the replica, so
    /// transfers of entries up to there are obsolete.
    fn push_heartbeat(&mut self, msg: RaftMessage) {
        self.enter_term(msg.term);
        if let RaftBody::Append { prev_index, .. } = &msg.body {
            let held = *prev_index;
            let is_held = |content: Content| !content.is_snapshot() && content.span().last <= held;
            self.drop_queued(is_held);
            self.abandon(is_held);
        }
        self.push_latest_heartbeat(msg);
    }

    /// Queues a heartbeat in place of a queued one, which it supersedes.
    fn push_latest_heartbeat(&mut self, msg: RaftMessage) {
        if let Some(queued) = self.short.iter().position(content::is_heartbeat) {
            self.short.remove(queued);
        }
        self.push_short(msg, 0);
    }

    fn push_entries(&mut self, now: Timestamp, msg: RaftMessage) {
        self.enter_term(msg.term);
        let Some(span) = Content::of(&msg).map(Content::span) else { return };
        let Some(covered) = self.covered(now, span) else {
            if self.fits_short(&msg) && self.lane_is_idle() {
                let bytes = raft::message_bytes(&msg);
                self.push_short(msg, bytes);
            } else {
                let heartbeat = self.heartbeat_of(&msg);
                self.push_latest_heartbeat(heartbeat);
                self.push_lane(msg);
            }
            return;
        };
        let heartbeat = self.heartbeat_of(&msg);
        self.push_latest_heartbeat(heartbeat);
        self.push_around(msg, span, covered);
    }

    /// Queues the entries of a message that are not being sent yet.
    fn push_around(&mut self, msg: RaftMessage, span: Span, covered: Span) {
        if span.first < covered.first {
            let before =
                content::part(&msg, Span { last: span.last.min(covered.first - 1), ..span });
            if !self.fits_short(&before) {
                // The replica lost entries that the queued transfers follow.
                self.drop_long();
                self.push_lane(msg);
                return;
            }
            let bytes = raft::message_bytes(&before);
            self.push_short(before, bytes);
        }
        if span.first > covered.last + 1 {
            // The entries between were dropped. Raft sends them again together with these.
            self.dropped += 1;
        } else if span.last > covered.last {
            let first = span.first.max(covered.last + 1);
            self.push_lane(content::part(&msg, Span { first, ..span }));
        }
    }

    fn push_lane(&mut self, msg: RaftMessage) {
        let bytes = raft::message_bytes(&msg);
        if !self.long.is_empty() && self.long_bytes + bytes > MAX_LANE_BYTES {
            self.dropped += 1;
            return;
        }
        self.long_bytes += bytes;
        match self.long.back_mut() {
            Some(last) if raft::message_bytes(last) + bytes <= MAX_JOINED_BYTES => {
                if let Some(msg) = content::join(last, msg) {
                    self.long.push_back(msg);
                }
            }
            _ => self.long.push_back(msg),
        }
    }

    fn push_snapshot(&mut self, mut msg: RaftMessage) {
        self.enter_term(msg.term);
        // The transfer may outlast the term, and round numbers are valid only within a term.
        if let RaftBody::Install { round, .. } = &mut msg.body {
            *round = 0;
        }
        let bytes = raft::message_bytes(&msg);
        let left = self.snapshot_bytes_left();
        if left.is_some_and(|left| bytes as f64 >= left) {
            self.dropped += 1;
            return;
        }
        // A replica that needs a snapshot would reject the queued entries.
        self.drop_long();
        self.long_bytes += bytes;
        self.long.push_back(msg);
    }

    /// Records the term of a leader's message. Entries sent in an earlier term are obsolete. A
    /// snapshot holds only committed state and continues in the new term.
    fn enter_term(&mut self, term: u64) {
        if term <= self.term {
            return;
        }
        self.term = term;
        self.drop_queued(|content| !content.is_snapshot());
        self.abandon(|content| !content.is_snapshot());
        self.delivered = None;
    }

    fn abandon(&mut self, is_obsolete: impl Fn(Content) -> bool) {
        if let Some(in_flight) = self.in_flight.as_mut().filter(|t| is_obsolete(t.content)) {
            in_flight.abandoned = true;
        }
    }

    fn drop_queued(&mut self, is_obsolete: impl Fn(Content) -> bool) {
        self.long.retain(|msg| !Content::of(msg).is_some_and(&is_obsolete));
        self.long_bytes = self.long.iter().map(raft::message_bytes).sum();
    }

    /// Returns the number of unsent bytes of the snapshot in flight, if any.
    fn snapshot_bytes_left(&self) -> Option<f64> {
        let in_flight = self.in_flight.as_ref().filter(|t| !t.abandoned)?;
        match in_flight.content {
            Content::Snapshot { bytes, .. } => Some(bytes as f64 * in_flight.share_left),
            Content::Entries { .. } => None,
        }
    }

    /// Returns the content delivered last, while its acknowledgement may still be pending.
    fn delivered(&self, now: Timestamp) -> Option<Content> {
        let (content, at) = self.delivered?;
        let timeout =
            if content.is_snapshot() { SNAPSHOT_ACK_TIMEOUT } else { ENTRIES_ACK_TIMEOUT };
        (now.since(at) < timeout).then_some(content)
    }

    /// Returns a heartbeat for a message with entries. Its previous entry is the one before the
    /// entries in flight, because the replica would reject an entry that it has not received.
    fn heartbeat_of(&self, msg: &RaftMessage) -> RaftMessage {
        let mut heartbeat = content::part(msg, Span { first: 1, last: 0 });
        let in_flight = self.in_flight.as_ref().filter(|t| !t.abandoned).map(|t| t.content);
        let head = in_flight.or_else(|| self.long.front().and_then(Content::of));
        if let RaftBody::Append { prev_index, prev_term, .. } = &mut heartbeat.body
            && let Some(Content::Entries { span, prev_term: before }) = head
            && span.first <= *prev_index
        {
            (*prev_index, *prev_term) = (span.first - 1, before);
        }
        heartbeat
    }

    fn lane_is_idle(&self) -> bool {
        self.long.is_empty() && self.in_flight.as_ref().is_none_or(|t| t.abandoned)
    }

    fn fits_short(&self, msg: &RaftMessage) -> bool {
        self.short_bytes + raft::message_bytes(msg) <= self.short_limit
    }

    /// Returns the entries that are queued or in flight as long messages, together with those
    /// delivered recently if they adjoin, or if there are only those and they overlap `others`.
    fn covered(&self, now: Timestamp, others: Span) -> Option<Span> {
        let in_flight = self.in_flight.iter().filter(|t| !t.abandoned).map(|t| t.content);
        let queued = self.long.iter().filter_map(Content::of);
        let lane = in_flight.chain(queued).map(Content::span).reduce(content::cover);
        let delivered = self.delivered(now).map(Content::span);
        match (delivered, lane) {
            (Some(delivered), Some(lane)) if delivered.last + 1 >= lane.first => {
                Some(content::cover(delivered, lane))
            }
            (Some(delivered), None) => Some(delivered).filter(|d| others.first <= d.last),
            (_, lane) => lane,
        }
    }
}
