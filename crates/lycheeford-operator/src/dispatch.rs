use async_std::io::ReadExt;
use http_types::headers::{CONNECTION, CONTENT_TYPE};
use http_types::{Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::endpoint::Endpoint;
use crate::error::{ErrorBody, OperatorError, OperatorErrorCode};
use crate::operator::AdminApi;

/// The maximum size of a request body: twice the document size that docs/CAPACITY.md states.
pub(crate) const REQUEST_BODY_BYTES_MAX: u64 = 4 * 1024 * 1024;

const JSON_CONTENT_TYPE: &str = "application/json";
const METRICS_CONTENT_TYPE: &str = "text/plain; version=1.0.0; charset=utf-8";

/// Calls the endpoint of a request and returns its response.
pub(crate) async fn dispatch(operator: &dyn AdminApi, mut request: Request) -> Response {
    match call_endpoint(operator, &mut request).await {
        Ok(response) => response,
        Err(error) => error_response(error),
    }
}

/// Returns the response for an error, with the error as its JSON body.
pub(crate) fn error_response(error: OperatorError) -> Response {
    let status = StatusCode::try_from(error.status()).unwrap_or(StatusCode::InternalServerError);
    let body = serde_json::to_string(&ErrorBody { error }).unwrap_or_default();
    response(status, JSON_CONTENT_TYPE, body)
}

async fn call_endpoint(
    operator: &dyn AdminApi,
    request: &mut Request,
) -> Result<Response, OperatorError> {
    let path = request.url().path();
    let endpoint = Endpoint::find(request.method(), path).ok_or_else(|| {
        let message = format!("no call {} {path}; see docs/OPERATING-CLI.md", request.method());
        OperatorError::new(OperatorErrorCode::NotFound, message)
    })?;
    match endpoint {
        Endpoint::Configuration => json_response(&operator.configuration().await?),
        Endpoint::Apply => json_response(&operator.apply(read_json_body(request).await?).await?),
        Endpoint::InForce => json_response(&operator.in_force().await?),
        Endpoint::Hosts => json_response(&operator.hosts().await?),
        Endpoint::Targets => json_response(&operator.targets().await?),
        Endpoint::Models => json_response(&operator.models().await?),
        Endpoint::Customers => json_response(&operator.customers().await?),
        Endpoint::Keys => json_response(&operator.keys().await?),
        Endpoint::GrantKey => {
            json_response(&operator.grant_key(read_json_body(request).await?).await?)
        }
        Endpoint::WithdrawKey => {
            json_response(&operator.withdraw_key(read_json_body(request).await?).await?)
        }
        Endpoint::Drain => {
            check_content_type(request)?;
            json_response(&operator.drain().await?)
        }
        Endpoint::Explain => {
            json_response(&operator.explain(read_json_body(request).await?).await?)
        }
        Endpoint::Metrics => {
            Ok(response(StatusCode::Ok, METRICS_CONTENT_TYPE, operator.metrics().await?))
        }
        Endpoint::Health => json_response(&operator.health().await?),
    }
}

async fn read_json_body<T: DeserializeOwned>(request: &mut Request) -> Result<T, OperatorError> {
    check_content_type(request)?;
    let declared_bytes = request.len();
    let mut bytes = Vec::new();
    let read = request.take(REQUEST_BODY_BYTES_MAX + 1).read_to_end(&mut bytes).await;
    if bytes.len() as u64 > REQUEST_BODY_BYTES_MAX {
        let message =
            format!("the body is longer than {REQUEST_BODY_BYTES_MAX} bytes; send a shorter one");
        return Err(OperatorError::new(OperatorErrorCode::TooLarge, message));
    }
    if read.is_err() || declared_bytes.is_some_and(|declared| declared != bytes.len()) {
        return Err(bad_request("the body was truncated; send the request again"));
    }
    serde_json::from_slice(&bytes).map_err(|error| {
        bad_request(&format!("the body can't be parsed: {error}; correct the JSON"))
    })
}

/// Requires the JSON content type.
///
/// Every call that changes something requires it. A web page can send JSON to
/// another site only after a CORS preflight request, so no page in an operator's
/// browser can make such a call.
fn check_content_type(request: &Request) -> Result<(), OperatorError> {
    let is_json = request.header(CONTENT_TYPE).is_some_and(|value| {
        value
            .as_str()
            .split(';')
            .next()
            .is_some_and(|kind| kind.trim().eq_ignore_ascii_case(JSON_CONTENT_TYPE))
    });
    if is_json { Ok(()) } else { Err(bad_request("the content type must be application/json")) }
}

fn bad_request(message: &str) -> OperatorError {
    OperatorError::new(OperatorErrorCode::BadRequest, message)
}

fn json_response<T: Serialize>(value: &T) -> Result<Response, OperatorError> {
    let body = serde_json::to_string(value).map_err(|error| {
        let message =
            format!("the response can't be encoded as JSON: {error}; report this as a bug");
        OperatorError::new(OperatorErrorCode::Internal, message)
    })?;
    Ok(response(StatusCode::Ok, JSON_CONTENT_TYPE, body))
}

fn response(status: StatusCode, content_type: &str, body: String) -> Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response.insert_header(CONTENT_TYPE, content_type);
    response.insert_header(CONNECTION, "close");
    response
}
