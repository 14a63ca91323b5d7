//! Tests of settings files: valid files, and every kind of fault with its message.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use lycheeford_config::{Document, LogLevel, Settings};

const GOOD: &str = "\
host: entry-1
failure_domain: north
caller_address: 127.0.1.1:7001
peer_address: 127.0.1.1:7101
operator_address: 127.0.1.1:7201
platform_address: 127.0.0.1:7000
weight_store: { loads_at_once: 4, loads_per_s: 8.0, adapter_loads_at_once: 30 }
log_level: warning
";

#[test]
fn reads_units_and_defaults() {
    let text = format!("{GOOD}caller_limits:\n  head_ms_max: \"2 s\"\n  body_bytes_max: 1 MiB\n");
    let settings = Settings::from_yaml(&text, "settings.yaml").unwrap();
    assert_eq!(settings.host.as_str(), "entry-1");
    assert_eq!(settings.weight_store.loads_at_once, 4);
    assert_eq!(settings.caller_limits.head_ms_max, 2_000);
    assert_eq!(settings.caller_limits.body_bytes_max, 1 << 20);
    assert_eq!(settings.caller_limits.body_ms_max, 30_000);
    assert_eq!(settings.stop_grace_ms, 120_000);
    assert_eq!(settings.log_level, LogLevel::Warning);
}

struct Case {
    name: &'static str,
    /// The text to replace in the valid settings, and its replacement.
    edit: (&'static str, &'static str),
    /// The start of each expected fault's message, in order.
    faults: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case {
        name: "missing field",
        edit: ("host: entry-1\n", ""),
        faults: &["settings.yaml: line 1: host: is missing; add `host: ...`"],
    },
    Case {
        name: "missing field in a section",
        edit: ("loads_at_once: 4, ", ""),
        faults: &["settings.yaml: line 7: weight_store: loads_at_once: is missing"],
    },
    Case {
        name: "unknown field",
        edit: ("log_level", "loglevel"),
        faults: &[
            "settings.yaml: line 8: loglevel: is not a known field; remove it, or use one of",
        ],
    },
    Case {
        name: "unknown field in a section",
        edit: ("log_level: warning", "caller_limits:\n  head_max: 1"),
        faults: &["settings.yaml: line 9: caller_limits: head_max: is not a known field"],
    },
    Case {
        name: "bad unit",
        edit: ("log_level: warning", "caller_limits:\n  # note\n  body_ms_max: 5 sec"),
        faults: &[
            "settings.yaml: line 10: caller_limits: body_ms_max: \"5 sec\" has the unknown unit",
        ],
    },
    Case {
        name: "unit of another kind",
        edit: ("log_level: warning", "caller_limits:\n  head_bytes_max: 5 s"),
        faults: &["settings.yaml: line 9: caller_limits: head_bytes_max: \"5 s\" has the unknown"],
    },
    Case {
        name: "a quantity that overflows",
        edit: ("log_level: warning", "caller_limits:\n  head_bytes_max: 99999999999999 TiB"),
        faults: &[
            "settings.yaml: line 9: caller_limits: head_bytes_max: \"99999999999999 TiB\" is too",
        ],
    },
    Case {
        name: "zero limit",
        edit: ("adapter_loads_at_once: 30", "adapter_loads_at_once: 0"),
        faults: &["settings.yaml: line 7: weight_store: adapter_loads_at_once: is zero"],
    },
    Case {
        name: "zero limit with a unit",
        edit: ("log_level: warning", "caller_limits: { idle_ms_max: 0 s }"),
        faults: &["settings.yaml: line 8: caller_limits: idle_ms_max: is zero"],
    },
    Case {
        name: "a grace period that is too short for callers to switch hosts",
        edit: ("log_level", "stop_grace_ms: 5 s\nlog_level"),
        faults: &["settings.yaml: line 8: stop_grace_ms: is too short for callers to switch hosts"],
    },
    Case {
        name: "zero rate",
        edit: ("8.0", "0"),
        faults: &["settings.yaml: line 7: weight_store: loads_per_s: is zero"],
    },
    Case {
        name: "overlapping addresses",
        edit: ("7101", "7001"),
        faults: &[
            "settings.yaml: line 4: peer_address: 127.0.1.1:7001 overlaps caller_address; give",
        ],
    },
    Case {
        name: "overlap with an unspecified address",
        edit: ("127.0.1.1:7201", "0.0.0.0:7101"),
        faults: &["settings.yaml: line 5: operator_address: 0.0.0.0:7101 overlaps peer_address"],
    },
    Case {
        name: "a host name for an address",
        edit: ("127.0.0.1:7000", "platform:7000"),
        faults: &["settings.yaml: line 6: platform_address: is not an address; write an IP number"],
    },
    Case {
        name: "log level out of the choices",
        edit: ("warning", "loud"),
        faults: &[
            "settings.yaml: line 8: log_level: is not one of the choices; write one of error",
        ],
    },
    Case {
        name: "number for a name",
        edit: ("entry-1", "12"),
        faults: &["settings.yaml: line 1: host: is not text; write it as text, in quotes"],
    },
    Case {
        name: "not YAML",
        edit: ("host: entry-1", "host: [entry-1"),
        faults: &["settings.yaml: line 2: the text is not YAML"],
    },
    Case {
        name: "several at once, in the order of the file",
        edit: (
            "peer_address: 127.0.1.1:7101\noperator_address: 127.0.1.1:7201\n",
            "peer_address: nowhere\nextra: 1\n",
        ),
        faults: &[
            "settings.yaml: line 4: peer_address: is not an address",
            "settings.yaml: line 1: operator_address: is missing",
            "settings.yaml: line 5: extra: is not a known field",
        ],
    },
];

#[test]
fn lists_every_fault_with_line_and_remedy() {
    for case in CASES {
        let text = GOOD.replace(case.edit.0, case.edit.1);
        assert_ne!(text, GOOD, "{}: the edit changes nothing", case.name);
        let faults = Settings::from_yaml(&text, "settings.yaml").unwrap_err().to_string();
        let lines: Vec<&str> = faults.lines().filter(|line| line.starts_with("settings")).collect();
        assert_eq!(lines.len(), case.faults.len(), "{}: {faults}", case.name);
        for (line, start) in lines.iter().zip(case.faults) {
            assert!(line.starts_with(start), "{}: {line}", case.name);
            assert!(line.contains("; "), "{}: no remedy in {line}", case.name);
        }
    }
}

fn yaml_like() -> impl Strategy<Value = String> {
    let word = prop_oneof![
        prop::sample::select(vec![
            "host",
            "models",
            "name",
            "weights",
            "caller_limits",
            "- ",
            "{",
            "}",
            "[",
            "]",
            ": ",
            "\n",
            "\n  ",
            "&a ",
            "*a",
            "!!map ",
            "? ",
            "| ",
            "0",
            "-1",
            "1.5",
            "\"5 s\"",
            "~",
            "#",
            "\t",
            "'",
            ",",
            "é",
        ])
        .prop_map(str::to_owned),
        ".{0,4}",
    ];
    prop::collection::vec(word, 0..40).prop_map(|words| words.concat())
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        cases: 4_000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_text_never_panics(text in prop_oneof![".{0,200}", yaml_like()]) {
        let _ = Settings::from_yaml(&text, "settings.yaml");
        let _ = Document::from_yaml(&text, "base.yaml");
    }
}
