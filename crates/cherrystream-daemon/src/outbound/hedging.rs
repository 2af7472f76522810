//! A second attempt that joins one that takes long.

use super::request::Call;
use super::{Outbound, Tried};
use crate::held::Held;
use crate::refusal::Refused;
use cherrystream_core::choose::ServerId;
use cherrystream_core::retry;
use cherrystream_core::suspects::Treatment;
use cherrystream_net::body::Body;
use http::Response;

impl Outbound {
    /// Makes an attempt; one that takes long is joined by a second one on another backend server,
    /// within the budget of retries. The first answer counts. An attempt that fails leaves the other
    /// one as it is: the request has failed only when both have.
    pub(super) async fn attempt_hedged(
        &self,
        call: &mut Call,
        held: &Held,
        server: &ServerId,
    ) -> Tried {
        // A second attempt of a request that ends backend servers ends one more.
        let is_clear = self.suspects.judge(call.identity.request) == Treatment::Clear;
        let Some(mut second) = call.fork_for_hedge().filter(|_| is_clear) else {
            return self.attempt(call, held, server, None).await;
        };
        let wait = second.times.and_then(|times| times.hedge_after).unwrap_or_default();
        let (other, answered) = {
            let first = self.attempt(call, held, server, None);
            tokio::pin!(first);
            if let Ok(tried) = tokio::time::timeout(wait, first.as_mut()).await {
                return tried;
            }
            let Some(other) = self.choose_second(&mut second, server) else {
                return first.await;
            };
            let hedge = self.attempt(&mut second, held, &other, None);
            let answered = first_answer(first, hedge).await;
            (other, answered)
        };
        answered.map_err(|failures| {
            call.tried.push(other.name);
            failures.settle(call)
        })
    }

    /// Chooses a free backend server for a second attempt, if the budget allows one.
    fn choose_second(&self, call: &mut Call, first: &ServerId) -> Option<ServerId> {
        call.check_key(&self.routes()).ok()?;
        call.tried.push(first.name.clone());
        let server = self.choose(call).ok()?;
        if server.name == first.name || !call.is_selective() {
            return None;
        }
        if !self.table(&call.service)?.lock().hedges.try_spend() {
            self.metrics.hedges_denied.inc();
            return None;
        }
        self.metrics.hedges.inc();
        Some(server)
    }
}

/// Why neither of two attempts was answered.
struct Failures {
    first: Refused,
    second: Refused,
}

impl Failures {
    /// Notes on a call what both attempts reached; returns the failure that is weighed.
    fn settle(self, call: &mut Call) -> Refused {
        let Failures { first, second } = self;
        let (told, other) = match retry::second_decides(first.reason, second.reason) {
            true => (second, first),
            false => (first, second),
        };
        // The one that is weighed is counted then.
        call.arrivals += u32::from(other.reason.reached_server());
        told
    }
}

/// Returns the first answer of two attempts. One that fails does not end the other.
async fn first_answer(
    first: impl Future<Output = Tried>,
    second: impl Future<Output = Tried>,
) -> Result<Response<Body>, Failures> {
    tokio::pin!(first, second);
    tokio::select! {
        tried = &mut first => match tried {
            Ok(res) => Ok(res),
            Err(first) => second.await.map_err(|second| Failures { first, second }),
        },
        tried = &mut second => match tried {
            Ok(res) => Ok(res),
            Err(second) => first.await.map_err(|first| Failures { first, second }),
        },
    }
}
