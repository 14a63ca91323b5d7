use std::net::SocketAddr;
use std::time::Instant;

use lycheeford_target::{Connection, Method, TargetRequest, TargetResponse};
use serde_json::json;
use snafu::{ResultExt, Whatever, ensure_whatever};

use crate::fleet::Fleet;

/// Larger than any answer body of a measurement.
const ANSWER_BYTES_MAX: usize = 1 << 20;

/// Sends a streamed completion request and returns the response once its head has arrived.
pub(crate) async fn open(
    fleet: &Fleet,
    address: SocketAddr,
    model: &str,
    max_tokens: u64,
    connection: Connection,
) -> Result<TargetResponse, Whatever> {
    let body = json!({
        "model": model,
        "prompt": "Is the lead open?",
        "max_tokens": max_tokens,
        "stream": true,
    });
    let headers = [
        ("authorization", format!("Bearer {}", fleet.key)),
        ("content-type", "application/json".to_owned()),
    ];
    let request = TargetRequest {
        method: Method::Post,
        path_and_query: "/v1/completions".to_owned(),
        headers: headers.map(|(name, value)| (name.to_owned(), value)).to_vec(),
        body: body.to_string().into_bytes().into(),
        connection,
        host: None,
        echo: None,
        first_byte_ms_max: None,
    };
    let response = fleet.client.call(address, &request).await;
    response.whatever_context("no answer to a completion request")
}

/// Sends a completion request for one token on a pooled connection and returns how many
/// microseconds it took.
pub(crate) async fn complete(
    fleet: &Fleet,
    address: SocketAddr,
    model: &str,
) -> Result<u64, Whatever> {
    let start = Instant::now();
    let response = open(fleet, address, model, 1, Connection::Pooled).await?;
    let status = response.status;
    let body = response.body.collect(ANSWER_BYTES_MAX).await;
    let body =
        String::from_utf8_lossy(&body.whatever_context("the answer ended early")?).into_owned();
    ensure_whatever!(status == 200, "completion request answered with status {status}: {body}");
    ensure_whatever!(
        body.trim_end().ends_with("data: [DONE]"),
        "the answer does not end with [DONE]: {body}"
    );
    Ok(start.elapsed().as_micros() as u64)
}
