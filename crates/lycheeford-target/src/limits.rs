use std::net::IpAddr;

use lycheeford_http::Unframed;

/// Limits on how long a target may take and how much it may send.
#[derive(Debug, Clone, Copy)]
pub struct TargetLimits {
    /// How long a connection may take to open.
    pub connect_ms_max: u64,
    /// How long a target may take to send the first byte of its answer.
    pub first_byte_ms_max: u64,
    /// How long a target may pause between two bytes of an answer.
    pub between_bytes_ms_max: u64,
    /// How long a pooled connection may stay idle.
    pub pool_idle_ms_max: u64,
    /// The most idle connections that are kept for each target.
    pub pool_per_target_max: usize,
    /// The largest answer body that is accepted.
    pub answer_bytes_max: usize,
    /// The memory that all answers being collected in memory may use together, besides the first
    /// 64 KiB of each; without effect on a client that shares an account.
    pub collected_answers_bytes_max: usize,
    /// Whether the close of the connection may mark the end of an answer that states no length.
    pub unframed: Unframed,
    /// How long a sound target may be silent, without acknowledging anything, and go on; `None`
    /// keeps the defaults of the operating system.
    ///
    /// A connection whose other end is silent for longer fails after [`user_timeout_ms`]. Needed
    /// because a middlebox, such as a firewall, can drop the state of a connection without either
    /// end noticing.
    pub silent_ms_max: Option<u32>,
    /// The local address from which connections are opened; `None` leaves the choice to the
    /// operating system.
    pub source: Option<IpAddr>,
}

impl Default for TargetLimits {
    fn default() -> TargetLimits {
        TargetLimits {
            connect_ms_max: 1_000,
            first_byte_ms_max: 30_000,
            between_bytes_ms_max: 10_000,
            pool_idle_ms_max: 15_000,
            pool_per_target_max: 16,
            answer_bytes_max: 64 * 1024 * 1024,
            collected_answers_bytes_max: 64 * 1024 * 1024,
            unframed: Unframed::Refuse,
            silent_ms_max: None,
            source: None,
        }
    }
}

/// The idle time before the first keep-alive probe and between probes; the kernel accepts only
/// whole seconds.
pub const KEEP_ALIVE_INTERVAL_S: u32 = 1;
const MS_PER_S: u32 = 1_000;

/// Returns the `TCP_USER_TIMEOUT` with which a connection survives a silence of `silent_ms_max`.
///
/// A user timeout also decides when keep-alive probes give up, whatever their count: Linux fails the
/// connection at the first probe that is due when the last sign of the other end is as old as the
/// timeout, if one probe is unanswered. That sign may be an interval older than the silence, and a
/// probe that is sent just before the silence ends is answered, but the next one is due an interval
/// later.
pub fn user_timeout_ms(silent_ms_max: u32) -> u32 {
    silent_ms_max + 2 * KEEP_ALIVE_INTERVAL_S * MS_PER_S
}
