//! Metadata of calls between two daemons.

use cherrystream_core::reasons::Reason;
use cherrystream_core::reservations::Reservation;
use cherrystream_core::suspects::Fingerprint;
use cherrystream_daemon::headers::{self, Op};
use cherrystream_daemon::hop::{self, CallHead, CallTarget};
use cherrystream_daemon::refusal::Refused;
use cherrystream_net::body;
use cherrystream_schema::messages::{Report, ServerState};
use http::{HeaderMap, Response};
use http_body::Body;
use std::time::Duration;

fn report() -> Report {
    Report {
        in_flight: 3,
        queued: 1,
        slots: 9,
        latency_us: 42_000,
        oldest_us: 7,
        state: ServerState::Live,
        slowness: 100,
        sequence: 12,
        incarnation: u64::MAX,
    }
}

#[test]
fn a_call_round_trips() {
    let mut map = HeaderMap::new();
    let target = CallTarget {
        service: "quotes",
        server: "q-1",
        kind: "r-7",
        caller: Some("payouts"),
        workspace: Some("studio"),
    };
    let head = CallHead {
        call: "9c41d07be2a35f68".into(),
        weight: 999,
        remaining_us: 800_000,
        wait_us: 80_000,
        allowance: 1,
        selective: true,
        good_us: Some(400_000),
        reservation: None,
        request: hop::write_fingerprint(Fingerprint(u64::MAX - 7)),
        alone: true,
    };
    hop::write_call(&mut map, Op::Call, &target, &head);
    let (read_target, read_head) = hop::read_call(&map).unwrap();
    assert_eq!(read_head, head);
    assert_eq!(
        (read_target.service, read_target.server, read_target.kind, read_target.caller),
        ("quotes", "q-1", "r-7", Some("payouts"))
    );
    assert_eq!(read_target.workspace, Some("studio"));
    // All per-call values are in one short header.
    let value = map.get(headers::HOP).unwrap();
    assert!(value.len() <= 48, "{} bytes", value.len());
}

#[test]
fn a_refusal_carries_its_reason_and_retry_delay_without_a_body() {
    let retry_after = Duration::from_millis(35);
    let refused = Refused { reason: Reason::BusyNow, retry_after };
    let res = hop::write_answer("c".into(), Err(refused), Some(report()));
    assert!(res.body().is_end_stream());
    let head = hop::read_answer(res.headers()).unwrap();
    assert_eq!((head.call.as_str(), head.report.clone()), ("c", Some(report())));
    assert_eq!(hop::read_refusal(res.headers(), &head), Some(refused));
}

#[test]
fn a_reservation_round_trips() {
    let res = hop::write_reservation("c".into(), Ok(Reservation(u64::MAX)), Some(report()));
    assert!(res.body().is_end_stream());
    let head = hop::read_answer(res.headers()).unwrap();
    assert_eq!(head.reservation, Some(Reservation(u64::MAX)));
}

#[test]
fn a_refused_reservation_carries_its_reason_and_no_slot() {
    let refused = Refused { reason: Reason::QueueFull, retry_after: Duration::from_millis(35) };
    let res = hop::write_reservation("c".into(), Err(refused), None);
    let head = hop::read_answer(res.headers()).unwrap();
    assert_eq!(head.reservation, None);
    assert_eq!(hop::read_refusal(res.headers(), &head), Some(refused));
}

#[test]
fn an_answer_is_not_read_as_a_refusal() {
    let answer = Response::new(body::full("x"));
    let res = hop::write_answer("c".into(), Ok(answer), None);
    let head = hop::read_answer(res.headers()).unwrap();
    assert_eq!(hop::read_refusal(res.headers(), &head), None);
}

/// Guards against reporting "not run" for a reason of a newer version, which is unknown here.
#[test]
fn a_refusal_with_an_unknown_reason_may_have_run() {
    let mut res = hop::write_answer("c".into(), Err(Refused::new(Reason::BusyNow)), None);
    headers::set_static(res.headers_mut(), headers::REASON, "of-a-later-version");
    let head = hop::read_answer(res.headers()).unwrap();
    let refused = hop::read_refusal(res.headers(), &head).unwrap();
    assert_eq!(refused.reason, Reason::PeerBroke);
}

#[test]
fn call_identifiers_of_any_form_round_trip() {
    for id in [
        "9c41d07be2a35f68",
        "9C41D07BE2A35F68",
        "",
        "+c41d07be2a35f68",
        "call-1",
        "00000000000000001",
    ] {
        let map = hop::write_answer(id.into(), Ok(http::Response::new(body::empty())), None);
        assert_eq!(hop::read_answer(map.headers()).unwrap().call, id);
    }
}
