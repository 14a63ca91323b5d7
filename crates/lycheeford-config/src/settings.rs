use std::net::SocketAddr;

use lycheeford_policy::Name;

use crate::fault::{Category, Faults};
use crate::section::Section;
use crate::value;

/// The shortest grace, within which the addresses that callers keep age out.
pub const STOP_GRACE_MS_MIN: u64 = 6_000;
/// The grace of a daemon whose settings state none.
const STOP_GRACE_MS: u64 = 120_000;
/// The fields that hold an address, in the order of the file.
const ADDRESS_FIELDS: [&str; 4] =
    ["caller_address", "peer_address", "operator_address", "platform_address"];

/// What one daemon reads at its start: its names, addresses and limits.
///
/// Everything that the fleet shares is in the [`Document`](crate::Document)
/// instead. docs/CONFIGURATION.md describes each field.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The name of this host in the platform's list.
    pub host: Name,
    /// The failure domain that the host is lost with.
    pub failure_domain: Name,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other daemons connect.
    pub peer_address: SocketAddr,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// The platform's object API.
    pub platform_address: SocketAddr,
    /// What the store of weights bears, over all hosts.
    pub weight_store: WeightStoreLimits,
    /// The bounds on what a caller may send.
    pub caller_limits: CallerLimits,
    /// How long the daemon has from the signal to stop until its end.
    pub stop_grace_ms: u64,
    /// The least severe log line that is written.
    pub log_level: LogLevel,
}

/// What the store of weights bears, over all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WeightStoreLimits {
    /// Model loads at once at full speed.
    pub loads_at_once: u32,
    /// Model loads started in a second.
    pub loads_per_s: f64,
    /// Adapter loads in flight at full speed.
    pub adapter_loads_at_once: u32,
}

/// The bounds on what a caller may send, and on how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The longest request head.
    pub head_bytes_max: u64,
    /// The longest time to send a head.
    pub head_ms_max: u64,
    /// The longest request body.
    pub body_bytes_max: u64,
    /// The longest time to send a body.
    pub body_ms_max: u64,
    /// The longest time that a connection may stay idle between requests.
    pub idle_ms_max: u64,
    /// The longest time that a write may wait for the caller.
    pub write_ms_max: u64,
    /// Connections at once.
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

/// The least severe log line that is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// Only failures.
    Error,
    /// Failures and what may become one.
    Warning,
    /// Changes of state as well.
    Info,
    /// Everything.
    Debug,
}

/// Every fault of a settings file.
pub type SettingsError = Faults;

impl Settings {
    /// Reads the settings from YAML; `file_name` only serves the messages.
    ///
    /// # Errors
    ///
    /// All faults at once, each with its field, its line where known and the remedy.
    pub fn from_yaml(text: &str, file_name: &str) -> Result<Settings, SettingsError> {
        let mut root = Section::parse(text).map_err(|fault| Faults::new(file_name, vec![fault]))?;
        let settings = read(&mut root);
        let faults = root.finish();
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(Faults::new(file_name, faults)),
        }
    }
}

/// Reads every field before it gives up, so that all faults are found.
fn read(root: &mut Section<'_>) -> Option<Settings> {
    let host = root.required("host", value::name);
    let failure_domain = root.required("failure_domain", value::name);
    let addresses = ADDRESS_FIELDS.map(|field| root.required(field, value::address));
    check_overlap(root, &addresses);
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
    root.absorb(section.finish());
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
    root.absorb(section.finish());
    limits
}

fn check_overlap(root: &mut Section<'_>, addresses: &[Option<SocketAddr>]) {
    for (later, field) in ADDRESS_FIELDS.iter().enumerate() {
        let Some(address) = addresses[later] else { continue };
        let earlier = addresses[..later]
            .iter()
            .position(|other| other.is_some_and(|other| overlap(other, address)));
        if let Some(earlier) = earlier {
            let message = format!("{address} overlaps {}", ADDRESS_FIELDS[earlier]);
            root.fault(Category::Conflict, field, &message, "give each address a port of its own");
        }
    }
}

/// Tells whether two listeners, or a listener and its peer, would share a port.
fn overlap(one: SocketAddr, other: SocketAddr) -> bool {
    let same_ip =
        one.ip() == other.ip() || one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() == other.port() && same_ip
}
