//! What a fresh server was sent over time in each hard case, beside what it can do and what makes it fall.

use super::days::{HAPPENS, Played};
use super::floor::{MULTIPLE, ramp};
use plotters::prelude::*;
use std::error::Error;
use std::path::Path;
use std::time::Duration;

/// Of one case, in points.
const WIDTH: u32 = 460;
const HEIGHT: u32 = 260;
const COLUMNS: usize = 2;

/// Draws them all, a field each.
///
/// # Errors
/// The file cannot be written.
pub fn draw(file: &Path, days: &[(&str, Played)]) -> Result<(), Box<dyn Error>> {
    let rows = days.len().div_ceil(COLUMNS).max(1);
    let area = SVGBackend::new(file, (WIDTH * COLUMNS as u32, HEIGHT * rows as u32)).into_drawing_area();
    area.fill(&WHITE)?;
    for ((name, day), field) in days.iter().zip(area.split_evenly((rows, COLUMNS))) {
        let seconds = day.line.len() as f64 / 2.0;
        let at = |s: f64| day.whole * ramp(Duration::from_secs_f64(s));
        let most = MULTIPLE * at(seconds) * 1.05;
        let mut chart = ChartBuilder::on(&field)
            .caption(
                format!("{name}: at most {:.2} of what makes it fall", day.max_ratio),
                ("sans-serif", 15),
            )
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..seconds, 0.0..most)?;
        chart
            .configure_mesh()
            .light_line_style(TRANSPARENT)
            .x_desc("seconds since its start")
            .y_desc("requests a second")
            .draw()?;
        let steps = || (0..=20).map(|n| seconds * f64::from(n) / 20.0);
        chart.draw_series(LineSeries::new(steps().map(|s| (s, MULTIPLE * at(s))), RED.stroke_width(2)))?;
        chart.draw_series(LineSeries::new(steps().map(|s| (s, at(s))), GREEN.stroke_width(2)))?;
        let happens = HAPPENS.as_secs_f64();
        chart.draw_series(LineSeries::new([(happens, 0.0), (happens, most)], BLACK.mix(0.3)))?;
        let sent = day.line.iter().enumerate().map(|(n, rate)| (n as f64 / 2.0 + 0.25, *rate));
        chart.draw_series(LineSeries::new(sent, BLUE.stroke_width(2)))?;
    }
    area.present()?;
    Ok(())
}
