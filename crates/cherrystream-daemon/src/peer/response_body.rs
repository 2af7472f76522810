//! Body of a response of a peer.

use super::channel::CallGuard;
use bytes::Bytes;
use cherrystream_net::body::BoxError;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A future that completes once the connection was silent and has been replaced.
pub(super) type Replaced = Pin<Box<dyn Future<Output = ()> + Send + Sync>>;

/// A body that belongs to its call until it is dropped.
pub(super) struct ResponseBody {
    incoming: Incoming,
    /// Makes the body fail, if the rest is not worth waiting for on a silent connection.
    replaced: Option<Replaced>,
    guard: CallGuard,
}

impl ResponseBody {
    pub(super) fn new(
        incoming: Incoming,
        replaced: Option<Replaced>,
        mut guard: CallGuard,
    ) -> ResponseBody {
        match incoming.is_end_stream() {
            true => guard.on_complete(),
            false => guard.on_head(),
        }
        ResponseBody { incoming, replaced, guard }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if let Poll::Ready(frame) = Pin::new(&mut self.incoming).poll_frame(cx) {
            if !matches!(frame, Some(Ok(_))) || self.incoming.is_end_stream() {
                self.guard.on_complete();
            }
            return Poll::Ready(frame.map(|frame| frame.map_err(Into::into)));
        }
        let replaced = self.replaced.as_mut().map(|replaced| replaced.as_mut().poll(cx));
        match replaced {
            Some(Poll::Ready(())) => {
                self.replaced = None;
                Poll::Ready(Some(Err("the connection is silent".into())))
            }
            _ => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
