//! The settings of one process: its addresses, its availability zone and its tokens.

use std::{fmt, sync::Arc};

use borageshore_base::{Fault, ResultCode};
use borageshore_settings::{FileFault, malformed_file};
use serde::Deserialize;
use subtle::ConstantTimeEq;

/// A secret that never shows in logs.
#[derive(Clone, Deserialize)]
#[serde(transparent)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Compares in constant time, so that the time of a refusal tells nothing of the secret.
    pub fn matches(&self, offered: &[u8]) -> bool {
        bool::from(self.0.as_bytes().ct_eq(offered))
    }

    /// The bytes, for keyed hashes and for showing them to a peer.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("redacted")
    }
}

/// The settings of one daemon process, read once at its start.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The daemon's name, unique among daemons.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where callers, trainers and operators connect.
    pub http_address: Arc<str>,
    /// Where peers connect.
    pub peer_address: Arc<str>,
    /// Where gossip arrives.
    pub gossip_address: Arc<str>,
    /// Gossip addresses of some other daemons.
    #[serde(default)]
    pub gossip_seeds: Vec<Arc<str>>,
    /// The platform's log service.
    pub log_address: Arc<str>,
    /// The platform's VM list.
    pub vm_list_address: Arc<str>,
    /// What operators present; without it nothing can be changed through this daemon.
    pub operator_token: Option<Secret>,
    /// What trainers present.
    pub trainer_token: Option<Secret>,
    /// What peers present to each other.
    pub peer_token: Secret,
    /// Open connections of callers.
    #[serde(default = "default_connections")]
    pub connection_limit: usize,
    /// How long a connection may take for the head of a request.
    #[serde(default = "default_head_timeout_ms")]
    pub head_timeout_ms: u64,
}

fn default_head_timeout_ms() -> u64 {
    10_000
}

fn default_connections() -> usize {
    4_096
}

impl Config {
    /// Reads and checks the text of a file; a fault names the file, the line and the field.
    pub fn parse(file: &str, text: &str) -> Result<Self, FileFault> {
        let config: Config =
            serde_saphyr::from_str(text).map_err(|error| malformed_file(file, &error))?;
        config.check().map_err(|fault| FileFault {
            file: file.into(),
            line: None,
            fault,
        })?;
        Ok(config)
    }

    fn check(&self) -> Result<(), Fault> {
        let addresses = [
            ("http_address", &self.http_address),
            ("peer_address", &self.peer_address),
            ("gossip_address", &self.gossip_address),
            ("log_address", &self.log_address),
            ("vm_list_address", &self.vm_list_address),
        ];
        for (field, address) in addresses {
            check_address(field, address)?;
        }
        for seed in &self.gossip_seeds {
            check_address("gossip_seeds", seed)?;
        }
        // A name goes into request keys and sessions, where a point separates the parts.
        if self.name.is_empty()
            || !self
                .name
                .chars()
                .all(|c| c.is_ascii_alphanumeric() || c == '-')
        {
            let detail = "name: letters, digits and '-' only";
            return Err(Fault::new(ResultCode::OutOfRange, detail));
        }
        Ok(())
    }
}

fn check_address(field: &str, address: &str) -> Result<(), Fault> {
    let parsed: Result<std::net::SocketAddr, _> = address.parse();
    match parsed {
        Ok(_) => Ok(()),
        Err(_) => Err(Fault::new(
            ResultCode::WrongType,
            format!("{field}: '{address}' is no IP and port"),
        )),
    }
}
