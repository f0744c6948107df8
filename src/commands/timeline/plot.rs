//! SVG plot of a merged timeline, with a lane for each process and a mark for each event.

use crate::commands::Error;
use pimentovalve_core::name::Name;
use pimentovalve_core::timeline::{Line, What};
use plotters::prelude::*;
use std::path::Path;

const WIDTH_PX: u32 = 1200;
const LANE_HEIGHT_PX: u32 = 60;
/// Height of the title and the time axis together.
const TITLE_AND_AXIS_HEIGHT_PX: u32 = 120;
/// Width of the column with the names of the processes.
const LABEL_WIDTH_PX: u32 = 160;
const MARK_RADIUS_PX: i32 = 4;

/// Draws the lines of a merged timeline into an SVG file.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub(super) fn draw(path: &Path, lines: &[Line<'_>]) -> Result<(), Error> {
    let mut processes: Vec<&Name> = lines.iter().map(|line| &line.event.process).collect();
    processes.sort();
    processes.dedup();
    let lanes = u32::try_from(processes.len()).unwrap_or(u32::MAX).max(1);
    let root = SVGBackend::new(path, (WIDTH_PX, TITLE_AND_AXIS_HEIGHT_PX + lanes * LANE_HEIGHT_PX))
        .into_drawing_area();
    let drawn =
        draw_chart(&root, &processes, lines).and_then(|()| root.present().map_err(to_message));
    drawn.map_err(|message| Error::failed(format!("{} can't be drawn: {message}", path.display())))
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw_chart(root: &Area<'_>, processes: &[&Name], lines: &[Line<'_>]) -> Result<(), String> {
    let start = lines.iter().map(|line| line.at.get()).min().unwrap_or_default();
    let end = lines.iter().map(|line| line.at.get()).max().unwrap_or_default();
    let lanes = i32::try_from(processes.len()).unwrap_or(i32::MAX).max(1);
    root.fill(&WHITE).map_err(to_message)?;
    let mut chart = ChartBuilder::on(root)
        .caption("Events by process", ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(LABEL_WIDTH_PX)
        .build_cartesian_2d(0..(end - start).max(1), -1..lanes)
        .map_err(to_message)?;
    let label = |lane: &i32| {
        let process = usize::try_from(*lane).ok().and_then(|lane| processes.get(lane));
        process.map_or_else(String::new, |process| process.to_string())
    };
    chart
        .configure_mesh()
        .x_desc("ms since the first event")
        .y_labels(processes.len() + 2)
        .y_label_formatter(&label)
        .draw()
        .map_err(to_message)?;
    let marks = lines.iter().filter_map(|line| {
        let lane = processes.binary_search(&&line.event.process).ok()?;
        let at = (line.at.get() - start, i32::try_from(lane).ok()?);
        Some(Circle::new(at, MARK_RADIUS_PX, color(&line.event.what).filled()))
    });
    chart.draw_series(marks).map_err(to_message)?;
    Ok(())
}

/// Returns red for failures and losses, orange for refusals and unknown outcomes, green for ended
/// jobs, answered requests and drained daemons, and blue for all other events.
const fn color(what: &What) -> RGBColor {
    match what {
        What::LogLost
        | What::PeerLost { .. }
        | What::WorkerLost { .. }
        | What::WorkerDeposed { .. }
        | What::WorkerQuarantined { .. }
        | What::ConfigurationLapsed { .. }
        | What::AnswerDropped { .. }
        | What::SlotHeld { .. } => RED,
        What::JobRefused { .. }
        | What::JobUnknown { .. }
        | What::OrderRefused { .. }
        | What::RequestRefused { .. }
        | What::RequestUnknown { .. } => RGBColor(255, 140, 0),
        What::JobEnded { .. } | What::RequestAnswered { .. } | What::Drained => RGBColor(0, 128, 0),
        _ => BLUE,
    }
}

fn to_message(error: impl std::fmt::Display) -> String {
    error.to_string()
}
