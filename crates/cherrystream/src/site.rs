//! Starts and stops the roles that the settings enable.

use crate::errors::{Error, Result};
use crate::replica::{self, Replica};
use cherrystream_daemon::own_interface::OwnInterface;
use cherrystream_daemon::role::{self as daemon_role, Daemon, SeedReader};
use cherrystream_net::interface::{CallInterface, OperatorInterface};
use cherrystream_net::key::Secret;
use cherrystream_net::observe::Observed;
use cherrystream_net::serve::{self, Phase, Phases};
use cherrystream_platform::{PlatformCalls, PlatformOrders};
use cherrystream_schema::settings::{InterfaceKind, Settings};
use prometheus_client::registry::Registry;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Time at the end of a stop for answering the requests still in flight; a few round trips.
const FINAL_ANSWERS: Duration = Duration::from_millis(150);

/// The running roles of one process.
pub struct Site {
    phases: Phases,
    /// Time in which callers notice that this host is not ready.
    notice: Duration,
    /// Time in which new requests are refused on connections that stay open.
    grace: Duration,
    /// Longest wait for the last answers after the grace time.
    last_answers: Duration,
    control: Option<Replica>,
    daemon: Option<Daemon>,
    metrics_server: Option<JoinHandle<()>>,
}

impl Site {
    /// Starts the roles.
    ///
    /// # Errors
    ///
    /// Fails when a folder, key or address is unusable.
    pub async fn start(settings: &Settings, read_seeds: SeedReader) -> Result<Site> {
        let phases = Phases::default();
        let key = settings.key_file.as_deref().map(Secret::read).transpose()?;
        let mut registry = Registry::default();
        let ready = Arc::new(AtomicBool::new(settings.daemon.is_none()));
        let Interfaces { calls, orders } = interfaces(settings);
        let control = match &settings.control {
            Some(control) => {
                let metrics = cherrystream_control::metrics::Metrics::default();
                metrics.register(&mut registry);
                let opts = replica::Options {
                    settings: control.clone(),
                    failure_domain: settings.failure_domain.clone(),
                    key: key.clone(),
                    orders,
                    metrics,
                };
                Some(Replica::start(opts).await?)
            }
            None => None,
        };
        let daemon = match &settings.daemon {
            Some(daemon) => {
                let metrics = cherrystream_daemon::metrics::Metrics::default();
                metrics.register(&mut registry);
                let (phases, ready) = (phases.clone(), ready.clone());
                let cx = daemon_role::Context {
                    phases,
                    key,
                    interface: calls,
                    read_seeds,
                    metrics,
                    ready,
                };
                Some(Daemon::start(settings, daemon, cx).await?)
            }
            None => None,
        };
        let observed = Observed { registry: Arc::new(registry), phases: phases.clone(), ready };
        let metrics_server = match &settings.metrics_address {
            Some(address) => Some(serve_metrics(address, observed, phases.clone()).await?),
            None => None,
        };
        let grace = settings.daemon.as_ref().map_or(0, |d| d.stop_grace_ms);
        let grace = Duration::from_millis(grace);
        let notice = settings.daemon.as_ref().map_or(0, |d| d.stop_notice_ms);
        let notice = Duration::from_millis(notice);
        let last_answers = settings.daemon.as_ref().map_or(0, |d| d.stop_last_answers_ms);
        let last_answers = Duration::from_millis(last_answers);
        Ok(Site { phases, notice, grace, last_answers, control, daemon, metrics_server })
    }

    /// Waits until a role fails and returns the error.
    pub async fn failed(&mut self) -> Error {
        match &mut self.control {
            Some(control) => control.failed().await,
            None => std::future::pending().await,
        }
    }

    /// Stops gracefully: announces the stop to callers, then refuses new requests while open
    /// connections are still answered, then closes each connection with its last answer.
    pub async fn stop(self) {
        log::info!("process: leaving");
        self.phases.enter(Phase::Leaving);
        tokio::time::sleep(self.notice).await;
        self.phases.enter(Phase::Draining);
        tokio::time::sleep(self.grace).await;
        self.phases.enter(Phase::Closing);
        if let Some(daemon) = self.daemon {
            stop_daemon(daemon, &self.phases, self.last_answers).await;
        }
        if let Some(control) = self.control {
            control.stop().await;
        }
        if let Some(metrics_server) = self.metrics_server {
            metrics_server.abort();
        }
        log::info!("process: stopped");
    }
}

/// Waits for the last answers of a daemon, at most for `within`. Shortly before that time ends, the
/// requests still in flight are answered, so that no connection closes without an answer.
async fn stop_daemon(daemon: Daemon, phases: &Phases, within: Duration) {
    let final_answers = FINAL_ANSWERS.min(within / 2);
    let stopping = daemon.stop();
    tokio::pin!(stopping);
    if tokio::time::timeout(within - final_answers, stopping.as_mut()).await.is_ok() {
        return;
    }
    phases.enter(Phase::Ending);
    if tokio::time::timeout(final_answers, stopping).await.is_err() {
        // An unreachable peer never confirms that its connection is closed.
        log::warn!("process: connections are still open after {within:?}");
    }
}

/// Protocols towards callers, backend servers and operators.
struct Interfaces {
    calls: Arc<dyn CallInterface>,
    orders: Option<Arc<dyn OperatorInterface>>,
}

fn interfaces(settings: &Settings) -> Interfaces {
    match settings.interface {
        Some(InterfaceKind::Platform) => {
            Interfaces { calls: Arc::new(PlatformCalls), orders: Some(Arc::new(PlatformOrders)) }
        }
        _ => Interfaces { calls: Arc::new(OwnInterface), orders: None },
    }
}

async fn serve_metrics(
    address: &str,
    observed: Observed,
    phases: Phases,
) -> Result<JoinHandle<()>> {
    let listener = serve::listen(address).await?;
    // The metrics port answers until the process ends, so that a stop can be observed.
    drop(phases);
    let serving = serve::serve(listener, Phases::default(), move |req| {
        let observed = observed.clone();
        async move { observed.answer(req.uri().path()) }
    });
    Ok(tokio::spawn(serving))
}
