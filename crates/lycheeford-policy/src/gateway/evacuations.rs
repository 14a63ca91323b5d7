use crate::{Name, TimeMs};

/// The evacuated failure domains as of a revision of the store, as one host tells them to another.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReportedEvacuations {
    /// Revision of the store as of which the list is complete.
    pub revision: u64,
    /// How long ago a host asked the store for it.
    pub age_ms: u64,
    /// Evacuated failure domains, sorted.
    pub domains: Vec<Name>,
}

/// The evacuated failure domains, as known from the store and from other hosts.
///
/// A change must be in force within seconds on every host, but watches by all of them would cost as
/// many calls as the fleet has hosts. So few hosts watch, and the others rely on what these report
/// while it is recent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    revision: u64,
    as_of: Option<TimeMs>,
    domains: Vec<Name>,
}

impl Evacuations {
    /// Records a list that is complete as of `revision`, which the store had at some moment after
    /// `as_of`; returns whether the domains changed.
    ///
    /// An older list is ignored, whoever reports it.
    pub fn record(&mut self, revision: u64, as_of: TimeMs, domains: Vec<Name>) -> bool {
        if self.as_of.is_some() && revision < self.revision {
            return false;
        }
        self.revision = revision;
        self.as_of = self.as_of.max(Some(as_of));
        let is_changed = self.domains != domains;
        self.domains = domains;
        is_changed
    }

    /// Returns the evacuated domains, sorted.
    pub fn domains(&self) -> &[Name] {
        &self.domains
    }

    /// Returns how long ago the store was asked, or `None` if nothing is known yet.
    pub fn age_ms(&self, now: TimeMs) -> Option<u64> {
        self.as_of.map(|as_of| now.since_ms(as_of))
    }

    /// Returns what other hosts are told, once something is known.
    pub fn report(&self, now: TimeMs) -> Option<ReportedEvacuations> {
        let age_ms = self.age_ms(now)?;
        Some(ReportedEvacuations { revision: self.revision, age_ms, domains: self.domains.clone() })
    }
}
