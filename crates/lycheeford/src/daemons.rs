use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use lycheeford_operator::{ClientCategory, ClientError, OperatorClient, OperatorErrorCode};

use crate::failure::{Exit, Failure};

/// The operator address of the first daemon in the example settings.
const ADDRESS_DEFAULT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 1, 1)), 7201);

/// The daemons that a run may call.
///
/// Each of them can serve any call, except a drain and the explanation of a request, which only
/// one daemon can serve.
#[derive(Debug)]
pub(crate) struct Daemons {
    addresses: Vec<SocketAddr>,
}

impl Daemons {
    pub(crate) fn new(addresses: Vec<SocketAddr>) -> Daemons {
        Daemons { addresses }
    }

    /// Calls the daemons in order until one can be reached and can reach the platform's store.
    pub(crate) async fn call<T>(
        &self,
        call: impl AsyncFn(OperatorClient) -> Result<T, ClientError>,
    ) -> Result<T, ClientError> {
        self.call_with_fallback(is_unavailable, call).await
    }

    /// Calls the daemons in order until one knows the subject of the call.
    pub(crate) async fn call_until_found<T>(
        &self,
        call: impl AsyncFn(OperatorClient) -> Result<T, ClientError>,
    ) -> Result<T, ClientError> {
        self.call_with_fallback(is_unavailable_or_not_found, call).await
    }

    async fn call_with_fallback<T>(
        &self,
        should_try_next: fn(&ClientError) -> bool,
        call: impl AsyncFn(OperatorClient) -> Result<T, ClientError>,
    ) -> Result<T, ClientError> {
        let (first, others) = match self.addresses.split_first() {
            Some((first, others)) => (*first, others),
            None => (ADDRESS_DEFAULT, Default::default()),
        };
        let mut result = call(OperatorClient::new(first)).await;
        for address in others {
            match &result {
                Err(error) if should_try_next(error) => {
                    result = call(OperatorClient::new(*address)).await;
                }
                _ => break,
            }
        }
        result
    }

    /// Returns the named daemon, or a usage failure if not exactly one daemon was named.
    pub(crate) fn single(&self) -> Result<OperatorClient, Failure> {
        match self.addresses.as_slice() {
            [address] => Ok(OperatorClient::new(*address)),
            _ => Err(Failure::new(
                Exit::Usage,
                "this command acts on one daemon; name it with a single --daemon",
            )),
        }
    }
}

/// Returns whether the call changed nothing and may succeed on another daemon.
fn is_unavailable(error: &ClientError) -> bool {
    let refusal_code = error.refusal().map(|refusal| refusal.code);
    error.category() == ClientCategory::Unreachable
        || refusal_code == Some(OperatorErrorCode::PlatformUnavailable)
}

/// Returns whether another daemon may know the subject that this daemon doesn't know.
fn is_unavailable_or_not_found(error: &ClientError) -> bool {
    let refusal_code = error.refusal().map(|refusal| refusal.code);
    is_unavailable(error) || refusal_code == Some(OperatorErrorCode::NotFound)
}
