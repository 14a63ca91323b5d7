use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::recent_set::RecentSet;
use crate::{Name, TimeMs};

/// The number of targets that a request may crash before it is refused.
pub const MAX_TARGET_CRASHES: u32 = 2;
/// The number of targets that may crash under requests with one prompt part before such requests
/// are refused: more than a single request can crash.
pub const MAX_PROMPT_PART_CRASHES: u32 = 3;

/// The number of suspects that are remembered; the oldest are removed first.
pub const MAX_CRASH_SUSPECTS: usize = 1_024;
/// How long a suspect is remembered after its last crash. Engines and models are replaced, so a
/// request that crashed them may run again some day.
pub const CRASH_SUSPECT_EXPIRY_MS: u64 = 600_000;

/// The number of crashes from which a suspect is no longer explained by one with as many: requests
/// that have only one of the two showed too late which of them is deadly.
const TIED_CRASHES_MAX: usize = 5;
/// The number of crashed targets that are remembered for each suspect.
const LIVES_MAX: usize = 8;
/// How long a completed response shows that a prompt part is harmless.
const COMPLETION_EXPIRY_MS: u64 = 30_000;
/// The number of prompt parts whose last completed response is remembered.
const COMPLETIONS_MAX: usize = 2_048;

/// How many of the most important suspects are in each excerpt.
const EXCERPT_FIRST_MAX: usize = 8;
/// How many other suspects are in each excerpt.
const EXCERPT_OTHERS_MAX: usize = 24;

/// A property of a request that may be the reason why its target crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashCause {
    /// The request as a whole, by the fingerprint of customer, route and body.
    Request(u64),
    /// A part of the prompt that requests may share, by its id.
    PromptPart(u64),
}

impl CrashCause {
    fn crashes_max(self) -> usize {
        match self {
            CrashCause::Request(_) => MAX_TARGET_CRASHES as usize,
            CrashCause::PromptPart(_) => MAX_PROMPT_PART_CRASHES as usize,
        }
    }

    fn seed(self) -> u64 {
        match self {
            CrashCause::Request(fingerprint) => fingerprint,
            CrashCause::PromptPart(id) => !id,
        }
    }
}

/// Whether a request may run, by the crashes of targets that it may have caused before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// No target crashed because of the request, as far as is known.
    Clear,
    /// A target crashed while running the request: the request runs in isolation, one attempt at a
    /// time, without a retry or a hedge.
    RunAlone,
    /// Too many targets crashed while running the request, or others that share a part of its
    /// prompt: the request is refused.
    Refuse,
}

/// A crash of a target while a suspect was running on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectedCrash {
    /// The life (process incarnation) of the target that crashed.
    pub life: Name,
    /// Whether a later response shows that the suspect was not the reason.
    pub is_excused: bool,
}

/// A possible reason of crashes, as daemons report it to each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashSuspect {
    /// What the requests that were running at the targets have in common.
    pub cause: CrashCause,
    /// The crashes, sorted by life.
    pub crashes: Vec<SuspectedCrash>,
    /// How long ago the last crash was recorded.
    pub age_ms: u64,
}

#[derive(Debug, Clone)]
struct Suspect {
    cause: CrashCause,
    /// Sorted by life.
    crashes: Vec<SuspectedCrash>,
    last_crash_at: TimeMs,
    /// Position of the last crash in the order of all crashes recorded by this daemon; a greater
    /// number is more recent.
    crash_number: u64,
    /// Whether this daemon saw one of the crashes itself.
    is_seen_here: bool,
}

impl Suspect {
    /// Returns the lives whose crashes are not excused.
    fn unexcused(&self) -> impl Iterator<Item = &Name> {
        self.crashes.iter().filter(|crash| !crash.is_excused).map(|crash| &crash.life)
    }

    fn crash_count(&self) -> usize {
        self.unexcused().count()
    }

    fn is_over_limit(&self) -> bool {
        self.crash_count() >= self.cause.crashes_max()
    }

    fn is_expired(&self, now: TimeMs) -> bool {
        now.since_ms(self.last_crash_at) >= CRASH_SUSPECT_EXPIRY_MS
    }

    /// Returns whether another suspect explains all crashes of this one: it was running at each of
    /// the targets, too.
    fn is_explained_by(&self, other: &Suspect) -> bool {
        let crashes = self.crash_count();
        (crashes < TIED_CRASHES_MAX || other.crash_count() > crashes)
            && self.unexcused().all(|life| other.unexcused().any(|other_life| other_life == life))
    }

    /// Returns whether the crashes of the suspect were recorded as far as they are remembered.
    fn is_full(&self) -> bool {
        self.crashes.len() >= LIVES_MAX
    }

    /// Returns a digest of the suspect; once no more crashes are remembered, it doesn't depend on
    /// which ones are.
    fn digest(&self) -> u64 {
        let seed = self.cause.seed();
        if self.is_full() {
            return xxh3_64_with_seed(&[u8::from(self.is_over_limit())], seed);
        }
        self.crashes.iter().fold(0, |digest, crash| {
            let seed = seed.rotate_left(u32::from(crash.is_excused));
            digest ^ xxh3_64_with_seed(crash.life.as_bytes(), seed)
        })
    }

    fn report(&self, now: TimeMs) -> CrashSuspect {
        CrashSuspect {
            cause: self.cause,
            crashes: self.crashes.clone(),
            age_ms: now.since_ms(self.last_crash_at),
        }
    }
}

/// The requests and prompt parts that may have crashed targets, as seen by this daemon and its
/// peers.
///
/// A crash is recorded for everything that a request running at the target could have crashed it
/// with: sound requests that ran beside the culprit are suspected too, until one like them is
/// completed. A crash is identified by the target and its life that crashed, so that a report that
/// arrives twice, or from two peers, counts once. See docs/DESIGN.md, "A request that crashes its
/// target".
///
/// ```
/// use lycheeford_policy::{CrashCause, CrashSuspects, CrashVerdict, TimeMs};
///
/// let now = TimeMs::from_ms(0);
/// let request = [CrashCause::Request(17)];
/// let mut suspects = CrashSuspects::default();
/// suspects.record_crash(now, &request, &"engine-1@4".into());
/// assert_eq!(suspects.verdict(now, &request), CrashVerdict::RunAlone);
/// suspects.record_crash(now, &request, &"engine-2@1".into());
/// assert_eq!(suspects.verdict(now, &request), CrashVerdict::Refuse);
/// ```
#[derive(Debug, Clone, Default)]
pub struct CrashSuspects {
    /// Sorted by cause.
    suspects: Vec<Suspect>,
    /// The prompt parts of responses that were completed here.
    completed_parts: RecentSet,
    /// The fingerprints of the suspects that run on this host, sorted.
    running: Vec<u64>,
    last_crash_number: u64,
}

impl CrashSuspects {
    /// Records that a life of a target crashed while running a request; returns the causes for
    /// which requests are refused from now on.
    pub fn record_crash(
        &mut self,
        now: TimeMs,
        causes: &[CrashCause],
        life: &Name,
    ) -> Vec<CrashCause> {
        let mut refused = Vec::new();
        for cause in causes {
            // A part that is answered all the time needs no record, unless another daemon has one.
            if self.is_recently_completed(now, *cause) && self.position(*cause).is_err() {
                continue;
            }
            let crash = SuspectedCrash { life: life.clone(), is_excused: false };
            refused.extend(self.add_crash(now, *cause, now, crash));
            if let Ok(index) = self.position(*cause) {
                self.suspects[index].is_seen_here = true;
            }
        }
        refused
    }

    /// Records that a request was answered completely, which shows that nothing in it is deadly.
    pub fn record_completion(&mut self, now: TimeMs, causes: &[CrashCause]) {
        for cause in causes {
            if let CrashCause::PromptPart(id) = cause {
                self.completed_parts.insert(now, *id, COMPLETIONS_MAX);
            }
            if let Ok(index) = self.position(*cause) {
                for crash in &mut self.suspects[index].crashes {
                    crash.is_excused = true;
                }
            }
        }
    }

    /// Merges the suspects that a peer reports; returns the causes for which requests are refused
    /// from now on.
    pub fn merge(&mut self, now: TimeMs, reports: &[CrashSuspect]) -> Vec<CrashCause> {
        let mut refused = Vec::new();
        for report in reports {
            let crashed_at = now - report.age_ms;
            for crash in &report.crashes {
                refused.extend(self.add_crash(now, report.cause, crashed_at, crash.clone()));
            }
        }
        refused
    }

    /// Returns all suspects, sorted by cause.
    pub fn reports(&self, now: TimeMs) -> Vec<CrashSuspect> {
        self.suspects.iter().map(|suspect| suspect.report(now)).collect()
    }

    /// Returns the suspects with so many crashes that requests are refused for them.
    pub fn over_limit(&self, now: TimeMs) -> Vec<CrashSuspect> {
        self.refused(now).map(|suspect| suspect.report(now)).collect()
    }

    /// Returns those of [`CrashSuspects::over_limit`] of which this daemon saw a crash itself.
    pub fn over_limit_seen_here(&self, now: TimeMs) -> Vec<CrashSuspect> {
        let seen_here = self.refused(now).filter(|suspect| suspect.is_seen_here);
        seen_here.map(|suspect| suspect.report(now)).collect()
    }

    fn refused(&self, now: TimeMs) -> impl Iterator<Item = &Suspect> {
        let suspects = self.suspects.iter();
        suspects.filter(move |suspect| suspect.is_over_limit() && !suspect.is_expired(now))
    }

    /// Returns a digest of all suspects.
    ///
    /// Daemons that know the same crashes of all suspects have the same digest, and need not
    /// exchange their suspects.
    pub fn digest(&self) -> u64 {
        self.suspects.iter().fold(0, |digest, suspect| digest ^ suspect.digest())
    }

    /// Returns a subset of the suspects that is small enough for a datagram.
    ///
    /// The prompt parts with the most crashes and the most recently updated suspects are in every
    /// excerpt. The others rotate, so that a few consecutive values of `turn` cover all of them.
    pub fn excerpt(&self, now: TimeMs, turn: usize) -> Vec<CrashSuspect> {
        let mut ranked: Vec<&Suspect> = self.suspects.iter().collect();
        ranked.sort_unstable_by_key(|suspect| {
            let part_crashes = match suspect.cause {
                CrashCause::Request(_) => 0,
                CrashCause::PromptPart(_) => suspect.crash_count(),
            };
            (Reverse(part_crashes), Reverse(suspect.crash_number))
        });
        let others = ranked.split_off(ranked.len().min(EXCERPT_FIRST_MAX));
        let turns = others.len().div_ceil(EXCERPT_OTHERS_MAX).max(1);
        ranked.extend(others.chunks(EXCERPT_OTHERS_MAX).nth(turn % turns).unwrap_or_default());
        ranked.into_iter().map(|suspect| suspect.report(now)).collect()
    }

    /// Returns whether a request may run.
    pub fn verdict(&self, now: TimeMs, causes: &[CrashCause]) -> CrashVerdict {
        let mut verdict = CrashVerdict::Clear;
        for suspect in causes.iter().filter_map(|cause| self.suspect(now, *cause)) {
            if suspect.crash_count() == 0 || self.is_explained(now, suspect, causes) {
                continue;
            }
            if suspect.is_over_limit() {
                return CrashVerdict::Refuse;
            }
            verdict = CrashVerdict::RunAlone;
        }
        verdict
    }

    /// Removes the suspects whose last crash is long ago.
    pub fn expire(&mut self, now: TimeMs) {
        self.suspects.retain(|suspect| !suspect.is_expired(now));
    }

    /// Marks a suspect as running on this host; returns false if the same request already runs
    /// here.
    pub fn start_exclusive_run(&mut self, fingerprint: u64) -> bool {
        match self.running.binary_search(&fingerprint) {
            Ok(_) => false,
            Err(index) => {
                self.running.insert(index, fingerprint);
                true
            }
        }
    }

    /// Marks a suspect as no longer running on this host.
    pub fn end_exclusive_run(&mut self, fingerprint: u64) {
        if let Ok(index) = self.running.binary_search(&fingerprint) {
            self.running.remove(index);
        }
    }

    /// Returns whether all crashes of a suspect are those of a deadly prompt part that the request
    /// with `causes` doesn't have: then the suspect only ran beside that part.
    fn is_explained(&self, now: TimeMs, suspect: &Suspect, causes: &[CrashCause]) -> bool {
        self.suspects.iter().any(|other| {
            matches!(other.cause, CrashCause::PromptPart(_))
                && other.is_over_limit()
                && !other.is_expired(now)
                && !causes.contains(&other.cause)
                && suspect.is_explained_by(other)
        })
    }

    /// Adds a crash to a suspect; returns the cause if requests are refused for it from now on.
    fn add_crash(
        &mut self,
        now: TimeMs,
        cause: CrashCause,
        crashed_at: TimeMs,
        crash: SuspectedCrash,
    ) -> Option<CrashCause> {
        if now.since_ms(crashed_at) >= CRASH_SUSPECT_EXPIRY_MS {
            return None;
        }
        let is_harmless = self.is_recently_completed(now, cause);
        let index = self.position_or_insert(cause, crashed_at);
        let suspect = &mut self.suspects[index];
        let was_over_limit = suspect.is_over_limit();
        match suspect.crashes.binary_search_by(|known| known.life.cmp(&crash.life)) {
            Ok(known) => suspect.crashes[known].is_excused |= crash.is_excused || is_harmless,
            Err(_) if suspect.is_full() => return None,
            Err(place) => {
                let is_excused = crash.is_excused || is_harmless;
                suspect.crashes.insert(place, SuspectedCrash { is_excused, ..crash });
                suspect.last_crash_at = suspect.last_crash_at.max(crashed_at);
                self.last_crash_number += 1;
                suspect.crash_number = self.last_crash_number;
            }
        }
        let is_refused = !was_over_limit && suspect.is_over_limit();
        self.drop_oldest();
        is_refused.then_some(cause)
    }

    fn is_recently_completed(&self, now: TimeMs, cause: CrashCause) -> bool {
        match cause {
            CrashCause::Request(_) => false,
            CrashCause::PromptPart(id) => self
                .completed_parts
                .last(id)
                .is_some_and(|at| now.since_ms(at) < COMPLETION_EXPIRY_MS),
        }
    }

    fn drop_oldest(&mut self) {
        if self.suspects.len() <= MAX_CRASH_SUSPECTS {
            return;
        }
        let oldest =
            self.suspects.iter().enumerate().min_by_key(|(_, suspect)| suspect.crash_number);
        if let Some((index, _)) = oldest {
            self.suspects.remove(index);
        }
    }

    fn suspect(&self, now: TimeMs, cause: CrashCause) -> Option<&Suspect> {
        let suspect = &self.suspects[self.position(cause).ok()?];
        (!suspect.is_expired(now)).then_some(suspect)
    }

    fn position_or_insert(&mut self, cause: CrashCause, last_crash_at: TimeMs) -> usize {
        self.position(cause).unwrap_or_else(|index| {
            let suspect = Suspect {
                cause,
                crashes: Vec::new(),
                last_crash_at,
                crash_number: 0,
                is_seen_here: false,
            };
            self.suspects.insert(index, suspect);
            index
        })
    }

    fn position(&self, cause: CrashCause) -> Result<usize, usize> {
        self.suspects.binary_search_by_key(&cause, |suspect| suspect.cause)
    }
}
