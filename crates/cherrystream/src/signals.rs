//! Signals that stop the process or make it read its settings again.

use crate::errors::{self, Result};
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::flag;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Catches signals until the runtime handles them. While the process reads its settings and starts
/// the runtime, their default action would end it.
pub struct EarlySignals {
    terminate: Arc<AtomicBool>,
}

impl EarlySignals {
    /// Records SIGTERM from now on and ignores SIGHUP, since the settings have yet to be read.
    ///
    /// # Errors
    ///
    /// Fails when a signal handler cannot be installed.
    pub fn listen() -> Result<EarlySignals> {
        let terminate = Arc::new(AtomicBool::new(false));
        let listened = flag::register(SIGTERM, terminate.clone())
            .and_then(|_| flag::register(SIGHUP, Arc::default()));
        listened.map_err(errors::setup("listen for signals"))?;
        Ok(EarlySignals { terminate })
    }

    /// Returns whether SIGTERM was received.
    pub fn stop_requested(&self) -> bool {
        self.terminate.load(Ordering::Relaxed)
    }
}

/// Signals that request a graceful stop. While this exists, their default action is replaced.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Listens for SIGTERM and SIGINT.
    ///
    /// # Errors
    ///
    /// Fails when a signal handler cannot be installed.
    pub fn listen() -> Result<StopSignals> {
        let terminate = listen(SignalKind::terminate())?;
        let interrupt = listen(SignalKind::interrupt())?;
        Ok(StopSignals { terminate, interrupt })
    }

    /// Waits for SIGTERM or SIGINT.
    pub async fn requested(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }

    /// Waits for a further SIGINT, with which a user at a terminal cuts a stop short. Supervisors
    /// may repeat SIGTERM, so it does not; they have SIGKILL.
    pub async fn interrupted(&mut self) {
        let _ = self.interrupt.recv().await;
    }
}

/// Listens for SIGHUP.
///
/// # Errors
///
/// Fails when a signal handler cannot be installed.
pub fn hangups() -> Result<Signal> {
    listen(SignalKind::hangup())
}

fn listen(kind: SignalKind) -> Result<Signal> {
    signal(kind).map_err(errors::setup("listen for signals"))
}
