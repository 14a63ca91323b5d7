//! Checks that this build reads the objects that earlier builds wrote into the store, and that they
//! read its objects.

use lycheeford_policy::Name;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::hosts::StoredHost;
use super::stored_suspects::StoredSuspect;

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
