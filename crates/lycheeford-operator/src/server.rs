use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_h1::server::{Encoder, Server};
use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::prelude::FutureExt;
use async_std::task;
use http_types::{Method, Request};

use crate::bounded::BoundedStream;
use crate::dispatch::{REQUEST_BODY_BYTES_MAX, dispatch, error_response};
use crate::error::{OperatorError, OperatorErrorCode};
use crate::operator::Operator;

/// Connections at once; one more is closed at once.
pub const CONNECTIONS_MAX: usize = 16;
/// The longest head of a request, with the framing of its body.
const HEAD_BYTES_MAX: u64 = 64 * 1024;
/// How long a request may take from its first byte to the answer's last.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a shutdown waits for the requests under way.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the accept loop pauses when the process is out of sockets.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Serves the admin API until `stop` is ready, then finishes what is under way.
///
/// Each connection carries one request. The size of a request, its time and
/// the connections at once are bounded, so that memory stays flat.
/// A failed accept is tried again after a pause.
pub async fn serve(
    listener: TcpListener,
    operator: Arc<dyn Operator>,
    stop: impl Future<Output = ()> + Send,
) {
    let (busy, idle) = bounded::<()>(1);
    let accepting = accept_loop(&listener, &operator, &busy);
    accepting.race(stop).await;
    drop(listener);
    drop(busy);
    wait_until_idle(&idle).await;
}

async fn accept_loop(listener: &TcpListener, operator: &Arc<dyn Operator>, busy: &Sender<()>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            task::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // The loop holds one of the senders itself.
        if busy.sender_count() > CONNECTIONS_MAX {
            continue;
        }
        let (operator, busy) = (Arc::clone(operator), busy.clone());
        task::spawn(async move {
            let _ = timeout(EXCHANGE_TIMEOUT, exchange(stream, operator)).await;
            drop(busy);
        });
    }
}

async fn wait_until_idle(idle: &Receiver<()>) {
    let _ = timeout(SHUTDOWN_TIMEOUT, idle.recv()).await;
}

async fn exchange(stream: TcpStream, operator: Arc<dyn Operator>) {
    let mut stream = BoundedStream::new(stream, HEAD_BYTES_MAX + REQUEST_BODY_BYTES_MAX);
    let answered = AtomicBool::new(false);
    let endpoint = |request: Request| {
        answered.store(true, Ordering::Relaxed);
        let operator = Arc::clone(&operator);
        async move { Ok(dispatch(operator.as_ref(), request).await) }
    };
    let mut server = Server::new(stream.clone(), endpoint);
    let outcome = Box::pin(server.accept_one()).await;
    if outcome.is_err() && !answered.load(Ordering::Relaxed) {
        refuse(&mut stream).await;
    }
}

/// Answers a request that the HTTP library couldn't read.
async fn refuse(stream: &mut BoundedStream) {
    let code = if stream.is_exhausted() {
        OperatorErrorCode::TooLarge
    } else {
        OperatorErrorCode::BadRequest
    };
    let error = OperatorError::new(code, "the request can't be read; send plain HTTP/1.1");
    let mut encoder = Encoder::new(error_response(error), Method::Get);
    let _ = async_std::io::copy(&mut encoder, stream).await;
}
