//! Tests the client under each fault of the platform.

use std::net::SocketAddr;

use assert_matches::assert_matches;
use async_std::net::TcpListener;
use async_std::task;
use futures_util::{AsyncReadExt, AsyncWriteExt};
use lycheeford_fakes::{CallFault, FakePlatform, LostWrites, PlatformFaults};
use lycheeford_platform::{
    Category, Expect, HttpObjectStore, ObjectStore, PlatformError, PlatformLimits, put_settled,
};
use serde_json::{Value, json};

const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

fn store_at(address: SocketAddr) -> HttpObjectStore {
    let limits = PlatformLimits { answer_ms_max: 300, ..PlatformLimits::default() };
    HttpObjectStore::new(address, limits)
}

fn calls(fault: CallFault) -> PlatformFaults {
    PlatformFaults { calls: fault, ..PlatformFaults::default() }
}

fn category<T: std::fmt::Debug>(result: Result<T, PlatformError>) -> Category {
    result.unwrap_err().category()
}

#[async_std::test]
async fn objects_follow_their_versions() {
    let platform = FakePlatform::start(ANY_PORT).await.unwrap();
    let store = store_at(platform.address());
    let name = "base/adapter 1%";
    assert_eq!(store.get("replica", name).await.unwrap(), None);
    let first = store.put("replica", name, json!(1), Expect::Absent).await.unwrap();
    let again = store.put("replica", name, json!(2), Expect::Absent).await;
    assert_eq!(category(again), Category::Conflict);
    let second = store.put("replica", name, json!(2), Expect::Version(first)).await.unwrap();
    let stale = store.put("replica", name, json!(3), Expect::Version(first)).await;
    assert_eq!(category(stale), Category::Conflict);
    let object = store.get("replica", name).await.unwrap().unwrap();
    assert_eq!((object.version, object.value), (second, Ok(json!(2))));
    let listing = store.list("replica").await.unwrap();
    assert_eq!(listing.objects.len(), 1);
    assert_eq!(category(store.delete("replica", name, first).await), Category::Conflict);
    store.delete("replica", name, second).await.unwrap();
    assert_eq!(category(store.delete("replica", name, second).await), Category::Conflict);
    let made = store.counters().calls();
    assert_eq!((made.gets, made.lists, made.puts, made.deletes, made.failures), (2, 1, 4, 3, 0));
    let received = platform.calls();
    assert_eq!((received.gets, received.lists, received.puts, received.deletes), (2, 1, 4, 3));
}

#[async_std::test]
async fn a_failed_call_says_whether_it_can_have_had_an_effect() {
    struct Case {
        name: &'static str,
        faults: PlatformFaults,
        read: Option<Category>,
        write: Category,
    }
    let cases = [
        Case {
            name: "stall",
            faults: calls(CallFault::Stall),
            read: Some(Category::Unavailable),
            write: Category::OutcomeUnknown,
        },
        Case {
            name: "refuse",
            faults: calls(CallFault::Refuse),
            read: Some(Category::Unavailable),
            write: Category::Unavailable,
        },
        Case {
            name: "reset",
            faults: calls(CallFault::Reset),
            read: Some(Category::Unavailable),
            write: Category::OutcomeUnknown,
        },
        Case {
            name: "lost answer",
            faults: PlatformFaults { lose_answers: LostWrites::All, ..PlatformFaults::default() },
            read: None,
            write: Category::OutcomeUnknown,
        },
        Case {
            name: "lost request",
            faults: PlatformFaults { lose_requests: LostWrites::All, ..PlatformFaults::default() },
            read: None,
            write: Category::OutcomeUnknown,
        },
    ];
    for case in cases {
        let platform = FakePlatform::start(ANY_PORT).await.unwrap();
        let store = store_at(platform.address());
        let version = store.put("share", "a", json!(0), Expect::Absent).await.unwrap();
        platform.set_faults(case.faults).await;
        let read = store.get("share", "a").await;
        assert_eq!(read.err().map(|error| error.category()), case.read, "{}", case.name);
        let list = store.list("share").await;
        assert_eq!(list.err().map(|error| error.category()), case.read, "{}", case.name);
        let put = store.put("share", "a", json!(1), Expect::Version(version)).await;
        assert_eq!(category(put), case.write, "{}", case.name);
        let delete = store.delete("share", "b", version).await;
        let deleted = category(delete);
        assert!(deleted == case.write || deleted == Category::Conflict, "{}", case.name);
    }
}

#[async_std::test]
async fn a_platform_that_is_gone_is_unavailable() {
    let platform = FakePlatform::start(ANY_PORT).await.unwrap();
    let store = store_at(platform.address());
    drop(platform);
    let put = put_settled(&store, "share", "a", json!(1), Expect::Absent, 200).await;
    assert_eq!(category(put), Category::Unavailable);
    assert_eq!(category(store.get("share", "a").await), Category::Unavailable);
}

#[async_std::test]
async fn a_settled_put_has_a_definite_outcome() {
    struct Case {
        name: &'static str,
        faults: PlatformFaults,
        /// A value that another client writes before the put.
        concurrent_value: Option<Value>,
        outcome: Result<(), Category>,
        stored: Value,
    }
    let next = |lose_answers, lose_requests| PlatformFaults {
        lose_answers,
        lose_requests,
        ..PlatformFaults::default()
    };
    let cases = [
        Case {
            name: "no fault",
            faults: PlatformFaults::default(),
            concurrent_value: None,
            outcome: Ok(()),
            stored: json!("ours"),
        },
        Case {
            name: "the lost answer took effect",
            faults: next(LostWrites::Next(1), LostWrites::None),
            concurrent_value: None,
            outcome: Ok(()),
            stored: json!("ours"),
        },
        Case {
            name: "the lost answer took effect, and the next are lost too",
            faults: next(LostWrites::Next(3), LostWrites::None),
            concurrent_value: None,
            outcome: Ok(()),
            stored: json!("ours"),
        },
        Case {
            name: "the lost answer took no effect",
            faults: next(LostWrites::None, LostWrites::Next(1)),
            concurrent_value: None,
            outcome: Ok(()),
            stored: json!("ours"),
        },
        Case {
            name: "lost without effect and then with effect",
            faults: next(LostWrites::Next(1), LostWrites::Next(1)),
            concurrent_value: None,
            outcome: Ok(()),
            stored: json!("ours"),
        },
        Case {
            name: "another client wrote first",
            faults: PlatformFaults::default(),
            concurrent_value: Some(json!("theirs")),
            outcome: Err(Category::Conflict),
            stored: json!("theirs"),
        },
        Case {
            name: "another client wrote first and an answer is lost",
            faults: next(LostWrites::Next(1), LostWrites::None),
            concurrent_value: Some(json!("theirs")),
            outcome: Err(Category::OutcomeUnknown),
            stored: json!("theirs"),
        },
        Case {
            name: "every answer is lost before it takes effect",
            faults: next(LostWrites::None, LostWrites::All),
            concurrent_value: None,
            outcome: Err(Category::OutcomeUnknown),
            stored: json!("before"),
        },
    ];
    for case in cases {
        let platform = FakePlatform::start(ANY_PORT).await.unwrap();
        let store = store_at(platform.address());
        let version = platform.store("target", "t", json!("before")).await;
        if let Some(value) = case.concurrent_value {
            platform.store("target", "t", value).await;
        }
        platform.set_faults(case.faults).await;
        let expect = Expect::Version(version);
        let put = put_settled(&store, "target", "t", json!("ours"), expect, 600).await;
        let (stored_version, stored) = platform.stored("target", "t").await.unwrap();
        assert_eq!(stored, case.stored, "{}", case.name);
        if let Ok(version) = &put {
            assert_eq!(*version, stored_version, "{}", case.name);
        }
        assert_eq!(put.map(drop).map_err(|error| error.category()), case.outcome, "{}", case.name);
    }
}

#[async_std::test]
async fn values_beyond_the_limit_are_refused() {
    let platform = FakePlatform::start(ANY_PORT).await.unwrap();
    let store = store_at(platform.address());
    let value = json!("x".repeat(1 << 20));
    let put = store.put("chunk", "a", value, Expect::Absent).await;
    assert_eq!(category(put), Category::TooLarge);
}

#[async_std::test]
async fn a_broken_reused_connection_is_replaced() {
    let platform = FakePlatform::start(ANY_PORT).await.unwrap();
    let store = store_at(platform.address());
    platform.store("host", "a", json!(1)).await;
    store.list("host").await.unwrap();
    platform.drop_connections();
    assert_eq!(store.list("host").await.unwrap().objects.len(), 1);
    assert_eq!(store.counters().calls().failures, 0);
}

#[async_std::test]
async fn an_answer_that_is_not_whole_is_an_error() {
    struct Case {
        name: &'static str,
        answer: &'static str,
    }
    let cases = [
        Case {
            name: "shorter than its length",
            answer: "HTTP/1.1 200 OK\r\ncontent-length: 31\r\n\r\n{\"revision\":1,\"objects\":[]}",
        },
        Case {
            name: "without a length",
            answer: "HTTP/1.1 200 OK\r\n\r\n{\"revision\":1,\"objects\":[]}",
        },
        Case {
            name: "cut in a chunk",
            answer: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1f\r\n{\"revision\":1",
        },
        Case { name: "no head", answer: "" },
    ];
    for case in cases {
        let store = store_at(serve_raw(case.answer).await);
        let error = store.list("host").await;
        assert_matches!(error, Err(error) if error.category() == Category::Unavailable, "{}", case.name);
    }
}

/// Starts a server that answers each connection with the given bytes and closes it.
async fn serve_raw(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(ANY_PORT).await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0_u8; 1_024];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}
