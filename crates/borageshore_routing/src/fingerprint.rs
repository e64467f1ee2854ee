//! Fingerprints of requests, the same for each repeat of a request.

use std::{fmt, str::FromStr};

/// 128 bits, for which a collision among 10^12 requests has a probability of about 10^-15.
const BYTES: usize = 16;

/// The parts of a request that its fingerprint is made of.
///
/// The id of the attempt and the remaining time are left out, as they differ in each repeat.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'c> {
    /// The HTTP method.
    pub method: &'c str,
    /// The host of the route.
    pub host: &'c str,
    /// Path and query.
    pub target: &'c str,
    /// The name of the caller's organisation, which outlives its keys; without organisations, the caller's
    /// credentials.
    pub caller: &'c [u8],
    /// The whole body.
    pub body: &'c [u8],
}

/// A cryptographic hash of a request's content, so that no caller can forge a request with the fingerprint of another
/// caller's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fingerprint([u8; BYTES]);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(content: &RequestContent<'_>) -> Self {
        let mut hasher = blake3::Hasher::new();
        let parts = [
            content.method.as_bytes(),
            content.host.as_bytes(),
            content.target.as_bytes(),
            content.caller,
            content.body,
        ];
        for part in parts {
            // The length prefix keeps different splits of the same bytes apart.
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Self(bytes)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

/// The error of parsing a text that is not a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseFingerprintError;

impl FromStr for Fingerprint {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let has_full_length = text.len() == 2 * BYTES;
        let bits = u128::from_str_radix(text, 16).ok();
        let bits = bits
            .filter(|_| has_full_length)
            .ok_or(ParseFingerprintError)?;
        Ok(Self(bits.to_be_bytes()))
    }
}
