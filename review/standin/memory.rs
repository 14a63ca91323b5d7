//! Many callers send bodies of the largest allowed size while targets pause.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Gateway, loopback};
use crate::http::{self, Connection, HeadOnly};
use crate::record::Record;
use crate::store::Store;
use crate::{BROKEN, HELD, NOT_RUN};

/// `MaxBodyBytes` of the pages' example and of the site's configuration.
const BODY_BYTES: usize = 4_194_304;
const MEMORY_BYTES: u64 = 260 * 1_048_576;
const BIG_CALLERS: u64 = 15;
const SMALL_CALLERS: u64 = 6;
const WORKERS: u32 = 6;
const SLOTS: u32 = 24;
/// How long a request of a worker takes.
const WORK: Duration = Duration::from_millis(120);
/// "A sound worker may fall silent for a second or so and go on."
const SILENCE: Duration = Duration::from_millis(1_200);
/// How much later the other workers fall silent.
const OTHERS_LATER: Duration = Duration::from_millis(720);
const DEADLINE_MS: u64 = 3_000;
/// More than three lost requests break the rule.
const LOST_MAX: u64 = 3;

/// When the workers fall silent, and until when.
type Silence = Arc<Mutex<Option<(Instant, Instant)>>>;

static LAST_ID: AtomicU64 = AtomicU64::new(0);

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
    let silences = [Silence::default(), Silence::default()];
    for number in 0..WORKERS {
        let silence = Arc::clone(&silences[usize::from(number > 0)]);
        let address = worker(number, record.clone(), silence);
        let zone = ["zone-a", "zone-b", "zone-c"][number as usize % 3];
        let entry = format!(
            r#"{{"Service":"desk","Address":"{address}","Zone":"{zone}","Version":"v1","Slots":{SLOTS},"State":"ready","ColdRemainingMs":0,"Sequence":1,"born":1}}"#
        );
        store.put("servers", &format!("i-{number}"), &entry);
    }
    store.put("config", "main", &configuration());
    let ips = [loopback(1), loopback(2)];
    let mut gateway = Gateway::start(1, folder, store.address, &ips);
    let other = Gateway::start(2, folder, store.address, &ips);
    if !gateway.wait_ready() || !other.wait_ready() {
        record.note("a gateway wasn't ready");
        return NOT_RUN;
    }
    // The machine counts as in touch after `StableWindowMs`.
    thread::sleep(Duration::from_secs(4));
    let stop = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicU64::new(0));
    let answered = Arc::new(AtomicU64::new(0));
    let front = gateway.front();
    let mut callers = Vec::new();
    for number in 0..BIG_CALLERS + SMALL_CALLERS {
        let body = if number < BIG_CALLERS { BODY_BYTES } else { 200 };
        let (record, stop) = (record.clone(), Arc::clone(&stop));
        let (lost, answered) = (Arc::clone(&lost), Arc::clone(&answered));
        callers.push(thread::spawn(move || {
            caller(front, body, &record, &stop, &lost, &answered);
        }));
    }
    let start = Instant::now();
    let mut peak_bytes = 0;
    let mut is_killed = false;
    let mut next_silence = Duration::from_secs(2);
    while start.elapsed() < Duration::from_secs(14) {
        if has_trouble && start.elapsed() >= next_silence && !is_killed {
            let now = Instant::now();
            let later = now + OTHERS_LATER;
            *silences[1].lock().unwrap() = Some((now, now + SILENCE));
            *silences[0].lock().unwrap() = Some((later, later + SILENCE));
            record.note("workers i-1 to i-5 fall silent for 1.2 s, i-0 0.72 s later");
            next_silence += Duration::from_secs(4);
        }
        if let Some(bytes) = gateway.memory_bytes() {
            if bytes > peak_bytes {
                peak_bytes = bytes;
            }
            if bytes > MEMORY_BYTES && !is_killed {
                record.note(&format!(
                    "edge-1 has {bytes} bytes in memory, over its limit of {MEMORY_BYTES}: the platform kills it"
                ));
                is_killed = true;
                let _ = gateway.child.kill();
                let _ = gateway.child.wait();
            }
        } else if !is_killed {
            record.note("edge-1 has ended by itself");
            is_killed = true;
        }
        if is_killed && start.elapsed() > Duration::from_secs(2) {
            thread::sleep(Duration::from_millis(300));
            break;
        }
        thread::sleep(Duration::from_millis(1));
    }
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let (lost, answered) = (lost.load(Ordering::SeqCst), answered.load(Ordering::SeqCst));
    record.note(&format!(
        "peak memory {peak_bytes} bytes; {answered} requests answered; {lost} requests on kept connections passed on and closed without an answer"
    ));
    if answered == 0 {
        return NOT_RUN;
    }
    if lost > LOST_MAX { BROKEN } else { HELD }
}

fn configuration() -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            r#"{{"Name":"{name}","Host":"site.example","PathPrefix":"/{name}/","Type":"{kind}","TimeoutMs":3000,"SloMs":300,"Priority":2,"Service":"desk","MaxAttempts":{attempts},"Public":false,"Resumable":false}}"#
        )
    };
    format!(
        r#"{{"Version":3,"Routes":[{},{}],"Services":[{{"Name":"desk","HealthPath":"/healthz","MaxConns":110,"Protocol":"h1","Tls":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":{BODY_BYTES},"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"office","ApiKeys":["k3y-of-the-office"],"Priority":1,"Unit":"token_rate","UncachedTokens":1,"RatePerS":100000,"Burst":100000}}]}}"#,
        route("fetch", "idempotent", 2),
        route("order", "non_idempotent", 1),
    )
}

fn worker(number: u32, record: Record, silence: Silence) -> SocketAddr {
    let listener = TcpListener::bind((loopback(100 + number), 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handler = move |connection: &mut Connection, head: HeadOnly| -> io::Result<bool> {
        let id = http::header(&head.headers, "attempt-id").unwrap_or("none").to_owned();
        wait_while_silent(&silence);
        if head.target == "/healthz" {
            connection.answer(200, &[("Instance-Id", &format!("i-{number}"))], b"")?;
            return Ok(true);
        }
        let expected = http::header(&head.headers, "expected-instance");
        if expected.is_some_and(|expected| *expected != format!("i-{number}")) {
            connection.answer(421, &[], b"")?;
            return Ok(true);
        }
        let body = connection.body(&head.headers)?;
        wait_while_silent(&silence);
        record.note(&format!("i-{number} runs {id} ({} bytes)", body.len()));
        thread::sleep(WORK);
        wait_while_silent(&silence);
        let signature = format!("i-{number}.{id}");
        connection.answer(
            200,
            &[("Attempt-Id", &id), ("Response-Signature", &signature)],
            b"done",
        )?;
        Ok(true)
    };
    http::serve(listener, Arc::new(handler));
    address
}

fn wait_while_silent(silence: &Silence) {
    loop {
        let now = Instant::now();
        match *silence.lock().unwrap() {
            Some((from, until)) if from <= now && now < until => {}
            _ => return,
        }
        thread::sleep(Duration::from_millis(5));
    }
}

fn caller(
    front: SocketAddr,
    body_bytes: usize,
    record: &Record,
    stop: &AtomicBool,
    lost: &AtomicU64,
    answered: &AtomicU64,
) {
    let body = vec![b'x'; body_bytes];
    let mut kept: Option<Connection> = None;
    while !stop.load(Ordering::SeqCst) {
        let is_kept = kept.is_some();
        let mut connection = match kept.take() {
            Some(connection) => connection,
            None => match http::connect(front) {
                Ok(connection) => connection,
                Err(_) => return,
            },
        };
        let id = format!("{:016x}", LAST_ID.fetch_add(1, Ordering::SeqCst) + 1);
        // The first request on a connection is a small one.
        let is_big = is_kept && body_bytes > 1_000;
        let sent: &[u8] = if is_big { &body } else { b"small" };
        let head = format!(
            "POST /fetch/1 HTTP/1.1\r\nhost: site.example\r\nattempt-id: {id}\r\ncredential: k3y-of-the-office\r\ndeadline-ms: {DEADLINE_MS}\r\ncontent-length: {}\r\n\r\n",
            sent.len()
        );
        if is_big {
            record.note(&format!("{id} is sent, {} bytes", sent.len()));
        }
        match connection.call(&head, sent) {
            Ok(answer) => {
                answered.fetch_add(1, Ordering::SeqCst);
                if is_big || answer.status != 200 {
                    record.note(&format!("{id} is answered {}", answer.status));
                }
                if answer.header("connection") != Some("close") {
                    kept = Some(connection);
                }
            }
            Err(error) => {
                record.note(&format!("{id} gets no answer: {error}"));
                if is_kept {
                    lost.fetch_add(1, Ordering::SeqCst);
                }
            }
        }
        thread::sleep(Duration::from_millis(if is_big { 20 } else { 50 }));
    }
}
