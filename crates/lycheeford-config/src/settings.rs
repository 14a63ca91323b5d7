use std::net::SocketAddr;

use lycheeford_policy::Name;

use crate::fault::{FaultCategory, Faults};
use crate::section::Section;
use crate::value;

/// The shortest shutdown grace period.
///
/// Within this time the host addresses that callers cache expire.
pub const STOP_GRACE_MS_MIN: u64 = 6_000;
/// The default shutdown grace period.
const STOP_GRACE_MS: u64 = 120_000;
/// The fields that contain an address, in the order in which they are checked.
const ADDRESS_FIELDS: [&str; 4] =
    ["caller_address", "peer_address", "operator_address", "platform_address"];

/// The settings that one daemon reads when it starts: its names, addresses and limits.
///
/// Configuration that is shared by the fleet is in the
/// [`Document`](crate::Document). docs/CONFIGURATION.md describes each field.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The name of this host in the platform's list of hosts.
    pub host: Name,
    /// The failure domain of the host, whose hosts can all fail together.
    pub failure_domain: Name,
    /// The address on which the daemon accepts callers.
    pub caller_address: SocketAddr,
    /// The address on which the daemon accepts other daemons.
    pub peer_address: SocketAddr,
    /// The address on which the daemon serves the admin API.
    pub operator_address: SocketAddr,
    /// The address of the platform's object API.
    pub platform_address: SocketAddr,
    /// The rate limit and concurrency of the model weight store, summed over all hosts.
    pub weight_store: WeightStoreLimits,
    /// The limits on callers' requests and connections.
    pub caller_limits: CallerLimits,
    /// The time from the stop signal until the daemon must have exited, at least
    /// [`STOP_GRACE_MS_MIN`]; 120 s if the file doesn't set it.
    pub stop_grace_ms: u64,
    /// The lowest severity that is logged, [`LogLevel::Info`] if the file doesn't set it.
    pub log_level: LogLevel,
}

/// The rate limit and concurrency of the model weight store, summed over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WeightStoreLimits {
    /// The number of concurrent model loads at which each still gets full speed.
    pub loads_at_once: u32,
    /// The maximum rate of model loads, in loads started per second.
    pub loads_per_s: f64,
    /// The number of concurrent adapter loads at which each still gets full speed.
    pub adapter_loads_at_once: u32,
}

/// Limits on the sizes and times of callers' requests, and on their connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The maximum size of a request head.
    pub head_bytes_max: u64,
    /// The time limit for a caller to send a request head.
    pub head_ms_max: u64,
    /// The maximum size of a request body.
    pub body_bytes_max: u64,
    /// The time limit for a caller to send a request body.
    pub body_ms_max: u64,
    /// The time after which a connection without a request is closed.
    pub idle_ms_max: u64,
    /// The time limit for a write to a caller that doesn't read.
    pub write_ms_max: u64,
    /// The maximum number of concurrent connections.
    pub connections_max: u32,
    /// The deadline of a request that states none.
    pub deadline_ms_default: u64,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            head_bytes_max: 16 * 1024,
            head_ms_max: 5_000,
            body_bytes_max: 4 * 1024 * 1024,
            body_ms_max: 30_000,
            idle_ms_max: 60_000,
            write_ms_max: 10_000,
            connections_max: 4_096,
            deadline_ms_default: 60_000,
        }
    }
}

/// The lowest severity that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// Only errors.
    Error,
    /// Errors, and warnings of conditions that may lead to errors.
    Warning,
    /// Changes of state in addition to errors and warnings.
    Info,
    /// All log lines.
    Debug,
}

/// All faults of a settings file.
pub type SettingsError = Faults;

impl Settings {
    /// Reads the settings from YAML; `file_name` is only used in messages.
    ///
    /// # Errors
    ///
    /// Returns all faults at once, each with its field, its line if known and the remedy.
    pub fn from_yaml(text: &str, file_name: &str) -> Result<Settings, SettingsError> {
        let mut root = Section::parse(text).map_err(|fault| Faults::new(file_name, vec![fault]))?;
        let settings = read_settings(&mut root);
        let faults = root.finish();
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(Faults::new(file_name, faults)),
        }
    }
}

/// Reads every field before it returns `None`, so that all faults are recorded.
fn read_settings(root: &mut Section<'_>) -> Option<Settings> {
    let host = root.required("host", value::name);
    let failure_domain = root.required("failure_domain", value::name);
    let addresses = ADDRESS_FIELDS.map(|field| root.required(field, value::address));
    check_address_overlap(root, &addresses);
    let weight_store = read_weight_store(root);
    let caller_limits = read_caller_limits(root);
    let stop_grace_ms =
        root.optional("stop_grace_ms", value::stop_grace_ms).unwrap_or(STOP_GRACE_MS);
    let log_level = root.optional("log_level", value::log_level).unwrap_or(LogLevel::Info);
    let [caller_address, peer_address, operator_address, platform_address] = addresses;
    Some(Settings {
        host: host?,
        failure_domain: failure_domain?,
        caller_address: caller_address?,
        peer_address: peer_address?,
        operator_address: operator_address?,
        platform_address: platform_address?,
        weight_store: weight_store?,
        caller_limits,
        stop_grace_ms,
        log_level,
    })
}

fn read_weight_store(root: &mut Section<'_>) -> Option<WeightStoreLimits> {
    let mut section = root.section("weight_store");
    let loads_at_once = section.required("loads_at_once", value::positive);
    let loads_per_s = section.required("loads_per_s", value::positive_decimal);
    let adapter_loads_at_once = section.required("adapter_loads_at_once", value::positive);
    root.add_faults(section.finish());
    Some(WeightStoreLimits {
        loads_at_once: loads_at_once?,
        loads_per_s: loads_per_s?,
        adapter_loads_at_once: adapter_loads_at_once?,
    })
}

fn read_caller_limits(root: &mut Section<'_>) -> CallerLimits {
    let mut section = root.section("caller_limits");
    let mut limits = CallerLimits::default();
    for (field, limit) in [
        ("head_bytes_max", &mut limits.head_bytes_max),
        ("body_bytes_max", &mut limits.body_bytes_max),
    ] {
        *limit = section.optional(field, value::positive_size_bytes).unwrap_or(*limit);
    }
    for (field, limit) in [
        ("head_ms_max", &mut limits.head_ms_max),
        ("body_ms_max", &mut limits.body_ms_max),
        ("idle_ms_max", &mut limits.idle_ms_max),
        ("write_ms_max", &mut limits.write_ms_max),
        ("deadline_ms_default", &mut limits.deadline_ms_default),
    ] {
        *limit = section.optional(field, value::positive_duration_ms).unwrap_or(*limit);
    }
    let connections_max = section.optional("connections_max", value::positive);
    limits.connections_max = connections_max.unwrap_or(limits.connections_max);
    root.add_faults(section.finish());
    limits
}

fn check_address_overlap(root: &mut Section<'_>, addresses: &[Option<SocketAddr>]) {
    for (later, field) in ADDRESS_FIELDS.iter().enumerate() {
        let Some(address) = addresses[later] else { continue };
        let earlier = addresses[..later]
            .iter()
            .position(|other| other.is_some_and(|other| addresses_overlap(other, address)));
        if let Some(earlier) = earlier {
            let message = format!("{address} overlaps {}", ADDRESS_FIELDS[earlier]);
            root.record_fault(
                FaultCategory::Conflict,
                field,
                &message,
                "give each address its own port",
            );
        }
    }
}

/// Returns whether two addresses have the same port and an IP address in common.
///
/// An unspecified IP address, such as 0.0.0.0, includes all others.
fn addresses_overlap(left: SocketAddr, right: SocketAddr) -> bool {
    let same_ip =
        left.ip() == right.ip() || left.ip().is_unspecified() || right.ip().is_unspecified();
    left.port() == right.port() && same_ip
}
