//! Bodies of requests, which may have to be sent again.

use crate::refusal::Refused;
use bytes::Bytes;
use cherrystream_core::reasons::Reason;
use cherrystream_net::body::{self, Body, Start};
use http_body::Body as _;
use http_body_util::BodyExt;
use std::time::Duration;

/// Bodies up to this size are held whole, so that the request can be sent again.
pub(super) const HELD_BYTES: usize = 64 * 1024;
/// Bodies above this size travel only to a backend server that has kept a slot for them.
const RESERVED_FROM_BYTES: usize = 1024;
/// Bytes of an unneeded body that are read at most.
const DISCARDED_BYTES: usize = 16 * 1024 * 1024;
/// Longest time for which an unneeded body is read.
const DISCARD_TIME: Duration = Duration::from_secs(5);

/// A body that may have to be sent again.
pub(super) enum Replay {
    /// It is held and can be sent as often as needed.
    Whole(Bytes),
    /// It comes from the caller's connection and can be sent once.
    Stream(Option<Body>),
}

impl Replay {
    /// Reads a body; one of up to `limit` bytes is held.
    ///
    /// # Errors
    ///
    /// Fails when the body breaks off, or is not there within a time.
    pub(super) async fn read(
        incoming: Body,
        limit: usize,
        within: Duration,
    ) -> Result<Replay, Refused> {
        match tokio::time::timeout(within, body::read_start(incoming, limit)).await {
            Ok(Ok(Start::Whole(bytes))) => Ok(Replay::Whole(bytes)),
            Ok(Ok(Start::Longer(body))) => Ok(Replay::Stream(Some(body))),
            Ok(Err(_)) => Err(Refused::new(Reason::BadRequest)),
            Err(_) => Err(Refused::new(Reason::DeadlineBeforeStart)),
        }
    }

    /// Returns the beginning of the body, and its length where that is known; a body that is not held is read that far.
    ///
    /// # Errors
    ///
    /// Fails when the body breaks off, or its beginning is not there within a time.
    pub(super) async fn beginning(
        &mut self,
        limit: usize,
        within: Duration,
    ) -> Result<(Bytes, Option<u64>), Refused> {
        let body = match self {
            Replay::Whole(bytes) => return Ok((bytes.clone(), Some(bytes.len() as u64))),
            Replay::Stream(body) => body.take().unwrap_or_else(body::empty),
        };
        let length = body.size_hint().exact();
        match tokio::time::timeout(within, body::read_prefix(body, limit)).await {
            Ok(Ok((prefix, body))) => {
                *self = Replay::Stream(Some(body));
                Ok((prefix, length))
            }
            Ok(Err(_)) => Err(Refused::new(Reason::BadRequest)),
            Err(_) => Err(Refused::new(Reason::DeadlineBeforeStart)),
        }
    }

    pub(super) fn is_replayable(&self) -> bool {
        !matches!(self, Replay::Stream(None))
    }

    /// Returns whether a slot is asked for before the body is sent: it is long, or can be sent once
    /// only and must not be used up by an offer.
    pub(super) fn asks_first(&self) -> bool {
        match self {
            Replay::Whole(bytes) => bytes.len() > RESERVED_FROM_BYTES,
            Replay::Stream(body) => body.is_some(),
        }
    }

    /// Returns the bytes that will travel, at least.
    pub(super) fn bytes(&self) -> usize {
        match self {
            Replay::Whole(bytes) => bytes.len(),
            Replay::Stream(Some(_)) => HELD_BYTES,
            Replay::Stream(None) => 0,
        }
    }

    /// Takes a body that can be sent once only, if nobody has.
    pub(super) fn take_stream(&mut self) -> Option<Body> {
        match self {
            Replay::Whole(_) => None,
            Replay::Stream(body) => body.take(),
        }
    }

    /// Returns the body, once more if it is held.
    pub(super) fn take(&mut self) -> Option<Body> {
        match self {
            Replay::Whole(bytes) => Some(body::full(bytes.clone())),
            Replay::Stream(body) => body.take(),
        }
    }
}

/// Reads the rest of a body that nobody needs, up to a limit: a caller that is still sending
/// would otherwise find its connection reset before it has read the answer.
pub(super) fn discard(mut body: Body) {
    tokio::spawn(tokio::time::timeout(DISCARD_TIME, async move {
        let mut left = DISCARDED_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            left = left.saturating_sub(frame.data_ref().map_or(0, Bytes::len));
            if left == 0 {
                return;
            }
        }
    }));
}
