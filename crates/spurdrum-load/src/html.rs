//! Renders the report as a single self-contained HTML page.

use plotters::prelude::*;

use crate::report::Report;

const SIZE: (u32, u32) = (880, 260);

/// A line of a chart.
struct Line<'a> {
    name: &'a str,
    color: RGBColor,
    points: Vec<(f64, f64)>,
}

const BLUE: RGBColor = RGBColor(0, 102, 204);
const GREEN: RGBColor = RGBColor(51, 153, 0);
const RED: RGBColor = RGBColor(204, 51, 51);
const GREY: RGBColor = RGBColor(136, 136, 136);

/// Returns the HTML page of a report.
pub fn page(report: &Report) -> String {
    let mut text = String::from(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Load report</title><style>\
         body{font:14px sans-serif;margin:2em auto;max-width:900px}pre{background:#f4f4f4;padding:1em;overflow:auto}\
         svg{border:1px solid #ddd}</style></head><body>\
         <h1>Load report</h1><pre>",
    );
    text.push_str(&escape(&report.table()));
    text.push_str("</pre>");
    let quantiles = (0..=200).map(|n| {
        // The x axis is linear in the number of nines of the percentile: 90 %, 99 %, 99.9 % and so on.
        let nines = f64::from(n) / 200.0 * 5.0;
        (nines, report.latency.value_at_quantile(1.0 - 10_f64.powf(-nines)) as f64 / 1000.0)
    });
    let line = Line { name: "latency", color: BLUE, points: quantiles.collect() };
    chart(&mut text, "Latency by percentile (ms)", &[line], |x| {
        format!("{}%", 100.0 - 100.0 * 10_f64.powf(-x))
    });
    let series = |value: &dyn Fn(&crate::report::Second) -> f64| -> Vec<(f64, f64)> {
        report.per_second.iter().enumerate().map(|(n, second)| (n as f64, value(second))).collect()
    };
    let seconds = |x: f64| format!("{x} s");
    let latency = [
        Line { name: "p50", color: GREEN, points: series(&|s| s.p50_ms) },
        Line { name: "p99", color: BLUE, points: series(&|s| s.p99_ms) },
        Line { name: "max", color: RED, points: series(&|s| s.max_ms) },
    ];
    chart(&mut text, "Latency over time (ms), by when requests were due", &latency, seconds);
    let rate = [
        Line { name: "due", color: GREY, points: series(&|s| s.due as f64) },
        Line { name: "served", color: BLUE, points: series(&|s| s.served as f64) },
        Line { name: "in time", color: GREEN, points: series(&|s| s.in_time as f64) },
    ];
    chart(&mut text, "Requests a second", &rate, seconds);
    let goodput = series(&|s| s.in_time as f64 / s.due.max(1) as f64);
    chart(&mut text, "Goodput", &[Line { name: "goodput", color: GREEN, points: goodput }], seconds);
    text.push_str("</body></html>\n");
    text
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Appends a chart, or the error message where it cannot be drawn.
fn chart(text: &mut String, title: &str, lines: &[Line], label: impl Fn(f64) -> String) {
    let mut svg = String::new();
    let result = draw(&mut svg, lines, &label);
    text.push_str(&format!("<h2>{}</h2>", escape(title)));
    match result {
        Ok(()) => text.push_str(&svg),
        Err(error) => text.push_str(&escape(&error)),
    }
}

fn draw(svg: &mut String, lines: &[Line], label: &dyn Fn(f64) -> String) -> Result<(), String> {
    let points = || lines.iter().flat_map(|line| &line.points);
    let max_x = points().map(|p| p.0).fold(0.0, f64::max).max(1e-9);
    let max_y = points().map(|p| p.1).fold(0.0, f64::max).max(1e-9);
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    let to_text = |error: DrawingAreaErrorKind<_>| format!("{error:?}");
    let mut chart = ChartBuilder::on(&root)
        .margin(10)
        .x_label_area_size(28)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..max_x, 0.0..max_y * 1.05)
        .map_err(to_text)?;
    let x = |x: &f64| label(*x);
    let mut mesh = chart.configure_mesh();
    mesh.x_labels(8)
        .y_labels(6)
        .x_label_formatter(&x)
        .light_line_style(TRANSPARENT)
        .bold_line_style(GREY.mix(0.25));
    mesh.draw().map_err(to_text)?;
    for line in lines {
        let color = line.color;
        let series = LineSeries::new(line.points.iter().copied(), &color);
        let drawn = chart.draw_series(series).map_err(to_text)?;
        drawn.label(line.name).legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    let mut legend = chart.configure_series_labels();
    legend
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(GREY.mix(0.4));
    legend.draw().map_err(to_text)?;
    root.present().map_err(to_text)
}
