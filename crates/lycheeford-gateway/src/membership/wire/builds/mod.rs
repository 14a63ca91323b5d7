//! Checks that this build understands the messages of earlier builds, and that they understand its
//! messages.
//!
//! Each line of `datagrams.txt` is a datagram that the build named by the folder encoded, in
//! hexadecimal digits after its kind. The files and the message types of earlier builds never
//! change; a new folder and a new module are added before a build with another format is released.

mod schema_7f8999b;
mod schema_c33a574;

use assert_matches::assert_matches;
use lycheeford_policy::{HostSign, PeerReport, PeerState, Scope};
use prost::Message as _;

use super::datagram::{pack, unpack};
use super::tests::messages;
use super::{DecodeError, Decoded, Message, decode, encode};

const DATAGRAMS_7F8999B: &str = include_str!("../../../../tests/data/7f8999b/datagrams.txt");
const DATAGRAMS_C33A574: &str = include_str!("../../../../tests/data/c33a574/datagrams.txt");

/// A landed build and what it knows.
struct Build {
    name: &'static str,
    datagrams: &'static str,
    /// Decodes an encoded message and encodes what the build knows of it.
    reencode: fn(&[u8]) -> Vec<u8>,
    /// Returns what the build knows of a message.
    known: fn(Message) -> Option<Message>,
    /// The fields of its reports that aren't used, since they lack something.
    unread_fields: &'static [&'static str],
}

const BUILDS: [Build; 2] = [
    Build {
        name: "c33a574",
        datagrams: DATAGRAMS_C33A574,
        reencode: reencode::<schema_c33a574::WireMessage>,
        known: known_to_c33a574,
        unread_fields: &["target_changes"],
    },
    Build {
        name: "7f8999b",
        datagrams: DATAGRAMS_7F8999B,
        reencode: reencode::<schema_7f8999b::WireMessage>,
        known: known_to_7f8999b,
        unread_fields: &[],
    },
];

#[test]
fn messages_of_earlier_builds_are_understood() {
    for build in BUILDS {
        let datagrams: Vec<Vec<u8>> = build.datagrams.lines().map(datagram).collect();
        let expected: Vec<Message> = messages().into_iter().filter_map(build.known).collect();
        assert_eq!(datagrams.len(), expected.len(), "{}", build.name);
        for (datagram, message) in datagrams.iter().zip(expected) {
            let unread_fields = match message {
                Message::Report(_) => build.unread_fields.to_vec(),
                _ => Vec::new(),
            };
            let decoded = decode(datagram).unwrap();
            assert_eq!(decoded, Decoded { message, unread_fields }, "{}", build.name);
        }
        let deflated = datagrams.iter().filter(|datagram| datagram[0] == 1).count();
        assert!(deflated > 0, "{} has no deflated datagram", build.name);
    }
}

#[test]
fn earlier_builds_understand_what_they_know_of_each_message() {
    for build in BUILDS {
        for message in messages() {
            let encoded = unpack(&encode(message.clone())).unwrap().into_owned();
            let reread = decode(&pack(&(build.reencode)(&encoded)));
            match ((build.known)(message.clone()), message) {
                (Some(known), _) => assert_eq!(reread.unwrap().message, known, "{}", build.name),
                // Isn't sent to this build.
                (None, Message::Report(_)) => {}
                // An unknown message is ignored and costs nothing else.
                (None, _) => assert_matches!(reread, Err(DecodeError::Field { field: "body" })),
            }
        }
    }
}

/// Regression test: a host that was cut off from its targets, and each relay that reported it,
/// weren't understood by hosts with an earlier build, which took them for dead.
#[test]
fn reports_about_a_cut_off_host_are_understood_by_builds_without_that_state() {
    let state_max = 2;
    for message in messages() {
        let Message::Report(mut report) = message else { continue };
        report.hide_cut_off();
        let known = schema_c33a574::WireMessage::decode(&*encoded(*report)).unwrap();
        assert_matches!(known.body, Some(schema_c33a574::WireBody::Report(report)) => {
            assert!(report.state <= state_max, "state {}", report.state);
            assert!(report.signs.iter().all(|sign| sign.state <= state_max));
        });
    }
}

/// Regression test: a target listed by a host with a build that knows no versions got an empty
/// version, so that streams of any version went on at it.
#[test]
fn targets_without_a_version_are_not_taken_from_other_hosts() {
    let first = DATAGRAMS_C33A574.lines().map(datagram).next().unwrap();
    let decoded = decode(&first).unwrap();
    assert_eq!(decoded.unread_fields, ["target_changes"]);
    assert_matches!(decoded.message, Message::Report(report) => {
        assert_eq!(report.target_changes, None);
    });
}

struct NewerCase {
    what: &'static str,
    /// Changes a report into what a newer build may send.
    change: fn(&mut schema_7f8999b::WireReport),
    unread_field: &'static str,
    /// Leaves out what isn't understood.
    leave_out: fn(&mut PeerReport),
}

#[test]
fn a_report_of_a_newer_build_costs_only_what_is_unknown() {
    let cases = [
        NewerCase {
            what: "the sender's state",
            change: |report| report.state = 9,
            unread_field: "state",
            leave_out: |report| report.state = PeerState::Starting,
        },
        NewerCase {
            what: "a set of hosts",
            change: |report| report.scope = 9,
            unread_field: "scope",
            leave_out: |report| report.scope = Scope::Nobody,
        },
        NewerCase {
            what: "another host's state",
            change: |report| report.signs[0].state = 9,
            unread_field: "signs",
            leave_out: |report| drop(report.signs.remove(0)),
        },
        NewerCase {
            what: "a change of a target",
            change: |report| report.target_changes.as_mut().unwrap().changes[1].changed = None,
            unread_field: "target_changes",
            leave_out: |report| report.target_changes = None,
        },
    ];
    let Message::Report(report) = messages().remove(0) else { panic!("the first is a report") };
    for case in cases {
        let mut message = schema_7f8999b::WireMessage::decode(&*encoded(*report.clone())).unwrap();
        assert_matches!(&mut message.body, Some(schema_7f8999b::WireBody::Report(report)) => {
            (case.change)(report);
        });
        let decoded = decode(&pack(&message.encode_to_vec())).unwrap();
        let mut expected = report.clone();
        (case.leave_out)(&mut expected);
        let expected =
            Decoded { message: Message::Report(expected), unread_fields: vec![case.unread_field] };
        assert_eq!(decoded, expected, "{}", case.what);
    }
}

fn encoded(report: PeerReport) -> Vec<u8> {
    unpack(&encode(Message::Report(Box::new(report)))).unwrap().into_owned()
}

fn datagram(line: &str) -> Vec<u8> {
    let (_, digits) = line.split_once(' ').unwrap();
    let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).unwrap();
    (0..digits.len()).step_by(2).map(byte).collect()
}

fn reencode<M: prost::Message + Default>(encoded: &[u8]) -> Vec<u8> {
    M::decode(encoded).unwrap().encode_to_vec()
}

/// Build c33a574 knows no versions, no streams and no hosts that are cut off.
fn known_to_c33a574(message: Message) -> Option<Message> {
    match message {
        Message::Report(mut report) => {
            report.target_answer_age_ms = None;
            report.lacks_targets = false;
            report.knows_cut_off = false;
            // The targets have no version.
            report.target_changes = None;
            let knows = |sign: &HostSign| sign.state != PeerState::CutOff;
            (report.state != PeerState::CutOff && report.signs.iter().all(knows))
                .then_some(Message::Report(report))
        }
        Message::WaitingDemand(mut demand) => {
            for name in &mut demand.names {
                name.version = None;
            }
            Some(Message::WaitingDemand(demand))
        }
        Message::StreamUpdate(_) | Message::StreamQuery(_) | Message::StreamReply(_) => None,
        known => known_to_7f8999b(known),
    }
}

/// Build 7f8999b knows no forecasts of loads.
fn known_to_7f8999b(message: Message) -> Option<Message> {
    match message {
        Message::LoadForecasts(_) => None,
        known => Some(known),
    }
}
