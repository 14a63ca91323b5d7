use super::RateShare;
use crate::share::ShareTable;
use crate::token_bucket::{LENDABLE_PPM, WHOLE_SHARE_PPM, lendable_nano, nano};
use crate::{Instance, Name, TimeMs};

/// The standing share: how it changes with the stored table.
impl RateShare {
    /// Takes over the stored share table, read or written at `version`.
    ///
    /// `entry_hosts` are the listed entry hosts, live and leaving, read at a
    /// revision no older than `version`: each of them may hold loans of a
    /// former holder. An older table than the one in force changes nothing,
    /// and while a share-lowering write may still take effect, only a later
    /// version than that write's base does.
    pub fn adopt(&mut self, now: TimeMs, version: u64, table: &ShareTable, entry_hosts: &[Name]) {
        let superseded = version < self.table_version;
        if superseded || self.pending_give.is_some_and(|base| version <= base) {
            return;
        }
        self.pending_give = None;
        self.table_version = version;
        let entry = table.entry(&self.me.host).filter(|entry| entry.holder == self.me);
        let taken = entry.map_or(&[][..], |entry| &entry.taken);
        self.inherited.update(taken, entry_hosts);
        self.bucket.set_share(now, entry.map_or(0, |entry| entry.share_ppm));
        self.weigh_inherited(now);
        if table.creator == self.me && !self.started {
            self.bucket.fill();
        }
        self.started = true;
    }

    /// Lowers the local share before a table that gives `ppm` away is written.
    ///
    /// Returns what can be given: tokens that are reserved or lent stay
    /// covered by what is left, and accrued ones beyond it are lost. The write
    /// has to be conditional on [`table_version`](Self::table_version). After
    /// it, [`adopt`](Self::adopt) the table that it made, or
    /// [`abort_give`](Self::abort_give) if it was refused.
    pub fn prepare_give(&mut self, now: TimeMs, ppm: u32) -> Option<u32> {
        if self.pending_give.is_some() {
            return None;
        }
        let kept_ppm = self.kept_ppm(now);
        let given_ppm = ppm.min(self.bucket.share_ppm().saturating_sub(kept_ppm));
        if given_ppm == 0 {
            return None;
        }
        self.bucket.set_share(now, self.bucket.share_ppm() - given_ppm);
        self.pending_give = Some(self.table_version);
        Some(given_ppm)
    }

    /// Takes back [`prepare_give`](Self::prepare_give) once the write was refused for certain.
    ///
    /// After a lost answer it isn't certain, and
    /// [`has_pending_give`](Self::has_pending_give) tells so.
    pub fn abort_give(&mut self, now: TimeMs, given_ppm: u32) {
        if self.pending_give.take().is_some() {
            self.bucket.set_share(now, self.bucket.share_ppm() + given_ppm);
        }
    }

    /// Tells whether a give was prepared whose write may still take effect.
    ///
    /// If no later version shows, store the table unchanged on condition of
    /// [`table_version`](Self::table_version) and adopt it: then the earlier
    /// write has failed for certain and the share is whole again. Until then
    /// this host works with the lower share and gives nothing more.
    pub fn has_pending_give(&self) -> bool {
        self.pending_give.is_some()
    }

    /// Returns the hosts to ask whether they still hold loans of a former holder.
    pub fn inherited_queries(&self) -> Vec<(Name, Instance)> {
        self.inherited.queries()
    }

    /// Answers such a question: whether no loan of `former` runs here.
    ///
    /// From then on no loan of that life or an earlier one is accepted.
    pub fn disclaim_loans(&mut self, former: &Instance) -> bool {
        self.borrowed.disclaim(former)
    }

    /// Takes in that `host` holds no loan of `former`, or is gone.
    ///
    /// Returns the former holders whose loans are over; the stored table
    /// should be [cleared](ShareTable::clear_taken) of them.
    pub fn clear_inherited(
        &mut self,
        now: TimeMs,
        host: &Name,
        former: &Instance,
    ) -> Vec<Instance> {
        self.inherited.disclaimed(host, former);
        self.weigh_inherited(now);
        self.inherited.resolved()
    }

    /// Returns the former holders whose loans are over, as [`clear_inherited`](Self::clear_inherited).
    pub fn resolved_holders(&self) -> Vec<Instance> {
        self.inherited.resolved()
    }

    pub(super) fn weigh_inherited(&mut self, now: TimeMs) {
        let share_ppm = self.inherited.open_ppm().min(self.bucket.share_ppm());
        let weight_nano = lendable_nano(self.bucket.limits(), share_ppm);
        if weight_nano > self.inherited_nano {
            self.bucket.encumber_nano(now, weight_nano - self.inherited_nano);
        } else {
            self.bucket.spend_nano(now, self.inherited_nano - weight_nano);
        }
        self.inherited_nano = weight_nano;
    }

    /// Returns the least share that covers what is reserved, lent and inherited.
    fn kept_ppm(&mut self, now: TimeMs) -> u32 {
        self.bucket.level_tokens(now);
        let per_ppm = u128::from(self.bucket.limits().burst_tokens) * 1_000;
        if per_ppm == 0 {
            return 0;
        }
        let out_nano = nano(self.loans_out.tokens()) + self.inherited_nano;
        let whole_nano = out_nano * u128::from(WHOLE_SHARE_PPM) / u128::from(LENDABLE_PPM);
        let lent_ppm = whole_nano.div_ceil(per_ppm);
        let committed_ppm = self.bucket.committed_nano().div_ceil(per_ppm);
        u32::try_from(lent_ppm.max(committed_ppm)).unwrap_or(u32::MAX)
    }
}
