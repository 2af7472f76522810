//! Line plots as SVG files.

use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, GREEN, IntoDrawingArea, LineSeries, MAGENTA, RED, RGBColor,
    SVGBackend, WHITE,
};

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (900, 420);
/// Colours of the series, in order.
const COLOURS: [RGBColor; 5] = [BLUE, RED, GREEN, MAGENTA, BLACK];

/// A named series of points.
pub struct Series {
    /// Name shown in the caption.
    pub name: String,
    /// Points as (x, y).
    pub points: Vec<(f64, f64)>,
}

/// Writes a plot of the series to an SVG file.
pub fn write(path: &str, caption: &str, series: &[Series]) -> Result<(), String> {
    let all = || series.iter().flat_map(|s| s.points.iter());
    let x_max = all().map(|p| p.0).fold(1.0, f64::max);
    let y_max = all().map(|p| p.1).fold(0.001, f64::max) * 1.1;
    let failed = |e: &dyn std::fmt::Display| format!("cannot write {path}: {e}");
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|e| failed(&e))?;
    let names: Vec<&str> = series.iter().map(|s| s.name.as_str()).collect();
    let colours = ["blue", "red", "green", "magenta", "black"];
    let legend: Vec<String> = names.iter().zip(colours).map(|(n, c)| format!("{n}: {c}")).collect();
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{caption} ({})", legend.join(", ")), ("sans-serif", 15))
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max)
        .map_err(|e| failed(&e))?;
    chart.configure_mesh().draw().map_err(|e| failed(&e))?;
    for (s, colour) in series.iter().zip(COLOURS) {
        let line = LineSeries::new(s.points.iter().copied(), colour);
        chart.draw_series(line).map_err(|e| failed(&e))?;
    }
    area.present().map_err(|e| failed(&e))
}
