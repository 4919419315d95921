//! Checks classes and pools on their own for missing, contradictory and duplicate values.

use super::Check;
use crate::PLATFORM_POOL;
use crate::effective::format_ms;
use crate::model::Effect;

impl Check<'_> {
    pub(super) fn check_classes(&mut self) {
        let file = self.file;
        for c in &file.classes {
            let field = |name: &str| format!("class {:?}: {name}", c.name.value);
            let keyed = c.effect.as_ref().is_some_and(|e| e.value == Effect::Keyed);
            if c.effect.is_none() {
                let right = "effect = \"safe\", \"keyed\" or \"unsafe\"";
                self.error("missing", c.name.at, field("effect"), "no effect", right);
            }
            if c.patience_ms.is_none() {
                self.error(
                    "missing",
                    c.name.at,
                    field("patience"),
                    "no patience",
                    "such as patience = \"900ms\"",
                );
            }
            if keyed && c.dropped_for_ms.is_none() {
                let right = "how long servers drop repeats, such as \"5s\"";
                self.error(
                    "missing",
                    c.name.at,
                    field("repeats_dropped_for"),
                    "a keyed class without it",
                    right,
                );
            }
            if keyed && c.dropped_by.is_none() {
                let right = "which servers drop a repeat together: \"pool\", \"zone\" or \"cell\"";
                self.error(
                    "missing",
                    c.name.at,
                    field("repeats_dropped_by"),
                    "a keyed class without it",
                    right,
                );
            }
            for (name, at) in [
                ("repeats_dropped_by", c.dropped_by.as_ref().map(|d| d.at)),
                ("repeats_dropped_for", c.dropped_for_ms.as_ref().map(|d| d.at)),
            ] {
                if let (Some(at), Some(effect)) = (at, &c.effect)
                    && effect.value != Effect::Keyed
                {
                    self.warn(
                        "idle-value",
                        at,
                        field(name),
                        "only keyed classes have repeats that are dropped",
                        "remove it",
                    );
                }
            }
            if let (Some(objective), Some(patience)) = (&c.objective_ms, &c.patience_ms)
                && objective.value > patience.value
            {
                let found = format!(
                    "{}, with a patience of {} (line {})",
                    format_ms(objective.value),
                    format_ms(patience.value),
                    patience.at.line
                );
                self.error(
                    "aim-patience",
                    objective.at,
                    field("aim"),
                    found,
                    format!("at most {}", format_ms(patience.value)),
                );
            }
        }
    }

    pub(super) fn check_pools(&mut self) {
        let file = self.file;
        for pool in &file.pools {
            let title = format!("pool {:?}", pool.name.value);
            if self.platform.is_some() && pool.name.value == PLATFORM_POOL {
                self.error(
                    "platform-owns",
                    pool.name.at,
                    &*title,
                    "the platform's own pool has this name",
                    "another name",
                );
            }
            match (&pool.discovery, pool.servers.is_empty()) {
                (None, true) => {
                    let right = "servers = [{ address = \"127.0.0.1:9000\" }], or discovery";
                    self.error("missing", pool.name.at, &*title, "neither servers nor discovery", right);
                }
                (Some(d), false) => {
                    self.error(
                        "both",
                        d.at,
                        format!("{title}: discovery"),
                        "both servers and discovery",
                        "one of them",
                    );
                }
                _ => {}
            }
            let field = format!("{title}: servers");
            let named_servers = pool.servers.iter().filter(|s| s.name.value != s.address.value.to_string());
            self.check_unique(
                &field,
                named_servers.map(|s| (s.name.value.as_str(), s.name.value.as_str(), s.name.at)),
            );
            self.check_unique(
                &field,
                pool.servers.iter().map(|s| (s.address.value, s.name.value.as_str(), s.address.at)),
            );
            let with_zone = pool.servers.iter().filter(|s| s.zone.is_some()).count();
            if with_zone > 0 && with_zone < pool.servers.len() {
                let found = format!(
                    "{} of {} servers have no zone",
                    pool.servers.len() - with_zone,
                    pool.servers.len()
                );
                self.warn("zones", pool.name.at, field, found, "a zone for each, or for none");
            }
        }
    }
}
