//! Light daemons: tasks that only send heartbeats and fetch the updates that control offers.

use cherrystream_core::distribution::{ChunkOutcome, Download};
use cherrystream_core::transfer::PieceSize;
use cherrystream_net::chunks;
use cherrystream_net::clock::Clock;
use cherrystream_net::rpc::{self, Client, ConnectOptions, ControlRpcClient};
use cherrystream_schema::messages::{
    ChunkRequest, HostRecord, Offer, Revision, SyncReply, SyncRequest,
};

use rand::Rng;
use serde::Serialize;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Timeout of one call.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which a change must be applied; the daemon's default setting.
const APPLY_WITHIN: Duration = Duration::from_secs(18);
/// Time that a heartbeat waits for a change, as in the daemon.
const WAIT_MS: u64 = 4_000;

/// Settings of the connections, with the daemon's interval of pings.
const CONNECT_OPTIONS: ConnectOptions<'static> = ConnectOptions {
    key: None,
    call_timeout: TIMEOUT,
    ping_interval: Some(Duration::from_millis(400)),
};

/// Returns the registration of the light daemon with number `i`.
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

/// A set of running light daemons.
pub struct LightDaemons {
    revisions: Arc<Vec<AtomicU64>>,
    bytes: Arc<AtomicU64>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl LightDaemons {
    /// Starts light daemons, distributed over the three replicas.
    pub fn start(base: &str, count: u64) -> LightDaemons {
        let revisions: Arc<Vec<AtomicU64>> =
            Arc::new((0..count).map(|_| AtomicU64::new(0)).collect());
        let bytes = Arc::new(AtomicU64::new(0));
        let tasks = (0..count)
            .map(|i| {
                let address = format!("{base}:720{}", i % 3 + 1);
                tokio::spawn(run_heartbeats(address, i, revisions.clone(), bytes.clone()))
            })
            .collect();
        LightDaemons { revisions, bytes, tasks }
    }

    /// Returns the lowest revision index among the daemons.
    pub fn lowest(&self) -> u64 {
        self.revisions.iter().map(|n| n.load(Ordering::Relaxed)).min().unwrap_or(0)
    }

    /// Returns the total size of all messages so far in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

impl Drop for LightDaemons {
    fn drop(&mut self) {
        self.tasks.iter().for_each(tokio::task::JoinHandle::abort);
    }
}

async fn run_heartbeats(
    address: String,
    i: u64,
    revisions: Arc<Vec<AtomicU64>>,
    bytes: Arc<AtomicU64>,
) {
    let mut held = Revision::default();
    let mut confirmed = false;
    let record = record(i);
    loop {
        let Ok(client) = rpc::connect_with(&address, CONNECT_OPTIONS).await else {
            tokio::time::sleep(Duration::from_millis(300)).await;
            continue;
        };
        let connection = Connection { client, record: record.clone(), bytes: bytes.clone() };
        while let Some(reply) = connection.sync(held, confirmed).await {
            confirmed = true;
            held = held.max(connection.on_reply(reply).await);
            revisions[i as usize].store(held.index, Ordering::Relaxed);
        }
    }
}

/// A light daemon's connection to its replica.
struct Connection {
    client: Client,
    record: HostRecord,
    bytes: Arc<AtomicU64>,
}

impl Connection {
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

    /// Applies a replica's reply, and returns the resulting revision.
    async fn on_reply(&self, reply: SyncReply) -> Revision {
        match (reply.update, reply.offer) {
            (Some(update), _) => update.revision,
            (None, Some(offer)) => self.fetch(offer).await.unwrap_or_default(),
            (None, None) => Revision::default(),
        }
    }

    /// Fetches an update from control even if peers are offered, because light daemons serve none.
    /// Doesn't pause between chunks, unlike a daemon, so that only the work is timed.
    async fn fetch(&self, offer: Offer) -> Option<Revision> {
        let clock = Clock::default();
        let mut download = Download::new(clock.now(), offer.id, APPLY_WITHIN)?;
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
            let requested = clock.now();
            let reply = self.client.chunk(req).await.ok()?;
            piece_size.on_reply(clock.now().since(requested));
            self.count(&reply);
            chunk = Some(reply.chunk?);
        }
    }

    fn count(&self, message: &impl Serialize) {
        let text = serde_json::to_vec(message).map_or(0, |text| text.len());
        self.bytes.fetch_add(text as u64, Ordering::Relaxed);
    }
}
