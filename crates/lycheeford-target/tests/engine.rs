//! Tests the status reports and event streams of engines, and orders to them.

mod common;

use std::io::Write;
use std::sync::mpsc;

use assert_matches::assert_matches;
use async_std::task;
use lycheeford_policy::{CheckpointPlace, LoadState, Name, OrderAction, OrderOutcome};
use lycheeford_target::{
    Category, CompletionEvent, Event, EventSplitter, Order, TargetClient, TargetLimits,
    TargetStatus, Usage,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::common::{read_request, target};

const STATUS: &str = r#"{"incarnation":7,"state":"leaving","memory_total_bytes":100,"memory_used_bytes":60,"running":1,"queued":2,"highest_fence":3,"loaded":[{"name":"b","memory_bytes":20,"state":"loading","order_id":"o2"},{"name":"a","memory_bytes":40,"state":"ready","order_id":null}],"checkpoints":[{"name":"c","place":"disk"}],"orders":[{"order_id":"o2","outcome":"accepted"}]}"#;

#[test]
fn a_status_is_decoded_completely() {
    let length = STATUS.len();
    let address = target(move |_, mut stream| {
        read_request(&mut stream);
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{STATUS}");
        stream.write_all(answer.as_bytes()).unwrap();
    });
    let client = TargetClient::new(TargetLimits::default());
    let status = task::block_on(client.status(address)).unwrap();
    assert_eq!(status, TargetStatus::from_json(STATUS.as_bytes()).unwrap());
    assert_eq!(status.loaded("a").unwrap().memory_bytes, 40);
    assert_eq!(status.loaded("b").unwrap().state, LoadState::Loading);
    assert_eq!(status.checkpoints[0].place, CheckpointPlace::Disk);
    assert_eq!(status.orders[0].outcome, OrderOutcome::Accepted);
    assert_matches!(status.loaded("c"), None);
}

#[test]
fn an_invalid_status_is_refused() {
    let cases = [
        ("truncated", STATUS[..STATUS.len() - 1].to_owned()),
        ("missing field", STATUS.replace("\"highest_fence\":3,", "")),
        ("negative", STATUS.replace("\"queued\":2", "\"queued\":-2")),
        ("unknown state", STATUS.replace("leaving", "gone")),
        ("loaded twice", STATUS.replace("\"name\":\"b\"", "\"name\":\"a\"")),
        ("field twice", STATUS.replace("\"running\":1", "\"running\":1,\"running\":2")),
    ];
    for (name, json) in cases {
        let error = TargetStatus::from_json(json.as_bytes()).expect_err(name);
        assert_eq!(error.category(), Category::Malformed, "{name}");
    }
}

#[test]
fn an_order_is_sent_once_and_its_answer_returned() {
    let cases = [
        ("202 Accepted", Ok(OrderOutcome::Accepted)),
        ("409 Conflict", Ok(OrderOutcome::RefusedStaleFence)),
        ("507 Insufficient Storage", Ok(OrderOutcome::RefusedMemory)),
        ("500 Internal Server Error", Err(Category::Malformed)),
        ("", Err(Category::Broken)),
    ];
    let order = Order {
        order_id: Name::from("o1"),
        fence: 4,
        action: OrderAction::Load,
        name: Name::from("ice-adapter"),
        base: Some(Name::from("ice")),
        memory_bytes: 10,
    };
    for (status, expected) in cases {
        let (sender, requests) = mpsc::channel();
        let address = target(move |_, mut stream| {
            sender.send(read_request(&mut stream).unwrap()).unwrap();
            if !status.is_empty() {
                let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
                stream.write_all(answer.as_bytes()).unwrap();
            }
        });
        let client = TargetClient::new(TargetLimits::default());
        let outcome = task::block_on(client.order(address, &order));
        assert_eq!(outcome.map_err(|error| error.category()), expected, "{status}");
        let request = requests.recv().unwrap();
        let json = r#"{"order_id":"o1","fence":4,"action":"load","name":"ice-adapter","base":"ice","memory_bytes":10}"#;
        assert!(request.starts_with("POST /orders ") && request.ends_with(json), "{request}");
        assert!(requests.try_recv().is_err(), "{status}: the order was sent twice");
    }
}

#[test]
fn completion_events() {
    let event =
        |text: &str| CompletionEvent { text: text.to_owned(), ..CompletionEvent::default() };
    let usage = Some(Usage { prompt_tokens: 3, completion_tokens: 4 });
    let cases = [
        ("", Some(event(""))),
        ("[DONE]", Some(CompletionEvent { done: true, ..event("") })),
        (r#"{"choices":[{"text":"lead","finish_reason":null}]}"#, Some(event("lead"))),
        (r#"{"choices":[{"delta":{"role":"assistant"}}]}"#, Some(event(""))),
        (r#"{"choices":[{"delta":{"content":"open"}}],"usage":null}"#, Some(event("open"))),
        (r#"{"choices":[{"message":{"content":"all"}}]}"#, Some(event("all"))),
        (
            r#"{"choices":[{"text":"","finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":4}}"#,
            Some(CompletionEvent { finish: Some("stop".to_owned()), usage, ..event("") }),
        ),
        (r#"{"error":{"code":"overloaded"}}"#, None),
        (r#"{"choices":[{"text":5}]}"#, None),
        ("[DONE", None),
    ];
    for (data, expected) in cases {
        assert_eq!(CompletionEvent::parse(data.as_bytes()).ok(), expected, "{data}");
    }
}

#[test]
fn events_are_split_at_empty_lines() {
    let cases: [(&str, &[(&str, &str)]); 6] = [
        ("data: a\n\n", &[("data: a\n\n", "a")]),
        ("data:a\r\ndata: b\r\n\r\ndata\n\n", &[("data:a\ndata: b\n\n", "a\nb"), ("data\n\n", "")]),
        ("\n\n: ping\n\ndata:  x\r\r", &[(": ping\n\n", ""), ("data:  x\n\n", " x")]),
        (
            "event: e\nid: 1\ndatas: no\ndata: yes\n\n",
            &[("event: e\nid: 1\ndatas: no\ndata: yes\n\n", "yes")],
        ),
        ("data: cut\n", &[]),
        ("data: cut", &[]),
    ];
    for (stream, expected) in cases {
        let mut splitter = EventSplitter::new(64);
        let events = splitter.push(stream.as_bytes()).unwrap();
        let expected: Vec<Event> = expected
            .iter()
            .map(|(raw, data)| Event {
                raw: raw.as_bytes().to_vec(),
                data: data.as_bytes().to_vec(),
                is_foreign: false,
            })
            .collect();
        assert_eq!(events, expected, "{stream:?}");
        assert_eq!(splitter.is_between_events(), !stream.contains("cut"), "{stream:?}");
    }
    let mut splitter = EventSplitter::new(64);
    assert!(splitter.push(&[b'a'; 65]).is_err());
}

/// Guards against the text or the head of an error within a stream.
#[test]
fn lines_that_are_no_event_are_foreign() {
    struct Case {
        lines: &'static str,
        is_foreign: bool,
    }
    let cases = [
        Case { lines: ": ping\n\n", is_foreign: false },
        Case { lines: "id: 1\n\n", is_foreign: false },
        Case { lines: "retry: 10\n\n", is_foreign: false },
        Case { lines: "x-tokens: 3\ndata: a\n\n", is_foreign: false },
        Case { lines: "x-tokens: 3\n\n", is_foreign: true },
        Case { lines: "error\n\n", is_foreign: true },
        Case { lines: "out of memory\n\n", is_foreign: true },
        Case { lines: "{\"error\":\"full\"}\n\n", is_foreign: true },
        Case { lines: "<html>\r\n\r\n", is_foreign: true },
        Case { lines: "HTTP/1.1 500 Any\r\ncontent-length: 2\r\n\r\n", is_foreign: true },
        Case { lines: "out of memory\ndata: a\n\n", is_foreign: true },
    ];
    for Case { lines, is_foreign } in cases {
        // Each event is judged by itself.
        for (before, foreign) in [("", vec![is_foreign]), ("oh no\n\n", vec![true, is_foreign])] {
            let stream = [before, lines].concat();
            let events = EventSplitter::new(256).push(stream.as_bytes()).unwrap();
            let judged: Vec<bool> = events.iter().map(|event| event.is_foreign).collect();
            assert_eq!(judged, foreign, "{stream:?}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn events_dont_depend_on_chunk_boundaries(
        pieces in prop::collection::vec(prop::sample::select(PIECES.to_vec()), 0..24),
        chunk_sizes in prop::collection::vec(1_usize..6, 1..8),
    ) {
        let stream = pieces.concat();
        let whole = EventSplitter::new(16).push(&stream);
        let mut splitter = EventSplitter::new(16);
        let mut events = Ok(Vec::new());
        let (mut rest, mut sizes) = (stream.as_slice(), chunk_sizes.iter().cycle());
        while let (false, Ok(seen)) = (rest.is_empty(), &mut events) {
            let (piece, after) = rest.split_at((*sizes.next().unwrap()).min(rest.len()));
            rest = after;
            match splitter.push(piece) {
                Ok(more) => seen.extend(more),
                Err(error) => events = Err(error),
            }
        }
        prop_assert_eq!(events.ok(), whole.ok());
    }

    #[test]
    fn arbitrary_json_never_panics(
        start in 0..STATUS.len(),
        noise in prop::collection::vec(any::<u8>(), 0..8),
    ) {
        let mut json = STATUS.as_bytes().to_vec();
        let end = (start + noise.len()).min(json.len());
        json.splice(start..end, noise.iter().copied());
        let _ = TargetStatus::from_json(&json);
        let _ = TargetStatus::from_json(&noise);
        let _ = CompletionEvent::parse(&json);
        let _ = CompletionEvent::parse(&noise);
    }
}

const PIECES: [&[u8]; 8] = [b"data: a", b"data", b":", b"\n", b"\r", b"\r\n", b"\xff", b"bc"];
