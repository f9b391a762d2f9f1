//! The log: lines on standard error, as text or JSON. A thread of its own writes them from a bounded queue.

use std::fmt::{self, Write as _};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::Deserialize;
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::format::{FormatEvent, FormatFields, Writer};
use tracing_subscriber::fmt::FmtContext;
use tracing_subscriber::registry::LookupSpan;

/// The maximum number of lines that wait to be written; further lines are lost. Without this bound and loss,
/// a reader of standard error that stalls would stall the node.
const MAX_QUEUED_LINES: usize = 4096;

/// The format of a log line.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// The node's name, a colon and the message.
    #[default]
    Text,
    /// A JSON object with `time_ms` (Unix time), `level`, `node` and `message`.
    Json,
}

/// Formats log events as lines.
struct LineFormat {
    node: String,
    format: Format,
}

/// Starts the log. Dropping the returned guard writes the lines that are still queued.
pub fn start(node: &str, format: Format) -> WorkerGuard {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES);
    let (writer, guard) = builder.thread_name("log").finish(std::io::stderr());
    let line_format = LineFormat { node: node.to_owned(), format };
    let subscriber = tracing_subscriber::fmt().event_format(line_format).with_writer(writer).finish();
    // Fails if a subscriber is installed already; that one stays in use.
    let _ = tracing::subscriber::set_global_default(subscriber);
    guard
}

/// The text of a log event: its message, then its other fields.
#[derive(Default)]
struct Message(String);

impl Visit for Message {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        let result = match field.name() {
            "message" => write!(self.0, "{value:?}"),
            name => write!(self.0, " {name}={value:?}"),
        };
        debug_assert!(result.is_ok(), "writing to a string cannot fail");
    }
}

impl<S, N> FormatEvent<S, N> for LineFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let mut message = Message::default();
        event.record(&mut message);
        let text = spurdrum_facts::one_line(&message.0);
        match self.format {
            Format::Text => writeln!(writer, "{}: {text}", self.node),
            Format::Json => {
                let time_ms =
                    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |unix| unix.as_millis() as u64);
                let level = event.metadata().level().as_str();
                let line = serde_json::json!({"time_ms": time_ms, "level": level, "node": self.node, "message": text});
                writeln!(writer, "{line}")
            }
        }
    }
}
