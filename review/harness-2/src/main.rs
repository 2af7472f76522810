//! The scripts of the cases. Usage, at the root of the repository: `review-cases-2 CASE`.
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod backend;
mod case_beat;
mod case_extra;
mod case_framing;
mod client;
mod http;
mod record;
mod site;

use case_beat::Beat;
use record::Record;
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Result of a case: whether the rule was broken, or why the case couldn't run.
pub type Outcome = Result<bool, String>;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let folder = std::env::args().nth(2).unwrap_or_else(|| format!("review/{case}"));
    let troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    if !site::is_built() {
        eprintln!("the programs are not built");
        exit(2);
    }
    let Ok(record) = Record::create(&format!("{folder}/record.txt")) else { exit(2) };
    let record = Arc::new(record);
    record.line(&format!("case {case}, with the disruption: {troubled}"));
    // The processes of the system are children: killing this process's group isn't needed, as the
    // site ends them whenever the case returns. This is the last resort.
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(115));
        eprintln!("the case took too long");
        exit(2);
    });
    let outcome = match case.as_str() {
        "4" => case_extra::run(record.clone(), troubled),
        "5" => case_framing::run(record.clone(), troubled),
        "6" => case_beat::run(record.clone(), troubled, Beat::OtherWriter),
        "7" => case_beat::run(record.clone(), troubled, Beat::EarlierRun),
        _ => Err(format!("there is no case {case:?}")),
    };
    match outcome {
        Ok(broken) => {
            record.line(if broken { "the rule was BROKEN" } else { "the rule held" });
            println!("{}", if broken { "broken" } else { "held" });
            exit(i32::from(broken));
        }
        Err(why) => {
            record.line(&format!("the case couldn't run: {why}"));
            println!("couldn't run: {why}");
            exit(2);
        }
    }
}
