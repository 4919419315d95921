//! A line for people: the program, the level where it is not the usual one, the message, and the fields behind it.

use std::fmt::{self, Debug, Write};
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

pub(crate) struct Text;

impl<S, N> FormatEvent<S, N> for Text
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
        let mut parts = Parts::default();
        event.record(&mut parts);
        writeln!(line, "applemill: {level}{}{}", parts.message, parts.fields)
    }
}

/// The message, and ` name=value` for each field.
#[derive(Default)]
struct Parts {
    message: String,
    fields: String,
}

impl Visit for Parts {
    fn record_str(&mut self, field: &Field, value: &str) {
        let plain = !value.is_empty() && !value.contains([' ', '"', '\n', '=']);
        // Writing to a String cannot fail.
        let _ = match (field.name(), plain) {
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
