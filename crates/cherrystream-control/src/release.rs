//! Tells the open heartbeats of daemons of changes, those that come together at one moment.

use crate::handle::Handle;
use cherrystream_core::distribution::BatchSchedule;
use cherrystream_core::units::Revision;
use tokio::sync::watch;
use tokio::task;

/// Starts to watch the state, and returns the revision that daemons may be told of.
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
