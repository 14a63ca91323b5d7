//! Callers that read slowly while memory is short: the slowest loses its connection, and others are
//! served.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;
use lycheeford_caller::{
    Bounds, CallerBody, CallerResponse, HeldBytes, MemoryAccount, ReaderState, RequestHead,
    Service, SharedBody, Stop, chunk_channel, refusal_response, serve_service,
};
use lycheeford_policy::{Name, Refusal};

/// More than the kernel's buffers of one connection hold, and more than half of the account.
const ANSWER_BYTES: usize = 16 << 20;
const ACCOUNT_BYTES: usize = 24 << 20;
const WAIT: Duration = Duration::from_secs(5);

/// How the server answers.
#[derive(Debug, Clone, Copy)]
enum Form {
    Length,
    UntilClose,
    Stream,
}

#[derive(Clone)]
struct Large {
    form: Form,
    memory: Arc<MemoryAccount>,
    closed: Arc<Mutex<Vec<ReaderState>>>,
}

impl Service for Large {
    type Request = ();

    fn bounds(&self) -> Bounds {
        Bounds::default()
    }

    async fn read(&self, _: Name, _: RequestHead, _: SharedBody) -> Result<(), Refusal> {
        Ok(())
    }

    async fn answer(&self, (): ()) -> CallerResponse {
        let mut held = HeldBytes::new(self.memory.reservation());
        let body = match self.form {
            Form::Length | Form::UntilClose => {
                held.push(&vec![b'a'; ANSWER_BYTES], WAIT).await.unwrap();
                match self.form {
                    Form::Length => CallerBody::Held(held),
                    _ => CallerBody::HeldUntilClose(held),
                }
            }
            Form::Stream => {
                let (sender, receiver) = chunk_channel();
                let mut memory = self.memory.reservation();
                memory.grow_within(ANSWER_BYTES, WAIT).await.unwrap();
                task::spawn(async move {
                    let _ = sender.send_held(vec![b'a'; ANSWER_BYTES], memory).await;
                    sender.finish();
                });
                CallerBody::Stream(receiver)
            }
        };
        CallerResponse { status: 200, headers: Vec::new(), body }
    }

    fn refuse(&self, id: &Name, refusal: &Refusal) -> CallerResponse {
        refusal_response(id, refusal)
    }

    fn slow_caller_closed(&self, _: &Name, state: &ReaderState) {
        self.closed.lock().unwrap().push(*state);
    }

    fn accept_failed(&self, error: &std::io::Error) {
        panic!("{error}");
    }
}

/// Guards against an answer that takes the memory for as long as its caller likes.
#[test]
fn a_slow_reader_loses_its_connection_if_another_caller_needs_the_memory() {
    let runs = [Form::Length, Form::UntilClose, Form::Stream].map(|form| {
        thread::spawn(move || {
            let memory = MemoryAccount::new(ACCOUNT_BYTES);
            let closed = Arc::<Mutex<Vec<ReaderState>>>::default();
            let service = Large { form, memory: memory.clone(), closed: closed.clone() };
            let listener = task::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
            let address = listener.local_addr().unwrap();
            let stop = Stop::new();
            let server =
                task::spawn(serve_service(listener, service, memory.clone(), stop.clone()));

            let mut slow = request(address);
            slow.read_exact(&mut [0; 16]).unwrap();
            thread::sleep(Duration::from_millis(700));
            let mut received = Vec::new();
            request(address).read_to_end(&mut received).unwrap();
            assert!(received.len() > ANSWER_BYTES, "{form:?}: {}", received.len());
            let error = slow.read_to_end(&mut Vec::new()).unwrap_err();
            assert_eq!(error.kind(), ErrorKind::ConnectionReset, "{form:?}");

            let closed = closed.lock().unwrap().clone();
            assert_eq!(closed.len(), 1, "{form:?}: {closed:?}");
            assert!(closed[0].unread_ms >= 500 && closed[0].unread_bytes > 0, "{closed:?}");
            stop.trigger();
            task::block_on(server);
            assert_eq!(memory.held_bytes(), 0, "{form:?}");
        })
    });
    for run in runs {
        run.join().unwrap();
    }
}

fn request(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n").unwrap();
    stream
}
