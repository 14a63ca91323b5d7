//! Reading and writing of HTTP/1.1 messages on plain sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// The head and body of a request or an answer. `first` is the first line.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// The method and the target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    /// Reads more bytes; returns false at the end.
    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 8192];
        let read = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(read > 0)
    }

    /// Reads a head; returns `None` if the connection ends before one.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("").to_owned();
                let header = |line: &str| {
                    let (key, value) = line.split_once(':').unwrap_or((line, ""));
                    (key.trim().to_ascii_lowercase(), value.trim().to_owned())
                };
                let headers = lines.map(header).collect();
                return Ok(Some(Message { first, headers, body: Vec::new() }));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads a whole message with a length or chunks.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        if let Some(length) = message.header("content-length") {
            let length: usize = length.parse().unwrap_or(0);
            while self.buffer.len() < length {
                if !self.fill()? {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            message.body = self.buffer.drain(..length).collect();
        } else if message.header("transfer-encoding").is_some() {
            while let Some(chunk) = self.chunk()? {
                message.body.extend(chunk);
            }
        }
        Ok(Some(message))
    }

    /// Reads the next chunk of a body; `None` is the last one.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let size = self.line()?;
        let size = size.split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(size, 16)
            .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "chunk size"))?;
        while self.buffer.len() < size + 2 {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        let chunk: Vec<u8> = self.buffer.drain(..size).collect();
        self.buffer.drain(..2);
        Ok((size > 0).then_some(chunk))
    }

    /// Reads some bytes of a body that ends with the connection; `None` is its end.
    pub fn some(&mut self) -> io::Result<Option<Vec<u8>>> {
        if self.buffer.is_empty() && !self.fill()? {
            return Ok(None);
        }
        Ok(Some(std::mem::take(&mut self.buffer)))
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Writes an answer with a length.
    pub fn answer(
        &mut self,
        status: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut text = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
        for (name, value) in headers {
            text += &format!("{name}: {value}\r\n");
        }
        text += "\r\n";
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    pub fn write(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    pub fn write_chunk(&mut self, text: &str) -> io::Result<()> {
        self.write(&format!("{:x}\r\n{text}\r\n", text.len()))
    }
}

pub fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}
