//! Length-prefixed frames over TCP.

use std::{fmt, io};

use monoio::{
    io::{AsyncReadRentExt, AsyncWriteRentExt},
    net::TcpStream,
};

use crate::event_loop::within_ms;

/// The timeout for a frame from its first byte on; the largest, 16 MiB, takes 3 s at 50 Mbit/s.
const FRAME_TIMEOUT_MS: u64 = 5_000;

/// Why a frame could not be read.
#[derive(Debug)]
pub enum FrameError {
    /// The connection failed or ended.
    Io(io::Error),
    /// The peer announced a frame larger than the limit.
    TooLarge(usize),
    /// The frame was not complete in time.
    TooSlow,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Io(error) => write!(f, "{error}"),
            FrameError::TooSlow => f.write_str("a frame took too long"),
            FrameError::TooLarge(bytes) => write!(f, "a frame of {bytes} bytes is too large"),
        }
    }
}

impl std::error::Error for FrameError {}

impl From<io::Error> for FrameError {
    fn from(error: io::Error) -> Self {
        FrameError::Io(error)
    }
}

/// Writes one frame: a big-endian 32-bit length and the payload. Fails if the peer does not read it in time.
pub async fn write_frame(stream: &mut TcpStream, payload: &[u8]) -> io::Result<()> {
    let mut frame = Vec::with_capacity(4 + payload.len());
    frame.extend_from_slice(&(payload.len() as u32).to_be_bytes());
    frame.extend_from_slice(payload);
    let writing = within_ms(FRAME_TIMEOUT_MS, stream.write_all(frame)).await;
    let (written, _) = writing.ok_or(io::ErrorKind::TimedOut)?;
    written.map(|_| ())
}

/// Reads one frame with a payload of at most `limit_bytes`; waits for its first byte without a limit.
pub async fn read_frame(stream: &mut TcpStream, limit_bytes: usize) -> Result<Vec<u8>, FrameError> {
    let (read, first) = stream.read_exact(vec![0_u8; 1]).await;
    read?;
    let rest = within_ms(FRAME_TIMEOUT_MS, read_rest(stream, first[0], limit_bytes)).await;
    rest.unwrap_or(Err(FrameError::TooSlow))
}

async fn read_rest(
    stream: &mut TcpStream,
    first: u8,
    limit_bytes: usize,
) -> Result<Vec<u8>, FrameError> {
    let (read, rest) = stream.read_exact(Box::new([0_u8; 3])).await;
    read?;
    let length = u32::from_be_bytes([first, rest[0], rest[1], rest[2]]) as usize;
    if length > limit_bytes {
        return Err(FrameError::TooLarge(length));
    }
    let (read, payload) = stream.read_exact(vec![0_u8; length]).await;
    read?;
    Ok(payload)
}
