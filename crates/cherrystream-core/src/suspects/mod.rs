//! Suspect requests: requests that crash the backend servers that serve them.
//!
//! A caller may send such a request again and again through any daemon. Each broken connection
//! looks like a failed attempt, and retries could crash all backend servers of a service.
//!
//! [`crashes`] detects a crash of one backend server and the requests in flight; [`table`] merges
//! the crashes reported by all daemons and decides how a request is treated; [`record`] defines the
//! messages between daemons, and [`ring`] selects the peers that receive them.

pub mod crashes;
pub mod identity;
pub mod record;
pub mod ring;
pub mod table;

pub use crashes::{Crash, CrashDetector, SentRequest};
pub use identity::{CallerFingerprint, Fingerprint, FingerprintKey, Identity};
pub use record::{Audience, CrashId, CrashRecord, Message, Record, Status};
pub use table::{Suspects, Treatment};

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Returns the weight of a host for a request (rendezvous hashing): a suspect request runs at the
/// eligible host with the highest weight. Daemons with the same list of hosts select the same one,
/// and a host that is removed moves only its own requests.
pub fn weight(request: Fingerprint, host: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(&request.0.to_le_bytes());
    hasher.write(host.as_bytes());
    hasher.finish()
}
