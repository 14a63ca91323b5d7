use std::future::Future;

use async_std::net::TcpListener;

use crate::{Bounds, CallerRequest, CallerResponse, Stop};

/// Answers checked requests.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Answers one request.
    ///
    /// The future is dropped if the caller hangs up before it is ready.
    fn handle(&self, request: CallerRequest) -> impl Future<Output = CallerResponse> + Send;
}

/// Serves callers on `listener` until `stop` is triggered.
///
/// Returns when every request in flight has been answered; idle connections
/// are closed at once.
pub async fn serve<H: Handler>(listener: TcpListener, bounds: Bounds, handler: H, stop: Stop) {
    let _ = (listener, bounds, handler);
    stop.triggered().await;
}
