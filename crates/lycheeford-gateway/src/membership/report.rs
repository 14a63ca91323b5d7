use lycheeford_policy::{
    Name, OwnCounts, PartnerRole, PeerReport, ReportDifference, ReportedLease, Scope, ShortKey,
    StoreVersion, Sums,
};
use slog::info;

use crate::fleet::{apply_evacuations, apply_reported_changes, request_probe};
use crate::request::{apply_reported_leaving, log_refused};
use crate::state::State;

/// The most placements in one report.
const PLACEMENTS_MAX: usize = 500;
/// In a fleet that reports by relays, one round of reports in this many has the request counts.
const REQUEST_COUNT_ROUNDS: usize = 4;
/// The most target changes in one report; later reports carry the rest.
const TARGET_CHANGES_MAX: usize = 24;

/// The part of a report that is the same for all receivers in one round.
#[derive(Debug, Clone)]
pub(super) struct SharedReport {
    report: PeerReport,
    own: OwnCounts,
}

impl SharedReport {
    /// Collects the state to report in one round.
    pub(super) fn gather(state: &State, round: usize) -> SharedReport {
        let now = state.now();
        apply_own_placements(state);
        let (running, placements_known, leaving) = {
            let dispatcher = state.dispatcher();
            let targets = &dispatcher.targets;
            (targets.runs_here(), dispatcher.placements_known(), targets.leaving_to_announce(now))
        };
        let omits_asked = state.membership().hosts.reports_by_relays()
            && !round.is_multiple_of(REQUEST_COUNT_ROUNDS);
        let (own, levels) = {
            let rates = state.rates();
            let own = OwnCounts {
                running,
                spent: rates.spent(),
                refused: rates.refused(),
                asked: rates.asked().clone(),
                omits_asked,
            };
            (own, rates.levels(now))
        };
        let (suspects, suspects_digest) = {
            let mut suspects = state.suspects();
            suspects.expire(now);
            (suspects.excerpt(now, round), suspects.digest())
        };
        let is_settled = {
            let mut membership = state.membership();
            let visibility = membership.hosts.visibility(now);
            membership.settling.watch(now, &visibility);
            membership.settling.is_settled()
        };
        let (target_answer_age_ms, lacks_targets) = {
            let reach = state.reach();
            (reach.answer_age_ms(now, None), reach.has_failed_probe())
        };
        let confirmation = *state.confirmation();
        let (watch, targets_known) = {
            let sync = state.target_sync();
            (sync.watch, sync.log.known())
        };
        let report = PeerReport {
            sender: state.settings.record(),
            incarnation: state.incarnation,
            sent_at: state.report_stamp.mark(now),
            echo: None,
            state: state.serving_state(now),
            is_settled,
            scope: Scope::Cell,
            sums: Sums::default(),
            levels,
            heard: Vec::new(),
            signs: Vec::new(),
            suspects,
            suspects_digest,
            revision: confirmation.revision(),
            declared: state.deployment.load().as_ref().map_or(0, |known| known.version),
            target_answer_age_ms,
            lacks_targets,
            knows_cut_off: true,
            confirmed_age_ms: confirmation.age_ms(now),
            targets_changed: watch.changed(),
            targets_age_ms: watch.age_ms(now),
            lease: own_lease(state).or_else(|| state.membership().lease(now)),
            placements: Vec::new(),
            placements_known,
            targets_known,
            target_changes: None,
            leaving,
            evacuations: state.evacuations().report(now),
        };
        SharedReport { report, own }
    }

    /// Returns the report for a partner, or for a visitor, which has no role.
    pub(super) fn for_host(
        &self,
        state: &State,
        host: &Name,
        role: Option<PartnerRole>,
    ) -> PeerReport {
        let now = state.now();
        let mut report = self.report.clone();
        report.target_answer_age_ms = state.reach().answer_age_ms(now, role);
        let mut placements_known = (0, 0);
        let mut targets_known = None;
        {
            let membership = state.membership();
            (report.scope, report.sums) = match role {
                Some(_) => membership.peers.sums_for(now, host, &self.own),
                None => (Scope::Nobody, Sums::default()),
            };
            report.signs = membership.hosts.signs(now, membership.peers.layout(), role);
            let peer = membership.peers.peer(host);
            if !peer.is_some_and(|peer| peer.report.knows_cut_off) {
                report.hide_cut_off();
            }
            if let Some(peer) = peer {
                report.echo = Some(peer.report.sent_at);
                report.heard.clone_from(&peer.report.sums.spent);
                if peer.report.suspects_digest == report.suspects_digest {
                    report.suspects.clear();
                }
                placements_known = peer.report.placements_known;
                targets_known = Some(peer.report.targets_known);
            }
        }
        report.target_changes = targets_known
            .and_then(|known| state.target_sync().log.since(known, TARGET_CHANGES_MAX));
        let (token, version) = placements_known;
        if token <= report.placements_known.0 {
            let version = if token == report.placements_known.0 { version } else { 0 };
            let dispatcher = state.dispatcher();
            let changes = dispatcher.placements.changes_since(version);
            // The rest follows in later reports, since the size of a datagram is limited.
            report.placements = changes[..changes.len().min(PLACEMENTS_MAX)].to_vec();
        }
        report
    }

    /// Returns the report for a host from which no report has been received yet.
    pub(super) fn for_unknown_host(&self) -> PeerReport {
        let SharedReport { report, own } = self;
        let sums = Sums { spent: own.spent.clone(), ..Sums::default() };
        let mut report = PeerReport { sums, ..report.clone() };
        report.hide_cut_off();
        report
    }
}

/// Returns the lease, if this host holds it.
fn own_lease(state: &State) -> Option<ReportedLease> {
    let (token, revision, renewed_age_ms) = state.orders().lease.held(state.now())?;
    Some(ReportedLease { holder: state.settings.host.clone(), token, revision, renewed_age_ms })
}

/// Applies a report of another host.
pub(super) fn apply_report(state: &State, report: &PeerReport) {
    let now = state.now();
    let host = &report.sender.host;
    if *host == state.settings.host {
        return;
    }
    let (news, changed_hosts, role) = {
        let mut membership = state.membership();
        let long_silence_ms = membership.hosts.long_silence_ms();
        let Some(news) = membership.peers.heard(now, report.clone(), long_silence_ms) else {
            return;
        };
        let mut changed = Vec::new();
        if membership.hosts.record_report(now, &report.sender, report.state) {
            changed.push(host.clone());
        }
        let role = membership.peers.layout().role(host);
        if report.scope.has_new_signs(role) {
            changed.extend(membership.hosts.merge_signs(now, &report.signs));
        }
        if let Some(lease) = &report.lease {
            membership.record_lease(now, lease);
        }
        (news, changed, role)
    };
    for changed in changed_hosts {
        log_host(state, &changed);
    }
    if let Some(lease) = report.lease.as_ref().filter(|lease| lease.holder != state.settings.host) {
        let mut orders = state.orders();
        orders.lease.heard(now, &lease.holder, lease.revision, lease.renewed_age_ms);
    }
    if let Some(age_ms) = report.target_answer_age_ms {
        state.reach().heard(now, role, age_ms);
    }
    if report.lacks_targets && state.reach().needs_answer(now) {
        request_probe(state);
    }
    apply_reported_changes(state, report);
    apply_store_state(state, report);
    if news.is_counted {
        apply_levels(state, report, &news);
    }
    apply_request_counts(state, &news.asked);
    apply_reported_leaving(state, &report.leaving);
    let refused = state.suspects().merge(now, &report.suspects);
    log_refused(state, &refused, host);
    let mut dispatcher = state.dispatcher();
    if news.is_counted {
        dispatcher.targets.runs_elsewhere(host, &report.sums.running);
    }
    dispatcher.apply_placements(report.placements_known.0, &report.placements);
    dispatcher.dispatch(now);
}

fn log_host(state: &State, host: &Name) {
    let membership = state.membership();
    if let Some(known) = membership.hosts.host(host) {
        info!(state.log, "peer_seen"; "peer" => host.as_str(), "state" => ?known.state);
    }
}

/// Applies the customers' spending and bucket levels that another host reports.
fn apply_levels(state: &State, report: &PeerReport, news: &ReportDifference) {
    let now = state.now();
    let mut membership = state.membership();
    membership.settling.heard(report.is_settled);
    let mut rates = state.rates();
    for (customer, units) in &news.spent {
        rates.spent_elsewhere(now, *customer, *units);
    }
    for (customer, units) in &news.refused {
        rates.refused_elsewhere(now, *customer, *units);
    }
    for (customer, level) in &report.levels {
        let own_units = rates.spent_here(*customer);
        let missing_units = membership.peers.missing_units(report, *customer, own_units);
        // A bucket level is meaningless if its host has received no reports yet.
        let Some(missing_units) = missing_units else { continue };
        rates.level_elsewhere(now, *customer, *level, missing_units);
    }
}

/// Applies what another host knows of the store.
///
/// The report answers one of this host's own reports, so its contents were true at some moment
/// after that report was sent, however long the answer lay in a buffer.
fn apply_store_state(state: &State, report: &PeerReport) {
    let sent_at = report.echo.and_then(|echo| state.report_stamp.own_time(state.now(), echo));
    let deployment = state.deployment.load_full();
    let (known, declared) =
        deployment.map_or((0, 0), |deployment| (deployment.revision, deployment.version));
    {
        let mut confirmation = state.confirmation();
        confirmation.require_declared(declared, report.declared);
        if let (Some(sent_at), Some(age_ms)) = (sent_at, report.confirmed_age_ms)
            && report.revision == known
            && known > 0
            && confirmation.may_confirm(declared)
        {
            confirmation.confirm(known, sent_at - age_ms);
        }
    }
    if report.revision > known {
        if !is_from_older_copy(report, known, declared) {
            state.confirmation().superseded_by(report.revision);
        }
        state.declaration_pace.wake();
    }
    if let (Some(sent_at), Some(reported)) = (sent_at, &report.evacuations) {
        apply_evacuations(
            state,
            reported.revision,
            sent_at - reported.age_ms,
            reported.domains.clone(),
        );
    }
    let as_of = match (sent_at, report.targets_age_ms) {
        (Some(sent_at), Some(age_ms)) => Some(sent_at - age_ms),
        _ => None,
    };
    let mut sync = state.target_sync();
    let known = sync.log.known();
    sync.watch.heard(state.now(), known, report.targets_changed, as_of);
}

/// Returns whether the declaration of another host is no newer than this host's in spite of its
/// greater revision: it comes from the copy from which the store was restored.
///
/// A host with an earlier version of this program doesn't report the number of its declaration.
fn is_from_older_copy(report: &PeerReport, known: u64, declared: u64) -> bool {
    let era = |revision| StoreVersion::from_number(revision).era;
    era(report.revision) > era(known) && report.declared != 0 && report.declared <= declared
}

fn apply_request_counts(state: &State, asked: &[(ShortKey, f64)]) {
    let now = state.now();
    let mut demand = state.demand();
    for (name, count) in asked {
        demand.asked(now, *name, *count as u64);
    }
    drop(demand);
    let mut orders = state.orders();
    for (name, _) in asked {
        orders.adapters.used(now, *name);
    }
}

/// Applies the placements that this host decided as the lease holder.
pub(crate) fn apply_own_placements(state: &State) {
    let now = state.now();
    let mut dispatcher = state.dispatcher();
    let (known_token, known_version) = dispatcher.placements_known();
    let (token, placements, waits) = {
        let orders = state.orders();
        let Some((token, _, _)) = orders.lease.held(now) else { return };
        let version = if token == known_token { known_version } else { 0 };
        (token, orders.placements.changes_since(version).to_vec(), orders.remaining_waits())
    };
    dispatcher.update_waits(now, &waits);
    dispatcher.apply_placements(token, &placements);
    dispatcher.dispatch(now);
}
