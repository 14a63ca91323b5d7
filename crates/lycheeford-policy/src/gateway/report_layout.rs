use crate::{Name, rendezvous_rank};

/// Maximum number of hosts for which each host reports to every other one.
pub(super) const DIRECT_HOSTS_MAX: usize = 16;

/// Role of another host, relative to this one, when both report to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartnerRole {
    /// The host passes on the reports of all others to this host.
    Relay,
    /// The host reports to this host alone, which passes its reports on.
    Member,
    /// The host reports on behalf of its own cell, as this host does.
    Equal,
}

/// Which hosts report to each other.
///
/// If every host reported to every other one, the cost of each host would grow with the fleet. So
/// beyond 16 hosts, the hosts of a failure domain form cells of about the square root of the
/// fleet's size. Each cell has a relay; members report to it, and relays report to each other.
/// Every host computes the layout from its own view of the fleet; where two views differ, the
/// affected counts are not passed on until the views agree. See docs/PLATFORM.md.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReportLayout {
    /// Sorted by host.
    roles: Vec<(Name, PartnerRole)>,
}

impl ReportLayout {
    /// Returns the layout as seen by `me` in `my_domain`.
    ///
    /// `others` holds the domain and the name of each other host, and whether it reported recently.
    pub(super) fn new(
        me: &Name,
        my_domain: &Name,
        others: &[(&Name, &Name, bool)],
    ) -> ReportLayout {
        let mut hosts: Vec<(&Name, &Name, bool)> = others.to_vec();
        hosts.push((my_domain, me, true));
        hosts.sort_unstable_by_key(|(domain, name, _)| (*domain, *name));
        let mut roles: Vec<(Name, PartnerRole)> = Vec::new();
        if hosts.len() <= DIRECT_HOSTS_MAX {
            let equals = others.iter().map(|(_, name, _)| ((*name).clone(), PartnerRole::Equal));
            roles.extend(equals);
        } else {
            let cell_size = (hosts.len() as f64).sqrt().ceil() as usize;
            let domains = hosts.chunk_by(|left, right| left.0 == right.0);
            let cells: Vec<Cell> = domains.flat_map(|domain| cells_of(domain, cell_size)).collect();
            let own_cell = cells.iter().position(|cell| cell.members.contains(me));
            let own_cell = own_cell.map(|index| &cells[index]);
            let is_relay = own_cell.is_some_and(|cell| cell.relay.as_ref() == Some(me));
            for cell in &cells {
                let is_own_cell = cell.members.contains(me);
                match (&cell.relay, is_own_cell, is_relay) {
                    (Some(relay), true, false) => roles.push((relay.clone(), PartnerRole::Relay)),
                    (Some(relay), false, true) => roles.push((relay.clone(), PartnerRole::Equal)),
                    (_, true, true) => {
                        let members = cell.members.iter().filter(|member| *member != me);
                        roles.extend(members.map(|member| (member.clone(), PartnerRole::Member)));
                    }
                    _ => {}
                }
            }
        }
        roles.sort_unstable_by(|left, right| left.0.cmp(&right.0));
        ReportLayout { roles }
    }

    /// Returns the hosts that this host reports to, sorted by name.
    pub fn partners(&self) -> &[(Name, PartnerRole)] {
        &self.roles
    }

    /// Returns the role of another host, if it and this host report to each other.
    pub fn role(&self, host: &Name) -> Option<PartnerRole> {
        let found = self.roles.binary_search_by(|(name, _)| name.cmp(host)).ok()?;
        Some(self.roles[found].1)
    }

    /// Returns whether this host passes on the reports of others.
    pub fn is_relay(&self) -> bool {
        !self.roles.iter().any(|(_, role)| *role == PartnerRole::Relay)
    }
}

/// A group of hosts of one failure domain with its relay.
struct Cell {
    members: Vec<Name>,
    relay: Option<Name>,
}

/// Splits the hosts of a failure domain into cells of nearly equal size.
fn cells_of(domain: &[(&Name, &Name, bool)], cell_size: usize) -> Vec<Cell> {
    let cells = domain.len().div_ceil(cell_size);
    let bound = |index: usize| index * domain.len() / cells;
    (0..cells).map(|index| cell(&domain[bound(index)..bound(index + 1)])).collect()
}

fn cell(hosts: &[(&Name, &Name, bool)]) -> Cell {
    let recent = hosts.iter().filter(|(_, _, is_recent)| *is_recent);
    let recent: Vec<Name> = recent.map(|(_, name, _)| (*name).clone()).collect();
    // Ranked by rendezvous hashing of the names, so that the loss of a relay changes only its own
    // cell.
    let relay = rendezvous_rank("relay", &recent).first().map(|name| (*name).clone());
    Cell { members: hosts.iter().map(|(_, name, _)| (*name).clone()).collect(), relay }
}
