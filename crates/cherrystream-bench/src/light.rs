//! Light daemons: each only keeps its heartbeat and fetches what control offers, as a daemon does.

use cherrystream_core::distribution::{ChunkOutcome, Download};
use cherrystream_core::transfer::PieceSize;
use cherrystream_net::chunks;
use cherrystream_net::clock::Clock;
use cherrystream_net::rpc::{self, ControlRpcClient};
use cherrystream_schema::messages::{
    ChunkRequest, HostRecord, Offer, Revision, SyncReply, SyncRequest,
};
use jsonrpsee::ws_client::WsClient;
use rand::Rng;
use serde::Serialize;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Longest time for one call.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which a change is to be in force, as in the daemon's settings.
const WITHIN: Duration = Duration::from_secs(18);
/// Time that a heartbeat waits, as in the daemon.
const WAIT_MS: u64 = 4_000;

/// Returns the registration of a light daemon.
pub fn record(i: u64) -> HostRecord {
    HostRecord {
        host: format!("host-{i:04}"),
        failure_domain: format!("domain-{}", i % 7),
        region: format!("region-{}", i % 2),
        peer_address: format!("10.{}.{}.1:7101", i / 250, i % 250),
        incarnation: rand::rng().random(),
        leaving: false,
    }
}

/// Light daemons.
pub struct Light {
    newest: Arc<Vec<AtomicU64>>,
    bytes: Arc<AtomicU64>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Light {
    /// Starts light daemons that spread over the three replicas.
    pub fn start(base: &str, count: u64) -> Light {
        let newest: Arc<Vec<AtomicU64>> = Arc::new((0..count).map(|_| AtomicU64::new(0)).collect());
        let bytes = Arc::new(AtomicU64::new(0));
        let tasks = (0..count)
            .map(|i| {
                let address = format!("{base}:720{}", i % 3 + 1);
                tokio::spawn(beat(address, i, newest.clone(), bytes.clone()))
            })
            .collect();
        Light { newest, bytes, tasks }
    }

    /// Returns the lowest index of a revision that any of them holds.
    pub fn lowest(&self) -> u64 {
        self.newest.iter().map(|n| n.load(Ordering::Relaxed)).min().unwrap_or(0)
    }

    /// Returns the bytes of all messages so far.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

impl Drop for Light {
    fn drop(&mut self) {
        self.tasks.iter().for_each(tokio::task::JoinHandle::abort);
    }
}

async fn beat(address: String, i: u64, newest: Arc<Vec<AtomicU64>>, bytes: Arc<AtomicU64>) {
    let mut held = Revision::default();
    let mut confirmed = false;
    let record = record(i);
    loop {
        let Ok(client) = rpc::connect(&address, None, TIMEOUT).await else {
            tokio::time::sleep(Duration::from_millis(300)).await;
            continue;
        };
        let line = Line { client, record: record.clone(), bytes: bytes.clone() };
        while let Some(reply) = line.sync(held, confirmed).await {
            confirmed = true;
            held = held.max(line.take(reply).await);
            newest[i as usize].store(held.index, Ordering::Relaxed);
        }
    }
}

/// A light daemon's connection to its replica.
struct Line {
    client: WsClient,
    record: HostRecord,
    bytes: Arc<AtomicU64>,
}

impl Line {
    async fn sync(&self, held: Revision, confirmed: bool) -> Option<SyncReply> {
        let req = SyncRequest {
            record: self.record.clone(),
            held,
            confirmed: !confirmed,
            wait_ms: WAIT_MS,
            instance: None,
            fetching: None,
            looks_in: false,
            control_known: 0,
            tally: None,
        };
        self.count(&req);
        let reply = self.client.sync(req).await.ok()?;
        self.count(&reply);
        Some(reply)
    }

    /// Takes what a replica tells of the state, and returns the revision that it leads to.
    async fn take(&self, reply: SyncReply) -> Revision {
        match (reply.update, reply.offer) {
            (Some(update), _) => update.revision,
            (None, Some(offer)) => self.fetch(offer).await.unwrap_or_default(),
            (None, None) => Revision::default(),
        }
    }

    /// Fetches an update from control, also where peers are named: light daemons serve none. A daemon rests
    /// between chunks; a light one doesn't, so that the time is that of the work.
    async fn fetch(&self, offer: Offer) -> Option<Revision> {
        let clock = Clock::default();
        let mut download = Download::new(clock.now(), offer.id, WITHIN)?;
        let mut piece_size = PieceSize::default();
        let mut chunk = offer.first;
        loop {
            if let Some(chunk) = &chunk {
                let data = chunks::decode(chunk)?;
                if let ChunkOutcome::Whole(_) =
                    download.take(clock.now(), chunk.offset, &data).ok()?
                {
                    return Some(offer.id.to);
                }
            }
            let req = ChunkRequest {
                id: offer.id,
                offset: download.received(),
                bytes: piece_size.bytes() as u64,
                host: self.record.host.clone(),
                failure_domain: self.record.failure_domain.clone(),
            };
            self.count(&req);
            let asked = clock.now();
            let reply = self.client.chunk(req).await.ok()?;
            piece_size.on_reply(clock.now().since(asked));
            self.count(&reply);
            chunk = Some(reply.chunk?);
        }
    }

    fn count(&self, message: &impl Serialize) {
        let text = serde_json::to_vec(message).map_or(0, |text| text.len());
        self.bytes.fetch_add(text as u64, Ordering::Relaxed);
    }
}
