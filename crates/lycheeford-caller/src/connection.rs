use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::{Duration, Instant};

use async_h1::server::Encoder;
use async_std::net::{Shutdown, TcpStream};
use async_std::task;
use futures_util::FutureExt;
use futures_util::io::{AsyncRead, AsyncWriteExt};
use http_types::{Method, Response};
use lycheeford_http::{
    BodyDecoder, Category, Error, Framing, MemoryAccount, MessageReader, Persistence, Pieces,
    RegisteredReader, RequestHead, Reservation, SharedBody, read_some,
};
use lycheeford_policy::{Name, Refusal, RefusalCode};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::net::sockopt;

use crate::idle_wait::IdleWait;
use crate::race::{unless_interrupted, unless_panicked, with_timeout};
use crate::request::bad_request;
use crate::response::restore_status;
use crate::{Bounds, CallerBody, CallerResponse, Service, Stop};

/// How long an idle connection stays open after the stop, for a request that is in flight.
const DRAIN_IDLE_MS: u64 = 1_000;
/// How long a connection whose write side was closed waits for further bytes of the caller, and how
/// long it is read from after the stop.
const LINGER_MS: u64 = 1_000;
/// Bytes of further requests that are read while a request is handled.
const READ_AHEAD_BYTES_MAX: usize = 8 * 1024;
/// The interval at which a caller that has sent so much is checked for a disconnect.
const DISCONNECT_CHECK: Duration = Duration::from_millis(100);
/// Bytes after which no more chunks of a response are gathered for one write.
const WRITE_BYTES: usize = 8 * 1024;
const RETRY_AFTER_MS: u64 = 1_000;
/// How long a request waits for memory before it is refused; long enough to close a few connections
/// that are read slowly.
const MEMORY_WAIT: Duration = Duration::from_millis(500);
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// What async-h1 writes for a response without a body.
const NO_LENGTH_LINE: &[u8] = b"content-length: 0\r\n";

/// The state that all connections share.
pub(crate) struct Server<S> {
    /// The account of all bodies and answers.
    pub(crate) memory: Arc<MemoryAccount>,
    pub(crate) service: S,
    pub(crate) stop: Stop,
}

/// Serves one connection until it closes.
pub(crate) async fn run<S: Service>(stream: TcpStream, server: Arc<Server<S>>) {
    let mut connection = Connection::new(stream, server);
    let end = loop {
        match connection.serve_request().await {
            Next::KeepAlive => {}
            Next::End(end) => break end,
        }
    };
    if end == End::Answered {
        connection.linger().await;
    }
}

/// Refuses a connection because too many are open.
pub(crate) async fn refuse_connection<S: Service>(stream: TcpStream, server: Arc<Server<S>>) {
    let mut connection = Connection::new(stream, server);
    let refusal =
        overloaded("the host has too many open connections; use another host or retry later");
    connection.refuse(&new_request_id(), &refusal).await;
    connection.linger().await;
}

struct Connection<S> {
    reader: MessageReader<TcpStream>,
    writer: TcpStream,
    server: Arc<Server<S>>,
}

/// The caller of a response, as long as it is written.
struct Recipient<'a> {
    id: &'a Name,
    /// The bytes in the account that are held for it.
    unread_bytes: Arc<AtomicUsize>,
    /// Set once it has been behind.
    reader: Option<RegisteredReader>,
}

impl Recipient<'_> {
    fn new(id: &Name, unread_bytes: Arc<AtomicUsize>) -> Recipient<'_> {
        Recipient { id, unread_bytes, reader: None }
    }

    fn has_caught_up(&self) {
        if let Some(reader) = &self.reader {
            reader.has_caught_up();
        }
    }

    fn has_read(&self, bytes: usize) {
        if let Some(reader) = &self.reader {
            reader.has_read(bytes);
        }
    }
}

/// What happens to the connection after a request.
enum Next {
    KeepAlive,
    End(End),
}

/// How a connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// A last response was written, and the caller may still be reading it.
    Answered,
    /// The caller expects no response, or must see that the response was cut.
    Abandoned,
}

/// Why a request isn't passed to the service.
enum Rejection {
    /// The connection can't be used any more.
    ConnectionLost,
    /// The end of the request is unknown, so the connection closes after the refusal.
    Unframed(Refusal),
    /// The request was read completely, so the connection may stay open.
    Framed(Refusal, Method, Persistence),
}

impl<S: Service> Connection<S> {
    fn new(stream: TcpStream, server: Arc<Server<S>>) -> Connection<S> {
        // With Nagle's algorithm, a short chunk could wait for the acknowledgement of the last one.
        let _ = stream.set_nodelay(true);
        Connection { reader: MessageReader::new(stream.clone()), writer: stream, server }
    }

    async fn serve_request(&mut self) -> Next {
        while !self.has_request() {
            // A caller that sends only empty lines must not delay the shutdown.
            let is_last_wait = self.server.stop.is_triggered();
            let has_bytes = self.wait_for_request().await;
            if !has_bytes || (is_last_wait && !self.has_request()) {
                return Next::End(End::Abandoned);
            }
        }
        let id = new_request_id();
        let mut memory = self.server.memory.reservation();
        let stop = self.server.stop.clone();
        let read = unless_interrupted(
            stop.incomplete_refusal_triggered(),
            self.read_request(&id, &mut memory),
        )
        .await;
        match read.unwrap_or_else(|| Err(Rejection::Unframed(host_stopping()))) {
            Ok((request, method, persistence)) => {
                self.answer(&id, request, method, persistence).await
            }
            Err(Rejection::ConnectionLost) => Next::End(End::Abandoned),
            Err(Rejection::Unframed(refusal)) => {
                self.refuse(&id, &refusal).await;
                Next::End(End::Answered)
            }
            Err(Rejection::Framed(refusal, method, persistence)) => {
                let response = self.refusal(&id, &refusal);
                self.write(&id, response, method, persistence).await
            }
        }
    }

    /// Returns whether the first bytes of a request have arrived.
    ///
    /// Some callers send an empty line after a body. If it counted as the start
    /// of a head, the time limit for heads would expire, and the caller could
    /// take the refusal for the response to its next request.
    fn has_request(&mut self) -> bool {
        self.reader.skip_empty_lines();
        self.reader.buffered_bytes() > 0
    }

    /// Waits for bytes of a request, and returns whether any arrived within the idle limit, which
    /// may change meanwhile.
    async fn wait_for_request(&mut self) -> bool {
        let stop = self.server.stop.clone();
        let mut wait = IdleWait::new(Instant::now(), self.server.service.bounds().idle_ms_max);
        loop {
            let check_ms = wait.next_check_ms(Instant::now());
            if check_ms == 0 {
                return false;
            }
            let filling = with_timeout(check_ms, self.reader.fill());
            match unless_interrupted(stop.triggered(), filling).await {
                Some(Some(filled)) => return matches!(filled, Ok(1..)),
                Some(None) => {}
                None => {
                    let idle_ms_max = self.server.service.bounds().idle_ms_max;
                    let filling = with_timeout(DRAIN_IDLE_MS.min(idle_ms_max), self.reader.fill());
                    return matches!(filling.await, Some(Ok(1..)));
                }
            }
            wait.apply(Instant::now(), self.server.service.bounds().idle_ms_max);
        }
    }

    /// Reads a request under the limits that are in force at its first byte.
    async fn read_request(
        &mut self,
        id: &Name,
        memory: &mut Reservation,
    ) -> Result<(S::Request, Method, Persistence), Rejection> {
        let bounds = self.server.service.bounds();
        if memory.grow_within(bounds.request_bytes, MEMORY_WAIT).await.is_err() {
            return Err(no_memory());
        }
        let head = self.reader.request_head(bounds.head_bytes_max);
        let Some(head) = with_timeout(bounds.head_ms_max, head).await else {
            return Err(too_slow("the request head didn't arrive in time; send it without pauses"));
        };
        let head = head.and_then(|bytes| RequestHead::parse(&bytes));
        let head = head.map_err(|error| head_rejection(&error))?;
        check_declared_length(&head, bounds.body_bytes_max)?;
        self.confirm_expectation(&head).await?;
        let Some(body) =
            with_timeout(bounds.body_ms_max, self.read_body(head.framing, &bounds, memory)).await
        else {
            return Err(too_slow("the body didn't arrive in time; send it faster or in parts"));
        };
        let body = body?;
        let (method, persistence) = (head.method, head.persistence);
        match unless_panicked(self.server.service.read(id.clone(), head, body)).await {
            Some(Ok(request)) => Ok((request, method, persistence)),
            Some(Err(refusal)) => Err(Rejection::Framed(refusal, method, persistence)),
            None => Err(Rejection::Unframed(host_failed())),
        }
    }

    async fn confirm_expectation(&mut self, head: &RequestHead) -> Result<(), Rejection> {
        let mut expectations = head.values("expect").peekable();
        if expectations.peek().is_none() {
            return Ok(());
        }
        if !expectations.all(|value| value.eq_ignore_ascii_case("100-continue")) {
            let refusal = bad_request("the expect header isn't 100-continue; send that or none");
            return Err(Rejection::Unframed(refusal));
        }
        if head.framing == Framing::Empty || self.reader.buffered_bytes() > 0 {
            return Ok(());
        }
        self.write_bytes(CONTINUE).await.map_err(|_| Rejection::ConnectionLost)
    }

    async fn read_body(
        &mut self,
        framing: Framing,
        bounds: &Bounds,
        memory: &mut Reservation,
    ) -> Result<SharedBody, Rejection> {
        let mut decoder = BodyDecoder::new(framing);
        let mut body = Pieces::default();
        while let Some(chunk) =
            self.reader.body_chunk(&mut decoder).await.map_err(|error| rejection(&error))?
        {
            if body.len() + chunk.len() > bounds.body_bytes_max {
                return Err(body_too_large(bounds.body_bytes_max));
            }
            if memory.grow_within(chunk.len(), MEMORY_WAIT).await.is_err() {
                return Err(no_memory());
            }
            body.push(&chunk);
        }
        Ok(body.into())
    }

    async fn answer(
        &mut self,
        id: &Name,
        request: S::Request,
        method: Method,
        persistence: Persistence,
    ) -> Next {
        // A panic ends this request alone, and its caller gets a response.
        let answered = unless_panicked(self.server.service.answer(request));
        match unless_interrupted(wait_for_disconnect(&mut self.reader), answered).await {
            Some(Some(response)) => self.write(id, response, method, persistence).await,
            Some(None) => {
                self.refuse(id, &host_failed()).await;
                Next::End(End::Answered)
            }
            // If the caller only closed its sending side, it still reads.
            None => {
                let response = self.server.service.refuse(id, &sending_side_closed());
                self.write(id, response, method, Persistence::Close).await
            }
        }
    }

    async fn refuse(&mut self, id: &Name, refusal: &Refusal) {
        let response = self.refusal(id, refusal);
        self.write(id, response, Method::Get, Persistence::Close).await;
    }

    fn refusal(&self, id: &Name, refusal: &Refusal) -> CallerResponse {
        self.server.service.refused(id, refusal);
        self.server.service.refuse(id, refusal)
    }

    async fn write(
        &mut self,
        id: &Name,
        response: CallerResponse,
        method: Method,
        persistence: Persistence,
    ) -> Next {
        let mut recipient = Recipient::new(id, response.body.unread_bytes());
        let no_body = CallerBody::Whole(Vec::new());
        let written = match response.body {
            CallerBody::UntilClose(body) => {
                let head = CallerResponse { body: no_body, ..response };
                self.write_until_close(&mut recipient, head, body).await
            }
            CallerBody::HeldUntilClose(body) => {
                let head = CallerResponse { body: no_body, ..response };
                self.write_until_close(&mut recipient, head, body).await
            }
            CallerBody::Whole(_) | CallerBody::Held(_) | CallerBody::Stream(_) => {
                return self.write_framed(&mut recipient, response, method, persistence).await;
            }
        };
        match written {
            Ok(()) => Next::End(End::Answered),
            Err(_) => Next::End(End::Abandoned),
        }
    }

    /// Writes a response whose end is stated.
    async fn write_framed(
        &mut self,
        recipient: &mut Recipient<'_>,
        response: CallerResponse,
        method: Method,
        persistence: Persistence,
    ) -> Next {
        let is_last = persistence == Persistence::Close
            || response.persistence() == Persistence::Close
            || (self.server.stop.is_triggered() && self.reader.buffered_bytes() == 0);
        let persistence = if is_last { Persistence::Close } else { Persistence::KeepAlive };
        let status = response.status;
        let response = response.into_http(recipient.id, persistence);
        match self.write_response(recipient, response, status, method).await {
            Ok(()) if is_last => Next::End(End::Answered),
            Ok(()) => Next::KeepAlive,
            Err(_) => Next::End(End::Abandoned),
        }
    }

    async fn write_response(
        &mut self,
        recipient: &mut Recipient<'_>,
        response: Response,
        status: u16,
        method: Method,
    ) -> io::Result<()> {
        let mut encoder = Encoder::new(response, method);
        let mut buffer = Vec::new();
        let mut has_head = false;
        loop {
            buffer.clear();
            let mut read = self.read_body_part(recipient, &mut encoder, &mut buffer).await?;
            if !std::mem::replace(&mut has_head, true) {
                restore_status(&mut buffer, status);
            }
            // Adds chunks that are available now, without waiting for others.
            while buffer.len() < WRITE_BYTES && matches!(read, Ok(1..)) {
                match read_some(&mut encoder, &mut buffer).now_or_never() {
                    Some(more) => read = more,
                    None => break,
                }
            }
            self.write_part(recipient, &buffer).await?;
            if read? == 0 {
                return Ok(());
            }
        }
    }

    /// Reads the next part of a response, which may have to be produced first.
    async fn read_body_part<R: AsyncRead + Unpin>(
        &mut self,
        recipient: &Recipient<'_>,
        body: &mut R,
        buffer: &mut Vec<u8>,
    ) -> io::Result<io::Result<usize>> {
        if let Some(read) = read_some(body, buffer).now_or_never() {
            return Ok(read);
        }
        recipient.has_caught_up();
        let disconnected = wait_for_disconnect(&mut self.reader);
        let read = unless_interrupted(disconnected, read_some(body, buffer)).await;
        Ok(read.ok_or(io::ErrorKind::ConnectionAborted)?)
    }

    /// Writes a response whose body ends with its connection.
    ///
    /// Until the body has ended, the connection is reset when it closes, also if this process is
    /// killed: a regular close would look like the end of the body.
    async fn write_until_close<R: AsyncRead + Unpin>(
        &mut self,
        recipient: &mut Recipient<'_>,
        head: CallerResponse,
        mut body: R,
    ) -> io::Result<()> {
        sockopt::set_socket_linger(&self.writer, Some(Duration::ZERO))?;
        let status = head.status;
        let mut buffer = head_until_close(head.into_http(recipient.id, Persistence::Close)).await?;
        restore_status(&mut buffer, status);
        loop {
            self.write_part(recipient, &buffer).await?;
            buffer.clear();
            if self.read_body_part(recipient, &mut body, &mut buffer).await?? == 0 {
                return Ok(sockopt::set_socket_linger(&self.writer, None)?);
            }
        }
    }

    /// Writes a part of a response, unless the caller reads so slowly that its connection must be
    /// closed.
    async fn write_part(&mut self, recipient: &mut Recipient<'_>, bytes: &[u8]) -> io::Result<()> {
        let write_ms_max = self.server.service.bounds().write_ms_max;
        let written = with_timeout(write_ms_max, self.write_to(recipient, bytes)).await;
        written.unwrap_or(Err(io::ErrorKind::TimedOut.into()))
    }

    async fn write_to(&mut self, recipient: &mut Recipient<'_>, bytes: &[u8]) -> io::Result<()> {
        let mut rest = bytes;
        while !rest.is_empty() {
            let written_bytes = match self.writer.write(rest).now_or_never() {
                Some(written) => written?,
                None => self.write_when_read(recipient, rest).await?,
            };
            if written_bytes == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            recipient.has_read(written_bytes);
            rest = &rest[written_bytes..];
        }
        Ok(())
    }

    /// Writes bytes to a caller that has to read others first.
    async fn write_when_read(
        &mut self,
        recipient: &mut Recipient<'_>,
        bytes: &[u8],
    ) -> io::Result<usize> {
        let memory = &self.server.memory;
        let reader =
            recipient.reader.get_or_insert_with(|| memory.register_reader(&recipient.unread_bytes));
        reader.is_behind();
        if let Some(written) = unless_interrupted(reader.closed(), self.writer.write(bytes)).await {
            return written;
        }
        self.server.service.slow_caller_closed(recipient.id, &reader.state());
        // What the kernel still holds for the caller is discarded, too.
        let _ = sockopt::set_socket_linger(&self.writer, Some(Duration::ZERO));
        Err(io::ErrorKind::ConnectionAborted.into())
    }

    async fn write_bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        let written =
            with_timeout(self.server.service.bounds().write_ms_max, self.writer.write_all(bytes))
                .await;
        written.unwrap_or(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Closes the write side, and reads what the caller still sends, for no longer than it may take
    /// to send a body.
    ///
    /// Closing the connection while the caller sends would reset it, and the caller could lose the
    /// last response.
    async fn linger(&mut self) {
        let _ = self.writer.shutdown(Shutdown::Write);
        let stop = self.server.stop.clone();
        let body_ms_max = self.server.service.bounds().body_ms_max;
        let discarding = with_timeout(body_ms_max, discard(&mut self.writer));
        if unless_interrupted(stop.triggered(), discarding).await.is_none() {
            with_timeout(LINGER_MS, discard(&mut self.writer)).await;
        }
    }
}

/// Encodes the head of a response without a body, and leaves out the length that async-h1 states.
async fn head_until_close(response: Response) -> io::Result<Vec<u8>> {
    let mut encoder = Encoder::new(response, Method::Get);
    let mut head = Vec::new();
    while read_some(&mut encoder, &mut head).await? > 0 {}
    let lines = head.split_inclusive(|byte| *byte == b'\n');
    Ok(lines.filter(|line| *line != NO_LENGTH_LINE).collect::<Vec<_>>().concat())
}

/// Reads and discards bytes until the caller closes its side or pauses.
async fn discard(stream: &mut TcpStream) {
    let mut discarded = Vec::new();
    while let Some(Ok(1..)) = with_timeout(LINGER_MS, read_some(stream, &mut discarded)).await {
        discarded.clear();
    }
}

/// Waits until the caller closes its side, and buffers what it sends meanwhile.
///
/// Once [`READ_AHEAD_BYTES_MAX`] bytes are buffered, nothing more is read, and the kernel is asked
/// from time to time.
async fn wait_for_disconnect(reader: &mut MessageReader<TcpStream>) {
    while reader.buffered_bytes() < READ_AHEAD_BYTES_MAX {
        if !matches!(reader.fill().await, Ok(1..)) {
            return;
        }
    }
    while !is_disconnected(reader.stream()) {
        task::sleep(DISCONNECT_CHECK).await;
    }
}

/// Returns whether the caller has closed its side, even if bytes that it sent before are unread.
fn is_disconnected(stream: &TcpStream) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    // A poll that fails, for example because of a signal, is repeated at the next check.
    let _ = poll(&mut polled, Some(&Timespec::default()));
    polled[0].revents().intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
}

fn new_request_id() -> Name {
    Name::from(format!("{:032x}", rand::random::<u128>()))
}

fn check_declared_length(head: &RequestHead, body_bytes_max: usize) -> Result<(), Rejection> {
    match head.framing {
        Framing::Length(length_bytes) if length_bytes > body_bytes_max as u64 => {
            Err(body_too_large(body_bytes_max))
        }
        _ => Ok(()),
    }
}

fn head_rejection(error: &Error) -> Rejection {
    match error.category() {
        Category::TooLarge => {
            let refusal = Refusal::not_run(RefusalCode::HeadTooLarge, error.to_string(), None);
            Rejection::Unframed(refusal)
        }
        _ => rejection(error),
    }
}

fn rejection(error: &Error) -> Rejection {
    let code = match error.category() {
        Category::Closed | Category::Io => return Rejection::ConnectionLost,
        Category::TooLarge => RefusalCode::TooLarge,
        Category::Truncated | Category::Malformed => RefusalCode::BadRequest,
    };
    Rejection::Unframed(Refusal::not_run(code, error.to_string(), None))
}

fn body_too_large(body_bytes_max: usize) -> Rejection {
    let message = format!("the body is over {body_bytes_max} bytes; send less");
    Rejection::Unframed(Refusal::not_run(RefusalCode::TooLarge, message, None))
}

fn no_memory() -> Rejection {
    let message = "the host has no memory left for bodies; use another host or retry later";
    Rejection::Unframed(overloaded(message))
}

fn too_slow(message: &str) -> Rejection {
    Rejection::Unframed(Refusal::not_run(RefusalCode::TooSlow, message, None))
}

fn host_stopping() -> Refusal {
    let message = "the host is shutting down; use another host or retry later";
    Refusal::not_run(RefusalCode::HostStopping, message, Some(RETRY_AFTER_MS))
}

fn sending_side_closed() -> Refusal {
    let message = "the caller closed its sending side, which cancels its request; keep it open \
                   until the answer is whole";
    Refusal::unknown(RefusalCode::TargetFailed, message)
}

fn host_failed() -> Refusal {
    let message = "the host failed while it handled the request; report its id to the operator";
    Refusal::unknown(RefusalCode::TargetFailed, message)
}

fn overloaded(message: &str) -> Refusal {
    Refusal::not_run(RefusalCode::Overloaded, message, Some(RETRY_AFTER_MS))
}
