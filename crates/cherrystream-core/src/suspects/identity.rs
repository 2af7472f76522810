//! Fingerprints that identify a request when it is sent again, whatever identifiers it carries.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use siphasher::sip::SipHasher13;
use std::fmt;
use std::hash::Hasher;

/// Bytes of a body included in the fingerprint. They fit into one packet, so that a long body is
/// identified before it is transferred.
pub const BODY_BYTES: usize = 1024;
/// Domain separation for the key derived from the shared key.
const PURPOSE: &[u8] = b"cherrystream fingerprints of requests";

/// Key of the fingerprints, the same on all daemons. Prevents callers from constructing a request
/// with the fingerprint of another one.
#[derive(Clone, Copy)]
pub struct FingerprintKey([u8; 16]);

impl FingerprintKey {
    /// Derives the key from the key shared by the processes of the system. A closed network has
    /// none: callers there could construct two requests with the same fingerprint.
    pub fn new(shared: Option<&str>) -> FingerprintKey {
        let digest = Sha256::new().chain_update(PURPOSE).chain_update(shared.unwrap_or_default());
        let mut key = [0; 16];
        key.copy_from_slice(&digest.finalize()[..16]);
        FingerprintKey(key)
    }
}

/// Identifies a request in logs and between daemons without revealing its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Fingerprint {
    /// Parses a fingerprint as written in logs.
    pub fn read(text: &str) -> Option<Fingerprint> {
        u64::from_str_radix(text, 16).ok().map(Fingerprint)
    }
}

/// Identifies a caller, as far as callers can be distinguished.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallerFingerprint(pub u64);

impl CallerFingerprint {
    /// Returns the fingerprint of a caller: its workspace and the service of the host from which it
    /// sends.
    pub fn new(
        key: &FingerprintKey,
        workspace: Option<&str>,
        service: Option<&str>,
    ) -> CallerFingerprint {
        let mut hasher = SipHasher13::new_with_key(&key.0);
        write_part(&mut hasher, workspace.unwrap_or_default().as_bytes());
        write_part(&mut hasher, service.unwrap_or_default().as_bytes());
        CallerFingerprint(hasher.finish())
    }
}

/// Fingerprints of a request and of its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// The request, its workspace included: requests of two workspaces always differ.
    pub request: Fingerprint,
    /// Caller of the request.
    pub caller: CallerFingerprint,
}

/// The parts of a request that identify it.
#[derive(Clone, Copy, Debug)]
pub struct Parts<'a> {
    /// Workspace of the caller, if workspaces are configured.
    pub workspace: Option<&'a str>,
    /// Service of the host from which the request is sent, if it has one.
    pub service: Option<&'a str>,
    /// HTTP method.
    pub method: &'a str,
    /// Requested host name.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Beginning of the body.
    pub body: &'a [u8],
    /// Length of the body in bytes, if known in advance.
    pub body_length: Option<u64>,
}

impl Parts<'_> {
    /// Returns the fingerprints of the request and its caller.
    pub fn identity(&self, key: &FingerprintKey) -> Identity {
        let caller = CallerFingerprint::new(key, self.workspace, self.service);
        let mut hasher = SipHasher13::new_with_key(&key.0);
        // The service is left out: a caller sends the same request from hosts of several services.
        // With the service in it, the same request is another one on the hosts of each service: on
        // hosts of three services it crashed 9 servers instead of 3.
        let workspace = self.workspace.unwrap_or_default();
        for part in [workspace, self.method, self.host, self.target] {
            write_part(&mut hasher, part.as_bytes());
        }
        write_part(&mut hasher, &self.body[..self.body.len().min(BODY_BYTES)]);
        hasher.write(&self.body_length.unwrap_or(u64::MAX).to_le_bytes());
        Identity { request: Fingerprint(hasher.finish()), caller }
    }
}

/// Writes a part with its length, so that different splits of the same bytes differ.
fn write_part(hasher: &mut SipHasher13, part: &[u8]) {
    hasher.write(&(part.len() as u64).to_le_bytes());
    hasher.write(part);
}
