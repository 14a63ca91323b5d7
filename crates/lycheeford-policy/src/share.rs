use crate::token_bucket::WHOLE_SHARE_PPM;
use crate::{GoneProofs, Incarnation, Instance, Name, rendezvous_rank};

/// The most hosts that hold a standing share of one customer; others borrow.
pub const MAX_SHARE_HOLDERS: usize = 8;

/// Who holds which share of a customer's rate and burst.
///
/// The table is stored in the platform's service and changed by conditional
/// update only. A share never expires: it moves when its holder gives it, when
/// a later life of its holder claims it, or when its holder is proven gone.
/// The shares add up to at most one. See docs/RATES.md.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareTable {
    /// The instance that made the table; it alone starts with a full bucket.
    pub creator: Instance,
    /// The holders, sorted by host.
    pub entries: Vec<ShareEntry>,
}

/// The share of one holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareEntry {
    /// The holder; incarnation 0 stands for a host that has yet to claim it.
    pub holder: Instance,
    /// The share.
    pub share_ppm: u32,
    /// Shares taken over from instances whose loans may still be out; they add
    /// up to no more than the share.
    pub taken: Vec<TakenShare>,
}

/// A share that was taken over, whose former holders may have lent from it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TakenShare {
    /// The former holders, the last one at the end.
    pub from: Vec<Instance>,
    /// The share that was taken over.
    pub share_ppm: u32,
}

/// Why a share can't move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareFault {
    /// The giver holds less, or its entry belongs to another life.
    NotHeld,
    /// The table has its most holders already.
    Full,
}

impl ShareTable {
    /// Returns a new table with equal shares for the first hosts in rendezvous order.
    ///
    /// The creator is always among them. The others have yet to claim theirs.
    pub fn create(customer: &Name, me: &Instance, live_hosts: &[Name]) -> ShareTable {
        let mut hosts: Vec<&Name> = rendezvous_rank(customer, live_hosts);
        hosts.retain(|host| **host != me.host);
        hosts.truncate(MAX_SHARE_HOLDERS - 1);
        let part_ppm = WHOLE_SHARE_PPM / (hosts.len() as u32 + 1);
        let rest_ppm = WHOLE_SHARE_PPM - part_ppm * hosts.len() as u32;
        let mut entries: Vec<ShareEntry> = hosts
            .into_iter()
            .map(|host| {
                entry(Instance { host: host.clone(), incarnation: Incarnation(0) }, part_ppm)
            })
            .collect();
        entries.push(entry(me.clone(), rest_ppm));
        entries.sort_by(|left, right| left.holder.cmp(&right.holder));
        ShareTable { creator: me.clone(), entries }
    }

    /// Returns the entry of `host`.
    pub fn entry(&self, host: &str) -> Option<&ShareEntry> {
        self.position(host).ok().map(|index| &self.entries[index])
    }

    /// Returns the sum of all shares.
    pub fn total_ppm(&self) -> u32 {
        self.entries.iter().map(|entry| entry.share_ppm).sum()
    }

    /// Returns the table after `me` has claimed what it may, or `None` if that is nothing.
    ///
    /// It takes over the entry of its own earlier life; then entries of holders
    /// proven gone, unless another live host comes first in rendezvous order;
    /// and what nobody holds.
    pub fn claim(
        &self,
        customer: &Name,
        me: &Instance,
        live_hosts: &[Name],
        gone: &GoneProofs,
    ) -> Option<ShareTable> {
        let mut table = self.clone();
        table.claim_earlier_life(me);
        let orphans: Vec<Instance> = self
            .entries
            .iter()
            .map(|entry| &entry.holder)
            .filter(|holder| holder.host != me.host && gone.is_gone(holder))
            .filter(|holder| !live_hosts.contains(&holder.host))
            .cloned()
            .collect();
        for orphan in orphans {
            if table.heir(customer, live_hosts) == Some(&me.host) {
                table.take_over(me, &orphan);
            }
        }
        let unheld_ppm = WHOLE_SHARE_PPM.saturating_sub(table.total_ppm());
        if unheld_ppm > 0 {
            table.add(me, unheld_ppm).ok();
        }
        (table != *self).then_some(table)
    }

    /// Returns the table after `from` gave `ppm` of its share to `to`.
    ///
    /// The giver must have lowered its own bucket before it writes this, see
    /// [`RateShare::prepare_give`](crate::RateShare::prepare_give).
    ///
    /// # Errors
    ///
    /// [`ShareFault::NotHeld`] if `from` holds less, [`ShareFault::Full`] if
    /// `to` would be one holder too many.
    pub fn give(&self, from: &Instance, to: &Instance, ppm: u32) -> Result<ShareTable, ShareFault> {
        let mut table = self.clone();
        let index = table.position(&from.host).map_err(|_| ShareFault::NotHeld)?;
        let giver = &mut table.entries[index];
        if giver.holder != *from || giver.share_ppm < ppm || from.host == to.host {
            return Err(ShareFault::NotHeld);
        }
        giver.share_ppm -= ppm;
        table.add(to, ppm)?;
        Ok(table)
    }

    /// Returns the table after the loans of `former` are known to be over.
    pub fn clear_taken(&self, me: &Instance, former: &Instance) -> Option<ShareTable> {
        let mut table = self.clone();
        let index = table.position(&me.host).ok()?;
        let entry = &mut table.entries[index];
        if entry.holder != *me {
            return None;
        }
        for taken in &mut entry.taken {
            taken.from.retain(|instance| instance != former);
        }
        entry.taken.retain(|taken| !taken.from.is_empty());
        (table != *self).then_some(table)
    }

    fn claim_earlier_life(&mut self, me: &Instance) {
        let Ok(index) = self.position(&me.host) else { return };
        let entry = &mut self.entries[index];
        if !me.succeeds(&entry.holder) {
            return;
        }
        entry.taken = entry.taken_whole();
        entry.holder = me.clone();
    }

    fn heir<'a>(&self, customer: &Name, live_hosts: &'a [Name]) -> Option<&'a Name> {
        let ranked = rendezvous_rank(customer, live_hosts);
        let newcomer = ranked.iter().find(|host| self.entry(host).is_none());
        newcomer.or(ranked.first()).copied()
    }

    fn take_over(&mut self, me: &Instance, orphan: &Instance) {
        let Ok(index) = self.position(&orphan.host) else { return };
        let orphaned = self.entries.remove(index);
        if self.add(me, orphaned.share_ppm).is_err() {
            self.entries.insert(index, orphaned);
            return;
        }
        let Ok(mine) = self.position(&me.host) else { return };
        self.entries[mine].taken.extend(orphaned.taken_whole());
    }

    fn add(&mut self, to: &Instance, ppm: u32) -> Result<(), ShareFault> {
        match self.position(&to.host) {
            Ok(index) if self.entries[index].holder == *to => self.entries[index].share_ppm += ppm,
            Ok(_) => return Err(ShareFault::NotHeld),
            Err(_) if self.entries.len() >= MAX_SHARE_HOLDERS => return Err(ShareFault::Full),
            Err(index) => self.entries.insert(index, entry(to.clone(), ppm)),
        }
        Ok(())
    }

    fn position(&self, host: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.holder.host.as_str().cmp(host))
    }
}

impl ShareEntry {
    /// Returns the whole share as one that is taken over from its holder.
    ///
    /// What its holder and those before it have lent is within one lendable
    /// part of the whole, so it is counted once.
    fn taken_whole(&self) -> Vec<TakenShare> {
        let mut from: Vec<Instance> =
            self.taken.iter().flat_map(|taken| taken.from.iter().cloned()).collect();
        if self.holder.incarnation != Incarnation(0) {
            from.push(self.holder.clone());
        }
        let taken = TakenShare { from, share_ppm: self.share_ppm };
        Vec::from_iter((!taken.from.is_empty()).then_some(taken))
    }
}

fn entry(holder: Instance, share_ppm: u32) -> ShareEntry {
    ShareEntry { holder, share_ppm, taken: Vec::new() }
}
