//! One attempt: the hop to the inbound beside the chosen backend server.

use super::request::Call;
use super::{Outbound, Tried};
use crate::headers::{self, Op};
use crate::held::Held;
use crate::hop;
use crate::inbound::{InboundCall, MAX_CACHED_BYTES};
use crate::peer::{Line, NoAnswer};
use crate::peer_server::ClaimHeader;
use crate::refusal::Refused;
use crate::sync::Seen;
use cherrystream_core::attempts::{Claimed, RequestKey};
use cherrystream_core::choose::{Distance, Sent, Server, ServerId};
use cherrystream_core::reasons::{Outcome, Reason};
use cherrystream_core::reservations::Reservation;
use cherrystream_core::units;
use cherrystream_net::body::{self, Body, Start};
use http::{HeaderMap, Request, Response, Uri, header};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time beyond the deadline that an inbound has to tell that the deadline passed.
const LAST_WORD: Duration = Duration::from_millis(50);

/// What a call was given before it is sent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Admitted {
    /// Claim on its key, if it may not be repeated.
    pub(super) claimed: Option<Claimed>,
    /// Slot that is kept for it, if it asked for one.
    pub(super) reservation: Option<Reservation>,
}

impl Outbound {
    /// Sends a call to a backend server, once.
    pub(super) async fn attempt(
        &self,
        call: &mut Call,
        held: &Held,
        server: &ServerId,
        claimed: Option<Claimed>,
    ) -> Tried {
        let started = self.clock.now();
        let patience = self.wait_left(call);
        let _flight = Flight::start(self, call, server);
        let result = self.attempt_within(call, held, server, claimed).await;
        let took = self.clock.now().since(started);
        self.with_server(call, server, |s, now| match &result {
            Ok(res) if res.status().is_server_error() => s.on_error(now),
            Ok(_) => s.on_answer(took),
            Err(refused) if refused.reason.outcome() == Outcome::Unknown => s.on_error(now),
            Err(refused) if refused.reason == Reason::BusyNow => {
                s.on_busy(now, &call.treatment.kind, refused.retry_after);
            }
            Err(refused) if is_queue(refused.reason) => {
                // What is ahead in the queue must shrink to what the request can wait.
                let lasts = refused.retry_after.saturating_sub(patience);
                s.on_full(now, &call.treatment.kind, lasts);
            }
            Err(refused) if is_closed(refused.reason) => s.on_closed(now),
            Err(_) => {}
        });
        result
    }

    async fn attempt_within(
        &self,
        call: &mut Call,
        held: &Held,
        server: &ServerId,
        claimed: Option<Claimed>,
    ) -> Tried {
        let Some(remaining) = call.deadline.remaining(self.clock.now()) else {
            return Err(Refused::new(Reason::DeadlineBeforeStart));
        };
        let asks_first = call.body.asks_first() || self.must_prove(call, server);
        let reservation = match claimed.is_none() && asks_first {
            true => Some(self.reserve(call, held, server).await?),
            false => None,
        };
        if reservation.is_some() {
            // It may have waited for the slot.
            call.check_key(&self.routes())?;
        }
        let admitted = Admitted { claimed, reservation };
        call.under_way.fetch_add(1, Ordering::Relaxed);
        let attempt = async {
            let res = if *server.host == *self.host {
                self.send_here(call, server, admitted).await?
            } else {
                self.send_there(call, held, server, admitted).await?
            };
            hold_if_short(res).await
        };
        let result = tokio::time::timeout(remaining + LAST_WORD, attempt).await;
        // One that is dropped before this stays under way: nobody knows what became of it.
        call.under_way.fetch_sub(1, Ordering::Relaxed);
        result.unwrap_or(Err(Refused::new(Reason::DeadlinePassed)))
    }

    async fn send_here(&self, call: &mut Call, server: &ServerId, admitted: Admitted) -> Tried {
        let mut req = self.request(call)?;
        headers::set(req.headers_mut(), headers::ALLOWANCE, call.allowance.left());
        let answer = self.inbound.call(self.inbound_call(call, server, admitted, req)).await;
        if let Some(report) = answer.report {
            self.with_server(call, server, |s, now| s.on_report(now, report));
        }
        answer.result
    }

    /// Returns a call for the inbound of this host.
    pub(super) fn inbound_call(
        &self,
        call: &Call,
        server: &ServerId,
        admitted: Admitted,
        req: Request<Body>,
    ) -> InboundCall {
        let claimed = admitted.claimed.zip(request_key(call));
        InboundCall {
            service: call.service.clone(),
            server: server.name.clone(),
            kind: call.treatment.kind.as_str().into(),
            caller: self.caller_service.clone(),
            workspace: call.workspace_name().cloned(),
            weight: call.treatment.weight,
            deadline: call.deadline,
            max_wait: self.wait_left(call),
            selective: call.is_selective(),
            good_for: self.good_for(call),
            reservation: admitted.reservation,
            identity: call.identity,
            alone: call.alone,
            call: call.id.clone(),
            claimed: claimed.map(|(claimed, key)| (key, claimed)),
            req,
        }
    }

    async fn send_there(
        &self,
        call: &mut Call,
        held: &Held,
        server: &ServerId,
        admitted: Admitted,
    ) -> Tried {
        let Some(record) = held.shared.hosts.get(&*server.host) else {
            return Err(Refused::new(Reason::PeerUnreachable));
        };
        let mut req = self.request(call)?;
        self.set_peer_headers(req.headers_mut(), Op::Call, call, server, admitted);
        *req.uri_mut() = peer_target(call, &record.peer_address)?;
        *req.version_mut() = http::Version::HTTP_2;
        let line = self.line_to(call, &record.peer_address).await?;
        self.metrics.peer_calls.inc();
        let res = line.send(req).await.map_err(|e| {
            Refused::new(match e {
                NoAnswer::NotSent => Reason::PeerUnreachable,
                NoAnswer::Broke => Reason::PeerBroke,
            })
        })?;
        self.read_answer(call, server, &record.peer_address, res)
    }

    /// Returns a connection to a peer. Nothing of the request is sent meanwhile, so a deadline that passes is proof that
    /// it was not run.
    async fn line_to(&self, call: &Call, address: &str) -> Result<Line, Refused> {
        let remaining = call.deadline.remaining(self.clock.now()).unwrap_or_default();
        match tokio::time::timeout(remaining, self.peers.line(address)).await {
            Ok(line) => line.ok_or(Refused::new(Reason::PeerUnreachable)),
            Err(_) => Err(Refused::new(Reason::DeadlineBeforeStart)),
        }
    }

    /// Returns the time that the request may still wait for a slot.
    pub(super) fn wait_left(&self, call: &Call) -> Duration {
        let now = self.clock.now();
        let remaining = call.deadline.remaining(now).unwrap_or_default();
        let patience = call.times.map(|times| times.queue_until.since(now));
        patience.map_or(remaining, |patience| patience.min(remaining))
    }

    /// Returns the time within which an answer is good, where the route tells.
    fn good_for(&self, call: &Call) -> Option<Duration> {
        call.times.map(|times| times.good_until.since(self.clock.now()))
    }

    fn request(&self, call: &mut Call) -> Result<Request<Body>, Refused> {
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
        admitted: Admitted,
    ) {
        let remaining = call.deadline.remaining(self.clock.now()).unwrap_or_default();
        let aim = hop::Aim {
            service: &call.service,
            server: &server.name,
            kind: &call.treatment.kind,
            caller: self.caller_service.as_deref(),
            workspace: call.workspace_name().map(|name| &**name),
        };
        let head = hop::CallHead {
            call: call.id.clone(),
            weight: call.treatment.weight,
            remaining_us: units::micros(remaining),
            wait_us: units::micros(self.wait_left(call)),
            allowance: call.allowance.left(),
            selective: call.is_selective(),
            good_us: self.good_for(call).map(units::micros),
            reservation: admitted.reservation,
            request: hop::write_fingerprint(call.identity.request),
            alone: call.alone,
        };
        hop::write_call(map, op, &aim, &head);
        if let Some(Claimed { claim, index, incarnation }) = admitted.claimed {
            headers::set_json(map, headers::CLAIM, &ClaimHeader { claim, index, incarnation });
        }
        if let Some(key) = &self.key {
            headers::set(map, headers::KEY, key.expose());
        }
    }

    /// Reads what a peer says of the call, and of the backend server.
    fn read_answer(
        &self,
        call: &Call,
        server: &ServerId,
        address: &str,
        res: Response<Body>,
    ) -> Tried {
        let Some(head) = self.read_answer_head(call, server, address, res.headers()) else {
            return Err(Refused::new(Reason::WrongCall));
        };
        if let Some(refused) = hop::read_refusal(res.headers(), &head) {
            return Err(refused);
        }
        let (mut parts, body) = res.into_parts();
        headers::remove_own(&mut parts.headers);
        parts.version = http::Version::HTTP_11;
        Ok(Response::from_parts(parts, body))
    }

    /// Reads what goes with a peer's answer to a call; `None` when it belongs to another call.
    pub(super) fn read_answer_head(
        &self,
        call: &Call,
        server: &ServerId,
        address: &str,
        map: &HeaderMap,
    ) -> Option<hop::AnswerHead> {
        if let Some(revision) = headers::text(map, &headers::REVISION)
            .and_then(units::read_revision)
            .filter(|revision| *revision > self.held.revision())
        {
            let near = matches!(server.distance, Distance::SameHost | Distance::SameDomain);
            self.newer.see(Seen { address: address.into(), revision, near });
        }
        let mut head = hop::read_answer(map).filter(|head| head.call == call.id)?;
        if let Some(report) = head.report.take() {
            self.with_server(call, server, |s, now| s.on_report(now, report));
        }
        Some(head)
    }

    pub(super) fn with_server<R>(
        &self,
        call: &Call,
        server: &ServerId,
        f: impl FnOnce(&mut Server, units::Timestamp) -> R,
    ) -> Option<R> {
        let table = self.table(&call.service)?;
        let mut choosing = table.lock();
        let now = self.clock.now();
        choosing.server(&server.name).map(|s| f(s, now))
    }
}

/// A call in flight at a backend server; dropping it ends the flight.
struct Flight<'a> {
    outbound: &'a Outbound,
    service: Arc<str>,
    server: Arc<str>,
    sent: Option<Sent>,
}

impl Flight<'_> {
    fn start<'a>(outbound: &'a Outbound, call: &Call, server: &ServerId) -> Flight<'a> {
        let sent = outbound.with_server(call, server, |s, now| s.on_sent(now));
        Flight { outbound, service: call.service.clone(), server: server.name.clone(), sent }
    }
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        let Some(table) = self.outbound.table(&self.service) else { return };
        if let (Some(sent), Some(server)) = (self.sent, table.lock().server(&self.server)) {
            server.on_ended(sent);
        }
    }
}

/// Holds a short answer whole, so that a break in it can still be told from a whole one.
async fn hold_if_short(res: Response<Body>) -> Tried {
    let (parts, body) = res.into_parts();
    let body = match body::read_start(body, MAX_CACHED_BYTES).await {
        Ok(Start::Whole(bytes)) => body::full(bytes),
        Ok(Start::Longer(body)) => body,
        Err(_) => return Err(Refused::new(Reason::BackendServerBroke)),
    };
    Ok(Response::from_parts(parts, body))
}

/// Returns whether the backend server or its host takes no work for a while.
fn is_closed(reason: Reason) -> bool {
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

/// Returns whether others that waited in front were the reason.
fn is_queue(reason: Reason) -> bool {
    matches!(reason, Reason::QueueTooLong | Reason::QueueFull)
}

fn request_key(call: &Call) -> Option<RequestKey> {
    Some(RequestKey { service: call.service.clone(), key: call.key.clone()? })
}

/// The authority of the target is the host name that the caller asked for.
pub(super) fn peer_target(call: &Call, address: &str) -> Result<Uri, Refused> {
    let authority = headers::text(&call.headers, &header::HOST).unwrap_or(address);
    let path = call.uri.path_and_query().cloned();
    let built = Uri::builder().scheme("http").authority(authority);
    let built = built.path_and_query(path.map_or("/".into(), |p| p.to_string())).build();
    built.map_err(|_| Refused::new(Reason::BadRequest))
}
