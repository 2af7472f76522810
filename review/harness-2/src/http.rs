//! A small HTTP/1.1 client and reader.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A message: its first line, its headers (names in lower case) and its body.
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

/// An answer.
pub struct Answer {
    pub status: u16,
    pub message: Message,
}

/// A connection with the bytes that were read ahead.
pub struct Reader {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

fn ended() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the connection ended")
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, ahead: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16 * 1024];
        let n = self.stream.read(&mut bytes)?;
        if n == 0 {
            return Err(ended());
        }
        self.ahead.extend_from_slice(&bytes[..n]);
        Ok(())
    }

    fn take(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < n {
            self.fill()?;
        }
        let rest = self.ahead.split_off(n);
        Ok(std::mem::replace(&mut self.ahead, rest))
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|pair| pair == b"\r\n") {
                let line = self.take(end + 2)?;
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads a message. A body without a length and chunks is empty, or ends with the connection if
    /// `until_end`.
    pub fn read(&mut self, until_end: bool) -> io::Result<Message> {
        let first = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
            }
        }
        let mut message = Message { first, headers, body: Vec::new() };
        let length = message.header("content-length").and_then(|length| length.parse().ok());
        if message.header("transfer-encoding").is_some() {
            loop {
                let size = usize::from_str_radix(self.line()?.trim(), 16).map_err(|_| ended())?;
                let data = self.take(size + 2)?;
                if size == 0 {
                    break;
                }
                message.body.extend_from_slice(&data[..size]);
            }
        } else if let Some(length) = length {
            message.body = self.take(length)?;
        } else if until_end {
            while self.fill().is_ok() {}
            message.body = std::mem::take(&mut self.ahead);
        }
        Ok(message)
    }
}

/// Opens a connection.
pub fn connect(address: &str, within: Duration) -> io::Result<TcpStream> {
    let address: SocketAddr =
        address.parse().map_err(|_| io::Error::new(io::ErrorKind::InvalidInput, "address"))?;
    let stream = TcpStream::connect_timeout(&address, within)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends a request on a new connection and reads the answer.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    within: Duration,
) -> io::Result<Answer> {
    let started = Instant::now();
    let stream = connect(address, within)?;
    let left = within.saturating_sub(started.elapsed()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    let mut reader = Reader::new(stream);
    reader.stream.write_all(&bytes)?;
    let message = reader.read(true)?;
    let status = message.first.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "no answer"))?;
    Ok(Answer { status, message })
}
