//! Peers that could lend: what they last said, for customers known by then or not.

use lycheeford_policy::{Lenders, Name, PeerSpare, choose_lenders};

/// What a peer says that it could lend, or that it says nothing.
#[derive(Debug, Clone, Copy)]
enum Said {
    Report(&'static str, &'static [(&'static str, u64)]),
    Refusal(&'static str, &'static str, u64),
    /// It didn't answer.
    Missed(&'static str),
    /// The platform's list of hosts.
    List(&'static [&'static str]),
}

struct Case {
    name: &'static str,
    said: &'static [Said],
    customer: &'static str,
    expected: &'static [(&'static str, u64)],
}

const CASES: &[Case] = &[
    Case { name: "nobody was heard", said: &[], customer: "pilots", expected: &[] },
    Case {
        name: "each customer has its own tokens, in any order",
        said: &[
            Said::Report("b", &[("pilots", 7), ("crews", 9)]),
            Said::Report("a", &[("pilots", 5)]),
        ],
        customer: "pilots",
        expected: &[("a", 5), ("b", 7)],
    },
    Case {
        name: "a peer without tokens is known all the same",
        said: &[Said::Report("a", &[("crews", 9)])],
        customer: "pilots",
        expected: &[("a", 0)],
    },
    Case {
        name: "a later report replaces the whole earlier one",
        said: &[Said::Report("a", &[("pilots", 5)]), Said::Report("a", &[("crews", 9)])],
        customer: "pilots",
        expected: &[("a", 0)],
    },
    Case {
        name: "a refusal corrects the report",
        said: &[Said::Report("a", &[("crews", 9), ("pilots", 5)]), Said::Refusal("a", "pilots", 1)],
        customer: "pilots",
        expected: &[("a", 1)],
    },
    Case {
        name: "a refusal for another customer changes nothing",
        said: &[Said::Report("a", &[("pilots", 5)]), Said::Refusal("a", "crews", 1)],
        customer: "pilots",
        expected: &[("a", 5)],
    },
    Case {
        name: "a refusal of a peer that wasn't heard makes it no lender",
        said: &[Said::Refusal("a", "pilots", 1)],
        customer: "pilots",
        expected: &[],
    },
    Case {
        name: "a peer that doesn't answer lends nothing",
        said: &[
            Said::Report("a", &[("pilots", 5)]),
            Said::Report("b", &[("pilots", 7)]),
            Said::Missed("a"),
        ],
        customer: "pilots",
        expected: &[("b", 7)],
    },
    Case {
        name: "a peer that answers again lends again",
        said: &[
            Said::Report("a", &[("pilots", 5)]),
            Said::Missed("a"),
            Said::Refusal("a", "pilots", 4),
            Said::Report("a", &[("pilots", 3)]),
        ],
        customer: "pilots",
        expected: &[("a", 3)],
    },
    Case {
        name: "a peer that left the list lends nothing",
        said: &[
            Said::Report("a", &[("pilots", 5)]),
            Said::Report("b", &[("pilots", 7)]),
            Said::List(&["c", "b"]),
        ],
        customer: "pilots",
        expected: &[("b", 7)],
    },
];

#[test]
fn what_peers_said_before_a_customer_was_asked_for_counts() {
    for Case { name, said, customer, expected } in CASES {
        let mut lenders = Lenders::default();
        for said in *said {
            match said {
                Said::Report(host, spare) => lenders.reported(&Name::from(*host), named(spare)),
                Said::Refusal(host, customer, tokens) => {
                    lenders.refused(&Name::from(*host), customer, *tokens);
                }
                Said::Missed(host) => lenders.missed(&Name::from(*host)),
                Said::List(hosts) => {
                    let hosts: Vec<Name> = hosts.iter().map(|host| Name::from(*host)).collect();
                    lenders.list(&hosts);
                }
            }
        }
        assert_eq!(lenders.of(customer), spare(expected), "{name}");
    }
}

#[test]
fn a_peer_whose_last_word_was_nothing_is_asked_if_no_other_is_known() {
    let mut lenders = Lenders::default();
    lenders.reported(&Name::from("a"), Vec::new());
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
