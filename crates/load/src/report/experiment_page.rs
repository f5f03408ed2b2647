use std::fmt::Write;

use plotters::prelude::*;

use super::{ExperimentReport, MetricKind};
use crate::failure::PlotFailedSnafu;
use crate::{LoadError, WorkloadKind};

const PLOT_SIZE: (u32, u32) = (520, 320);
/// Metrics that are plotted against the offered load.
const PLOTTED_METRICS: [MetricKind; 6] = [
    MetricKind::StallTotal,
    MetricKind::Preemptions,
    MetricKind::QuickGapP99,
    MetricKind::LongGapP99,
    MetricKind::Goodput,
    MetricKind::LongCompletionP99,
];

/// Renders an experiment as an HTML page: a plot of each plotted metric against the offered
/// load, and the Markdown tables.
///
/// # Errors
/// `PlotFailed` with the message of the plot library.
pub fn render_experiment_page(report: &ExperimentReport) -> Result<String, LoadError> {
    let mut page = String::from(
        "<!doctype html><meta charset=\"utf-8\"><title>agatemoor experiment</title>\n\
         <style>body{font-family:sans-serif;margin:2em}pre{font-size:12px}</style>\n",
    );
    for workload in report.capacities.keys() {
        // Writing to a string doesn't fail.
        let _ = writeln!(page, "<h2>{workload}</h2>");
        for metric in PLOTTED_METRICS {
            page.push_str(&draw_plot(report, *workload, metric)?);
        }
    }
    let text = super::render_experiment_text(report);
    let text = text.replace('&', "&amp;").replace('<', "&lt;");
    let _ = writeln!(page, "<pre>{text}</pre>");
    Ok(page)
}

/// Name of a policy and its medians over the seeds, as points of offered load and value.
type PlotLine<'a> = (&'a str, Vec<(f64, f64)>);

fn draw_plot(
    report: &ExperimentReport,
    workload: WorkloadKind,
    metric: MetricKind,
) -> Result<String, LoadError> {
    let lines = collect_lines(report, workload, metric);
    let mut svg = String::new();
    draw_lines(&mut svg, &metric.to_string(), &lines).map_err(|error| {
        let reason = error.to_string();
        PlotFailedSnafu { reason }.build()
    })?;
    Ok(svg)
}

fn collect_lines(
    report: &ExperimentReport,
    workload: WorkloadKind,
    metric: MetricKind,
) -> Vec<PlotLine<'_>> {
    let conditions = report.conditions();
    let points = |policy: &str| {
        let conditions = conditions
            .iter()
            .filter(|condition| condition.0 == workload);
        let point = |condition: &(WorkloadKind, f64)| {
            let spread = report.spread(*condition, policy, metric)?;
            Some((condition.1, spread.median))
        };
        conditions.filter_map(point).collect::<Vec<_>>()
    };
    let policies = report.policies();
    policies
        .into_iter()
        .map(|name| (name, points(name)))
        .collect()
}

fn draw_lines(
    svg: &mut String,
    title: &str,
    lines: &[PlotLine<'_>],
) -> Result<(), Box<dyn std::error::Error>> {
    let points = || lines.iter().flat_map(|(_, points)| points);
    let left = points().map(|point| point.0).fold(f64::INFINITY, f64::min);
    let right = points().map(|point| point.0).fold(0.0, f64::max);
    let top = points().map(|point| point.1).fold(0.0, f64::max).max(1e-6);
    let root = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(left.min(right) - 0.05..right + 0.05, 0.0..top * 1.1)?;
    chart.configure_mesh().x_desc("offered load").draw()?;
    for (at, (name, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(at).to_rgba();
        let series = LineSeries::new(points.iter().copied(), color.stroke_width(2));
        let drawn = chart.draw_series(series)?;
        drawn.label(*name).legend(move |(x, y)| {
            PathElement::new(vec![(x, y), (x + 16, y)], color.stroke_width(2))
        });
    }
    let mut labels = chart.configure_series_labels();
    labels.background_style(WHITE.mix(0.8)).border_style(BLACK);
    labels.position(SeriesLabelPosition::UpperLeft).draw()?;
    root.present()?;
    Ok(())
}
