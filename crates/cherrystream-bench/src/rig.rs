//! A site inside this process: control, daemons and simulated backend servers.

use cherrystream_control::role::{self as control_role, Control};
use cherrystream_core::settings;
use cherrystream_daemon::own_interface::OwnInterface;
use cherrystream_daemon::role::{self as daemon_role, Daemon};
use cherrystream_net::body::{self, Start};
use cherrystream_net::pool::Pool;
use cherrystream_net::serve::{self, Phases};
use cherrystream_schema::messages::{ConfirmReply, Intent, PlanReply};
use cherrystream_schema::settings::Settings;
use cherrystream_standin::backend::{Backend, Options};
use http::{Request, header};
use prometheus_client::metrics::counter::Counter;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Number of the next site; each site has its own loopback address.
static NEXT_SITE: AtomicU32 = AtomicU32::new(1);
/// Timeout for a site to start and settle.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// A backend server of a site.
pub struct Server {
    /// The simulated server.
    pub backend: Arc<Backend>,
}

/// A running site.
pub struct Rig {
    base: String,
    _folder: tempfile::TempDir,
    _control: Control,
    daemons: Vec<Daemon>,
    /// Addresses at which the daemons accept callers.
    pub callers: Vec<String>,
    /// Backend servers in the order of their start.
    pub servers: Vec<Server>,
    api: Pool,
    /// Metrics of the daemons.
    pub metrics: Vec<cherrystream_daemon::metrics::Metrics>,
}

/// Returns a loopback address that no other site uses.
pub fn fresh_base() -> String {
    let pid = std::process::id();
    let n = NEXT_SITE.fetch_add(1, Ordering::Relaxed);
    format!("127.{}.{}.{}", 1 + pid / 250 % 250, 1 + pid % 250, 1 + n % 250)
}

impl Rig {
    /// Starts control with one replica, and one daemon in each of the failure domains.
    pub async fn start(domains: &[&str], daemon_lines: &str) -> Result<Rig, String> {
        let base = fresh_base();
        let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
        let control = start_control(&base, &folder.path().display().to_string()).await?;
        let mut rig = Rig {
            api: Pool::new(&format!("{base}:7301"), Counter::default()),
            base,
            _folder: folder,
            _control: control,
            daemons: Vec::new(),
            callers: Vec::new(),
            servers: Vec::new(),
            metrics: Vec::new(),
        };
        for (i, domain) in domains.iter().enumerate() {
            rig.start_daemon(i, domain, daemon_lines).await?;
        }
        Ok(rig)
    }

    async fn start_daemon(&mut self, i: usize, domain: &str, lines: &str) -> Result<(), String> {
        let base = &self.base;
        let port = 7400 + i * 10;
        let text = format!(
            "host: host-{i}\nfailure_domain: {domain}\ndaemon:\n  caller_address: {base}:{port}\n  \
             peer_address: {base}:{}\n  control: [{base}:7201]\n{lines}",
            port + 1
        );
        let settings = settings::read(&text).map_err(|e| e.to_string())?;
        let daemon = settings.daemon.clone().ok_or("the settings have no section daemon")?;
        let metrics = cherrystream_daemon::metrics::Metrics::default();
        let cx = daemon_role::Context {
            phases: Phases::default(),
            key: None,
            interface: Arc::new(OwnInterface),
            read_seeds: Arc::new(|| None),
            metrics: metrics.clone(),
            ready: Arc::new(AtomicBool::new(false)),
        };
        let started = Daemon::start(&settings, &daemon, cx).await.map_err(|e| e.to_string())?;
        self.daemons.push(started);
        self.metrics.push(metrics);
        self.callers.push(format!("{base}:{port}"));
        Ok(())
    }

    /// Starts a backend server on a daemon's host, and registers it with control.
    pub async fn add_server(
        &mut self,
        service: &str,
        host: usize,
        opts: Options,
    ) -> Result<(), String> {
        let listener =
            serve::listen(&format!("{}:0", self.base)).await.map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?.to_string();
        let (name, slots) = (opts.name.clone(), opts.slots as u32);
        let backend = Backend::new(opts, None);
        tokio::spawn(backend.clone().serve(listener, Phases::default()));
        self.accept(Intent::PutBackendServer {
            service: service.into(),
            name,
            host: format!("host-{host}"),
            address,
            slots,
        })
        .await?;
        self.servers.push(Server { backend });
        Ok(())
    }

    /// Submits an intent and confirms its plan; retries until control accepts it.
    pub async fn accept(&self, intent: Intent) -> Result<(), String> {
        let start = Instant::now();
        loop {
            match self.try_accept(&intent).await {
                Ok(()) => return Ok(()),
                Err(e) if start.elapsed() > START_TIMEOUT => return Err(e),
                Err(_) => tokio::time::sleep(Duration::from_millis(30)).await,
            }
        }
    }

    async fn try_accept(&self, intent: &Intent) -> Result<(), String> {
        let text = serde_json::to_string(intent).map_err(|e| e.to_string())?;
        let plan: PlanReply = self.post("/v1/intents", text).await?;
        let path = format!("/v1/plans/{}/confirm", plan.plan);
        let _: ConfirmReply = self.post(&path, String::new()).await?;
        Ok(())
    }

    async fn post<T: DeserializeOwned>(&self, path: &str, text: String) -> Result<T, String> {
        post(&self.api, path, text).await
    }

    /// Waits until every daemon has received the newest revision.
    pub async fn settle(&self) -> Result<(), String> {
        let start = Instant::now();
        while start.elapsed() < START_TIMEOUT {
            let newest = self._control.handle().state.read().revision();
            if self.daemons.iter().all(|d| d.current_config().revision() >= newest) {
                // The daemons rebuild their tables right after they receive it.
                tokio::time::sleep(Duration::from_millis(50)).await;
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Err("the daemons did not receive the configuration within 30 s".into())
    }
}

/// Sends a call to the control API.
pub async fn post<T: DeserializeOwned>(api: &Pool, path: &str, text: String) -> Result<T, String> {
    let req = Request::post(path)
        .header(header::HOST, api.address())
        .body(body::full(text))
        .map_err(|e| e.to_string())?;
    let connection = api.connection().await.map_err(|_| "the control API does not answer")?;
    let res = api.send(connection, req).await.map_err(|_| "the control API does not answer")?;
    match body::read_start(res.into_body(), 1 << 20).await {
        Ok(Start::Whole(bytes)) => {
            serde_json::from_slice(&bytes).map_err(|_| String::from_utf8_lossy(&bytes).into_owned())
        }
        _ => Err("the control API does not answer".into()),
    }
}

async fn start_control(base: &str, folder: &str) -> Result<Control, String> {
    let text = format!(
        "host: control\nfailure_domain: a\ncontrol:\n  replica: 1\n  rpc_address: {base}:7201\n  \
         api_address: {base}:7301\n  data_folder: {folder}\n  \
         replicas: [{{replica: 1, rpc_address: {base}:7201}}]\n"
    );
    let settings: Settings = settings::read(&text).map_err(|e| e.to_string())?;
    let control = settings.control.ok_or("the settings have no section control")?;
    let cx = control_role::Context {
        phases: Phases::default(),
        key: None,
        failure_domain: "a".into(),
        orders: None,
        metrics: cherrystream_control::metrics::Metrics::default(),
        on_failure: Box::new(|what| eprintln!("bench: control failed: {what}")),
    };
    Control::start(&control, cx).await.map_err(|e| e.to_string())
}
