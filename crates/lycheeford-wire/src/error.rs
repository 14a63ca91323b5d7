use snafu::Snafu;

/// A failure to decode a message from the bytes of a peer.
///
/// A frame of another build may have content that this one doesn't know; the frames after it may still
/// be understood. Bytes that aren't a frame of any build end the connection.
#[derive(Debug, Snafu)]
#[snafu(display("{code}; compare the builds of both hosts"))]
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
    /// Returns whether the bytes are a frame whose content isn't known or lacks something, as one of
    /// another build may be.
    pub fn is_unknown_content(&self) -> bool {
        match self.code {
            Code::Protobuf { .. } => false,
            Code::UnknownBody | Code::Missing { .. } => true,
        }
    }

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
