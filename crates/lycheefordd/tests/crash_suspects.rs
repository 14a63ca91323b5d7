//! A request that crashes its engine is sent repeatedly through every daemon, and is refused as a
//! crash suspect before it takes down many engines.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_std::task;
use futures_util::future::{join, join_all};
use lycheeford_fakes::{Call, expected_text};
use lycheeford_policy::MAX_TARGET_CRASHES;

use crate::support::{CRASH_MARKER, Fleet, Process, until};

const MODEL: &str = "model-001";
const TOKENS: u64 = 5;
/// Rounds in which the request goes through each daemon.
const ROUNDS: usize = 8;
const ROUND_PAUSE: Duration = Duration::from_millis(200);

#[async_std::test]
async fn a_request_takes_down_few_engines() {
    let mut fleet = Fleet::start("crash-suspects").await;
    let addresses: Vec<_> =
        (0..fleet.daemons.len()).map(|daemon| fleet.caller_address(daemon)).collect();
    let crashing = Call::completion(&fleet.keys[1], MODEL, CRASH_MARKER, TOKENS)
        .header("x-deadline-ms", "5000");
    let warm = Call::completion(&fleet.keys[0], MODEL, "warm", 1);
    until("the model is warm for every daemon", async || {
        let answers = join_all(addresses.iter().map(|address| warm.send(*address))).await;
        answers.iter().all(|answer| answer.as_ref().is_ok_and(|answer| answer.status == 200))
    })
    .await;

    let stop = Arc::new(AtomicBool::new(false));
    let (other_outcomes, crashes) = join(
        task::spawn(keep_calling(addresses.clone(), fleet.keys[0].clone(), stop.clone())),
        async {
            let mut crashes = 0;
            for round in 0..ROUNDS {
                let daemon = addresses[round % addresses.len()];
                let mut received = String::new();
                let _ = crashing.stream_lines(daemon, |line| received.push_str(line)).await;
                println!("round {round}: {}", received.trim());
                assert!(received.contains("\"error\""), "no error was sent: {received}");
                for engine in &mut fleet.engines {
                    if !engine.is_running() {
                        crashes += 1;
                        assert!(
                            !received.contains("not_run"),
                            "the request ran, but the error claims `not_run`: {received}"
                        );
                        println!("round {round}: an engine crashed");
                        engine.start_stand_in();
                    }
                }
                task::sleep(ROUND_PAUSE).await;
            }
            for answer in join_all(addresses.iter().map(|address| crashing.send(*address))).await {
                let answer = answer.expect("a daemon answers");
                assert_eq!(answer.refusal_code(), "crash_suspect", "{}", answer.body);
            }
            stop.store(true, Ordering::SeqCst);
            crashes
        },
    )
    .await;
    println!("{crashes} engines crashed; other requests: {other_outcomes:?}");
    assert!(crashes > 0 && crashes <= MAX_TARGET_CRASHES, "{crashes} engines crashed");
    assert!(fleet.engines.iter_mut().all(Process::is_running));
    assert!(other_outcomes.whole > 0);

    until("other requests are served", async || {
        let answers = join_all(addresses.iter().map(|address| warm.send(*address))).await;
        answers.iter().all(|answer| answer.as_ref().is_ok_and(|answer| answer.status == 200))
    })
    .await;
}

/// The outcomes of other requests.
#[derive(Debug, Default)]
struct OtherOutcomes {
    whole: usize,
    refused: usize,
}

/// Calls through every daemon; each answer is whole or refused with a reason.
async fn keep_calling(
    addresses: Vec<std::net::SocketAddr>,
    key: String,
    stop: Arc<AtomicBool>,
) -> OtherOutcomes {
    let mut other_outcomes = OtherOutcomes::default();
    let mut turn = 0;
    while !stop.load(Ordering::SeqCst) {
        turn += 1;
        let prompt = format!("turn {turn}");
        let call = Call::completion(&key, MODEL, &prompt, TOKENS).header("x-deadline-ms", "5000");
        let mut has_error = false;
        let on_line = |line: &str| has_error |= line.contains("\"error\"");
        let answer = call.stream_lines(addresses[turn % addresses.len()], on_line).await;
        match answer {
            Ok(answer) if answer.status == 200 && !has_error => {
                assert_eq!(answer.streamed_text(), Some(expected_text(MODEL, &prompt, TOKENS)));
                other_outcomes.whole += 1;
            }
            _ if has_error => other_outcomes.refused += 1,
            answer => panic!("{prompt}: neither a whole answer nor an error: {answer:?}"),
        }
    }
    other_outcomes
}
