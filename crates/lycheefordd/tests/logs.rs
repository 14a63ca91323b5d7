//! What a daemon logs reaches its reader.

mod support;

use serde_json::Value;

use crate::support::{Fleet, PATIENCE};

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

fn messages(log: &str) -> Vec<String> {
    let message = |line: &str| {
        let line: Value = serde_json::from_str(line).expect("a whole line");
        line["msg"].as_str().expect("a message").to_owned()
    };
    log.lines().map(message).collect()
}
