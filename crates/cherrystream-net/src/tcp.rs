//! Options of TCP connections.

use std::io;
use tokio::net::TcpStream;

/// Opens a connection that sends small messages without delay.
///
/// # Errors
///
/// Fails if the address is unreachable.
pub async fn connect(address: &str) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    // The option improves latencies only, so a system without it is served too.
    let _ = stream.set_nodelay(true);
    Ok(stream)
}
