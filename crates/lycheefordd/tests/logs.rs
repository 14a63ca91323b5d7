//! Log lines of a daemon reach the reader of its log.

mod support;

use std::fs::{self, File};
use std::path::Path;
use std::process::Command;

use http_types::Method;
use lycheeford_config::{check, merge};
use lycheeford_fakes::{Call, CallFault, PlatformFaults};
use serde_json::Value;

use crate::support::{Fleet, WAIT_TIMEOUT, until};

#[async_std::test]
async fn the_last_lines_of_a_daemon_are_written_before_it_ends() {
    let mut fleet = Fleet::start("last-lines").await;
    for daemon in &fleet.daemons {
        daemon.terminate();
    }
    for daemon in 0..fleet.daemons.len() {
        fleet.daemons[daemon].ended(WAIT_TIMEOUT).await.expect("the daemon drains");
        let messages = messages(&fleet.log_of_daemon(daemon));
        assert!(messages.iter().any(|message| message == "ended"), "daemon {daemon}: {messages:?}");
    }
}

#[async_std::test]
async fn a_log_reader_that_was_disconnected_gets_lines_again() {
    let mut fleet = Fleet::start("log-reader-gone").await;
    fleet.daemons[0].terminate();
    fleet.daemons[0].ended(WAIT_TIMEOUT).await.expect("the daemon drains");
    let pipe = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("log-{}", std::process::id()));
    assert!(Command::new("mkfifo").arg(&pipe).status().expect("mkfifo runs").success());
    // Open for reading and writing, so that opening doesn't block until the other end is open.
    let reader = File::options().read(true).write(true).open(&pipe).unwrap();
    fleet.daemons[0].start_logging_to(File::options().write(true).open(&pipe).unwrap());
    fleet.await_daemon(0).await;
    drop(reader);
    // Each change is logged, and nothing reads the line.
    let merged = merge(&fleet.deployment.base, &fleet.deployment.overlay);
    let mut declared = check(&merged).expect("the deployment's configuration is good");
    declared.customers[0].burst_tokens += 1;
    fleet.apply((&declared).into()).await;

    let reader = File::open(&pipe).unwrap();
    fs::remove_file(&pipe).unwrap();
    fleet.daemons[0].terminate();
    let messages = messages(&std::io::read_to_string(reader).unwrap());
    assert!(messages.iter().any(|message| message == "ended"), "{messages:?}");
}

/// A fault of the platform, and the log message that reports it.
struct PlatformCase {
    message: &'static str,
    faults: PlatformFaults,
    /// The kind of stored object that is overwritten with an unreadable one.
    unreadable: Option<&'static str>,
}

#[async_std::test]
async fn each_platform_fault_is_reported_in_the_log() {
    let no_faults = PlatformFaults::default();
    let unavailable = PlatformFaults { calls: CallFault::Refuse, ..PlatformFaults::default() };
    let case = |message, faults, unreadable| PlatformCase { message, faults, unreadable };
    let cases = [
        case("platform doesn't answer", unavailable, None),
        case("platform answers again", no_faults.clone(), None),
        case("target's record not readable", no_faults.clone(), Some("target")),
        case("decided replicas not readable", no_faults, Some("replica")),
    ];
    let mut fleet = Fleet::start("platform-lines").await;
    let platform = fleet.deployment.platform;
    for case in cases {
        fleet.set_faults(platform, &case.faults).await;
        if let Some(kind) = case.unreadable {
            let name = &fleet.deployment.engines[0].name;
            let body = br#"{"odd":1}"#.to_vec();
            let path = format!("/objects/{kind}/{name}");
            let put = Call { method: Method::Put, body, ..Call::get(&path) };
            assert_eq!(put.send(platform).await.expect("the platform answers").status, 200);
            // A daemon that starts to coordinate after its restart has to read the object.
            for daemon in &mut fleet.daemons {
                daemon.kill();
                daemon.start();
            }
        }
        until(case.message, async || {
            let logs = (0..fleet.daemons.len()).map(|daemon| fleet.log_of_daemon(daemon));
            logs.collect::<String>().contains(case.message)
        })
        .await;
    }
}

fn messages(log: &str) -> Vec<String> {
    let message = |line: &str| {
        let line: Value = serde_json::from_str(line).expect("a whole line");
        line["msg"].as_str().expect("a message").to_owned()
    };
    log.lines().map(message).collect()
}
