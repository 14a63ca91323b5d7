//! Objects of other writers that can't be decoded, beside others that can.

use lycheeford_platform::{Listing, WatchBatch, WatchEvent};

const GOOD: &str = r#"{"kind":"host","name":"good","version":2,"value":{"slots":1}}"#;

struct Case {
    what: &'static str,
    value: Vec<u8>,
}

fn cases() -> Vec<Case> {
    let case = |what, value: &[u8]| Case { what, value: value.to_vec() };
    let nested = |levels: usize| ["[".repeat(levels), "]".repeat(levels)].concat().into_bytes();
    vec![
        Case { what: "200 nested lists", value: nested(200) },
        Case { what: "100,000 nested lists", value: nested(100_000) },
        case("a number out of range", b"1e999"),
        case("a negative number out of range", br#"{"a":-1e999}"#),
        case("bytes that aren't UTF-8", b"\"\xff\""),
        case("bytes that aren't UTF-8 after a backslash", b"\"\\\xff\""),
        case("a lone surrogate", br#""\ud800""#),
        case("a raw line break", b"\"\n\""),
        case("a field twice", br#"{"a":1,"a":2}"#),
        case("brackets that don't match", b"[{]]"),
        case("no JSON", b"ready"),
    ]
}

fn odd_object(value: &[u8]) -> Vec<u8> {
    [br#"{"kind":"host","name":"odd","version":1,"value":"#, value, b"}"].concat()
}

fn listing(objects: &[&[u8]]) -> Vec<u8> {
    [br#"{"revision":9,"objects":["#, &objects.join(&b","[..])[..], b"]}"].concat()
}

fn watch(objects: &[&[u8]]) -> Vec<u8> {
    let event = |object: &&[u8]| [br#"{"object":"#, *object, br#","deleted":false}"#].concat();
    let events: Vec<Vec<u8>> = objects.iter().map(event).collect();
    [br#"{"revision":9,"events":["#, &events.join(&b","[..])[..], b"]}"].concat()
}

#[test]
fn an_odd_value_leaves_the_others_readable() {
    for Case { what, value } in cases() {
        let objects = [&odd_object(&value)[..], GOOD.as_bytes()];
        let listing = Listing::from_json(&listing(&objects), "host")
            .unwrap_or_else(|error| panic!("{what}, in a list: {error}"));
        assert!(listing.object("odd").unwrap().value.is_err(), "{what}");
        assert!(listing.object("good").unwrap().value.is_ok(), "{what}");
        assert_eq!(listing.unnamed, 0, "{what}");
        let batch = WatchBatch::from_json(&watch(&objects), "host")
            .unwrap_or_else(|error| panic!("{what}, in a watch: {error}"));
        let is_readable =
            |event: &WatchEvent| matches!(event, WatchEvent::Put(object) if object.value.is_ok());
        let readable: Vec<bool> = batch.events.iter().map(is_readable).collect();
        assert_eq!(readable, [false, true], "{what}");
    }
}

#[test]
fn an_object_without_a_readable_name_leaves_the_others_readable() {
    let objects: [&[u8]; 6] = [
        b"7",
        b"[]",
        br#"{"kind":"host","version":1}"#,
        br#"{"kind":"host","name":7,"version":1}"#,
        b"{\"kind\":\"host\",\"name\":\"\xff\",\"version\":1}",
        br#"{"kind":"host","name":"a","name":"b","version":1}"#,
    ];
    for object in objects {
        let what = String::from_utf8_lossy(object);
        let objects = [object, GOOD.as_bytes()];
        let listing = Listing::from_json(&listing(&objects), "host").unwrap();
        assert!(listing.object("good").is_some(), "{what}");
        assert_eq!((listing.objects.len(), listing.unnamed), (1, 1), "{what}");
        let batch = WatchBatch::from_json(&watch(&objects), "host").unwrap();
        assert_eq!((batch.events.len(), batch.unnamed), (1, 1), "{what}");
    }
}

#[test]
fn an_object_without_a_readable_version_is_unreadable() {
    for version in ["-1", "1.5", "1e999", "18446744073709551616", "null", "\"1\""] {
        let odd = format!(r#"{{"kind":"host","name":"odd","version":{version},"value":1}}"#);
        let objects = [odd.as_bytes(), GOOD.as_bytes()];
        let listing = Listing::from_json(&listing(&objects), "host").unwrap();
        assert!(listing.object("odd").unwrap().value.is_err(), "{version}");
        assert!(listing.object("good").unwrap().value.is_ok(), "{version}");
        let batch = WatchBatch::from_json(&watch(&objects), "host").unwrap();
        let versions: Vec<u64> = batch.events.iter().map(WatchEvent::version).collect();
        assert_eq!(versions, [9, 2], "{version}");
    }
}

#[test]
fn an_unreadable_mark_of_a_deletion_makes_the_object_unreadable() {
    for deleted in ["1e999", "\"no\"", "null", "[]"] {
        let body =
            format!(r#"{{"revision":9,"events":[{{"object":{GOOD},"deleted":{deleted}}}]}}"#);
        let batch = WatchBatch::from_json(body.as_bytes(), "host").unwrap();
        let is_unreadable =
            matches!(&batch.events[..], [WatchEvent::Put(object)] if object.value.is_err());
        assert!(is_unreadable, "{deleted}");
    }
}

#[test]
fn the_message_about_an_odd_value_is_short() {
    let value = format!("{{\"{0}\":1,\"{0}\":1}}", "a".repeat(1 << 20));
    let listing = Listing::from_json(&listing(&[&odd_object(value.as_bytes())]), "host").unwrap();
    let message = listing.objects[0].value.as_ref().unwrap_err().to_string();
    assert!(message.len() < 1_000, "{} bytes", message.len());
}
