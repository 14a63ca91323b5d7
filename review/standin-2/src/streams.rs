//! Streams: a worker that tells its software version in each event, and a caller that reads them.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::random;
use crate::record::Record;
use crate::worker::{Behaviour, Life};

/// Sends events with the ids from 1 or after `Last-Event-Id`: the first after `first`, then one each
/// `gap`. A path that ends with `/short` gets two events.
pub struct Events {
    pub count: u64,
    pub first: Duration,
    pub gap: Duration,
    /// One in so many events is broken off in its middle, with the connection; 0 is none.
    pub breaks: u64,
}

impl Behaviour for Events {
    fn run(&self, worker: &Life, request: &Message, out: &mut Connection) -> io::Result<()> {
        let id = request.header("attempt-id").unwrap_or("").to_owned();
        let after: u64 =
            request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        worker.record.line(&format!(
            "worker {} ({}) runs {id} after event {after}",
            worker.id, worker.version
        ));
        out.write(&format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\nattempt-id: {id}\r\nresponse-signature: sig.{}.{}\r\n\r\n",
            worker.id, worker.born
        ))?;
        let is_short = request.request().1.ends_with("/short");
        let count = if is_short { 2 } else { self.count };
        thread::sleep(self.first);
        for number in after + 1..=count {
            if worker.is_stopped() {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let event = format!("id: {number}\ndata: {} of {}\n\n", worker.version, worker.id);
            if self.breaks > 0 && random::below(self.breaks) == 0 {
                out.write(&format!("{:x}\r\n{}", event.len(), &event[..event.len() / 2]))?;
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            out.write_chunk(&event)?;
            thread::sleep(self.gap);
        }
        out.write("0\r\n\r\n")
    }
}

/// What a caller got of a stream.
#[derive(Debug, Clone, Default)]
pub struct Got {
    pub id: String,
    pub status: u16,
    /// The id and the data of each event.
    pub events: Vec<(u64, String)>,
    pub is_whole: bool,
    pub until: Option<Instant>,
}

impl Got {
    /// The software versions whose events the stream holds.
    pub fn versions(&self) -> Vec<String> {
        let mut versions: Vec<String> = self
            .events
            .iter()
            .map(|(_, data)| data.split(' ').next().unwrap_or("").to_owned())
            .collect();
        versions.sort();
        versions.dedup();
        versions
    }
}

/// Requests a stream and reads it to its end.
pub fn request(address: SocketAddr, path: &str, id: &str, record: &Record) -> Got {
    request_with(address, path, id, &[], record)
}

/// Requests a stream with further headers.
pub fn request_with(
    address: SocketAddr,
    path: &str,
    id: &str,
    headers: &[(&str, &str)],
    record: &Record,
) -> Got {
    let mut got = Got { id: id.to_owned(), ..Got::default() };
    let headers: String =
        headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    let result = read(address, path, id, &headers, &mut got);
    got.is_whole = result.is_ok();
    record.line(&format!(
        "caller: {id} got {}, {} events of {:?}, {}",
        got.status,
        got.events.len(),
        got.versions(),
        if got.is_whole { "whole".to_owned() } else { format!("broken off: {result:?}") }
    ));
    got
}

/// Reads a stream; `until` is when the caller's connection is reset, if it is.
pub fn request_until(
    address: SocketAddr,
    path: &str,
    id: &str,
    headers: &[(&str, &str)],
    until: Option<Instant>,
    record: &Record,
) -> Got {
    let mut got = Got { id: id.to_owned(), until, ..Got::default() };
    let headers: String =
        headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    let result = read(address, path, id, &headers, &mut got);
    got.is_whole = result.is_ok();
    record.line(&format!(
        "caller: {id} {headers:?} at {address} got {}, {} events of {:?}, {}",
        got.status,
        got.events.len(),
        got.versions(),
        if got.is_whole { "whole".to_owned() } else { format!("broken off: {result:?}") }
    ));
    got
}

fn read(address: SocketAddr, path: &str, id: &str, headers: &str, got: &mut Got) -> io::Result<()> {
    let stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    let mut connection = Connection::new(stream);
    let deadline = if headers.contains("deadline-ms") { "" } else { "deadline-ms: 15000\r\n" };
    connection.write(&format!(
        "POST {path} HTTP/1.1\r\nhost: site.example\r\nattempt-id: {id}\r\n{headers}{deadline}content-length: 2\r\nconnection: close\r\n\r\n{{}}"
    ))?;
    let head = connection.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    got.status = head.status();
    if got.status != 200 {
        return Ok(());
    }
    let mut text = String::new();
    while let Some(chunk) = connection.chunk()? {
        if got.until.is_some_and(|until| Instant::now() >= until) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        text += &String::from_utf8_lossy(&chunk);
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            let field = |name: &str| {
                let line = event.lines().find(|line| line.starts_with(name));
                line.map(|line| line[name.len()..].trim().to_owned()).unwrap_or_default()
            };
            got.events.push((field("id:").parse().unwrap_or(0), field("data:")));
        }
    }
    Ok(())
}

/// Requests streams at the same time, `gap` after each other.
pub fn request_all(
    address: SocketAddr,
    path: &'static str,
    ids: Vec<String>,
    gap: Duration,
    record: &Record,
) -> thread::JoinHandle<Vec<Got>> {
    let record = Arc::new(record.clone());
    thread::spawn(move || {
        let started: Vec<_> = ids
            .into_iter()
            .map(|id| {
                let record = Arc::clone(&record);
                let started = thread::spawn(move || request(address, path, &id, &record));
                thread::sleep(gap);
                started
            })
            .collect();
        started.into_iter().map(|started| started.join().unwrap_or_default()).collect()
    })
}

/// Requests a stream that may end with its connection; returns the number of its events and how
/// its connection ended.
pub fn count_events(
    address: SocketAddr,
    path: &str,
    id: &str,
    deadline: Duration,
    record: &Record,
) -> (u64, io::Result<()>) {
    let mut text = String::new();
    let mut read = || -> io::Result<()> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(deadline + Duration::from_secs(1)))?;
        let mut connection = Connection::new(stream);
        connection.write(&format!(
            "POST {path} HTTP/1.1\r\nhost: site.example\r\nattempt-id: {id}\r\ndeadline-ms: {}\r\ncontent-length: 2\r\n\r\n{{}}",
            deadline.as_millis()
        ))?;
        let head = connection.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if head.status() != 200 {
            return Err(io::Error::other(format!("status {}", head.status())));
        }
        let is_chunked = head.header("transfer-encoding").is_some();
        while let Some(bytes) = if is_chunked { connection.chunk()? } else { connection.some()? } {
            text += &String::from_utf8_lossy(&bytes);
        }
        Ok(())
    };
    let result = read();
    let events = text.matches("\n\n").count() as u64;
    record.line(&format!("caller: {id} for {path} got {events} events, end {result:?}"));
    (events, result)
}
