//! Contents of log messages, and how messages are split and joined.

use cherrystream_schema::messages::{RaftBody, RaftMessage};

/// Range of log indexes, from `first` to `last` inclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Span {
    pub(super) first: u64,
    pub(super) last: u64,
}

/// Content of a long message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Content {
    /// Entries, with the term of the entry before them.
    Entries { span: Span, prev_term: u64 },
    /// A snapshot up to a log index, with its size in bytes.
    Snapshot { index: u64, bytes: usize },
}

impl Content {
    /// Returns the content of a message, or `None` if it holds neither entries nor a snapshot.
    pub(super) fn of(msg: &RaftMessage) -> Option<Content> {
        match &msg.body {
            RaftBody::Append { prev_index, prev_term, entries, .. } if !entries.is_empty() => {
                let last = prev_index + entries.len() as u64;
                let span = Span { first: prev_index + 1, last };
                Some(Content::Entries { span, prev_term: *prev_term })
            }
            RaftBody::Install { snapshot, .. } => {
                Some(Content::Snapshot { index: snapshot.index, bytes: snapshot.state.len() })
            }
            _ => None,
        }
    }

    pub(super) fn is_snapshot(self) -> bool {
        matches!(self, Content::Snapshot { .. })
    }

    /// Returns the range of entries that the content makes unnecessary to send.
    pub(super) fn span(self) -> Span {
        match self {
            Content::Entries { span, .. } => span,
            Content::Snapshot { index, .. } => Span { first: 0, last: index },
        }
    }
}

/// Returns the smallest span that contains both.
pub(super) fn cover(a: Span, b: Span) -> Span {
    Span { first: a.first.min(b.first), last: a.last.max(b.last) }
}

/// Returns whether a message is a heartbeat of the leader, without entries.
pub(super) fn is_heartbeat(msg: &RaftMessage) -> bool {
    matches!(&msg.body, RaftBody::Append { entries, .. } if entries.is_empty())
}

/// Returns the index and term of the entry before those of a message, if it has any.
pub(super) fn base(msg: &RaftMessage) -> Option<(u64, u64)> {
    match &msg.body {
        RaftBody::Append { entries, prev_index, prev_term, .. } if !entries.is_empty() => {
            Some((*prev_index, *prev_term))
        }
        _ => None,
    }
}

/// Returns a copy of a message with only the entries in a span.
pub(super) fn part(msg: &RaftMessage, span: Span) -> RaftMessage {
    let RaftMessage { from, to, disk, term, body } = msg;
    let body = match body {
        RaftBody::Append { prev_index, prev_term, entries, commit, round } => {
            let before = entries.iter().rfind(|e| e.index + 1 == span.first);
            let (prev_index, prev_term) =
                before.map_or((*prev_index, *prev_term), |e| (e.index, e.term));
            let inside = entries.iter().filter(|e| (span.first..=span.last).contains(&e.index));
            let entries = inside.cloned().collect();
            RaftBody::Append { prev_index, prev_term, entries, commit: *commit, round: *round }
        }
        body => body.clone(),
    };
    RaftMessage { from: *from, to: *to, disk: disk.clone(), term: *term, body }
}

/// Appends a message to the previous one. Returns it unchanged if its entries do not follow.
pub(super) fn join(last: &mut RaftMessage, msg: RaftMessage) -> Option<RaftMessage> {
    let spans = (Content::of(last), Content::of(&msg));
    let (Some(a), Some(b)) = spans else { return Some(msg) };
    if a.is_snapshot() || a.span().last + 1 != b.span().first || last.term != msg.term {
        return Some(msg);
    }
    if let RaftBody::Append { entries, commit, round, .. } = &mut last.body
        && let RaftBody::Append { entries: more, commit: later, round: newer, .. } = msg.body
    {
        entries.extend(more);
        *commit = later;
        *round = newer;
    }
    None
}
