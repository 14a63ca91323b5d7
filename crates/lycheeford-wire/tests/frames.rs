//! Frames from a peer are untrusted input: any bytes are either decoded or refused.

use lycheeford_policy::{
    Activity, AskId, CrashCause, CrashSuspect, Demand, Incarnation, Instance, Loan, LoanId,
    LoanReport, LoanState, Name, SuspectedCrash,
};
use lycheeford_wire::{
    Beat, CustomerLoanReport, DemandReport, Hello, HostReport, LoanOffer, Message, SpareTokens,
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

fn loan() -> Loan {
    Loan {
        id: LoanId {
            lender: Instance::new("entry-1", 4),
            borrower: Instance::new("entry-2", 5),
            ask: AskId(11),
        },
        tokens: 40,
    }
}

struct Case {
    name: &'static str,
    message: Message,
}

#[test]
fn messages_survive_the_round_trip() {
    let cases = [
        Case {
            name: "hello",
            message: Message::Hello(Hello {
                host: "a".into(),
                incarnation: Incarnation(1),
                build: Some("0.1.0".into()),
            }),
        },
        Case { name: "beat", message: Message::Beat(Beat { sequence: 3, report: report() }) },
        Case {
            name: "beat reply",
            message: Message::BeatReply(Beat { sequence: 3, report: report() }),
        },
        Case {
            name: "loan offer",
            message: Message::LoanOffer(LoanOffer { customer: "north".into(), loan: loan() }),
        },
        Case {
            name: "loan query",
            message: Message::LoanQuery(LoanOffer { customer: "north".into(), loan: loan() }),
        },
        Case {
            name: "loan report",
            message: Message::LoanReport(CustomerLoanReport {
                customer: "north".into(),
                report: LoanReport {
                    id: loan().id,
                    state: LoanState::Closed { used_tokens: 30, returned_tokens: 10 },
                },
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
                activity: vec![Activity { name: "ice".into(), served: 3, running: 1 }],
            }),
        },
        Case {
            name: "crashes",
            message: Message::CrashReport(vec![CrashSuspect {
                cause: CrashCause::Request(u64::MAX),
                crashes: vec![SuspectedCrash { life: "target-1@7".into(), is_excused: false }],
                age_ms: 0,
            }]),
        },
    ];
    for case in cases {
        assert_eq!(decode(&encode(case.message.clone())).unwrap(), case.message, "{}", case.name);
    }
}

#[test]
fn an_empty_name_is_refused() {
    let hello = Message::Hello(Hello { host: "".into(), incarnation: Incarnation(1), build: None });
    let error = decode(&encode(hello)).unwrap_err();
    assert_eq!(error.to_string(), "message has no host; compare the builds of both hosts");
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
