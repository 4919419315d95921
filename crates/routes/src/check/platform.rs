//! Checks a file that is loaded in addition to the platform's configuration: it adds routes and may be
//! stricter than the platform, but not less strict.

use super::Check;
use crate::effective::{Effective, Origin, format_ms};
use crate::model::{Effect, Retry, Route};
use crate::report::SourceLocation;

/// Requests below this path are the platform's.
const PLATFORM_PATH: &str = "/api";

impl Check<'_> {
    /// Checks the classes that both the file and the platform define.
    pub(super) fn check_platform_classes(&mut self) {
        let (file, Some(platform)) = (self.file, self.platform) else { return };
        for c in &file.classes {
            let field = |name: &str| format!("class {:?}: {name}", c.name.value);
            let platform_class = platform.classes.iter().find(|t| t.name == c.name.value);
            let Some(platform_class) = platform_class.filter(|_| c.name.at != SourceLocation::default())
            else {
                continue;
            };
            if let Some(effect) = &c.effect
                && effect.value != platform_class.effect
                && effect.value != Effect::Unsafe
            {
                let found =
                    format!("{:?}, where the platform says {:?}", effect.value, platform_class.effect)
                        .to_lowercase();
                self.error(
                    "platform-class",
                    effect.at,
                    field("effect"),
                    found,
                    "the platform's, or \"unsafe\"",
                );
            }
            if let Some(patience) = &c.patience_ms
                && patience.value > platform_class.patience_ms
            {
                let found = format!(
                    "{}, where the platform says {}",
                    format_ms(patience.value),
                    format_ms(platform_class.patience_ms)
                );
                self.error(
                    "platform-deadline",
                    patience.at,
                    field("patience"),
                    found,
                    format!("at most {}", format_ms(platform_class.patience_ms)),
                );
            }
            if let Some(dropped_for_ms) = &c.dropped_for_ms
                && platform_class.effect == Effect::Keyed
                && dropped_for_ms.value > platform_class.dropped_for_ms
            {
                let found = format!(
                    "{}, where the platform says {}",
                    format_ms(dropped_for_ms.value),
                    format_ms(platform_class.dropped_for_ms)
                );
                self.error(
                    "platform-class",
                    dropped_for_ms.at,
                    field("repeats_dropped_for"),
                    found,
                    format!("at most {}", format_ms(platform_class.dropped_for_ms)),
                );
            }
            if let Some(dropped_by) = &c.dropped_by
                && platform_class.effect == Effect::Keyed
                && dropped_by.value != platform_class.dropped_by
            {
                let found = format!(
                    "{:?}, where the platform says {:?}",
                    dropped_by.value, platform_class.dropped_by
                )
                .to_lowercase();
                self.error(
                    "platform-class",
                    dropped_by.at,
                    field("repeats_dropped_by"),
                    found,
                    "the platform's",
                );
            }
        }
    }

    /// Checks a route against the limits of the platform.
    pub(super) fn check_platform_route(&mut self, r: &Route, e: &Effective) {
        let Some(platform) = self.platform else { return };
        let field = |name: &str| format!("route {:?}: {name}", r.name.value);
        for path in [&r.path, &r.prefix].into_iter().flatten() {
            let is_below =
                path.value.strip_prefix(PLATFORM_PATH).is_some_and(|p| p.is_empty() || p.starts_with('/'));
            if is_below {
                let found =
                    format!("{:?} is unreachable: the platform's own requests come there", path.value);
                self.error("platform-owns", path.at, field("path"), found, "another path");
            }
        }
        if e.attempts.value > platform.max_attempts
            && e.retry.value != Retry::None
            && e.attempts.from != Origin::BuiltIn
        {
            let found = format!(
                "{} ({}), and the platform allows {}",
                e.attempts.value,
                e.attempts.origin(),
                platform.max_attempts
            );
            self.error(
                "platform-limit",
                e.attempts.at,
                field("attempts"),
                found,
                format!("at most {}", platform.max_attempts),
            );
        }
        if e.second_copy_ms.value.is_some() && !platform.second_copies {
            let found =
                format!("a second copy ({}), and the platform allows none", e.second_copy_ms.origin());
            self.error("platform-limit", e.second_copy_ms.at, field("second_copy_after"), found, "\"off\"");
        }
        let max_patience_ms = platform.classes.iter().map(|c| c.patience_ms).fold(0.0, f64::max);
        if e.deadline_ms.value > max_patience_ms {
            let found = format!(
                "{} ({}), and the platform's longest is {}",
                format_ms(e.deadline_ms.value),
                e.deadline_ms.origin(),
                format_ms(max_patience_ms)
            );
            self.error(
                "platform-deadline",
                e.deadline_ms.at,
                field("deadline"),
                found,
                format!("at most {}", format_ms(max_patience_ms)),
            );
        }
    }
}
