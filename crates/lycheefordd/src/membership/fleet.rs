use std::net::SocketAddr;

use lycheeford_policy::{Host, HostRole, HostState, Name};

/// The platform's list of hosts, as last read by this daemon.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    /// The platform's revision of the list; 0 before the first read.
    pub(crate) revision: u64,
    /// Sorted by name.
    pub(crate) hosts: Vec<Host>,
}

impl Fleet {
    pub(crate) fn host(&self, name: &str) -> Option<&Host> {
        let index = self.hosts.binary_search_by(|host| host.name.as_str().cmp(name)).ok()?;
        Some(&self.hosts[index])
    }

    /// Returns the hosts that run a daemon, with their addresses for peer connections.
    pub(crate) fn entries(&self) -> impl Iterator<Item = (&Host, SocketAddr)> {
        self.hosts.iter().filter_map(|host| match host.role {
            HostRole::Entry { peer_address } => Some((host, peer_address)),
            HostRole::ModelWorker { .. } | HostRole::ApplicationWorker { .. } => None,
        })
    }

    pub(crate) fn model_workers(&self) -> impl Iterator<Item = &Host> {
        self.hosts.iter().filter(|host| matches!(host.role, HostRole::ModelWorker { .. }))
    }

    /// Returns the live application workers that run `service`.
    pub(crate) fn service_targets<'a>(
        &'a self,
        service: &'a Name,
    ) -> impl Iterator<Item = &'a Host> {
        self.hosts.iter().filter(move |host| {
            host.state == HostState::Live
                && matches!(&host.role, HostRole::ApplicationWorker { services }
                    if services.binary_search(service).is_ok())
        })
    }
}
