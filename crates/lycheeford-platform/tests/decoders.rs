//! Tests the decoders of the platform's answers with valid and arbitrary bytes.

use lycheeford_platform::{Category, Listing, Object, RawJson, WatchBatch};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x5eed_0001),
        ..ProptestConfig::default()
    }
}

fn any_value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        "[a-z\"\\\\]{0,6}".prop_map(Value::from),
    ]
}

/// Generates JSON that resembles an answer: known field names with arbitrary values.
fn answer_like_bytes() -> impl Strategy<Value = Vec<u8>> {
    let field = prop_oneof![
        Just("revision"),
        Just("objects"),
        Just("events"),
        Just("kind"),
        Just("name"),
        Just("version"),
        Just("object"),
        Just("deleted"),
    ];
    let leaf = any_value();
    let value = leaf.prop_recursive(4, 32, 4, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::vec((field.clone(), inner), 0..5).prop_map(|fields| {
                fields.into_iter().map(|(key, value)| (key.to_owned(), value)).collect()
            }),
        ]
    });
    value.prop_map(|value| value.to_string().into_bytes())
}

fn any_bytes() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![prop::collection::vec(any::<u8>(), 0..128), answer_like_bytes()]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn decoders_reject_arbitrary_bytes_as_malformed(bytes in any_bytes()) {
        let errors = [
            Object::from_json(&bytes, "host", "a").err(),
            Listing::from_json(&bytes, "host").err(),
            WatchBatch::from_json(&bytes, "host").err(),
        ];
        for error in errors.into_iter().flatten() {
            prop_assert_eq!(error.category(), Category::Malformed);
        }
    }

    #[test]
    fn a_listing_is_sorted_by_name(
        names in prop::collection::btree_set("[a-z]{1,4}", 0..12),
        value in any_value(),
        revision in 100_u64..200,
    ) {
        let objects: Vec<Value> = names
            .iter()
            .rev()
            .enumerate()
            .map(|(index, name)| {
                json!({ "kind": "host", "name": name, "version": index, "value": value })
            })
            .collect();
        let bytes = json!({ "revision": revision, "objects": objects }).to_string();
        let listing = Listing::from_json(bytes.as_bytes(), "host").unwrap();
        let found: Vec<&str> = listing.objects.iter().map(|object| object.name.as_str()).collect();
        let wanted: Vec<&str> = names.iter().map(String::as_str).collect();
        prop_assert_eq!(found, wanted);
        prop_assert_eq!(listing.revision, revision);
        for object in &listing.objects {
            prop_assert_eq!(object.value.as_ref(), Ok(&value));
            prop_assert_eq!(listing.object(&object.name), Some(object));
        }
    }

    #[test]
    fn a_watch_batch_keeps_its_order(
        steps in prop::collection::vec((1_u64..5, "[a-c]", any::<bool>()), 0..12),
    ) {
        let mut version = 0;
        let mut events = Vec::new();
        for (step, name, deleted) in &steps {
            version += step;
            let object = json!({ "kind": "host", "name": name, "version": version, "value": 1 });
            events.push(json!({ "object": object, "deleted": deleted }));
        }
        let bytes = json!({ "revision": version, "events": events }).to_string();
        let batch = WatchBatch::from_json(bytes.as_bytes(), "host").unwrap();
        prop_assert_eq!(batch.events.len(), steps.len());
        prop_assert!(batch.events.is_sorted_by_key(lycheeford_platform::WatchEvent::version));
    }
}

#[test]
fn answers_that_contradict_themselves_are_malformed() {
    struct Case {
        name: &'static str,
        body: Value,
    }
    let object = |kind: &str, name: &str, version: u64| json!({ "kind": kind, "name": name, "version": version, "value": 0 });
    let event = |version: u64| json!({ "object": object("host", "a", version) });
    let listings = [
        Case {
            name: "another kind",
            body: json!({ "revision": 9, "objects": [object("head", "a", 1)] }),
        },
        Case {
            name: "newer than the list",
            body: json!({ "revision": 9, "objects": [object("host", "a", 10)] }),
        },
        Case {
            name: "a name twice",
            body: json!({
                "revision": 9, "objects": [object("host", "a", 1), object("host", "a", 2)],
            }),
        },
    ];
    for case in listings {
        let error = Listing::from_json(case.body.to_string().as_bytes(), "host").unwrap_err();
        assert_eq!(error.category(), Category::Malformed, "{}", case.name);
    }
    let watches = [
        Case {
            name: "another kind",
            body: json!({ "revision": 9, "events": [{ "object": object("head", "a", 1) }] }),
        },
        Case {
            name: "newer than the batch",
            body: json!({ "revision": 9, "events": [event(10)] }),
        },
        Case {
            name: "out of order",
            body: json!({ "revision": 9, "events": [event(3), event(2)] }),
        },
    ];
    for case in watches {
        let error = WatchBatch::from_json(case.body.to_string().as_bytes(), "host").unwrap_err();
        assert_eq!(error.category(), Category::Malformed, "{}", case.name);
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn raw_json_finds_what_a_decoder_finds(value in nested_value(), spaces in "[ \t\r\n]{0,3}") {
        let text = format!("{spaces}{value:#}{spaces}");
        let raw = RawJson::new(text.as_bytes());
        prop_assert_eq!(raw.decode_any(), Ok(value.clone()));
        if let Value::Array(items) = &value {
            let found: Result<Vec<Value>, _> =
                raw.items().unwrap().into_iter().map(RawJson::decode_any).collect();
            prop_assert_eq!(found.as_ref(), Ok(items));
        }
        if let Value::Object(fields) = &value {
            for (name, field) in fields {
                let found = raw.required(name).and_then(RawJson::decode_any);
                prop_assert_eq!(found.as_ref(), Ok(field));
            }
        }
    }

    #[test]
    fn raw_json_of_arbitrary_bytes_gives_a_value_or_an_error(
        bytes in prop::collection::vec(prop::sample::select(&b"{}[]\":,\\a1 \xff\n"[..]), 0..40),
    ) {
        let raw = RawJson::new(&bytes);
        let _ = raw.field("a");
        let _ = raw.decode_any();
        for item in raw.items().unwrap_or_default() {
            let _ = item.decode_any();
        }
    }
}

fn nested_value() -> impl Strategy<Value = Value> {
    any_value().prop_recursive(4, 32, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map("[a-c\"\\\\\u{e9}]{0,3}", inner, 0..4)
                .prop_map(|fields| fields.into_iter().collect()),
        ]
    })
}
