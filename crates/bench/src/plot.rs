//! Drawing of a report's chart.

use crate::report::Report;
use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

/// Width and height of the drawing.
const SIZE_PX: (u32, u32) = (900, 540);
/// Space for the labels of each axis.
const LABEL_AREA_PX: u32 = 60;

/// Draws the report's chart into an SVG file, one line for each series.
///
/// # Errors
///
/// Returns the error of the drawing library, such as a file that can't be written.
pub fn draw(report: &Report, path: &Path) -> Result<(), Box<dyn Error>> {
    let points = || report.chart.iter().flat_map(|s| &s.points);
    let right = points().map(|p| p.0).fold(1.0, f64::max);
    let top = points().map(|p| p.1).fold(1.0, f64::max);
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(10)
        .x_label_area_size(LABEL_AREA_PX)
        .y_label_area_size(LABEL_AREA_PX)
        .build_cartesian_2d(0.0..right, 0.0..top * 1.05)?;
    let (x, y) = report.axes;
    chart.configure_mesh().x_desc(x).y_desc(y).draw()?;
    for (i, series) in report.chart.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        chart
            .draw_series(LineSeries::new(series.points.iter().copied(), &color))?
            .label(&series.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    root.present()?;
    Ok(())
}
