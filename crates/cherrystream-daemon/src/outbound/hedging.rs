//! Hedged attempts: a second attempt that starts while the first one is slow.

use super::request::Call;
use super::{AttemptResult, Outbound};
use crate::current_config::CurrentConfig;
use crate::refusal::Refused;
use cherrystream_core::choose::ServerId;
use cherrystream_core::retry;
use cherrystream_core::suspects::Treatment;
use cherrystream_net::body::Body;
use http::Response;

impl Outbound {
    /// Makes an attempt. If it is slow, starts a hedged attempt on another backend server, within
    /// the hedge budget. The first answer wins; if one attempt fails, the other one continues.
    pub(super) async fn attempt_hedged(
        &self,
        call: &mut Call,
        current: &CurrentConfig,
        server: &ServerId,
    ) -> AttemptResult {
        // A hedged attempt of a request that crashes backend servers could crash another one.
        let is_clear = self.suspects.treatment(call.identity.request) == Treatment::Clear;
        let Some(mut second) = call.fork_for_hedge().filter(|_| is_clear) else {
            return self.attempt(call, current, server, None).await;
        };
        let wait = second.times.and_then(|times| times.hedge_after).unwrap_or_default();
        let (other, answered) = {
            let first = self.attempt(call, current, server, None);
            tokio::pin!(first);
            if let Ok(result) = tokio::time::timeout(wait, first.as_mut()).await {
                return result;
            }
            let Some(other) = self.choose_hedge(&mut second, server) else {
                return first.await;
            };
            let hedge = self.attempt(&mut second, current, &other, None);
            let answered = first_answer(first, hedge).await;
            (other, answered)
        };
        answered.map_err(|failures| {
            call.tried.push(other.name);
            failures.combine(call)
        })
    }

    /// Chooses a free backend server for a hedged attempt, if the budget allows one.
    fn choose_hedge(&self, call: &mut Call, first: &ServerId) -> Option<ServerId> {
        call.check_key(&self.routes()).ok()?;
        call.tried.push(first.name.clone());
        let server = self.choose(call).ok()?;
        if server.name == first.name || !call.is_selective() {
            return None;
        }
        if !self.balancer(&call.service)?.lock().hedges.try_spend() {
            self.metrics.hedges_denied.inc();
            return None;
        }
        self.metrics.hedges.inc();
        Some(server)
    }
}

/// Refusals of both attempts.
struct BothRefused {
    first: Refused,
    second: Refused,
}

impl BothRefused {
    /// Records the arrivals of both attempts; returns the refusal that decides about a retry.
    fn combine(self, call: &mut Call) -> Refused {
        let BothRefused { first, second } = self;
        let (reported, other) = match retry::second_decides(first.reason, second.reason) {
            true => (second, first),
            false => (first, second),
        };
        // The arrival of the returned one is counted by the retry decision.
        call.arrivals += u32::from(other.reason.reached_server());
        reported
    }
}

/// Returns the first answer of two attempts. If one fails, waits for the other.
async fn first_answer(
    first: impl Future<Output = AttemptResult>,
    second: impl Future<Output = AttemptResult>,
) -> Result<Response<Body>, BothRefused> {
    tokio::pin!(first, second);
    tokio::select! {
        result = &mut first => match result {
            Ok(res) => Ok(res),
            Err(first) => second.await.map_err(|second| BothRefused { first, second }),
        },
        result = &mut second => match result {
            Ok(res) => Ok(res),
            Err(second) => first.await.map_err(|first| BothRefused { first, second }),
        },
    }
}
