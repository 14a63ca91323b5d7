//! Which version a resumed stream must go on at, and which hosts know it.

use std::collections::BTreeSet;

use lycheeford_policy::{
    HostRecord, Name, ServiceVersions, ShortKey, StreamKey, StreamVersion, StreamVersions,
    VersionKnowledge, combine_knowledge, stream_keepers,
};

use crate::world::{at, name};

const RETENTION_MS: u64 = StreamVersions::RETENTION_MS_MIN;

fn old() -> ShortKey {
    ShortKey::of("v1")
}

fn new() -> ShortKey {
    ShortKey::of("v1.1")
}

struct CombineCase {
    what: &'static str,
    known: Vec<VersionKnowledge>,
    version: Option<ShortKey>,
}

#[test]
fn a_version_is_certain_or_unknown() {
    let began_old = VersionKnowledge::Began(old());
    let [sole_old, sole_new] = [old(), new()].map(VersionKnowledge::Sole);
    let [several, recent] = [VersionKnowledge::Several, VersionKnowledge::Recent];
    let cases = [
        CombineCase { what: "nobody replies", known: vec![], version: None },
        CombineCase { what: "all started just now", known: vec![recent, recent], version: None },
        CombineCase {
            what: "one host knows the stream",
            known: vec![several, recent, began_old, sole_new],
            version: Some(old()),
        },
        CombineCase {
            what: "one host has known a single version long enough",
            known: vec![recent, sole_old, recent],
            version: Some(old()),
        },
        CombineCase {
            what: "another host has seen two versions",
            known: vec![sole_old, several],
            version: None,
        },
        CombineCase {
            what: "two hosts have seen different versions",
            known: vec![sole_old, sole_new],
            version: None,
        },
    ];
    for case in cases {
        assert_eq!(combine_knowledge(case.known), case.version, "{}", case.what);
    }
}

#[test]
fn versions_and_streams_are_known_for_as_long_as_a_stream_lasts() {
    let service = name("models");
    let (stream, other) = (StreamKey::of("stream"), StreamKey::of("other"));
    let mut streams = StreamVersions::new(at(0));
    assert!(!streams.record_serving(at(0), &service, old()));
    assert_eq!(streams.knowledge(at(10), &service, other), VersionKnowledge::Recent);
    assert!(streams.must_tell(at(10), &service, old()), "a host that started just now tells all");
    let later = at(RETENTION_MS);
    assert!(!streams.record_serving(later, &service, old()));
    assert_eq!(streams.knowledge(later, &service, other), VersionKnowledge::Sole(old()));
    assert!(!streams.must_tell(later, &service, old()));
    assert!(streams.must_tell(later, &service, new()), "a version that isn't listed yet");
    streams.record_stream(later, stream, old());
    assert!(streams.record_serving(later, &service, new()), "the second version");
    assert!(!streams.record_serving(later, &service, new()));
    assert!(streams.must_tell(later, &service, old()));
    assert_eq!(streams.knowledge(later, &service, stream), VersionKnowledge::Began(old()));
    assert_eq!(streams.knowledge(later, &service, other), VersionKnowledge::Several);
    // The old version left, but its streams may still be resumed.
    let gone = at(2 * RETENTION_MS - 1);
    streams.expire(gone);
    streams.record_serving(gone, &service, new());
    assert_eq!(streams.knowledge(gone, &service, other), VersionKnowledge::Several);
    let over = at(2 * RETENTION_MS);
    streams.expire(over);
    assert_eq!(streams.knowledge(over, &service, other), VersionKnowledge::Sole(new()));
    assert_eq!(streams.knowledge(over, &service, stream), VersionKnowledge::Sole(new()));
    assert_eq!(streams.streams().count(), 0);
}

struct EarlierCase {
    what: &'static str,
    earlier: Option<Vec<ShortKey>>,
    listed: ShortKey,
    knowledge: VersionKnowledge,
    /// The versions that this host would store.
    history: Option<Vec<ShortKey>>,
}

/// Guards against a fleet that forgets with a restart of all hosts which versions served before.
#[test]
fn a_host_that_has_just_started_knows_the_stored_versions() {
    let cases = [
        EarlierCase {
            what: "nothing is stored",
            earlier: None,
            listed: old(),
            knowledge: VersionKnowledge::Recent,
            history: None,
        },
        EarlierCase {
            what: "the version that is listed was the only one",
            earlier: Some(vec![old()]),
            listed: old(),
            knowledge: VersionKnowledge::Sole(old()),
            history: Some(vec![old()]),
        },
        EarlierCase {
            what: "another version was listed",
            earlier: Some(vec![old()]),
            listed: new(),
            knowledge: VersionKnowledge::Several,
            history: Some(vec![old(), new()]),
        },
        EarlierCase {
            what: "one of two versions is gone",
            earlier: Some(vec![old(), new()]),
            listed: new(),
            knowledge: VersionKnowledge::Several,
            history: Some(vec![old(), new()]),
        },
    ];
    let (service, stream) = (name("models"), StreamKey::of("stream"));
    for case in cases {
        let mut streams = StreamVersions::new(at(1_000));
        if let Some(versions) = case.earlier {
            let earlier = ServiceVersions { service: service.clone(), versions };
            streams.add_earlier(at(1_000), &[earlier]);
        }
        streams.record_serving(at(1_100), &service, case.listed);
        let what = case.what;
        assert_eq!(streams.knowledge(at(1_200), &service, stream), case.knowledge, "{what}");
        let history = streams.history(at(1_200)).map(|services| match &services[..] {
            [service] => sorted(&service.versions),
            _ => panic!("{what}: {services:?}"),
        });
        assert_eq!(history, case.history.as_deref().map(sorted), "{what}");
        // What served before counts for as long as a stream may last.
        let later = at(1_000 + RETENTION_MS);
        streams.record_serving(later, &service, case.listed);
        streams.expire(later);
        let knowledge = streams.knowledge(later, &service, stream);
        assert_eq!(knowledge, VersionKnowledge::Sole(case.listed), "{what}");
    }
}

fn sorted(versions: &[ShortKey]) -> Vec<ShortKey> {
    let mut versions = versions.to_vec();
    versions.sort();
    versions
}

#[test]
fn the_first_host_of_a_fleet_knows_all_versions() {
    let service = name("models");
    let mut streams = StreamVersions::new(at(0));
    streams.is_first_of_fleet();
    streams.record_serving(at(10), &service, old());
    let knowledge = streams.knowledge(at(20), &service, StreamKey::of("stream"));
    assert_eq!(knowledge, VersionKnowledge::Sole(old()));
    assert!(streams.must_tell(at(20), &service, new()));
    // The others may have started before they could read that.
    assert!(streams.must_tell(at(20), &service, old()));
    let later = at(RETENTION_MS);
    streams.record_serving(later, &service, old());
    assert!(!streams.must_tell(later, &service, old()));
}

#[test]
fn the_version_that_began_a_stream_never_changes() {
    let mut streams = StreamVersions::new(at(0));
    let stream = StreamKey::of("stream");
    streams.record_stream(at(0), stream, old());
    streams.record_stream(at(1), stream, new());
    let knowledge = streams.knowledge(at(2), &name("models"), stream);
    assert_eq!(knowledge, VersionKnowledge::Began(old()));
}

fn record(host: &str, failure_domain: &str) -> HostRecord {
    HostRecord {
        host: name(host),
        peer_address: ([127, 0, 0, 1], 7_600).into(),
        caller_address: ([127, 0, 0, 1], 8_221).into(),
        failure_domain: name(failure_domain),
    }
}

#[test]
fn a_stream_is_kept_by_few_hosts_in_different_failure_domains() {
    let domains = ["a", "b", "c", "d"];
    let mut hosts: Vec<HostRecord> = (0..320)
        .map(|number| record(&format!("host-{number}"), domains[number % domains.len()]))
        .collect();
    let mut kept: Vec<Name> = Vec::new();
    for number in 0..2_000 {
        let stream = StreamKey::of(&format!("attempt-{number}"));
        let keepers = stream_keepers(stream, &hosts);
        let domains: BTreeSet<&Name> = keepers.iter().map(|host| &host.failure_domain).collect();
        assert_eq!((keepers.len(), domains.len()), (3, 3));
        kept.extend(keepers.iter().map(|host| host.host.clone()));
        // Another host computes the same ones, whatever the order of its list.
        let expected: Vec<Name> = keepers.iter().map(|host| host.host.clone()).collect();
        hosts.reverse();
        let again = stream_keepers(stream, &hosts);
        assert!(again.iter().map(|host| &host.host).eq(&expected));
    }
    let most =
        hosts.iter().map(|host| kept.iter().filter(|kept| **kept == host.host).count()).max();
    // 6,000 are kept by 320 hosts, so 19 by each on average.
    assert!(most.is_some_and(|most| most < 50), "{most:?} streams at one host");
    let one_domain = [record("h1", "a"), record("h2", "a"), record("h3", "a"), record("h4", "a")];
    assert_eq!(stream_keepers(StreamKey::of("attempt"), &one_domain).len(), 3);
    assert_eq!(stream_keepers(StreamKey::of("attempt"), &one_domain[..1]).len(), 1);
}

struct StoreCase {
    what: &'static str,
    /// The versions of the service, with the times at which they were listed last.
    serving: Vec<(ShortKey, u64)>,
    is_completed: bool,
    now_ms: u64,
    is_stored: bool,
}

/// Guards against streams that a kill of all hosts makes unknown, and against records of all others.
#[test]
fn a_host_stores_its_open_streams_while_several_versions_serve() {
    let mixed = || vec![(old(), 0), (new(), 0)];
    let cases = [
        StoreCase {
            what: "one version",
            serving: vec![(old(), 0)],
            is_completed: false,
            now_ms: 100,
            is_stored: false,
        },
        StoreCase {
            what: "two versions",
            serving: mixed(),
            is_completed: false,
            now_ms: 100,
            is_stored: true,
        },
        StoreCase {
            what: "its caller has all of it",
            serving: mixed(),
            is_completed: true,
            now_ms: 100,
            is_stored: false,
        },
        StoreCase {
            what: "the other version left a while ago",
            serving: vec![(old(), 0), (new(), 20_000)],
            is_completed: false,
            now_ms: RETENTION_MS - 1,
            is_stored: true,
        },
        StoreCase {
            what: "the other version left long ago",
            serving: vec![(old(), 0), (new(), 20_000)],
            is_completed: false,
            now_ms: RETENTION_MS,
            is_stored: false,
        },
    ];
    let service = name("models");
    let [own, told] = ["own", "told"].map(StreamKey::of);
    for case in cases {
        let mut streams = StreamVersions::new(at(0));
        for (version, listed_ms) in case.serving {
            streams.record_serving(at(listed_ms), &service, version);
        }
        streams.record_serving(at(0), &name("desk"), new());
        streams.record_stream(at(10), told, old());
        streams.record_own_stream(at(10), own, old());
        // A message about it that comes later makes it no other host's.
        streams.record_stream(at(20), own, old());
        if case.is_completed {
            streams.completed(own);
        }
        let stored = streams.own_streams_to_store(at(case.now_ms));
        let stored: Vec<StreamKey> = stored.into_iter().map(|known| known.stream).collect();
        let expected = if case.is_stored { vec![own] } else { Vec::new() };
        assert_eq!(stored, expected, "{}", case.what);
    }
}

/// Guards against a record that keeps itself: reading what is stored must neither prolong it nor make a
/// completed stream an open one again.
#[test]
fn stored_streams_that_are_read_again_stay_as_they_are() {
    let (service, stream) = (name("models"), StreamKey::of("stream"));
    let other = StreamKey::of("other");
    let mut streams = StreamVersions::new(at(0));
    for version in [old(), new()] {
        streams.record_serving(at(0), &service, version);
    }
    streams.record_own_stream(at(0), stream, old());
    let stored = streams.own_streams_to_store(at(10));
    streams.completed(stream);
    streams.add_stored(at(RETENTION_MS - 1), &stored);
    streams.add_stored(at(20), &[StreamVersion { stream: other, version: new() }]);
    assert_eq!(streams.own_streams_to_store(at(30)), []);
    assert_eq!(streams.knowledge(at(30), &service, other), VersionKnowledge::Began(new()));
    streams.expire(at(RETENTION_MS));
    assert_eq!(streams.streams().map(|known| known.stream).collect::<Vec<_>>(), [other]);
}
