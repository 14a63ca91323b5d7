//! Engines that truncate answers, stall, leave or crash.

mod support;

use std::time::{Duration, Instant};

use async_std::task;
use futures_util::future::join_all;
use lycheeford_fakes::{Answer, Call, CallError, EngineFaults, EngineState, expected_text};

use crate::support::{CRASH_MARKER, EngineLinks, Fleet, until};

const MODEL: &str = "model-001";
const TOKENS: u64 = 60;

/// Longer than the deadline that the calls state.
const TIMEOUT: Duration = Duration::from_secs(12);

/// The time after which a leaving target gets no new requests.
const LEAVING_MS_MAX: u64 = 3_000;

/// How many engines of the whole fleet one request may crash.
const CRASHES_MAX: usize = 2;

fn prompt(caller: usize) -> String {
    format!("caller {caller} asks whether the lead is open")
}

async fn complete(fleet: &Fleet, caller: usize) -> Result<Answer, CallError> {
    let call = Call::completion(&fleet.keys[0], MODEL, &prompt(caller), TOKENS);
    let call = Call { timeout: TIMEOUT, ..call.header("x-deadline-ms", "8000") };
    call.send(fleet.caller_address(caller % 6)).await
}

/// Returns whether an answer is complete; panics if it belongs to another caller, or is incomplete
/// and has no error.
fn is_whole(caller: usize, answer: &Result<Answer, CallError>) -> bool {
    let Ok(answer) = answer else {
        assert!(!matches!(answer, Err(CallError::Timeout { .. })), "caller {caller} still waits");
        return false;
    };
    if answer.status != 200 {
        assert!(!answer.refusal_code().is_empty(), "{}", answer.body);
        return false;
    }
    let Some(text) = answer.streamed_text() else {
        assert!(
            answer.body.contains("\"error\""),
            "the stream ended without an error: {}",
            answer.body
        );
        return false;
    };
    assert_eq!(text, expected_text(MODEL, &prompt(caller), TOKENS), "caller {caller}");
    true
}

async fn until_served(fleet: &Fleet) {
    until("the model is served", async || is_whole(0, &complete(fleet, 0).await)).await;
}

/// Returns the index of the engine that holds the model.
async fn holder(fleet: &Fleet) -> usize {
    let audits = fleet.audits().await;
    let holds = |index: &usize| {
        let mut held = audits[*index].held.iter();
        held.any(|held| held.name == MODEL && held.until_us.is_none())
    };
    (0..audits.len()).find(holds).expect("an engine holds the model")
}

#[async_std::test]
async fn every_caller_gets_its_whole_answer_or_a_clear_error() {
    struct Case {
        name: &'static str,
        faults: EngineFaults,
    }
    let cases = [
        Case {
            name: "truncated",
            faults: EngineFaults { truncate_after_tokens: Some(20), ..EngineFaults::default() },
        },
        Case {
            name: "silent",
            faults: EngineFaults { silent_after_tokens: Some(20), ..EngineFaults::default() },
        },
    ];
    let fleet = Fleet::start("whole-answers").await;
    until_served(&fleet).await;
    for case in cases {
        let engine = fleet.deployment.engines[holder(&fleet).await].address;
        fleet.set_faults(engine, &case.faults).await;
        let answers = join_all((0..12).map(|caller| complete(&fleet, caller))).await;
        let whole = answers.iter().enumerate().filter(|(caller, answer)| is_whole(*caller, answer));
        println!("{}: {} of {} whole", case.name, whole.count(), answers.len());
        fleet.set_faults(engine, &EngineFaults::default()).await;
        until_served(&fleet).await;
    }
}

#[async_std::test]
async fn silent_links_leave_no_caller_waiting() {
    let fleet = Fleet::start_with("silent-links", EngineLinks::Relayed, |_| {}).await;
    until_served(&fleet).await;
    let engine = holder(&fleet).await;
    let streams = join_all((0..12).map(|caller| complete(&fleet, caller)));
    let silence = async {
        task::sleep(Duration::from_millis(60)).await;
        fleet.engine_relays[engine].silence_open();
    };
    let (answers, ()) = futures_util::join!(streams, silence);
    let whole = answers.iter().enumerate().filter(|(caller, answer)| is_whole(*caller, answer));
    println!("silent links: {} of {} whole", whole.count(), answers.len());
    until_served(&fleet).await;
}

#[async_std::test]
async fn a_killed_engine_leaves_no_caller_waiting() {
    let mut fleet = Fleet::start("killed-engine").await;
    until_served(&fleet).await;
    let engine = holder(&fleet).await;
    let mut process = fleet.engines.swap_remove(engine);
    let streams = join_all((0..12).map(|caller| complete(&fleet, caller)));
    let kill = async {
        task::sleep(Duration::from_millis(60)).await;
        process.kill();
    };
    let (answers, ()) = futures_util::join!(streams, kill);
    let whole = answers.iter().enumerate().filter(|(caller, answer)| is_whole(*caller, answer));
    println!("killed engine: {} of {} whole", whole.count(), answers.len());
    until_served(&fleet).await;
}

#[async_std::test]
async fn a_leaving_engine_gets_nothing_new() {
    let fleet = Fleet::start("leaving").await;
    until_served(&fleet).await;
    let engine = holder(&fleet).await;
    let address = fleet.deployment.engines[engine].address;
    // The platform's list keeps showing the engine as live.
    let faults = EngineFaults { state: EngineState::Leaving, ..EngineFaults::default() };
    fleet.set_faults(address, &faults).await;
    let start = Instant::now();
    let mut turn = 0;
    let mut whole = 0;
    while start.elapsed() < Duration::from_millis(2 * LEAVING_MS_MAX) {
        whole += usize::from(is_whole(turn, &complete(&fleet, turn).await));
        turn += 1;
    }
    let last_ms = fleet.audits().await[engine].last_arrival_after_leaving_ms;
    println!("{whole} of {turn} whole, the last new request arrived after {last_ms:?} ms");
    assert!(last_ms.is_none_or(|last_ms| last_ms <= LEAVING_MS_MAX), "{last_ms:?}");
    let audits = fleet.audits().await;
    let elsewhere = audits.iter().enumerate().filter(|(index, audit)| {
        *index != engine && audit.held.iter().any(|held| held.name == MODEL)
    });
    assert_eq!(elsewhere.count(), 1, "the model must be loaded at one other engine");
    assert_eq!(whole, turn, "a request wasn't served");
}

#[async_std::test]
async fn a_request_that_crashes_engines_crashes_few() {
    let mut fleet = Fleet::start("crash").await;
    until_served(&fleet).await;
    let call = Call::completion(&fleet.keys[1], MODEL, CRASH_MARKER, TOKENS)
        .header("x-deadline-ms", "3000");
    let mut codes = Vec::new();
    for turn in 0..12 {
        let answer = call.send(fleet.caller_address(turn % 6)).await;
        codes.push(answer.map_or_else(|error| error.to_string(), |answer| answer.refusal_code()));
        task::sleep(Duration::from_millis(300)).await;
    }
    let crashed =
        fleet.engines.iter_mut().filter_map(|engine| (!engine.is_running()).then_some(()));
    let crashed = crashed.count();
    println!("{crashed} engines crashed; the caller saw {codes:?}");
    assert!(crashed <= CRASHES_MAX, "{crashed} engines crashed");
    assert_eq!(codes.last().map(String::as_str), Some("crash_suspect"));
    for engine in &mut fleet.engines {
        if !engine.is_running() {
            engine.start_stand_in();
        }
    }
    until_served(&fleet).await;
}
