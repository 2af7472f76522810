//! Options of TCP connections.

use std::io;
use tokio::net::TcpStream;

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

/// Sends small messages without delay.
pub fn set_options(stream: &TcpStream) {
    // The option improves latencies only, so a system without it is served too. There is no
    // `TCP_USER_TIMEOUT`: it also closes connections whose bytes wait for a slow receiver.
    let _ = stream.set_nodelay(true);
}
