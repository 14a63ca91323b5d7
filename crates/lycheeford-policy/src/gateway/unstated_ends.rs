use crate::{Name, TimeMs};

/// How many ends of a service's streams are doubted at first, and after each that wasn't the end.
const DOUBTED_MIN: u32 = 3;
/// One in so many ends of a trusted service is confirmed, so that a change is noticed.
const SAMPLE_INTERVAL: u32 = 16;
/// How many ends of a target are doubted after it broke off an answer.
const DOUBTED_AFTER_BREAK: u32 = 16;
/// How long a target is remembered that broke off an answer.
const MEMORY_MS: u64 = 600_000;

/// Decides which answers without a stated end need a confirmation that they are complete.
///
/// A target that sends neither a length nor chunks ends an answer by closing the connection, as a
/// failed run or the kernel of a killed process does. Asking another target for the rest tells, but
/// costs a request, so that ends are trusted which have proved to be complete; see docs/DESIGN.md,
/// "Answers without a stated end".
///
/// ```
/// use lycheeford_policy::{EndDoubt, EndSign, Name, TimeMs, UnstatedEnds};
///
/// let (now, service) = (TimeMs::from_ms(0), Name::from("models"));
/// let mut ends = UnstatedEnds::default();
/// let doubt = ends.stream_doubt(now, &service, &Name::from("engine-1"), EndSign::Listens);
/// assert_eq!(doubt, Some(EndDoubt::NewService));
/// ```
#[derive(Debug, Clone, Default)]
pub struct UnstatedEnds {
    /// Sorted by service.
    services: Vec<ServiceEnds>,
    /// The targets that broke off an answer; sorted by target.
    broken: Vec<BrokenTarget>,
}

#[derive(Debug, Clone)]
struct BrokenTarget {
    target: Name,
    broke_off_at: TimeMs,
    /// How many of the next ends are doubted.
    doubted: u32,
}

#[derive(Debug, Clone)]
struct ServiceEnds {
    service: Name,
    /// How many of the next ends are doubted.
    doubted: u32,
    /// How many ends were trusted since the last sample.
    trusted: u32,
}

/// What a target shows after it has ended an answer with its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndSign {
    /// A process still listens at its address.
    Listens,
    /// Nothing shows whether the process that answered still runs.
    Unknown,
}

/// Why an end should be confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndDoubt {
    /// Nothing shows that the target still runs.
    Unknown,
    /// The target broke off another answer a short while ago.
    BrokeOff,
    /// Too little is known of the ends of the service's streams.
    NewService,
    /// A sample of the ends of a trusted service.
    Sample,
}

impl EndDoubt {
    /// Returns the part of the retries that requests for this reason may use up.
    ///
    /// Retries that complete a broken answer go before those that confirm a sound one.
    pub fn retries_part(self) -> f64 {
        match self {
            EndDoubt::Unknown | EndDoubt::BrokeOff => 0.75,
            EndDoubt::NewService | EndDoubt::Sample => 0.25,
        }
    }

    /// Returns the name of the reason in logs.
    pub fn label(self) -> &'static str {
        match self {
            EndDoubt::Unknown => "unknown",
            EndDoubt::BrokeOff => "broke_off",
            EndDoubt::NewService => "new_service",
            EndDoubt::Sample => "sample",
        }
    }
}

impl UnstatedEnds {
    /// Returns why the end of a stream should be confirmed, if it should.
    pub fn stream_doubt(
        &mut self,
        now: TimeMs,
        service: &Name,
        target: &Name,
        sign: EndSign,
    ) -> Option<EndDoubt> {
        if let Some(doubt) = self.body_doubt(now, target, sign) {
            return Some(doubt);
        }
        let ends = self.service(service);
        if ends.doubted > 0 {
            return Some(EndDoubt::NewService);
        }
        ends.trusted = ends.trusted.saturating_add(1);
        (ends.trusted >= SAMPLE_INTERVAL).then_some(EndDoubt::Sample)
    }

    /// Returns why a body whose rest can't be asked for should be requested again, if it should.
    pub fn body_doubt(&mut self, now: TimeMs, target: &Name, sign: EndSign) -> Option<EndDoubt> {
        if sign == EndSign::Unknown {
            return Some(EndDoubt::Unknown);
        }
        let broken = self.broken(now, target)?;
        (broken.doubted > 0).then_some(EndDoubt::BrokeOff)
    }

    /// Records that another target was asked because of a doubt.
    pub fn asked(&mut self, now: TimeMs, service: &Name, target: &Name, doubt: EndDoubt) {
        match doubt {
            EndDoubt::Unknown => {}
            EndDoubt::BrokeOff => {
                if let Some(broken) = self.broken(now, target) {
                    broken.doubted = broken.doubted.saturating_sub(1);
                }
            }
            EndDoubt::NewService => {
                let ends = self.service(service);
                ends.doubted = ends.doubted.saturating_sub(1);
            }
            EndDoubt::Sample => self.service(service).trusted = 0,
        }
    }

    /// Records that a stream wasn't complete although nothing showed it.
    ///
    /// What one target does, others of its service may do, but if it was known for that they are
    /// no more in doubt than before.
    pub fn refuted(&mut self, now: TimeMs, service: &Name, target: &Name) {
        if self.broken(now, target).is_none() {
            self.service(service).doubted = DOUBTED_MIN;
        }
        self.broke_off(now, target);
    }

    /// Records that a target broke off an answer.
    pub fn broke_off(&mut self, now: TimeMs, target: &Name) {
        self.broken.retain(|broken| now.since_ms(broken.broke_off_at) < MEMORY_MS);
        let broken = BrokenTarget {
            target: target.clone(),
            broke_off_at: now,
            doubted: DOUBTED_AFTER_BREAK,
        };
        match self.broken.binary_search_by(|known| known.target.cmp(target)) {
            Ok(index) => self.broken[index] = broken,
            Err(index) => self.broken.insert(index, broken),
        }
    }

    /// Returns what is remembered of a target that broke off an answer.
    fn broken(&mut self, now: TimeMs, target: &Name) -> Option<&mut BrokenTarget> {
        let index = self.broken.binary_search_by(|broken| broken.target.cmp(target)).ok()?;
        let broken = &mut self.broken[index];
        (now.since_ms(broken.broke_off_at) < MEMORY_MS).then_some(broken)
    }

    fn service(&mut self, service: &Name) -> &mut ServiceEnds {
        let found = self.services.binary_search_by(|ends| ends.service.cmp(service));
        let index = found.unwrap_or_else(|index| {
            let ends = ServiceEnds { service: service.clone(), doubted: DOUBTED_MIN, trusted: 0 };
            self.services.insert(index, ends);
            index
        });
        &mut self.services[index]
    }
}
