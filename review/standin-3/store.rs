//! The platform's store: objects by kind and name, with watches.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{answer, Head, Reader};
use crate::json::{number, object, text, Json};

const PAGE: usize = 500;

#[derive(Clone)]
struct Stored {
    revision: u64,
    created: u64,
    spec: Json,
    status: Json,
}

struct Event {
    revision: u64,
    kind: String,
    object: Json,
    deleted: bool,
}

#[derive(Default)]
struct Table {
    revision: u64,
    objects: BTreeMap<(String, String), Stored>,
    events: Vec<Event>,
}

pub struct Store {
    table: Mutex<Table>,
    changed: Condvar,
}

fn encode(name: &str, stored: &Stored) -> Json {
    object([
        (
            "Metadata",
            object([
                ("Name", text(name)),
                ("Revision", number(stored.revision as f64)),
                ("Created", number(stored.created as f64)),
                ("Finalizers", Json::List(Vec::new())),
                ("Deleting", Json::Bool(false)),
            ]),
        ),
        ("Spec", stored.spec.clone()),
        ("Status", stored.status.clone()),
    ])
}

impl Store {
    /// Starts a store on a free port of the address.
    pub fn start(ip: &str) -> (Arc<Store>, SocketAddr) {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let table = Table { revision: 100, ..Table::default() };
        let store = Arc::new(Store { table: Mutex::new(table), changed: Condvar::new() });
        let served = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                thread::spawn(move || store.serve(stream));
            }
        });
        (store, address)
    }

    /// Writes an object as the operator or a worker does; returns its revision.
    pub fn put(&self, kind: &str, name: &str, spec: Json) -> u64 {
        let mut table = self.table.lock().expect("no panic");
        let key = (kind.to_owned(), name.to_owned());
        if table.objects.get(&key).is_some_and(|stored| stored.spec == spec) {
            return table.revision;
        }
        table.revision += 1;
        let revision = table.revision;
        let created = table.objects.get(&key).map_or(revision, |stored| stored.created);
        let stored = Stored { revision, created, spec, status: Json::Null };
        let object = encode(name, &stored);
        table.objects.insert(key, stored);
        table.events.push(Event { revision, kind: kind.to_owned(), object, deleted: false });
        self.changed.notify_all();
        revision
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut table = self.table.lock().expect("no panic");
        let key = (kind.to_owned(), name.to_owned());
        if let Some(mut stored) = table.objects.remove(&key) {
            table.revision += 1;
            stored.revision = table.revision;
            let (revision, object) = (table.revision, encode(name, &stored));
            table.events.push(Event { revision, kind: kind.to_owned(), object, deleted: true });
            self.changed.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = reader.head() {
            let Ok(body) = reader.body(&head) else { return };
            let (status, answered) = self.call(&head, &body);
            let headers = [("Content-Type", "application/json")];
            if answer(&mut writer, status, &headers, answered.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn call(&self, head: &Head, body: &[u8]) -> (u16, String) {
        let (method, target) = head.request();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: Vec<(&str, &str)> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let parameter = |name: &str| query.iter().find(|pair| pair.0 == name).map(|pair| pair.1);
        let Some(rest) = path.strip_prefix("/v1/objects/") else { return (404, String::new()) };
        let segments: Vec<&str> = rest.split('/').collect();
        let body = Json::parse(&String::from_utf8_lossy(body));
        match (method, segments.as_slice()) {
            ("GET", [kind]) => match parameter("Watch").and_then(|watch| watch.parse().ok()) {
                Some(after) => {
                    let wait_ms = parameter("WaitMs").and_then(|ms| ms.parse().ok()).unwrap_or(0);
                    (200, self.watch(kind, after, wait_ms).write())
                }
                None => (200, self.list(kind, parameter("after").unwrap_or("")).write()),
            },
            ("GET", [kind, name]) => {
                let table = self.table.lock().expect("no panic");
                match table.objects.get(&((*kind).to_owned(), (*name).to_owned())) {
                    Some(stored) => (200, encode(name, stored).write()),
                    None => (404, String::new()),
                }
            }
            ("POST", [kind]) => {
                let Some(body) = body else { return (400, String::new()) };
                let name = body.get("Metadata").and_then(|data| data.get("Name"));
                let Some(name) = name.and_then(Json::text) else { return (400, String::new()) };
                self.write(kind, name, &body, Condition::Absent)
            }
            ("PUT", [kind, name]) => {
                let Some(body) = body else { return (400, String::new()) };
                let revision = body.get("Metadata").and_then(|data| data.get("Revision"));
                let condition = match revision.and_then(Json::number) {
                    Some(revision) => Condition::Revision(revision as u64),
                    None => Condition::Present,
                };
                self.write(kind, name, &body, condition)
            }
            ("DELETE", [kind, name]) => {
                let revision = parameter("Revision").and_then(|text| text.parse::<u64>().ok());
                let key = ((*kind).to_owned(), (*name).to_owned());
                let found = self.table.lock().expect("no panic").objects.get(&key).cloned();
                match found {
                    None => (404, String::new()),
                    Some(stored) if revision.is_some_and(|known| known != stored.revision) => {
                        (409, encode(name, &stored).write())
                    }
                    Some(stored) => {
                        self.remove(kind, name);
                        (200, encode(name, &stored).write())
                    }
                }
            }
            _ => (404, String::new()),
        }
    }

    fn write(&self, kind: &str, name: &str, body: &Json, condition: Condition) -> (u16, String) {
        let spec = body.get("Spec").cloned().unwrap_or(Json::Null);
        let mut table = self.table.lock().expect("no panic");
        let key = (kind.to_owned(), name.to_owned());
        let known = table.objects.get(&key).cloned();
        let is_met = match (&condition, &known) {
            (Condition::Absent, None) | (Condition::Present, Some(_)) => true,
            (Condition::Revision(revision), Some(stored)) => *revision == stored.revision,
            _ => false,
        };
        match (is_met, known) {
            (false, None) => (404, String::new()),
            (false, Some(stored)) => (409, encode(name, &stored).write()),
            (true, Some(stored)) if stored.spec == spec => (200, encode(name, &stored).write()),
            (true, known) => {
                table.revision += 1;
                let revision = table.revision;
                let created = known.as_ref().map_or(revision, |stored| stored.created);
                let stored = Stored { revision, created, spec, status: Json::Null };
                let object = encode(name, &stored);
                let answered = object.write();
                table.objects.insert(key, stored);
                table.events.push(Event {
                    revision,
                    kind: kind.to_owned(),
                    object,
                    deleted: false,
                });
                self.changed.notify_all();
                (if known.is_some() { 200 } else { 201 }, answered)
            }
        }
    }

    fn list(&self, kind: &str, after: &str) -> Json {
        let table = self.table.lock().expect("no panic");
        let of_kind = table.objects.iter().filter(|(key, _)| key.0 == kind && *key.1 > *after);
        let mut items: Vec<Json> =
            of_kind.take(PAGE + 1).map(|(key, stored)| encode(&key.1, stored)).collect();
        let has_more = items.len() > PAGE;
        items.truncate(PAGE);
        object([
            ("items", Json::List(items)),
            ("HasMore", Json::Bool(has_more)),
            ("At", number(table.revision as f64)),
        ])
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> Json {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut table = self.table.lock().expect("no panic");
        loop {
            let changes =
                table.events.iter().filter(|event| event.revision > after && event.kind == kind);
            let events: Vec<Json> = changes
                .map(|event| {
                    object([
                        ("Deleted", Json::Bool(event.deleted)),
                        ("Object", event.object.clone()),
                    ])
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return object([
                    ("events", Json::List(events)),
                    ("At", number(table.revision as f64)),
                ]);
            }
            table = self.changed.wait_timeout(table, left).expect("no panic").0;
        }
    }
}

enum Condition {
    Absent,
    Present,
    Revision(u64),
}
