//! Records whether the lives (process incarnations) of targets accept work, including lives that
//! are not listed now.

use super::{Chosen, Target, TargetTable, UnlistedTarget};
use crate::TimeMs;
use crate::gateway::permit::PermitRank;
use crate::gateway::short_key::ShortKey;
use crate::gateway::target_belief::{LeavingSource, TargetBelief, TargetLife};

/// How long, and for how many unlisted lives, the state announced by the target is retained; an
/// entry may reappear.
const UNLISTED_RETENTION_MS: u64 = 600_000;
const UNLISTED_MAX: usize = 1_024;

impl TargetTable {
    /// Records that a target announced in an answer that it is leaving; returns whether this is
    /// new.
    pub fn leaves(&mut self, now: TimeMs, chosen: &Chosen) -> bool {
        let key = ShortKey::of(&chosen.id);
        self.belief_mut(now, key, chosen.life).leaves(now, LeavingSource::Answer)
    }

    /// Records that another host reported a target as leaving; returns whether this is new.
    pub fn record_peer_leaving(&mut self, now: TimeMs, leaving: TargetLife) -> bool {
        let TargetLife { target, life } = leaving;
        self.belief_mut(now, target, life).leaves(now, LeavingSource::Peer)
    }

    /// Records that a target asked this host to send nothing for `pause_ms`.
    pub fn pause(&mut self, now: TimeMs, chosen: &Chosen, pause_ms: u64) {
        let key = ShortKey::of(&chosen.id);
        self.belief_mut(now, key, chosen.life).pause(now, pause_ms);
    }

    /// Records the limit, or its absence, that a target announced in the answer to a request sent
    /// at `sent_at`; returns whether it changed.
    pub fn record_limit(
        &mut self,
        now: TimeMs,
        chosen: &Chosen,
        per_s: Option<f64>,
        sent_at: TimeMs,
    ) -> bool {
        if let Some(target) = self.life_mut(&chosen.id, chosen.life) {
            return target.belief.record_limit(now, per_s, sent_at);
        }
        let TargetLife { target, life } = chosen.target_life();
        per_s.is_some() && self.belief_mut(now, target, life).record_limit(now, per_s, sent_at)
    }

    /// Records whether a target is limited, as reported by the host that grants its permits;
    /// returns whether this changed.
    pub fn record_peer_limit(
        &mut self,
        now: TimeMs,
        target: TargetLife,
        per_s: Option<f64>,
    ) -> bool {
        let TargetLife { target, life } = target;
        let is_same_life = |known: &Target| (known.key, known.entry.life) == (target, life);
        if per_s.is_none() && !self.targets.iter().any(is_same_life) {
            return false;
        }
        self.belief_mut(now, target, life).record_limit(now, per_s, now)
    }

    /// Records that a permit was denied, which also holds until `until` for permits that are not
    /// more urgent.
    pub fn permit_denied(&mut self, now: TimeMs, chosen: &Chosen, rank: PermitRank, until: TimeMs) {
        if let Some(target) = self.life_mut(&chosen.id, chosen.life) {
            target.belief.permit_denied(now, rank, until);
        }
    }

    /// Returns the targets that other hosts should be notified of as leaving.
    pub fn leaving_to_announce(&self, now: TimeMs) -> Vec<TargetLife> {
        let listed = self.targets.iter().map(|known| (known.key, known.entry.life, &known.belief));
        let unlisted = self.unlisted.iter().map(|known| (known.target, known.life, &known.belief));
        let due = listed.chain(unlisted).filter(|(_, _, belief)| belief.is_announcement_due(now));
        due.map(|(target, life, _)| TargetLife { target, life }).collect()
    }

    /// Returns whether the process of a chosen life may have ended as planned after its last bytes
    /// arrived at `heard_at`.
    ///
    /// A target that leaves goes on serving for `serve_ms_min`, and ends its responses before it
    /// exits. One whose entry disappeared leaves as well if it sent anything afterwards. One that is
    /// gone at a set time ends whatever it runs, and doesn't count.
    pub fn may_have_left(
        &self,
        now: TimeMs,
        chosen: &Chosen,
        heard_at: TimeMs,
        serve_ms_min: u64,
    ) -> bool {
        let since = self.leaving_since(chosen);
        since.is_some_and(|since| heard_at >= since && now.since_ms(since) >= serve_ms_min)
    }

    /// Returns since when this host knows that a chosen life ends without a set time.
    fn leaving_since(&self, chosen: &Chosen) -> Option<TimeMs> {
        let listed = self.target(&chosen.id).filter(|target| target.entry.life == chosen.life);
        let (belief, unlisted_since) = if let Some(target) = listed {
            (&target.belief, None)
        } else {
            let unlisted = self.unlisted(chosen.target_life())?;
            (&unlisted.belief, Some(unlisted.since))
        };
        if belief.has_set_end() {
            return None;
        }
        belief.leaving_since().into_iter().chain(unlisted_since).min()
    }

    pub(super) fn remove(&mut self, now: TimeMs, index: usize) {
        let target = self.targets.remove(index);
        self.keep_if_needed(now, target);
    }

    /// Keeps the state of a life that is no longer listed, if it says more than its entry did or if
    /// requests of this host still run there.
    pub(super) fn keep_if_needed(&mut self, now: TimeMs, target: Target) {
        let Target { entry, key, belief, running_here, .. } = target;
        if belief.has_state_beyond_entry(now) || !running_here.is_empty() {
            self.keep_unlisted(now, key, entry.life, belief);
        }
    }

    fn unlisted(&self, life: TargetLife) -> Option<&UnlistedTarget> {
        self.unlisted
            .iter()
            .find(|unlisted| (unlisted.target, unlisted.life) == (life.target, life.life))
    }

    pub(super) fn take_unlisted(&mut self, target: ShortKey, life: u64) -> TargetBelief {
        let is_same_life =
            |unlisted: &UnlistedTarget| (unlisted.target, unlisted.life) == (target, life);
        match self.unlisted.iter().position(is_same_life) {
            Some(index) => self.unlisted.remove(index).belief,
            None => TargetBelief::default(),
        }
    }

    pub(super) fn forget_unlisted(&mut self, now: TimeMs) {
        self.unlisted.retain(|unlisted| now.since_ms(unlisted.since) < UNLISTED_RETENTION_MS);
    }

    fn keep_unlisted(&mut self, now: TimeMs, target: ShortKey, life: u64, belief: TargetBelief) {
        if self.unlisted.len() >= UNLISTED_MAX {
            self.unlisted.remove(0);
        }
        self.unlisted.push(UnlistedTarget { target, life, since: now, belief });
    }

    /// Returns the state of a target's life, whether or not the life is listed.
    fn belief_mut(&mut self, now: TimeMs, target: ShortKey, life: u64) -> &mut TargetBelief {
        let is_same_life = |known: &Target| (known.key, known.entry.life) == (target, life);
        if let Some(index) = self.targets.iter().position(is_same_life) {
            return &mut self.targets[index].belief;
        }
        let belief = self.take_unlisted(target, life);
        self.keep_unlisted(now, target, life, belief);
        let last = self.unlisted.len() - 1;
        &mut self.unlisted[last].belief
    }
}
