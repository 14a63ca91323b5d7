//! Sends the demonstration's requests.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use argh::FromArgs;
use async_std::task;
use http_types::Method;
use lycheeford_fakes::{Answer, Call, expected_text};
use lycheeford_operator::{ApplyRequest, OperatorClient};
use lycheeford_policy::Host;
use serde_json::json;
use snafu::{OptionExt, ResultExt, Whatever, ensure_whatever};

/// The time within which all daemons must be ready and reach each other.
const START_MAX: Duration = Duration::from_secs(20);

/// The time within which a change must be in force on every host.
const IN_FORCE_MAX: Duration = Duration::from_secs(7);

/// The time during which a refused call is retried; a later retry is not made.
const RETRY_MAX: Duration = Duration::from_secs(5);

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const PROMPT: &str = "Is the lead off the point still open?";
const ANSWER_TOKENS: u64 = 24;

/// Send the demonstration's requests.
#[derive(Debug, FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    LoadHosts(LoadHosts),
    Await(Await),
    Once(Once),
}

/// Put the list of hosts into the platform's stand-in.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load-hosts")]
struct LoadHosts {
    /// the platform's address
    #[argh(option)]
    platform: SocketAddr,

    /// the file with the list
    #[argh(option)]
    hosts: PathBuf,
}

/// Wait until every daemon responds on its operator address and reaches all others.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "await")]
struct Await {
    /// a daemon's operator address; given once for each daemon
    #[argh(option)]
    operator: Vec<SocketAddr>,
}

/// Send a cold and a warm completion, a service call and a change, and check each.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "once")]
struct Once {
    /// any daemon's address for callers
    #[argh(option)]
    daemon: SocketAddr,

    /// any daemon's address for operators
    #[argh(option)]
    operator: SocketAddr,

    /// a customer's key
    #[argh(option)]
    key: String,

    /// the model to ask for
    #[argh(option)]
    model: String,
}

#[async_std::main]
async fn main() {
    let arguments: Arguments = argh::from_env();
    let done = match arguments.command {
        Command::LoadHosts(command) => load_hosts(command.platform, &command.hosts).await,
        Command::Await(command) => await_daemons(&command.operator).await,
        Command::Once(command) => once(&command).await,
    };
    if let Err(error) = done {
        eprintln!("demo-caller: {}", snafu::Report::from_error(error));
        std::process::exit(1);
    }
}

async fn load_hosts(platform: SocketAddr, path: &Path) -> Result<(), Whatever> {
    let text = fs::read_to_string(path).whatever_context("can't read the list of hosts")?;
    let hosts: Vec<Host> =
        serde_json::from_str(&text).whatever_context("can't decode the list of hosts")?;
    for host in hosts {
        let body = serde_json::to_vec(&host).whatever_context("can't encode a host")?;
        let path = format!("/objects/host/{}", host.name);
        let call = Call { method: Method::Put, body, ..Call::get(&path) };
        let answer = call.send(platform).await.whatever_context("the platform didn't answer")?;
        ensure_whatever!(answer.status == 200, "the platform answered {}", answer.status);
    }
    Ok(())
}

async fn await_daemons(operators: &[SocketAddr]) -> Result<(), Whatever> {
    let start = Instant::now();
    for operator in operators {
        while !reaches_all_hosts(*operator, operators.len()).await {
            let in_time = start.elapsed() < START_MAX;
            ensure_whatever!(in_time, "daemon {operator} isn't ready; see its log");
            task::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

async fn reaches_all_hosts(operator: SocketAddr, daemons: usize) -> bool {
    let hosts = OperatorClient::new(operator).in_force().await;
    hosts.is_ok_and(|hosts| hosts.len() == daemons && hosts.iter().all(|host| host.reachable))
}

async fn once(command: &Once) -> Result<(), Whatever> {
    let daemon = ask_for_address(command.daemon).await?;
    let cold = complete(daemon, command).await?;
    report("cold completion", &cold);
    let warm = complete(daemon, command).await?;
    report("warm completion", &warm);
    let service = charge(daemon, &command.key).await?;
    report("service call", &service);
    let (revision, elapsed_ms) = change(command.operator).await?;
    println!("configuration change: revision {revision} in force everywhere after {elapsed_ms} ms");
    Ok(())
}

/// Asks a daemon for the address to use, as callers do.
async fn ask_for_address(daemon: SocketAddr) -> Result<SocketAddr, Whatever> {
    let answer = Call::get("/v1/addresses").send(daemon).await;
    let answer = answer.whatever_context("can't ask the daemon for its addresses")?.json();
    let address = answer["addresses"][0]["address"].as_str();
    let address =
        address.whatever_context("the daemon's list of addresses is empty or malformed")?;
    address.parse().whatever_context("the daemon's list has an address that can't be parsed")
}

async fn complete(daemon: SocketAddr, command: &Once) -> Result<Answer, Whatever> {
    let call = Call::completion(&command.key, &command.model, PROMPT, ANSWER_TOKENS);
    let answer = send_with_retries(&call, daemon).await?;
    ensure_whatever!(answer.status == 200, "completion: {} {}", answer.status, answer.body);
    let wanted = expected_text(&command.model, PROMPT, ANSWER_TOKENS);
    let text = answer.streamed_text();
    ensure_whatever!(
        text.as_deref() == Some(&wanted),
        "the completion differs from the expected text: {text:?}"
    );
    Ok(answer)
}

/// Sends a call, and retries it while refusals carry `retry_after_ms` and [`RETRY_MAX`] allows.
async fn send_with_retries(call: &Call, daemon: SocketAddr) -> Result<Answer, Whatever> {
    let start = Instant::now();
    loop {
        let answer = call.send(daemon).await.whatever_context("the call failed")?;
        let refusal = &answer.json()["error"];
        let Some(retry_after_ms) = refusal["retry_after_ms"].as_u64() else {
            return Ok(answer);
        };
        println!("refused, to come back after {retry_after_ms} ms: {}", refusal["message"]);
        let retry_after = Duration::from_millis(retry_after_ms);
        if start.elapsed() + retry_after > RETRY_MAX {
            return Ok(answer);
        }
        task::sleep(retry_after).await;
    }
}

async fn charge(daemon: SocketAddr, key: &str) -> Result<Answer, Whatever> {
    let idempotency_key = format!("demo-{:x}", rand::random::<u64>());
    let call = Call::post("/charges", key, &json!({ "id": idempotency_key, "amount": 12 }))
        .header("idempotency-key", &idempotency_key);
    let answer = send_with_retries(&call, daemon).await?;
    ensure_whatever!(answer.status == 200, "service call: {} {}", answer.status, answer.body);
    let ran = answer.json()["id"].as_str() == Some(&idempotency_key);
    ensure_whatever!(ran, "the service's answer lacks the id of the call: {}", answer.body);
    Ok(answer)
}

/// Raises a customer's burst by one token and waits until the change is in force on every host.
async fn change(operator: SocketAddr) -> Result<(u64, u64), Whatever> {
    let client = OperatorClient::new(operator);
    let stored = client.configuration().await.whatever_context("can't read the configuration")?;
    let mut document = stored.document;
    let customer = document.customers.first_mut().whatever_context("no customer is declared")?;
    customer.burst_tokens = customer.burst_tokens.map(|tokens| tokens + 1);
    let stamp = format!("demo-{:x}", rand::random::<u64>());
    let request = ApplyRequest { base_revision: stored.revision, stamp, document };
    let start = Instant::now();
    let applied = client.apply(&request).await.whatever_context("the change was refused")?;
    loop {
        let hosts = client.in_force().await.whatever_context("can't ask what is in force")?;
        if hosts.iter().all(|host| host.reachable && host.revision >= applied.revision) {
            return Ok((applied.revision, start.elapsed().as_millis() as u64));
        }
        let in_time = start.elapsed() < IN_FORCE_MAX;
        ensure_whatever!(in_time, "the change isn't in force everywhere: {hosts:?}");
        task::sleep(POLL_INTERVAL).await;
    }
}

fn report(what: &str, answer: &Answer) {
    println!(
        "{what}: first line after {} ms, whole after {} ms",
        answer.first_line_ms, answer.total_ms
    );
}
