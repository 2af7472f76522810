//! Request bodies that may have to be sent again.

use crate::refusal::Refused;
use bytes::Bytes;
use cherrystream_core::reasons::Reason;
use cherrystream_core::units::Timestamp;
use cherrystream_net::body::{self, Body, Start};
use cherrystream_net::clock::Clock;
use http_body::Body as _;
use http_body_util::BodyExt;
use std::time::Duration;
use tokio::time::error::Elapsed;

/// Largest body that is buffered, so that the request can be sent again.
pub(super) const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Largest body that is sent without a reserved slot.
const MAX_UNRESERVED_BYTES: usize = 1024;
/// Largest number of bytes read from a discarded body.
const MAX_DISCARDED_BYTES: usize = 16 * 1024 * 1024;
/// Longest time spent reading a discarded body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Time until which a body is read.
#[derive(Clone, Copy, Debug)]
pub(super) struct Until {
    pub(super) clock: Clock,
    pub(super) at: Timestamp,
}

impl Until {
    async fn run<F: Future>(self, f: F) -> Result<F::Output, Elapsed> {
        self.clock.timeout_at(self.at, f).await
    }
}

/// A request body.
pub(super) enum Replay {
    /// Buffered; can be sent any number of times.
    Whole(Bytes),
    /// Streamed from the caller's connection; can be sent once.
    Stream(Option<Body>),
}

impl Replay {
    /// Reads a body; buffers it if it has at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the body is incomplete, or not read in time.
    pub(super) async fn read(
        incoming: Body,
        limit: usize,
        until: Until,
    ) -> Result<Replay, Refused> {
        match until.run(body::read_start(incoming, limit)).await {
            Ok(Ok(Start::Whole(bytes))) => Ok(Replay::Whole(bytes)),
            Ok(Ok(Start::Longer(body))) => Ok(Replay::Stream(Some(body))),
            Ok(Err(_)) => Err(Refused::new(Reason::BadRequest)),
            Err(_) => Err(Refused::new(Reason::DeadlineBeforeStart)),
        }
    }

    /// Returns the first `limit` bytes of the body, and its length if known. Reads that many bytes
    /// of a streamed body.
    ///
    /// # Errors
    ///
    /// Fails if the body is incomplete, or its prefix is not read in time.
    pub(super) async fn prefix(
        &mut self,
        limit: usize,
        until: Until,
    ) -> Result<(Bytes, Option<u64>), Refused> {
        let body = match self {
            Replay::Whole(bytes) => return Ok((bytes.clone(), Some(bytes.len() as u64))),
            Replay::Stream(body) => body.take().unwrap_or_else(body::empty),
        };
        let length = body.size_hint().exact();
        match until.run(body::read_prefix(body, limit)).await {
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

    /// Returns whether a slot is reserved before the body is sent: the body is long, or can be sent
    /// only once and must not be consumed by a refused offer.
    pub(super) fn needs_reservation(&self) -> bool {
        match self {
            Replay::Whole(bytes) => bytes.len() > MAX_UNRESERVED_BYTES,
            Replay::Stream(body) => body.is_some(),
        }
    }

    /// Returns a lower bound of the length of the body.
    pub(super) fn min_bytes(&self) -> usize {
        match self {
            Replay::Whole(bytes) => bytes.len(),
            Replay::Stream(Some(_)) => MAX_BUFFERED_BYTES,
            Replay::Stream(None) => 0,
        }
    }

    /// Takes the body if it is streamed and has not been taken.
    pub(super) fn take_stream(&mut self) -> Option<Body> {
        match self {
            Replay::Whole(_) => None,
            Replay::Stream(body) => body.take(),
        }
    }

    /// Returns the body; a buffered one can be taken again.
    pub(super) fn take(&mut self) -> Option<Body> {
        match self {
            Replay::Whole(bytes) => Some(body::full(bytes.clone())),
            Replay::Stream(body) => body.take(),
        }
    }
}

/// Reads and discards the rest of a body, up to a limit. Otherwise a caller that is still sending
/// could find its connection reset before it has read the response.
pub(super) fn discard(mut body: Body) {
    tokio::spawn(tokio::time::timeout(DISCARD_TIMEOUT, async move {
        let mut left = MAX_DISCARDED_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            left = left.saturating_sub(frame.data_ref().map_or(0, Bytes::len));
            if left == 0 {
                return;
            }
        }
    }));
}
