//! Discards late responses on a reused connection.
//!
//! A backend server may send a second response to an earlier request while the connection awaits
//! the response to the next one. The next request is in execution and must not fail because of such
//! a response.
//!
//! A late response is recognized by its identifier, so no identifier is sent twice on a connection:
//! nothing else would distinguish the late response to its first request from the response to its
//! second one.

use crate::framing::{self, BodyLength};
use bytes::{Buf, BytesMut};
use http::{HeaderName, HeaderValue, Method, Request, StatusCode};
use parking_lot::Mutex;
use std::collections::hash_map::RandomState;
use std::collections::{HashSet, VecDeque};
use std::hash::BuildHasher;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum number of earlier requests per connection whose late responses are recognized.
const MAX_EARLIER_REQUESTS: usize = 8;
/// Maximum number of requests per connection, which bounds the size of their identifiers.
const MAX_REQUESTS: usize = 1_000;
/// Maximum size of a response head that is inspected; close to the limit of hyper.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of headers of a response; the default of hyper.
const MAX_HEADERS: usize = 100;
/// Size of the read buffer while a response head is inspected.
const READ_BUFFER_BYTES: usize = 4 * 1024;

/// A request that was sent on a connection.
struct SentRequest {
    id: HeaderValue,
    method: Method,
}

/// Requests of one connection.
pub(crate) struct Exchanges {
    /// Header that carries the identifier in a request and its response, if configured.
    id: Option<HeaderName>,
    current: Option<SentRequest>,
    earlier: VecDeque<SentRequest>,
    hasher: RandomState,
    /// Hashes of the identifiers of all requests.
    sent: HashSet<u64>,
    /// Whether the current response has not begun and a late one may precede it.
    may_be_late: bool,
}

impl Exchanges {
    /// Creates the state of a new connection.
    pub(crate) fn new(id: Option<HeaderName>) -> Arc<Mutex<Exchanges>> {
        Arc::new(Mutex::new(Exchanges {
            id,
            current: None,
            earlier: VecDeque::new(),
            hasher: RandomState::new(),
            sent: HashSet::new(),
            may_be_late: false,
        }))
    }

    /// Returns whether a request with an identifier was sent on the connection. May return true for
    /// another identifier with the same hash.
    pub(crate) fn has_sent(&self, id: &[u8]) -> bool {
        self.sent.contains(&self.hasher.hash_one(id))
    }

    /// Returns whether a request may be sent on the connection.
    pub(crate) fn may_send<B>(&self, req: &Request<B>) -> bool {
        let id = self.id.as_ref().and_then(|id| req.headers().get(id));
        id.is_none_or(|id| !self.has_sent(id.as_bytes()))
    }

    /// Returns whether no further request may be sent on the connection.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.sent.len() >= MAX_REQUESTS
    }

    /// Records that a request is about to be sent.
    pub(crate) fn begin<B>(&mut self, req: &Request<B>) {
        let Some(id) = &self.id else { return };
        let next = req.headers().get(id).cloned();
        let next = next.map(|id| SentRequest { id, method: req.method().clone() });
        self.earlier.extend(self.current.take());
        let hash = next.as_ref().map(|next| self.hasher.hash_one(next.id.as_bytes()));
        self.sent.extend(hash);
        let excess = self.earlier.len().saturating_sub(MAX_EARLIER_REQUESTS);
        self.earlier.drain(..excess);
        self.current = next;
        self.may_be_late = !self.earlier.is_empty();
    }

    /// Classifies the response that begins with `bytes`.
    fn classify(&self, bytes: &[u8]) -> ResponseClass {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        match head.parse(bytes) {
            Ok(httparse::Status::Complete(len)) => match self.late_response_to(&head) {
                Some(req) => late(len, body_len(req, &head)),
                None => ResponseClass::Current,
            },
            Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => {
                ResponseClass::Incomplete
            }
            // The HTTP client reports the malformed head.
            _ => ResponseClass::Current,
        }
    }

    /// Returns the earlier request that a response belongs to.
    fn late_response_to(&self, head: &httparse::Response<'_, '_>) -> Option<&SentRequest> {
        let id = self.id.as_ref().and_then(|id| value(head, id))?;
        self.earlier.iter().find(|earlier| earlier.id.as_bytes() == id)
    }
}

/// Classification of a response by its first bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponseClass {
    /// The head is incomplete.
    Incomplete,
    /// The response is not late as far as can be determined.
    Current,
    /// The response is late and has this length in bytes.
    Late(usize),
}

/// Classifies a late response. One of unknown length is passed on, and its reader rejects it by its
/// identifier.
fn late(head: usize, body: Option<usize>) -> ResponseClass {
    body.map_or(ResponseClass::Current, |body| ResponseClass::Late(head.saturating_add(body)))
}

/// Returns the length of a response body, or `None` if the head does not state it.
fn body_len(req: &SentRequest, head: &httparse::Response<'_, '_>) -> Option<usize> {
    let status = StatusCode::from_u16(head.code?).ok()?;
    match framing::body_length(&req.method, status, &*head.headers).ok()? {
        BodyLength::Absent => Some(0),
        BodyLength::Exact(length) => length.try_into().ok(),
        BodyLength::Chunked | BodyLength::UntilClose => None,
    }
}

fn value<'a>(head: &httparse::Response<'_, 'a>, name: &HeaderName) -> Option<&'a [u8]> {
    let found = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name.as_str()));
    found.map(|h| h.value)
}

/// A connection whose reader does not receive late responses.
pub(crate) struct Filtered<S> {
    io: S,
    exchanges: Arc<Mutex<Exchanges>>,
    /// Bytes read and not passed on yet.
    buffered: BytesMut,
    /// Remaining bytes of a late response to discard.
    late: usize,
}

impl<S> Filtered<S> {
    /// Wraps a connection.
    pub(crate) fn new(io: S, exchanges: Arc<Mutex<Exchanges>>) -> Filtered<S> {
        Filtered { io, exchanges, buffered: BytesMut::new(), late: 0 }
    }

    /// Discards buffered bytes of late responses. Returns whether the rest may be passed on.
    fn discard_late(&mut self) -> bool {
        loop {
            let discarded = self.late.min(self.buffered.len());
            self.buffered.advance(discarded);
            self.late -= discarded;
            if self.late > 0 {
                return false;
            }
            let mut exchanges = self.exchanges.lock();
            if !exchanges.may_be_late {
                return true;
            }
            match exchanges.classify(&self.buffered) {
                ResponseClass::Incomplete => return false,
                ResponseClass::Current => exchanges.may_be_late = false,
                ResponseClass::Late(len) => self.late = len,
            }
        }
    }

    /// Copies buffered bytes to the buffer of the reader.
    fn copy_buffered(&mut self, buf: &mut ReadBuf<'_>) {
        let n = self.buffered.len().min(buf.remaining());
        buf.put_slice(&self.buffered.split_to(n));
    }
}

impl<S: AsyncRead + Unpin> Filtered<S> {
    /// Reads more bytes into the buffer. Returns `false` at the end of the stream.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        let mut bytes = [0; READ_BUFFER_BYTES];
        let mut buf = ReadBuf::new(&mut bytes);
        ready!(Pin::new(&mut self.io).poll_read(cx, &mut buf))?;
        self.buffered.extend_from_slice(buf.filled());
        Poll::Ready(Ok(!buf.filled().is_empty()))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Filtered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        while !this.discard_late() {
            if !ready!(this.poll_fill(cx))? {
                // The connection has ended: the reader reports the incomplete response.
                this.copy_buffered(buf);
                return Poll::Ready(Ok(()));
            }
        }
        if this.buffered.is_empty() {
            return Pin::new(&mut this.io).poll_read(cx, buf);
        }
        this.copy_buffered(buf);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Filtered<S> {
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
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }
}
