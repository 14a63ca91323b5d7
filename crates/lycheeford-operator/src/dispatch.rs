use async_std::io::ReadExt;
use http_types::headers::{CONNECTION, CONTENT_TYPE};
use http_types::{Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::call::Call;
use crate::error::{ErrorBody, OperatorError, OperatorErrorCode};
use crate::operator::Operator;

/// The longest body of a request: a document of the size that docs/CAPACITY.md names, twice.
pub(crate) const REQUEST_BODY_BYTES_MAX: u64 = 4 * 1024 * 1024;

const JSON: &str = "application/json";
const METRICS: &str = "text/plain; version=1.0.0; charset=utf-8";

/// Answers one request.
pub(crate) async fn dispatch(operator: &dyn Operator, mut request: Request) -> Response {
    match answer(operator, &mut request).await {
        Ok(response) => response,
        Err(error) => error_response(error),
    }
}

/// Writes an error as a response.
pub(crate) fn error_response(error: OperatorError) -> Response {
    let status = StatusCode::try_from(error.status()).unwrap_or(StatusCode::InternalServerError);
    let body = serde_json::to_string(&ErrorBody { error }).unwrap_or_default();
    response(status, JSON, body)
}

async fn answer(operator: &dyn Operator, request: &mut Request) -> Result<Response, OperatorError> {
    let path = request.url().path();
    let call = Call::find(request.method(), path).ok_or_else(|| {
        let message = format!("no call {} {path}; see docs/OPERATING-CLI.md", request.method());
        OperatorError::new(OperatorErrorCode::NotFound, message)
    })?;
    match call {
        Call::Configuration => json(&operator.configuration().await?),
        Call::Apply => json(&operator.apply(body(request).await?).await?),
        Call::InForce => json(&operator.in_force().await?),
        Call::Hosts => json(&operator.hosts().await?),
        Call::Targets => json(&operator.targets().await?),
        Call::Models => json(&operator.models().await?),
        Call::Customers => json(&operator.customers().await?),
        Call::Keys => json(&operator.keys().await?),
        Call::GrantKey => json(&operator.grant_key(body(request).await?).await?),
        Call::WithdrawKey => json(&operator.withdraw_key(body(request).await?).await?),
        Call::Drain => {
            check_content_type(request)?;
            json(&operator.drain().await?)
        }
        Call::Explain => json(&operator.explain(body(request).await?).await?),
        Call::Metrics => Ok(response(StatusCode::Ok, METRICS, operator.metrics().await?)),
        Call::Health => json(&operator.health().await?),
    }
}

async fn body<T: DeserializeOwned>(request: &mut Request) -> Result<T, OperatorError> {
    check_content_type(request)?;
    let declared_bytes = request.len();
    let mut bytes = Vec::new();
    let read = request.take(REQUEST_BODY_BYTES_MAX + 1).read_to_end(&mut bytes).await;
    if bytes.len() as u64 > REQUEST_BODY_BYTES_MAX {
        let message = format!("the body is longer than {REQUEST_BODY_BYTES_MAX} bytes; send less");
        return Err(OperatorError::new(OperatorErrorCode::TooLarge, message));
    }
    if read.is_err() || declared_bytes.is_some_and(|declared| declared != bytes.len()) {
        return Err(bad_request("the body was cut off; send it again"));
    }
    serde_json::from_slice(&bytes)
        .map_err(|error| bad_request(&format!("the body can't be read: {error}; mend it")))
}

/// Demands JSON, which no web page can send to another site without asking first.
fn check_content_type(request: &Request) -> Result<(), OperatorError> {
    let is_json = request.header(CONTENT_TYPE).is_some_and(|value| {
        value.as_str().split(';').next().is_some_and(|kind| kind.trim().eq_ignore_ascii_case(JSON))
    });
    if is_json { Ok(()) } else { Err(bad_request("the content type must be application/json")) }
}

fn bad_request(message: &str) -> OperatorError {
    OperatorError::new(OperatorErrorCode::BadRequest, message)
}

fn json<T: Serialize>(value: &T) -> Result<Response, OperatorError> {
    let body = serde_json::to_string(value).map_err(|error| {
        let message = format!("the answer can't be written: {error}; report this");
        OperatorError::new(OperatorErrorCode::Internal, message)
    })?;
    Ok(response(StatusCode::Ok, JSON, body))
}

fn response(status: StatusCode, content_type: &str, body: String) -> Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response.insert_header(CONTENT_TYPE, content_type);
    response.insert_header(CONNECTION, "close");
    response
}
