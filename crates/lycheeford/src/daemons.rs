use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use lycheeford_operator::{ClientCategory, ClientError, OperatorClient, OperatorErrorCode};

use crate::failure::{Exit, Failure};

/// Where the first daemon of the examples listens for operators.
const ADDRESS_DEFAULT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 1, 1)), 7201);

/// The daemons that a run may call, all equal.
#[derive(Debug)]
pub(crate) struct Daemons {
    named: Vec<SocketAddr>,
}

impl Daemons {
    pub(crate) fn new(named: Vec<SocketAddr>) -> Daemons {
        Daemons { named }
    }

    /// Calls the daemons in turn until one can be reached and can act.
    pub(crate) async fn call<T>(
        &self,
        call: impl AsyncFn(OperatorClient) -> Result<T, ClientError>,
    ) -> Result<T, ClientError> {
        self.call_while(another_can_act, call).await
    }

    /// Calls the daemons in turn until one knows the subject of the call.
    pub(crate) async fn find<T>(
        &self,
        call: impl AsyncFn(OperatorClient) -> Result<T, ClientError>,
    ) -> Result<T, ClientError> {
        self.call_while(another_may_know, call).await
    }

    async fn call_while<T>(
        &self,
        try_next: fn(&ClientError) -> bool,
        call: impl AsyncFn(OperatorClient) -> Result<T, ClientError>,
    ) -> Result<T, ClientError> {
        let (first, others) = match self.named.split_first() {
            Some((first, others)) => (*first, others),
            None => (ADDRESS_DEFAULT, Default::default()),
        };
        let mut result = call(OperatorClient::new(first)).await;
        for address in others {
            match &result {
                Err(error) if try_next(error) => {
                    result = call(OperatorClient::new(*address)).await;
                }
                _ => break,
            }
        }
        result
    }

    /// Returns the only daemon that was named, for a call meant for just that one.
    pub(crate) fn only(&self) -> Result<OperatorClient, Failure> {
        match self.named.as_slice() {
            [address] => Ok(OperatorClient::new(*address)),
            _ => Err(Failure::new(
                Exit::Usage,
                "this command acts on one daemon; name it with a single --daemon",
            )),
        }
    }
}

/// Tells whether the call changed nothing and another daemon may fare better.
fn another_can_act(error: &ClientError) -> bool {
    let refused = error.refusal().map(|refusal| refusal.code);
    error.category() == ClientCategory::Unreachable
        || refused == Some(OperatorErrorCode::PlatformUnavailable)
}

/// Tells whether another daemon may know what this one doesn't.
fn another_may_know(error: &ClientError) -> bool {
    let refused = error.refusal().map(|refusal| refusal.code);
    another_can_act(error) || refused == Some(OperatorErrorCode::NotFound)
}
