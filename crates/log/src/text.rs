//! Text format of a line: the program, the level unless it is info, the message, the fields after it, and how
//! long the process has been running.

use std::fmt::{self, Debug, Write};
use std::time::Instant;
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

pub(crate) struct TextFormat {
    /// When the log was started.
    pub(crate) started: Instant,
}

impl<S, N> FormatEvent<S, N> for TextFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut line: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let level = match *event.metadata().level() {
            Level::ERROR => "error: ",
            Level::WARN => "warn: ",
            Level::INFO => "",
            Level::DEBUG => "debug: ",
            Level::TRACE => "trace: ",
        };
        let mut parts = LineParts::default();
        event.record(&mut parts);
        let uptime_s = self.started.elapsed().as_secs_f64();
        writeln!(line, "applemill: {level}{}{} uptime_s={uptime_s:.3}", parts.message, parts.fields)
    }
}

/// The message, and ` name=value` for each field.
#[derive(Default)]
struct LineParts {
    message: String,
    fields: String,
}

impl Visit for LineParts {
    fn record_str(&mut self, field: &Field, value: &str) {
        let needs_no_quotes = !value.is_empty() && !value.contains([' ', '"', '\n', '=']);
        // Writing to a String cannot fail.
        let _ = match (field.name(), needs_no_quotes) {
            ("message", _) => write!(self.message, "{value}"),
            (name, true) => write!(self.fields, " {name}={value}"),
            (name, false) => write!(self.fields, " {name}={value:?}"),
        };
    }

    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        if field.name() == "message" {
            let _ = write!(self.message, "{value:?}");
        } else {
            self.record_str(field, &format!("{value:?}"));
        }
    }
}
