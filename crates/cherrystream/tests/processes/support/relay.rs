//! A relay between two processes that can hold or cut what passes.

use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Time by which bytes are held up by [`Mode::Delay`].
pub const DELAY: Duration = Duration::from_millis(40);

/// What a relay does with bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It passes them on.
    Pass,
    /// It holds them, without a sign to either side.
    Hold,
    /// It holds those that come back, and passes the others on.
    HoldBack,
    /// It passes them on after [`DELAY`].
    Delay,
    /// It closes connections.
    Cut,
}

/// A relay to one address.
pub struct Relay {
    pub address: String,
    mode: Arc<watch::Sender<Mode>>,
}

impl Relay {
    /// Starts a relay that listens on an address of its own.
    pub async fn start(listen: &str, to: &str) -> Relay {
        let listener = TcpListener::bind(listen).await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let mode = Arc::new(watch::Sender::new(Mode::Pass));
        let (tx, to) = (mode.clone(), to.to_string());
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                if *tx.borrow() == Mode::Cut {
                    continue;
                }
                tokio::spawn(pass_on(near, to.clone(), tx.subscribe()));
            }
        });
        Relay { address, mode }
    }

    /// Switches what the relay does.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn pass_on(near: TcpStream, to: String, mut mode: watch::Receiver<Mode>) {
    let Ok(far) = TcpStream::connect(to).await else { return };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there =
        pump(near_read, far_write, mode.clone(), &[Mode::Pass, Mode::Delay, Mode::HoldBack]);
    let back = pump(far_read, near_write, mode.clone(), &[Mode::Pass, Mode::Delay]);
    tokio::select! {
        _ = async { tokio::join!(there, back) } => {}
        _ = mode.wait_for(|m| *m == Mode::Cut) => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    passing: &[Mode],
) {
    let mut buf = vec![0; 16 * 1024];
    while let Ok(n) = from.read(&mut buf).await {
        if n == 0 || mode.wait_for(|m| passing.contains(m)).await.is_err() {
            return;
        }
        if *mode.borrow() == Mode::Delay {
            tokio::time::sleep(DELAY).await;
        }
        if to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}
