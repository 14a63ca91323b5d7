use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use http_types::Method;
use lycheeford_http::{
    Framing, MemoryAccount, Persistence, ResponseHead, SharedBody, strip_connection_headers,
};
use lycheeford_policy::OrderOutcome;

use crate::answer_scan::AnswerScan;
use crate::error::Code;
use crate::link::{Link, Received, Reuse};
use crate::pool::Pool;
use crate::response::AfterAnswer;
use crate::wire::WireOrder;
use crate::{
    Connection, Order, TargetBody, TargetError, TargetLimits, TargetRequest, TargetResponse,
    TargetStatus,
};

/// How long a whole status call may take; short, so that failures are detected soon.
const STATUS_MS_MAX: u64 = 2_000;
const STATUS_BYTES_MAX: usize = 4 * 1024 * 1024;
const MS_PER_S: u64 = 1_000;
/// How long before the time-out that the target announces an idle connection is no longer used.
const KEEP_ALIVE_MARGIN_MS: u64 = 500;
/// How long an engine may take to send the first byte of its answer to an order.
const ORDER_MS_MAX: u64 = 5_000;

/// An HTTP client for targets, with a connection pool that its clones share.
#[derive(Debug, Clone)]
pub struct TargetClient {
    limits: Arc<TargetLimits>,
    pool: Pool,
    /// The memory shared by all answers that are collected in memory.
    memory: Arc<MemoryAccount>,
}

impl TargetClient {
    /// Returns a client with an empty connection pool.
    pub fn new(limits: TargetLimits) -> TargetClient {
        let memory = MemoryAccount::new(limits.collected_answers_bytes_max);
        TargetClient::within(limits, memory)
    }

    /// Returns a client with an empty connection pool, whose collected answers are in the account
    /// `memory` rather than in one of their own.
    pub fn within(limits: TargetLimits, memory: Arc<MemoryAccount>) -> TargetClient {
        TargetClient { pool: Pool::new(&limits), limits: Arc::new(limits), memory }
    }

    /// Sends a request and returns the answer as soon as its head is received.
    ///
    /// No request is sent twice. Dropping the future or the answer cancels the
    /// call by closing the connection.
    ///
    /// # Errors
    ///
    /// Fails if no complete head of an answer arrives within the limits. If the
    /// target closes a pooled connection after bytes of the request were sent,
    /// the error states that the call may have run, since the client can't tell
    /// whether the target read them.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: &TargetRequest,
    ) -> Result<TargetResponse, TargetError> {
        let encoded = request.to_http(address)?;
        let mut link = self.link(address, request).await?;
        let first_byte_ms_max = request.first_byte_ms_max.unwrap_or(self.limits.first_byte_ms_max);
        let received = link.exchange(
            encoded,
            request.method,
            request.echo.as_ref(),
            first_byte_ms_max,
            &self.limits,
        );
        let Received { mut head, reuse, skipped_answers } = received.await?;
        let is_pooled = request.may_share_connection() && reuse == Reuse::Allowed;
        let after_answer = match head.persistence {
            Persistence::KeepAlive if is_pooled => AfterAnswer::Pool {
                pool: self.pool.clone(),
                address,
                idle_ms_max: keep_alive_ms(&head).unwrap_or(self.limits.pool_idle_ms_max),
            },
            _ => AfterAnswer::Close,
        };
        let echo = request.echo.as_ref().filter(|_| head.framing == Framing::UntilClose);
        let scan = echo.map(|echo| Box::new(AnswerScan::new(echo.header.clone(), &head.headers)));
        strip_connection_headers(&mut head.headers);
        let body = TargetBody::new(
            link,
            head.framing,
            scan,
            after_answer,
            &self.limits,
            self.memory.reservation(),
        );
        Ok(TargetResponse { status: head.status, headers: head.headers, skipped_answers, body })
    }

    /// Opens and closes a connection, to check whether a process listens at the address.
    ///
    /// # Errors
    ///
    /// Fails if the connection can't be opened within the limits.
    pub async fn check_listening(&self, address: SocketAddr) -> Result<(), TargetError> {
        Link::open(address, &self.limits).await.map(drop)
    }

    /// Returns whether the target has closed idle connections, as the kernel does when its process
    /// ends.
    pub fn has_closed_idle(&self, address: SocketAddr) -> bool {
        self.pool.remove_closed(address)
    }

    /// Requests the status of an engine, on a new connection and with short limits.
    ///
    /// # Errors
    ///
    /// Fails if the engine doesn't answer in time or answers with anything but a status.
    pub async fn status(&self, address: SocketAddr) -> Result<TargetStatus, TargetError> {
        let request = TargetRequest {
            method: Method::Get,
            path_and_query: "/status".to_owned(),
            host: None,
            echo: None,
            headers: Vec::new(),
            body: SharedBody::default(),
            connection: Connection::Fresh,
            first_byte_ms_max: Some(STATUS_MS_MAX),
        };
        let exchange = async {
            let response = self.call(address, &request).await?;
            match response.status {
                200 => response.body.collect(STATUS_BYTES_MAX).await,
                status => Err(Code::Status { status }.into()),
            }
        };
        let body = timeout(Duration::from_millis(STATUS_MS_MAX), exchange)
            .await
            .map_err(|_| Code::FirstByteTimeout { limit_ms: STATUS_MS_MAX })??;
        TargetStatus::from_json(&body)
    }

    /// Sends an order once, on a new connection.
    ///
    /// # Errors
    ///
    /// Fails if no valid answer arrives; the engine may have accepted the order
    /// unless [`TargetError::may_have_run`] returns false.
    pub async fn order(
        &self,
        address: SocketAddr,
        order: &Order,
    ) -> Result<OrderOutcome, TargetError> {
        let body = serde_json::to_vec(&WireOrder::from(order))
            .map_err(|_| Code::Request { what: "the order can't be encoded as JSON" })?;
        let request = TargetRequest {
            method: Method::Post,
            path_and_query: "/orders".to_owned(),
            host: None,
            echo: None,
            headers: vec![("content-type".to_owned(), "application/json".to_owned())],
            body: body.into(),
            connection: Connection::Fresh,
            first_byte_ms_max: Some(ORDER_MS_MAX),
        };
        let response = self.call(address, &request).await?;
        match response.status {
            202 => Ok(OrderOutcome::Accepted),
            409 => Ok(OrderOutcome::RefusedStaleFence),
            507 => Ok(OrderOutcome::RefusedMemory),
            status => Err(Code::Status { status }.into()),
        }
    }

    async fn link(
        &self,
        address: SocketAddr,
        request: &TargetRequest,
    ) -> Result<Link, TargetError> {
        let is_shared = request.may_share_connection();
        let pooled = if is_shared { self.pool.take(address, request.id()) } else { None };
        let mut link = match pooled {
            Some(link) => link,
            None => Link::open(address, &self.limits).await?,
        };
        if request.connection == Connection::Revocable {
            link.reset_when_dropped()?;
        }
        Ok(link)
    }
}

/// Returns how long the target keeps an idle connection open, less a margin for the network delay.
fn keep_alive_ms(head: &ResponseHead) -> Option<u64> {
    let value = head.headers.iter().find(|(name, _)| name == "keep-alive")?.1.as_str();
    let parameter = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    let timeout_s: u64 = parameter.trim().parse().ok()?;
    Some(timeout_s.saturating_mul(MS_PER_S).saturating_sub(KEEP_ALIVE_MARGIN_MS))
}
