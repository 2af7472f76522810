//! Ledger of unrepeatable requests. It grants each attempt of an idempotency key to one outbound.
//!
//! The ledger is part of the replicated state, so its decisions depend only on the commands and
//! their order. Keys are stored as hashes and names are shared to save memory.

use cherrystream_schema::messages;
use messages::{ClaimReply, ClaimRequest, Holder, ReleaseRequest};
use serde::{Deserialize, Serialize};
use siphasher::sip128::{Hasher128, SipHasher13};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::hash::Hash;
use std::sync::Arc;

/// Hash of a service name and an idempotency key.
type KeyHash = u128;

/// Latest attempt of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Attempt {
    claim: u64,
    fingerprint: u64,
    incarnation: u64,
    index: u64,
    at_ms: u64,
    number: u32,
    /// Whether the attempt was proved not run.
    released: bool,
    host: Arc<str>,
    backend_server: Arc<str>,
}

impl Attempt {
    fn holder(&self) -> Holder {
        Holder {
            attempt: self.number,
            claim: self.claim,
            host: self.host.to_string(),
            backend_server: self.backend_server.to_string(),
            incarnation: self.incarnation,
        }
    }
}

/// Latest attempt of each idempotency key.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(from = "Saved", into = "Saved")]
pub struct Ledger {
    attempts: HashMap<KeyHash, Attempt>,
    /// Claims in the order in which they were granted, for expiry.
    order: VecDeque<(u64, KeyHash)>,
    names: BTreeSet<Arc<str>>,
}

/// Serialized form of a [`Ledger`] in snapshots, in the order of claims.
#[derive(Serialize, Deserialize)]
struct Saved {
    attempts: Vec<(String, Attempt)>,
}

impl From<Saved> for Ledger {
    fn from(saved: Saved) -> Ledger {
        let mut ledger = Ledger::default();
        for (key, mut attempt) in saved.attempts {
            let key = KeyHash::from_str_radix(&key, 16).unwrap_or_default();
            attempt.host = ledger.name(&attempt.host);
            attempt.backend_server = ledger.name(&attempt.backend_server);
            ledger.order.push_back((attempt.at_ms, key));
            ledger.attempts.insert(key, attempt);
        }
        ledger
    }
}

impl From<Ledger> for Saved {
    fn from(ledger: Ledger) -> Saved {
        let current = |(at_ms, key): &(u64, KeyHash)| {
            let attempt = ledger.attempts.get(key).filter(|a| a.at_ms == *at_ms)?;
            Some((format!("{key:x}"), attempt.clone()))
        };
        Saved { attempts: ledger.order.iter().filter_map(current).collect() }
    }
}

impl Ledger {
    /// Decides on a claim and records it if granted.
    pub fn claim(&mut self, index: u64, at_ms: u64, req: &ClaimRequest) -> ClaimReply {
        let key = hash(&req.service, &req.key);
        if let Some(held) = self.attempts.get(&key) {
            // A claim that was sent again gets the same reply.
            if held.claim == req.claim {
                return ClaimReply::Granted { index: held.index };
            }
            if !may_follow(held, req) {
                return held_reply(held, at_ms, req);
            }
        }
        self.record(key, index, at_ms, req)
    }

    fn record(&mut self, key: KeyHash, index: u64, at_ms: u64, req: &ClaimRequest) -> ClaimReply {
        let attempt = Attempt {
            claim: req.claim,
            fingerprint: req.fingerprint,
            incarnation: req.incarnation,
            index,
            at_ms,
            number: req.attempt,
            released: false,
            host: self.name(&req.host),
            backend_server: self.name(&req.backend_server),
        };
        self.attempts.insert(key, attempt);
        self.order.push_back((at_ms, key));
        ClaimReply::Granted { index }
    }

    /// Releases a key whose attempt was proved not run.
    pub fn release(&mut self, req: &ReleaseRequest) {
        let key = hash(&req.service, &req.key);
        if let Some(held) = self.attempts.get_mut(&key)
            && held.claim == req.claim
        {
            held.released = true;
        }
    }

    /// Discards claims granted before a Unix time in milliseconds.
    pub fn expire(&mut self, before_ms: u64) {
        while let Some((at_ms, key)) = self.order.front().copied() {
            if at_ms >= before_ms {
                break;
            }
            self.order.pop_front();
            // A later attempt of the key has its own, later entry in the order.
            if self.attempts.get(&key).is_some_and(|a| a.at_ms == at_ms) {
                self.attempts.remove(&key);
            }
        }
    }

    /// Returns the number of keys held.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Returns whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Returns whether a key is held.
    pub fn holds(&self, service: &str, key: &str) -> bool {
        self.attempts.contains_key(&hash(service, key))
    }

    fn name(&mut self, name: &str) -> Arc<str> {
        if let Some(shared) = self.names.get(name) {
            return shared.clone();
        }
        let shared = Arc::<str>::from(name);
        self.names.insert(shared.clone());
        shared
    }
}

/// Returns whether a new attempt may replace the held one, which requires proof that the held one
/// did not run and never will.
fn may_follow(held: &Attempt, req: &ClaimRequest) -> bool {
    let fenced = req.fenced.as_ref().is_some_and(|f| f.claim == held.claim);
    let proved = held.released || fenced;
    proved && req.attempt == held.number + 1 && req.fingerprint == held.fingerprint
}

fn held_reply(held: &Attempt, at_ms: u64, req: &ClaimRequest) -> ClaimReply {
    ClaimReply::Held {
        holder: held.holder(),
        same_request: held.fingerprint == req.fingerprint,
        released: held.released,
        age_ms: at_ms.saturating_sub(held.at_ms),
        index: held.index,
    }
}

fn hash(service: &str, key: &str) -> KeyHash {
    let mut hasher = SipHasher13::new();
    service.hash(&mut hasher);
    key.hash(&mut hasher);
    hasher.finish128().as_u128()
}

/// Length of a UUID in characters, with hyphens.
const UUID_LEN: usize = 36;

/// Returns the Unix time in milliseconds of a UUIDv7 key, or `None` for any other key. Only the
/// form with hyphens is accepted, because 32 random hexadecimal digits can look like a UUIDv7.
pub fn key_time_ms(key: &str) -> Option<u64> {
    if key.len() != UUID_LEN {
        return None;
    }
    let id = uuid::Uuid::try_parse(key).ok()?;
    let (seconds, nanos) = (id.get_version_num() == 7).then(|| id.get_timestamp())??.to_unix();
    Some(seconds * 1_000 + u64::from(nanos) / 1_000_000)
}
