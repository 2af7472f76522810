//! As much of HTTP/1.1 as the stand-ins need.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Start line and headers of a message; header names are in lower case.
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

fn bad(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

/// Reads a head; `None` at a clean end of the connection.
pub fn read_head(from: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut start = String::new();
    if from.read_line(&mut start)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(bad("the head broke off"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| bad("a header without colon"))?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
    }
    Ok(Some(Head { start: start.trim_end().to_string(), headers }))
}

/// Reads the body that a head announces. Without a length, an answer ends with its connection.
pub fn read_body(from: &mut impl BufRead, head: &Head, is_answer: bool) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some_and(|t| t.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            if from.read_line(&mut line)? == 0 {
                return Err(bad("the body broke off"));
            }
            let size = line.trim().split(';').next().unwrap_or_default().to_string();
            let size = usize::from_str_radix(&size, 16).map_err(|_| bad("a bad chunk"))?;
            let mut chunk = vec![0; size + 2];
            from.read_exact(&mut chunk)?;
            body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Ok(body);
            }
        }
    }
    match head.get("content-length") {
        Some(len) => {
            body.resize(len.parse().map_err(|_| bad("a bad length"))?, 0);
            from.read_exact(&mut body)?;
        }
        None if is_answer => {
            from.read_to_end(&mut body)?;
        }
        None => {}
    }
    Ok(body)
}

/// An answer, with the time that it took.
pub struct Answer {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
}

/// Sends one request on a new connection and reads the whole answer.
pub fn call(
    at: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    within: Duration,
) -> io::Result<Answer> {
    let end = Instant::now() + within;
    let mut stream = TcpStream::connect_timeout(&at, within)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(
        end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1)),
    ))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut message = text.into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message)?;
    let mut from = BufReader::new(stream);
    let head = read_head(&mut from)?.ok_or_else(|| bad("closed without an answer"))?;
    let status = head.start.split(' ').nth(1).and_then(|s| s.parse().ok());
    let body = read_body(&mut from, &head, true)?;
    Ok(Answer { status: status.ok_or_else(|| bad("no status"))?, head, body })
}
