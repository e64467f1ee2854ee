//! Numbered result codes, used in HTTP responses, logs, the command line and `docs/RESULT-CODES.md`.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Declares the codes with number, HTTP status and meaning; a test compares the docs with them.
macro_rules! result_codes {
    ($($variant:ident = $number:literal, $status:literal, $meaning:literal;)*) => {
        /// The outcome of a request or a settings change.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
        pub enum ResultCode {
            $(#[doc = $meaning] $variant = $number,)*
        }

        impl ResultCode {
            /// All codes in numeric order.
            pub const ALL: &[ResultCode] = &[$(ResultCode::$variant,)*];

            /// Returns the number, which is stable across releases.
            pub fn number(self) -> u16 {
                self as u16
            }

            /// Returns a one-sentence description.
            pub fn meaning(self) -> &'static str {
                match self {
                    $(ResultCode::$variant => $meaning,)*
                }
            }

            /// Returns the HTTP status of responses with this code.
            pub fn http_status(self) -> u16 {
                match self {
                    $(ResultCode::$variant => $status,)*
                }
            }

            /// Looks up a code by its number.
            pub fn from_number(number: u16) -> Option<ResultCode> {
                match number {
                    $($number => Some(ResultCode::$variant),)*
                    _ => None,
                }
            }
        }
    };
}

result_codes! {
    Done = 1000, 200, "The request was carried out.";
    SettingsAccepted = 1001, 200, "The settings change is accepted and folded.";
    UnknownKey = 2001, 400, "A settings key is not in the schema.";
    WrongType = 2002, 400, "A settings value is not of the type its key asks for.";
    OutOfRange = 2003, 400, "A settings value is outside the range of its key.";
    ParentCycle = 2004, 400, "A node is its own ancestor.";
    MissingParent = 2005, 400, "A node names a parent that does not exist.";
    MissingNode = 2006, 404, "The settings node does not exist.";
    MalformedFile = 2007, 400, "A file is not valid YAML of the expected shape.";
    NodeHasChildren = 2008, 400, "A node with children or keys cannot be removed.";
    MissingReference = 2009, 400, "A value names a service or node that does not exist.";
    RevisionConflict = 2010, 409, "The key changed since the revision the change was based on.";
    MissingReason = 2011, 400, "A change needs an actor and a reason.";
    WrongNodeKind = 2012, 400, "The key does not apply to this kind of node.";
    UnreadableFile = 2013, 400, "A file cannot be read.";
    Unauthorized = 3001, 401, "The token is missing or wrong; nothing was changed.";
    MalformedRequest = 3002, 400, "The request cannot be understood; it was not run.";
    UnknownRoute = 3003, 404, "There is nothing at this path; the request was not run.";
    BodyTooLarge = 3004, 413, "The body is larger than the limit; the request was not run.";
    KeyWithoutPrefix = 3005, 400, "The request key does not start with a prefix given out by a daemon; the request was not run.";
    KeyExpired = 3006, 409, "The request key is older than the window in which runs are remembered; whether it ran is unknown.";
    KeyOwnerGone = 3007, 409, "The daemon that may run this key is gone; whether it ran is unknown.";
    KeyMemoryFull = 3008, 503, "No more request keys can be remembered now; the request was not run.";
    TooManyConnections = 3009, 503, "The daemon has reached its connection limit.";
    UnknownCaller = 3010, 401, "The key is missing or belongs to no organisation; the request was not run.";
    KeysTooOld = 3011, 503, "What is known of keys is too old to rely on; the request was not run.";
    NotReady = 4001, 503, "The daemon has no settings yet; the request was not run.";
    UnknownService = 4002, 404, "No such service; the request was not run.";
    NoEndpoint = 4003, 503, "No endpoint can take the request now; it was not run.";
    QueueFull = 4004, 503, "The queue of this importance class is full; the request was not run.";
    DeadlineBeforeStart = 4005, 503, "The deadline passed before the request was handed to an endpoint; it was not run.";
    EndpointLost = 4006, 502, "The endpoint was lost after the request was handed over; whether it ran is unknown.";
    EndpointFailed = 4007, 502, "Every permitted attempt failed.";
    Draining = 4008, 503, "The daemon is leaving; the request was not run.";
    TimeoutAfterHandover = 4009, 504, "No endpoint answered in time; whether the request ran is unknown.";
    HeldBack = 4010, 503, "The request has crashed endpoints and is held back; it was not run.";
    OverMemory = 4011, 503, "The daemon holds too much for its callers to read this body now; the request was not run.";
    NoAllowedRegion = 4012, 503, "No region of the deployment is allowed by the request's route and its organisation; it was not run.";
    NoEndpointInRegion = 4013, 503, "No endpoint of the service is in a region that the request's route and organisation allow; it was not run.";
    LogUnavailable = 5001, 503, "The log service does not answer; whether the change will take effect is unknown.";
    NotOwner = 5002, 503, "No daemon owns this job now; ask again.";
    StaleEpoch = 5003, 409, "The trainer has seen a newer owner of this job than this daemon.";
    CursorAhead = 5004, 409, "The cursor is ahead of every sample number ever given out.";
    UnknownJob = 5005, 404, "No such job.";
    PeerUnavailable = 5006, 503, "The peer that holds the state does not answer.";
    AcceptanceUnknown = 5007, 504, "The store did not answer; whether the submission is accepted is unknown, sending it again is safe.";
    StoreUnavailable = 5008, 503, "The store does not take the submission now; no part of it was or will be run.";
    ViewTooOld = 5009, 503, "The view of the store may be out of date; ask again, or ask another daemon.";
    UnknownSubmission = 5010, 404, "No such submission or item.";
    EndUnknown = 5011, 504, "The store did not answer; whether the submission is ended is unknown, ending it again is safe.";
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "BS-{}", self.number())
    }
}

/// An error: a result code with the details of the case, such as the file, key or field.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The kind of error.
    pub code: ResultCode,
    /// Human-readable details.
    pub detail: String,
}

impl Fault {
    /// Creates a fault.
    pub fn new<Detail>(code: ResultCode, detail: Detail) -> Self
    where
        Detail: Into<String>,
    {
        Self {
            code,
            detail: detail.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} ({})", self.code, self.code.meaning(), self.detail)
    }
}

impl std::error::Error for Fault {}
