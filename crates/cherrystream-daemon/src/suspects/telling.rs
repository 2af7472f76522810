//! Tells other daemons of requests that end backend servers, and takes what they tell.

use super::SuspectWatch;
use crate::headers::{self, Op};
use cherrystream_core::suspects::{Audience, Message, Record, ring};
use cherrystream_net::body::{self, Body, Start};
use cherrystream_schema::messages::Shared;
use http::Request;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Time between two digests. A host that comes back after a cut is a partner of ten others in a fleet of 790, each of which comes
/// round to it every 5 s: within 3 s it hears of all but one time in ten thousand.
const DIGEST_EVERY: Duration = Duration::from_millis(500);
/// Longest wait for the answer to a message.
const ANSWER_WITHIN: Duration = Duration::from_millis(500);
/// Time after which a message that was not answered is sent once more.
const AGAIN_AFTER: Duration = Duration::from_millis(200);
/// Largest message: a full table with a few ends each.
const MESSAGE_BYTES: usize = 512 * 1024;

impl SuspectWatch {
    /// Tells and asks other daemons, time and again.
    pub async fn run(self: Arc<Self>) {
        self.ask_first().await;
        for round in 0.. {
            tokio::time::sleep(DIGEST_EVERY).await;
            let mut table = self.table.lock();
            table.expire(self.tools.clock.now());
            let knows = table.has_wide_records();
            drop(table);
            self.show();
            if knows {
                let partners = self.partners();
                let turn = partners.get(round % partners.len().max(1)).cloned();
                tokio::spawn(self.clone().compare_with(turn.into_iter().collect()));
            }
        }
    }

    /// Asks for what is known, once other daemons are.
    async fn ask_first(self: &Arc<Self>) {
        let mut revisions = self.tools.held.subscribe();
        while self.partners().is_empty() {
            if revisions.changed().await.is_err() {
                return;
            }
        }
        tokio::spawn(self.clone().compare_with(self.partners()));
    }

    async fn compare_with(self: Arc<Self>, addresses: Vec<String>) {
        for address in addresses {
            self.compare(&address).await;
        }
    }

    /// Compares what is known here with what another daemon knows; both know the same then.
    async fn compare(self: &Arc<Self>, address: &str) {
        let digest = Some(self.table.lock().digest());
        let asked = Message { records: Vec::new(), digest };
        let Some(told) = self.send(address, &asked).await else { return };
        self.take(&told.records);
        if told.digest == digest {
            return;
        }
        let known = self.table.lock().wide_records(self.tools.clock.now());
        let lacks = |record: &Record| !told.records.iter().any(|other| says_same(record, other));
        let records: Vec<Record> = known.into_iter().filter(lacks).collect();
        if !records.is_empty() {
            self.send(address, &Message { records, digest: None }).await;
        }
    }

    /// Takes a message of another daemon; returns the answer, or `None` when it cannot be read.
    pub fn answer(self: &Arc<Self>, bytes: &[u8]) -> Option<Vec<u8>> {
        let message: Message = postcard::from_bytes(bytes).ok()?;
        self.take(&message.records);
        let table = self.table.lock();
        let digest = table.digest();
        let records = match message.digest {
            Some(theirs) if theirs != digest => table.wide_records(self.tools.clock.now()),
            _ => Vec::new(),
        };
        drop(table);
        postcard::to_stdvec(&Message { records, digest: Some(digest) }).ok()
    }

    /// Takes what another daemon tells, and passes on what is news to all.
    fn take(self: &Arc<Self>, records: &[Record]) {
        let now = self.tools.clock.now();
        let mut table = self.table.lock();
        let news: Vec<Record> =
            records.iter().filter(|record| table.on_record(now, record)).cloned().collect();
        drop(table);
        let wide: Vec<Record> = news.into_iter().filter(|record| record.wide).collect();
        if !wide.is_empty() {
            self.send_to(self.partners(), wide);
        }
    }

    /// Tells others of changes that began here, those beside the backend servers of the service first.
    pub(super) fn tell(self: Arc<Self>, service: Option<Arc<str>>, news: Vec<(Audience, Record)>) {
        let wide: Vec<Record> = news
            .iter()
            .filter(|(audience, _)| *audience == Audience::All)
            .map(|(_, r)| r.clone())
            .collect();
        let all: Vec<Record> = news.into_iter().map(|(_, record)| record).collect();
        let of_service = service.map(|service| self.hosts_of(&service)).unwrap_or_default();
        if !all.is_empty() {
            self.send_to(of_service, all);
        }
        if !wide.is_empty() {
            self.send_to(self.partners(), wide);
        }
    }

    fn send_to(self: &Arc<Self>, addresses: Vec<String>, records: Vec<Record>) {
        let message = Arc::new(Message { records, digest: None });
        for address in addresses {
            let (watch, message) = (self.clone(), message.clone());
            tokio::spawn(async move {
                if watch.send(&address, &message).await.is_none() {
                    tokio::time::sleep(AGAIN_AFTER).await;
                    watch.send(&address, &message).await;
                }
            });
        }
    }

    async fn send(&self, address: &str, message: &Message) -> Option<Message> {
        let answer = tokio::time::timeout(ANSWER_WITHIN, self.exchange(address, message)).await;
        let answer = answer.ok().flatten();
        self.tools.metrics.on_suspect_message(answer.is_some());
        answer
    }

    async fn exchange(&self, address: &str, message: &Message) -> Option<Message> {
        let bytes = postcard::to_stdvec(message).ok()?;
        let mut req = Request::post(format!("http://{address}/")).body(body::full(bytes)).ok()?;
        headers::set_static(req.headers_mut(), headers::OP, Op::Suspects.as_str());
        if let Some(key) = &self.tools.key {
            headers::set(req.headers_mut(), headers::KEY, key.expose());
        }
        let res = self.tools.peers.send(address, req).await.ok()?;
        if !res.status().is_success() {
            return None;
        }
        postcard::from_bytes(&read_bytes(res.into_body()).await?).ok()
    }

    /// Returns the addresses of the daemons that this one tells of what all are to know.
    fn partners(&self) -> Vec<String> {
        let hosts = &self.tools.held.get().shared.hosts;
        let partners = ring::peers(hosts.keys().map(String::as_str), &self.tools.host);
        let known = partners.into_iter().filter_map(|host| hosts.get(host));
        known.map(|host| host.peer_address.clone()).collect()
    }

    /// Returns the addresses of the daemons with a backend server of a service, this one left out.
    fn hosts_of(&self, service: &str) -> Vec<String> {
        let held = self.tools.held.get();
        let mut hosts = hosts_of(&held.shared, service);
        hosts.remove(&*self.tools.host);
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

/// Returns whether two records say the same; ages differ by the way of a message.
fn says_same(one: &Record, other: &Record) -> bool {
    let ends = |record: &Record| -> BTreeMap<_, _> {
        record.ends.iter().map(|end| (end.id, end.alone)).collect()
    };
    one.request == other.request && one.generation == other.generation && ends(one) == ends(other)
}

/// Reads a whole message.
pub async fn read_bytes(body: Body) -> Option<Vec<u8>> {
    match body::read_start(body, MESSAGE_BYTES).await {
        Ok(Start::Whole(bytes)) => Some(bytes.to_vec()),
        _ => None,
    }
}
