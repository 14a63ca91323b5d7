//! Frames from a peer are bytes from outside: any bytes decode or are refused.

use lycheeford_policy::{Incarnation, Name};
use lycheeford_wire::{
    Beat, CrashCount, Demand, DemandReport, Hello, HostReport, LoanGrant, Message, SpareTokens,
    decode, encode,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_203),
        ..ProptestConfig::default()
    }
}

fn report() -> HostReport {
    HostReport {
        host: Name::from("entry-1"),
        incarnation: Incarnation(9),
        configuration_revision: 4,
        confirmed_age_ms: Some(12),
        draining: true,
        spare: vec![SpareTokens { customer: Name::from("north"), tokens: 90 }],
    }
}

struct Case {
    name: &'static str,
    message: Message,
}

#[test]
fn every_kind_survives_the_round_trip() {
    let cases = [
        Case {
            name: "hello",
            message: Message::Hello(Hello { host: "a".into(), incarnation: Incarnation(1) }),
        },
        Case { name: "beat", message: Message::Beat(Beat { sequence: 3, report: report() }) },
        Case {
            name: "beat reply",
            message: Message::BeatReply(Beat { sequence: 3, report: report() }),
        },
        Case {
            name: "loan grant",
            message: Message::LoanGrant(LoanGrant {
                loan_id: 7,
                customer: "north".into(),
                tokens: 0,
                ready_in_ms: Some(40),
            }),
        },
        Case {
            name: "demand",
            message: Message::DemandReport(DemandReport {
                demands: vec![Demand {
                    name: "ice".into(),
                    customer: "north".into(),
                    class: 2,
                    waiting: 5,
                    deadline_in_ms: 900,
                    waited_ms: 10,
                }],
                served: Vec::new(),
                loads: Vec::new(),
            }),
        },
        Case {
            name: "crashes",
            message: Message::CrashReport(vec![CrashCount { fingerprint: u64::MAX, crashes: 2 }]),
        },
    ];
    for case in cases {
        assert_eq!(decode(&encode(case.message.clone())).unwrap(), case.message, "{}", case.name);
    }
}

#[test]
fn an_empty_name_is_refused() {
    let hello = Message::Hello(Hello { host: "".into(), incarnation: Incarnation(1) });
    let error = decode(&encode(hello)).unwrap_err();
    assert_eq!(error.to_string(), "message has no host; run the same release on both hosts");
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..256)) {
        if let Ok(message) = decode(&bytes) {
            prop_assert_eq!(decode(&encode(message.clone())).unwrap(), message);
        }
    }

    #[test]
    fn a_damaged_frame_never_panics(index in 0_usize..64, byte in any::<u8>()) {
        let mut bytes = encode(Message::Beat(Beat { sequence: 3, report: report() }));
        let index = index % bytes.len();
        bytes[index] = byte;
        let _ = decode(&bytes);
    }
}
