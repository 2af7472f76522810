//! Stand-ins and scripts of the cases under `review/`.

mod backend;
mod case1;
mod case2;
mod case3;
mod http;
mod site;

use site::{Fallible, Site};
use std::path::PathBuf;
use std::process::ExitCode;

/// Result of a script: whether the rule held.
pub type Held = bool;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.first().map(String::as_str) {
        Some("backend") => match backend::run(&args[1..]) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                eprintln!("backend: {e}");
                ExitCode::from(2)
            }
        },
        Some("case") if args.len() == 5 => run_case(
            &args[1],
            PathBuf::from(&args[2]),
            PathBuf::from(&args[3]),
            PathBuf::from(&args[4]),
        ),
        _ => {
            eprintln!("review-harness case N PROGRAM RECORD FOLDER");
            ExitCode::from(2)
        }
    }
}

fn run_case(case: &str, program: PathBuf, record: PathBuf, folder: PathBuf) -> ExitCode {
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let mut site = match Site::new(program, folder) {
        Ok(site) => site,
        Err(e) => {
            eprintln!("cannot run: {e}");
            return ExitCode::from(2);
        }
    };
    let play: fn(&mut Site, bool) -> Fallible<Held> = match case {
        "1" => case1::play,
        "2" => case2::play,
        _ => case3::play,
    };
    let result = play(&mut site, trouble);
    let runs = site.finish();
    let (line, code) = match &result {
        Ok(true) => ("the rule held".to_string(), 0),
        Ok(false) => ("THE RULE WAS BROKEN".to_string(), 1),
        Err(e) => (format!("the case could not run: {e}"), 2),
    };
    site.note(line);
    let mut text = site.lines.join("\n");
    text.push_str("\n\nrun at the backend servers:\n");
    text.push_str(&runs.join("\n"));
    text.push('\n');
    if let Err(e) = std::fs::write(&record, text) {
        eprintln!("record: {e}");
    }
    ExitCode::from(code)
}

/// Returns a configuration with one route, which leads to one service.
pub fn config(version: u64, service: &str, timeout_s: f64, target_s: f64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":{{\"r-rate\":{{\"host\":\"rate.example\",\"path_prefix\":\"/quote/\",\
         \"route_type\":\"safe\",\"timeout_s\":{timeout_s},\"target_latency_s\":{target_s},\"priority\":2,\
         \"service\":\"{service}\",\"max_attempts\":2}}}},\"services\":{{\"{service}\":{{\"health_check_path\":\"/healthz\",\
         \"max_connections\":220,\"protocol\":\"h1\",\"tls\":false}},\"teller\":{{\"health_check_path\":\"/healthz\",\
         \"max_connections\":220,\"protocol\":\"h1\",\"tls\":false}}}},\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}}}"
    )
}
