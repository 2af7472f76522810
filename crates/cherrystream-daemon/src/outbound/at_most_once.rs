//! Requests that may not be repeated: each attempt is claimed in the ledger before it is sent.

use super::request::Call;
use super::{AttemptResult, Outbound};
use crate::current_config::CurrentConfig;
use crate::headers::{self, Op};
use crate::inbound::Fate;
use crate::peer_server;
use crate::refusal::Refused;
use cherrystream_core::attempts::Claimed;
use cherrystream_core::choose::ServerId;
use cherrystream_core::reasons::{Outcome, Reason};
use cherrystream_net::body::{self, Body, Start};
use cherrystream_schema::messages::{
    AttemptState, ClaimReply, ClaimRequest, FenceRequest, Holder, ReleaseRequest,
};
use http::{Request, Response};
use std::sync::Arc;
use std::time::Duration;

/// Largest number of queries about earlier attempts before the request is refused.
const MAX_QUERIES: u32 = 3;
/// Age in milliseconds from which an attempt that has not reached its inbound is fenced. A younger
/// attempt may still be in flight, and two callers that send the same key could keep fencing each
/// other.
const FENCE_AFTER_MS: u64 = 500;
/// Retry delay while an earlier attempt is running.
const STILL_RUNNING_RETRY_AFTER: Duration = Duration::from_millis(200);

/// An attempt whose claim the ledger granted.
struct GrantedClaim {
    holder: Holder,
    claimed: Claimed,
}

/// An earlier attempt of the same key, as recorded in the ledger.
struct EarlierAttempt {
    holder: Holder,
    released: bool,
    age_ms: u64,
    index: u64,
}

/// Outcome of an earlier attempt of the same key.
enum EarlierOutcome {
    /// It has provably not run; the next attempt may supersede it.
    NotRun(Holder),
    /// It determines the result for the caller.
    Final(AttemptResult),
}

/// Next step after an attempt.
enum AfterAttempt {
    /// The attempt has provably not run, and another one may supersede it.
    Retry(Holder),
    /// The attempt determines the result for the caller.
    Final(AttemptResult),
}

impl Outbound {
    /// Runs a request at most once across all requests with the same key.
    pub(super) async fn run_once(
        &self,
        call: &mut Call,
        key: Arc<str>,
        current: &CurrentConfig,
    ) -> AttemptResult {
        let mut not_run: Option<Holder> = None;
        let mut query_count = 0;
        loop {
            if let Err(refused) = call.check_key(&self.routes()) {
                if let Some(holder) = not_run {
                    self.release(call, &key, holder.claim);
                }
                return Err(refused);
            }
            if let Err(refused) = self.check_suspect(call) {
                if let Some(holder) = not_run {
                    self.release(call, &key, holder.claim);
                }
                return Err(refused);
            }
            let server = self.choose(call)?;
            let req = self.claim_request(call, &key, current, &server, not_run.take())?;
            match self.claim(call, &req).await? {
                ClaimReply::Granted { index } => {
                    let granted = granted_claim(&req, index);
                    let result = self.attempt(call, current, &server, Some(granted.claimed)).await;
                    match self.after_attempt(call, &key, granted, result) {
                        AfterAttempt::Retry(holder) => not_run = Some(holder),
                        AfterAttempt::Final(result) => return result,
                    }
                }
                ClaimReply::Held { holder, same_request, released, age_ms, index } => {
                    call.tried.pop();
                    query_count += 1;
                    if !same_request {
                        return Err(Refused::new(Reason::KeyReused));
                    }
                    if query_count > MAX_QUERIES {
                        return Err(Refused::new(Reason::StillRunning));
                    }
                    let earlier = EarlierAttempt { holder, released, age_ms, index };
                    not_run = match self.resolve_earlier(call, &key, current, earlier).await {
                        EarlierOutcome::NotRun(holder) => Some(holder),
                        EarlierOutcome::Final(result) => return result,
                    };
                }
                ClaimReply::Full { retry_after_ms } => {
                    let retry_after = Duration::from_millis(retry_after_ms);
                    return Err(Refused { reason: Reason::LedgerFull, retry_after });
                }
                ClaimReply::TooOld => return Err(Refused::new(Reason::KeyTooOld)),
            }
        }
    }

    fn claim_request(
        &self,
        call: &Call,
        key: &Arc<str>,
        current: &CurrentConfig,
        server: &ServerId,
        not_run: Option<Holder>,
    ) -> Result<ClaimRequest, Refused> {
        let incarnation = self
            .incarnation(call, current, server)
            .ok_or_else(|| Refused::new(Reason::PeerUnreachable))?;
        Ok(ClaimRequest {
            service: call.service.to_string(),
            key: key.to_string(),
            fingerprint: call.fingerprint(),
            attempt: not_run.as_ref().map_or(1, |holder| holder.attempt + 1),
            claim: rand::random(),
            host: server.host.to_string(),
            backend_server: server.name.to_string(),
            incarnation,
            fenced: not_run,
        })
    }

    /// Returns the incarnation of a backend server's inbound, from its load reports, or else from
    /// its registration.
    fn incarnation(&self, call: &Call, current: &CurrentConfig, server: &ServerId) -> Option<u64> {
        if *server.host == *self.host {
            return Some(self.inbound.incarnation);
        }
        let reported = self.with_server(call, server, |s, _| s.incarnation()).flatten();
        reported.or_else(|| current.shared.hosts.get(&*server.host).map(|h| h.incarnation))
    }

    async fn claim(&self, call: &Call, req: &ClaimRequest) -> Result<ClaimReply, Refused> {
        let claimed =
            self.ledger.claim(req, self.ledger_deadline(call).since(self.clock.now())).await;
        claimed.map_err(|_| Refused::new(Reason::LedgerUnavailable))
    }

    /// Returns the next step after an attempt. Releases the key if the attempt did not run and
    /// there is no retry.
    fn after_attempt(
        &self,
        call: &mut Call,
        key: &Arc<str>,
        granted: GrantedClaim,
        result: AttemptResult,
    ) -> AfterAttempt {
        let refused = match result {
            Err(refused) if refused.reason.outcome() == Outcome::NotRun => refused,
            result => return AfterAttempt::Final(result),
        };
        match self.decide_retry(call, refused) {
            Ok(()) => AfterAttempt::Retry(granted.holder),
            Err(refused) => {
                self.release(call, key, granted.holder.claim);
                AfterAttempt::Final(Err(refused))
            }
        }
    }

    /// Releases the key in the background.
    fn release(&self, call: &Call, key: &Arc<str>, claim: u64) {
        let req = ReleaseRequest { service: call.service.to_string(), key: key.to_string(), claim };
        let ledger = self.ledger.clone();
        tokio::spawn(async move { ledger.release(req).await });
    }

    /// Determines the outcome of an earlier attempt.
    async fn resolve_earlier(
        &self,
        call: &Call,
        key: &Arc<str>,
        current: &CurrentConfig,
        earlier: EarlierAttempt,
    ) -> EarlierOutcome {
        let EarlierAttempt { holder, released, age_ms, index } = earlier;
        if released {
            return EarlierOutcome::NotRun(holder);
        }
        let fence_request = FenceRequest {
            service: call.service.to_string(),
            key: key.to_string(),
            attempt: holder.attempt,
            claim: holder.claim,
            index,
            incarnation: holder.incarnation,
            forbid: age_ms >= FENCE_AFTER_MS,
        };
        let fate = self.query_fate(call, current, &holder, fence_request).await;
        let reason = match (fate.state, fate.answer) {
            (AttemptState::Fenced, _) => return EarlierOutcome::NotRun(holder),
            (AttemptState::Answered, Some(answer)) => {
                let mut res = answer;
                headers::set_static(res.headers_mut(), headers::REPLAYED, "true");
                return EarlierOutcome::Final(Ok(res));
            }
            (AttemptState::Answered | AttemptState::Ran, _) => Reason::RanBefore,
            (AttemptState::Running | AttemptState::Absent, _) => Reason::StillRunning,
            (AttemptState::Unknown, _) => Reason::EarlierUnknown,
        };
        EarlierOutcome::Final(Err(Refused { reason, retry_after: STILL_RUNNING_RETRY_AFTER }))
    }

    async fn query_fate(
        &self,
        call: &Call,
        current: &CurrentConfig,
        holder: &Holder,
        fence_request: FenceRequest,
    ) -> RemoteFate {
        if *holder.host == *self.host {
            return self.inbound.fence(&fence_request).into();
        }
        let query = self.query_peer(current, holder, &fence_request);
        let fate = self.clock.timeout_at(self.ledger_deadline(call), query).await;
        fate.ok().flatten().unwrap_or_default()
    }

    async fn query_peer(
        &self,
        current: &CurrentConfig,
        holder: &Holder,
        fence_request: &FenceRequest,
    ) -> Option<RemoteFate> {
        let address = &current.shared.hosts.get(&holder.host)?.peer_address;
        let text = serde_json::to_vec(fence_request).ok()?;
        let mut req = Request::post(format!("http://{address}/")).body(body::full(text)).ok()?;
        headers::set_static(req.headers_mut(), headers::OP, Op::Fence.as_str());
        if let Some(key) = &self.key {
            headers::set(req.headers_mut(), headers::KEY, key.expose());
        }
        let res = self.peers.send(address, req).await.ok()?;
        let state = peer_server::read_fate(&res);
        let (mut parts, body) = res.into_parts();
        headers::remove_own(&mut parts.headers);
        parts.version = http::Version::HTTP_11;
        let Ok(Start::Whole(bytes)) =
            body::read_start(body, crate::inbound::MAX_CACHED_BYTES).await
        else {
            return Some(RemoteFate { state: AttemptState::Ran, answer: None });
        };
        let answer = Response::from_parts(parts, body::full(bytes));
        let answer = (state == AttemptState::Answered).then_some(answer);
        Some(RemoteFate { state, answer })
    }
}

/// State of an attempt at this host or at a peer.
struct RemoteFate {
    state: AttemptState,
    answer: Option<Response<Body>>,
}

impl Default for RemoteFate {
    fn default() -> Self {
        RemoteFate { state: AttemptState::Unknown, answer: None }
    }
}

impl From<Fate> for RemoteFate {
    fn from(fate: Fate) -> RemoteFate {
        RemoteFate { state: fate.state, answer: fate.answer.map(|a| a.response()) }
    }
}

fn granted_claim(req: &ClaimRequest, index: u64) -> GrantedClaim {
    GrantedClaim {
        holder: Holder {
            attempt: req.attempt,
            claim: req.claim,
            host: req.host.clone(),
            backend_server: req.backend_server.clone(),
            incarnation: req.incarnation,
        },
        claimed: Claimed { claim: req.claim, index, incarnation: req.incarnation },
    }
}
