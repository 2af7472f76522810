//! A server with odd answers.

use super::answers::{Odd, Rest};
use super::rejections::{Late, Rejections};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes that a server writes at once.
const PIECE: usize = 16 * 1024;
/// Bytes that a server with a steady rate writes at once, and the time between two writes.
const FLOW_PIECE: usize = 1_024;
const FLOW_INTERVAL: Duration = Duration::from_millis(5);

/// A server that answers health checks well and everything else with an odd answer.
pub struct Server {
    pub address: String,
    pub answer: watch::Sender<Option<Odd>>,
    /// Number of odd answers whose connection is open.
    pub open: Arc<watch::Sender<usize>>,
    pub rejections: Arc<Rejections>,
}

/// Returns the header lines of an answer from the lines of the head of its request.
pub type AnswerHead = fn(&[String]) -> String;

impl Server {
    pub async fn start(listen: &str, answer_head: AnswerHead) -> Server {
        let listener = TcpListener::bind(listen).await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let answer = watch::Sender::new(None);
        let open = Arc::new(watch::Sender::new(0));
        let rejections = Arc::<Rejections>::default();
        let (rx, counter, rejecting) = (answer.subscribe(), open.clone(), rejections.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let connection = Connection {
                    answer_head,
                    answer: rx.clone(),
                    open: counter.clone(),
                    rejections: rejecting.clone(),
                };
                tokio::spawn(connection.serve(BufReader::new(stream)));
            }
        });
        Server { address, answer, open, rejections }
    }
}

struct Connection {
    answer_head: AnswerHead,
    answer: watch::Receiver<Option<Odd>>,
    open: Arc<watch::Sender<usize>>,
    rejections: Arc<Rejections>,
}

impl Connection {
    async fn serve(self, mut stream: BufReader<TcpStream>) {
        let mut late = Late::default();
        while let Some(request) = read_request(&mut stream).await {
            if request[0].contains("/rejected") {
                let lines = (self.answer_head)(&request);
                if self.rejections.answer(&mut stream, &mut late, &lines).await.is_err() {
                    return;
                }
                continue;
            }
            let lines = (self.answer_head)(&request);
            let odd = self.answer.borrow().clone().filter(|_| request[0].contains("/odd"));
            let Some(odd) = odd else {
                let whole = format!("HTTP/1.1 200 OK\r\n{lines}Content-Length: 2\r\n\r\nok");
                if stream.write_all(whole.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            };
            let head = format!("HTTP/1.1 {}\r\n{lines}", odd.status);
            self.open.send_modify(|n| *n += 1);
            let _ = send_odd(&mut stream, &odd, &head).await;
            self.open.send_modify(|n| *n -= 1);
            return;
        }
    }
}

/// Reads a request with its body; returns the lines of its head.
async fn read_request(stream: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    let mut head = Vec::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        if line == "\r\n" {
            break;
        }
        head.push(line);
    }
    stream.read_exact(&mut vec![0; length]).await.ok()?;
    Some(head)
}

/// Sends an odd answer with the header lines of `head` where it has a status line.
async fn send_odd(stream: &mut BufReader<TcpStream>, odd: &Odd, head: &str) -> std::io::Result<()> {
    match odd.begin.strip_prefix(b"HTTP/1.1 200 OK\r\n") {
        Some(rest) => {
            stream.write_all(head.as_bytes()).await?;
            stream.write_all(rest).await?;
        }
        None => stream.write_all(&odd.begin).await?,
    }
    match odd.rest {
        Rest::Close => Ok(()),
        // Ends when the daemon closes.
        Rest::Silence => stream.read_u8().await.map(|_| ()),
        Rest::Endless(bytes) => repeat(stream, bytes, PIECE, Duration::ZERO).await,
        Rest::Flow(bytes) => repeat(stream, bytes, FLOW_PIECE, FLOW_INTERVAL).await,
    }
}

/// Sends bytes again and again until the connection is closed.
async fn repeat(
    stream: &mut BufReader<TcpStream>,
    bytes: &str,
    piece: usize,
    interval: Duration,
) -> std::io::Result<()> {
    let piece = bytes.repeat(piece / bytes.len());
    loop {
        stream.write_all(piece.as_bytes()).await?;
        tokio::time::sleep(interval).await;
    }
}
