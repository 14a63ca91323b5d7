//! The fake service counts each run, even if its response is dropped or truncated.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use async_std::net::TcpStream;
use http_types::{Body, Method, Request, Url};
use lycheeford_fakes::{FakeService, ServiceFaults, ServiceOptions};
use serde_json::json;

const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

async fn call(address: SocketAddr) -> http_types::Result<usize> {
    let url = Url::parse(&format!("http://{address}/subscriptions?year=2"))?;
    let mut request = Request::new(Method::Post, url);
    request.insert_header("idempotency-key", "k1");
    request.set_body(Body::from_json(&json!({ "id": "charge-7" }))?);
    let stream = TcpStream::connect(address).await?;
    let mut response = async_h1::connect(stream, request).await?;
    let announced = response.len().unwrap_or_default();
    let read = response.body_bytes().await?.len();
    Ok(announced - read)
}

#[async_std::test]
async fn runs_are_counted_also_without_an_answer() {
    struct Case {
        name: &'static str,
        faults: ServiceFaults,
        answered_whole: bool,
    }
    let cases = [
        Case { name: "no fault", faults: ServiceFaults::default(), answered_whole: true },
        Case {
            name: "dropped",
            faults: ServiceFaults { drop_answers: 1, ..ServiceFaults::default() },
            answered_whole: false,
        },
        Case {
            name: "truncated",
            faults: ServiceFaults { truncate_answers: 1, ..ServiceFaults::default() },
            answered_whole: false,
        },
        Case {
            name: "died",
            faults: ServiceFaults { die_after_running: true, ..ServiceFaults::default() },
            answered_whole: false,
        },
    ];
    for case in cases {
        let service = FakeService::start(ANY_PORT, ServiceOptions::default()).await.unwrap();
        service.set_faults(case.faults);
        let answered = call(service.address()).await;
        assert_eq!(answered.is_ok_and(|lost| lost == 0), case.answered_whole, "{}", case.name);
        let runs = service.runs();
        let counted = (runs.total, runs.runs_of_key("k1"), runs.runs_of_id("charge-7"));
        assert_eq!(counted, (1, 1, 1), "{}", case.name);
    }
}
