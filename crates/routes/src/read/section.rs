//! One table of a file under way: its fields by name and kind, each told about where it is not what it should be.

use super::{LARGEST_SIZE, LONGEST_MS, MOST, Reader, Value};
use crate::fields::Field;
use crate::model::{At, CallerName, Source};
use crate::report::Spot;
use std::net::SocketAddr;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// One table under way: it knows which fields there may be.
pub(super) struct Section<'r, 'v> {
    pub(super) reader: &'r mut Reader,
    table: &'v DeTable<'v>,
    /// How reports call it, such as `route "bid"`.
    pub(super) title: String,
    fields: &'static [Field],
}

impl<'r, 'v> Section<'r, 'v> {
    /// Reports the names that no such table has.
    pub(super) fn new(
        reader: &'r mut Reader,
        table: &'v DeTable<'v>,
        title: String,
        fields: &'static [Field],
    ) -> Section<'r, 'v> {
        for key in table.keys() {
            let name: &str = key.get_ref();
            if !fields.iter().any(|f| f.name == name) {
                let at = reader.spot(key);
                let field =
                    if title.is_empty() { format!("{name:?}") } else { format!("{title}: {name:?}") };
                reader.error(
                    "unknown-field",
                    at,
                    field,
                    "no field has this name".into(),
                    nearest(name, fields),
                );
            }
        }
        Section { reader, table, title, fields }
    }

    fn get(&self, name: &str) -> Option<&'v Value<'v>> {
        debug_assert!(self.fields.iter().any(|f| f.name == name), "{name} is not among the fields");
        self.table.get(name)
    }

    fn field(&self, name: &str) -> String {
        if self.title.is_empty() { name.to_owned() } else { format!("{}: {name}", self.title) }
    }

    fn wrong(&mut self, rule: &'static str, name: &str, value: &Value<'_>, right: impl Into<String>) {
        let (at, field) = (self.reader.spot(value), self.field(name));
        self.reader.error(rule, at, field, shown(value.get_ref()), right);
    }

    /// It is written, whatever it is.
    pub(super) fn has(&self, name: &str) -> bool {
        self.get(name).is_some()
    }

    /// What has to be there is missing. The table has no place of its own that is better than its first field's.
    pub(super) fn missing(&mut self, name: &str, found: &str, right: &str) {
        let at = self.table.keys().map(|k| self.reader.spot(k)).min().unwrap_or_default();
        let field = self.field(name);
        self.reader.error("missing", at, field, found.into(), right);
    }

    pub(super) fn text(&mut self, name: &str) -> Option<At<String>> {
        let value = self.get(name)?;
        match value.get_ref() {
            DeValue::String(text) if !text.is_empty() => {
                Some(At { value: text.to_string(), at: self.reader.spot(value) })
            }
            _ => {
                self.wrong("kind", name, value, "a text that is not empty");
                None
            }
        }
    }

    pub(super) fn texts(&mut self, name: &str) -> Vec<At<String>> {
        let Some(value) = self.get(name) else { return Vec::new() };
        let DeValue::Array(list) = value.get_ref() else { return self.text(name).into_iter().collect() };
        if list.is_empty() {
            self.wrong("kind", name, value, "at least one text, or no such field");
        }
        let mut texts = Vec::new();
        for item in list {
            match item.get_ref() {
                DeValue::String(text) if !text.is_empty() => {
                    texts.push(At { value: text.to_string(), at: self.reader.spot(item) });
                }
                _ => self.wrong("kind", name, item, "a text that is not empty"),
            }
        }
        texts
    }

    pub(super) fn pairs(&mut self, name: &str) -> Vec<(At<String>, String)> {
        let Some(value) = self.get(name) else { return Vec::new() };
        let DeValue::Table(table) = value.get_ref() else {
            self.wrong("kind", name, value, "a table such as { X-Desk = \"7\" }");
            return Vec::new();
        };
        let mut pairs: Vec<(At<String>, String)> = Vec::new();
        for (key, item) in table {
            let at = self.reader.spot(key);
            match item.get_ref() {
                DeValue::String(text) if is_token(key.get_ref()) => {
                    let key = key.get_ref().to_ascii_lowercase();
                    if pairs.iter().any(|(other, _)| other.value == key) {
                        self.wrong("duplicate", name, item, "each header once, whatever its capitals");
                    }
                    pairs.push((At { value: key, at }, text.to_string()));
                }
                DeValue::String(_) => {
                    let field = self.field(name);
                    let found = format!("{:?}", key.get_ref());
                    self.reader.error("kind", at, field, found, "a header's name");
                }
                _ => self.wrong("kind", name, item, "a text"),
            }
        }
        pairs
    }

    pub(super) fn flag(&mut self, name: &str) -> Option<bool> {
        self.flag_at(name).map(|f| f.value)
    }

    pub(super) fn flag_at(&mut self, name: &str) -> Option<At<bool>> {
        let value = self.get(name)?;
        if let DeValue::Boolean(flag) = value.get_ref() {
            return Some(At { value: *flag, at: self.reader.spot(value) });
        }
        self.wrong("kind", name, value, "true or false");
        None
    }

    pub(super) fn choice(&mut self, name: &str, words: &[&str]) -> Option<(usize, Spot)> {
        let value = self.get(name)?;
        if let DeValue::String(text) = value.get_ref()
            && let Some(n) = words.iter().position(|w| w == text)
        {
            return Some((n, self.reader.spot(value)));
        }
        let words: Vec<String> = words.iter().map(|w| format!("{w:?}")).collect();
        self.wrong("kind", name, value, words.join(" or "));
        None
    }

    pub(super) fn address(&mut self, name: &str, needed: bool) -> Option<At<SocketAddr>> {
        let Some(value) = self.get(name) else {
            if needed {
                self.missing(name, "no address", "such as \"127.0.0.1:8080\"");
            }
            return None;
        };
        self.an_address(name, value)
    }

    fn an_address(&mut self, name: &str, value: &Value<'_>) -> Option<At<SocketAddr>> {
        let address = match value.get_ref() {
            DeValue::String(text) => text.parse::<SocketAddr>().ok().filter(|a| a.port() != 0),
            _ => None,
        };
        if address.is_none() {
            self.wrong(
                "kind",
                name,
                value,
                "address and port, such as \"127.0.0.1:8080\"; names are not looked up",
            );
        }
        Some(At { value: address?, at: self.reader.spot(value) })
    }

    pub(super) fn addresses(&mut self, name: &str) -> Vec<At<SocketAddr>> {
        let Some(value) = self.get(name) else { return Vec::new() };
        let DeValue::Array(list) = value.get_ref() else {
            self.wrong("kind", name, value, "a list such as [\"127.0.0.1:7000\", \"127.0.0.1:7001\"]");
            return Vec::new();
        };
        list.iter().filter_map(|item| self.an_address(name, item)).collect()
    }

    pub(super) fn count(&mut self, name: &str, least: u32, most: u32) -> Option<At<u32>> {
        let value = self.get(name)?;
        let number = match value.get_ref() {
            DeValue::Integer(n) => i128::from_str_radix(n.as_str(), n.radix()).ok(),
            _ => {
                self.wrong("kind", name, value, format!("a whole number from {least} to {most}"));
                return None;
            }
        };
        match number.and_then(|n| u32::try_from(n).ok()).filter(|n| (least..=most).contains(n)) {
            Some(n) => Some(At { value: n, at: self.reader.spot(value) }),
            None => {
                self.wrong("range", name, value, format!("a whole number from {least} to {most}"));
                None
            }
        }
    }

    pub(super) fn number(&mut self, name: &str, least: f64, most: f64) -> Option<f64> {
        self.number_at(name, least, most).map(|n| n.value)
    }

    pub(super) fn number_at(&mut self, name: &str, least: f64, most: f64) -> Option<At<f64>> {
        let value = self.get(name)?;
        let number = match value.get_ref() {
            DeValue::Integer(n) => i64::from_str_radix(n.as_str(), n.radix()).ok().map(|n| n as f64),
            DeValue::Float(f) => f.as_str().parse::<f64>().ok(),
            _ => {
                self.wrong("kind", name, value, format!("a number from {least} to {most}"));
                return None;
            }
        };
        match number.filter(|n| n.is_finite() && (least..=most).contains(n)) {
            Some(n) => Some(At { value: n, at: self.reader.spot(value) }),
            None => {
                self.wrong("range", name, value, format!("a number from {least} to {most}"));
                None
            }
        }
    }

    pub(super) fn duration(&mut self, name: &str) -> Option<At<f64>> {
        self.duration_up_to(name, LONGEST_MS)
    }

    pub(super) fn duration_up_to(&mut self, name: &str, longest_ms: f64) -> Option<At<f64>> {
        let value = self.get(name)?;
        let at = self.reader.spot(value);
        let text = match value.get_ref() {
            DeValue::String(text) => text.to_string(),
            DeValue::Integer(_) | DeValue::Float(_) => {
                let shown = shown(value.get_ref());
                self.wrong("unit", name, value, format!("a unit: \"{shown}ms\" or \"{shown}s\""));
                return None;
            }
            _ => {
                self.wrong("kind", name, value, "a time such as \"300ms\"");
                return None;
            }
        };
        let units = [("ms", 1.0), ("s", 1000.0), ("m", 60_000.0)];
        let unit = units.into_iter().find_map(|(unit, ms)| Some((text.strip_suffix(unit)?, ms)));
        let plain = |n: &str| !n.is_empty() && n.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        match unit {
            Some((number, ms)) if plain(number) && number.parse::<f64>().is_ok() => {
                let time = number.parse::<f64>().map_or(0.0, |n| n * ms);
                if (1.0..=longest_ms).contains(&time) {
                    return Some(At { value: time, at });
                }
                let right = format!("a time from \"1ms\" to \"{}m\"", longest_ms / 60_000.0);
                self.wrong("range", name, value, right);
            }
            None if plain(&text) => {
                self.wrong("unit", name, value, format!("a unit: \"{text}ms\" or \"{text}s\""));
            }
            _ => self.wrong("kind", name, value, "a time such as \"300ms\", \"1.5s\" or \"1m\""),
        }
        None
    }

    pub(super) fn duration_or_off(&mut self, name: &str) -> Option<At<Option<f64>>> {
        let value = self.get(name)?;
        if matches!(value.get_ref(), DeValue::String(text) if text == "off") {
            return Some(At { value: None, at: self.reader.spot(value) });
        }
        self.duration(name).map(|d| At { value: Some(d.value), at: d.at })
    }

    pub(super) fn size(&mut self, name: &str, least: u64) -> Option<At<u64>> {
        const RIGHT: &str = "a size such as \"64KiB\"; units are B, KiB, MiB and GiB";
        let value = self.get(name)?;
        let at = self.reader.spot(value);
        let DeValue::String(text) = value.get_ref() else {
            let rule = if matches!(value.get_ref(), DeValue::Integer(_)) { "unit" } else { "kind" };
            self.wrong(rule, name, value, RIGHT);
            return None;
        };
        let units = [("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30), ("B", 1)];
        let unit = units.into_iter().find_map(|(unit, bytes)| Some((text.strip_suffix(unit)?, bytes)));
        let Some((number, bytes)) = unit else {
            let rule = if text.bytes().all(|b| b.is_ascii_digit()) { "unit" } else { "kind" };
            self.wrong(rule, name, value, RIGHT);
            return None;
        };
        match number.parse::<u64>().ok().filter(|n| *n <= MOST).and_then(|n| n.checked_mul(bytes)) {
            Some(size) if (least.max(1)..=LARGEST_SIZE).contains(&size) => Some(At { value: size, at }),
            Some(_) => {
                self.wrong("range", name, value, format!("from {}B to 1024GiB", least.max(1)));
                None
            }
            None => {
                self.wrong("kind", name, value, RIGHT);
                None
            }
        }
    }

    pub(super) fn source(&mut self, name: &str) -> Option<At<Source>> {
        const RIGHT: &str = "one of { header = \"X-Name\" }, { segment = 2 }, { value = \"name\" } and \
            { certificate = \"dns\" } (or \"email\", \"common-name\")";
        let value = self.get(name)?;
        let at = self.reader.spot(value);
        let mut source = None;
        if let DeValue::Table(table) = value.get_ref()
            && table.len() == 1
            && let Some((key, item)) = table.iter().next()
        {
            source = match (&**key.get_ref(), item.get_ref()) {
                ("header", DeValue::String(text)) if is_token(text) => {
                    Some(Source::Header(text.to_ascii_lowercase()))
                }
                ("segment", DeValue::Integer(n)) => {
                    let number = n.as_str().parse::<usize>().ok().filter(|n| (1..=64).contains(n));
                    number.map(Source::Segment)
                }
                ("value", DeValue::String(text)) if !text.is_empty() => {
                    Some(Source::Value(text.to_string()))
                }
                ("certificate", DeValue::String(text)) => {
                    let kinds = [CallerName::Dns, CallerName::Email, CallerName::CommonName];
                    kinds.into_iter().find(|k| k.word() == text.as_ref()).map(Source::Certificate)
                }
                _ => None,
            };
        }
        if source.is_none() {
            self.wrong("kind", name, value, RIGHT);
        }
        Some(At { value: source?, at })
    }

    /// A table that may be absent: then it is read as an empty one.
    pub(super) fn table<T>(
        &mut self,
        name: &str,
        fields: &'static [Field],
        read: impl FnOnce(&mut Section<'_, '_>) -> T,
    ) -> T {
        let empty = DeTable::new();
        let found = self.get(name);
        let table = match found.map(Spanned::get_ref) {
            Some(DeValue::Table(table)) => table,
            other => {
                if let Some(value) = found.filter(|_| other.is_some()) {
                    self.wrong("kind", name, value, format!("a table: [{name}]"));
                }
                &empty
            }
        };
        read(&mut Section::new(self.reader, table, name.to_owned(), fields))
    }

    pub(super) fn tables<T>(
        &mut self,
        name: &str,
        fields: &'static [Field],
        mut read: impl FnMut(&mut Section<'_, '_>, Spot) -> Option<T>,
    ) -> Vec<T> {
        let Some(value) = self.get(name) else { return Vec::new() };
        let DeValue::Array(list) = value.get_ref() else {
            self.wrong("kind", name, value, format!("a list of tables: [[{name}]]"));
            return Vec::new();
        };
        let title = if self.title.is_empty() { name.to_owned() } else { format!("{}: {name}", self.title) };
        let mut all = Vec::with_capacity(list.len());
        for (n, item) in list.iter().enumerate() {
            let DeValue::Table(table) = item.get_ref() else {
                self.wrong("kind", name, item, "a table");
                continue;
            };
            let at = self.reader.spot(item);
            let own = table.get("name").and_then(|name| name.get_ref().as_str());
            let title = own.map_or_else(|| format!("{title} {}", n + 1), |own| format!("{title} {own:?}"));
            all.extend(read(&mut Section::new(self.reader, table, title, fields), at));
        }
        all
    }

    pub(super) fn named<T>(
        &mut self,
        name: &str,
        fields: &'static [Field],
        mut read: impl FnMut(&mut Section<'_, '_>, At<String>) -> T,
    ) -> Vec<T> {
        let Some(value) = self.get(name) else { return Vec::new() };
        let DeValue::Table(tables) = value.get_ref() else {
            self.wrong("kind", name, value, format!("tables with names: [{name}.NAME]"));
            return Vec::new();
        };
        let mut all = Vec::with_capacity(tables.len());
        for (key, item) in tables {
            let DeValue::Table(table) = item.get_ref() else {
                self.wrong("kind", name, item, format!("a table: [{name}.{}]", key.get_ref()));
                continue;
            };
            let title = format!("{name} {:?}", key.get_ref());
            let key = At { value: key.get_ref().to_string(), at: self.reader.spot(key) };
            all.push(read(&mut Section::new(self.reader, table, title, fields), key));
        }
        all
    }
}

/// A header's or a method's name (RFC 9110, 5.6.2).
pub(crate) fn is_token(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b))
}

/// A value as a report shows it, cut where it is long.
fn shown(value: &DeValue<'_>) -> String {
    match value {
        DeValue::String(text) => format!("{:.60?}", text.chars().take(60).collect::<String>()),
        DeValue::Integer(n) => n.as_str().to_owned(),
        DeValue::Float(f) => f.as_str().to_owned(),
        DeValue::Boolean(b) => b.to_string(),
        DeValue::Datetime(d) => d.to_string(),
        DeValue::Array(list) => format!("a list of {}", list.len()),
        DeValue::Table(table) => format!("a table of {}", table.len()),
    }
}

/// The field that was likely meant, or all there are.
fn nearest(name: &str, fields: &[Field]) -> String {
    let best = fields.iter().map(|f| (distance(name, f.name), f.name)).min();
    match best {
        Some((d, known)) if d <= 1 + known.len() / 4 => format!("{known:?}"),
        _ => format!("one of {}", fields.iter().map(|f| f.name).collect::<Vec<_>>().join(", ")),
    }
}

/// Edits from one word to another, as far as a slip of the pen goes.
pub(crate) fn distance(a: &str, b: &str) -> usize {
    let (a, b): (Vec<char>, Vec<char>) = (a.chars().take(40).collect(), b.chars().take(40).collect());
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.iter().enumerate() {
        let mut next = vec![i + 1];
        for (j, y) in b.iter().enumerate() {
            let keep = row.get(j).copied().unwrap_or(usize::MAX - 1) + usize::from(x != y);
            let drop = row.get(j + 1).copied().unwrap_or(usize::MAX - 1) + 1;
            let add = next.last().copied().unwrap_or(usize::MAX - 1) + 1;
            next.push(keep.min(drop).min(add));
        }
        row = next;
    }
    row.last().copied().unwrap_or(0)
}
