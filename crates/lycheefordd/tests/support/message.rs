//! Messages with a declared length, for stand-ins between the daemon and its targets.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};

/// A request or an answer.
#[derive(Debug)]
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a message with a declared length, or returns `None` at the end of the connection.
    pub fn read(reader: &mut impl BufRead) -> Option<Message> {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            reader.read_line(&mut head).ok().filter(|length| *length > 0)?;
        }
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let mut body = vec![0; length.map_or(0, |length| length.parse().unwrap())];
        reader.read_exact(&mut body).ok()?;
        Some(Message { head, body })
    }

    pub fn to_bytes(&self) -> Vec<u8> {
        [self.head.as_bytes(), &self.body].concat()
    }
}

/// Passes a request on and returns its answer.
pub fn exchange(address: SocketAddr, request: &Message) -> Message {
    let mut stream = TcpStream::connect(address).expect("the engine runs");
    stream.write_all(&request.to_bytes()).expect("the engine reads");
    Message::read(&mut BufReader::new(stream)).expect("the engine answers")
}
