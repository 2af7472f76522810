//! The way since long updates are encoded and fetched in chunks.

mod host;
mod replica;

use super::network::{Message, Network, Node};
use super::{GIVE_UP, Outcome, Site};
use cherrystream_core::state::ControlState;
use cherrystream_core::units::Timestamp;
use cherrystream_schema::messages::{ChunkReply, ChunkRequest, Revision, SyncReply, SyncRequest};
use host::Host;
use parking_lot::RwLock;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use replica::Replica;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// When the change comes.
const START: Timestamp = Timestamp::from_millis(10_000);
/// Time that a heartbeat waits for a change, as in the daemon.
const WAIT: Duration = Duration::from_millis(400);
/// Longest time for one call or chunk, as in the daemon.
const CALL: Duration = Duration::from_millis(1_200);
/// Seed for the order of the heartbeats and how long they have waited.
const SEED: u64 = 1;

/// What a message says. Calls and chunks have numbers, by which an answer that came too late is told.
#[derive(Debug)]
enum Body {
    Sync { call: u64, req: Box<SyncRequest> },
    SyncReply { call: u64, reply: Box<SyncReply> },
    Ask { ask: u64, req: Box<ChunkRequest> },
    Chunk { ask: u64, data: Option<Vec<u8>> },
}

/// A heartbeat that waits at a replica.
#[derive(Debug)]
struct Waiting {
    replica: usize,
    from: Node,
    call: u64,
    req: Box<SyncRequest>,
    until: Timestamp,
}

/// What happens at a time.
#[derive(Debug)]
enum Event {
    Leaves(Message<Body>),
    Arrives(Message<Body>),
    Look(Waiting),
    /// A host may ask for its next chunk.
    Next(usize),
    CallLate {
        host: usize,
        call: u64,
    },
    ChunkLate {
        host: usize,
        ask: u64,
    },
    /// A host begins a heartbeat anew.
    Beat {
        host: usize,
        call: u64,
    },
}

/// Emulates a change at replicas whose state is `state`, for daemons that hold `held`.
pub fn emulate(site: &Site, state: ControlState, held: Revision, within: Duration) -> Outcome {
    let mut run = Run::new(site, state, held, within);
    run.begin();
    while let Some((now, event)) = run.events.pop() {
        if now.since(START) > GIVE_UP || run.in_force.len() == site.hosts {
            break;
        }
        run.on(now, event);
    }
    let (crossed, by_replicas) = (run.network.crossed, run.network.by_replicas);
    Outcome { in_force: run.in_force, crossed, by_replicas, late: run.late }
}

/// Events in the order of their times, and of equal times in the order in which they were added.
#[derive(Debug, Default)]
struct Events {
    order: BinaryHeap<Reverse<(Timestamp, u64)>>,
    events: BTreeMap<u64, Event>,
    added: u64,
}

impl Events {
    fn add(&mut self, at: Timestamp, event: Event) {
        self.added += 1;
        self.order.push(Reverse((at, self.added)));
        self.events.insert(self.added, event);
    }

    fn pop(&mut self) -> Option<(Timestamp, Event)> {
        let Reverse((at, number)) = self.order.pop()?;
        Some((at, self.events.remove(&number)?))
    }
}

struct Run {
    network: Network,
    events: Events,
    state: RwLock<ControlState>,
    target: Revision,
    replicas: Vec<Replica>,
    hosts: Vec<Host>,
    /// Nodes by their peer addresses.
    nodes: BTreeMap<String, Node>,
    in_force: Vec<f64>,
    late: u64,
}

impl Run {
    fn new(site: &Site, state: ControlState, held: Revision, within: Duration) -> Run {
        let records = site.records();
        let node = |i: usize| site.replicas + i;
        let nodes = records.iter().enumerate().map(|(i, r)| (r.peer_address.clone(), node(i)));
        let nodes = nodes.collect();
        let host = |(i, record)| Host::new(record, site.replica(i), held, within);
        Run {
            network: Network::new(site),
            events: Events::default(),
            target: state.revision(),
            state: RwLock::new(state),
            replicas: (0..site.replicas).map(Replica::new).collect(),
            hosts: records.into_iter().enumerate().map(host).collect(),
            nodes,
            in_force: Vec::new(),
            late: 0,
        }
    }

    /// Every host has a heartbeat open when the change comes.
    fn begin(&mut self) {
        let mut rng = StdRng::seed_from_u64(SEED);
        let mut order: Vec<usize> = (0..self.hosts.len()).collect();
        order.shuffle(&mut rng);
        for host in order {
            let waited = WAIT.mul_f64(rng.random_range(0.0..1.0));
            let (call, req) = self.hosts[host].heartbeat();
            let (replica, from) = (self.hosts[host].replica, self.node(host));
            let heard = START.earlier(waited).unwrap_or_default();
            self.replicas[replica].reach.record_heartbeat(heard, &req);
            self.events.add(heard + CALL, Event::CallLate { host, call });
            let waiting = Waiting { replica, from, call, req, until: heard + WAIT };
            self.events.add(START, Event::Look(waiting));
        }
    }

    fn on(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::Leaves(message) => {
                let at = self.network.pass(now, &message);
                self.events.add(at, Event::Arrives(message));
            }
            Event::Arrives(message) => self.on_message(now, message),
            Event::Look(waiting) => self.look(now, waiting),
            Event::Next(host) => self.ask(now, host),
            Event::CallLate { host, call } => {
                if self.hosts[host].call == call {
                    self.late += 1;
                    let call = self.hosts[host].abandon_call();
                    self.events.add(now + host::PAUSE_AFTER_CALL, Event::Beat { host, call });
                }
            }
            Event::Beat { host, call } => {
                if self.hosts[host].call == call {
                    self.beat(now, host);
                }
            }
            Event::ChunkLate { host, ask } => {
                if self.hosts[host].ask == ask {
                    self.late += 1;
                    self.on_no_chunk(now, host);
                }
            }
        }
    }

    fn on_message(&mut self, now: Timestamp, message: Message<Body>) {
        let Message { from, to, body, .. } = message;
        match body {
            Body::Sync { call, req } => {
                self.replicas[to].reach.record_heartbeat(now, &req);
                let until = now + WAIT;
                let known = req.fetching.as_ref().map_or(req.held, |f| f.id.to.max(req.held));
                // No change comes any more that would end the wait.
                let at = if self.target > known { now } else { until };
                let waiting = Waiting { replica: to, from, call, req, until };
                self.events.add(at, Event::Look(waiting));
            }
            Body::Ask { ask, req } => {
                let reply = match self.host(to) {
                    Some(host) => self.hosts[host].serve(&req),
                    None => self.replicas[to].chunk(now, &req),
                };
                let data = reply.data;
                let message = Message::new(to, from, reply.text, Body::Chunk { ask, data });
                self.send(now, message.with_state());
            }
            Body::SyncReply { call, reply } => self.on_reply(now, to, call, *reply),
            Body::Chunk { ask, data } => self.on_chunk(now, to, ask, data),
        }
    }

    fn look(&mut self, now: Timestamp, waiting: Waiting) {
        let replica = &self.replicas[waiting.replica];
        let found = replica.look(now, &self.state, &waiting.req, waiting.until);
        match found {
            Some(reply) => {
                let text = text_bytes(&reply);
                let holds_state = reply.update.is_some() || reply.offer.is_some();
                let body = Body::SyncReply { call: waiting.call, reply: Box::new(reply) };
                let message = Message::new(waiting.replica, waiting.from, text, body);
                self.send(now, if holds_state { message.with_state() } else { message });
            }
            None => self.events.add(now + replica::LOOK_AGAIN, Event::Look(waiting)),
        }
    }

    fn on_reply(&mut self, now: Timestamp, to: Node, call: u64, reply: SyncReply) {
        let Some(host) = self.host(to) else { return };
        if self.hosts[host].call != call {
            return;
        }
        let took = self.hosts[host].take_reply(now, reply);
        self.after_taking(now, host, took);
        self.beat(now, host);
        if !self.hosts[host].busy {
            self.ask(now, host);
        }
    }

    fn on_chunk(&mut self, now: Timestamp, to: Node, ask: u64, data: Option<Vec<u8>>) {
        let Some(host) = self.host(to) else { return };
        if self.hosts[host].ask != ask {
            return;
        }
        let Some(data) = data else { return self.on_no_chunk(now, host) };
        let (rest, whole) = self.hosts[host].take_chunk(now, &data);
        self.after_taking(now, host, whole);
        if whole {
            // The heartbeat that is open tells of an older revision.
            self.beat(now, host);
        }
        self.events.add(now + rest, Event::Next(host));
    }

    fn on_no_chunk(&mut self, now: Timestamp, host: usize) {
        let pause = self.hosts[host].on_no_chunk();
        self.events.add(now + pause, Event::Next(host));
    }

    fn after_taking(&mut self, now: Timestamp, host: usize, whole: bool) {
        if whole && self.hosts[host].held >= self.target {
            self.in_force.push(now.since(START).as_secs_f64());
        }
    }

    fn beat(&mut self, now: Timestamp, host: usize) {
        let from = self.node(host);
        let (call, req) = self.hosts[host].heartbeat_at(now);
        let text = text_bytes(&req);
        let to = self.hosts[host].replica;
        self.events.add(now + CALL, Event::CallLate { host, call });
        self.send(now, Message::new(from, to, text, Body::Sync { call, req }));
    }

    fn ask(&mut self, now: Timestamp, host: usize) {
        let from = self.node(host);
        let Some((ask, req, peer)) = self.hosts[host].next_ask(now) else { return };
        let peer = peer.and_then(|address| self.nodes.get(&address).copied());
        let to = peer.unwrap_or(self.hosts[host].replica);
        let text = text_bytes(&req);
        self.events.add(now + CALL, Event::ChunkLate { host, ask });
        self.send(now, Message::new(from, to, text, Body::Ask { ask, req }));
    }

    fn send(&mut self, now: Timestamp, message: Message<Body>) {
        let at = self.network.queue(now, &message);
        self.events.add(at, Event::Leaves(message));
    }

    fn node(&self, host: usize) -> Node {
        self.replicas.len() + host
    }

    fn host(&self, node: Node) -> Option<usize> {
        node.checked_sub(self.replicas.len())
    }
}

/// A chunk, or none, with the bytes of its text.
struct Served {
    data: Option<Vec<u8>>,
    text: usize,
}

impl Served {
    /// Returns a chunk as control sends it.
    fn by_control(reply: &ChunkReply) -> Served {
        let data = reply.chunk.as_ref().and_then(cherrystream_net::chunks::decode);
        Served { data, text: text_bytes(reply) }
    }
}

fn text_bytes(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).map_or(0, |text| text.len())
}
