//! A request that crashes each target that runs it, before and after all gateways were killed.

use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Gateway, loopback};
use crate::http::{self, Connection};
use crate::record::Record;
use crate::store::Store;
use crate::{BROKEN, HELD, NOT_RUN};

const GATEWAYS: u32 = 5;
const WORKERS: u32 = 12;
/// "The worker is back after some seconds."
const BACK_AFTER: Duration = Duration::from_secs(3);
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// More than three retries break the rule.
const RETRIES_MAX: usize = 3;
/// The first attempt, and three more at once, as `retry_abuse` of the site's list has them.
const ATTEMPTS: usize = 4;
const DEADLINE_MS: u64 = 3_000;
const DEADLY: &str = "a deadly request";

/// An arrival of the deadly request at a worker.
struct Arrival {
    at: Instant,
    /// The client attempt.
    attempt: String,
}

#[derive(Clone)]
struct Deadly {
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

pub fn run(record_path: &str, has_trouble: bool) -> i32 {
    let record = Record::new(record_path);
    let folder = std::env::temp_dir().join(format!("lycheeford-review-{}", std::process::id()));
    if std::fs::create_dir_all(&folder).is_err() {
        return NOT_RUN;
    }
    let code = play(&record, &folder, has_trouble);
    record.write();
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    code
}

fn play(record: &Record, folder: &Path, has_trouble: bool) -> i32 {
    let store = Store::start(&loopback(200));
    let deadly = Deadly { arrivals: Arc::default() };
    for number in 0..WORKERS {
        let (store, record, deadly) = (store.clone(), record.clone(), deadly.clone());
        thread::spawn(move || worker(number, &store, &record, &deadly));
    }
    store.put("config", "main", &configuration());
    let ips: Vec<String> = (1..=GATEWAYS).map(loopback).collect();
    let start_all = || -> Vec<Gateway> {
        (1..=GATEWAYS).map(|number| Gateway::start(number, folder, store.address, &ips)).collect()
    };
    let mut gateways = start_all();
    if !gateways.iter().all(Gateway::wait_ready) {
        record.note("a gateway wasn't ready");
        return NOT_RUN;
    }
    let mut ready_at = Instant::now();
    let sound = Sound::start(&gateways, record);
    thread::sleep(STABLE_WINDOW + Duration::from_millis(700));
    // The request comes until it has crashed three workers.
    let mut number = 0;
    while deadly.crashes() < 3 && number < 6 {
        send_deadly(&gateways, number, record);
        number += 1;
        thread::sleep(Duration::from_millis(500));
    }
    let Some(third_at) = deadly.third_at() else {
        record.note("the request hasn't crashed three workers");
        sound.stop();
        return NOT_RUN;
    };
    let before = deadly.crashes();
    record.note(&format!("the request has crashed {before} workers"));
    // All workers are back, and the hosts have told each other of the crashes.
    thread::sleep(BACK_AFTER + Duration::from_millis(1_500));
    if has_trouble {
        record.note("all gateways are killed at the same moment");
        for gateway in &mut gateways {
            let _ = gateway.child.kill();
        }
        drop(gateways);
        thread::sleep(Duration::from_millis(500));
        gateways = start_all();
        if !gateways.iter().all(Gateway::wait_ready) {
            record.note("a gateway wasn't ready again");
            sound.stop();
            return NOT_RUN;
        }
        record.note("all gateways are ready again");
        ready_at = Instant::now();
        thread::sleep(STABLE_WINDOW + Duration::from_millis(700));
    }
    for _ in 0..3 {
        send_deadly(&gateways, number, record);
        number += 1;
        thread::sleep(BACK_AFTER + Duration::from_millis(1_000));
    }
    sound.stop();
    let in_touch_at = ready_at + STABLE_WINDOW;
    let counts_at = in_touch_at.max(third_at + STABLE_WINDOW);
    let arrivals = deadly.arrivals.lock().unwrap();
    let counted = arrivals.iter().filter(|arrival| arrival.at > counts_at);
    let mut attempts: Vec<&str> = counted.map(|arrival| arrival.attempt.as_str()).collect();
    let arrivals = attempts.len();
    attempts.sort_unstable();
    attempts.dedup();
    let retries = attempts.len();
    record.note(&format!(
        "{retries} retries of the client reached workers, in {arrivals} arrivals, sent by machines in touch later than 3 s after the third crash"
    ));
    if retries > RETRIES_MAX { BROKEN } else { HELD }
}

impl Deadly {
    fn crashes(&self) -> usize {
        self.arrivals.lock().unwrap().len()
    }

    fn third_at(&self) -> Option<Instant> {
        self.arrivals.lock().unwrap().get(2).map(|arrival| arrival.at)
    }
}

/// Sends the request to one gateway and, as long as that fails, at once to the next ones.
fn send_deadly(gateways: &[Gateway], number: usize, record: &Record) {
    for attempt in 0..ATTEMPTS {
        let gateway = &gateways[(number + attempt) % gateways.len()];
        let id = format!("dead{number:08x}{attempt:04x}");
        let head = format!(
            "POST /fetch/9 HTTP/1.1\r\nhost: site.example\r\nattempt-id: {id}\r\ncredential: k3y-of-the-office\r\ndeadline-ms: {DEADLINE_MS}\r\ncontent-length: {}\r\n\r\n",
            DEADLY.len()
        );
        let answer =
            http::connect(gateway.front()).and_then(|mut to| to.call(&head, DEADLY.as_bytes()));
        let outcome = match &answer {
            Ok(answer) => answer.status.to_string(),
            Err(error) => error.to_string(),
        };
        record.note(&format!("deadly {id} at {} is answered: {outcome}", gateway.ip));
        if answer.is_ok_and(|answer| answer.status == 200 || answer.status == 503) {
            return;
        }
    }
}

/// Sound requests of other callers, 20 a second.
struct Sound {
    stop: Arc<Mutex<bool>>,
    thread: thread::JoinHandle<()>,
}

impl Sound {
    fn start(gateways: &[Gateway], record: &Record) -> Sound {
        let fronts: Vec<SocketAddr> = gateways.iter().map(Gateway::front).collect();
        let stop: Arc<Mutex<bool>> = Arc::default();
        let (stopped, record) = (Arc::clone(&stop), record.clone());
        let thread = thread::spawn(move || {
            let mut answers: HashMap<String, u32> = HashMap::new();
            for number in 0_u64.. {
                if *stopped.lock().unwrap() {
                    break;
                }
                let front = fronts[number as usize % fronts.len()];
                let head = format!(
                    "POST /fetch/{} HTTP/1.1\r\nhost: site.example\r\nattempt-id: {number:016x}\r\ncredential: k3y-of-the-office\r\ndeadline-ms: {DEADLINE_MS}\r\ncontent-length: 5\r\n\r\n",
                    number % 5
                );
                let answer = http::connect(front).and_then(|mut to| to.call(&head, b"sound"));
                let status = answer.map_or("none".to_owned(), |answer| answer.status.to_string());
                *answers.entry(status).or_default() += 1;
                thread::sleep(Duration::from_millis(50));
            }
            record.note(&format!("answers to sound requests: {answers:?}"));
        });
        Sound { stop, thread }
    }

    fn stop(self) {
        *self.stop.lock().unwrap() = true;
        let _ = self.thread.join();
    }
}

fn configuration() -> String {
    r#"{"Version":3,"Routes":[{"Name":"fetch","Host":"site.example","PathPrefix":"/fetch/","Type":"idempotent","TimeoutMs":1500,"SloMs":300,"Priority":2,"Service":"desk","MaxAttempts":2,"Public":false,"Resumable":false}],"Services":[{"Name":"desk","HealthPath":"/healthz","MaxConns":110,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"office","ApiKeys":["k3y-of-the-office"],"Priority":1,"Unit":"token_rate","UncachedTokens":1,"RatePerS":100000,"Burst":100000}]}"#
        .to_owned()
}

/// Runs a worker that crashes from the deadly request and is back some seconds later.
fn worker(number: u32, store: &Store, record: &Record, deadly: &Deadly) {
    let address = {
        let listener = TcpListener::bind((loopback(100 + number), 0)).expect("a free port");
        listener.local_addr().expect("an address")
    };
    for life in 1.. {
        let id = format!("i-{number}-{life}");
        let listener = TcpListener::bind(address).expect("the port is still free");
        listener.set_nonblocking(true).expect("a listener");
        let zone = ["zone-a", "zone-b", "zone-c"][number as usize % 3];
        let born = 1_000 + life;
        store.put("servers", &id, &format!(
            r#"{{"Service":"desk","Address":"{address}","Zone":"{zone}","Version":"v1","Slots":6,"State":"ready","ColdRemainingMs":0,"Sequence":1,"born":{born}}}"#
        ));
        let is_crashed: Arc<Mutex<bool>> = Arc::default();
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        while !*is_crashed.lock().unwrap() {
            match listener.accept() {
                Ok((stream, from)) => {
                    let _ = stream.set_nonblocking(false);
                    if let Ok(other) = stream.try_clone() {
                        streams.lock().unwrap().push(other);
                    }
                    let (id, record, deadly) = (id.clone(), record.clone(), deadly.clone());
                    let is_crashed = Arc::clone(&is_crashed);
                    thread::spawn(move || {
                        let mut connection = Connection::new(stream);
                        let _ = serve(&mut connection, &id, from, &record, &deadly, &is_crashed);
                    });
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
        // All connections end with the process, the one of the deadly request too.
        drop(listener);
        for stream in streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        thread::sleep(BACK_AFTER);
        store.delete("servers", &id);
    }
}

fn serve(
    connection: &mut Connection,
    id: &str,
    from: SocketAddr,
    record: &Record,
    deadly: &Deadly,
    is_crashed: &Mutex<bool>,
) -> io::Result<()> {
    while let Some(head) = connection.request_head()? {
        let attempt = http::header(&head.headers, "attempt-id").unwrap_or("none").to_owned();
        let expected = http::header(&head.headers, "expected-instance").map(str::to_owned);
        let body = connection.body(&head.headers)?;
        if expected.is_some_and(|expected| expected != id) {
            connection.answer(421, &[], b"")?;
            continue;
        }
        if body == DEADLY.as_bytes() {
            record.note(&format!("{id} runs {attempt} from {} and crashes", from.ip()));
            let arrival = Arrival { at: Instant::now(), attempt };
            deadly.arrivals.lock().unwrap().push(arrival);
            *is_crashed.lock().unwrap() = true;
            return Ok(());
        }
        thread::sleep(Duration::from_millis(20));
        let signature = format!("{id}.{attempt}");
        let headers = [("Attempt-Id", attempt.as_str()), ("Response-Signature", &signature)];
        connection.answer(200, &headers, b"done")?;
        connection.stream.flush()?;
    }
    Ok(())
}
