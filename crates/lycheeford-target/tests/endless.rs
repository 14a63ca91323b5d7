//! Tests the client with targets that never end their answer, in each part of an HTTP message.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_std::task;
use lycheeford_target::{
    Category, Connection, Echo, TargetClient, TargetError, TargetLimits, Unframed,
};

use crate::common::{get, read_request, target};

/// The size limit of one answer in these tests.
const ANSWER_BYTES_MAX: usize = 1 << 20;
/// The most bytes in the buffers of a connection whose receiver stopped reading.
const BUFFERED_BYTES_MAX: usize = 16 << 20;

struct EndlessCase {
    name: &'static str,
    /// The start of the answer; `again` is then sent without end.
    first: &'static str,
    again: &'static str,
}

const CASES: [EndlessCase; 12] = [
    EndlessCase { name: "empty lines before a head", first: "", again: "\r\n" },
    EndlessCase { name: "a status line", first: "HTTP/1.1 200 ", again: "OK" },
    EndlessCase { name: "headers", first: "HTTP/1.1 200 OK\r\n", again: "x: ice\r\n" },
    EndlessCase { name: "interim heads", first: "", again: "HTTP/1.1 103 Early Hints\r\n\r\n" },
    EndlessCase {
        name: "a body that ends with its connection",
        first: "HTTP/1.1 200 OK\r\n\r\n",
        again: "ice",
    },
    EndlessCase {
        name: "a body of almost any length",
        first: "HTTP/1.1 200 OK\r\ncontent-length: 18446744073709551615\r\n\r\n",
        again: "ice",
    },
    EndlessCase { name: "chunks", first: CHUNKED, again: "3\r\nice\r\n" },
    EndlessCase {
        name: "one chunk",
        first: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nfffffffffffffff\r\n",
        again: "ice",
    },
    EndlessCase { name: "a chunk's size", first: CHUNKED, again: "0" },
    EndlessCase {
        name: "a chunk's extension",
        first: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3;",
        again: "ice",
    },
    EndlessCase {
        name: "trailers",
        first: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        again: "x: ice\r\n",
    },
    EndlessCase {
        name: "the answer to another request",
        first: "HTTP/1.1 200 OK\r\nattempt-id: other\r\ntransfer-encoding: chunked\r\n\r\n",
        again: "3\r\nice\r\n",
    },
];

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

#[test]
fn endless_answers_fail_before_they_exhaust_the_memory() {
    for EndlessCase { name, first, again } in CASES {
        let (address, sent_bytes) = endless(first, again);
        let mut request = get("/", Connection::Pooled);
        request.echo = Some(Echo { header: "attempt-id".to_owned(), id: Some("mine".to_owned()) });
        let client = TargetClient::new(limits());
        let error = task::block_on(async {
            let response = client.call(address, &request).await?;
            response.body.collect(ANSWER_BYTES_MAX).await
        });
        let error: TargetError = error.expect_err(name);
        assert_eq!(error.category(), Category::Malformed, "{name}: {error}");
        let sent_bytes = sent_bytes.load(Ordering::SeqCst);
        let most = 2 * ANSWER_BYTES_MAX + BUFFERED_BYTES_MAX;
        assert!(sent_bytes <= most, "{name}: {sent_bytes} bytes were read");
    }
}

/// Guards against exhausting the memory of a host: each answer kept within its own limit, but
/// many at once needed more memory than the host has.
#[test]
fn concurrent_large_answers_are_bounded_and_small_ones_still_succeed() {
    const TARGETS: usize = 24;
    /// Each answer needs 236 KB besides its first 64 KB, so the shared 1 MB suffices for four.
    const HELD_BYTES: usize = 300_000;
    const HOLDERS_MAX: usize = 4;
    let large = target(|_, mut stream| {
        read_request(&mut stream);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 900000\r\n\r\n");
        let _ = stream.write_all(&vec![b'x'; HELD_BYTES]);
        // The rest of the body is never sent.
        read_request(&mut stream);
    });
    let small = target(|_, mut stream| {
        read_request(&mut stream);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nice");
    });
    let limits = TargetLimits { collected_answers_bytes_max: 1_000_000, ..limits() };
    let client = TargetClient::new(limits);
    let read_answer = |address: SocketAddr| {
        let client = client.clone();
        async move {
            let response = client.call(address, &get("/", Connection::Pooled)).await?;
            response.body.collect(ANSWER_BYTES_MAX).await
        }
    };
    let (sender, receiver) = async_std::channel::unbounded();
    for _ in 0..TARGETS {
        let (call, sender) = (read_answer(large), sender.clone());
        task::spawn(async move { sender.send(call.await).await });
    }
    task::block_on(async {
        for _ in HOLDERS_MAX..TARGETS {
            let error: TargetError =
                receiver.recv().await.unwrap().expect_err("the answer isn't complete");
            assert_eq!(error.category(), Category::Malformed, "{error}");
        }
        assert_eq!(read_answer(small).await.unwrap(), b"ice");
    });
}

fn limits() -> TargetLimits {
    TargetLimits { unframed: Unframed::EndWithConnection, ..TargetLimits::default() }
}

/// Starts a target that never ends its answers; also returns the count of bytes it has sent.
fn endless(first: &'static str, again: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let sent_bytes = Arc::<AtomicUsize>::default();
    let counted = Arc::clone(&sent_bytes);
    let address = target(move |_, mut stream: TcpStream| {
        read_request(&mut stream);
        let _ = stream.write_all(first.as_bytes());
        let piece = again.repeat(4_096 / again.len());
        while stream.write_all(piece.as_bytes()).is_ok() {
            counted.fetch_add(piece.len(), Ordering::SeqCst);
        }
    });
    (address, sent_bytes)
}
