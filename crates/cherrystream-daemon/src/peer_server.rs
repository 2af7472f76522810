//! Serves the requests of daemons of other hosts.

use crate::current_config::{CurrentConfig, CurrentConfigCell};
use crate::headers::{self, Op};
use crate::hop;
use crate::inbound::{Inbound, InboundCall};
use crate::metrics::Metrics;
use crate::quotas::{self, Quotas};
use crate::refusal::{self, Refused};
use crate::suspects::{self, SuspectTracker};
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

/// Largest body of a JSON request between daemons.
const MAX_REQUEST_BYTES: usize = 64 * 1024;

/// Serves the requests of other daemons.
#[derive(Clone)]
pub struct PeerServer {
    /// The inbound of this host.
    pub inbound: Arc<Inbound>,
    /// Quotas of the workspaces.
    pub quotas: Arc<Quotas>,
    /// Detection of requests that crash backend servers.
    pub suspects: Arc<SuspectTracker>,
    /// The current shared state.
    pub current_config: Arc<CurrentConfigCell>,
    /// Cache of encoded updates that other daemons can fetch.
    pub update_cache: Arc<Mutex<UpdateCache>>,
    /// Key for the fingerprints of requests and callers.
    pub fingerprints: FingerprintKey,
    /// Key shared by the processes of the system.
    pub key: Option<Secret>,
    /// Clock of the process.
    pub clock: Clock,
    /// Metrics of the daemon.
    pub metrics: Metrics,
}

/// Header that carries the claim of an attempt.
#[derive(Debug, Serialize, serde::Deserialize)]
pub struct ClaimHeader {
    /// Random identifier of the claim.
    pub claim: u64,
    /// Index of the claim in the log of control.
    pub index: u64,
    /// Incarnation of the daemon that the attempt is addressed to.
    pub incarnation: u64,
}

impl PeerServer {
    /// Handles a request of another daemon.
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
        headers::set(
            res.headers_mut(),
            headers::REVISION,
            DisplayRevision(self.current_config.revision()),
        );
        res
    }

    async fn call(&self, req: Request<Incoming>) -> Response<Body> {
        let Some(call) = self.read_call(req) else {
            return refusal::response(Refused::new(Reason::BadRequest));
        };
        let id = call.call.clone();
        let answer = self.inbound.call(call).await;
        let mut res = hop::write_answer(id, answer.result, answer.report);
        hop::write_signals(res.headers_mut(), answer.signals.as_ref());
        res
    }

    async fn reserve(&self, req: Request<Incoming>) -> Response<Body> {
        let Some(call) = self.read_call(req) else {
            return refusal::response(Refused::new(Reason::BadRequest));
        };
        let id = call.call.clone();
        let reserved = self.inbound.reserve(call).await;
        let mut res = hop::write_reservation(id, reserved.result, reserved.report);
        hop::write_signals(res.headers_mut(), reserved.signals.as_ref());
        res
    }

    fn read_call(&self, req: Request<Incoming>) -> Option<InboundCall> {
        let (mut parts, incoming) = req.into_parts();
        let map = &parts.headers;
        let (aim, head) = hop::read_call(map)?;
        let service: Arc<str> = aim.service.into();
        let server: Arc<str> = aim.server.into();
        let hint = hop::read_hint(map, &service, &server);
        let kind = aim.kind.into();
        let caller = aim.caller.map(Into::into);
        let workspace = aim.workspace.map(Into::into);
        let caller_fingerprint =
            CallerFingerprint::new(&self.fingerprints, aim.workspace, aim.caller);
        let claimed = read_claim(map, &service);
        let is_resendable = map.contains_key(headers::RESENDABLE);
        headers::remove_own(&mut parts.headers);
        headers::set(&mut parts.headers, headers::ALLOWANCE, head.allowance);
        // HTTP/2 carries the host name in the target; HTTP/1.1 requires a header.
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
            identity: Identity {
                request: hop::read_fingerprint(head.request),
                caller: caller_fingerprint,
            },
            alone: head.alone,
            is_resendable,
            call: head.call,
            claimed,
            hint,
            req,
        })
    }

    async fn fence(&self, req: Request<Incoming>) -> Response<Body> {
        let Some(fence) = read_json::<FenceRequest>(req).await else {
            return refusal::response(Refused::new(Reason::BadRequest));
        };
        let fate = self.inbound.fence(&fence);
        let mut res = match &fate.answer {
            Some(answer) => answer.response(),
            None => Response::new(body::empty()),
        };
        headers::set_json(res.headers_mut(), headers::FATE, &fate.state);
        res
    }

    /// Handles a batch of lease requests.
    async fn quota(&self, req: Request<Incoming>) -> Response<Body> {
        let batch = quotas::read_bytes(body::incoming(req.into_body())).await;
        match batch.and_then(|batch| self.quotas.answer(&batch)) {
            Some(reply) => Response::new(body::full(reply)),
            None => refusal::response(Refused::new(Reason::BadRequest)),
        }
    }

    /// Handles a message about suspect requests.
    async fn suspects(&self, req: Request<Incoming>) -> Response<Body> {
        let message = suspects::read_bytes(body::incoming(req.into_body())).await;
        match message.and_then(|message| self.suspects.answer(&message)) {
            Some(answer) => Response::new(body::full(answer)),
            None => refusal::response(Refused::new(Reason::BadRequest)),
        }
    }

    /// Clears the suspect request with the given fingerprint.
    async fn lift(&self, req: Request<Incoming>) -> Response<Body> {
        let fingerprint = read_json::<String>(req).await;
        match fingerprint.and_then(|fingerprint| Fingerprint::read(&fingerprint)) {
            Some(request) => json(&LiftReply { lifted: self.suspects.clear(request) }),
            None => refusal::response(Refused::new(Reason::BadRequest)),
        }
    }

    /// Offers the state of this daemon to one with an older revision.
    fn fetch(&self, headers: &HeaderMap) -> Response<Body> {
        let requester_revision =
            headers::text(headers, &headers::REVISION).and_then(units::parse_revision);
        let held = self.current_config.get();
        if held.revision <= requester_revision.unwrap_or_default() {
            return observe::plain(StatusCode::NOT_FOUND, "there is no newer state here\n");
        }
        let offer = Offer { id: self.encode_full(&held), first: None, peers: Vec::new() };
        let text = serde_json::to_vec(&offer).unwrap_or_default();
        Response::new(body::full(text))
    }

    /// Returns the identity of the encoded full state; encodes it unless it is cached.
    fn encode_full(&self, held: &CurrentConfig) -> StateId {
        let mut cache = self.update_cache.lock();
        let newest = cache.furthest(Revision::default()).map(EncodedUpdate::id);
        if let Some(id) = newest.filter(|id| id.to == held.revision) {
            return id;
        }
        let full = Some(held.to_shared());
        let update = Update { revision: held.revision, changes: Vec::new(), full };
        let encoded = EncodedUpdate::new(Revision::default(), &update);
        let id = encoded.id();
        cache.add(encoded);
        id
    }

    /// Returns a chunk of an update that this daemon downloaded or offered.
    fn chunk(&self, headers: &HeaderMap) -> Response<Body> {
        let Some(req) = headers::json::<ChunkRequest>(headers, &headers::CHUNK) else {
            return refusal::response(Refused::new(Reason::BadRequest));
        };
        let mut cache = self.update_cache.lock();
        let update = cache.get(&req.id);
        match update.and_then(|update| update.chunk(req.offset, chunks::wanted(req.bytes))) {
            Some(data) => Response::new(body::full(data.to_vec())),
            None => observe::plain(StatusCode::NOT_FOUND, "the update is not cached here\n"),
        }
    }
}

/// Reads the state of the attempt from the response to [`Op::Fence`].
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

async fn read_json<T: serde::de::DeserializeOwned>(req: Request<Incoming>) -> Option<T> {
    let read = body::read_start(body::incoming(req.into_body()), MAX_REQUEST_BYTES).await;
    match read {
        Ok(Start::Whole(bytes)) => serde_json::from_slice(&bytes).ok(),
        _ => None,
    }
}
