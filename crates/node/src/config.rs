//! The platform's configuration: reads the JSON file that `LB_CONFIG` names, and the environment.

use applemill_balancer::interface::Settings;
use applemill_balancer::wire::{self, Names, WireError};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use thiserror::Error;

/// The platform's configuration of a node.
pub struct Config {
    /// Name of this node.
    pub name: String,
    /// Address that clients connect to.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Seed of the random numbers in decisions.
    pub seed: u64,
    /// Maximum number of open file descriptors.
    pub max_descriptors: usize,
    /// Maximum memory of the process, in bytes.
    pub memory_bytes: usize,
    /// Local address for datagrams of other nodes.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of all nodes of the fleet, indexed by node number.
    pub peers: Vec<SocketAddr>,
    /// An address that reaches all nodes of the fleet.
    pub peers_all: Option<SocketAddr>,
    /// The last known list of backends, in discovery's JSON form; null if there is none.
    pub last_known_list: Value,
    /// Settings of the balancer.
    pub settings: Settings,
    /// Names of the classes and tenants in the settings.
    pub names: Names,
}

/// Why the configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The environment variable is missing.
    #[error("LB_CONFIG is not set")]
    Unset,
    /// The file cannot be read or is not valid JSON.
    #[error("LB_CONFIG: {path}: {reason}")]
    File {
        /// Path of the file.
        path: String,
        /// The cause.
        reason: String,
    },
    /// A field is missing or invalid.
    #[error("{field}: {reason}")]
    Field {
        /// Name of the field.
        field: String,
        /// The cause.
        reason: String,
    },
    /// The balancer's settings are invalid.
    #[error("settings: {0}")]
    Settings(#[from] WireError),
}

fn invalid(field: &str, reason: impl Into<String>) -> ConfigError {
    ConfigError::Field { field: field.to_owned(), reason: reason.into() }
}

fn parse_address(field: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| invalid(field, format!("{text:?} is not an address and port")))
}

/// Reads a string field; a value from the environment takes precedence over the file.
fn string_field(
    file: &Value,
    field: &str,
    from_environment: Option<String>,
) -> Result<Option<String>, ConfigError> {
    if from_environment.is_some() {
        return Ok(from_environment);
    }
    match file.get(field) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(s)) => Ok(Some(s.clone())),
        Some(_) => Err(invalid(field, "not a string")),
    }
}

/// Reads an address field; a value from the environment takes precedence over the file.
fn address_field(
    file: &Value,
    field: &str,
    from_environment: Option<String>,
) -> Result<Option<SocketAddr>, ConfigError> {
    string_field(file, field, from_environment)?.map(|text| parse_address(field, &text)).transpose()
}

/// Environment variable that overrides the file's discovery address at the start.
const DISCOVERY_VARIABLE: &str = "LB_DISCOVERY";

impl Config {
    /// Reads the file that `LB_CONFIG` names. Values from the environment take precedence over the file.
    ///
    /// # Errors
    /// The variable is missing, or the file cannot be read or is invalid.
    pub fn load() -> Result<Config, ConfigError> {
        Config::read_named_file(|variable| std::env::var(variable).ok())
    }

    /// Reads the file again. The environment is that of the start of the process, and so the file's
    /// discovery address, which is newer, takes precedence over it.
    ///
    /// # Errors
    /// The variable is missing, or the file cannot be read or is invalid.
    pub fn reload() -> Result<Config, ConfigError> {
        Config::read_named_file(|variable| {
            std::env::var(variable).ok().filter(|_| variable != DISCOVERY_VARIABLE)
        })
    }

    fn read_named_file(environment: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let path = std::env::var("LB_CONFIG").map_err(|_| ConfigError::Unset)?;
        Config::read_with(Path::new(&path), environment)
    }

    /// Reads a file without the environment, to check an operator's file against it.
    ///
    /// # Errors
    /// The file cannot be read or is invalid.
    pub fn read_path(path: &Path) -> Result<Config, ConfigError> {
        Config::read_with(path, |_| None)
    }

    fn read_with(path: &Path, environment: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let file_error = |reason: String| ConfigError::File { path: path.display().to_string(), reason };
        let content = std::fs::read_to_string(path).map_err(|e| file_error(e.to_string()))?;
        let json: Value = serde_json::from_str(&content).map_err(|e| file_error(e.to_string()))?;
        Config::parse(&json, environment)
    }

    fn parse(json: &Value, environment: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let missing = |field: &'static str| move || invalid(field, "missing");
        let listen =
            address_field(json, "listen", environment("LB_LISTEN"))?.ok_or_else(missing("listen"))?;
        let discovery = address_field(json, "discovery", environment(DISCOVERY_VARIABLE))?
            .ok_or_else(missing("discovery"))?;
        let seed = match json.get("seed") {
            Some(Value::Number(n)) => n.as_u64().ok_or_else(|| invalid("seed", "not a whole number"))?,
            Some(Value::String(s)) => u64::from_str_radix(s, 16).unwrap_or_else(|_| wire::stable_hash(s)),
            _ => return Err(invalid("seed", "missing or not a string")),
        };
        let limit = |name: &str, default: usize| match json.pointer(&format!("/limits/{name}")) {
            None | Some(Value::Null) => Ok(default),
            Some(v) => v
                .as_u64()
                .and_then(|n| usize::try_from(n).ok())
                .ok_or_else(|| invalid(&format!("limits.{name}"), "not a whole number")),
        };
        let peers = match json.get("peers") {
            None | Some(Value::Null) => Vec::new(),
            Some(Value::Array(list)) => list
                .iter()
                .enumerate()
                .map(|(n, v)| parse_address(&format!("peers[{n}]"), v.as_str().unwrap_or_default()))
                .collect::<Result<_, _>>()?,
            Some(_) => return Err(invalid("peers", "not a list")),
        };
        let settings = json.get("settings").ok_or_else(missing("settings"))?;
        let (settings, names) = wire::settings(&settings.to_string())?;
        Ok(Config {
            name: string_field(json, "name", environment("LB_NAME"))?.unwrap_or_default(),
            listen,
            discovery,
            seed,
            max_descriptors: limit("sockets", 1024)?,
            memory_bytes: limit("memory_mb", 192)?.saturating_mul(1024 * 1024),
            peer_listen: address_field(json, "peer_listen", None)?,
            peers,
            peers_all: address_field(json, "peers_all", None)?,
            last_known_list: json.get("known").cloned().unwrap_or(Value::Null),
            settings,
            names,
        })
    }
}
