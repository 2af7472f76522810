//! Requests that end the backend servers that run them: what is known of each, and what follows from it.
//!
//! The load that this answers: one caller sends a request whose run ends the backend server, again and again, at any daemon. Each
//! broken connection looked like one more failed attempt, and one such request took a whole service from all other callers.
//!
//! [`ends`] finds out at one door that a backend server has ended, and which requests were at work; [`table`] joins the ends of all
//! doors and decides; [`record`] is what daemons tell each other, and [`ring`] whom they tell.

pub mod ends;
pub mod identity;
pub mod record;
pub mod ring;
pub mod table;

pub use ends::{Ended, Ends, Sent};
pub use identity::{CallerMark, Fingerprint, FingerprintKey, Identity};
pub use record::{EndId, Message, Reach, Record, SeenEnd, Standing};
pub use table::{Suspects, Verdict};

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Returns the weight of a host for a request: of all hosts that it may go to, it runs alone at the one with the highest. All
/// daemons that hold the same list find the same one, and a host that goes moves only its own requests.
pub fn weight(request: Fingerprint, host: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(&request.0.to_le_bytes());
    hasher.write(host.as_bytes());
    hasher.finish()
}
