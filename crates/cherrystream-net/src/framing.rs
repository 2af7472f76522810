//! Heads of HTTP/1.1 responses: the status, and the length of the body (RFC 9112, section 6).
//!
//! A head that states its length in two ways is malformed: two readers that choose differently
//! disagree about where the next response begins. Every head from a backend server is checked here
//! before it is used or forwarded.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, StatusCode};
use snafu::Snafu;
use std::ops::RangeInclusive;

/// Statuses of final responses.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// The only transfer coding that is decoded.
const CHUNKED: &[u8] = b"chunked";

/// Length of the body of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// There is no body, whatever the headers state.
    Absent,
    /// Number of bytes.
    Exact(u64),
    /// The body is chunked.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

/// Why the head of a response is malformed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum MalformedHead {
    /// The status is not that of a final response.
    #[snafu(display("the status {status} of the response is not between 200 and 599"))]
    Status {
        /// The status.
        status: u16,
    },
    /// No valid length is stated.
    #[snafu(display("the Content-Length of the response is not one number"))]
    Length,
    /// The body is encoded in a way that is not decoded.
    #[snafu(display("the Transfer-Encoding of the response is not \"chunked\""))]
    Coding,
    /// The length is stated in two ways.
    #[snafu(display("the response has a Content-Length and a Transfer-Encoding"))]
    LengthAndCoding,
}

/// Header fields of a response, by name.
pub trait Fields {
    /// Returns all values of a field.
    fn values<'a>(&'a self, name: &'a HeaderName) -> impl Iterator<Item = &'a [u8]>;
}

impl Fields for HeaderMap {
    fn values<'a>(&'a self, name: &'a HeaderName) -> impl Iterator<Item = &'a [u8]> {
        self.get_all(name).iter().map(HeaderValue::as_bytes)
    }
}

impl Fields for [httparse::Header<'_>] {
    fn values<'a>(&'a self, name: &'a HeaderName) -> impl Iterator<Item = &'a [u8]> {
        let named = self.iter().filter(|field| field.name.eq_ignore_ascii_case(name.as_str()));
        named.map(|field| field.value)
    }
}

/// Returns the length of the body of a response to a request with a method.
///
/// # Errors
///
/// Fails if the status is not final, or the head states no valid length, or several.
pub fn body_length(
    method: &Method,
    status: StatusCode,
    fields: &(impl Fields + ?Sized),
) -> Result<BodyLength, MalformedHead> {
    check_status(status)?;
    let length = content_length(fields)?;
    let is_coded = has_coding(fields)?;
    if is_coded && length.is_some() {
        return Err(MalformedHead::LengthAndCoding);
    }
    if *method == Method::HEAD || has_no_body(status) {
        return Ok(BodyLength::Absent);
    }
    Ok(match length {
        Some(length) => BodyLength::Exact(length),
        None if is_coded => BodyLength::Chunked,
        None => BodyLength::UntilClose,
    })
}

/// Checks the head of a response. Reduces a repeated `Content-Length` to one, and removes it from a
/// response that has no body by its status.
///
/// # Errors
///
/// Fails if the head is malformed.
pub fn normalize(
    method: &Method,
    status: StatusCode,
    headers: &mut HeaderMap,
) -> Result<(), MalformedHead> {
    body_length(method, status, headers)?;
    if has_no_body(status) {
        headers.remove(header::CONTENT_LENGTH);
    } else if let Some(length) = content_length(headers)? {
        headers.insert(header::CONTENT_LENGTH, length.into());
    }
    Ok(())
}

/// Returns whether a message has a transfer coding other than chunks, which is not decoded.
pub fn has_unknown_coding(headers: &HeaderMap) -> bool {
    has_coding(headers).is_err()
}

/// Returns whether responses with a status have no body.
fn has_no_body(status: StatusCode) -> bool {
    matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

/// Checks the status of a response.
///
/// # Errors
///
/// Fails if it is not that of a final response.
pub fn check_status(status: StatusCode) -> Result<(), MalformedHead> {
    match FINAL_STATUSES.contains(&status.as_u16()) {
        true => Ok(()),
        false => Err(MalformedHead::Status { status: status.as_u16() }),
    }
}

/// Returns whether the body is chunked.
fn has_coding(fields: &(impl Fields + ?Sized)) -> Result<bool, MalformedHead> {
    let mut codings = fields.values(&header::TRANSFER_ENCODING);
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(only), None) if only.trim_ascii().eq_ignore_ascii_case(CHUNKED) => Ok(true),
        _ => Err(MalformedHead::Coding),
    }
}

/// Returns the stated number of bytes. A value may be repeated, as long as all are equal.
fn content_length(fields: &(impl Fields + ?Sized)) -> Result<Option<u64>, MalformedHead> {
    let mut length = None;
    for value in fields.values(&header::CONTENT_LENGTH).flat_map(|v| v.split(|b| *b == b',')) {
        let value = parse_digits(value.trim_ascii()).ok_or(MalformedHead::Length)?;
        if length.replace(value).is_some_and(|other| other != value) {
            return Err(MalformedHead::Length);
        }
    }
    Ok(length)
}

/// Parses a number without a sign, which [`str::parse`] would accept.
fn parse_digits(bytes: &[u8]) -> Option<u64> {
    let text = str::from_utf8(bytes).ok()?;
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok())?
}
