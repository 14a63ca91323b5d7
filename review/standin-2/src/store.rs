//! The platform's store, as PROTOCOL.md describes it: objects by kind and name, one revision
//! counter, conditional calls and watches. Each answer takes 4 ms.

use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::json::Json;
use crate::record::Record;

const ANSWER: Duration = Duration::from_millis(4);
const COPY_INTERVAL: Duration = Duration::from_millis(250);
const COPIES_MAX: usize = 64;
const SILENCE: Duration = Duration::from_secs(8);

#[derive(Clone)]
struct Object {
    created: u64,
    revision: u64,
    spec: String,
}

struct Event {
    revision: u64,
    kind: String,
    object: String,
    is_deleted: bool,
}

#[derive(Default)]
struct Table {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
    /// How often the store came back from a copy.
    era: u64,
    /// Copies with their times, the oldest first.
    copies: VecDeque<(Instant, u64, BTreeMap<(String, String), Object>)>,
    trouble: Trouble,
    /// The ports at which objects were written, with their paths.
    writers: Vec<(u16, String)>,
}

/// What is wrong with the store now.
#[derive(Debug, Clone, Default)]
pub struct Trouble {
    /// No call is answered.
    pub is_silent: bool,
    /// All calls get 503.
    pub is_busy: bool,
    /// One in so many writes is done later and not answered; 0 is none.
    pub late_writes: u32,
    /// The ports whose calls aren't answered.
    pub cut_ports: Vec<u16>,
}

/// A running store; clones share the objects.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    table: Arc<(Mutex<Table>, Condvar)>,
    record: Record,
}

fn object_text(name: &str, object: &Object) -> String {
    format!(
        "{{\"Metadata\":{{\"Name\":{},\"Revision\":{},\"Created\":{},\"Finalizers\":[],\"Deleting\":false}},\"Spec\":{},\"Status\":null}}",
        Json::Text(name.to_owned()),
        object.revision,
        object.created,
        object.spec
    )
}

impl Table {
    fn put(&mut self, kind: &str, name: &str, spec: String) -> String {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = self.objects.get(&key)
            && known.spec == spec
        {
            // A change that changes nothing is no event.
            return object_text(name, known);
        }
        self.revision += 1;
        let revision = self.revision;
        let created = self.objects.get(&key).map_or(revision, |known| known.created);
        let object = Object { created, revision, spec };
        let text = object_text(name, &object);
        self.objects.insert(key, object);
        self.events.push(Event {
            revision,
            kind: kind.to_owned(),
            object: text.clone(),
            is_deleted: false,
        });
        text
    }

    fn delete(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(mut object) = self.objects.remove(&key) {
            self.revision += 1;
            object.revision = self.revision;
            let text = object_text(name, &object);
            self.events.push(Event {
                revision: self.revision,
                kind: kind.to_owned(),
                object: text,
                is_deleted: true,
            });
        }
    }
}

impl Store {
    pub fn start(record: &Record) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the store binds");
        let address = listener.local_addr().expect("the store has an address");
        let table = Table { revision: 10, ..Table::default() };
        let table = Arc::new((Mutex::new(table), Condvar::new()));
        let store = Store { address, table, record: record.clone() };
        store.listen(listener);
        let copied = store.clone();
        thread::spawn(move || {
            loop {
                copied.copy();
                thread::sleep(COPY_INTERVAL);
            }
        });
        store
    }

    /// Opens a further address of the store, for one machine.
    pub fn further_address(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the store binds");
        let address = listener.local_addr().expect("the store has an address");
        self.listen(listener);
        address
    }

    /// The port of the store at which an object of the kind was last written.
    pub fn last_writer(&self, kind: &str) -> Option<u16> {
        let table = self.table.0.lock().unwrap();
        let written = table.writers.iter().rev().find(|(_, target)| target.contains(kind));
        written.map(|(port, _)| *port)
    }

    fn listen(&self, listener: TcpListener) {
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
    }

    fn copy(&self) {
        let mut table = self.table.0.lock().unwrap();
        let copy = (Instant::now(), table.revision, table.objects.clone());
        table.copies.push_back(copy);
        if table.copies.len() > COPIES_MAX {
            table.copies.pop_front();
        }
    }

    /// Changes what is wrong with the store.
    pub fn trouble(&self, change: impl FnOnce(&mut Trouble)) {
        let mut table = self.table.0.lock().unwrap();
        change(&mut table.trouble);
        let text = format!("store: {:?}", table.trouble);
        drop(table);
        self.record.line(&text);
        self.table.1.notify_all();
    }

    /// Comes back from a copy that is so old. What the operator and the workers wrote since is
    /// returned, so that it can be written again.
    pub fn restore(&self, age: Duration) -> Vec<(String, String, String)> {
        let mut table = self.table.0.lock().unwrap();
        let now = Instant::now();
        let is_old = |at: &Instant| now.duration_since(*at) >= age;
        let found = table.copies.iter().rev().find(|(at, _, _)| is_old(at)).cloned();
        let Some((_, revision, objects)) = found else { return Vec::new() };
        let lost = std::mem::replace(&mut table.objects, objects);
        table.revision = revision;
        table.events.clear();
        table.copies.clear();
        table.era += 1;
        let era = table.era;
        drop(table);
        self.record.line(&format!("store: restored from a copy {age:?} old, era {era}"));
        self.table.1.notify_all();
        lost.into_iter()
            .filter(|((kind, _), _)| kind == "config" || kind == "servers")
            .map(|((kind, name), object)| (kind, name, object.spec))
            .collect()
    }

    /// Writes an object for the operator or a worker.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let (table, changed) = &*self.table;
        table.lock().unwrap().put(kind, name, spec.to_owned());
        changed.notify_all();
        let spec: String = spec.chars().take(160).collect();
        self.record.line(&format!("store: {kind}/{name} written: {spec}"));
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let (table, changed) = &*self.table;
        table.lock().unwrap().delete(kind, name);
        changed.notify_all();
        self.record.line(&format!("store: {kind}/{name} removed"));
    }

    fn serve(&self, stream: TcpStream) {
        let port = stream.local_addr().map_or(0, |address| address.port());
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.message() {
            let (method, target) = request.request();
            let (trouble, era) = {
                let table = self.table.0.lock().unwrap();
                (table.trouble.clone(), table.era)
            };
            if trouble.is_silent || trouble.cut_ports.contains(&port) {
                thread::sleep(SILENCE);
                return;
            }
            let is_late = method != "GET"
                && trouble.late_writes > 0
                && crate::random::below(u64::from(trouble.late_writes)) == 0;
            if is_late {
                // A connection on which an answer is lost returns nothing further.
                thread::sleep(Duration::from_millis(1_000 + crate::random::below(5_000)));
                let (status, _) = self.answer(method, target, &request.body);
                self.record.line(&format!("store: late {method} {target}: {status}"));
                return;
            }
            let (status, body) = if trouble.is_busy {
                ("503 Service Unavailable", "{}".to_owned())
            } else {
                self.answer(method, target, &request.body)
            };
            if method != "GET" && status.starts_with('2') {
                self.table.0.lock().unwrap().writers.push((port, target.to_owned()));
            }
            thread::sleep(ANSWER);
            let now = self.table.0.lock().unwrap().era;
            if now != era {
                return;
            }
            let headers =
                [("content-type", "application/json".to_owned()), ("store-era", era.to_string())];
            if connection.answer(status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &[u8]) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
        };
        let parts: Vec<&str> = path.trim_start_matches("/v1/objects/").split('/').collect();
        let body = Json::parse(&String::from_utf8_lossy(body));
        match (method, &parts[..]) {
            ("GET", [kind]) => match parameter("Watch") {
                Some(after) => {
                    let wait = parameter("WaitMs").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                    self.watch(kind, after.parse().unwrap_or(0), wait)
                }
                None => self.list(kind, parameter("after").unwrap_or("")),
            },
            ("GET", [kind, name]) => {
                let table = self.table.0.lock().unwrap();
                match table.objects.get(&((*kind).to_owned(), (*name).to_owned())) {
                    Some(object) => ("200 OK", object_text(name, object)),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("POST", [kind]) => self.create(kind, body),
            ("PUT", [kind, name]) => self.replace(kind, name, body),
            ("DELETE", [kind, name]) => {
                let revision = parameter("Revision").and_then(|text| text.parse().ok());
                self.remove(kind, name, revision)
            }
            _ => ("400 Bad Request", "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (&'static str, String) {
        let table = self.table.0.lock().unwrap();
        let objects =
            table.objects.iter().filter(|((of, name), _)| of == kind && name.as_str() > after);
        let items: Vec<String> =
            objects.map(|((_, name), object)| object_text(name, object)).collect();
        let body = format!(
            "{{\"items\":[{}],\"HasMore\":false,\"At\":{}}}",
            items.join(","),
            table.revision
        );
        ("200 OK", body)
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> (&'static str, String) {
        let (table, changed) = &*self.table;
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut table = table.lock().unwrap();
        let era = table.era;
        if after > table.revision {
            return ("410 Gone", "{}".to_owned());
        }
        loop {
            if table.era != era {
                return ("503 Service Unavailable", "{}".to_owned());
            }
            let events: Vec<String> = table
                .events
                .iter()
                .filter(|event| event.kind == kind && event.revision > after)
                .map(|event| {
                    format!("{{\"Object\":{},\"Deleted\":{}}}", event.object, event.is_deleted)
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let at = table.revision.max(after);
                return ("200 OK", format!("{{\"events\":[{}],\"At\":{at}}}", events.join(",")));
            }
            table = changed.wait_timeout(table, until - now).unwrap().0;
        }
    }

    fn create(&self, kind: &str, body: Option<Json>) -> (&'static str, String) {
        let Some((name, _, spec)) = written(body) else { return bad_request() };
        let (table, changed) = &*self.table;
        let mut table = table.lock().unwrap();
        if let Some(known) = table.objects.get(&(kind.to_owned(), name.clone())) {
            return ("409 Conflict", object_text(&name, known));
        }
        let text = table.put(kind, &name, spec);
        changed.notify_all();
        ("201 Created", text)
    }

    fn replace(&self, kind: &str, name: &str, body: Option<Json>) -> (&'static str, String) {
        let Some((_, revision, spec)) = written(body) else { return bad_request() };
        let (table, changed) = &*self.table;
        let mut table = table.lock().unwrap();
        let Some(known) = table.objects.get(&(kind.to_owned(), name.to_owned())) else {
            return ("404 Not Found", "{}".to_owned());
        };
        if revision.is_some_and(|revision| revision != known.revision) {
            return ("409 Conflict", object_text(name, known));
        }
        let text = table.put(kind, name, spec);
        changed.notify_all();
        ("200 OK", text)
    }

    fn remove(&self, kind: &str, name: &str, revision: Option<u64>) -> (&'static str, String) {
        let (table, changed) = &*self.table;
        let mut table = table.lock().unwrap();
        let Some(known) = table.objects.get(&(kind.to_owned(), name.to_owned())) else {
            return ("404 Not Found", "{}".to_owned());
        };
        if revision.is_some_and(|revision| revision != known.revision) {
            return ("409 Conflict", object_text(name, known));
        }
        table.delete(kind, name);
        changed.notify_all();
        ("200 OK", "{}".to_owned())
    }
}

/// Returns the name, the expected revision and the value of a written object.
fn written(body: Option<Json>) -> Option<(String, Option<u64>, String)> {
    let body = body?;
    let metadata = body.get("Metadata")?;
    let name = metadata.get("Name")?.text()?.to_owned();
    let revision = metadata.get("Revision").and_then(Json::number);
    Some((name, revision, body.get("Spec")?.to_string()))
}

fn bad_request() -> (&'static str, String) {
    ("400 Bad Request", "{}".to_owned())
}
