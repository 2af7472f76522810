//! Admission control in front of a backend server: concurrency slots, a short queue, load shedding
//! by weight.

mod fair;
mod request;

pub use fair::Flow;
pub use request::{Action, Arrival, Decision, Options, Rank, Refusal, Ticket};

use crate::backpressure::{RateLimit, RateLimiter};
use crate::cold_rate_limit::{ColdLimits, ColdRateLimit};
use crate::concurrency_limit::{self, ConcurrencyLimit};
use crate::reasons::Reason;
use crate::reserve::Reserve;
use crate::slowness::Slowness;
use crate::units::{Timestamp, micros};
use crate::warmth::Warmth;
use cherrystream_schema::messages::ServerState;
use fair::{FairShare, Usage};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of a new sample in the moving average of the latency.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.1;
/// Shortest retry delay of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Share of the slots in use at the start of a slow start.
const SLOW_START_INITIAL_SHARE: f64 = 0.25;
/// Share of occupied slots up to which capacity is ample: a refused request then likely finds a
/// free slot at another backend server.
const AMPLE_CAPACITY_BELOW: f64 = 0.5;

/// Longest wait for a token of a stated rate limit, unless other work depends on the request.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(100);

/// Key that orders the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    rank: Reverse<Rank>,
    usage: Usage,
    ticket: Ticket,
}

/// Availability of a slot for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Slot {
    Free,
    /// The last slot, which is left to other workspaces.
    LeftToOthers,
    Taken,
}

impl Slot {
    fn free_if(free: bool) -> Slot {
        if free { Slot::Free } else { Slot::Taken }
    }
}

/// A request in the queue.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    deadline: Timestamp,
    /// Whether its workspace has used more than its fair share.
    over_share: bool,
}

/// A request in flight at the backend server.
#[derive(Clone, Copy, Debug)]
struct Running {
    since: Timestamp,
    nested: bool,
    /// Whether its workspace has used more than its fair share.
    over_share: bool,
    /// Whether it was sent to the backend server.
    sent: bool,
    /// Requests in flight when it started, itself included.
    level: u32,
}

/// Admission control in front of one backend server.
#[derive(Debug)]
pub struct Admission {
    opts: Options,
    state: ServerState,
    /// Until when requests are admitted though the backend server has stated that it is leaving.
    leaving_until: Option<Timestamp>,
    live_since: Timestamp,
    running: BTreeMap<Ticket, Running>,
    reserve: Reserve,
    waiting: BTreeMap<QueueKey, Waiting>,
    fair_share: FairShare,
    latency: Duration,
    slowness: Slowness,
    warmth: Warmth,
    cold_rate_limit: ColdRateLimit,
    /// Rate limit that the backend server states.
    rate_limiter: RateLimiter,
    /// Adaptive concurrency limit; replaces the fixed share of the slots.
    concurrency_limit: Option<ConcurrencyLimit>,
    next_ticket: u64,
    sequence: u64,
}

impl Admission {
    /// Creates admission control for a backend server that is considered live and warm.
    pub fn new(opts: Options) -> Admission {
        Admission {
            opts,
            state: ServerState::Live,
            leaving_until: None,
            live_since: Timestamp::default(),
            running: BTreeMap::new(),
            reserve: Reserve::default(),
            waiting: BTreeMap::new(),
            fair_share: FairShare::default(),
            latency: Duration::from_millis(5),
            slowness: Slowness::default(),
            warmth: Warmth::default(),
            cold_rate_limit: ColdRateLimit::default(),
            rate_limiter: RateLimiter::default(),
            concurrency_limit: None,
            next_ticket: 0,
            sequence: 0,
        }
    }

    /// Replaces the settings; requests that were admitted stay.
    pub fn set_options(&mut self, opts: Options) {
        if let Some(limit) = self.concurrency_limit.take_if(|limit| limit.slots() != opts.slots) {
            self.concurrency_limit = Some(limit.with_slots(opts.slots, opts.share));
        }
        self.opts = opts;
    }

    /// Replaces the fixed share of the slots by an adaptive concurrency limit. `limit` may hold what
    /// was learned from an earlier instance.
    pub fn set_concurrency_limit(&mut self, limit: ConcurrencyLimit) {
        self.concurrency_limit = Some(limit);
    }

    /// Returns the adaptive concurrency limit, if there is one.
    pub fn concurrency_limit(&mut self) -> Option<&mut ConcurrencyLimit> {
        self.concurrency_limit.as_mut()
    }

    /// Records the service time of an answered request, before [`Admission::finish`]. Service times
    /// of a cold backend server are ignored: they don't depend on concurrency alone.
    pub fn on_service_time(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        work: &concurrency_limit::Work<'_>,
    ) {
        if self.is_cold(now) {
            return;
        }
        let slowness_after = self.slowness(now);
        let Some(running) = self.running.get(&ticket) else { return };
        let Some(limit) = &mut self.concurrency_limit else { return };
        let answer =
            concurrency_limit::Answer { work: *work, level: running.level, slowness_after };
        limit.on_answer(now, &answer);
    }

    /// Replaces the limits that apply while the backend server is cold.
    pub fn set_cold(&mut self, cold: Option<ColdLimits>) {
        self.opts.cold = cold;
    }

    /// Decides on a request that belongs to no flow.
    pub fn arrive(&mut self, now: Timestamp, arrival: Arrival) -> (Decision, Vec<Action>) {
        self.arrive_for(now, arrival, None)
    }

    /// Decides on a request; `flow` is the flow that it belongs to, if any.
    pub fn arrive_for(
        &mut self,
        now: Timestamp,
        arrival: Arrival,
        flow: Option<&Flow>,
    ) -> (Decision, Vec<Action>) {
        let mut actions = Vec::new();
        if let Some(reason) = self.closed_reason(now) {
            return (Decision::Refuse(self.refusal(reason)), actions);
        }
        let Some(remaining) = non_zero(arrival.deadline.since(now)) else {
            return (Decision::Refuse(self.refusal(Reason::DeadlineBeforeStart)), actions);
        };
        // Nested calls belong to no flow.
        let flow = flow.filter(|_| !arrival.nested);
        let rank = arrival.rank(now);
        let over_share = flow.is_some_and(|flow| self.fair_share.is_over_share(now, flow));
        let usage = flow.map_or(Usage::default(), |flow| self.fair_share.on_request(now, flow));
        let key = QueueKey { rank: Reverse(rank), usage, ticket: Ticket(self.next_ticket + 1) };
        if arrival.selective && self.is_busy(now, &arrival, key, over_share) {
            self.note_limit_reached(now);
            return (Decision::Refuse(self.busy_refusal(now, key, over_share)), actions);
        }
        self.next_ticket += 1;
        let ticket = key.ticket;
        if self.is_next(key) && self.has_slot(now, rank.nested, over_share) {
            self.add_nested_call(now, rank.nested);
            self.charge(now, &arrival, ticket, flow);
            self.start(now, ticket, rank.nested, over_share);
            return (Decision::Run(ticket), actions);
        }
        self.note_limit_reached(now);
        let refusal = self.cold_refusal(now, &arrival, rank, remaining);
        let refusal = refusal.or_else(|| self.limit_refusal(now, &arrival, rank, remaining));
        if let Some(refusal) = refusal {
            return (Decision::Refuse(refusal), actions);
        }
        // A refused nested call wastes the work of its parent, so it waits regardless of the
        // estimate.
        if !rank.nested && self.expected_wait(key) > remaining {
            let reason = self.long_wait_reason(key, remaining);
            return (Decision::Refuse(self.refusal(reason)), actions);
        }
        if !rank.nested && self.waiting.len() >= self.opts.queue as usize {
            match self.shed_last(now, key) {
                // Only requests with a lower priority are shed, and nested calls have the highest.
                Some(shed) => actions.push(shed),
                None => {
                    return (Decision::Refuse(self.refusal(Reason::QueueFull)), actions);
                }
            }
        }
        self.add_nested_call(now, rank.nested);
        self.charge(now, &arrival, ticket, flow);
        self.waiting.insert(key, Waiting { deadline: arrival.deadline, over_share });
        (Decision::Wait(ticket), actions)
    }

    /// Records that a request left the backend server, with or without an answer.
    pub fn finish(&mut self, now: Timestamp, ticket: Ticket, answered: bool) -> Vec<Action> {
        let ended = self.running.remove(&ticket);
        if let Some(running) = ended {
            self.remove_nested_call(now, running.nested);
        }
        if let Some(running) = ended
            && answered
        {
            let sample = now.since(running.since).as_secs_f64();
            let mean = self.latency.as_secs_f64();
            self.latency = Duration::from_secs_f64(mean + LATENCY_SAMPLE_WEIGHT * (sample - mean));
        }
        self.start_waiting(now)
    }

    /// Records the slowness that the backend server reported.
    pub fn on_slowness(&mut self, now: Timestamp, slowness: u32) {
        self.slowness.on_report(now, slowness);
    }

    /// Returns whether the backend server should be probed for its slowness.
    pub fn needs_slowness_probe(&self, now: Timestamp) -> bool {
        // With a stated limit, a probe would take the place of a request.
        !self.rate_limiter.is_limited() && self.slowness.needs_probe(now)
    }

    /// Returns whether a request should wait for a new slowness report before it is decided on.
    /// Only when free slots are ample: when they are scarce, many answers carry reports, and a
    /// refused request finds no better backend server.
    pub fn needs_slowness_first(&self, now: Timestamp, arrival: &Arrival) -> bool {
        let within = arrival.good_until.map(|until| until.since(now));
        let taken = (self.running.len() + self.waiting.len()) as f64;
        let has_ample_capacity = taken <= AMPLE_CAPACITY_BELOW * f64::from(self.slots_now(now));
        arrival.selective
            && has_ample_capacity
            && !self.rate_limiter.is_limited()
            && self.slowness.needs_report_first(now, arrival.typical_time, within)
    }

    /// Records that a slowness probe timed out while a request waited for it.
    pub fn on_slowness_timeout(&mut self, now: Timestamp) {
        self.slowness.on_probe_timeout(now);
    }

    /// Returns the warmth of the backend server.
    pub fn warmth(&mut self) -> &mut Warmth {
        &mut self.warmth
    }

    /// Returns whether the limits of a cold backend server apply.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        self.cold_limits(now).is_some()
    }

    /// Returns whether the health endpoint should be probed for the warmth of the backend server,
    /// and records the probe if so.
    pub fn start_warmth_probe(&mut self, now: Timestamp) -> bool {
        self.opts.cold.is_some() && self.warmth.start_probe(now)
    }

    /// Records that an admitted request is sent to the backend server.
    pub fn on_sent(&mut self, now: Timestamp, ticket: Ticket) {
        if let Some(running) = self.running.get_mut(&ticket)
            && !running.sent
        {
            running.sent = true;
            self.cold_rate_limit.on_sent(now);
            self.rate_limiter.on_sent(now);
        }
    }

    /// Records that the instance is new: no earlier process sent requests to it.
    pub fn on_new_instance(&mut self) {
        self.cold_rate_limit.on_new();
    }

    /// Records a probe of the health endpoint, which counts as a request.
    pub fn on_probe_sent(&mut self, now: Timestamp) {
        self.cold_rate_limit.on_sent(now);
        self.rate_limiter.on_probe_sent(now);
    }

    /// Sets or ends the rate limit that the backend server states.
    pub fn set_rate_limit(&mut self, now: Timestamp, limit: Option<RateLimit>) -> Vec<Action> {
        self.rate_limiter.set_limit(now, limit);
        self.start_waiting(now)
    }

    /// Returns the time until the stated rate limit lets another request through, or `None` without
    /// a limit.
    pub fn token_wait(&mut self, now: Timestamp) -> Option<Duration> {
        self.rate_limiter.wait(now, self.waiting.len() + self.unsent())
    }

    /// Returns whether requests wait for a token of the stated rate limit.
    pub fn waits_for_token(&self) -> bool {
        self.rate_limiter.is_limited() && !self.waiting.is_empty()
    }

    fn cold_limits(&self, now: Timestamp) -> Option<ColdLimits> {
        self.opts.cold.filter(|_| self.warmth.is_cold(now))
    }

    fn cold_limit_allows(&mut self, now: Timestamp) -> bool {
        let Some(limits) = self.cold_limits(now) else { return true };
        self.cold_rate_limit.allows(now, &limits, self.unsent())
    }

    /// Returns the number of admitted requests that are not sent yet.
    fn unsent(&self) -> usize {
        self.running.values().filter(|running| !running.sent).count()
    }

    /// Returns the time until a cold backend server accepts a request of `rank`, or `None` if it is
    /// warm.
    fn cold_wait(&mut self, now: Timestamp, rank: Rank) -> Option<Duration> {
        let limits = self.cold_limits(now)?;
        let ahead = self.ahead(rank);
        Some(self.cold_rate_limit.wait(now, &limits, ahead))
    }

    /// Returns the number of requests that are sent before a new one of `rank`.
    fn ahead(&self, rank: Rank) -> usize {
        self.waiting.keys().filter(|key| key.rank.0 >= rank).count() + self.unsent()
    }

    /// Refuses a request that the stated rate limit does not let through soon. A nested call waits
    /// for as long as its answer is useful to its parent.
    fn limit_refusal(
        &mut self,
        now: Timestamp,
        arrival: &Arrival,
        rank: Rank,
        remaining: Duration,
    ) -> Option<Refusal> {
        let ahead = self.ahead(rank);
        let wait = self.rate_limiter.wait(now, ahead)?;
        let max_wait = match rank.nested {
            true => useful_for(now, arrival, remaining),
            false => MAX_TOKEN_WAIT.min(remaining),
        };
        (wait > max_wait).then(|| self.over_limit(now, ahead))
    }

    /// Returns whether the stated rate limit lets a request through.
    fn has_token(&mut self, now: Timestamp) -> bool {
        !self.rate_limiter.is_limited() || self.rate_limiter.allows(now, self.unsent())
    }

    fn over_limit(&mut self, now: Timestamp, ahead: usize) -> Refusal {
        let retry_after = self.rate_limiter.promise(now, ahead).unwrap_or_default();
        Refusal { reason: Reason::OverServerLimit, retry_after }
    }

    /// Refuses a request that a cold backend server cannot start in time: within its deadline, and
    /// for a nested call also while the answer is useful to its parent.
    fn cold_refusal(
        &mut self,
        now: Timestamp,
        arrival: &Arrival,
        rank: Rank,
        remaining: Duration,
    ) -> Option<Refusal> {
        let wait = self.cold_wait(now, rank)?;
        let max_wait = if rank.nested { useful_for(now, arrival, remaining) } else { remaining };
        (wait > max_wait).then_some(Refusal { reason: Reason::ServerCold, retry_after: wait })
    }

    /// Returns the slowness of the backend server, in hundredths of the normal service time.
    pub fn slowness(&self, now: Timestamp) -> u32 {
        self.slowness.current(now)
    }

    /// Returns whether a request is likely served better elsewhere: the backend server is too slow
    /// for it, or no slot is free.
    fn is_busy(
        &mut self,
        now: Timestamp,
        arrival: &Arrival,
        key: QueueKey,
        over_share: bool,
    ) -> bool {
        let within = arrival.good_until.map(|until| until.since(now));
        if self.slowness.is_too_slow(now, arrival.typical_time, within) {
            self.slowness.on_refused();
            return true;
        }
        !self.is_next(key) || !self.has_slot(now, arrival.nested, over_share)
    }

    /// Returns the refusal of a request that can go to other backend servers.
    fn busy_refusal(&mut self, now: Timestamp, key: QueueKey, over_share: bool) -> Refusal {
        let rank = key.rank.0;
        if self.is_next(key) && self.slot(now, rank.nested, over_share) == Slot::LeftToOthers {
            return Refusal::yielded_slot();
        }
        if !self.has_token(now) {
            return self.over_limit(now, self.ahead(rank));
        }
        let refusal = self.refusal(Reason::BusyNow);
        let cold_wait = self.cold_wait(now, rank).unwrap_or_default();
        Refusal { retry_after: refusal.retry_after.max(cold_wait), ..refusal }
    }

    /// Removes a queued request whose caller disconnected.
    pub fn leave_queue(&mut self, now: Timestamp, ticket: Ticket) {
        let found = self.waiting.keys().find(|key| key.ticket == ticket).copied();
        if let Some(key) = found {
            self.remove_unserved(now, key);
        }
    }

    /// Records the state of the backend server. Queued requests are refused when it accepts none.
    pub fn set_state(&mut self, now: Timestamp, state: ServerState) -> Vec<Action> {
        let was = std::mem::replace(&mut self.state, state);
        if state == ServerState::Live && was != ServerState::Live {
            self.live_since = now;
        }
        match self.closed_reason(now) {
            Some(reason) => self.refuse_waiting(now, reason),
            None => self.start_waiting(now),
        }
    }

    /// Records that the backend server has stated that it is leaving, which is never taken back. For
    /// `grace`, unless it was draining before, requests that no other server accepts are still
    /// admitted; the caller decides which these are.
    pub fn on_leaving(&mut self, now: Timestamp, grace: Duration) {
        let is_live = self.state == ServerState::Live;
        let until = if is_live { now + grace } else { now };
        self.leaving_until.get_or_insert(until);
    }

    /// Forgets the rate limit and the leaving that an earlier run of the backend server stated.
    pub fn forget_signals(&mut self, now: Timestamp) {
        self.rate_limiter.set_limit(now, None);
        self.leaving_until = None;
    }

    /// Returns whether the backend server is draining, by its state or by its own statement.
    pub fn is_draining(&self) -> bool {
        self.state == ServerState::Draining || self.leaving_until.is_some()
    }

    /// Advances the time: refuses queued requests whose deadline expired, and starts those for
    /// which the slow start has added slots.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        let expired: Vec<QueueKey> =
            self.waiting.iter().filter(|(_, w)| w.deadline <= now).map(|(key, _)| *key).collect();
        let refusal = self.refusal(Reason::DeadlineBeforeStart);
        let mut actions = Vec::new();
        for key in expired {
            self.remove_unserved(now, key);
            actions.push(Action::Refuse(key.ticket, refusal));
        }
        match self.closed_reason(now) {
            Some(reason) => actions.extend(self.refuse_waiting(now, reason)),
            None => actions.extend(self.start_waiting(now)),
        }
        actions
    }

    /// Returns the number of requests in flight at the backend server.
    pub fn in_flight_count(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns the load report that is attached to each answer.
    pub fn report(
        &mut self,
        now: Timestamp,
        incarnation: u64,
    ) -> cherrystream_schema::messages::Report {
        self.sequence += 1;
        let oldest = self.running.values().next();
        let oldest = oldest.map_or(Duration::ZERO, |running| now.since(running.since));
        cherrystream_schema::messages::Report {
            in_flight: self.running.len() as u32,
            queued: self.waiting.len() as u32,
            slots: self.slots_now(now),
            latency_us: micros(self.latency),
            oldest_us: micros(oldest),
            slowness: self.slowness.current(now),
            state: if self.is_draining() { ServerState::Draining } else { self.state },
            sequence: self.sequence,
            incarnation,
        }
    }

    /// Returns the number of requests in flight at the backend server.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the state of the backend server.
    pub fn state(&self) -> ServerState {
        self.state
    }

    fn closed_reason(&self, now: Timestamp) -> Option<Reason> {
        let is_open = match (self.state, self.leaving_until) {
            (ServerState::Starting | ServerState::Down, _) => {
                return Some(Reason::BackendServerDown);
            }
            (ServerState::Live | ServerState::Draining, Some(until)) => now < until,
            (state, None) => state == ServerState::Live,
        };
        (!is_open).then_some(Reason::Draining)
    }

    fn slots_now(&self, now: Timestamp) -> u32 {
        let warm = now.since(self.live_since).as_secs_f64();
        let ramp = self.opts.ramp.as_secs_f64();
        // Slow start applies only to a backend server whose start was observed.
        if self.live_since == Timestamp::default() || warm >= ramp {
            return self.slots_used();
        }
        let share = SLOW_START_INITIAL_SHARE + (1.0 - SLOW_START_INITIAL_SHARE) * warm / ramp;
        ((f64::from(self.slots_used()) * share) as u32).max(1)
    }

    fn slots_used(&self) -> u32 {
        if let Some(limit) = &self.concurrency_limit {
            return limit.limit();
        }
        ((f64::from(self.opts.slots) * self.opts.share) as u32).max(1)
    }

    /// Returns whether a slot is free for a request.
    fn has_slot(&mut self, now: Timestamp, nested: bool, over_share: bool) -> bool {
        self.slot(now, nested, over_share) == Slot::Free
    }

    /// Returns the availability of a slot for a request, which may be a nested call.
    fn slot(&mut self, now: Timestamp, nested: bool, over_share: bool) -> Slot {
        if !self.cold_limit_allows(now) || !self.has_token(now) {
            return Slot::Taken;
        }
        let slots = self.slots_now(now);
        if nested {
            return Slot::free_if(self.running.len() < slots as usize);
        }
        let calls = self.running.values().filter(|r| r.nested).count();
        let reserved = self.reserve.reserved(now, slots, calls as u32);
        let limit = slots.saturating_sub(reserved) as usize;
        match Slot::free_if(self.running.len() < limit) {
            Slot::Free if self.must_yield(over_share, limit) => Slot::LeftToOthers,
            slot => slot,
        }
    }

    /// Returns whether no queued request goes before `key`. Requests over their share are skipped:
    /// one of them still waits only because it yields the slot.
    fn is_next(&self, key: QueueKey) -> bool {
        let mut waiting = self.waiting.iter().filter(|(_, waiting)| !waiting.over_share);
        waiting.next().is_none_or(|(first, _)| key < *first)
    }

    /// Records that a request found no slot, if the concurrency limit is the reason.
    fn note_limit_reached(&mut self, now: Timestamp) {
        let is_full = self.running.len() >= self.slots_used() as usize;
        if let Some(limit) = self.concurrency_limit.as_mut().filter(|_| is_full) {
            limit.on_limit_reached(now);
        }
    }

    fn add_nested_call(&mut self, now: Timestamp, nested: bool) {
        if nested {
            self.reserve.on_arrival(now);
        }
    }

    fn remove_nested_call(&mut self, now: Timestamp, nested: bool) {
        if nested {
            self.reserve.on_end(now);
        }
    }

    /// Releases what was accounted for a queued request that is not served.
    fn release_unserved(&mut self, now: Timestamp, key: QueueKey) {
        self.remove_nested_call(now, key.rank.0.nested);
        self.fair_share.on_unserved(now, key.ticket);
    }

    /// Removes a request from the queue that is not served.
    fn remove_unserved(&mut self, now: Timestamp, key: QueueKey) {
        self.waiting.remove(&key);
        self.release_unserved(now, key);
    }

    fn start(&mut self, now: Timestamp, ticket: Ticket, nested: bool, over_share: bool) {
        self.fair_share.on_started(ticket);
        let level = self.running.len() as u32 + 1;
        self.running.insert(ticket, Running { since: now, nested, over_share, sent: false, level });
    }

    /// Charges a flow for a request that is admitted or queued.
    fn charge(&mut self, now: Timestamp, arrival: &Arrival, ticket: Ticket, flow: Option<&Flow>) {
        let work = arrival.typical_time.unwrap_or(self.latency);
        if let Some(flow) = flow {
            self.fair_share.on_admitted(now, ticket, flow, work);
        }
    }

    /// Returns whether a request of a workspace over its share leaves the last slot to others. One
    /// such request may run at any time, so that none is starved.
    fn must_yield(&self, over_share: bool, limit: usize) -> bool {
        let is_last = self.running.len() + 1 >= limit;
        over_share && is_last && self.running.values().any(|running| running.over_share)
    }

    /// Returns why the queueing delay is too long: because of flows that have used less, or because
    /// of the length of the queue.
    fn long_wait_reason(&self, key: QueueKey, remaining: Duration) -> Reason {
        let has_used_less = |other: &QueueKey| other.rank == key.rank && other.usage < key.usage;
        let others = self.waiting.range(..key).filter(|(other, _)| !has_used_less(other));
        match self.wait_after(others.count()) > remaining {
            true => Reason::QueueTooLong,
            false => Reason::ShareUsed,
        }
    }

    /// Returns the expected queueing delay of a request.
    fn expected_wait(&self, key: QueueKey) -> Duration {
        self.wait_after(self.waiting.range(..key).count())
    }

    fn wait_after(&self, ahead: usize) -> Duration {
        self.latency.mul_f64((ahead + 1) as f64 / f64::from(self.slots_used()))
    }

    fn refusal(&self, reason: Reason) -> Refusal {
        let retry_after = self.wait_after(self.waiting.len()).max(MIN_RETRY_AFTER);
        Refusal { reason, retry_after }
    }

    /// Removes the last request from the queue if it has a lower rank than a new one, or the same
    /// rank and a flow with more usage.
    fn shed_last(&mut self, now: Timestamp, key: QueueKey) -> Option<Action> {
        let last = *self.waiting.keys().next_back()?;
        if (last.rank, last.usage) <= (key.rank, key.usage) {
            return None;
        }
        self.waiting.remove(&last);
        self.fair_share.on_unserved(now, last.ticket);
        let reason = match last.rank == key.rank {
            true => Reason::ShareUsed,
            false => Reason::ShedByWeight,
        };
        Some(Action::Refuse(last.ticket, self.refusal(reason)))
    }

    fn refuse_waiting(&mut self, now: Timestamp, reason: Reason) -> Vec<Action> {
        let refusal = self.refusal(reason);
        let waiting = std::mem::take(&mut self.waiting);
        for key in waiting.keys() {
            self.release_unserved(now, *key);
        }
        waiting.into_keys().map(|key| Action::Refuse(key.ticket, refusal)).collect()
    }

    /// Returns the first queued request that may start. One that yields its slot is skipped.
    fn next_to_start(&mut self, now: Timestamp) -> Option<(QueueKey, Waiting)> {
        let waiting: Vec<_> = self.waiting.iter().map(|(p, w)| (*p, *w)).collect();
        let may_start = |(key, waiting): &(QueueKey, Waiting)| {
            self.has_slot(now, key.rank.0.nested, waiting.over_share)
        };
        waiting.into_iter().find(may_start)
    }

    fn start_waiting(&mut self, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        while self.closed_reason(now).is_none()
            && let Some((key, waiting)) = self.next_to_start(now)
        {
            if waiting.deadline <= now {
                self.remove_unserved(now, key);
                let refusal = self.refusal(Reason::DeadlineBeforeStart);
                actions.push(Action::Refuse(key.ticket, refusal));
                continue;
            }
            self.waiting.remove(&key);
            self.start(now, key.ticket, key.rank.0.nested, waiting.over_share);
            actions.push(Action::Start(key.ticket));
        }
        actions
    }
}

/// Returns how long the answer to a request is useful to its parent, at most until the deadline.
fn useful_for(now: Timestamp, arrival: &Arrival, remaining: Duration) -> Duration {
    arrival.good_until.map_or(remaining, |until| until.since(now)).min(remaining)
}

fn non_zero(d: Duration) -> Option<Duration> {
    (!d.is_zero()).then_some(d)
}
