//! The control role of this process: it starts anew, in the same process, when its place was lost.

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

/// What every run of the role gets.
pub struct Options {
    /// Settings of the role.
    pub settings: ControlSettings,
    /// Failure domain of this host.
    pub failure_domain: String,
    /// Key of the system's own processes.
    pub key: Option<Secret>,
    /// Interface for operators' orders.
    pub orders: Option<Arc<dyn OperatorInterface>>,
    /// Metrics.
    pub metrics: Metrics,
}

/// The role, with whatever ends a run of it.
pub struct Replica {
    opts: Options,
    /// Phases of this run only: the process goes on when a run ends.
    phases: Phases,
    /// Absent only while another run starts.
    control: Option<Control>,
    failed: mpsc::UnboundedSender<ControlError>,
    failures: mpsc::UnboundedReceiver<ControlError>,
}

impl Replica {
    /// Starts the role.
    ///
    /// # Errors
    ///
    /// Fails when the data folder, an address or a token file cannot be used.
    pub async fn start(opts: Options) -> Result<Replica> {
        let (failed, failures) = mpsc::unbounded_channel();
        let mut replica =
            Replica { opts, phases: Phases::default(), control: None, failed, failures };
        replica.run().await?;
        Ok(replica)
    }

    async fn run(&mut self) -> Result<()> {
        self.phases = Phases::default();
        let failed = self.failed.clone();
        let cx = Context {
            phases: self.phases.clone(),
            key: self.opts.key.clone(),
            failure_domain: self.opts.failure_domain.clone(),
            orders: self.opts.orders.clone(),
            metrics: self.opts.metrics.clone(),
            on_failure: Box::new(move |e| {
                // Nobody listens any more once the process stops.
                let _ = failed.send(e);
            }),
        };
        self.control = Some(Control::start(&self.opts.settings, cx).await?);
        Ok(())
    }

    /// Waits until the role can no longer run, and returns why. A replica whose place was given away asks for
    /// another one meanwhile: an operator has nothing to do, and no process ends.
    pub async fn failed(&mut self) -> Error {
        loop {
            let Some(e) = self.failures.recv().await else { return std::future::pending().await };
            if !matches!(e, ControlError::Replaced { .. }) {
                return Error::from(e);
            }
            log::warn!("process: {e}");
            if let Err(e) = self.run_again().await {
                return e;
            }
        }
    }

    async fn run_again(&mut self) -> Result<()> {
        self.phases.enter(Phase::Closing);
        if let Some(control) = self.control.take() {
            control.abandon().await;
        }
        self.run().await
    }

    /// Hands the leadership over and ends once the last answers are out.
    pub async fn stop(self) {
        self.phases.enter(Phase::Closing);
        if let Some(control) = self.control {
            control.stop().await;
        }
    }
}
