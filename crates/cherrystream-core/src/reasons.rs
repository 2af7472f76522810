//! Outcomes of requests and reasons for refusals and failures, as reported to callers and metrics.

use std::fmt;

/// Whether a request ran, as far as the daemon can determine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The backend server answered.
    Answered,
    /// The request did not run on any backend server and will not.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the `Cherrystream-Outcome` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }

    /// Parses the value of the `Cherrystream-Outcome` header.
    pub fn read(text: &str) -> Option<Outcome> {
        [Outcome::Answered, Outcome::NotRun, Outcome::Unknown]
            .into_iter()
            .find(|o| o.as_str() == text)
    }
}

macro_rules! reasons {
    ($($(#[doc = $doc:literal])+ $name:ident = $text:literal, $outcome:ident, $status:literal, $elsewhere:literal;)+) => {
        /// Why a request was not answered by a backend server.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Reason {
            $($(#[doc = $doc])+ $name,)+
        }

        impl Reason {
            /// All reasons.
            pub const ALL: &'static [Reason] = &[$(Reason::$name),+];

            /// Returns the value of the `Cherrystream-Reason` header.
            pub const fn as_str(self) -> &'static str {
                match self { $(Reason::$name => $text),+ }
            }

            /// Returns the outcome that the reason implies.
            pub const fn outcome(self) -> Outcome {
                match self { $(Reason::$name => Outcome::$outcome),+ }
            }

            /// Returns the HTTP status of the response.
            pub const fn status(self) -> u16 {
                match self { $(Reason::$name => $status),+ }
            }

            /// Returns whether another backend server may accept the request.
            pub const fn try_elsewhere(self) -> bool {
                match self { $(Reason::$name => $elsewhere),+ }
            }
        }
    };
}

reasons! {
    /// The request carries no API key, or one that belongs to no workspace.
    UnknownKey = "unknown-key", NotRun, 401, false;
    /// The workspace has used up its quota.
    OverQuota = "over-quota", NotRun, 429, false;
    /// The requested service does not exist.
    NoSuchService = "no-such-service", NotRun, 404, false;
    /// No route matches the request.
    NoRoute = "no-route", NotRun, 404, false;
    /// This daemon has not received a configuration yet.
    NoConfiguration = "no-configuration", NotRun, 503, false;
    /// The request is malformed.
    BadRequest = "bad-request", NotRun, 400, false;
    /// A request that may not be repeated came without `Idempotency-Key`.
    KeyMissing = "key-missing", NotRun, 400, false;
    /// The key is older than the window for which keys are kept.
    KeyTooOld = "key-too-old", NotRun, 400, false;
    /// The key was used before with another request.
    KeyReused = "key-reused", NotRun, 422, false;
    /// The body of a request that may not be repeated is too large to be buffered.
    BodyTooLarge = "body-too-large", NotRun, 413, false;
    /// An earlier request with this key is still running.
    StillRunning = "still-running", Unknown, 409, false;
    /// An earlier request with this key ran; its answer is no longer held.
    RanBefore = "ran-before", Unknown, 409, false;
    /// It is unknown whether an earlier request with this key ran.
    EarlierUnknown = "unknown", Unknown, 409, false;
    /// The service has no backend server that accepts work.
    NoBackendServer = "no-backend-server", NotRun, 503, false;
    /// The service has no backend server in a region where the request may be served.
    RegionNotAllowed = "region-not-allowed", NotRun, 503, false;
    /// The request is suspected of crashing backend servers and is admitted only for trials.
    HeldBack = "held-back", NotRun, 503, false;
    /// The request may have crashed backend servers and must run in isolation, but another such
    /// request is running.
    RunsAlone = "runs-alone", NotRun, 503, false;
    /// All slots are in use and the queue is full.
    QueueFull = "queue-full", NotRun, 503, true;
    /// The wait for a slot would exceed the deadline.
    QueueTooLong = "queue-too-long", NotRun, 503, true;
    /// The backend server is slow or nearly full, and others have not been tried yet.
    BusyNow = "busy-now", NotRun, 503, true;
    /// The backend server is cold and its rate limit is reached.
    ServerCold = "server-cold", NotRun, 503, true;
    /// The rate limit that the backend server states is reached.
    OverServerLimit = "over-server-limit", NotRun, 503, true;
    /// Requests of higher weight displaced it from the queue.
    ShedByWeight = "shed-by-weight", NotRun, 503, true;
    /// Requests of workspaces that have used less displaced it from the queue.
    ShareUsed = "share-used", NotRun, 503, true;
    /// The backend server runs a canary version that is currently not confirmed by control or by
    /// its own answers.
    VersionInDoubt = "version-in-doubt", NotRun, 503, true;
    /// The version of the backend server was rolled back.
    VersionHeldBack = "version-held-back", NotRun, 503, true;
    /// The backend server is draining.
    Draining = "draining", NotRun, 503, true;
    /// The host is leaving.
    HostLeaving = "host-leaving", NotRun, 503, true;
    /// The backend server does not accept connections.
    BackendServerDown = "backend-server-down", NotRun, 503, true;
    /// The backend server is not on this host.
    NotHere = "not-here", NotRun, 503, true;
    /// The backend server answered that it did not run the request.
    BackendServerRefused = "backend-server-refused", NotRun, 503, true;
    /// Another instance uses the address of the backend server.
    OtherInstance = "other-instance", NotRun, 503, true;
    /// No backend server had a free slot within the time that a request may wait.
    WaitTooLong = "wait-too-long", NotRun, 503, false;
    /// The inbound was restarted since the attempt was recorded.
    WrongIncarnation = "wrong-incarnation", NotRun, 503, true;
    /// The attempt was fenced before it arrived.
    Fenced = "fenced", NotRun, 503, true;
    /// The same attempt arrived a second time.
    AttemptRepeated = "attempt-repeated", Unknown, 409, false;
    /// The daemon of the chosen host is unreachable.
    PeerUnreachable = "peer-unreachable", NotRun, 503, true;
    /// The ledger has no quorum.
    LedgerUnavailable = "ledger-unavailable", NotRun, 503, false;
    /// The ledger holds the largest allowed number of keys.
    LedgerFull = "ledger-full", NotRun, 503, false;
    /// The deadline passed before the request was sent to a backend server.
    DeadlineBeforeStart = "deadline-before-start", NotRun, 503, false;
    /// The deadline passed after the request was sent to a backend server.
    DeadlinePassed = "deadline-passed", Unknown, 504, false;
    /// The connection to the backend server broke after the request was sent.
    BackendServerBroke = "backend-server-broke", Unknown, 502, false;
    /// Connections to the backend server went silent after the request was sent, while new ones
    /// work.
    BackendServerSilent = "backend-server-silent", Unknown, 502, false;
    /// The connection to the other daemon broke after the request was sent.
    PeerBroke = "peer-broke", Unknown, 502, false;
    /// The connection to the other daemon went silent after the request was sent, while new
    /// connections work.
    PeerSilent = "peer-silent", Unknown, 502, false;
    /// The daemon of this host ended before the backend server answered.
    HostEnded = "host-ended", Unknown, 502, false;
    /// The length of the answer of the backend server is ambiguous, or its status is invalid.
    MalformedAnswer = "malformed-answer", Unknown, 502, false;
    /// The answer carries the identifier of another call.
    WrongCall = "wrong-call", Unknown, 502, false;
}

impl Reason {
    /// Returns whether the request may have reached a backend server, so that a retry
    /// counts towards the budget.
    pub const fn reached_server(self) -> bool {
        matches!(self.outcome(), Outcome::Unknown)
            || matches!(self, Reason::BackendServerRefused | Reason::OtherInstance)
    }

    /// Parses the value of the `Cherrystream-Reason` header.
    pub fn read(text: &str) -> Option<Reason> {
        Reason::ALL.iter().copied().find(|r| r.as_str() == text)
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
