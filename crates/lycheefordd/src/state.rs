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
    Configuration, CrashSuspects, Freshness, GoneProofs, Health, Instance, RetryBudget, RunTimes,
    StopPlan, StopTimes, TimeMs,
};
use lycheeford_target::TargetClient;
use slog::Logger;

use crate::clock::Clock;
use crate::configuration::committed::Committed;
use crate::configuration::transfer_table::ConfigurationTransfer;
use crate::loads::coordinator::Coordinator;
use crate::loads::sent_orders::SentOrders;
use crate::membership::discovery::Discovery;
use crate::membership::fleet::Fleet;
use crate::membership::members::Members;
use crate::membership::pause_detector::PauseDetector;
use crate::membership::unread::UnreadMessages;
use crate::operation::decisions::DecisionLog;
use crate::operation::metrics::Metrics;
use crate::placement::table::Placement;
use crate::rates::table::Rates;
use crate::running::Running;
use crate::service::ledger_versions::LedgerVersions;
use crate::service::targets::ServiceTargets;
use crate::table::Table;
use crate::wake::Wake;

/// The time before the end of the grace period at which unanswered requests get a final answer:
/// the time to write that answer, to close connections and to let loans settle.
pub(crate) const STOP_ANSWER_MS: u64 = 2_000;
/// The time before the end of the grace period at which the daemon stops waiting for its
/// connections: the time to let loans settle and to write the last log lines.
pub(crate) const STOP_END_MS: u64 = 500;

/// The retries that each request adds to the retry budget.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// The number of requests whose retries are in the budget of a newly started daemon.
const REQUESTS_AT_START: usize = 100;

/// The tables that all tasks of a daemon share, each owned by one folder of this crate.
///
/// All worker threads of the executor run tasks that use these tables. A task normally holds only
/// one lock at a time, and never holds a lock across an await. Where two locks are needed, they
/// are taken in the order of the fields.
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
    /// The configuration in force; `committed` also has the stored objects that it came from.
    pub(crate) configuration: ArcSwap<Configuration>,
    pub(crate) committed: ArcSwap<Committed>,
    pub(crate) fleet: ArcSwap<Fleet>,
    pub(crate) discovery: Discovery,
    pub(crate) running: Running,
    /// Held while a configuration is put in force, so that only one is at a time.
    pub(crate) adopting: Table<()>,
    pub(crate) configuration_transfer: Table<ConfigurationTransfer>,
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
    pub(crate) pause_detector: Table<PauseDetector>,
    pub(crate) retry_budget: Table<RetryBudget>,
    pub(crate) run_times: Table<RunTimes>,
    pub(crate) ledger_versions: Table<LedgerVersions>,
    pub(crate) service_targets: Table<ServiceTargets>,
    pub(crate) unread_messages: Table<UnreadMessages>,
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
            discovery: Discovery::default(),
            running: Running::default(),
            adopting: Table::default(),
            configuration_transfer: Table::default(),
            members: Table::default(),
            gone: Table::default(),
            sent_orders: Table::default(),
            target_health: Table::new(Health::new(now)),
            suspects: Table::default(),
            decisions: Table::default(),
            pause_detector: Table::new(PauseDetector::new(now)),
            retry_budget: Table::new(retry_budget()),
            run_times: Table::default(),
            ledger_versions: Table::default(),
            service_targets: Table::default(),
            unread_messages: Table::default(),
            last_number: AtomicU64::new(0),
            demand_changed: Wake::default(),
            plan_due: Wake::default(),
        })
    }

    pub(crate) fn now(&self) -> TimeMs {
        self.clock.now()
    }

    /// Starts the drain; returns `false` if the daemon was draining already.
    pub(crate) fn start_draining(&self) -> bool {
        let grace_ms = self.settings.stop_grace_ms;
        let times = StopTimes { grace_ms, answer_ms: STOP_ANSWER_MS, end_ms: STOP_END_MS };
        self.running.start_draining(StopPlan::new(self.now(), times))
    }

    /// Runs `work` until it completes; returns `None` if the daemon's last answers are due before
    /// that.
    pub(crate) fn run_until_stop<T>(
        &self,
        work: impl Future<Output = T>,
    ) -> impl Future<Output = Option<T>> {
        // Boxed, because the future of a request is large and the race moves it.
        let work = Box::pin(work);
        async {
            if !self.running.can_run(self.now()) {
                return None;
            }
            let work = async { Some(work.await) };
            let end = async {
                self.final_answers_due().await;
                None
            };
            work.race(end).await
        }
    }

    /// Waits until the daemon drains and its last answers are due.
    async fn final_answers_due(&self) {
        self.running.draining().await;
        if let Some(plan) = self.running.plan() {
            let left_ms = plan.answer_by().since_ms(self.now());
            task::sleep(Duration::from_millis(left_ms)).await;
        }
    }

    /// Returns a number that is unique within this process of the daemon.
    pub(crate) fn next_number(&self) -> u64 {
        self.last_number.fetch_add(1, Ordering::AcqRel) + 1
    }
}

/// Returns a retry budget with an initial deposit, so that a host with little traffic can retry
/// too.
fn retry_budget() -> RetryBudget {
    let mut budget = RetryBudget::new(RETRIES_PER_REQUEST);
    for _ in 0..REQUESTS_AT_START {
        budget.deposit();
    }
    budget
}
