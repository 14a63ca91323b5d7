use std::io;
use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpListener;
use async_std::task::{self, JoinHandle};
use lycheeford_caller::{Bounds, Stop};
use lycheeford_config::{STOP_GRACE_MS_MIN, Settings};
use lycheeford_peer::{Member, PeerLimits, Peers};
use lycheeford_platform::{Expect, ObjectStore, PlatformError, put_settled};
use lycheeford_policy::{Instance, TimeMs};
use lycheeford_wire::Hello;
use serde_json::json;
use slog::{Logger, info, warn};
use snafu::{ResultExt, Snafu};

use crate::clock::Clock;
use crate::configuration::adopt::follow_configuration;
use crate::loads::planning::plan_loads;
use crate::membership::hosts::follow_hosts;
use crate::membership::members::REACHABLE_MS;
use crate::membership::standing::has_met_peers;
use crate::operation::admin::Admin;
use crate::placement::demand_report::report_demand;
use crate::rates::share_upkeep::{follow_shares, keep_shares};
use crate::request::front::{ADDRESS_KEEP_MS, Front};
use crate::state::{STOP_ANSWER_MS, STOP_END_MS, State};

/// The kind of the objects that count the lives of daemons.
const INCARNATION_KIND: &str = "incarnation";
/// How long one attempt to register a life may take.
const REGISTER_MS_MAX: u64 = 2_000;
/// The pause before the next attempt.
const REGISTER_PAUSE_MS: u64 = 200;
/// How long a caller may take to connect to an address that it still keeps.
const CONNECT_MS: u64 = 200;
/// How long a daemon that starts waits for its shares at most.
const SHARES_MS_MAX: u64 = 3_000;
/// How often it looks.
const SHARES_TICK_MS: u64 = 10;
/// How often a daemon looks whether its operators drain it.
const DRAIN_LOOK_MS: u64 = 200;
/// How often a draining daemon looks whether it is done.
const DRAIN_TICK_MS: u64 = 50;
/// How long a draining daemon takes callers: a peer hands its address out for as long as an
/// answer from before the drain counts there, and a caller keeps what it was given.
const ADDRESSES_AGE_MS: u64 = REACHABLE_MS + ADDRESS_KEEP_MS + CONNECT_MS;
/// How long loans that were given back last have to reach their lenders.
const SETTLE_MS: u64 = 300;
const _: () = assert!(SETTLE_MS < STOP_END_MS);
const _: () = assert!(ADDRESSES_AGE_MS + STOP_ANSWER_MS <= STOP_GRACE_MS_MIN);

/// Why the daemon can't start.
#[derive(Debug, Snafu)]
pub(crate) enum StartError {
    #[snafu(display("can't listen at {field} {address}: {source}; free the address or change it"))]
    Listen { field: &'static str, address: String, source: io::Error },
}

/// Runs the daemon until it is stopped, and drains it then.
///
/// # Errors
///
/// Fails if one of its addresses can't be had.
pub(crate) async fn run(settings: Settings, log: Logger, stop: Stop) -> Result<(), StartError> {
    let peers = listen("peer_address", settings.peer_address).await?;
    let operators = listen("operator_address", settings.operator_address).await?;

    let Some(me) = register(&settings, &log, &stop).await else { return Ok(()) };
    // Callers that could connect before would wait for as long as the platform is away.
    let callers = listen("caller_address", settings.caller_address).await?;
    info!(log, "started"; "incarnation" => me.incarnation.0);
    let bounds = bounds(&settings);
    let state = State::new(settings, me, Clock::start(), log);
    connect_peers(&state, peers);
    start_tasks(&state);

    await_shares(&state, &stop).await;
    let front = Front { state: state.clone() };
    let front_stop = Stop::new();
    let serving = task::spawn(lycheeford_caller::serve(callers, bounds, front, front_stop.clone()));
    let admin = Arc::new(Admin { state: state.clone() });
    let admin_stop = Stop::new();
    let admin_stopped = admin_stop.clone();
    let administering = task::spawn(lycheeford_operator::serve(operators, admin, async move {
        admin_stopped.triggered().await;
    }));

    wait_for_drain(&state, &stop).await;
    drain(&state, &front_stop, serving).await;
    admin_stop.trigger();
    finish_operators(&state, administering).await;
    task::sleep(Duration::from_millis(SETTLE_MS)).await;
    info!(state.log, "ended");
    Ok(())
}

/// Registers this life of the daemon; the version of the write is its incarnation.
///
/// The platform's revisions only grow, so a later life has a greater one
/// whatever the hosts' clocks say. Returns `None` if stopped meanwhile.
async fn register(settings: &Settings, log: &Logger, stop: &Stop) -> Option<Instance> {
    let store =
        lycheeford_platform::HttpObjectStore::new(settings.platform_address, Default::default());
    let mut told = false;
    while !stop.is_triggered() {
        match register_once(&store, &settings.host).await {
            Ok(incarnation) => return Some(Instance::new(settings.host.clone(), incarnation)),
            Err(error) if !told => {
                warn!(log, "waits for the platform"; "error" => %error);
                told = true;
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
    let me = Hello { host: state.me.host.clone(), incarnation: state.me.incarnation };
    let peers = Peers::start(listener, me, PeerLimits::default(), state.clone());
    let fleet = state.fleet.load();
    let members =
        fleet.entries().map(|(host, address)| Member { host: host.name.clone(), address });
    peers.set_members(members.collect());
    // Set once, here.
    let _ = state.peers.set(peers);
}

fn start_tasks(state: &Arc<State>) {
    task::spawn(follow_configuration(state.clone()));
    task::spawn(follow_hosts(state.clone()));
    task::spawn(follow_shares(state.clone()));
    task::spawn(keep_shares(state.clone()));
    task::spawn(report_demand(state.clone()));
    task::spawn(plan_loads(state.clone()));
}

/// Waits until this daemon can serve what it would be asked for.
///
/// Callers that connect meanwhile wait a moment; served at once they would be
/// refused for want of a share, although their customer is within its rate.
async fn await_shares(state: &State, stop: &Stop) {
    let started = state.now();
    while !stop.is_triggered() && state.now().since_ms(started) < SHARES_MS_MAX {
        let now = state.now();
        if has_met_peers(state, now) && state.rates.lock().have_tables() {
            return;
        }
        task::sleep(Duration::from_millis(SHARES_TICK_MS)).await;
    }
}

async fn wait_for_drain(state: &State, stop: &Stop) {
    while !stop.is_triggered() && !state.running.is_draining() {
        // The end of the pause only has the drain by an operator looked for.
        let _ = timeout(Duration::from_millis(DRAIN_LOOK_MS), stop.triggered()).await;
    }
}

/// Lets the addresses that callers were given age out, then finishes every request.
///
/// What isn't finished when the grace runs out is answered with all that is known of it.
async fn drain(state: &State, front: &Stop, serving: JoinHandle<()>) {
    state.start_draining();
    let Some(plan) = state.running.plan() else { return };
    info!(state.log, "draining";
        "requests" => state.running.requests(), "grace_ms" => state.settings.stop_grace_ms);
    task::sleep(Duration::from_millis(ADDRESSES_AGE_MS)).await;
    front.trigger();
    let mut finished = Box::pin(finish(state, serving));
    if timeout(left(state, plan.answer_by()), finished.as_mut()).await.is_err() {
        warn!(state.log, "answers what the stop leaves no time for";
            "requests" => state.running.requests());
        front.hurry();
        if timeout(left(state, plan.end_by()), finished).await.is_err() {
            warn!(state.log, "ends with requests open"; "requests" => state.running.requests());
        }
    }
}

/// Waits for the calls of operators that are under way, as long as the grace allows.
async fn finish_operators(state: &State, administering: JoinHandle<()>) {
    let Some(plan) = state.running.plan() else { return };
    if timeout(left(state, plan.end_by()), administering).await.is_err() {
        warn!(state.log, "ends with calls of operators open");
    }
}

fn left(state: &State, until: TimeMs) -> Duration {
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
    }
}

async fn listen(
    field: &'static str,
    address: std::net::SocketAddr,
) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.context(ListenSnafu { field, address: address.to_string() })
}
