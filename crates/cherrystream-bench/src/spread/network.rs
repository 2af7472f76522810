//! Simulated links and the messages on them.

use super::Site;
use cherrystream_core::units::Timestamp;
use std::time::Duration;

/// Rate of a replica's link in bytes per second: 1,000 Mbit/s.
pub const REPLICA_BYTES_PER_SECOND: f64 = 125e6;
/// Estimated overhead of JSON-RPC, WebSocket and TCP for each message, in bytes.
const FRAME_BYTES: usize = 100;
/// Latency within a failure domain.
const LATENCY_WITHIN_DOMAIN: Duration = Duration::from_millis(1);
/// Latency between two failure domains.
const LATENCY_BETWEEN_DOMAINS: Duration = Duration::from_millis(5);

/// Returns the latency of a message.
pub fn latency(crosses_domains: bool) -> Duration {
    if crosses_domains { LATENCY_BETWEEN_DOMAINS } else { LATENCY_WITHIN_DOMAIN }
}

/// Index of a network node: replicas first, then hosts.
pub type Node = usize;

/// A message in transit.
#[derive(Debug)]
pub struct Message<B> {
    /// Sender.
    pub from: Node,
    /// Receiver.
    pub to: Node,
    /// Content.
    pub body: B,
    bytes: f64,
    holds_state: bool,
}

impl<B> Message<B> {
    /// Creates a message whose text has `text` bytes.
    pub fn new(from: Node, to: Node, text: usize, body: B) -> Message<B> {
        Message { from, to, body, bytes: (text + FRAME_BYTES) as f64, holds_state: false }
    }

    /// Marks the message as holding a part of the state.
    pub fn with_state(self) -> Message<B> {
        Message { holds_state: true, ..self }
    }
}

#[derive(Debug)]
struct Link {
    domain: usize,
    rate: f64,
    up_free: Timestamp,
    down_free: Timestamp,
}

/// The links of all nodes.
#[derive(Debug)]
pub struct Network {
    links: Vec<Link>,
    replicas: usize,
    /// Bytes sent between failure domains so far, of messages that hold a part of the state.
    pub cross_domain_bytes: f64,
    /// Bytes sent by replicas so far, of the same messages.
    pub replica_bytes: f64,
}

impl Network {
    /// Creates the links of a site.
    pub fn new(site: &Site) -> Network {
        let replicas = (0..site.replicas).map(|r| (r, REPLICA_BYTES_PER_SECOND));
        let hosts = (0..site.hosts).map(|h| (site.domain(h), site.rate(h)));
        let (up_free, down_free) = (Timestamp::default(), Timestamp::default());
        let link = |(domain, rate)| Link { domain, rate, up_free, down_free };
        let links = replicas.chain(hosts).map(link).collect();
        Network { links, replicas: site.replicas, cross_domain_bytes: 0.0, replica_bytes: 0.0 }
    }

    /// Queues a message at its sender's link, and returns when its transmission begins.
    pub fn queue<B>(&mut self, now: Timestamp, message: &Message<B>) -> Timestamp {
        if message.holds_state && self.crosses_domains(message) {
            self.cross_domain_bytes += message.bytes;
        }
        if message.holds_state && message.from < self.replicas {
            self.replica_bytes += message.bytes;
        }
        let link = &mut self.links[message.from];
        let begins = link.up_free.max(now);
        link.up_free = begins + Duration::from_secs_f64(message.bytes / link.rate);
        begins
    }

    /// Transmits a message from now on, and returns when it has arrived completely.
    pub fn transmit<B>(&mut self, now: Timestamp, message: &Message<B>) -> Timestamp {
        let latency = latency(self.crosses_domains(message));
        let sent = now + Duration::from_secs_f64(message.bytes / self.links[message.from].rate);
        let link = &mut self.links[message.to];
        link.down_free =
            link.down_free.max(now) + Duration::from_secs_f64(message.bytes / link.rate);
        link.down_free.max(sent) + latency
    }

    fn crosses_domains<B>(&self, message: &Message<B>) -> bool {
        self.links[message.from].domain != self.links[message.to].domain
    }
}
