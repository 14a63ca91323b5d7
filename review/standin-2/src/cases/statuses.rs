//! A worker that fails part of its requests with a status that isn't registered, and what callers
//! get of that. No case of its own: MIXED, less grave than the five.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::gateway::{Gateway, Machine, Ports};
use crate::http::{Connection, Message};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Behaviour, Life, Start};

const SERVICE: &str = "chart-desk";
const ROUTE: &str = r#"{"Name":"order","Host":"site.example","PathPrefix":"/order/","Type":"non_idempotent","TimeoutMs":1500,"SloMs":300,"Priority":0,"Service":"chart-desk","MaxAttempts":1,"Public":true,"Resumable":false}"#;
const WORKERS: usize = 3;
const REQUESTS: usize = 120;
/// Statuses of failures that have no registered name; RFC 9110 allows all from 100 to 599.
const STATUSES: [u16; 4] = [520, 529, 499, 460];

/// The status that a worker gave to each request.
type Given = Arc<Mutex<HashMap<String, u16>>>;

/// Runs an order. A grey worker fails 9 of 20.
struct Orders {
    grey: Option<String>,
    given: Given,
}

impl Behaviour for Orders {
    fn run(&self, worker: &Life, request: &Message, out: &mut Connection) -> io::Result<()> {
        let id = request.header("attempt-id").unwrap_or("").to_owned();
        thread::sleep(Duration::from_millis(60));
        let status = {
            let mut given = self.given.lock().unwrap();
            let count = given.len();
            let fails = self.grey.as_ref() == Some(&worker.id) && count % 20 < 9;
            let status = if fails { STATUSES[count % STATUSES.len()] } else { 200 };
            given.insert(id.clone(), status);
            status
        };
        worker.record.line(&format!("worker {} runs {id} and answers {status}", worker.id));
        let headers = [
            ("attempt-id", id.clone()),
            ("response-signature", format!("3e1b.{}.{id}", worker.id)),
        ];
        out.answer(&format!("{status} Status"), &headers, b"the server's bytes")
    }
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let store = Store::start(record);
    store.put("config", "main", &super::configuration(ROUTE, SERVICE));
    let given = Given::default();
    let id = |number: usize| format!("i-7f3a91c{number}");
    let orders: Arc<dyn Behaviour> =
        Arc::new(Orders { grey: has_trouble.then(|| id(0)), given: Arc::clone(&given) });
    let _workers: Vec<Life> = (0..WORKERS)
        .map(|number| {
            let id = id(number);
            let start = Start {
                id: &id,
                service: SERVICE,
                version: "v1",
                zone: "zone-a",
                address: None,
                first_beat: Duration::ZERO,
                slots: 6,
            };
            Life::start(&start, &store, record, Arc::clone(&orders))
        })
        .collect();
    let ip: IpAddr = "127.0.0.1".parse().expect("an address");
    let machine = Machine { node_name: "edge-a-1".to_owned(), ip, zone: "zone-a".to_owned() };
    let gateway = Gateway::start(&machine, Ports::find(&[ip]), store.address, record, true);
    gateway.wait_ready();
    thread::sleep(Duration::from_millis(500));
    let frontend = gateway.frontend();
    let callers: Vec<_> = (0..REQUESTS)
        .map(|number| {
            thread::sleep(Duration::from_millis(6));
            thread::spawn(move || {
                let id = format!("9c41d07be2a3{number:04x}");
                let request = format!(
                    "POST /order/2f HTTP/1.1\r\nhost: site.example\r\nattempt-id: {id}\r\ndeadline-ms: 3000\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{{}}"
                );
                let stream = TcpStream::connect(frontend).ok()?;
                let mut connection = Connection::new(stream);
                connection.write(&request).ok()?;
                Some((id, connection.message().ok()??))
            })
        })
        .collect();
    let answers: Vec<(String, Message)> =
        callers.into_iter().filter_map(|caller| caller.join().ok()?).collect();
    let given = given.lock().unwrap();
    let mut changed = 0;
    for (id, answer) in &answers {
        let signature = answer.header("response-signature");
        let (got, given) = (answer.status(), given.get(id).copied());
        record.line(&format!("caller: {id} got {got}, signature {signature:?}, given {given:?}"));
        changed += usize::from(got != 200 && signature.is_some() && given != Some(got));
    }
    let failed = given.values().filter(|status| **status != 200).count();
    record.say(&format!(
        "{} answers, {failed} failed by a worker, {changed} with its signature and another status",
        answers.len()
    ));
    assert!(answers.len() == REQUESTS, "not all requests were answered");
    assert!(!has_trouble || failed > 0, "the worker got no request");
    if changed > 0 { Verdict::Broken } else { Verdict::Held }
}
