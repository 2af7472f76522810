//! The control role of this process. It restarts within the process when its member slot was
//! reassigned.

use crate::errors::{Error, Result};
use cherrystream_control::errors::Error as ControlError;
use cherrystream_control::metrics::Metrics;
use cherrystream_control::role::{Context, Control};
use cherrystream_net::interface::OperatorInterface;
use cherrystream_net::key::Secret;
use cherrystream_net::serve::{Phase, Phases};
use cherrystream_schema::settings::ControlSettings;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Options for each start of the role.
pub struct Options {
    /// Settings of the role.
    pub settings: ControlSettings,
    /// Failure domain of this host.
    pub failure_domain: String,
    /// Key that the system's processes share.
    pub key: Option<Secret>,
    /// Interface for operator commands.
    pub orders: Option<Arc<dyn OperatorInterface>>,
    /// Metrics, which continue over restarts of the role.
    pub metrics: Metrics,
}

/// The running control role and the channel on which it reports failures.
pub struct Replica {
    opts: Options,
    /// Phases of the current start of the role; those of the process are separate.
    phases: Phases,
    /// `None` only during a restart.
    control: Option<Control>,
    failed: mpsc::UnboundedSender<ControlError>,
    failures: mpsc::UnboundedReceiver<ControlError>,
}

impl Replica {
    /// Starts the role.
    ///
    /// # Errors
    ///
    /// Fails when the data folder, an address or a token file is unusable.
    pub async fn start(opts: Options) -> Result<Replica> {
        let (failed, failures) = mpsc::unbounded_channel();
        let mut replica =
            Replica { opts, phases: Phases::default(), control: None, failed, failures };
        let cx = replica.begin();
        replica.control = Some(Control::start(&replica.opts.settings, cx).await?);
        Ok(replica)
    }

    /// Returns the context of the next start of the role.
    fn begin(&mut self) -> Context {
        self.phases = Phases::default();
        let failed = self.failed.clone();
        Context {
            phases: self.phases.clone(),
            key: self.opts.key.clone(),
            failure_domain: self.opts.failure_domain.clone(),
            orders: self.opts.orders.clone(),
            metrics: self.opts.metrics.clone(),
            on_failure: Box::new(move |e| {
                // The receiver is gone once the process stops.
                let _ = failed.send(e);
            }),
        }
    }

    /// Waits until the role fails for good and returns the error. A replica whose member slot was
    /// reassigned restarts and joins again, without an operator and without ending the process.
    pub async fn failed(&mut self) -> Error {
        loop {
            let Some(e) = self.failures.recv().await else { return std::future::pending().await };
            if !matches!(e, ControlError::Replaced { .. }) {
                return Error::from(e);
            }
            log::warn!("process: {e}");
            if let Err(e) = self.restart().await {
                return e;
            }
        }
    }

    async fn restart(&mut self) -> Result<()> {
        self.phases.enter(Phase::Closing);
        if let Some(control) = self.control.take() {
            control.abandon().await;
        }
        let cx = self.begin();
        self.control = Some(Control::start_after_slot_loss(&self.opts.settings, cx).await?);
        Ok(())
    }

    /// Transfers the leadership and stops once the last answers are sent.
    pub async fn stop(self) {
        self.phases.enter(Phase::Closing);
        if let Some(control) = self.control {
            control.stop().await;
        }
    }
}
