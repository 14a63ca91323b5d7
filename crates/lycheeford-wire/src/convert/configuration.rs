use super::{checked_all, checked_name, encoded_all};
use crate::error::WireError;
use crate::generated as wire;
use crate::message::{ConfigurationChunk, ConfigurationOffer};

impl From<ConfigurationOffer> for wire::ConfigurationOffer {
    fn from(domain: ConfigurationOffer) -> wire::ConfigurationOffer {
        wire::ConfigurationOffer { head_json: domain.head_json, chunks: encoded_all(domain.chunks) }
    }
}

impl TryFrom<wire::ConfigurationOffer> for ConfigurationOffer {
    type Error = WireError;

    fn try_from(wire: wire::ConfigurationOffer) -> Result<ConfigurationOffer, WireError> {
        Ok(ConfigurationOffer { head_json: wire.head_json, chunks: checked_all(wire.chunks)? })
    }
}

impl From<ConfigurationChunk> for wire::ConfigurationChunk {
    fn from(domain: ConfigurationChunk) -> wire::ConfigurationChunk {
        wire::ConfigurationChunk { name: domain.name.as_str().to_owned(), text: domain.text }
    }
}

impl TryFrom<wire::ConfigurationChunk> for ConfigurationChunk {
    type Error = WireError;

    fn try_from(wire: wire::ConfigurationChunk) -> Result<ConfigurationChunk, WireError> {
        Ok(ConfigurationChunk { name: checked_name(wire.name, "chunk name")?, text: wire.text })
    }
}
