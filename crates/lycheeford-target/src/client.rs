use std::net::SocketAddr;
use std::sync::Arc;

use crate::error::Code;
use crate::{
    Order, OrderOutcome, TargetError, TargetLimits, TargetRequest, TargetResponse, TargetStatus,
};

/// Calls targets over pooled or fresh connections; clones share the pool.
#[derive(Debug, Clone)]
pub struct TargetClient {
    limits: Arc<TargetLimits>,
}

impl TargetClient {
    /// Returns a client with an empty pool.
    pub fn new(limits: TargetLimits) -> TargetClient {
        TargetClient { limits: Arc::new(limits) }
    }

    /// Sends a request and returns the answer as soon as its head is there.
    ///
    /// Nothing is sent twice. The call is cancelled by dropping the future or
    /// the answer, which closes the connection.
    ///
    /// # Errors
    ///
    /// Fails if no whole head of an answer comes within the limits.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: &TargetRequest,
    ) -> Result<TargetResponse, TargetError> {
        let _ = (address, request, &self.limits);
        std::future::ready(Err(Code::Closed.into())).await
    }

    /// Asks an engine for its status, on a fresh connection with short limits.
    ///
    /// # Errors
    ///
    /// Fails if the engine doesn't answer in time or not with a status.
    pub async fn status(&self, address: SocketAddr) -> Result<TargetStatus, TargetError> {
        let _ = address;
        std::future::ready(Err(Code::Closed.into())).await
    }

    /// Sends an order once, on a fresh connection.
    ///
    /// # Errors
    ///
    /// Fails if the engine's answer isn't known; the order may have been taken
    /// unless [`TargetError::may_have_run`] is false.
    pub async fn order(
        &self,
        address: SocketAddr,
        order: &Order,
    ) -> Result<OrderOutcome, TargetError> {
        let _ = (address, order);
        std::future::ready(Err(Code::Closed.into())).await
    }
}
