use lycheeford_policy::{Host, Name, TimeMs};

/// How long a target is avoided after a request could not be sent to it. An avoided target is
/// chosen only if no other target can be.
const AVOID_MS: u64 = 2_000;

/// This daemon's load-balancing state for the targets that run plain services.
#[derive(Debug, Default)]
pub(crate) struct ServiceTargets {
    /// Sorted by name.
    targets: Vec<ServiceTarget>,
}

#[derive(Debug)]
struct ServiceTarget {
    name: Name,
    running: u32,
    avoid_until: TimeMs,
}

impl ServiceTargets {
    /// Chooses the target with the fewest running requests from this host, and counts the new
    /// request there.
    pub(crate) fn choose<'a>(
        &mut self,
        now: TimeMs,
        hosts: impl Iterator<Item = &'a Host>,
        excluded: &[Name],
    ) -> Option<&'a Host> {
        let usable = hosts.filter(|host| !excluded.contains(&host.name));
        let chosen = usable.min_by_key(|host| {
            let known = self.position(&host.name).ok().map(|index| &self.targets[index]);
            known.map_or((false, 0), |target| (target.avoid_until > now, target.running))
        })?;
        self.target_mut(&chosen.name).running += 1;
        Some(chosen)
    }

    pub(crate) fn finished(&mut self, name: &Name) {
        let target = self.target_mut(name);
        target.running = target.running.saturating_sub(1);
    }

    pub(crate) fn avoid(&mut self, now: TimeMs, name: &Name) {
        self.target_mut(name).avoid_until = now + AVOID_MS;
    }

    fn target_mut(&mut self, name: &Name) -> &mut ServiceTarget {
        let index = self.position(name).unwrap_or_else(|index| {
            let avoid_until = TimeMs::default();
            self.targets
                .insert(index, ServiceTarget { name: name.clone(), running: 0, avoid_until });
            index
        });
        &mut self.targets[index]
    }

    fn position(&self, name: &Name) -> Result<usize, usize> {
        self.targets.binary_search_by(|target| target.name.cmp(name))
    }
}
