//! Fingerprints of requests that are sent again.

use cherrystream_core::suspects::identity::{BODY_BYTES, FingerprintKey, Identity, Parts};

const PARTS: Parts<'static> = Parts {
    workspace: Some("acme"),
    service: Some("orders"),
    method: "POST",
    host: "quotes.example",
    target: "/work?x=1",
    body: b"a body",
    body_length: Some(6),
};

fn identity(parts: &Parts<'_>) -> Identity {
    parts.identity(&FingerprintKey::new(Some("a key of all daemons")))
}

#[test]
fn each_part_changes_the_fingerprint() {
    let others = [
        Parts { workspace: Some("other"), ..PARTS },
        Parts { workspace: None, ..PARTS },
        Parts { method: "PUT", ..PARTS },
        Parts { host: "other.example", ..PARTS },
        Parts { target: "/work?x=2", ..PARTS },
        Parts { body: b"a bodY", ..PARTS },
        Parts { body_length: Some(7), ..PARTS },
        Parts { body_length: None, ..PARTS },
        // The same bytes, split differently.
        Parts { host: "quotes.example/", target: "work?x=1", ..PARTS },
        Parts { workspace: Some("acmePOST"), method: "", ..PARTS },
    ];
    for (i, other) in others.iter().enumerate() {
        assert_ne!(identity(other).request, identity(&PARTS).request, "{i}");
    }
}

/// A caller sends the same request from hosts of several services.
#[test]
fn the_service_of_the_sending_host_does_not_change_the_fingerprint() {
    let other = Parts { service: Some("quotes"), ..PARTS };
    assert_eq!(identity(&other).request, identity(&PARTS).request);
    assert_ne!(identity(&other).caller, identity(&PARTS).caller);
}

#[test]
fn a_caller_has_one_fingerprint_for_all_its_requests() {
    let other = Parts { target: "/other", ..PARTS };
    assert_eq!(identity(&other).caller, identity(&PARTS).caller);
    let other = Parts { workspace: Some("other"), ..PARTS };
    assert_ne!(identity(&other).caller, identity(&PARTS).caller);
}

#[test]
fn only_the_beginning_of_a_long_body_is_included() {
    let long = vec![7; BODY_BYTES * 3];
    let read = |bytes| Parts { body: &long[..bytes], body_length: Some(9_000), ..PARTS };
    assert_eq!(identity(&read(BODY_BYTES)), identity(&read(BODY_BYTES * 3)));
}

#[test]
fn another_key_gives_another_fingerprint() {
    let other = PARTS.identity(&FingerprintKey::new(Some("another key")));
    assert_ne!(other.request, identity(&PARTS).request);
}
