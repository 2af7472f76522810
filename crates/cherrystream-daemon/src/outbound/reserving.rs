//! Reserves a slot before a long body or a non-repeatable request is sent.
//!
//! Under load most offers are refused. A body sent with each of them would fill the links between
//! hosts, so a long body is sent only to a backend server with a reserved slot. Nothing of the
//! request has left this host before, so any failure of a reservation proves that it did not run.
//!
//! Non-repeatable requests to another host reserve a slot for the same reason: if the host is
//! unreachable or stalled, a request that was sent there has an unknown outcome and could not be
//! retried.

use super::Outbound;
use super::request::Call;
use super::send::{self, Permits};
use crate::current_config::CurrentConfig;
use crate::headers::Op;
use crate::hop;
use crate::peer::Traffic;
use crate::refusal::Refused;
use cherrystream_core::choose::ServerId;
use cherrystream_core::reasons::{Outcome, Reason};
use cherrystream_core::reservations::Reservation;
use cherrystream_core::units::Timestamp;
use cherrystream_net::body;
use http::Request;
use std::time::Duration;

/// Longest response time of a peer's daemon, beyond the queue wait. Covers the stall of a host that
/// has used up its processor quota. Such a host stalls for a tenth of a second; the delay is twice
/// that.
const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(200);

impl Outbound {
    /// Returns whether a request must reserve a slot so that it provably has not run if the host of
    /// the backend server is unresponsive.
    pub(super) fn must_reserve(&self, call: &Call, server: &ServerId) -> bool {
        let is_routed = call.times.is_some() && !call.class.repeatable;
        is_routed && *server.host != *self.host
    }

    /// Reserves a slot at the inbound of a backend server.
    ///
    /// # Errors
    ///
    /// Fails if no slot is reserved; the request has not run.
    pub(super) async fn reserve(
        &self,
        call: &Call,
        current: &CurrentConfig,
        server: &ServerId,
    ) -> Result<Reservation, Refused> {
        if *server.host == *self.host {
            return self.reserve_local(call, server).await;
        }
        let deadline = call.deadline.at();
        let respond_by = self.respond_by(call);
        let pending = self.reserve_remote(call, current, server);
        match self.clock.timeout_at(deadline.min(respond_by), pending).await {
            Ok(reserved) => reserved,
            Err(_) if respond_by < deadline => Err(Refused::new(Reason::PeerUnreachable)),
            Err(_) => Err(Refused::new(Reason::DeadlineBeforeStart)),
        }
    }

    /// Returns the time by which a reservation is answered. An offer that may be refused is answered
    /// at once; others queue, nested calls until their deadline.
    fn respond_by(&self, call: &Call) -> Timestamp {
        let now = self.clock.now();
        let queue_until = match (call.is_selective(), call.times.is_some()) {
            (true, _) => now,
            (false, true) => now + self.remaining_wait(call),
            (false, false) => call.deadline.at(),
        };
        queue_until + MAX_RESPONSE_DELAY
    }

    async fn reserve_local(&self, call: &Call, server: &ServerId) -> Result<Reservation, Refused> {
        let req = Request::new(body::empty());
        let req = self.inbound_call(call, server, Permits::default(), req);
        let reserved = self.inbound.reserve(req).await;
        if let Some(report) = reserved.report {
            self.with_server(call, server, |s, now| s.on_report(now, report));
        }
        reserved.result
    }

    async fn reserve_remote(
        &self,
        call: &Call,
        current: &CurrentConfig,
        server: &ServerId,
    ) -> Result<Reservation, Refused> {
        let unreachable = Refused::new(Reason::PeerUnreachable);
        let address = &current.shared.hosts.get(&*server.host).ok_or(unreachable)?.peer_address;
        let mut req = Request::new(body::empty());
        // The remaining time is read after the wait for the connection.
        self.connect(call, address, Traffic::of(&req)).await?;
        self.set_peer_headers(req.headers_mut(), Op::Reserve, call, server, Permits::default());
        *req.uri_mut() = send::peer_target(call, address)?;
        *req.version_mut() = http::Version::HTTP_2;
        let res = self.peers.send(address, req).await.map_err(|_| unreachable)?;
        let head = self.read_answer_head(call, server, address, res.headers());
        let head = head.ok_or(unreachable)?;
        if let Some(reservation) = head.reservation {
            return Ok(reservation);
        }
        // Nothing that could run was sent, so any failure means that the request has not run.
        let refused = hop::read_refusal(res.headers(), &head);
        Err(refused.filter(|r| r.reason.outcome() == Outcome::NotRun).unwrap_or(unreachable))
    }
}
