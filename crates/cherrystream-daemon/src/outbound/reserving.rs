//! Asks for a slot before a long body is sent.
//!
//! Most offers are turned down under load. A body that goes with each of them fills the links between
//! hosts, so a long one travels only to the backend server that has kept a slot for it. Until then nothing
//! of the request has left this host, so every failure is proof that it did not run.

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

impl Outbound {
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
        match tokio::time::timeout(remaining, self.reserve_there(call, held, server)).await {
            Ok(reserved) => reserved,
            Err(_) => Err(Refused::new(Reason::DeadlineBeforeStart)),
        }
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
