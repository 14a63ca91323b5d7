use crate::token_bucket::WHOLE_SHARE_PPM;
use crate::{GoneProofs, Incarnation, Instance, Name, rendezvous_rank};

/// The largest number of hosts that hold a share of one customer; other hosts borrow tokens.
pub const MAX_SHARE_HOLDERS: usize = 8;

/// The shares of a customer's rate and burst, by holder.
///
/// The table is stored in the platform's service and changed by conditional update only. A share
/// never expires. It moves when its holder gives it away, when a later incarnation of its holder
/// claims it, or when its holder is proven gone. The shares add up to at most one. See
/// docs/RATES.md.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareTable {
    /// The instance that created the table; only its bucket starts full.
    pub creator: Instance,
    /// The shares, sorted by the host of the holder.
    pub entries: Vec<ShareEntry>,
}

/// The share of one holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareEntry {
    /// The holder; incarnation 0 stands for a host that has not claimed its share yet.
    pub holder: Instance,
    /// The share in parts per million.
    pub share_ppm: u32,
    /// The shares taken over from instances whose loans may still be outstanding; together they do
    /// not exceed the share.
    pub taken: Vec<TakenShare>,
}

/// A share that was taken over from former holders, which may have lent tokens of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TakenShare {
    /// The former holders, the most recent one last.
    pub from: Vec<Instance>,
    /// The share that was taken over, in parts per million.
    pub share_ppm: u32,
}

/// The reason why a share can't be transferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareFault {
    /// The giver holds less than it gives, an entry belongs to another incarnation, or giver and
    /// receiver are the same host.
    NotHeld,
    /// The table already has [`MAX_SHARE_HOLDERS`] entries.
    Full,
}

impl ShareTable {
    /// Returns a new table with equal shares for the first hosts in rendezvous order.
    ///
    /// The creator is always among these hosts. The others still have to claim their shares.
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

    /// Returns the entry of `host`, if it holds a share.
    pub fn entry(&self, host: &str) -> Option<&ShareEntry> {
        self.position(host).ok().map(|index| &self.entries[index])
    }

    /// Returns the sum of all shares in parts per million.
    pub fn total_ppm(&self) -> u32 {
        self.entries.iter().map(|entry| entry.share_ppm).sum()
    }

    /// Returns the table after `me` has claimed all that it may, or `None` if it may claim nothing.
    ///
    /// `me` takes over the entry of its own earlier incarnation, then the entries of holders proven
    /// gone, unless another live host comes first, and then what no host holds. Live hosts without
    /// a share come before the others, each group in rendezvous order.
    pub fn claim(
        &self,
        customer: &Name,
        me: &Instance,
        live_hosts: &[Name],
        gone: &GoneProofs,
    ) -> Option<ShareTable> {
        let mut table = self.clone();
        table.claim_earlier_incarnation(me);
        let gone_holders: Vec<Instance> = self
            .entries
            .iter()
            .map(|entry| &entry.holder)
            .filter(|holder| holder.host != me.host && gone.is_gone(holder))
            .filter(|holder| !live_hosts.contains(&holder.host))
            .cloned()
            .collect();
        for gone_holder in gone_holders {
            if table.next_holder(customer, live_hosts) == Some(&me.host) {
                table.take_over(me, &gone_holder);
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
    /// The giver must have lowered its own bucket before it writes this table, see
    /// [`RateShare::prepare_transfer`](crate::RateShare::prepare_transfer).
    ///
    /// # Errors
    ///
    /// [`ShareFault::NotHeld`] if `from` holds less than `ppm`, if the entry of either host belongs
    /// to another incarnation, or if both are the same host; [`ShareFault::Full`] if `to` would be
    /// one holder more than [`MAX_SHARE_HOLDERS`].
    pub fn transfer_share(
        &self,
        from: &Instance,
        to: &Instance,
        ppm: u32,
    ) -> Result<ShareTable, ShareFault> {
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

    /// Returns the table after the loans of `former` are known to have ended, or `None` if nothing
    /// changes.
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

    fn claim_earlier_incarnation(&mut self, me: &Instance) {
        let Ok(index) = self.position(&me.host) else { return };
        let entry = &mut self.entries[index];
        if !me.succeeds(&entry.holder) {
            return;
        }
        entry.taken = entry.as_taken_share();
        entry.holder = me.clone();
    }

    fn next_holder<'a>(&self, customer: &Name, live_hosts: &'a [Name]) -> Option<&'a Name> {
        let ranked = rendezvous_rank(customer, live_hosts);
        let newcomer = ranked.iter().find(|host| self.entry(host).is_none());
        newcomer.or(ranked.first()).copied()
    }

    fn take_over(&mut self, me: &Instance, gone_holder: &Instance) {
        let Ok(index) = self.position(&gone_holder.host) else { return };
        let gone_entry = self.entries.remove(index);
        if self.add(me, gone_entry.share_ppm).is_err() {
            self.entries.insert(index, gone_entry);
            return;
        }
        let Ok(mine) = self.position(&me.host) else { return };
        self.entries[mine].taken.extend(gone_entry.as_taken_share());
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
    /// Returns the whole share as a share that is taken over from its holder.
    ///
    /// The loans of the holder and of all holders before it are together within one lendable part
    /// of the whole share, so that part is counted once.
    fn as_taken_share(&self) -> Vec<TakenShare> {
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
