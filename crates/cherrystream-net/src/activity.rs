//! Observes the traffic of a connection, and aborts the connection.

use crate::clock::Clock;
use cherrystream_core::keep_alive::Traffic;
use cherrystream_core::units::Timestamp;
use futures_util::task::AtomicWaker;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Written bytes that may not have reached the peer after a write had to wait: unsent ones, and
/// those in the buffers of a slow link.
const MAX_QUEUED_BYTES: u64 = 128 * 1024;
/// Longest time until these bytes have reached the peer.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(4);

/// Activity of a connection, shared between its stream and its owner.
#[derive(Debug)]
pub struct Activity {
    clock: Clock,
    opened: Timestamp,
    /// Time of the last received byte, in microseconds on `clock`.
    last_received: AtomicU64,
    written_since: AtomicU64,
    /// Whether the last write had to wait until earlier bytes were sent.
    is_write_blocked: AtomicBool,
    /// Time at which such a wait last ended.
    last_unblocked: AtomicU64,
    aborted: AtomicBool,
    reader: AtomicWaker,
    writer: AtomicWaker,
}

impl Activity {
    /// Creates the activity of a connection that is opened now.
    pub fn new() -> Arc<Activity> {
        let clock = Clock::default();
        let opened = clock.now();
        Arc::new(Activity {
            clock,
            opened,
            last_received: AtomicU64::new(opened.0),
            written_since: AtomicU64::new(0),
            is_write_blocked: AtomicBool::new(false),
            last_unblocked: AtomicU64::new(0),
            aborted: AtomicBool::new(false),
            reader: AtomicWaker::new(),
            writer: AtomicWaker::new(),
        })
    }

    /// Returns the current time on the clock of the timestamps.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the traffic so far.
    pub fn traffic(&self) -> Traffic {
        Traffic {
            last_received: Timestamp(self.last_received.load(Ordering::Relaxed)),
            written_since: self.written_since.load(Ordering::Relaxed),
        }
    }

    /// Like [`Activity::traffic`], for a connection on which long bodies are sent. As long as bytes
    /// may be queued on a slow link, they count as written since the last received byte: bytes that
    /// the peer sent do not show that it has received them.
    pub fn traffic_with_queue(&self) -> Traffic {
        let traffic = self.traffic();
        let last_unblocked = Timestamp(self.last_unblocked.load(Ordering::Relaxed));
        let has_blocked = last_unblocked > Timestamp::default();
        let has_queue = self.is_write_blocked.load(Ordering::Relaxed)
            || (has_blocked && self.now().since(last_unblocked) < MAX_DRAIN_TIME);
        let queued = if has_queue { MAX_QUEUED_BYTES } else { 0 };
        Traffic { written_since: traffic.written_since.max(queued), ..traffic }
    }

    /// Returns whether a byte was received.
    pub fn has_received(&self) -> bool {
        self.traffic().last_received > self.opened
    }

    /// Returns the time since the last received byte.
    pub fn silence(&self) -> Duration {
        self.clock.now().since(self.traffic().last_received)
    }

    /// Returns the time since the connection was opened.
    pub fn age(&self) -> Duration {
        self.clock.now().since(self.opened)
    }

    /// Makes all reads and writes of the connection fail, so that whoever uses it ends at once.
    pub fn abort(&self) {
        self.aborted.store(true, Ordering::Release);
        self.reader.wake();
        self.writer.wake();
    }

    fn on_received(&self) {
        self.last_received.store(self.clock.now().0, Ordering::Relaxed);
        self.written_since.store(0, Ordering::Relaxed);
    }

    fn on_write(&self, written: &Poll<io::Result<usize>>) {
        let Poll::Ready(written) = written else {
            self.is_write_blocked.store(true, Ordering::Relaxed);
            return;
        };
        let bytes = written.as_ref().map_or(0, |bytes| *bytes as u64);
        self.written_since.fetch_add(bytes, Ordering::Relaxed);
        if self.is_write_blocked.swap(false, Ordering::Relaxed) {
            self.last_unblocked.store(self.clock.now().0, Ordering::Relaxed);
        }
    }

    /// Registers a waker, and fails if the connection is aborted.
    fn check(&self, waker: &AtomicWaker, cx: &Context<'_>) -> io::Result<()> {
        waker.register(cx.waker());
        match self.aborted.load(Ordering::Acquire) {
            true => Err(io::Error::new(io::ErrorKind::ConnectionAborted, "the peer is silent")),
            false => Ok(()),
        }
    }
}

/// A stream whose activity is observed.
#[derive(Debug)]
pub struct Observed<S> {
    stream: S,
    activity: Arc<Activity>,
}

impl<S> Observed<S> {
    /// Observes a stream.
    pub fn new(stream: S, activity: Arc<Activity>) -> Observed<S> {
        Observed { stream, activity }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Observed<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.activity.check(&self.activity.reader, cx)?;
        let filled = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > filled {
            self.activity.on_received();
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Observed<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.activity.check(&self.activity.writer, cx)?;
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.activity.on_write(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.activity.check(&self.activity.writer, cx)?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.activity.check(&self.activity.writer, cx)?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.activity.check(&self.activity.writer, cx)?;
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.activity.on_write(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
