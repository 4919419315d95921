//! Parts over time, a line for each kind of trouble or world.

use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

const SIZE: (u32, u32) = (960, 480);

/// Draws them; a stroke stands at second `end`.
///
/// # Errors
/// The file cannot be written.
pub fn draw(
    file: &Path,
    [caption, part]: [&str; 2],
    lines: &[(String, Vec<f64>)],
    end: usize,
) -> Result<(), Box<dyn Error>> {
    let longest = lines.iter().map(|(_, l)| l.len()).max().unwrap_or(1);
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..longest as f64, 0.0..1.05)?;
    chart.configure_mesh().light_line_style(TRANSPARENT).x_desc("seconds").y_desc(part).draw()?;
    chart.draw_series(LineSeries::new([(end as f64, 0.0), (end as f64, 1.05)], BLACK.mix(0.4)))?;
    for (n, (name, line)) in lines.iter().enumerate() {
        let colour = Palette99::pick(n).to_rgba();
        let points = line.iter().enumerate().map(|(s, share)| (s as f64 + 0.5, *share));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(name.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
