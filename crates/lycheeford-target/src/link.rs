use std::fmt;
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::{Pin, pin};
use std::time::{Duration, Instant};

use async_h1::client::Encoder;
use async_io::Async;
use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use futures_util::FutureExt;
use futures_util::future::{Either, select};
use futures_util::io::AsyncWriteExt;
use http_types::{Method, Request};
use lycheeford_http::{BodyDecoder, Category, Framing, MessageReader, ResponseHead, read_some};
use rustix::io::Errno;
use rustix::net::{self, sockopt};

use crate::attribution::{Attribution, ExpectedAnswer};
use crate::carried::CarriedCalls;
use crate::error::Code;
use crate::limits::{KEEP_ALIVE_INTERVAL_S, user_timeout_ms};
use crate::{Echo, TargetError, TargetLimits};

const HEAD_BYTES_MAX: usize = 16 * 1024;
/// The most interim answers, such as 100 Continue, before the final one.
const INTERIM_HEADS_MAX: usize = 8;
const STATUS_SWITCHING_PROTOCOLS: u16 = 101;
/// Bytes after which no more of a request is collected for one write.
const WRITE_BYTES: usize = 16 * 1024;
/// How long a reset may come after the end of an answer whose target may not have read the request:
/// longer than a round trip.
const RESET_WAIT: Duration = Duration::from_millis(100);
const RESET_CHECK: Duration = Duration::from_millis(5);

/// The most answers to other calls that are skipped before the expected one.
const SKIPPED_ANSWERS_MAX: usize = 2;
/// The largest body of an answer to another call that is skipped.
const SKIPPED_ANSWER_BYTES_MAX: usize = 1 << 20;

/// The final head of an answer.
#[derive(Debug)]
pub(crate) struct Received {
    pub(crate) head: ResponseHead,
    pub(crate) reuse: Reuse,
    /// How many answers to other calls were skipped before it.
    pub(crate) skipped_answers: usize,
}

/// Whether a connection may carry another call after a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reuse {
    Allowed,
    /// The call was sent only in part, or the target writes answers that can't be told apart, or
    /// that belong to other calls.
    Forbidden,
}

/// A connection to a target, which is closed when this is dropped.
#[derive(Debug)]
pub(crate) struct Link {
    reader: MessageReader<TcpStream>,
    writer: TcpStream,
    close_mode: CloseMode,
    exchange: Exchange,
    upload: Upload,
    /// When the end of the connection was read.
    ended_at: Option<Instant>,
    carried: CarriedCalls,
}

/// How far the request was sent that a target has answered.
enum Upload {
    /// It was written at once, before the answer came.
    Sent,
    /// It was written in several parts, of which the last ones may still be on their way.
    OnItsWay,
    /// A part of it wasn't written.
    Unsent(Sending),
    /// It may have been written in part.
    Unknown,
}

/// The rest of a request that is being sent.
type Sending = Pin<Box<dyn Future<Output = Result<Upload, TargetError>> + Send>>;

impl fmt::Debug for Upload {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Upload::Sent => "Sent",
            Upload::OnItsWay => "OnItsWay",
            Upload::Unsent(_) => "Unsent",
            Upload::Unknown => "Unknown",
        })
    }
}

/// Whether a request was written whose complete answer hasn't been received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Exchange {
    Finished,
    Unfinished,
}

/// What happens to undelivered bytes when a connection is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CloseMode {
    /// The connection is closed, and written bytes are still delivered.
    Close,
    /// The connection is reset, and bytes not yet delivered are discarded.
    Reset,
}

impl Link {
    pub(crate) async fn open(
        address: SocketAddr,
        limits: &TargetLimits,
    ) -> Result<Link, TargetError> {
        let limit_ms = limits.connect_ms_max;
        let connecting = connect(address, limits.source);
        let stream = timeout(Duration::from_millis(limit_ms), connecting)
            .await
            .map_err(|_| Code::ConnectTimeout { limit_ms })?
            .map_err(|source| Code::Connect { source })?;
        // With Nagle's algorithm the last part of a request could wait for an acknowledgement.
        let _ = stream.set_nodelay(true);
        if let Some(silent_ms_max) = limits.silent_ms_max {
            set_liveness_timeouts(&stream, silent_ms_max)
                .map_err(|source| Code::Connect { source })?;
        }
        let reader = MessageReader::new(stream.clone());
        Ok(Link {
            reader,
            writer: stream,
            close_mode: CloseMode::Close,
            exchange: Exchange::Finished,
            upload: Upload::Sent,
            ended_at: None,
            carried: CarriedCalls::default(),
        })
    }

    /// Makes the kernel reset the connection and discard undelivered bytes when this is dropped.
    pub(crate) fn reset_when_dropped(&mut self) -> Result<(), TargetError> {
        sockopt::set_socket_linger(&self.writer, Some(Duration::ZERO))
            .map_err(|source| Code::Connect { source: source.into() })?;
        self.close_mode = CloseMode::Reset;
        Ok(())
    }

    /// Records that the complete answer was received, so that no reset is needed any more.
    pub(crate) fn mark_answered(&mut self) {
        self.exchange = Exchange::Finished;
        if self.close_mode == CloseMode::Reset {
            self.close_mode = CloseMode::Close;
            // If this fails, the connection is reset after its complete answer, which is harmless.
            let _ = sockopt::set_socket_linger(&self.writer, None);
        }
    }

    /// Returns whether the connection can carry another request.
    ///
    /// It can if the target neither closed it nor sent anything since the last answer, as far as
    /// is known without waiting.
    pub(crate) fn is_reusable(&mut self) -> bool {
        self.reader.buffered_bytes() == 0 && self.reader.fill().now_or_never().is_none()
    }

    /// Returns whether the connection has carried a request with the id.
    pub(crate) fn has_carried(&self, id: &str) -> bool {
        self.carried.contains(id)
    }

    /// Returns whether the connection has carried as many requests as it may.
    pub(crate) fn is_worn_out(&self) -> bool {
        self.carried.is_full()
    }

    /// Sends a request and receives the final head of its answer.
    ///
    /// A target may answer before it has read the whole request, so the request is sent and the
    /// answer received concurrently. A failure to send is reported only if no answer has arrived.
    pub(crate) async fn exchange(
        &mut self,
        request: Request,
        method: Method,
        echo: Option<&Echo>,
        first_byte_ms_max: u64,
        limits: &TargetLimits,
    ) -> Result<Received, TargetError> {
        self.exchange = Exchange::Unfinished;
        let Link { reader, writer, carried, upload, .. } = self;
        *upload = Upload::Unknown;
        let history = carried.record(echo.and_then(|echo| echo.id.as_deref()));
        let expected = ExpectedAnswer { method, echo, history };
        let mut sending: Sending =
            Box::pin(send(writer.clone(), request, limits.between_bytes_ms_max));
        let receiving = pin!(receive_head(reader, &expected, first_byte_ms_max, limits));
        match select(&mut sending, receiving).await {
            Either::Left((Ok(sent), receiving)) => {
                *upload = sent;
                receiving.await
            }
            Either::Left((Err(error), receiving)) => match receiving.now_or_never() {
                Some(Ok(received)) => after_failed_send(received, error),
                _ => Err(error),
            },
            Either::Right((received, _)) => match (&mut sending).now_or_never() {
                Some(Ok(sent)) => {
                    *upload = sent;
                    received
                }
                Some(Err(error)) => after_failed_send(received?, error),
                None => {
                    let received = received?;
                    if received.head.framing == Framing::UntilClose {
                        *upload = Upload::Unsent(sending);
                    }
                    Ok(Received { reuse: Reuse::Forbidden, ..received })
                }
            },
        }
    }

    /// Receives the next bytes of the body, or `None` after its end.
    ///
    /// The time limit starts at `waiting_since`.
    pub(crate) async fn receive_chunk(
        &mut self,
        decoder: &mut BodyDecoder,
        waiting_since: Instant,
        limit_ms: u64,
    ) -> Result<Option<Vec<u8>>, TargetError> {
        let limit = Duration::from_millis(limit_ms).saturating_sub(waiting_since.elapsed());
        let chunk = timeout(limit, self.reader.body_chunk(decoder))
            .await
            .map_err(|_| Code::BetweenBytesTimeout { limit_ms })?;
        chunk.map_err(|source| {
            let code = match source.category() {
                Category::Closed | Category::Truncated | Category::Io => Code::Truncated,
                Category::TooLarge | Category::Malformed => Code::Body { source },
            };
            code.into()
        })
    }

    /// Checks that the connection wasn't reset behind the regular end of an answer that ended with
    /// it.
    ///
    /// A target that stops before it has read the whole request may close the connection at a moment
    /// at which it has read all that came, and reset it when more arrives. Reading then ends as
    /// after a complete answer.
    ///
    /// If the future is dropped, the next call goes on.
    ///
    /// # Errors
    ///
    /// Fails if the connection was reset.
    pub(crate) async fn check_for_reset(&mut self) -> Result<(), TargetError> {
        let ended_at = *self.ended_at.get_or_insert_with(Instant::now);
        let left = || RESET_WAIT.saturating_sub(ended_at.elapsed());
        match &mut self.upload {
            Upload::Sent => return Ok(()),
            Upload::Unsent(sending) => match timeout(left(), sending).await {
                Ok(Ok(sent)) => self.upload = sent,
                Ok(Err(_)) => return Err(Code::Truncated.into()),
                Err(_) => {}
            },
            Upload::OnItsWay | Upload::Unknown => {}
        }
        loop {
            if !matches!(sockopt::socket_error(&self.writer), Ok(Ok(()))) {
                return Err(Code::Truncated.into());
            }
            if left().is_zero() {
                return Ok(());
            }
            task::sleep(RESET_CHECK).await;
        }
    }
}

impl Drop for Link {
    /// Resets the connection of an unfinished call, so that its target learns at once that nobody
    /// waits for the answer.
    ///
    /// After a close, a target that doesn't read while it works would go on until it writes twice,
    /// and bytes of the request that are still on their way would be delivered.
    fn drop(&mut self) {
        if self.exchange == Exchange::Unfinished {
            // If this fails, the target learns it from the close.
            let _ = sockopt::set_socket_linger(&self.writer, Some(Duration::ZERO));
        }
    }
}

/// Returns an answer that arrived although the request couldn't be sent completely.
///
/// The kernel reports a reset once. If sending failed of it, reading ends as after a regular close,
/// so that an answer whose end is that of the connection may be truncated.
fn after_failed_send(received: Received, error: TargetError) -> Result<Received, TargetError> {
    match received.head.framing {
        Framing::UntilClose => Err(error),
        Framing::Empty | Framing::Length(_) | Framing::Chunked => {
            Ok(Received { reuse: Reuse::Forbidden, ..received })
        }
    }
}

async fn send(
    mut writer: TcpStream,
    request: Request,
    between_bytes_ms_max: u64,
) -> Result<Upload, TargetError> {
    let mut encoder = Encoder::new(request);
    let mut buffer = Vec::new();
    let mut sent_bytes = 0;
    let mut parts = 0;
    loop {
        buffer.clear();
        while buffer.len() < WRITE_BYTES {
            match read_some(&mut encoder, &mut buffer).await {
                Ok(1..) => {}
                Ok(0) if buffer.is_empty() => {
                    return Ok(if parts > 1 { Upload::OnItsWay } else { Upload::Sent });
                }
                Ok(0) => break,
                Err(source) => return Err(write_error(sent_bytes, source)),
            }
        }
        send_all(&mut writer, &buffer, &mut sent_bytes, between_bytes_ms_max).await?;
        parts += 1;
    }
}

async fn send_all(
    writer: &mut TcpStream,
    mut bytes: &[u8],
    sent_bytes: &mut u64,
    limit_ms: u64,
) -> Result<(), TargetError> {
    while !bytes.is_empty() {
        let length_bytes = timeout(Duration::from_millis(limit_ms), writer.write(bytes))
            .await
            .map_err(|_| write_timeout(*sent_bytes, limit_ms))?
            .map_err(|source| write_error(*sent_bytes, source))?;
        *sent_bytes += length_bytes as u64;
        bytes = &bytes[length_bytes..];
    }
    Ok(())
}

/// Receives the head of the expected answer and skips answers to other calls.
///
/// The wait for its first byte is limited as a whole: each skipped answer would prolong it
/// otherwise.
async fn receive_head(
    reader: &mut MessageReader<TcpStream>,
    expected: &ExpectedAnswer<'_>,
    first_byte_ms_max: u64,
    limits: &TargetLimits,
) -> Result<Received, TargetError> {
    let wait = Wait { since: Instant::now(), limit_ms: first_byte_ms_max };
    for skipped_answers in 0..=SKIPPED_ANSWERS_MAX {
        let head = receive_final_head(reader, expected.method, wait, limits).await?;
        let reuse = match expected.attribute(&head) {
            Attribution::Own if skipped_answers == 0 => Reuse::Allowed,
            Attribution::Own | Attribution::OnlyCall => Reuse::Forbidden,
            Attribution::Unclear => return Err(Code::Unattributed.into()),
            Attribution::Other => {
                skip_body(reader, &head, wait, limits).await?;
                continue;
            }
        };
        return Ok(Received { head, reuse, skipped_answers });
    }
    Err(Code::OtherRequests.into())
}

/// The wait for the first byte of an answer.
#[derive(Debug, Clone, Copy)]
struct Wait {
    since: Instant,
    limit_ms: u64,
}

impl Wait {
    fn left(&self) -> Duration {
        Duration::from_millis(self.limit_ms).saturating_sub(self.since.elapsed())
    }
}

/// Reads and discards the body of an answer to another call.
async fn skip_body(
    reader: &mut MessageReader<TcpStream>,
    head: &ResponseHead,
    wait: Wait,
    limits: &TargetLimits,
) -> Result<(), TargetError> {
    let mut decoder = BodyDecoder::new(head.framing);
    let skip = async {
        let mut skipped_bytes = 0;
        while let Some(chunk) =
            reader.body_chunk(&mut decoder).await.map_err(|source| Code::Body { source })?
        {
            skipped_bytes += chunk.len();
            if skipped_bytes > SKIPPED_ANSWER_BYTES_MAX {
                return Err(Code::OtherRequests);
            }
        }
        Ok(())
    };
    let limit = wait.left().min(Duration::from_millis(limits.between_bytes_ms_max));
    Ok(timeout(limit, skip).await.map_err(|_| Code::OtherRequests)??)
}

async fn receive_final_head(
    reader: &mut MessageReader<TcpStream>,
    method: Method,
    wait: Wait,
    limits: &TargetLimits,
) -> Result<ResponseHead, TargetError> {
    for _ in 0..=INTERIM_HEADS_MAX {
        if reader.buffered_bytes() == 0 {
            wait_for_head(reader, wait).await?;
        }
        let head = read_head(reader, method, limits).await?;
        if head.status == STATUS_SWITCHING_PROTOCOLS {
            break;
        }
        if !head.is_interim() {
            return Ok(head);
        }
    }
    Err(Code::Interim.into())
}

async fn wait_for_head(
    reader: &mut MessageReader<TcpStream>,
    wait: Wait,
) -> Result<(), TargetError> {
    let length_bytes = timeout(wait.left(), reader.fill())
        .await
        .map_err(|_| Code::FirstByteTimeout { limit_ms: wait.limit_ms })?
        .map_err(|source| Code::Read { source })?;
    if length_bytes == 0 { Err(Code::Closed.into()) } else { Ok(()) }
}

async fn read_head(
    reader: &mut MessageReader<TcpStream>,
    method: Method,
    limits: &TargetLimits,
) -> Result<ResponseHead, TargetError> {
    let limit_ms = limits.between_bytes_ms_max;
    let bytes = timeout(Duration::from_millis(limit_ms), reader.head(HEAD_BYTES_MAX))
        .await
        .map_err(|_| Code::BetweenBytesTimeout { limit_ms })?
        .map_err(|source| match source.category() {
            Category::Closed | Category::Truncated | Category::Io => Code::Closed,
            Category::TooLarge | Category::Malformed => Code::Head { source },
        })?;
    ResponseHead::parse_with(&bytes, method, limits.unframed)
        .map_err(|source| Code::Head { source }.into())
}

/// Opens a connection that leaves from the address `source`, if there is one.
async fn connect(address: SocketAddr, source: Option<IpAddr>) -> io::Result<TcpStream> {
    let Some(source) = source else { return TcpStream::connect(address).await };
    let family =
        if source.is_ipv4() { net::AddressFamily::INET } else { net::AddressFamily::INET6 };
    let flags = net::SocketFlags::CLOEXEC | net::SocketFlags::NONBLOCK;
    let socket = net::socket_with(family, net::SocketType::STREAM, flags, None)?;
    net::bind(&socket, &SocketAddr::new(source, 0))?;
    match net::connect(&socket, &address) {
        Ok(()) | Err(Errno::INPROGRESS) => {}
        Err(error) => return Err(error.into()),
    }
    let stream = Async::new(std::net::TcpStream::from(socket))?;
    stream.writable().await?;
    if let Some(error) = stream.get_ref().take_error()? {
        return Err(error);
    }
    Ok(TcpStream::from(stream.into_inner()?))
}

/// Makes the kernel fail a connection whose other end stops acknowledging data or probes for longer
/// than `silent_ms_max`.
fn set_liveness_timeouts(stream: &TcpStream, silent_ms_max: u32) -> io::Result<()> {
    sockopt::set_tcp_user_timeout(stream, user_timeout_ms(silent_ms_max))?;
    sockopt::set_socket_keepalive(stream, true)?;
    let interval = Duration::from_secs(KEEP_ALIVE_INTERVAL_S.into());
    sockopt::set_tcp_keepidle(stream, interval)?;
    sockopt::set_tcp_keepintvl(stream, interval)?;
    Ok(())
}

fn write_error(sent_bytes: u64, source: io::Error) -> TargetError {
    match sent_bytes {
        0 => Code::WriteNothing { source }.into(),
        _ => Code::Write { source }.into(),
    }
}

fn write_timeout(sent_bytes: u64, limit_ms: u64) -> TargetError {
    match sent_bytes {
        0 => Code::WriteNothing { source: io::ErrorKind::TimedOut.into() }.into(),
        _ => Code::WriteTimeout { limit_ms }.into(),
    }
}
