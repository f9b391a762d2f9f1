//! The report as one page that needs nothing else.

use std::fmt::Write as _;

use crate::report::Report;

const WIDTH: f64 = 860.0;
const HEIGHT: f64 = 220.0;
const LEFT: f64 = 70.0;
const BOTTOM: f64 = 30.0;

/// A line of a chart: its name, its color, its points.
struct Line<'a> {
    name: &'a str,
    color: &'a str,
    points: Vec<(f64, f64)>,
}

pub fn page(report: &Report) -> String {
    let mut text = String::from(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Load report</title><style>\
         body{font:14px sans-serif;margin:2em auto;max-width:900px}pre{background:#f4f4f4;padding:1em;overflow:auto}\
         svg{background:#fafafa;border:1px solid #ddd}text{font:11px sans-serif}</style></head><body>\
         <h1>Load report</h1><pre>",
    );
    text.push_str(&escape(&report.table()));
    text.push_str("</pre>");
    let quantiles = (0..=200).map(|n| {
        // Evenly in the number of nines.
        let nines = f64::from(n) / 200.0 * 5.0;
        (nines, report.latency.value_at_quantile(1.0 - 10_f64.powf(-nines)) as f64 / 1000.0)
    });
    let line = Line { name: "latency", color: "#06c", points: quantiles.collect() };
    chart(&mut text, "Latency by percentile (ms)", &[line], |x| {
        format!("{:.4}", 100.0 * (1.0 - 10_f64.powf(-x)))
    });
    let series = |of: &dyn Fn(&crate::report::Second) -> f64| -> Vec<(f64, f64)> {
        report.per_second.iter().enumerate().map(|(n, second)| (n as f64, of(second))).collect()
    };
    let seconds = |x: f64| format!("{x:.0} s");
    let latency = [
        Line { name: "p50", color: "#390", points: series(&|s| s.p50_ms) },
        Line { name: "p99", color: "#06c", points: series(&|s| s.p99_ms) },
        Line { name: "max", color: "#c33", points: series(&|s| s.max_ms) },
    ];
    chart(&mut text, "Latency over time (ms), by when requests were due", &latency, seconds);
    let rate = [
        Line { name: "due", color: "#888", points: series(&|s| s.due as f64) },
        Line { name: "served", color: "#06c", points: series(&|s| s.served as f64) },
        Line { name: "in time", color: "#390", points: series(&|s| s.in_time as f64) },
    ];
    chart(&mut text, "Requests a second", &rate, seconds);
    let goodput = series(&|s| s.in_time as f64 / s.due.max(1) as f64);
    chart(&mut text, "Goodput", &[Line { name: "goodput", color: "#390", points: goodput }], seconds);
    text.push_str("</body></html>\n");
    text
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn chart(text: &mut String, title: &str, lines: &[Line], label: impl Fn(f64) -> String) {
    let points = || lines.iter().flat_map(|line| &line.points);
    let most_x = points().map(|p| p.0).fold(0.0, f64::max).max(1e-9);
    let most_y = points().map(|p| p.1).fold(0.0, f64::max).max(1e-9);
    let x = |value: f64| LEFT + value / most_x * (WIDTH - LEFT - 10.0);
    let y = |value: f64| HEIGHT - BOTTOM - value / most_y * (HEIGHT - BOTTOM - 20.0);
    let _ = write!(text, "<h2>{}</h2><svg width=\"{WIDTH}\" height=\"{HEIGHT}\">", escape(title));
    for step in 0..=4 {
        let part = f64::from(step) / 4.0;
        let (at_y, at_x) = (y(most_y * part), x(most_x * part));
        let _ = write!(
            text,
            "<line x1=\"{LEFT}\" x2=\"{WIDTH}\" y1=\"{at_y:.1}\" y2=\"{at_y:.1}\" stroke=\"#ddd\"/>\
             <text x=\"4\" y=\"{:.1}\">{:.3}</text><text x=\"{:.1}\" y=\"{:.1}\">{}</text>",
            at_y + 4.0,
            most_y * part,
            at_x - 14.0,
            HEIGHT - 10.0,
            label(most_x * part)
        );
    }
    for (n, line) in lines.iter().enumerate() {
        let path: Vec<String> = line.points.iter().map(|p| format!("{:.1},{:.1}", x(p.0), y(p.1))).collect();
        let _ = write!(
            text,
            "<polyline fill=\"none\" stroke=\"{0}\" points=\"{1}\"/><text x=\"{2}\" y=\"14\" fill=\"{0}\">{3}</text>",
            line.color,
            path.join(" "),
            LEFT + 80.0 * n as f64,
            escape(line.name)
        );
    }
    text.push_str("</svg>");
}
