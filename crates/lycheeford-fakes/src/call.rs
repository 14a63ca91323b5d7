use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::io::BufReadExt;
use async_std::net::TcpStream;
use http_types::{Method, Request, Response, Url};
use serde_json::{Value, json};
use snafu::{ResultExt, Snafu};

/// A caller's request to a daemon.
#[derive(Debug, Clone)]
pub struct Call {
    /// The HTTP method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The API key, sent as a bearer token; absent for open paths.
    pub key: Option<String>,
    /// Headers in addition to those for the key and the body.
    pub headers: Vec<(String, String)>,
    /// The body; an empty body is not sent.
    pub body: Vec<u8>,
    /// The time limit from the start of the call to the last byte of the response.
    pub timeout: Duration,
}

/// A complete response to a call.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The HTTP status code.
    pub status: u16,
    /// The id that the daemon gave the request, from the `x-request-id` header.
    pub request_id: Option<String>,
    /// The body as text; invalid UTF-8 is replaced.
    pub body: String,
    /// The milliseconds from the start of the call to the first body line, or to the last byte if
    /// the body is empty.
    pub first_line_ms: u64,
    /// The milliseconds from the start of the call to the last byte.
    pub total_ms: u64,
}

/// Why a call got no complete response.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The connection failed, so nothing was sent.
    #[snafu(display("can't connect to {address}: {source}"))]
    Connect {
        /// The address that was called.
        address: SocketAddr,
        /// Why the connection failed.
        source: std::io::Error,
    },
    /// The connection broke or the response was truncated after the call was sent, or the call
    /// isn't valid HTTP.
    #[snafu(display("the answer was cut: {message}"))]
    Cut {
        /// The error of the HTTP client, or that the body is shorter than announced.
        message: String,
    },
    /// The response exceeded the time limit of the call.
    #[snafu(display("no whole answer in {timeout_ms} ms"))]
    Timeout {
        /// The time limit of the call.
        timeout_ms: u64,
    },
}

/// The default time limit of a call.
const TIMEOUT: Duration = Duration::from_secs(30);

impl Call {
    /// Returns a call without a body.
    pub fn get(path: &str) -> Call {
        Call {
            method: Method::Get,
            path: path.to_owned(),
            key: None,
            headers: Vec::new(),
            body: Vec::new(),
            timeout: TIMEOUT,
        }
    }

    /// Returns a call with a JSON body.
    pub fn post(path: &str, key: &str, body: &Value) -> Call {
        Call {
            method: Method::Post,
            key: Some(key.to_owned()),
            headers: vec![("content-type".to_owned(), "application/json".to_owned())],
            body: body.to_string().into_bytes(),
            ..Call::get(path)
        }
    }

    /// Returns a call for a streamed completion.
    pub fn completion(key: &str, model: &str, prompt: &str, max_tokens: u64) -> Call {
        let body =
            json!({ "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true });
        Call::post("/v1/completions", key, &body)
    }

    /// Returns the call with one more header.
    pub fn header(mut self, name: &str, value: &str) -> Call {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sends the call on a new connection and reads the complete response.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails, the response is truncated or the time limit passes.
    pub async fn send(&self, address: SocketAddr) -> Result<Answer, CallError> {
        self.stream_lines(address, |_| {}).await
    }

    /// Sends the call and passes each received line to `on_line`, even if the response is truncated
    /// later.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails, the response is truncated or the time limit passes.
    pub async fn stream_lines(
        &self,
        address: SocketAddr,
        on_line: impl FnMut(&str),
    ) -> Result<Answer, CallError> {
        let answer = timeout(self.timeout, self.exchange(address, on_line)).await;
        let timeout_ms = self.timeout.as_millis() as u64;
        answer.unwrap_or_else(|_| TimeoutSnafu { timeout_ms }.fail())
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        on_line: impl FnMut(&str),
    ) -> Result<Answer, CallError> {
        let start = Instant::now();
        let stream = TcpStream::connect(address).await.context(ConnectSnafu { address })?;
        stream.set_nodelay(true).context(ConnectSnafu { address })?;
        let request = self.request(address).map_err(|error| cut(&error))?;
        let response = async_h1::connect(stream, request).await.map_err(|error| cut(&error))?;
        read_whole(response, start, on_line).await
    }

    fn request(&self, address: SocketAddr) -> http_types::Result<Request> {
        let url = Url::parse(&format!("http://{address}{}", self.path))?;
        let mut request = Request::new(self.method, url);
        if !self.body.is_empty() {
            request.set_body(self.body.clone());
        }
        if let Some(key) = &self.key {
            request.insert_header("authorization", format!("Bearer {key}"));
        }
        for (name, value) in &self.headers {
            request.insert_header(name.as_str(), value.as_str());
        }
        Ok(request)
    }
}

impl Answer {
    /// Returns the text of a streamed completion, or `None` if the final `[DONE]` is missing or a
    /// chunk before it is not valid JSON.
    pub fn streamed_text(&self) -> Option<String> {
        let mut text = String::new();
        for data in self.body.lines().filter_map(|line| line.strip_prefix("data: ")) {
            if data == "[DONE]" {
                return Some(text);
            }
            let chunk: Value = serde_json::from_str(data).ok()?;
            text.push_str(chunk["choices"][0]["text"].as_str().unwrap_or_default());
        }
        None
    }

    /// Returns the body as JSON, or null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Returns the error code of the response, or an empty string if there is none.
    pub fn refusal_code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }
}

async fn read_whole(
    mut response: Response,
    start: Instant,
    mut on_line: impl FnMut(&str),
) -> Result<Answer, CallError> {
    let request_id = response.header("x-request-id").map(|id| id.as_str().to_owned());
    let status = u16::from(response.status());
    let announced = response.len();
    let mut first_line_ms = None;
    let mut body = Vec::new();
    let mut reader = response.take_body().into_reader();
    loop {
        let read = reader.read_until(b'\n', &mut body).await.map_err(|error| cut(&error))?;
        if read == 0 {
            break;
        }
        first_line_ms.get_or_insert_with(|| elapsed_ms(start));
        on_line(&String::from_utf8_lossy(&body[body.len() - read..]));
    }
    if announced.is_some_and(|announced| announced != body.len()) {
        return CutSnafu { message: "the body is shorter than announced" }.fail();
    }
    let body = String::from_utf8_lossy(&body).into_owned();
    let total_ms = elapsed_ms(start);
    let first_line_ms = first_line_ms.unwrap_or(total_ms);
    Ok(Answer { status, request_id, body, first_line_ms, total_ms })
}

fn elapsed_ms(start: Instant) -> u64 {
    start.elapsed().as_millis() as u64
}

fn cut(error: &impl ToString) -> CallError {
    CutSnafu { message: error.to_string() }.build()
}
