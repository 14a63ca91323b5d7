//! Targets over plain TCP that run a scripted answer.

#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

use lycheeford_target::{Connection, Method, TargetLimits, TargetRequest};

/// Starts a target that runs `script` for each connection, counted from zero.
pub fn target<F>(script: F) -> SocketAddr
where
    F: Fn(usize, TcpStream) + Clone + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for (index, stream) in listener.incoming().enumerate() {
            let script = script.clone();
            thread::spawn(move || script(index, stream.unwrap()));
        }
    });
    address
}

/// Reads one request with its body, or returns `None` at the end of the connection.
pub fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut seen = Vec::new();
    let mut byte = [0];
    while !seen.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        seen.push(byte[0]);
    }
    let head = String::from_utf8(seen).unwrap();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().unwrap())];
    stream.read_exact(&mut body).ok()?;
    Some(head + &String::from_utf8(body).unwrap())
}

/// Answers one request and then keeps the connection open until the client closes it.
pub fn answer_and_hold(stream: &mut TcpStream, answer: &[u8]) {
    read_request(stream);
    let _ = stream.write_all(answer);
    let _ = stream.read_to_end(&mut Vec::new());
}

pub fn get(path: &str, connection: Connection) -> TargetRequest {
    TargetRequest {
        method: Method::Get,
        path_and_query: path.to_owned(),
        headers: vec![("x-priority".to_owned(), "0".to_owned())],
        body: Vec::new().into(),
        connection,
        host: None,
        echo: None,
        first_byte_ms_max: None,
    }
}

/// Short time-outs, for tests with a target that stops responding.
pub fn short_limits() -> TargetLimits {
    TargetLimits { first_byte_ms_max: 300, between_bytes_ms_max: 300, ..TargetLimits::default() }
}
