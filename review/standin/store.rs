//! The platform's metadata store, as its page describes it.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Connection, HeadOnly, Received};

#[derive(Default)]
struct Objects {
    revision: u64,
    /// Kind, name, revision and spec.
    stored: Vec<(String, String, u64, String)>,
    /// Kind, name, revision and spec of each change; a deletion has no spec.
    changes: Vec<(String, String, u64, Option<String>)>,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<Objects>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(ip: &str) -> Store {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Store { shared: Arc::default(), address };
        let served = store.clone();
        http::serve(listener, Arc::new(move |connection, head| served.handle(connection, head)));
        store
    }

    /// Writes an object as the operator and the workers do.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut objects = self.shared.0.lock().unwrap();
        put(&mut objects, kind, name, spec);
        drop(objects);
        self.shared.1.notify_all();
    }

    /// Removes an object as the workers do.
    pub fn delete(&self, kind: &str, name: &str) {
        let mut objects = self.shared.0.lock().unwrap();
        objects.revision += 1;
        let revision = objects.revision;
        objects.stored.retain(|stored| stored.0 != kind || stored.1 != name);
        objects.changes.push((kind.to_owned(), name.to_owned(), revision, None));
        drop(objects);
        self.shared.1.notify_all();
    }

    fn handle(&self, connection: &mut Connection, head: HeadOnly) -> io::Result<bool> {
        let received = http::receive(connection, head)?;
        let path: Vec<String> = received.path().split('/').skip(3).map(decode).collect();
        let (status, body) = match (received.method.as_str(), &path[..]) {
            ("GET", [kind]) if received.query("Watch").is_some() => self.watch(&received, kind),
            ("GET", [kind]) => self.list(kind),
            ("GET", [kind, name]) => self.get(kind, name),
            (_, [kind, rest @ ..]) => self.write(&received, kind, rest.first()),
            _ => (404, "{}".to_owned()),
        };
        connection.answer(status, &[("content-type", "application/json")], body.as_bytes())?;
        Ok(true)
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let objects = self.shared.0.lock().unwrap();
        let of_kind = objects.stored.iter().filter(|stored| stored.0 == kind);
        let items: Vec<String> =
            of_kind.map(|(_, name, revision, spec)| object(name, *revision, spec)).collect();
        let (items, at) = (items.join(","), objects.revision);
        (200, format!(r#"{{"items":[{items}],"HasMore":false,"At":{at}}}"#))
    }

    fn get(&self, kind: &str, name: &str) -> (u16, String) {
        let objects = self.shared.0.lock().unwrap();
        match objects.stored.iter().find(|stored| stored.0 == kind && stored.1 == name) {
            Some((_, name, revision, spec)) => (200, object(name, *revision, spec)),
            None => (404, "{}".to_owned()),
        }
    }

    fn watch(&self, received: &Received, kind: &str) -> (u16, String) {
        let number = |name| received.query(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let (after, wait_ms): (u64, u64) = (number("Watch"), number("WaitMs"));
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut objects = self.shared.0.lock().unwrap();
        loop {
            let changes = objects.changes.iter().filter(|at| at.0 == kind && at.2 > after);
            let event = |(_, name, revision, spec): &(String, String, u64, Option<String>)| {
                let object = object(name, *revision, spec.as_deref().unwrap_or("null"));
                format!(r#"{{"Object":{object},"Deleted":{}}}"#, spec.is_none())
            };
            let events: Vec<String> = changes.map(event).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), objects.revision);
                return (200, format!(r#"{{"events":[{events}],"At":{at}}}"#));
            }
            objects = self.shared.1.wait_timeout(objects, left).unwrap().0;
        }
    }

    fn write(&self, received: &Received, kind: &str, name: Option<&String>) -> (u16, String) {
        let body = String::from_utf8_lossy(&received.body).into_owned();
        let metadata = field(&body, "Metadata").unwrap_or_default();
        let named = field(&metadata, "Name").map(|text| text.trim_matches('"').to_owned());
        let Some(name) = name.cloned().or(named) else { return (400, "{}".to_owned()) };
        let expected = field(&metadata, "Revision");
        let expected = expected.or_else(|| received.query("Revision").map(str::to_owned));
        let expected: Option<u64> = expected.and_then(|text| text.parse().ok());
        let mut objects = self.shared.0.lock().unwrap();
        let found = objects.stored.iter().find(|stored| stored.0 == kind && stored.1 == name);
        let found = found.cloned();
        let answer = match (received.method.as_str(), found) {
            ("PUT" | "DELETE", None) => (404, "{}".to_owned()),
            (method, Some(found))
                if method == "POST" || expected.is_some_and(|expected| expected != found.2) =>
            {
                (409, object(&name, found.2, &found.3))
            }
            ("POST" | "PUT", _) => {
                let spec = field(&body, "Spec").unwrap_or_else(|| "null".to_owned());
                let revision = put(&mut objects, kind, &name, &spec);
                (200, object(&name, revision, &spec))
            }
            ("DELETE", Some(found)) => {
                objects.revision += 1;
                let revision = objects.revision;
                objects.stored.retain(|stored| stored.0 != kind || stored.1 != name);
                objects.changes.push((kind.to_owned(), name.clone(), revision, None));
                (200, object(&name, revision, &found.3))
            }
            _ => (400, "{}".to_owned()),
        };
        drop(objects);
        self.shared.1.notify_all();
        answer
    }
}

fn put(objects: &mut Objects, kind: &str, name: &str, spec: &str) -> u64 {
    objects.revision += 1;
    let revision = objects.revision;
    objects.stored.retain(|stored| stored.0 != kind || stored.1 != name);
    objects.stored.push((kind.to_owned(), name.to_owned(), revision, spec.to_owned()));
    objects.stored.sort();
    objects.changes.push((kind.to_owned(), name.to_owned(), revision, Some(spec.to_owned())));
    revision
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        r#"{{"Metadata":{{"Name":"{name}","Revision":{revision},"Created":1,"Finalizers":[],"Deleting":false}},"Spec":{spec},"Status":null}}"#
    )
}

fn decode(text: &str) -> String {
    let mut parts = text.split('%');
    let mut bytes = parts.next().unwrap_or_default().as_bytes().to_vec();
    for part in parts {
        bytes.push(u8::from_str_radix(&part[..2], 16).unwrap_or(b'?'));
        bytes.extend_from_slice(&part.as_bytes()[2..]);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Returns the text of a field of a JSON object.
pub fn field(json: &str, name: &str) -> Option<String> {
    let bytes = json.as_bytes();
    let (mut at, mut depth) = (0, 0);
    while at < bytes.len() {
        match bytes[at] {
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth -= 1,
            b'"' => {
                let end = string_end(bytes, at);
                let is_name = depth == 1 && json[at + 1..end] == *name;
                let rest = json[end + 1..].trim_start();
                if is_name && rest.starts_with(':') {
                    return Some(value(rest[1..].trim_start()).to_owned());
                }
                at = end;
            }
            _ => {}
        }
        at += 1;
    }
    None
}

/// Returns the position of the quote that ends the string at `start`.
fn string_end(bytes: &[u8], start: usize) -> usize {
    let mut at = start + 1;
    while at < bytes.len() && bytes[at] != b'"' {
        at += if bytes[at] == b'\\' { 2 } else { 1 };
    }
    at
}

fn value(text: &str) -> &str {
    let bytes = text.as_bytes();
    let (mut at, mut depth) = (0, 0);
    while at < bytes.len() {
        match bytes[at] {
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => break,
            b'}' | b']' => depth -= 1,
            b',' if depth == 0 => break,
            b'"' => at = string_end(bytes, at),
            _ => {}
        }
        at += 1;
    }
    text[..at].trim_end()
}
