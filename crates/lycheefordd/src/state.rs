use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use arc_swap::ArcSwap;
use async_std::prelude::FutureExt;
use async_std::task;
use lycheeford_config::Settings;
use lycheeford_peer::Peers;
use lycheeford_platform::HttpObjectStore;
use lycheeford_policy::{
    Configuration, CrashSuspects, Freshness, GoneProofs, Health, Instance, RetryBudget, StopPlan,
    StopTimes, TimeMs,
};
use lycheeford_target::TargetClient;
use slog::Logger;

use crate::clock::Clock;
use crate::configuration::committed::Committed;
use crate::configuration::spread_table::ConfigurationSpread;
use crate::loads::coordinator::Coordinator;
use crate::loads::sent_orders::SentOrders;
use crate::membership::fleet::Fleet;
use crate::membership::members::Members;
use crate::membership::presence::Presence;
use crate::membership::wake_watch::WakeWatch;
use crate::operation::decisions::DecisionLog;
use crate::operation::metrics::Metrics;
use crate::placement::table::Placement;
use crate::rates::table::Rates;
use crate::running::Running;
use crate::service::ledger_seen::LedgerSeen;
use crate::service::targets::ServiceTargets;
use crate::table::Table;
use crate::wake::Wake;

/// What is left of the grace when requests without an answer get a final one: the time to write
/// it, to close connections and to let loans settle.
pub(crate) const STOP_ANSWER_MS: u64 = 2_000;
/// What is left of it when the daemon waits for its connections no longer: the time to let
/// loans settle and to write the last lines.
pub(crate) const STOP_END_MS: u64 = 500;

/// Retries that each request earns.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Requests whose retries a daemon may use before it has had any.
const REQUESTS_AT_START: usize = 100;

/// The tables that all workers of a daemon share, each owned by the folder that names it.
///
/// The executor's workers run every task over these tables. A task holds one
/// lock at a time and never across an await. Where two are needed, the order is
/// the order of the fields.
pub(crate) struct State {
    pub(crate) settings: Settings,
    pub(crate) me: Instance,
    pub(crate) started_at: TimeMs,
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) store: HttpObjectStore,
    pub(crate) targets: TargetClient,
    pub(crate) peers: OnceLock<Peers<State>>,
    /// The configuration in force, and as it is stored.
    pub(crate) configuration: ArcSwap<Configuration>,
    pub(crate) committed: ArcSwap<Committed>,
    pub(crate) fleet: ArcSwap<Fleet>,
    pub(crate) presence: Presence,
    pub(crate) running: Running,
    /// Lets one configuration at a time be put in force.
    pub(crate) adopting: Table<()>,
    pub(crate) configuration_spread: Table<ConfigurationSpread>,
    pub(crate) members: Table<Members>,
    pub(crate) gone: Table<GoneProofs>,
    pub(crate) freshness: Table<Freshness>,
    pub(crate) rates: Table<Rates>,
    pub(crate) placement: Table<Placement>,
    pub(crate) coordinator: Table<Coordinator>,
    pub(crate) sent_orders: Table<SentOrders>,
    pub(crate) target_health: Table<Health>,
    pub(crate) suspects: Table<CrashSuspects>,
    pub(crate) decisions: Table<DecisionLog>,
    pub(crate) wake_watch: Table<WakeWatch>,
    pub(crate) retry_budget: Table<RetryBudget>,
    pub(crate) ledger_seen: Table<LedgerSeen>,
    pub(crate) service_targets: Table<ServiceTargets>,
    last_number: AtomicU64,
    /// Wakes the task that reports demand.
    pub(crate) demand_changed: Wake,
    /// Wakes the task that plans loads.
    pub(crate) plan_due: Wake,
}

impl State {
    pub(crate) fn new(settings: Settings, me: Instance, clock: Clock, log: Logger) -> Arc<State> {
        let now = clock.now();
        Arc::new(State {
            store: HttpObjectStore::new(settings.platform_address, Default::default()),
            freshness: Table::new(Freshness::new(settings.host.clone())),
            rates: Table::new(Rates::new(me.clone())),
            placement: Table::new(Placement::new(me.incarnation.0)),
            coordinator: Table::new(Coordinator::new(&settings.weight_store)),
            settings,
            me,
            started_at: now,
            clock,
            log,
            metrics: Metrics::new(),
            targets: TargetClient::new(Default::default()),
            peers: OnceLock::new(),
            configuration: ArcSwap::default(),
            committed: ArcSwap::default(),
            fleet: ArcSwap::default(),
            presence: Presence::default(),
            running: Running::default(),
            adopting: Table::default(),
            configuration_spread: Table::default(),
            members: Table::default(),
            gone: Table::default(),
            sent_orders: Table::default(),
            target_health: Table::new(Health::new(now)),
            suspects: Table::default(),
            decisions: Table::default(),
            wake_watch: Table::new(WakeWatch::new(now)),
            retry_budget: Table::new(retry_budget()),
            ledger_seen: Table::default(),
            service_targets: Table::default(),
            last_number: AtomicU64::new(0),
            demand_changed: Wake::default(),
            plan_due: Wake::default(),
        })
    }

    pub(crate) fn now(&self) -> TimeMs {
        self.clock.now()
    }

    /// Starts to drain and returns whether this call started it.
    pub(crate) fn start_draining(&self) -> bool {
        let grace_ms = self.settings.stop_grace_ms;
        let times = StopTimes { grace_ms, answer_ms: STOP_ANSWER_MS, end_ms: STOP_END_MS };
        self.running.start_draining(StopPlan::new(self.now(), times))
    }

    /// Returns the output of `work`, or `None` once whatever is left must be answered.
    pub(crate) fn before_end<T>(
        &self,
        work: impl Future<Output = T>,
    ) -> impl Future<Output = Option<T>> {
        // Work on a request is large, and moved by the race.
        let work = Box::pin(work);
        async {
            if !self.running.may_begin(self.now(), 0) {
                return None;
            }
            let work = async { Some(work.await) };
            let end = async {
                self.answers_due().await;
                None
            };
            work.race(end).await
        }
    }

    /// Waits until the daemon drains and its last answers are due.
    async fn answers_due(&self) {
        self.running.draining().await;
        if let Some(plan) = self.running.plan() {
            let left_ms = plan.answer_by().since_ms(self.now());
            task::sleep(Duration::from_millis(left_ms)).await;
        }
    }

    /// Returns a number that this life of the daemon gives once.
    pub(crate) fn next_number(&self) -> u64 {
        self.last_number.fetch_add(1, Ordering::AcqRel) + 1
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
