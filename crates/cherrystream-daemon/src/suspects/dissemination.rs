//! Exchanges records of requests that crash backend servers with other daemons.

use super::SuspectTracker;
use crate::headers::{self, Op};
use cherrystream_core::suspects::{Audience, Message, Record, ring};
use cherrystream_net::body::{self, Body, Start};
use cherrystream_schema::messages::Shared;
use http::Request;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Interval at which a digest is sent to one peer, in rotation, so that a host that was unreachable
/// receives missed records within seconds. With 790 hosts, ten others reach it every 5 s each: the
/// chance that none has after 3 s is one in ten thousand.
const DIGEST_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of the reply to a message.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before the only retry of a message without a reply.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Largest message, in bytes: a full table with a few crashes per request.
const MAX_MESSAGE_BYTES: usize = 512 * 1024;

impl SuspectTracker {
    /// Fetches the records of peers at the start, then compares digests with them in rotation.
    pub async fn run(self: Arc<Self>) {
        self.fetch_initial().await;
        for round in 0.. {
            tokio::time::sleep(DIGEST_INTERVAL).await;
            let mut table = self.table.lock();
            table.expire(self.deps.clock.now());
            let has_records = table.has_wide_records();
            drop(table);
            self.update_metrics();
            if has_records {
                let peers = self.peers();
                let peer = peers.get(round % peers.len().max(1)).cloned();
                tokio::spawn(self.clone().compare_with(peer.into_iter().collect()));
            }
        }
    }

    /// Fetches the records of all peers as soon as there are peers.
    async fn fetch_initial(self: &Arc<Self>) {
        let mut revisions = self.deps.current_config.subscribe();
        while self.peers().is_empty() {
            if revisions.changed().await.is_err() {
                return;
            }
        }
        tokio::spawn(self.clone().compare_with(self.peers()));
    }

    async fn compare_with(self: Arc<Self>, addresses: Vec<String>) {
        for address in addresses {
            self.compare(&address).await;
        }
    }

    /// Compares records with another daemon; each sends the other the records that it lacks.
    async fn compare(self: &Arc<Self>, address: &str) {
        let digest = Some(self.table.lock().digest());
        let request = Message { records: Vec::new(), digest };
        let Some(reply) = self.send(address, &request).await else { return };
        self.merge(&reply.records);
        if reply.digest == digest {
            return;
        }
        let known = self.table.lock().wide_records(self.deps.clock.now());
        let lacks = |record: &Record| !reply.records.iter().any(|other| is_same(record, other));
        let records: Vec<Record> = known.into_iter().filter(lacks).collect();
        if !records.is_empty() {
            self.send(address, &Message { records, digest: None }).await;
        }
    }

    /// Handles a message of another daemon; returns the reply, or `None` when it cannot be decoded.
    pub fn answer(self: &Arc<Self>, bytes: &[u8]) -> Option<Vec<u8>> {
        let message: Message = postcard::from_bytes(bytes).ok()?;
        self.merge(&message.records);
        let table = self.table.lock();
        let digest = table.digest();
        let records = match message.digest {
            Some(theirs) if theirs != digest => table.wide_records(self.deps.clock.now()),
            _ => Vec::new(),
        };
        drop(table);
        postcard::to_stdvec(&Message { records, digest: Some(digest) }).ok()
    }

    /// Merges records of another daemon, and forwards new ones that are meant for all daemons.
    fn merge(self: &Arc<Self>, records: &[Record]) {
        let now = self.deps.clock.now();
        let mut table = self.table.lock();
        let changes: Vec<Record> =
            records.iter().filter(|record| table.on_record(now, record)).cloned().collect();
        drop(table);
        let wide: Vec<Record> = changes.into_iter().filter(|record| record.wide).collect();
        if !wide.is_empty() {
            self.send_to(self.peers(), wide);
        }
    }

    /// Sends local changes to other daemons, first to those next to servers of the service.
    pub(super) fn disseminate(
        self: Arc<Self>,
        service: Option<Arc<str>>,
        changes: Vec<(Audience, Record)>,
    ) {
        let wide: Vec<Record> = changes
            .iter()
            .filter(|(audience, _)| *audience == Audience::All)
            .map(|(_, r)| r.clone())
            .collect();
        let all: Vec<Record> = changes.into_iter().map(|(_, record)| record).collect();
        let service_hosts = service.map(|service| self.hosts_of(&service)).unwrap_or_default();
        if !all.is_empty() {
            self.send_to(service_hosts, all);
        }
        if !wide.is_empty() {
            self.send_to(self.peers(), wide);
        }
    }

    fn send_to(self: &Arc<Self>, addresses: Vec<String>, records: Vec<Record>) {
        let message = Arc::new(Message { records, digest: None });
        for address in addresses {
            let (tracker, message) = (self.clone(), message.clone());
            tokio::spawn(async move {
                if tracker.send(&address, &message).await.is_none() {
                    tokio::time::sleep(RETRY_DELAY).await;
                    tracker.send(&address, &message).await;
                }
            });
        }
    }

    async fn send(&self, address: &str, message: &Message) -> Option<Message> {
        let answer = tokio::time::timeout(REPLY_TIMEOUT, self.exchange(address, message)).await;
        let answer = answer.ok().flatten();
        self.deps.metrics.on_suspect_message(answer.is_some());
        answer
    }

    async fn exchange(&self, address: &str, message: &Message) -> Option<Message> {
        let bytes = postcard::to_stdvec(message).ok()?;
        let mut req = Request::post(format!("http://{address}/")).body(body::full(bytes)).ok()?;
        headers::set_static(req.headers_mut(), headers::OP, Op::Suspects.as_str());
        if let Some(key) = &self.deps.key {
            headers::set(req.headers_mut(), headers::KEY, key.expose());
        }
        let res = self.deps.peers.send(address, req).await.ok()?;
        if !res.status().is_success() {
            return None;
        }
        postcard::from_bytes(&read_bytes(res.into_body()).await?).ok()
    }

    /// Returns the addresses of the peers that this daemon sends records for all daemons to.
    fn peers(&self) -> Vec<String> {
        let hosts = &self.deps.current_config.get().shared.hosts;
        let peers = ring::peers(hosts.keys().map(String::as_str), &self.deps.host);
        let known = peers.into_iter().filter_map(|host| hosts.get(host));
        known.map(|host| host.peer_address.clone()).collect()
    }

    /// Returns the addresses of the other daemons with a backend server of a service.
    fn hosts_of(&self, service: &str) -> Vec<String> {
        let held = self.deps.current_config.get();
        let mut hosts = hosts_of(&held.shared, service);
        hosts.remove(&*self.deps.host);
        let known = hosts.iter().filter_map(|host| held.shared.hosts.get(*host));
        known.map(|host| host.peer_address.clone()).collect()
    }
}

/// Returns the hosts with a backend server of a service.
fn hosts_of<'a>(shared: &'a Shared, service: &str) -> BTreeSet<&'a str> {
    let entry = shared.config.services.get(service);
    let listed = entry.into_iter().flat_map(|entry| entry.backend_servers.values());
    let listed = listed.map(|server| server.host.as_str());
    let reported = shared.instances.iter().filter(|(_, i)| *i.instance.service == *service);
    listed.chain(reported.map(|(host, _)| host.as_str())).collect()
}

/// Returns whether two records have the same content, apart from ages.
fn is_same(one: &Record, other: &Record) -> bool {
    let ends = |record: &Record| -> BTreeMap<_, _> {
        record.ends.iter().map(|end| (end.id, end.alone)).collect()
    };
    one.request == other.request && one.generation == other.generation && ends(one) == ends(other)
}

/// Reads the body of a message; `None` when it is too large or incomplete.
pub async fn read_bytes(body: Body) -> Option<Vec<u8>> {
    match body::read_start(body, MAX_MESSAGE_BYTES).await {
        Ok(Start::Whole(bytes)) => Some(bytes.to_vec()),
        _ => None,
    }
}
