//! Tests of the commands that read gateway logs, on the recorded logs of two hosts.

use std::path::PathBuf;
use std::process::{Command, Output};

fn log(file_name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/logs").join(file_name);
    path.to_str().unwrap().to_owned()
}

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lycheeford"));
    command.args(arguments);
    command.args(["--log", &log("host-a.log"), "--log", &log("host-b.log")]);
    command.output().unwrap()
}

struct LogCase {
    arguments: &'static [&'static str],
    exit: i32,
    /// Texts that the output must contain, in this order.
    parts: &'static [&'static str],
    absent: &'static str,
}

#[test]
fn a_request_is_followed_over_two_hosts_to_its_cause() {
    let cases = [
        LogCase {
            arguments: &["trace", "aa01"],
            exit: 0,
            parts: &[
                "attempt_failed",
                "meanwhile orders_held holds=false",
                "host-b   meanwhile target_gone",
                "host-b   meanwhile store_lost",
                "stream_resumed",
                "refused",
                "ended after 700 ms: refused: TargetFailed: the target closed the connection (Unknown)",
            ],
            absent: "aa02",
        },
        LogCase {
            arguments: &["trace", "bb03"],
            exit: 0,
            parts: &["attempt_not_run", "no end is on record"],
            absent: "ended after",
        },
        LogCase {
            arguments: &["trace", "ee01"],
            exit: 0,
            parts: &[
                "permit answer=\"denied\" limit_per_s=1.0 rank=\"Needed { priority: 1 }\" target=\"i-3\"",
                "ended after 4 ms: refused: Overloaded: every target that could take it has a limit",
            ],
            absent: "dd01",
        },
        LogCase {
            arguments: &["trace", "dd01"],
            exit: 0,
            parts: &[
                "target_pauses pause_ms=1500 target=\"i-3\"",
                "attempt_not_run",
                "meanwhile target_leaves",
                "ended after 110 ms: refused: Overloaded: every target that could take it asked for a pause",
            ],
            absent: "aa01",
        },
        LogCase {
            arguments: &["trace", "cc01"],
            exit: 1,
            parts: &["no line about cc01; give the logs of all hosts"],
            absent: "ended",
        },
        LogCase {
            arguments: &["why-refused"],
            exit: 0,
            parts: &[
                "       2 refused: OverRate",
                "       1 refused: Overloaded",
                "       1 refused: TargetFailed",
            ],
            absent: "answered",
        },
        LogCase {
            arguments: &["trace", "aa01", "--log", "/nowhere/host.log"],
            exit: 2,
            parts: &["give readable logs with --log"],
            absent: "ended",
        },
    ];
    for case in cases {
        let output = run(case.arguments);
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8_lossy(&text).into_owned();
        assert_eq!(output.status.code(), Some(case.exit), "{text}");
        let mut rest = text.as_str();
        for part in case.parts {
            let found = rest.find(part).unwrap_or_else(|| panic!("lacks {part:?}: {text}"));
            rest = &rest[found + part.len()..];
        }
        assert!(!text.contains(case.absent), "{text}");
    }
}
