//! The admin API over loopback: every call, every error and hostile callers.

use std::future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use assert_matches::assert_matches;
use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{Shutdown, TcpListener, TcpStream};
use async_std::task::{self, JoinHandle};

use lycheeford_config::Document;
use lycheeford_operator::{
    Answer, ApplyReport, ApplyRequest, CONNECTIONS_MAX, ClientCategory, ConfigurationReport,
    CustomerReport, DrainReport, ExplainRequest, Explanation, Fact, GrantReport, GrantRequest,
    HealthReport, HealthState, HostReport, HostRevision, KeyReport, ModelReport, Operator,
    OperatorClient, OperatorError, OperatorErrorCode, ReplicaReport, ReplicaState, SubjectKind,
    TargetReport, WithdrawRequest, serve,
};
use lycheeford_policy::{Host, HostRole, HostState, Name};

/// Answers with fixed reports, and counts the calls that change something.
#[derive(Debug, Default)]
struct Fixed {
    changes: AtomicU64,
    /// Holds back `health` until it is closed.
    gate: Option<Receiver<()>>,
}

impl Fixed {
    fn changed(&self) -> u64 {
        self.changes.fetch_add(1, Ordering::SeqCst) + 1
    }
}

fn ready<'a, T: Send + 'a>(report: T) -> Answer<'a, T> {
    Box::pin(future::ready(Ok(report)))
}

impl Operator for Fixed {
    fn configuration(&self) -> Answer<'_, ConfigurationReport> {
        ready(configuration())
    }

    fn apply(&self, request: ApplyRequest) -> Answer<'_, ApplyReport> {
        if request.base_revision != 3 {
            let error = OperatorError::conflict(3, "changed; compare and apply again");
            return Box::pin(future::ready(Err(error)));
        }
        ready(ApplyReport { revision: self.changed() + 3 })
    }

    fn in_force(&self) -> Answer<'_, Vec<HostRevision>> {
        ready(in_force())
    }

    fn hosts(&self) -> Answer<'_, Vec<HostReport>> {
        ready(hosts())
    }

    fn targets(&self) -> Answer<'_, Vec<TargetReport>> {
        ready(targets())
    }

    fn models(&self) -> Answer<'_, Vec<ModelReport>> {
        ready(models())
    }

    fn customers(&self) -> Answer<'_, Vec<CustomerReport>> {
        ready(customers())
    }

    fn keys(&self) -> Answer<'_, Vec<KeyReport>> {
        ready(keys())
    }

    fn grant_key(&self, request: GrantRequest) -> Answer<'_, GrantReport> {
        self.changed();
        ready(granted(request.customer))
    }

    fn withdraw_key(&self, request: WithdrawRequest) -> Answer<'_, ApplyReport> {
        self.changed();
        let message = format!("no key has the id {}; see the list of keys", request.id);
        Box::pin(future::ready(Err(OperatorError::new(OperatorErrorCode::NotFound, message))))
    }

    fn drain(&self) -> Answer<'_, DrainReport> {
        self.changed();
        ready(DrainReport { host: Name::from("entry-1"), requests_running: 2 })
    }

    fn explain(&self, request: ExplainRequest) -> Answer<'_, Explanation> {
        ready(explanation(request.subject))
    }

    fn metrics(&self) -> Answer<'_, String> {
        ready("# EOF\n".to_owned())
    }

    fn health(&self) -> Answer<'_, HealthReport> {
        let gate = self.gate.clone();
        Box::pin(async move {
            if let Some(gate) = gate {
                let _ = gate.recv().await;
            }
            Ok(health())
        })
    }
}

fn configuration() -> ConfigurationReport {
    let yaml = "models: [{ name: m, memory_bytes: 1 GiB }]\nweights: { idle_hours: 0.1 }";
    let document = Document::from_yaml(yaml, "base.yaml").unwrap();
    ConfigurationReport { revision: 3, stamp: "s".to_owned(), document }
}

fn in_force() -> Vec<HostRevision> {
    let host = Name::from("entry-1");
    vec![HostRevision { host, revision: 3, confirmed_age_ms: 250, reachable: true }]
}

fn hosts() -> Vec<HostReport> {
    let host = Host {
        name: Name::from("entry-1"),
        role: HostRole::Entry { peer_address: ([127, 0, 1, 1], 7101).into() },
        address: ([127, 0, 1, 1], 7001).into(),
        failure_domain: Name::from("north"),
        state: HostState::Live,
    };
    vec![HostReport { host, reachable: true, connections: None }]
}

fn targets() -> Vec<TargetReport> {
    vec![TargetReport {
        name: Name::from("worker-1"),
        failure_domain: Name::from("north"),
        state: HostState::Leaving,
        healthy: false,
        memory_bytes: 1 << 36,
        memory_reserved_bytes: 1 << 30,
        requests_running: 1,
        ready: vec![Name::from("m")],
    }]
}

fn models() -> Vec<ModelReport> {
    let replica = ReplicaReport { target: Name::from("worker-1"), state: ReplicaState::Loading };
    vec![ModelReport {
        name: Name::from("m"),
        base: None,
        replicas_max: 2,
        replicas: vec![replica],
        requests_waiting: 1,
    }]
}

fn customers() -> Vec<CustomerReport> {
    vec![CustomerReport {
        name: Name::from("c"),
        rate_tokens_per_s: 10,
        burst_tokens: 100,
        share_ppm: 250_000,
        available_tokens: 20,
        admitted: 5,
        refused: 1,
    }]
}

fn keys() -> Vec<KeyReport> {
    vec![KeyReport { id: Name::from("00ff"), customer: Name::from("c") }]
}

fn granted(customer: Name) -> GrantReport {
    let secret = "lf_00ff_5ec2e7".to_owned();
    GrantReport { id: Name::from("00ff"), customer, secret, revision: 4 }
}

fn explanation(subject: String) -> Explanation {
    let fact = Fact { about: "rate".to_owned(), finding: "10 tokens short".to_owned() };
    let summary = "over its rate".to_owned();
    Explanation { kind: SubjectKind::Request, subject, summary, facts: vec![fact] }
}

fn health() -> HealthReport {
    HealthReport {
        host: Name::from("entry-1"),
        state: HealthState::Serving,
        revision: 3,
        confirmed_age_ms: 250,
    }
}

struct Running {
    address: SocketAddr,
    stop: Sender<()>,
    server: JoinHandle<()>,
}

async fn start(operator: Arc<dyn Operator>) -> Running {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = bounded::<()>(1);
    let server = task::spawn(serve(listener, operator, async move {
        let _ = stopped.recv().await;
    }));
    Running { address, stop, server }
}

#[async_std::test]
async fn every_call_arrives_and_answers() {
    let running = start(Arc::new(Fixed::default())).await;
    let client = OperatorClient::new(running.address);
    assert_eq!(client.configuration().await.unwrap(), configuration());
    let request = ApplyRequest {
        base_revision: 3,
        stamp: "mine".to_owned(),
        document: configuration().document,
    };
    assert_eq!(client.apply(&request).await.unwrap(), ApplyReport { revision: 4 });
    assert_eq!(client.in_force().await.unwrap(), in_force());
    assert_eq!(client.hosts().await.unwrap(), hosts());
    assert_eq!(client.targets().await.unwrap(), targets());
    assert_eq!(client.models().await.unwrap(), models());
    assert_eq!(client.customers().await.unwrap(), customers());
    assert_eq!(client.keys().await.unwrap(), keys());
    let customer = Name::from("c");
    let report = client.grant_key(&GrantRequest { customer: customer.clone() }).await.unwrap();
    assert!(report == granted(customer));
    assert!(!format!("{report:?}").contains("5ec2e7"), "the secret is in the debug output");
    assert_eq!(client.drain().await.unwrap().requests_running, 2);
    let request = ExplainRequest { subject: "req-1".to_owned() };
    assert_eq!(client.explain(&request).await.unwrap(), explanation("req-1".to_owned()));
    assert_eq!(client.metrics().await.unwrap(), "# EOF\n");
    assert_eq!(client.health().await.unwrap(), health());
}

#[async_std::test]
async fn errors_keep_their_code_and_revision() {
    let running = start(Arc::new(Fixed::default())).await;
    let client = OperatorClient::new(running.address);
    let request =
        ApplyRequest { base_revision: 2, stamp: "s".to_owned(), document: Document::default() };
    let error = client.apply(&request).await.unwrap_err();
    assert_eq!(error.category(), ClientCategory::Refused);
    assert_matches!(
        error.refusal(),
        Some(OperatorError { code: OperatorErrorCode::Conflict, revision: Some(3), .. })
    );
    let error = client.withdraw_key(&WithdrawRequest { id: Name::from("x") }).await.unwrap_err();
    assert_matches!(error.refusal().unwrap().code, OperatorErrorCode::NotFound);
}

struct HostileCase {
    name: &'static str,
    head: &'static str,
    body: String,
    status: &'static str,
}

fn hostile_cases() -> Vec<HostileCase> {
    let post = "POST /keys HTTP/1.1\r\nhost: d\r\ncontent-type: application/json\r\n";
    let case =
        |name, head, body: &str, status| HostileCase { name, head, body: body.to_owned(), status };
    let mut cases = vec![
        case("no such call", "GET /nothing HTTP/1.1\r\nhost: d\r\n", "", "404"),
        case("another method", "DELETE /keys HTTP/1.1\r\nhost: d\r\n", "", "404"),
        case("not HTTP", "hello\r\n", "", "400"),
        case(
            "a form of a web page",
            "POST /drain HTTP/1.1\r\nhost: d\r\ncontent-type: text/plain\r\ncontent-length: 0\r\n",
            "",
            "400",
        ),
        case(
            "both lengths",
            "POST /drain HTTP/1.1\r\nhost: d\r\ncontent-type: application/json\r\n\
             content-length: 0\r\ntransfer-encoding: chunked\r\n",
            "0\r\n\r\n",
            "400",
        ),
    ];
    let posts = [
        ("not JSON", "content-length: 3\r\n", "{a}".to_owned(), "400"),
        (
            "an unknown field",
            "content-length: 27\r\n",
            r#"{"customer":"c","role":"x"}"#.to_owned(),
            "400",
        ),
        ("a body cut off", "content-length: 90\r\n", r#"{"customer":"c"}"#.to_owned(), "400"),
        (
            "a bad chunk",
            "transfer-encoding: chunked\r\n",
            "zz\r\n{}\r\n0\r\n\r\n".to_owned(),
            "400",
        ),
        ("too long a body", "content-length: 4300000\r\n", " ".repeat(4_300_000), "413"),
    ];
    for (name, head, body, status) in posts {
        let head = format!("{post}{head}").leak();
        cases.push(HostileCase { name, head, body, status });
    }
    let head = format!("GET /hosts HTTP/1.1\r\nx: {}\r\n", "a".repeat(5_000_000)).leak();
    cases.push(HostileCase { name: "an endless header", head, body: String::new(), status: "413" });
    cases
}

#[async_std::test]
async fn hostile_requests_are_refused_and_change_nothing() {
    let operator = Arc::new(Fixed::default());
    let running = start(operator.clone()).await;
    for case in hostile_cases() {
        let mut stream = TcpStream::connect(running.address).await.unwrap();
        let text = format!("{}\r\n{}", case.head, case.body);
        // The daemon may close before it has read everything.
        let _ = stream.write_all(text.as_bytes()).await;
        let _ = stream.shutdown(Shutdown::Write);
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
        let answer = String::from_utf8_lossy(&answer);
        let status = answer.split(' ').nth(1).unwrap_or("none");
        assert_eq!(status, case.status, "{}: {answer}", case.name);
        assert!(answer.contains(r#"{"error":{"code":""#), "{}: {answer}", case.name);
    }
    assert_eq!(operator.changes.load(Ordering::SeqCst), 0);
}

#[async_std::test]
async fn connections_are_bounded() {
    let running = start(Arc::new(Fixed::default())).await;
    let mut silent = Vec::new();
    for _ in 0..CONNECTIONS_MAX {
        silent.push(TcpStream::connect(running.address).await.unwrap());
    }
    let client = OperatorClient::new(running.address);
    let error = client.hosts().await.unwrap_err();
    assert_eq!(error.category(), ClientCategory::Unreachable);
    drop(silent);
    while client.hosts().await.is_err() {
        task::sleep(Duration::from_millis(5)).await;
    }
}

#[async_std::test]
async fn a_stop_finishes_what_is_under_way() {
    let (open, gate) = bounded::<()>(1);
    let mut running = start(Arc::new(Fixed { gate: Some(gate), ..Fixed::default() })).await;
    let client = OperatorClient::new(running.address);
    let waiting = task::spawn(async move { client.health().await });
    while open.receiver_count() < 2 {
        task::sleep(Duration::from_millis(5)).await;
    }
    drop(running.stop);
    while client.hosts().await.is_ok() {
        task::sleep(Duration::from_millis(5)).await;
    }
    let early = timeout(Duration::from_millis(50), &mut running.server).await;
    assert!(early.is_err(), "the server ended under a request");
    drop(open);
    assert_eq!(waiting.await.unwrap(), health());
    running.server.await;
}

struct BrokenCase {
    name: &'static str,
    answer: &'static str,
    category: ClientCategory,
}

const BROKEN_CASES: &[BrokenCase] = &[
    BrokenCase { name: "no answer at all", answer: "", category: ClientCategory::AnswerLost },
    BrokenCase {
        name: "a body shorter than its length, yet valid JSON",
        answer: "HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{\"revision\":4}",
        category: ClientCategory::AnswerLost,
    },
    BrokenCase {
        name: "an error page of something else",
        answer: "HTTP/1.1 502 Bad Gateway\r\ncontent-length: 4\r\n\r\noops",
        category: ClientCategory::AnswerLost,
    },
    BrokenCase {
        name: "another version of the API",
        answer: "HTTP/1.1 200 OK\r\ncontent-length: 15\r\n\r\n{\"committed\":4}",
        category: ClientCategory::Unreadable,
    },
];

#[async_std::test]
async fn a_lost_answer_is_told_from_an_unsent_call() {
    for case in BROKEN_CASES {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client = OperatorClient::new(listener.local_addr().unwrap());
        let server = task::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 4096];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(case.answer.as_bytes()).await;
        });
        let request =
            ApplyRequest { base_revision: 3, stamp: "s".to_owned(), document: Document::default() };
        let error = client.apply(&request).await.unwrap_err();
        assert_eq!(error.category(), case.category, "{}: {error}", case.name);
        server.await;
        let error = client.apply(&request).await.unwrap_err();
        assert_eq!(error.category(), ClientCategory::Unreachable, "{}: {error}", case.name);
    }
}
