use std::sync::Arc;

use lycheeford_config::{Chunk, Head, assemble};
use lycheeford_platform::{Object, UnreadableValue};
use lycheeford_policy::Configuration;
use snafu::{ResultExt, Snafu};

/// Why the configuration that a head names can't be read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub(crate) enum ReadError {
    #[snafu(display("platform did not return the configuration: {source}"))]
    Platform { source: lycheeford_platform::PlatformError },
    #[snafu(display("stored configuration lacks chunk {name}; apply the configuration again"))]
    MissingChunk { name: String },
    #[snafu(display("stored chunk {name} isn't text; apply the configuration again"))]
    BadChunk { name: String },
    #[snafu(display("stored head isn't readable: {source}; apply the configuration again"))]
    BadHead { source: UnreadableValue },
    #[snafu(display("stored configuration is invalid: {source}"))]
    Assemble { source: lycheeford_config::AssembleError },
}

/// A committed configuration with the head and chunks that it was assembled from.
#[derive(Debug, Clone, Default)]
pub(crate) struct Committed {
    pub(crate) head: Head,
    pub(crate) chunks: Vec<Chunk>,
    pub(crate) configuration: Arc<Configuration>,
}

impl Committed {
    /// Assembles the configuration that `head` names from `chunks`, which may contain others.
    pub(crate) fn assemble(head: Head, chunks: &[Chunk]) -> Result<Committed, ReadError> {
        let named = head.declared.iter().chain(&head.keys);
        let chunks = named
            .filter_map(|name| chunks.iter().find(|chunk| chunk.name == *name).cloned())
            .collect::<Vec<Chunk>>();
        let configuration = Arc::new(assemble(&head, &chunks).context(AssembleSnafu)?);
        Ok(Committed { head, chunks, configuration })
    }
}

/// Decodes a head from its stored object.
pub(crate) fn head_of(object: &Object) -> Result<Head, ReadError> {
    object.decode().context(BadHeadSnafu)
}
