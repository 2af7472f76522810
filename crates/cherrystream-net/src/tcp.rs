//! Options of TCP connections.

use socket2::SockRef;
use std::io;
use tokio::net::TcpStream;

/// Written bytes that the system holds back before it sends them. More would hide from their writer
/// whether bytes are sent, and delay the pings behind them on a slow link.
const MAX_UNSENT_BYTES: u32 = 32 * 1024;

/// Opens a connection with the options of [`set_options`].
///
/// # Errors
///
/// Fails if the address is unreachable.
pub async fn connect(address: &str) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    set_options(&stream);
    Ok(stream)
}

/// Sends small messages without delay, and bounds the bytes that wait in the system.
pub fn set_options(stream: &TcpStream) {
    // The options improve latencies only, so a system without them is served too. There is no
    // `TCP_USER_TIMEOUT`: it also closes connections whose bytes wait for a slow receiver.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
}
