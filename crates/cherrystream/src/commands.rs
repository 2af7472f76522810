//! Commands that call the control API.

use crate::api_client::ApiClient;
use crate::cli::{
    BackendArgs, Command, EvacuateArgs, HostArgs, KindArgs, RolloutArgs, ServiceArgs, Target,
};
use crate::errors::{self, Result};
use crate::print;
use crate::suspects;
use crate::workspace;
use cherrystream_schema::messages::{ConfigReply, ConfirmReply, Intent, PlanReply, StatusReply};
use serde::Serialize;
use std::time::{Duration, Instant};

/// Time for which a confirmation is repeated while its outcome is unknown. Covers an election.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause before a confirmation is repeated.
const RESEND_PAUSE: Duration = Duration::from_millis(250);

/// Runs a command.
///
/// # Errors
///
/// Fails when an argument is invalid, or the API does not answer or refuses the call.
pub fn run(command: &Command) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(errors::setup("start the runtime"))?.block_on(run_async(command))
}

async fn run_async(command: &Command) -> Result<()> {
    match command {
        Command::Service(args) => plan(&args.target(), service(args)?).await,
        Command::Kind(args) => plan(&args.target(), kind(args)?).await,
        Command::Backend(args) => plan(&args.target(), backend(args)?).await,
        Command::Host(args) => plan(&args.target(), host(args)?).await,
        Command::Evacuate(args) if args.action == "list" => {
            let target = args.target();
            let reply: ConfigReply = ApiClient::try_new(&target)?.get("/v1/config").await?;
            show(&target, &reply, print::evacuations)
        }
        Command::Evacuate(args) => plan(&args.target(), evacuate(args)?).await,
        Command::Rollout(args) if args.action == "read" => {
            let target = args.target();
            let reply: ConfigReply = ApiClient::try_new(&target)?.get("/v1/config").await?;
            show(&target, &only_rollout(reply, &args.service)?, print::rollouts)
        }
        Command::Rollout(args) => plan(&args.target(), rollout(args)?).await,
        Command::Workspace(args) => workspace::run(args).await,
        Command::Plan(args) => {
            let target = args.target();
            let path = format!("/v1/plans/{}", args.plan);
            let reply: PlanReply = ApiClient::try_new(&target)?.get(&path).await?;
            show(&target, &reply, print::plan)
        }
        Command::Confirm(args) => {
            let target = args.target();
            let reply = confirm(&ApiClient::try_new(&target)?, &args.plan).await?;
            show(&target, &reply, print::confirmed)
        }
        Command::Config(args) => {
            let target = args.target();
            let reply: ConfigReply = ApiClient::try_new(&target)?.get("/v1/config").await?;
            show(&target, &reply, print::config)
        }
        Command::Status(args) => {
            let target = args.target();
            let reply: StatusReply = ApiClient::try_new(&target)?.get("/v1/status").await?;
            show(&target, &reply, print::status)
        }
        Command::Suspects(args) => suspects::run(args).await,
        Command::Run(_) | Command::Check(_) | Command::Try(_) => Ok(()),
    }
}

/// Confirms a plan. Repeats the call while its outcome is unknown: a plan is accepted once.
async fn confirm(client: &ApiClient, plan: &str) -> Result<ConfirmReply> {
    let path = format!("/v1/plans/{plan}/confirm");
    let started = Instant::now();
    loop {
        match client.post(&path, &()).await {
            Err(e) if e.is_unresolved() && started.elapsed() < CONFIRM_TIMEOUT => {
                tokio::time::sleep(RESEND_PAUSE).await;
            }
            reply => return reply,
        }
    }
}

/// Submits an intent and prints the plan that it leads to.
pub(crate) async fn plan(target: &Target, intent: Intent) -> Result<()> {
    let reply = submit(target, &intent).await?;
    show(target, &reply, print::plan)
}

/// Submits an intent and returns the plan that it leads to.
pub(crate) async fn submit(target: &Target, intent: &Intent) -> Result<PlanReply> {
    ApiClient::try_new(target)?.post("/v1/intents", intent).await
}

/// Prints a reply as JSON or as text.
pub(crate) fn show<T: Serialize>(
    target: &Target,
    reply: &T,
    format: fn(&T) -> String,
) -> Result<()> {
    match target.json {
        true => println!("{}", serde_json::to_string(reply).unwrap_or_default()),
        false => print!("{}", format(reply)),
    }
    Ok(())
}

fn service(args: &ServiceArgs) -> Result<Intent> {
    let service = args.service.clone();
    match args.action.as_str() {
        "put" => {
            Ok(Intent::PutService { service, measuring_per_second: args.measuring_per_second })
        }
        "delete" => Ok(Intent::DeleteService { service }),
        other => Err(unknown_action(other, "put or delete")),
    }
}

fn kind(args: &KindArgs) -> Result<Intent> {
    let (service, kind) = (args.service.clone(), args.kind.clone());
    match args.action.as_str() {
        "put" => Ok(Intent::PutKind {
            service,
            kind,
            method: args.method.clone(),
            path_prefix: args.path_prefix.clone(),
            repeatable: args.repeatable,
            weight: args.weight,
            deadline_ms: args.deadline_ms,
        }),
        "delete" => Ok(Intent::DeleteKind { service, kind }),
        other => Err(unknown_action(other, "put or delete")),
    }
}

fn backend(args: &BackendArgs) -> Result<Intent> {
    let (service, name) = (args.service.clone(), args.name.clone());
    match args.action.as_str() {
        "put" => Ok(Intent::PutBackendServer {
            service,
            name,
            host: required(&args.host, "--host", "the host that it runs on")?,
            address: required(&args.address, "--address", "IP:PORT")?,
            slots: required(
                &args.slots,
                "--slots",
                "the number of requests that it processes concurrently",
            )?,
        }),
        "delete" => Ok(Intent::DeleteBackendServer { service, name }),
        other => Err(unknown_action(other, "put or delete")),
    }
}

fn host(args: &HostArgs) -> Result<Intent> {
    let host = args.host.clone();
    match args.action.as_str() {
        "take-out" => Ok(Intent::TakeOutHost { host }),
        "return" => Ok(Intent::ReturnHost { host }),
        other => Err(unknown_action(other, "take-out or return")),
    }
}

fn evacuate(args: &EvacuateArgs) -> Result<Intent> {
    let failure_domain =
        || required(&args.failure_domain, "DOMAIN", "the name of a failure domain");
    match args.action.as_str() {
        "start" => Ok(Intent::Evacuate { failure_domain: failure_domain()? }),
        "end" => Ok(Intent::EndEvacuation { failure_domain: failure_domain()? }),
        other => Err(unknown_action(other, "start, end or list")),
    }
}

fn rollout(args: &RolloutArgs) -> Result<Intent> {
    let service = args.service.clone();
    match args.action.as_str() {
        "start" => Ok(Intent::StartRollout {
            service,
            version: required(&args.version, "VERSION", "the version to roll out")?,
            within_ms: args.within_s.saturating_mul(1_000),
            // Control sets the start time on confirmation.
            at_ms: 0,
        }),
        "stop" => Ok(Intent::StopRollout { service }),
        other => Err(unknown_action(other, "start, stop or read")),
    }
}

/// Returns the configuration reduced to the roll-outs of one service.
fn only_rollout(mut reply: ConfigReply, service: &str) -> Result<ConfigReply> {
    reply.config.rollouts.retain(|name, _| name == service);
    match reply.config.rollouts.is_empty() {
        true => Err(errors::usage(
            format!("service '{service}' has had no roll-out"),
            "start one with `rollout start SERVICE VERSION`, or correct the name",
        )),
        false => Ok(reply),
    }
}

/// Returns the value of an argument, or an error that asks for it.
pub(crate) fn required<T: Clone>(value: &Option<T>, option: &str, meaning: &str) -> Result<T> {
    let missing = || errors::usage(format!("{option} is missing"), format!("give {meaning}"));
    value.clone().ok_or_else(missing)
}

/// Returns the error for an action that the command does not have.
pub(crate) fn unknown_action(action: &str, known: &str) -> errors::Error {
    errors::usage(format!("there is no action '{action}'"), format!("use {known}"))
}
