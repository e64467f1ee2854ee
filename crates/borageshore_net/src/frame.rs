//! Length-prefixed frames over TCP.

use std::{fmt, io};

use monoio::{
    io::{AsyncReadRentExt, AsyncWriteRentExt},
    net::TcpStream,
};

/// Why a frame could not be read.
#[derive(Debug)]
pub enum FrameError {
    /// The connection failed or ended.
    Io(io::Error),
    /// The peer announced a frame larger than the limit.
    TooLarge(usize),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Io(error) => write!(f, "{error}"),
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

/// Writes one frame: a big-endian 32-bit length and the payload.
pub async fn write_frame(stream: &mut TcpStream, payload: &[u8]) -> io::Result<()> {
    let mut frame = Vec::with_capacity(4 + payload.len());
    frame.extend_from_slice(&(payload.len() as u32).to_be_bytes());
    frame.extend_from_slice(payload);
    let (written, _) = stream.write_all(frame).await;
    written.map(|_| ())
}

/// Reads one frame with a payload of at most `limit_bytes`.
pub async fn read_frame(stream: &mut TcpStream, limit_bytes: usize) -> Result<Vec<u8>, FrameError> {
    let (read, head) = stream.read_exact(Box::new([0_u8; 4])).await;
    read?;
    let length = u32::from_be_bytes(*head) as usize;
    if length > limit_bytes {
        return Err(FrameError::TooLarge(length));
    }
    let (read, payload) = stream.read_exact(vec![0_u8; length]).await;
    read?;
    Ok(payload)
}
