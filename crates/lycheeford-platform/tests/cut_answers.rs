//! Answers of the store that end, or pause, after each of their bytes.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use http_types::{Method, Request, Url};
use lycheeford_platform::{Connections, ExchangeError, PlatformLimits};

const BODY: &str = r#"{"items":[],"version":12}"#;
const PAUSE: Duration = Duration::from_millis(2);

/// What the store does between the two parts of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Between {
    /// It closes the connection, so that the second part never comes.
    Close,
    Pause,
}

struct Form {
    what: &'static str,
    /// What comes before the answer.
    interim: &'static str,
    head: &'static str,
    body: &'static str,
}

const FORMS: &[Form] = &[
    Form { what: "a length", interim: "", head: "content-length: 25", body: BODY },
    Form {
        what: "an interim head",
        interim: "HTTP/1.1 103 Early Hints\r\ncontent-length: 0\r\n\r\n",
        head: "content-length: 25",
        body: BODY,
    },
    Form {
        what: "chunks",
        interim: "",
        head: "transfer-encoding: chunked",
        body: "a\r\n{\"items\":[\r\nf\r\n],\"version\":12}\r\n0\r\n\r\n",
    },
    Form {
        what: "trailers",
        interim: "",
        head: "transfer-encoding: chunked",
        body: "19\r\n{\"items\":[],\"version\":12}\r\n0\r\nmade: yes\r\n\r\n",
    },
    Form {
        what: "chunks in capital letters",
        interim: "",
        head: "Transfer-Encoding: Chunked",
        body: "19\r\n{\"items\":[],\"version\":12}\r\n0\r\n\r\n",
    },
];

#[async_std::test]
async fn an_answer_is_read_whole_or_fails_wherever_it_pauses_or_ends() {
    let mut violations = Vec::new();
    for form in FORMS {
        for between in [Between::Close, Between::Pause] {
            violations.extend(check_form(form, between).await);
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

async fn check_form(form: &Form, between: Between) -> Vec<String> {
    let Form { what, interim, head, body } = form;
    let answer = format!("{interim}HTTP/1.1 200 OK\r\nstore-era: 1\r\n{head}\r\n\r\n{body}");
    let address = start_store(answer.clone(), between);
    let connections = Connections::new(address, PlatformLimits::default());
    let mut violations = Vec::new();
    for written in 0..=answer.len() {
        let url = Url::parse(&format!("http://{address}/{written}")).unwrap();
        let received = connections.exchange_fresh(Request::new(Method::Get, url), 0).await;
        let is_complete = between == Between::Pause || written == answer.len();
        let is_right = match &received {
            Ok(answer) => is_complete && answer.body == BODY.as_bytes(),
            Err(ExchangeError::MaybeSent(_)) => !is_complete,
            Err(ExchangeError::NotSent(_)) => false,
        };
        if !is_right {
            let received = received.map(|answer| String::from_utf8(answer.body));
            violations.push(format!("{what}, {between:?} after {written} bytes: {received:?}"));
        }
    }
    violations
}

/// Starts a store that writes its answer in two parts, the first of as many bytes as the path says.
fn start_store(answer: String, between: Between) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, answer) = (stream.unwrap(), answer.clone());
            thread::spawn(move || write_parts(stream, answer.as_bytes(), between));
        }
    });
    address
}

fn write_parts(mut stream: TcpStream, answer: &[u8], between: Between) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut lines = BufReader::new(stream.try_clone().ok()?).lines();
    let first_line = lines.next()?.ok()?;
    let written: usize = first_line.split(' ').nth(1)?.trim_start_matches('/').parse().ok()?;
    lines.find(|line| line.as_ref().is_ok_and(String::is_empty))?.ok()?;
    stream.write_all(&answer[..written]).ok()?;
    if between == Between::Pause {
        thread::sleep(PAUSE);
        stream.write_all(&answer[written..]).ok()?;
    }
    Some(())
}
