//! What a daemon logs reaches its reader.

mod support;

use std::fs::{self, File};
use std::path::Path;
use std::process::Command;

use http_types::Method;
use lycheeford_config::{check, merge};
use lycheeford_fakes::{Call, CallFault, PlatformFaults};
use serde_json::Value;

use crate::support::{Fleet, PATIENCE, until};

#[async_std::test]
async fn the_last_lines_of_a_daemon_are_written_before_it_ends() {
    let mut fleet = Fleet::start("last-lines").await;
    for daemon in &fleet.daemons {
        daemon.terminate();
    }
    for daemon in 0..fleet.daemons.len() {
        fleet.daemons[daemon].ended(PATIENCE).await.expect("the daemon drains");
        let messages = messages(&fleet.log_of_daemon(daemon));
        assert!(messages.iter().any(|message| message == "ended"), "daemon {daemon}: {messages:?}");
    }
}

#[async_std::test]
async fn a_reader_of_the_log_that_was_gone_gets_lines_again() {
    let mut fleet = Fleet::start("log-reader-gone").await;
    fleet.daemons[0].terminate();
    fleet.daemons[0].ended(PATIENCE).await.expect("the daemon drains");
    let pipe = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("log-{}", std::process::id()));
    assert!(Command::new("mkfifo").arg(&pipe).status().expect("mkfifo runs").success());
    // Open for both ways, so that nobody waits for the other end.
    let reader = File::options().read(true).write(true).open(&pipe).unwrap();
    fleet.daemons[0].start_logging_to(File::options().write(true).open(&pipe).unwrap());
    fleet.await_daemon(0).await;
    drop(reader);
    // Each change is logged; there is nobody to read the line.
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

/// Something that goes wrong at the platform, and the message by which it is found.
struct PlatformCase {
    message: &'static str,
    faults: PlatformFaults,
    /// The kind of the objects of the engines and models that are no objects of ours.
    unreadable: Option<&'static str>,
}

#[async_std::test]
async fn what_goes_wrong_at_the_platform_is_found_in_the_log() {
    let sound = PlatformFaults::default();
    let away = PlatformFaults { calls: CallFault::Refuse, ..PlatformFaults::default() };
    let case = |message, faults, unreadable| PlatformCase { message, faults, unreadable };
    let cases = [
        case("platform doesn't answer", away, None),
        case("platform answers again", sound.clone(), None),
        case("target's record not readable", sound.clone(), Some("target")),
        case("decided replicas not readable", sound, Some("replica")),
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
            // Whoever starts to coordinate knows nothing yet.
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
