//! Options of TCP connections.

use nix::sys::socket::{self, sockopt};
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time after which the system closes a connection whose sent bytes are not acknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

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

/// Sends small messages without delay, and bounds the time without acknowledgements.
pub fn set_options(stream: &TcpStream) {
    // Both options improve latencies only, so a system without them is served too.
    let _ = stream.set_nodelay(true);
    let user_timeout = USER_TIMEOUT.as_millis() as u32;
    let _ = socket::setsockopt(stream, sockopt::TcpUserTimeout, &user_timeout);
}
