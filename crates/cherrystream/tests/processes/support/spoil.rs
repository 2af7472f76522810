//! Spoils the answers that pass through a connection.

/// Beginning of an answer.
const BEGIN: &[u8] = b"HTTP/1.1 ";
/// Length of the status in an answer.
const STATUS_LEN: usize = 3;
/// One in this many answers is spoiled in each of the ways.
const WAYS: usize = 8;

/// The answers of one connection.
#[derive(Default)]
pub struct Spoiler {
    answers: usize,
    /// An answer that is sent once more, in the place of the next one.
    late: Vec<u8>,
}

impl Spoiler {
    /// Returns what is sent in place of received bytes. Only bytes that begin with an answer are
    /// changed.
    pub fn spoil(&mut self, received: &[u8]) -> Vec<u8> {
        let Some(rest) = received.strip_prefix(BEGIN) else { return received.into() };
        let status = |status: &[u8]| {
            let rest = rest.get(STATUS_LEN..).unwrap_or_default();
            [BEGIN, status, rest].concat()
        };
        self.answers += 1;
        let own = match self.answers % WAYS {
            1 => with_line(received, b"transfer-encoding: chunked\r\n"),
            2 => with_line(received, b"content-length: 1\r\n"),
            3 => status(b"600"),
            4 => status(b"101"),
            5 => status(b"000"),
            _ => received.into(),
        };
        let late = std::mem::take(&mut self.late);
        if self.answers % WAYS == 6 {
            self.late = received.into();
        }
        [late, own].concat()
    }
}

/// Inserts a line after the first one.
fn with_line(bytes: &[u8], line: &[u8]) -> Vec<u8> {
    let end = bytes.windows(2).position(|end| end == b"\r\n").map_or(bytes.len(), |at| at + 2);
    [&bytes[..end], line, &bytes[end..]].concat()
}
