//! Benchmarks of cherrystream: added latency, behaviour under faults, quotas and resource use.
//! Not shipped.

#![forbid(unsafe_code)]

mod added_time;
mod claims;
mod group;
mod light;
mod plot;
mod process;
mod quotas;
mod rig;
mod scenarios;
mod slopes;
mod spread;
mod stats;
mod tables;
mod transfers;

use argh::FromArgs;
use std::process::ExitCode;

/// Measure cherrystream; docs/MEASUREMENTS.md and docs/CAPACITY.md list the runs.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    AddedTime(added_time::Args),
    Quotas(quotas::Args),
    Scenarios(scenarios::Args),
    Slopes(slopes::Args),
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("bench: cannot start the runtime: {e}");
            return ExitCode::FAILURE;
        }
    };
    let done = runtime.block_on(async {
        match args.command {
            Command::AddedTime(args) => added_time::run(&args).await,
            Command::Quotas(args) => {
                quotas::run(&args);
                Ok(())
            }
            Command::Scenarios(args) => scenarios::run(&args).await,
            Command::Slopes(args) => slopes::run(&args).await,
        }
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("bench: {e}");
            ExitCode::FAILURE
        }
    }
}
