//! Aborts a body whose reader has stalled, to free its resources.

use crate::body::{Body, BoxError};
use bytes::Bytes;
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use parking_lot::Mutex;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Checks for a stall within the time limit.
const CHECKS_PER_LIMIT: u32 = 4;

struct Inner {
    /// `None` once the reader has stalled.
    body: Option<Body>,
    last_read: Instant,
    /// Whether the reader waits for the sender.
    is_waiting: bool,
}

/// A body that fails once its reader has read nothing for too long.
struct Limited {
    inner: Arc<Mutex<Inner>>,
}

/// Limits the time between two reads of a body.
///
/// A stalled reader does not poll the body, so a separate task checks for it. Use this for long
/// bodies only, since short ones do not justify a task.
pub fn limit(body: Body, limit: Duration) -> Body {
    let inner = Arc::new(Mutex::new(Inner {
        body: Some(body),
        last_read: Instant::now(),
        is_waiting: false,
    }));
    tokio::spawn(watch(Arc::downgrade(&inner), limit));
    Limited { inner }.boxed()
}

async fn watch(inner: std::sync::Weak<Mutex<Inner>>, limit: Duration) {
    loop {
        tokio::time::sleep(limit / CHECKS_PER_LIMIT).await;
        let Some(inner) = inner.upgrade() else { return };
        let stalled = {
            let mut inner = inner.lock();
            if inner.body.is_none() {
                return;
            }
            if inner.is_waiting || inner.last_read.elapsed() < limit {
                continue;
            }
            inner.body.take()
        };
        // Drops the body outside the lock.
        drop(stalled);
        return;
    }
}

impl http_body::Body for Limited {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let mut inner = self.inner.lock();
        let Some(body) = &mut inner.body else {
            return Poll::Ready(Some(Err("the reader has stalled".into())));
        };
        let polled = Pin::new(body).poll_frame(cx);
        inner.is_waiting = polled.is_pending();
        inner.last_read = Instant::now();
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.lock().body.as_ref().is_some_and(|body| body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.lock().body.as_ref().map(|body| body.size_hint()).unwrap_or_default()
    }
}
