//! Rules for the values of a route: unsafe requests are executed at most once, keyed requests are not sent
//! again after their servers have forgotten them, and every course of a request ends before its client gives
//! up.

use super::Check;
use crate::effective::{Effective, MARGIN_MS, MAX_BUFFERED_BODY_BYTES, ResolvedValue, format_ms};
use crate::model::{DroppedBy, Effect, Listener, Mode, Retry, Route, Server, Source};
use crate::report::Finding;

/// Methods that are defined as safe (RFC 9110, 9.2.1).
const SAFE_METHODS: [&str; 4] = ["GET", "HEAD", "OPTIONS", "TRACE"];
/// Methods whose requests usually change state.
const CHANGING_METHODS: [&str; 2] = ["POST", "PATCH"];

impl Check<'_> {
    /// Checks retries and second copies against the effect of the class.
    pub(super) fn check_resends(&mut self, r: &Route, e: &Effective) {
        let Some(class) = self.class(e) else { return };
        let Some(effect) = class.effect.clone() else { return };
        let (class_name, class_line) = (class.name.value.clone(), class.name.at.line);
        let (dropped_by, dropped_for_ms) = (class.dropped_by.clone(), class.dropped_for_ms.clone());
        let field = |name: &str| format!("route {:?}: {name}", r.name.value);
        let origin_notes = |origin: String| {
            vec![
                format!("set in {origin}; reaches the route in line {}", r.name.at.line),
                format!(
                    "class {class_name:?} (line {class_line}) is {}",
                    format!("{:?}", effect.value).to_lowercase()
                ),
            ]
        };
        let retry_possibly_executed = e.retry.value == Retry::MayHaveRun;
        if effect.value == Effect::Unsafe {
            if retry_possibly_executed {
                let right = "retry = \"never-ran\" or \"none\" in the route";
                self.report.findings.push(
                    Finding::error(
                        "resend-unsafe",
                        e.retry.at,
                        field("retry"),
                        "\"may-have-run\", for requests that must never run twice",
                        right,
                    )
                    .with_notes(origin_notes(e.retry.origin())),
                );
            }
            if let Some(delay) = e.second_copy_ms.value {
                let right = "second_copy_after = \"off\" in the route";
                self.report.findings.push(
                    Finding::error(
                        "copy-unsafe",
                        e.second_copy_ms.at,
                        field("second_copy_after"),
                        format!("{}, for requests that must never run twice", format_ms(delay)),
                        right,
                    )
                    .with_notes(origin_notes(e.second_copy_ms.origin())),
                );
            }
            return;
        }
        if let Some(delay) = e.second_copy_ms.value {
            if !retry_possibly_executed {
                let found = format!(
                    "{}, but retry is {:?} ({})",
                    format_ms(delay),
                    e.retry.value.keyword(),
                    e.retry.origin()
                );
                let right = "retry = \"may-have-run\": the first attempt may be running; or \"off\"";
                self.report.findings.push(
                    Finding::error(
                        "copy-retry",
                        e.second_copy_ms.at,
                        field("second_copy_after"),
                        found,
                        right,
                    )
                    .with_notes(origin_notes(e.second_copy_ms.origin())),
                );
            }
            let limit = e.attempt_timeout_ms.value.unwrap_or(e.deadline_ms.value);
            if delay >= limit || e.attempts.value < 2 {
                let found = format!(
                    "{}, with attempts of {} at most and {} of them",
                    format_ms(delay),
                    format_ms(limit),
                    e.attempts.value
                );
                self.warn(
                    "idle-value",
                    e.second_copy_ms.at,
                    field("second_copy_after"),
                    found,
                    "less than an attempt, and two attempts or more",
                );
            }
        }
        if effect.value != Effect::Keyed || !retry_possibly_executed || e.max_attempts() < 2 {
            return;
        }
        if let Some(dropped_for_ms) = dropped_for_ms
            && e.latest_send_ms() >= dropped_for_ms.value
        {
            let found = format!(
                "the last attempt may be sent {} after the first, and repeats are dropped for {} (line {})",
                format_ms(e.latest_send_ms()),
                format_ms(dropped_for_ms.value),
                dropped_for_ms.at.line
            );
            let mut notes = vec![format!("{} attempts ({})", e.attempts.value, e.attempts.origin())];
            notes.push(match e.attempt_timeout_ms.value {
                Some(limit) => format!("of {} each ({})", format_ms(limit), e.attempt_timeout_ms.origin()),
                None => format!(
                    "with no attempt_timeout, by the deadline of {} ({})",
                    format_ms(e.deadline_ms.value),
                    e.deadline_ms.origin()
                ),
            });
            let right = format!(
                "fewer or shorter attempts: the last one sent before {}",
                format_ms(dropped_for_ms.value)
            );
            self.report.findings.push(
                Finding::error("keyed-memory", e.retry.at, field("retry"), found, right).with_notes(notes),
            );
        }
        let scope = match dropped_by.map(|d| d.value) {
            Some(DroppedBy::Zone) => "zone",
            Some(DroppedBy::Cell) => "cell",
            _ => return,
        };
        // The balancer sends nothing again between servers whose zone or cell it does not know.
        let without_scope = e.pool.as_ref().and_then(|p| self.pool(&p.value)).and_then(|p| {
            let has_none = |s: &&Server| if scope == "zone" { s.zone.is_none() } else { s.cell.is_none() };
            let servers: Vec<&Server> = p.servers.iter().filter(has_none).collect();
            Some((p.name.value.clone(), servers.len(), servers.first()?.name.clone()))
        });
        if let Some((pool, count, server)) = without_scope.filter(|(_, count, _)| *count > 1) {
            let found = format!(
                "repeats are dropped within a {scope}, and {count} servers of pool {pool:?} have none ({:?}, line {}): a \
                 repeat could leave it",
                server.value, server.at.line
            );
            let right = format!("a {scope} for each server, or retry = \"never-ran\"");
            let finding = Finding::error("keyed-group", e.retry.at, field("retry"), found, right);
            self.report.findings.push(finding.with_notes(origin_notes(e.retry.origin())));
        }
    }

    /// Checks that every possible course of a request ends before its client gives up.
    pub(super) fn check_times(&mut self, r: &Route, e: &Effective) {
        let field = |name: &str| format!("route {:?}: {name}", r.name.value);
        if e.body_limit.value > MAX_BUFFERED_BODY_BYTES && e.streams.body.value == Mode::Whole {
            let found = format!("{} bytes ({})", e.body_limit.value, e.body_limit.origin());
            let right = "at most \"64KiB\", or body = \"stream\"";
            self.error("range", e.body_limit.at, field("body_limit"), found, right);
        }
        let Some(patience) = self.class(e).and_then(|c| c.patience_ms.clone()) else { return };
        let deadline_ms = e.deadline_ms.value;
        if deadline_ms > patience.value {
            let found = format!(
                "{} ({}), and clients wait {} (line {})",
                format_ms(deadline_ms),
                e.deadline_ms.origin(),
                format_ms(patience.value),
                patience.at.line
            );
            self.error(
                "deadline-patience",
                e.deadline_ms.at,
                field("deadline"),
                found,
                format!("at most {}", format_ms(patience.value)),
            );
        }
        if deadline_ms <= MARGIN_MS {
            let found = format!("{} ({})", format_ms(deadline_ms), e.deadline_ms.origin());
            self.error(
                "range",
                e.deadline_ms.at,
                field("deadline"),
                found,
                format!("more than the margin of {}", format_ms(MARGIN_MS)),
            );
        }
        let Some(limit) = e.attempt_timeout_ms.value else { return };
        let course = e.longest_course(self.file.node.connect_timeout_ms);
        let total_ms: f64 = course.iter().map(|step| step.max_ms).sum();
        let available_ms = deadline_ms.min(patience.value);
        if total_ms > available_ms {
            let mut notes = vec![format!(
                "{} attempts ({}), each {} at most ({})",
                e.max_attempts(),
                e.attempts.origin(),
                format_ms(limit),
                e.attempt_timeout_ms.origin()
            )];
            notes.extend(
                course.iter().map(|step| format!("{:>8}  {}", format_ms(step.max_ms), step.description)),
            );
            notes.push(format!("{:>8}  together", format_ms(total_ms)));
            let found = format!(
                "together {}, and {} are left to a request",
                format_ms(total_ms),
                format_ms(available_ms)
            );
            let max_attempt_ms = (available_ms - MARGIN_MS) / f64::from(e.max_attempts());
            let right = format!(
                "attempts of at most {}, or fewer of them",
                format_ms(max_attempt_ms.floor().max(1.0))
            );
            self.report.findings.push(
                Finding::error("too-long", e.attempt_timeout_ms.at, field("attempt_timeout"), found, right)
                    .with_notes(notes),
            );
        }
    }

    /// Checks that the methods of a route agree with the effect of its class.
    pub(super) fn check_methods(&mut self, r: &Route, e: &Effective) {
        let Some((name, effect)) =
            self.class(e).and_then(|c| Some((c.name.value.clone(), c.effect.as_ref()?.value)))
        else {
            return;
        };
        for method in &r.methods {
            let field = format!("route {:?}: method", r.name.value);
            let effect_name = format!("{effect:?}").to_lowercase();
            let found = format!("{:?}, and class {name:?} is {effect_name}", method.value);
            if effect != Effect::Safe && SAFE_METHODS.contains(&method.value.as_str()) {
                let right = "a method that may change something, or a safe class: clients and caches resend this one on their own";
                self.error("method-effect", method.at, field, found, right);
            } else if effect == Effect::Safe && CHANGING_METHODS.contains(&method.value.as_str()) {
                self.warn(
                    "method-effect",
                    method.at,
                    field,
                    found,
                    "intended? It may be executed several times",
                );
            }
        }
    }

    /// Checks that a request can carry its class, tenant, key and patience where the route expects them.
    pub(super) fn check_sources(&mut self, r: &Route, e: &Effective) {
        for (name, source) in [
            ("class_from", &e.class_from),
            ("tenant", &e.tenant),
            ("key", &e.key),
            ("patience_from", &e.patience_from),
        ] {
            let Some(source) = source else { continue };
            let field = format!("route {:?}: {name}", r.name.value);
            if let (Source::Segment(n), Some(path)) = (&source.value, &r.path) {
                let segments = path.value.split('/').skip(1).count();
                if *n > segments {
                    let found = format!(
                        "segment {n} of {:?}, which has {segments} ({})",
                        path.value,
                        source.origin()
                    );
                    self.error("segment", source.at, field.clone(), found, format!("1 to {segments}"));
                }
            }
            if matches!(source.value, Source::Value(_)) && name == "class_from" {
                let found = format!("a fixed value ({})", source.origin());
                self.error(
                    "kind",
                    source.at,
                    field.clone(),
                    found,
                    "class = \"NAME\", or a header or a segment",
                );
            }
            if let Source::Value(text) = &source.value
                && name == "patience_from"
                && !text.parse::<u32>().is_ok_and(|ms| ms > 0)
            {
                let found = format!("{text:?} ({})", source.origin());
                self.error("kind", source.at, field.clone(), found, "whole milliseconds, such as \"900\"");
            }
            if matches!(source.value, Source::Certificate(_)) {
                self.check_certificate_source(name, source, &field);
            }
            if let Source::Value(text) = &source.value
                && name == "tenant"
                && self.platform.is_none()
                && !self.file.tenants.iter().any(|t| t.name.value == *text)
            {
                let found = format!("no tenant {text:?} ({})", source.origin());
                self.error(
                    "unknown-name",
                    source.at,
                    field,
                    found,
                    format!("a [tenant.{text}], or another name"),
                );
            }
        }
    }

    /// Checks a value that is read from the client's certificate.
    fn check_certificate_source(&mut self, name: &str, source: &ResolvedValue<Source>, field: &str) {
        let found = |what: &str| format!("{what} ({})", source.origin());
        if !matches!(name, "tenant" | "key") {
            let right = "a header, or a segment; a certificate says who asks, and not what";
            self.error("kind", source.at, field, found("a client's certificate"), right);
        }
        let asks_for_certificate = |l: &Listener| l.callers().is_some();
        let listeners = &self.file.listeners;
        if !listeners.iter().any(asks_for_certificate) {
            let right = "client_ca = \"FILE\" in a [[listener]] with tls = true";
            self.error("certificate", source.at, field, found("no listener asks clients for one"), right);
        } else if let Some(optional) =
            listeners.iter().find(|l| l.callers().is_none_or(|(_, required)| !required))
        {
            let what = format!("a client of listener {:?} may have presented none", optional.name.value);
            self.warn("certificate", source.at, field, found(&what), "intended? It has no such name then");
        }
    }
}
