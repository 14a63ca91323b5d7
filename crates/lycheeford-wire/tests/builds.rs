//! Checks that this build understands the frames of earlier builds, and that they understand what
//! they know of its frames.
//!
//! Each line of `frames.txt` is a frame that the build named by the folder encoded, in hexadecimal
//! digits, and of `stored.txt` an object that it wrote into the store, after its type. Builds c33a574 and 7f8999b have the same frames. The files never change; see "Builds side
//! by side" in docs/DESIGN.md.

use lycheeford_policy::{
    Activity, AskId, CrashCause, CrashSuspect, Demand, Host, Incarnation, Instance, LedgerBucket,
    Loan, LoanId, LoanReport, LoanState, Name, ReplicaSet, ShareTable, SuspectedCrash,
    TargetRecord,
};
use lycheeford_wire::stored::{
    StoredError, StoredHost, StoredLedgerBucket, StoredReplicaSet, StoredShareTable,
    StoredTargetRecord,
};
use lycheeford_wire::{
    Beat, ConfigurationChunk, ConfigurationOffer, CustomerLoanReport, DemandReport, Expected,
    FormerHolder, Hello, HostReport, LoanAsk, LoanOffer, LoanRefusal, LoanSettled, Message,
    PlacementReport, Refused, SpareTokens, TargetPlacement, decode, encode,
};
use prost::Message as _;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// The message types of builds c33a574 and 7f8999b.
#[allow(dead_code, clippy::pedantic, reason = "generated, and used through the frame")]
mod schema {
    include!("data/7f8999b/lycheeford.peer.rs");
}

const FRAMES: [(&str, &str); 2] = [
    ("c33a574", include_str!("data/c33a574/frames.txt")),
    ("7f8999b", include_str!("data/7f8999b/frames.txt")),
];

const STORED: [(&str, &str); 2] = [
    ("c33a574", include_str!("data/c33a574/stored.txt")),
    ("7f8999b", include_str!("data/7f8999b/stored.txt")),
];

/// Returns messages of each kind, with no field that has the value of an absent one.
fn messages() -> Vec<Message> {
    let customer = || Name::from("north");
    let id = LoanId {
        lender: Instance::new("entry-1", 4),
        borrower: Instance::new("entry-2", 5),
        ask: AskId(11),
    };
    let loan = Loan { id: id.clone(), tokens: 40 };
    let report = HostReport {
        host: Name::from("entry-1"),
        incarnation: Incarnation(9),
        configuration_revision: 4,
        confirmed_age_ms: Some(12),
        draining: true,
        spare: vec![SpareTokens { customer: customer(), tokens: 90 }],
    };
    let former = || FormerHolder { customer: customer(), former: Instance::new("entry-3", 2) };
    let states = [
        LoanState::Running { used_tokens: 20 },
        LoanState::Closed { used_tokens: 30, returned_tokens: 10 },
        LoanState::BorrowerGone,
    ];
    let loan_report = |state| {
        let report = LoanReport { id: id.clone(), state };
        Message::LoanReport(CustomerLoanReport { customer: customer(), report })
    };
    let mut messages = vec![
        Message::Hello(hello(None)),
        Message::Beat(Beat { sequence: 3, report: report.clone() }),
        Message::BeatReply(Beat { sequence: 3, report }),
        Message::LoanAsk(LoanAsk { customer: customer(), ask: AskId(11), tokens: 40 }),
        Message::LoanOffer(LoanOffer { customer: customer(), loan: loan.clone() }),
        Message::LoanRefusal(LoanRefusal { customer: customer(), ask: AskId(11), spare_tokens: 7 }),
        Message::LoanQuery(LoanOffer { customer: customer(), loan }),
        Message::LoanSettled(LoanSettled { customer: customer(), id: id.clone() }),
        Message::DisclaimAsk(former()),
        Message::Disclaimed(former()),
        Message::DemandReport(DemandReport {
            demands: vec![Demand {
                name: "ice".into(),
                customer: customer(),
                class: 2,
                waiting: 5,
                deadline_in_ms: 900,
                waited_ms: 10,
            }],
            activity: vec![Activity { name: "ice".into(), served: 3, running: 1 }],
        }),
        Message::PlacementReport(PlacementReport {
            sequence: 6,
            targets: vec![TargetPlacement {
                target: "engine-1".into(),
                incarnation: Incarnation(3),
                accepts_work: true,
                running: 4,
                queued: 2,
                ready: vec!["ice".into(), "sea".into()],
            }],
            expected: vec![Expected { name: "fog".into(), ready_in_ms: 800 }],
            refused: vec![Refused {
                name: "hail".into(),
                customer: customer(),
                retry_after_ms: 1_500,
            }],
        }),
        Message::CrashReport(vec![CrashSuspect {
            cause: CrashCause::Request(u64::MAX),
            crashes: vec![SuspectedCrash { life: "target-1@7".into(), is_excused: false }],
            age_ms: 0,
        }]),
        Message::ConfigurationAsk(vec!["chunk-1".into()]),
        Message::ConfigurationOffer(ConfigurationOffer {
            head_json: "{}".to_owned(),
            chunks: vec![ConfigurationChunk { name: "chunk-2".into(), text: "text".to_owned() }],
        }),
        Message::Flush(8),
        Message::Flushed(8),
    ];
    messages.extend(states.map(loan_report));
    messages
}

fn hello(build: Option<Name>) -> Hello {
    Hello { host: "entry-1".into(), incarnation: Incarnation(9), build }
}

#[test]
fn frames_of_earlier_builds_are_understood() {
    for (build, frames) in FRAMES {
        let frames: Vec<Vec<u8>> = frames.lines().map(bytes).collect();
        let expected = messages();
        assert_eq!(frames.len(), expected.len(), "{build}");
        for (frame, message) in frames.iter().zip(expected) {
            assert_eq!(decode(frame).unwrap(), message, "{build}");
        }
    }
}

#[test]
fn earlier_builds_understand_what_they_know_of_each_frame() {
    let mut sent = messages();
    sent.push(Message::Hello(hello(Some("0.2.0+0123abc".into()))));
    for message in sent {
        let frame = schema::Frame::decode(&*encode(message.clone())).unwrap();
        let known = match message {
            Message::Hello(sent) => Message::Hello(Hello { build: None, ..sent }),
            known => known,
        };
        assert_eq!(decode(&frame.encode_to_vec()).unwrap(), known);
    }
}

#[test]
fn a_frame_of_a_newer_build_is_told_from_bytes_of_no_build() {
    // Its body has a tag that no build has yet.
    let newer = decode(&[0xfa, 0x3e, 1, 0]).unwrap_err();
    assert!(newer.is_unknown_content(), "{newer}");
    let noise = decode(&[0xff; 5]).unwrap_err();
    assert!(!noise.is_unknown_content(), "{noise}");
}

#[test]
fn objects_of_earlier_builds_are_read_whole_and_written_as_before() {
    fn rewrite<S, D>(text: &str) -> Value
    where
        S: DeserializeOwned + Serialize + for<'a> From<&'a D>,
        D: TryFrom<S, Error = StoredError>,
    {
        let value = D::try_from(serde_json::from_str::<S>(text).unwrap()).unwrap();
        serde_json::to_value(S::from(&value)).unwrap()
    }
    for (build, objects) in STORED {
        assert_eq!(objects.lines().count(), 5, "{build}");
        for line in objects.lines() {
            let (kind, text) = line.split_once(' ').unwrap();
            let written = match kind {
                "StoredHost" => rewrite::<StoredHost, Host>(text),
                "StoredLedgerBucket" => rewrite::<StoredLedgerBucket, LedgerBucket>(text),
                "StoredReplicaSet" => rewrite::<StoredReplicaSet, ReplicaSet>(text),
                "StoredShareTable" => rewrite::<StoredShareTable, ShareTable>(text),
                "StoredTargetRecord" => rewrite::<StoredTargetRecord, TargetRecord>(text),
                unknown => panic!("{unknown} isn't a stored form"),
            };
            // Earlier builds refuse fields that they don't know, so none may be added.
            assert_eq!(written, serde_json::from_str::<Value>(text).unwrap(), "{build}: {kind}");
        }
    }
}

fn bytes(line: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&line[at..at + 2], 16).unwrap();
    (0..line.len()).step_by(2).map(byte).collect()
}
