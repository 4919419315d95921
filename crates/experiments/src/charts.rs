//! Charts of an experiment, as SVG that the report embeds.

use crate::figures::{QUANTILES, Run};
use crate::spec::Variant;
use crate::stats::quantile;
use applemill_lab::Second;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::error::Error;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type SvgResult = Result<String, Box<dyn Error>>;

const WIDTH: u32 = 760;
const HEIGHT: u32 = 250;
/// Palette that remains distinguishable with colour blindness (Okabe and Ito).
const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
    RGBColor(90, 90, 90),
];

/// The colour of the n-th variant.
pub fn colour(n: usize) -> RGBColor {
    COLOURS.get(n % COLOURS.len()).copied().unwrap_or(BLACK)
}

fn axis_label(n: &f64) -> String {
    if n.abs() < 10.0 && n.fract() != 0.0 { format!("{n:.1}") } else { format!("{n:.0}") }
}

fn render(height: u32, draw: impl FnOnce(&Area<'_>) -> Result<(), Box<dyn Error>>) -> SvgResult {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, (WIDTH, height)).into_drawing_area();
        area.fill(&WHITE)?;
        draw(&area)?;
        area.present()?;
    }
    Ok(text)
}

/// Value of each second over time. Each variant has a line with the median of its runs and a band from the
/// 10th to the 90th percentile. Grey marks the times of faults.
///
/// # Errors
/// The chart cannot be drawn.
pub fn over_time(variants: &[(&Variant, &[Run])], unit: &str, value: &dyn Fn(&Second) -> f64) -> SvgResult {
    let length = variants.iter().map(|(v, _)| v.world.seconds).fold(1.0, f64::max);
    let lines: Vec<Vec<(f64, f64, f64, f64)>> = variants
        .iter()
        .map(|(_, runs)| {
            (0..length.ceil() as usize)
                .map(|n| {
                    let values: Vec<f64> =
                        runs.iter().map(|r| r.seconds.get(n).map_or(0.0, value)).collect();
                    (n as f64 + 0.5, quantile(&values, 0.1), quantile(&values, 0.5), quantile(&values, 0.9))
                })
                .collect()
        })
        .collect();
    let max = lines.iter().flatten().map(|(.., high)| *high).fold(0.0, f64::max).max(1e-9) * 1.08;
    render(HEIGHT, |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .margin_right(24)
            .x_label_area_size(30)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..length, 0.0..max)?;
        chart
            .configure_mesh()
            .light_line_style(TRANSPARENT)
            .x_label_formatter(&axis_label)
            .x_desc("seconds")
            .y_desc(unit)
            .draw()?;
        for fault in variants.first().iter().flat_map(|(v, _)| &v.world.faults) {
            let end = (fault.at + fault.lasts.max(length / 300.0)).min(length);
            let shade = Rectangle::new([(fault.at.min(length), 0.0), (end, max)], BLACK.mix(0.08).filled());
            chart.draw_series([shade])?;
        }
        for (n, line) in lines.iter().enumerate() {
            let lower = line.iter().map(|(t, low, ..)| (*t, *low));
            let upper = line.iter().rev().map(|(t, .., high)| (*t, *high));
            let band: Vec<(f64, f64)> = lower.chain(upper).collect();
            chart.draw_series([Polygon::new(band, colour(n).mix(0.18))])?;
            let median = line.iter().map(|(t, _, median, _)| (*t, *median));
            chart.draw_series(LineSeries::new(median, colour(n).stroke_width(2)))?;
        }
        Ok(())
    })
}

/// Latency by quantile on a logarithmic scale: a median line and a band for each variant, as in
/// [`over_time`].
///
/// # Errors
/// The chart cannot be drawn.
pub fn latency(variants: &[(&Variant, &[Run])]) -> SvgResult {
    let quantiles_of_runs = |runs: &[Run], n: usize| {
        let values: Vec<f64> = runs.iter().filter_map(|r| r.latency_ms.get(n).copied()).collect();
        (quantile(&values, 0.1), quantile(&values, 0.5), quantile(&values, 0.9))
    };
    let ends: Vec<f64> = variants
        .iter()
        .flat_map(|(_, runs)| (0..QUANTILES.len()).map(|n| quantiles_of_runs(runs, n)))
        .flat_map(|(low, _, high)| [low, high])
        .filter(|v| *v > 0.0)
        .collect();
    let min = ends.iter().copied().fold(f64::INFINITY, f64::min).clamp(0.01, 1e6) * 0.8;
    let max = ends.iter().copied().fold(0.0, f64::max).max(min * 2.0) * 1.25;
    render(HEIGHT, |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .margin_right(24)
            .x_label_area_size(30)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..(QUANTILES.len() - 1) as f64, (min..max).log_scale())?;
        let quantile_label = |n: &f64| {
            let q = QUANTILES.get(n.round() as usize).copied().unwrap_or(0.0);
            format!("p{}", (q * 1000.0).round() / 10.0)
        };
        chart
            .configure_mesh()
            .light_line_style(TRANSPARENT)
            .x_labels(QUANTILES.len())
            .x_label_formatter(&quantile_label)
            .y_labels(6)
            .y_label_formatter(&axis_label)
            .y_desc("ms")
            .draw()?;
        for (v, (_, runs)) in variants.iter().enumerate() {
            let points: Vec<(f64, (f64, f64, f64))> = (0..QUANTILES.len())
                .map(|n| (n as f64, quantiles_of_runs(runs, n)))
                .filter(|(_, (low, ..))| *low > 0.0)
                .collect();
            let band: Vec<(f64, f64)> = points
                .iter()
                .map(|(x, (low, ..))| (*x, *low))
                .chain(points.iter().rev().map(|(x, (.., high))| (*x, *high)))
                .collect();
            if band.len() > 2 {
                chart.draw_series([Polygon::new(band, colour(v).mix(0.18))])?;
            }
            let median = points.iter().map(|(x, (_, median, _))| (*x, *median));
            chart.draw_series(LineSeries::new(median, colour(v).stroke_width(2)))?;
        }
        Ok(())
    })
}

/// Heat map of the requests that each server received over time in one run; darker is more.
///
/// # Errors
/// The chart cannot be drawn.
pub fn server_heat_map(variant: &Variant, run: &Run) -> SvgResult {
    let seconds = variant.world.seconds.ceil().max(1.0) as usize;
    let count = run.servers.first().map_or(1, Vec::len).max(1);
    // Limits the map to about 150 columns and 60 rows, so that its cells stay visible.
    let (cell_seconds, cell_servers) = (seconds.div_ceil(seconds.min(150)), count.div_ceil(count.min(60)));
    let cell_mean = |x: usize, y: usize| {
        let rows = run
            .servers
            .iter()
            .skip(x * cell_seconds)
            .take(cell_seconds.min(seconds - (x * cell_seconds).min(seconds)));
        let sum: u64 = rows
            .flat_map(|row| row.iter().skip(y * cell_servers).take(cell_servers))
            .map(|n| u64::from(*n))
            .sum();
        sum as f64 / (cell_seconds * cell_servers) as f64
    };
    let (columns, rows) = (seconds.div_ceil(cell_seconds), count.div_ceil(cell_servers));
    let max = (0..columns)
        .flat_map(|x| (0..rows).map(move |y| (x, y)))
        .map(|(x, y)| cell_mean(x, y))
        .fold(1e-9, f64::max);
    render((60 + 10 * rows as u32).clamp(130, 420), |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .margin_right(24)
            .x_label_area_size(30)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..seconds as f64, 0.0..count as f64)?;
        chart
            .configure_mesh()
            .disable_mesh()
            .x_label_formatter(&axis_label)
            .y_label_formatter(&axis_label)
            .x_desc("seconds")
            .y_desc("server")
            .draw()?;
        for x in 0..columns {
            for y in 0..rows {
                let intensity = cell_mean(x, y) / max;
                let shade = |from: f64, to: f64| (from + (to - from) * intensity) as u8;
                let fill = RGBColor(shade(247.0, 8.0), shade(251.0, 48.0), shade(255.0, 107.0));
                let (left, top) = ((x * cell_seconds) as f64, (y * cell_servers) as f64);
                let ends = [
                    (left, top),
                    (left + cell_seconds as f64, (top + cell_servers as f64).min(count as f64)),
                ];
                chart.draw_series([Rectangle::new(ends, fill.filled())])?;
            }
        }
        Ok(())
    })
}

/// Adds a legend with the names of the variants below a chart.
pub fn with_legend<'n>(svg: &str, names: impl Iterator<Item = &'n str>) -> String {
    let escaped = |name: &str| name.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;");
    let mut legend = String::new();
    let mut count = 0;
    for (n, name) in names.enumerate() {
        let (RGBColor(r, g, b), y) = (colour(n), HEIGHT + 16 * n as u32);
        legend += &format!(
            "<rect x=\"64\" y=\"{}\" width=\"11\" height=\"11\" fill=\"#{r:02x}{g:02x}{b:02x}\"/>\n\
             <text x=\"82\" y=\"{}\" font-family=\"sans-serif\" font-size=\"12\">{}</text>\n",
            y + 3,
            y + 13,
            escaped(name)
        );
        count += 1;
    }
    let height = HEIGHT + 16 * count + 8;
    let background =
        format!("<rect y=\"{HEIGHT}\" width=\"{WIDTH}\" height=\"{}\" fill=\"#fff\"/>\n", height - HEIGHT);
    svg.replacen(&format!("height=\"{HEIGHT}\""), &format!("height=\"{height}\""), 1)
        .replacen(&format!("0 0 {WIDTH} {HEIGHT}"), &format!("0 0 {WIDTH} {height}"), 1)
        .replace("</svg>", &format!("{background}{legend}</svg>"))
}
