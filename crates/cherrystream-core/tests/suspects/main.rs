//! Suspect requests: detection of crashes and treatment of the requests in flight.

mod crashes;
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

/// Merges the records of another daemon.
fn merge(table: &mut Suspects, now: Timestamp, records: &[Record]) {
    for record in records {
        table.on_word(now, record);
    }
}
