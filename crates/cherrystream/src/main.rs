//! cherrystream: a load balancer for servers whose load changes within milliseconds.

#![forbid(unsafe_code)]

mod api_client;
mod cli;
mod commands;
mod errors;
mod print;
mod process;
mod replica;
mod sample;
mod signals;
mod site;
mod suspects;
mod workspace;

use cli::Command;
use std::process::ExitCode;

/// Exit code for invalid settings or arguments.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let args: cli::Args = argh::from_env();
    let result = match args.command {
        Command::Run(args) => process::run(&args.settings),
        Command::Check(args) => process::check(&args.settings, args.json),
        Command::Try(args) => sample::run(&args),
        other => commands::run(&other),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("cherrystream: {e}");
            ExitCode::from(if e.is_usage() { EXIT_USAGE } else { 1 })
        }
    }
}
