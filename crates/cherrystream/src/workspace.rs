//! The command `workspace`. Keys are never sent to control, only their digests.

use crate::api_client::ApiClient;
use crate::cli::{Target, WorkspaceArgs};
use crate::commands;
use crate::errors::{self, Error, Result};
use crate::print;
use cherrystream_core::workspaces;
use cherrystream_schema::messages::{ConfigReply, Intent, PlanReply};
use serde::Serialize;
use std::fs;

/// Shortest key accepted from a file: shorter ones can be guessed from their digest.
const MIN_KEY_BYTES: usize = 20;
/// Longest key accepted from a file: it has to fit into the head of a request with other headers.
const MAX_KEY_BYTES: usize = 255;
/// Thousandths in one request.
const MILLI: f64 = 1_000.0;
/// Highest rate in requests per second, and highest burst in requests.
const MAX_RATE: f64 = 1e9;
/// Actions of the command, for error messages.
const ACTIONS: &str = "put, delete, add-key, revoke-key, need-keys or list";

/// Runs the command.
///
/// # Errors
///
/// Fails when an argument is invalid, or the API does not answer or refuses the call.
pub async fn run(args: &WorkspaceArgs) -> Result<()> {
    let target = args.target();
    match args.action.as_str() {
        "list" => {
            let reply: ConfigReply = ApiClient::try_new(&target)?.get("/v1/config").await?;
            commands::show(&target, &reply, print::workspaces)
        }
        "add-key" if args.key_file.is_none() => add_new_key(&target, name(args)?).await,
        _ => commands::plan(&target, intent(args)?).await,
    }
}

fn intent(args: &WorkspaceArgs) -> Result<Intent> {
    match args.action.as_str() {
        "put" => Ok(Intent::PutWorkspace {
            workspace: name(args)?,
            priority: args.priority,
            rate_milli_per_s: milli("--rate", args.rate)?,
            burst_milli: milli("--burst", args.burst)?,
        }),
        "delete" => Ok(Intent::DeleteWorkspace { workspace: name(args)? }),
        "add-key" => Ok(Intent::AddKey { workspace: name(args)?, key_digest: digest(args)? }),
        "revoke-key" => Ok(Intent::RevokeKey { workspace: name(args)?, key_digest: digest(args)? }),
        "need-keys" => Ok(Intent::NeedKeys { needed: yes_or_no(args)? }),
        other => Err(commands::unknown_action(other, ACTIONS)),
    }
}

fn name(args: &WorkspaceArgs) -> Result<String> {
    commands::required(&args.name, "NAME", "the name of a workspace")
}

fn yes_or_no(args: &WorkspaceArgs) -> Result<bool> {
    match args.name.as_deref() {
        Some("yes") => Ok(true),
        Some("no") => Ok(false),
        _ => Err(errors::usage("need-keys takes yes or no", "give one of them")),
    }
}

fn milli(option: &str, requests: f64) -> Result<u64> {
    if (0.0..=MAX_RATE).contains(&requests) {
        return Ok((requests * MILLI).round() as u64);
    }
    let remedy = format!("use a number from 0 to {MAX_RATE}");
    Err(errors::usage(format!("{option} {requests} is out of range"), remedy))
}

fn digest(args: &WorkspaceArgs) -> Result<String> {
    match (&args.key_file, &args.digest) {
        (Some(file), None) => Ok(workspaces::digest(&read_key(file)?)),
        (None, Some(digest)) => Ok(digest.clone()),
        _ => {
            let remedy = "give --key-file FILE, or --digest DIGEST as `workspace list` shows it";
            Err(errors::usage("the action takes exactly one key", remedy))
        }
    }
}

fn read_key(file: &str) -> Result<String> {
    let text =
        fs::read_to_string(file).map_err(|source| Error::File { file: file.into(), source })?;
    let key = text.trim();
    let fits = (MIN_KEY_BYTES..=MAX_KEY_BYTES).contains(&key.len());
    if fits && key.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Ok(key.into());
    }
    let remedy = format!(
        "use {MIN_KEY_BYTES} to {MAX_KEY_BYTES} visible characters without spaces, or let `workspace add-key` generate one"
    );
    Err(errors::usage(format!("the key in {file} cannot be used"), remedy))
}

/// A plan with the key that was generated for it.
#[derive(Serialize)]
struct NewKey {
    #[serde(flatten)]
    plan: PlanReply,
    key: String,
}

async fn add_new_key(target: &Target, workspace: String) -> Result<()> {
    let key = workspaces::new_key(rand::random());
    let intent = Intent::AddKey { workspace, key_digest: workspaces::digest(&key) };
    let plan = commands::submit(target, &intent).await?;
    commands::show(target, &NewKey { plan, key }, |new: &NewKey| {
        let plan = print::plan(&new.plan);
        format!(
            "{plan}The key, which is shown this once and works once the plan is accepted:\n  {}\n",
            new.key
        )
    })
}
