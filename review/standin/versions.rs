//! Streams of a model whose only engine of their software version crashes.

use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Gateway, loopback};
use crate::http::{self, Connection, HeadOnly};
use crate::record::Record;
use crate::store::{Store, field};
use crate::streams::{Reading, read};
use crate::{BROKEN, HELD, NOT_RUN};

const GATEWAYS: u32 = 3;
const TAKEN_UP_MIN: usize = 12;
const EVENTS: u64 = 16;
/// How long the streams come before the crash, and the pause between the beginnings of two.
const STEADY: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(110);
const EVENT_PAUSE: Duration = Duration::from_millis(250);
/// As the deadline of the resumable requests of the site's table.
const DEADLINE: Duration = Duration::from_millis(5_000);
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// `LoadS` of the site's models, for a worker that has no copy of the weights.
const LOAD: Duration = Duration::from_secs(6);
/// "The worker is back after some seconds."
const BACK_AFTER: Duration = Duration::from_secs(4);

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
    let engine = |number, version, models| {
        Engine::start(number, version, models, store.clone(), record.clone())
    };
    let busy = ["m1", "m2", "m3"];
    let holders = [engine(1, "v1", &busy), engine(2, "v2", &busy)];
    let _others = [
        engine(3, "v1", &["m4"]),
        engine(4, "v2", &["m4"]),
        engine(5, "v1", &["m5"]),
        engine(6, "v2", &["m5"]),
    ];
    store.put("config", "main", CONFIGURATION);
    let ips: Vec<String> = (1..=GATEWAYS).map(loopback).collect();
    let gateways: Vec<Gateway> =
        (1..=GATEWAYS).map(|number| Gateway::start(number, folder, store.address, &ips)).collect();
    if !gateways.iter().all(Gateway::wait_ready) {
        record.note("a gateway wasn't ready");
        return NOT_RUN;
    }
    thread::sleep(STABLE_WINDOW + Duration::from_millis(500));
    let fronts: Vec<SocketAddr> = gateways.iter().map(Gateway::front).collect();
    let crash_at = Instant::now() + STEADY;
    let mut callers = Vec::new();
    let mut is_crashed = false;
    for number in 1.. {
        let now = Instant::now();
        if now >= crash_at && !is_crashed {
            is_crashed = true;
            if has_trouble {
                // The one that most streams run at.
                let Some(crashing) = holders.iter().max_by_key(|holder| holder.running()) else {
                    return NOT_RUN;
                };
                record.note(&format!("engine {} ({}) crashes", crashing.id(), crashing.version));
                crashing.crash();
            }
        }
        if now >= crash_at + Duration::from_secs(4) {
            break;
        }
        let front = fronts[number as usize % fronts.len()];
        let next = fronts[(number as usize + 1) % fronts.len()];
        let caller = Caller { number, front, next, crash_at, has_trouble };
        let record = record.clone();
        callers.push(thread::spawn(move || caller.stream(&record)));
        thread::sleep(PAUSE);
    }
    let outcomes: Vec<Outcome> =
        callers.into_iter().filter_map(|caller| caller.join().ok()).collect();
    let count = |meant: &[Outcome]| outcomes.iter().filter(|one| meant.contains(one)).count();
    let going_on = count(&[Outcome::TakenUp { goes_on: true }]);
    let taken_up = going_on + count(&[Outcome::TakenUp { goes_on: false }]);
    let begun = count(&[Outcome::New { begins: true }]);
    let new = begun + count(&[Outcome::New { begins: false }]);
    record.note(&format!(
        "{going_on} of {taken_up} streams that were taken up went on; {begun} of {new} new streams began"
    ));
    if taken_up < TAKEN_UP_MIN || begun == 0 {
        return NOT_RUN;
    }
    let going_share = going_on as f64 / taken_up as f64;
    if going_share < begun as f64 / new as f64 / 2.0 { BROKEN } else { HELD }
}

/// What became of a stream, as far as the rule counts it.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    /// It ended before the crash, or went on through it.
    Other,
    TakenUp {
        goes_on: bool,
    },
    /// It was to begin after the crash.
    New {
        begins: bool,
    },
}

struct Caller {
    number: u64,
    front: SocketAddr,
    next: SocketAddr,
    crash_at: Instant,
    has_trouble: bool,
}

impl Caller {
    /// Reads a stream and takes it up once at the next gateway, if it breaks.
    fn stream(&self, record: &Record) -> Outcome {
        let Caller { number, front, next, crash_at, has_trouble } = *self;
        let started_at = Instant::now();
        let model = format!("m{}", number % 3 + 1);
        let attempt = format!("{number:016x}");
        // Without trouble the callers break their streams off by themselves.
        let breaks_off = !has_trouble && started_at < crash_at;
        let until = if breaks_off { crash_at } else { started_at + DEADLINE };
        let until = until.min(started_at + DEADLINE);
        let reading = read(front, &attempt, &model, DEADLINE, "", until);
        note(record, &format!("{attempt} ({model}) at {front}"), &reading);
        let last_event = reading.events.last().copied();
        if started_at > crash_at {
            return Outcome::New { begins: last_event.is_some() };
        }
        let left = DEADLINE.saturating_sub(started_at.elapsed());
        let Some(last_event) = last_event.filter(|last| *last < EVENTS && !left.is_zero()) else {
            return Outcome::Other;
        };
        let again = format!("{:016x}", 10_000 + number);
        let headers = format!("last-event-id: {last_event}\r\nresumes: {attempt}\r\n");
        let reading = read(next, &again, &model, left, &headers, Instant::now() + left);
        let left_ms = left.as_millis();
        note(
            record,
            &format!("{again} takes {attempt} up after event {last_event} at {next}, {left_ms} ms left"),
            &reading,
        );
        let goes_on = reading.status == Some(200) && reading.events.first() == Some(&(last_event + 1));
        Outcome::TakenUp { goes_on }
    }
}

fn note(record: &Record, what: &str, reading: &Reading) {
    record.note(&format!("{what}: {:?}, events {:?}", reading.status, reading.events));
}

const CONFIGURATION: &str = r#"{"Version":3,"Routes":[{"Name":"brief","Host":"site.example","PathPrefix":"/brief/","Type":"streaming","TimeoutMs":5000,"SloMs":400,"Priority":0,"Service":"models","MaxAttempts":2,"Public":false,"Sticky":true,"Resumable":true,"GapTargetMs":400}],"Services":[{"Name":"models","HealthPath":"/healthz","MaxConns":370,"Protocol":"h1","Tls":false,"Engine":{"Slots":64,"KvCapacity":251172,"Models":[{"Name":"m1","WeightsMb":65100,"LoadS":6.0,"Adapters":0,"AdapterMb":12.0,"WarmS":0.38,"DiskLoadS":0.49},{"Name":"m2","WeightsMb":65100,"LoadS":6.0,"Adapters":0,"AdapterMb":12.0,"WarmS":0.38,"DiskLoadS":0.49},{"Name":"m3","WeightsMb":65100,"LoadS":6.0,"Adapters":0,"AdapterMb":12.0,"WarmS":0.38,"DiskLoadS":0.49},{"Name":"m4","WeightsMb":65100,"LoadS":6.0,"Adapters":0,"AdapterMb":12.0,"WarmS":0.38,"DiskLoadS":0.49},{"Name":"m5","WeightsMb":65100,"LoadS":6.0,"Adapters":0,"AdapterMb":12.0,"WarmS":0.38,"DiskLoadS":0.49}],"WeightsMb":220000.0,"AdapterSlots":8,"LoadsPerS":7.7}}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"office","ApiKeys":["k3y-of-the-office"],"Priority":1,"Unit":"token_rate","UncachedTokens":200,"RatePerS":1000000,"Burst":1000000}]}"#;

/// An engine that loads models on orders and can crash.
#[derive(Clone)]
struct Engine {
    number: u32,
    version: &'static str,
    address: SocketAddr,
    store: Store,
    record: Record,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Default)]
struct Inner {
    life: u32,
    is_down: bool,
    models: Vec<String>,
    loading: Option<String>,
    sequence: u64,
    streams: Vec<TcpStream>,
    running: usize,
}

impl Engine {
    fn start(
        number: u32,
        version: &'static str,
        models: &[&str],
        store: Store,
        record: Record,
    ) -> Engine {
        let listener = TcpListener::bind((loopback(100 + number), 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let models = models.iter().map(|model| (*model).to_owned()).collect();
        let inner = Arc::new(Mutex::new(Inner { life: 1, models, ..Inner::default() }));
        let engine = Engine { number, version, address, store, record, inner };
        engine.write_entry();
        engine.serve(listener);
        engine
    }

    fn id(&self) -> String {
        format!("i-{}-{}", self.number, self.inner.lock().unwrap().life)
    }

    fn running(&self) -> usize {
        self.inner.lock().unwrap().running
    }

    fn models(&self) -> String {
        let inner = self.inner.lock().unwrap();
        let model = |name: &String| format!(r#"{{"Name":"{name}","Version":1,"Adapters":[]}}"#);
        inner.models.iter().map(model).collect::<Vec<_>>().join(",")
    }

    fn write_entry(&self) {
        let (id, models) = (self.id(), self.models());
        let zone = ["zone-a", "zone-b", "zone-c"][self.number as usize % 3];
        let (address, version) = (self.address, self.version);
        self.store.put("servers", &id, &format!(
            r#"{{"Service":"models","Address":"{address}","Zone":"{zone}","Version":"{version}","Slots":64,"State":"ready","ColdRemainingMs":0,"Stage":"mixed","Models":[{models}],"Sequence":1,"born":1001}}"#
        ));
    }

    fn serve(&self, listener: TcpListener) {
        let engine = self.clone();
        listener.set_nonblocking(true).expect("a listener");
        thread::spawn(move || {
            while !engine.inner.lock().unwrap().is_down {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(other) = stream.try_clone() {
                    engine.inner.lock().unwrap().streams.push(other);
                }
                let engine = engine.clone();
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(head)) = connection.request_head() {
                        if !matches!(engine.answer(&mut connection, head), Ok(true)) {
                            return;
                        }
                    }
                });
            }
        });
    }

    /// Ends all connections and listens again some seconds later, as a new engine without models.
    fn crash(&self) {
        let old_id = self.id();
        let streams = {
            let mut inner = self.inner.lock().unwrap();
            inner.is_down = true;
            std::mem::take(&mut inner.streams)
        };
        for stream in streams {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(BACK_AFTER);
            engine.store.delete("servers", &old_id);
            {
                let mut inner = engine.inner.lock().unwrap();
                let life = inner.life + 1;
                *inner = Inner { life, ..Inner::default() };
            }
            if let Ok(listener) = TcpListener::bind(engine.address) {
                engine.write_entry();
                engine.serve(listener);
            }
        });
    }

    fn answer(&self, connection: &mut Connection, head: HeadOnly) -> io::Result<bool> {
        let received = |name| http::header(&head.headers, name).map(str::to_owned);
        let attempt = received("attempt-id").unwrap_or_default();
        let body = connection.body(&head.headers)?;
        let id = self.id();
        if received("expected-instance").is_some_and(|expected| expected != id) {
            connection.answer(421, &[], b"")?;
            return Ok(true);
        }
        match head.target.as_str() {
            "/v1/report" => self.report(connection)?,
            "/v1/order" => self.order(connection, &String::from_utf8_lossy(&body))?,
            target if target.starts_with("/brief/") => {
                let model = received("model").unwrap_or_default();
                if !self.inner.lock().unwrap().models.contains(&model) {
                    connection.answer(421, &[("Attempt-Id", &attempt)], b"")?;
                    return Ok(true);
                }
                let after = received("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
                self.record.note(&format!("{id} ({}) runs {attempt} from event {}", self.version, after + 1));
                self.inner.lock().unwrap().running += 1;
                let ended = self.stream(connection, &id, &attempt, after);
                let mut inner = self.inner.lock().unwrap();
                inner.running = inner.running.saturating_sub(1);
                drop(inner);
                ended?;
            }
            _ => connection.answer(404, &[], b"")?,
        }
        Ok(true)
    }

    fn stream(
        &self,
        connection: &mut Connection,
        id: &str,
        attempt: &str,
        after: u64,
    ) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\nattempt-id: {attempt}\r\nresponse-signature: {id}.{attempt}\r\nweight-versions: 1\r\n\r\n"
        );
        connection.stream.write_all(head.as_bytes())?;
        for event_id in after + 1..=EVENTS {
            let event = format!("id: {event_id}\ndata: event {event_id}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            connection.stream.write_all(chunk.as_bytes())?;
            thread::sleep(EVENT_PAUSE);
        }
        connection.stream.write_all(b"0\r\n\r\n")
    }

    fn report(&self, connection: &mut Connection) -> io::Result<()> {
        let models = self.models();
        let (is_busy, sequence) = {
            let inner = self.inner.lock().unwrap();
            (inner.loading.is_some(), inner.sequence)
        };
        let body = format!(
            r#"{{"Stage":"mixed","Models":[{models}],"Busy":{is_busy},"Sequence":{sequence},"Queued":0,"Active":1,"KvUsed":0,"KvTotal":251172,"Handles":0,"born":1001}}"#
        );
        connection.answer(200, &[("content-type", "application/json")], body.as_bytes())
    }

    fn order(&self, connection: &mut Connection, body: &str) -> io::Result<()> {
        let text = |name| field(body, name).map(|text| text.trim_matches('"').to_owned());
        let (operation, model) = (text("Operation"), text("Model").unwrap_or_default());
        let expected = text("Expect").and_then(|text| text.parse::<u64>().ok());
        let status = {
            let mut inner = self.inner.lock().unwrap();
            let is_held = inner.models.contains(&model);
            let is_load = operation.as_deref() == Some("load");
            if inner.loading.is_some() || expected.is_some_and(|count| count != inner.sequence) {
                409
            } else if is_held == is_load {
                200
            } else {
                inner.sequence += 1;
                inner.loading = Some(model.clone());
                202
            }
        };
        self.record.note(&format!("{} is ordered: {operation:?} {model}: {status}", self.id()));
        if status == 202 {
            let (engine, is_load) = (self.clone(), operation.as_deref() == Some("load"));
            let life = self.inner.lock().unwrap().life;
            thread::spawn(move || {
                thread::sleep(if is_load { LOAD } else { Duration::from_millis(100) });
                {
                    let mut inner = engine.inner.lock().unwrap();
                    if inner.life != life || inner.is_down {
                        return;
                    }
                    inner.loading = None;
                    inner.models.retain(|held| *held != model);
                    if is_load {
                        inner.models.push(model);
                    }
                }
                engine.write_entry();
            });
        }
        connection.answer(status, &[], b"")
    }
}
