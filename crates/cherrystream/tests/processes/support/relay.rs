//! TCP relay that can hold, delay, throttle, cut or silence connections, or spoil answers.

#[path = "spoil.rs"]
mod spoil;
use spoil::Spoiler;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
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
    /// Forwards them, and spoils some answers; see [`Spoiler`].
    Spoil,
    /// Closes connections.
    Cut,
}

impl Mode {
    fn passes_there(&self) -> bool {
        matches!(self, Mode::Pass | Mode::Delay | Mode::Rate(_) | Mode::HoldBack | Mode::Spoil)
    }

    fn passes_back(&self) -> bool {
        matches!(self, Mode::Pass | Mode::Delay | Mode::Rate(_) | Mode::Spoil)
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

/// Directions of the open connections that [`Relay::silence`] affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silenced {
    /// Both directions.
    Both,
    /// Only from the client to the server.
    There,
    /// Only from the server to the client.
    Back,
}

/// Counts the calls of [`Relay::silence`] for each direction. A connection forwards nothing in a
/// direction whose count has changed since the connection was accepted.
#[derive(Default)]
struct Silences {
    there: AtomicU64,
    back: AtomicU64,
}

/// A relay to one address.
pub struct Relay {
    pub address: String,
    mode: Arc<watch::Sender<Mode>>,
    silences: Arc<Silences>,
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
        let silences = Arc::<Silences>::default();
        let (tx, to, counts) = (mode.clone(), to.to_string(), silences.clone());
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                if *tx.borrow() == Mode::Cut {
                    continue;
                }
                let silences = counts.clone();
                tokio::spawn(forward(near, to.clone(), line.clone(), tx.subscribe(), silences));
            }
        });
        Relay { address, mode, silences }
    }

    /// Silences the connections that are open now, for good: their bytes are discarded, and neither
    /// end learns of it. New connections are not affected.
    pub fn silence(&self, silenced: Silenced) {
        if matches!(silenced, Silenced::Both | Silenced::There) {
            self.silences.there.fetch_add(1, Ordering::Relaxed);
        }
        if matches!(silenced, Silenced::Both | Silenced::Back) {
            self.silences.back.fetch_add(1, Ordering::Relaxed);
        }
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

async fn forward(
    near: TcpStream,
    to: String,
    line: Line,
    mut mode: watch::Receiver<Mode>,
    silences: Arc<Silences>,
) {
    let there_silence = Silence::new(&silences.there);
    let back_silence = Silence::new(&silences.back);
    let Some(far) = connect(&to).await else { return };
    // Received bytes are forwarded without delay.
    if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
        return;
    }
    let (mut near_read, mut near_write) = near.into_split();
    let (mut far_read, mut far_write) = far.into_split();
    let there = pump(
        &mut near_read,
        &mut far_write,
        &line.there,
        mode.clone(),
        Mode::passes_there,
        there_silence,
    );
    let back = pump(
        &mut far_read,
        &mut near_write,
        &line.back,
        mode.clone(),
        Mode::passes_back,
        back_silence,
    );
    tokio::select! {
        _ = async { tokio::join!(there, back) } => {}
        _ = mode.wait_for(|m| *m == Mode::Cut) => {}
    }
}

/// Whether one direction of a connection has been silenced since the connection was accepted.
struct Silence<'a> {
    count: &'a AtomicU64,
    at_start: u64,
}

impl Silence<'_> {
    fn new(count: &AtomicU64) -> Silence<'_> {
        Silence { count, at_start: count.load(Ordering::Relaxed) }
    }

    fn is_on(&self) -> bool {
        self.count.load(Ordering::Relaxed) != self.at_start
    }
}

async fn pump(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    direction: &Direction,
    mut mode: watch::Receiver<Mode>,
    passes: fn(&Mode) -> bool,
    silence: Silence<'_>,
) {
    let mut buf = vec![0; 16 * 1024];
    let mut spoiler = Spoiler::default();
    loop {
        let read = from.read(&mut buf).await;
        if silence.is_on() {
            // The end of the connection is not passed on either.
            if !matches!(read, Ok(n) if n > 0) {
                return;
            }
            continue;
        }
        let n = read.unwrap_or(0);
        if n == 0 || mode.wait_for(passes).await.is_err() {
            let _ = to.shutdown().await;
            return;
        }
        let now = *mode.borrow();
        match now {
            Mode::Delay => tokio::time::sleep(DELAY).await,
            Mode::Rate(rate) => direction.throttle(n, rate).await,
            _ => {}
        }
        let sent = match now {
            Mode::Spoil => spoiler.spoil(&buf[..n]),
            _ => buf[..n].into(),
        };
        if !silence.is_on() && to.write_all(&sent).await.is_err() {
            let _ = to.shutdown().await;
            return;
        }
    }
}
