use std::sync::Arc;

use lycheeford_caller::{CallerResponse, Method, PresentedKey, RequestHead, SharedBody};
use lycheeford_platform::{Object, ObjectStore};
use lycheeford_policy::{Deployment, Name, Refusal, Residency, TargetEntry};
use lycheeford_target::TargetRequest;

/// The implementations of all platform-specific formats.
#[derive(Clone)]
pub struct PlatformProtocols {
    /// The format of callers' requests and refusals.
    pub caller: Arc<dyn CallerProtocol>,
    /// The format of requests and orders to targets.
    pub target: Arc<dyn TargetProtocol>,
    /// The platform's store.
    pub store: Arc<dyn StoreProtocol>,
    /// The format of directory and readiness requests.
    pub directory: Arc<dyn DirectoryProtocol>,
}

/// A caller's request, parsed and with its key separated from the headers.
#[derive(Debug, Clone)]
pub struct GatewayRequest {
    /// The caller's id of this attempt, which is part of every log line about it.
    pub id: Name,
    /// The HTTP method to forward.
    pub method: Method,
    /// The requested host, as the caller wrote it.
    pub host: String,
    /// The path without the query.
    pub path: String,
    /// The path with the query, as the caller wrote it.
    pub path_and_query: String,
    /// The headers to forward, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    pub body: SharedBody,
    /// The caller's key, if the request has one.
    pub key: Option<PresentedKey>,
    /// The caller's deadline, counted from the arrival of the request; the route's time-out if
    /// absent.
    pub deadline_ms: Option<u64>,
    /// The requested model, if the request names one.
    pub model: Option<ModelName>,
    /// The prompt tokens and the most output tokens, if the request states them.
    pub tokens: Option<(u64, u64)>,
    /// The named parts of the prompt, in order; the last part is never shared.
    pub prompt: Vec<PromptPart>,
    /// The id of the last event that the caller received of an interrupted stream.
    pub resume_after: Option<String>,
    /// The caller's id of the attempt that brought the first event of that stream.
    pub resumes: Option<Name>,
    /// Whether another host, which reaches no target, passed the request on.
    pub is_forwarded: bool,
}

impl GatewayRequest {
    /// Returns the parts of the prompt that other requests may share.
    pub fn shared_prompt(&self) -> &[PromptPart] {
        self.prompt.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// A model, or an adapter on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelName {
    /// The base model.
    pub model: Name,
    /// The adapter; absent for the base model alone.
    pub adapter: Option<Name>,
}

/// A named part of a prompt, which other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part across requests.
    pub id: u64,
    /// The length of the part in tokens.
    pub tokens: u64,
}

/// Metadata that is sent to a target with a request.
#[derive(Debug, Clone)]
pub struct Dispatch<'a> {
    /// The target that the request is meant for; any other must reject it.
    pub target: &'a Name,
    /// The time that the caller still waits.
    pub deadline_ms: u64,
    /// The customer that holds the caller's key.
    pub customer: Option<&'a Name>,
    /// The urgency among the requests at the target, from 0 (first) to 9 (last).
    pub urgency: u8,
    /// The id of the last event that the caller received.
    pub resume_after: Option<&'a str>,
}

/// The parsed head of a target's response.
#[derive(Debug, Clone, PartialEq)]
pub struct AnswerHead {
    /// Whether the request ran.
    pub reply: Reply,
    /// The target's signals about itself.
    pub signals: TargetSignals,
}

/// Signals of a target about itself in a response, meant for the receiving host only.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TargetSignals {
    /// The target is leaving and should soon get no new requests.
    pub is_leaving: bool,
    /// How long the target wants no requests from this host.
    pub pause_ms: Option<u64>,
    /// The target's rate limit over all hosts; absent if the header is unreadable.
    pub limit: Option<LimitSignal>,
    /// The targets of the service fall over if they have to reject many requests in a second.
    pub is_brittle: bool,
    /// The header that was ignored because it is unreadable.
    pub unreadable: Option<&'static str>,
}

/// A target's rate limit over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitSignal {
    /// The target has no limit.
    Unlimited,
    /// Requests per second, valid as long as the target's responses state it.
    PerSecond(f64),
}

impl LimitSignal {
    /// Returns whether there is a limit.
    pub fn has_limit(&self) -> bool {
        matches!(self, LimitSignal::PerSecond(_))
    }
}

/// The outcome of a request according to the head of the response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The target ran the request, or is running it.
    Ran,
    /// The target ran the request and failed.
    Failed,
    /// The target states that it hasn't run the request and won't.
    NotRun(NotRun),
    /// The response doesn't show whether the request ran, and callers must not get it.
    Unclear(Unclear),
}

/// Why a response doesn't show whether the request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unclear {
    /// It states that the request wasn't run, and contradicts that.
    Contradiction,
    /// It has a status that tells callers that the request wasn't run, but the target doesn't state
    /// that.
    NoStatement,
}

/// Why a target didn't run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRun {
    /// The target has no free slot.
    Full,
    /// The target doesn't hold the model or adapter.
    NotHeld,
    /// Another process has the target's address.
    OtherTarget,
    /// The target rejects the request as invalid.
    Rejected,
}

/// An order to an engine.
#[derive(Debug, Clone)]
pub struct EngineOrder {
    /// The engine that the order is meant for.
    pub target: Name,
    /// The operation, with the model or adapter.
    pub name: OrderedName,
    /// The number of orders that the engine must have accepted before this one.
    pub expected_sequence: u64,
    /// The host that sends the order.
    pub holder: Name,
    /// The fencing token of the sender's lease.
    pub token: u64,
}

/// The operation of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderedName {
    /// Load a model or adapter.
    Load(ModelName),
    /// Unload a model or adapter.
    Unload(ModelName),
}

/// An engine's response to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine carries the order out.
    Accepted,
    /// The requested state already holds.
    Holds,
    /// The engine is busy, or has accepted other orders than expected.
    Conflict,
    /// The address belongs to another process, or to another instance of the engine.
    OtherTarget,
    /// The engine rejects the order.
    Refused,
}

/// An engine's report of its state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Whether the engine is carrying out an order.
    pub is_busy: bool,
    /// The number of orders that the engine has accepted.
    pub sequence: u64,
    /// The models and adapters that the engine holds, including adapters that are being loaded.
    pub residency: Residency,
}

/// The format of callers' requests and of refusals.
pub trait CallerProtocol: Send + Sync + 'static {
    /// Parses a request; `id` is used if the caller sent none.
    ///
    /// # Errors
    ///
    /// Refuses an invalid request.
    fn request(
        &self,
        id: Name,
        head: RequestHead,
        body: SharedBody,
    ) -> Result<GatewayRequest, Refusal>;

    /// Returns the request in the format of callers, to forward it to another host that has
    /// `left_ms` to answer it.
    fn forward(&self, request: &GatewayRequest, left_ms: u64) -> TargetRequest;

    /// Returns whether a response with `status` tells the caller that its request hasn't run.
    fn says_not_run(&self, status: u16) -> bool;

    /// Returns whether a response with these headers is a target's, passed on by another host.
    fn is_from_target(&self, headers: &[(String, String)]) -> bool;

    /// Marks a response to a request that another host passed on: its target states no end.
    fn mark_unstated_end(&self, headers: &mut Vec<(String, String)>);

    /// Removes that mark from another host's response; returns whether it was there.
    fn take_unstated_end(&self, headers: &mut Vec<(String, String)>) -> bool;

    /// Returns the response for a refusal.
    fn refusal(&self, id: &Name, refusal: &Refusal) -> CallerResponse;
}

/// The format of requests and orders to targets, and the meaning of their responses.
pub trait TargetProtocol: Send + Sync + 'static {
    /// Returns the request in the target's format.
    fn forward(&self, request: &GatewayRequest, dispatch: &Dispatch<'_>) -> TargetRequest;

    /// Parses the head of a response of `target`, and removes the headers that are meant for this
    /// host only.
    fn read_head(
        &self,
        target: &Name,
        status: u16,
        headers: &mut Vec<(String, String)>,
    ) -> AnswerHead;

    /// Returns the request that sends an order to an engine.
    fn order(&self, order: &EngineOrder) -> TargetRequest;

    /// Returns the meaning of the status of a response to an order.
    fn parse_order_answer(&self, status: u16) -> OrderAnswer;

    /// Returns the request for an engine's report.
    fn report(&self, target: &Name) -> TargetRequest;

    /// Parses an engine's report.
    ///
    /// # Errors
    ///
    /// Fails if the body isn't a valid report.
    fn read_report(&self, body: &[u8]) -> Result<EngineReport, String>;
}

/// The platform's store, and the format of declarations and targets in it.
pub trait StoreProtocol: Send + Sync + 'static {
    /// Returns the client of the store.
    fn objects(&self) -> &dyn ObjectStore;

    /// Returns the kind and the name of the operators' declaration.
    fn deployment_key(&self) -> (&str, &str);

    /// Parses a declaration.
    ///
    /// # Errors
    ///
    /// Returns a description of the fault if the declaration is invalid.
    fn deployment(&self, object: &Object) -> Result<Deployment, String>;

    /// Returns the kind of the objects whose names are the evacuated failure domains.
    fn evacuation_kind(&self) -> &str;

    /// Returns the kind of the targets' entries.
    fn target_kind(&self) -> &str;

    /// Parses a target's entry.
    ///
    /// # Errors
    ///
    /// Returns a description of the fault if the entry is invalid.
    fn target(&self, object: &Object) -> Result<TargetEntry, String>;
}

/// The format of directory requests of callers and of readiness checks by the platform.
pub trait DirectoryProtocol: Send + Sync + 'static {
    /// Parses a directory request; returns `None` if it isn't one.
    fn address_query(&self, head: &RequestHead) -> Option<AddressQuery>;

    /// Returns the response with addresses that may be cached for `keep_ms`.
    fn answer(&self, addresses: &[String], keep_ms: u64) -> CallerResponse;

    /// Returns whether a request is a readiness check.
    fn is_readiness_request(&self, head: &RequestHead) -> bool;
}

/// A caller's request for addresses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressQuery {
    /// The caller's failure domain, if it is stated.
    pub failure_domain: Option<Name>,
}
