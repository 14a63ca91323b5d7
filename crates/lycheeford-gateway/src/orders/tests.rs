//! Checks that an order whose sender was suspended while connecting does not reach the engine late,
//! and that leases which earlier builds wrote are read.

use std::future::{Future, poll_fn};
use std::io::Read;
use std::mem;
use std::net::TcpListener;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use async_std::task;
use lycheeford_policy::TimeMs;
use lycheeford_target::{Connection, Method, TargetClient, TargetLimits, TargetRequest};

use super::lease_task::StoredLease;
use super::withdraw::run_until;

const LEASES: [&str; 2] = [
    include_str!("../../tests/data/c33a574/lease.json"),
    include_str!("../../tests/data/7f8999b/lease.json"),
];

const TIMEOUT_MS: u64 = 750;
const BODY: &str = "an order";

fn order() -> TargetRequest {
    TargetRequest {
        method: Method::Post,
        path_and_query: "/orders".to_owned(),
        host: None,
        headers: Vec::new(),
        echo: None,
        body: BODY.as_bytes().to_vec().into(),
        connection: Connection::Revocable,
        first_byte_ms_max: None,
    }
}

/// Returns what an engine that never responds reads; sets the clock to the deadline once it has
/// read the whole order.
fn read_order(listener: &TcpListener, now_ms: &AtomicU64) -> String {
    let (mut stream, _) = listener.accept().unwrap();
    let mut read = Vec::new();
    let mut byte = [0];
    while let Ok(1) = stream.read(&mut byte) {
        read.extend(byte);
        if read.ends_with(BODY.as_bytes()) {
            now_ms.store(TIMEOUT_MS, Ordering::SeqCst);
        }
    }
    String::from_utf8(read).unwrap()
}

#[test]
fn an_order_whose_sender_was_suspended_while_it_connected_is_never_sent() {
    struct Case {
        what: &'static str,
        /// The clock's advance between the first poll, which starts to connect, and the second.
        suspended_ms: u64,
        is_sent: bool,
    }
    let cases = [
        Case { what: "not suspended", suspended_ms: 0, is_sent: true },
        Case { what: "suspended for a moment", suspended_ms: TIMEOUT_MS - 1, is_sent: true },
        Case { what: "suspended until its time was up", suspended_ms: TIMEOUT_MS, is_sent: false },
        Case { what: "suspended for seconds", suspended_ms: 7_500, is_sent: false },
    ];
    for Case { what, suspended_ms, is_sent } in cases {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let now_ms = Arc::new(AtomicU64::new(0));
        let engine = {
            let now_ms = Arc::clone(&now_ms);
            thread::spawn(move || read_order(&listener, &now_ms))
        };
        let client = TargetClient::new(TargetLimits::default());
        let request = order();
        let exchange = async {
            let mut call = pin!(client.call(address, &request));
            let mut is_first = true;
            poll_fn(|context| {
                let result = call.as_mut().poll(context);
                if mem::take(&mut is_first) {
                    now_ms.store(suspended_ms, Ordering::SeqCst);
                }
                result
            })
            .await
        };
        let clock = || TimeMs::from_ms(now_ms.load(Ordering::SeqCst));
        let answer = task::block_on(run_until(clock, TimeMs::from_ms(TIMEOUT_MS), exchange));
        assert!(answer.is_none(), "{what}");
        let read = engine.join().unwrap();
        assert_eq!(read.ends_with(BODY), is_sent, "{what}: {read:?}");
        assert_eq!(read.is_empty(), !is_sent, "{what}: {read:?}");
    }
}

#[test]
fn a_lease_of_an_earlier_build_is_read_whole() {
    for text in LEASES {
        let object: serde_json::Value = serde_json::from_str(text).unwrap();
        let read: StoredLease = serde_json::from_value(object.clone()).unwrap();
        assert_eq!(serde_json::to_value(read).unwrap(), object);
    }
}

#[test]
fn the_machine_in_a_lease_is_read_as_it_was_written() {
    let mut object: serde_json::Value = serde_json::from_str(LEASES[0]).unwrap();
    object["machine"] = "10.1.0.25".into();
    object["era"] = 1.into();
    let read: StoredLease = serde_json::from_value(object.clone()).unwrap();
    assert_eq!(serde_json::to_value(read).unwrap(), object);
}
