use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use async_std::channel::{Receiver, Sender, bounded};
use async_std::task;
use lycheeford_config::Settings;
use lycheeford_peer::Peers;
use lycheeford_platform::HttpObjectStore;
use lycheeford_policy::{
    Configuration, CrashSuspects, Freshness, GoneProofs, Health, Instance, Name, RetryBudget,
    TimeMs,
};
use lycheeford_target::TargetClient;
use slog::Logger;

use crate::clock::Clock;
use crate::configuration::Committed;
use crate::configuration_spread::ConfigurationSpread;
use crate::coordinator::Coordinator;
use crate::decisions::DecisionLog;
use crate::fleet::Fleet;
use crate::ledger::LedgerSeen;
use crate::members::Members;
use crate::metrics::{CustomerLabels, Metrics};
use crate::placement::Placement;
use crate::rates::Rates;
use crate::sent_orders::SentOrders;
use crate::service_targets::ServiceTargets;
use crate::wake_watch::WakeWatch;

/// How long a daemon that starts waits for its peers before it serves keyed calls.
const MEET_PEERS_MS_MAX: u64 = 2_000;
/// Retries that each request earns.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Requests whose retries a daemon may use before it has had any.
const REQUESTS_AT_START: usize = 100;

/// The tables that all workers of a daemon share.
///
/// The executor's workers run every task over these tables. A task holds one
/// lock at a time and never across an await. Where two are needed, the order is
/// the order of the fields: `adopting`, `configuration_spread`, `members`, `gone`, `freshness`, `rates`,
/// `placement`, `coordinator`, `sent_orders`, `target_health`, `suspects`, `decisions`,
/// `wake_watch`, `retry_budget`, `ledger_seen`, `service_targets`.
pub(crate) struct State {
    pub(crate) settings: Settings,
    pub(crate) me: Instance,
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) store: HttpObjectStore,
    pub(crate) targets: TargetClient,
    pub(crate) configuration: ArcSwap<Configuration>,
    /// The configuration in force, as it is stored.
    pub(crate) committed: ArcSwap<Committed>,
    pub(crate) fleet: ArcSwap<Fleet>,
    pub(crate) peers: OnceLock<Peers<State>>,
    adopting: Mutex<()>,
    configuration_spread: Mutex<ConfigurationSpread>,
    members: Mutex<Members>,
    gone: Mutex<GoneProofs>,
    freshness: Mutex<Freshness>,
    rates: Mutex<Rates>,
    placement: Mutex<Placement>,
    coordinator: Mutex<Coordinator>,
    sent_orders: Mutex<SentOrders>,
    target_health: Mutex<Health>,
    suspects: Mutex<CrashSuspects>,
    decisions: Mutex<DecisionLog>,
    wake_watch: Mutex<WakeWatch>,
    retry_budget: Mutex<RetryBudget>,
    ledger_seen: Mutex<LedgerSeen>,
    service_targets: Mutex<ServiceTargets>,
    started_at: TimeMs,
    met_peers: AtomicBool,
    fleet_revision: AtomicU64,
    draining: AtomicBool,
    requests_running: AtomicU64,
    last_number: AtomicU64,
    /// Wakes the task that reports demand.
    pub(crate) demand_changed: (Sender<()>, Receiver<()>),
    /// Wakes the task that plans loads.
    pub(crate) plan_due: (Sender<()>, Receiver<()>),
}

impl State {
    pub(crate) fn new(settings: Settings, me: Instance, clock: Clock, log: Logger) -> Arc<State> {
        let now = clock.now();
        let store = HttpObjectStore::new(settings.platform_address, Default::default());
        let me_incarnation = me.incarnation.0;
        let coordinator = Coordinator::new(&settings.weight_store);
        Arc::new(State {
            freshness: Mutex::new(Freshness::new(settings.host.clone())),
            rates: Mutex::new(Rates::new(me.clone())),
            settings,
            me,
            clock,
            log,
            metrics: Metrics::new(),
            store,
            targets: TargetClient::new(Default::default()),
            configuration: ArcSwap::default(),
            committed: ArcSwap::default(),
            adopting: Mutex::default(),
            configuration_spread: Mutex::default(),
            fleet: ArcSwap::default(),
            peers: OnceLock::new(),
            members: Mutex::default(),
            gone: Mutex::default(),
            placement: Mutex::new(Placement::new(me_incarnation)),
            coordinator: Mutex::new(coordinator),
            sent_orders: Mutex::default(),
            target_health: Mutex::new(Health::new(now)),
            suspects: Mutex::default(),
            decisions: Mutex::default(),
            wake_watch: Mutex::new(WakeWatch::new(now)),
            retry_budget: Mutex::new(retry_budget()),
            ledger_seen: Mutex::default(),
            service_targets: Mutex::default(),
            started_at: now,
            met_peers: AtomicBool::new(false),
            fleet_revision: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            requests_running: AtomicU64::new(0),
            last_number: AtomicU64::new(0),
            demand_changed: bounded(1),
            plan_due: bounded(1),
        })
    }

    pub(crate) fn now(&self) -> TimeMs {
        self.clock.now()
    }

    /// Lets one configuration at a time be put in force.
    pub(crate) fn adopting(&self) -> MutexGuard<'_, ()> {
        lock(&self.adopting)
    }

    pub(crate) fn configuration_spread(&self) -> MutexGuard<'_, ConfigurationSpread> {
        lock(&self.configuration_spread)
    }

    pub(crate) fn members(&self) -> MutexGuard<'_, Members> {
        lock(&self.members)
    }

    pub(crate) fn gone(&self) -> MutexGuard<'_, GoneProofs> {
        lock(&self.gone)
    }

    pub(crate) fn freshness(&self) -> MutexGuard<'_, Freshness> {
        lock(&self.freshness)
    }

    pub(crate) fn rates(&self) -> MutexGuard<'_, Rates> {
        lock(&self.rates)
    }

    pub(crate) fn placement(&self) -> MutexGuard<'_, Placement> {
        lock(&self.placement)
    }

    pub(crate) fn coordinator(&self) -> MutexGuard<'_, Coordinator> {
        lock(&self.coordinator)
    }

    pub(crate) fn sent_orders(&self) -> MutexGuard<'_, SentOrders> {
        lock(&self.sent_orders)
    }

    pub(crate) fn target_health(&self) -> MutexGuard<'_, Health> {
        lock(&self.target_health)
    }

    pub(crate) fn suspects(&self) -> MutexGuard<'_, CrashSuspects> {
        lock(&self.suspects)
    }

    pub(crate) fn decisions(&self) -> MutexGuard<'_, DecisionLog> {
        lock(&self.decisions)
    }

    pub(crate) fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.retry_budget)
    }

    pub(crate) fn wake_watch(&self) -> MutexGuard<'_, WakeWatch> {
        lock(&self.wake_watch)
    }

    /// Waits, if this process was paused, until its peers had time to answer again.
    pub(crate) async fn settle_after_pause(&self) {
        let settling_ms = self.wake_watch().settling_ms(self.now());
        if settling_ms > 0 {
            task::sleep(Duration::from_millis(settling_ms)).await;
        }
    }

    pub(crate) fn ledger_seen(&self) -> MutexGuard<'_, LedgerSeen> {
        lock(&self.ledger_seen)
    }

    pub(crate) fn service_targets(&self) -> MutexGuard<'_, ServiceTargets> {
        lock(&self.service_targets)
    }

    /// Returns the revision at which the list of hosts was last known to be whole.
    pub(crate) fn fleet_revision(&self) -> u64 {
        self.fleet_revision.load(Ordering::Acquire)
    }

    pub(crate) fn set_fleet_revision(&self, revision: u64) {
        self.fleet_revision.store(revision, Ordering::Release);
    }

    /// Tells whether this daemon has had the time to hear of newer revisions from its peers.
    ///
    /// The platform may answer a reader with an old head, and call it current.
    /// A daemon that just started knows nothing better until its peers answer.
    pub(crate) fn has_met_peers(&self, now: TimeMs) -> bool {
        if self.met_peers.load(Ordering::Acquire) {
            return true;
        }
        let waited = now.since_ms(self.started_at) >= MEET_PEERS_MS_MAX;
        let met = waited || (self.fleet_revision() > 0 && self.members().all_asked());
        if met && self.freshness().has_newest() {
            self.met_peers.store(true, Ordering::Release);
            return true;
        }
        false
    }

    /// Starts to drain and returns whether this call started it.
    pub(crate) fn start_draining(&self) -> bool {
        !self.draining.swap(true, Ordering::AcqRel)
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Counts a request as running until the guard is dropped.
    pub(crate) fn request_started(self: &Arc<State>) -> RunningRequest {
        self.requests_running.fetch_add(1, Ordering::AcqRel);
        RunningRequest { state: self.clone() }
    }

    pub(crate) fn requests_running(&self) -> u64 {
        self.requests_running.load(Ordering::Acquire)
    }

    /// Returns a number that this life of the daemon gives once.
    pub(crate) fn next_number(&self) -> u64 {
        self.last_number.fetch_add(1, Ordering::AcqRel) + 1
    }

    pub(crate) fn wake_demand(&self) {
        // A full channel has a wake-up in it already.
        let _ = self.demand_changed.0.try_send(());
    }

    pub(crate) fn wake_planner(&self) {
        let _ = self.plan_due.0.try_send(());
    }

    /// Returns the host that coordinates loads, as seen from here.
    pub(crate) fn coordinator_host(&self) -> Name {
        self.members().coordinator(self.now(), &self.me.host, self.is_draining())
    }

    pub(crate) fn customer_labels(&self, customer: &Name) -> CustomerLabels {
        let configuration = self.configuration.load();
        let class = configuration.customer(customer).map_or(0, |customer| customer.class);
        CustomerLabels { customer: customer.as_str().to_owned(), class: u32::from(class) }
    }
}

/// Counts a request as running while it lives.
pub(crate) struct RunningRequest {
    state: Arc<State>,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.state.requests_running.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns a budget that lets a host that has had little traffic retry, too.
fn retry_budget() -> RetryBudget {
    let mut budget = RetryBudget::new(RETRIES_PER_REQUEST);
    for _ in 0..REQUESTS_AT_START {
        budget.deposit();
    }
    budget
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
