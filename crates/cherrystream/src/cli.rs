//! Arguments of the command line. Their doc comments are the help text.

use argh::FromArgs;

/// A load balancer for servers whose load changes within milliseconds.
///
/// An intent (`service`, `kind`, `backend`, `host`, `evacuate`, `rollout`, `workspace`) prints a plan; nothing changes until
/// `confirm PLAN`. Address of the control API: --api ADDRESS or CHERRYSTREAM_API, by default
/// 127.0.0.1:7301.
/// Operator's token: --token-file FILE or CHERRYSTREAM_TOKEN_FILE.
#[derive(FromArgs)]
pub struct Args {
    #[argh(subcommand)]
    pub command: Command,
}

/// Subcommands of the program.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Run(RunArgs),
    Check(CheckArgs),
    Try(TryArgs),
    Service(ServiceArgs),
    Kind(KindArgs),
    Backend(BackendArgs),
    Host(HostArgs),
    Evacuate(EvacuateArgs),
    Rollout(RolloutArgs),
    Workspace(WorkspaceArgs),
    Plan(PlanArgs),
    Confirm(ConfirmArgs),
    Config(ConfigArgs),
    Status(StatusArgs),
    Suspects(SuspectsArgs),
}

/// Run the roles that the settings enable.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub struct RunArgs {
    /// YAML file with the settings of this process
    #[argh(option)]
    pub settings: String,
}

/// Check settings without running anything; exit code 2 when they are invalid.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// YAML file with the settings of a process
    #[argh(option)]
    pub settings: String,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Run a whole small site in one process: control, two daemons and four sample backend servers.
#[derive(FromArgs)]
#[argh(subcommand, name = "try")]
pub struct TryArgs {
    /// stop by itself after this many seconds
    #[argh(option)]
    pub seconds: Option<u64>,
}

/// Show the requests that were in flight when backend servers crashed (`list`), or stop holding one back on all daemons
/// (`lift MARK`). Any daemon can be asked: they share the list of requests that are held back.
#[derive(FromArgs)]
#[argh(subcommand, name = "suspects")]
pub struct SuspectsArgs {
    /// list or lift
    #[argh(positional)]
    pub action: String,
    /// mark of the request, as shown by list and in the daemons' logs
    #[argh(positional)]
    pub mark: Option<String>,
    /// peer address of a daemon, IP:PORT
    #[argh(option)]
    pub daemon: String,
    /// file with the key that the system's processes share
    #[argh(option)]
    pub key_file: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Address and token of the control API, and the output format.
pub struct Target {
    pub api: Option<String>,
    pub token_file: Option<String>,
    pub json: bool,
}

/// Defines the arguments of a command that calls the control API: its own, and those of [`Target`].
macro_rules! api_command {
    ($(#[$meta:meta])* pub struct $name:ident { $($fields:tt)* }) => {
        $(#[$meta])*
        pub struct $name {
            $($fields)*
            /// address of the control API
            #[argh(option)]
            pub api: Option<String>,
            /// file with the operator's token
            #[argh(option)]
            pub token_file: Option<String>,
            /// print JSON
            #[argh(switch)]
            pub json: bool,
        }

        impl $name {
            pub fn target(&self) -> Target {
                let (api, token_file) = (self.api.clone(), self.token_file.clone());
                Target { api, token_file, json: self.json }
            }
        }
    };
}

api_command! {
    /// Plan a change of a service: `put NAME` or `delete NAME`.
    #[derive(FromArgs)]
    #[argh(subcommand, name = "service")]
    pub struct ServiceArgs {
        /// put or delete
        #[argh(positional)]
        pub action: String,
        /// name of the service
        #[argh(positional)]
        pub service: String,
/// most health and load requests a second to each backend server (default 5)
        #[argh(option, default = "5")]
        pub measuring_per_second: u32,
    }
}

api_command! {
    /// Plan a change of a kind of request: `put SERVICE KIND …` or `delete SERVICE KIND`.
    #[derive(FromArgs)]
    #[argh(subcommand, name = "kind")]
    pub struct KindArgs {
        /// put or delete
        #[argh(positional)]
        pub action: String,
        /// name of the service
        #[argh(positional)]
        pub service: String,
        /// name of the kind
        #[argh(positional)]
        pub kind: String,
        /// HTTP method (default GET)
        #[argh(option, default = "String::from(\"GET\")")]
        pub method: String,
        /// prefix of the paths (default /)
        #[argh(option, default = "String::from(\"/\")")]
        pub path_prefix: String,
        /// a request of this kind may run more than once
        #[argh(switch)]
        pub repeatable: bool,
        /// weight when load is shed; the lowest goes first (default 1)
        #[argh(option, default = "1")]
        pub weight: u32,
/// time limit of a request, in milliseconds (default 10000)
        #[argh(option, default = "10000")]
        pub deadline_ms: u64,
    }
}

api_command! {
    /// Plan a change of a backend server: `put SERVICE NAME --host H --address IP:PORT --slots N` or
    /// `delete SERVICE NAME`.
    #[derive(FromArgs)]
    #[argh(subcommand, name = "backend")]
    pub struct BackendArgs {
        /// put or delete
        #[argh(positional)]
        pub action: String,
        /// name of the service
        #[argh(positional)]
        pub service: String,
        /// name of the backend server
        #[argh(positional)]
        pub name: String,
        /// host that it runs on
        #[argh(option)]
        pub host: Option<String>,
        /// its address, IP:PORT
        #[argh(option)]
        pub address: Option<String>,
/// requests that it processes concurrently
        #[argh(option)]
        pub slots: Option<u32>,
    }
}

api_command! {
/// Plan to send no new requests to a host, or to send requests again: `take-out HOST` or `return HOST`.
    #[derive(FromArgs)]
    #[argh(subcommand, name = "host")]
    pub struct HostArgs {
        /// take-out or return
        #[argh(positional)]
        pub action: String,
        /// name of the host
        #[argh(positional)]
        pub host: String,
    }
}

api_command! {
/// Plan to send no new requests to a failure domain, or to send requests again: `start DOMAIN` or `end DOMAIN`; `list`
    /// shows those that are evacuated.
    #[derive(FromArgs)]
    #[argh(subcommand, name = "evacuate")]
    pub struct EvacuateArgs {
        /// start, end or list
        #[argh(positional)]
        pub action: String,
        /// name of the failure domain
        #[argh(positional)]
        pub failure_domain: Option<String>,
    }
}

api_command! {
/// Plan to roll out another version of a service, or to stop the roll-out: `start SERVICE VERSION` or
/// `stop SERVICE`; `read SERVICE` shows its state.
    #[derive(FromArgs)]
    #[argh(subcommand, name = "rollout")]
    pub struct RolloutArgs {
        /// start, stop or read
        #[argh(positional)]
        pub action: String,
        /// name of the service
        #[argh(positional)]
        pub service: String,
/// version to roll out
        #[argh(positional)]
        pub version: Option<String>,
/// seconds within which the roll-out completes or is rolled back (default 600)
        #[argh(option, default = "600")]
        pub within_s: u64,
    }
}

api_command! {
    /// Plan a change of a workspace: `put NAME`, `delete NAME`, `add-key NAME`, `revoke-key NAME`, `need-keys yes|no`;
/// `list` shows all. Keys are read from files or generated here; only their digests are sent.
    #[derive(FromArgs)]
    #[argh(subcommand, name = "workspace")]
    pub struct WorkspaceArgs {
        /// put, delete, add-key, revoke-key, need-keys or list
        #[argh(positional)]
        pub action: String,
        /// name of the workspace; yes or no for need-keys
        #[argh(positional)]
        pub name: Option<String>,
        /// rank of its requests when load is shed, 0 is the highest (default: that of their routes)
        #[argh(option)]
        pub priority: Option<u32>,
        /// requests a second that it may send over all hosts, 0 for no limit (default 0)
        #[argh(option, default = "0.0")]
        pub rate: f64,
/// requests that it may send at once above the rate (default 0)
        #[argh(option, default = "0.0")]
        pub burst: f64,
/// file with the key; without it add-key generates one and prints it once
        #[argh(option)]
        pub key_file: Option<String>,
/// digest of the key to revoke, as shown by list
        #[argh(option)]
        pub digest: Option<String>,
    }
}

api_command! {
    /// Show a plan again.
    #[derive(FromArgs)]
    #[argh(subcommand, name = "plan")]
    pub struct PlanArgs {
        /// identifier of the plan
        #[argh(positional)]
        pub plan: String,
    }
}

api_command! {
    /// Confirm a plan; only this changes anything.
    #[derive(FromArgs)]
    #[argh(subcommand, name = "confirm")]
    pub struct ConfirmArgs {
        /// identifier of the plan
        #[argh(positional)]
        pub plan: String,
    }
}

api_command! {
    /// Show the accepted configuration.
    #[derive(FromArgs)]
    #[argh(subcommand, name = "config")]
    pub struct ConfigArgs {
    }
}

api_command! {
/// Show the leader, the revision that each daemon holds, and what needs an operator's attention.
    #[derive(FromArgs)]
    #[argh(subcommand, name = "status")]
    pub struct StatusArgs {
    }
}
