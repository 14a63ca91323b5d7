//! Streams that their callers take up again after all gateways were restarted in turn.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Gateway, loopback};
use crate::http::{self, Connection, HeadOnly};
use crate::record::Record;
use crate::store::Store;
use crate::{BROKEN, HELD, NOT_RUN};

const GATEWAYS: u32 = 3;
const WORKERS: u32 = 3;
const STREAMS: u64 = 24;
/// The rule counts from 12 streams on that are taken up.
const TAKEN_UP_MIN: usize = 12;
const EVENTS: u64 = 40;
const EVENT_PAUSE: Duration = Duration::from_millis(250);
/// As the longest deadline of the site's table.
pub const DEADLINE: Duration = Duration::from_millis(11_000);
/// `GraceS`.
const GRACE: Duration = Duration::from_secs(8);
const UPTIME: Duration = Duration::from_secs(33);
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// What a caller has of a stream.
struct Stream {
    first_attempt: String,
    started_at: Instant,
    last_event: Option<u64>,
    /// Which of the other gateways takes it up.
    is_even: bool,
}

/// How an attempt to read a stream ended.
pub struct Reading {
    pub status: Option<u16>,
    pub events: Vec<u64>,
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
    for number in 0..WORKERS {
        let address = worker(number, record.clone());
        let zone = ["zone-a", "zone-b", "zone-c"][number as usize % 3];
        store.put("servers", &format!("i-{number}"), &format!(
            r#"{{"Service":"models","Address":"{address}","Zone":"{zone}","Version":"v1","Slots":64,"State":"ready","ColdRemainingMs":0,"Stage":"mixed","Models":[{{"Name":"m1","Version":1,"Adapters":[]}}],"Sequence":1,"born":1001}}"#
        ));
    }
    store.put("config", "main", CONFIGURATION);
    let ips: Vec<String> = (1..=GATEWAYS).map(loopback).collect();
    let start_one = |number: u32| Gateway::start(number, folder, store.address, &ips);
    let mut gateways: Vec<Gateway> = (1..=GATEWAYS).map(start_one).collect();
    if !gateways.iter().all(Gateway::wait_ready) {
        record.note("a gateway wasn't ready");
        return NOT_RUN;
    }
    // The gateways have run for longer than they remember streams.
    thread::sleep(UPTIME);
    if has_trouble {
        for number in 0..GATEWAYS as usize - 1 {
            if !restart(&mut gateways, number, &start_one, record) {
                return NOT_RUN;
            }
        }
        thread::sleep(STABLE_WINDOW);
    }
    let fronts: Vec<SocketAddr> = gateways.iter().map(Gateway::front).collect();
    // All streams begin at the last gateway. Callers without trouble break them off by themselves
    // when that gateway would.
    let last = GATEWAYS as usize - 1;
    let broken_at = Instant::now() + Duration::from_millis(8_000);
    let mut callers = Vec::new();
    for _ in 0..STREAMS {
        let (record, front) = (record.clone(), fronts[last]);
        callers.push(thread::spawn(move || begin(front, broken_at, has_trouble, &record)));
    }
    thread::sleep(Duration::from_millis(400));
    if has_trouble {
        record.note("the last gateway gets SIGTERM");
        gateways[last].terminate();
    }
    let streams: Vec<Stream> = callers.into_iter().filter_map(|caller| caller.join().ok()).collect();
    let begun: Vec<Stream> = streams.into_iter().filter(|one| one.last_event.is_some()).collect();
    let taking_up = begun.into_iter().map(|stream| {
        let (record, front) = (record.clone(), fronts[usize::from(stream.is_even)]);
        thread::spawn(move || take_up(&stream, front, &record))
    });
    let taking_up: Vec<_> = taking_up.collect();
    let starting: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, front) = (record.clone(), fronts[number as usize % last]);
            let until = Instant::now() + Duration::from_secs(2);
            thread::spawn(move || begin(front, until, false, &record))
        })
        .collect();
    let count = |threads: Vec<thread::JoinHandle<bool>>| -> (usize, usize) {
        let total = threads.len();
        (total, threads.into_iter().filter_map(|one| one.join().ok()).filter(|goes| *goes).count())
    };
    let (taken_up, going_on) = count(taking_up);
    let new = starting.len();
    let new_streams = starting.into_iter().filter_map(|one| one.join().ok());
    let begin_count = new_streams.filter(|stream| stream.last_event.is_some()).count();
    record.note(&format!(
        "{going_on} of {taken_up} streams that were taken up went on; {begin_count} of {new} new streams began"
    ));
    if taken_up < TAKEN_UP_MIN || begin_count == 0 {
        return NOT_RUN;
    }
    let going_share = going_on as f64 / taken_up as f64;
    let begin_share = begin_count as f64 / new as f64;
    if going_share < begin_share / 2.0 { BROKEN } else { HELD }
}

/// Stops a gateway as the platform does and starts it again; returns whether it is ready in time.
fn restart(
    gateways: &mut [Gateway],
    number: usize,
    start_one: &impl Fn(u32) -> Gateway,
    record: &Record,
) -> bool {
    record.note(&format!("gateway {} gets SIGTERM", gateways[number].ip));
    gateways[number].terminate();
    let asked_at = Instant::now();
    while matches!(gateways[number].child.try_wait(), Ok(None)) {
        if asked_at.elapsed() > GRACE {
            let _ = gateways[number].child.kill();
        }
        thread::sleep(Duration::from_millis(20));
    }
    gateways[number] = start_one(number as u32 + 1);
    let is_ready = gateways[number].wait_ready();
    record.note(&format!("gateway {} was started again, ready: {is_ready}", gateways[number].ip));
    is_ready
}

/// Begins a stream and reads it until its connection breaks, or until the caller breaks it off.
fn begin(front: SocketAddr, until: Instant, reads_on: bool, record: &Record) -> Stream {
    let number = LAST_ID.fetch_add(1, Ordering::SeqCst) + 1;
    let attempt = format!("{number:016x}");
    let started_at = Instant::now();
    let until = if reads_on { started_at + DEADLINE } else { until };
    let reading = read(front, &attempt, "m1", DEADLINE, "", until);
    let last_event = reading.events.last().copied();
    record.note(&format!(
        "{attempt} at {front} got {:?} and events up to {last_event:?}",
        reading.status
    ));
    Stream { first_attempt: attempt, started_at, last_event, is_even: number % 2 == 0 }
}

/// Takes a stream up again at another gateway; returns whether it goes on.
fn take_up(stream: &Stream, front: SocketAddr, record: &Record) -> bool {
    let Some(last_event) = stream.last_event else { return false };
    let attempt = format!("{:016x}", LAST_ID.fetch_add(1, Ordering::SeqCst) + 1);
    let left = DEADLINE.saturating_sub(stream.started_at.elapsed());
    let headers =
        format!("last-event-id: {last_event}\r\nresumes: {}\r\n", stream.first_attempt);
    let until = Instant::now() + Duration::from_millis(1_500).min(left);
    let reading = read(front, &attempt, "m1", left, &headers, until);
    record.note(&format!(
        "{attempt} takes {} up after event {last_event} at {front}, {} ms left: {:?}, events {:?}",
        stream.first_attempt, left.as_millis(), reading.status, reading.events
    ));
    reading.status == Some(200) && reading.events.first() == Some(&(last_event + 1))
}

pub fn read(
    front: SocketAddr,
    attempt: &str,
    model: &str,
    deadline: Duration,
    headers: &str,
    until: Instant,
) -> Reading {
    let mut reading = Reading { status: None, events: Vec::new() };
    let Ok(mut stream) = TcpStream::connect(front) else { return reading };
    let head = format!(
        "POST /brief/1 HTTP/1.1\r\nhost: site.example\r\nattempt-id: {attempt}\r\ncredential: k3y-of-the-office\r\nmodel: {model}\r\ntoken-count: 600,200\r\nprompt-prefix: aa:150,{attempt}:450\r\n{headers}deadline-ms: {}\r\ncontent-length: 5\r\n\r\nbrief",
        deadline.as_millis()
    );
    let _ = stream.write_all(head.as_bytes());
    let _ = stream.set_read_timeout(Some(Duration::from_millis(50)));
    let mut received = Vec::new();
    let mut bytes = [0; 4096];
    while Instant::now() < until {
        match stream.read(&mut bytes) {
            Ok(0) => break,
            Ok(length) => received.extend_from_slice(&bytes[..length]),
            Err(error) if matches!(
                error.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
            ) => {}
            Err(_) => break,
        }
    }
    let text = String::from_utf8_lossy(&received);
    reading.status = text.split(' ').nth(1).and_then(|status| status.parse().ok());
    if reading.status == Some(200) {
        let ids = text.split("id: ").skip(1).filter_map(|rest| {
            let (id, rest) = rest.split_once('\n')?;
            rest.contains("\n\n").then(|| id.parse().ok()).flatten()
        });
        reading.events = ids.collect();
    }
    reading
}

const CONFIGURATION: &str = r#"{"Version":3,"Routes":[{"Name":"brief","Host":"site.example","PathPrefix":"/brief/","Type":"streaming","TimeoutMs":11000,"SloMs":400,"Priority":0,"Service":"models","MaxAttempts":2,"Public":false,"Sticky":true,"Resumable":true,"GapTargetMs":400}],"Services":[{"Name":"models","HealthPath":"/healthz","MaxConns":370,"Protocol":"h1","Tls":false,"Engine":{"Slots":64,"KvCapacity":251172,"Models":[{"Name":"m1","WeightsMb":65100,"LoadS":6.0,"Adapters":0,"AdapterMb":12.0,"WarmS":0.38,"DiskLoadS":0.49}],"WeightsMb":220000.0,"AdapterSlots":8,"LoadsPerS":7.7}}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"office","ApiKeys":["k3y-of-the-office"],"Priority":1,"Unit":"token_rate","UncachedTokens":200,"RatePerS":1000000,"Burst":1000000}]}"#;

fn worker(number: u32, record: Record) -> SocketAddr {
    let listener = TcpListener::bind((loopback(100 + number), 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handler = move |connection: &mut Connection, head: HeadOnly| -> io::Result<bool> {
        let received = |name| http::header(&head.headers, name).map(str::to_owned);
        let attempt = received("attempt-id").unwrap_or_default();
        let after = received("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let expected = received("expected-instance");
        connection.body(&head.headers)?;
        if expected.is_some_and(|expected| expected != format!("i-{number}")) {
            connection.answer(421, &[], b"")?;
            return Ok(true);
        }
        if head.target == "/v1/report" {
            connection.answer(
                200,
                &[("content-type", "application/json")],
                br#"{"Stage":"mixed","Models":[{"Name":"m1","Version":1,"Adapters":[]}],"Busy":false,"Sequence":0,"Queued":0,"Active":1,"KvUsed":0,"KvTotal":251172,"Handles":0,"born":1001}"#,
            )?;
            return Ok(true);
        }
        if !head.target.starts_with("/brief/") {
            connection.answer(404, &[], b"")?;
            return Ok(true);
        }
        record.note(&format!("i-{number} runs {attempt} from event {}", after + 1));
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\nattempt-id: {attempt}\r\nresponse-signature: i-{number}.{attempt}\r\nweight-versions: 1\r\n\r\n"
        );
        connection.stream.write_all(head.as_bytes())?;
        for id in after + 1..=EVENTS {
            let event = format!("id: {id}\ndata: event {id}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            connection.stream.write_all(chunk.as_bytes())?;
            thread::sleep(EVENT_PAUSE);
        }
        connection.stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    };
    http::serve(listener, Arc::new(handler));
    address
}
