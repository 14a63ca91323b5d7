use lycheeford_policy::{Name, Peer, PeerReport, PeerState, ReportedLease, ShortKey, WantedName};
use slog::info;

use crate::state::State;

/// How long a name that was asked for stands in the reports, so that a lost one loses nothing.
const ASKED_MS: u64 = 3_000;

/// What is the same in all reports that are sent at one time.
#[derive(Debug, Clone)]
pub(super) struct Common {
    report: PeerReport,
    /// What requests wait for, for the holder of orders alone.
    wanted: Vec<WantedName>,
}

impl Common {
    /// Gathers what this host tells the others now.
    pub(super) fn gather(state: &State) -> Common {
        let now = state.now();
        let (running, wanted, placements_known) = {
            let mut dispatcher = state.dispatcher();
            let known = dispatcher.placements_known;
            (dispatcher.targets.runs_here(), dispatcher.wanted(now), known)
        };
        let held = state.orders().lease.held(now);
        let lease = held.map(|(token, revision, renewed_age_ms)| ReportedLease {
            token,
            revision,
            renewed_age_ms,
        });
        let (spent, levels, asked) = {
            let rates = state.rates();
            (rates.spent(), rates.levels(now), rates.asked(now, ASKED_MS))
        };
        let suspects = state.suspects();
        let suspects: Vec<(u64, Vec<Name>)> = suspects
            .reports()
            .iter()
            .map(|suspect| (suspect.fingerprint, suspect.crashes.clone()))
            .collect();
        let confirmation = *state.confirmation();
        let settings = &state.settings;
        let report = PeerReport {
            host: settings.host.clone(),
            incarnation: state.incarnation,
            sent_at: now,
            echo: None,
            peer_address: settings.peer_address,
            caller_address: settings.caller_address,
            failure_domain: settings.failure_domain.clone(),
            state: state.standing(now),
            revision: confirmation.revision(),
            confirmed_age_ms: confirmation.age_ms(now),
            running,
            spent,
            levels,
            heard: Vec::new(),
            asked,
            wanted: Vec::new(),
            suspects,
            lease,
            placements: Vec::new(),
            waits: Vec::new(),
            placements_known,
        };
        Common { report, wanted }
    }

    /// Returns whether requests wait for something that only the holder of orders can change.
    pub(super) fn wants_anything(&self) -> bool {
        !self.wanted.is_empty()
    }

    /// Returns the report for one host.
    pub(super) fn for_peer(&self, state: &State, peer: &Peer) -> PeerReport {
        let mut report = self.report.clone();
        report.echo = Some(peer.report.sent_at);
        report.heard.clone_from(&peer.report.spent);
        if peer.report.lease.is_some() {
            report.wanted.clone_from(&self.wanted);
        }
        if let Some(lease) = &report.lease {
            let (token, version) = peer.report.placements_known;
            let version = if token == lease.token { version } else { 0 };
            let orders = state.orders();
            report.placements = orders.placements.changes_since(version).to_vec();
            if !peer.report.wanted.is_empty() {
                report.waits = orders.waits();
            }
        }
        report
    }

    /// Returns the report for a host that hasn't been heard yet.
    pub(super) fn for_stranger(&self) -> PeerReport {
        self.report.clone()
    }
}

/// Takes in what another host says.
pub(super) fn take_report(state: &State, report: &PeerReport) {
    let now = state.now();
    if report.host == state.settings.host {
        return;
    }
    let before = state.peers().peer(&report.host).map(|peer| peer.report.state);
    let Some(news) = state.peers().heard(now, report.clone()) else { return };
    if news.is_new || before != Some(report.state) {
        info!(state.log, "peer_seen"; "peer" => report.host.as_str(), "state" => ?report.state);
    }
    if let Some(lease) = report.lease {
        state.orders().lease.heard(now, &report.host, lease.revision, lease.renewed_age_ms);
    }
    confirm(state, report);
    {
        let mut rates = state.rates();
        for (customer, units) in news.spent {
            rates.spent_elsewhere(now, customer, units);
        }
        for (customer, level) in &report.levels {
            let heard = report.heard.iter().find(|(heard, _)| heard == customer);
            let heard_units = heard.map_or(0.0, |(_, units)| *units);
            rates.level_elsewhere(now, *customer, *level, heard_units);
        }
    }
    take_asked(state, &news.asked);
    for (fingerprint, crashes) in &report.suspects {
        let mut suspects = state.suspects();
        for life in crashes {
            suspects.crashed(*fingerprint, life);
        }
    }
    {
        let mut dispatcher = state.dispatcher();
        let is_running = report.state != PeerState::Starting;
        dispatcher
            .targets
            .runs_elsewhere(&report.host, if is_running { &report.running } else { &[] });
        if let Some(lease) = report.lease {
            dispatcher.take_placements(lease.token, &report.placements);
            dispatcher.take_waits(now, &report.waits);
        }
        dispatcher.dispatch(now);
    }
    if !report.wanted.is_empty() {
        state.wake_planner();
    }
}

/// Takes over another host's confirmation that a declaration is the newest.
///
/// The report answers one of this host's own, so that what it says held at
/// some moment after that one was sent, whatever lay in a buffer since.
fn confirm(state: &State, report: &PeerReport) {
    let known = state.deployment.load().as_ref().map_or(0, |deployment| deployment.revision);
    let mut confirmation = state.confirmation();
    if let (Some(echo), Some(age_ms)) = (report.echo, report.confirmed_age_ms)
        && report.revision == known
        && known > 0
    {
        confirmation.confirm(known, echo - age_ms);
    }
    if report.revision > known {
        confirmation.superseded_by(report.revision);
    }
}

fn take_asked(state: &State, asked: &[(ShortKey, u64)]) {
    let now = state.now();
    let mut demand = state.demand();
    for (name, count) in asked {
        demand.asked(now, *name, *count);
    }
    drop(demand);
    let mut orders = state.orders();
    for (name, _) in asked {
        orders.adapters.used(now, *name);
    }
}

/// Applies the placements that this host decided itself.
pub(crate) fn apply_own_placements(state: &State) {
    let now = state.now();
    let (token, placements, waits) = {
        let orders = state.orders();
        let Some((token, _, _)) = orders.lease.held(now) else { return };
        (token, orders.placements.changes_since(0).to_vec(), orders.waits())
    };
    let mut dispatcher = state.dispatcher();
    dispatcher.take_waits(now, &waits);
    dispatcher.take_placements(token, &placements);
    dispatcher.dispatch(now);
}
