//! When a daemon stops serving keyed calls.

use lycheeford_policy::{ConfigurationState, Freshness, KEY_STALENESS_MS_MAX, Name, TimeMs};

const NOW: TimeMs = TimeMs::from_ms(100_000);
const LIMIT_MS: u64 = KEY_STALENESS_MS_MAX;

/// What a peer answered: who, when it was asked, the age of its confirmation, its revision.
type Report = (&'static str, u64, Option<u64>, u64);

struct Case {
    name: &'static str,
    /// How long ago this daemon confirmed which revision; 7 is in force.
    confirmed: Option<(u64, u64)>,
    reports: &'static [Report],
    fresh: bool,
}

#[test]
fn keyed_calls_need_a_recent_confirmation_or_a_majority() {
    let cases = [
        Case { name: "own", confirmed: Some((LIMIT_MS, 7)), reports: &[], fresh: true },
        Case { name: "own, old", confirmed: Some((LIMIT_MS + 1, 7)), reports: &[], fresh: false },
        Case { name: "own, not in force", confirmed: Some((0, 8)), reports: &[], fresh: false },
        Case { name: "nothing", confirmed: None, reports: &[], fresh: false },
        Case {
            name: "one peer that confirmed",
            confirmed: None,
            reports: &[("b", 1_000, Some(LIMIT_MS - 1_000), 7)],
            fresh: true,
        },
        Case {
            name: "one peer that confirmed long ago",
            confirmed: None,
            reports: &[("b", 1_000, Some(LIMIT_MS), 7)],
            fresh: false,
        },
        Case {
            name: "one peer that confirmed a newer revision",
            confirmed: None,
            reports: &[("b", 0, Some(0), 8)],
            fresh: false,
        },
        Case {
            name: "behind for less than the limit",
            confirmed: Some((1_000, 7)),
            reports: &[("b", 0, Some(0), 8)],
            fresh: true,
        },
        Case {
            name: "service down, three of five",
            confirmed: None,
            reports: &[("b", 0, None, 7), ("c", LIMIT_MS, Some(90_000), 7)],
            fresh: true,
        },
        Case {
            name: "cut off with one of five",
            confirmed: Some((LIMIT_MS + 1, 7)),
            reports: &[("b", 0, None, 7), ("c", LIMIT_MS + 1, None, 7)],
            fresh: false,
        },
        Case {
            name: "one peer twice is no majority",
            confirmed: None,
            reports: &[("b", 0, None, 7), ("b", 1, None, 7)],
            fresh: false,
        },
        Case {
            name: "unlisted hosts are no majority",
            confirmed: None,
            reports: &[("x", 0, None, 7), ("y", 0, None, 7)],
            fresh: false,
        },
        Case {
            name: "majority, but a newer revision was seen long ago",
            confirmed: None,
            reports: &[("d", 50_000, Some(0), 8), ("b", 0, None, 7), ("c", 0, None, 7)],
            fresh: false,
        },
    ];
    let hosts = ["a", "b", "c", "d", "e"].map(Name::from);
    for case in cases {
        let mut freshness = Freshness::new(Name::from("a"));
        freshness.set_entry_hosts(&hosts);
        freshness.in_force(7);
        if let Some((age_ms, revision)) = case.confirmed {
            freshness.confirm(NOW - age_ms, revision);
        }
        for (host, asked_ago_ms, age_ms, revision) in case.reports {
            freshness.peer_report(NOW - *asked_ago_ms, &Name::from(*host), *age_ms, *revision);
        }
        let is_fresh = freshness.state(NOW) == ConfigurationState::Fresh;
        assert_eq!(is_fresh, case.fresh, "{}", case.name);
    }
}

#[test]
fn a_daemon_without_a_list_or_configuration_serves_no_keyed_call() {
    let mut freshness = Freshness::new(Name::from("a"));
    freshness.in_force(7);
    assert_eq!(freshness.state(NOW), ConfigurationState::Stale);
    let mut freshness = Freshness::new(Name::from("a"));
    freshness.set_entry_hosts(&[Name::from("a")]);
    assert_eq!(freshness.state(NOW), ConfigurationState::Stale);
}

#[test]
fn an_old_answer_takes_nothing_back() {
    let mut freshness = Freshness::new(Name::from("a"));
    freshness.set_entry_hosts(&["a", "b"].map(Name::from));
    freshness.in_force(7);
    freshness.confirm(NOW, 7);
    freshness.confirm(NOW - 60_000, 6);
    freshness.in_force(5);
    freshness.peer_report(NOW - 60_000, &Name::from("b"), Some(0), 6);
    assert_eq!(freshness.state(NOW), ConfigurationState::Fresh);
    assert_eq!(freshness.confirmed_age_ms(NOW + 5), Some(5));
}

/// A platform that answers with an old head mustn't make an old revision count as current.
#[test]
fn a_stale_read_confirms_nothing() {
    let mut freshness = Freshness::new("a".into());
    freshness.set_entry_hosts(&["a".into(), "b".into(), "c".into()]);
    freshness.in_force(7);
    freshness.peer_report(NOW, &"b".into(), Some(0), 8);
    freshness.confirm(NOW, 7);
    assert_eq!(freshness.state(NOW), ConfigurationState::Stale);
    assert!(!freshness.has_newest());
    freshness.in_force(8);
    freshness.confirm(NOW, 7);
    assert_eq!(freshness.state(NOW + LIMIT_MS + 1), ConfigurationState::Stale);
    freshness.confirm(NOW, 8);
    assert_eq!(freshness.state(NOW), ConfigurationState::Fresh);
}
