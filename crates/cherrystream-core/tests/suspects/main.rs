//! Requests that end backend servers: the evidence at a door, and what follows for a request.

mod ends;
mod ring;
mod table;
mod world;

use cherrystream_core::suspects::{
    CallerMark, EndId, Ended, Fingerprint, Identity, Record, Sent, Suspects,
};
use cherrystream_core::units::Timestamp;

fn ms(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn identity(request: u64, caller: u64) -> Identity {
    Identity { request: Fingerprint(request), caller: CallerMark(caller) }
}

fn sent(request: u64, alone: bool) -> Sent {
    Sent { identity: identity(request, 1), alone }
}

fn ended(id: u64, at_work: &[Sent]) -> Ended {
    Ended { id: EndId(id), at_work: at_work.to_vec() }
}

/// Takes the words of another daemon, news or not.
fn take(table: &mut Suspects, now: Timestamp, words: &[Record]) {
    for word in words {
        table.on_word(now, word);
    }
}
