use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_h1::client::Encoder;
use async_std::future::timeout;
use async_std::io;
use async_std::net::TcpStream;
use http_types::{Method, Request, StatusCode};
use lycheeford_http::{BodyDecoder, MessageReader, Persistence, ResponseHead};

use crate::PlatformLimits;

/// The largest head of an answer.
const HEAD_BYTES_MAX: usize = 8 * 1024;
/// The most interim answers, such as 100 Continue, before the final one.
const INTERIM_HEADS_MAX: usize = 8;

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
    /// Returns the last value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().rfind(|(header, _)| header == name);
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
        let exchange = exchange(stream.clone(), request, self.limits.answer_bytes_max);
        let (answer, persistence) =
            timeout(limit, exchange).await.map_err(|_| "the answer timed out".to_owned())??;
        if persistence == Persistence::KeepAlive {
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

/// Sends a request, and reads its answer and whether the connection can be reused.
///
/// The decoder of the HTTP library isn't used: it accepts a body that ends early, and takes one in
/// an encoding that it doesn't know for an empty one.
async fn exchange(
    mut stream: TcpStream,
    request: Request,
    bytes_max: u64,
) -> Result<(Answer, Persistence), String> {
    let method = request.method();
    io::copy(&mut Encoder::new(request), &mut stream).await.map_err(|error| error.to_string())?;
    let mut reader = MessageReader::new(stream);
    let head = final_head(&mut reader, method).await?;
    let status = StatusCode::try_from(head.status).map_err(|error| error.to_string())?;
    let mut decoder = BodyDecoder::new(head.framing);
    let mut body = Vec::new();
    while let Some(chunk) =
        reader.body_chunk(&mut decoder).await.map_err(|error| error.to_string())?
    {
        body.extend_from_slice(&chunk);
        if body.len() as u64 > bytes_max {
            return Err(format!("the answer is larger than {bytes_max} bytes"));
        }
    }
    // Bytes after the answer would be taken for the next one.
    let persistence =
        if reader.buffered_bytes() == 0 { head.persistence } else { Persistence::Close };
    Ok((Answer { status, headers: head.headers, body }, persistence))
}

async fn final_head(
    reader: &mut MessageReader<TcpStream>,
    method: Method,
) -> Result<ResponseHead, String> {
    for _ in 0..=INTERIM_HEADS_MAX {
        let bytes = reader.head(HEAD_BYTES_MAX).await.map_err(|error| error.to_string())?;
        let head = ResponseHead::parse(&bytes, method).map_err(|error| error.to_string())?;
        if !head.is_interim() {
            return Ok(head);
        }
    }
    Err("the answer has too many interim heads".to_owned())
}
