//! Decisions of a gateway, which serves any HTTP route to the targets of a service.
//!
//! A gateway is one of many equal hosts in front of the same targets. It shares no state with the
//! other hosts except the reports that they send to each other several times per second
//! ([`PeerReport`]) and the contents of the platform's store. Each decision is in a file of its
//! own, listed here with the load pattern or failure that it handles:
//!
//! - `deployment`: the operators' declaration; the route with the longest prefix is used.
//! - `target_entry`, `target_table`: the entries of targets, and the choice of a target for a
//!   request, also while some targets are slow, failing or leaving.
//! - `target_belief`: targets that leave before their entry in the list says so, or that ask for a
//!   pause.
//! - `target_table::brittle`: targets that fall over if they reject many requests.
//! - `target_reach`: a host that is partitioned from all targets, while the others reach them.
//! - `permit_granter`, `permit`: overloaded targets that accept few requests from all hosts together.
//! - `claim`: the order of requests that compete for a resource that is short, and which of them to
//!   turn away.
//! - `wait_queue`: the order of waiting requests when all slots are in use.
//! - `slot_forecast`: when a waiting request gets a slot, as the slots that became free before show.
//! - `shared_bucket`: a customer that sends many times its rate to every host.
//! - `rate_queue`: requests that their customer's rate can't pay for yet, but can soon.
//! - `settling`: hosts that start together and do not know what was spent before.
//! - `retry_share`: targets that fail together, so that retries multiply the load.
//! - `confirmation`: a key that is withdrawn while this host is partitioned.
//! - `evacuations`: many hosts that would all watch the store for the same rare changes.
//! - `host_table`, `report_layout`: hosts that die, freeze, leave or cannot reach each other, and
//!   fleets in which not every host can report to every other one.
//! - `report_stamp`: machines that lose power, whose clocks start anew.
//! - `report_pace`: reports that together exceed the queue of a link.
//! - `peer_table`, `counters`: running requests and spending of all hosts, passed on by relays.
//! - `store_absence`: entries that expire while the store is unavailable.
//! - `shared_watch`, `target_log`: many hosts that would all query the store for the same changes.
//! - `order_lease`: which host gives orders to engines, while holders freeze.
//! - `demand_table`: demand that moves to other models.
//! - `swap_planner`: rare models that are requested at the same time on few engines.
//! - `load_forecast`: requests for a model that nobody holds, which may be loaded in time or not.
//! - `adapter_planner`: many adapters on few adapter slots.
//! - `placement_log`: hosts that would all query the store for the same placement changes.
//! - `run_times`: requests that arrive while the host is being restarted.
//! - `log_cursor`: many hosts that receive the same changes at the same time.
//! - `stream_versions`: streams that are resumed while targets of several software versions serve.
//! - `event_boundary`: streams that break in the middle of an event, or never end one.
//! - `event_order`: targets that resume a stream with an error, or elsewhere than after its last event.
//! - `stated_content`: answers to requests for streams that are none.
//! - `unstated_ends`: answers that end with their connection, whether they are complete or not.

mod adapter_planner;
mod claim;
mod confirmation;
mod counters;
mod demand_share;
mod demand_table;
mod deployment;
mod evacuations;
mod event_boundary;
mod event_order;
mod host_table;
mod load_forecast;
mod log_cursor;
mod order_lease;
mod peer_table;
mod peer_visibility;
mod permit;
mod permit_granter;
mod placement_log;
mod portion;
mod rate_queue;
mod report_layout;
mod report_pace;
mod report_stamp;
mod retry_share;
mod run_times;
mod settling;
mod shared_bucket;
mod shared_watch;
mod short_key;
mod slot_forecast;
mod stated_content;
mod store_absence;
mod stream_versions;
mod swap_planner;
mod target_belief;
mod target_entry;
mod target_health;
mod target_log;
mod target_reach;
mod target_silence;
mod target_table;
mod unstated_ends;
mod wait_queue;

pub use self::adapter_planner::{AdapterEngine, AdapterPlanner, AdapterStep, AdapterWant};
pub use self::claim::{Claim, PRIORITY_STEP_MS, Supply, forecast_grants, select_rejected};
pub use self::confirmation::Confirmation;
pub use self::counters::Counters;
pub use self::demand_table::DemandTable;
pub use self::deployment::{
    CallerLimits, CustomerKey, CustomerRate, Deployment, EngineLimits, EngineModel, KeyDigest,
    RateUnit, RatedCustomer, RouteKind, ServiceRoute, TargetService, WeightedService,
};
pub use self::evacuations::{Evacuations, ReportedEvacuations};
pub use self::event_boundary::{EVENT_BYTES_MAX, EventBoundary};
pub use self::event_order::EventFault;
pub use self::host_table::{HostRecord, HostSign, HostTable, KnownHost, PEER_ALIVE_MS, PeerState};
pub use self::load_forecast::{LoadDecision, LoadForecast, LoadTime, LoadWait};
pub use self::log_cursor::LogCursor;
pub use self::order_lease::{LeaseExpect, LeaseRecord, LeaseStep, OrderLease};
pub use self::peer_table::{
    OwnCounts, Peer, PeerReport, PeerTable, ReportDifference, ReportedLease, ReportedPlacement,
    RunningAt, Scope, Sums, WantedName,
};
pub use self::peer_visibility::PeerVisibility;
pub use self::permit::{PermitAnswer, PermitAsk, PermitRank};
pub use self::permit_granter::{PermitGranter, permit_granter};
pub use self::placement_log::PlacementLog;
pub use self::rate_queue::{
    RATE_HOST_WAITING_MAX, RATE_WAITING_MAX, RateDecision, RateForecast, RateQueue, RateRefusal,
};
pub use self::report_layout::{PartnerRole, ReportLayout};
pub use self::report_pace::ReportPace;
pub use self::report_stamp::ReportStamp;
pub use self::retry_share::RetryShare;
pub use self::run_times::RunTimes;
pub use self::settling::Settling;
pub use self::shared_bucket::SharedBucket;
pub use self::shared_watch::SharedWatch;
pub use self::short_key::ShortKey;
pub use self::slot_forecast::{HoldTimes, SlotForecast, SlotSupply};
pub use self::stated_content::StatedContent;
pub use self::store_absence::StoreAbsence;
pub use self::stream_versions::{
    ServiceVersions, StreamKey, StreamVersion, StreamVersions, VersionKnowledge, combine_knowledge,
    stream_keepers,
};
pub use self::swap_planner::{
    EngineOperation, EngineView, ModelDemand, ResidentView, SwapAction, SwapOrder, SwapPlan,
    SwapPlanner,
};
pub use self::target_belief::{LeavingSource, TargetBelief, TargetLife, TargetUse};
pub use self::target_entry::{Residency, ResidentModel, TargetEntry, TargetState};
pub use self::target_health::{TargetFailure, TargetHealth};
pub use self::target_log::{TargetChange, TargetChangeBatch, TargetLog};
pub use self::target_reach::TargetReach;
pub use self::target_silence::{Sign, SilentService, TargetSilence};
pub use self::target_table::{
    Choice, Chosen, HostPlace, Selection, SilenceView, Target, TargetRequirements, TargetTable,
};
pub use self::unstated_ends::{EndDoubt, EndSign, UnstatedEnds};
pub use self::wait_queue::{Shedding, SlotGrant, WaitQueue, Waiting};
