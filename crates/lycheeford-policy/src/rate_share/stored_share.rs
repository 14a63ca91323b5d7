use super::RateShare;
use crate::share::ShareTable;
use crate::token_bucket::{LENDABLE_PPM, WHOLE_SHARE_PPM, lendable_nano, to_nanotokens};
use crate::{Instance, Name, TimeMs};

/// Updates of the local share from the stored share table.
impl RateShare {
    /// Applies the stored share table, which was read or written at `version`.
    ///
    /// `entry_hosts` are the listed entry hosts, both live and leaving, read at a revision no older
    /// than `version`; each of them may hold loans of a former holder. A table older than the one
    /// in force changes nothing. While a write that lowers the share may still take effect, only a
    /// version later than the base of that write is applied.
    pub fn adopt(&mut self, now: TimeMs, version: u64, table: &ShareTable, entry_hosts: &[Name]) {
        let superseded = version < self.table_version;
        if superseded || self.pending_transfer_version.is_some_and(|base| version <= base) {
            return;
        }
        self.pending_transfer_version = None;
        self.table_version = version;
        let entry =
            table.entry(&self.own_instance.host).filter(|entry| entry.holder == self.own_instance);
        let taken = entry.map_or(&[][..], |entry| &entry.taken);
        self.inherited.update(taken, entry_hosts);
        self.bucket.set_share(now, entry.map_or(0, |entry| entry.share_ppm));
        self.commit_inherited(now);
        if table.creator == self.own_instance && !self.started {
            self.bucket.fill();
        }
        self.started = true;
    }

    /// Lowers the local share before writing a table that transfers `ppm` to another holder.
    ///
    /// Returns the share that can be given, which may be less than `ppm`, or `None` if nothing can
    /// be given or an earlier transfer may still take effect. The remaining share still covers the
    /// tokens that are reserved or lent; accrued tokens beyond its burst are lost. The write has to
    /// be conditional on [`table_version`](Self::table_version). After the write,
    /// [`adopt`](Self::adopt) the resulting table, or call [`abort_transfer`](Self::abort_transfer) if the
    /// write was refused.
    pub fn prepare_transfer(&mut self, now: TimeMs, ppm: u32) -> Option<u32> {
        if self.pending_transfer_version.is_some() {
            return None;
        }
        let required_ppm = self.required_ppm(now);
        let given_ppm = ppm.min(self.bucket.share_ppm().saturating_sub(required_ppm));
        if given_ppm == 0 {
            return None;
        }
        self.bucket.set_share(now, self.bucket.share_ppm() - given_ppm);
        self.pending_transfer_version = Some(self.table_version);
        Some(given_ppm)
    }

    /// Undoes [`prepare_transfer`](Self::prepare_transfer) once the write is known to have been refused.
    ///
    /// If the answer to the write was lost, the outcome is unknown, and
    /// [`has_pending_transfer`](Self::has_pending_transfer) stays true.
    pub fn abort_transfer(&mut self, now: TimeMs, given_ppm: u32) {
        if self.pending_transfer_version.take().is_some() {
            self.bucket.set_share(now, self.bucket.share_ppm() + given_ppm);
        }
    }

    /// Returns whether a prepared transfer has a write that may still take effect.
    ///
    /// If no later version appears, store the table unchanged on condition of
    /// [`table_version`](Self::table_version) and adopt the result: then the earlier write can no
    /// longer succeed, and the full share is in force again. Until then this host uses the lower
    /// share and gives no more of it away.
    pub fn has_pending_transfer(&self) -> bool {
        self.pending_transfer_version.is_some()
    }

    /// Returns the hosts to ask whether they still hold loans of a former holder, with that holder.
    pub fn inherited_queries(&self) -> Vec<(Name, Instance)> {
        self.inherited.queries()
    }

    /// Returns whether no loan of `former` is in use on this host, to answer such a query.
    ///
    /// From then on, loans of `former` or an earlier incarnation of its host are rejected.
    pub fn disclaim_loans(&mut self, former: &Instance) -> bool {
        self.borrowed.disclaim(former)
    }

    /// Records that `host` holds no loan of `former`, or is gone.
    ///
    /// Returns the former holders whose loans have all ended; [clear](ShareTable::clear_taken) the
    /// stored table of them.
    pub fn clear_inherited(
        &mut self,
        now: TimeMs,
        host: &Name,
        former: &Instance,
    ) -> Vec<Instance> {
        self.inherited.record_disclaimer(host, former);
        self.commit_inherited(now);
        self.inherited.resolved()
    }

    /// Returns the former holders whose loans have all ended, as
    /// [`clear_inherited`](Self::clear_inherited) does.
    pub fn resolved_holders(&self) -> Vec<Instance> {
        self.inherited.resolved()
    }

    pub(super) fn commit_inherited(&mut self, now: TimeMs) {
        let share_ppm = self.inherited.unresolved_ppm().min(self.bucket.share_ppm());
        let lent_nano = lendable_nano(self.bucket.limits(), share_ppm);
        if lent_nano > self.inherited_nano {
            self.bucket.add_committed_nano(now, lent_nano - self.inherited_nano);
        } else {
            self.bucket.spend_nano(now, self.inherited_nano - lent_nano);
        }
        self.inherited_nano = lent_nano;
    }

    /// Returns the smallest share that covers the reserved, lent and inherited tokens.
    fn required_ppm(&mut self, now: TimeMs) -> u32 {
        self.bucket.level_tokens(now);
        let per_ppm = u128::from(self.bucket.limits().burst_tokens) * 1_000;
        if per_ppm == 0 {
            return 0;
        }
        let outstanding_nano = to_nanotokens(self.outstanding_loans.tokens()) + self.inherited_nano;
        let whole_nano = outstanding_nano * u128::from(WHOLE_SHARE_PPM) / u128::from(LENDABLE_PPM);
        let lent_ppm = whole_nano.div_ceil(per_ppm);
        let committed_ppm = self.bucket.committed_nano().div_ceil(per_ppm);
        u32::try_from(lent_ppm.max(committed_ppm)).unwrap_or(u32::MAX)
    }
}
