//! What waits to be sent to one replica, shared by the driver and the tasks that send.

use crate::metrics::Metrics;
use cherrystream_core::transfer::Outbox;
use cherrystream_net::clock::Clock;
use cherrystream_schema::messages::RaftMessage;
use parking_lot::Mutex;
use tokio::sync::Notify;

/// An outbox and its bells.
#[derive(Default)]
pub(crate) struct Queue {
    outbox: Mutex<Outbox>,
    clock: Clock,
    short_waits: Notify,
    long_waits: Notify,
    metrics: Metrics,
}

impl Queue {
    pub(crate) fn new(metrics: Metrics) -> Queue {
        Queue { metrics, ..Queue::default() }
    }

    pub(crate) fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Adds a message.
    pub(crate) fn push(&self, msg: RaftMessage) {
        let mut outbox = self.outbox.lock();
        outbox.push(self.clock.now(), msg);
        self.metrics.dropped_messages.inc_by(outbox.take_dropped());
        if outbox.has_short() {
            self.short_waits.notify_one();
        }
        if outbox.has_long() {
            self.long_waits.notify_one();
        }
    }

    /// Waits for short messages, and takes those of one call.
    pub(crate) async fn next_short(&self) -> Vec<RaftMessage> {
        loop {
            let messages = self.outbox.lock().take_short();
            if !messages.is_empty() {
                return messages;
            }
            self.short_waits.notified().await;
        }
    }

    /// Notes that the call with the short messages taken last has ended, and whether it was answered.
    pub(crate) fn finish_short(&self, arrived: bool) {
        let mut outbox = self.outbox.lock();
        outbox.finish_short(arrived);
        if outbox.has_long() {
            self.long_waits.notify_one();
        }
    }

    /// Drops the short messages that wait.
    pub(crate) fn drop_short(&self) {
        let mut outbox = self.outbox.lock();
        outbox.drop_short();
        self.metrics.dropped_messages.inc_by(outbox.take_dropped());
    }

    /// Waits for a long message, and takes it.
    pub(crate) async fn next_long(&self) -> RaftMessage {
        loop {
            if let Some(msg) = self.outbox.lock().take_long() {
                return msg;
            }
            self.long_waits.notified().await;
        }
    }

    /// Notes which share of the long message taken last is still to be sent; returns whether it is
    /// still wanted, and in which term.
    pub(crate) fn wants_long(&self, share_left: f64) -> Option<u64> {
        let mut outbox = self.outbox.lock();
        outbox.set_share_left(share_left);
        (!outbox.is_abandoned()).then(|| outbox.term())
    }

    /// Notes that the long message taken last arrived, or was given up.
    pub(crate) fn finish_long(&self, arrived: bool) {
        self.outbox.lock().finish_long(self.clock.now(), arrived);
    }

    /// Drops the long messages.
    pub(crate) fn drop_long(&self) {
        self.outbox.lock().drop_long();
    }

    /// Returns the index of a snapshot on its way.
    pub(crate) fn snapshot_index(&self) -> Option<u64> {
        self.outbox.lock().snapshot_index(self.clock.now())
    }
}
