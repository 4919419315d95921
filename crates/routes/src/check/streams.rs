//! Checks streams: the largest body must fit into the maximum duration, and all buffers into the memory.

use super::Check;
use crate::effective::{Effective, MAX_STREAM_BUFFER_BYTES, MIN_STREAM_BUFFER_BYTES, format_ms};
use crate::model::{Mode, Route};
use crate::report::{Finding, SourceLocation};

/// Streams may use up to half of the memory: buffered bodies have a quarter, and data that connections read
/// ahead another.
const STREAM_MEMORY_DIVISOR: u64 = 2;

impl Check<'_> {
    /// Checks the stream settings of a route.
    pub(super) fn check_streams(&mut self, r: &Route, e: &Effective) {
        let s = &e.streams;
        if s.directions() == 0 {
            return;
        }
        let field = |name: &str| format!("route {:?}: {name}", r.name.value);
        if self.platform.is_some() {
            let streamed = if s.body.value == Mode::Stream { &s.body } else { &s.answer };
            let found = format!("\"stream\" ({}), beside the platform's configuration", streamed.origin());
            self.error(
                "platform-limit",
                streamed.at,
                field("body"),
                found,
                "\"whole\": bodies of 64KiB at most",
            );
        }
        if !(MIN_STREAM_BUFFER_BYTES..=MAX_STREAM_BUFFER_BYTES).contains(&s.hold.value) {
            let found = format!("{} bytes ({})", s.hold.value, s.hold.origin());
            self.error("range", s.hold.at, field("hold"), found, "\"4KiB\" to \"64KiB\"");
        }
        if s.body.value == Mode::Stream && s.replay.value > s.hold.value {
            let found = format!(
                "{} bytes ({}), and hold is {} bytes ({})",
                s.replay.value,
                s.replay.origin(),
                s.hold.value,
                s.hold.origin()
            );
            self.error("stream-replay", s.replay.at, field("replay"), found, "at most hold");
        }
        if s.body.value == Mode::Stream
            && let Some(delay) = e.second_copy_ms.value
        {
            let found = format!(
                "{} ({}), and its body is streamed ({})",
                format_ms(delay),
                e.second_copy_ms.origin(),
                s.body.origin()
            );
            let right =
                "second_copy_after = \"off\": a body that is still arriving can go to only one server";
            self.error("stream-copy", e.second_copy_ms.at, field("second_copy_after"), found, right);
        }
        let sizes = [("body_limit", &s.body, &e.body_limit), ("answer_limit", &s.answer, &s.answer_limit)];
        for (name, mode, size) in sizes {
            let duration_ms = s.time_at_min_rate_ms(size.value);
            if mode.value == Mode::Stream && duration_ms > s.time_ms.value {
                let found = format!(
                    "{} bytes take {} at the minimum pace, and a stream may take {}",
                    size.value,
                    format_ms(duration_ms.ceil()),
                    format_ms(s.time_ms.value)
                );
                let notes = vec![
                    format!("{name} {} bytes ({})", size.value, size.origin()),
                    format!(
                        "pace {} bytes ({}) in {} ({})",
                        s.pace.value,
                        s.pace.origin(),
                        format_ms(s.pace_window_ms.value),
                        s.pace_window_ms.origin()
                    ),
                    format!("stream_time {} ({})", format_ms(s.time_ms.value), s.time_ms.origin()),
                ];
                let max_bytes = s.pace.value as f64 / s.pace_window_ms.value * s.time_ms.value;
                let right =
                    format!("at most {}B, a faster pace, or a longer stream_time", max_bytes as u64);
                self.report.findings.push(
                    Finding::error("stream-too-long", size.at, field(name), found, right).with_notes(notes),
                );
            }
        }
    }

    /// Checks that the memory suffices for the allowed number of streams.
    pub(super) fn check_stream_memory(&mut self) {
        let file = self.file;
        let directions = self.effective.iter().flatten().map(|e| e.streams.directions()).max().unwrap_or(0);
        if directions == 0 || self.platform.is_some() {
            return;
        }
        let node = &file.node;
        let at = file
            .sections
            .iter()
            .find(|s| s.value == "node")
            .map_or(SourceLocation { line: 1, column: 1 }, |s| s.at);
        let needed_bytes = u64::from(node.streams) * directions as u64 * MIN_STREAM_BUFFER_BYTES;
        if needed_bytes > node.stream_memory {
            let found = format!(
                "{} streams of {directions} directions of {MIN_STREAM_BUFFER_BYTES} bytes at least are {needed_bytes} bytes, and \
                 stream_memory is {}",
                node.streams, node.stream_memory
            );
            let right =
                format!("stream_memory = \"{}KiB\" or more, or fewer streams", needed_bytes.div_ceil(1024));
            self.error("stream-memory", at, "node: stream_memory", found, right);
        }
        if node.stream_memory > node.memory / STREAM_MEMORY_DIVISOR {
            let found = format!("{} of {} bytes", node.stream_memory, node.memory);
            let right = "half of memory at most: whole bodies and connections have a quarter each";
            self.error("stream-memory", at, "node: stream_memory", found, right);
        }
    }
}
