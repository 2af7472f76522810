//! Announces new revisions to the open heartbeats of daemons, with changes grouped into batches.

use crate::handle::Handle;
use cherrystream_core::distribution::BatchSchedule;
use cherrystream_core::units::Revision;
use tokio::sync::watch;
use tokio::task;

/// Starts to watch the state. Returns a receiver of the newest revision that daemons may fetch.
pub fn start(handle: Handle) -> watch::Receiver<Revision> {
    let (tx, rx) = watch::channel(Revision::default());
    task::spawn(run(handle, tx));
    rx
}

async fn run(handle: Handle, released: watch::Sender<Revision>) {
    let mut schedule = BatchSchedule::default();
    let mut standing = handle.standing.clone();
    loop {
        let changed = standing.wait_for(|_| revision(&handle) > *released.borrow());
        if changed.await.is_err() {
            return;
        }
        let now = handle.clock.now();
        tokio::time::sleep(schedule.due(now).since(now)).await;
        released.send_replace(revision(&handle));
        schedule.on_sent(handle.clock.now());
    }
}

fn revision(handle: &Handle) -> Revision {
    handle.state.read().revision()
}
