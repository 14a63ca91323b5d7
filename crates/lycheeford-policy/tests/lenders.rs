//! Tests of the tokens that peers could lend, by their last reports. A report counts also for
//! customers that this host gets to know only later.

use lycheeford_policy::{Lenders, Name, PeerSpare, choose_lenders};

/// An event that changes what is known of a peer's spare tokens.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// The peer and its spare tokens by customer.
    Report(&'static str, &'static [(&'static str, u64)]),
    /// The peer, the customer, and the tokens that the peer had left when it refused.
    Refusal(&'static str, &'static str, u64),
    /// The peer did not answer.
    Missed(&'static str),
    /// The platform's list of hosts.
    List(&'static [&'static str]),
}

struct Case {
    name: &'static str,
    events: &'static [Event],
    customer: &'static str,
    expected: &'static [(&'static str, u64)],
}

const CASES: &[Case] = &[
    Case { name: "no peer has reported", events: &[], customer: "pilots", expected: &[] },
    Case {
        name: "each customer has its own tokens, in any order",
        events: &[
            Event::Report("b", &[("pilots", 7), ("crews", 9)]),
            Event::Report("a", &[("pilots", 5)]),
        ],
        customer: "pilots",
        expected: &[("a", 5), ("b", 7)],
    },
    Case {
        name: "a peer that reported no tokens for the customer is listed with none",
        events: &[Event::Report("a", &[("crews", 9)])],
        customer: "pilots",
        expected: &[("a", 0)],
    },
    Case {
        name: "a later report replaces the whole earlier one",
        events: &[Event::Report("a", &[("pilots", 5)]), Event::Report("a", &[("crews", 9)])],
        customer: "pilots",
        expected: &[("a", 0)],
    },
    Case {
        name: "a refusal replaces the tokens of the report",
        events: &[
            Event::Report("a", &[("crews", 9), ("pilots", 5)]),
            Event::Refusal("a", "pilots", 1),
        ],
        customer: "pilots",
        expected: &[("a", 1)],
    },
    Case {
        name: "a refusal for another customer changes nothing",
        events: &[Event::Report("a", &[("pilots", 5)]), Event::Refusal("a", "crews", 1)],
        customer: "pilots",
        expected: &[("a", 5)],
    },
    Case {
        name: "a refusal of a peer that has not reported is ignored",
        events: &[Event::Refusal("a", "pilots", 1)],
        customer: "pilots",
        expected: &[],
    },
    Case {
        name: "a peer that does not answer is not listed",
        events: &[
            Event::Report("a", &[("pilots", 5)]),
            Event::Report("b", &[("pilots", 7)]),
            Event::Missed("a"),
        ],
        customer: "pilots",
        expected: &[("b", 7)],
    },
    Case {
        name: "a peer that reports again is listed again",
        events: &[
            Event::Report("a", &[("pilots", 5)]),
            Event::Missed("a"),
            Event::Refusal("a", "pilots", 4),
            Event::Report("a", &[("pilots", 3)]),
        ],
        customer: "pilots",
        expected: &[("a", 3)],
    },
    Case {
        name: "a peer that left the platform's list is not listed",
        events: &[
            Event::Report("a", &[("pilots", 5)]),
            Event::Report("b", &[("pilots", 7)]),
            Event::List(&["c", "b"]),
        ],
        customer: "pilots",
        expected: &[("b", 7)],
    },
];

#[test]
fn reports_count_for_customers_that_are_asked_for_only_later() {
    for Case { name, events, customer, expected } in CASES {
        let mut lenders = Lenders::default();
        for event in *events {
            match event {
                Event::Report(host, spare) => {
                    lenders.record_spare(&Name::from(*host), named(spare));
                }
                Event::Refusal(host, customer, tokens) => {
                    lenders.record_refusal(&Name::from(*host), customer, *tokens);
                }
                Event::Missed(host) => lenders.remove_unresponsive(&Name::from(*host)),
                Event::List(hosts) => {
                    let hosts: Vec<Name> = hosts.iter().map(|host| Name::from(*host)).collect();
                    lenders.retain_hosts(&hosts);
                }
            }
        }
        assert_eq!(lenders.of(customer), spare(expected), "{name}");
    }
}

#[test]
fn a_peer_that_reported_no_tokens_is_asked_if_no_other_peer_is_known() {
    let mut lenders = Lenders::default();
    lenders.record_spare(&Name::from("a"), Vec::new());
    assert_eq!(choose_lenders(60, &lenders.of("pilots")), spare(&[("a", 60)]));
}

fn named(spare: &[(&str, u64)]) -> Vec<(Name, u64)> {
    spare.iter().map(|(customer, tokens)| (Name::from(*customer), *tokens)).collect()
}

fn spare(expected: &[(&str, u64)]) -> Vec<PeerSpare> {
    let peer = |(host, spare_tokens): &(&str, u64)| PeerSpare {
        host: Name::from(*host),
        spare_tokens: *spare_tokens,
    };
    expected.iter().map(peer).collect()
}
