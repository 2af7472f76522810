//! Batches concurrent calls: those that arrive while one is in flight form the next call. A call that
//! takes long does not hold up the next one.
//!
//! Many daemons may register at once, for example after a power failure. Without batches, each
//! would cost the leader two calls and a log entry.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::task;

/// Largest number of items in one call. Bounds the size of a message.
const MAX_BATCH_ITEMS: usize = 256;
/// Time after which a call in flight no longer holds up the next batch. Its connection may be
/// silent.
const MAX_HOLD_UP: Duration = Duration::from_millis(500);
/// Maximum number of calls in flight.
const MAX_CALLS: usize = 4;

type Pending<T, R> = (T, oneshot::Sender<R>);

/// Sends items in batches, with one call in flight at a time unless it takes long.
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

async fn run<T, R, F>(mut rx: mpsc::UnboundedReceiver<Pending<T, R>>, work: impl Fn(Vec<T>) -> F)
where
    R: Clone + Send + 'static,
    F: Future<Output = R> + Send + 'static,
{
    let slots = Arc::new(Semaphore::new(MAX_CALLS));
    let mut pending = Vec::new();
    // Items that arrive while all slots are taken form one batch.
    while let Ok(slot) = slots.clone().acquire_owned().await
        && rx.recv_many(&mut pending, MAX_BATCH_ITEMS).await > 0
    {
        // Discards the items of cancelled calls.
        pending.retain(|(_, reply)| !reply.is_closed());
        let (items, replies): (Vec<T>, Vec<_>) = pending.drain(..).unzip();
        if items.is_empty() {
            continue;
        }
        let call = work(items);
        let call = task::spawn(async move {
            let result = call.await;
            for reply in replies {
                let _ = reply.send(result.clone());
            }
            drop(slot);
        });
        let _ = tokio::time::timeout(MAX_HOLD_UP, call).await;
    }
}
