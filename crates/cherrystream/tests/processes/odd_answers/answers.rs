//! Answers that break off, have no end, or are malformed.

/// More than the daemon reads before it passes an answer on.
const LONG: usize = 128 * 1024;

/// What a server sends after the beginning of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rest {
    Close,
    Silence,
    /// These bytes again and again, as fast as possible, until the connection is closed.
    Endless(&'static str),
    /// The same at a rate that callers can follow.
    Flow(&'static str),
}

/// An answer of a server.
#[derive(Clone, Debug)]
pub struct Odd {
    /// Status and reason that replace the 200 at the beginning.
    pub status: &'static str,
    pub begin: Vec<u8>,
    pub rest: Rest,
}

fn odd(begin: &str, rest: Rest) -> Odd {
    Odd { status: "200 OK", begin: begin.into(), rest }
}

/// Returns an answer whose body has begun with more than a daemon buffers.
fn long(head: &str, chunked: bool, rest: Rest) -> Odd {
    let mut begin = format!("HTTP/1.1 200 OK\r\n{head}\r\n").into_bytes();
    if chunked {
        begin.extend(format!("{LONG:x}\r\n").bytes());
    }
    begin.extend(vec![b'x'; LONG]);
    if chunked {
        begin.extend(b"\r\n");
    }
    Odd { status: "200 OK", begin, rest }
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Returns answers that end too early.
pub fn cut() -> Vec<Odd> {
    let mut all: Vec<Odd> = [
        "",
        "HTTP/1.1",
        "HTTP/1.1 200 OK",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nContent-Length: 0",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r",
        "HTTP/1.0 200 OK\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n",
    ]
    .map(|begin| odd(begin, Rest::Close))
    .into();
    all.push(long("Content-Length: 200000\r\n", false, Rest::Close));
    all.push(long("Transfer-Encoding: chunked\r\n", true, Rest::Close));
    all
}

/// Returns bytes without end that hold no content of an answer.
pub fn without_content() -> Vec<Odd> {
    let after_chunk = "2\r\nab\r\n";
    vec![
        odd("HTTP/1.1 200 OK\r\n", Rest::Endless("X: y\r\n")),
        odd("HTTP/1.1 200 OK\r\nX: ", Rest::Endless("y")),
        odd("", Rest::Endless("garbage ")),
        odd("", Rest::Endless("\r\n")),
        odd("", Rest::Endless("HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n")),
        odd(CHUNKED, Rest::Endless("0")),
        odd(&format!("{CHUNKED}{after_chunk}"), Rest::Endless("0")),
        odd(&format!("{CHUNKED}2;"), Rest::Endless("x")),
        odd(&format!("{CHUNKED}{after_chunk}0\r\n"), Rest::Endless("X: y\r\n")),
        long("Transfer-Encoding: chunked\r\n", true, Rest::Endless("0")),
    ]
}

/// Returns answers whose content has no end, or does not come.
pub fn without_end() -> Vec<Odd> {
    vec![
        odd(CHUNKED, Rest::Flow("2\r\nab\r\n")),
        odd("HTTP/1.1 200 OK\r\n\r\n", Rest::Endless("x")),
        odd("HTTP/1.1 200 OK\r\n\r\n", Rest::Flow("x")),
        odd("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", Rest::Endless("x")),
        long("Content-Length: 200000\r\n", false, Rest::Silence),
        long("Transfer-Encoding: chunked\r\n", true, Rest::Silence),
    ]
}

/// Returns an answer in chunks of one byte, as fast as possible.
pub fn smallest_chunks() -> Odd {
    odd(CHUNKED, Rest::Endless("1\r\na\r\n"))
}

/// Returns short answers whose server falls silent.
pub fn silent() -> Vec<Odd> {
    vec![
        odd("HTTP/1.1 200 OK\r\nContent-", Rest::Silence),
        odd("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab", Rest::Silence),
    ]
}

/// Returns answers with heads from which two readers may derive different lengths, or whose body is
/// encoded in a way that callers have not asked for.
pub fn ambiguous() -> Vec<Odd> {
    let chunks = "4\r\nabcd\r\n0\r\n\r\n";
    let short = [
        "Content-Length: 2\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 2",
        "Content-Length: 40\r\nTransfer-Encoding: chunked",
        "Content-Length: 2\r\nTransfer-Encoding: identity",
        "Transfer-Encoding: gzip",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked, chunked",
        "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
        "Content-Length: 2\r\nContent-Length: 4",
        "Content-Length: 2, 4",
        "Content-Length: +2",
    ];
    let short =
        short.map(|head| odd(&format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n{chunks}"), Rest::Silence));
    let head = "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n";
    short.into_iter().chain([long(head, true, Rest::Silence)]).collect()
}

/// Returns whole answers whose status is not that of a final answer.
pub fn invalid_statuses() -> Vec<Odd> {
    ["000 Unknown", "001 Odd", "099 Odd", "101 Switching Protocols", "600 Odd", "999 Odd"]
        .map(|status| Odd {
            status,
            ..odd("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd", Rest::Silence)
        })
        .into()
}
