//! An attempt of a request that may not be repeated.

use super::{HELD_BYTES, HeldAnswer, Inbound};
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
    /// Begins an attempt. Dropped before it is settled, it counts as not sent.
    pub(super) fn new(inbound: Arc<Inbound>, key: RequestKey, claim: u64) -> Attempt {
        Attempt { inbound, key, claim, sent: false }
    }

    /// Records what became of the attempt; a short answer is held for resends.
    pub(super) async fn settle(
        &mut self,
        result: Result<Response<Body>, Refused>,
    ) -> Result<Response<Body>, Refused> {
        // From here on the attempt counts as run unless the refusal says that it was not.
        self.sent = !matches!(&result, Err(r) if r.reason.outcome() == Outcome::NotRun);
        let (parts, body) = result?.into_parts();
        match body::read_start(body, HELD_BYTES).await {
            Ok(Start::Whole(bytes)) => {
                let answer = Arc::new(HeldAnswer { parts, bytes });
                let res = answer.response();
                let size = answer.bytes.len() + size_of::<HeldAnswer>();
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

    fn answered(&self, answer: Option<(Arc<HeldAnswer>, usize)>) {
        self.inbound.attempts.lock().on_answered(&self.key, self.claim, answer);
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let mut attempts = self.inbound.attempts.lock();
        // An attempt that was answered is settled already; these then change nothing.
        if self.sent {
            attempts.on_broken(&self.key, self.claim);
        } else {
            attempts.on_refused(&self.key, self.claim);
        }
    }
}
