//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Reads messages from one connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// A head: the first line and the headers, names in lower case.
#[derive(Debug, Clone)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// The method and the target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or_default(), words.next().unwrap_or_default())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

fn ended() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16384];
        let read = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(read)
    }

    /// Reads a head, or returns `None` if the connection was closed before it.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { first, headers }));
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() { Ok(None) } else { Err(ended()) };
            }
        }
    }

    fn exactly(&mut self, bytes: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < bytes {
            if self.fill()? == 0 {
                return Err(ended());
            }
        }
        Ok(self.buffer.drain(..bytes).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(ended());
            }
        }
    }

    /// Reads the next chunk of a chunked body; an empty one is the last.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.line()?;
        let size = usize::from_str_radix(line.trim(), 16).map_err(|_| ended())?;
        let bytes = self.exactly(size)?;
        self.line()?;
        Ok(bytes)
    }

    /// Reads a whole body.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if let Some(length) = head.header("content-length") {
            return self.exactly(length.parse().map_err(|_| ended())?);
        }
        let mut body = Vec::new();
        if head.header("transfer-encoding").is_some() {
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    break;
                }
                body.extend_from_slice(&chunk);
            }
        }
        Ok(body)
    }
}

/// Writes an answer with a length.
pub fn answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} {}\r\n", reason(status));
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Status",
    }
}
