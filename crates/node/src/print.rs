//! Writing to standard output.

use std::io::Write;

/// Writes to standard output. Errors are ignored: a reader that closed the pipe must not fail the command.
pub fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}
