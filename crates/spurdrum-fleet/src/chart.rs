//! Renders the work by server over time as an HTML page.

use plotters::prelude::*;

use crate::history::History;

/// Returns an HTML page with a heat map: each row is a server, each column a second. A darker cell means that the server began
/// more work in that second, relative to its capacity.
///
/// # Errors
///
/// The chart could not be drawn.
pub fn page(title: &str, history: &History, table: &str) -> Result<String, String> {
    let seconds = history.length.ceil().max(1.0) as usize;
    let mut begun = vec![vec![0.0; seconds]; history.servers.len()];
    for attempt in history.attempts.iter().filter(|attempt| attempt.begun >= 0.0) {
        if let Some(cell) = begun[attempt.server].get_mut(attempt.begun as usize) {
            *cell +=
                history.servers[attempt.server].service_s / history.servers[attempt.server].workers as f64;
        }
    }
    let max = begun.iter().flatten().copied().fold(0.1, f64::max);
    let mut svg = String::new();
    {
        let size = (960, 60 + 12 * history.servers.len().clamp(5, 200) as u32);
        let root = SVGBackend::with_string(&mut svg, size).into_drawing_area();
        let describe = |error: DrawingAreaErrorKind<_>| format!("{error:?}");
        let mut chart = ChartBuilder::on(&root)
            .margin(10)
            .x_label_area_size(28)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..seconds as f64, 0.0..history.servers.len() as f64)
            .map_err(describe)?;
        chart.configure_mesh().disable_mesh().x_desc("seconds").y_desc("servers").draw().map_err(describe)?;
        let cells = begun.iter().enumerate().flat_map(|(server, row)| {
            row.iter().enumerate().map(move |(second, work)| {
                let (x, y) = (second as f64, server as f64);
                let shade = 255 - (work / max * 235.0) as u8;
                Rectangle::new([(x, y), (x + 1.0, y + 1.0)], RGBColor(shade, shade, 255).filled())
            })
        });
        chart.draw_series(cells).map_err(describe)?;
        let faults = history.faults.iter().map(|(from, to)| {
            let to = to.min(history.length);
            Rectangle::new([(*from, 0.0), (to, history.servers.len() as f64)], RED.stroke_width(1))
        });
        chart.draw_series(faults).map_err(describe)?;
        root.present().map_err(describe)?;
    }
    Ok(format!(
        "<!doctype html><meta charset=\"utf-8\"><title>{title}</title><h1>{title}</h1>\n<p>Work begun by server and second, relative to \
         capacity: white is none, the darkest {max:.2} of the capacity. Red frames are faults.</p>\n{svg}\n<pre>{table}</pre>\n"
    ))
}
