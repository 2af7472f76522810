//! Options of TCP connections.

use nix::sys::socket::{self, sockopt};
use socket2::SockRef;
use std::io;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Time after which the system closes an accepted connection whose client does not acknowledge or
/// take the bytes sent to it. Long, since Linux also counts the time in which a client reads so
/// slowly that its window stays smaller than a segment.
pub const ACCEPTED_USER_TIMEOUT: Duration = Duration::from_secs(120);
/// Time without traffic after which the system probes the client of an accepted connection.
pub const PROBE_IDLE: Duration = Duration::from_secs(30);
/// Time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(10);
/// Written bytes that the system holds back before it sends them. More would hide from their writer
/// whether bytes are sent, and delay the pings behind them on a slow link.
const MAX_UNSENT_BYTES: u32 = 32 * 1024;

/// Opens a connection that sends small messages without delay, and bounds the bytes that wait in the
/// system.
///
/// # Errors
///
/// Fails if the address is unreachable.
pub async fn connect(address: &str) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    // The options improve latencies only, so a system without them is served too. There is no
    // `TCP_USER_TIMEOUT`: it also closes connections whose bytes wait for a slow receiver.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
    Ok(stream)
}

/// Listens on an address. The system closes accepted connections whose client has vanished, also
/// while nothing is sent.
///
/// # Errors
///
/// Fails if the address is in use or does not belong to this host.
pub async fn listen(address: &str) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address).await?;
    // Connections keep their descriptors for longer on a system without these options.
    if let Err(e) = set_accepted_options(&listener) {
        log::debug!("listener: options of TCP connections cannot be set: {e}");
    }
    Ok(listener)
}

/// Sets options that accepted connections inherit from their listener.
fn set_accepted_options(listener: &TcpListener) -> nix::Result<()> {
    let user_timeout = ACCEPTED_USER_TIMEOUT.as_millis() as u32;
    socket::setsockopt(listener, sockopt::TcpUserTimeout, &user_timeout)?;
    socket::setsockopt(listener, sockopt::TcpKeepIdle, &(PROBE_IDLE.as_secs() as u32))?;
    socket::setsockopt(listener, sockopt::TcpKeepInterval, &(PROBE_INTERVAL.as_secs() as u32))?;
    socket::setsockopt(listener, sockopt::KeepAlive, &true)
}
