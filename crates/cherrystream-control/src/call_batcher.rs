//! Batches concurrent calls: those that arrive while one is in flight form the next call.
//!
//! Many daemons may register at once, for example after a power failure. Without batches, each
//! would cost the leader two calls and a log entry.

use std::future::Future;
use tokio::sync::{mpsc, oneshot};
use tokio::task;

/// Largest number of items in one call. Bounds the size of a message.
const MAX_BATCH_ITEMS: usize = 256;

type Pending<T, R> = (T, oneshot::Sender<R>);

/// Sends items in batches, with one call in flight at a time.
pub struct CallBatcher<T, R> {
    tx: mpsc::UnboundedSender<Pending<T, R>>,
}

impl<T, R> Clone for CallBatcher<T, R> {
    fn clone(&self) -> Self {
        CallBatcher { tx: self.tx.clone() }
    }
}

impl<T, R> CallBatcher<T, R>
where
    T: Send + 'static,
    R: Clone + Send + 'static,
{
    /// Starts the task that calls `work` with the items of each batch, in order of arrival.
    pub fn start<F>(work: impl Fn(Vec<T>) -> F + Send + 'static) -> CallBatcher<T, R>
    where
        F: Future<Output = R> + Send + 'static,
    {
        let (tx, rx) = mpsc::unbounded_channel();
        task::spawn(run(rx, work));
        CallBatcher { tx }
    }

    /// Adds an item to the next batch and returns the result of its call. Returns `None` only when
    /// the process ends.
    pub async fn call(&self, item: T) -> Option<R> {
        let (tx, rx) = oneshot::channel();
        self.tx.send((item, tx)).ok()?;
        rx.await.ok()
    }
}

async fn run<T, R: Clone, F: Future<Output = R>>(
    mut rx: mpsc::UnboundedReceiver<Pending<T, R>>,
    work: impl Fn(Vec<T>) -> F,
) {
    let mut pending = Vec::new();
    while rx.recv_many(&mut pending, MAX_BATCH_ITEMS).await > 0 {
        // Discards the items of cancelled calls.
        pending.retain(|(_, reply)| !reply.is_closed());
        let (items, replies): (Vec<T>, Vec<_>) = pending.drain(..).unzip();
        if items.is_empty() {
            continue;
        }
        let result = work(items).await;
        for reply in replies {
            let _ = reply.send(result.clone());
        }
    }
}
