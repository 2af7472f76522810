//! What makes two requests the same request that came again, whatever identifiers they bear.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use siphasher::sip::SipHasher13;
use std::fmt;
use std::hash::Hasher;

/// Bytes of a body that are told apart: those of one packet, so that a long body is known before it travels.
pub const BODY_BYTES: usize = 1024;
/// Keeps this use of the shared key apart from others.
const PURPOSE: &[u8] = b"cherrystream fingerprints of requests";

/// Key of fingerprints, the same at all daemons: without it nobody can make another request with the same fingerprint.
#[derive(Clone, Copy)]
pub struct FingerprintKey([u8; 16]);

impl FingerprintKey {
    /// Derives the key from the one that the system's own processes share. A closed network has none; there, callers
    /// that know this code could make two requests look like one.
    pub fn new(shared: Option<&str>) -> FingerprintKey {
        let digest = Sha256::new().chain_update(PURPOSE).chain_update(shared.unwrap_or_default());
        let mut key = [0; 16];
        key.copy_from_slice(&digest.finalize()[..16]);
        FingerprintKey(key)
    }
}

/// Stands for a request in logs and between daemons; tells nothing of its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Fingerprint {
    /// Reads a fingerprint as it stands in logs.
    pub fn read(text: &str) -> Option<Fingerprint> {
        u64::from_str_radix(text, 16).ok().map(Fingerprint)
    }
}

/// Stands for a caller, as far as callers can be told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallerMark(pub u64);

impl CallerMark {
    /// Returns what stands for a caller, by its workspace and by the service beside which its requests begin.
    pub fn new(key: &FingerprintKey, workspace: Option<&str>, service: Option<&str>) -> CallerMark {
        let mut hasher = SipHasher13::new_with_key(&key.0);
        write_part(&mut hasher, workspace.unwrap_or_default().as_bytes());
        write_part(&mut hasher, service.unwrap_or_default().as_bytes());
        CallerMark(hasher.finish())
    }
}

/// What the system knows of a request that comes again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// The request, its workspace included: no workspace's request is taken for another one's.
    pub request: Fingerprint,
    /// Its caller.
    pub caller: CallerMark,
}

/// The parts of a request that count.
#[derive(Clone, Copy, Debug)]
pub struct Parts<'a> {
    /// Workspace of the caller, where there are workspaces.
    pub workspace: Option<&'a str>,
    /// Service beside which the request began, where hosts have one.
    pub service: Option<&'a str>,
    /// Method.
    pub method: &'a str,
    /// Host name that was asked for.
    pub host: &'a str,
    /// Path with its query.
    pub target: &'a str,
    /// Beginning of the body.
    pub body: &'a [u8],
    /// Length of the body, where it is known before the end.
    pub body_length: Option<u64>,
}

impl Parts<'_> {
    /// Returns what stands for the request.
    pub fn identity(&self, key: &FingerprintKey) -> Identity {
        let caller = CallerMark::new(key, self.workspace, self.service);
        let mut hasher = SipHasher13::new_with_key(&key.0);
        // A caller sends from the hosts of any service. With the service in it, the same request was another one on the hosts of
        // each: on hosts of three services 9 servers ended under it in place of 3.
        let workspace = self.workspace.unwrap_or_default();
        for part in [workspace, self.method, self.host, self.target] {
            write_part(&mut hasher, part.as_bytes());
        }
        write_part(&mut hasher, &self.body[..self.body.len().min(BODY_BYTES)]);
        hasher.write(&self.body_length.unwrap_or(u64::MAX).to_le_bytes());
        Identity { request: Fingerprint(hasher.finish()), caller }
    }
}

/// The length in front keeps two parts apart from two others that make the same text together.
fn write_part(hasher: &mut SipHasher13, part: &[u8]) {
    hasher.write(&(part.len() as u64).to_le_bytes());
    hasher.write(part);
}
