use snafu::Snafu;

/// A failure to decode a message from the bytes of a peer.
///
/// The remedy is always the same: close the connection and, if it recurs, run
/// the same release on both hosts.
#[derive(Debug, Snafu)]
#[snafu(display("{code}; run the same release on both hosts"))]
pub struct WireError {
    code: Code,
}

#[derive(Debug, Snafu)]
enum Code {
    #[snafu(display("frame is not a protobuf message: {source}"))]
    Protobuf { source: prost::DecodeError },
    #[snafu(display("frame has no body of a known type"))]
    UnknownBody,
    #[snafu(display("message has no {field}"))]
    Missing { field: &'static str },
}

impl WireError {
    pub(crate) fn protobuf(source: prost::DecodeError) -> WireError {
        WireError { code: Code::Protobuf { source } }
    }

    pub(crate) fn unknown_body() -> WireError {
        WireError { code: Code::UnknownBody }
    }

    pub(crate) fn missing(field: &'static str) -> WireError {
        WireError { code: Code::Missing { field } }
    }
}
