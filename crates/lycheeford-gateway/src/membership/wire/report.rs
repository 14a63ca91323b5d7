use lycheeford_policy::{
    CrashCause, CrashSuspect, HostRecord, HostSign, Name, PeerReport, PeerState,
    ReportedEvacuations, ReportedLease, ReportedPlacement, RunningAt, Scope, ShortKey, Sums,
    SuspectedCrash, TargetChangeBatch, TargetLife, TimeMs,
};
use snafu::OptionExt;

use super::counts::{WireCount, WireRunning};
use super::host::{WireHost, WireSign, state_from_wire, state_to_wire};
use super::limits::WireTargetLife;
use super::orders::{WireLease, WirePlacement};
use super::targets::WireToldChanges;
use super::{DecodeError, FieldSnafu};

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireReport {
    #[prost(message, optional, tag = "1")]
    sender: Option<WireHost>,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    sent_at_ms: u64,
    #[prost(uint64, optional, tag = "4")]
    echo_ms: Option<u64>,
    #[prost(uint32, tag = "5")]
    state: u32,
    #[prost(uint32, tag = "6")]
    scope: u32,
    #[prost(message, repeated, tag = "7")]
    running: Vec<WireRunning>,
    #[prost(message, repeated, tag = "8")]
    spent: Vec<WireCount>,
    #[prost(message, repeated, tag = "9")]
    asked: Vec<WireCount>,
    #[prost(message, repeated, tag = "10")]
    levels: Vec<WireCount>,
    #[prost(message, repeated, tag = "11")]
    heard: Vec<WireCount>,
    #[prost(message, repeated, tag = "12")]
    signs: Vec<WireSign>,
    #[prost(message, repeated, tag = "13")]
    suspects: Vec<WireSuspect>,
    #[prost(uint64, tag = "14")]
    revision: u64,
    #[prost(uint64, optional, tag = "15")]
    confirmed_age_ms: Option<u64>,
    #[prost(uint64, tag = "16")]
    targets_changed: u64,
    #[prost(uint64, optional, tag = "17")]
    targets_age_ms: Option<u64>,
    #[prost(message, optional, tag = "18")]
    lease: Option<WireLease>,
    #[prost(message, repeated, tag = "19")]
    placements: Vec<WirePlacement>,
    #[prost(uint64, tag = "20")]
    placements_token: u64,
    #[prost(uint64, tag = "21")]
    placements_version: u64,
    #[prost(fixed64, tag = "22")]
    suspects_digest: u64,
    #[prost(message, repeated, tag = "23")]
    refused: Vec<WireCount>,
    #[prost(bool, tag = "24")]
    is_settled: bool,
    #[prost(message, repeated, tag = "25")]
    leaving: Vec<WireTargetLife>,
    #[prost(uint64, tag = "26")]
    targets_known: u64,
    #[prost(message, optional, tag = "27")]
    target_changes: Option<WireToldChanges>,
    #[prost(uint64, tag = "28")]
    declared: u64,
    #[prost(uint64, optional, tag = "29")]
    target_answer_age_ms: Option<u64>,
    #[prost(bool, tag = "30")]
    lacks_targets: bool,
    /// Absent if the sender was built before the field was added.
    #[prost(bool, tag = "31")]
    knows_cut_off: bool,
    /// Absent if the sender doesn't follow evacuations.
    #[prost(message, optional, tag = "32")]
    evacuations: Option<WireEvacuations>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireEvacuations {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(uint64, tag = "2")]
    age_ms: u64,
    #[prost(string, repeated, tag = "3")]
    domains: Vec<String>,
}

impl From<ReportedEvacuations> for WireEvacuations {
    fn from(reported: ReportedEvacuations) -> WireEvacuations {
        let ReportedEvacuations { revision, age_ms, domains } = reported;
        let domains = domains.iter().map(|domain| domain.as_str().to_owned()).collect();
        WireEvacuations { revision, age_ms, domains }
    }
}

impl From<WireEvacuations> for ReportedEvacuations {
    fn from(wire: WireEvacuations) -> ReportedEvacuations {
        let WireEvacuations { revision, age_ms, domains } = wire;
        let mut domains: Vec<Name> = domains.into_iter().map(Name::from).collect();
        domains.sort();
        ReportedEvacuations { revision, age_ms, domains }
    }
}

impl WireReport {
    /// Removes content in a form that only newer builds know, so that the rest of the report is
    /// understood. Returns the fields that had such content.
    ///
    /// A host in an unknown state counts as alive but gets no callers, and the sums of an unknown
    /// set of hosts aren't counted.
    pub(super) fn remove_unknown(&mut self) -> Vec<&'static str> {
        let mut unread_fields = Vec::new();
        if state_from_wire(self.state).is_err() {
            self.state = state_to_wire(PeerState::Starting);
            unread_fields.push("state");
        }
        if scope_from_wire(self.scope).is_err() {
            self.scope = scope_to_wire(Scope::Nobody);
            unread_fields.push("scope");
        }
        let known_signs = self.signs.len();
        self.signs.retain(|sign| HostSign::try_from(sign.clone()).is_ok());
        if self.signs.len() < known_signs {
            unread_fields.push("signs");
        }
        let is_unknown =
            |changes: &mut WireToldChanges| TargetChangeBatch::try_from(changes.clone()).is_err();
        if self.target_changes.take_if(is_unknown).is_some() {
            unread_fields.push("target_changes");
        }
        unread_fields
    }
}

/// A request or a prompt part that may have crashed targets.
#[derive(Clone, PartialEq, prost::Message)]
struct WireSuspect {
    /// The fingerprint of the request, or the id of the prompt part.
    #[prost(fixed64, tag = "1")]
    key: u64,
    /// The lives of targets whose crashes may be due to it.
    #[prost(string, repeated, tag = "2")]
    crashes: Vec<String>,
    #[prost(bool, tag = "3")]
    is_prompt_part: bool,
    /// The lives of targets that turned out to have crashed for another reason.
    #[prost(string, repeated, tag = "4")]
    excused: Vec<String>,
    #[prost(uint64, tag = "5")]
    age_ms: u64,
}

impl From<PeerReport> for WireReport {
    fn from(report: PeerReport) -> WireReport {
        WireReport {
            sender: Some(WireHost::from(report.sender)),
            incarnation: report.incarnation,
            sent_at_ms: report.sent_at.as_ms(),
            echo_ms: report.echo.map(TimeMs::as_ms),
            state: state_to_wire(report.state),
            scope: scope_to_wire(report.scope),
            running: report.sums.running.into_iter().map(WireRunning::from).collect(),
            spent: counts_to_wire(report.sums.spent),
            refused: counts_to_wire(report.sums.refused),
            asked: counts_to_wire(report.sums.asked),
            levels: counts_to_wire(report.levels),
            heard: counts_to_wire(report.heard),
            signs: report.signs.into_iter().map(WireSign::from).collect(),
            suspects: report.suspects.into_iter().map(WireSuspect::from).collect(),
            revision: report.revision,
            declared: report.declared,
            confirmed_age_ms: report.confirmed_age_ms,
            target_answer_age_ms: report.target_answer_age_ms,
            lacks_targets: report.lacks_targets,
            knows_cut_off: report.knows_cut_off,
            targets_changed: report.targets_changed,
            targets_age_ms: report.targets_age_ms,
            lease: report.lease.map(WireLease::from),
            placements: report.placements.into_iter().map(WirePlacement::from).collect(),
            placements_token: report.placements_known.0,
            placements_version: report.placements_known.1,
            suspects_digest: report.suspects_digest,
            is_settled: report.is_settled,
            leaving: report.leaving.into_iter().map(WireTargetLife::from).collect(),
            evacuations: report.evacuations.map(WireEvacuations::from),
            targets_known: report.targets_known,
            target_changes: report.target_changes.map(WireToldChanges::from),
        }
    }
}

impl TryFrom<WireReport> for PeerReport {
    type Error = DecodeError;

    fn try_from(wire: WireReport) -> Result<PeerReport, DecodeError> {
        let signs: Result<Vec<HostSign>, DecodeError> =
            wire.signs.into_iter().map(HostSign::try_from).collect();
        Ok(PeerReport {
            sender: HostRecord::try_from(wire.sender.context(FieldSnafu { field: "sender" })?)?,
            incarnation: wire.incarnation,
            sent_at: TimeMs::from_ms(wire.sent_at_ms),
            echo: wire.echo_ms.map(TimeMs::from_ms),
            state: state_from_wire(wire.state)?,
            scope: scope_from_wire(wire.scope)?,
            sums: Sums {
                running: wire.running.into_iter().map(RunningAt::from).collect(),
                spent: counts_from_wire(wire.spent),
                refused: counts_from_wire(wire.refused),
                asked: counts_from_wire(wire.asked),
            },
            levels: counts_from_wire(wire.levels),
            heard: counts_from_wire(wire.heard),
            signs: signs?,
            suspects: wire.suspects.into_iter().map(CrashSuspect::from).collect(),
            revision: wire.revision,
            declared: wire.declared,
            confirmed_age_ms: wire.confirmed_age_ms,
            target_answer_age_ms: wire.target_answer_age_ms,
            lacks_targets: wire.lacks_targets,
            // The build that added the state added the other fields, too, and reported whichever
            // applied.
            knows_cut_off: wire.knows_cut_off
                || wire.target_answer_age_ms.is_some()
                || wire.lacks_targets,
            targets_changed: wire.targets_changed,
            targets_age_ms: wire.targets_age_ms,
            lease: wire.lease.map(ReportedLease::from),
            placements: wire.placements.into_iter().map(ReportedPlacement::from).collect(),
            placements_known: (wire.placements_token, wire.placements_version),
            suspects_digest: wire.suspects_digest,
            is_settled: wire.is_settled,
            leaving: wire.leaving.into_iter().map(TargetLife::from).collect(),
            evacuations: wire.evacuations.map(ReportedEvacuations::from),
            targets_known: wire.targets_known,
            target_changes: wire.target_changes.map(TargetChangeBatch::try_from).transpose()?,
        })
    }
}

impl From<CrashSuspect> for WireSuspect {
    fn from(suspect: CrashSuspect) -> WireSuspect {
        let (key, is_prompt_part) = match suspect.cause {
            CrashCause::Request(fingerprint) => (fingerprint, false),
            CrashCause::PromptPart(id) => (id, true),
        };
        let lives = |is_excused| {
            let crashes =
                suspect.crashes.iter().filter(move |crash| crash.is_excused == is_excused);
            crashes.map(|crash| crash.life.as_str().to_owned()).collect()
        };
        let (crashes, excused) = (lives(false), lives(true));
        WireSuspect { key, crashes, is_prompt_part, excused, age_ms: suspect.age_ms }
    }
}

impl From<WireSuspect> for CrashSuspect {
    fn from(wire: WireSuspect) -> CrashSuspect {
        let crash =
            |life: String, is_excused| SuspectedCrash { life: Name::from(life), is_excused };
        let unexcused = wire.crashes.into_iter().map(|life| crash(life, false));
        let excused = wire.excused.into_iter().map(|life| crash(life, true));
        let mut crashes: Vec<SuspectedCrash> = unexcused.chain(excused).collect();
        crashes.sort_by(|left, right| left.life.cmp(&right.life));
        let cause = if wire.is_prompt_part {
            CrashCause::PromptPart(wire.key)
        } else {
            CrashCause::Request(wire.key)
        };
        CrashSuspect { cause, crashes, age_ms: wire.age_ms }
    }
}

fn scope_to_wire(scope: Scope) -> u32 {
    match scope {
        Scope::Cell => 0,
        Scope::Rest => 1,
        Scope::Nobody => 2,
    }
}

fn scope_from_wire(scope: u32) -> Result<Scope, DecodeError> {
    match scope {
        0 => Ok(Scope::Cell),
        1 => Ok(Scope::Rest),
        2 => Ok(Scope::Nobody),
        _ => FieldSnafu { field: "scope" }.fail(),
    }
}

fn counts_to_wire(counts: Vec<(ShortKey, f64)>) -> Vec<WireCount> {
    counts.into_iter().map(WireCount::from).collect()
}

fn counts_from_wire(counts: Vec<WireCount>) -> Vec<(ShortKey, f64)> {
    counts.into_iter().map(<(ShortKey, f64)>::from).collect()
}
