//! Queue of messages to one replica, shared by the driver and the sending tasks.

use crate::metrics::Metrics;
use cherrystream_core::transfer::Outbox;
use cherrystream_net::clock::Clock;
use cherrystream_schema::messages::RaftMessage;
use parking_lot::Mutex;
use tokio::sync::Notify;

/// An outbox, with notifications for its short and long messages.
#[derive(Default)]
pub(crate) struct Queue {
    outbox: Mutex<Outbox>,
    clock: Clock,
    short_ready: Notify,
    heartbeat_ready: Notify,
    long_ready: Notify,
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
            self.short_ready.notify_one();
            self.heartbeat_ready.notify_one();
        }
        if outbox.has_long() {
            self.long_ready.notify_one();
        }
    }

    /// Waits for short messages, and removes and returns those of one call.
    pub(crate) async fn next_short(&self) -> Vec<RaftMessage> {
        loop {
            let messages = self.outbox.lock().take_short();
            if !messages.is_empty() {
                return messages;
            }
            self.short_ready.notified().await;
        }
    }

    /// Waits for a heartbeat that would wait for entries, and removes and returns it.
    pub(crate) async fn next_overtaking_heartbeat(&self) -> RaftMessage {
        loop {
            if let Some(heartbeat) = self.outbox.lock().take_overtaking_heartbeat() {
                return heartbeat;
            }
            self.heartbeat_ready.notified().await;
        }
    }

    /// Records the end of the call with the last short messages, and whether it was answered.
    pub(crate) fn finish_short(&self, arrived: bool) {
        let mut outbox = self.outbox.lock();
        outbox.finish_short(arrived);
        if outbox.has_long() {
            self.long_ready.notify_one();
        }
    }

    /// Discards the queued short messages.
    pub(crate) fn drop_short(&self) {
        let mut outbox = self.outbox.lock();
        outbox.drop_short();
        self.metrics.dropped_messages.inc_by(outbox.take_dropped());
    }

    /// Waits for a long message, and removes and returns it.
    pub(crate) async fn next_long(&self) -> RaftMessage {
        loop {
            if let Some(msg) = self.outbox.lock().take_long() {
                return msg;
            }
            self.long_ready.notified().await;
        }
    }

    /// Records the fraction of the current long message that is not sent yet. Returns the current
    /// term, or `None` when the message is abandoned.
    pub(crate) fn wants_long(&self, share_left: f64) -> Option<u64> {
        let mut outbox = self.outbox.lock();
        outbox.set_share_left(share_left);
        (!outbox.is_abandoned()).then(|| outbox.term())
    }

    /// Records whether the current long message arrived or was abandoned.
    pub(crate) fn finish_long(&self, arrived: bool) {
        self.outbox.lock().finish_long(self.clock.now(), arrived);
    }

    /// Discards the long messages.
    pub(crate) fn drop_long(&self) {
        self.outbox.lock().drop_long();
    }

    /// Returns a description of what is queued and in flight, for logs.
    pub(crate) fn describe(&self) -> String {
        self.outbox.lock().describe()
    }

    /// Returns the index of the snapshot that is being sent.
    pub(crate) fn snapshot_index(&self) -> Option<u64> {
        self.outbox.lock().snapshot_index(self.clock.now())
    }
}
