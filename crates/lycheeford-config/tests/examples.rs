//! Tests that the example files match what the documentation says about them.

use std::fs;
use std::path::PathBuf;

use lycheeford_config::{CallerLimits, Document, Settings, check, merge};

fn example(file_name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(file_name);
    fs::read_to_string(path).unwrap()
}

#[test]
fn the_settings_state_the_defaults() {
    let settings = Settings::from_yaml(&example("settings.yaml"), "settings.yaml").unwrap();
    assert_eq!(settings.caller_limits, CallerLimits::default());
    assert_eq!(settings.stop_grace_ms, 120_000);
}

#[test]
fn each_overlay_fits_the_base() {
    let base = Document::from_yaml(&example("base.yaml"), "base.yaml").unwrap();
    check(&base).unwrap();
    for file_name in ["northpass.yaml", "regulator.yaml"] {
        let overlay = Document::from_yaml(&example(file_name), file_name).unwrap();
        let configuration = check(&merge(&base, &overlay)).unwrap();
        assert_eq!(configuration.customers.len(), 3, "{file_name}");
    }
}
