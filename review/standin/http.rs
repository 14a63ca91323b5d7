//! A minimal HTTP/1.1 server and client for the stand-ins.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// A request that was read completely.
pub struct Received {
    pub method: String,
    pub target: String,
    pub body: Vec<u8>,
}

impl Received {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

/// An answer that was read completely.
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
}

/// Handles one request and returns whether the connection stays open.
pub type Handler = Arc<dyn Fn(&mut Connection, HeadOnly) -> io::Result<bool> + Send + Sync>;

/// The head of a request whose body hasn't been read yet.
pub struct HeadOnly {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
}

/// A connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 * 1024];
        let length = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..length]);
        Ok(length)
    }

    /// Reads a head and returns its lines, or `None` if the connection ends before it begins.
    fn head(&mut self) -> io::Result<Option<Vec<String>>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&head[..end]).into_owned();
                return Ok(Some(text.split("\r\n").map(str::to_owned).collect()));
            }
            if self.fill()? == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the head of a request, or returns `None` if the connection ends before it begins.
    pub fn request_head(&mut self) -> io::Result<Option<HeadOnly>> {
        let Some(lines) = self.head()? else { return Ok(None) };
        let mut words = lines[0].split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default().to_owned();
        Ok(Some(HeadOnly { method, target, headers: headers(&lines) }))
    }

    /// Reads the body that the headers declare.
    pub fn body(&mut self, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
        if header(headers, "transfer-encoding").is_some() {
            return self.chunked_body();
        }
        let length: usize =
            header(headers, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        self.exactly(length)
    }

    fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn chunked_body(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                    break end;
                }
                if self.fill()? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            };
            let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let text = String::from_utf8_lossy(&line[..end]).into_owned();
            let length = usize::from_str_radix(text.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let chunk = self.exactly(length + 2)?;
            if length == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..length]);
        }
    }

    /// Sends a request and reads the whole answer.
    pub fn call(&mut self, head: &str, body: &[u8]) -> io::Result<Answer> {
        self.stream.write_all(head.as_bytes())?;
        self.stream.write_all(body)?;
        loop {
            let lines = self.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let status: u16 = lines[0]
                .split(' ')
                .nth(1)
                .and_then(|text| text.parse().ok())
                .ok_or(io::ErrorKind::InvalidData)?;
            let headers = headers(&lines);
            if status < 200 {
                continue;
            }
            self.body(&headers)?;
            return Ok(Answer { status, headers });
        }
    }

    pub fn answer(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

fn headers(lines: &[String]) -> Vec<(String, String)> {
    let pair = |line: &String| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
    };
    lines.iter().skip(1).filter_map(pair).collect()
}

/// Serves connections, each in a thread of its own, until the process ends.
pub fn serve(listener: TcpListener, handler: Handler) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(head)) = connection.request_head() {
                    if !matches!(handler(&mut connection, head), Ok(true)) {
                        return;
                    }
                }
            });
        }
    });
}

/// Reads the body of a request.
pub fn receive(connection: &mut Connection, head: HeadOnly) -> io::Result<Received> {
    let body = connection.body(&head.headers)?;
    Ok(Received { method: head.method, target: head.target, body })
}

pub fn connect(address: SocketAddr) -> io::Result<Connection> {
    Ok(Connection::new(TcpStream::connect(address)?))
}
