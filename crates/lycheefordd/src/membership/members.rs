use lycheeford_peer::Missed;
use lycheeford_policy::{Name, TimeMs, rendezvous_owner};
use lycheeford_wire::HostReport;

/// How long a member counts as reachable after its last report.
pub(crate) const REACHABLE_MS: u64 = 1_500;
/// The key whose owner coordinates loads.
const COORDINATOR_KEY: &str = "coordinator";

/// What other daemons said of themselves.
#[derive(Debug, Default)]
pub(crate) struct Members {
    /// Sorted by host.
    members: Vec<Member>,
}

#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) host: Name,
    pub(crate) heard: Option<(TimeMs, HostReport)>,
    pub(crate) missed: Option<Missed>,
}

impl Members {
    /// Keeps the members that are still listed, and adds the new ones.
    pub(crate) fn set_hosts(&mut self, mut hosts: Vec<Name>) {
        hosts.sort();
        let mut known = std::mem::take(&mut self.members);
        self.members = hosts
            .into_iter()
            .map(|host| match known.iter().position(|member| member.host == host) {
                Some(index) => known.swap_remove(index),
                None => Member { host, heard: None, missed: None },
            })
            .collect();
    }

    pub(crate) fn heard(&mut self, now: TimeMs, report: HostReport) {
        if let Some(member) = self.member_mut(&report.host) {
            let older = |known: &HostReport| known.incarnation > report.incarnation;
            if member.heard.as_ref().is_some_and(|(_, known)| older(known)) {
                return;
            }
            member.missed = None;
            member.heard = Some((now, report));
        }
    }

    pub(crate) fn missed(&mut self, host: &str, how: Missed) {
        if let Some(member) = self.member_mut(host) {
            member.missed = Some(how);
        }
    }

    pub(crate) fn member(&self, host: &str) -> Option<&Member> {
        let index = self.members.binary_search_by(|member| member.host.as_str().cmp(host)).ok()?;
        Some(&self.members[index])
    }

    /// Returns the host that coordinates loads, as seen from `me`.
    ///
    /// Two hosts may disagree for a while; conditional updates keep that safe.
    pub(crate) fn coordinator(&self, now: TimeMs, me: &Name, me_draining: bool) -> Name {
        let mut candidates: Vec<Name> = self
            .members
            .iter()
            .filter(|member| member.is_reachable(now) && !member.is_draining())
            .map(|member| member.host.clone())
            .collect();
        if !me_draining || candidates.is_empty() {
            candidates.push(me.clone());
        }
        rendezvous_owner(COORDINATOR_KEY, &candidates).unwrap_or(me).clone()
    }

    /// Tells whether every member has answered, or been asked in vain, since the start.
    pub(crate) fn all_asked(&self) -> bool {
        self.members.iter().all(|member| member.heard.is_some() || member.missed.is_some())
    }

    fn member_mut(&mut self, host: &str) -> Option<&mut Member> {
        let index = self.members.binary_search_by(|member| member.host.as_str().cmp(host)).ok()?;
        Some(&mut self.members[index])
    }
}

impl Member {
    pub(crate) fn is_reachable(&self, now: TimeMs) -> bool {
        let recent = |(heard_at, _): &(TimeMs, HostReport)| now.since_ms(*heard_at) <= REACHABLE_MS;
        self.missed.is_none() && self.heard.as_ref().is_some_and(recent)
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.heard.as_ref().is_some_and(|(_, report)| report.draining)
    }
}
