//! A server that rejects each request when it comes first, runs it when it comes again, and sends
//! each rejection a second time, in the place of the next answer on the connection.

use super::requests::NOT_RUN_LINE;
use std::collections::BTreeSet;
use std::io;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// Time for which a request runs.
const WORK: Duration = Duration::from_millis(50);

/// Requests that were rejected or run.
#[derive(Default)]
pub struct Rejections {
    /// Header lines of the answers to rejected requests, which hold their identifiers.
    rejected: Mutex<BTreeSet<String>>,
    runs: AtomicUsize,
}

/// A rejection that a connection sends once more.
#[derive(Default)]
pub struct Late(Option<String>);

impl Rejections {
    /// Answers a request, with the header lines of its answer.
    pub async fn answer(
        &self,
        stream: &mut BufReader<TcpStream>,
        late: &mut Late,
        lines: &str,
    ) -> io::Result<()> {
        if let Some(late) = late.0.take() {
            stream.write_all(late.as_bytes()).await?;
        }
        if self.rejected.lock().unwrap().insert(lines.into()) {
            let rejection = format!(
                "HTTP/1.1 503 Service Unavailable\r\n{lines}{NOT_RUN_LINE}\
                 content-length: 0\r\n\r\n"
            );
            late.0 = Some(rejection.clone());
            return stream.write_all(rejection.as_bytes()).await;
        }
        self.runs.fetch_add(1, Ordering::SeqCst);
        tokio::time::sleep(WORK).await;
        let answer = format!("HTTP/1.1 200 OK\r\n{lines}content-length: 2\r\n\r\nok");
        stream.write_all(answer.as_bytes()).await
    }

    /// Returns how often requests were run since the last call.
    pub fn take_runs(&self) -> usize {
        self.runs.swap(0, Ordering::SeqCst)
    }
}
