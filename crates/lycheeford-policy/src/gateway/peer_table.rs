use super::counters::Counters;
use super::evacuations::ReportedEvacuations;
use super::host_table::{HostRecord, HostSign, PeerState};
use super::report_layout::{PartnerRole, ReportLayout};
use super::short_key::ShortKey;
use super::target_belief::TargetLife;
use super::target_log::TargetChangeBatch;
use crate::{CrashSuspect, Name, TimeMs};

/// How long a requested name is repeated in reports, so that a lost report loses nothing.
const ASKED_REPEAT_MS: u64 = 3_000;
/// Maximum number of earlier incarnations of a host that are remembered.
const EARLIER_INCARNATIONS_MAX: usize = 8;
/// Age from which the running requests that a silent host reported are no longer passed on.
const RUNNING_EXPIRY_MS: u64 = 3_000;

/// A report that one host sends to another several times per second.
///
/// Each report replaces the previous one, so that a lost report costs only time.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerReport {
    /// The host that sent the report.
    pub sender: HostRecord,
    /// Incarnation of the sender's process: a random number, so a later incarnation may have a
    /// lower one.
    pub incarnation: u64,
    /// The sender's clock when it sent the report.
    pub sent_at: TimeMs,
    /// `sent_at` of the last report that the sender received from the receiver, by the receiver's
    /// clock.
    pub echo: Option<TimeMs>,
    /// How long ago a target last answered any host, as far as the sender knows.
    pub target_answer_age_ms: Option<u64>,
    /// Whether the sender's probes of targets fail, so that it must know whether other hosts reach
    /// any.
    pub lacks_targets: bool,
    /// Whether the sender knows the state [`PeerState::CutOff`]; earlier builds don't.
    pub knows_cut_off: bool,
    /// Whether the sender accepts callers.
    pub state: PeerState,
    /// Whether the sender knows what the other hosts spend.
    pub is_settled: bool,
    /// Which hosts the sums cover.
    pub scope: Scope,
    /// The counts of the hosts in `scope`.
    pub sums: Sums,
    /// Remaining level of each customer's bucket, as far as the sender knows.
    pub levels: Vec<(ShortKey, f64)>,
    /// Spending of each customer that the sender received from the receiver, including the hosts
    /// that the receiver reports for.
    pub heard: Vec<(ShortKey, f64)>,
    /// The hosts that the sender knows to be alive.
    pub signs: Vec<HostSign>,
    /// The requests and prompt parts that may have crashed targets; a subset of the known ones.
    pub suspects: Vec<CrashSuspect>,
    /// Digest of all of them that the sender knows.
    pub suspects_digest: u64,
    /// Revision of the declaration that the sender applies.
    pub revision: u64,
    /// Number that the operators gave to that declaration.
    pub declared: u64,
    /// Age of the confirmation that this revision is the newest, counted from the query; `None`
    /// without one.
    pub confirmed_age_ms: Option<u64>,
    /// The newest revision at which a target was added, removed or changed its state.
    pub targets_changed: u64,
    /// How long ago any host last queried the store for such changes.
    pub targets_age_ms: Option<u64>,
    /// The lease on giving orders as far as the sender knows.
    pub lease: Option<ReportedLease>,
    /// Models and adapters that became available or unavailable, as announced by the holder of the
    /// lease.
    pub placements: Vec<ReportedPlacement>,
    /// Token and version up to which the sender knows the placements.
    pub placements_known: (u64, u64),
    /// Revision up to which the sender knows all relevant changes of the list of targets.
    pub targets_known: u64,
    /// Changes of that list that the receiver lacks.
    pub target_changes: Option<TargetChangeBatch>,
    /// Targets that were recently reported to the sender as leaving.
    pub leaving: Vec<TargetLife>,
    /// The evacuated failure domains; `None` if the sender doesn't follow them.
    pub evacuations: Option<ReportedEvacuations>,
}

impl PeerReport {
    /// Reports hosts that are cut off from the targets as ready, for a receiver that doesn't know
    /// the state and would ignore the report.
    ///
    /// Such hosts live, grant permits and serve callers through other hosts; none of the states that
    /// an earlier build knows says that of a host that gets no new callers.
    pub fn hide_cut_off(&mut self) {
        let signs = self.signs.iter_mut().map(|sign| &mut sign.state);
        for state in signs.chain([&mut self.state]) {
            if *state == PeerState::CutOff {
                *state = PeerState::Ready;
            }
        }
    }
}

/// Which hosts a report covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// The sender and the members that report to it.
    Cell,
    /// All hosts except the receiver.
    Rest,
    /// No host, since the receiver is not a partner of the sender: the signs of life in the report
    /// show the receiver to which hosts it should report instead.
    Nobody,
}

impl Scope {
    /// Returns whether signs of life in a report of this scope are new to a host for which the
    /// sender has `role`.
    ///
    /// A member's signs may originate from this host and would look younger on each round trip.
    pub fn has_new_signs(self, role: Option<PartnerRole>) -> bool {
        match role {
            Some(PartnerRole::Member) => false,
            Some(PartnerRole::Equal) => true,
            Some(PartnerRole::Relay) | None => self != Scope::Cell,
        }
    }
}

/// Running requests, spending and demand of a set of hosts.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Sums {
    /// Running requests at each target, sorted by target and model.
    pub running: Vec<RunningAt>,
    /// Units that each customer has spent, sorted by key.
    pub spent: Vec<(ShortKey, f64)>,
    /// Units that each customer was refused, sorted by key.
    pub refused: Vec<(ShortKey, f64)>,
    /// Number of requests for each recently requested model or adapter, sorted by key.
    pub asked: Vec<(ShortKey, f64)>,
}

/// Running requests, spending and demand of this host alone.
#[derive(Debug, Clone, Default)]
pub struct OwnCounts {
    /// Requests of this host that run at each target.
    pub running: Vec<RunningAt>,
    /// Units that each customer has spent.
    pub spent: Vec<(ShortKey, f64)>,
    /// Units that each customer was refused.
    pub refused: Vec<(ShortKey, f64)>,
    /// Number of requests for each model or adapter.
    pub asked: Counters,
    /// Whether the next report omits the demand of every host.
    pub omits_asked: bool,
}

/// Requests for one model that run at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningAt {
    /// Key of the target's id.
    pub target: ShortKey,
    /// Key of the model.
    pub model: ShortKey,
    /// Number of requests.
    pub running: u32,
    /// Upper bound of the tokens that the requests read and write.
    pub tokens: u64,
}

/// A model or adapter that requests wait for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WantedName {
    /// Service whose engines should hold the model.
    pub service: Name,
    /// Name of the model.
    pub model: Name,
    /// Adapter on the model; `None` if the requests need the model alone.
    pub adapter: Option<Name>,
    /// Software version that the engine must run; `None` if any will do.
    pub version: Option<ShortKey>,
    /// Number of waiting requests.
    pub waiting: u32,
    /// How long the oldest of them has waited.
    pub oldest_ms: u64,
    /// The most urgent priority among them; 0 is served first.
    pub priority: u8,
}

/// The lease on giving orders, as reported between hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedLease {
    /// Host that holds the lease.
    pub holder: Name,
    /// Fencing token of the holder's orders.
    pub token: u64,
    /// Revision of the lease record in the store.
    pub revision: u64,
    /// Time since the last renewal was started.
    pub renewed_age_ms: u64,
}

/// A model or adapter that became available or unavailable at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedPlacement {
    /// Key of the target's id.
    pub target: ShortKey,
    /// Key of the model, or of the adapter together with its model.
    pub name: ShortKey,
    /// Version of the change; orders the changes of one holder.
    pub version: u64,
    /// Whether requests for it can run at the target.
    pub is_ready: bool,
}

/// A host that reports to this one.
#[derive(Debug, Clone)]
pub struct Peer {
    /// The last report.
    pub report: PeerReport,
    /// When the last report was received.
    pub heard_at: TimeMs,
    /// Earlier incarnations, the most recent last; reports from these are outdated.
    earlier_incarnations: Vec<u64>,
    /// Role of the host at the last report, if its counts were applied.
    role: Option<PartnerRole>,
    /// Counts that the host last reported for each key; a report may omit a key of `asked`.
    spent_reported: Counters,
    refused_reported: Counters,
    asked_reported: Counters,
    /// Counts that were applied. They exclude counts from before the first report and from long
    /// silences.
    spent_applied: Counters,
    refused_applied: Counters,
    asked_applied: Counters,
}

/// The hosts that report to this one, and the sums of their counts.
#[derive(Debug, Default)]
pub struct PeerTable {
    /// Sorted by name.
    peers: Vec<Peer>,
    layout: ReportLayout,
    /// Counts applied from members, and from all hosts.
    members: AppliedCounts,
    all: AppliedCounts,
}

#[derive(Debug, Default)]
struct AppliedCounts {
    spent: Counters,
    refused: Counters,
    asked: Counters,
}

/// Difference between a report and the previous one of the same host.
#[derive(Debug, Default, PartialEq)]
pub struct ReportDifference {
    /// Units that each customer spent in between.
    pub spent: Vec<(ShortKey, f64)>,
    /// Units that each customer was refused in between.
    pub refused: Vec<(ShortKey, f64)>,
    /// Number of requests for each model or adapter in between.
    pub asked: Vec<(ShortKey, f64)>,
    /// Whether the counts have the scope that this host expects from the sender.
    pub is_counted: bool,
}

impl PeerTable {
    /// Applies a report; drops a report that is older than the last one.
    ///
    /// After a silence of `long_silence_ms`, spending during the silence is not applied: it was
    /// covered by the sender's fraction of the rate, which this host left unused.
    pub fn heard(
        &mut self,
        now: TimeMs,
        report: PeerReport,
        long_silence_ms: u64,
    ) -> Option<ReportDifference> {
        let role = self.layout.role(&report.sender.host).filter(|role| match role {
            PartnerRole::Relay => report.scope == Scope::Rest,
            PartnerRole::Member | PartnerRole::Equal => report.scope == Scope::Cell,
        });
        let index = match self.position(&report.sender.host) {
            Ok(index) => index,
            Err(index) => {
                self.peers.insert(index, Peer::new(now, report, role));
                return Some(ReportDifference {
                    is_counted: role.is_some(),
                    ..ReportDifference::default()
                });
            }
        };
        let peer = &mut self.peers[index];
        if peer.is_outdated(&report, now.since_ms(peer.heard_at) < long_silence_ms) {
            return None;
        }
        if report.incarnation != peer.report.incarnation || role != peer.role {
            // Counts from before are not included in these sums, or are included in those of
            // another host.
            let mut new_peer = Peer::new(now, report, role);
            new_peer.earlier_incarnations = peer.incarnations_before(new_peer.report.incarnation);
            new_peer.spent_applied = std::mem::take(&mut peer.spent_applied);
            new_peer.refused_applied = std::mem::take(&mut peer.refused_applied);
            new_peer.asked_applied = std::mem::take(&mut peer.asked_applied);
            *peer = new_peer;
            return Some(ReportDifference {
                is_counted: role.is_some(),
                ..ReportDifference::default()
            });
        }
        let was_silent = now.since_ms(peer.heard_at) >= long_silence_ms;
        let mut difference = peer.apply_sums(now, &report.sums);
        peer.report = report;
        peer.heard_at = now;
        if was_silent {
            difference.spent.clear();
            difference.refused.clear();
        }
        if role.is_none() {
            return Some(ReportDifference::default());
        }
        difference.is_counted = true;
        let is_member = role == Some(PartnerRole::Member);
        for (key, units) in &difference.spent {
            peer.spent_applied.add(now, *key, *units);
            self.all.spent.add(now, *key, *units);
            if is_member {
                self.members.spent.add(now, *key, *units);
            }
        }
        for (key, units) in &difference.refused {
            peer.refused_applied.add(now, *key, *units);
            self.all.refused.add(now, *key, *units);
            if is_member {
                self.members.refused.add(now, *key, *units);
            }
        }
        for (key, count) in &difference.asked {
            peer.asked_applied.add(now, *key, *count);
            self.all.asked.add(now, *key, *count);
            if is_member {
                self.members.asked.add(now, *key, *count);
            }
        }
        Some(difference)
    }

    /// Sets the layout, which determines who reports to whom.
    pub fn set_layout(&mut self, layout: ReportLayout) {
        self.layout = layout;
    }

    /// Returns the layout, which determines who reports to whom.
    pub fn layout(&self) -> &ReportLayout {
        &self.layout
    }

    /// Returns the scope and the sums that this host should report to `host`.
    pub fn sums_for(&self, now: TimeMs, host: &Name, own: &OwnCounts) -> (Scope, Sums) {
        let outgoing = self.outgoing(host);
        let applied = outgoing.applied;
        let mut asked: Vec<ShortKey> = Vec::new();
        if !own.omits_asked {
            asked.extend(own.asked.changed(now, ASKED_REPEAT_MS).iter().map(key));
            asked.extend(applied.asked.changed(now, ASKED_REPEAT_MS).iter().map(key));
        }
        asked.sort_unstable();
        asked.dedup();
        let asked = asked.into_iter().map(|key| {
            let reported_by_member =
                outgoing.member.map_or(0.0, |peer| peer.asked_applied.count(key));
            (key, own.asked.count(key) + applied.asked.count(key) - reported_by_member)
        });
        let others = applied.spent.all().into_iter().map(|(key, units)| {
            let reported_by_member =
                outgoing.member.map_or(0.0, |peer| peer.spent_applied.count(key));
            (key, units - reported_by_member)
        });
        let refused_to_others = applied.refused.all().into_iter().map(|(key, units)| {
            let reported_by_member =
                outgoing.member.map_or(0.0, |peer| peer.refused_applied.count(key));
            (key, units - reported_by_member)
        });
        let running = self.peers.iter().filter(|peer| {
            let is_in_scope = match peer.role {
                Some(PartnerRole::Member) => true,
                Some(PartnerRole::Equal | PartnerRole::Relay) => outgoing.scope == Scope::Rest,
                None => false,
            };
            is_in_scope && now.since_ms(peer.heard_at) < RUNNING_EXPIRY_MS && peer.name() != host
        });
        let running = running.flat_map(|peer| peer.report.sums.running.iter().copied());
        let sums = Sums {
            running: sum_running(own.running.iter().copied().chain(running)),
            spent: sum_counts(own.spent.iter().copied().chain(others)),
            refused: sum_counts(own.refused.iter().copied().chain(refused_to_others)),
            asked: asked.collect(),
        };
        (outgoing.scope, sums)
    }

    /// Returns the spending of a customer, through this host and those it reports for, that the
    /// sender of `report` has not received yet.
    ///
    /// Returns `None` if there is such spending and the sender has received none of it, as after a
    /// restart.
    pub fn missing_units(
        &self,
        report: &PeerReport,
        customer: ShortKey,
        own_units: f64,
    ) -> Option<f64> {
        let outgoing = self.outgoing(&report.sender.host);
        let reported_by_member =
            outgoing.member.map_or(0.0, |peer| peer.spent_applied.count(customer));
        let spent = own_units + outgoing.applied.spent.count(customer) - reported_by_member;
        match report.heard.iter().find(|(heard, _)| *heard == customer) {
            Some((_, heard_units)) => Some(spent - heard_units),
            None => (spent == 0.0).then_some(0.0),
        }
    }

    fn outgoing(&self, host: &Name) -> OutgoingSums<'_> {
        match self.layout.role(host) {
            Some(PartnerRole::Member) => {
                OutgoingSums { scope: Scope::Rest, applied: &self.all, member: self.peer(host) }
            }
            _ => OutgoingSums { scope: Scope::Cell, applied: &self.members, member: None },
        }
    }

    /// Returns the hosts that report to this one although they are not its partners.
    ///
    /// They know too few hosts, and receive the list of live hosts in return. A report with scope
    /// `Nobody` does not count; otherwise two hosts would keep answering each other.
    pub fn unpaired_hosts(&self, now: TimeMs, within_ms: u64) -> impl Iterator<Item = &Name> {
        let is_unpaired = move |peer: &&Peer| {
            now.since_ms(peer.heard_at) < within_ms
                && peer.report.scope != Scope::Nobody
                && self.layout.role(peer.name()).is_none()
        };
        self.peers.iter().filter(is_unpaired).map(Peer::name)
    }

    /// Returns the hosts whose counts are no longer valid: they are silent, or report to another
    /// host.
    pub fn lapsed(&self, now: TimeMs) -> impl Iterator<Item = &Name> {
        let is_lapsed = move |peer: &&Peer| {
            now.since_ms(peer.heard_at) >= RUNNING_EXPIRY_MS
                || self.layout.role(peer.name()).is_none()
        };
        self.peers.iter().filter(is_lapsed).map(Peer::name)
    }

    /// Returns the host with this `name`, if it reports to this one.
    pub fn peer(&self, name: &str) -> Option<&Peer> {
        self.position(name).ok().map(|index| &self.peers[index])
    }

    /// Removes a host that is known to be gone.
    pub fn forget(&mut self, name: &str) {
        if let Ok(index) = self.position(name) {
            self.peers.remove(index);
        }
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.peers.binary_search_by(|peer| peer.name().as_str().cmp(name))
    }
}

/// What this host reports to another one.
struct OutgoingSums<'a> {
    scope: Scope,
    /// Counts that this host applied and passes on.
    applied: &'a AppliedCounts,
    /// The receiver, if its own counts must be excluded.
    member: Option<&'a Peer>,
}

impl Peer {
    fn new(now: TimeMs, report: PeerReport, role: Option<PartnerRole>) -> Peer {
        let mut peer = Peer {
            heard_at: now,
            earlier_incarnations: Vec::new(),
            role,
            spent_reported: Counters::default(),
            refused_reported: Counters::default(),
            asked_reported: Counters::default(),
            spent_applied: Counters::default(),
            refused_applied: Counters::default(),
            asked_applied: Counters::default(),
            report,
        };
        let sums = peer.report.sums.clone();
        // Counts from before the first report are not a difference.
        peer.apply_sums(now, &sums);
        peer
    }

    fn name(&self) -> &Name {
        &self.report.sender.host
    }

    /// Returns whether a report was sent before the last received one.
    ///
    /// Once the current incarnation is silent, a delayed report of an earlier incarnation may have
    /// replaced it wrongly, so reports of remembered incarnations are accepted again.
    fn is_outdated(&self, report: &PeerReport, is_current_incarnation_heard: bool) -> bool {
        if report.incarnation == self.report.incarnation {
            report.sent_at <= self.report.sent_at
        } else {
            is_current_incarnation_heard && self.earlier_incarnations.contains(&report.incarnation)
        }
    }

    /// Returns the incarnations before `incarnation`, which is either the current one or a new one.
    fn incarnations_before(&mut self, incarnation: u64) -> Vec<u64> {
        let mut incarnations = std::mem::take(&mut self.earlier_incarnations);
        if incarnation != self.report.incarnation {
            incarnations.push(self.report.incarnation);
            incarnations.drain(..incarnations.len().saturating_sub(EARLIER_INCARNATIONS_MAX));
        }
        incarnations
    }

    /// Returns the difference between `sums` and the previously reported sums, and stores the new
    /// sums.
    fn apply_sums(&mut self, now: TimeMs, sums: &Sums) -> ReportDifference {
        let mut difference = ReportDifference::default();
        for &(key, units) in &sums.spent {
            // Every customer that has spent anything is listed, so a customer that was missing
            // before had spent nothing.
            let before = self.spent_reported.set(now, key, units).unwrap_or_default();
            difference.spent.push((key, units - before));
        }
        for &(key, units) in &sums.refused {
            // The same holds for customers that were refused anything.
            let before = self.refused_reported.set(now, key, units).unwrap_or_default();
            difference.refused.push((key, units - before));
        }
        for &(key, count) in &sums.asked {
            // Only recently requested names are listed, so a name that appears was requested at
            // least once.
            let before = self.asked_reported.set(now, key, count).unwrap_or(count - 1.0);
            difference.asked.push((key, count - before));
        }
        difference.spent.retain(|(_, units)| *units != 0.0);
        difference.refused.retain(|(_, units)| *units > 0.0);
        difference.asked.retain(|(_, count)| *count > 0.0);
        difference
    }
}

fn key((key, _): &(ShortKey, f64)) -> ShortKey {
    *key
}

fn sum_counts(counts: impl Iterator<Item = (ShortKey, f64)>) -> Vec<(ShortKey, f64)> {
    let mut sums: Vec<(ShortKey, f64)> = Vec::new();
    for (key, count) in counts {
        match sums.binary_search_by_key(&key, |(key, _)| *key) {
            Ok(index) => sums[index].1 += count,
            Err(index) => sums.insert(index, (key, count)),
        }
    }
    sums
}

fn sum_running(running: impl Iterator<Item = RunningAt>) -> Vec<RunningAt> {
    let mut sums: Vec<RunningAt> = Vec::new();
    let sort_key = |at: &RunningAt| (at.target, at.model);
    for at in running {
        match sums.binary_search_by_key(&sort_key(&at), sort_key) {
            Ok(index) => {
                sums[index].running += at.running;
                sums[index].tokens += at.tokens;
            }
            Err(index) => sums.insert(index, at),
        }
    }
    sums
}
