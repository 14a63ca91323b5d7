//! A worker that leaves as planned: it takes no new connections any more, ends what runs, and exits,
//! while the machine that passes its answers on is stopped as planned, too.

use std::io::{self, Read};
use std::net::{IpAddr, Shutdown};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::gateway::{Gateway, Machine, Ports};
use crate::http::{Connection, Message};
use crate::record::Record;
use crate::store::Store;
use crate::streams;
use crate::worker::{Behaviour, Life, Start};

const SERVICE: &str = "brief-models";
const ROUTE: &str = r#"{"Name":"brief","Host":"site.example","PathPrefix":"/brief/","Type":"streaming","TimeoutMs":11000,"SloMs":2000,"Priority":0,"Service":"brief-models","MaxAttempts":1,"Public":true,"Resumable":false,"GapTargetMs":400}"#;
const GAP: Duration = Duration::from_millis(200);
/// One of seven leaves, a share below 0.15.
const WORKERS: usize = 7;
const STREAMS: usize = 56;
/// Events of a stream, one each `GAP`.
const EVENTS: u64 = 28;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Streams without a length or chunks, which end with their connections.
struct Unframed;

impl Behaviour for Unframed {
    fn run(&self, worker: &Life, request: &Message, out: &mut Connection) -> io::Result<()> {
        let id = request.header("attempt-id").unwrap_or("").to_owned();
        let count = request.request().1.rsplit('/').next().and_then(|text| text.parse().ok());
        worker.record.line(&format!("worker {} runs {id}", worker.id));
        out.write(&format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\nattempt-id: {id}\r\nresponse-signature: sig.{}.{id}\r\n\r\n",
            worker.id
        ))?;
        thread::sleep(ms(60));
        for event in 1..=count.unwrap_or(EVENTS) {
            out.write(&format!("id: {event}\ndata: of {}\n\n", worker.id))?;
            thread::sleep(GAP);
        }
        worker.record.line(&format!("worker {} has sent all of {id} and ends it", worker.id));
        out.stream.shutdown(Shutdown::Write)?;
        // The connection is closed once the other side has closed it, too.
        let _ = out.stream.read(&mut [0; 64]);
        Err(io::ErrorKind::ConnectionAborted.into())
    }
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let store = Store::start(record);
    store.put("config", "main", &super::configuration(ROUTE, SERVICE));
    let unframed: Arc<dyn Behaviour> = Arc::new(Unframed);
    let workers: Vec<Life> = (0..WORKERS)
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
                    ms(11_000),
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
    let callers: Vec<_> =
        (0..STREAMS).map(|number| start("9c41d07b0001", number, EVENTS)).collect();
    thread::sleep(ms(300));
    if has_trouble {
        workers[0].drain();
    }
    thread::sleep(ms(700));
    // The machine is stopped as planned.
    gateway.signal("TERM");
    // The worker serves for DrainMs (2,000) after its report and a little longer.
    thread::sleep(ms(2_500));
    if has_trouble {
        workers[0].close_listener();
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
