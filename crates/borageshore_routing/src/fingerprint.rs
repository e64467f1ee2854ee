//! A name for what a request asks, the same for each of its repeats.

use std::{fmt, str::FromStr};

/// 128 bits: two different requests of a year never meet, 10^12 of them by a chance of 10^-15.
const BYTES: usize = 16;

/// What an endpoint is asked, whoever passes it on and in whichever attempt.
///
/// The id of the attempt and the time that is left are no part of it: both are new each time.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'c> {
    /// The method.
    pub method: &'c str,
    /// The host of the route.
    pub host: &'c str,
    /// Path and query.
    pub target: &'c str,
    /// The caller's organisation, which stays the same when its key changes; where none are named, what the caller
    /// presents instead.
    pub caller: &'c [u8],
    /// The whole body.
    pub body: &'c [u8],
}

/// The name of a request's content: a cryptographic hash, so that nobody can make up a request that is taken for
/// another caller's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fingerprint([u8; BYTES]);

impl Fingerprint {
    /// Names a content.
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
            // The length keeps the end of one part from passing for the beginning of the next.
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

/// A text is no fingerprint.
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
