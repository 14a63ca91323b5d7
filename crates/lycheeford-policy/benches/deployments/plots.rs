//! Draws the figures next to those of the baseline and to the bounds.

use std::error::Error;
use std::fs;
use std::path::Path;

use plotters::prelude::*;

use crate::report::Report;

const SIZE: (u32, u32) = (720, 400);

/// The label and value of one bar.
type Bar = (String, f64);

/// Writes three plots for each deployment to docs/plots: cold starts, idle hours and refusals.
pub fn draw(reports: &[Report]) -> Result<(), Box<dyn Error>> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/plots");
    fs::create_dir_all(&folder)?;
    for report in reports {
        let name = report.deployment.name;
        let path = |plot: &str| folder.join(format!("{name}-{plot}.svg"));
        bars(&path("cold-start"), &format!("{name}: cold start, ms"), &cold_starts(report))?;
        bars(&path("idle-hours"), &format!("{name}: idle accelerator hours"), &idle_hours(report))?;
        let title = format!("{name}: refused although within the rate, ppm");
        bars(&path("wrongful-refusals"), &title, &refusals(report))?;
    }
    Ok(())
}

fn cold_starts(report: &Report) -> Vec<Bar> {
    let (planned, baseline) = (&report.planned, &report.baseline);
    let rows = [
        ("planned", planned.cold_ms),
        ("oracle", planned.cold_oracle_ms),
        ("load alone", planned.cold_load_ms),
        ("baseline", baseline.cold_ms),
    ];
    let percentiles = ["p50", "p99", "p99.9"];
    let bars = percentiles.iter().enumerate().flat_map(|(index, percentile)| {
        rows.iter().map(move |(row, values)| (format!("{row} {percentile}"), values[index] as f64))
    });
    bars.collect()
}

fn idle_hours(report: &Report) -> Vec<Bar> {
    vec![
        ("planned".to_owned(), report.planned.idle_hours),
        ("least with as many loads".to_owned(), report.planned.idle_hours_least),
        ("baseline".to_owned(), report.baseline.idle_hours),
    ]
}

fn refusals(report: &Report) -> Vec<Bar> {
    let bar = |name: &str, ppm: u64| (name.to_owned(), ppm as f64);
    vec![
        bar("planned", report.planned.wrongful_ppm),
        bar("aim", 1_000),
        bar("baseline", report.baseline.wrongful_ppm),
    ]
}

fn bars(path: &Path, title: &str, bars: &[Bar]) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let max = bars.iter().map(|(_, value)| *value).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(10)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..bars.len() as f64, 0.0..max * 1.15)?;
    chart.configure_mesh().disable_x_mesh().disable_x_axis().draw()?;
    chart.draw_series(bars.iter().enumerate().map(|(index, (_, value))| {
        let left = index as f64;
        Rectangle::new([(left + 0.1, 0.0), (left + 0.9, *value)], BLUE.mix(0.6).filled())
    }))?;
    chart.draw_series(bars.iter().enumerate().map(|(index, (label, value))| {
        let text = format!("{label}: {value:.0}");
        let style = ("sans-serif", 11).into_font().color(&BLACK);
        let height = *value + max * (0.02 + 0.05 * (index % 2) as f64);
        Text::new(text, (index as f64 + 0.1, height), style)
    }))?;
    root.present()?;
    Ok(())
}
