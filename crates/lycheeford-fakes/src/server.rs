use std::fmt::{self, Debug, Formatter};
use std::future::Future;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_util::future::{BoxFuture, pending};
use futures_util::{FutureExt, StreamExt};
use http_types::{Request, Response};

/// An HTTP server on one address that can drop its connections.
#[derive(Clone)]
pub(crate) struct Server {
    shared: Arc<Shared>,
}

struct Shared {
    address: SocketAddr,
    accepting: Accepting,
    stopped: AtomicBool,
    next_id: AtomicU64,
    streams: Mutex<Vec<(u64, TcpStream)>>,
}

/// The task that accepts connections; removing its future closes the listener at once.
#[derive(Clone, Default)]
struct Accepting(Arc<Mutex<Option<BoxFuture<'static, ()>>>>);

/// The connection on which a request arrived.
#[derive(Debug, Clone)]
pub(crate) struct Caller(TcpStream);

impl Server {
    /// Listens on `address` and calls `handler` for each request; an error drops the connection.
    pub(crate) async fn start<H, F>(address: SocketAddr, handler: H) -> io::Result<Server>
    where
        H: Fn(Request, Caller) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = http_types::Result<Response>> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let shared = Arc::new(Shared {
            address: listener.local_addr()?,
            accepting: Accepting::default(),
            stopped: AtomicBool::new(false),
            next_id: AtomicU64::new(0),
            streams: Mutex::new(Vec::new()),
        });
        let server = Server { shared };
        let accepting = server.shared.accepting.clone();
        *lock(&accepting.0) = Some(accept(server.clone(), listener, handler).boxed());
        task::spawn(accepting);
        Ok(server)
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Stops listening and drops every connection.
    pub(crate) fn stop(&self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        drop(lock(&self.shared.accepting.0).take());
        self.drop_connections();
    }

    /// Drops every connection that is open now.
    pub(crate) fn drop_connections(&self) {
        for (_, stream) in lock(&self.shared.streams).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn register(&self, stream: &TcpStream) -> u64 {
        let id = self.shared.next_id.fetch_add(1, Ordering::Relaxed);
        lock(&self.shared.streams).push((id, stream.clone()));
        if self.shared.stopped.load(Ordering::SeqCst) {
            self.drop_connections();
        }
        id
    }

    fn unregister(&self, id: u64) {
        let mut streams = lock(&self.shared.streams);
        if let Ok(index) = streams.binary_search_by_key(&id, |(id, _)| *id) {
            streams.remove(index);
        }
    }
}

impl Caller {
    /// Waits until the caller has closed the connection.
    pub(crate) async fn disconnected(&self) {
        let mut byte = [0_u8; 1];
        if let Ok(1) = self.0.peek(&mut byte).await {
            // A pipelined request is already buffered; a disconnect is detected when it is handled.
            pending::<()>().await;
        }
    }
}

impl Future for Accepting {
    type Output = ();

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        match lock(&self.0).as_mut() {
            Some(accepting) => accepting.as_mut().poll(context),
            None => Poll::Ready(()),
        }
    }
}

impl Debug for Server {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Server").field("address", &self.address()).finish_non_exhaustive()
    }
}

async fn accept<H, F>(server: Server, listener: TcpListener, handler: H)
where
    H: Fn(Request, Caller) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = http_types::Result<Response>> + Send + 'static,
{
    let mut incoming = listener.incoming();
    while let Some(accepted) = incoming.next().await {
        let Ok(stream) = accepted else { continue };
        let _ = stream.set_nodelay(true);
        let (server, handler) = (server.clone(), handler.clone());
        task::spawn(async move {
            let id = server.register(&stream);
            let caller = Caller(stream.clone());
            let _ =
                async_h1::accept(stream.clone(), |request| handler(request, caller.clone())).await;
            let _ = stream.shutdown(Shutdown::Both);
            server.unregister(id);
        });
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
