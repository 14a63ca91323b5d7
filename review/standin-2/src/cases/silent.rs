//! A worker that falls silent for a moment when one of its streams has all its events but not its
//! end, while the machine that passes the stream on is stopped as planned.

use std::io::{self, Read};
use std::net::{IpAddr, Shutdown};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::gateway::{Gateway, Machine, Ports};
use crate::http::{Connection, Message};
use crate::record::Record;
use crate::store::Store;
use crate::streams;
use crate::worker::{Behaviour, Life, Start};

const SERVICE: &str = "brief-models";
const ROUTE: &str = r#"{"Name":"brief","Host":"site.example","PathPrefix":"/brief/","Type":"streaming","TimeoutMs":8000,"SloMs":400,"Priority":0,"Service":"brief-models","MaxAttempts":2,"Public":true,"Resumable":true,"GapTargetMs":400}"#;
const GAP: Duration = Duration::from_millis(100);
/// The time between the last event of a stream and its end.
const STEP: Duration = Duration::from_millis(20);
const SILENCE: Duration = Duration::from_millis(1_400);
const SHORT: u64 = 20;
const LONG: u64 = 45;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Which worker falls silent next, and until when one is.
#[derive(Default)]
struct Silence {
    next: Option<String>,
    now: Option<(String, Instant)>,
}

/// Streams without a length or chunks, which end with their connections.
struct Unframed {
    silence: Arc<Mutex<Silence>>,
}

impl Unframed {
    /// Waits while the worker is silent.
    fn wait(&self, worker: &Life) {
        loop {
            let until = match &self.silence.lock().unwrap().now {
                Some((id, until)) if *id == worker.id => *until,
                _ => return,
            };
            let now = Instant::now();
            if now >= until {
                return;
            }
            thread::sleep(until - now);
        }
    }

    /// Falls silent, if this worker is the next one to do so.
    fn fall_silent(&self, worker: &Life, id: &str) {
        let mut silence = self.silence.lock().unwrap();
        if silence.next.as_ref() == Some(&worker.id) {
            silence.next = None;
            silence.now = Some((worker.id.clone(), Instant::now() + SILENCE));
            worker.record.line(&format!(
                "worker {} falls silent for {SILENCE:?}; {id} has its last event",
                worker.id
            ));
        }
    }
}

impl Behaviour for Unframed {
    fn run(&self, worker: &Life, request: &Message, out: &mut Connection) -> io::Result<()> {
        self.wait(worker);
        let id = request.header("attempt-id").unwrap_or("").to_owned();
        let number = |text: Option<&str>| text.and_then(|text| text.parse().ok()).unwrap_or(0);
        let after: u64 = number(request.header("last-event-id"));
        let count: u64 = number(request.request().1.rsplit('/').next());
        worker.record.line(&format!("worker {} runs {id} after event {after}", worker.id));
        out.write(&format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\nattempt-id: {id}\r\nresponse-signature: sig.{}.{id}\r\n\r\n",
            worker.id
        ))?;
        thread::sleep(ms(60));
        for event in after + 1..=count {
            self.wait(worker);
            out.write(&format!("id: {event}\ndata: of {}\n\n", worker.id))?;
            if event < count {
                thread::sleep(GAP);
            }
        }
        if after < count && count == SHORT {
            self.fall_silent(worker, &id);
        }
        thread::sleep(STEP);
        self.wait(worker);
        worker.record.line(&format!("worker {} ends {id}", worker.id));
        out.stream.shutdown(Shutdown::Write)?;
        // The connection is closed once the other side has closed it, too.
        let _ = out.stream.read(&mut [0; 64]);
        Err(io::ErrorKind::ConnectionAborted.into())
    }
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let store = Store::start(record);
    store.put("config", "main", &super::configuration(ROUTE, SERVICE));
    let silence = Arc::new(Mutex::new(Silence::default()));
    let unframed: Arc<dyn Behaviour> = Arc::new(Unframed { silence: Arc::clone(&silence) });
    let _workers: Vec<Life> = (0..3)
        .map(|number| {
            let id = format!("i-7f3a91c{number}");
            let start = Start {
                id: &id,
                service: SERVICE,
                version: "v1",
                zone: "zone-a",
                address: None,
                first_beat: Duration::ZERO,
                slots: 64,
            };
            Life::start(&start, &store, record, Arc::clone(&unframed))
        })
        .collect();
    let ip: IpAddr = "127.0.0.1".parse().expect("an address");
    let machine = Machine { node_name: "edge-a-1".to_owned(), ip, zone: "zone-a".to_owned() };
    let mut gateway = Gateway::start(&machine, Ports::find(&[ip]), store.address, record, true);
    gateway.wait_ready();
    thread::sleep(ms(1_000));
    let frontend = gateway.frontend();
    let start = |name: &str, number: usize, count: u64| {
        let (record, id) = (record.clone(), format!("{name}{number:04x}"));
        thread::sleep(ms(12));
        thread::spawn(move || {
            (
                count,
                streams::count_events(
                    frontend,
                    &format!("/brief/{count}"),
                    &id,
                    ms(8_000),
                    &record,
                ),
            )
        })
    };
    // Streams before, so that the gateway knows the service.
    let warm: Vec<_> = (0..24).map(|number| start("00000000be2a", number, 3)).collect();
    for caller in warm {
        let _ = caller.join();
    }
    thread::sleep(ms(1_000));
    let mut callers: Vec<_> = (0..15).map(|number| start("9c41d07b0001", number, LONG)).collect();
    callers.extend((0..15).map(|number| start("9c41d07b0002", number, SHORT)));
    thread::sleep(ms(800));
    // The machine is stopped as planned.
    gateway.signal("TERM");
    if has_trouble {
        silence.lock().unwrap().next = Some("i-7f3a91c0".to_owned());
    }
    let (mut lost, mut whole) = (0, 0);
    for caller in callers {
        let Ok((count, (events, result))) = caller.join() else { continue };
        let is_whole = result.is_ok() && events == count;
        whole += usize::from(is_whole);
        lost += usize::from(!is_whole);
    }
    gateway.wait_end();
    record.say(&format!(
        "{whole} streams whole, {lost} ended without a complete answer around the planned stop"
    ));
    assert!(whole > 0, "no stream was served");
    if lost > 0 { Verdict::Broken } else { Verdict::Held }
}
