use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::channel::{self, Sender};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use lycheeford_http::{MemoryAccount, ReaderState, RequestHead, SharedBody};
use lycheeford_policy::{Name, Refusal};

use crate::bounds::BODIES_BYTES_MAX;
use crate::connection::{self, Server};
use crate::race::{unless_interrupted, with_timeout};
use crate::refusal::refusal_response;
use crate::{Bounds, CallerRequest, CallerResponse, Stop};

/// Connections over the limit that are sent a refusal at the same time; further ones are only
/// closed.
const CONCURRENT_REFUSALS_MAX: usize = 64;
/// The pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE_MS: u64 = 50;

/// How long no connection must have come before a stopping server closes its listener; longer than
/// a handshake takes.
const ACCEPT_QUIET_MS: u64 = 300;

/// Handles validated requests in the format of docs/CALLERS.md.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Returns the response to one request.
    ///
    /// The future is dropped if the caller disconnects before it completes.
    fn handle(&self, request: CallerRequest) -> impl Future<Output = CallerResponse> + Send;

    /// Handles a failure to accept a connection, for example for lack of file descriptors.
    fn accept_failed(&self, error: &io::Error);
}

/// Reads requests in a format of its own and handles them.
///
/// [`Handler`] is for the request format that docs/CALLERS.md describes;
/// `Service` is for callers that use another format on the same kind of
/// connection.
pub trait Service: Clone + Send + Sync + 'static {
    /// A validated request in the format of this service.
    type Request: Send;

    /// Returns the current limits, which may change while callers are connected.
    fn bounds(&self) -> Bounds;

    /// Validates a request that was read completely.
    ///
    /// # Errors
    ///
    /// Returns a refusal for an invalid request. Its connection stays usable,
    /// since the end of the request is known.
    fn read(
        &self,
        id: Name,
        head: RequestHead,
        body: SharedBody,
    ) -> impl Future<Output = Result<Self::Request, Refusal>> + Send;

    /// Returns the response to a request.
    ///
    /// The future is dropped if the caller disconnects before it completes.
    fn answer(&self, request: Self::Request) -> impl Future<Output = CallerResponse> + Send;

    /// Returns the HTTP response for a refused request.
    fn refuse(&self, id: &Name, refusal: &Refusal) -> CallerResponse;

    /// Records that the server refuses a request, before it calls [`Service::refuse`].
    ///
    /// Not called for a caller that closed its side, since it isn't known whether anybody reads the
    /// response.
    fn refused(&self, _id: &Name, _refusal: &Refusal) {}

    /// Records that the connection of a caller that reads slowly is closed, since the memory is
    /// needed for others.
    fn slow_caller_closed(&self, _id: &Name, _state: &ReaderState) {}

    /// Handles a failure to accept a connection, for example for lack of file descriptors.
    fn accept_failed(&self, error: &io::Error);
}

/// Serves the request format of docs/CALLERS.md within fixed limits.
#[derive(Clone)]
struct HandlerService<H> {
    bounds: Bounds,
    handler: H,
}

impl<H: Handler> Service for HandlerService<H> {
    type Request = CallerRequest;

    fn bounds(&self) -> Bounds {
        self.bounds
    }

    async fn read(
        &self,
        id: Name,
        head: RequestHead,
        body: SharedBody,
    ) -> Result<CallerRequest, Refusal> {
        CallerRequest::new(id, head, body.into_vec()).await
    }

    async fn answer(&self, request: CallerRequest) -> CallerResponse {
        self.handler.handle(request).await
    }

    fn refuse(&self, id: &Name, refusal: &Refusal) -> CallerResponse {
        refusal_response(id, refusal)
    }

    fn accept_failed(&self, error: &io::Error) {
        self.handler.accept_failed(error);
    }
}

/// Serves requests in the format of docs/CALLERS.md on `listener` until `stop` is triggered.
///
/// See [`serve_service`] for how it stops.
pub async fn serve<H: Handler>(listener: TcpListener, bounds: Bounds, handler: H, stop: Stop) {
    let memory = MemoryAccount::new(BODIES_BYTES_MAX);
    serve_service(listener, HandlerService { bounds, handler }, memory, stop).await;
}

/// Serves callers on `listener` until `stop` is triggered, with bodies in the account `memory`.
///
/// The server then accepts no further connections once none has come for a
/// short while, closes each one after its outstanding responses, and returns
/// when all are closed. An idle connection is kept open for a short while,
/// since a request may already be in flight.
/// After [`Stop::refuse_incomplete`], requests that haven't arrived completely are refused.
pub async fn serve_service<S: Service>(
    listener: TcpListener,
    service: S,
    memory: Arc<MemoryAccount>,
    stop: Stop,
) {
    let server = Arc::new(Server { memory, service, stop });
    // Each connection holds a clone of the sender: their number is the number of open
    // connections, and the channel closes when the last one is dropped.
    let (connections, all_closed) = channel::bounded::<()>(1);
    let active_refusals = Arc::new(());
    loop {
        let Some(accepted) = unless_interrupted(server.stop.triggered(), listener.accept()).await
        else {
            break;
        };
        match accepted {
            Ok((stream, _)) => start(stream, &server, &connections, &active_refusals),
            Err(error) => {
                server.service.accept_failed(&error);
                task::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
    accept_until_quiet(&listener, &server, &connections, &active_refusals).await;
    drop(listener);
    drop(connections);
    let _ = all_closed.recv().await;
}

/// Accepts connections until none has come for a while, or until incomplete requests must be
/// refused.
///
/// A closed listener resets the connections that wait to be accepted and those whose handshake is
/// on its way, although their callers may see them as open and have sent a request.
async fn accept_until_quiet<S: Service>(
    listener: &TcpListener,
    server: &Arc<Server<S>>,
    connections: &Sender<()>,
    active_refusals: &Arc<()>,
) {
    let mut accepted_at = Instant::now();
    loop {
        let quiet_ms = u64::try_from(accepted_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        let accepting = with_timeout(ACCEPT_QUIET_MS.saturating_sub(quiet_ms), listener.accept());
        let refusal_due = server.stop.incomplete_refusal_triggered();
        let Some(Some(accepted)) = unless_interrupted(refusal_due, accepting).await else {
            return;
        };
        match accepted {
            Ok((stream, _)) => {
                accepted_at = Instant::now();
                start(stream, server, connections, active_refusals);
            }
            Err(error) => {
                server.service.accept_failed(&error);
                task::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
}

fn start<S: Service>(
    stream: TcpStream,
    server: &Arc<Server<S>>,
    connections: &Sender<()>,
    active_refusals: &Arc<()>,
) {
    let permit = connections.clone();
    let server = Arc::clone(server);
    if permit.sender_count() - 1 <= server.service.bounds().connections_max {
        task::spawn(async move {
            connection::run(stream, server).await;
            drop(permit);
        });
        return;
    }
    drop(permit);
    if Arc::strong_count(active_refusals) <= CONCURRENT_REFUSALS_MAX {
        let refusal_permit = Arc::clone(active_refusals);
        task::spawn(async move {
            connection::refuse_connection(stream, server).await;
            drop(refusal_permit);
        });
    }
}
