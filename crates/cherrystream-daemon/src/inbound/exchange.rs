//! Sends a request to the backend server and checks its answer.

use super::{Inbound, InboundCall, MAX_CACHED_BYTES};
use crate::headers;
use crate::local_server::{LocalServer, Permit};
use crate::metrics::ServerLabel;
use crate::refusal::Refused;
use crate::suspects::{InFlightRequest, IsolationPermit};
use cherrystream_core::health::Check;
use cherrystream_core::reasons::Reason;
use cherrystream_core::units::Timestamp;
use cherrystream_net::activity::Activity;
use cherrystream_net::body::{self, Body, BoxError, Ending, Start, Watched};
use cherrystream_net::interface::{Execution, SendHead};
use cherrystream_net::pool::{Connection, NoAnswer};
use cherrystream_net::stall;
use cherrystream_schema::messages::ServerState;
use http::{HeaderName, Response, response};
use http_body::Body as _;
use std::sync::Arc;
use std::time::Duration;

/// Shortest wait of a cancelled request after which its connection is probed.
const MIN_SUSPICIOUS_WAIT: Duration = Duration::from_millis(100);

/// A request that was sent to a backend server.
struct Sent {
    /// Identifier of the call.
    call: String,
    at: Timestamp,
    /// Whether the connection carried other requests before.
    is_reused: bool,
    permit: Permit,
    at_work: InFlightRequest,
}

/// A response that is not complete.
struct AwaitedResponse<'a> {
    server: &'a LocalServer,
    activity: Arc<Activity>,
    /// On the clock of the pool.
    sent_at: Timestamp,
    has_ended: bool,
}

impl AwaitedResponse<'_> {
    fn new<'a>(server: &'a LocalServer, connection: &Connection) -> AwaitedResponse<'a> {
        let (activity, sent_at) = (connection.activity().clone(), server.backend.now());
        AwaitedResponse { server, activity, sent_at, has_ended: false }
    }

    /// Returns since when the connection owes bytes.
    fn owing_since(&self) -> Timestamp {
        self.activity.traffic().last_received().max(self.sent_at)
    }

    /// Waits until the connection is known to be silent.
    async fn lost(&self, kind: &str) {
        self.server.lost(kind, &self.activity, self.sent_at).await;
    }
}

impl Drop for AwaitedResponse<'_> {
    fn drop(&mut self) {
        let owing_since = self.owing_since();
        let waited = self.server.backend.now().since(owing_since);
        if !self.has_ended && waited >= MIN_SUSPICIOUS_WAIT {
            self.server.suspect_connections(owing_since);
        }
    }
}

impl Inbound {
    /// Sends the request and returns the answer. The slot is occupied until the end of the answer.
    pub(super) async fn exchange(
        &self,
        server: &Arc<LocalServer>,
        permit: Permit,
        place: Option<IsolationPermit>,
        call: InboundCall,
    ) -> Result<Response<Body>, Refused> {
        let connection = self.connect(server, &call).await?;
        let is_reused = connection.is_reused();
        // The request may have become a suspect while it waited.
        let place = match place {
            Some(place) => Some(place),
            None => self.check_suspect(server, &call)?,
        };
        let Some(remaining) = call.deadline.remaining(self.clock.now()) else {
            return Err(self.refuse(Reason::DeadlineBeforeStart));
        };
        let mut req = call.req;
        let send = SendHead {
            id: &call.call,
            instance: Some(&server.id.name),
            time_left: remaining,
            workspace: call.workspace.as_deref(),
        };
        self.interface.write_send(req.headers_mut(), &send);
        *req.version_mut() = http::Version::HTTP_11;
        let label = ServerLabel { server: server.id.name.to_string() };
        self.metrics.dispatched.get_or_create(&label).inc();
        permit.sent();
        let sent_at = self.clock.now();
        let at_work = InFlightRequest::begin(&self.suspects, server, call.identity, place);
        let mut awaited = AwaitedResponse::new(server, &connection);
        let deadline = call.deadline.at();
        let sending = self.clock.timeout_at(deadline, server.backend.send(connection, req));
        let sent = tokio::select! {
            biased;
            sent = sending => sent,
            () = awaited.lost(&call.kind), if call.is_resendable => {
                return Err(self.refuse(Reason::BackendServerSilent));
            }
        };
        // A request that ends at its deadline has shown nothing about its connection.
        awaited.has_ended = !matches!(sent, Ok(Ok(_)) | Err(_));
        let res = match sent {
            Ok(Ok(res)) => res,
            Ok(Err(NoAnswer::NotSent)) => {
                at_work.discard();
                return Err(self.refuse(Reason::BackendServerDown));
            }
            Ok(Err(NoAnswer::Broke)) => {
                at_work.connection_broken();
                return Err(self.refuse(Reason::BackendServerBroke));
            }
            Ok(Err(NoAnswer::Malformed)) => {
                at_work.discard();
                return Err(self.refuse(Reason::MalformedAnswer));
            }
            Err(_) => {
                permit.timed_out();
                return Err(self.refuse(Reason::DeadlinePassed));
            }
        };
        let sent = Sent { call: call.call, at: sent_at, is_reused, permit, at_work };
        let res = self.check_answer(server, res, sent);
        if !call.is_resendable || res.is_err() {
            awaited.has_ended = true;
            return res;
        }
        let reading = self.clock.timeout_at(deadline, read_if_short(res?));
        let read = tokio::select! {
            biased;
            read = reading => read,
            () = awaited.lost(&call.kind) => return Err(self.refuse(Reason::BackendServerSilent)),
        };
        awaited.has_ended = read.is_ok();
        match read {
            Ok(res) => res.map_err(|_| self.refuse(Reason::BackendServerBroke)),
            Err(_) => Err(self.refuse(Reason::DeadlinePassed)),
        }
    }

    async fn connect(
        &self,
        server: &Arc<LocalServer>,
        call: &InboundCall,
    ) -> Result<Connection, Refused> {
        let connecting = server.backend.connection_for(&call.call);
        match self.clock.timeout_at(call.deadline.at(), connecting).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(_)) => {
                server.on_check(Check::Failed);
                self.suspects.check_for_crash(server);
                Err(self.refuse(Reason::BackendServerDown))
            }
            Err(_) => Err(self.refuse(Reason::DeadlineBeforeStart)),
        }
    }

    /// Reads what a backend server states about itself in its answer to a request sent at `sent_at`.
    fn read_state(&self, server: &Arc<LocalServer>, sent_at: Timestamp, head: &response::Parts) {
        if let Some(load) = self.interface.read_load(head) {
            server.on_load(&load);
        }
        self.local_servers.on_signals(server, sent_at, &self.interface.read_signals(head));
    }

    /// Reads whether the request was executed. An answer without an identifier proves nothing on a
    /// connection that carried other requests: it may be a late one to any of them.
    fn read_execution(&self, head: &response::Parts, call: &str, is_reused: bool) -> Execution {
        let is_identified = head.headers.contains_key(self.interface.id_header());
        match self.interface.read_execution(head, call) {
            Execution::NotRun | Execution::OtherInstance if is_reused && !is_identified => {
                Execution::WrongRequest
            }
            execution => execution,
        }
    }

    /// Checks that the answer belongs to the call. Frees the slot at the end of the answer.
    fn check_answer(
        &self,
        server: &Arc<LocalServer>,
        res: Response<Body>,
        sent: Sent,
    ) -> Result<Response<Body>, Refused> {
        let Sent { call, at, is_reused, permit, at_work } = sent;
        let (mut parts, body) = res.into_parts();
        match self.read_execution(&parts, &call, is_reused) {
            Execution::Ran => {}
            Execution::NotRun => {
                self.read_state(server, at, &parts);
                at_work.not_run();
                return Err(self.refuse(Reason::BackendServerRefused));
            }
            Execution::OtherInstance => {
                // The instance has been replaced by one that has not reported yet. Further requests
                // would be refused too, and use up the arrivals that a request may have.
                at_work.discard();
                server.on_check(Check::Reported(ServerState::Down));
                return Err(self.refuse(Reason::OtherInstance));
            }
            Execution::WrongRequest => {
                at_work.discard();
                return Err(self.refuse(Reason::WrongCall));
            }
        }
        self.read_state(server, at, &parts);
        let is_kept = |name: &HeaderName| self.interface.is_end_to_end(name);
        headers::remove_hop_by_hop_except(&mut parts.headers, is_kept);
        headers::remove_own_from_answer(&mut parts.headers);
        self.interface.remove_answer_head(&mut parts.headers);
        let failed = parts.status.is_server_error();
        let body = Watched::watch(body, move |ending| match ending {
            Ending::Whole => {
                permit.answered(failed);
                at_work.answered(failed);
            }
            Ending::Broken => at_work.connection_broken(),
        });
        let short = body.size_hint().upper().is_some_and(|bytes| bytes <= MAX_CACHED_BYTES as u64);
        let body = if short { body } else { stall::limit(body, self.stall_limit) };
        Ok(Response::from_parts(parts, body))
    }
}

/// Reads a short answer to its end, while the request can still be sent again.
async fn read_if_short(res: Response<Body>) -> Result<Response<Body>, BoxError> {
    let (parts, body) = res.into_parts();
    let body = match body::read_start(body, MAX_CACHED_BYTES).await? {
        Start::Whole(bytes) => body::full(bytes),
        Start::Longer(body) => body,
    };
    Ok(Response::from_parts(parts, body))
}
