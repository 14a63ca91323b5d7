use crate::ChunkReceiver;

/// An answer to a caller.
#[derive(Debug)]
pub struct CallerResponse {
    /// The status code.
    pub status: u16,
    /// The headers; those that concern the connection are set by the server.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: CallerBody,
}

/// The body of an answer.
#[derive(Debug)]
pub enum CallerBody {
    /// All of it, sent with its length.
    Whole(Vec<u8>),
    /// Chunks that are sent as they come.
    Stream(ChunkReceiver),
}
