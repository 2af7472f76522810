//! Registrations of hosts that are applied late.

use cherrystream_core::shared;
use cherrystream_schema::messages::{Change, HostRecord, Shared};

fn record(incarnation: u64, leaving: bool) -> HostRecord {
    HostRecord {
        host: "host".into(),
        failure_domain: "a".into(),
        region: "r".into(),
        peer_address: "127.0.0.1:7".into(),
        incarnation,
        leaving,
    }
}

fn put(shared: &mut Shared, record: HostRecord) {
    shared::apply(shared, &Change::PutHost { record });
}

/// Guards against new requests to a host that leaves, because of an earlier registration.
#[test]
fn a_late_registration_does_not_return_a_leaving_host_to_service() {
    let mut shared = shared::empty();
    put(&mut shared, record(1, false));
    put(&mut shared, record(1, true));
    put(&mut shared, record(1, false));
    assert!(shared::is_out(&shared, "host"));
}

#[test]
fn a_host_that_starts_again_is_in_service() {
    let mut shared = shared::empty();
    put(&mut shared, record(1, true));
    put(&mut shared, record(2, false));
    assert!(!shared::is_out(&shared, "host"));
}
