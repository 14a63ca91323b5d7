use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::Command;

use snafu::{ResultExt, Whatever, ensure_whatever};

/// Payload bytes of connections, by their two ends, as the kernel counts them.
#[derive(Debug, Default)]
pub(crate) struct SocketBytes {
    by_ends: BTreeMap<String, u64>,
}

impl SocketBytes {
    /// Returns the bytes of every open connection to `addresses`, in both directions.
    pub(crate) fn to(addresses: &[SocketAddr]) -> Result<SocketBytes, Whatever> {
        let mut bytes = SocketBytes::default();
        for address in addresses {
            let output = Command::new("ss")
                .args(["-tinHO", "state", "established", "dst", &address.to_string()])
                .output()
                .whatever_context("can't run ss; install iproute2")?;
            ensure_whatever!(output.status.success(), "ss failed");
            bytes.read(&String::from_utf8_lossy(&output.stdout));
        }
        Ok(bytes)
    }

    /// Returns what was sent since `earlier`, less connections that closed meanwhile.
    pub(crate) fn since(&self, earlier: &SocketBytes) -> u64 {
        let grown = self
            .by_ends
            .iter()
            .map(|(ends, bytes)| bytes.saturating_sub(*earlier.by_ends.get(ends).unwrap_or(&0)));
        grown.sum()
    }

    fn read(&mut self, text: &str) {
        for line in text.lines() {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let ends: Vec<&str> = fields
                .iter()
                .copied()
                .filter(|field| field.parse::<SocketAddr>().is_ok())
                .collect();
            let bytes = counter(&fields, "bytes_sent:") + counter(&fields, "bytes_received:");
            self.by_ends.insert(ends.join(" "), bytes);
        }
    }
}

fn counter(fields: &[&str], prefix: &str) -> u64 {
    let value = fields.iter().find_map(|field| field.strip_prefix(prefix));
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}
