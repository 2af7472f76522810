//! Fair shares of workspaces when backend servers are overloaded.

use arbtest::arbtest;
use cherrystream_core::admission::{
    self, Action, Admission, Arrival, Decision, Flow, Refusal, Ticket,
};
use cherrystream_core::reasons::Reason;
use cherrystream_core::units::Timestamp;
use rand::rngs::SmallRng;
use rand::seq::index;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

fn ms(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn new_admission(slots: u32, queue: u32) -> Admission {
    let ramp = Duration::ZERO;
    Admission::new(admission::Options { slots, queue, ramp, share: 1.0, cold: None })
}

fn flow(workspace: &str, share: Option<f64>) -> Flow {
    Flow { workspace: workspace.into(), share }
}

fn waiting(weight: u32, until: u64) -> Arrival {
    let typical_time = Some(Duration::from_millis(300));
    let deadline = ms(until);
    Arrival { nested: false, weight, deadline, selective: false, good_until: None, typical_time }
}

/// A workspace with its load, share and weight.
#[derive(Clone, Copy)]
struct Sender {
    name: &'static str,
    per_second: f64,
    share: Option<f64>,
    weight: u32,
}

/// A request that is offered to the backend servers.
#[derive(Clone, Copy)]
struct Sent {
    sender: usize,
    at: u64,
    retries: u32,
}

/// Requests that a workspace sent, and those answered in time.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    sent: u32,
    in_time: u32,
}

impl Served {
    fn share(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent.max(1))
    }
}

const SERVERS: usize = 4;
const WORK_MS: u64 = 300;
const TARGET_MS: u64 = 600;
const MAX_WAIT_MS: u64 = 120;
const MAX_RETRIES: u32 = 1;

/// Four backend servers of four slots each, with a throughput of some 53 requests per second.
struct Simulation {
    admissions: Vec<Admission>,
    senders: Vec<Sender>,
    served: Vec<Served>,
    fair: bool,
    rng: SmallRng,
    waiting: Vec<BTreeMap<Ticket, Sent>>,
    ends: BTreeMap<u64, Vec<(usize, Ticket, Sent)>>,
    retries: BTreeMap<u64, Vec<Sent>>,
}

impl Simulation {
    fn new(senders: &[Sender], fair: bool, seed: u64) -> Simulation {
        Simulation {
            admissions: (0..SERVERS).map(|_| new_admission(4, 6)).collect(),
            senders: senders.to_vec(),
            served: vec![Served::default(); senders.len()],
            fair,
            rng: SmallRng::seed_from_u64(seed),
            waiting: vec![BTreeMap::new(); SERVERS],
            ends: BTreeMap::new(),
            retries: BTreeMap::new(),
        }
    }

    fn run(mut self, seconds: u64) -> Vec<Served> {
        for at in 1..seconds * 1_000 {
            self.end(at);
            for sent in self.retries.remove(&at).unwrap_or_default() {
                self.offer(at, sent);
            }
            for sender in 0..self.senders.len() {
                if self.rng.random_bool(self.senders[sender].per_second / 1_000.0) {
                    self.served[sender].sent += 1;
                    self.offer(at, Sent { sender, at, retries: 0 });
                }
            }
        }
        self.served
    }

    fn end(&mut self, at: u64) {
        for (server, ticket, sent) in self.ends.remove(&at).unwrap_or_default() {
            self.served[sent.sender].in_time += u32::from(at - sent.at <= TARGET_MS);
            let actions = self.admissions[server].finish(ms(at), ticket, true);
            self.act(at, server, actions);
        }
        for server in 0..SERVERS {
            let actions = self.admissions[server].tick(ms(at));
            self.act(at, server, actions);
        }
    }

    /// Offers a request to each backend server in turn, then queues it at one.
    fn offer(&mut self, at: u64, sent: Sent) {
        let order = index::sample(&mut self.rng, SERVERS, SERVERS).into_vec();
        let arrive = |simulation: &mut Simulation, server: usize, selective: bool| {
            let Sender { name, share, weight, .. } = simulation.senders[sent.sender];
            let good_until = Some(ms(sent.at + TARGET_MS));
            let arrival = Arrival { selective, good_until, ..waiting(weight, at + MAX_WAIT_MS) };
            let flow = simulation.fair.then(|| flow(name, share));
            let (decision, actions) =
                simulation.admissions[server].arrive_for(ms(at), arrival, flow.as_ref());
            simulation.act(at, server, actions);
            decision
        };
        for server in &order {
            if let Decision::Run(ticket) = arrive(self, *server, true) {
                return self.start(at, *server, ticket, sent);
            }
        }
        match arrive(self, order[0], false) {
            Decision::Run(ticket) => self.start(at, order[0], ticket, sent),
            Decision::Wait(ticket) => {
                self.waiting[order[0]].insert(ticket, sent);
            }
            Decision::Refuse(_) => self.on_refusal(at, sent),
        }
    }

    fn start(&mut self, at: u64, server: usize, ticket: Ticket, sent: Sent) {
        let work = self.rng.random_range(WORK_MS / 2..WORK_MS * 3 / 2);
        self.ends.entry(at + work).or_default().push((server, ticket, sent));
    }

    fn on_refusal(&mut self, at: u64, sent: Sent) {
        if sent.retries < MAX_RETRIES {
            let again = Sent { retries: sent.retries + 1, ..sent };
            self.retries.entry(at + 50).or_default().push(again);
        }
    }

    fn act(&mut self, at: u64, server: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(ticket) => {
                    let sent = self.waiting[server].remove(&ticket).unwrap();
                    self.start(at, server, ticket, sent);
                }
                Action::Refuse(ticket, _) => {
                    let sent = self.waiting[server].remove(&ticket).unwrap();
                    self.on_refusal(at, sent);
                }
            }
        }
    }
}

const NAMES: [&str; 12] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];

/// Twelve workspaces of three requests per second each, well within the capacity.
fn calm() -> Vec<Sender> {
    let sender = |name| Sender { name, per_second: 3.0, share: Some(4.0), weight: 10 };
    NAMES.into_iter().map(sender).collect()
}

fn hot(times: f64) -> Vec<Sender> {
    let mut senders = calm();
    senders[0].per_second *= times;
    senders
}

fn mean(served: &[Served]) -> f64 {
    served.iter().map(|served| served.share()).sum::<f64>() / served.len() as f64
}

/// Returns the shares answered in time: of the hot workspace, the mean of the others and the lowest
/// of the others.
fn served_in_time(senders: &[Sender], fair: bool) -> [f64; 3] {
    let mut sum = [0.0; 3];
    for seed in 1..=4 {
        let served = Simulation::new(senders, fair, seed).run(40);
        let least = served[1..].iter().map(|served| served.share()).fold(1.0, f64::min);
        for (sum, share) in sum.iter_mut().zip([served[0].share(), mean(&served[1..]), least]) {
            *sum += share / 4.0;
        }
    }
    sum
}

#[test]
fn a_hot_workspace_does_not_reduce_the_service_of_others() {
    let [_, calm_mean, calm_least] = served_in_time(&calm(), true);
    let [hot_own, hot_mean, hot_least] = served_in_time(&hot(10.0), true);
    let [_, without, _] = served_in_time(&hot(10.0), false);
    println!(
        "calm {calm_mean:.3} {calm_least:.3}, hot {hot_own:.3} {hot_mean:.3} {hot_least:.3}, without {without:.3}"
    );
    assert!(hot_mean > calm_mean - 0.03, "{hot_mean} beside {calm_mean}");
    assert!(hot_least > calm_least - 0.06, "{hot_least} beside {calm_least}");
    assert!(
        without < calm_mean - 0.1,
        "without fair shares the others are not affected: {without}"
    );
    assert!(hot_own > mean_capacity_left(), "the hot workspace is starved: {hot_own}");
}

/// Returns half of the share of the hot workspace's requests that the others leave capacity for.
fn mean_capacity_left() -> f64 {
    let capacity = (SERVERS * 4) as f64 * 1_000.0 / WORK_MS as f64;
    let others = 11.0 * 3.0;
    0.5 * (capacity - others) / 30.0
}

#[test]
fn small_workspaces_do_not_crowd_out_a_large_one_within_its_rate() {
    let mut senders = calm();
    senders[0] = Sender { per_second: 24.0, share: Some(30.0), ..senders[0] };
    for small in &mut senders[1..] {
        small.per_second = 6.0;
    }
    let [large, small, _] = served_in_time(&senders, true);
    let [_, without, _] = served_in_time(&senders, false);
    println!("large {large:.3}, small {small:.3}, without {without:.3}");
    assert!(large > small + 0.1, "{large} beside {small}");
    assert!(small > 0.4, "{small}");
}

#[test]
fn urgent_requests_are_served_more_often_and_others_are_not_starved() {
    let mut senders = calm();
    for (i, sender) in senders.iter_mut().enumerate() {
        sender.per_second = 8.0;
        sender.weight = if i % 2 == 0 { 1_000 } else { 999 };
    }
    let served = Simulation::new(&senders, true, 5).run(60);
    let urgent: Vec<Served> = (0..6).map(|i| served[2 * i]).collect();
    let lesser: Vec<Served> = (0..6).map(|i| served[2 * i + 1]).collect();
    let (urgent, lesser) = (mean(&urgent), mean(&lesser));
    println!("urgent {urgent:.3}, lesser {lesser:.3}");
    assert!(urgent > lesser + 0.2, "{urgent} beside {lesser}");
    assert!(lesser > 0.25 * (urgent + lesser) / 2.0, "{lesser} is starved beside {urgent}");
}

/// Guards against starvation: a workspace within its rate is served at least as often as the
/// average but for chance, and none less than a quarter as often.
#[test]
fn no_workspace_is_starved_whatever_the_others_send() {
    arbtest(|u| {
        let mut senders = calm();
        for sender in &mut senders {
            sender.per_second = f64::from(u.int_in_range(1..=30)?);
        }
        let served = Simulation::new(&senders, true, u.arbitrary()?).run(40);
        let sent: u32 = served.iter().map(|served| served.sent).sum();
        let in_time: u32 = served.iter().map(|served| served.in_time).sum();
        let all = f64::from(in_time) / f64::from(sent);
        for (sender, served) in senders.iter().zip(&served) {
            let share = served.share();
            assert!(share > 0.25 * all, "{} of {all}: {share}", sender.name);
            let within = sender.per_second <= 4.0;
            assert!(!within || share > all - 0.05, "{} of {all}: {share}", sender.name);
        }
        Ok(())
    })
    .budget_ms(4_000);
}

fn refusals(actions: &[Action]) -> Vec<(Ticket, Reason)> {
    let reason = |action: &Action| match action {
        Action::Refuse(ticket, Refusal { reason, .. }) => Some((*ticket, *reason)),
        Action::Start(_) => None,
    };
    actions.iter().filter_map(reason).collect()
}

#[test]
fn the_workspace_with_the_most_usage_is_shed_first_with_the_reason() {
    let mut admission = new_admission(1, 1);
    let [hot, other] = ["hot", "other"].map(|name| flow(name, None));
    let arrive = |admission: &mut Admission, at, flow| {
        admission.arrive_for(ms(at), waiting(1, 10_000), Some(flow))
    };
    assert!(matches!(arrive(&mut admission, 1, &hot).0, Decision::Run(_)));
    let Decision::Wait(shed) = arrive(&mut admission, 2, &hot).0 else { panic!() };
    let (decision, actions) = arrive(&mut admission, 3, &other);
    assert!(matches!(decision, Decision::Wait(_)));
    assert_eq!(refusals(&actions), [(shed, Reason::ShareUsed)]);
    // Between different ranks, shares don't matter.
    let (_, actions) = admission.arrive_for(ms(4), waiting(2, 10_000), Some(&hot));
    assert_eq!(refusals(&actions)[0].1, Reason::ShedByWeight);
}

#[test]
fn without_flows_requests_of_one_rank_start_in_order_of_arrival() {
    let mut admission = new_admission(1, 4);
    let Decision::Run(first) = admission.arrive(ms(1), waiting(1, 10_000)).0 else { panic!() };
    let Decision::Wait(second) = admission.arrive(ms(2), waiting(1, 10_000)).0 else { panic!() };
    let Decision::Wait(third) = admission.arrive(ms(3), waiting(1, 10_000)).0 else { panic!() };
    assert_eq!(admission.finish(ms(4), first, true), [Action::Start(second)]);
    assert_eq!(admission.finish(ms(5), second, true), [Action::Start(third)]);
}

#[test]
fn a_workspace_over_its_share_leaves_the_last_slot_to_others_and_its_refusal_says_so() {
    let mut admission = new_admission(2, 0);
    let [hot, other, third] = ["hot", "other", "third"].map(|name| flow(name, None));
    let selective = Arrival { selective: true, ..waiting(1, 10_000) };
    let arrive =
        |admission: &mut Admission, at, who| admission.arrive_for(ms(at), selective, Some(who)).0;
    for flow in [&other, &third] {
        let Decision::Run(ticket) = arrive(&mut admission, 1, flow) else { panic!() };
        admission.finish(ms(2), ticket, true);
    }
    for _ in 0..20 {
        let Decision::Run(ticket) = arrive(&mut admission, 3, &hot) else { panic!() };
        admission.finish(ms(3), ticket, true);
    }
    // One request of the hot workspace may run at any time, but none takes the last slot.
    let Decision::Run(first) = arrive(&mut admission, 10, &hot) else { panic!() };
    let decision = arrive(&mut admission, 11, &hot);
    assert!(matches!(decision, Decision::Refuse(refusal) if refusal.yields_slot()), "{decision:?}");
    let Decision::Run(_) = arrive(&mut admission, 12, &other) else { panic!() };
    // Without a free slot it is an ordinary refusal.
    let decision = arrive(&mut admission, 13, &third);
    assert!(
        matches!(decision, Decision::Refuse(refusal) if !refusal.yields_slot()),
        "{decision:?}"
    );
    // Once the others are inactive, the hot workspace gets all slots.
    admission.finish(ms(6_000), first, true);
    assert!(matches!(arrive(&mut admission, 6_001, &hot), Decision::Run(_)));
    let mut admission = new_admission(2, 0);
    assert!(matches!(arrive(&mut admission, 1, &hot), Decision::Run(_)));
    assert!(matches!(arrive(&mut admission, 2, &hot), Decision::Run(_)));
}

/// Guards against head-of-line blocking: a request of a workspace over its share is first in the
/// queue, and the free slot goes to a request of another workspace behind it.
#[test]
fn a_request_that_yields_its_slot_does_not_block_the_queue() {
    let mut admission = new_admission(2, 4);
    let [hot, other, third] = ["hot", "other", "third"].map(|name| flow(name, None));
    let arrive = |admission: &mut Admission, at, weight, who| {
        admission.arrive_for(ms(at), waiting(weight, 10_000), Some(who)).0
    };
    for flow in [&other, &third] {
        let Decision::Run(ticket) = arrive(&mut admission, 1, 1, flow) else { panic!() };
        admission.finish(ms(2), ticket, true);
    }
    for _ in 0..20 {
        let Decision::Run(ticket) = arrive(&mut admission, 3, 1, &hot) else { panic!() };
        admission.finish(ms(3), ticket, true);
    }
    let Decision::Run(_) = arrive(&mut admission, 10, 1, &hot) else { panic!() };
    let Decision::Run(second) = arrive(&mut admission, 11, 1, &other) else { panic!() };
    let Decision::Wait(_) = arrive(&mut admission, 12, 2, &hot) else { panic!() };
    let Decision::Wait(behind) = arrive(&mut admission, 13, 1, &other) else { panic!() };
    assert_eq!(admission.finish(ms(20), second, true), [Action::Start(behind)]);
}

#[test]
fn the_account_of_a_hot_workspace_is_kept_among_many_others() {
    let mut admission = new_admission(1, 1);
    let hot = flow("hot", None);
    let arrive = |admission: &mut Admission, at, flow: &Flow| {
        admission.arrive_for(ms(at), waiting(1, 10_000), Some(flow))
    };
    let Decision::Run(mut running) = arrive(&mut admission, 1, &hot).0 else { panic!() };
    for _ in 0..5 {
        admission.finish(ms(1), running, true);
        let Decision::Run(ticket) = arrive(&mut admission, 1, &hot).0 else { panic!() };
        running = ticket;
    }
    for i in 0..1_000 {
        admission.finish(ms(2), running, true);
        let decision = arrive(&mut admission, 2, &flow(&format!("small-{i}"), None)).0;
        let Decision::Run(ticket) = decision else { panic!("{decision:?}") };
        running = ticket;
    }
    let Decision::Wait(hot) = arrive(&mut admission, 3, &hot).0 else { panic!() };
    let (_, actions) = arrive(&mut admission, 3, &flow("one more", None));
    assert_eq!(refusals(&actions), [(hot, Reason::ShareUsed)]);
}
