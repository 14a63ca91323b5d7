//! Workers: sound servers of plain answers and of event streams, which register in the store.

use std::collections::VecDeque;
use std::io::Write;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, RawFd};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{answer, Head, Reader};
use crate::json::{number, object, text, Json};
use crate::record::Record;
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// How long after the first such answer a brittle worker lets none wait and may fall over.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// How long a load takes if the weights are in memory.
const WARM_LOAD: Duration = Duration::from_millis(400);
/// How long a worker that fell over is away.
const AWAY: Duration = Duration::from_secs(3);

#[derive(Clone)]
pub struct Description {
    pub id: String,
    pub service: String,
    pub version: String,
    pub zone: String,
    pub slots: usize,
    /// How many requests may wait for a slot.
    pub queue: usize,
    /// The models that it holds; none for a plain service.
    pub models: Vec<String>,
    /// How long a plain request takes.
    pub work_ms: u64,
    /// The events of a stream, and the pause between two of them.
    pub events: u64,
    pub pause_ms: u64,
    /// The requests that it may turn away in a second without falling over.
    pub brittle: Option<usize>,
    /// The requests a second that it takes from all machines together, if it is in need.
    pub limit: Option<f64>,
    /// How long a load takes.
    pub load_time: Duration,
    /// How many models it can hold.
    pub models_max: usize,
}

/// What a worker holds of requests.
#[derive(Default)]
struct Room {
    running: usize,
    waiting: usize,
    /// When requests were turned away for want of room, in the last second.
    rejected: VecDeque<Instant>,
    /// When it first said that it is brittle.
    brittle_since: Option<Instant>,
    most_rejected: usize,
}

pub struct Worker {
    pub what: Description,
    pub address: SocketAddr,
    store: Arc<Store>,
    record: Record,
    is_down: AtomicBool,
    is_listening: AtomicBool,
    is_draining: AtomicBool,
    /// Whether streams that begin now end with their connection.
    states_no_end: AtomicBool,
    /// Until when it sends and answers nothing.
    silent_until: Mutex<Option<Instant>>,
    /// When requests began to run, in seconds of the record.
    run_times: Mutex<Vec<f64>>,
    /// Whether its entry is of its present life.
    has_entry: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    room: Mutex<Room>,
    freed: Condvar,
    runs: AtomicU64,
    falls: AtomicU64,
    born: AtomicU64,
    sequence: AtomicU64,
    /// The machine that is partitioned from it.
    cut_from: Mutex<Option<Ipv4Addr>>,
    listener: AtomicU64,
    /// The version of its software, which may be another one after a restart.
    version: Mutex<String>,
    engine: Mutex<Engine>,
}

/// What an engine holds, and the orders that it has accepted.
struct Engine {
    models: Vec<String>,
    /// The models whose weights are in its host memory.
    copies: Vec<String>,
    is_busy: bool,
    orders: u64,
}

enum Place {
    Taken,
    Rejected,
}

/// Makes a socket of this process hear nothing from an address, as behind a partition: packets from
/// there are dropped, so that connections hang.
fn drop_packets_from(socket: RawFd, address: Ipv4Addr, is_dropped: bool) {
    #[repr(C)]
    struct Step {
        code: u16,
        jump_true: u8,
        jump_false: u8,
        value: u32,
    }
    #[repr(C)]
    struct Program {
        length: u16,
        steps: *const Step,
    }
    unsafe extern "C" {
        fn setsockopt(
            socket: i32,
            level: i32,
            name: i32,
            value: *const Program,
            length: u32,
        ) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_ATTACH_FILTER: i32 = 26;
    const SO_DETACH_FILTER: i32 = 27;
    /// Where the source address stands in the network header.
    const SOURCE: u32 = 0xfff0_0000 + 12;
    let step = |code, jump_true, jump_false, value| Step { code, jump_true, jump_false, value };
    let steps = [
        step(0x20, 0, 0, SOURCE),
        step(0x15, 0, 1, u32::from(address)),
        step(0x06, 0, 0, 0),
        step(0x06, 0, 0, u32::MAX),
    ];
    let program = Program { length: 4, steps: steps.as_ptr() };
    let name = if is_dropped { SO_ATTACH_FILTER } else { SO_DETACH_FILTER };
    let length = size_of::<Program>() as u32;
    // The structures are those of the C library, and live until the call has ended.
    let status = unsafe { setsockopt(socket, SOL_SOCKET, name, &program, length) };
    if status != 0 && is_dropped {
        eprintln!("a socket filter can't be set: {}", std::io::Error::last_os_error());
        std::process::exit(2);
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

impl Worker {
    /// Starts a worker, which registers itself.
    pub fn start(what: Description, ip: &str, store: &Arc<Store>, record: &Record) -> Arc<Worker> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let version = what.version.clone();
        let engine = Engine {
            models: what.models.clone(),
            copies: what.models.clone(),
            is_busy: false,
            orders: 0,
        };
        let worker = Arc::new(Worker {
            what,
            address: listener.local_addr().expect("an address"),
            store: Arc::clone(store),
            record: record.clone(),
            is_down: AtomicBool::new(false),
            is_listening: AtomicBool::new(true),
            has_entry: AtomicBool::new(true),
            is_draining: AtomicBool::new(false),
            states_no_end: AtomicBool::new(false),
            silent_until: Mutex::new(None),
            run_times: Mutex::default(),
            connections: Mutex::default(),
            room: Mutex::default(),
            freed: Condvar::new(),
            runs: AtomicU64::new(0),
            falls: AtomicU64::new(0),
            born: AtomicU64::new(unix_ms()),
            sequence: AtomicU64::new(0),
            cut_from: Mutex::default(),
            listener: AtomicU64::new(listener.as_raw_fd() as u64),
            version: Mutex::new(version),
            engine: Mutex::new(engine),
        });
        worker.register();
        record.note(&format!(
            "worker {} (version {}) registers",
            worker.what.id, worker.what.version
        ));
        let beating = Arc::clone(&worker);
        thread::spawn(move || loop {
            thread::sleep(HEARTBEAT);
            if !beating.is_down.load(Ordering::SeqCst) && beating.has_entry.load(Ordering::SeqCst) {
                beating.register();
            }
        });
        let listening = Arc::clone(&worker);
        thread::spawn(move || listening.listen(listener));
        worker
    }

    /// How often it fell over, and the most requests that it turned away in a second.
    pub fn falls(&self) -> (u64, usize) {
        (self.falls.load(Ordering::SeqCst), self.room.lock().expect("no panic").most_rejected)
    }

    /// Reports that it leaves; returns when the store has accepted that, in seconds of the record.
    pub fn drain(&self) -> f64 {
        self.is_draining.store(true, Ordering::SeqCst);
        self.register();
        self.record
            .note(&format!("the store has accepted that worker {} is draining", self.what.id));
        self.record.seconds()
    }

    /// Sends and answers nothing for a while, and goes on.
    pub fn fall_silent(&self, time: Duration) {
        self.record.note(&format!("worker {} falls silent for {time:?}", self.what.id));
        *self.silent_until.lock().expect("no panic") = Some(Instant::now() + time);
    }

    /// Lets streams that begin from now on end with their connection.
    pub fn state_no_end(&self) {
        self.states_no_end.store(true, Ordering::SeqCst);
    }

    fn wait_while_silent(&self) {
        let until = *self.silent_until.lock().expect("no panic");
        if let Some(until) = until {
            thread::sleep(until.saturating_duration_since(Instant::now()));
        }
    }

    /// When requests began to run, in seconds of the record.
    pub fn run_times(&self) -> Vec<f64> {
        self.run_times.lock().expect("no panic").clone()
    }

    fn listen(self: &Arc<Worker>, mut listener: TcpListener) {
        loop {
            let _ = listener.set_nonblocking(true);
            self.listener.store(listener.as_raw_fd() as u64, Ordering::SeqCst);
            while !self.is_down.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        if let Some(machine) = *self.cut_from.lock().expect("no panic") {
                            drop_packets_from(stream.as_raw_fd(), machine, true);
                        }
                        if let Ok(copy) = stream.try_clone() {
                            self.connections.lock().expect("no panic").push(copy);
                        }
                        let worker = Arc::clone(self);
                        thread::spawn(move || worker.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(listener);
            self.is_listening.store(false, Ordering::SeqCst);
            while self.is_down.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(10));
            }
            listener = loop {
                match TcpListener::bind(self.address) {
                    Ok(bound) => break bound,
                    Err(_) => thread::sleep(Duration::from_millis(20)),
                }
            };
            self.is_listening.store(true, Ordering::SeqCst);
        }
    }

    fn register(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let is_draining = self.is_draining.load(Ordering::SeqCst);
        let state = if is_draining { "draining" } else { "ready" };
        let entry = object([
            ("Service", text(&self.what.service)),
            ("Address", text(&self.address.to_string())),
            ("Zone", text(&self.what.zone)),
            ("Version", text(&self.version.lock().expect("no panic"))),
            ("Slots", number(self.what.slots as f64)),
            ("State", text(state)),
            ("ColdRemainingMs", number(0)),
            ("Stage", text("mixed")),
            ("Models", self.models()),
            ("Available", self.available()),
            ("Sequence", number(sequence as f64)),
            ("born", number(self.born.load(Ordering::SeqCst) as f64)),
        ]);
        self.store.put("servers", &self.what.id, entry);
    }

    fn models(&self) -> Json {
        let model = |name: &String| {
            object([
                ("Name", text(name)),
                ("Version", number(1)),
                ("Adapters", Json::List(Vec::new())),
            ])
        };
        Json::List(self.engine.lock().expect("no panic").models.iter().map(model).collect())
    }

    fn available(&self) -> Json {
        let copies = self.engine.lock().expect("no panic").copies.clone();
        let names = || Json::List(copies.iter().map(|name| text(name)).collect());
        object([("InMemory", names()), ("OnDisk", names())])
    }

    /// Partitions the worker from a machine, or heals the partition: old and new connections hang.
    pub fn cut(&self, machine: Ipv4Addr, is_cut: bool) {
        *self.cut_from.lock().expect("no panic") = is_cut.then_some(machine);
        drop_packets_from(self.listener.load(Ordering::SeqCst) as RawFd, machine, is_cut);
        for stream in self.connections.lock().expect("no panic").iter() {
            drop_packets_from(stream.as_raw_fd(), machine, is_cut);
        }
    }

    /// Carries an order out, or says why not.
    fn order(self: &Arc<Worker>, order: &str) -> u16 {
        let Some(order) = Json::parse(order) else { return 400 };
        let field = |name: &str| order.get(name).and_then(Json::text);
        let (Some(operation), Some(model)) = (field("Operation"), field("Model")) else {
            return 400;
        };
        if field("Holder").is_none() || order.get("FencingToken").and_then(Json::number).is_none() {
            return 400;
        }
        let mut engine = self.engine.lock().expect("no panic");
        let expected = order.get("Expect").and_then(Json::number);
        if engine.is_busy || expected.is_some_and(|expected| expected as u64 != engine.orders) {
            return 409;
        }
        let is_held = engine.models.iter().any(|held| held == model);
        let load_time = match operation {
            "load" if is_held => return 200,
            "unload" if !is_held => return 200,
            "load" if engine.copies.iter().any(|copy| copy == model) => WARM_LOAD,
            "load" => self.what.load_time,
            "unload" => Duration::from_millis(100),
            _ => return 400,
        };
        engine.orders += 1;
        engine.is_busy = true;
        if operation == "unload" {
            engine.models.retain(|held| held != model);
        }
        let is_overloaded =
            engine.models.len() + usize::from(operation == "load") > self.what.models_max;
        drop(engine);
        if is_overloaded {
            self.crash("crashes: it was ordered to load more than it can hold");
            return 202;
        }
        let (worker, model, is_load) = (Arc::clone(self), model.to_owned(), operation == "load");
        thread::spawn(move || {
            thread::sleep(load_time);
            let mut engine = worker.engine.lock().expect("no panic");
            engine.is_busy = false;
            if is_load {
                worker.record.note(&format!("worker {} holds {model}", worker.what.id));
                engine.copies.retain(|copy| *copy != model);
                engine.copies.push(model.clone());
                engine.models.push(model);
            }
            drop(engine);
            worker.register();
        });
        202
    }

    /// The process ends at once: its connections close, and nothing listens until it is back.
    pub fn crash(self: &Arc<Worker>, why: &str) {
        self.restart(why, None, AWAY, Duration::ZERO);
    }

    /// Ends the process, and starts it again under the same id, with this version if there is one. It
    /// writes its entry `entry_delay` later.
    pub fn restart(
        self: &Arc<Worker>,
        why: &str,
        version: Option<&str>,
        away: Duration,
        entry_delay: Duration,
    ) {
        if self.is_down.swap(true, Ordering::SeqCst) {
            return;
        }
        self.record.note(&format!("worker {} {why}", self.what.id));
        // The kernel closes all sockets of a process that ends at once.
        while self.is_listening.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_micros(200));
        }
        for stream in self.connections.lock().expect("no panic").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let (worker, version) = (Arc::clone(self), version.map(str::to_owned));
        thread::spawn(move || {
            thread::sleep(away);
            worker.room.lock().expect("no panic").rejected.clear();
            worker.born.store(unix_ms(), Ordering::SeqCst);
            worker.sequence.store(0, Ordering::SeqCst);
            if let Some(version) = version {
                *worker.version.lock().expect("no panic") = version;
            }
            worker.has_entry.store(false, Ordering::SeqCst);
            worker.is_down.store(false, Ordering::SeqCst);
            let version = worker.version.lock().expect("no panic").clone();
            worker.record.note(&format!("worker {} is back (version {version})", worker.what.id));
            thread::sleep(entry_delay);
            worker.has_entry.store(true, Ordering::SeqCst);
            worker.register();
            worker.record.note(&format!("worker {} has written its entry", worker.what.id));
        });
    }

    fn serve(self: &Arc<Worker>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = reader.head() {
            let Ok(body) = reader.body(&head) else { return };
            self.wait_while_silent();
            if self.is_down.load(Ordering::SeqCst)
                || self.handle(&head, &body, &mut writer).is_err()
            {
                return;
            }
        }
    }

    fn handle(
        self: &Arc<Worker>,
        head: &Head,
        body: &[u8],
        writer: &mut TcpStream,
    ) -> std::io::Result<()> {
        let (method, target) = head.request();
        let own_id = self.what.id.as_str();
        let id = head.header("attempt-id").unwrap_or_default().to_owned();
        let brittle = self.what.brittle.map(|rejections| rejections.to_string());
        let mut said: Vec<(&str, &str)> = Vec::new();
        if let Some(brittle) = &brittle {
            said.push(("Server-Brittle", brittle));
            self.room.lock().expect("no panic").brittle_since.get_or_insert_with(Instant::now);
        }
        let limit = self.what.limit.map(|per_s| per_s.to_string());
        if let Some(limit) = &limit {
            said.push(("Server-Limit", limit));
        }
        if self.is_draining.load(Ordering::SeqCst) {
            said.push(("Server-Leaving", "1"));
        }
        if head.header("expected-instance").is_some_and(|expected| expected != own_id) {
            said.extend([("Instance-Id", own_id), ("Attempt-Id", &id)]);
            return answer(writer, 421, &said, b"");
        }
        match (method, target) {
            ("GET", "/healthz") => {
                said.push(("Instance-Id", own_id));
                let is_draining = self.is_draining.load(Ordering::SeqCst);
                return answer(writer, if is_draining { 503 } else { 200 }, &said, b"");
            }
            ("GET", "/v1/report") => {
                let active = self.room.lock().expect("no panic").running;
                let (is_busy, orders) = {
                    let engine = self.engine.lock().expect("no panic");
                    (engine.is_busy, engine.orders)
                };
                let report = object([
                    ("Stage", text("mixed")),
                    ("Models", self.models()),
                    ("Available", self.available()),
                    ("Busy", Json::Bool(is_busy)),
                    ("Sequence", number(orders as f64)),
                    ("Queued", number(0)),
                    ("Active", number(active as f64)),
                    ("KvUsed", number(0)),
                    ("KvTotal", number(250_000)),
                    ("Handles", number(0)),
                ]);
                said.push(("Content-Type", "application/json"));
                return answer(writer, 200, &said, report.write().as_bytes());
            }
            ("POST", "/v1/order") => {
                let order = String::from_utf8_lossy(body).into_owned();
                let status = self.order(&order);
                self.record.note(&format!("worker {own_id} gets the order {order}: {status}"));
                return answer(writer, status, &said, b"");
            }
            _ => {}
        }
        if id.is_empty() {
            said.push(("Not-Executed", "1"));
            return answer(writer, 400, &said, b"");
        }
        let model = head.header("model").map(|model| model.split('/').next().unwrap_or_default());
        let holds = |model: &str| {
            self.engine.lock().expect("no panic").models.iter().any(|held| held == model)
        };
        if !self.what.models.is_empty() && !model.is_some_and(holds) {
            said.push(("Attempt-Id", &id));
            return answer(writer, 421, &said, b"");
        }
        if matches!(self.take_place(&id), Place::Rejected) {
            if self.is_down.load(Ordering::SeqCst) {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            said.extend([("Not-Executed", "1"), ("Attempt-Id", &id)]);
            return answer(writer, 503, &said, b"");
        }
        self.run_times.lock().expect("no panic").push(self.record.seconds());
        let run = self.runs.fetch_add(1, Ordering::SeqCst);
        let signature = format!("{own_id}.{run}");
        let after = head.header("last-event-id").unwrap_or("").to_owned();
        self.record
            .note(&format!("worker {own_id} runs {id} {method} {target} after event '{after}'"));
        said.extend([("Attempt-Id", id.as_str()), ("Response-Signature", &signature)]);
        let done = if self.what.events > 0 {
            self.stream(&said, after.parse().unwrap_or(0), writer)
        } else {
            thread::sleep(Duration::from_millis(self.what.work_ms));
            answer(writer, 200, &said, format!("answer of {id}").as_bytes())
        };
        self.room.lock().expect("no panic").running -= 1;
        self.freed.notify_one();
        done
    }

    /// Takes a slot, after a wait if there is room for one; else the request is turned away.
    fn take_place(self: &Arc<Worker>, id: &str) -> Place {
        let mut room = self.room.lock().expect("no panic");
        let is_fragile = room.brittle_since.is_some_and(|since| since.elapsed() >= STABLE_WINDOW);
        let queue = if is_fragile { 0 } else { self.what.queue };
        if room.running < self.what.slots {
            room.running += 1;
            return Place::Taken;
        }
        if room.waiting < queue {
            room.waiting += 1;
            while room.running >= self.what.slots {
                room = self.freed.wait(room).expect("no panic");
            }
            room.waiting -= 1;
            room.running += 1;
            return Place::Taken;
        }
        let now = Instant::now();
        room.rejected.push_back(now);
        while room.rejected.front().is_some_and(|at| now - *at > Duration::from_secs(1)) {
            room.rejected.pop_front();
        }
        let rejected = room.rejected.len();
        if is_fragile {
            room.most_rejected = room.most_rejected.max(rejected);
        }
        drop(room);
        self.record.note(&format!(
            "worker {} has no room for {id}: it turns away {rejected} in this second",
            self.what.id
        ));
        if is_fragile && self.what.brittle.is_some_and(|most| rejected > most) {
            self.falls.fetch_add(1, Ordering::SeqCst);
            self.crash("falls over");
        }
        Place::Rejected
    }

    fn stream(
        &self,
        headers: &[(&str, &str)],
        after: u64,
        writer: &mut TcpStream,
    ) -> std::io::Result<()> {
        let mut head = String::from("HTTP/1.1 200 OK\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        let states_no_end = self.states_no_end.load(Ordering::SeqCst);
        let framing =
            if states_no_end { "Connection: close" } else { "Transfer-Encoding: chunked" };
        write!(
            writer,
            "{head}Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n{framing}\r\n\r\n"
        )?;
        let version = self.version.lock().expect("no panic").clone();
        let life = self.born.load(Ordering::SeqCst);
        for event in after + 1..=self.what.events {
            thread::sleep(Duration::from_millis(self.what.pause_ms));
            if self.is_down.load(Ordering::SeqCst) || self.born.load(Ordering::SeqCst) != life {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            self.wait_while_silent();
            let text = format!("id: {event}\ndata: {version}/{event}\n\n");
            if states_no_end {
                write!(writer, "{text}")?;
            } else {
                write!(writer, "{:x}\r\n{text}\r\n", text.len())?;
            }
        }
        if states_no_end {
            writer.shutdown(std::net::Shutdown::Both)?;
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        write!(writer, "0\r\n\r\n")
    }
}
