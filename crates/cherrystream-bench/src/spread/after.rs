//! Distribution of encoded updates that daemons fetch in chunks from control and from peers.

mod host;
mod replica;

use super::network::{Message, Network, Node};
use super::{Outcome, Site, TIME_LIMIT};
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

/// Time of the change.
const CHANGE_TIME: Timestamp = Timestamp::from_millis(10_000);
/// Time that a heartbeat waits for a change, as in the daemon.
const HEARTBEAT_WAIT: Duration = Duration::from_millis(400);
/// Timeout of a call or of a chunk request, as in the daemon.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Seed of the order of the heartbeats and of the times that they have waited.
const SEED: u64 = 1;

/// Content of a message. The numbers of calls and fetches identify replies that arrive too late.
#[derive(Debug)]
enum Body {
    Sync { call: u64, req: Box<SyncRequest> },
    SyncReply { call: u64, reply: Box<SyncReply> },
    Fetch { fetch: u64, req: Box<ChunkRequest> },
    FetchReply { fetch: u64, data: Option<Vec<u8>> },
}

/// A heartbeat waiting at a replica.
#[derive(Debug)]
struct PendingHeartbeat {
    replica: usize,
    from: Node,
    call: u64,
    req: Box<SyncRequest>,
    until: Timestamp,
}

/// An event of the simulation.
#[derive(Debug)]
enum Event {
    Departure(Message<Body>),
    Arrival(Message<Body>),
    Poll(PendingHeartbeat),
    /// A host may request its next chunk.
    FetchNext(usize),
    CallTimeout {
        host: usize,
        call: u64,
    },
    FetchTimeout {
        host: usize,
        fetch: u64,
    },
    /// A host sends a new heartbeat.
    Heartbeat {
        host: usize,
        call: u64,
    },
}

/// Emulates a change at replicas whose state is `state`, for daemons that hold `held`.
pub fn emulate(site: &Site, state: ControlState, held: Revision, within: Duration) -> Outcome {
    let mut emulation = Emulation::new(site, state, held, within);
    emulation.begin();
    while let Some((now, event)) = emulation.events.pop() {
        if now.since(CHANGE_TIME) > TIME_LIMIT || emulation.applied_s.len() == site.hosts {
            break;
        }
        emulation.on(now, event);
    }
    let (cross_domain_bytes, replica_bytes) =
        (emulation.network.cross_domain_bytes, emulation.network.replica_bytes);
    Outcome {
        applied_s: emulation.applied_s,
        cross_domain_bytes,
        replica_bytes,
        timeouts: emulation.timeouts,
    }
}

/// Event queue ordered by time, then by insertion.
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

struct Emulation {
    network: Network,
    events: Events,
    state: RwLock<ControlState>,
    target: Revision,
    replicas: Vec<Replica>,
    hosts: Vec<Host>,
    /// Nodes by peer address.
    nodes: BTreeMap<String, Node>,
    applied_s: Vec<f64>,
    timeouts: u64,
}

impl Emulation {
    fn new(site: &Site, state: ControlState, held: Revision, within: Duration) -> Emulation {
        let records = site.records();
        let node = |i: usize| site.replicas + i;
        let nodes = records.iter().enumerate().map(|(i, r)| (r.peer_address.clone(), node(i)));
        let nodes = nodes.collect();
        let host = |(i, record)| Host::new(record, site.replica(i), held, within);
        Emulation {
            network: Network::new(site),
            events: Events::default(),
            target: state.revision(),
            state: RwLock::new(state),
            replicas: (0..site.replicas).map(Replica::new).collect(),
            hosts: records.into_iter().enumerate().map(host).collect(),
            nodes,
            applied_s: Vec::new(),
            timeouts: 0,
        }
    }

    /// Opens a heartbeat of every host before the change comes.
    fn begin(&mut self) {
        let mut rng = StdRng::seed_from_u64(SEED);
        let mut order: Vec<usize> = (0..self.hosts.len()).collect();
        order.shuffle(&mut rng);
        for host in order {
            let waited = HEARTBEAT_WAIT.mul_f64(rng.random_range(0.0..1.0));
            let (call, req) = self.hosts[host].heartbeat();
            let (replica, from) = (self.hosts[host].replica, self.node(host));
            let received = CHANGE_TIME.earlier(waited).unwrap_or_default();
            self.replicas[replica].daemons.record_heartbeat(received, &req);
            self.events.add(received + CALL_TIMEOUT, Event::CallTimeout { host, call });
            let pending =
                PendingHeartbeat { replica, from, call, req, until: received + HEARTBEAT_WAIT };
            self.events.add(CHANGE_TIME, Event::Poll(pending));
        }
    }

    fn on(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::Departure(message) => {
                let at = self.network.transmit(now, &message);
                self.events.add(at, Event::Arrival(message));
            }
            Event::Arrival(message) => self.on_message(now, message),
            Event::Poll(pending) => self.poll(now, pending),
            Event::FetchNext(host) => self.fetch(now, host),
            Event::CallTimeout { host, call } => {
                if self.hosts[host].call == call {
                    self.timeouts += 1;
                    let call = self.hosts[host].abandon_call();
                    self.events.add(now + host::PAUSE_AFTER_CALL, Event::Heartbeat { host, call });
                }
            }
            Event::Heartbeat { host, call } => {
                if self.hosts[host].call == call {
                    self.send_heartbeat(now, host);
                }
            }
            Event::FetchTimeout { host, fetch } => {
                if self.hosts[host].fetch == fetch {
                    self.timeouts += 1;
                    self.on_fetch_failure(now, host);
                }
            }
        }
    }

    fn on_message(&mut self, now: Timestamp, message: Message<Body>) {
        let Message { from, to, body, .. } = message;
        match body {
            Body::Sync { call, req } => {
                self.replicas[to].daemons.record_heartbeat(now, &req);
                let until = now + HEARTBEAT_WAIT;
                let known = req.fetching.as_ref().map_or(req.held, |f| f.id.to.max(req.held));
                // No later change will end the wait.
                let at = if self.target > known { now } else { until };
                let pending = PendingHeartbeat { replica: to, from, call, req, until };
                self.events.add(at, Event::Poll(pending));
            }
            Body::Fetch { fetch, req } => {
                let reply = match self.host(to) {
                    Some(host) => self.hosts[host].serve(&req),
                    None => self.replicas[to].chunk(now, &req),
                };
                let data = reply.data;
                let message = Message::new(to, from, reply.text, Body::FetchReply { fetch, data });
                self.send(now, message.with_state());
            }
            Body::SyncReply { call, reply } => self.on_reply(now, to, call, *reply),
            Body::FetchReply { fetch, data } => self.on_chunk(now, to, fetch, data),
        }
    }

    fn poll(&mut self, now: Timestamp, pending: PendingHeartbeat) {
        let replica = &self.replicas[pending.replica];
        let reply = replica.poll(now, &self.state, &pending.req, pending.until);
        match reply {
            Some(reply) => {
                let text = text_bytes(&reply);
                let holds_state = reply.update.is_some() || reply.offer.is_some();
                let body = Body::SyncReply { call: pending.call, reply: Box::new(reply) };
                let message = Message::new(pending.replica, pending.from, text, body);
                self.send(now, if holds_state { message.with_state() } else { message });
            }
            None => self.events.add(now + replica::POLL_INTERVAL, Event::Poll(pending)),
        }
    }

    fn on_reply(&mut self, now: Timestamp, to: Node, call: u64, reply: SyncReply) {
        let Some(host) = self.host(to) else { return };
        if self.hosts[host].call != call {
            return;
        }
        let applied = self.hosts[host].take_reply(now, reply);
        self.record_if_applied(now, host, applied);
        self.send_heartbeat(now, host);
        if !self.hosts[host].busy {
            self.fetch(now, host);
        }
    }

    fn on_chunk(&mut self, now: Timestamp, to: Node, fetch: u64, data: Option<Vec<u8>>) {
        let Some(host) = self.host(to) else { return };
        if self.hosts[host].fetch != fetch {
            return;
        }
        let Some(data) = data else { return self.on_fetch_failure(now, host) };
        let (rest, whole) = self.hosts[host].take_chunk(now, &data);
        self.record_if_applied(now, host, whole);
        if whole {
            // The open heartbeat reports an older revision; a new one replaces it.
            self.send_heartbeat(now, host);
        }
        self.events.add(now + rest, Event::FetchNext(host));
    }

    fn on_fetch_failure(&mut self, now: Timestamp, host: usize) {
        let pause = self.hosts[host].on_fetch_failure();
        self.events.add(now + pause, Event::FetchNext(host));
    }

    fn record_if_applied(&mut self, now: Timestamp, host: usize, whole: bool) {
        if whole && self.hosts[host].held >= self.target {
            self.applied_s.push(now.since(CHANGE_TIME).as_secs_f64());
        }
    }

    fn send_heartbeat(&mut self, now: Timestamp, host: usize) {
        let from = self.node(host);
        let (call, req) = self.hosts[host].heartbeat_at(now);
        let text = text_bytes(&req);
        let to = self.hosts[host].replica;
        self.events.add(now + CALL_TIMEOUT, Event::CallTimeout { host, call });
        self.send(now, Message::new(from, to, text, Body::Sync { call, req }));
    }

    fn fetch(&mut self, now: Timestamp, host: usize) {
        let from = self.node(host);
        let Some((fetch, req, peer)) = self.hosts[host].next_fetch(now) else { return };
        let peer = peer.and_then(|address| self.nodes.get(&address).copied());
        let to = peer.unwrap_or(self.hosts[host].replica);
        let text = text_bytes(&req);
        self.events.add(now + CALL_TIMEOUT, Event::FetchTimeout { host, fetch });
        self.send(now, Message::new(from, to, text, Body::Fetch { fetch, req }));
    }

    fn send(&mut self, now: Timestamp, message: Message<Body>) {
        let at = self.network.queue(now, &message);
        self.events.add(at, Event::Departure(message));
    }

    fn node(&self, host: usize) -> Node {
        self.replicas.len() + host
    }

    fn host(&self, node: Node) -> Option<usize> {
        node.checked_sub(self.replicas.len())
    }
}

/// A chunk, if the sender has it, and the size of the reply in bytes.
struct ServedChunk {
    data: Option<Vec<u8>>,
    text: usize,
}

impl ServedChunk {
    /// Converts a reply of control.
    fn from_control_reply(reply: &ChunkReply) -> ServedChunk {
        let data = reply.chunk.as_ref().and_then(cherrystream_net::chunks::decode);
        ServedChunk { data, text: text_bytes(reply) }
    }
}

fn text_bytes(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).map_or(0, |text| text.len())
}
