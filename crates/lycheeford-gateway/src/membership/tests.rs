//! Checks that this build reads the objects that earlier builds wrote into the store, and that they
//! read its objects. Checks which forecasts of loads a lease holder sends, and which a host applies.

use lycheeford_policy::{
    HostRecord, LoadTime, Name, ShortKey, StreamKey, StreamVersion, TimeMs, WantedName,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::hosts::StoredHost;
use super::stored_streams::StoredStreams;
use super::stored_suspects::StoredSuspect;
use super::table::Membership;
use super::wire::{LoadForecasts, RemainingLoad, WaitingDemand};
use crate::fleet::Dispatcher;

const HOSTS: [&str; 2] = [
    include_str!("../../tests/data/c33a574/host.json"),
    include_str!("../../tests/data/7f8999b/host.json"),
];
const CRASH_SUSPECTS: [&str; 2] = [
    include_str!("../../tests/data/c33a574/crash_suspect.json"),
    include_str!("../../tests/data/7f8999b/crash_suspect.json"),
];

/// The fields of a host's object that builds c33a574 and 7f8999b know.
#[derive(Debug, Serialize, Deserialize)]
struct HostBefore {
    incarnation: u64,
    peer_address: std::net::SocketAddr,
    caller_address: std::net::SocketAddr,
    failure_domain: Name,
}

#[test]
fn objects_of_earlier_builds_are_read_whole() {
    for text in HOSTS {
        let object: Value = serde_json::from_str(text).unwrap();
        let read: StoredHost = serde_json::from_value(object.clone()).unwrap();
        assert_eq!(serde_json::to_value(read).unwrap(), object);
    }
    for text in CRASH_SUSPECTS {
        let object: Value = serde_json::from_str(text).unwrap();
        let read: StoredSuspect = serde_json::from_value(object.clone()).unwrap();
        assert_eq!(serde_json::to_value(read).unwrap(), object);
    }
}

/// Guards against keys that a store rounds, as JSON numbers above 2^53 may be.
#[test]
fn stored_streams_are_read_as_they_were_written() {
    let streams = [(1, 7), (u64::MAX - 1, 9), (u64::MAX, 7)].map(|(stream, version)| {
        StreamVersion { stream: StreamKey(stream), version: ShortKey(version) }
    });
    let written = serde_json::to_value(StoredStreams::from(&streams[..])).unwrap();
    let keys: Vec<&Value> = written["versions"][0]["streams"].as_array().unwrap().iter().collect();
    assert!(keys.iter().all(|key| key.is_string()), "{written}");
    let read: StoredStreams = serde_json::from_value(written).unwrap();
    assert_eq!(Vec::try_from(read).unwrap(), streams);
    let odd = serde_json::json!({ "versions": [{ "version": 7, "streams": ["no key"] }] });
    let odd: StoredStreams = serde_json::from_value(odd).unwrap();
    assert!(Vec::<StreamVersion>::try_from(odd).is_err());
}

#[test]
fn earlier_builds_read_the_object_of_a_host_that_names_its_build() {
    for text in HOSTS {
        let before: Value = serde_json::from_str(text).unwrap();
        let mut object = before.clone();
        object["build"] = Value::from("0.2.0+0123abc");
        let named: StoredHost = serde_json::from_value(object).unwrap();
        let written = serde_json::to_value(named).unwrap();
        assert_eq!(written["build"], "0.2.0+0123abc");
        let read: HostBefore = serde_json::from_value(written).unwrap();
        assert_eq!(serde_json::to_value(read).unwrap(), before);
    }
}

fn forecasts(token: u64, loads: &[(&str, RemainingLoad)]) -> LoadForecasts {
    let key = |(model, load): &(&str, RemainingLoad)| (ShortKey::of(&Name::from(*model)), *load);
    LoadForecasts { token, held_ms: 5_000, loads: loads.iter().map(key).collect() }
}

fn record(host: &str) -> HostRecord {
    HostRecord {
        host: Name::from(host),
        peer_address: ([127, 0, 0, 1], 7_600).into(),
        caller_address: ([127, 0, 0, 1], 8_000).into(),
        failure_domain: Name::from("a"),
    }
}

fn demand(models: &[&str]) -> WaitingDemand {
    let wanted = |model: &&str| WantedName {
        service: Name::from("models"),
        model: Name::from(*model),
        adapter: None,
        version: None,
        waiting: 1,
        oldest_ms: 0,
        priority: 0,
    };
    WaitingDemand {
        sender: record("host-b"),
        names: models.iter().map(wanted).collect(),
        placements_known: (0, 0),
    }
}

/// Guards against a host with waiting requests that learns only with its next report when they can
/// be served, and against a message for each round of planning.
#[test]
fn each_report_of_demand_is_answered_once() {
    struct Case {
        what: &'static str,
        demand: &'static [&'static str],
        is_answered: bool,
        is_reported_again: bool,
        after_ms: u64,
        sent: usize,
    }
    let base = Case {
        what: "a model without a forecast",
        demand: &["m9"],
        is_answered: false,
        is_reported_again: false,
        after_ms: 10,
        sent: 0,
    };
    let cases = [
        Case { what: "a model with a forecast", demand: &["m1"], sent: 1, ..base },
        Case { what: "two models", demand: &["m1", "m2"], sent: 2, ..base },
        Case { what: "answered", demand: &["m1"], is_answered: true, ..base },
        Case {
            what: "answered and reported again",
            demand: &["m1"],
            is_answered: true,
            is_reported_again: true,
            sent: 1,
            ..base
        },
        Case { what: "no longer reported", demand: &["m1"], after_ms: 1_500, ..base },
        base,
    ];
    let loads = [
        ("m1", RemainingLoad::Ready { in_ms: 400 }),
        ("m2", RemainingLoad::NotBefore { in_ms: 900 }),
    ];
    let known = forecasts(5, &loads);
    for case in cases {
        let mut membership = Membership::new(record("host-a"));
        let start = TimeMs::from_ms(1_000);
        membership.record_demand(start, demand(case.demand));
        if case.is_answered {
            for due in membership.due_forecasts(start, &known) {
                membership.record_forecasts(&due);
            }
        }
        if case.is_reported_again {
            membership.record_demand(start, demand(case.demand));
        }
        let due = membership.due_forecasts(start + case.after_ms, &known);
        let sent: usize = due.iter().map(|due| due.loads.len()).sum();
        assert_eq!(sent, case.sent, "{}", case.what);
    }
}

/// Guards against a forecast of an earlier lease holder that replaces that of the present one.
#[test]
fn only_the_latest_lease_holder_is_believed() {
    struct Case {
        what: &'static str,
        token: u64,
        load: RemainingLoad,
        time: LoadTime,
    }
    let now = TimeMs::from_ms(1_000);
    let before = LoadTime::Ready { at: now + 400 };
    let ready = RemainingLoad::Ready { in_ms: 700 };
    let not_before = RemainingLoad::NotBefore { in_ms: 900 };
    let cases = [
        Case { what: "an earlier holder", token: 4, load: ready, time: before },
        Case {
            what: "the same holder",
            token: 5,
            load: ready,
            time: LoadTime::Ready { at: now + 700 },
        },
        Case {
            what: "a later holder",
            token: 6,
            load: not_before,
            time: LoadTime::NotBefore { at: now + 900 },
        },
    ];
    for Case { what, token, load, time } in cases {
        let mut dispatcher = Dispatcher::default();
        let first = RemainingLoad::Ready { in_ms: 400 };
        dispatcher.apply_forecasts(now, &forecasts(5, &[("m1", first)]));
        dispatcher.apply_forecasts(now, &forecasts(token, &[("m1", load)]));
        let known = dispatcher.load_forecast(&Name::from("m1")).unwrap();
        assert_eq!(known.time, time, "{what}");
    }
    let mut dispatcher = Dispatcher::default();
    dispatcher.apply_placements(6, &[]);
    dispatcher.apply_forecasts(now, &forecasts(5, &[("m1", ready)]));
    assert_eq!(dispatcher.load_forecast(&Name::from("m1")), None, "a later holder's placements");
}
