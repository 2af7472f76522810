//! Runs a stand-in backend server, a stand-in for the platform's list of hosts, or a load.

use argh::FromArgs;
use cherrystream_net::errors::Error;
use cherrystream_net::serve::{self, Phases};
use cherrystream_standin::backend::{Backend, Options};
use cherrystream_standin::load;
use cherrystream_standin::platform::Platform;
use cherrystream_standin::profile::{self, Profile};
use cherrystream_standin::record::Record;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Stand-ins for backend servers and the platform's list of hosts, and a load generator.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Backend(BackendArgs),
    Platform(PlatformArgs),
    Load(LoadArgs),
}

/// Run a stand-in backend server.
#[derive(FromArgs)]
#[argh(subcommand, name = "backend")]
struct BackendArgs {
    /// address to listen on; port 0 takes any free port, which is printed
    #[argh(option)]
    address: String,
    /// name of the server, returned in each answer
    #[argh(option, default = "String::from(\"backend\")")]
    name: String,
    /// requests processed concurrently
    #[argh(option, default = "12")]
    slots: usize,
    /// mean service time of a request, in microseconds
    #[argh(option, default = "2000")]
    work_us: u64,
    /// round-trip time between failure domains, in microseconds
    #[argh(option, default = "0")]
    distance_us: u64,
    /// file that a line is appended to for each request
    #[argh(option)]
    record: Option<PathBuf>,
    /// path prefix of requests that crash this process shortly after their start
    #[argh(option)]
    ends_on: Option<String>,
    /// requests a second that answers state as the limit of the server
    #[argh(option)]
    limit: Option<String>,
    /// state in each answer that the server is leaving
    #[argh(switch)]
    leaving: bool,
}

/// Run a stand-in for the platform's list of hosts; PUT sets the list.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArgs {
    /// address to listen on; port 0 takes any free port, which is printed
    #[argh(option)]
    address: String,
}

/// Generate a load and print a report.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
struct LoadArgs {
    /// address to send to; may be given more than once
    #[argh(option)]
    target: Vec<String>,
    /// requests a second
    #[argh(option, default = "100.0")]
    rate: f64,
    /// seconds to send for
    #[argh(option, default = "5.0")]
    seconds: f64,
    /// prairie-hearth, hotel-linen, or a YAML file of kinds
    #[argh(option, default = "String::from(\"prairie-hearth\")")]
    profile: String,
    /// round-trip time between caller and target, in microseconds
    #[argh(option, default = "0")]
    distance_us: u64,
    /// accept answers without cherrystream's headers, as backend servers send them
    #[argh(switch)]
    direct: bool,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// seed of the random send times and kinds
    #[argh(option, default = "1")]
    seed: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = match args.command {
        Command::Backend(args) => run_backend(args).await,
        Command::Platform(args) => run_platform(args).await,
        Command::Load(args) => run_load(args).await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("standin: {e}");
            ExitCode::from(2)
        }
    }
}

async fn run_backend(args: BackendArgs) -> Result<(), String> {
    let listener = listen(&args.address).await?;
    let record = args.record.as_deref().map(Record::try_new).transpose();
    let record = record.map_err(|e| format!("cannot open the record: {e}"))?;
    let opts = Options {
        name: args.name,
        slots: args.slots,
        work: Duration::from_micros(args.work_us),
        distance: Duration::from_micros(args.distance_us),
        ends_on: args.ends_on,
        limit: args.limit,
        leaving: args.leaving,
        ..Options::default()
    };
    Backend::new(opts, record).serve(listener, Phases::default()).await;
    Ok(())
}

async fn run_platform(args: PlatformArgs) -> Result<(), String> {
    let listener = listen(&args.address).await?;
    Arc::new(Platform::default()).serve(listener, Phases::default()).await;
    Ok(())
}

async fn run_load(args: LoadArgs) -> Result<(), String> {
    if args.target.is_empty() {
        return Err("no --target; give the address of a daemon".into());
    }
    let profile = read_profile(&args.profile)?;
    let opts = load::Options {
        targets: args.target,
        rate: args.rate,
        duration: Duration::from_secs_f64(args.seconds),
        distance: Duration::from_micros(args.distance_us),
        direct: args.direct,
        seed: args.seed,
    };
    let report = load::run(&opts, &profile).await;
    match args.json {
        true => println!("{}", serde_json::to_string(&report).unwrap_or_default()),
        false => print!("{}", report.table()),
    }
    Ok(())
}

fn read_profile(name: &str) -> Result<Profile, String> {
    match name {
        "prairie-hearth" => Ok(profile::prairie_hearth()),
        "hotel-linen" => Ok(profile::hotel_linen()),
        path => {
            let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
            serde_yaml_ng::from_str(&text).map_err(|e| format!("{path}: {e}"))
        }
    }
}

/// Listens and prints the address, so that a port can be assigned by the system.
async fn listen(address: &str) -> Result<TcpListener, String> {
    let listener = serve::listen(address).await.map_err(|e: Error| e.to_string())?;
    let local = listener.local_addr().map_err(|e| e.to_string())?;
    println!("listening on {local}");
    Ok(listener)
}
