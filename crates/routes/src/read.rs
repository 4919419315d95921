//! TOML to a [`File`]. Whatever cannot be read is reported and left out, and reading goes on: a file's mistakes
//! are told all at once.

mod fleet;
mod section;
mod tls;

pub(crate) use section::{distance, is_token};

use crate::fields;
use crate::model::{
    At, Blame, Class, DroppedBy, Effect, File, Group, Listener, Mode, Names, Node, Pool, Retry, Route,
    Server, StreamValues, Tenant, Values,
};
use crate::report::{Finding, Lines, Report, Spot};
use section::Section;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// A longer file is refused before it is read.
pub const LONGEST_FILE: u64 = 8 * 1024 * 1024;
/// Figures beyond these are a slip of the pen.
const LONGEST_MS: f64 = 600_000.0;
/// But a stream may take a night.
const LONGEST_STREAM_MS: f64 = 86_400_000.0;
const MOST: u64 = 1_000_000_000;
const LARGEST_SIZE: u64 = 1 << 40;

type Value<'i> = Spanned<DeValue<'i>>;

struct Reader {
    lines: Lines,
    report: Report,
}

/// Reads a file; the report has what was wrong with its form. What could be made of a broken file comes too: the
/// rest of it is checked all the same, and its mistakes are told in the same go.
pub(crate) fn read(text: &str, report: &mut Report) -> File {
    let lines = Lines::of(text);
    let (document, errors) = DeTable::parse_recoverable(text);
    for error in errors {
        let at = lines.spot(error.span().map_or(0, |s| s.start));
        let found = error.message().lines().next().unwrap_or_default().to_owned();
        let quotes = found.contains("quoted");
        let right = if quotes { "quotes round it, such as \"300ms\"" } else { "TOML, version 1.0 or 1.1" };
        report.findings.push(Finding::error("form", at, "file", found, right));
    }
    let mut reader = Reader { lines, report: std::mem::take(report) };
    let file = reader.file(document.get_ref());
    *report = reader.report;
    file
}

impl Reader {
    fn spot<T>(&self, value: &Spanned<T>) -> Spot {
        self.lines.spot(value.span().start)
    }

    fn error(
        &mut self,
        rule: &'static str,
        at: Spot,
        field: String,
        found: String,
        right: impl Into<String>,
    ) {
        self.report.findings.push(Finding::error(rule, at, field, found, right));
    }

    fn file(&mut self, table: &DeTable<'_>) -> File {
        let mut top = Section::new(self, table, String::new(), fields::TOP);
        let node = top.table("node", fields::NODE, |s| Node {
            name: s.text("name").map_or_else(|| "node".to_owned(), |n| n.value),
            zone: s.text("zone"),
            sockets: s.count("sockets", 32, 1 << 20).map_or(1024, |n| n.value),
            memory: s.size("memory", 16 << 20).map_or(192 << 20, |n| n.value),
            open_requests: s.count("open_requests", 1, 1 << 24).map_or(20_000, |n| n.value),
            retry_after: s.flag("retry_after").unwrap_or(true),
            retry_after_max_ms: s.duration("retry_after_max").map_or(2_000.0, |d| d.value),
            connect_timeout_ms: s.duration("connect_timeout").map_or(300.0, |d| d.value),
            idle_timeout_ms: s.duration("idle_timeout").map_or(15_000.0, |d| d.value),
            streams: s.count("streams", 1, 1 << 20).map_or(256, |n| n.value),
            stream_memory: s.size("stream_memory", 1).map_or(0, |n| n.value),
            stream_stop_ms: s.duration("stream_stop").map_or(10_000.0, |d| d.value),
            admin: s.text("admin").map(|t| t.value),
            lock: s.text("lock").map(|t| t.value),
            hand_over: s.text("hand_over").map(|t| t.value),
        });
        // An eighth, where none is said.
        let node =
            if node.stream_memory == 0 { Node { stream_memory: node.memory / 8, ..node } } else { node };
        let fleet = top.table("fleet", fields::FLEET, |s| s.fleet());
        let seen = if top.has("view") { top.table("view", fields::VIEW, |s| s.seen()) } else { None };
        let blame = top.table("blame", fields::BLAME, |s| {
            let first = s.duration("first_pause");
            let longest = s.duration("longest_pause");
            let (first_pause_ms, longest_pause_ms) =
                (first.as_ref().map_or(500.0, |d| d.value), longest.as_ref().map_or(10_000.0, |d| d.value));
            if let Some(late) = longest.or(first).filter(|_| longest_pause_ms < first_pause_ms) {
                let found = format!("{longest_pause_ms} ms, under the first pause of {first_pause_ms} ms");
                s.reader.error(
                    "pause",
                    late.at,
                    "blame.longest_pause".into(),
                    found,
                    "at least first_pause",
                );
            }
            Blame {
                on: s.flag("on").unwrap_or(true),
                hold_at: s.number("hold_at", 0.3, 1.0).unwrap_or(0.5),
                memory_ms: s.duration("memory").map_or(10_000.0, |d| d.value),
                trial_part: s.number("trial_part", 0.0, 0.2).unwrap_or(0.02),
                trials: s.number("trials", 0.1, 100.0).unwrap_or(2.0),
                first_pause_ms,
                longest_pause_ms,
            }
        });
        let listeners = top.tables("listener", fields::LISTENER, |s, at| {
            let name = s.text("name");
            let address = s.address("address", true);
            s.choice("kind", &["http"]);
            let tls = s.flag_at("tls");
            let client_ca = s.text("client_ca");
            let client_required = s.choice("client_certificate", fields::CLIENTS);
            let client_required = client_required.map(|(n, at)| At { value: n == 0, at });
            let address = address?;
            let name = name.unwrap_or_else(|| At { value: address.value.to_string(), at });
            Some(Listener { name, address, tls, client_ca, client_required })
        });
        let tls = top.table("tls", fields::TLS, |s| s.tls());
        let certificates = top.named("certificate", fields::CERTIFICATE, |s, name| s.certificate(name));
        let authorities = top.named("authority", fields::AUTHORITY, |s, name| s.authority(name));
        let pools = top.named("pool", fields::POOL, |s, name| {
            let servers = s.tables("servers", fields::SERVER, |s, at| {
                let name = s.text("name");
                let address = s.address("address", true);
                let zone = s.text("zone");
                let cell = s.count("cell", 0, u32::MAX);
                let weight = s.number("weight", 1e-3, 1e6).unwrap_or(1.0);
                let address = address?;
                let name = name.unwrap_or_else(|| At { value: address.value.to_string(), at });
                let warm = s.flag("warm").unwrap_or(false);
                Some(Server { name, address, zone, cell, weight, warm })
            });
            let discovery = s.address("discovery", false);
            let acts_on_part = s.choice("acts_on", fields::ACTS_ON).is_none_or(|(n, _)| n == 0);
            Pool { name, servers, discovery, acts_on_part }
        });
        let tenants = top.named("tenant", fields::TENANT, |s, name| Tenant {
            name,
            rate: s.number("rate", 0.001, 1e9).unwrap_or(0.0),
        });
        let defaults = top.table("defaults", fields::DEFAULTS, |s| s.values());
        let classes = top.named("class", fields::CLASS, |s, name| Class {
            name,
            effect: s.choice("effect", fields::EFFECTS).map(|(n, at)| At {
                value: [Effect::Safe, Effect::Keyed, Effect::Unsafe]
                    .get(n)
                    .copied()
                    .unwrap_or(Effect::Unsafe),
                at,
            }),
            patience_ms: s.duration("patience"),
            aim_ms: s.duration("aim"),
            worth: s.number_at("worth", 0.0, 1e6),
            dropped_by: s.choice("repeats_dropped_by", fields::GROUPS).map(|(n, at)| {
                let groups = [DroppedBy::Pool, DroppedBy::Zone, DroppedBy::Cell];
                At { value: groups.get(n).copied().unwrap_or(DroppedBy::Cell), at }
            }),
            dropped_for_ms: s.duration("repeats_dropped_for"),
            values: s.values(),
        });
        let groups = top.named("group", fields::GROUP, |s, name| Group {
            name,
            names: s.names(),
            values: s.values(),
        });
        let routes = top.tables("route", fields::ROUTE, |s, at| {
            let name = s.text("name").unwrap_or(At { value: format!("line {}", at.line), at });
            s.title = format!("route {:?}", name.value);
            Some(Route {
                name,
                group: s.text("group"),
                host: s.text("host"),
                path: s.text("path"),
                prefix: s.text("prefix"),
                methods: s.texts("method"),
                headers: s.pairs("header"),
                names: s.names(),
                values: s.values(),
            })
        });
        let sections =
            table.keys().map(|k| At { value: k.get_ref().to_string(), at: self.spot(k) }).collect();
        File {
            sections,
            node,
            fleet,
            seen,
            blame,
            listeners,
            tls,
            certificates,
            authorities,
            pools,
            tenants,
            defaults,
            classes,
            groups,
            routes,
        }
    }
}

impl Section<'_, '_> {
    fn values(&mut self) -> Values {
        let retry = self.choice("retry", fields::RETRY).map(|(n, at)| {
            let all = [Retry::None, Retry::NeverRan, Retry::MayHaveRun];
            At { value: all.get(n).copied().unwrap_or(Retry::None), at }
        });
        Values {
            attempts: self.count("attempts", 1, 16),
            attempt_timeout_ms: self.duration_or_off("attempt_timeout"),
            deadline_ms: self.duration("deadline"),
            retry,
            second_copy_ms: self.duration_or_off("second_copy_after"),
            body_limit: self.size("body_limit", 1),
            streams: StreamValues {
                body: self.mode("body"),
                answer: self.mode("answer"),
                answer_limit: self.size("answer_limit", 1),
                hold: self.size("hold", 1),
                replay: self.size("replay", 1),
                pace: self.size("pace", 1),
                pace_window_ms: self.duration("pace_window"),
                time_ms: self.duration_up_to("stream_time", LONGEST_STREAM_MS),
            },
        }
    }

    fn mode(&mut self, name: &str) -> Option<At<Mode>> {
        let (n, at) = self.choice(name, fields::MODES)?;
        Some(At { value: if n == 1 { Mode::Stream } else { Mode::Whole }, at })
    }

    fn names(&mut self) -> Names {
        Names {
            class: self.text("class"),
            class_from: self.source("class_from"),
            pool: self.text("pool"),
            tenant: self.source("tenant"),
            key: self.source("key"),
            patience_from: self.source("patience_from"),
        }
    }
}
