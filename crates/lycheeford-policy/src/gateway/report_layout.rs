use crate::{Name, rendezvous_rank};

/// Up to this many hosts each reports to every other one.
pub(super) const DIRECT_HOSTS_MAX: usize = 16;

/// What another host is to this one when they report to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartnerRole {
    /// Passes on to this host what all others report.
    Relay,
    /// Reports to this host alone, which passes it on.
    Member,
    /// Speaks for its own cell, as this host does.
    Equal,
}

/// Who reports to whom.
///
/// If every host reported to every other one, what each of them costs would
/// grow with the fleet. So beyond 16 hosts those of a failure
/// domain form cells of about the root of their number. Each cell has a relay;
/// members report to it, and relays to each other. All hosts work this out by
/// themselves from what they see; where two see it differently, what they
/// count isn't passed on until they agree. See docs/PLATFORM.md.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReportLayout {
    /// Sorted by host.
    roles: Vec<(Name, PartnerRole)>,
}

impl ReportLayout {
    /// Returns the layout as `me` in `my_domain` sees it.
    ///
    /// `others` are the domain and the name of each other host, and whether it was seen just now.
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
            let mine = cells.iter().position(|cell| cell.members.contains(me));
            let mine = mine.map(|index| &cells[index]);
            let is_relay = mine.is_some_and(|cell| cell.relay.as_ref() == Some(me));
            for cell in &cells {
                let is_mine = cell.members.contains(me);
                match (&cell.relay, is_mine, is_relay) {
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

    /// Returns the hosts that this one reports to, sorted by name.
    pub fn partners(&self) -> &[(Name, PartnerRole)] {
        &self.roles
    }

    /// Returns what another host is to this one, if they report to each other.
    pub fn role(&self, host: &Name) -> Option<PartnerRole> {
        let found = self.roles.binary_search_by(|(name, _)| name.cmp(host)).ok()?;
        Some(self.roles[found].1)
    }

    /// Returns whether this host passes on what others report.
    pub fn is_relay(&self) -> bool {
        !self.roles.iter().any(|(_, role)| *role == PartnerRole::Relay)
    }
}

/// Hosts of one failure domain with the one that speaks for them.
struct Cell {
    members: Vec<Name>,
    relay: Option<Name>,
}

/// Parts the hosts of a failure domain into cells of nearly the same size.
fn cells_of(domain: &[(&Name, &Name, bool)], cell_size: usize) -> Vec<Cell> {
    let cells = domain.len().div_ceil(cell_size);
    let bound = |index: usize| index * domain.len() / cells;
    (0..cells).map(|index| cell(&domain[bound(index)..bound(index + 1)])).collect()
}

fn cell(hosts: &[(&Name, &Name, bool)]) -> Cell {
    let fresh = hosts.iter().filter(|(_, _, is_fresh)| *is_fresh);
    let fresh: Vec<Name> = fresh.map(|(_, name, _)| (*name).clone()).collect();
    // Ranked by name, so that a relay that is lost changes its own cell alone.
    let relay = rendezvous_rank("relay", &fresh).first().map(|name| (*name).clone());
    Cell { members: hosts.iter().map(|(_, name, _)| (*name).clone()).collect(), relay }
}
