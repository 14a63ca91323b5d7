use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::{TcpListener, UdpSocket};
use async_std::prelude::FutureExt;
use async_std::task;
use futures_util::future::{join, join_all};
use lycheeford_caller::{Service, Stop, restart_after_panics, serve_service};
use lycheeford_policy::{SignalDelay, TimeMs, build_name};
use slog::{error, info, warn};
use snafu::{ResultExt, Snafu};

use crate::fleet::{follow_deployment, follow_evacuations, follow_targets, watch_reach};
use crate::membership::{
    deregister_host, grant_permits, log_unread, log_unsent, maintain_hosts, receive, send_demand,
    send_reports, send_stream_events, track_versions,
};
use crate::operation::{Directory, MetricsPage, Readiness};
use crate::orders::{keep_lease, plan_orders};
use crate::request::{Front, pay_from_rates};
use crate::state::State;
use crate::{GatewayLog, GatewaySettings, PlatformProtocols};

/// The interval at which waiting requests are dispatched without any event.
const DISPATCH_MS: u64 = 40;
/// The interval at which dropped lines and unsent messages are logged.
const LOSSES_MS: u64 = 1_000;
/// The interval at which a process checks that it runs, so that it can tell how late it may notice
/// the stop signal.
const RUNNING_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The part of the grace period during which a stopping host accepts connections.
const ACCEPT_PART: f64 = 0.55;
/// The time-out for the last calls to the store and the last responses of the pages.
const LAST_MS_MAX: u64 = 200;

/// Why a gateway can't start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A socket can't be bound.
    #[snafu(display("can't listen at {field} {address}: {source}; free the address or change it"))]
    Listen {
        /// The setting that holds the address.
        field: &'static str,
        /// The address that can't be bound.
        address: String,
        /// The operating system's error.
        source: io::Error,
    },
}

/// Runs a gateway until it is told to stop, then drains it.
///
/// # Errors
///
/// Fails if one of its addresses can't be bound.
pub async fn run(
    settings: GatewaySettings,
    protocols: PlatformProtocols,
    log: GatewayLog,
    stop: Stop,
) -> Result<(), StartError> {
    let callers = listen("caller_address", settings.caller_address).await?;
    let readiness = listen("readiness_address", settings.readiness_address).await?;
    let metrics = listen("metrics_address", settings.metrics_address).await?;
    let directory = match settings.directory_address {
        Some(address) => Some(listen("directory_address", address).await?),
        None => None,
    };
    let peer_address = settings.peer_address;
    let peers = UdpSocket::bind(peer_address)
        .await
        .context(ListenSnafu { field: "peer_address", address: peer_address.to_string() })?;
    let state = State::new(settings, protocols, log);
    info!(state.log, "started";
        "incarnation" => state.incarnation, "build" => build_name().as_str());
    start_tasks(&state, &Arc::new(peers));

    let pages_stop = Stop::new();
    let mut pages = vec![
        serve_page(&state, readiness, Readiness { state: Arc::clone(&state) }, &pages_stop),
        serve_page(&state, metrics, MetricsPage { state: Arc::clone(&state) }, &pages_stop),
    ];
    if let Some(directory) = directory {
        let page = Directory { state: Arc::clone(&state) };
        pages.push(serve_page(&state, directory, page, &pages_stop));
    }
    let front_stop = Stop::new();
    let front = Front { state: Arc::clone(&state) };
    let serving =
        task::spawn(serve_service(callers, front, Arc::clone(&state.memory), front_stop.clone()));

    let stopped_at = stop_signal(&state, &stop).await;
    drain(&state, stopped_at, &front_stop, serving).await;
    let pages_end = async {
        pages_stop.refuse_incomplete();
        join_all(pages).await
    };
    // If the time-out cuts the deletion, the lease holder deletes the object later. A connection to
    // a page without a pending request needs no response.
    let last = join(deregister_host(&state), pages_end);
    let _ = timeout(Duration::from_millis(LAST_MS_MAX), last).await;
    info!(state.log, "ended";
        "requests_running" => state.requests_running(),
        "unanswered" => state.metrics.unanswered_at_stop.get());
    Ok(())
}

fn start_tasks(state: &Arc<State>, socket: &Arc<UdpSocket>) {
    start_task(state, "declaration", follow_deployment);
    start_task(state, "targets", follow_targets);
    start_task(state, "evacuations", follow_evacuations);
    start_peer_task(state, socket, "receive", receive);
    start_peer_task(state, socket, "reports", send_reports);
    start_peer_task(state, socket, "permits", grant_permits);
    start_peer_task(state, socket, "streams", send_stream_events);
    start_task(state, "reach", watch_reach);
    start_task(state, "versions", track_versions);
    start_peer_task(state, socket, "demand", send_demand);
    start_task(state, "hosts", maintain_hosts);
    start_task(state, "lease", keep_lease);
    start_task(state, "orders", plan_orders);
    start_task(state, "dispatch", dispatch);
    start_task(state, "rates", pay_from_rates);
    start_task(state, "losses", log_losses);
}

/// Starts a task that runs as long as the process, also after a panic in it.
///
/// A new task continues from the tables of the state, which a panic leaves usable.
fn start_task<T, F>(state: &Arc<State>, name: &'static str, task: T)
where
    T: Fn(Arc<State>) -> F + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let state = Arc::clone(state);
    task::spawn(async move {
        let start = || task(Arc::clone(&state));
        let panicked = |message: &str| {
            state.metrics.task_panicked(name);
            error!(state.log, "task_panicked"; "task" => name, "message" => message);
        };
        restart_after_panics(start, panicked).await;
    });
}

fn start_peer_task<T, F>(state: &Arc<State>, socket: &Arc<UdpSocket>, name: &'static str, task: T)
where
    T: Fn(Arc<State>, Arc<UdpSocket>) -> F + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let socket = Arc::clone(socket);
    start_task(state, name, move |state| task(state, Arc::clone(&socket)));
}

/// Dispatches waiting requests periodically, since targets become usable by the passing of time
/// alone.
async fn dispatch(state: Arc<State>) {
    loop {
        task::sleep(Duration::from_millis(DISPATCH_MS)).await;
        let now = state.now();
        let mut dispatcher = state.dispatcher();
        dispatcher.targets.expire(now);
        dispatcher.dispatch(now);
        drop(dispatcher);
        state.demand().expire(now);
    }
}

/// Logs the number of dropped log lines and of unsent messages, if any.
async fn log_losses(state: Arc<State>) {
    let mut logged = 0;
    loop {
        task::sleep(Duration::from_millis(LOSSES_MS)).await;
        let left_out = state.left_out.left_out();
        if left_out > logged {
            warn!(state.log, "lines_left_out"; "lines" => left_out - logged, "since_start" => left_out);
            logged = left_out;
        }
        log_unsent(&state);
        log_unread(&state);
    }
}

/// Waits for the stop signal; returns the earliest time at which it may have come.
async fn stop_signal(state: &State, stop: &Stop) -> TimeMs {
    let mut delay = SignalDelay::new(state.now());
    while timeout(RUNNING_CHECK_INTERVAL, stop.triggered()).await.is_err() {
        delay.ran(state.now());
    }
    delay.earliest(state.now())
}

/// Keeps serving until callers know that this host stops, then completes the running requests.
async fn drain(
    state: &Arc<State>,
    stopped_at: TimeMs,
    front_stop: &Stop,
    serving: task::JoinHandle<()>,
) {
    let plan = state.start_draining(stopped_at);
    info!(state.log, "draining";
        "requests_running" => state.requests_running(),
        "noticed_after_ms" => state.now().since_ms(stopped_at));
    let accept_ms = (state.settings.stop_grace_ms as f64 * ACCEPT_PART) as u64;
    sleep_until(state, plan.answer_by().min(state.now() + accept_ms)).await;
    front_stop.trigger();
    let out_of_grace = async {
        sleep_until(state, plan.answer_by()).await;
        state.answers_due.trigger();
        front_stop.refuse_incomplete();
        sleep_until(state, plan.end_after(state.now())).await;
    };
    serving.race(out_of_grace).await;
    state.ending.trigger();
}

async fn sleep_until(state: &State, at: TimeMs) {
    task::sleep(Duration::from_millis(at.since_ms(state.now()))).await;
}

fn serve_page<S: Service>(
    state: &State,
    listener: TcpListener,
    page: S,
    stop: &Stop,
) -> task::JoinHandle<()> {
    task::spawn(serve_service(listener, page, Arc::clone(&state.memory), stop.clone()))
}

async fn listen(
    field: &'static str,
    address: std::net::SocketAddr,
) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.context(ListenSnafu { field, address: address.to_string() })
}
