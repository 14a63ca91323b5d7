use lycheeford_caller::CallerRequest;
use lycheeford_policy::{Configuration, Model, Name, Refusal, RefusalCode};
use serde_json::{Map, Value, json};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::request::access::Access;

/// The limit on generated tokens of a request that sets none.
const DEFAULT_MAX_TOKENS: u64 = 256;
/// The largest limit on generated tokens that a request may set.
const MAX_TOKENS_MAX: u64 = 1 << 20;
/// The prompt bytes that each further prefix hash covers.
const PREFIX_STEP_BYTES: usize = 1_024;
/// The maximum number of prefix hashes of one prompt.
const PREFIXES_MAX: usize = 16;

/// A validated completion request.
#[derive(Debug)]
pub(crate) struct Call {
    /// The requested model or adapter.
    pub(crate) name: Name,
    /// The request path, also used at the engine.
    pub(crate) path: String,
    /// The body for the engine. The token limit is filled in, and for a stream the option that
    /// makes the engine report its token usage.
    pub(crate) body: Vec<u8>,
    pub(crate) streams: bool,
    pub(crate) prompt_tokens_max: u64,
    pub(crate) output_tokens_max: u64,
    pub(crate) prefix_hashes: Vec<u64>,
    pub(crate) fingerprint: u64,
}

impl Call {
    /// Validates a request's body against the configuration.
    ///
    /// # Errors
    ///
    /// Refuses a malformed body, an unknown model or adapter, and a customer that may not call
    /// it.
    pub(crate) fn check(
        configuration: &Configuration,
        access: &Access,
        request: &CallerRequest,
    ) -> Result<Call, Refusal> {
        let mut body: Map<String, Value> = serde_json::from_slice(&request.body)
            .map_err(|error| bad(&format!("body is not a JSON object: {error}")))?;
        let name = text_field(&body, "model")?;
        let model = check_name(configuration, access, &name)?;
        let prompt = prompt_text(&body)?;
        check_copies(&body)?;
        let limit_field = if body.contains_key("max_completion_tokens") {
            "max_completion_tokens"
        } else {
            "max_tokens"
        };
        let output_tokens_max = match body.get(limit_field) {
            None | Some(Value::Null) => DEFAULT_MAX_TOKENS,
            Some(value) => positive(value, limit_field)?,
        };
        body.insert(limit_field.to_owned(), output_tokens_max.into());
        let streams = match body.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(streams)) => *streams,
            Some(_) => return Err(bad("stream must be true or false")),
        };
        if streams {
            // The customer is charged for the prompt tokens that the engine reports.
            body.insert("stream_options".to_owned(), json!({ "include_usage": true }));
        }
        let body = serde_json::to_vec(&body).unwrap_or_default();
        let prompt_bytes = prompt.len() as u64;
        Ok(Call {
            path: request.path.clone(),
            streams,
            prompt_tokens_max: prompt_bytes.div_ceil(u64::from(model.min_bytes_per_token.max(1))),
            output_tokens_max,
            prefix_hashes: prefix_hashes(&name, &prompt),
            fingerprint: fingerprint(&access.customer.name, &request.path, &request.body),
            body,
            name: Name::from(name),
        })
    }

    /// Returns the maximum number of prompt and output tokens that the call can use.
    pub(crate) fn tokens_max(&self) -> u64 {
        self.prompt_tokens_max + self.output_tokens_max
    }
}

/// Returns a hash of customer, path and body that is equal for a repeated request.
pub(crate) fn fingerprint(customer: &Name, path: &str, body: &[u8]) -> u64 {
    let seed = xxh3_64_with_seed(path.as_bytes(), xxh3_64_with_seed(customer.as_bytes(), 0));
    xxh3_64_with_seed(body, seed)
}

/// Returns the model that serves `name`: the model itself or the base model of an adapter.
fn check_name<'a>(
    configuration: &'a Configuration,
    access: &Access,
    name: &str,
) -> Result<&'a Model, Refusal> {
    if let Some(model) = configuration.model(name) {
        access.check_allowed(&model.customers, name)?;
        return Ok(model);
    }
    let adapter = configuration.adapter(name);
    let model = adapter.and_then(|adapter| configuration.model(&adapter.model));
    let (Some(adapter), Some(model)) = (adapter, model) else {
        let message = format!("no model or adapter {name:?}; GET /v1/models lists them");
        return Err(Refusal::not_run(RefusalCode::NotFound, message, None));
    };
    access.check_allowed(&adapter.customers, name)?;
    Ok(model)
}

fn check_copies(body: &Map<String, Value>) -> Result<(), Refusal> {
    for field in ["n", "best_of"] {
        match body.get(field) {
            None | Some(Value::Null) => {}
            Some(value) if value.as_u64() == Some(1) => {}
            Some(_) => return Err(bad(&format!("{field} must be 1; send one request per choice"))),
        }
    }
    Ok(())
}

fn prompt_text(body: &Map<String, Value>) -> Result<String, Refusal> {
    match (body.get("prompt"), body.get("messages")) {
        (Some(Value::String(prompt)), None) => Ok(prompt.clone()),
        (None, Some(messages @ Value::Array(_))) => Ok(messages.to_string()),
        _ => Err(bad("body needs either prompt as a string or messages as an array")),
    }
}

fn text_field(body: &Map<String, Value>, field: &str) -> Result<String, Refusal> {
    match body.get(field) {
        Some(Value::String(text)) => Ok(text.clone()),
        _ => Err(bad(&format!("body needs {field} as a string"))),
    }
}

fn positive(value: &Value, field: &str) -> Result<u64, Refusal> {
    match value.as_u64() {
        Some(number) if (1..=MAX_TOKENS_MAX).contains(&number) => Ok(number),
        _ => Err(bad(&format!("{field} must be a whole number from 1 to {MAX_TOKENS_MAX}"))),
    }
}

fn prefix_hashes(name: &str, prompt: &str) -> Vec<u64> {
    let seed = xxh3_64_with_seed(name.as_bytes(), 0);
    let steps = (prompt.len() / PREFIX_STEP_BYTES).min(PREFIXES_MAX);
    let mut hash = seed;
    (0..steps)
        .map(|step| {
            let part = &prompt.as_bytes()[step * PREFIX_STEP_BYTES..][..PREFIX_STEP_BYTES];
            hash = xxh3_64_with_seed(part, hash);
            hash
        })
        .collect()
}

fn bad(message: &str) -> Refusal {
    Refusal::not_run(RefusalCode::BadRequest, message, None)
}
