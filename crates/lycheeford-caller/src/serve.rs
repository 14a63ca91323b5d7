use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use async_std::channel::{self, Sender};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_util::FutureExt;

use crate::bounds::BODIES_BYTES_MAX;
use crate::budget::BodyBudget;
use crate::connection::{self, Server};
use crate::race::unless;
use crate::{Bounds, CallerRequest, CallerResponse, Stop};

/// Connections over the bound that are told so at one time; others are only closed.
const TURNED_AWAY_MAX: usize = 64;
/// The pause after a failed accept, such as one for lack of file descriptors.
const ACCEPT_PAUSE_MS: u64 = 50;

/// Answers checked requests.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Answers one request.
    ///
    /// The future is dropped if the caller hangs up before it is ready.
    fn handle(&self, request: CallerRequest) -> impl Future<Output = CallerResponse> + Send;
}

/// Serves callers on `listener` until `stop` is triggered.
///
/// Then it accepts no further connection, closes each one after the answers
/// that it owes, and returns when all are closed. A connection without a
/// request is kept for a last moment, since one may already be on its way.
pub async fn serve<H: Handler>(listener: TcpListener, bounds: Bounds, handler: H, stop: Stop) {
    let budget = Arc::new(BodyBudget::new(BODIES_BYTES_MAX));
    let server = Arc::new(Server { bounds, budget, handler, stop });
    // Every connection holds a sender, which counts them and tells the last end.
    let (open, all_closed) = channel::bounded::<()>(1);
    let turned_away = Arc::new(());
    loop {
        let Some(accepted) = unless(server.stop.triggered(), listener.accept()).await else {
            break;
        };
        match accepted {
            Ok((stream, _)) => start(stream, &server, &open, &turned_away),
            Err(_) => task::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await,
        }
    }
    // These connections are open in the eyes of their callers already.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        start(stream, &server, &open, &turned_away);
    }
    drop(listener);
    drop(open);
    let _ = all_closed.recv().await;
}

fn start<H: Handler>(
    stream: TcpStream,
    server: &Arc<Server<H>>,
    open: &Sender<()>,
    turned_away: &Arc<()>,
) {
    let permit = open.clone();
    let server = Arc::clone(server);
    if permit.sender_count() - 1 <= server.bounds.connections_max {
        task::spawn(async move {
            connection::run(stream, server).await;
            drop(permit);
        });
        return;
    }
    drop(permit);
    if Arc::strong_count(turned_away) <= TURNED_AWAY_MAX {
        let place = Arc::clone(turned_away);
        task::spawn(async move {
            connection::turn_away(stream, server).await;
            drop(place);
        });
    }
}
