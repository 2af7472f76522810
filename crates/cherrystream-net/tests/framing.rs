//! Length of the body of a response, by its head.

use cherrystream_net::framing::{self, BodyLength, MalformedHead};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};

fn fields(lines: &[(HeaderName, &'static str)]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for (name, value) in lines {
        map.append(name, HeaderValue::from_static(value));
    }
    map
}

fn length(lines: &[(HeaderName, &'static str)]) -> Result<BodyLength, MalformedHead> {
    framing::body_length(&Method::GET, StatusCode::OK, &fields(lines))
}

/// Guards against a body whose length two readers of its head derive differently.
#[test]
fn a_length_is_stated_in_one_way() {
    let (content, coding) = (header::CONTENT_LENGTH, header::TRANSFER_ENCODING);
    assert_eq!(length(&[]), Ok(BodyLength::UntilClose));
    assert_eq!(length(&[(content.clone(), "7")]), Ok(BodyLength::Exact(7)));
    assert_eq!(length(&[(coding.clone(), " Chunked ")]), Ok(BodyLength::Chunked));
    let both = [(content.clone(), "7"), (coding.clone(), "chunked")];
    assert_eq!(length(&both), Err(MalformedHead::LengthAndCoding));
    for value in ["", "+7", "-7", "7 7", "0x7", "7,8", "99999999999999999999", "\u{7f}"] {
        let Ok(value) = HeaderValue::from_str(value) else { continue };
        let map = HeaderMap::from_iter([(content.clone(), value.clone())]);
        let read = framing::body_length(&Method::GET, StatusCode::OK, &map);
        assert_eq!(read, Err(MalformedHead::Length), "{value:?}");
    }
    for value in ["gzip", "identity", "gzip, chunked", "chunked, chunked", "chunked;q=1"] {
        assert_eq!(length(&[(coding.clone(), value)]), Err(MalformedHead::Coding), "{value}");
    }
    let twice = [(coding.clone(), "chunked"), (coding, "chunked")];
    assert_eq!(length(&twice), Err(MalformedHead::Coding));
}

/// Guards against a caller that reads another one of several stated lengths than the daemon.
#[test]
fn equal_lengths_are_reduced_to_one() {
    let mut map = fields(&[(header::CONTENT_LENGTH, "7"), (header::CONTENT_LENGTH, "7, 07")]);
    framing::normalize(&Method::GET, StatusCode::OK, &mut map).unwrap();
    assert_eq!(map, fields(&[(header::CONTENT_LENGTH, "7")]));
}

/// Guards against bytes of the next response that are taken for a body.
#[test]
fn responses_without_a_body_may_state_a_length() {
    let map = fields(&[(header::CONTENT_LENGTH, "7")]);
    for (method, status) in [(Method::HEAD, 200), (Method::GET, 204), (Method::GET, 304)] {
        let status = StatusCode::from_u16(status).unwrap();
        assert_eq!(framing::body_length(&method, status, &map), Ok(BodyLength::Absent));
        let mut forwarded = map.clone();
        framing::normalize(&method, status, &mut forwarded).unwrap();
        // The length of a response to HEAD is that of the response to GET.
        assert_eq!(forwarded.contains_key(header::CONTENT_LENGTH), method == Method::HEAD);
    }
}

/// Guards against a status that callers cannot interpret.
#[test]
fn a_status_is_final() {
    for status in [101, 199, 600, 999] {
        let read =
            framing::body_length(&Method::GET, StatusCode::from_u16(status).unwrap(), &fields(&[]));
        assert_eq!(read, Err(MalformedHead::Status { status }));
    }
    for status in [200, 299, 421, 599] {
        let status = StatusCode::from_u16(status).unwrap();
        assert!(framing::body_length(&Method::GET, status, &fields(&[])).is_ok());
    }
}
