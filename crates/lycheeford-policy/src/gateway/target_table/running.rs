//! Requests that run at each target, through this host and others.

use super::{Chosen, Running, ShortKey, Target, TargetTable};
use crate::gateway::peer_table::RunningAt;
use crate::{Name, TimeMs};

impl TargetTable {
    /// Counts a request as running at a target.
    pub fn started(&mut self, now: TimeMs, chosen: &Chosen, model: Option<&Name>, tokens: u64) {
        let model = model.map_or(ShortKey(0), |name| ShortKey::of(name));
        let Some(target) = self.life_mut(&chosen.id, chosen.life) else { return };
        if let Some(cold) = &mut target.cold {
            cold.sent(now);
        }
        match target.running_here.iter_mut().find(|running| running.model == model) {
            Some(running) => {
                running.requests += 1;
                running.tokens += tokens;
            }
            None => target.running_here.push(Running { model, requests: 1, tokens }),
        }
    }

    /// Counts a request at a target as ended.
    pub fn ended(&mut self, chosen: &Chosen, model: Option<&Name>, tokens: u64) {
        let model = model.map_or(ShortKey(0), |name| ShortKey::of(name));
        let Some(target) = self.life_mut(&chosen.id, chosen.life) else { return };
        if let Some(running) = target.running_here.iter_mut().find(|running| running.model == model)
        {
            running.requests = running.requests.saturating_sub(1);
            running.tokens = running.tokens.saturating_sub(tokens);
        }
        target.running_here.retain(|running| running.requests > 0);
        target.silence.ended();
    }

    /// Replaces the requests that run at each target through another host and the hosts that it
    /// reports for.
    pub fn runs_elsewhere(&mut self, host: &Name, running: &[RunningAt]) {
        for target in &mut self.targets {
            target.running_elsewhere.retain(|(name, _)| name != host);
            let at_target = running.iter().filter(|at| at.target == target.key);
            target.running_elsewhere.extend(at_target.map(|at| (host.clone(), *at)));
        }
    }

    /// Returns the requests of this host that run at each target, for reports to other hosts.
    pub fn runs_here(&self) -> Vec<RunningAt> {
        let at = |target: &Target| {
            let target_key = target.key;
            let running_here = target.running_here.iter().map(move |running| RunningAt {
                target: target_key,
                model: running.model,
                running: running.requests,
                tokens: running.tokens,
            });
            running_here.collect::<Vec<_>>()
        };
        self.targets.iter().flat_map(at).collect()
    }

    /// Returns the number of running requests for each model at the targets of a service, sorted by
    /// model.
    pub fn running_by_model(&self, service: &Name) -> Vec<(ShortKey, u32)> {
        let mut running: Vec<(ShortKey, u32)> = Vec::new();
        let at_targets = self.of_service(service).flat_map(|target| {
            let running_here =
                target.running_here.iter().map(|running| (running.model, running.requests));
            running_here
                .chain(target.running_elsewhere.iter().map(|(_, at)| (at.model, at.running)))
        });
        for (model, requests) in at_targets {
            match running.binary_search_by_key(&model, |(key, _)| *key) {
                Ok(index) => running[index].1 += requests,
                Err(index) => running.insert(index, (model, requests)),
            }
        }
        running
    }
}
