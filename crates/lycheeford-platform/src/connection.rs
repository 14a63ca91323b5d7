use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::io::ReadExt;
use async_std::net::TcpStream;
use http_types::{Request, Response, StatusCode};

use crate::PlatformLimits;

/// An answer whose body was received completely.
#[derive(Debug)]
pub struct Answer {
    /// The HTTP status code.
    pub status: StatusCode,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body, at most [`PlatformLimits::answer_bytes_max`] long.
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns the value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(header, _)| header == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// The failure of an exchange, which tells whether the platform can have received the request.
#[derive(Debug)]
pub enum ExchangeError {
    /// No connection could be opened, so no byte of the request was sent.
    NotSent(String),
    /// The platform may have received the request.
    MaybeSent(String),
}

/// HTTP connections to the platform, kept for reuse for a short time.
///
/// Public for clients of object APIs that encode the same operations in another way.
#[derive(Debug)]
pub struct Connections {
    address: SocketAddr,
    limits: PlatformLimits,
    idle: Mutex<Vec<IdleConnection>>,
}

#[derive(Debug)]
struct IdleConnection {
    stream: TcpStream,
    since: Instant,
}

impl Connections {
    /// Returns an empty set of connections to `address`; the first call opens a connection.
    pub fn new(address: SocketAddr, limits: PlatformLimits) -> Connections {
        Connections { address, limits, idle: Mutex::new(Vec::new()) }
    }

    /// Sends a request on an idle connection.
    ///
    /// Returns `None` if there is no idle connection or the exchange fails.
    pub async fn exchange_reused(&self, request: Request, wait_ms: u64) -> Option<Answer> {
        let stream = self.take_idle()?;
        self.exchange_on(stream, request, wait_ms).await.ok()
    }

    /// Sends a request on a new connection.
    ///
    /// The answer may take `wait_ms` longer than [`PlatformLimits::answer_ms_max`].
    ///
    /// # Errors
    ///
    /// Fails if no complete answer of at most [`PlatformLimits::answer_bytes_max`] arrives in
    /// time; the error tells whether the platform may have received the request.
    pub async fn exchange_fresh(
        &self,
        request: Request,
        wait_ms: u64,
    ) -> Result<Answer, ExchangeError> {
        let limit = Duration::from_millis(self.limits.connect_ms_max);
        let stream = match timeout(limit, TcpStream::connect(self.address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(ExchangeError::NotSent(error.to_string())),
            Err(_) => return Err(ExchangeError::NotSent("connecting timed out".to_owned())),
        };
        self.exchange_on(stream, request, wait_ms).await.map_err(ExchangeError::MaybeSent)
    }

    /// Makes a read-only call on an idle connection, or on a new one if there is none or it fails.
    ///
    /// # Errors
    ///
    /// Fails if no complete answer arrives on the new connection.
    pub async fn read(&self, request: Request, wait_ms: u64) -> Result<Answer, ExchangeError> {
        match self.exchange_reused(request.clone(), wait_ms).await {
            Some(answer) => Ok(answer),
            None => self.exchange_fresh(request, wait_ms).await,
        }
    }

    async fn exchange_on(
        &self,
        stream: TcpStream,
        request: Request,
        wait_ms: u64,
    ) -> Result<Answer, String> {
        stream.set_nodelay(true).map_err(|error| error.to_string())?;
        let limit = Duration::from_millis(self.limits.answer_ms_max.saturating_add(wait_ms));
        let exchange = async {
            let response = async_h1::connect(stream.clone(), request)
                .await
                .map_err(|error| error.to_string())?;
            read_complete(response, self.limits.answer_bytes_max).await
        };
        let (answer, keep_alive) =
            timeout(limit, exchange).await.map_err(|_| "the answer timed out".to_owned())??;
        if keep_alive {
            self.put_idle(stream);
        }
        Ok(answer)
    }

    fn take_idle(&self) -> Option<TcpStream> {
        let idle_max = Duration::from_millis(self.limits.idle_ms_max);
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|connection| connection.since.elapsed() < idle_max);
        idle.pop().map(|connection| connection.stream)
    }

    fn put_idle(&self, stream: TcpStream) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < self.limits.idle_connections_max {
            idle.push(IdleConnection { stream, since: Instant::now() });
        }
    }
}

/// Reads the body and checks that it is complete.
///
/// Returns the answer and whether the connection can be reused. The check is needed because the
/// HTTP library accepts a body that ends early or has no length.
async fn read_complete(response: Response, bytes_max: u64) -> Result<(Answer, bool), String> {
    let status = response.status();
    let keep_alive = response.header("connection").is_none_or(|value| value.as_str() != "close");
    let length = announced_length(&response)?;
    let headers = response.iter().map(|(name, values)| {
        (name.as_str().to_ascii_lowercase(), values.last().as_str().to_owned())
    });
    let headers = headers.collect();
    let mut body = Vec::new();
    let mut reader = response.take(bytes_max.saturating_add(1));
    reader.read_to_end(&mut body).await.map_err(|error: io::Error| error.to_string())?;
    if body.len() as u64 > bytes_max {
        return Err(format!("the answer is larger than {bytes_max} bytes"));
    }
    match length {
        Length::Known(length) if length != body.len() as u64 => {
            Err(format!("the answer ended after {} of {length} bytes", body.len()))
        }
        Length::Known(_) | Length::Chunked => Ok((Answer { status, headers, body }, keep_alive)),
    }
}

enum Length {
    Known(u64),
    Chunked,
}

fn announced_length(response: &Response) -> Result<Length, String> {
    if response.status() == StatusCode::NoContent {
        return Ok(Length::Known(0));
    }
    if let Some(value) = response.header("content-length") {
        return match value.as_str().parse() {
            Ok(length) => Ok(Length::Known(length)),
            Err(_) => Err("the answer has an invalid content-length".to_owned()),
        };
    }
    if response.header("transfer-encoding").is_some() {
        return Ok(Length::Chunked);
    }
    Err("the answer has neither a length nor chunked encoding".to_owned())
}
