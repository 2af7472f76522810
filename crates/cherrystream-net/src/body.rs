//! Bodies of requests and responses.

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, Sleep};

/// Error of reading a body.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;
/// A body of any kind.
pub type Body = BoxBody<Bytes, BoxError>;

/// Returns a body with the given content.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|e| match e {}).boxed()
}

/// Returns an empty body.
pub fn empty() -> Body {
    full(Bytes::new())
}

/// Longest wait for the next bytes of a request body.
const REQUEST_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns a body that is received from a connection.
pub fn incoming(body: Incoming) -> Body {
    body.map_err(|e| Box::new(e) as BoxError).boxed()
}

/// Result of [`read_start`].
pub enum Start {
    /// The whole body.
    Whole(Bytes),
    /// A body longer than the limit, which still yields the bytes already read.
    Longer(Body),
}

/// Reads a whole body if it has at most `limit` bytes.
///
/// # Errors
///
/// Fails if the body ends early.
pub async fn read_start(body: Body, limit: usize) -> Result<Start, BoxError> {
    read_frames(body, limit, None).await
}

/// Like [`read_start`], for the body of a request whose handler has no deadline.
///
/// # Errors
///
/// Fails if the body ends early, or if no bytes arrive for 30 s.
pub async fn read_request(body: Incoming, limit: usize) -> Result<Start, BoxError> {
    read_frames(incoming(body), limit, Some(REQUEST_IDLE_TIMEOUT)).await
}

async fn next_frame(
    body: &mut Body,
    idle_timeout: Option<Duration>,
) -> Result<Option<Frame<Bytes>>, BoxError> {
    let frame = match idle_timeout {
        Some(timeout) => tokio::time::timeout(timeout, body.frame()).await?,
        None => body.frame().await,
    };
    frame.transpose()
}

async fn read_frames(
    mut body: Body,
    limit: usize,
    idle_timeout: Option<Duration>,
) -> Result<Start, BoxError> {
    // Avoids buffering a body that announces more than the limit.
    if body.size_hint().lower() > limit as u64 {
        return Ok(Start::Longer(body));
    }
    let mut chunks = Vec::new();
    let mut len = 0;
    while let Some(frame) = next_frame(&mut body, idle_timeout).await? {
        let Ok(data) = frame.into_data() else { continue };
        len += data.len();
        chunks.push(data);
        if len > limit {
            // One chunk costs the reader less than many small ones.
            let chunks = [join(chunks)].into();
            return Ok(Start::Longer(Prefixed { chunks, rest: body }.boxed()));
        }
    }
    Ok(Start::Whole(join(chunks)))
}

/// Returns the first bytes of a body, at least `limit` if it has as many, and a body that yields
/// all bytes.
///
/// # Errors
///
/// Fails if the body ends early.
pub async fn read_prefix(mut body: Body, limit: usize) -> Result<(Bytes, Body), BoxError> {
    let mut chunks = Vec::new();
    let mut len = 0;
    while len < limit {
        let Some(frame) = body.frame().await else { break };
        let Ok(data) = frame?.into_data() else { continue };
        len += data.len();
        chunks.push(data);
    }
    let prefix = join(chunks.clone());
    Ok((prefix, Prefixed { chunks: chunks.into(), rest: body }.boxed()))
}

fn join(mut chunks: Vec<Bytes>) -> Bytes {
    match chunks.len() {
        0 => Bytes::new(),
        1 => chunks.remove(0),
        _ => chunks.concat().into(),
    }
}

/// A body that yields buffered chunks before the rest.
struct Prefixed {
    chunks: std::collections::VecDeque<Bytes>,
    rest: Body,
}

impl http_body::Body for Prefixed {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        match self.chunks.pop_front() {
            Some(chunk) => Poll::Ready(Some(Ok(Frame::data(chunk)))),
            None => Pin::new(&mut self.rest).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.chunks.is_empty() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let buffered: u64 = self.chunks.iter().map(|c| c.len() as u64).sum();
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(buffered + rest.lower());
        if let Some(upper) = rest.upper() {
            hint.set_upper(buffered + upper);
        }
        hint
    }
}

/// A body that fails at a deadline.
struct Timed {
    body: Body,
    deadline: Pin<Box<Sleep>>,
}

/// Returns a body that fails unless it has ended within a time.
pub fn within(body: Body, time: Duration) -> Body {
    Timed { body, deadline: Box::pin(tokio::time::sleep(time)) }.boxed()
}

impl http_body::Body for Timed {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        // The timer may lag behind while a fast sender keeps the task busy.
        let is_over = self.deadline.deadline() <= Instant::now();
        if is_over || self.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err("the deadline of the request has passed".into())));
        }
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// How a [`Watched`] body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The body was read to its end.
    Whole,
    /// The body failed, or was dropped before its end.
    Broken,
}

/// A body that calls a function once when it ends.
pub struct Watched<F: FnOnce(Ending)> {
    body: Body,
    on_end: Option<F>,
}

impl<F: FnOnce(Ending) + Send + Sync + Unpin + 'static> Watched<F> {
    /// Wraps a body.
    pub fn watch(body: Body, on_end: F) -> Body {
        let mut watched = Watched { body, on_end: Some(on_end) };
        if watched.body.is_end_stream() {
            watched.end(Ending::Whole);
        }
        watched.boxed()
    }
}

impl<F: FnOnce(Ending)> Watched<F> {
    fn end(&mut self, ending: Ending) {
        if let Some(on_end) = self.on_end.take() {
            on_end(ending);
        }
    }
}

impl<F: FnOnce(Ending)> Drop for Watched<F> {
    fn drop(&mut self) {
        self.end(Ending::Broken);
    }
}

impl<F: FnOnce(Ending) + Unpin> http_body::Body for Watched<F> {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => self.end(Ending::Whole),
            Poll::Ready(Some(Err(_))) => self.end(Ending::Broken),
            Poll::Ready(Some(Ok(_))) if self.body.is_end_stream() => self.end(Ending::Whole),
            _ => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
