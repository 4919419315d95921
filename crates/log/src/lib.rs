//! Writes `tracing` events to standard error as lines of text or JSON, limited in number per second and
//! without blocking the caller. Each crate decides which events it emits.

mod rate_limit;
mod text;

use rate_limit::{EventFilter, RateLimit};
use std::io::{self, Write};
use std::str::FromStr;
use std::sync::Arc;
use std::time::Instant;
use thiserror::Error;
use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt;
use tracing_subscriber::layer::SubscriberExt;

/// Limits on the number of lines; those left out are counted.
struct LineLimits {
    /// Lines per second of all threads together.
    per_second: u32,
    /// Lines that may be buffered while standard error is not read.
    buffered: usize,
}

/// More lines a second rarely carry new information.
const MAX_LINES: LineLimits = LineLimits { per_second: 20, buffered: 32 };
/// At the level debug, each request has several lines.
const MAX_DEBUG_LINES: LineLimits = LineLimits { per_second: 4000, buffered: 8000 };

/// Format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Text without a time, for people and for service managers that record the time.
    #[default]
    Text,
    /// One JSON object per line, with its time, for programs.
    Json,
}

/// A format or level of an unknown name.
#[derive(Debug, Error)]
#[error("{found:?} is none of {allowed}")]
pub struct UnknownName {
    found: String,
    allowed: &'static str,
}

impl FromStr for Format {
    type Err = UnknownName;

    fn from_str(word: &str) -> Result<Format, UnknownName> {
        match word {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err(UnknownName { found: word.into(), allowed: "text, json" }),
        }
    }
}

/// The lowest level of the events that are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Level(LevelFilter);

impl Default for Level {
    fn default() -> Level {
        Level(LevelFilter::INFO)
    }
}

impl FromStr for Level {
    type Err = UnknownName;

    fn from_str(word: &str) -> Result<Level, UnknownName> {
        let level = match word {
            "error" => LevelFilter::ERROR,
            "warn" => LevelFilter::WARN,
            "info" => LevelFilter::INFO,
            "debug" => LevelFilter::DEBUG,
            _ => return Err(UnknownName { found: word.into(), allowed: "error, warn, info, debug" }),
        };
        Ok(Level(level))
    }
}

/// Keeps the log running. Dropping it writes the buffered lines, as far as standard error is read.
pub struct Log(#[allow(dead_code, reason = "held for its drop")] WorkerGuard);

/// Starts writing the events of this process to standard error, from a separate thread. A second call changes
/// nothing.
#[must_use]
pub fn start(format: Format, level: Level) -> Log {
    let started = Instant::now();
    let max_lines = if level.0 >= LevelFilter::DEBUG { MAX_DEBUG_LINES } else { MAX_LINES };
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(max_lines.buffered)
        .lossy(true)
        .finish(io::stderr());
    let rate_limit = Arc::new(RateLimit::new(started, max_lines.per_second));
    let writer = LineWriter { writer, rate_limit: rate_limit.clone(), format };
    let filter = EventFilter { rate_limit, min_level: level.0 };
    let result = match format {
        Format::Text => tracing::subscriber::set_global_default(
            tracing_subscriber::registry()
                .with(fmt::layer().event_format(text::TextFormat { started }).with_writer(writer))
                .with(filter),
        ),
        Format::Json => tracing::subscriber::set_global_default(
            tracing_subscriber::registry()
                .with(
                    fmt::layer()
                        .json()
                        .flatten_event(true)
                        .with_current_span(false)
                        .with_span_list(false)
                        .with_writer(writer),
                )
                .with(filter),
        ),
    };
    // Fails if a subscriber is already set; that one stays.
    let _ = result;
    Log(guard)
}

/// Creates the writer of each line, and first reports how many lines were left out.
struct LineWriter {
    writer: NonBlocking,
    rate_limit: Arc<RateLimit>,
    format: Format,
}

impl<'a> fmt::MakeWriter<'a> for LineWriter {
    type Writer = NonBlocking;

    fn make_writer(&'a self) -> NonBlocking {
        let mut writer = self.writer.clone();
        let left_out = self.rate_limit.left_out() + self.writer.error_counter().dropped_lines() as u64;
        if let Some(new) = self.rate_limit.take_unreported(left_out) {
            let line = match self.format {
                Format::Text => format!("applemill: warn: lines left out lines={new}\n"),
                Format::Json => {
                    format!("{{\"level\":\"WARN\",\"message\":\"lines left out\",\"lines\":{new}}}\n")
                }
            };
            // A failure to write the log must not stop the node.
            let _ = writer.write_all(line.as_bytes());
        }
        writer
    }
}
