//! Checks that every message decodes to what was encoded, and that invalid datagrams are rejected.

use std::net::SocketAddr;

use assert_matches::assert_matches;
use lycheeford_policy::{
    CrashCause, CrashSuspect, HostRecord, HostSign, Name, PeerReport, PeerState, PermitAnswer,
    PermitAsk, PermitRank, ReportedEvacuations, ReportedLease, ReportedPlacement, Residency,
    ResidentModel, RunningAt, Scope, ShortKey, StreamKey, StreamVersion, Sums, SuspectedCrash,
    TargetChange, TargetChangeBatch, TargetEntry, TargetLife, TargetState, TimeMs,
    VersionKnowledge, WantedName,
};

use proptest::collection::vec;
use proptest::prelude::*;
use prost::Message as _;

use super::datagram::pack;
use super::loads::RemainingLoad;
use super::report::WireReport;
use super::{
    DecodeError, Decoded, LimitReport, LimitUpdate, LoadForecasts, Message, PermitReply,
    PermitRequest, PlacementUpdate, StreamQuery, StreamReply, StreamUpdate, WaitingDemand, decode,
    encode,
};

fn record(name: &str) -> HostRecord {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    HostRecord {
        host: Name::from(name),
        peer_address: address(7_600),
        caller_address: address(8_000),
        failure_domain: Name::from("a"),
    }
}

fn placement(version: u64) -> ReportedPlacement {
    ReportedPlacement { target: ShortKey(1), name: ShortKey(2), version, is_ready: true }
}

fn target_changes() -> TargetChangeBatch {
    let entry = TargetEntry {
        id: Name::from("i-1"),
        revision: 30,
        life: 1_700_000_000_123,
        service: Name::from("models"),
        version: Name::from("v1.1"),
        address: ([127, 0, 0, 1], 9_000).into(),
        failure_domain: Name::from("b"),
        state: TargetState::Leaving { remaining_ms: Some(0) },
        slots: 4,
        cold_remaining_ms: 0,
        residency: Residency {
            models: vec![ResidentModel {
                name: Name::from("m1"),
                adapters: vec![Name::from("a1"), Name::from("a2")],
            }],
            ..Residency::default()
        },
    };
    let ready = TargetEntry { state: TargetState::Ready, ..entry.clone() };
    TargetChangeBatch {
        after: 29,
        up_to: 32,
        changes: vec![
            (30, TargetChange::Put(entry)),
            (31, TargetChange::Gone(Name::from("i-2"))),
            (32, TargetChange::Put(ready)),
        ],
    }
}

fn suspect(cause: CrashCause) -> CrashSuspect {
    let crash = |life, is_excused| SuspectedCrash { life: Name::from(life), is_excused };
    CrashSuspect { cause, crashes: vec![crash("i-1/4", true), crash("i-2/4", false)], age_ms: 70 }
}

/// Returns a report in which no field has the value that an absent field decodes to.
fn report(scope: Scope, state: PeerState) -> PeerReport {
    let sign = |record| HostSign { key: ShortKey(9), state, age_ms: 120, record };
    PeerReport {
        sender: record("host-1"),
        incarnation: 7,
        sent_at: TimeMs::from_ms(5_000),
        echo: Some(TimeMs::from_ms(4_000)),
        state,
        is_settled: true,
        scope,
        sums: Sums {
            running: vec![RunningAt {
                target: ShortKey(1),
                model: ShortKey(2),
                running: 3,
                tokens: 400,
            }],
            spent: vec![(ShortKey(3), 12.5)],
            refused: vec![(ShortKey(3), 2.5)],
            asked: vec![(ShortKey(4), 6.0)],
        },
        levels: vec![(ShortKey(3), -8.25)],
        heard: vec![(ShortKey(3), 11.0)],
        signs: vec![sign(None), sign(Some(record("host-2")))],
        suspects: vec![suspect(CrashCause::Request(77)), suspect(CrashCause::PromptPart(76))],
        suspects_digest: 78,
        revision: 12,
        declared: 7,
        confirmed_age_ms: Some(0),
        target_answer_age_ms: Some(0),
        lacks_targets: true,
        knows_cut_off: true,
        targets_changed: 31,
        targets_age_ms: Some(0),
        lease: Some(ReportedLease {
            holder: Name::from("host-3"),
            token: 5,
            revision: 6,
            renewed_age_ms: 70,
        }),
        placements: vec![placement(8)],
        placements_known: (5, 8),
        targets_known: 32,
        target_changes: Some(target_changes()),
        leaving: vec![TargetLife { target: ShortKey(5), life: 1_700_000_000_123 }],
        evacuations: None,
    }
}

/// Returns messages of each kind.
pub(super) fn messages() -> Vec<Message> {
    let wanted = WantedName {
        service: Name::from("models"),
        model: Name::from("m1"),
        adapter: Some(Name::from("a1")),
        version: Some(ShortKey(9)),
        waiting: 2,
        oldest_ms: 300,
        priority: 1,
    };
    let scopes = [Scope::Cell, Scope::Rest, Scope::Nobody, Scope::Cell];
    let states = [PeerState::Starting, PeerState::Ready, PeerState::Draining, PeerState::CutOff];
    let reports = scopes.into_iter().zip(states).map(|(scope, state)| report(scope, state));
    let mut messages: Vec<Message> =
        reports.map(|report| Message::Report(Box::new(report))).collect();
    messages.push(Message::WaitingDemand(WaitingDemand {
        sender: record("host-1"),
        names: vec![wanted],
        placements_known: (5, 8),
    }));
    messages.push(Message::PlacementUpdate(PlacementUpdate {
        token: 5,
        placements: vec![placement(9)],
        placements_after: 8,
        waits: vec![(ShortKey(2), 450.0)],
    }));
    let target = TargetLife { target: ShortKey(7), life: 1_777_632_662_829 };
    let request = |rank| PermitRequest {
        target,
        per_s: 3.7,
        age_ms: 12_000,
        ask: PermitAsk {
            asker: ([127, 0, 0, 1], 7_600).into(),
            number: 12,
            rank,
            patience_ms: 900,
        },
    };
    let ranks = [PermitRank::Needed { priority: 0 }, PermitRank::Spare];
    messages.extend(ranks.map(|rank| Message::PermitRequest(request(rank))));
    let answers = [
        PermitAnswer::Granted { per_s: 0.0 },
        PermitAnswer::Unlimited,
        PermitAnswer::Denied { per_s: 1.0, wait_ms: 270 },
    ];
    let reply = |answer| Message::PermitReply(PermitReply { number: 12, answer });
    messages.extend(answers.map(reply));
    for per_s in [Some(3.7), Some(0.0), None] {
        messages.push(Message::LimitReport(LimitReport { target, per_s, took_ms: 340 }));
        messages.push(Message::LimitUpdate(LimitUpdate { target, per_s }));
    }
    let stream = StreamKey(0x9c41_d07b_e2a3_5f68);
    let streams = vec![StreamVersion { stream, version: ShortKey(3) }];
    messages.push(Message::StreamUpdate(StreamUpdate { streams }));
    messages.push(Message::StreamQuery(StreamQuery {
        service: Name::from("models"),
        stream,
        sender: ([127, 0, 0, 1], 7_600).into(),
        number: 12,
    }));
    let known = [
        VersionKnowledge::Began(ShortKey(3)),
        VersionKnowledge::Sole(ShortKey(0)),
        VersionKnowledge::Several,
        VersionKnowledge::Recent,
    ];
    let reply = |knowledge| Message::StreamReply(StreamReply { number: 12, knowledge });
    messages.extend(known.map(reply));
    let loads = vec![
        (ShortKey(2), RemainingLoad::Ready { in_ms: 450 }),
        (ShortKey(3), RemainingLoad::Ready { in_ms: 0 }),
        (ShortKey(4), RemainingLoad::NotBefore { in_ms: 900 }),
    ];
    messages.push(Message::LoadForecasts(LoadForecasts { token: 5, held_ms: 700, loads }));
    messages.push(Message::Report(Box::new(large_report())));
    messages
}

fn understood(message: Message) -> Decoded {
    Decoded { message, unread_fields: Vec::new() }
}

#[test]
fn what_is_said_is_understood() {
    for message in messages() {
        assert_eq!(decode(&encode(message.clone())).unwrap(), understood(message));
    }
}

/// Earlier builds know nothing of cold targets and evacuations, so the data of their messages has
/// none.
#[test]
fn cold_targets_and_evacuations_are_told_to_other_hosts() {
    let mut changes = target_changes();
    for (_, change) in &mut changes.changes {
        if let TargetChange::Put(entry) = change {
            entry.cold_remaining_ms = 1_200;
        }
    }
    let report = PeerReport {
        target_changes: Some(changes),
        evacuations: Some(ReportedEvacuations {
            revision: 33,
            age_ms: 0,
            domains: vec![Name::from("a"), Name::from("b")],
        }),
        ..report(Scope::Cell, PeerState::Ready)
    };
    let message = Message::Report(Box::new(report));
    assert_eq!(decode(&encode(message.clone())).unwrap(), understood(message));
}

/// Guards against a forecast that a newer build extends and that costs the models beside it.
#[test]
fn what_is_unknown_of_one_model_costs_only_that_model() {
    // Token 5; model 2 is ready in 450 ms, and of model 3 the unknown field 9 says something.
    let forecasts = [
        &[0x08, 5][..],
        &[0x1a, 8, 0x0d, 2, 0, 0, 0, 0x10, 0xc2, 0x03],
        &[0x1a, 7, 0x0d, 3, 0, 0, 0, 0x48, 1],
    ]
    .concat();
    let length = u8::try_from(forecasts.len()).unwrap();
    let datagram = [&[0, 0x5a, length][..], &forecasts].concat();
    let loads = vec![(ShortKey(2), RemainingLoad::Ready { in_ms: 450 })];
    let expected = Message::LoadForecasts(LoadForecasts { token: 5, held_ms: 0, loads });
    assert_eq!(decode(&datagram).unwrap(), understood(expected));
}

#[test]
fn what_makes_no_sense_is_refused() {
    assert_matches!(decode(&[0xff; 40]), Err(DecodeError::Field { field: "form" }));
    assert_matches!(decode(&[]), Err(DecodeError::Field { field: "form" }));
    assert_matches!(decode(&[0]), Err(DecodeError::Field { field: "body" }));
    let noise = [[0].as_slice(), &[0xff; 40]].concat();
    assert_matches!(decode(&noise), Err(DecodeError::Frame { .. }));
    let noise = [[1].as_slice(), &[0xff; 40]].concat();
    assert_matches!(decode(&noise), Err(DecodeError::Deflate { .. }));
    // A small datagram that decompresses to much is rejected before it exhausts the memory.
    let bomb = pack(&vec![0; 64 << 20]);
    assert!(bomb.len() < 1 << 20);
    assert_matches!(decode(&bomb), Err(DecodeError::Field { field: "size" }));
    let mut nameless = report(Scope::Cell, PeerState::Ready);
    nameless.sender.host = Name::from("");
    let datagram = encode(Message::Report(Box::new(nameless)));
    assert_matches!(decode(&datagram), Err(DecodeError::Field { field: "host" }));
    let target = TargetLife { target: ShortKey(7), life: 1 };
    for per_s in [f64::NAN, f64::INFINITY, -1.0, 1e300] {
        let update = Message::LimitUpdate(LimitUpdate { target, per_s: Some(per_s) });
        assert_matches!(decode(&encode(update)), Err(DecodeError::Field { field: "per_s" }));
    }
}

/// Returns a report as large as those of a relay in a large fleet.
fn large_report() -> PeerReport {
    let mut large = report(Scope::Cell, PeerState::Ready);
    let key = |index: u32| ShortKey(index.wrapping_mul(0x9e37_79b9));
    let counts = |count: u32, each: f64| -> Vec<(ShortKey, f64)> {
        (0..count).map(|index| (key(index), f64::from(index) * each)).collect()
    };
    large.sums.spent = counts(40, 9_190.0);
    large.sums.asked = counts(140, 3.0);
    large.levels = counts(40, 117.25);
    large.heard = counts(40, 9_190.0);
    large
}

#[test]
fn a_large_report_is_sent_in_fewer_bytes() {
    let large = large_report();
    let datagram = encode(Message::Report(Box::new(large.clone())));
    assert_eq!(decode(&datagram).unwrap(), understood(Message::Report(Box::new(large.clone()))));
    let plain = WireReport::from(large).encoded_len();
    assert!(datagram.len() * 10 < plain * 7, "{} of {plain} bytes", datagram.len());
}

proptest! {
    /// Decoding random bytes doesn't panic, whatever the first byte.
    #[test]
    fn no_datagram_harms_its_reader(noise in vec(any::<u8>(), 0..600)) {
        for form in [0, 1, 2] {
            let _ = decode(&[[form].as_slice(), &noise].concat());
        }
    }

    /// Decoding a corrupted or truncated message doesn't panic.
    #[test]
    fn no_changed_message_harms_its_reader(at in 0_usize..4_000, bits in 1_u8.., cut in 0_usize..4_000) {
        let mut message = WireReport::from(large_report()).encode_to_vec();
        let length = message.len();
        message[at % length] ^= bits;
        message.truncate(cut % length + 1);
        let _ = decode(&pack(&message));
    }
}
