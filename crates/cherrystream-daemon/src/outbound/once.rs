//! Requests that may not be repeated: each attempt is claimed in the ledger before it is sent.

use super::request::Call;
use super::{Outbound, Tried};
use crate::headers::{self, Op};
use crate::held::Held;
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

/// Questions about an earlier attempt at most, before the request is refused.
const QUESTIONS_AT_MOST: u32 = 3;
/// Age from which an attempt that has not arrived at its inbound is forbidden. A younger one may
/// still be on its way, and two resends would only forbid each other.
const FORBID_AFTER_MS: u64 = 500;
/// When an attempt that is still running is worth asking for again.
const STILL_RUNNING_RETRY: Duration = Duration::from_millis(200);

/// An attempt that the ledger granted.
struct Granted {
    holder: Holder,
    claimed: Claimed,
}

/// What the ledger tells of an earlier attempt.
struct Known {
    holder: Holder,
    released: bool,
    age_ms: u64,
    index: u64,
}

/// What an earlier attempt of the same key means for this request.
enum Earlier {
    /// It was proved not run; a next attempt may name it.
    NotRun(Holder),
    /// It settles what the caller is told.
    Settled(Tried),
}

/// What follows an attempt.
enum Next {
    /// It was proved not run, and another attempt may name it.
    Again(Holder),
    /// It settles what the caller is told.
    Settled(Tried),
}

impl Outbound {
    /// Runs a request at most once, whoever else sends the same key.
    pub(super) async fn run_once(&self, call: &mut Call, key: Arc<str>, held: &Held) -> Tried {
        let mut proved: Option<Holder> = None;
        let mut questions = 0;
        loop {
            if let Err(refused) = call.check_key(&self.routes()) {
                if let Some(holder) = proved {
                    self.release(call, &key, holder.claim);
                }
                return Err(refused);
            }
            if let Err(refused) = self.check_suspect(call) {
                if let Some(holder) = proved {
                    self.release(call, &key, holder.claim);
                }
                return Err(refused);
            }
            let server = self.choose(call)?;
            let req = self.claim_request(call, &key, held, &server, proved.take())?;
            match self.claim(call, &req).await? {
                ClaimReply::Granted { index } => {
                    let granted = granted(&req, index);
                    let tried = self.attempt(call, held, &server, Some(granted.claimed)).await;
                    match self.after_attempt(call, &key, granted, tried) {
                        Next::Again(holder) => proved = Some(holder),
                        Next::Settled(tried) => return tried,
                    }
                }
                ClaimReply::Held { holder, same_request, released, age_ms, index } => {
                    call.tried.pop();
                    questions += 1;
                    if !same_request {
                        return Err(Refused::new(Reason::KeyReused));
                    }
                    if questions > QUESTIONS_AT_MOST {
                        return Err(Refused::new(Reason::StillRunning));
                    }
                    let known = Known { holder, released, age_ms, index };
                    proved = match self.earlier(call, &key, held, known).await {
                        Earlier::NotRun(holder) => Some(holder),
                        Earlier::Settled(tried) => return tried,
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
        held: &Held,
        server: &ServerId,
        proved: Option<Holder>,
    ) -> Result<ClaimRequest, Refused> {
        let incarnation = self
            .incarnation(call, held, server)
            .ok_or_else(|| Refused::new(Reason::PeerUnreachable))?;
        Ok(ClaimRequest {
            service: call.service.to_string(),
            key: key.to_string(),
            fingerprint: call.fingerprint(),
            attempt: proved.as_ref().map_or(1, |holder| holder.attempt + 1),
            claim: rand::random(),
            host: server.host.to_string(),
            backend_server: server.name.to_string(),
            incarnation,
            fenced: proved,
        })
    }

    /// Returns the incarnation of a backend server's inbound: by its own word, else by its
    /// registration.
    fn incarnation(&self, call: &Call, held: &Held, server: &ServerId) -> Option<u64> {
        if *server.host == *self.host {
            return Some(self.inbound.incarnation);
        }
        let said = self.with_server(call, server, |s, _| s.incarnation()).flatten();
        said.or_else(|| held.shared.hosts.get(&*server.host).map(|h| h.incarnation))
    }

    async fn claim(&self, call: &Call, req: &ClaimRequest) -> Result<ClaimReply, Refused> {
        let claimed = self.ledger.claim(req, self.patience(call)).await;
        claimed.map_err(|_| Refused::new(Reason::LedgerUnavailable))
    }

    /// Tells what follows an attempt; a key whose attempt was not run is freed.
    fn after_attempt(
        &self,
        call: &mut Call,
        key: &Arc<str>,
        granted: Granted,
        tried: Tried,
    ) -> Next {
        let refused = match tried {
            Err(refused) if refused.reason.outcome() == Outcome::NotRun => refused,
            settled => return Next::Settled(settled),
        };
        match self.weigh_retry(call, refused) {
            Ok(()) => Next::Again(granted.holder),
            Err(refused) => {
                self.release(call, key, granted.holder.claim);
                Next::Settled(Err(refused))
            }
        }
    }

    /// Frees the key without keeping the caller waiting.
    fn release(&self, call: &Call, key: &Arc<str>, claim: u64) {
        let req = ReleaseRequest { service: call.service.to_string(), key: key.to_string(), claim };
        let ledger = self.ledger.clone();
        tokio::spawn(async move { ledger.release(req).await });
    }

    /// Finds out what became of an earlier attempt.
    async fn earlier(&self, call: &Call, key: &Arc<str>, held: &Held, known: Known) -> Earlier {
        let Known { holder, released, age_ms, index } = known;
        if released {
            return Earlier::NotRun(holder);
        }
        let question = FenceRequest {
            service: call.service.to_string(),
            key: key.to_string(),
            attempt: holder.attempt,
            claim: holder.claim,
            index,
            incarnation: holder.incarnation,
            forbid: age_ms >= FORBID_AFTER_MS,
        };
        let fate = self.fate(call, held, &holder, question).await;
        let reason = match (fate.state, fate.answer) {
            (AttemptState::Fenced, _) => return Earlier::NotRun(holder),
            (AttemptState::Answered, Some(answer)) => {
                let mut res = answer;
                headers::set_static(res.headers_mut(), headers::REPLAYED, "true");
                return Earlier::Settled(Ok(res));
            }
            (AttemptState::Answered | AttemptState::Ran, _) => Reason::RanBefore,
            (AttemptState::Running | AttemptState::Absent, _) => Reason::StillRunning,
            (AttemptState::Unknown, _) => Reason::EarlierUnknown,
        };
        Earlier::Settled(Err(Refused { reason, retry_after: STILL_RUNNING_RETRY }))
    }

    async fn fate(
        &self,
        call: &Call,
        held: &Held,
        holder: &Holder,
        question: FenceRequest,
    ) -> RemoteFate {
        if *holder.host == *self.host {
            return self.inbound.fence(&question).into();
        }
        let patience = self.patience(call);
        let asked = tokio::time::timeout(patience, self.ask(held, holder, &question)).await;
        asked.ok().flatten().unwrap_or_default()
    }

    async fn ask(
        &self,
        held: &Held,
        holder: &Holder,
        question: &FenceRequest,
    ) -> Option<RemoteFate> {
        let address = &held.shared.hosts.get(&holder.host)?.peer_address;
        let text = serde_json::to_vec(question).ok()?;
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

/// What became of an attempt, here or at a peer.
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

fn granted(req: &ClaimRequest, index: u64) -> Granted {
    Granted {
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
