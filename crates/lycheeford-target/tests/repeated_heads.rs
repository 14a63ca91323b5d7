//! Targets that write an answer again before the answer to a call with another method.

mod common;

use std::io::Write;

use async_std::task;
use lycheeford_target::{Connection, Echo, Method, TargetClient, TargetLimits, TargetRequest};

use crate::common::{get, read_request, target};

/// Guards against skipping a copy by the rules of the wrong method: an answer to HEAD has no body,
/// whatever length it states.
#[test]
fn a_copy_of_an_answer_to_another_method_is_never_skipped_with_the_wrong_length() {
    let cases = [
        ("HEAD, then GET", Method::Head, Method::Get),
        ("GET, then HEAD", Method::Get, Method::Head),
    ];
    for (name, first, second) in cases {
        let address = target(|_, mut stream| {
            let mut last_answer = String::new();
            while let Some(request) = read_request(&mut stream) {
                let id = request.lines().find_map(|line| line.strip_prefix("x-id: ")).unwrap();
                let body = if request.starts_with("HEAD") { "" } else { "whole" };
                let answer =
                    format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 5\r\n\r\n{body}");
                let _ = stream.write_all(format!("{last_answer}{answer}").as_bytes());
                last_answer = answer;
            }
        });
        let client = TargetClient::new(TargetLimits::default());
        for (id, method) in [("first", first), ("second", second)] {
            let answered = task::block_on(async {
                let response = client.call(address, &request(id, method)).await?;
                response.body.collect(10).await
            });
            let body: &[u8] = if method == Method::Head { b"" } else { b"whole" };
            assert_eq!(
                answered.map_err(|error| error.to_string()).as_deref(),
                Ok(body),
                "{name}, {id}"
            );
        }
    }
}

fn request(id: &str, method: Method) -> TargetRequest {
    let mut request = get("/", Connection::Pooled);
    request.method = method;
    request.headers.push(("x-id".to_owned(), id.to_owned()));
    request.echo = Some(Echo { header: "x-id".to_owned(), id: Some(id.to_owned()) });
    request
}
