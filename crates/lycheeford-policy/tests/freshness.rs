//! Tests of when a configuration is too old for a daemon to serve calls that carry an API key.

use lycheeford_policy::{ConfigurationState, Freshness, KEY_STALENESS_MS_MAX, Name, TimeMs};

const NOW: TimeMs = TimeMs::from_ms(100_000);
const LIMIT_MS: u64 = KEY_STALENESS_MS_MAX;

/// A peer's answer: the peer, the milliseconds since it was asked, the age of its confirmation in
/// milliseconds if it ever confirmed, and its revision.
type Report = (&'static str, u64, Option<u64>, u64);

struct Case {
    name: &'static str,
    /// The milliseconds since this daemon's last confirmation, and the revision that it confirmed;
    /// revision 7 is in force.
    confirmed: Option<(u64, u64)>,
    reports: &'static [Report],
    is_fresh: bool,
}

#[test]
fn calls_with_a_key_need_a_recent_confirmation_or_a_majority() {
    let cases = [
        Case {
            name: "own confirmation",
            confirmed: Some((LIMIT_MS, 7)),
            reports: &[],
            is_fresh: true,
        },
        Case {
            name: "own confirmation, too old",
            confirmed: Some((LIMIT_MS + 1, 7)),
            reports: &[],
            is_fresh: false,
        },
        Case {
            name: "own confirmation of a revision not in force",
            confirmed: Some((0, 8)),
            reports: &[],
            is_fresh: false,
        },
        Case { name: "no confirmation", confirmed: None, reports: &[], is_fresh: false },
        Case {
            name: "one peer that confirmed",
            confirmed: None,
            reports: &[("b", 1_000, Some(LIMIT_MS - 1_000), 7)],
            is_fresh: true,
        },
        Case {
            name: "one peer that confirmed too long ago",
            confirmed: None,
            reports: &[("b", 1_000, Some(LIMIT_MS), 7)],
            is_fresh: false,
        },
        Case {
            name: "one peer that confirmed a newer revision",
            confirmed: None,
            reports: &[("b", 0, Some(0), 8)],
            is_fresh: false,
        },
        Case {
            name: "a newer revision is known, but this daemon's confirmation is recent",
            confirmed: Some((1_000, 7)),
            reports: &[("b", 0, Some(0), 8)],
            is_fresh: true,
        },
        Case {
            name: "service down, three of five hosts in contact",
            confirmed: None,
            reports: &[("b", 0, None, 7), ("c", LIMIT_MS, Some(90_000), 7)],
            is_fresh: true,
        },
        Case {
            name: "service down, only two of five hosts in contact",
            confirmed: Some((LIMIT_MS + 1, 7)),
            reports: &[("b", 0, None, 7), ("c", LIMIT_MS + 1, None, 7)],
            is_fresh: false,
        },
        Case {
            name: "one peer twice is no majority",
            confirmed: None,
            reports: &[("b", 0, None, 7), ("b", 1, None, 7)],
            is_fresh: false,
        },
        Case {
            name: "unlisted hosts are no majority",
            confirmed: None,
            reports: &[("x", 0, None, 7), ("y", 0, None, 7)],
            is_fresh: false,
        },
        Case {
            name: "a majority, but a newer revision was reported before",
            confirmed: None,
            reports: &[("d", 50_000, Some(0), 8), ("b", 0, None, 7), ("c", 0, None, 7)],
            is_fresh: false,
        },
    ];
    let hosts = ["a", "b", "c", "d", "e"].map(Name::from);
    for case in cases {
        let mut freshness = Freshness::new(Name::from("a"));
        freshness.set_entry_hosts(&hosts);
        freshness.set_revision_in_force(7);
        if let Some((age_ms, revision)) = case.confirmed {
            freshness.confirm(NOW - age_ms, revision);
        }
        for (host, asked_ago_ms, age_ms, revision) in case.reports {
            freshness.record_peer_confirmation(
                NOW - *asked_ago_ms,
                &Name::from(*host),
                *age_ms,
                *revision,
            );
        }
        let is_fresh = freshness.state(NOW) == ConfigurationState::Fresh;
        assert_eq!(is_fresh, case.is_fresh, "{}", case.name);
    }
}

#[test]
fn a_daemon_without_a_host_list_or_a_configuration_is_stale() {
    let mut freshness = Freshness::new(Name::from("a"));
    freshness.set_revision_in_force(7);
    assert_eq!(freshness.state(NOW), ConfigurationState::Stale);
    let mut freshness = Freshness::new(Name::from("a"));
    freshness.set_entry_hosts(&[Name::from("a")]);
    assert_eq!(freshness.state(NOW), ConfigurationState::Stale);
}

#[test]
fn an_older_answer_does_not_undo_a_confirmation() {
    let mut freshness = Freshness::new(Name::from("a"));
    freshness.set_entry_hosts(&["a", "b"].map(Name::from));
    freshness.set_revision_in_force(7);
    freshness.confirm(NOW, 7);
    freshness.confirm(NOW - 60_000, 6);
    freshness.set_revision_in_force(5);
    freshness.record_peer_confirmation(NOW - 60_000, &Name::from("b"), Some(0), 6);
    assert_eq!(freshness.state(NOW), ConfigurationState::Fresh);
    assert_eq!(freshness.confirmed_age_ms(NOW + 5), Some(5));
}

/// Guards against a stale read: the platform may answer with a head older than one already seen,
/// and the old revision must not then count as current.
#[test]
fn a_read_of_an_older_revision_confirms_nothing() {
    let mut freshness = Freshness::new("a".into());
    freshness.set_entry_hosts(&["a".into(), "b".into(), "c".into()]);
    freshness.set_revision_in_force(7);
    freshness.record_peer_confirmation(NOW, &"b".into(), Some(0), 8);
    freshness.confirm(NOW, 7);
    assert_eq!(freshness.state(NOW), ConfigurationState::Stale);
    assert!(!freshness.has_newest_revision());
    freshness.set_revision_in_force(8);
    freshness.confirm(NOW, 7);
    assert_eq!(freshness.state(NOW + LIMIT_MS + 1), ConfigurationState::Stale);
    freshness.confirm(NOW, 8);
    assert_eq!(freshness.state(NOW), ConfigurationState::Fresh);
}
