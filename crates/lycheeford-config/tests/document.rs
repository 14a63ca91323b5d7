//! Tests of the fleet's document: faults, merging and differences.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use lycheeford_config::{
    CustomerEntry, Document, ModelEntry, RouteEntry, WeightsEntry, check, diff, merge,
};
use lycheeford_policy::{Access, Name};

const GOOD: &str = "\
models:
  - { name: m, memory_bytes: 1 GiB, replicas_max: 2, load_remote_ms: 5 s, load_disk_ms: 900 ms }
adapters:
  - { name: a, model: m, memory_bytes: 1000, customers: [c] }
services:
  - { name: s }
routes:
  - { path_prefix: /s/x, service: s, repeat: at_most_once }
customers:
  - { name: c, rate_tokens_per_s: 10, burst_tokens: 100 }
";

fn read(text: &str) -> Document {
    Document::from_yaml(text, "base.yaml").unwrap()
}

#[test]
fn fills_defaults_and_sorts() {
    let text = GOOD.replace("models:\n", "models:\n  - { name: z, memory_bytes: 1, replicas_max: 1, load_remote_ms: 1, load_disk_ms: 1 }\n");
    let configuration = check(&read(&text)).unwrap();
    let names: Vec<&str> = configuration.models.iter().map(|model| model.name.as_str()).collect();
    assert_eq!(names, ["m", "z"]);
    assert_eq!(configuration.models[0].memory_bytes, 1 << 30);
    assert_eq!(configuration.models[0].load_disk_ms, 900);
    assert_eq!(configuration.models[0].min_bytes_per_token, 1);
    assert_eq!(configuration.services[0].timeout_ms, 30_000);
    assert_eq!(configuration.routes[0].access, Access::Keyed);
    assert_eq!(configuration.customers[0].class, 1);
    assert_eq!(check(&Document::from(&configuration)).unwrap(), configuration);
    let yaml = Document::from(&configuration).to_yaml();
    assert_eq!(read(&yaml), Document::from(&configuration));
}

struct Case {
    name: &'static str,
    /// Text to replace in the good document, with its replacement.
    edits: &'static [(&'static str, &'static str)],
    /// The start of each expected fault's message.
    faults: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case {
        name: "missing fields",
        edits: &[
            ("replicas_max: 2, ", ""),
            (", repeat: at_most_once", ""),
            ("burst_tokens: 100", "class: 0"),
        ],
        faults: &[
            "model m: replicas_max: is missing; add",
            "route /s/x: repeat: is missing; add",
            "customer c: burst_tokens: is missing; add",
        ],
    },
    Case {
        name: "unknown references",
        edits: &[("model: m", "model: n"), ("service: s", "service: t"), ("[c]", "[c, d]")],
        faults: &[
            "adapter a: model: n is not declared; declare it",
            "adapter a: customers: d is not declared; declare it",
            "route /s/x: service: t is not declared; declare it",
        ],
    },
    Case {
        name: "one name for a model and an adapter",
        edits: &[("name: a", "name: m")],
        faults: &["adapter m: has the same name as another model; give each"],
    },
    Case {
        name: "zero",
        edits: &[("1 GiB", "0"), ("rate_tokens_per_s: 10", "rate_tokens_per_s: 0")],
        faults: &[
            "model m: memory_bytes: is zero; write",
            "customer c: rate_tokens_per_s: is zero; write",
        ],
    },
    Case {
        name: "a burst smaller than a second of the rate",
        edits: &[("burst_tokens: 100", "burst_tokens: 9")],
        faults: &["customer c: burst_tokens: 9 is below 10, the rate of a second; raise"],
    },
    Case {
        name: "a prefix without a slash",
        edits: &[("/s/x", "s/x")],
        faults: &["route s/x: path_prefix: can't be used as a prefix of paths; start with a slash"],
    },
    Case {
        name: "a prefix with a parent segment",
        edits: &[("/s/x", "/s/../x")],
        faults: &["route /s/../x: path_prefix: can't be used as a prefix of paths"],
    },
    Case {
        name: "a prefix that the daemon reserves",
        edits: &[("/s/x", "/v1/completions")],
        faults: &["route /v1/completions: path_prefix: clashes with /v1"],
    },
    Case {
        name: "customers of an open route",
        edits: &[("service: s,", "service: s, access: open, customers: [c],")],
        faults: &["route /s/x: customers: are listed on a route that is open to all"],
    },
    Case {
        name: "an empty list, which would be stored as no restriction",
        edits: &[("[c]", "[]")],
        faults: &["adapter a: customers: is an empty list"],
    },
    Case {
        name: "a name that can't name a stored object",
        edits: &[("name: a", "name: a/b")],
        faults: &["adapter a/b: name: can't be used as a name; use at most 128 letters"],
    },
    Case {
        name: "a removal without a base",
        edits: &[("{ name: s }", "{ name: s, remove: true }")],
        faults: &["service s: remove: is true in a document that has no base"],
    },
    Case {
        name: "weights",
        edits: &[(
            "models:",
            "weights: { cold_start_tail: 0, idle_hours: 0, worst_customer: 0, wrongful_refusals: 0 }\nmodels:",
        )],
        faults: &["weights: are all zero"],
    },
];

#[test]
fn lists_every_fault_of_a_merged_document() {
    for case in CASES {
        let mut text = GOOD.to_owned();
        for (from, to) in case.edits {
            assert!(text.contains(from), "{}: no {from:?}", case.name);
            text = text.replacen(from, to, 1);
        }
        let faults = check(&read(&text)).unwrap_err().to_string();
        let lines: Vec<&str> = faults.lines().collect();
        assert_eq!(lines.len(), case.faults.len(), "{}: {faults}", case.name);
        for (line, start) in lines.iter().zip(case.faults) {
            assert!(line.starts_with(start), "{}: {line}", case.name);
        }
    }
}

#[test]
fn lists_every_fault_of_a_file_with_its_line() {
    let text = "\
models:
  - name: m
    memory_bytes: 16 GX
    colour: red
  - name: n
    replicas_max: -1
  - replicas_max: 1
  - name: m
customers:
  - name: c
    class: 300
routes: 7
";
    let faults = Document::from_yaml(text, "base.yaml").unwrap_err().to_string();
    let expected = [
        "base.yaml: line 3: model m: memory_bytes: \"16 GX\" has the unknown unit \"GX\"",
        "base.yaml: line 4: model m: colour: is not a known field",
        "base.yaml: line 6: model n: replicas_max: is not a whole number in range",
        "base.yaml: line 7: models: name: is missing",
        "base.yaml: line 8: model m: name: appears twice in this file",
        "base.yaml: line 12: routes: is not a list",
        "base.yaml: line 11: customer c: class: is not a whole number in range",
    ];
    let lines: Vec<&str> = faults.lines().collect();
    assert_eq!(lines.len(), expected.len(), "{faults}");
    for (line, start) in lines.iter().zip(expected) {
        assert!(line.starts_with(start), "{line}");
    }
}

#[test]
fn an_overlay_overrides_adds_and_removes() {
    let base = read(GOOD);
    let overlay = read(
        "models: [{ name: m, replicas_max: 5 }]\n\
         adapters: [{ name: a, remove: true }]\n\
         services: [{ name: t }]\n\
         weights: { idle_hours: 2.5 }\n",
    );
    let merged = merge(&base, &overlay);
    assert_eq!(merged.models[0].replicas_max, Some(5));
    assert_eq!(merged.models[0].memory_bytes, Some(1 << 30));
    assert_eq!(merged.adapters, []);
    assert_eq!(merged.services.len(), 2);
    let lines: Vec<String> = diff(&base, &merged).iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        ["- adapter a", "~ model m: replicas_max: 2 -> 5", "+ service t", "+ weights"]
    );
    assert_eq!(diff(&merged, &merged), []);
}

fn name() -> impl Strategy<Value = Name> {
    prop::sample::select(vec!["a", "b", "c", "d"]).prop_map(Name::from)
}

prop_compose! {
    fn model()(
        name in name(),
        remove in prop::option::weighted(0.3, any::<bool>()),
        memory_bytes in prop::option::of(0..5_u64),
        replicas_max in prop::option::of(0..5_u32),
    ) -> ModelEntry {
        ModelEntry {
            name,
            remove,
            memory_bytes,
            replicas_max,
            load_remote_ms: None,
            load_disk_ms: None,
            min_bytes_per_token: None,
            customers: None,
        }
    }
}

prop_compose! {
    fn route()(
        path_prefix in name(),
        remove in prop::option::weighted(0.3, any::<bool>()),
        service in prop::option::of(name()),
        customers in prop::option::of(prop::collection::vec(name(), 0..3)),
    ) -> RouteEntry {
        RouteEntry { path_prefix, remove, service, access: None, repeat: None, customers }
    }
}

prop_compose! {
    fn customer()(
        name in name(),
        remove in prop::option::weighted(0.3, any::<bool>()),
        rate_tokens_per_s in prop::option::of(0..5_u64),
    ) -> CustomerEntry {
        CustomerEntry { name, remove, rate_tokens_per_s, burst_tokens: None, class: None }
    }
}

prop_compose! {
    fn document()(
        models in prop::collection::vec(model(), 0..5),
        routes in prop::collection::vec(route(), 0..5),
        customers in prop::collection::vec(customer(), 0..5),
        idle_hours in prop::option::of(0.0..5.0_f64),
    ) -> Document {
        let weights = Some(WeightsEntry { idle_hours, ..WeightsEntry::default() });
        Document { models, routes, customers, weights, ..Document::default() }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        cases: 2_000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn merging_the_same_overlay_twice_changes_nothing(base in document(), overlay in document()) {
        let once = merge(&base, &overlay);
        prop_assert_eq!(merge(&once, &overlay), once);
    }

    #[test]
    fn the_overlay_overrides_the_base(base in document(), overlay in document()) {
        let merged = merge(&base, &overlay);
        for (index, entry) in overlay.models.iter().enumerate() {
            let is_last = overlay.models[index + 1..].iter().all(|later| later.name != entry.name);
            if !is_last {
                continue;
            }
            let found = merged.models.iter().find(|model| model.name == entry.name);
            match (entry.remove, found) {
                (Some(true), found) => prop_assert_eq!(found, None),
                (_, None) => prop_assert!(false, "{} is lost", entry.name),
                (_, Some(found)) if entry.memory_bytes.is_some() => {
                    prop_assert_eq!(found.memory_bytes, entry.memory_bytes);
                }
                _ => {}
            }
        }
    }
}
