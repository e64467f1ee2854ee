//! Requests to a daemon's operator API, and the exit codes of failures.

use std::{fmt, path::Path};

use borageshore_api::FaultBody;
use borageshore_base::{Fault, ResultCode};
use borageshore_net::{HttpClient, Timeouts};
use borageshore_settings::FileFault;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde::{Serialize, de::DeserializeOwned};

use crate::arguments::Connection;

/// The response to a settings change waits until the change is read back from the log.
const TIMEOUTS: Timeouts = Timeouts {
    connect_ms: 2_000,
    first_byte_ms: 20_000,
};

/// Why a command failed.
#[derive(Debug)]
pub enum CommandError {
    /// A fault that the daemon or the command reported.
    Fault(Fault),
    /// Faults in files.
    Files(Vec<FileFault>),
    /// The daemon could not be reached or sent an invalid response.
    Unreachable(String),
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::Fault(fault) => write!(f, "{fault}"),
            CommandError::Files(faults) => {
                let lines: Vec<String> = faults.iter().map(FileFault::to_string).collect();
                write!(f, "{}", lines.join("\n"))
            }
            CommandError::Unreachable(why) => write!(f, "the daemon cannot be reached: {why}"),
        }
    }
}

impl std::error::Error for CommandError {}

impl CommandError {
    /// Returns the exit code of the process; see `docs/RESULT-CODES.md`.
    pub fn exit_code(&self) -> u8 {
        match self {
            CommandError::Fault(fault) => exit_code_of(fault.code),
            CommandError::Files(_) => EXIT_INVALID,
            CommandError::Unreachable(_) => EXIT_UNAVAILABLE,
        }
    }
}

const EXIT_INVALID: u8 = 3;
const EXIT_CONFLICT: u8 = 4;
const EXIT_UNAUTHORIZED: u8 = 5;
const EXIT_UNAVAILABLE: u8 = 6;

/// Returns the exit code for a result code.
pub fn exit_code_of(code: ResultCode) -> u8 {
    match code.number() {
        1_000..=1_999 => 0,
        2_010 => EXIT_CONFLICT,
        2_000..=2_999 => EXIT_INVALID,
        3_001 => EXIT_UNAUTHORIZED,
        _ => EXIT_UNAVAILABLE,
    }
}

/// Sends a GET request to a daemon.
pub(crate) async fn get<Answer>(connection: &Connection, path: &str) -> Result<Answer, CommandError>
where
    Answer: DeserializeOwned,
{
    call(connection, "GET", path, Bytes::new()).await
}

/// Sends a POST request to a daemon.
pub(crate) async fn post<Payload, Answer>(
    connection: &Connection,
    path: &str,
    asked: &Payload,
) -> Result<Answer, CommandError>
where
    Payload: Serialize,
    Answer: DeserializeOwned,
{
    let body =
        serde_json::to_vec(asked).map_err(|error| CommandError::Unreachable(error.to_string()))?;
    call(connection, "POST", path, body.into()).await
}

async fn call<Answer>(
    connection: &Connection,
    method: &str,
    path: &str,
    body: Bytes,
) -> Result<Answer, CommandError>
where
    Answer: DeserializeOwned,
{
    let unreachable = |why: String| CommandError::Unreachable(why);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("authorization", format!("Bearer {}", connection.token))
        .body(Full::new(body))
        .map_err(|error| unreachable(error.to_string()))?;
    let called = HttpClient::open()
        .call(&connection.daemon, request, TIMEOUTS)
        .await;
    let (status, body) = called.map_err(|error| unreachable(error.to_string()))?;
    if status.is_success() {
        return serde_json::from_slice(&body).map_err(|error| unreachable(error.to_string()));
    }
    let fault: FaultBody =
        serde_json::from_slice(&body).map_err(|error| unreachable(error.to_string()))?;
    let code = ResultCode::from_number(fault.code).unwrap_or(ResultCode::MalformedRequest);
    Err(CommandError::Fault(Fault::new(code, fault.detail)))
}

/// Reads a text file; the error names the file.
pub(crate) fn read_file(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|error| {
        let fault = Fault::new(ResultCode::UnreadableFile, error.to_string());
        CommandError::Files(vec![FileFault {
            file: path.display().to_string(),
            line: None,
            fault,
        }])
    })
}
