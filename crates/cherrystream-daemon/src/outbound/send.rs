//! A single attempt: sends a request to the inbound of the chosen backend server.

use super::request::Call;
use super::{AttemptResult, Outbound};
use crate::current_config::CurrentConfig;
use crate::headers::{self, Op};
use crate::hop;
use crate::inbound::{InboundCall, MAX_CACHED_BYTES};
use crate::peer::{NoAnswer, PeerConnection, Traffic};
use crate::peer_server::ClaimHeader;
use crate::refusal::Refused;
use crate::sync::PeerRevision;
use cherrystream_core::attempts::{Claimed, RequestKey};
use cherrystream_core::choose::{CallId, Distance, Server, ServerId};
use cherrystream_core::reasons::{Outcome, Reason};
use cherrystream_core::reservations::Reservation;
use cherrystream_core::retry;
use cherrystream_core::units;
use cherrystream_net::body::{self, Body, Start};
use cherrystream_net::framing;
use http::{HeaderMap, Request, Response, Uri, header};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time beyond the deadline in which an inbound can report that the deadline has passed.
const DEADLINE_GRACE: Duration = Duration::from_millis(50);

/// Claim and reservation obtained before a call is sent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Permits {
    /// Claim on the idempotency key of a non-repeatable request.
    pub(super) claimed: Option<Claimed>,
    /// Slot reserved for the call, if it needed one.
    pub(super) reservation: Option<Reservation>,
}

impl Outbound {
    /// Makes one attempt at a backend server and records its result.
    pub(super) async fn attempt(
        &self,
        call: &mut Call,
        current: &CurrentConfig,
        server: &ServerId,
        claimed: Option<Claimed>,
    ) -> AttemptResult {
        let started = self.clock.now();
        let max_wait = self.remaining_wait(call);
        let mut flight = InFlightGuard::start(self, call, server);
        let result = self.attempt_within(call, current, server, claimed).await;
        flight.has_ended = true;
        let took = self.clock.now().since(started);
        self.with_server(call, server, |s, now| match &result {
            Ok(res) if res.status().is_server_error() => s.on_error(now),
            Ok(_) => s.on_answer(took),
            // A silent connection says nothing about the backend server.
            Err(refused) if retry::is_connection_silent(refused.reason) => {}
            Err(refused) if refused.reason.outcome() == Outcome::Unknown => s.on_error(now),
            Err(refused) if refused.reason == Reason::BusyNow => {
                s.on_busy(now, &call.class.kind, refused.retry_after);
            }
            Err(refused) if refused.reason == Reason::OverServerLimit => {
                s.on_token_wait(now, refused.retry_after);
            }
            Err(refused) if is_queue_refusal(refused.reason) => {
                // The queue must drain until its wait is within the wait of this request.
                let busy_for = refused.retry_after.saturating_sub(max_wait);
                s.on_full(now, &call.class.kind, busy_for);
            }
            Err(refused) if is_unavailable(refused.reason) => s.on_closed(now),
            Err(_) => {}
        });
        result
    }

    async fn attempt_within(
        &self,
        call: &mut Call,
        current: &CurrentConfig,
        server: &ServerId,
        claimed: Option<Claimed>,
    ) -> AttemptResult {
        if call.deadline.remaining(self.clock.now()).is_none() {
            return Err(Refused::new(Reason::DeadlineBeforeStart));
        }
        let ends_at = call.deadline.at() + DEADLINE_GRACE;
        let needs_reservation = call.body.needs_reservation() || self.must_reserve(call, server);
        let reservation = match claimed.is_none() && needs_reservation {
            true => Some(self.reserve(call, current, server).await?),
            false => None,
        };
        if reservation.is_some() {
            // The key may have been revoked during the wait for the slot.
            call.check_key(&self.routes())?;
        }
        let permits = Permits { claimed, reservation };
        call.in_flight.fetch_add(1, Ordering::Relaxed);
        let attempt = async {
            match *server.host == *self.host {
                true => {
                    let res = self.send_local(call, server, permits).await?;
                    self.buffer_if_short(call, res).await
                }
                false => self.send_remote(call, current, server, permits).await,
            }
        };
        let result = self.clock.timeout_at(ends_at, attempt).await;
        // An attempt dropped before this point remains in flight, as its outcome is unknown.
        call.in_flight.fetch_sub(1, Ordering::Relaxed);
        result.unwrap_or(Err(Refused::new(Reason::DeadlinePassed)))
    }

    async fn send_local(
        &self,
        call: &mut Call,
        server: &ServerId,
        permits: Permits,
    ) -> AttemptResult {
        let mut req = self.build_request(call)?;
        headers::set(req.headers_mut(), headers::ALLOWANCE, call.allowance.left());
        let sent_at = self.clock.now();
        let answer = self.inbound.call(self.inbound_call(call, server, permits, req)).await;
        self.on_signals(call, server, answer.signals.as_ref());
        if let Some(report) = answer.report {
            self.with_server(call, server, |s, now| s.on_report(now, report));
        }
        if answer.signals.is_none() && answer.result.is_ok() {
            self.on_no_signals(call, server, sent_at);
        }
        answer.result
    }

    /// Returns a call for the inbound of this host.
    pub(super) fn inbound_call(
        &self,
        call: &Call,
        server: &ServerId,
        permits: Permits,
        req: Request<Body>,
    ) -> InboundCall {
        let claimed = permits.claimed.zip(request_key(call));
        InboundCall {
            service: call.service.clone(),
            server: server.name.clone(),
            kind: call.class.kind.as_str().into(),
            caller: self.caller_service.clone(),
            workspace: call.workspace_name().cloned(),
            weight: call.class.weight,
            deadline: call.deadline,
            max_wait: self.remaining_wait(call),
            selective: call.is_selective(),
            good_for: self.time_to_target(call),
            reservation: permits.reservation,
            identity: call.identity,
            alone: call.alone,
            is_resendable: call.is_repeatable_after_silence(),
            call: call.id.clone(),
            claimed: claimed.map(|(claimed, key)| (key, claimed)),
            hint: self.signal_hint(call, server),
            req,
        }
    }

    async fn send_remote(
        &self,
        call: &mut Call,
        current: &CurrentConfig,
        server: &ServerId,
        permits: Permits,
    ) -> AttemptResult {
        let Some(record) = current.shared.hosts.get(&*server.host) else {
            return Err(Refused::new(Reason::PeerUnreachable));
        };
        let mut req = self.build_request(call)?;
        let connection = self.connect(call, &record.peer_address, Traffic::of(&req)).await?;
        // The remaining time is read after the wait for the connection.
        self.set_peer_headers(req.headers_mut(), Op::Call, call, server, permits);
        let is_resendable = call.is_repeatable_after_silence();
        if is_resendable {
            headers::set_static(req.headers_mut(), headers::RESENDABLE, "1");
        }
        *req.uri_mut() = peer_target(call, &record.peer_address)?;
        *req.version_mut() = http::Version::HTTP_2;
        self.metrics.peer_calls.inc();
        if !is_resendable {
            return self.exchange(call, server, &record.peer_address, connection, req).await;
        }
        let replaced = connection.replaced();
        tokio::select! {
            biased;
            result = self.exchange(call, server, &record.peer_address, connection, req) => result,
            () = replaced => Err(Refused::new(Reason::PeerSilent)),
        }
    }

    /// Sends a request to a peer and reads the answer.
    async fn exchange(
        &self,
        call: &Call,
        server: &ServerId,
        address: &str,
        connection: PeerConnection,
        req: Request<Body>,
    ) -> AttemptResult {
        let sent_at = self.clock.now();
        let res = connection.send(req).await.map_err(|e| {
            Refused::new(match e {
                NoAnswer::NotSent => Reason::PeerUnreachable,
                NoAnswer::Broke => Reason::PeerBroke,
            })
        })?;
        let has_signals = res.headers().contains_key(headers::SIGNALS);
        let result = self.read_answer(call, server, address, res);
        if !has_signals && result.is_ok() {
            self.on_no_signals(call, server, sent_at);
        }
        self.buffer_if_short(call, result?).await
    }

    /// Buffers a short answer, so that an incomplete one is detected before it is forwarded. The rest
    /// of a long one fails at the deadline.
    async fn buffer_if_short(&self, call: &Call, res: Response<Body>) -> AttemptResult {
        let (parts, body) = res.into_parts();
        let body = match body::read_start(body, MAX_CACHED_BYTES).await {
            Ok(Start::Whole(bytes)) => body::full(bytes),
            Ok(Start::Longer(body)) => {
                let ends_at = call.deadline.at() + DEADLINE_GRACE;
                body::within(body, ends_at.since(self.clock.now()))
            }
            Err(_) => return Err(Refused::new(Reason::BackendServerBroke)),
        };
        Ok(Response::from_parts(parts, body))
    }

    /// Returns a connection to a peer. Nothing of the request is sent meanwhile, so it has provably
    /// not run if the deadline passes.
    pub(super) async fn connect(
        &self,
        call: &Call,
        address: &str,
        traffic: Traffic,
    ) -> Result<PeerConnection, Refused> {
        let connecting = self.peers.connect(address, traffic);
        match self.clock.timeout_at(call.deadline.at(), connecting).await {
            Ok(connection) => connection.ok_or(Refused::new(Reason::PeerUnreachable)),
            Err(_) => Err(Refused::new(Reason::DeadlineBeforeStart)),
        }
    }

    /// Returns the remaining time that the request may wait for a slot.
    pub(super) fn remaining_wait(&self, call: &Call) -> Duration {
        let now = self.clock.now();
        let remaining = call.deadline.remaining(now).unwrap_or_default();
        let max_wait = call.times.map(|times| times.queue_until.since(now));
        max_wait.map_or(remaining, |max_wait| max_wait.min(remaining))
    }

    /// Returns the remaining time in which an answer is useful, if the route has a target latency.
    fn time_to_target(&self, call: &Call) -> Option<Duration> {
        call.times.map(|times| times.good_until.since(self.clock.now()))
    }

    fn build_request(&self, call: &mut Call) -> Result<Request<Body>, Refused> {
        let body = call.body.take().ok_or(Refused::new(Reason::BadRequest))?;
        let mut req = Request::new(body);
        *req.method_mut() = call.method.clone();
        *req.uri_mut() = call.uri.clone();
        *req.headers_mut() = call.headers.clone();
        Ok(req)
    }

    pub(super) fn set_peer_headers(
        &self,
        map: &mut HeaderMap,
        op: Op,
        call: &Call,
        server: &ServerId,
        permits: Permits,
    ) {
        let remaining = call.deadline.remaining(self.clock.now()).unwrap_or_default();
        let target = hop::CallTarget {
            service: &call.service,
            server: &server.name,
            kind: &call.class.kind,
            caller: self.caller_service.as_deref(),
            workspace: call.workspace_name().map(|name| &**name),
        };
        let head = hop::CallHead {
            call: call.id.clone(),
            weight: call.class.weight,
            remaining_us: units::micros(remaining),
            wait_us: units::micros(self.remaining_wait(call)),
            allowance: call.allowance.left(),
            selective: call.is_selective(),
            good_us: self.time_to_target(call).map(units::micros),
            reservation: permits.reservation,
            request: hop::write_fingerprint(call.identity.request),
            alone: call.alone,
        };
        hop::write_call(map, op, &target, &head);
        hop::write_hint(map, self.signal_hint(call, server).as_ref());
        if let Some(Claimed { claim, index, incarnation }) = permits.claimed {
            headers::set_json(map, headers::CLAIM, &ClaimHeader { claim, index, incarnation });
        }
        if let Some(key) = &self.key {
            headers::set(map, headers::KEY, key.expose());
        }
    }

    /// Reads the answer of a peer.
    fn read_answer(
        &self,
        call: &Call,
        server: &ServerId,
        address: &str,
        res: Response<Body>,
    ) -> AttemptResult {
        let Some(head) = self.read_answer_head(call, server, address, res.headers()) else {
            return Err(Refused::new(Reason::WrongCall));
        };
        if let Some(refused) = hop::read_refusal(res.headers(), &head) {
            return Err(refused);
        }
        // A peer of an earlier release may not have checked it.
        framing::check_status(res.status()).map_err(|_| Refused::new(Reason::MalformedAnswer))?;
        let (mut parts, body) = res.into_parts();
        headers::remove_own_from_answer(&mut parts.headers);
        parts.version = http::Version::HTTP_11;
        Ok(Response::from_parts(parts, body))
    }

    /// Reads the metadata of a peer's answer; returns `None` if it belongs to another call. Records
    /// the peer's revision and the load report.
    pub(super) fn read_answer_head(
        &self,
        call: &Call,
        server: &ServerId,
        address: &str,
        map: &HeaderMap,
    ) -> Option<hop::AnswerHead> {
        if let Some(revision) = headers::text(map, &headers::REVISION)
            .and_then(units::parse_revision)
            .filter(|revision| *revision > self.current_config.revision())
        {
            let near = matches!(server.distance, Distance::SameHost | Distance::SameDomain);
            self.newest_peer.record(PeerRevision { address: address.into(), revision, near });
        }
        let mut head = hop::read_answer(map).filter(|head| head.call == call.id)?;
        if let Some(report) = head.report.take() {
            self.with_server(call, server, |s, now| s.on_report(now, report));
        }
        let signals = hop::read_signals(map, &call.service);
        self.on_signals(call, server, signals.as_ref());
        Some(head)
    }

    pub(super) fn with_server<R>(
        &self,
        call: &Call,
        server: &ServerId,
        f: impl FnOnce(&mut Server, units::Timestamp) -> R,
    ) -> Option<R> {
        let balancer = self.balancer(&call.service)?;
        let mut balancer = balancer.lock();
        let now = self.clock.now();
        balancer.server(&server.name).map(|s| f(s, now))
    }
}

/// Counts a call as in flight at a backend server until it is dropped.
struct InFlightGuard<'a> {
    outbound: &'a Outbound,
    service: Arc<str>,
    server: Arc<str>,
    call_id: Option<CallId>,
    started: units::Timestamp,
    has_ended: bool,
}

impl InFlightGuard<'_> {
    fn start<'a>(outbound: &'a Outbound, call: &Call, server: &ServerId) -> InFlightGuard<'a> {
        let call_id = outbound.with_server(call, server, |s, now| s.on_sent(now));
        InFlightGuard {
            outbound,
            service: call.service.clone(),
            server: server.name.clone(),
            call_id,
            started: outbound.clock.now(),
            has_ended: false,
        }
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        let now = self.outbound.clock.now();
        if !self.has_ended {
            let waited = now.since(self.started);
            self.outbound.request_log.cancelled(now, &self.service, &self.server, waited);
        }
        let Some(balancer) = self.outbound.balancer(&self.service) else { return };
        let mut balancer = balancer.lock();
        let (Some(call_id), Some(server)) = (self.call_id, balancer.server(&self.server)) else {
            return;
        };
        match self.has_ended {
            true => server.on_ended(call_id),
            false => server.on_abandoned(now, call_id),
        }
    }
}

/// Returns whether the backend server or its host accepts no requests for a while.
fn is_unavailable(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::Draining
            | Reason::HostLeaving
            | Reason::BackendServerDown
            | Reason::NotHere
            | Reason::OtherInstance
            | Reason::PeerUnreachable
    )
}

/// Returns whether the request was refused because of the length of the queue.
fn is_queue_refusal(reason: Reason) -> bool {
    matches!(reason, Reason::QueueTooLong | Reason::QueueFull)
}

fn request_key(call: &Call) -> Option<RequestKey> {
    Some(RequestKey { service: call.service.clone(), key: call.key.clone()? })
}

/// Returns the URI of a call to a peer. Its authority is the host name that the caller requested.
pub(super) fn peer_target(call: &Call, address: &str) -> Result<Uri, Refused> {
    let authority = headers::text(&call.headers, &header::HOST).unwrap_or(address);
    let path = call.uri.path_and_query().cloned();
    let built = Uri::builder().scheme("http").authority(authority);
    let built = built.path_and_query(path.map_or("/".into(), |p| p.to_string())).build();
    built.map_err(|_| Refused::new(Reason::BadRequest))
}
