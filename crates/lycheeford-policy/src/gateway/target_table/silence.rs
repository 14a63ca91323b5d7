//! Which targets were heard while another one was silent.

use super::{Chosen, TargetTable};
use crate::gateway::target_silence::{Sign, SilentService};
use crate::{Name, TimeMs};

/// The targets of a service beside one that is silent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SilenceView {
    /// What is known of the silent target from the other requests of this host.
    pub own: Sign,
    /// The other targets for which the silent one shouldn't be left.
    pub not_better: Vec<Name>,
    /// The other targets that were heard meanwhile.
    pub heard: Vec<Name>,
    /// How long ago one of the other targets was last heard.
    pub others_heard_ms: Option<u64>,
}

impl TargetTable {
    /// Records that a request of this host waits for a target.
    pub fn waited_for(&mut self, now: TimeMs, chosen: &Chosen) {
        if let Some(target) = self.life_mut(&chosen.id, chosen.life) {
            target.silence.sent(now);
        }
    }

    /// Records that a byte came from a target; returns whether that ends a silence for which
    /// requests were kept from it.
    pub fn heard(&mut self, now: TimeMs, chosen: &Chosen) -> bool {
        let Some(target) = self.life_mut(&chosen.id, chosen.life) else { return false };
        target.silence.heard(now);
        target.health.heard()
    }

    /// Returns what is known of the targets of `service` after `silent` sent nothing to one request
    /// for `silent_ms`.
    pub fn silence_view(
        &self,
        now: TimeMs,
        service: &Name,
        silent: &Name,
        silent_ms: u64,
    ) -> SilenceView {
        let own = self.target(silent).map(|target| target.silence.sign(now, silent_ms));
        let others = || self.of_service(service).filter(|target| target.entry.id != *silent);
        let mut known = SilentService::default();
        for target in others() {
            known.count(target.silence.sign(now, silent_ms));
        }
        let others_with = |is_meant: &dyn Fn(Sign) -> bool| {
            let meant = others().filter(|target| is_meant(target.silence.sign(now, silent_ms)));
            meant.map(|target| target.entry.id.clone()).collect()
        };
        SilenceView {
            own: own.unwrap_or(Sign::Unknown),
            not_better: others_with(&|sign| !known.may_leave_for(sign, silent_ms)),
            heard: others_with(&|sign| sign == Sign::Heard),
            others_heard_ms: others().filter_map(|target| target.silence.heard_age_ms(now)).min(),
        }
    }
}
