//! Interfaces to callers, backend servers and operators.
//!
//! An interface translates between HTTP messages and typed values; decisions are made on the typed
//! values only. The native interface is one implementation, that of a platform another.

use crate::body::Body;
use cherrystream_core::backpressure::Signals;
use cherrystream_core::instances::InstanceReport;
use cherrystream_core::reasons::Reason;
use cherrystream_core::workspaces::ApiKey;
use cherrystream_schema::messages::{Intent, RolloutStage, RouteOrder};
use http::{HeaderMap, HeaderName, Response, request, response};
use std::time::Duration;

/// Information that a caller sends with its request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// Identifier of the request; generated if the caller sends none.
    pub id: Option<String>,
    /// Remaining time until the deadline of the caller.
    pub time_left: Option<Duration>,
    /// API key of a workspace.
    pub key: Option<ApiKey>,
}

/// Information that a backend server receives with a request.
#[derive(Clone, Copy, Debug)]
pub struct SendHead<'a> {
    /// Identifier of the request.
    pub id: &'a str,
    /// Instance that the request is meant for, if instances are registered.
    pub instance: Option<&'a str>,
    /// Remaining time until the deadline.
    pub time_left: Duration,
    /// Workspace of the request, if workspaces are configured.
    pub workspace: Option<&'a str>,
}

/// Whether a backend server executed a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// The request was executed.
    Ran,
    /// The request was not executed and will not be.
    NotRun,
    /// The request was meant for another instance and was not executed.
    OtherInstance,
    /// The response belongs to another request.
    WrongRequest,
}

/// Load report of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests in execution.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that it can execute concurrently.
    pub slots: u32,
    /// Current service time in percent of the typical one.
    pub slowness: u32,
}

/// A report of an instance about its state.
#[derive(Clone, Debug, PartialEq)]
pub struct Reported {
    /// The reported state.
    pub report: InstanceReport,
    /// Remaining time for which the instance is cold, if reported.
    pub cold_for: Option<Duration>,
}

impl Reported {
    /// Checks the values that every interface decodes alike.
    ///
    /// # Errors
    ///
    /// Fails if the identifier is empty, the address is not `HOST:PORT`, or there are no slots.
    pub fn validate(self, remedy: &str) -> Result<Reported, ReportError> {
        let what = match &self.report {
            InstanceReport::Running(i) if i.id.is_empty() => "the id is empty".into(),
            InstanceReport::Running(i) if !is_address(&i.address) => {
                format!("the address {:?} is not HOST:PORT", i.address)
            }
            InstanceReport::Running(i) if i.slots == 0 => "slots is 0".into(),
            InstanceReport::Running(_) | InstanceReport::Stopping { .. } => return Ok(self),
        };
        let fault = Fault { what, remedy: remedy.into() };
        Err(ReportError { kind: ReportErrorKind::FieldMistyped, fault })
    }
}

fn is_address(address: &str) -> bool {
    let parts = address.rsplit_once(':');
    parts.is_some_and(|(host, port)| !host.is_empty() && port.parse::<u16>().is_ok())
}

impl From<InstanceReport> for Reported {
    fn from(report: InstanceReport) -> Reported {
        Reported { report, cold_for: None }
    }
}

/// Content of a health response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthResponse {
    /// Instance that sent the response, if reported.
    pub instance: Option<String>,
    /// Remaining time for which the instance is cold, if reported.
    pub cold_for: Option<Duration>,
}

/// Content of the response to a request that was refused or has failed.
#[derive(Clone, Copy, Debug)]
pub struct RefusalHead<'a> {
    /// Reason of the refusal or failure.
    pub reason: Reason,
    /// Delay after which the caller may retry.
    pub retry_after: Duration,
    /// Identifier that the caller gave the request.
    pub id: Option<&'a str>,
}

/// An error in a message, and its remedy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Description of the error.
    pub what: String,
    /// Instruction for correcting it.
    pub remedy: String,
}

/// Kind of an invalid report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReportErrorKind {
    /// The path or method is not that of a report.
    UnknownCall,
    /// The body cannot be decoded, or is too large.
    Unreadable,
    /// A required field is missing.
    FieldMissing,
    /// A required field has the wrong type.
    FieldMistyped,
    /// The reported state is unknown.
    UnknownState,
    /// The service is not configured.
    UnknownService,
    /// The running instance has started later.
    StartedEarlier,
}

impl ReportErrorKind {
    /// Returns the name used in log lines and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            ReportErrorKind::UnknownCall => "unknown-call",
            ReportErrorKind::Unreadable => "unreadable",
            ReportErrorKind::FieldMissing => "field-missing",
            ReportErrorKind::FieldMistyped => "field-mistyped",
            ReportErrorKind::UnknownState => "unknown-state",
            ReportErrorKind::UnknownService => "unknown-service",
            ReportErrorKind::StartedEarlier => "started-earlier",
        }
    }
}

/// A rejected report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportError {
    /// Why the report is rejected.
    pub kind: ReportErrorKind,
    /// Error for the response to its sender.
    pub fault: Fault,
}

/// Response to a report of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportAnswer {
    /// The report is accepted.
    Taken,
    /// The report cannot be accepted at present; the instance should retry.
    NotNow,
    /// The report is invalid.
    Bad(Fault),
}

/// The interface to callers and backend servers.
pub trait CallInterface: Send + Sync + 'static {
    /// Reads the information that a caller sends with its request.
    ///
    /// # Errors
    ///
    /// Fails with the reason if a value is invalid.
    fn read_caller(&self, head: &request::Parts) -> Result<CallerHead, Reason>;

    /// Writes the service on whose host the request originated.
    fn write_caller_service(&self, headers: &mut HeaderMap, service: &str);

    /// Removes the headers read by [`CallInterface::read_caller`] before a request is forwarded.
    fn remove_caller_head(&self, headers: &mut HeaderMap);

    /// Removes the caller's API key and any workspace header before a request is forwarded: a
    /// backend server must not receive the key, nor a workspace that the caller claims.
    fn remove_key(&self, headers: &mut HeaderMap);

    /// Writes the headers for a backend server.
    fn write_send(&self, headers: &mut HeaderMap, send: &SendHead<'_>);

    /// Returns the header that carries the identifier of a request in the request and its response.
    fn id_header(&self) -> HeaderName;

    /// Reads from a response whether the request `id` was executed.
    fn read_execution(&self, head: &response::Parts, id: &str) -> Execution;

    /// Reads the load report of a backend server, if the response contains one.
    fn read_load(&self, head: &response::Parts) -> Option<ServerLoad>;

    /// Reads the rate limit that a backend server states in a response, and whether it is leaving.
    /// The headers of both are passed on to the caller.
    fn read_signals(&self, head: &response::Parts) -> Signals;

    /// Reads a health response.
    fn read_health(&self, head: &response::Parts) -> HealthResponse;

    /// Returns whether a header of a response reaches the caller even if the response names it in
    /// `Connection`.
    fn is_end_to_end(&self, name: &HeaderName) -> bool;

    /// Removes headers of a backend server that are not meant for the caller.
    /// [`CallInterface::mark_answered`] writes those that the caller receives.
    fn remove_answer_head(&self, headers: &mut HeaderMap);

    /// Returns the response to a request that was refused or has failed.
    fn write_refusal(&self, refusal: &RefusalHead<'_>) -> Response<Body>;

    /// Writes the headers of a response from a backend server to the request `id`.
    fn mark_answered(&self, headers: &mut HeaderMap, id: &str);

    /// Returns whether a path is that of the readiness check of the daemon.
    fn is_readiness(&self, path: &str) -> bool;

    /// Reads a report of an instance.
    ///
    /// # Errors
    ///
    /// Fails if the request is not a valid report.
    fn read_report(&self, head: &request::Parts, body: &[u8]) -> Result<Reported, ReportError>;

    /// Returns the response to a report of an instance.
    fn write_report_answer(&self, answer: &ReportAnswer) -> Response<Body>;
}

/// A command of an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorCommand {
    /// Replaces the route table.
    ReplaceRoutes(Box<RouteOrder>),
    /// Reads the route table.
    ReadRoutes,
    /// Changes the configuration by an intent, without a plan.
    ApplyIntent(Intent),
    /// Starts a roll-out.
    StartRollout(RolloutStart),
    /// Reads the stage of the latest roll-out of a service.
    ReadRollout(String),
}

/// Parameters of a roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStart {
    /// Service to update.
    pub service: String,
    /// Version to roll out.
    pub version: String,
    /// Time limit for completing the roll-out or rolling it back.
    pub within: Duration,
}

/// Result of an operator command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The route table with this number is current.
    CurrentRoutes(u64),
    /// The intent is committed.
    Committed,
    /// The route table as the operator wrote it.
    Table(String),
    /// There is no route table yet.
    NoTable,
    /// The latest roll-out of the service.
    Rollout {
        /// Version that is rolled out.
        version: String,
        /// Current stage.
        stage: RolloutStage,
    },
    /// The service has had no roll-out.
    NoRollout,
    /// A conflicting operation is in progress.
    Busy(Fault),
    /// The command is invalid.
    Invalid(Fault),
    /// No quorum responded. The command may still take effect, and should be retried.
    Unavailable,
}

/// The interface to operators.
pub trait OperatorInterface: Send + Sync + 'static {
    /// Returns whether a request is an operator command of this interface.
    fn is_command(&self, head: &request::Parts) -> bool;

    /// Reads an operator command.
    ///
    /// # Errors
    ///
    /// Fails if the command is malformed.
    fn read_command(&self, head: &request::Parts, body: &[u8]) -> Result<OperatorCommand, Fault>;

    /// Returns the response with the result of a command.
    fn write_outcome(&self, outcome: &CommandOutcome) -> Response<Body>;
}
