//! Configuration file of a daemon process: addresses, availability zone and tokens.

use std::{fmt, sync::Arc};

use borageshore_base::{Fault, ResultCode};
use borageshore_settings::{FileFault, malformed_file};
use serde::Deserialize;
use subtle::ConstantTimeEq;

/// A secret whose `Debug` output is redacted.
#[derive(Clone, Deserialize)]
#[serde(transparent)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Compares in constant time, which prevents timing attacks.
    pub fn matches(&self, offered: &[u8]) -> bool {
        bool::from(self.0.as_bytes().ct_eq(offered))
    }

    /// The bytes, for keyed hashes and for authentication to a peer.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("redacted")
    }
}

/// Configuration of a daemon process, read once at startup.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name of the daemon, unique among daemons.
    pub name: Arc<str>,
    /// Availability zone of the daemon.
    pub zone: Arc<str>,
    /// Listen address for callers, trainers and operators.
    pub http_address: Arc<str>,
    /// Listen address for peer connections.
    pub peer_address: Arc<str>,
    /// UDP address for gossip.
    pub gossip_address: Arc<str>,
    /// Gossip addresses of other daemons, contacted to join the cluster.
    #[serde(default)]
    pub gossip_seeds: Vec<Arc<str>>,
    /// Address of the platform's log service.
    pub log_address: Arc<str>,
    /// Address of the platform's VM list.
    pub vm_list_address: Arc<str>,
    /// Token of operators; without it the daemon refuses all admin requests.
    pub operator_token: Option<Secret>,
    /// Token of trainers.
    pub trainer_token: Option<Secret>,
    /// Token shared by all daemons, for peer connections and gossip.
    pub peer_token: Secret,
    /// Maximum number of open caller connections.
    #[serde(default = "default_connections")]
    pub connection_limit: usize,
    /// Timeout for receiving the head of a request.
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
    /// Parses and validates the text of a file; a fault names the file and the field, and the line if
    /// it is known.
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
        // The name becomes part of request keys and session names, where '.' is the separator.
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
            format!("{field}: '{address}' is not an IP address and port"),
        )),
    }
}
