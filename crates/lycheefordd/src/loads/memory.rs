use lycheeford_policy::{Host, HostRole};

/// Returns the accelerator memory of a model worker, or 0 for any other host.
pub(crate) fn memory_bytes(host: &Host) -> u64 {
    match host.role {
        HostRole::ModelWorker { memory_bytes, .. } => memory_bytes,
        HostRole::Entry { .. } | HostRole::ApplicationWorker { .. } => 0,
    }
}
