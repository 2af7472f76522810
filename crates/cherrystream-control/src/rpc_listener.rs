//! Accepts connections to the RPC methods of control, and closes those whose client is gone.

use cherrystream_net::activity::{self, Activity, Observed};
use cherrystream_net::body::BoxError;
use jsonrpsee::server::StopHandle;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task;

/// Time after which a connection without a received byte is closed, at most one and a half times
/// it. Covers two pings of a client that sends nothing else.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay after a connection that could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections until the server stops, and serves each in a task.
///
/// Clients send pings. The server sends none: clients expect an answer to the bytes that they send
/// in reply, and measure silence from them.
pub async fn run<F>(
    listener: TcpListener,
    stop: StopHandle,
    serve: impl Fn(Observed<TcpStream>, StopHandle) -> F,
) where
    F: Future<Output = Result<(), BoxError>> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.clone().shutdown() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                let activity = Activity::new();
                let idle = activity::abort_when_idle(Arc::downgrade(&activity), IDLE_TIMEOUT);
                task::spawn(idle);
                let serving = serve(Observed::new(stream, activity), stop.clone());
                task::spawn(async move {
                    if let Err(e) = serving.await {
                        log::debug!("control: an RPC connection ended early: {e}");
                    }
                });
            }
            Err(e) => {
                log::warn!("control: cannot accept an RPC connection: {e}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
