//! Answers that find no memory: nothing is read meanwhile, and a target that cuts one off for that
//! isn't held to have failed.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use async_std::task;
use lycheeford_target::{
    Category, Connection, MemoryAccount, TargetClient, TargetLimits, Unframed,
};

use crate::common::{get, read_request, target};

const TOTAL_BYTES: usize = 800_000;
const ANSWER_BYTES: usize = 400_000;
const ANSWER_BYTES_MAX: usize = 500_000;
/// Longer than the pause from which a cut is put down to it.
const PAUSE_MS: u64 = 800;
const LIMIT: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Whole,
    /// The target cut the answer off by itself.
    Cut,
    /// There was no memory, or the target cut the answer off meanwhile.
    WantOfMemory,
    TooLarge,
}

struct Case {
    name: &'static str,
    head: &'static str,
    /// What the target sends of the body before it closes the connection.
    sent_bytes: usize,
    /// When there is memory again; `None` if it isn't short.
    short_ms: Option<u64>,
    outcome: Outcome,
}

#[test]
fn a_target_is_not_blamed_for_an_answer_that_finds_no_memory() {
    const LENGTH: &str = "HTTP/1.1 200 OK\r\ncontent-length: 400000\r\n\r\n";
    let cases = [
        Case {
            name: "room at once",
            head: LENGTH,
            sent_bytes: ANSWER_BYTES,
            short_ms: None,
            outcome: Outcome::Whole,
        },
        Case {
            name: "room after a pause",
            head: LENGTH,
            sent_bytes: ANSWER_BYTES,
            short_ms: Some(PAUSE_MS),
            outcome: Outcome::Whole,
        },
        Case {
            name: "no stated end, room after a pause",
            head: "HTTP/1.1 200 OK\r\n\r\n",
            sent_bytes: ANSWER_BYTES,
            short_ms: Some(PAUSE_MS),
            outcome: Outcome::Whole,
        },
        Case {
            name: "cut without a pause",
            head: LENGTH,
            sent_bytes: ANSWER_BYTES - 1,
            short_ms: None,
            outcome: Outcome::Cut,
        },
        Case {
            name: "cut during a pause",
            head: LENGTH,
            sent_bytes: ANSWER_BYTES - 1,
            short_ms: Some(PAUSE_MS),
            outcome: Outcome::WantOfMemory,
        },
        Case {
            name: "no room",
            head: LENGTH,
            sent_bytes: ANSWER_BYTES,
            short_ms: Some(20_000),
            outcome: Outcome::WantOfMemory,
        },
        Case {
            name: "too large by its stated length",
            head: "HTTP/1.1 200 OK\r\ncontent-length: 500001\r\n\r\n",
            sent_bytes: 0,
            short_ms: None,
            outcome: Outcome::TooLarge,
        },
    ];
    let runs = cases.map(|case| (case.name, thread::spawn(move || check(&case))));
    for (name, run) in runs {
        assert!(run.join().is_ok(), "{name}");
    }
}

fn check(case: &Case) {
    let (head, sent_bytes) = (case.head, case.sent_bytes);
    let address = target(move |_, mut stream: TcpStream| {
        read_request(&mut stream);
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.write_all(&vec![b'a'; sent_bytes]);
    });
    let account = MemoryAccount::new(TOTAL_BYTES);
    let limits = TargetLimits { unframed: Unframed::EndWithConnection, ..TargetLimits::default() };
    let client = TargetClient::within(limits, account.clone());
    let collected = task::block_on(async {
        let response = client.call(address, &get("/", Connection::Pooled)).await.unwrap();
        if let Some(short_ms) = case.short_ms {
            let mut others = account.reservation();
            others.grow(700_000).unwrap();
            task::spawn(async move {
                task::sleep(Duration::from_millis(short_ms)).await;
                drop(others);
            });
        }
        response.body.collect_held(ANSWER_BYTES_MAX, LIMIT).await
    });
    let outcome = match &collected {
        Ok(kept) => {
            assert_eq!(kept.pieces().len(), ANSWER_BYTES, "{}", case.name);
            Outcome::Whole
        }
        Err(error) if error.is_for_want_of_memory() => Outcome::WantOfMemory,
        Err(error) if error.category() == Category::Truncated => Outcome::Cut,
        Err(error) => {
            assert_eq!(error.category(), Category::Malformed, "{}: {error}", case.name);
            Outcome::TooLarge
        }
    };
    assert_eq!(outcome, case.outcome, "{}: {collected:?}", case.name);
}
