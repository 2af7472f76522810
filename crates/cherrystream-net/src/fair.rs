//! A connection whose reader pauses regularly, so that one fast sender does not delay other tasks and
//! the timers of the process.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Number of bytes after which a reader pauses.
const MAX_BYTES_AT_ONCE: usize = 8 * 1024;

/// A connection whose reader pauses regularly.
pub(crate) struct Fair<S> {
    io: S,
    /// Bytes read since the last pause.
    bytes: usize,
}

impl<S> Fair<S> {
    /// Wraps a connection.
    pub(crate) fn new(io: S) -> Fair<S> {
        Fair { io, bytes: 0 }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Fair<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.bytes >= MAX_BYTES_AT_ONCE {
            self.bytes = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let max = buf.remaining().min(MAX_BYTES_AT_ONCE - self.bytes);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(max));
        let polled = Pin::new(&mut self.io).poll_read(cx, &mut part);
        let n = part.filled().len();
        buf.advance(n);
        self.bytes = if polled.is_pending() { 0 } else { self.bytes + n };
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Fair<S> {
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
