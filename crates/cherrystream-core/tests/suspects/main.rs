//! Suspect requests: detection of crashes and treatment of the requests in flight.

mod crashes;
mod ring;
mod table;
mod world;

use cherrystream_core::suspects::{
    CallerFingerprint, Crash, CrashId, Fingerprint, Identity, Record, SentRequest, Suspects,
};
use cherrystream_core::units::Timestamp;

fn ms(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn identity(request: u64, caller: u64) -> Identity {
    Identity { request: Fingerprint(request), caller: CallerFingerprint(caller) }
}

fn sent(request: u64, isolated: bool) -> SentRequest {
    SentRequest { identity: identity(request, 1), isolated }
}

fn crash(id: u64, in_flight: &[SentRequest]) -> Crash {
    Crash { id: CrashId(id), in_flight: in_flight.to_vec() }
}

/// Merges the records of another daemon.
fn merge(table: &mut Suspects, now: Timestamp, records: &[Record]) {
    for record in records {
        table.on_record(now, record);
    }
}
