use std::error::Error;
use std::fmt::{self, Display};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use async_h1::client::Encoder;
use async_std::future::timeout;
use async_std::io;
use async_std::net::TcpStream;
use http_types::headers::{CONNECTION, CONTENT_TYPE};
use http_types::{Method, Request, Url};
use lycheeford_http::{BodyDecoder, MessageReader, ResponseHead};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::endpoint::Endpoint;
use crate::error::{ErrorBody, OperatorError};
use crate::report::{
    ApplyReport, ApplyRequest, ConfigurationReport, CustomerReport, DrainReport, ExplainRequest,
    Explanation, GrantReport, GrantRequest, HealthReport, HostReport, HostRevision, KeyReport,
    ModelReport, TargetReport, WithdrawRequest,
};

/// The maximum size of a response body.
const RESPONSE_BYTES_MAX: usize = 64 * 1024 * 1024;
/// The largest head of a response.
const HEAD_BYTES_MAX: usize = 8 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(15);

/// A client of one daemon's admin API, which opens a connection for each call.
#[derive(Debug, Clone, Copy)]
pub struct OperatorClient {
    address: SocketAddr,
}

impl OperatorClient {
    /// Creates a client of the daemon at `address`; it connects when a call is made.
    pub fn new(address: SocketAddr) -> OperatorClient {
        OperatorClient { address }
    }

    /// Returns the address of the daemon's admin API.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reads the stored configuration.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn configuration(&self) -> Result<ConfigurationReport, ClientError> {
        self.call_without_body(Endpoint::Configuration).await
    }

    /// Replaces the declared configuration, unless it was replaced after the base revision.
    ///
    /// # Errors
    ///
    /// See [`ClientError`]. If the response is lost, read the configuration back before sending
    /// the request again.
    pub async fn apply(&self, request: &ApplyRequest) -> Result<ApplyReport, ClientError> {
        self.call_with_body(Endpoint::Apply, request).await
    }

    /// Lists which revision is in force on each daemon.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn in_force(&self) -> Result<Vec<HostRevision>, ClientError> {
        self.call_without_body(Endpoint::InForce).await
    }

    /// Lists the entry hosts, as the daemon sees them.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn hosts(&self) -> Result<Vec<HostReport>, ClientError> {
        self.call_without_body(Endpoint::Hosts).await
    }

    /// Lists the targets, as the daemon sees them.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn targets(&self) -> Result<Vec<TargetReport>, ClientError> {
        self.call_without_body(Endpoint::Targets).await
    }

    /// Lists the models and adapters with their replicas, as the daemon sees them.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn models(&self) -> Result<Vec<ModelReport>, ClientError> {
        self.call_without_body(Endpoint::Models).await
    }

    /// Lists the customers with their limits and request counts.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn customers(&self) -> Result<Vec<CustomerReport>, ClientError> {
        self.call_without_body(Endpoint::Customers).await
    }

    /// Lists the keys, without their secrets and digests.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn keys(&self) -> Result<Vec<KeyReport>, ClientError> {
        self.call_without_body(Endpoint::Keys).await
    }

    /// Grants a key and returns its secret, which can't be read again.
    ///
    /// # Errors
    ///
    /// See [`ClientError`]. If the response is lost, list the keys and withdraw the new one,
    /// whose secret nobody has.
    pub async fn grant_key(&self, request: &GrantRequest) -> Result<GrantReport, ClientError> {
        self.call_with_body(Endpoint::GrantKey, request).await
    }

    /// Withdraws a key, which also ends the open streams of its callers.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn withdraw_key(
        &self,
        request: &WithdrawRequest,
    ) -> Result<ApplyReport, ClientError> {
        self.call_with_body(Endpoint::WithdrawKey, request).await
    }

    /// Starts the graceful shutdown of the daemon.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn drain(&self) -> Result<DrainReport, ClientError> {
        self.call_without_body(Endpoint::Drain).await
    }

    /// Explains decisions about a request, a model or a customer.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn explain(&self, request: &ExplainRequest) -> Result<Explanation, ClientError> {
        self.call_with_body(Endpoint::Explain, request).await
    }

    /// Reads the metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn metrics(&self) -> Result<String, ClientError> {
        let bytes = self.call(Endpoint::Metrics, String::new()).await?;
        String::from_utf8(bytes).map_err(|error| self.unreadable_response(&error))
    }

    /// Returns whether the daemon accepts callers.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn health(&self) -> Result<HealthReport, ClientError> {
        self.call_without_body(Endpoint::Health).await
    }

    async fn call_without_body<T: DeserializeOwned>(
        &self,
        endpoint: Endpoint,
    ) -> Result<T, ClientError> {
        let bytes = self.call(endpoint, String::new()).await?;
        serde_json::from_slice(&bytes).map_err(|error| self.unreadable_response(&error))
    }

    async fn call_with_body<T: DeserializeOwned>(
        &self,
        endpoint: Endpoint,
        request: &impl Serialize,
    ) -> Result<T, ClientError> {
        let body =
            serde_json::to_string(request).map_err(|error| self.unreadable_response(&error))?;
        let bytes = self.call(endpoint, body).await?;
        serde_json::from_slice(&bytes).map_err(|error| self.unreadable_response(&error))
    }

    async fn call(&self, endpoint: Endpoint, body: String) -> Result<Vec<u8>, ClientError> {
        let stream = self.with_timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        let stream = stream.map_err(|cause| self.error(Code::Unreachable(cause)))?;
        let (status, bytes) = self
            .with_timeout(EXCHANGE_TIMEOUT, exchange(stream, self.request(endpoint, body)))
            .await
            .map_err(|cause| self.error(response_lost(endpoint, cause)))?;
        if status == 200 {
            return Ok(bytes);
        }
        match serde_json::from_slice::<ErrorBody>(&bytes) {
            Ok(body) => Err(self.error(Code::Refused(body.error))),
            Err(_) => {
                Err(self
                    .error(response_lost(endpoint, format!("the response has status {status}"))))
            }
        }
    }

    fn request(&self, endpoint: Endpoint, body: String) -> Request {
        let (method, path) = endpoint.method_and_path();
        let mut url = Url::parse("http://daemon").expect("the constant is a URL");
        url.set_path(path);
        let _ = url.set_ip_host(self.address.ip());
        let _ = url.set_port(Some(self.address.port()));
        let mut request = Request::new(method, url);
        request.insert_header(CONNECTION, "close");
        if method == Method::Post {
            request.set_body(body);
            request.insert_header(CONTENT_TYPE, "application/json");
        }
        request
    }

    async fn with_timeout<T, E: Display>(
        &self,
        limit: Duration,
        operation: impl Future<Output = Result<T, E>>,
    ) -> Result<T, String> {
        match timeout(limit, operation).await {
            Ok(result) => result.map_err(|error| error.to_string()),
            Err(_) => Err(format!("no response within {} ms", limit.as_millis())),
        }
    }

    fn unreadable_response(&self, error: &dyn Error) -> ClientError {
        self.error(Code::Unreadable(error.to_string()))
    }

    fn error(&self, code: Code) -> ClientError {
        ClientError { address: self.address, code }
    }
}

/// Sends a request, and reads the status and the whole body of its response.
///
/// The decoder of the HTTP library isn't used: it takes a body without a length for an empty one, and
/// accepts one that ends early.
async fn exchange(mut stream: TcpStream, request: Request) -> Result<(u16, Vec<u8>), String> {
    let method = request.method();
    io::copy(&mut Encoder::new(request), &mut stream).await.map_err(|error| error.to_string())?;
    let mut reader = MessageReader::new(stream);
    let head = reader.head(HEAD_BYTES_MAX).await.map_err(|error| error.to_string())?;
    let head = ResponseHead::parse(&head, method).map_err(|error| error.to_string())?;
    let mut decoder = BodyDecoder::new(head.framing);
    let mut bytes = Vec::new();
    while let Some(chunk) =
        reader.body_chunk(&mut decoder).await.map_err(|error| error.to_string())?
    {
        bytes.extend_from_slice(&chunk);
        if bytes.len() > RESPONSE_BYTES_MAX {
            return Err("the response body is too long".to_owned());
        }
    }
    Ok((head.status, bytes))
}

/// Returns the error for a lost response.
///
/// A call that only reads changes nothing, so it is treated as if it had not been sent.
fn response_lost(endpoint: Endpoint, cause: String) -> Code {
    match endpoint.method_and_path().0 {
        Method::Get => Code::Unreachable(cause),
        _ => Code::AnswerLost(cause),
    }
}

/// Why a call to a daemon failed.
#[derive(Debug)]
pub struct ClientError {
    address: SocketAddr,
    code: Code,
}

/// The category of a [`ClientError`], which decides whether the call can be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientCategory {
    /// The daemon can't be reached, or its response to a call that only reads was lost. Nothing was
    /// changed, and another daemon may respond.
    Unreachable,
    /// The response to a call that changes something was lost, and the call may have taken effect;
    /// read back before sending it again.
    AnswerLost,
    /// The daemon responded with an [`OperatorError`].
    Refused,
    /// The response to a successful call can't be parsed, probably because the daemon uses another
    /// version of the API. A call that changes something has taken effect.
    Unreadable,
}

#[derive(Debug)]
enum Code {
    Unreachable(String),
    AnswerLost(String),
    Refused(OperatorError),
    Unreadable(String),
}

impl ClientError {
    /// Returns the category, by which callers decide whether to retry.
    pub fn category(&self) -> ClientCategory {
        match self.code {
            Code::Unreachable(_) => ClientCategory::Unreachable,
            Code::AnswerLost(_) => ClientCategory::AnswerLost,
            Code::Refused(_) => ClientCategory::Refused,
            Code::Unreadable(_) => ClientCategory::Unreadable,
        }
    }

    /// Returns the daemon's error, if the daemon refused the call.
    pub fn refusal(&self) -> Option<&OperatorError> {
        match &self.code {
            Code::Refused(error) => Some(error),
            _ => None,
        }
    }
}

impl Display for ClientError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let address = self.address;
        match &self.code {
            Code::Unreachable(cause) => write!(
                formatter,
                "daemon {address} can't be reached: {cause}; name another with --daemon"
            ),
            Code::AnswerLost(cause) => write!(
                formatter,
                "the response of daemon {address} was lost: {cause}; \
                 the call may have taken effect, so read back before sending it again"
            ),
            Code::Refused(error) => write!(formatter, "{error}"),
            Code::Unreadable(cause) => write!(
                formatter,
                "the response of daemon {address} can't be parsed: {cause}; \
                 use a tool and a daemon of the same release"
            ),
        }
    }
}

impl Error for ClientError {}
