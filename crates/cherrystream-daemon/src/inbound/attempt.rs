//! An attempt of a request that may not be repeated, and the record of its outcome.

use super::{CachedAnswer, Inbound, MAX_CACHED_BYTES};
use crate::refusal::Refused;
use cherrystream_core::attempts::RequestKey;
use cherrystream_core::reasons::{Outcome, Reason};
use cherrystream_net::body::{self, Body, Start};
use http::Response;
use std::sync::Arc;

/// An attempt of an unrepeatable request at this inbound.
pub(super) struct Attempt {
    inbound: Arc<Inbound>,
    key: RequestKey,
    claim: u64,
    sent: bool,
}

impl Attempt {
    /// Starts an attempt. If dropped before it is settled, it is recorded as not sent.
    pub(super) fn new(inbound: Arc<Inbound>, key: RequestKey, claim: u64) -> Attempt {
        Attempt { inbound, key, claim, sent: false }
    }

    /// Records the outcome of the attempt; a short answer is cached for resends.
    pub(super) async fn settle(
        &mut self,
        result: Result<Response<Body>, Refused>,
    ) -> Result<Response<Body>, Refused> {
        // The attempt is considered run unless the refusal states that it was not.
        self.sent = !matches!(&result, Err(r) if r.reason.outcome() == Outcome::NotRun);
        let (parts, body) = result?.into_parts();
        match body::read_start(body, MAX_CACHED_BYTES).await {
            Ok(Start::Whole(bytes)) => {
                let answer = Arc::new(CachedAnswer { parts, bytes });
                let res = answer.response();
                let size = answer.bytes.len() + size_of::<CachedAnswer>();
                self.answered(Some((answer, size)));
                Ok(res)
            }
            Ok(Start::Longer(body)) => {
                self.answered(None);
                Ok(Response::from_parts(parts, body))
            }
            Err(_) => Err(self.inbound.refuse(Reason::BackendServerBroke)),
        }
    }

    fn answered(&self, answer: Option<(Arc<CachedAnswer>, usize)>) {
        self.inbound.attempts.lock().on_answered(&self.key, self.claim, answer);
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let mut attempts = self.inbound.attempts.lock();
        // Has no effect on an attempt that was answered.
        if self.sent {
            attempts.on_broken(&self.key, self.claim);
        } else {
            attempts.on_refused(&self.key, self.claim);
        }
    }
}
