use lycheeford_policy::{Incarnation, Name};

use super::{checked_all, checked_name, encoded_all};
use crate::error::WireError;
use crate::generated as wire;
use crate::message::{Hello, HostReport, SpareTokens};

impl From<Hello> for wire::Hello {
    fn from(domain: Hello) -> wire::Hello {
        wire::Hello {
            host: domain.host.as_str().to_owned(),
            incarnation: domain.incarnation.0,
            build: domain.build.map(|build| build.as_str().to_owned()),
        }
    }
}

impl TryFrom<wire::Hello> for Hello {
    type Error = WireError;

    fn try_from(wire: wire::Hello) -> Result<Hello, WireError> {
        Ok(Hello {
            host: checked_name(wire.host, "host")?,
            incarnation: Incarnation(wire.incarnation),
            build: wire.build.map(Name::from),
        })
    }
}

impl From<HostReport> for wire::HostReport {
    fn from(domain: HostReport) -> wire::HostReport {
        wire::HostReport {
            host: domain.host.as_str().to_owned(),
            incarnation: domain.incarnation.0,
            configuration_revision: domain.configuration_revision,
            confirmed_age_ms: domain.confirmed_age_ms,
            draining: domain.draining,
            spare: encoded_all(domain.spare),
        }
    }
}

impl TryFrom<wire::HostReport> for HostReport {
    type Error = WireError;

    fn try_from(wire: wire::HostReport) -> Result<HostReport, WireError> {
        Ok(HostReport {
            host: checked_name(wire.host, "host")?,
            incarnation: Incarnation(wire.incarnation),
            configuration_revision: wire.configuration_revision,
            confirmed_age_ms: wire.confirmed_age_ms,
            draining: wire.draining,
            spare: checked_all(wire.spare)?,
        })
    }
}

impl From<SpareTokens> for wire::SpareTokens {
    fn from(domain: SpareTokens) -> wire::SpareTokens {
        wire::SpareTokens { customer: domain.customer.as_str().to_owned(), tokens: domain.tokens }
    }
}

impl TryFrom<wire::SpareTokens> for SpareTokens {
    type Error = WireError;

    fn try_from(wire: wire::SpareTokens) -> Result<SpareTokens, WireError> {
        Ok(SpareTokens { customer: checked_name(wire.customer, "customer")?, tokens: wire.tokens })
    }
}
