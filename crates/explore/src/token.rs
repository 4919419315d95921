//! A token that identifies an ordering for replay: the scenario's name and the index of the event taken
//! among the enabled ones at each step.

use crate::scenario::{self, Scenario};
use std::fmt;

/// An ordering of a scenario.
#[derive(Clone, Debug)]
pub struct Token {
    /// The scenario.
    pub scenario: Scenario,
    /// The index of the event taken among the enabled ones, at each step.
    pub path: Vec<u16>,
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path: Vec<String> = self.path.iter().map(u16::to_string).collect();
        write!(f, "{}", self.scenario.name)?;
        if self.scenario.time_scale != 1 {
            write!(f, "@{}", self.scenario.time_scale)?;
        }
        write!(f, ":{}", path.join("."))
    }
}

impl std::str::FromStr for Token {
    type Err = String;

    fn from_str(text: &str) -> Result<Token, String> {
        let (name, path) = text
            .split_once(':')
            .ok_or_else(|| format!("'{text}' is not a token; expected the form SCENARIO:0.2.1"))?;
        let (name, time_scale) = match name.split_once('@') {
            Some((name, time_scale)) => {
                let parsed = time_scale.parse().ok().filter(|time_scale| (1..=100).contains(time_scale));
                (name, parsed.ok_or_else(|| format!("'@{time_scale}': the time scale must be 1 to 100"))?)
            }
            None => (name, 1),
        };
        let all: Vec<Scenario> =
            scenario::all().into_iter().chain(scenario::streams()).chain(scenario::larger()).collect();
        let names: Vec<&str> = all.iter().map(|s| s.name).collect();
        let found = all.iter().find(|s| s.name == name);
        let scenario =
            found.ok_or_else(|| format!("unknown scenario '{name}'; known: {}", names.join(", ")))?;
        let step = |step: &str| step.parse().map_err(|_| format!("'{step}' is not a step number"));
        let path: Result<Vec<u16>, String> = path.split('.').filter(|s| !s.is_empty()).map(step).collect();
        Ok(Token { scenario: scenario.clone().with_time_scale(time_scale), path: path? })
    }
}
