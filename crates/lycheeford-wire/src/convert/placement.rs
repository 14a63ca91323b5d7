use lycheeford_policy::{
    Activity, CrashCause, CrashSuspect, Demand, Incarnation, Name, SuspectedCrash,
};

use super::{checked_all, checked_name, encoded_all};
use crate::error::WireError;
use crate::generated as wire;
use crate::message::{DemandReport, Expected, PlacementReport, Refused, TargetPlacement};

impl From<DemandReport> for wire::DemandReport {
    fn from(domain: DemandReport) -> wire::DemandReport {
        wire::DemandReport {
            demands: encoded_all(domain.demands),
            activity: encoded_all(domain.activity),
        }
    }
}

impl TryFrom<wire::DemandReport> for DemandReport {
    type Error = WireError;

    fn try_from(wire: wire::DemandReport) -> Result<DemandReport, WireError> {
        Ok(DemandReport {
            demands: checked_all(wire.demands)?,
            activity: checked_all(wire.activity)?,
        })
    }
}

impl From<Demand> for wire::Demand {
    fn from(domain: Demand) -> wire::Demand {
        wire::Demand {
            name: domain.name.as_str().to_owned(),
            customer: domain.customer.as_str().to_owned(),
            class: u32::from(domain.class),
            waiting: domain.waiting,
            deadline_in_ms: domain.deadline_in_ms,
            waited_ms: domain.waited_ms,
        }
    }
}

impl TryFrom<wire::Demand> for Demand {
    type Error = WireError;

    fn try_from(wire: wire::Demand) -> Result<Demand, WireError> {
        Ok(Demand {
            name: checked_name(wire.name, "name")?,
            customer: checked_name(wire.customer, "customer")?,
            class: u8::try_from(wire.class).unwrap_or(u8::MAX),
            waiting: wire.waiting,
            deadline_in_ms: wire.deadline_in_ms,
            waited_ms: wire.waited_ms,
        })
    }
}

impl From<Activity> for wire::Activity {
    fn from(domain: Activity) -> wire::Activity {
        wire::Activity {
            name: domain.name.as_str().to_owned(),
            served: domain.served,
            running: domain.running,
        }
    }
}

impl TryFrom<wire::Activity> for Activity {
    type Error = WireError;

    fn try_from(wire: wire::Activity) -> Result<Activity, WireError> {
        Ok(Activity {
            name: checked_name(wire.name, "name")?,
            served: wire.served,
            running: wire.running,
        })
    }
}

impl From<PlacementReport> for wire::PlacementReport {
    fn from(domain: PlacementReport) -> wire::PlacementReport {
        wire::PlacementReport {
            sequence: domain.sequence,
            targets: encoded_all(domain.targets),
            expected: encoded_all(domain.expected),
            refused: encoded_all(domain.refused),
        }
    }
}

impl TryFrom<wire::PlacementReport> for PlacementReport {
    type Error = WireError;

    fn try_from(wire: wire::PlacementReport) -> Result<PlacementReport, WireError> {
        Ok(PlacementReport {
            sequence: wire.sequence,
            targets: checked_all(wire.targets)?,
            expected: checked_all(wire.expected)?,
            refused: checked_all(wire.refused)?,
        })
    }
}

impl From<TargetPlacement> for wire::TargetPlacement {
    fn from(domain: TargetPlacement) -> wire::TargetPlacement {
        wire::TargetPlacement {
            target: domain.target.as_str().to_owned(),
            incarnation: domain.incarnation.0,
            accepts_work: domain.accepts_work,
            running: domain.running,
            queued: domain.queued,
            ready: domain.ready.iter().map(|name| name.as_str().to_owned()).collect(),
        }
    }
}

impl TryFrom<wire::TargetPlacement> for TargetPlacement {
    type Error = WireError;

    fn try_from(wire: wire::TargetPlacement) -> Result<TargetPlacement, WireError> {
        Ok(TargetPlacement {
            target: checked_name(wire.target, "target")?,
            incarnation: Incarnation(wire.incarnation),
            accepts_work: wire.accepts_work,
            running: wire.running,
            queued: wire.queued,
            ready: wire.ready.into_iter().map(Name::from).collect(),
        })
    }
}

impl From<Expected> for wire::Expected {
    fn from(domain: Expected) -> wire::Expected {
        wire::Expected { name: domain.name.as_str().to_owned(), ready_in_ms: domain.ready_in_ms }
    }
}

impl TryFrom<wire::Expected> for Expected {
    type Error = WireError;

    fn try_from(wire: wire::Expected) -> Result<Expected, WireError> {
        Ok(Expected { name: checked_name(wire.name, "name")?, ready_in_ms: wire.ready_in_ms })
    }
}

impl From<Refused> for wire::Refused {
    fn from(domain: Refused) -> wire::Refused {
        wire::Refused {
            name: domain.name.as_str().to_owned(),
            customer: domain.customer.as_str().to_owned(),
            retry_after_ms: domain.retry_after_ms,
        }
    }
}

impl TryFrom<wire::Refused> for Refused {
    type Error = WireError;

    fn try_from(wire: wire::Refused) -> Result<Refused, WireError> {
        Ok(Refused {
            name: checked_name(wire.name, "name")?,
            customer: checked_name(wire.customer, "customer")?,
            retry_after_ms: wire.retry_after_ms,
        })
    }
}

impl From<CrashSuspect> for wire::CrashSuspect {
    fn from(domain: CrashSuspect) -> wire::CrashSuspect {
        let lives = domain.crashes.iter().map(|crash| crash.life.as_str().to_owned());
        // Daemons see no prompt parts, so that all their suspects are requests.
        let (CrashCause::Request(fingerprint) | CrashCause::PromptPart(fingerprint)) = domain.cause;
        wire::CrashSuspect { fingerprint, target_lives: lives.collect() }
    }
}

impl TryFrom<wire::CrashSuspect> for CrashSuspect {
    type Error = WireError;

    fn try_from(wire: wire::CrashSuspect) -> Result<CrashSuspect, WireError> {
        let mut crashes = wire
            .target_lives
            .into_iter()
            .map(|life| {
                let life = checked_name(life, "target_lives")?;
                Ok(SuspectedCrash { life, is_excused: false })
            })
            .collect::<Result<Vec<SuspectedCrash>, WireError>>()?;
        crashes.sort_by(|left, right| left.life.cmp(&right.life));
        Ok(CrashSuspect { cause: CrashCause::Request(wire.fingerprint), crashes, age_ms: 0 })
    }
}
