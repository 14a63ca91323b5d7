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
use crate::operator::AdminApi;

/// The maximum number of concurrent connections; further ones are closed immediately.
pub const CONNECTIONS_MAX: usize = 16;
/// The maximum size of a request head plus the transfer encoding of its body.
const HEAD_BYTES_MAX: u64 = 64 * 1024;
/// The time limit of a connection, from accept to the last byte of the response.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a shutdown waits for requests in progress.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the accept loop pauses after a failed accept, for example when the process is out
/// of sockets.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Serves the admin API until `stop` completes, then waits for requests in progress.
///
/// Each connection carries one request. Request size, request time and the
/// number of concurrent connections are limited, so that memory use is bounded.
/// A failed accept is retried after a pause.
pub async fn serve(
    listener: TcpListener,
    operator: Arc<dyn AdminApi>,
    stop: impl Future<Output = ()> + Send,
) {
    let (connection_guard, all_closed) = bounded::<()>(1);
    let accepting = accept_loop(&listener, &operator, &connection_guard);
    accepting.race(stop).await;
    drop(listener);
    drop(connection_guard);
    wait_until_idle(&all_closed).await;
}

async fn accept_loop(
    listener: &TcpListener,
    operator: &Arc<dyn AdminApi>,
    connection_guard: &Sender<()>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            task::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Each connection holds a sender, and the loop itself holds one more.
        if connection_guard.sender_count() > CONNECTIONS_MAX {
            continue;
        }
        let (operator, connection_guard) = (Arc::clone(operator), connection_guard.clone());
        task::spawn(async move {
            let _ = timeout(EXCHANGE_TIMEOUT, serve_connection(stream, operator)).await;
            drop(connection_guard);
        });
    }
}

async fn wait_until_idle(all_closed: &Receiver<()>) {
    let _ = timeout(SHUTDOWN_TIMEOUT, all_closed.recv()).await;
}

async fn serve_connection(stream: TcpStream, operator: Arc<dyn AdminApi>) {
    let mut stream = BoundedStream::new(stream, HEAD_BYTES_MAX + REQUEST_BODY_BYTES_MAX);
    let reached_endpoint = AtomicBool::new(false);
    let endpoint = |request: Request| {
        reached_endpoint.store(true, Ordering::Relaxed);
        let operator = Arc::clone(&operator);
        async move { Ok(dispatch(operator.as_ref(), request).await) }
    };
    let mut server = Server::new(stream.clone(), endpoint);
    let outcome = Box::pin(server.accept_one()).await;
    if outcome.is_err() && !reached_endpoint.load(Ordering::Relaxed) {
        respond_to_unreadable_request(&mut stream).await;
    }
}

/// Responds to a request that the HTTP library couldn't parse.
async fn respond_to_unreadable_request(stream: &mut BoundedStream) {
    let code = if stream.is_exhausted() {
        OperatorErrorCode::TooLarge
    } else {
        OperatorErrorCode::BadRequest
    };
    let error = OperatorError::new(code, "the request can't be parsed; send plain HTTP/1.1");
    let mut encoder = Encoder::new(error_response(error), Method::Get);
    let _ = async_std::io::copy(&mut encoder, stream).await;
}
