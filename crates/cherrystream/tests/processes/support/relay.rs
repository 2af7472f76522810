//! TCP relay that can hold, delay, throttle or cut connections.

use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Mutex, watch};
use tokio::time::Instant;

/// Delay of bytes in [`Mode::Delay`].
pub const DELAY: Duration = Duration::from_millis(40);

/// Receive buffer of the relay's sockets, in bytes; the kernel doubles it. It is small so that a
/// slow relay buffers little.
const SOCKET_BUFFER: u32 = 32 * 1024;
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// How a relay handles bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Forwards them.
    Pass,
    /// Holds them, while connections stay open.
    Hold,
    /// Holds those of the reverse direction, and forwards the others.
    HoldBack,
    /// Forwards them after [`DELAY`].
    Delay,
    /// Forwards this many bytes per second in each direction, over all connections of its line.
    Rate(u64),
    /// Closes connections.
    Cut,
}

impl Mode {
    fn passes_there(&self) -> bool {
        matches!(self, Mode::Pass | Mode::Delay | Mode::Rate(_) | Mode::HoldBack)
    }

    fn passes_back(&self) -> bool {
        matches!(self, Mode::Pass | Mode::Delay | Mode::Rate(_))
    }
}

/// One direction of a line.
#[derive(Default)]
struct Direction {
    /// Time from which the next bytes may be forwarded.
    free_at: Mutex<Option<Instant>>,
}

impl Direction {
    /// Waits for the time that `n` more bytes take at a rate in bytes per second.
    async fn throttle(&self, n: usize, rate: u64) {
        let mut free_at = self.free_at.lock().await;
        let start = free_at.unwrap_or_else(Instant::now).max(Instant::now());
        let end = start + Duration::from_secs_f64(n as f64 / rate as f64);
        *free_at = Some(end);
        drop(free_at);
        tokio::time::sleep_until(end).await;
    }
}

/// A link whose bandwidth the connections of one or more relays share.
#[derive(Clone, Default)]
pub struct Line {
    there: Arc<Direction>,
    back: Arc<Direction>,
}

impl Line {
    /// Returns the line with its directions exchanged.
    pub fn reversed(&self) -> Line {
        Line { there: self.back.clone(), back: self.there.clone() }
    }
}

/// A relay to one address.
pub struct Relay {
    pub address: String,
    mode: Arc<watch::Sender<Mode>>,
}

impl Relay {
    /// Starts a relay with a line of its own.
    pub async fn start(listen: &str, to: &str) -> Relay {
        Relay::start_on(Line::default(), listen, to).await
    }

    /// Starts a relay on a line shared with other relays.
    pub async fn start_on(line: Line, listen: &str, to: &str) -> Relay {
        let listener = listen_on(listen);
        let address = listener.local_addr().unwrap().to_string();
        let mode = Arc::new(watch::Sender::new(Mode::Pass));
        let (tx, to) = (mode.clone(), to.to_string());
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                if *tx.borrow() == Mode::Cut {
                    continue;
                }
                tokio::spawn(forward(near, to.clone(), line.clone(), tx.subscribe()));
            }
        });
        Relay { address, mode }
    }

    /// Sets the mode of the relay.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

fn listen_on(address: &str) -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.set_recv_buffer_size(SOCKET_BUFFER).unwrap();
    socket.bind(address.parse().unwrap()).unwrap();
    socket.listen(BACKLOG).unwrap()
}

async fn connect(address: &str) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(SOCKET_BUFFER).ok()?;
    socket.connect(address.parse().unwrap()).await.ok()
}

async fn forward(near: TcpStream, to: String, line: Line, mut mode: watch::Receiver<Mode>) {
    let Some(far) = connect(&to).await else { return };
    // Received bytes are forwarded without delay.
    if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
        return;
    }
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = pump(near_read, far_write, &line.there, mode.clone(), Mode::passes_there);
    let back = pump(far_read, near_write, &line.back, mode.clone(), Mode::passes_back);
    tokio::select! {
        _ = async { tokio::join!(there, back) } => {}
        _ = mode.wait_for(|m| *m == Mode::Cut) => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: &Direction,
    mut mode: watch::Receiver<Mode>,
    passes: fn(&Mode) -> bool,
) {
    let mut buf = vec![0; 16 * 1024];
    while let Ok(n) = from.read(&mut buf).await {
        if n == 0 || mode.wait_for(passes).await.is_err() {
            return;
        }
        let now = *mode.borrow();
        match now {
            Mode::Delay => tokio::time::sleep(DELAY).await,
            Mode::Rate(rate) => direction.throttle(n, rate).await,
            _ => {}
        }
        if to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}
