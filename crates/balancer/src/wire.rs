//! Codec between the simulator's line-based text protocol and the types of [`crate::interface`]. Also parses
//! settings from JSON and the load reports of answers.

use crate::interface::{
    Action, BackendId, Class, Discovery, Effect, Entry, Event, Goal, Group, Health, ListKind, Load,
    Outcome, Prices, Reporting, Request, RequestId, RouteValues, Settings, Tenant, Weights, ZoneId,
};
use serde_json::Value;
use std::collections::HashMap;
use std::fmt::Write;
use thiserror::Error;

/// Why a line or the settings could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WireError {
    /// A required field is missing.
    #[error("field {0}: missing")]
    MissingField(&'static str),
    /// A field has an invalid value.
    #[error("field {field}: {reason}")]
    InvalidField {
        /// Name of the field.
        field: String,
        /// What is wrong with the value.
        reason: String,
    },
    /// The name of the message is not known.
    #[error("unknown message {0:?}")]
    UnknownMessage(String),
}

fn invalid_field(field: &str, reason: impl Into<String>) -> WireError {
    WireError::InvalidField { field: field.to_owned(), reason: reason.into() }
}

/// Hash of a name that is the same on every node and in every build: FNV-1a followed by a mixing step.
pub fn stable_hash(text: &str) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in text.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash ^= hash >> 32;
    hash = hash.wrapping_mul(0xd6e8_feb8_6659_fd93);
    hash ^ (hash >> 32)
}

/// The zone with this name; none without one.
pub fn zone_id(name: &str) -> Option<ZoneId> {
    (!name.is_empty()).then(|| ZoneId(stable_hash(name)))
}

/// One parsed line: the message's name and its fields.
#[derive(Debug, Default)]
pub struct Line<'a> {
    /// Name of the message.
    pub name: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    /// Splits a line into its fields. The values of `config` and `text` extend to the end of the line.
    pub fn parse(line: &'a str) -> Result<Line<'a>, WireError> {
        let (name, mut rest) = line.split_once(' ').unwrap_or((line, ""));
        let mut fields = Vec::with_capacity(8);
        while !rest.is_empty() {
            let (field, value_and_rest) =
                rest.split_once('=').ok_or_else(|| invalid_field(rest, "no '='"))?;
            if field == "config" || field == "text" {
                fields.push((field, value_and_rest));
                break;
            }
            let (value, tail) = value_and_rest.split_once(' ').unwrap_or((value_and_rest, ""));
            fields.push((field, value));
            rest = tail;
        }
        Ok(Line { name, fields })
    }

    fn get(&self, field: &str) -> Option<&'a str> {
        self.fields.iter().find(|(name, _)| *name == field).map(|(_, value)| *value)
    }

    /// The value of a required field.
    pub fn required(&self, field: &'static str) -> Result<&'a str, WireError> {
        self.get(field).ok_or(WireError::MissingField(field))
    }

    /// The value of a required field that holds a whole number.
    pub fn integer(&self, field: &'static str) -> Result<u64, WireError> {
        self.required(field)?.parse().map_err(|_| invalid_field(field, "not a whole number"))
    }

    fn required_number(&self, field: &'static str) -> Result<f64, WireError> {
        self.optional_number(field)?.ok_or(WireError::MissingField(field))
    }

    fn optional_number(&self, field: &'static str) -> Result<Option<f64>, WireError> {
        let Some(text) = self.get(field) else { return Ok(None) };
        match text.parse::<f64>() {
            Ok(number) if number.is_finite() => Ok(Some(number)),
            _ => Err(invalid_field(field, "not a number")),
        }
    }

    fn flag(&self, field: &'static str) -> bool {
        self.get(field) == Some("1")
    }
}

/// Maps the names used in the protocol and the settings to the numbers used by one balancer.
#[derive(Debug)]
pub struct Names {
    classes: Vec<String>,
    tenants: Vec<String>,
    backends: HashMap<BackendId, String>,
}

impl Names {
    fn index(list: &[String], name: &str) -> Option<usize> {
        list.iter().position(|n| n == name)
    }

    /// Names of the classes in the order of the settings.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// Index of a class in the settings. An unknown name gives an index out of range, which is treated as the
    /// strictest class.
    pub fn class(&self, name: &str) -> usize {
        Names::index(&self.classes, name).unwrap_or(usize::MAX)
    }

    /// Index of a tenant in the settings.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        Names::index(&self.tenants, name)
    }

    fn backend_id(&mut self, name: &str) -> BackendId {
        let id = BackendId(stable_hash(name));
        self.backends.entry(id).or_insert_with(|| name.to_owned());
        id
    }

    /// Parses one `backend` line of a list.
    pub fn parse_entry(&mut self, line: &Line<'_>) -> Result<Entry, WireError> {
        let health = match line.required("health")? {
            "U" => Health::Up,
            "L" => Health::Draining,
            "D" => Health::Gone,
            other => return Err(invalid_field("health", format!("unknown value {other:?}"))),
        };
        Ok(Entry {
            backend: self.backend_id(line.required("backend")?),
            zone: line.get("locality").and_then(zone_id),
            cell: match line.get("pod") {
                Some(cell) => Some(cell.parse().map_err(|_| invalid_field("pod", "not a whole number"))?),
                None => None,
            },
            health,
            units: line.optional_number("units")?.unwrap_or(1.0),
            ready_at_ms: line.optional_number("readyAtMs")?.unwrap_or(0.0),
        })
    }

    /// Parses the line of any event but `provision`, `shutdown` and `update`, which the caller handles.
    pub fn parse_event(&mut self, line: &Line<'_>) -> Result<Event, WireError> {
        let id = || line.integer("requestId").map(RequestId);
        let attempt = || {
            line.integer("attempt")
                .and_then(|number| u32::try_from(number).map_err(|_| invalid_field("attempt", "too large")))
        };
        Ok(match line.name {
            "demand" => Event::Request(Request {
                id: id()?,
                class: self.class(line.required("priority")?),
                tenant: line.get("userGroup").and_then(|name| self.tenant(name)),
                key: line.get("nameKey").map(stable_hash),
                deadline_ms: line.required_number("deadlineMs")?,
                effort_ms: line.optional_number("effortMs")?,
                retry: line.flag("isRetry"),
                suspect: false,
            }),
            "result" => Event::AttemptEnded {
                id: id()?,
                attempt: attempt()?,
                backend: self.backend_id(line.required("backend")?),
                outcome: parse_outcome(line.required("disposition")?)?,
                last: line.flag("last"),
                whole: true,
                elapsed_ms: line.optional_number("elapsedMs")?.unwrap_or(0.0),
                load: parse_pressure(line)?,
            },
            "begun" => Event::AnswerStarted {
                id: id()?,
                attempt: attempt()?,
                backend: self.backend_id(line.required("backend")?),
                elapsed_ms: line.optional_number("elapsedMs")?.unwrap_or(0.0),
            },
            "left" => Event::ClientLeft(id()?),
            "alarm" => Event::Timer(line.integer("keyBack")?),
            "probed" => Event::ProbeEnded {
                backend: self.backend_id(line.required("backend")?),
                outcome: parse_outcome(line.required("disposition")?)?,
                elapsed_ms: line.optional_number("elapsedMs")?.unwrap_or(0.0),
                load: parse_pressure(line)?,
            },
            "inbox" => Event::Message {
                from: u32::try_from(line.integer("sender")?)
                    .map_err(|_| invalid_field("sender", "too large"))?,
                bytes: decode_hex(line.required("msg")?)?,
            },
            other => return Err(WireError::UnknownMessage(other.to_owned())),
        })
    }

    /// Appends an action as a line to `out`.
    pub fn write_action(&self, who: u64, action: &Action, out: &mut String) {
        let backend_name =
            |backend: &BackendId| self.backends.get(backend).map_or("unknown", String::as_str);
        // Writing to a String never fails.
        let _ = match action {
            Action::Send { id, backend, timeout_ms } => writeln!(
                out,
                "hand_off who={who} requestId={} giveUpAfterMs={timeout_ms:.3} backend={}",
                id.0,
                backend_name(backend)
            ),
            Action::Cancel { id, attempt } => {
                writeln!(out, "recall who={who} requestId={} attempt={attempt}", id.0)
            }
            Action::Refuse { id, retry_after_ms } => {
                writeln!(out, "decline who={who} requestId={} backoffMs={retry_after_ms:.3}", id.0)
            }
            Action::Fail(id) => writeln!(out, "drop_request who={who} requestId={}", id.0),
            Action::Timer { token, at_ms } => {
                writeln!(out, "wake_me who={who} keyBack={token} instantMs={at_ms:.3}")
            }
            Action::Probe(backend) => writeln!(out, "probe who={who} backend={}", backend_name(backend)),
            Action::CloseIdle(backend) => {
                writeln!(out, "release who={who} backend={}", backend_name(backend))
            }
            Action::SendMessage { to, bytes } => {
                let to = to.map_or_else(|| "all".to_owned(), |n| n.to_string());
                writeln!(out, "announce who={who} neighbourId={to} msg={}", encode_hex(bytes))
            }
            Action::Watch(subscribe) => writeln!(out, "watch who={who} want={}", u8::from(*subscribe)),
            Action::Log(text) => writeln!(out, "say_log who={who} text={text}"),
        };
    }
}

/// Parses the `form` of an `update`.
pub fn parse_list_kind(form: &str) -> Result<ListKind, WireError> {
    Ok(match form {
        "diff" => ListKind::Changes,
        "snapshot" => ListKind::Full,
        "disk" => ListKind::Saved,
        "error" => ListKind::Failed,
        other => return Err(invalid_field("form", format!("unknown value {other:?}"))),
    })
}

fn parse_outcome(disposition: &str) -> Result<Outcome, WireError> {
    Ok(match disposition {
        "done" => Outcome::Done,
        "err" => Outcome::Error,
        "busy" => Outcome::Full,
        "etimedout" => Outcome::TimedOut,
        "econnrefused" => Outcome::NotConnected,
        "econnreset" => Outcome::Reset,
        "ecanceled" => Outcome::Cancelled,
        "skipped" => Outcome::Skipped,
        other => return Err(invalid_field("disposition", format!("unknown value {other:?}"))),
    })
}

/// Parses the load report in the field `pressure`: `name:value` pairs separated by commas. Unknown names are
/// skipped.
fn parse_pressure(line: &Line<'_>) -> Result<Load, WireError> {
    let mut load = Load::default();
    for pair in line.get("pressure").unwrap_or_default().split(',').filter(|p| !p.is_empty()) {
        let (name, value) =
            pair.split_once(':').ok_or_else(|| invalid_field("pressure", format!("no ':' in {pair:?}")))?;
        let Some(field) = load_field(&mut load, name) else { continue };
        let value = value.parse().ok().filter(|value: &f64| value.is_finite());
        *field = Some(value.ok_or_else(|| invalid_field("pressure", format!("{name} is not a number")))?);
    }
    Ok(load)
}

/// The field for a value of a load report, by its name in the text protocol or in the header of an answer.
fn load_field<'a>(load: &'a mut Load, name: &str) -> Option<&'a mut Option<f64>> {
    Some(match name {
        "rif" | "inflight" => &mut load.in_flight,
        "q" | "queue" => &mut load.queue,
        "busy" | "util" => &mut load.utilization,
        "lat_ms" | "latency_ms" => &mut load.latency_ms,
        "rate" | "qps" => &mut load.rate,
        "fail_rate" | "eps" => &mut load.errors,
        _ => return None,
    })
}

/// Parses the load report in the header of an answer, such as `TEXT inflight=7, queue=2`. Values that cannot
/// be parsed are left out: the report is advisory, and the answer that carries it remains valid.
pub fn load_report(text: &str) -> Load {
    let mut load = Load::default();
    let text = text.trim().trim_start_matches("TEXT");
    for (name, value) in text.split(',').filter_map(|pair| pair.trim().split_once('=')) {
        if let Some(field) = load_field(&mut load, name.trim()) {
            *field = value.trim().parse().ok().filter(|value: &f64| value.is_finite() && *value >= 0.0);
        }
    }
    load
}

fn encode_hex(bytes: &[u8]) -> String {
    if bytes.is_empty() {
        return "-".to_owned();
    }
    bytes.iter().fold(String::with_capacity(2 * bytes.len()), |mut text, byte| {
        // Writing to a String never fails.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn decode_hex(text: &str) -> Result<Vec<u8>, WireError> {
    if text == "-" {
        return Ok(Vec::new());
    }
    let digits: Option<Vec<u8>> =
        text.chars().map(|c| c.to_digit(16).and_then(|digit| u8::try_from(digit).ok())).collect();
    match digits {
        Some(digits) if digits.len() % 2 == 0 => {
            Ok(digits.chunks(2).map(|pair| pair[0] * 16 + pair[1]).collect())
        }
        _ => Err(invalid_field("msg", "not hex")),
    }
}

/// The value at a dotted path in the settings; null if it is absent.
fn value_at<'a>(root: &'a Value, path: &str) -> &'a Value {
    path.split('.').fold(root, |value, key| value.get(key).unwrap_or(&Value::Null))
}

fn invalid_setting(path: &str, reason: &str) -> WireError {
    invalid_field(&format!("config.{path}"), reason)
}

/// A number; absent gives the default, or an error if there is none.
fn number_setting(root: &Value, path: &str, default: Option<f64>) -> Result<f64, WireError> {
    match (value_at(root, path), default) {
        (Value::Null, Some(default)) => Ok(default),
        (Value::Null, None) => Err(invalid_setting(path, "missing")),
        (value, _) => value.as_f64().ok_or_else(|| invalid_setting(path, "not a number")),
    }
}

/// A boolean; absent means false.
fn boolean_setting(root: &Value, path: &str) -> Result<bool, WireError> {
    match value_at(root, path) {
        Value::Null => Ok(false),
        value => value.as_bool().ok_or_else(|| invalid_setting(path, "not true or false")),
    }
}

/// A string; absent means empty, for which each caller uses its default.
fn string_setting<'a>(root: &'a Value, path: &str) -> Result<&'a str, WireError> {
    match value_at(root, path) {
        Value::Null => Ok(""),
        value => value.as_str().ok_or_else(|| invalid_setting(path, "not a word")),
    }
}

/// A whole number that fits 32 bits; absent gives the default.
fn count_setting(root: &Value, path: &str, default: u32) -> Result<u32, WireError> {
    let number = number_setting(root, path, Some(f64::from(default)))?;
    let is_u32 =
        number.is_finite() && number >= 0.0 && number <= f64::from(u32::MAX) && number.fract() == 0.0;
    if is_u32 { Ok(number as u32) } else { Err(invalid_setting(path, "not a whole number")) }
}

/// A list; absent means empty.
fn list_setting<'a>(root: &'a Value, path: &str) -> Result<&'a [Value], WireError> {
    match value_at(root, path) {
        Value::Null => Ok(&[]),
        value => value.as_array().map(Vec::as_slice).ok_or_else(|| invalid_setting(path, "not a list")),
    }
}

/// The name of an entry that is either a string or an object with a `name`.
fn name_from_json(entry: &Value) -> String {
    entry.as_str().or_else(|| entry.get("name").and_then(Value::as_str)).unwrap_or_default().to_owned()
}

fn class_from_json(json: &Value) -> Result<Class, WireError> {
    let group = match string_setting(json, "group")? {
        "all" => Group::All,
        "zone" => Group::Zone,
        _ => Group::Cell,
    };
    let deadline_ms = number_setting(json, "hardLimitMs", None)?;
    Ok(Class {
        objective_ms: number_setting(json, "objectiveMs", Some(deadline_ms))?,
        deadline_ms,
        worth: number_setting(json, "value", Some(1.0))?,
        late_worth: number_setting(json, "lateValue", Some(0.0))?,
        effect: match string_setting(json, "semantics")? {
            "idempotent" => Effect::Safe,
            "deduplicated" => Effect::Keyed(group),
            _ => Effect::Unsafe,
        },
        key_ttl_ms: number_setting(json, "keyTtlMs", Some(0.0))?,
        objective_stretch: number_setting(json, "aimStretch", Some(0.0))?,
        route: RouteValues::default(),
    })
}

/// Parses the settings from the JSON object that a `provision` carries. Unknown keys are skipped; absent
/// optional keys get the defaults given here.
pub fn settings(text: &str) -> Result<(Settings, Names), WireError> {
    let json: Value = serde_json::from_str(text).map_err(|e| invalid_field("config", e.to_string()))?;
    if !json.is_object() {
        return Err(invalid_field("config", "not an object"));
    }
    let number = |path: &str, default: f64| number_setting(&json, path, Some(default));
    // Zones are identified by their names, so the list of them is only checked.
    list_setting(&json, "areas")?;
    let worth_by_work = string_setting(&json, "worthBy")? == "work";
    let on_request = string_setting(&json, "membershipMode")? == "on_request";
    let settings = Settings {
        classes: list_setting(&json, "classes")?.iter().map(class_from_json).collect::<Result<_, _>>()?,
        tenants: list_setting(&json, "tenants")?
            .iter()
            .map(|tenant| Ok(Tenant { quota_rps: number_setting(tenant, "quotaRps", Some(0.0))? }))
            .collect::<Result<_, WireError>>()?,
        goal: Goal {
            whole_run: number("blend.whole", 1.0)?,
            worst_window: number("blend.worstWindow", 0.0)?,
            worst_class: number("blend.worstClass", 0.0)?,
            worst_tenant: number("blend.worstTenant", 0.0)?,
            nines: number("blend.ninesPart", 0.0)?,
            full_at_nines: number("blend.fullAtNines", 3.0)?,
        },
        prices: Prices {
            cross_zone: number("prices.crossZone", 0.0)?,
            handshake: number("prices.handshake", 0.0)?,
            connection: number("prices.connection", 0.0)?,
            late_fail: number("prices.lateFail", 0.0)?,
            waste: number("prices.waste", 0.0)?,
            probe: number("prices.probe", 0.0)?,
            peer: number("prices.peer", 0.0)?,
        },
        instances: count_setting(&json, "instances", 1)?,
        slot: count_setting(&json, "slotNo", 0)?,
        zone: zone_id(string_setting(&json, "zone")?),
        weights: match string_setting(&json, "weights")? {
            "nominal" => Weights::Nominal,
            "rough" => Weights::Rough,
            "live" => Weights::Live,
            _ => Weights::None,
        },
        reporting: match string_setting(&json, "reporting.via")? {
            "answers" => Reporting::Answers,
            "probe" => Reporting::Probes,
            _ => Reporting::None,
        },
        discovery: if on_request { Discovery::OnRequest } else { Discovery::Pushed },
        max_attempts: count_setting(&json, "limits.attemptsCap", 1)?,
        may_cancel: boolean_setting(&json, "limits.mayCancel")?,
        second_copies: boolean_setting(&json, "limits.secondCopies")?,
        retry_after: boolean_setting(&json, "limits.retryAfter")?,
        max_retry_after_ms: number("limits.maxRetryAfterMs", 1000.0)?,
        probes: boolean_setting(&json, "limits.probing")?,
        peer_messages: boolean_setting(&json, "limits.peerMessages")?,
        open_cap: count_setting(&json, "limits.openCap", u32::MAX)?,
        max_streams: count_setting(&json, "limits.maxStreams", 1)?,
        conn_idle_ms: number("limits.connIdleMs", 15_000.0)?,
        connect_timeout_ms: number("limits.connectTimeoutMs", 250.0)?,
        cpu_us_per_s: number("limits.cpuUsPerS", 0.0)?,
        marks_retry: boolean_setting(&json, "clientHabits.marksRetry")?,
        over_share_worth: number("overShareWorth", 1.0)?,
        worth_by_work,
        warm_keys: boolean_setting(&json, "familyInfo.warmKeys")?,
        cold_ms: number_setting(&json, "rules.coldMs", None)?,
        start_capacity: number_setting(&json, "rules.startCapacity", None)?,
        fall_multiple: number_setting(&json, "rules.fallMultiple", None)?,
        fall_ms: number_setting(&json, "rules.fallMs", None)?,
        late_shedding: boolean_setting(&json, "rules.lateShedding")?,
        drain_grace_ms: number("rules.drainGraceMs", 0.0)?,
        drain_close_ms: match number_setting(&json, "rules.drainCloseMs", Some(0.0))? {
            ms if ms > 0.0 => Some(ms),
            _ => None,
        },
        max_poll_gap_ms: number("rules.mustAskInMs", 10000.0)?,
        tick_ms: number("tickMs", 1.0)?,
    };
    let names = Names {
        classes: list_setting(&json, "classes")?.iter().map(name_from_json).collect(),
        tenants: list_setting(&json, "tenants")?.iter().map(name_from_json).collect(),
        backends: HashMap::new(),
    };
    Ok((settings, names))
}
