//! The figures of one deployment next to the baseline, the oracle and the aims.

use std::fmt::{self, Display};

use crate::measures::Figures;
use crate::simulation::{Policy, run};
use crate::workload::{Deployment, Trace};

pub const SEED: u64 = 20_261_203;
/// The largest ratio of the 99th percentile of cold starts to the oracle's that meets the aim.
const COLD_START_RATIO_MAX: f64 = 1.2;
const WRONGFUL_PPM_MAX: u64 = 1_000;
/// The smallest ratio of the worst-served customer's served fraction to the best-served one's that
/// meets the aim.
const WORST_TO_BEST_MIN: f64 = 0.95;
/// The ratio of idle accelerator hours to the baseline's that must not be reached.
const IDLE_RATIO_MAX: f64 = 0.5;

#[derive(Debug)]
pub struct Report {
    pub deployment: Deployment,
    pub seed: u64,
    pub planned: Figures,
    pub baseline: Figures,
}

/// A goal of the project for the figures of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Aim {
    ColdStart,
    WrongfulRefusals,
    WorstCustomer,
    IdleHours,
}

impl Report {
    pub fn new(deployment: Deployment, seed: u64) -> Report {
        let trace = Trace::new(deployment, seed);
        let (planned, baseline) = std::thread::scope(|scope| {
            let baseline = scope.spawn(|| run(&trace, Policy::Baseline));
            (run(&trace, Policy::Planned), baseline.join().expect("the simulation panicked"))
        });
        Report { deployment, seed, planned, baseline }
    }

    pub fn missed_aims(&self) -> Vec<Aim> {
        let aims = [Aim::ColdStart, Aim::WrongfulRefusals, Aim::WorstCustomer, Aim::IdleHours];
        aims.into_iter().filter(|aim| !self.is_met(*aim)).collect()
    }

    pub fn is_met(&self, aim: Aim) -> bool {
        match aim {
            Aim::ColdStart => self.cold_start_ratio() <= COLD_START_RATIO_MAX,
            Aim::WrongfulRefusals => self.planned.wrongful_ppm < WRONGFUL_PPM_MAX,
            Aim::WorstCustomer => self.planned.worst_to_best >= WORST_TO_BEST_MIN,
            Aim::IdleHours => self.idle_ratio() < IDLE_RATIO_MAX,
        }
    }

    pub fn cold_start_ratio(&self) -> f64 {
        self.planned.cold_ms[1] as f64 / self.planned.cold_oracle_ms[1].max(1) as f64
    }

    pub fn idle_ratio(&self) -> f64 {
        self.planned.idle_hours / self.baseline.idle_hours.max(f64::MIN_POSITIVE)
    }
}

impl Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "{} (seed {})", self.deployment.name, self.seed)?;
        for (name, figures) in [("planned", &self.planned), ("baseline", &self.baseline)] {
            write_figures(formatter, name, figures)?;
        }
        writeln!(
            formatter,
            "  cold start p99 against the oracle {:.3} (aim {COLD_START_RATIO_MAX}), idle hours \
             against the baseline {:.3} (aim {IDLE_RATIO_MAX})",
            self.cold_start_ratio(),
            self.idle_ratio(),
        )?;
        writeln!(formatter, "  missed aims: {:?}", self.missed_aims())
    }
}

fn write_figures(formatter: &mut fmt::Formatter<'_>, name: &str, figures: &Figures) -> fmt::Result {
    writeln!(
        formatter,
        "  {name}: {} of {} requests within the rate were cold, {} model loads",
        figures.cold_starts, figures.requests_within_rate, figures.model_loads,
    )?;
    writeln!(
        formatter,
        "    cold start p50, p99, p99.9 ms {:?}, oracle {:?}, load alone {:?}",
        figures.cold_ms, figures.cold_oracle_ms, figures.cold_load_ms,
    )?;
    writeln!(
        formatter,
        "    idle accelerator hours {:.1}, least with as many loads {:.1}",
        figures.idle_hours, figures.idle_hours_least,
    )?;
    writeln!(
        formatter,
        "    worst customer against best {:.4}; refused within the rate {} ppm: {} by rate, {} by \
         deadline ({} of them in the outage)",
        figures.worst_to_best,
        figures.wrongful_ppm,
        figures.refused_rate,
        figures.refused_deadline,
        figures.refused_in_outage,
    )
}
