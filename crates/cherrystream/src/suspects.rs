//! The command `suspects`. It asks a daemon: control knows nothing of single requests.

use crate::cli::SuspectsArgs;
use crate::commands;
use crate::errors::{self, Error, Result};
use crate::print;
use cherrystream_core::suspects::Fingerprint;
use cherrystream_daemon::headers::{self, Op};
use cherrystream_daemon::peer::Peers;
use cherrystream_net::body::{self, Start};
use cherrystream_net::key::Secret;
use cherrystream_schema::messages::{LiftReply, SuspectList};
use http::{Request, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Largest answer: a full list of 1,024 requests.
const ANSWER_BYTES: usize = 1 << 20;
/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the command.
///
/// # Errors
///
/// Fails when an argument cannot be used, or the daemon does not answer or refuses.
pub async fn run(args: &SuspectsArgs) -> Result<()> {
    match args.action.as_str() {
        "list" => {
            let reply: SuspectList = ask(args, Op::SuspectList, &()).await?;
            show(args, &reply, print::suspects)
        }
        "lift" => {
            let reply: LiftReply = ask(args, Op::SuspectLift, &mark(args)?).await?;
            show(args, &reply, print::lifted)
        }
        other => Err(commands::unknown_action(other, "list or lift")),
    }
}

fn mark(args: &SuspectsArgs) -> Result<String> {
    let mark = commands::needed(&args.mark, "MARK", "the mark of a request, as `list` shows it")?;
    match Fingerprint::read(&mark) {
        Some(_) => Ok(mark),
        None => Err(errors::usage(
            format!("'{mark}' is no mark of a request"),
            "give the 16 digits that `list` shows",
        )),
    }
}

async fn ask<T: DeserializeOwned>(args: &SuspectsArgs, op: Op, what: &impl Serialize) -> Result<T> {
    let key = args.key_file.as_deref().map(Secret::read).transpose()?;
    let no_answer = || Error::NoDaemon { address: args.daemon.clone() };
    let bytes = serde_json::to_vec(what).unwrap_or_default();
    let req = Request::post(format!("http://{}/", args.daemon)).body(body::full(bytes));
    let mut req = req.map_err(|_| no_answer())?;
    headers::set_static(req.headers_mut(), headers::OP, op.as_str());
    if let Some(key) = &key {
        headers::set(req.headers_mut(), headers::KEY, key.expose());
    }
    let peers = Peers::new(Default::default());
    let exchange = async {
        let res = peers.send(&args.daemon, req).await.ok()?;
        let status = res.status();
        match body::read_start(res.into_body(), ANSWER_BYTES).await {
            Ok(Start::Whole(bytes)) => Some((status, bytes)),
            _ => None,
        }
    };
    let answered = tokio::time::timeout(TIMEOUT, exchange).await.ok().flatten();
    let (status, bytes) = answered.ok_or_else(no_answer)?;
    if status == StatusCode::UNAUTHORIZED {
        let (error, remedy) =
            ("the daemon does not take this key", "give the shared one in --key-file");
        return Err(Error::Refused { error: error.into(), remedy: remedy.into() });
    }
    serde_json::from_slice(&bytes).map_err(|_| no_answer())
}

fn show<T: Serialize>(args: &SuspectsArgs, reply: &T, text: fn(&T) -> String) -> Result<()> {
    match args.json {
        true => println!("{}", serde_json::to_string(reply).unwrap_or_default()),
        false => print!("{}", text(reply)),
    }
    Ok(())
}
