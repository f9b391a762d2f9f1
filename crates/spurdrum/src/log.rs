//! The log: lines on standard error, as text or JSON, written by a thread of its own from a bounded queue.

use std::fmt::{self, Write as _};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::Deserialize;
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::format::{FormatEvent, FormatFields, Writer};
use tracing_subscriber::fmt::FmtContext;
use tracing_subscriber::registry::LookupSpan;

/// Lines that wait to be written; what comes on top of them is lost. A log that is not read must not hold up the node.
const WAITING_MOST: usize = 4096;

/// What a line looks like.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// The node's name and what happened.
    #[default]
    Text,
    /// An object with `time_ms` (Unix), `level`, `node` and `message`.
    Json,
}

struct Lines {
    node: String,
    format: Format,
}

/// Begins the log. It is whole when what is returned has been dropped.
pub fn start(node: &str, format: Format) -> WorkerGuard {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(WAITING_MOST);
    let (writer, guard) = builder.thread_name("log").finish(std::io::stderr());
    let lines = Lines { node: node.to_owned(), format };
    let subscriber = tracing_subscriber::fmt().event_format(lines).with_writer(writer).finish();
    // It fails where there is one already: that one goes on.
    let _ = tracing::subscriber::set_global_default(subscriber);
    guard
}

#[derive(Default)]
struct Message(String);

impl Visit for Message {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        let written = match field.name() {
            "message" => write!(self.0, "{value:?}"),
            name => write!(self.0, " {name}={value:?}"),
        };
        debug_assert!(written.is_ok(), "writing to a string cannot fail");
    }
}

impl<S, N> FormatEvent<S, N> for Lines
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut to: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let mut message = Message::default();
        event.record(&mut message);
        let text = spurdrum_facts::one_line(&message.0);
        match self.format {
            Format::Text => writeln!(to, "{}: {text}", self.node),
            Format::Json => {
                let time =
                    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |unix| unix.as_millis() as u64);
                let level = event.metadata().level().as_str();
                let line =
                    serde_json::json!({"time_ms": time, "level": level, "node": self.node, "message": text});
                writeln!(to, "{line}")
            }
        }
    }
}
