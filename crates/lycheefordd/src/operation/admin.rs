use std::sync::Arc;

use lycheeford_config::Document;
use lycheeford_operator::{
    AdminApi, AdminApiFuture, ApplyReport, ApplyRequest, ConfigurationReport, CustomerReport,
    DrainReport, ExplainRequest, Explanation, GrantReport, GrantRequest, HealthReport, HealthState,
    HostReport, HostRevision, KeyReport, ModelReport, OperatorError, TargetReport, WithdrawRequest,
};
use lycheeford_policy::{ConfigurationState, HostRole, Name, build_name};

use super::explain::explain;
use super::facts::replicas;
use crate::configuration::change;
use crate::loads::memory::memory_bytes;
use crate::membership::peer_view::settle_after_pause;
use crate::state::State;

/// Serves the operators' admin API.
pub(crate) struct Admin {
    pub(crate) state: Arc<State>,
}

impl AdminApi for Admin {
    fn configuration(&self) -> AdminApiFuture<'_, ConfigurationReport> {
        Box::pin(async move {
            let stored = change::read_stored(&self.state).await?;
            Ok(ConfigurationReport {
                revision: stored.committed.head.revision,
                stamp: stored.committed.head.stamp,
                document: Document::from(stored.committed.configuration.as_ref()),
            })
        })
    }

    fn apply(&self, request: ApplyRequest) -> AdminApiFuture<'_, ApplyReport> {
        Box::pin(async move { change::apply(&self.state, request).await })
    }

    fn in_force(&self) -> AdminApiFuture<'_, Vec<HostRevision>> {
        Box::pin(async move {
            settle_after_pause(&self.state).await;
            Ok(self.revisions())
        })
    }

    fn hosts(&self) -> AdminApiFuture<'_, Vec<HostReport>> {
        Box::pin(async move {
            settle_after_pause(&self.state).await;
            Ok(self.host_reports())
        })
    }

    fn targets(&self) -> AdminApiFuture<'_, Vec<TargetReport>> {
        ready(Ok(self.target_reports()))
    }

    fn models(&self) -> AdminApiFuture<'_, Vec<ModelReport>> {
        ready(Ok(self.model_reports()))
    }

    fn customers(&self) -> AdminApiFuture<'_, Vec<CustomerReport>> {
        ready(Ok(self.customer_reports()))
    }

    fn keys(&self) -> AdminApiFuture<'_, Vec<KeyReport>> {
        Box::pin(async move {
            let stored = change::read_stored(&self.state).await?;
            let report = |key: &lycheeford_policy::Key| KeyReport {
                id: key.id.clone(),
                customer: key.customer.clone(),
            };
            Ok(stored.committed.configuration.keys.iter().map(report).collect())
        })
    }

    fn grant_key(&self, request: GrantRequest) -> AdminApiFuture<'_, GrantReport> {
        Box::pin(async move { change::grant_key(&self.state, request).await })
    }

    fn withdraw_key(&self, request: WithdrawRequest) -> AdminApiFuture<'_, ApplyReport> {
        Box::pin(async move { change::withdraw_key(&self.state, request).await })
    }

    fn drain(&self) -> AdminApiFuture<'_, DrainReport> {
        self.state.start_draining();
        ready(Ok(DrainReport {
            host: self.state.me.host.clone(),
            requests_running: self.state.running.requests(),
        }))
    }

    fn explain(&self, request: ExplainRequest) -> AdminApiFuture<'_, Explanation> {
        ready(explain(&self.state, &request.subject))
    }

    fn metrics(&self) -> AdminApiFuture<'_, String> {
        ready(Ok(self.state.metrics.text()))
    }

    fn health(&self) -> AdminApiFuture<'_, HealthReport> {
        let state = &self.state;
        let now = state.now();
        let freshness = state.freshness.lock();
        let health = if state.running.is_draining() {
            HealthState::Draining
        } else if freshness.state(now) == ConfigurationState::Fresh {
            HealthState::Serving
        } else {
            HealthState::Degraded
        };
        ready(Ok(HealthReport {
            host: state.me.host.clone(),
            state: health,
            revision: state.configuration.load().revision,
            confirmed_age_ms: freshness.confirmed_age_ms(now).unwrap_or(u64::MAX),
        }))
    }
}

impl Admin {
    fn revisions(&self) -> Vec<HostRevision> {
        let state = &self.state;
        let now = state.now();
        let own_age_ms = state.freshness.lock().confirmed_age_ms(now);
        let fleet = state.fleet.load();
        let members = state.members.lock();
        let revision = |name: &Name| {
            if *name == state.me.host {
                let revision = state.configuration.load().revision;
                return host_revision(name, revision, own_age_ms, true);
            }
            let member = members.member(name);
            let reachable = member.is_some_and(|member| member.is_reachable(now));
            match member.and_then(|member| member.last_report.as_ref()) {
                Some((_, report)) => host_revision(
                    name,
                    report.configuration_revision,
                    report.confirmed_age_ms,
                    reachable,
                ),
                None => host_revision(name, 0, None, reachable),
            }
        };
        fleet.entries().map(|(host, _)| revision(&host.name)).collect()
    }

    fn host_reports(&self) -> Vec<HostReport> {
        let state = &self.state;
        let now = state.now();
        let fleet = state.fleet.load();
        let members = state.members.lock();
        let report = |host: &lycheeford_policy::Host| {
            let is_own = host.name == state.me.host;
            let member = members.member(&host.name);
            let build = member.and_then(|member| member.build.clone());
            HostReport {
                host: host.clone(),
                reachable: is_own || member.is_some_and(|member| member.is_reachable(now)),
                connections: None,
                build: if is_own { Some(build_name()) } else { build },
            }
        };
        fleet.entries().map(|(host, _)| report(host)).collect()
    }

    fn target_reports(&self) -> Vec<TargetReport> {
        let state = &self.state;
        let fleet = state.fleet.load();
        let placement = state.placement.lock();
        let report = |host: &lycheeford_policy::Host| {
            let known = placement.targets().iter().find(|target| target.target == host.name);
            TargetReport {
                name: host.name.clone(),
                failure_domain: host.failure_domain.clone(),
                state: host.state,
                healthy: known.is_some_and(|target| target.accepts_work),
                memory_bytes: memory_bytes(host),
                memory_reserved_bytes: 0,
                requests_running: known.map_or(0, |target| u64::from(target.running)),
                ready: known.map_or_else(Vec::new, |target| target.ready.clone()),
            }
        };
        let mut reports: Vec<TargetReport> = fleet
            .hosts
            .iter()
            .filter(|host| !matches!(host.role, HostRole::Entry { .. }))
            .map(report)
            .collect();
        drop(placement);
        for target in state.coordinator.lock().targets() {
            let reserved = target.record.as_ref().map_or(0, |record| record.value.reserved_bytes());
            if let Some(report) = reports.iter_mut().find(|report| report.name == target.host.name)
            {
                report.memory_reserved_bytes = reserved;
            }
        }
        reports
    }

    fn model_reports(&self) -> Vec<ModelReport> {
        let state = &self.state;
        let configuration = state.configuration.load();
        let models = configuration.models.iter().map(|model| (&model.name, None));
        let adapters =
            configuration.adapters.iter().map(|adapter| (&adapter.name, Some(&adapter.model)));
        models
            .chain(adapters)
            .map(|(name, base)| {
                let model = configuration.model(base.unwrap_or(name));
                ModelReport {
                    name: name.clone(),
                    base: base.cloned(),
                    replicas_max: model.map_or(0, |model| model.replicas_max),
                    replicas: replicas(state, name),
                    requests_waiting: state.placement.lock().waiting(name),
                }
            })
            .collect()
    }

    fn customer_reports(&self) -> Vec<CustomerReport> {
        let state = &self.state;
        let now = state.now();
        let configuration = state.configuration.load();
        let mut rates = state.rates.lock();
        let mut report = |customer: &lycheeford_policy::Customer| {
            let rate = rates.customer(&customer.name);
            let (share_ppm, available_tokens, admitted, refused) =
                rate.map_or((0, 0, 0, 0), |rate| {
                    let level = rate.share.level_tokens(now);
                    (rate.share.share_ppm(), level, rate.admitted, rate.refused)
                });
            CustomerReport {
                name: customer.name.clone(),
                rate_tokens_per_s: customer.rate_tokens_per_s,
                burst_tokens: customer.burst_tokens,
                share_ppm,
                available_tokens,
                admitted,
                refused,
            }
        };
        configuration.customers.iter().map(&mut report).collect()
    }
}

fn host_revision(
    host: &Name,
    revision: u64,
    confirmed_age_ms: Option<u64>,
    reachable: bool,
) -> HostRevision {
    HostRevision {
        host: host.clone(),
        revision,
        confirmed_age_ms: confirmed_age_ms.unwrap_or(u64::MAX),
        reachable,
    }
}

fn ready<'a, T: Send + 'a>(result: Result<T, OperatorError>) -> AdminApiFuture<'a, T> {
    Box::pin(std::future::ready(result))
}
