//! Calls that come while another one is under way go together, as one call after it.
//!
//! Load: 300 daemons that come back at once after a loss of power, on replicas with a seventh of a core. One by one,
//! each costs the leader two calls and an entry of the log.

use std::future::Future;
use tokio::sync::{mpsc, oneshot};
use tokio::task;

/// Items in one call at most: some 100 KB of registrations.
const AT_ONCE: usize = 256;

type Waiting<T, R> = (T, oneshot::Sender<R>);

/// A way to make calls together.
pub struct Together<T, R> {
    tx: mpsc::UnboundedSender<Waiting<T, R>>,
}

impl<T, R> Clone for Together<T, R> {
    fn clone(&self) -> Self {
        Together { tx: self.tx.clone() }
    }
}

impl<T, R> Together<T, R>
where
    T: Send + 'static,
    R: Clone + Send + 'static,
{
    /// Starts to make calls with `work`, which is given what is to be called for, in its order.
    pub fn start<F>(work: impl Fn(Vec<T>) -> F + Send + 'static) -> Together<T, R>
    where
        F: Future<Output = R> + Send + 'static,
    {
        let (tx, rx) = mpsc::unbounded_channel();
        task::spawn(run(rx, work));
        Together { tx }
    }

    /// Makes a call, with whatever else waits; returns `None` only when the process ends.
    pub async fn call(&self, item: T) -> Option<R> {
        let (tx, rx) = oneshot::channel();
        self.tx.send((item, tx)).ok()?;
        rx.await.ok()
    }
}

async fn run<T, R: Clone, F: Future<Output = R>>(
    mut rx: mpsc::UnboundedReceiver<Waiting<T, R>>,
    work: impl Fn(Vec<T>) -> F,
) {
    let mut waiting = Vec::new();
    while rx.recv_many(&mut waiting, AT_ONCE).await > 0 {
        // Nobody waits any more for what was given up meanwhile.
        waiting.retain(|(_, reply)| !reply.is_closed());
        let (items, replies): (Vec<T>, Vec<_>) = waiting.drain(..).unzip();
        if items.is_empty() {
            continue;
        }
        let result = work(items).await;
        for reply in replies {
            let _ = reply.send(result.clone());
        }
    }
}
