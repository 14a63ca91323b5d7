use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpListener;
use async_std::task::{self, JoinHandle};
use lycheeford_caller::{Bounds, Stop, restart_after_panics};
use lycheeford_config::{STOP_GRACE_MS_MIN, Settings};
use lycheeford_peer::{Member, PeerLimits, Peers};
use lycheeford_platform::{Expect, ObjectStore, PlatformError, put_settled};
use lycheeford_policy::{Instance, TimeMs, build_name};
use lycheeford_wire::Hello;
use serde_json::json;
use slog::{Logger, error, info, warn};
use snafu::{ResultExt, Snafu};

use crate::clock::Clock;
use crate::configuration::adopt::follow_configuration;
use crate::loads::planning::plan_loads;
use crate::membership::hosts::follow_hosts;
use crate::membership::members::REACHABLE_MS;
use crate::membership::peer_view::has_contacted_peers;
use crate::operation::admin::Admin;
use crate::operation::metrics::Event;
use crate::placement::demand_report::report_demand;
use crate::rates::share_upkeep::{follow_shares, maintain_shares};
use crate::request::caller_handler::{ADDRESS_KEEP_MS, CallerHandler};
use crate::state::{STOP_ANSWER_MS, STOP_END_MS, State};

/// The kind of the objects whose versions are the incarnations of daemons.
const INCARNATION_KIND: &str = "incarnation";
/// The time limit for one attempt to register an incarnation.
const REGISTER_MS_MAX: u64 = 2_000;
/// The pause before the next attempt to register.
const REGISTER_PAUSE_MS: u64 = 200;
/// How long a caller may take to connect to an address that it has cached.
const CONNECT_MS: u64 = 200;
/// The maximum time that a starting daemon waits for its shares of customers' rates.
const SHARES_MS_MAX: u64 = 3_000;
/// How often a starting daemon checks whether it has its shares.
const SHARES_TICK_MS: u64 = 10;
/// How often a daemon checks whether an operator has started a drain.
const DRAIN_CHECK_MS: u64 = 200;
/// How often a draining daemon checks whether all requests have ended.
const DRAIN_TICK_MS: u64 = 50;
/// How long a draining daemon still accepts callers: peers return its address while its last report
/// from before the drain is valid there, callers cache the address, and then they connect.
const ADDRESSES_AGE_MS: u64 = REACHABLE_MS + ADDRESS_KEEP_MS + CONNECT_MS;
/// The time for the last loan reports to reach their lenders.
const SETTLE_MS: u64 = 300;
const _: () = assert!(SETTLE_MS < STOP_END_MS);
const _: () = assert!(ADDRESSES_AGE_MS + STOP_ANSWER_MS <= STOP_GRACE_MS_MIN);

/// Why the daemon can't start.
#[derive(Debug, Snafu)]
pub(crate) enum StartError {
    #[snafu(display("can't listen at {field} {address}: {source}; free the address or change it"))]
    Listen { field: &'static str, address: String, source: io::Error },
}

/// Runs the daemon until it is stopped, then drains it.
///
/// # Errors
///
/// Fails if the daemon can't listen on one of its addresses.
pub(crate) async fn run(settings: Settings, log: Logger, stop: Stop) -> Result<(), StartError> {
    let peers = listen("peer_address", settings.peer_address).await?;
    let operators = listen("operator_address", settings.operator_address).await?;

    let Some(me) = register(&settings, &log, &stop).await else { return Ok(()) };
    // Listens for callers only after registration: callers that connected earlier would have to
    // wait while the platform is unavailable.
    let callers = listen("caller_address", settings.caller_address).await?;
    info!(log, "started"; "incarnation" => me.incarnation.0, "build" => build_name().as_str());
    let bounds = bounds(&settings);
    let state = State::new(settings, me, Clock::start(), log);
    connect_peers(&state, peers);
    start_tasks(&state);

    wait_for_shares(&state, &stop).await;
    let handler = CallerHandler { state: state.clone() };
    let caller_stop = Stop::new();
    let serving =
        task::spawn(lycheeford_caller::serve(callers, bounds, handler, caller_stop.clone()));
    let admin = Arc::new(Admin { state: state.clone() });
    let admin_stop = Stop::new();
    let admin_stopped = admin_stop.clone();
    let administering = task::spawn(lycheeford_operator::serve(operators, admin, async move {
        admin_stopped.triggered().await;
    }));

    wait_for_drain(&state, &stop).await;
    drain(&state, &caller_stop, serving).await;
    admin_stop.trigger();
    finish_operators(&state, administering).await;
    task::sleep(Duration::from_millis(SETTLE_MS)).await;
    info!(state.log, "ended");
    Ok(())
}

/// Registers this process of the daemon; the version of the write is its incarnation.
///
/// The platform's revisions only increase, so a later process has a greater incarnation
/// regardless of the hosts' clocks. Returns `None` if the daemon is stopped before it succeeds.
async fn register(settings: &Settings, log: &Logger, stop: &Stop) -> Option<Instance> {
    let store =
        lycheeford_platform::HttpObjectStore::new(settings.platform_address, Default::default());
    let mut is_logged = false;
    while !stop.is_triggered() {
        match register_once(&store, &settings.host).await {
            Ok(incarnation) => return Some(Instance::new(settings.host.clone(), incarnation)),
            Err(error) if !is_logged => {
                warn!(log, "waits for the platform"; "error" => %error);
                is_logged = true;
            }
            Err(_) => {}
        }
        task::sleep(Duration::from_millis(REGISTER_PAUSE_MS)).await;
    }
    None
}

async fn register_once(store: &dyn ObjectStore, host: &str) -> Result<u64, PlatformError> {
    let object = store.get(INCARNATION_KIND, host).await?;
    let expect = object.map_or(Expect::Absent, |object| Expect::Version(object.version));
    let value = json!({ "stamp": hex::encode(rand::random::<[u8; 16]>()) });
    put_settled(store, INCARNATION_KIND, host, value, expect, REGISTER_MS_MAX).await
}

fn connect_peers(state: &Arc<State>, listener: TcpListener) {
    let me = Hello {
        host: state.me.host.clone(),
        incarnation: state.me.incarnation,
        build: Some(build_name()),
    };
    let peers = Peers::start(listener, me, PeerLimits::default(), state.clone());
    let fleet = state.fleet.load();
    let members =
        fleet.entries().map(|(host, address)| Member { host: host.name.clone(), address });
    peers.set_members(members.collect());
    // Can't fail: this is the only place that sets it.
    let _ = state.peers.set(peers);
}

fn start_tasks(state: &Arc<State>) {
    start_task(state, "configuration", follow_configuration);
    start_task(state, "hosts", follow_hosts);
    start_task(state, "shares", follow_shares);
    start_task(state, "share_upkeep", maintain_shares);
    start_task(state, "demand", report_demand);
    start_task(state, "loads", plan_loads);
}

/// Starts a task that runs as long as the process, also after a panic in it.
///
/// A new task continues from the tables of the state, which a panic leaves usable.
fn start_task<T, F>(state: &Arc<State>, name: &'static str, task: T)
where
    T: Fn(Arc<State>) -> F + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let state = state.clone();
    task::spawn(async move {
        let start = || task(state.clone());
        let panicked = |message: &str| {
            state.metrics.event(Event::TaskPanic);
            error!(state.log, "task panicked"; "task" => name, "message" => message);
        };
        restart_after_panics(start, panicked).await;
    });
}

/// Waits until this daemon has contacted its peers and read its shares. The wait also ends when
/// the daemon is stopped, or after `SHARES_MS_MAX`.
///
/// Callers that connect earlier wait until then. Served at once, they would be
/// refused because this host has no share yet, although their customer is within its rate.
async fn wait_for_shares(state: &State, stop: &Stop) {
    let started = state.now();
    while !stop.is_triggered() && state.now().since_ms(started) < SHARES_MS_MAX {
        let now = state.now();
        if has_contacted_peers(state, now) && state.rates.lock().has_all_tables() {
            return;
        }
        task::sleep(Duration::from_millis(SHARES_TICK_MS)).await;
    }
}

async fn wait_for_drain(state: &State, stop: &Stop) {
    while !stop.is_triggered() && !state.running.is_draining() {
        // The timeout is the interval at which a drain by an operator is checked for.
        let _ = timeout(Duration::from_millis(DRAIN_CHECK_MS), stop.triggered()).await;
    }
}

/// Waits until callers' cached addresses of this host have expired, then finishes all requests.
///
/// A request that isn't finished near the end of the grace period gets a final answer that says
/// whether it may have run.
async fn drain(state: &State, caller_stop: &Stop, serving: JoinHandle<()>) {
    state.start_draining();
    let Some(plan) = state.running.plan() else { return };
    info!(state.log, "draining";
        "requests" => state.running.requests(), "grace_ms" => state.settings.stop_grace_ms);
    task::sleep(Duration::from_millis(ADDRESSES_AGE_MS)).await;
    caller_stop.trigger();
    let mut finished = Box::pin(finish(state, serving));
    if timeout(time_until(state, plan.answer_by()), finished.as_mut()).await.is_err() {
        warn!(state.log, "answers what the stop leaves no time for";
            "requests" => state.running.requests());
        caller_stop.refuse_incomplete();
        if timeout(time_until(state, plan.end_by()), finished).await.is_err() {
            warn!(state.log, "ends with requests open"; "requests" => state.running.requests());
        }
    }
}

/// Waits for the operators' calls in progress, at most until the end of the grace period.
async fn finish_operators(state: &State, administering: JoinHandle<()>) {
    let Some(plan) = state.running.plan() else { return };
    if timeout(time_until(state, plan.end_by()), administering).await.is_err() {
        warn!(state.log, "ends with calls of operators open");
    }
}

fn time_until(state: &State, until: TimeMs) -> Duration {
    Duration::from_millis(until.since_ms(state.now()))
}

/// Waits until every connection is closed and every request has ended.
async fn finish(state: &State, serving: JoinHandle<()>) {
    serving.await;
    while state.running.requests() > 0 {
        task::sleep(Duration::from_millis(DRAIN_TICK_MS)).await;
    }
}

fn bounds(settings: &Settings) -> Bounds {
    let limits = &settings.caller_limits;
    Bounds {
        head_bytes_max: limits.head_bytes_max as usize,
        head_ms_max: limits.head_ms_max,
        body_bytes_max: limits.body_bytes_max as usize,
        body_ms_max: limits.body_ms_max,
        idle_ms_max: limits.idle_ms_max,
        write_ms_max: limits.write_ms_max,
        connections_max: limits.connections_max as usize,
        ..Bounds::default()
    }
}

async fn listen(
    field: &'static str,
    address: std::net::SocketAddr,
) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.context(ListenSnafu { field, address: address.to_string() })
}
