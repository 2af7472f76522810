//! Observes the traffic of a connection, and aborts the connection.

use crate::clock::Clock;
use cherrystream_core::demand_keep_alive::Progress;
use cherrystream_core::keep_alive::Traffic;
use cherrystream_core::units::Timestamp;
use futures_util::task::AtomicWaker;
use parking_lot::Mutex;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Weak};
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
    traffic: Mutex<Traffic>,
    writes: Mutex<Writes>,
    aborted: AtomicBool,
    reader: AtomicWaker,
    writer: AtomicWaker,
}

impl Activity {
    /// Creates the activity of a connection that is opened now.
    pub fn new() -> Arc<Activity> {
        Activity::on_clock(Clock::default())
    }

    /// Creates the activity of a connection that is opened now, with timestamps of a clock.
    pub fn on_clock(clock: Clock) -> Arc<Activity> {
        let opened = clock.now();
        Arc::new(Activity {
            clock,
            opened,
            traffic: Mutex::new(Traffic::new(opened)),
            writes: Mutex::default(),
            aborted: AtomicBool::new(false),
            reader: AtomicWaker::new(),
            writer: AtomicWaker::new(),
        })
    }

    /// Returns the current time on the clock of the timestamps.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns when the connection was opened.
    pub fn opened(&self) -> Timestamp {
        self.opened
    }

    /// Returns the traffic so far.
    pub fn traffic(&self) -> Traffic {
        *self.traffic.lock()
    }

    /// Returns the progress of a connection on which long bodies are sent. As long as bytes may be
    /// queued on a slow link, they count as written since the last received byte: bytes that the
    /// peer sent do not show that it has received them.
    pub fn progress(&self) -> Progress {
        let written_since = self.writes.lock().unanswered(self.clock.now());
        Progress { last_received: self.traffic().last_received(), written_since }
    }

    /// Returns whether a byte was received.
    pub fn has_received(&self) -> bool {
        self.traffic().last_received() > self.opened
    }

    /// Returns the time since the last received byte.
    pub fn silence(&self) -> Duration {
        self.clock.now().since(self.traffic().last_received())
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
        self.traffic.lock().on_received(self.clock.now());
        self.writes.lock().written_since = 0;
    }

    fn on_write(&self, polled: &Poll<io::Result<usize>>) {
        let now = self.clock.now();
        self.writes.lock().on_write(now, polled);
        match polled {
            Poll::Ready(Ok(written)) => self.traffic.lock().on_written(now, *written),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.traffic.lock().on_blocked(now),
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

/// Aborts a connection on which nothing is received for `timeout`, after at most one and a half
/// times it. Ends with the connection.
///
/// Two checks must find no byte: after a suspension of this process the first one may come before
/// the bytes that have arrived are read.
pub async fn abort_when_idle(activity: Weak<Activity>, timeout: Duration) {
    let interval = timeout / 2;
    let mut seen = None;
    let mut unchanged = 0;
    loop {
        tokio::time::sleep(interval).await;
        let Some(activity) = activity.upgrade() else { return };
        let last_received = Some(activity.traffic().last_received());
        unchanged = if seen == last_received { unchanged + 1 } else { 0 };
        seen = last_received;
        if unchanged == 2 {
            activity.abort();
            return;
        }
    }
}

/// Writes to a connection.
#[derive(Debug, Default)]
struct Writes {
    /// Bytes written since the last received byte.
    written_since: u64,
    /// Whether the last write had to wait until earlier bytes were sent.
    is_blocked: bool,
    /// When such a wait last ended.
    last_unblocked: Option<Timestamp>,
}

impl Writes {
    fn on_write(&mut self, now: Timestamp, polled: &Poll<io::Result<usize>>) {
        let Poll::Ready(written) = polled else {
            self.is_blocked = true;
            return;
        };
        self.written_since += written.as_ref().map_or(0, |bytes| *bytes as u64);
        if std::mem::take(&mut self.is_blocked) {
            self.last_unblocked = Some(now);
        }
    }

    /// Returns the bytes that the peer may not have received.
    fn unanswered(&self, now: Timestamp) -> u64 {
        let is_draining = self.last_unblocked.is_some_and(|at| now.since(at) < MAX_DRAIN_TIME);
        let queued = if self.is_blocked || is_draining { MAX_QUEUED_BYTES } else { 0 };
        self.written_since.max(queued)
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
