//! Reports the results of an experiment as JSON, as text, as a picture, and as one self-contained HTML page.

use crate::charts;
use crate::figures::{Figure, Run};
use crate::runs::Runs;
use crate::spec::{Promise, Spec, Variant};
use crate::stats::{Interval, LEVEL, Verdict, difference, interval};
use minijinja::{Environment, context};
use serde::Serialize;
use serde_json::{Value, json};
use std::error::Error;

/// Results of one variant.
#[derive(Clone, Debug, Serialize)]
pub struct VariantResult {
    /// Name of the variant.
    pub name: String,
    /// Confidence intervals of all figures, in the order of [`Figure::ALL`].
    pub figures: Vec<Interval>,
    /// Paired difference of the deciding figure from the first variant; none for the first.
    pub difference: Option<Interval>,
    /// Verdict on that difference.
    pub verdict: Option<Verdict>,
    /// Number of rule violations in its runs.
    pub broken: u64,
}

fn values(runs: &[Run], figure: Figure) -> Vec<f64> {
    runs.iter().map(|r| r.figure(figure)).collect()
}

/// Computes the results of each variant.
pub fn summarize(spec: &Spec, runs: &Runs) -> Vec<VariantResult> {
    let first = runs.by_variant.first().map(|r| values(r, spec.figure)).unwrap_or_default();
    let summarize_variant = |(n, (variant, runs)): (usize, (&Variant, &Vec<Run>))| {
        let difference = (n > 0).then(|| difference(&first, &values(runs, spec.figure), LEVEL));
        VariantResult {
            name: variant.name.clone(),
            figures: Figure::ALL.into_iter().map(|f| interval(&values(runs, f), LEVEL)).collect(),
            difference,
            verdict: difference.map(|d| d.verdict()),
            broken: runs.iter().map(|r| r.broken_count).sum(),
        }
    };
    spec.variants.iter().zip(&runs.by_variant).enumerate().map(summarize_variant).collect()
}

/// Whether the whole confidence interval of the first variant is within the promised bounds; none if there is
/// no promise.
pub fn promise_kept(spec: &Spec, results: &[VariantResult]) -> Option<bool> {
    let Promise { at_least, at_most } = spec.promise?;
    let index = Figure::ALL.iter().position(|f| *f == spec.figure)?;
    let interval = results.first()?.figures.get(index)?;
    Some(
        at_least.is_none_or(|least| interval.low >= least)
            && at_most.is_none_or(|most| interval.high <= most),
    )
}

/// The results as JSON, for other programs.
pub fn as_json(spec: &Spec, runs: &Runs, results: &[VariantResult]) -> Value {
    let variant = |f: &VariantResult| {
        let figures: serde_json::Map<String, Value> =
            Figure::ALL.iter().zip(&f.figures).map(|(n, i)| (n.name().to_owned(), json!(i))).collect();
        json!({"name": f.name, "figures": figures, "difference": f.difference, "verdict": f.verdict, "broken": f.broken})
    };
    json!({
        "question": spec.question, "figure": spec.figure.name(), "seeds": runs.by_variant.first().map_or(0, Vec::len),
        "early": runs.stopped_early, "promise_kept": promise_kept(spec, results), "variants": results.iter().map(variant).collect::<Vec<_>>(),
    })
}

/// Formats a number with a precision that fits its size.
fn format_number(n: f64) -> String {
    // Avoids a minus sign on a value that is rounded to 0.
    let n = if n.abs() < 0.000_5 { 0.0 } else { n };
    match n.abs() {
        _ if !n.is_finite() => "?".to_owned(),
        a if a >= 100.0 => format!("{n:.0}"),
        a if a >= 10.0 => format!("{n:.1}"),
        a if a >= 1.0 => format!("{n:.2}"),
        _ => format!("{n:.3}"),
    }
}

fn format_ends(i: &Interval) -> String {
    format!("{} to {}", format_number(i.low), format_number(i.high))
}

/// The results as text, for a terminal.
pub fn as_text(spec: &Spec, runs: &Runs, results: &[VariantResult]) -> String {
    let index = Figure::ALL.iter().position(|f| *f == spec.figure).unwrap_or(0);
    let mut text = format!(
        "{}\n{} by {} paired runs{}\n",
        spec.question,
        spec.figure.name(),
        runs.by_variant.first().map_or(0, Vec::len),
        if runs.stopped_early { ", stopped early" } else { "" }
    );
    let name_width = results.iter().map(|f| f.name.chars().count()).max().unwrap_or(0);
    for f in results {
        let Some(interval) = f.figures.get(index) else { continue };
        text += &format!(
            "  {:name_width$}  {} ({})",
            f.name,
            format_number(interval.mean),
            format_ends(interval)
        );
        if let (Some(d), Some(v)) = (&f.difference, f.verdict) {
            text += &format!("  {}: {} ({})", v.label(), format_number(d.mean), format_ends(d));
        }
        if f.broken > 0 {
            text += &format!("  {} BROKEN RULES", f.broken);
        }
        text.push('\n');
    }
    text
}

#[derive(Serialize)]
struct Cell {
    mean: String,
    ends: String,
}

impl From<&Interval> for Cell {
    fn from(i: &Interval) -> Cell {
        Cell { mean: format_number(i.mean), ends: format_ends(i) }
    }
}

/// The main chart of an experiment as SVG: latency if the deciding figure is a latency, otherwise the
/// requests served over time.
///
/// # Errors
/// The chart cannot be drawn.
pub fn as_picture(spec: &Spec, runs: &Runs) -> Result<String, Box<dyn Error>> {
    let variants: Vec<(&Variant, &[Run])> =
        spec.variants.iter().zip(runs.by_variant.iter().map(Vec::as_slice)).collect();
    let chart = match spec.figure {
        Figure::P50Ms | Figure::P99Ms => charts::latency(&variants)?,
        _ => charts::over_time(&variants, "served per second", &|s| f64::from(s.served))?,
    };
    Ok(charts::with_legend(&chart, spec.variants.iter().map(|v| v.name.as_str())))
}

/// The report as an HTML page.
///
/// # Errors
/// A chart cannot be drawn.
pub fn as_html(spec: &Spec, runs: &Runs, results: &[VariantResult]) -> Result<String, Box<dyn Error>> {
    let variants: Vec<(&Variant, &[Run])> =
        spec.variants.iter().zip(runs.by_variant.iter().map(Vec::as_slice)).collect();
    let mut charts_json = Vec::new();
    let mut add = |title: &str, about: &str, svg: String| {
        charts_json.push(json!({"title": title, "about": about, "svg": svg}))
    };
    add("Served", "", charts::over_time(&variants, "per second", &|s| f64::from(s.served))?);
    add(
        "Finally refused or failed",
        "",
        charts::over_time(&variants, "per second", &|s| f64::from(s.refused + s.failed))?,
    );
    add(
        "Retries, as a fraction of all tries that reach the fleet",
        "Load that clients add by retrying.",
        charts::over_time(&variants, "fraction", &|s| {
            f64::from(s.retries) / f64::from((s.asked + s.retries).max(1))
        })?,
    );
    add(
        "Attempts that arrive at servers",
        "",
        charts::over_time(&variants, "per second", &|s| f64::from(s.attempts))?,
    );
    add(
        "Admission level of nodes",
        "1 admits everything. Mean of all nodes.",
        charts::over_time(&variants, "fraction", &|s| f64::from(s.level))?,
    );
    add(
        "Caps: concurrent requests allowed per server",
        "Sum over all nodes, as learned by them; mean of all servers.",
        charts::over_time(&variants, "requests", &|s| f64::from(s.limit))?,
    );
    add("Latency of served requests, counted from their first try", "", charts::latency(&variants)?);
    for (variant, runs) in &variants {
        if let Some(run) = runs.first() {
            let title = format!("Load by server: {}", variant.name);
            add(
                &title,
                "The first run; darker means more requests.",
                charts::server_heat_map(variant, run)?,
            );
        }
    }
    let rows: Vec<Value> = results
        .iter()
        .enumerate()
        .map(|(n, f)| {
            let plotters::style::RGBColor(r, g, b) = charts::colour(n);
            let css_class = f.verdict.map(|v| match v {
                Verdict::NoDifference => "",
                v if (v == Verdict::More) == spec.figure.more_is_better() => "good",
                _ => "bad",
            });
            json!({
                "name": f.name, "colour": format!("#{r:02x}{g:02x}{b:02x}"),
                "cells": f.figures.iter().map(Cell::from).collect::<Vec<_>>(),
                "verdict": f.verdict.map_or("", Verdict::label), "class": css_class.unwrap_or(""),
                "difference": f.difference.as_ref().map(|d| format!("{}: {}", format_number(d.mean), format_ends(d))),
            })
        })
        .collect();
    let groups = spec.variants.first().map(|v| v.world.clients.len()).unwrap_or(0);
    let group = |n: usize| {
        let name =
            spec.variants.first().and_then(|v| v.world.clients.get(n)).map_or("", |c| c.name.as_str());
        let cells: Vec<Cell> = runs
            .by_variant
            .iter()
            .map(|runs| {
                let served: Vec<f64> = runs.iter().filter_map(|r| Some(r.groups.get(n)?.1)).collect();
                Cell::from(&interval(&served, LEVEL))
            })
            .collect();
        json!({"name": name, "cells": cells})
    };
    let faults: Vec<Value> = spec.variants.first().into_iter().flat_map(|v| &v.world.faults).map(|f| {
        let targets: Vec<String> = [
            f.first.map(|n| format!("the first {n}")),
            f.zone.as_ref().map(|z| format!("zone {z}")),
            f.pool.as_ref().map(|p| format!("pool {p}")),
        ].into_iter().flatten().collect();
        let targets = if targets.is_empty() { "all".to_owned() } else { targets.join(", ") };
        json!({"what": f.fault.word(), "at": format_number(f.at), "lasts": format_number(f.lasts), "by": if f.by == 0.0 { String::new() } else { format_number(f.by) }, "of": targets})
    }).collect();
    let promise = promise_kept(spec, results).map(|is_kept| {
        let Promise { at_least, at_most } =
            spec.promise.unwrap_or(Promise { at_least: None, at_most: None });
        let bounds: Vec<String> = [
            at_least.map(|n| format!("at least {}", format_number(n))),
            at_most.map(|n| format!("at most {}", format_number(n))),
        ]
        .into_iter()
        .flatten()
        .collect();
        format!(
            "Promise for the first variant: {} {}. {}",
            spec.figure.name(),
            bounds.join(", "),
            if is_kept { "Kept." } else { "Not shown to be kept." }
        )
    });
    let broken: Vec<String> = spec
        .variants
        .iter()
        .zip(&runs.by_variant)
        .flat_map(|(v, runs)| {
            runs.iter().zip(1..).flat_map(move |(r, seed): (&Run, u64)| {
                r.broken.iter().take(1).map(move |b| {
                    format!("{}, seed {seed}, {:.2} s: {}: {}", v.name, b.at, b.rule.text(), b.how)
                })
            })
        })
        .take(10)
        .collect();
    let stories = runs.by_variant.iter().flatten().map(|r| &r.story).find(|s| !s.is_empty());
    let mut environment = Environment::new();
    environment.add_template("report.html", include_str!("../templates/report.html"))?;
    let names: Vec<&str> = Figure::ALL.iter().map(|f| f.name()).collect();
    Ok(environment.get_template("report.html")?.render(context! {
        question => spec.question, figure => spec.figure.name(), seeds => runs.by_variant.first().map_or(0, Vec::len),
        early => runs.stopped_early, promise => promise, promise_class => if promise_kept(spec, results) == Some(false) { "bad" } else { "good" },
        broken => broken, story => stories, names => names, variants => rows, charts => charts_json, faults => faults,
        groups => (0..groups).map(group).collect::<Vec<_>>(),
    })?)
}
