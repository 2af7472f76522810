//! Decides whether a pooled connection that owes a response has gone silent.
//!
//! A response may be late because the server is slow. Connections that cannot be pinged are judged
//! by their siblings: open connections to one address go silent together, while new ones work.

use crate::units::Timestamp;
use std::time::Duration;

/// Multiple of the patience after which a connection is judged by new connections alone.
const UNWITNESSED_PATIENCE: u32 = 2;
/// Time after an answer on a new connection in which a server that was suspended also answers on
/// the others.
const ANSWER_SPREAD: Duration = Duration::from_millis(200);

/// A connection that owes bytes of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owing {
    /// When the request was sent, or the last byte was received if that is later.
    pub since: Timestamp,
    /// When the last byte was received, or the connection was opened.
    pub last_received: Timestamp,
    /// Time after which a response is far later than usual.
    pub patience: Duration,
    /// Whether the usual time is known, so that lateness alone means something.
    pub is_usual_known: bool,
}

impl Owing {
    /// Returns when the response is overdue unless a byte is received before.
    pub fn overdue_at(&self) -> Timestamp {
        self.since + self.patience
    }
}

/// An answer to a health request on a connection that was opened for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FreshAnswer {
    /// When the connection was opened.
    pub asked_at: Timestamp,
    /// When the answer was received.
    pub answered_at: Timestamp,
}

/// What is known of the connections to the same address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Connections that received nothing since this time are distrusted: an idle one got no answer,
    /// and a new one did.
    pub distrusted_before: Timestamp,
    /// The last answer on a new connection.
    pub fresh: Option<FreshAnswer>,
    /// Whether a byte was received, after the connection began to owe its response, on another one
    /// that was opened before.
    pub has_older_answered: bool,
}

/// Returns whether a connection is silent.
pub fn is_silent(now: Timestamp, owing: Owing, evidence: &Evidence) -> bool {
    if now < owing.overdue_at() {
        return false;
    }
    owing.last_received < evidence.distrusted_before || is_outlived(now, owing, evidence)
}

/// Returns whether only new connections work, as far as is known: no older one has answered, and a
/// new one has, after the response was overdue.
fn is_outlived(now: Timestamp, owing: Owing, evidence: &Evidence) -> bool {
    let Some(fresh) = evidence.fresh.filter(|_| owing.is_usual_known) else { return false };
    !evidence.has_older_answered
        && fresh.asked_at >= owing.since + owing.patience * UNWITNESSED_PATIENCE
        && now >= fresh.answered_at + ANSWER_SPREAD
}
