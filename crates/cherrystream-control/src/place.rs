//! The place of a replica in the group: fixed by settings, one of the founders, or asked for.

use crate::contacts;
use crate::errors::Result;
use crate::folder::Folder;
use crate::founder;
use crate::metrics::Metrics;
use crate::peers::Line;
use crate::recall::{self, Identity};
use crate::rpc_server;
use crate::standby::Standby;
use cherrystream_core::raft;
use cherrystream_net::clock;
use cherrystream_net::key::Secret;
use cherrystream_net::rpc::{self, ControlRpcClient};
use cherrystream_net::seeds;
use cherrystream_schema::messages::{JoinReply, JoinRequest};
use cherrystream_schema::settings::ControlSettings;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::task;

/// Time between questions for a place.
const ASK_AGAIN: Duration = Duration::from_millis(250);
/// As `ASK_AGAIN`, for one that has asked for long. Each question is a connection, and most cross to another failure
/// domain: five replicas that stand by said 40 KB a second at 4 questions a second (by the sizes of their messages).
const ASK_SELDOM: Duration = Duration::from_millis(1_000);
/// Questions after which a replica asks seldom: more than the founding of a group takes.
const ASK_OFTEN: usize = 12;
/// Longest wait for the answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(900);
/// Shortest time without a leader before an election, where members are found by themselves.
const ELECTION: Duration = Duration::from_millis(700);
/// As `ELECTION`, after a start: several round trips and syncs within a region. A replica that starts alone
/// disturbs nobody, for the others tell it so before it stands.
const FIRST_ELECTION: Duration = Duration::from_millis(80);
/// Time between heartbeats there: each costs bytes between failure domains.
const HEARTBEAT: Duration = Duration::from_millis(200);

/// A place in the group.
#[derive(Clone, Debug)]
pub struct Place {
    /// Number and disk of this replica.
    pub identity: Identity,
    /// RPC addresses by number, this replica included.
    pub addresses: BTreeMap<u64, String>,
    /// Whether the addresses stay as they are.
    pub fixed: bool,
    /// Failure domain of this host.
    pub failure_domain: String,
    /// Whether this replica may found the group.
    pub may_found: bool,
}

impl Place {
    /// Returns the options of the replicated log.
    pub fn raft_options(&self) -> raft::Options {
        let addresses = if self.fixed { BTreeMap::new() } else { self.addresses.clone() };
        let defaults = raft::Options::default();
        raft::Options {
            id: self.identity.replica,
            disk: self.identity.disk.clone(),
            replicas: self.addresses.keys().copied().collect(),
            addresses,
            failure_domain: if self.fixed { String::new() } else { self.failure_domain.clone() },
            may_bootstrap: self.may_found,
            election: if self.fixed { defaults.election } else { ELECTION },
            first_election: if self.fixed { defaults.first_election } else { FIRST_ELECTION },
            heartbeat: if self.fixed { defaults.heartbeat } else { HEARTBEAT },
            seed: rand::random(),
            started_ms: clock::unix_ms(),
        }
    }

    /// Returns the lines to the other replicas.
    pub fn lines(&self, key: Option<&Secret>) -> BTreeMap<u64, Arc<Line>> {
        let others = self.addresses.iter().filter(|(id, _)| **id != self.identity.replica);
        others.map(|(id, address)| (*id, Arc::new(Line::new(address, key.cloned())))).collect()
    }
}

/// What finding a place needs besides the settings.
pub struct Finder<'a> {
    /// Failure domain of this host.
    pub failure_domain: &'a str,
    /// Key of the system's own processes.
    pub key: Option<&'a Secret>,
    /// Metrics.
    pub metrics: &'a Metrics,
}

/// Finds the place of this replica, asking the seeds for one where needed.
///
/// # Errors
///
/// Fails when the data folder cannot be read, or the RPC address cannot be used.
pub async fn find(
    settings: &ControlSettings,
    folder: &impl Folder,
    finder: &Finder<'_>,
) -> Result<Place> {
    let new_disk = uuid::Uuid::new_v4().to_string();
    let failure_domain = finder.failure_domain.to_string();
    let Some(seeds) = &settings.seeds else {
        let addresses = settings.replicas.iter().map(|r| (r.replica, r.rpc_address.clone()));
        let identity = Identity { replica: settings.replica, disk: new_disk };
        return Ok(Place {
            identity,
            addresses: addresses.collect(),
            fixed: true,
            failure_domain,
            may_found: true,
        });
    };
    let seeds = seeds::rpc_addresses(seeds);
    let places = places(&seeds, settings.losses_borne);
    if let Some(known) = recall::recall(folder)? {
        let mut addresses = known.addresses;
        if addresses.is_empty() {
            addresses = places;
        }
        // A founder that ends before the group is founded must still found it when it is back.
        let may_found = settings.found || founder::is_marked(folder)?;
        let identity = known.identity;
        return Ok(Place { identity, addresses, fixed: false, failure_domain, may_found });
    }
    let own = seeds.iter().position(|address| *address == settings.rpc_address);
    if let Some(position) = own.filter(|_| settings.found) {
        founder::mark(&mut folder.fork())?;
        let identity = Identity { replica: position as u64 + 1, disk: new_disk };
        let addresses = places;
        return Ok(Place { identity, addresses, fixed: false, failure_domain, may_found: true });
    }
    let request = JoinRequest {
        address: settings.rpc_address.clone(),
        disk: new_disk.clone(),
        failure_domain: failure_domain.clone(),
        stands_by: settings.found,
        runs_as: None,
    };
    log::info!("control: no place in the group yet; asking {}", seeds.join(", "));
    let standby = Standby::new(seeds);
    standby.learn(contacts::read(folder).into_iter().filter(|a| *a != settings.rpc_address));
    let listening = standby.clone();
    let key = finder.key.cloned();
    let rpc = rpc_server::serve(listening, &settings.rpc_address, key, finder.metrics.clone());
    let rpc = rpc.await?;
    let asking = Asking { standby: &standby, request: &request, key: finder.key };
    let (replica, addresses) = asking.until_given(folder).await;
    let _ = rpc.stop();
    rpc.stopped().await;
    log::info!("control: joins the group as replica {replica}");
    let identity = Identity { replica, disk: new_disk };
    Ok(Place { identity, addresses, fixed: false, failure_domain, may_found: false })
}

/// Returns the places of a group that the seeds found. Those that no seed fills are vacant at first.
fn places(seeds: &[String], losses_borne: u32) -> BTreeMap<u64, String> {
    // The seeds alone must be a majority of the places.
    let most = (2 * seeds.len()).saturating_sub(1).max(1);
    let wanted = 2 * losses_borne.max(1) as usize + 1;
    let vacant = std::iter::repeat(String::new());
    let filled = seeds.iter().cloned().chain(vacant);
    (1..).zip(filled).take(wanted.min(most).max(seeds.len())).collect()
}

/// A replica that asks for a place.
struct Asking<'a> {
    standby: &'a Standby,
    request: &'a JoinRequest,
    key: Option<&'a Secret>,
}

impl Asking<'_> {
    /// Asks those that are known, in turn, until one gives a place; returns it with all addresses.
    async fn until_given(&self, folder: &impl Folder) -> (u64, BTreeMap<u64, String>) {
        let mut kept = contacts::read(folder);
        let mut turn = 0;
        loop {
            let address = self.standby.address(turn);
            turn += 1;
            if let Some(reply) = ask(&address, self.request, self.key).await {
                if let Some(replica) = reply.replica {
                    return (replica, by_number(&reply.addresses));
                }
                let others = reply.addresses.into_values();
                self.standby.learn(others.filter(|a| *a != self.request.address));
                self.keep(folder, &mut kept).await;
            }
            let pause = if turn < ASK_OFTEN { ASK_AGAIN } else { ASK_SELDOM };
            tokio::time::sleep(pause).await;
        }
    }

    /// Keeps what is known on disk, seeds that answered included: after a restart the settings may name
    /// others.
    async fn keep(&self, folder: &impl Folder, kept: &mut Vec<String>) {
        let known = self.standby.known();
        if known == *kept {
            return;
        }
        let (mut folder, addresses) = (folder.fork(), known.clone());
        let written = task::spawn_blocking(move || contacts::write(&mut folder, &addresses)).await;
        match written {
            Ok(Err(e)) => log::warn!("control: the members' addresses cannot be kept: {e}"),
            _ => *kept = known,
        }
    }
}

/// Asks one replica for a place.
pub async fn ask(address: &str, request: &JoinRequest, key: Option<&Secret>) -> Option<JoinReply> {
    if address == request.address {
        return None;
    }
    let client = rpc::connect(address, key, ASK_TIMEOUT).await.ok()?;
    client.join(request.clone()).await.ok()
}

/// Returns addresses by number from their form in messages.
pub fn by_number(addresses: &BTreeMap<String, String>) -> BTreeMap<u64, String> {
    let numbered = |(id, address): (&String, &String)| Some((id.parse().ok()?, address.clone()));
    addresses.iter().filter_map(numbered).collect()
}
