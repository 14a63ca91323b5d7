//! Services and engines that stop after any byte of their answer: no caller gets a success that isn't whole.

mod support;

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use futures_util::future::join_all;
use lycheeford_fakes::{Call, expected_text};
use lycheeford_policy::HostRole;
use serde_json::json;

use crate::support::message::{Message, exchange};
use crate::support::{Fleet, until};

const MODEL: &str = "model-001";
const TOKENS: u64 = 2;
/// More than the bytes of an engine's answer.
const ENGINE_ANSWER_BYTES_MAX: usize = 600;

const BODY: &str = "chart of ice";
/// The whole answers, by the part of the path that names them.
const ANSWERS: [(&str, &str); 4] = [
    ("length", "HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\nchart of ice"),
    (
        "chunks",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
         6\r\nchart \r\n6\r\nof ice\r\n0\r\nmade: yes\r\n\r\n",
    ),
    (
        "interim",
        "HTTP/1.1 103 Early Hints\r\ncontent-length: 0\r\n\r\n\
         HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\nchart of ice",
    ),
    ("neither", "HTTP/1.1 200 OK\r\nserver: s\r\n\r\nchart of ice"),
];

#[async_std::test]
async fn an_answer_of_a_service_that_is_cut_at_any_byte_does_not_look_whole() {
    let mut fleet = Fleet::start("cut-service").await;
    let asked = Arc::<Mutex<BTreeSet<String>>>::default();
    for (index, plan) in fleet.deployment.services.iter().enumerate() {
        fleet.services[index].kill();
        start_cutting(plan.address, &asked);
    }
    let mut violations = Vec::new();
    for (form, whole) in ANSWERS {
        let caller_address = fleet.caller_address(0);
        let calls = (0..=whole.len()).map(|written| async move {
            let path = format!("/public/{form}/{written}");
            let answer = Call::get(&path).send(caller_address).await.expect("an answer");
            (path, answer.status, answer.body)
        });
        for (path, status, body) in join_all(calls).await {
            let may_succeed = form != "neither";
            if status == 200 && (body != BODY || !may_succeed) {
                violations.push(format!("{path}: {body:?}"));
            }
            // The first answer is always cut; a second attempt needs the retry budget.
            if status != 200 && (status != 502 || body.contains("not_run")) {
                violations.push(format!("{path}: {status} {body}"));
            }
            let is_uncut = path.ends_with(&format!("/{}", whole.len()));
            if status != 200 && is_uncut && may_succeed {
                violations.push(format!("{path}: whole, but {status}"));
            }
            if !asked.lock().unwrap().contains(&path) {
                violations.push(format!("{path}: no service was asked"));
            }
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Starts a service that cuts its first answer to each path at the byte that the path names.
fn start_cutting(address: SocketAddr, asked: &Arc<Mutex<BTreeSet<String>>>) {
    let listener = TcpListener::bind(address).expect("the address is free");
    let asked = Arc::clone(asked);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, asked) = (stream.expect("a connection"), Arc::clone(&asked));
            thread::spawn(move || answer(stream, &asked));
        }
    });
}

fn answer(mut stream: TcpStream, asked: &Mutex<BTreeSet<String>>) -> Option<()> {
    let mut lines = BufReader::new(stream.try_clone().ok()?).lines();
    let first_line = lines.next()?.ok()?;
    lines.find(|line| line.as_ref().is_ok_and(String::is_empty))?.ok()?;
    let path = first_line.split(' ').nth(1)?;
    let (form, written) = path.strip_prefix("/public/")?.split_once('/')?;
    let (_, whole) = ANSWERS.iter().find(|(name, _)| *name == form)?;
    let is_first = asked.lock().unwrap().insert(path.to_owned());
    let written = if is_first { written.parse().ok()? } else { whole.len() };
    stream.write_all(&whole.as_bytes()[..written]).ok()
}

/// The same for the events of an engine.
#[async_std::test]
async fn an_answer_of_an_engine_that_is_cut_at_any_byte_does_not_look_whole() {
    let fleet = Fleet::start("cut-engine").await;
    let cuts = Arc::<Mutex<Vec<(usize, usize)>>>::default();
    for mut host in fleet.deployment.hosts() {
        if matches!(host.role, HostRole::ModelWorker { .. }) {
            host.address = start_cutting_engine(host.address, &cuts);
            fleet.store_host(&host).await;
        }
    }
    let complete = async |prompt: String| {
        let body = json!({ "model": MODEL, "prompt": prompt, "max_tokens": TOKENS });
        let call = Call::post("/v1/completions", &fleet.keys[0], &body);
        let answer = call.send(fleet.caller_address(0)).await.expect("an answer");
        (answer.status, answer.json()["choices"][0]["text"].as_str().map(str::to_owned))
    };
    until("the model is loaded", async || complete("warm".to_owned()).await.0 == 200).await;
    let mut violations = Vec::new();
    for written in 0..ENGINE_ANSWER_BYTES_MAX {
        let prompt = format!("cut {written}.");
        let (status, text) = complete(prompt.clone()).await;
        if status == 200 && text != Some(expected_text(MODEL, &prompt, TOKENS)) {
            violations.push(format!("{written} bytes: {text:?}"));
        }
        let cuts = cuts.lock().unwrap();
        if cuts.last().is_some_and(|(cut, whole)| cut >= whole) {
            break;
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
    let cuts = cuts.lock().unwrap();
    assert!(cuts.last().is_some_and(|(cut, whole)| cut >= whole), "cut at each byte: {cuts:?}");
}

/// Starts a target before an engine that cuts the first answer to each prompt at the byte that the
/// prompt names, and records that with the number of bytes of the whole answer.
fn start_cutting_engine(engine: SocketAddr, cuts: &Arc<Mutex<Vec<(usize, usize)>>>) -> SocketAddr {
    let listener = TcpListener::bind(SocketAddr::new(engine.ip(), 0)).expect("a free port");
    let address = listener.local_addr().expect("a bound listener has an address");
    let cuts = Arc::clone(cuts);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, cuts) = (stream.expect("a connection"), Arc::clone(&cuts));
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(request) = Message::read(&mut reader) {
                    let whole = exchange(engine, &request).to_bytes();
                    let written = cut_at(&request, whole.len(), &cuts);
                    let _ = stream.write_all(&whole[..written]);
                    if written < whole.len() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Returns how many bytes of an answer are written.
fn cut_at(request: &Message, whole_bytes: usize, cuts: &Mutex<Vec<(usize, usize)>>) -> usize {
    let body = String::from_utf8_lossy(&request.body);
    let named = body.split_once("cut ").and_then(|(_, rest)| rest.split_once('.'));
    let Some(written) = named.and_then(|(number, _)| number.parse().ok()) else {
        return whole_bytes;
    };
    let mut cuts = cuts.lock().unwrap();
    if cuts.iter().any(|(cut, _)| *cut == written) {
        return whole_bytes;
    }
    cuts.push((written, whole_bytes));
    written.min(whole_bytes)
}
