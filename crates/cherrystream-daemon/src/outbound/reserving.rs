//! Asks for a slot before a long body is sent, or a request that may not be repeated.
//!
//! Most offers are turned down under load. A body that goes with each of them fills the links between
//! hosts, so a long one travels only to the backend server that has kept a slot for it. Until then nothing
//! of the request has left this host, so every failure is proof that it did not run.
//!
//! So a request that may not be repeated asks first as well, where another host is to serve it: one that is dark or
//! stands still says nothing, and a request that was sent there could be told only as unknown, and never tried again.

use super::Outbound;
use super::request::Call;
use super::send::{self, Admitted};
use crate::headers::Op;
use crate::held::Held;
use crate::hop;
use crate::refusal::Refused;
use cherrystream_core::choose::ServerId;
use cherrystream_core::reasons::{Outcome, Reason};
use cherrystream_core::reservations::Reservation;
use cherrystream_net::body;
use http::Request;
use std::time::Duration;

/// Longest silence of the daemon beside a backend server, beyond the time that the request may wait there: twice the tenth
/// of a second for which a host whose processor time is used up stands still.
const SILENCE_AT_MOST: Duration = Duration::from_millis(200);

impl Outbound {
    /// Returns whether a request must be provably not run while its backend server's host says nothing.
    pub(super) fn must_prove(&self, call: &Call, server: &ServerId) -> bool {
        let routed_once = call.times.is_some() && !call.class.repeatable;
        routed_once && *server.host != *self.host
    }

    /// Asks the inbound beside a backend server to keep a slot for a call.
    ///
    /// # Errors
    ///
    /// Fails when none is kept; the request was not run.
    pub(super) async fn reserve(
        &self,
        call: &Call,
        held: &Held,
        server: &ServerId,
    ) -> Result<Reservation, Refused> {
        if *server.host == *self.host {
            return self.reserve_here(call, server).await;
        }
        let remaining = call.deadline.remaining(self.clock.now()).unwrap_or_default();
        let silence = self.longest_silence(call);
        let asked = self.reserve_there(call, held, server);
        match tokio::time::timeout(remaining.min(silence), asked).await {
            Ok(reserved) => reserved,
            Err(_) if silence < remaining => Err(Refused::new(Reason::PeerUnreachable)),
            Err(_) => Err(Refused::new(Reason::DeadlineBeforeStart)),
        }
    }

    /// Returns how long the answer of a daemon that is there may take. An offer that may be turned down is answered at
    /// once; others wait for their turn, calls by running requests until their deadline.
    fn longest_silence(&self, call: &Call) -> Duration {
        let waits = match (call.is_selective(), call.times.is_some()) {
            (true, _) => Duration::ZERO,
            (false, true) => self.wait_left(call),
            (false, false) => Duration::MAX,
        };
        waits.saturating_add(SILENCE_AT_MOST)
    }

    async fn reserve_here(&self, call: &Call, server: &ServerId) -> Result<Reservation, Refused> {
        let req = Request::new(body::empty());
        let asked = self.inbound_call(call, server, Admitted::default(), req);
        let reserved = self.inbound.reserve(asked).await;
        if let Some(report) = reserved.report {
            self.with_server(call, server, |s, now| s.on_report(now, report));
        }
        reserved.result
    }

    async fn reserve_there(
        &self,
        call: &Call,
        held: &Held,
        server: &ServerId,
    ) -> Result<Reservation, Refused> {
        let unreachable = Refused::new(Reason::PeerUnreachable);
        let address = &held.shared.hosts.get(&*server.host).ok_or(unreachable)?.peer_address;
        let mut req = Request::new(body::empty());
        self.set_peer_headers(req.headers_mut(), Op::Reserve, call, server, Admitted::default());
        *req.uri_mut() = send::peer_target(call, address)?;
        *req.version_mut() = http::Version::HTTP_2;
        let res = self.peers.send(address, req).await.map_err(|_| unreachable)?;
        let head = self.read_answer_head(call, server, address, res.headers());
        let head = head.ok_or(unreachable)?;
        if let Some(reservation) = head.reservation {
            return Ok(reservation);
        }
        // Nothing was sent that could run, whatever the peer's reason.
        let refused = hop::read_refusal(res.headers(), &head);
        Err(refused.filter(|r| r.reason.outcome() == Outcome::NotRun).unwrap_or(unreachable))
    }
}
