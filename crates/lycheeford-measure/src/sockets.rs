use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::Command;

use snafu::{ResultExt, Whatever, ensure_whatever};

/// Payload bytes of open connections, as counted by the kernel, by the addresses of both ends.
#[derive(Debug, Default)]
pub(crate) struct SocketBytes {
    by_endpoints: BTreeMap<String, u64>,
}

impl SocketBytes {
    /// Reads the bytes of every open connection to `addresses`, in both directions.
    pub(crate) fn to(addresses: &[SocketAddr]) -> Result<SocketBytes, Whatever> {
        let mut bytes = SocketBytes::default();
        for address in addresses {
            let output = Command::new("ss")
                .args(["-tinHO", "state", "established", "dst", &address.to_string()])
                .output()
                .whatever_context("can't run ss; install iproute2")?;
            ensure_whatever!(output.status.success(), "ss exited with an error");
            bytes.read(&String::from_utf8_lossy(&output.stdout));
        }
        Ok(bytes)
    }

    /// Returns the bytes transferred since `earlier`, without connections that closed meanwhile.
    pub(crate) fn since(&self, earlier: &SocketBytes) -> u64 {
        let growth = self.by_endpoints.iter().map(|(endpoints, bytes)| {
            bytes.saturating_sub(*earlier.by_endpoints.get(endpoints).unwrap_or(&0))
        });
        growth.sum()
    }

    fn read(&mut self, text: &str) {
        for line in text.lines() {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let endpoints: Vec<&str> = fields
                .iter()
                .copied()
                .filter(|field| field.parse::<SocketAddr>().is_ok())
                .collect();
            let bytes = counter(&fields, "bytes_sent:") + counter(&fields, "bytes_received:");
            self.by_endpoints.insert(endpoints.join(" "), bytes);
        }
    }
}

/// Returns the number after `prefix` in the fields of a line of `ss`, or 0 without such a field.
fn counter(fields: &[&str], prefix: &str) -> u64 {
    let value = fields.iter().find_map(|field| field.strip_prefix(prefix));
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}
