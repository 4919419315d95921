//! Explains how the file handles a request: the matching route, the other routes, the values and the longest
//! possible course of the request.

use crate::effective::format_ms;
use crate::matcher::{Found, Header, Mismatch, RouteQuery, check_match, specificity};
use crate::model::{Effect, Retry, Source};
use crate::path::{normal_host, normal_path};
use crate::{MARGIN_MS, Rules};
use std::cmp::Reverse;
use std::fmt::Write;

/// Maximum number of other routes that are listed individually.
const MAX_LISTED_ROUTES: usize = 20;
/// Width of the timeline in columns.
const TIMELINE_WIDTH: usize = 48;

/// A request to explain.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The path, with or without a query.
    pub path: String,
    /// The headers, with lower-case names.
    pub headers: Vec<(String, String)>,
}

impl Request {
    /// Parses a request line such as `POST /api/bid` and header lines such as `Host: auction.lv`.
    ///
    /// # Errors
    /// A message that says what is malformed.
    pub fn read(line: &str, headers: &[String]) -> Result<Request, String> {
        let mut words = line.split_whitespace();
        let (Some(method), Some(path), None) = (words.next(), words.next(), words.next()) else {
            return Err(format!("{line:?} is not a method and path, such as 'POST /api/bid'"));
        };
        let headers = headers.iter().map(|h| {
            let (name, value) =
                h.split_once(':').ok_or_else(|| format!("{h:?} is not a header, such as 'Host: a.lv'"))?;
            Ok((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        });
        Ok(Request {
            method: method.into(),
            path: path.into(),
            headers: headers.collect::<Result<_, String>>()?,
        })
    }

    fn header(&self, name: &str) -> Header<'_> {
        let mut all = self.headers.iter().filter(|(n, _)| n == name);
        match (all.next(), all.next()) {
            (None, _) => Header::Absent,
            (Some((_, value)), None) => Header::Once(value),
            _ => Header::Unclear,
        }
    }
}

/// Returns the explanation, and whether a route matches the request.
pub fn explain(rules: &Rules, request: &Request) -> (String, bool) {
    let mut out = String::new();
    // Writing to a String cannot fail.
    let matched = write_explanation(rules, request, &mut out).unwrap_or(false);
    (out, matched)
}

fn write_explanation(rules: &Rules, request: &Request, out: &mut String) -> Result<bool, std::fmt::Error> {
    let raw = request.path.split(['?', '#']).next().unwrap_or_default();
    let path = match normal_path(raw) {
        Ok(path) => path,
        Err(why) => {
            writeln!(out, "{} {}: answered 400 at once, {why}", request.method, request.path)?;
            return Ok(false);
        }
    };
    let host = match request.header("host") {
        Header::Absent => None,
        Header::Once(host) => match normal_host(host) {
            Some(host) => Some(host),
            None => {
                writeln!(out, "Host {host:?}: answered 400 at once, it is not a valid host")?;
                return Ok(false);
            }
        },
        Header::Unclear => {
            writeln!(out, "answered 400 at once: Host occurs more than once")?;
            return Ok(false);
        }
    };
    let header = |name: &str| request.header(name);
    let query = RouteQuery { host: host.as_deref(), path: &path, method: &request.method, header: &header };
    writeln!(out, "{} {path}, host {}", request.method, host.as_deref().unwrap_or("(none)"))?;
    let found = rules.find(&query);
    let matched = match &found {
        Found::Route(n) => Some(*n),
        Found::Nothing => {
            writeln!(out, "\nno route takes it: answered 404")?;
            None
        }
        Found::Unclear(name) => {
            writeln!(
                out,
                "\nanswered 400 at once: a route requires {name:?}, which occurs more than once"
            )?;
            None
        }
    };
    if let Some((n, route)) = matched.and_then(|n| Some((n, rules.file.routes.get(n)?))) {
        writeln!(out, "\nroute {:?}, line {}", route.name.value, route.name.at.line)?;
        write_values(rules, n, out)?;
        write_timeline(rules, n, out)?;
    }
    write_other_routes(rules, &query, matched, out)?;
    Ok(matched.is_some())
}

fn describe_source(source: &Source) -> String {
    match source {
        Source::Header(name) => format!("header {name}"),
        Source::Segment(n) => format!("path segment {n}"),
        Source::Value(text) => format!("always {text:?}"),
        Source::Certificate(kind) => format!("client certificate, {}", kind.keyword()),
    }
}

fn write_values(rules: &Rules, n: usize, out: &mut String) -> std::fmt::Result {
    let Some(route) = rules.routes.get(n) else { return Ok(()) };
    let e = &route.effective;
    let mut line =
        |name: &str, value: String, origin: String| writeln!(out, "  {name:<18} {value:<26} {origin}");
    if let Some((resolved, class)) =
        e.class.as_ref().and_then(|h| Some((h, rules.file.classes.get(h.value)?)))
    {
        let effect = class.effect.as_ref().map_or(Effect::Unsafe, |e| e.value);
        let text = format!("{:?} ({})", class.name.value, format!("{effect:?}").to_lowercase());
        line("class", text, resolved.origin())?;
        if let Some(patience) = &class.patience_ms {
            line(
                "patience",
                format_ms(patience.value),
                format!("class {:?}, line {}", class.name.value, patience.at.line),
            )?;
        }
    }
    if let Some(pool) = &e.pool {
        line("pool", format!("{:?}", pool.value), pool.origin())?;
    }
    let limit = |ms: Option<f64>| ms.map_or_else(|| "off".to_owned(), format_ms);
    line("deadline", format_ms(e.deadline_ms.value), e.deadline_ms.origin())?;
    line("attempts", e.attempts.value.to_string(), e.attempts.origin())?;
    line("attempt_timeout", limit(e.attempt_timeout_ms.value), e.attempt_timeout_ms.origin())?;
    line("retry", e.retry.value.keyword().to_owned(), e.retry.origin())?;
    line("second_copy_after", limit(e.second_copy_ms.value), e.second_copy_ms.origin())?;
    let bytes = |n: u64| format!("{n} bytes");
    line("body_limit", bytes(e.body_limit.value), e.body_limit.origin())?;
    let s = &e.streams;
    if s.directions() > 0 {
        line("body", s.body.value.keyword().to_owned(), s.body.origin())?;
        line("answer", s.answer.value.keyword().to_owned(), s.answer.origin())?;
        line("answer_limit", bytes(s.answer_limit.value), s.answer_limit.origin())?;
        line("hold", bytes(s.hold.value), s.hold.origin())?;
        line("replay", bytes(s.replay.value), s.replay.origin())?;
        line("pace", bytes(s.pace.value), s.pace.origin())?;
        line("pace_window", format_ms(s.pace_window_ms.value), s.pace_window_ms.origin())?;
        line("stream_time", format_ms(s.time_ms.value), s.time_ms.origin())?;
    }
    for (name, from) in [
        ("class_from", &e.class_from),
        ("tenant", &e.tenant),
        ("key", &e.key),
        ("patience_from", &e.patience_from),
    ] {
        if let Some(from) = from {
            line(name, describe_source(&from.value), from.origin())?;
        }
    }
    let by = [("route", true), ("class", true), ("tenant", e.tenant.is_some()), ("key", e.key.is_some())];
    let by: Vec<&str> = by.into_iter().filter(|(_, judged)| *judged).map(|(name, _)| name).collect();
    let section = rules.file.sections.iter().find(|s| s.value == "blame");
    let origin = section.map_or_else(|| "built in".to_owned(), |s| format!("[blame], line {}", s.at.line));
    let judged_by = if rules.file.blame.on { by.join(", ") } else { "off".to_owned() };
    line("held for faults by", judged_by, origin)
}

/// Draws the longest possible course of a request to scale, with one line per attempt.
fn write_timeline(rules: &Rules, n: usize, out: &mut String) -> std::fmt::Result {
    let Some(route) = rules.routes.get(n) else { return Ok(()) };
    let e = &route.effective;
    let class = e.class.as_ref().and_then(|c| rules.file.classes.get(c.value));
    let patience = class.and_then(|c| c.patience_ms.as_ref()).map_or(e.deadline_ms.value, |p| p.value);
    let column =
        |ms: f64| ((ms / patience.max(1.0)).clamp(0.0, 1.0) * TIMELINE_WIDTH as f64).round() as usize;
    let bar = |out: &mut String, name: &str, from: f64, to: f64, mark: char, note: &str| {
        let (begin, end) = (column(from), column(to).max(column(from) + 1));
        let marks = format!("{}{}", " ".repeat(begin), String::from(mark).repeat(end - begin));
        writeln!(
            out,
            "  {name:<12}|{marks:<w$}| {} to {}{note}",
            format_ms(from),
            format_ms(to),
            w = TIMELINE_WIDTH + 1
        )
    };
    let end = e.deadline_ms.value - MARGIN_MS;
    writeln!(out, "\nthe longest course:")?;
    bar(out, "client waits", 0.0, patience, '-', "")?;
    let mut at = 0.0;
    let course = e.longest_course(rules.file.node.connect_timeout_ms);
    for (number, step) in (1_u32..).zip(course.iter().take(course.len().saturating_sub(1))) {
        let note = match e.retry.value {
            _ if number == 1 => "",
            Retry::MayHaveRun => ", after any failure",
            _ => ", only if none before can have run",
        };
        let name = if e.attempt_timeout_ms.value.is_some() {
            format!("attempt {number}")
        } else {
            "attempts".into()
        };
        bar(out, &name, at, at + step.max_ms, '#', note)?;
        if number == 1
            && let Some(delay) = e.second_copy_ms.value
        {
            bar(
                out,
                "second copy",
                delay,
                delay + step.max_ms,
                '+',
                ", if the first has no answer by then",
            )?;
        }
        at += step.max_ms;
    }
    bar(out, "answer by", end.max(0.0), e.deadline_ms.value, '!', ", refused or failed if not served")?;
    Ok(())
}

fn write_other_routes(
    rules: &Rules,
    query: &RouteQuery<'_>,
    matched: Option<usize>,
    out: &mut String,
) -> std::fmt::Result {
    let mut others: Vec<_> = (rules.file.routes.iter().enumerate())
        .filter(|(n, _)| Some(*n) != matched)
        .map(|(_, r)| (Reverse(specificity(r)), check_match(r, query), r))
        .collect();
    // Sorted by how nearly they match, then by specificity.
    others.sort_by_key(|(specificity, result, _)| {
        let distance = match result {
            Ok(()) => 0,
            Err(Mismatch::Header(_) | Mismatch::Unclear(_)) => 1,
            Err(Mismatch::Method) => 2,
            Err(Mismatch::Path) => 3,
            Err(Mismatch::Host) => 4,
        };
        (distance, *specificity)
    });
    if !others.is_empty() {
        writeln!(out, "\npassed over:")?;
    }
    for (_, result, route) in others.iter().take(MAX_LISTED_ROUTES) {
        let why = match result {
            Ok(()) => "matches too, but is less specific".to_owned(),
            Err(Mismatch::Host) => "another host".to_owned(),
            Err(Mismatch::Path) => "another path".to_owned(),
            Err(Mismatch::Method) => "another method".to_owned(),
            Err(Mismatch::Header(name)) => format!("header {name:?} is absent or has another value"),
            Err(Mismatch::Unclear(name)) => format!("header {name:?} occurs more than once"),
        };
        writeln!(out, "  {:<20} line {:<6} {why}", format!("{:?}", route.name.value), route.name.at.line)?;
    }
    if others.len() > MAX_LISTED_ROUTES {
        writeln!(out, "  and {} more", others.len() - MAX_LISTED_ROUTES)?;
    }
    Ok(())
}
