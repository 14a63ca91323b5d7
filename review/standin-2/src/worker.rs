//! Workers of a service. Each serves requests on an address of its own, writes its entry into the
//! store about every `HeartbeatMs`, and can crash and start again.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, Message};
use crate::record::Record;
use crate::store::Store;

/// What a worker does with a request that it runs.
pub trait Behaviour: Send + Sync + 'static {
    /// Answers on the connection; an error closes it.
    fn run(&self, worker: &Life, request: &Message, out: &mut Connection) -> std::io::Result<()>;
}

/// One start of a worker.
#[derive(Clone)]
pub struct Life {
    pub id: String,
    pub version: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// The Unix millisecond of the start.
    pub born: u64,
    is_stopped: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    is_draining: Arc<AtomicBool>,
    is_closed: Arc<AtomicBool>,
    slots: u32,
    store: Store,
    pub record: Record,
}

/// How a worker is started.
#[derive(Clone)]
pub struct Start<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub version: &'a str,
    pub zone: &'a str,
    /// The address, or none for a free one.
    pub address: Option<SocketAddr>,
    /// How long after the start the first entry is written; within one heartbeat interval.
    pub first_beat: Duration,
    pub slots: u32,
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

impl Life {
    pub fn start(
        start: &Start<'_>,
        store: &Store,
        record: &Record,
        behaviour: Arc<dyn Behaviour>,
    ) -> Life {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(start.address.unwrap_or(any)).expect("the worker binds");
        let address = listener.local_addr().expect("the worker has an address");
        let life = Life {
            id: start.id.to_owned(),
            version: start.version.to_owned(),
            service: start.service.to_owned(),
            zone: start.zone.to_owned(),
            address,
            born: unix_ms(),
            is_stopped: Arc::default(),
            streams: Arc::default(),
            is_draining: Arc::default(),
            is_closed: Arc::default(),
            slots: start.slots,
            store: store.clone(),
            record: record.clone(),
        };
        record.line(&format!(
            "worker {} starts at {address}, software {}, born {}",
            life.id, life.version, life.born
        ));
        let accepting = life.clone();
        thread::spawn(move || accepting.accept(listener, &behaviour));
        let beating = life.clone();
        let first_beat = start.first_beat;
        thread::spawn(move || {
            thread::sleep(first_beat);
            beating.beat();
        });
        life
    }

    fn accept(&self, listener: TcpListener, behaviour: &Arc<dyn Behaviour>) {
        let _ = listener.set_nonblocking(true);
        while !self.is_stopped() && !self.is_closed.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    if let Ok(kept) = stream.try_clone() {
                        self.streams.lock().unwrap().push(kept);
                    }
                    let (life, behaviour) = (self.clone(), Arc::clone(behaviour));
                    thread::spawn(move || life.serve(stream, &behaviour));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    }

    fn serve(&self, stream: TcpStream, behaviour: &Arc<dyn Behaviour>) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.message() {
            let id = request.header("attempt-id").unwrap_or("").to_owned();
            let expected = request.header("expected-instance").unwrap_or(&self.id);
            if expected != self.id {
                let headers = [("attempt-id", id.clone()), ("instance-id", self.id.clone())];
                if connection.answer("421 Misdirected Request", &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            if behaviour.run(self, &request, &mut connection).is_err() {
                break;
            }
        }
        let _ = connection.stream.shutdown(Shutdown::Both);
    }

    fn beat(&self) {
        let mut sequence = 1;
        while !self.is_stopped.load(Ordering::SeqCst) {
            self.write_entry(sequence);
            sequence += 1;
            thread::sleep(Duration::from_millis(1_200));
        }
    }

    fn write_entry(&self, sequence: u64) {
        let Life { id, version, service, zone, address, born, slots, .. } = self;
        let is_draining = self.is_draining.load(Ordering::SeqCst);
        let state = if is_draining { "draining" } else { "ready" };
        let spec = format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\"Version\":\"{version}\",\"Slots\":{slots},\"State\":\"{state}\",\"ColdRemainingMs\":0,\"Sequence\":{sequence},\"born\":{born}}}"
        );
        self.store.put("servers", id, &spec);
    }

    pub fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::SeqCst)
    }

    /// Reports that it is leaving; it goes on to serve until it is crashed.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
        self.write_entry(1_000);
    }

    /// Takes no new connections any more; what runs goes on to its end.
    pub fn close_listener(&self) {
        self.record.line(&format!("worker {} takes no new connections", self.id));
        self.is_closed.store(true, Ordering::SeqCst);
    }

    /// Leaves: its entry is removed.
    pub fn leave(&self) {
        self.crash();
        self.store.delete("servers", &self.id);
    }

    /// Crashes: its port is closed and all its connections break off. It sends nothing more.
    pub fn crash(&self) {
        self.record.line(&format!("worker {} ({}) crashes", self.id, self.version));
        self.is_stopped.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}
