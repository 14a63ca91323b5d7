//! Tests of the tool as operators run it: exit codes, output and lost responses.

mod daemon;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};

use crate::daemon::{Daemon, Fault, unreachable_address};

fn example(file_name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(file_name);
    path.to_str().unwrap().to_owned()
}

/// Runs the tool; `BASE`, `NORTHPASS` and `REGULATOR` in a line are replaced by the paths of the
/// example files.
fn run(daemons: &[SocketAddr], line: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lycheeford"));
    for daemon in daemons {
        command.args(["--daemon", &daemon.to_string()]);
    }
    for argument in line.split_whitespace() {
        match argument {
            "BASE" => command.arg(example("base.yaml")),
            "NORTHPASS" => command.arg(example("northpass.yaml")),
            "REGULATOR" => command.arg(example("regulator.yaml")),
            argument => command.arg(argument),
        };
    }
    command.output().unwrap()
}

#[track_caller]
fn check(output: &Output, exit: i32, stdout: &str, stderr: &str) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let (out, err) = (text(&output.stdout), text(&output.stderr));
    assert_eq!(output.status.code(), Some(exit), "stdout: {out}stderr: {err}");
    assert!(out.contains(stdout), "stdout lacks {stdout:?}: {out}");
    assert!(err.contains(stderr), "stderr lacks {stderr:?}: {err}");
}

struct Case {
    line: &'static str,
    exit: i32,
    stdout: &'static str,
    stderr: &'static str,
}

const WITHOUT_DAEMON: &[Case] = &[
    Case { line: "--help", exit: 0, stdout: "5 not in force on every host", stderr: "" },
    Case { line: "", exit: 2, stdout: "", stderr: "One of the following subcommands" },
    Case { line: "hosts --loud", exit: 2, stdout: "", stderr: "Unrecognized argument: --loud" },
    Case {
        line: "config check --base BASE --overlay NORTHPASS",
        exit: 0,
        stdout: "the files are good: 3 models, 3 adapters",
        stderr: "",
    },
    Case {
        line: "config check --base NORTHPASS",
        exit: 2,
        stdout: "",
        stderr: "model summary-7b: memory_bytes: is missing; add",
    },
    Case {
        line: "config check --base none.yaml --overlay none-too.yaml",
        exit: 2,
        stdout: "",
        stderr: "none-too.yaml: can't be read",
    },
    Case { line: "drain", exit: 2, stdout: "", stderr: "name it with a single --daemon" },
];

#[test]
fn needs_no_daemon_for_usage_and_files() {
    for case in WITHOUT_DAEMON {
        check(&run(&[], case.line), case.exit, case.stdout, case.stderr);
    }
}

const ONE_DAEMON: &[Case] = &[
    Case { line: "config diff --base BASE", exit: 0, stdout: "+ model summary-7b", stderr: "" },
    Case {
        line: "config apply --base BASE --revision 7",
        exit: 3,
        stdout: "",
        stderr: "compare with revision 0",
    },
    Case {
        line: "config apply --base BASE --overlay NORTHPASS --wait",
        exit: 0,
        stdout: "entry-1  1         yes       yes        5 ms ago",
        stderr: "",
    },
    Case {
        line: "config diff --base BASE --overlay NORTHPASS",
        exit: 0,
        stdout: "the files match revision 1",
        stderr: "",
    },
    Case {
        line: "config diff --base BASE --overlay REGULATOR",
        exit: 0,
        stdout: "~ weights: cold_start_tail: 4.0 -> 1.0",
        stderr: "",
    },
    Case { line: "config show", exit: 0, stdout: "# revision 1\nmodels:\n", stderr: "" },
    Case { line: "--json config show", exit: 0, stdout: "\"revision\": 1,", stderr: "" },
    Case { line: "key grant pilots", exit: 0, stdout: "\nlf_key2_secret", stderr: "" },
    Case { line: "key grant nobody", exit: 1, stdout: "", stderr: "nobody is not declared" },
    Case { line: "key list", exit: 0, stdout: "key2  pilots", stderr: "" },
    Case { line: "key withdraw key2", exit: 0, stdout: "withdrawn since revision 3", stderr: "" },
    Case { line: "key withdraw key2", exit: 1, stdout: "", stderr: "no key has the id key2" },
    Case { line: "--json key withdraw key2", exit: 1, stdout: "", stderr: "\"exit\": 1," },
    Case { line: "explain req-9", exit: 1, stdout: "", stderr: "knows no req-9" },
    Case { line: "drain", exit: 0, stdout: "entry-1 drains, with 2 requests", stderr: "" },
    // A refusal by a draining daemon gives exit code 1, not the code 4 of an unreachable daemon.
    Case { line: "models", exit: 1, stdout: "", stderr: "not part of this test" },
];

#[test]
fn an_operator_changes_the_configuration() {
    let daemon = Daemon::start("entry-1");
    for case in ONE_DAEMON {
        println!("lycheeford {}", case.line);
        check(&run(&[daemon.address()], case.line), case.exit, case.stdout, case.stderr);
    }
}

#[test]
fn the_next_daemon_is_tried_only_if_it_may_succeed() {
    let (one, other) = (Daemon::start("entry-1"), Daemon::start("entry-2"));
    let unreachable = unreachable_address();
    check(&run(&[unreachable], "hosts"), 4, "", "can't be reached");
    check(&run(&[unreachable, unreachable], "config show"), 4, "", "can't be reached");
    check(&run(&[unreachable, other.address()], "config show"), 0, "# revision 0", "");

    one.state().inject(Fault::PlatformUnavailable);
    let both = [one.address(), other.address()];
    check(&run(&both, "config apply --base BASE"), 0, "applied as revision 1", "");
    assert_eq!((one.counts(), other.counts()), ((0, 1), (1, 1)));

    other.state().known_subject = Some("req-9".to_owned());
    check(&run(&both, "explain req-9"), 0, "req-9: refused by entry-2", "");
    check(&run(&both, "drain"), 2, "", "acts on one daemon");
    assert_eq!(one.state().drains, 0);
    assert_eq!(other.state().drains, 0);
}

#[test]
fn an_apply_with_a_lost_response_is_resolved_by_reading_back() {
    let apply = "config apply --base BASE --overlay NORTHPASS";

    let daemon = Daemon::start("entry-1");
    daemon.state().inject(Fault::ResponseLost);
    check(&run(&[daemon.address()], apply), 0, "applied as revision 1", "");
    assert_eq!(daemon.counts(), (1, 1));

    let daemon = Daemon::start("entry-1");
    daemon.state().inject(Fault::RequestLost);
    check(&run(&[daemon.address()], apply), 0, "applied as revision 1", "");
    assert_eq!(daemon.counts(), (1, 2));

    // Another operator's change commits instead of the lost one, and must not be reverted.
    let daemon = Daemon::start("entry-1");
    daemon.state().inject(Fault::Superseded);
    check(&run(&[daemon.address()], apply), 3, "", "compare with revision 1");
    assert_eq!(daemon.counts(), (0, 2));
    assert_eq!(daemon.state().stamp, "another");

    // The store applies the change only after the first read-back.
    let daemon = Daemon::start("entry-1");
    daemon.state().inject(Fault::DelayedUntilNextCall);
    check(&run(&[daemon.address()], apply), 0, "applied as revision 1", "");
    assert_eq!(daemon.counts(), (1, 2));
}

#[test]
fn a_withdrawal_with_a_lost_response_is_retried() {
    let daemon = Daemon::start("entry-1");
    check(&run(&[daemon.address()], "config apply --base BASE --overlay NORTHPASS"), 0, "", "");
    check(&run(&[daemon.address()], "key grant pilots"), 0, "lf_key2_secret", "");
    daemon.state().inject(Fault::ResponseLost);
    check(&run(&[daemon.address()], "key withdraw key2"), 0, "since revision 3", "");
    daemon.state().inject(Fault::ResponseLost);
    check(&run(&[daemon.address()], "key grant pilots"), 1, "", "see `key list`");
}

#[test]
fn a_wait_reports_the_host_without_the_new_revision() {
    let daemon = Daemon::start("entry-1");
    daemon.state().second_host_is_behind = true;
    let line = "config apply --base BASE --wait --wait-ms 150";
    let output = run(&[daemon.address()], line);
    check(&output, 5, "entry-2  0         no        yes", "not in force on every host");
}

#[test]
fn what_show_prints_can_be_applied_again() {
    let daemon = Daemon::start("entry-1");
    check(&run(&[daemon.address()], "config apply --base BASE --overlay REGULATOR"), 0, "", "");
    let shown = run(&[daemon.address()], "config show");
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("shown.yaml");
    std::fs::write(&path, &shown.stdout).unwrap();
    let line = format!("config diff --base {}", path.display());
    check(&run(&[daemon.address()], &line), 0, "the files match revision 1", "");
}
