//! The command `suspects`. It calls a daemon, since control holds no state of single requests.

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

/// Largest answer in bytes; a full list of 1,024 requests fits.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// Time limit of a call, connecting included.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the command.
///
/// # Errors
///
/// Fails when an argument is invalid, or the daemon does not answer or refuses the call.
pub async fn run(args: &SuspectsArgs) -> Result<()> {
    match args.action.as_str() {
        "list" => {
            let reply: SuspectList = call(args, Op::SuspectList, &()).await?;
            show(args, &reply, print::suspects)
        }
        "lift" => {
            let reply: LiftReply = call(args, Op::SuspectLift, &mark(args)?).await?;
            show(args, &reply, print::lifted)
        }
        other => Err(commands::unknown_action(other, "list or lift")),
    }
}

fn mark(args: &SuspectsArgs) -> Result<String> {
    let mark = commands::required(&args.mark, "MARK", "the mark of a request, as `list` shows it")?;
    match Fingerprint::read(&mark) {
        Some(_) => Ok(mark),
        None => Err(errors::usage(
            format!("'{mark}' is not the mark of a request"),
            "give the 16 hexadecimal digits that `list` shows",
        )),
    }
}

async fn call<T: DeserializeOwned>(
    args: &SuspectsArgs,
    op: Op,
    value: &impl Serialize,
) -> Result<T> {
    let key = args.key_file.as_deref().map(Secret::read).transpose()?;
    let no_answer = || Error::NoDaemon { address: args.daemon.clone() };
    let bytes = serde_json::to_vec(value).unwrap_or_default();
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
        match body::read_start(res.into_body(), MAX_ANSWER_BYTES).await {
            Ok(Start::Whole(bytes)) => Some((status, bytes)),
            _ => None,
        }
    };
    let answered = tokio::time::timeout(TIMEOUT, exchange).await.ok().flatten();
    let (status, bytes) = answered.ok_or_else(no_answer)?;
    if status == StatusCode::UNAUTHORIZED {
        let (error, remedy) =
            ("the daemon rejects the key", "give the file with the shared key in --key-file");
        return Err(Error::Refused { error: error.into(), remedy: remedy.into() });
    }
    serde_json::from_slice(&bytes).map_err(|_| no_answer())
}

fn show<T: Serialize>(args: &SuspectsArgs, reply: &T, format: fn(&T) -> String) -> Result<()> {
    match args.json {
        true => println!("{}", serde_json::to_string(reply).unwrap_or_default()),
        false => print!("{}", format(reply)),
    }
    Ok(())
}
