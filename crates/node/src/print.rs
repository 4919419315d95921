//! Standard output.

use std::io::Write;

/// Writes to standard output; a reader that has gone is no error.
pub fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}
