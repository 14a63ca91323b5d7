//! Clients: one request a connection.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::Reader;

pub const HOST: &str = "charts.example";
pub const KEY: &str = "k0123456789abcdef";

pub struct Request<'a> {
    pub id: &'a str,
    pub key: &'a str,
    pub method: &'a str,
    pub target: &'a str,
    pub headers: Vec<(&'a str, String)>,
    pub deadline_ms: u64,
    /// The pause after which the client abandons an answer.
    pub gap_ms: u64,
    /// Leaves after so many events.
    pub leave_after: Option<usize>,
}

#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// 0 without any.
    pub status: u16,
    pub is_signed: bool,
    pub is_whole: bool,
    pub body: String,
    /// The ids and the data of the events.
    pub events: Vec<(u64, String)>,
    pub error: String,
}

/// Sends a request and reads the answer, a stream event by event.
pub fn send(address: SocketAddr, request: &Request<'_>) -> Answer {
    let mut answer = Answer::default();
    if let Err(error) = exchange(address, request, &mut answer) {
        answer.error = error.to_string();
    }
    answer
}

fn exchange(
    address: SocketAddr,
    request: &Request<'_>,
    answer: &mut Answer,
) -> std::io::Result<()> {
    let until = Instant::now() + Duration::from_millis(request.deadline_ms);
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    let Request { id, method, target, .. } = request;
    let mut text = format!("{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\n");
    text.push_str(&format!(
        "Deadline-Ms: {}\r\nCredential: {}\r\n",
        request.deadline_ms, request.key
    ));
    for (name, value) in &request.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if *method != "GET" {
        text.push_str("Content-Length: 0\r\n");
    }
    text.push_str("\r\n");
    stream.write_all(text.as_bytes())?;
    let limits = stream.try_clone()?;
    let wait = |answer: &Answer| -> std::io::Result<()> {
        let left = until
            .saturating_duration_since(Instant::now())
            .min(Duration::from_millis(request.gap_ms));
        if left.is_zero() {
            return Err(std::io::Error::other(format!(
                "deadline, after {} events",
                answer.events.len()
            )));
        }
        limits.set_read_timeout(Some(left))
    };
    let mut reader = Reader::new(stream);
    wait(answer)?;
    let head = reader.head()?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    answer.status = head.status();
    answer.is_signed = head.header("response-signature").is_some();
    let is_stream =
        head.header("content-type").is_some_and(|kind| kind.starts_with("text/event-stream"));
    if !is_stream {
        wait(answer)?;
        answer.body = String::from_utf8_lossy(&reader.body(&head)?).into_owned();
        answer.is_whole = true;
        return Ok(());
    }
    let mut pending = String::new();
    loop {
        wait(answer)?;
        let chunk = reader.chunk()?;
        if chunk.is_empty() {
            answer.is_whole = true;
            return Ok(());
        }
        pending.push_str(&String::from_utf8_lossy(&chunk));
        while let Some(end) = pending.find("\n\n") {
            let event: String = pending.drain(..end + 2).collect();
            let field = |name: &str| {
                event
                    .lines()
                    .find_map(|line| line.strip_prefix(name))
                    .unwrap_or_default()
                    .trim()
                    .to_owned()
            };
            answer.events.push((field("id:").parse().unwrap_or(0), field("data:")));
        }
        if request.leave_after.is_some_and(|events| answer.events.len() >= events) {
            return Err(std::io::Error::other("the client leaves"));
        }
    }
}
