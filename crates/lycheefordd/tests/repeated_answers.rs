//! Services and engines that write their last answer again when the next one on the connection is
//! due.

mod support;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;

use lycheeford_fakes::{Call, expected_text};
use lycheeford_policy::HostRole;
use serde_json::json;

use crate::support::message::{Message, exchange};
use crate::support::{Fleet, until};

const CALLS: usize = 8;
const MODEL: &str = "model-001";
const TOKENS: u64 = 5;

/// Guards against an answer to another caller's request, which nothing tells from one's own.
#[async_std::test]
async fn a_repeated_answer_of_a_service_answers_no_other_call() {
    let mut fleet = Fleet::start("repeated-service").await;
    for (index, plan) in fleet.deployment.services.iter().enumerate() {
        fleet.services[index].kill();
        start_stuttering(plan.address, |request| {
            let path = request.head.split(' ').nth(1).unwrap_or_default();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", path.len());
            Message { head, body: path.as_bytes().to_vec() }
        });
    }
    let mut others = Vec::new();
    for number in 0..CALLS {
        let path = format!("/public/{number}");
        let answer = Call::get(&path).send(fleet.caller_address(0)).await.expect("an answer");
        if (answer.status, &answer.body) != (200, &path) {
            others.push((path, answer.status, answer.body));
        }
    }
    assert!(others.is_empty(), "{others:#?}");
}

/// The same for the text that another caller's prompt was completed with.
#[async_std::test]
async fn a_repeated_answer_of_an_engine_answers_no_other_completion() {
    let fleet = Fleet::start("repeated-engine").await;
    for mut host in fleet.deployment.hosts() {
        if matches!(host.role, HostRole::ModelWorker { .. }) {
            let engine = host.address;
            let any_port = SocketAddr::new(engine.ip(), 0);
            host.address = start_stuttering(any_port, move |request| exchange(engine, &request));
            fleet.store_host(&host).await;
        }
    }
    let complete = async |prompt: &str| {
        let body = json!({ "model": MODEL, "prompt": prompt, "max_tokens": TOKENS });
        let call = Call::post("/v1/completions", &fleet.keys[0], &body);
        let answer = call.send(fleet.caller_address(0)).await.expect("an answer");
        (answer.status, answer.json()["choices"][0]["text"].as_str().map(str::to_owned))
    };
    until("the model is loaded", async || complete("warm").await.0 == 200).await;
    let mut others = Vec::new();
    for number in 0..CALLS {
        let prompt = format!("prompt {number}");
        let (status, text) = complete(&prompt).await;
        if text != Some(expected_text(MODEL, &prompt, TOKENS)) {
            others.push((prompt, status, text));
        }
    }
    assert!(others.is_empty(), "{others:#?}");
}

/// Starts a target that repeats its last answer before each further one on a connection; returns
/// its address.
fn start_stuttering<F>(address: SocketAddr, answer: F) -> SocketAddr
where
    F: Fn(Message) -> Message + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address).expect("the address is free");
    let address = listener.local_addr().expect("a bound listener has an address");
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, answer) = (stream.expect("a connection"), Arc::clone(&answer));
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let mut last_answer = Vec::new();
                while let Some(request) = Message::read(&mut reader) {
                    let bytes = answer(request).to_bytes();
                    if stream.write_all(&[last_answer, bytes.clone()].concat()).is_err() {
                        return;
                    }
                    last_answer = bytes;
                }
            });
        }
    });
    address
}
