//! Lanes between daemons, also while connections are cut or stop responding.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::io::ReadExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use lycheeford_peer::{BeatFailure, Member, PeerHandler, PeerLimits, Peers, SendOutcome};
use lycheeford_policy::{AskId, Incarnation, Name};
use lycheeford_wire::{Hello, HostReport, LoanAsk, Message, SpareTokens, WireError, encode};

#[derive(Debug)]
struct Recorder {
    host: Name,
    beats: Mutex<Vec<Name>>,
    missed: Mutex<Vec<BeatFailure>>,
    loans: Mutex<Vec<u64>>,
    /// Why messages weren't understood, with the build of their sender.
    unread: Mutex<Vec<(Option<Name>, String)>>,
    /// The number of customers with spare tokens in each reply and in each beat.
    answers_spare: Mutex<Vec<usize>>,
    beats_spare: Mutex<Vec<usize>>,
}

impl Recorder {
    fn new(host: &str) -> Arc<Recorder> {
        Arc::new(Recorder {
            host: host.into(),
            beats: Mutex::default(),
            missed: Mutex::default(),
            loans: Mutex::default(),
            unread: Mutex::default(),
            answers_spare: Mutex::default(),
            beats_spare: Mutex::default(),
        })
    }
}

impl PeerHandler for Recorder {
    fn report(&self) -> HostReport {
        HostReport {
            host: self.host.clone(),
            incarnation: Incarnation(1),
            configuration_revision: 0,
            confirmed_age_ms: None,
            draining: false,
            spare: vec![SpareTokens { customer: "north".into(), tokens: 1 }],
        }
    }

    fn reply_received(&self, report: HostReport, _age_ms: u64) {
        self.answers_spare.lock().unwrap().push(report.spare.len());
        self.beats.lock().unwrap().push(report.host);
    }

    fn beat_received(&self, _from: &Hello, report: HostReport) {
        self.beats_spare.lock().unwrap().push(report.spare.len());
    }

    fn beat_failed(&self, _host: &str, how: BeatFailure) {
        self.missed.lock().unwrap().push(how);
    }

    fn message_unread(&self, _host: &Name, build: Option<&Name>, error: &WireError) {
        self.unread.lock().unwrap().push((build.cloned(), error.to_string()));
    }

    fn message_received(&self, _from: &Hello, message: Message) {
        if let Message::LoanAsk(ask) = message {
            self.loans.lock().unwrap().push(ask.ask.0);
        }
    }
}

/// The number of lanes, and so of connections, to one member.
const LANES: usize = 2;

fn limits() -> PeerLimits {
    PeerLimits { answer_ms_max: 200, beat_interval_ms: 20, reconnect_ms: 20, ..Default::default() }
}

async fn start(host: &str) -> (Arc<Recorder>, Peers<Recorder>, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let inbox = Recorder::new(host);
    let me = Hello { host: host.into(), incarnation: Incarnation(1), build: None };
    (inbox.clone(), Peers::start(listener, me, limits(), inbox), address)
}

fn member(host: &str, address: SocketAddr) -> Member {
    Member { host: host.into(), address }
}

fn loan_ask(ask: u64) -> Message {
    Message::LoanAsk(LoanAsk { ask: AskId(ask), customer: "north".into(), tokens: 1 })
}

/// Waits until `done` returns true; only failing tests reach the time limit.
async fn wait_until(done: impl Fn() -> bool) {
    for _ in 0..4_000 {
        if done() {
            return;
        }
        task::sleep(Duration::from_millis(5)).await;
    }
    panic!("the condition wasn't met within 20 s");
}

/// Starts a relay to `target` whose first connection of each lane drops all data after
/// `first_bytes_max` bytes.
async fn start_silencing_relay(first_bytes_max: usize, target: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        let mut accepted = 0;
        while let Ok((stream, _)) = listener.accept().await {
            let limit = if accepted < LANES { first_bytes_max } else { usize::MAX };
            accepted += 1;
            let upstream = TcpStream::connect(target).await.unwrap();
            task::spawn(forward(stream.clone(), upstream.clone(), limit));
            task::spawn(forward(upstream, stream, limit));
        }
    });
    address
}

async fn forward(mut from: TcpStream, mut to: TcpStream, bytes_max: usize) {
    use async_std::io::WriteExt;
    let mut forwarded_bytes = 0;
    let mut buffer = [0; 4096];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 {
            break;
        }
        forwarded_bytes += count;
        if forwarded_bytes <= bytes_max && to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
}

#[async_std::test]
async fn messages_reach_a_member_in_order() {
    let (_, a, _) = start("a").await;
    let (inbox, _b, address) = start("b").await;
    a.set_members(vec![member("b", address)]);
    for loan_id in 0..500 {
        assert_eq!(a.send("b", loan_ask(loan_id)), SendOutcome::Queued);
    }
    wait_until(|| inbox.loans.lock().unwrap().len() == 500).await;
    assert_eq!(*inbox.loans.lock().unwrap(), (0..500).collect::<Vec<u64>>());
    assert_eq!(a.send("c", loan_ask(0)), SendOutcome::UnknownHost);
}

#[async_std::test]
async fn a_silent_connection_is_replaced_without_reporting_a_failure() {
    let (inbox_a, a, _) = start("a").await;
    let (_, _b, address) = start("b").await;
    a.set_members(vec![member("b", start_silencing_relay(200, address).await)]);
    wait_until(|| inbox_a.beats.lock().unwrap().len() >= 20).await;
    assert_eq!(*inbox_a.missed.lock().unwrap(), []);
}

#[async_std::test]
async fn a_message_on_a_silent_connection_arrives_over_a_fresh_one() {
    let (_, a, _) = start("a").await;
    let (inbox_b, _b, address) = start("b").await;
    a.set_members(vec![member("b", start_silencing_relay(60, address).await)]);
    for loan_id in 0..5 {
        a.send("b", loan_ask(loan_id));
        task::sleep(Duration::from_millis(30)).await;
    }
    wait_until(|| {
        let arrived = inbox_b.loans.lock().unwrap();
        (0..5).all(|loan_id| arrived.contains(&loan_id))
    })
    .await;
}

#[async_std::test]
async fn a_missing_process_and_another_host_are_distinguished() {
    let (inbox_a, a, _) = start("a").await;
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let (_, _c, other) = start("c").await;
    a.set_members(vec![member("b", closed)]);
    wait_until(|| inbox_a.missed.lock().unwrap().contains(&BeatFailure::Refused)).await;
    a.set_members(vec![member("b", other)]);
    wait_until(|| inbox_a.missed.lock().unwrap().contains(&BeatFailure::OtherHost)).await;
}

#[async_std::test]
async fn only_replies_contain_spare_tokens() {
    let (north, north_peers, _) = start("north").await;
    let (south, _south_peers, south_address) = start("south").await;
    north_peers.set_members(vec![member("south", south_address)]);

    wait_until(|| north.answers_spare.lock().unwrap().len() >= 2).await;
    assert!(north.answers_spare.lock().unwrap().iter().all(|spare| *spare == 1));
    assert!(south.beats_spare.lock().unwrap().iter().all(|spare| *spare == 0));
}

/// A frame of a newer build: its body has a tag that no build has yet.
const NEWER_FRAME: [u8; 4] = [0xfa, 0x3e, 1, 0];
const FLUSHED_FRAME_BYTES: usize = 8;

/// Regression test: one message of an unknown kind closed the connection, and the messages of its
/// batch that came after it were lost.
#[async_std::test]
async fn a_message_of_an_unknown_kind_costs_no_other_message() {
    use async_std::io::WriteExt;
    let (inbox, _b, address) = start("b").await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let hello =
        Hello { host: "a".into(), incarnation: Incarnation(1), build: Some("9.9.9+newer".into()) };
    let frames = [
        encode(Message::Hello(hello)),
        NEWER_FRAME.to_vec(),
        encode(loan_ask(7)),
        encode(Message::Flush(1)),
    ];
    for frame in frames {
        stream.write_all(&(frame.len() as u32).to_be_bytes()).await.unwrap();
        stream.write_all(&frame).await.unwrap();
    }
    let mut flushed = [0; FLUSHED_FRAME_BYTES];
    stream.read_exact(&mut flushed).await.unwrap();
    assert_eq!(flushed[4..], encode(Message::Flushed(1)));
    assert_eq!(*inbox.loans.lock().unwrap(), [7]);
    let unread = inbox.unread.lock().unwrap().clone();
    let error = "frame has no body of a known type; compare the builds of both hosts".to_owned();
    assert_eq!(unread, [(Some("9.9.9+newer".into()), error)]);
}

/// Bytes of no build end the connection, and nothing else.
#[async_std::test]
async fn bytes_of_no_build_end_their_connection_alone() {
    use async_std::io::WriteExt;
    let (_, a, _) = start("a").await;
    let (inbox, _b, address) = start("b").await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let hello = Hello { host: "a".into(), incarnation: Incarnation(1), build: None };
    for frame in [encode(Message::Hello(hello)), vec![0xff; 5]] {
        stream.write_all(&(frame.len() as u32).to_be_bytes()).await.unwrap();
        stream.write_all(&frame).await.unwrap();
    }
    assert_eq!(stream.read(&mut [0; 8]).await.unwrap_or(0), 0, "the connection ends");
    a.set_members(vec![member("b", address)]);
    a.send("b", loan_ask(8));
    wait_until(|| *inbox.loans.lock().unwrap() == [8]).await;
    assert!(inbox.unread.lock().unwrap().is_empty());
}
