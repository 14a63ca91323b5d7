//! The decision logic of lycheeford, free of I/O.
//!
//! Each decision is a function from a state, an event and the current time to a new state and a
//! list of actions. Nothing here reads a clock, opens a connection or blocks, so that property
//! tests, benchmarks and simulators can drive the same code as the daemon. docs/DESIGN.md gives the
//! reasons.
//!
//! The main types:
//!
//! - [`Name`]: a shared immutable name, cheap to clone.
//! - [`TimeMs`]: a reading of a monotonic clock in milliseconds.
//! - [`Configuration`]: what the operators declared, checked as a whole.
//! - [`Host`]: a machine as the platform's host list shows it.
//! - [`RateShare`]: one daemon's share of a customer's rate and burst.
//! - [`ReplicaSet`], [`TargetRecord`]: the replicas decided and the memory reserved, stored before
//!   any order is sent.
//! - [`LedgerBucket`]: the record of calls that run at most once.
//! - [`Freshness`], [`check_key`]: validation of API keys, and how long the configuration that
//!   holds them stays valid without confirmation.
//! - [`Health`], [`CrashSuspects`]: which targets and peers answer probes, and which requests and
//!   prompt parts crash targets.
//! - [`Refusal`]: why a request was refused, and whether it ran.
//! - [`Planner`]: which replicas are loaded and unloaded on which target, and in which order.
//! - [`Router`]: which target serves a request.
//! - [`FairQueue`]: the requests that wait at one host, and which of them is served next.
//! - [`Readiness`]: when a model is expected to be ready, so that a request can be refused on
//!   arrival.
//! - [`RetryBudget`]: which part of the load may consist of retries.
//! - [`StoreVersion`]: which of two states of the store is newer, also after it was restored.
//! - [`StopPlan`]: which requests a host still starts while it shuts down; [`SignalDelay`]: when
//!   its signal came.
//! - [`Deployment`], [`TargetTable`], [`WaitQueue`], [`OrderLease`], [`SwapPlanner`]: the gateway
//!   for arbitrary HTTP routes; see the module `gateway`.
mod build_name;
mod configuration;
mod crash_suspect;
mod fair_queue;
mod freshness;
mod gateway;
mod gone;
mod health;
mod host;
mod instance;
mod key;
mod ledger;
mod lenders;
mod loan;
mod loan_book;
mod name;
mod name_table;
mod planner;
mod prefix_cache;
mod rate_share;
mod readiness;
mod recent_set;
mod refusal;
mod rendezvous;
mod replica;
mod resolve;
mod retry_budget;
mod router;
mod share;
mod signal_delay;
mod stop_plan;
mod store_version;
mod target_record;
mod time;
mod token_bucket;

pub use crate::build_name::build_name;
pub use crate::configuration::{
    Access, Adapter, Configuration, Customer, Key, Model, Repeat, Route, Service, SiteWeights,
};
pub use crate::crash_suspect::{
    CRASH_SUSPECT_EXPIRY_MS, CrashCause, CrashSuspect, CrashSuspects, CrashVerdict,
    MAX_CRASH_SUSPECTS, MAX_PROMPT_PART_CRASHES, MAX_TARGET_CRASHES, SuspectedCrash,
};
pub use crate::fair_queue::{FairQueue, QueueDepth, QueueId, QueuedRequest};
pub use crate::freshness::{ConfigurationState, Freshness, KEY_STALENESS_MS_MAX};
pub use crate::gateway::{
    AdapterEngine, AdapterPlanner, AdapterStep, AdapterWant, CallerLimits, Choice, Chosen, Claim,
    Confirmation, Counters, CustomerKey, CustomerRate, DemandTable, Deployment, EVENT_BYTES_MAX,
    EndDoubt, EndSign, EngineLimits, EngineModel, EngineOperation, EngineView, Evacuations,
    EventBoundary, EventFault, HoldTimes, HostPlace, HostRecord, HostSign, HostTable, KeyDigest,
    KnownHost, LeaseExpect, LeaseRecord, LeaseStep, LeavingSource, LoadDecision, LoadForecast,
    LoadTime, LoadWait, LogCursor, ModelDemand, OrderLease, OwnCounts, PEER_ALIVE_MS,
    PRIORITY_STEP_MS, PartnerRole, Peer, PeerReport, PeerState, PeerTable, PeerVisibility,
    PermitAnswer, PermitAsk, PermitGranter, PermitRank, PlacementLog, RATE_HOST_WAITING_MAX,
    RATE_WAITING_MAX, RateDecision, RateForecast, RateQueue, RateRefusal, RateUnit, RatedCustomer,
    ReportDifference, ReportLayout, ReportPace, ReportStamp, ReportedEvacuations, ReportedLease,
    ReportedPlacement, Residency, ResidentModel, ResidentView, RetryShare, RouteKind, RunTimes,
    RunningAt, Scope, Selection, ServiceRoute, ServiceVersions, Settling, SharedBucket,
    SharedWatch, Shedding, ShortKey, Sign, SilenceView, SilentService, SlotForecast, SlotGrant,
    SlotSupply, StatedContent, StoreAbsence, StreamKey, StreamVersion, StreamVersions, Sums,
    Supply, SwapAction, SwapOrder, SwapPlan, SwapPlanner, Target, TargetBelief, TargetChange,
    TargetChangeBatch, TargetEntry, TargetFailure, TargetHealth, TargetLife, TargetLog,
    TargetReach, TargetRequirements, TargetService, TargetSilence, TargetState, TargetTable,
    TargetUse, UnstatedEnds, VersionKnowledge, WaitQueue, Waiting, WantedName, WeightedService,
    combine_knowledge, forecast_grants, permit_granter, select_rejected, stream_keepers,
};
pub use crate::gone::GoneProofs;
pub use crate::health::{
    CLOCK_JUMP_MS, DOWN_AFTER_MS, HEALTH_TICK_MS, Health, MIN_FAILED_PROBES, ProbeResult,
    SUSPECT_AFTER_MS, Verdict, VerdictChange,
};
pub use crate::host::{Host, HostRole, HostState, Incarnation};
pub use crate::instance::Instance;
pub use crate::key::{check_key, granted_key};
pub use crate::ledger::{
    AttemptId, ClaimOutcome, LEDGER_BODY_BYTES_MAX, LEDGER_BUCKET_BYTES_MAX, LEDGER_BUCKETS,
    LEDGER_RETENTION_MS, LedgerAnswer, LedgerBucket, LedgerClaim, LedgerRecord, LedgerState,
    ledger_bucket,
};
pub use crate::lenders::{
    Lenders, MAX_LENDERS_ASKED, MIN_TRANSFER_PPM, PeerSpare, REBALANCE_INTERVAL_MS, ShareDemand,
    choose_lenders,
};
pub use crate::loan::{AskId, Loan, LoanArrival, LoanId, LoanReport, LoanState};
pub use crate::name::Name;
pub use crate::planner::{
    Activity, CheckpointPlace, Demand, DemandReport, LoadLimits, PlanAction, Planner, ReplicaState,
    ReplicaView, TargetView,
};
pub use crate::rate_share::{Overdrawn, RateShare, ReservationId, Shortage};
pub use crate::readiness::Readiness;
pub use crate::refusal::{Ran, Refusal, RefusalCode};
pub use crate::rendezvous::{rendezvous_owner, rendezvous_rank};
pub use crate::replica::{Replica, ReplicaFault, ReplicaSet};
pub use crate::resolve::{
    FenceCheck, LoadState, LoadedName, OrderOutcome, OrderReport, ResolveEvidence, TargetStatus,
    resolve,
};
pub use crate::retry_budget::RetryBudget;
pub use crate::router::Router;
pub use crate::share::{MAX_SHARE_HOLDERS, ShareEntry, ShareFault, ShareTable, TakenShare};
pub use crate::signal_delay::SignalDelay;
pub use crate::stop_plan::{LateRequest, StopPlan, StopShortfall, StopTimes};
pub use crate::store_version::StoreVersion;
pub use crate::target_record::{
    CancelledReplica, LoadRequest, MAX_CANCELLED_REPLICAS, MAX_ORDERS_SET_ASIDE, MemoryReservation,
    ORDER_SET_ASIDE_MS, OrderAction, RecordFault, ReplicaRef, TargetOrder, TargetRecord,
};
pub use crate::time::TimeMs;
pub use crate::token_bucket::{LENDABLE_PPM, RateLimits, TokenBucket, WHOLE_SHARE_PPM};
