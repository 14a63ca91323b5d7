//! The message types of build c33a574, as they were in that build.

use prost::Oneof;

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireMessage {
    #[prost(oneof = "WireBody", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub(super) body: Option<WireBody>,
}

#[derive(Clone, PartialEq, Oneof)]
pub(super) enum WireBody {
    #[prost(message, boxed, tag = "1")]
    Report(Box<WireReport>),
    #[prost(message, tag = "2")]
    Wants(WireWants),
    #[prost(message, tag = "3")]
    News(WireNews),
    #[prost(message, tag = "4")]
    PermitRequest(WirePermitRequest),
    #[prost(message, tag = "5")]
    PermitReply(WirePermitReply),
    #[prost(message, tag = "6")]
    HeardLimit(WireLimit),
    #[prost(message, tag = "7")]
    LimitNews(WireLimit),
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireReport {
    #[prost(message, optional, tag = "1")]
    pub(super) sender: Option<WireHost>,
    #[prost(uint64, tag = "2")]
    pub(super) incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub(super) sent_at_ms: u64,
    #[prost(uint64, optional, tag = "4")]
    pub(super) echo_ms: Option<u64>,
    #[prost(uint32, tag = "5")]
    pub(super) state: u32,
    #[prost(uint32, tag = "6")]
    pub(super) scope: u32,
    #[prost(message, repeated, tag = "7")]
    pub(super) running: Vec<WireRunning>,
    #[prost(message, repeated, tag = "8")]
    pub(super) spent: Vec<WireCount>,
    #[prost(message, repeated, tag = "9")]
    pub(super) asked: Vec<WireCount>,
    #[prost(message, repeated, tag = "10")]
    pub(super) levels: Vec<WireCount>,
    #[prost(message, repeated, tag = "11")]
    pub(super) heard: Vec<WireCount>,
    #[prost(message, repeated, tag = "12")]
    pub(super) signs: Vec<WireSign>,
    #[prost(message, repeated, tag = "13")]
    pub(super) suspects: Vec<WireSuspect>,
    #[prost(uint64, tag = "14")]
    pub(super) revision: u64,
    #[prost(uint64, optional, tag = "15")]
    pub(super) confirmed_age_ms: Option<u64>,
    #[prost(uint64, tag = "16")]
    pub(super) targets_changed: u64,
    #[prost(uint64, optional, tag = "17")]
    pub(super) targets_age_ms: Option<u64>,
    #[prost(message, optional, tag = "18")]
    pub(super) lease: Option<WireLease>,
    #[prost(message, repeated, tag = "19")]
    pub(super) placements: Vec<WirePlacement>,
    #[prost(uint64, tag = "20")]
    pub(super) placements_token: u64,
    #[prost(uint64, tag = "21")]
    pub(super) placements_version: u64,
    #[prost(fixed64, tag = "22")]
    pub(super) suspects_digest: u64,
    #[prost(message, repeated, tag = "23")]
    pub(super) refused: Vec<WireCount>,
    #[prost(bool, tag = "24")]
    pub(super) is_settled: bool,
    #[prost(message, repeated, tag = "25")]
    pub(super) leaving: Vec<WireTargetLife>,
    #[prost(uint64, tag = "26")]
    pub(super) targets_known: u64,
    #[prost(message, optional, tag = "27")]
    pub(super) target_changes: Option<WireToldChanges>,
    #[prost(uint64, tag = "28")]
    pub(super) declared: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireSuspect {
    #[prost(fixed64, tag = "1")]
    pub(super) key: u64,
    #[prost(string, repeated, tag = "2")]
    pub(super) crashes: Vec<String>,
    #[prost(bool, tag = "3")]
    pub(super) is_prompt_part: bool,
    #[prost(string, repeated, tag = "4")]
    pub(super) excused: Vec<String>,
    #[prost(uint64, tag = "5")]
    pub(super) age_ms: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireHost {
    #[prost(string, tag = "1")]
    pub(super) host: String,
    #[prost(string, tag = "2")]
    pub(super) peer_address: String,
    #[prost(string, tag = "3")]
    pub(super) caller_address: String,
    #[prost(string, tag = "4")]
    pub(super) failure_domain: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireSign {
    #[prost(fixed32, tag = "1")]
    pub(super) key: u32,
    #[prost(uint32, tag = "2")]
    pub(super) state: u32,
    #[prost(uint64, tag = "3")]
    pub(super) age_ms: u64,
    #[prost(message, optional, tag = "4")]
    pub(super) record: Option<WireHost>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireRunning {
    #[prost(fixed32, tag = "1")]
    pub(super) target: u32,
    #[prost(fixed32, tag = "2")]
    pub(super) model: u32,
    #[prost(uint32, tag = "3")]
    pub(super) running: u32,
    #[prost(uint64, tag = "4")]
    pub(super) tokens: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireCount {
    #[prost(fixed32, tag = "1")]
    pub(super) key: u32,
    #[prost(double, tag = "2")]
    pub(super) count: f64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireTargetLife {
    #[prost(fixed32, tag = "1")]
    pub(super) target: u32,
    #[prost(uint64, tag = "2")]
    pub(super) life: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WirePermitRequest {
    #[prost(message, optional, tag = "1")]
    pub(super) target: Option<WireTargetLife>,
    #[prost(double, tag = "2")]
    pub(super) per_s: f64,
    #[prost(uint64, tag = "3")]
    pub(super) age_ms: u64,
    #[prost(string, tag = "4")]
    pub(super) asker: String,
    #[prost(uint64, tag = "5")]
    pub(super) number: u64,
    #[prost(uint32, optional, tag = "6")]
    pub(super) priority: Option<u32>,
    #[prost(uint64, tag = "7")]
    pub(super) patience_ms: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WirePermitReply {
    #[prost(uint64, tag = "1")]
    pub(super) number: u64,
    #[prost(oneof = "WireAnswer", tags = "2, 3, 4")]
    pub(super) answer: Option<WireAnswer>,
}

#[derive(Clone, PartialEq, Oneof)]
pub(super) enum WireAnswer {
    #[prost(double, tag = "2")]
    Granted(f64),
    #[prost(bool, tag = "3")]
    Unlimited(bool),
    #[prost(message, tag = "4")]
    Denied(WireDenied),
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireDenied {
    #[prost(double, tag = "1")]
    pub(super) per_s: f64,
    #[prost(uint64, tag = "2")]
    pub(super) wait_ms: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireLimit {
    #[prost(message, optional, tag = "1")]
    pub(super) target: Option<WireTargetLife>,
    #[prost(double, optional, tag = "2")]
    pub(super) per_s: Option<f64>,
    #[prost(uint64, tag = "3")]
    pub(super) took_ms: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireWants {
    #[prost(message, optional, tag = "1")]
    pub(super) sender: Option<WireHost>,
    #[prost(message, repeated, tag = "2")]
    pub(super) names: Vec<WireWanted>,
    #[prost(uint64, tag = "3")]
    pub(super) placements_token: u64,
    #[prost(uint64, tag = "4")]
    pub(super) placements_version: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireNews {
    #[prost(uint64, tag = "1")]
    pub(super) token: u64,
    #[prost(message, repeated, tag = "2")]
    pub(super) placements: Vec<WirePlacement>,
    #[prost(message, repeated, tag = "3")]
    pub(super) waits: Vec<WireCount>,
    #[prost(uint64, tag = "4")]
    pub(super) placements_after: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireWanted {
    #[prost(string, tag = "1")]
    pub(super) service: String,
    #[prost(string, tag = "2")]
    pub(super) model: String,
    #[prost(string, optional, tag = "3")]
    pub(super) adapter: Option<String>,
    #[prost(uint32, tag = "4")]
    pub(super) waiting: u32,
    #[prost(uint64, tag = "5")]
    pub(super) oldest_ms: u64,
    #[prost(uint32, tag = "6")]
    pub(super) priority: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireLease {
    #[prost(string, tag = "1")]
    pub(super) holder: String,
    #[prost(uint64, tag = "2")]
    pub(super) token: u64,
    #[prost(uint64, tag = "3")]
    pub(super) revision: u64,
    #[prost(uint64, tag = "4")]
    pub(super) renewed_age_ms: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WirePlacement {
    #[prost(fixed32, tag = "1")]
    pub(super) target: u32,
    #[prost(fixed32, tag = "2")]
    pub(super) name: u32,
    #[prost(uint64, tag = "3")]
    pub(super) version: u64,
    #[prost(bool, tag = "4")]
    pub(super) is_ready: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireToldChanges {
    #[prost(uint64, tag = "1")]
    pub(super) after: u64,
    #[prost(uint64, tag = "2")]
    pub(super) up_to: u64,
    #[prost(message, repeated, tag = "3")]
    pub(super) changes: Vec<WireChange>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireChange {
    #[prost(uint64, tag = "1")]
    pub(super) revision: u64,
    #[prost(oneof = "WireChanged", tags = "2, 3")]
    pub(super) changed: Option<WireChanged>,
}

#[derive(Clone, PartialEq, Oneof)]
pub(super) enum WireChanged {
    #[prost(message, tag = "2")]
    Put(WireTarget),
    #[prost(string, tag = "3")]
    Gone(String),
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireTarget {
    #[prost(string, tag = "1")]
    pub(super) id: String,
    #[prost(uint64, tag = "2")]
    pub(super) revision: u64,
    #[prost(uint64, tag = "3")]
    pub(super) life: u64,
    #[prost(string, tag = "4")]
    pub(super) service: String,
    #[prost(string, tag = "5")]
    pub(super) address: String,
    #[prost(string, tag = "6")]
    pub(super) failure_domain: String,
    #[prost(bool, tag = "7")]
    pub(super) is_leaving: bool,
    #[prost(uint64, optional, tag = "8")]
    pub(super) remaining_ms: Option<u64>,
    #[prost(uint32, tag = "9")]
    pub(super) slots: u32,
    #[prost(message, repeated, tag = "10")]
    pub(super) models: Vec<WireModel>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireModel {
    #[prost(string, tag = "1")]
    pub(super) name: String,
    #[prost(string, repeated, tag = "2")]
    pub(super) adapters: Vec<String>,
}
