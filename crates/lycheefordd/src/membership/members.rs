use lycheeford_peer::BeatFailure;
use lycheeford_policy::{Name, TimeMs, rendezvous_owner};
use lycheeford_wire::{Hello, HostReport};

/// How long a member counts as reachable after its last answer.
pub(crate) const REACHABLE_MS: u64 = 1_500;
/// The rendezvous-hash key whose owner coordinates loads.
const COORDINATOR_KEY: &str = "coordinator";

/// The last reports of the other daemons.
#[derive(Debug, Default)]
pub(crate) struct Members {
    /// Sorted by host.
    members: Vec<Member>,
}

#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) host: Name,
    pub(crate) last_report: Option<(TimeMs, HostReport)>,
    pub(crate) missed: Option<BeatFailure>,
    /// The name of its build, if its latest daemon has connected and said it.
    pub(crate) build: Option<Name>,
}

impl Members {
    /// Removes the members that are no longer listed, and adds the new ones.
    pub(crate) fn set_hosts(&mut self, mut hosts: Vec<Name>) {
        hosts.sort();
        let mut known = std::mem::take(&mut self.members);
        self.members = hosts
            .into_iter()
            .map(|host| match known.iter().position(|member| member.host == host) {
                Some(index) => known.swap_remove(index),
                None => Member { host, last_report: None, missed: None, build: None },
            })
            .collect();
    }

    pub(crate) fn record_report(&mut self, now: TimeMs, report: HostReport) {
        if let Some(member) = self.member_mut(&report.host) {
            let older = |known: &HostReport| known.incarnation > report.incarnation;
            if member.last_report.as_ref().is_some_and(|(_, known)| older(known)) {
                return;
            }
            member.missed = None;
            member.last_report = Some((now, report));
        }
    }

    /// Records which build a member runs.
    pub(crate) fn record_build(&mut self, from: &Hello) {
        if let Some(member) = self.member_mut(&from.host) {
            member.build.clone_from(&from.build);
        }
    }

    pub(crate) fn record_missed(&mut self, host: &str, how: BeatFailure) {
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
    /// Two hosts may temporarily disagree; this is safe because all stored changes are
    /// conditional updates.
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

    /// Returns whether each member has answered or missed an answer since this daemon started.
    pub(crate) fn has_tried_all(&self) -> bool {
        self.members.iter().all(|member| member.last_report.is_some() || member.missed.is_some())
    }

    fn member_mut(&mut self, host: &str) -> Option<&mut Member> {
        let index = self.members.binary_search_by(|member| member.host.as_str().cmp(host)).ok()?;
        Some(&mut self.members[index])
    }
}

impl Member {
    pub(crate) fn is_reachable(&self, now: TimeMs) -> bool {
        let recent =
            |(reported_at, _): &(TimeMs, HostReport)| now.since_ms(*reported_at) <= REACHABLE_MS;
        self.missed.is_none() && self.last_report.as_ref().is_some_and(recent)
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.last_report.as_ref().is_some_and(|(_, report)| report.draining)
    }
}
