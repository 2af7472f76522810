//! Limits the bytes that a server sends without any content of an answer.
//!
//! A chunk size, for example, may have any number of leading zeros. A server that never ends it keeps
//! the reader busy.

use crate::body::{Body, BoxError};
use bytes::Bytes;
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum number of bytes between two parts of an answer. More than twice what the HTTP client
/// buffers.
const MAX_OVERHEAD_BYTES: usize = 1024 * 1024;

/// Counts the bytes received since the last content.
#[derive(Debug, Default)]
pub(crate) struct Overhead {
    bytes: AtomicUsize,
}

impl Overhead {
    /// Records that a request is sent or content was received.
    pub(crate) fn reset(&self) {
        self.bytes.store(0, Ordering::Relaxed);
    }

    /// Returns a body each frame of which is content.
    pub(crate) fn watch(self: Arc<Self>, body: Body) -> Body {
        Content { body, overhead: self }.boxed()
    }

    fn on_received(&self, n: usize) -> io::Result<()> {
        if self.bytes.fetch_add(n, Ordering::Relaxed) + n > MAX_OVERHEAD_BYTES {
            let what = "the server sends bytes that are no answer";
            return Err(io::Error::new(io::ErrorKind::InvalidData, what));
        }
        Ok(())
    }
}

/// A body whose frames reset the overhead.
struct Content {
    body: Body,
    overhead: Arc<Overhead>,
}

impl http_body::Body for Content {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(polled, Poll::Ready(Some(Ok(_)))) {
            self.overhead.reset();
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

/// A connection that fails once its overhead exceeds the limit.
pub(crate) struct Limited<S> {
    io: S,
    overhead: Arc<Overhead>,
}

impl<S> Limited<S> {
    /// Limits the overhead of a connection.
    pub(crate) fn new(io: S, overhead: Arc<Overhead>) -> Limited<S> {
        Limited { io, overhead }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Limited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        ready!(Pin::new(&mut self.io).poll_read(cx, buf))?;
        Poll::Ready(self.overhead.on_received(buf.filled().len() - filled))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Limited<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }
}
