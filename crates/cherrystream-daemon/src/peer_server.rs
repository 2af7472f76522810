//! The port for the daemons of other hosts.

use crate::current_config::{CurrentConfig, CurrentConfigCell};
use crate::headers::{self, Op};
use crate::hop;
use crate::inbound::{Inbound, InboundCall};
use crate::metrics::Metrics;
use crate::quotas::{self, Quotas};
use crate::refusal::{self, Refused};
use crate::suspects::{self, SuspectWatch};
use cherrystream_core::attempts::{Claimed, RequestKey};
use cherrystream_core::deadline::Deadline;
use cherrystream_core::distribution::{EncodedUpdate, UpdateCache};
use cherrystream_core::reasons::Reason;
use cherrystream_core::suspects::{CallerFingerprint, Fingerprint, FingerprintKey, Identity};
use cherrystream_core::units::{self, DisplayRevision, Revision};
use cherrystream_net::body::{self, Body, Start};
use cherrystream_net::chunks;
use cherrystream_net::clock::Clock;
use cherrystream_net::key::{self, Secret};
use cherrystream_net::observe;
use cherrystream_schema::messages::{
    AttemptState, ChunkRequest, FenceRequest, LiftReply, Offer, StateId, Update,
};
use http::{HeaderMap, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

/// Largest body of a question between daemons.
const QUESTION_BYTES: usize = 64 * 1024;

/// The port.
#[derive(Clone)]
pub struct PeerServer {
    /// The inbound of this host.
    pub inbound: Arc<Inbound>,
    /// Quotas.
    pub quotas: Arc<Quotas>,
    /// Requests that end backend servers.
    pub suspects: Arc<SuspectWatch>,
    /// Shared state held.
    pub held: Arc<CurrentConfigCell>,
    /// Encoded updates that other daemons may fetch here.
    pub library: Arc<Mutex<UpdateCache>>,
    /// Key of requests' fingerprints.
    pub fingerprints: FingerprintKey,
    /// Key of the system's own processes.
    pub key: Option<Secret>,
    /// The clock.
    pub clock: Clock,
    /// Metrics.
    pub metrics: Metrics,
}

/// Header form of a claim.
#[derive(Debug, Serialize, serde::Deserialize)]
pub struct ClaimHeader {
    /// Random number of the claim.
    pub claim: u64,
    /// Log index of the claim.
    pub index: u64,
    /// Incarnation that the attempt is meant for.
    pub incarnation: u64,
}

impl PeerServer {
    /// Answers a request.
    pub async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        if !key::is_given(self.key.as_ref(), headers::text(req.headers(), &headers::KEY)) {
            self.metrics.wrong_keys.inc();
            return observe::plain(
                StatusCode::UNAUTHORIZED,
                "the shared key is missing or wrong\n",
            );
        }
        let mut res = match Op::read(req.headers()) {
            Some(Op::Call) => self.call(req).await,
            Some(Op::Reserve) => self.reserve(req).await,
            Some(Op::Fence) => self.fence(req).await,
            Some(Op::Fetch) => self.fetch(req.headers()),
            Some(Op::Chunk) => self.chunk(req.headers()),
            Some(Op::Quota) => self.quota(req).await,
            Some(Op::Suspects) => self.suspects(req).await,
            Some(Op::SuspectList) => json(&self.suspects.list()),
            Some(Op::SuspectLift) => self.lift(req).await,
            None => observe::plain(StatusCode::BAD_REQUEST, "this port is for daemons only\n"),
        };
        headers::set(res.headers_mut(), headers::REVISION, DisplayRevision(self.held.revision()));
        res
    }

    async fn call(&self, req: Request<Incoming>) -> Response<Body> {
        let Some(call) = self.read_call(req) else {
            return refusal::response(Refused::new(Reason::BadRequest));
        };
        let id = call.call.clone();
        let answer = self.inbound.call(call).await;
        hop::write_answer(id, answer.result, answer.report)
    }

    async fn reserve(&self, req: Request<Incoming>) -> Response<Body> {
        let Some(call) = self.read_call(req) else {
            return refusal::response(Refused::new(Reason::BadRequest));
        };
        let id = call.call.clone();
        let reserved = self.inbound.reserve(call).await;
        hop::write_reservation(id, reserved.result, reserved.report)
    }

    fn read_call(&self, req: Request<Incoming>) -> Option<InboundCall> {
        let (mut parts, incoming) = req.into_parts();
        let map = &parts.headers;
        let (aim, head) = hop::read_call(map)?;
        let service: Arc<str> = aim.service.into();
        let server = aim.server.into();
        let kind = aim.kind.into();
        let caller = aim.caller.map(Into::into);
        let workspace = aim.workspace.map(Into::into);
        let mark = CallerFingerprint::new(&self.fingerprints, aim.workspace, aim.caller);
        let claimed = read_claim(map, &service);
        headers::remove_own(&mut parts.headers);
        headers::set(&mut parts.headers, headers::ALLOWANCE, head.allowance);
        // HTTP/2 carries the host name in the target; HTTP/1.1 wants it as a header.
        if let Some(authority) = parts.uri.authority() {
            headers::set(&mut parts.headers, header::HOST, authority);
        }
        parts.uri = parts.uri.path_and_query()?.as_str().parse().ok()?;
        let deadline = Deadline::new(self.clock.now(), None, head.remaining());
        let req = Request::from_parts(parts, body::incoming(incoming));
        Some(InboundCall {
            service,
            server,
            kind,
            caller,
            workspace,
            weight: head.weight,
            deadline,
            max_wait: head.wait(),
            selective: head.selective,
            good_for: head.good_us.map(Duration::from_micros),
            reservation: head.reservation,
            identity: Identity { request: hop::read_fingerprint(head.request), caller: mark },
            alone: head.alone,
            call: head.call,
            claimed,
            req,
        })
    }

    async fn fence(&self, req: Request<Incoming>) -> Response<Body> {
        let Some(question) = read_question::<FenceRequest>(req).await else {
            return refusal::response(Refused::new(Reason::BadRequest));
        };
        let fate = self.inbound.fence(&question);
        let mut res = match &fate.answer {
            Some(answer) => answer.response(),
            None => Response::new(body::empty()),
        };
        headers::set_json(res.headers_mut(), headers::FATE, &fate.state);
        res
    }

    /// Answers a batch on quotas.
    async fn quota(&self, req: Request<Incoming>) -> Response<Body> {
        let batch = quotas::read_bytes(body::incoming(req.into_body())).await;
        match batch.and_then(|batch| self.quotas.answer(&batch)) {
            Some(reply) => Response::new(body::full(reply)),
            None => refusal::response(Refused::new(Reason::BadRequest)),
        }
    }

    /// Answers a message on requests that end backend servers.
    async fn suspects(&self, req: Request<Incoming>) -> Response<Body> {
        let message = suspects::read_bytes(body::incoming(req.into_body())).await;
        match message.and_then(|message| self.suspects.answer(&message)) {
            Some(answer) => Response::new(body::full(answer)),
            None => refusal::response(Refused::new(Reason::BadRequest)),
        }
    }

    /// Clears the request whose mark is asked for.
    async fn lift(&self, req: Request<Incoming>) -> Response<Body> {
        let mark = read_question::<String>(req).await;
        match mark.and_then(|mark| Fingerprint::read(&mark)) {
            Some(request) => json(&LiftReply { lifted: self.suspects.lift(request) }),
            None => refusal::response(Refused::new(Reason::BadRequest)),
        }
    }

    /// Offers the state that this daemon holds, to one that holds an older one.
    fn fetch(&self, headers: &HeaderMap) -> Response<Body> {
        let asker = headers::text(headers, &headers::REVISION).and_then(units::parse_revision);
        let held = self.held.get();
        if held.revision <= asker.unwrap_or_default() {
            return observe::plain(StatusCode::NOT_FOUND, "nothing newer is held here\n");
        }
        let offer = Offer { id: self.whole(&held), first: None, peers: Vec::new() };
        let text = serde_json::to_vec(&offer).unwrap_or_default();
        Response::new(body::full(text))
    }

    /// Encodes the whole state held, unless that was done before.
    fn whole(&self, held: &CurrentConfig) -> StateId {
        let mut library = self.library.lock();
        let newest = library.furthest(Revision::default()).map(EncodedUpdate::id);
        if let Some(id) = newest.filter(|id| id.to == held.revision) {
            return id;
        }
        let full = Some(held.to_shared());
        let update = Update { revision: held.revision, changes: Vec::new(), full };
        let encoded = EncodedUpdate::new(Revision::default(), &update);
        let id = encoded.id();
        library.add(encoded);
        id
    }

    /// Answers with a part of an update that this daemon fetched or offered.
    fn chunk(&self, headers: &HeaderMap) -> Response<Body> {
        let Some(req) = headers::json::<ChunkRequest>(headers, &headers::CHUNK) else {
            return refusal::response(Refused::new(Reason::BadRequest));
        };
        let mut library = self.library.lock();
        let known = library.get(&req.id);
        match known.and_then(|known| known.chunk(req.offset, chunks::wanted(req.bytes))) {
            Some(data) => Response::new(body::full(data.to_vec())),
            None => observe::plain(StatusCode::NOT_FOUND, "this update is not held here\n"),
        }
    }
}

/// Reads the state from the answer to [`Op::Fence`].
pub fn read_fate(res: &Response<Body>) -> AttemptState {
    headers::json(res.headers(), &headers::FATE).unwrap_or(AttemptState::Unknown)
}

fn json(value: &impl Serialize) -> Response<Body> {
    Response::new(body::full(serde_json::to_vec(value).unwrap_or_default()))
}

fn read_claim(map: &HeaderMap, service: &Arc<str>) -> Option<(RequestKey, Claimed)> {
    let header: ClaimHeader = headers::json(map, &headers::CLAIM)?;
    let key = headers::text(map, &headers::IDEMPOTENCY_KEY)?.into();
    let claimed =
        Claimed { claim: header.claim, index: header.index, incarnation: header.incarnation };
    Some((RequestKey { service: service.clone(), key }, claimed))
}

async fn read_question<T: serde::de::DeserializeOwned>(req: Request<Incoming>) -> Option<T> {
    let read = body::read_start(body::incoming(req.into_body()), QUESTION_BYTES).await;
    match read {
        Ok(Start::Whole(bytes)) => serde_json::from_slice(&bytes).ok(),
        _ => None,
    }
}
