//! Reads and validates settings files. Each error names the line, the value and the remedy.

use cherrystream_schema::settings::{ControlSettings, DaemonSettings, SeedSettings, Settings};
use snafu::Snafu;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Values of `log`.
const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Result of reading settings.
pub type Result<T, E = SettingsError> = std::result::Result<T, E>;

/// Error in a settings file.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(display("line {line}: {what}; {remedy}"))]
pub struct SettingsError {
    /// Line number in the file, from 1.
    pub line: usize,
    /// The fault, with the value.
    pub what: String,
    /// How to correct it.
    pub remedy: String,
}

/// Reads and validates settings.
///
/// # Errors
///
/// Returns the first fault.
pub fn read(text: &str) -> Result<Settings> {
    let settings: Settings = serde_yaml_ng::from_str(text).map_err(|e| yaml_error(text, &e))?;
    let checker = Checker { text };
    checker.check(&settings)?;
    Ok(settings)
}

fn yaml_error(text: &str, e: &serde_yaml_ng::Error) -> SettingsError {
    let line = e.location().map_or(1, |l| l.line());
    let source = text.lines().nth(line - 1).unwrap_or_default().trim();
    let message = e.to_string();
    let what = message.split(" at line ").next().unwrap_or_default().replace("Settings.", "");
    let remedy = if what.contains("unknown field") {
        "remove it or correct its name"
    } else if what.contains("missing field") {
        "add it"
    } else {
        "correct the value; `docs/OPERATORS.md` lists the settings with their units"
    };
    SettingsError { line, what: format!("{what} (at `{source}`)"), remedy: remedy.into() }
}

struct Checker<'a> {
    text: &'a str,
}

impl Checker<'_> {
    fn check(&self, settings: &Settings) -> Result<()> {
        self.check_names(settings)?;
        self.check_level(&settings.log)?;
        if settings.daemon.is_none() && settings.control.is_none() {
            return self.fail("host", "neither `daemon` nor `control` is set", "add one or both");
        }
        self.check_addresses(settings)?;
        self.check_daemon(settings)?;
        self.check_control(settings)?;
        self.check_keys(settings)
    }

    fn check_names(&self, settings: &Settings) -> Result<()> {
        for (key, value) in [("host", &settings.host), ("failure_domain", &settings.failure_domain)]
        {
            if value.trim().is_empty() {
                return self.fail(key, &format!("{key} is empty"), "give it a name");
            }
        }
        Ok(())
    }

    fn check_level(&self, level: &str) -> Result<()> {
        if LOG_LEVELS.contains(&level) {
            return Ok(());
        }
        let remedy = format!("use one of {}", LOG_LEVELS.join(", "));
        self.fail("log", &format!("log is '{level}'"), &remedy)
    }

    /// Checks that the listening addresses are valid and differ.
    fn check_addresses(&self, settings: &Settings) -> Result<()> {
        let mut seen = BTreeMap::new();
        for (key, value) in listening_addresses(settings) {
            let address = self.parse_address(key, value)?;
            if address.port() == 0 {
                continue;
            }
            if let Some(other) = seen.insert(address, key) {
                let what = format!("{key} is {value}, which {other} uses as well");
                return self.fail(key, &what, "give each its own port");
            }
        }
        Ok(())
    }

    fn parse_address(&self, key: &str, value: &str) -> Result<SocketAddr> {
        match value.parse() {
            Ok(address) => Ok(address),
            Err(_) => {
                let what = format!("{key} is '{value}', which is not an address");
                self.fail(key, &what, "use IP:PORT, such as 127.0.0.1:7100")
            }
        }
    }

    fn check_daemon(&self, settings: &Settings) -> Result<()> {
        let Some(daemon) = &settings.daemon else { return Ok(()) };
        match (&daemon.seeds, daemon.control.is_empty()) {
            (Some(seeds), true) => self.check_seeds(seeds)?,
            (None, false) => {}
            (None, true) => {
                let remedy = "list the RPC addresses of the control replicas, or set seeds";
                return self.fail("control", "control is empty", remedy);
            }
            (Some(_), false) => {
                let remedy = "keep one of the two";
                return self.fail("seeds", "both control and seeds are set", remedy);
            }
        }
        for address in &daemon.control {
            self.parse_address("control", address)?;
        }
        for address in &daemon.peers {
            self.parse_address("peers", address)?;
        }
        if daemon.change_within_s.is_nan() || daemon.change_within_s <= 0.0 {
            let what = format!("change_within_s is {}", daemon.change_within_s);
            return self.fail("change_within_s", &what, "use seconds, more than 0");
        }
        if !(0.0..=1.0).contains(&daemon.retry_share) {
            let what = format!("retry_share is {}", daemon.retry_share);
            return self.fail("retry_share", &what, "use a share from 0 to 1");
        }
        if !(0.0..=1.0).contains(&daemon.hedge_share) {
            let what = format!("hedge_share is {}", daemon.hedge_share);
            return self.fail("hedge_share", &what, "use a share from 0 to 1");
        }
        if !(0.1..=1.0).contains(&daemon.slot_share) {
            let what = format!("slot_share is {}", daemon.slot_share);
            return self.fail("slot_share", &what, "use a share from 0.1 to 1");
        }
        if !(1.0..=100.0).contains(&daemon.cold_over) {
            let what = format!("cold_over is {}", daemon.cold_over);
            return self.fail("cold_over", &what, "use a factor from 1 to 100");
        }
        if !(0.0..=600.0).contains(&daemon.leaving_grace_s) {
            let what = format!("leaving_grace_s is {}", daemon.leaving_grace_s);
            return self.fail("leaving_grace_s", &what, "use 0 to 600 seconds");
        }
        if !(0.0..=10_000.0).contains(&daemon.cold_slack) {
            let what = format!("cold_slack is {}", daemon.cold_slack);
            return self.fail("cold_slack", &what, "use 0 to 10000 requests");
        }
        self.check_quota(daemon)?;
        if !(0.0..=10_000.0).contains(&daemon.crossing_cost_ms) {
            let what = format!("crossing_cost_ms is {}", daemon.crossing_cost_ms);
            return self.fail("crossing_cost_ms", &what, "use 0 to 10000 milliseconds");
        }
        if !(0.0..=100.0).contains(&daemon.queue_per_slot) {
            let what = format!("queue_per_slot is {}", daemon.queue_per_slot);
            return self.fail("queue_per_slot", &what, "use a number from 0 to 100");
        }
        Ok(())
    }

    fn check_quota(&self, daemon: &DaemonSettings) -> Result<()> {
        if !(0.1..=3_600.0).contains(&daemon.quota_window_s) {
            let what = format!("quota_window_s is {}", daemon.quota_window_s);
            return self.fail("quota_window_s", &what, "use 0.1 to 3600 seconds");
        }
        if !(0.0..=1.0).contains(&daemon.quota_over) {
            let what = format!("quota_over is {}", daemon.quota_over);
            return self.fail("quota_over", &what, "use a share from 0 to 1");
        }
        if !(0.0..=10_000.0).contains(&daemon.quota_slack) {
            let what = format!("quota_slack is {}", daemon.quota_slack);
            return self.fail("quota_slack", &what, "use 0 to 10000 requests");
        }
        Ok(())
    }

    fn check_control(&self, settings: &Settings) -> Result<()> {
        let Some(control) = &settings.control else { return Ok(()) };
        if let Some(seeds) = &control.seeds {
            if !control.replicas.is_empty() {
                let remedy = "keep one of the two";
                return self.fail("seeds", "both replicas and seeds are set", remedy);
            }
            self.check_seeds(seeds)?;
            return self.check_control_limits(control);
        }
        let mut numbers = BTreeMap::new();
        for replica in &control.replicas {
            self.parse_address("replicas", &replica.rpc_address)?;
            if numbers.insert(replica.replica, &replica.rpc_address).is_some() {
                let what = format!("replicas lists replica {} twice", replica.replica);
                return self.fail("replicas", &what, "give each replica its own number");
            }
        }
        match numbers.get(&control.replica) {
            Some(address) if **address == control.rpc_address => {}
            _ => {
                let what = format!(
                    "replicas lacks replica {} at {}",
                    control.replica, control.rpc_address
                );
                return self.fail("replicas", &what, "list all replicas, this one included");
            }
        }
        if control.replicas.len() % 2 == 0 {
            let what = format!("replicas lists {} replicas", control.replicas.len());
            return self.fail("replicas", &what, "use 1 or 3, so that one can fail");
        }
        self.check_control_limits(control)
    }

    fn check_seeds(&self, seeds: &SeedSettings) -> Result<()> {
        if seeds.addresses.is_empty() {
            return self.fail("seeds", "seeds lists no address", "list hosts of control replicas");
        }
        for address in &seeds.addresses {
            self.parse_address("addresses", address)?;
        }
        if seeds.rpc_port == 0 {
            return self.fail("rpc_port", "rpc_port is 0", "use the RPC port of control");
        }
        Ok(())
    }

    fn check_control_limits(&self, control: &ControlSettings) -> Result<()> {
        if control.keys_at_most == 0 {
            return self.fail("keys_at_most", "keys_at_most is 0", "use 1 or more");
        }
        self.check_rollouts(control)?;
        match control.platform_list.as_deref() {
            Some(url) if !url.starts_with("http://") => {
                let what = format!("platform_list is '{url}'");
                self.fail("platform_list", &what, "use http://IP:PORT/PATH")
            }
            _ => Ok(()),
        }
    }

    fn check_rollouts(&self, control: &ControlSettings) -> Result<()> {
        let (share, slack) = (control.rollout_share, control.rollout_slack);
        if !(0.0..=1.0).contains(&share) {
            let what = format!("rollout_share is {share}");
            return self.fail("rollout_share", &what, "use a share from 0 to 1");
        }
        if !(slack.is_finite() && slack >= 0.0) {
            let what = format!("rollout_slack is {slack}");
            return self.fail("rollout_slack", &what, "use a number of requests, 0 or more");
        }
        Ok(())
    }

    /// Checks that keys and tokens are set unless all addresses are loopback addresses.
    fn check_keys(&self, settings: &Settings) -> Result<()> {
        let is_exposed = |(key, value): &(&str, &String)| {
            *key != "metrics_address"
                && value.parse::<SocketAddr>().is_ok_and(|a| !a.ip().is_loopback())
        };
        if settings.closed_network {
            return Ok(());
        }
        let Some((key, value)) = listening_addresses(settings).into_iter().find(is_exposed) else {
            return Ok(());
        };
        if settings.key_file.is_none() {
            let what = format!(
                "{key} is {value}, which is not a loopback address, and key_file is not set"
            );
            return self.fail(key, &what, "set key_file to a file with the shared key");
        }
        if settings.control.as_ref().is_some_and(|c| c.operators.is_empty()) {
            let what = format!(
                "{key} is {value}, which is not a loopback address, and control has no operators"
            );
            return self.fail(key, &what, "list operators with their token files");
        }
        Ok(())
    }

    fn fail<T>(&self, key: &str, what: &str, remedy: &str) -> Result<T> {
        let line = self.line_of(key);
        Err(SettingsError { line, what: what.into(), remedy: remedy.into() })
    }

    fn line_of(&self, key: &str) -> usize {
        let names = |line: &str| {
            line.trim_start()
                .trim_start_matches("- ")
                .strip_prefix(key)
                .is_some_and(|rest| rest.trim_start().starts_with(':'))
        };
        self.text.lines().position(names).map_or(1, |i| i + 1)
    }
}

fn listening_addresses(settings: &Settings) -> Vec<(&'static str, &String)> {
    let mut all = Vec::new();
    if let Some(address) = &settings.metrics_address {
        all.push(("metrics_address", address));
    }
    if let Some(daemon) = &settings.daemon {
        all.push(("caller_address", &daemon.caller_address));
        all.push(("peer_address", &daemon.peer_address));
        all.extend(daemon.instance_address.iter().map(|a| ("instance_address", a)));
        all.extend(daemon.readiness_address.iter().map(|a| ("readiness_address", a)));
    }
    if let Some(control) = &settings.control {
        all.push(("rpc_address", &control.rpc_address));
        all.push(("api_address", &control.api_address));
    }
    all
}
