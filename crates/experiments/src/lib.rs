//! Experiments in the laboratory: plays variants of a world and of an operator's file on the same seeds in
//! parallel, and reports confidence intervals and verdicts. `applemill-lab` simulates a world; this crate has
//! the files, threads and statistics.

mod charts;
mod figures;
mod report;
mod runs;
mod spec;
mod stats;
mod worst;

pub use figures::{Figure, QUANTILES, Run};
pub use report::{VariantResult, as_html, as_json, as_picture, as_text, promise_kept, summarize};
pub use runs::{Folder, RunError, Runs, play, run, story};
pub use spec::{Promise, Range, Spec, SpecError, Variant};
pub use stats::{EARLY, Interval, LEVEL, Verdict, difference, interval, quantile};
pub use worst::{Day, Worst, WorstError, replay, worst};
