//! Tests of the admin API over loopback: every call, every error, and malformed or excessive
//! requests.

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
use serde::Serialize;
use serde::de::DeserializeOwned;

use lycheeford_config::Document;
use lycheeford_operator::{
    AdminApi, AdminApiFuture, ApplyReport, ApplyRequest, CONNECTIONS_MAX, ClientCategory,
    ClientError, ConfigurationReport, CustomerReport, DrainReport, ExplainRequest, Explanation,
    GrantReport, GrantRequest, HealthReport, HostReport, HostRevision, KeyReport, ModelReport,
    OperatorClient, OperatorError, OperatorErrorCode, TargetReport, WithdrawRequest, serve,
};
use lycheeford_policy::Name;

/// An admin API that returns fixed reports and counts the calls that change something.
#[derive(Debug, Default)]
struct FixedOperator {
    changes: AtomicU64,
    /// If set, `health` doesn't respond before this channel is closed.
    gate: Option<Receiver<()>>,
}

const CONFIGURATION: &str = r#"{"revision":3,"stamp":"s","document":{"models":[{"name":"m","memory_bytes":1073741824}],"weights":{"idle_hours":0.1}}}"#;
const APPLIED: &str = r#"{"revision":4}"#;
const IN_FORCE: &str =
    r#"[{"host":"entry-1","revision":3,"confirmed_age_ms":250,"reachable":true}]"#;
const HOSTS: &str = r#"[{"host":{"name":"entry-1","role":"entry","peer_address":"127.0.1.1:7101","address":"127.0.1.1:7001","failure_domain":"north","state":"live"},"reachable":true,"connections":null}]"#;
const TARGETS: &str = r#"[{"name":"worker-1","failure_domain":"north","state":"leaving","healthy":false,"memory_bytes":68719476736,"memory_reserved_bytes":1024,"requests_running":1,"ready":["m"]}]"#;
const MODELS: &str = r#"[{"name":"m","base":null,"replicas_max":2,"replicas":[{"target":"worker-1","state":"loading"}],"requests_waiting":1}]"#;
const CUSTOMERS: &str = r#"[{"name":"c","rate_tokens_per_s":10,"burst_tokens":100,"share_ppm":250000,"available_tokens":20,"admitted":5,"refused":1}]"#;
const KEYS: &str = r#"[{"id":"00ff","customer":"c"}]"#;
const GRANTED: &str = r#"{"id":"00ff","customer":"c","secret":"lf_00ff_5ec2e7","revision":4}"#;
const DRAINING: &str = r#"{"host":"entry-1","requests_running":2}"#;
const EXPLANATION: &str = r#"{"kind":"request","subject":"req-1","summary":"over its rate","facts":[{"about":"rate","finding":"10 tokens short"}]}"#;
const HEALTH: &str = r#"{"host":"entry-1","state":"serving","revision":3,"confirmed_age_ms":250}"#;
const METRICS: &str = "# EOF\n";

impl FixedOperator {
    fn record_change<T: DeserializeOwned + Send + 'static>(
        &self,
        report: &str,
    ) -> AdminApiFuture<'_, T> {
        self.changes.fetch_add(1, Ordering::SeqCst);
        report_from_json(report)
    }
}

fn report_from_json<'a, T: DeserializeOwned + Send + 'a>(report: &str) -> AdminApiFuture<'a, T> {
    Box::pin(future::ready(Ok(serde_json::from_str(report).unwrap())))
}

fn error_answer<'a, T: Send + 'a>(error: OperatorError) -> AdminApiFuture<'a, T> {
    Box::pin(future::ready(Err(error)))
}

impl AdminApi for FixedOperator {
    fn configuration(&self) -> AdminApiFuture<'_, ConfigurationReport> {
        report_from_json(CONFIGURATION)
    }

    fn apply(&self, request: ApplyRequest) -> AdminApiFuture<'_, ApplyReport> {
        if request.base_revision != 3 {
            return error_answer(OperatorError::conflict(3, "changed; compare and apply again"));
        }
        self.record_change(APPLIED)
    }

    fn in_force(&self) -> AdminApiFuture<'_, Vec<HostRevision>> {
        report_from_json(IN_FORCE)
    }

    fn hosts(&self) -> AdminApiFuture<'_, Vec<HostReport>> {
        report_from_json(HOSTS)
    }

    fn targets(&self) -> AdminApiFuture<'_, Vec<TargetReport>> {
        report_from_json(TARGETS)
    }

    fn models(&self) -> AdminApiFuture<'_, Vec<ModelReport>> {
        report_from_json(MODELS)
    }

    fn customers(&self) -> AdminApiFuture<'_, Vec<CustomerReport>> {
        report_from_json(CUSTOMERS)
    }

    fn keys(&self) -> AdminApiFuture<'_, Vec<KeyReport>> {
        report_from_json(KEYS)
    }

    fn grant_key(&self, request: GrantRequest) -> AdminApiFuture<'_, GrantReport> {
        assert_eq!(request.customer.as_str(), "c");
        self.record_change(GRANTED)
    }

    fn withdraw_key(&self, request: WithdrawRequest) -> AdminApiFuture<'_, ApplyReport> {
        let message = format!("no key has the id {}; see the list of keys", request.id);
        error_answer(OperatorError::new(OperatorErrorCode::NotFound, message))
    }

    fn drain(&self) -> AdminApiFuture<'_, DrainReport> {
        self.record_change(DRAINING)
    }

    fn explain(&self, request: ExplainRequest) -> AdminApiFuture<'_, Explanation> {
        assert_eq!(request.subject, "req-1");
        report_from_json(EXPLANATION)
    }

    fn metrics(&self) -> AdminApiFuture<'_, String> {
        Box::pin(future::ready(Ok(METRICS.to_owned())))
    }

    fn health(&self) -> AdminApiFuture<'_, HealthReport> {
        let gate = self.gate.clone();
        Box::pin(async move {
            if let Some(gate) = gate {
                let _ = gate.recv().await;
            }
            Ok(serde_json::from_str(HEALTH).unwrap())
        })
    }
}

struct RunningServer {
    address: SocketAddr,
    stop: Sender<()>,
    server: JoinHandle<()>,
}

async fn start(operator: Arc<dyn AdminApi>) -> RunningServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = bounded::<()>(1);
    let server = task::spawn(serve(listener, operator, async move {
        let _ = stopped.recv().await;
    }));
    RunningServer { address, stop, server }
}

#[track_caller]
fn check<T: Serialize>(answer: Result<T, ClientError>, expected: &str) {
    assert_eq!(serde_json::to_string(&answer.unwrap()).unwrap(), expected);
}

#[async_std::test]
async fn every_call_reaches_the_operator_and_returns_its_report() {
    let operator = Arc::new(FixedOperator::default());
    let running = start(operator.clone()).await;
    let client = OperatorClient::new(running.address);
    check(client.configuration().await, CONFIGURATION);
    check(client.in_force().await, IN_FORCE);
    check(client.hosts().await, HOSTS);
    check(client.targets().await, TARGETS);
    check(client.models().await, MODELS);
    check(client.customers().await, CUSTOMERS);
    check(client.keys().await, KEYS);
    check(client.health().await, HEALTH);
    assert_eq!(client.metrics().await.unwrap(), METRICS);
    check(client.explain(&ExplainRequest { subject: "req-1".to_owned() }).await, EXPLANATION);
    assert_eq!(operator.changes.load(Ordering::SeqCst), 0);

    let document = client.configuration().await.unwrap().document;
    let request = ApplyRequest { base_revision: 3, stamp: "mine".to_owned(), document };
    check(client.apply(&request).await, APPLIED);
    let request = GrantRequest { customer: Name::from("c") };
    let granted = client.grant_key(&request).await;
    assert!(!format!("{granted:?}").contains("5ec2e7"), "the secret is in the debug output");
    check(granted, GRANTED);
    check(client.drain().await, DRAINING);
    assert_eq!(operator.changes.load(Ordering::SeqCst), 3);
}

#[async_std::test]
async fn errors_keep_their_code_and_revision() {
    let running = start(Arc::new(FixedOperator::default())).await;
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

struct BadRequestCase {
    name: &'static str,
    head: &'static str,
    body: String,
    status: &'static str,
}

fn bad_request_cases() -> Vec<BadRequestCase> {
    let post = "POST /keys HTTP/1.1\r\nhost: d\r\ncontent-type: application/json\r\n";
    let case = |name, head, body: &str, status| BadRequestCase {
        name,
        head,
        body: body.to_owned(),
        status,
    };
    let mut cases = vec![
        case("no such call", "GET /nothing HTTP/1.1\r\nhost: d\r\n", "", "404"),
        case("another method", "DELETE /keys HTTP/1.1\r\nhost: d\r\n", "", "404"),
        case("not HTTP", "hello\r\n", "", "400"),
        case(
            "a form that a web page can submit",
            "POST /drain HTTP/1.1\r\nhost: d\r\ncontent-type: text/plain\r\ncontent-length: 0\r\n",
            "",
            "400",
        ),
        case(
            "content-length together with transfer-encoding",
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
        ("a truncated body", "content-length: 90\r\n", r#"{"customer":"c"}"#.to_owned(), "400"),
        (
            "a bad chunk",
            "transfer-encoding: chunked\r\n",
            "zz\r\n{}\r\n0\r\n\r\n".to_owned(),
            "400",
        ),
        ("a body that is too long", "content-length: 4300000\r\n", " ".repeat(4_300_000), "413"),
    ];
    for (name, head, body, status) in posts {
        let head = format!("{post}{head}").leak();
        cases.push(BadRequestCase { name, head, body, status });
    }
    let head = format!("GET /hosts HTTP/1.1\r\nx: {}\r\n", "a".repeat(5_000_000)).leak();
    cases.push(BadRequestCase {
        name: "a header that is too long",
        head,
        body: String::new(),
        status: "413",
    });
    cases
}

#[async_std::test]
async fn bad_requests_are_refused_and_change_nothing() {
    let operator = Arc::new(FixedOperator::default());
    let running = start(operator.clone()).await;
    for case in bad_request_cases() {
        let mut stream = TcpStream::connect(running.address).await.unwrap();
        let text = format!("{}\r\n{}", case.head, case.body);
        // The daemon may close the connection before it has read the whole request.
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
    let running = start(Arc::new(FixedOperator::default())).await;
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
async fn a_stop_waits_for_requests_in_progress() {
    let (open, gate) = bounded::<()>(1);
    let mut running =
        start(Arc::new(FixedOperator { gate: Some(gate), ..FixedOperator::default() })).await;
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
    assert!(early.is_err(), "the server stopped while a request was in progress");
    drop(open);
    check(waiting.await, HEALTH);
    running.server.await;
}

struct BadResponseCase {
    name: &'static str,
    answer: &'static str,
    category: ClientCategory,
}

const BAD_RESPONSE_CASES: &[BadResponseCase] = &[
    BadResponseCase { name: "no response", answer: "", category: ClientCategory::AnswerLost },
    BadResponseCase {
        name: "a body of valid JSON that is shorter than its declared length",
        answer: "HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{\"revision\":4}",
        category: ClientCategory::AnswerLost,
    },
    BadResponseCase {
        name: "an error page of another server",
        answer: "HTTP/1.1 502 Bad Gateway\r\ncontent-length: 4\r\n\r\noops",
        category: ClientCategory::AnswerLost,
    },
    BadResponseCase {
        name: "another version of the API",
        answer: "HTTP/1.1 200 OK\r\ncontent-length: 15\r\n\r\n{\"committed\":4}",
        category: ClientCategory::Unreadable,
    },
];

#[async_std::test]
async fn a_lost_response_is_distinguished_from_an_unsent_call() {
    for case in BAD_RESPONSE_CASES {
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

/// The reports of daemons of different builds about a host, and the build that they say.
const BUILDS: &[(&str, Option<&str>)] = &[
    (HOST_BEFORE_BUILDS, None),
    (
        r#"{"host":{"name":"entry-1","role":"entry","peer_address":"127.0.1.1:7101","address":"127.0.1.1:7001","failure_domain":"north","state":"live"},"reachable":true,"connections":null,"build":"0.1.0+c0ffee"}"#,
        Some("0.1.0+c0ffee"),
    ),
];
const HOST_BEFORE_BUILDS: &str = r#"{"host":{"name":"entry-1","role":"entry","peer_address":"127.0.1.1:7101","address":"127.0.1.1:7001","failure_domain":"north","state":"live"},"reachable":true,"connections":null}"#;

#[test]
fn a_report_of_a_daemon_that_knows_no_builds_is_read() {
    for (text, build) in BUILDS {
        let report: HostReport = serde_json::from_str(text).unwrap();
        assert_eq!(report.build.as_ref().map(Name::as_str), *build, "{text}");
        assert_eq!(serde_json::to_string(&report).unwrap(), *text);
    }
}
