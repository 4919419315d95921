//! Findings in a file: location, problem, origin of the value and correction, as text and as JSON.

use serde_json::{Value, json};
use std::fmt::Write;

/// A location in a file. Lines and columns count from 1; columns are bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceLocation {
    /// The line.
    pub line: u32,
    /// The byte within the line.
    pub column: u32,
}

/// Byte offsets at which the lines of a text begin.
pub(crate) struct LineIndex(Vec<usize>);

impl LineIndex {
    pub(crate) fn new(text: &str) -> LineIndex {
        let line_starts = text.bytes().enumerate().filter(|(_, b)| *b == b'\n').map(|(n, _)| n + 1);
        LineIndex(std::iter::once(0).chain(line_starts).collect())
    }

    pub(crate) fn location(&self, byte: usize) -> SourceLocation {
        let line = self.0.partition_point(|start| *start <= byte).max(1);
        let start = self.0.get(line - 1).copied().unwrap_or(0);
        let saturate = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        SourceLocation { line: saturate(line), column: saturate(byte - start + 1) }
    }
}

/// Whether a finding prevents a node from starting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The file is refused.
    Error,
    /// The file is accepted, but is probably not what was intended.
    Warning,
}

/// A mistake or oddity in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Whether the file is refused because of it.
    pub severity: Severity,
    /// The rule's short name, stable across versions.
    pub rule: &'static str,
    /// Where the value is written.
    pub at: SourceLocation,
    /// The field, such as `route "bid": attempts`.
    pub field: String,
    /// What is wrong.
    pub found: String,
    /// Where the values come from and how they add up.
    pub notes: Vec<String>,
    /// How to correct it.
    pub right: String,
}

impl Finding {
    /// Creates a finding of severity `Error` without notes.
    pub(crate) fn error(
        rule: &'static str,
        at: SourceLocation,
        field: impl Into<String>,
        found: impl Into<String>,
        right: impl Into<String>,
    ) -> Finding {
        let (severity, notes) = (Severity::Error, Vec::new());
        Finding { severity, rule, at, field: field.into(), found: found.into(), notes, right: right.into() }
    }

    /// Adds notes.
    pub(crate) fn with_notes(self, notes: Vec<String>) -> Finding {
        Finding { notes, ..self }
    }

    /// Lowers the severity to `Warning`.
    pub(crate) fn warning(self) -> Finding {
        Finding { severity: Severity::Warning, ..self }
    }
}

/// All findings in one file, in the order of its lines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The findings.
    pub findings: Vec<Finding>,
}

impl Report {
    /// Whether the file is refused: at least one finding is an error.
    pub fn refused(&self) -> bool {
        self.findings.iter().any(|f| f.severity == Severity::Error)
    }

    /// Number of findings of the given severity.
    pub fn count(&self, severity: Severity) -> usize {
        self.findings.iter().filter(|f| f.severity == severity).count()
    }

    /// Sorts the findings and removes duplicates and consequences of other findings: after a syntax error
    /// many values seem to be missing or unused, and a value that cannot be read is not absent.
    pub(crate) fn finalize(&mut self) {
        let malformed = self.findings.iter().any(|f| f.rule == "form");
        let fields: Vec<String> =
            self.findings.iter().filter(|f| f.rule != "missing").map(|f| f.field.clone()).collect();
        self.findings.retain(|f| match f.rule {
            "missing" => {
                let is_explained = |other: &String| {
                    other
                        .strip_prefix(f.field.as_str())
                        .is_some_and(|r| r.is_empty() || r.starts_with([' ', ':']))
                };
                !malformed && !fields.iter().any(is_explained)
            }
            "unused" | "unknown-name" => !malformed,
            _ => true,
        });
        self.findings.sort_by(|a, b| {
            (a.at, a.severity, a.rule, &a.field).cmp(&(b.at, b.severity, b.rule, &b.field))
        });
        self.findings.dedup();
    }

    /// The report as text, one paragraph per finding; `file` precedes every location.
    pub fn text(&self, file: &str) -> String {
        let mut out = String::new();
        for f in &self.findings {
            let severity = if f.severity == Severity::Error { "error" } else { "warning" };
            // Writing to a String cannot fail.
            let _ =
                writeln!(out, "{file}:{}:{}: {severity}[{}]: {}", f.at.line, f.at.column, f.rule, f.field);
            let _ = writeln!(out, "    found: {}", f.found);
            for note in &f.notes {
                let _ = writeln!(out, "           {note}");
            }
            let _ = writeln!(out, "    right: {}", f.right);
        }
        out
    }

    /// The report as JSON.
    pub fn json(&self, file: &str) -> Value {
        let finding = |f: &Finding| {
            json!({"severity": if f.severity == Severity::Error { "error" } else { "warning" }, "rule": f.rule,
                   "line": f.at.line, "column": f.at.column, "field": f.field, "found": f.found,
                   "notes": f.notes, "right": f.right})
        };
        json!({"file": file, "accepted": !self.refused(), "errors": self.count(Severity::Error),
               "warnings": self.count(Severity::Warning),
               "findings": self.findings.iter().map(finding).collect::<Vec<_>>()})
    }
}
