use std::error::Error;
use std::fmt::{self, Display};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::future::timeout;
use async_std::io::ReadExt;
use async_std::net::TcpStream;
use http_types::headers::{CONNECTION, CONTENT_TYPE};
use http_types::{Method, Request, Response, Url};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::call::Call;
use crate::error::{ErrorBody, OperatorError};
use crate::report::{
    ApplyReport, ApplyRequest, ConfigurationReport, CustomerReport, DrainReport, ExplainRequest,
    Explanation, GrantReport, GrantRequest, HealthReport, HostReport, HostRevision, KeyReport,
    ModelReport, TargetReport, WithdrawRequest,
};

/// The longest answer that is read.
const ANSWER_BYTES_MAX: u64 = 64 * 1024 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(15);

/// Calls the admin API of one daemon, each call on a connection of its own.
#[derive(Debug, Clone, Copy)]
pub struct OperatorClient {
    address: SocketAddr,
}

impl OperatorClient {
    /// Returns a client of the daemon at `address`; connects only with a call.
    pub fn new(address: SocketAddr) -> OperatorClient {
        OperatorClient { address }
    }

    /// Returns the daemon's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reads the stored configuration.
    ///
    /// # Errors
    ///
    /// See [`ClientError`]; so with the other calls.
    pub async fn configuration(&self) -> Result<ConfigurationReport, ClientError> {
        self.read(Call::Configuration).await
    }

    /// Replaces what is declared, on the condition that nobody did since the base revision.
    ///
    /// # Errors
    ///
    /// After a lost answer, read the configuration back before sending it again.
    pub async fn apply(&self, request: &ApplyRequest) -> Result<ApplyReport, ClientError> {
        self.send(Call::Apply, request).await
    }

    /// Tells which revision is in force on each daemon.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn in_force(&self) -> Result<Vec<HostRevision>, ClientError> {
        self.read(Call::InForce).await
    }

    /// Lists the entry hosts.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn hosts(&self) -> Result<Vec<HostReport>, ClientError> {
        self.read(Call::Hosts).await
    }

    /// Lists the targets.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn targets(&self) -> Result<Vec<TargetReport>, ClientError> {
        self.read(Call::Targets).await
    }

    /// Lists the models and adapters with their replicas.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn models(&self) -> Result<Vec<ModelReport>, ClientError> {
        self.read(Call::Models).await
    }

    /// Lists the customers with what they were served.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn customers(&self) -> Result<Vec<CustomerReport>, ClientError> {
        self.read(Call::Customers).await
    }

    /// Lists the keys, without secrets and digests.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn keys(&self) -> Result<Vec<KeyReport>, ClientError> {
        self.read(Call::Keys).await
    }

    /// Grants a key and shows its secret, this once.
    ///
    /// # Errors
    ///
    /// After a lost answer, list the keys and withdraw the one whose secret nobody has.
    pub async fn grant_key(&self, request: &GrantRequest) -> Result<GrantReport, ClientError> {
        self.send(Call::GrantKey, request).await
    }

    /// Withdraws a key, which also ends its open streams.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn withdraw_key(
        &self,
        request: &WithdrawRequest,
    ) -> Result<ApplyReport, ClientError> {
        self.send(Call::WithdrawKey, request).await
    }

    /// Starts the graceful shutdown of the daemon.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn drain(&self) -> Result<DrainReport, ClientError> {
        self.read(Call::Drain).await
    }

    /// Explains a request, a model or a customer.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn explain(&self, request: &ExplainRequest) -> Result<Explanation, ClientError> {
        self.send(Call::Explain, request).await
    }

    /// Reads the metrics in the text format of Prometheus.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn metrics(&self) -> Result<String, ClientError> {
        let bytes = self.call(Call::Metrics, String::new()).await?;
        String::from_utf8(bytes).map_err(|error| self.unreadable(&error))
    }

    /// Tells whether the daemon is fit to serve.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn health(&self) -> Result<HealthReport, ClientError> {
        self.read(Call::Health).await
    }

    async fn read<T: DeserializeOwned>(&self, call: Call) -> Result<T, ClientError> {
        let bytes = self.call(call, String::new()).await?;
        serde_json::from_slice(&bytes).map_err(|error| self.unreadable(&error))
    }

    async fn send<T: DeserializeOwned>(
        &self,
        call: Call,
        request: &impl Serialize,
    ) -> Result<T, ClientError> {
        let body = serde_json::to_string(request).map_err(|error| self.unreadable(&error))?;
        let bytes = self.call(call, body).await?;
        serde_json::from_slice(&bytes).map_err(|error| self.unreadable(&error))
    }

    async fn call(&self, call: Call, body: String) -> Result<Vec<u8>, ClientError> {
        let stream = self.within(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        let stream = stream.map_err(|cause| self.error(Code::Unreachable(cause)))?;
        let (status, bytes) = self
            .within(EXCHANGE_TIMEOUT, exchange(stream, self.request(call, body)))
            .await
            .map_err(|cause| self.error(lost(call, cause)))?;
        if status == 200 {
            return Ok(bytes);
        }
        match serde_json::from_slice::<ErrorBody>(&bytes) {
            Ok(body) => Err(self.error(Code::Refused(body.error))),
            Err(_) => Err(self.error(lost(call, format!("it answered with status {status}")))),
        }
    }

    fn request(&self, call: Call, body: String) -> Request {
        let (method, path) = call.place();
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

    async fn within<T, E: Display>(
        &self,
        limit: Duration,
        work: impl Future<Output = Result<T, E>>,
    ) -> Result<T, String> {
        match timeout(limit, work).await {
            Ok(result) => result.map_err(|error| error.to_string()),
            Err(_) => Err(format!("no answer within {} ms", limit.as_millis())),
        }
    }

    fn unreadable(&self, error: &dyn Error) -> ClientError {
        self.error(Code::Unreadable(error.to_string()))
    }

    fn error(&self, code: Code) -> ClientError {
        ClientError { address: self.address, code }
    }
}

async fn exchange(stream: TcpStream, request: Request) -> http_types::Result<(u16, Vec<u8>)> {
    let mut response = Box::pin(async_h1::connect(stream, request)).await?;
    let bytes = read_whole(&mut response).await?;
    Ok((u16::from(response.status()), bytes))
}

/// Reads a body and checks its length, which the HTTP library doesn't.
async fn read_whole(response: &mut Response) -> http_types::Result<Vec<u8>> {
    let declared_bytes = response.len();
    let mut bytes = Vec::new();
    response.take(ANSWER_BYTES_MAX + 1).read_to_end(&mut bytes).await?;
    if bytes.len() as u64 > ANSWER_BYTES_MAX {
        return Err(http_types::format_err!("the answer is too long"));
    }
    if declared_bytes.is_some_and(|declared| declared != bytes.len()) {
        return Err(http_types::format_err!("the answer was cut off"));
    }
    Ok(bytes)
}

/// A call that only reads is as good as unsent when its answer is lost.
fn lost(call: Call, cause: String) -> Code {
    match call.place().0 {
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

/// The coarse kind of a [`ClientError`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientCategory {
    /// Nothing was changed; another daemon may answer.
    Unreachable,
    /// The call may have taken effect; read back before sending it again.
    AnswerLost,
    /// The daemon refused the call.
    Refused,
    /// The daemon speaks another version of the API.
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
    /// Returns the coarse kind.
    pub fn category(&self) -> ClientCategory {
        match self.code {
            Code::Unreachable(_) => ClientCategory::Unreachable,
            Code::AnswerLost(_) => ClientCategory::AnswerLost,
            Code::Refused(_) => ClientCategory::Refused,
            Code::Unreadable(_) => ClientCategory::Unreadable,
        }
    }

    /// Returns the daemon's own error, if it refused the call.
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
                "the answer of daemon {address} was lost: {cause}; \
                 the call may have taken effect, so read back first"
            ),
            Code::Refused(error) => write!(formatter, "{error}"),
            Code::Unreadable(cause) => write!(
                formatter,
                "the answer of daemon {address} can't be read: {cause}; \
                 use the tool and the daemon of one release"
            ),
        }
    }
}

impl Error for ClientError {}
