//! A client that reads answers byte by byte, as it must not depend on the framing under test.

use super::super::support::client::Ask;
use std::io;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// Bytes that are read at once.
const READ_BYTES: usize = 256 * 1024;
/// Time in which nothing may follow a whole answer.
const QUIET_TIME: Duration = Duration::from_millis(50);

/// Sends a request on a connection of its own. Returns the status of its answer, or what is wrong
/// with the answer.
pub async fn status(address: &str, ask: &Ask) -> Result<u16, String> {
    let exchange = tokio::time::timeout(ANSWER_TIMEOUT, exchange(address, ask));
    match exchange.await {
        Ok(Ok(result)) => result,
        Ok(Err(e)) => Err(format!("no whole answer: {e}")),
        Err(_) => Err("no end".into()),
    }
}

async fn exchange(address: &str, ask: &Ask) -> io::Result<Result<u16, String>> {
    let mut stream = BufReader::new(TcpStream::connect(address).await?);
    stream.write_all(&encode(address, ask)).await?;
    let mut head = Vec::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if line == "\r\n" {
            break;
        }
        head.push(line.trim_end().to_ascii_lowercase());
    }
    let status = head[0].split(' ').nth(1).and_then(|status| status.parse().ok());
    let Some(status) = status.filter(|_| head[0].starts_with("http/1.1 ")) else {
        return Ok(Err(format!("no status line: {:?}", head[0])));
    };
    let lengths: Vec<&str> =
        head.iter().filter_map(|line| line.strip_prefix("content-length: ")).collect();
    let [length] = lengths[..] else { return Ok(Err(format!("{status}, lengths {lengths:?}"))) };
    let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
    let mut body = (&mut stream).take(length);
    if tokio::io::copy(&mut body, &mut tokio::io::sink()).await? < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let more = tokio::time::timeout(QUIET_TIME, stream.read_u8()).await;
    Ok(match more {
        Ok(Ok(_)) => Err(format!("{status}, and more bytes than its length")),
        Ok(Err(_)) | Err(_) => Ok(status),
    })
}

fn encode(address: &str, ask: &Ask) -> Vec<u8> {
    let mut head = format!("{} {} HTTP/1.1\r\n", ask.method, ask.path);
    if !ask.names_host() {
        head.push_str(&format!("host: {address}\r\n"));
    }
    for (name, value) in &ask.headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n", ask.body.len()));
    [head.as_bytes(), &ask.body].concat()
}

/// Sends a request and reads nothing until a time has passed.
pub async fn send_without_reading(address: &str, ask: &Ask, time: Duration) -> io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(&encode(address, ask)).await?;
    tokio::time::sleep(time).await;
    Ok(())
}

/// Sends a request, and reads all bytes until the connection is closed. Returns how long that took.
pub async fn time_to_end(address: &str, ask: &Ask) -> io::Result<Duration> {
    let mut stream = TcpStream::connect(address).await?;
    let sent_at = Instant::now();
    stream.write_all(&encode(address, ask)).await?;
    let mut buf = vec![0; READ_BYTES];
    while stream.read(&mut buf).await? > 0 {}
    Ok(sent_at.elapsed())
}
