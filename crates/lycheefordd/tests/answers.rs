//! Engines and services truncate answers, stall or die in the middle of them.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::task;
use futures_util::future::{join, join_all};
use lycheeford_fakes::{Call, CallError, EngineFaults, ServiceFaults, expected_text};
use serde_json::{Value, json};

use crate::support::{Fleet, until};

const MODEL: &str = "model-001";
/// The time that each caller gives its request.
const DEADLINE_MS: u64 = 3_000;
/// Far longer than a daemon takes to detect that a deadline has passed; a caller gives up after it.
const SLACK: Duration = Duration::from_secs(3);
const CALLERS: usize = 12;
/// Every third caller requests its answer in one piece, not as a stream.
const WHOLE_FORM_CALLERS: usize = CALLERS / 3;
/// Calls per daemon that fill its retry budget.
const BUDGET_CALLS: usize = 40;
/// An answer that takes longer than the wait before a kill.
const LONG_TOKENS: u64 = 300;
const KILL_AFTER: Duration = Duration::from_millis(150);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Form {
    Streamed,
    Whole,
}

/// Callers of every daemon in turn.
#[derive(Debug, Clone)]
struct Callers {
    daemons: Vec<SocketAddr>,
    key: String,
    model: &'static str,
}

#[async_std::test]
async fn broken_streams_end_whole_or_with_a_clear_error() {
    struct Case {
        name: &'static str,
        faults: EngineFaults,
        /// Whether the engines without the model have the fault, too.
        everywhere: bool,
        /// Whether at least some of the streams are resumed at another engine.
        resumes: bool,
    }
    let truncated =
        |tokens| EngineFaults { truncate_after_tokens: Some(tokens), ..EngineFaults::default() };
    let silent =
        |tokens| EngineFaults { silent_after_tokens: Some(tokens), ..EngineFaults::default() };
    let cases = [
        Case { name: "truncated", faults: truncated(5), everywhere: false, resumes: true },
        Case { name: "truncated at once", faults: truncated(0), everywhere: false, resumes: true },
        Case {
            name: "truncated everywhere",
            faults: truncated(1),
            everywhere: true,
            resumes: false,
        },
        Case { name: "silent", faults: silent(5), everywhere: false, resumes: false },
        Case { name: "silent everywhere", faults: silent(0), everywhere: true, resumes: false },
    ];
    let fleet = Fleet::start("broken-streams").await;
    let callers = Callers::new(&fleet);
    for case in cases {
        callers.await_warm().await;
        callers.fill_retry_budgets().await;
        let holder = holder(&fleet, MODEL).await;
        for (index, engine) in fleet.deployment.engines.iter().enumerate() {
            if case.everywhere || index == holder {
                fleet.set_faults(engine.address, &case.faults).await;
            }
        }
        let outcomes = callers.call_all(case.name, 20).await;
        println!("{}: {outcomes:?}", case.name);
        if case.resumes {
            assert_streams_resumed(&outcomes, case.name);
        }
        for engine in &fleet.deployment.engines {
            fleet.set_faults(engine.address, &EngineFaults::default()).await;
        }
    }
}

/// Regression test: a stalled engine that sent a byte now and then kept its caller waiting until
/// the deadline.
#[async_std::test]
async fn a_stream_of_bytes_without_events_goes_on_elsewhere() {
    const LONG_DEADLINE_MS: u64 = 20_000;
    const TOKENS: u64 = 20;
    const CLEAR_FAULTS_AFTER: Duration = Duration::from_secs(3);
    let fleet = Fleet::start("trickling-streams").await;
    let callers = Callers::new(&fleet);
    callers.await_warm().await;
    callers.fill_retry_budgets().await;
    let holder = &fleet.deployment.engines[holder(&fleet, MODEL).await];
    let faults = EngineFaults { trickle_after_tokens: Some(5), ..EngineFaults::default() };
    fleet.set_faults(holder.address, &faults).await;
    let body = json!({ "model": MODEL, "prompt": "ice", "max_tokens": TOKENS, "stream": true });
    let mut call = Call::post("/v1/completions", &callers.key, &body)
        .header("x-deadline-ms", &LONG_DEADLINE_MS.to_string());
    call.timeout = Duration::from_millis(LONG_DEADLINE_MS) + SLACK;
    let clear_faults = async {
        // The stalled run keeps trickling; only the run that replaces it is free of faults.
        task::sleep(CLEAR_FAULTS_AFTER).await;
        fleet.set_faults(holder.address, &EngineFaults::default()).await;
    };
    let (answer, ()) = Box::pin(join(call.send(fleet.caller_address(0)), clear_faults)).await;
    let answer = answer.expect("an answer");
    assert_eq!(
        answer.streamed_text(),
        Some(expected_text(MODEL, "ice", TOKENS)),
        "{}",
        answer.body
    );
}

/// Regression test: the head and the text of an engine's error got into the caller's stream, as
/// events without data.
#[async_std::test]
async fn an_error_of_an_engine_never_gets_into_a_stream() {
    const TOKENS: u64 = 20;
    let fleet = Fleet::start("errors-in-streams").await;
    let callers = Callers::new(&fleet);
    callers.await_warm().await;
    callers.fill_retry_budgets().await;
    let faults = EngineFaults { error_after_tokens: Some(5), ..EngineFaults::default() };
    for engine in &fleet.deployment.engines {
        fleet.set_faults(engine.address, &faults).await;
    }
    let body = json!({ "model": MODEL, "prompt": "ice", "max_tokens": TOKENS, "stream": true });
    let call = Call::post("/v1/completions", &callers.key, &body)
        .header("x-deadline-ms", &DEADLINE_MS.to_string());
    let answer = call.send(fleet.caller_address(0)).await.expect("an answer");
    let is_event = |line: &str| line.is_empty() || line.starts_with("data: ");
    assert!(answer.body.lines().all(is_event), "{}", answer.body);
    // Each attempt adds five tokens, so that the fourth one ends the stream.
    let expected = expected_text(MODEL, "ice", TOKENS);
    assert_eq!(answer.streamed_text(), Some(expected), "{}", answer.body);
}

/// Regression test: a request that failed at the only replica was sent to it again and again, and
/// its wait for another replica began anew each time, so that one was loaded only by chance.
#[async_std::test]
async fn another_replica_is_loaded_for_requests_that_fail_at_the_only_one() {
    let fleet = Fleet::start("failing-replica").await;
    for model in ["model-001", "model-003", "model-005", "model-007"] {
        let callers = Callers { model, ..Callers::new(&fleet) };
        callers.await_warm().await;
        callers.fill_retry_budgets().await;
        let holder = &fleet.deployment.engines[holder(&fleet, model).await];
        let faults = EngineFaults { truncate_after_tokens: Some(0), ..EngineFaults::default() };
        fleet.set_faults(holder.address, &faults).await;
        let start = Instant::now();
        let outcomes = callers.call_all(model, 20).await;
        println!("{model}: {outcomes:?} after {} ms", start.elapsed().as_millis());
        assert_eq!(outcomes.get("whole"), Some(&CALLERS), "{model}: {outcomes:?}");
        fleet.set_faults(holder.address, &EngineFaults::default()).await;
    }
}

#[async_std::test]
async fn answers_of_killed_engines_end_whole_or_with_a_clear_error() {
    let mut fleet = Fleet::start("killed-engines").await;
    let callers = Callers::new(&fleet);
    for name in ["one killed", "all killed"] {
        callers.await_warm().await;
        callers.fill_retry_budgets().await;
        let holder = holder(&fleet, MODEL).await;
        let killed: Vec<usize> = (0..fleet.engines.len())
            .filter(|index| name == "all killed" || *index == holder)
            .collect();
        let kill = async {
            task::sleep(KILL_AFTER).await;
            for index in &killed {
                fleet.engines[*index].kill();
            }
        };
        let (outcomes, ()) = join(callers.call_all(name, LONG_TOKENS), kill).await;
        println!("{name}: {outcomes:?}");
        if name == "one killed" {
            assert_streams_resumed(&outcomes, name);
        }
        for index in killed {
            fleet.engines[index].start_stand_in();
        }
    }
}

#[async_std::test]
async fn a_short_service_answer_is_never_passed_on() {
    let fleet = Fleet::start("short-answers").await;
    let key = &fleet.keys[0];
    for truncate_answers in [1, 100] {
        let faults = ServiceFaults { truncate_answers, ..ServiceFaults::default() };
        for (daemon, path) in [(0, "/notes"), (1, "/charges"), (2, "/public/notes")] {
            for worker in &fleet.deployment.services {
                fleet.set_faults(worker.address, &faults).await;
            }
            let id = format!("{path}-{truncate_answers}");
            let call = Call::post(path, key, &json!({ "id": id })).header("idempotency-key", &id);
            let answer = call.send(fleet.caller_address(daemon)).await.expect("a whole answer");
            println!("{path}, {truncate_answers} truncated: {} {}", answer.status, answer.body);
            if answer.status == 200 {
                assert_eq!(answer.json()["id"], id, "{}", answer.body);
            } else {
                assert_eq!(answer.json()["error"]["ran"], "unknown", "{}", answer.body);
            }
        }
    }
}

#[async_std::test]
async fn refusals_say_when_to_retry() {
    struct Case {
        name: &'static str,
        call: Call,
        code: &'static str,
    }
    let mut fleet = Fleet::start("refusals").await;
    let callers = Callers::new(&fleet);
    callers.await_warm().await;
    for engine in &mut fleet.engines {
        engine.kill();
    }
    let cold = |deadline_ms: &str| {
        Call::completion(&callers.key, "model-003", "p", 1).header("x-deadline-ms", deadline_ms)
    };
    let cases = [
        Case {
            name: "a deadline before a load can end",
            call: cold("5"),
            code: "deadline_unreachable",
        },
        Case {
            name: "more than is left of the burst",
            call: Call::completion(&fleet.keys[4], MODEL, "p", 9_990),
            code: "over_rate",
        },
    ];
    for case in cases {
        for daemon in 0..fleet.daemons.len() {
            let answer = case.call.send(fleet.caller_address(daemon)).await.expect("an answer");
            println!("{}: {} after {} ms", case.name, answer.body, answer.total_ms);
            let error = &answer.json()["error"];
            assert_eq!(error["code"], case.code, "{}: {}", case.name, answer.body);
            assert_eq!(error["ran"], "not_run", "{}: {}", case.name, answer.body);
            assert!(error["retry_after_ms"].as_u64() > Some(0), "{}: {}", case.name, answer.body);
        }
    }
}

impl Callers {
    fn new(fleet: &Fleet) -> Callers {
        let daemons = (0..fleet.daemons.len()).map(|daemon| fleet.caller_address(daemon)).collect();
        Callers { daemons, key: fleet.keys[0].clone(), model: MODEL }
    }

    async fn await_warm(&self) {
        let call = Call::completion(&self.key, self.model, "warm", 1);
        until("the model is warm for every daemon", async || {
            for daemon in &self.daemons {
                if !call.send(*daemon).await.is_ok_and(|answer| answer.status == 200) {
                    return false;
                }
            }
            true
        })
        .await;
    }

    /// Fills the retry budget of every daemon, which is a fraction of its requests.
    async fn fill_retry_budgets(&self) {
        for daemon in &self.daemons {
            let call = Call::completion(&self.key, self.model, "earn", 1);
            for answer in join_all((0..BUDGET_CALLS).map(|_| call.send(*daemon))).await {
                assert_eq!(answer.expect("an answer").status, 200);
            }
        }
    }

    /// Sends calls of both forms concurrently and counts the outcomes.
    async fn call_all(&self, what: &str, tokens: u64) -> BTreeMap<String, usize> {
        let calls = (0..CALLERS).map(|caller| {
            let form = if caller % 3 == 0 { Form::Whole } else { Form::Streamed };
            let daemon = self.daemons[caller % self.daemons.len()];
            self.outcome(daemon, format!("{what} {caller}"), tokens, form)
        });
        let mut counts = BTreeMap::new();
        for outcome in join_all(calls).await {
            *counts.entry(outcome).or_default() += 1;
        }
        counts
    }

    /// Returns `whole`, or the code of the error that the caller received.
    async fn outcome(&self, daemon: SocketAddr, prompt: String, tokens: u64, form: Form) -> String {
        let body = json!({
            "model": self.model,
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": form == Form::Streamed,
        });
        let mut call = Call::post("/v1/completions", &self.key, &body)
            .header("x-deadline-ms", &DEADLINE_MS.to_string());
        call.timeout = Duration::from_millis(DEADLINE_MS) + SLACK;
        let mut code_received = None;
        let answer = call
            .stream_lines(daemon, |line| code_received = code_received.take().or(error_code(line)))
            .await;
        if let Some(code) = code_received {
            return code;
        }
        let expected = expected_text(self.model, &prompt, tokens);
        match answer {
            Ok(answer) if answer.status == 200 => {
                let text = match form {
                    Form::Streamed => answer.streamed_text(),
                    Form::Whole => answer.json()["choices"][0]["text"].as_str().map(str::to_owned),
                };
                assert_eq!(text, Some(expected), "{prompt}: {}", answer.body);
                "whole".to_owned()
            }
            Ok(answer) => panic!("{prompt}: {} without an error: {}", answer.status, answer.body),
            Err(error @ (CallError::Connect { .. } | CallError::Cut { .. })) => {
                panic!("{prompt}: cut without an error: {error}")
            }
            Err(error @ CallError::Timeout { .. }) => {
                panic!("{prompt}: no answer by the deadline: {error}")
            }
        }
    }
}

fn assert_streams_resumed(outcomes: &BTreeMap<String, usize>, what: &str) {
    let whole = outcomes.get("whole").copied().unwrap_or(0);
    assert!(whole > WHOLE_FORM_CALLERS, "{what}: no stream was resumed: {outcomes:?}");
}

/// Returns the index of the engine that has the model ready.
async fn holder(fleet: &Fleet, model: &str) -> usize {
    let targets = fleet.operator(0).targets().await.expect("the targets can be listed");
    let ready = |name: &str| {
        let target = targets.iter().find(|target| target.name.as_str() == name);
        target.is_some_and(|target| target.ready.iter().any(|ready| ready.as_str() == model))
    };
    let engines = &fleet.deployment.engines;
    engines.iter().position(|engine| ready(&engine.name)).expect("an engine has the model")
}

/// Returns the code of an error event or an error answer.
fn error_code(line: &str) -> Option<String> {
    let value: Value = serde_json::from_str(line.strip_prefix("data: ").unwrap_or(line)).ok()?;
    value["error"]["code"].as_str().map(str::to_owned)
}
