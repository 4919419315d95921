//! Reads the file of an experiment: its question, a world, an operator's file, and variants of either.

use crate::figures::Figure;
use applemill_lab::{Floor, What, World};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;
use thiserror::Error;
use toml::{Table, Value};

/// Why an experiment cannot be read.
#[derive(Debug, Error)]
pub enum SpecError {
    /// The file cannot be read.
    #[error("{0}: {1}")]
    Unreadable(String, std::io::Error),
    /// The file is not a valid experiment: wrong syntax, or an unknown or missing field.
    #[error("{0}: {1}")]
    Malformed(String, toml::de::Error),
    /// The file has invalid values; lists all of them.
    #[error("{0} is refused\n{errors}", errors = .1.iter().map(|e| format!("  {e}\n")).collect::<String>())]
    Invalid(String, Vec<String>),
}

/// The file of an experiment.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SpecFile {
    question: String,
    #[serde(default = "default_figure")]
    figure: Figure,
    promise: Option<Promise>,
    #[serde(default = "default_seeds")]
    seeds: u64,
    #[serde(default = "default_stop_early")]
    stop_early: bool,
    world: Table,
    operator: Table,
    #[serde(rename = "variant")]
    variants: Vec<VariantSection>,
    /// Ranges of values of the world that a search may vary, by path.
    #[serde(default)]
    ranges: BTreeMap<String, (f64, f64)>,
    #[serde(default)]
    search: Search,
}

/// Faults that a search may inject.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Search {
    #[serde(default)]
    faults: Vec<What>,
    #[serde(default = "default_max_faults")]
    most: usize,
}

fn default_max_faults() -> usize {
    3
}

fn default_figure() -> Figure {
    Figure::Goodput
}

fn default_seeds() -> u64 {
    20
}

fn default_stop_early() -> bool {
    true
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct VariantSection {
    name: String,
    /// Changed values of the world, by path.
    #[serde(default)]
    world: Table,
    /// Changed values of the operator's file, by path.
    #[serde(default)]
    operator: Table,
}

/// Bounds that the first variant's mean of the deciding figure must keep, with its whole confidence interval.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Promise {
    /// Lower bound.
    pub at_least: Option<f64>,
    /// Upper bound.
    pub at_most: Option<f64>,
}

/// A validated variant, ready to be played.
pub struct Variant {
    /// Name.
    pub name: String,
    /// World.
    pub world: World,
    /// The world and the operator's file as text: everything a run depends on, apart from its seed.
    pub text: String,
    /// Operator's file as text.
    pub file: String,
}

/// Range of a value of the world that a search may vary.
#[derive(Clone, Debug, PartialEq)]
pub struct Range {
    /// Path of the value, such as `clients.0.rate`.
    pub path: String,
    /// Lowest value.
    pub low: f64,
    /// Highest value.
    pub high: f64,
    /// The value is an integer in the file.
    is_integer: bool,
}

/// A validated experiment.
pub struct Spec {
    /// The question it answers.
    pub question: String,
    /// Figure by which variants are compared.
    pub figure: Figure,
    /// Bounds that the first variant must keep.
    pub promise: Option<Promise>,
    /// Number of runs of each variant.
    pub seeds: u64,
    /// Whether to stop before all runs once the result is clear.
    pub stop_early: bool,
    /// Variants; each of the others is compared with the first.
    pub variants: Vec<Variant>,
    /// Ranges that a search may vary.
    pub ranges: Vec<Range>,
    /// Kinds of faults that a search may inject.
    pub faults: Vec<What>,
    /// Maximum number of injected faults.
    pub max_faults: usize,
    /// World and operator's file of the first variant.
    first_tables: (Table, Table),
}

/// Sets a value by its path, such as `clients.0.retries`. Fails if a parent of the value does not exist.
fn set(table: &mut Table, path: &str, value: &Value) -> Result<(), String> {
    let mut steps = path.split('.').peekable();
    let mut place = match steps.next() {
        Some(step) if steps.peek().is_none() => {
            table.insert(step.to_owned(), value.clone());
            return Ok(());
        }
        Some(step) => table.get_mut(step).ok_or_else(|| format!("{path}: there is no {step}"))?,
        None => return Err("an empty path".to_owned()),
    };
    while let Some(step) = steps.next() {
        let last = steps.peek().is_none();
        match place {
            Value::Table(t) if last => {
                t.insert(step.to_owned(), value.clone());
                return Ok(());
            }
            Value::Table(t) => {
                place = t.get_mut(step).ok_or_else(|| format!("{path}: there is no {step}"))?
            }
            Value::Array(a) => {
                let at = step.parse::<usize>().ok().and_then(|n| a.get_mut(n));
                place = at.ok_or_else(|| format!("{path}: there is no number {step}"))?;
                if last {
                    *place = value.clone();
                    return Ok(());
                }
            }
            _ => return Err(format!("{path}: {step} is inside a value")),
        }
    }
    Err(format!("{path}: nothing to set"))
}

/// Gets a value by its path.
fn get<'t>(table: &'t Table, path: &str) -> Option<&'t Value> {
    let mut steps = path.split('.');
    let mut place = table.get(steps.next()?)?;
    for step in steps {
        place = match place {
            Value::Table(t) => t.get(step)?,
            Value::Array(a) => a.get(step.parse::<usize>().ok()?)?,
            _ => return None,
        };
    }
    Some(place)
}

/// Builds a variant from its tables and checks that it can be played.
fn build_variant(name: &str, world: &Table, operator: &Table) -> Result<Variant, String> {
    let file = operator.to_string();
    let text = format!("{world}\n{file}");
    let world: World = Value::Table(world.clone()).try_into().map_err(|e| format!("world: {e}"))?;
    Floor::new(&world, &file).map_err(|e| e.to_string())?;
    Ok(Variant { name: name.to_owned(), world, text, file })
}

impl Range {
    /// A number of the type that the file has at this path.
    fn value(&self, n: f64) -> Value {
        if self.is_integer { Value::Integer(n.round() as i64) } else { Value::Float(n) }
    }
}

impl Spec {
    /// The first variant with changed values in its world.
    ///
    /// # Errors
    /// The resulting variant cannot be played.
    pub fn with_values(&self, values: &[(&Range, f64)]) -> Result<Variant, String> {
        let (mut world, operator) = self.first_tables.clone();
        for (range, n) in values {
            set(&mut world, &range.path, &range.value(*n))?;
        }
        build_variant("a day", &world, &operator)
    }

    /// Reads the file of an experiment.
    ///
    /// # Errors
    /// The file cannot be read or is invalid.
    pub fn read(path: &Path) -> Result<Spec, SpecError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| SpecError::Unreadable(name.clone(), e))?;
        Spec::parse(&name, &text)
    }

    /// Parses the text of an experiment; `name` is used in error messages.
    ///
    /// # Errors
    /// The text is invalid.
    pub fn parse(name: &str, text: &str) -> Result<Spec, SpecError> {
        let file: SpecFile = toml::from_str(text).map_err(|e| SpecError::Malformed(name.to_owned(), e))?;
        let (mut errors, mut variants, mut tables) = (Vec::new(), Vec::new(), Vec::new());
        if !(2..=100_000).contains(&file.seeds) {
            errors.push(format!("seeds: {}: 2 to 100000", file.seeds));
        }
        if file.variants.is_empty() {
            errors.push("variant: at least one".to_owned());
        }
        for v in &file.variants {
            let (mut world, mut operator) = (file.world.clone(), file.operator.clone());
            let mut add_error = |reason: String| errors.push(format!("variant {:?}: {reason}", v.name));
            for (table, values, what) in
                [(&mut world, &v.world, "world"), (&mut operator, &v.operator, "operator")]
            {
                for (path, value) in values {
                    if let Err(reason) = set(table, path, value) {
                        add_error(format!("{what}: {reason}"));
                    }
                }
            }
            match build_variant(&v.name, &world, &operator) {
                Ok(variant) => variants.push(variant),
                Err(reason) => add_error(reason),
            }
            tables.push((world, operator));
        }
        let mut names: Vec<&str> = file.variants.iter().map(|v| v.name.as_str()).collect();
        names.sort_unstable();
        names.dedup();
        if names.len() < file.variants.len() {
            errors.push("variant: two have one name".to_owned());
        }
        let mut ranges = Vec::new();
        for (path, (low, high)) in file.ranges {
            let mut world = file.world.clone();
            let current = get(&world, &path).cloned();
            let is_integer = matches!(current, Some(Value::Integer(_)));
            if !(low.is_finite() && high.is_finite() && low < high) {
                errors.push(format!("ranges: {path}: {low} to {high}: two ends, the least first"));
            } else if !is_integer && !matches!(current, Some(Value::Float(_))) {
                errors.push(format!("ranges: {path}: the world has no number there"));
            } else {
                let range = Range { path, low, high, is_integer };
                for end in [low, high] {
                    let set = set(&mut world, &range.path, &range.value(end));
                    let result = set.and_then(|()| build_variant("", &world, &file.operator).map(|_| ()));
                    if let Err(reason) = result {
                        errors.push(format!("ranges: {}: {end}: {reason}", range.path));
                    }
                }
                ranges.push(range);
            }
        }
        if !errors.is_empty() {
            return Err(SpecError::Invalid(name.to_owned(), errors));
        }
        Ok(Spec {
            ranges,
            faults: file.search.faults,
            max_faults: file.search.most,
            first_tables: tables.into_iter().next().unwrap_or_default(),
            question: file.question,
            figure: file.figure,
            promise: file.promise,
            seeds: file.seeds,
            stop_early: file.stop_early,
            variants,
        })
    }
}
