//! Every field that an operator's file may have, once: the reader knows names by it, the schema is made of it.

use serde_json::{Map, Value, json};

/// What a field holds.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Kind {
    Text,
    /// A whole number with a unit, as text.
    Duration,
    /// The same, or `off`.
    DurationOrOff,
    Size,
    Count,
    Number,
    Flag,
    Choice(&'static [&'static str]),
    /// One text, or a list of them.
    Texts,
    /// Where a request's figure is: one of a header, a path segment or a fixed value.
    Source,
    /// Text to text.
    Pairs,
    Table(&'static [Field]),
    Tables(&'static [Field]),
    /// Tables by name.
    Named(&'static [Field]),
}

/// A field and what it means.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Field {
    pub(crate) name: &'static str,
    pub(crate) kind: Kind,
    pub(crate) doc: &'static str,
}

const fn f(name: &'static str, kind: Kind, doc: &'static str) -> Field {
    Field { name, kind, doc }
}

pub(crate) const RETRY: &[&str] = &["none", "never-ran", "may-have-run"];
pub(crate) const EFFECTS: &[&str] = &["safe", "keyed", "unsafe"];
pub(crate) const ACTS_ON: &[&str] = &["part", "whole"];
pub(crate) const MODES: &[&str] = &["whole", "stream"];
pub(crate) const GROUPS: &[&str] = &["pool", "zone", "cell"];

const ATTEMPTS: Field =
    f("attempts", Kind::Count, "Attempts for one request, second copies among them; 1 to 16.");
const ATTEMPT_TIMEOUT: Field =
    f("attempt_timeout", Kind::DurationOrOff, "The longest an attempt may take, its connect among it.");
const DEADLINE: Field =
    f("deadline", Kind::Duration, "From the request's head to its answer, all attempts together.");
const RETRY_FIELD: Field = f(
    "retry",
    Kind::Choice(RETRY),
    "After which attempts another may be made: those that surely never ran, or any.",
);
const SECOND_COPY: Field = f(
    "second_copy_after",
    Kind::DurationOrOff,
    "A second attempt beside the first, if that has no answer by then.",
);
const BODY_LIMIT: Field =
    f("body_limit", Kind::Size, "The longest body of a request; 64KiB at most where it is not streamed.");
const BODY: Field = f(
    "body",
    Kind::Choice(MODES),
    "Whether a request's body is gathered whole before anything is sent, or passed on as it comes.",
);
const ANSWER: Field =
    f("answer", Kind::Choice(MODES), "Whether an answer is gathered whole, or passed on as it comes.");
const ANSWER_LIMIT: Field = f("answer_limit", Kind::Size, "The longest answer that is streamed.");
const HOLD: Field = f("hold", Kind::Size, "What a stream holds at once in each direction; 4KiB to 64KiB.");
const REPLAY: Field = f(
    "replay",
    Kind::Size,
    "A streamed request may be sent again while no more than this has left; at most `hold`.",
);
const PACE: Field = f(
    "pace",
    Kind::Size,
    "The slowest that either side of a stream may be: so many bytes in `pace_window` ...",
);
const PACE_WINDOW: Field =
    f("pace_window", Kind::Duration, "... counted only while that side is waited for.");
const STREAM_TIME: Field =
    f("stream_time", Kind::Duration, "The longest that a stream may take in a direction.");

const CLASS_FROM: Field =
    f("class_from", Kind::Source, "Where a request names its class; the fixed one where it names none.");

const TENANT_FROM: Field = f("tenant", Kind::Source, "Where the tenant's name is.");

const PATIENCE_FROM: Field =
    f("patience_from", Kind::Source, "Where the client says how many milliseconds it waits.");

const KEY: Field = f(
    "key",
    Kind::Source,
    "Where the name of what the request is about is: the same name goes to the same servers.",
);

/// What is inherited, from the defaults to class, group and route.
const VALUES: [Field; 14] = [
    ATTEMPTS,
    ATTEMPT_TIMEOUT,
    DEADLINE,
    RETRY_FIELD,
    SECOND_COPY,
    BODY_LIMIT,
    BODY,
    ANSWER,
    ANSWER_LIMIT,
    HOLD,
    REPLAY,
    PACE,
    PACE_WINDOW,
    STREAM_TIME,
];

/// Fields of a table's own, and the values behind them.
const fn with_values<const OWN: usize, const ALL: usize>(own: [Field; OWN]) -> [Field; ALL] {
    assert!(ALL == OWN + VALUES.len());
    let mut all = [ATTEMPTS; ALL];
    let mut n = 0;
    while n < ALL {
        all[n] = if n < OWN { own[n] } else { VALUES[n - OWN] };
        n += 1;
    }
    all
}

pub(crate) const DEFAULTS: &[Field] = &VALUES;

pub(crate) const CLASS: &[Field] = &with_values::<6, 20>([
    f(
        "effect",
        Kind::Choice(EFFECTS),
        "Whether a request may run twice: safe, keyed (repeats are dropped), unsafe.",
    ),
    f("patience", Kind::Duration, "How long its clients wait."),
    f("aim", Kind::Duration, "Answers within this are worth most; the patience if absent."),
    f(
        "worth",
        Kind::Number,
        "Worth of a request beside those of other classes, when not all can be served.",
    ),
    f("repeats_dropped_by", Kind::Choice(GROUPS), "Keyed: which servers drop a repeat together."),
    f("repeats_dropped_for", Kind::Duration, "Keyed: how long, from the first send."),
]);

pub(crate) const GROUP: &[Field] = &with_values::<6, 20>([
    f("class", Kind::Text, "The class of its routes."),
    CLASS_FROM,
    f("pool", Kind::Text, "The pool of its routes."),
    TENANT_FROM,
    KEY,
    PATIENCE_FROM,
]);

pub(crate) const ROUTE: &[Field] = &with_values::<13, 27>([
    f("name", Kind::Text, "Its name in logs and reports."),
    f("group", Kind::Text, "A group whose values it takes over."),
    f("host", Kind::Text, "An exact host, or `*.` and a domain: any host below it."),
    f("path", Kind::Text, "An exact path."),
    f("prefix", Kind::Text, "A path and all below it, by whole segments."),
    f("method", Kind::Texts, "Methods, in capitals; all if absent."),
    f("header", Kind::Pairs, "Headers that must be there once with just this value."),
    f("class", Kind::Text, "The class of its requests."),
    CLASS_FROM,
    f("pool", Kind::Text, "The pool that serves it."),
    TENANT_FROM,
    KEY,
    PATIENCE_FROM,
]);

pub(crate) const NODE: &[Field] = &[
    f("name", Kind::Text, "The node's name in logs."),
    f("zone", Kind::Text, "Its zone, one of the servers'."),
    f("sockets", Kind::Count, "File descriptors that it may hold; 32 at least."),
    f("memory", Kind::Size, "Memory that it may take."),
    f("open_requests", Kind::Count, "Requests that it may hold open."),
    f("retry_after", Kind::Flag, "Whether refusals say when to come back."),
    f("retry_after_max", Kind::Duration, "The longest that they say."),
    f("connect_timeout", Kind::Duration, "A connection to a server that is not made by then is not made."),
    f("idle_timeout", Kind::Duration, "Servers close connections that stand idle for this long."),
    f("streams", Kind::Count, "Streamed requests that it may have at once."),
    f("stream_memory", Kind::Size, "Memory for what streams hold; an eighth of `memory` if absent."),
    f("stream_stop", Kind::Duration, "How long a stop waits for streams before it cuts them."),
    f(
        "admin",
        Kind::Text,
        "A Unix socket that the node makes for its operators, for its own user alone; none if absent.",
    ),
    f("lock", Kind::Text, "A file that the node locks while it runs: a second one with it ends at once."),
    f(
        "hand_over",
        Kind::Text,
        "A Unix socket, for its own user alone, at which another process takes this node's place; none if absent.",
    ),
];

pub(crate) const FLEET: &[Field] = &[
    f("nodes", Kind::Count, "How many nodes there are."),
    f("number", Kind::Count, "This node's number among them, from 0."),
    f("cold_time", Kind::Duration, "A server that has just started is warm after this."),
    f("start_capacity", Kind::Number, "Part of its capacity with which it starts, 0 to 1."),
    f("fall_multiple", Kind::Number, "Sent more than this multiple of its present capacity ..."),
    f("fall_time", Kind::Duration, "... for this long, it falls over."),
    f(
        "peers",
        Kind::Texts,
        "Where each node hears the others by UDP, by number, its own among them; nodes say nothing if absent.",
    ),
    f("listen", Kind::Text, "Where this node hears them; its own of the peers if absent."),
    f("key_file", Kind::Text, "A file with the fleet's key, the same for all: 32 bytes or more as text."),
    f(
        "hold",
        Kind::Duration,
        "So long a proof that a node is gone holds; and what a node waits at its start.",
    ),
    f("clock_drift", Kind::Number, "How far the rate of any node's clock is off at most, 0 to 0.2."),
    f(
        "refusals_prove",
        Kind::Flag,
        "Whether a refused datagram proves that no node runs there: true only where nothing between nodes rejects.",
    ),
];

/// What a node does that sees nobody else.
pub(crate) const ALONE: &[&str] = &["serve", "not-ready"];

pub(crate) const VIEW: &[Field] = &[
    f("fleet", Kind::Text, "The fleet's name, the same for all; nodes of another are not heard."),
    f("listen", Kind::Text, "Where this node hears the others by UDP; a port of its own."),
    f("address", Kind::Text, "Where the others reach it; where it listens if absent."),
    f("seeds", Kind::Texts, "Where others may be found, any that live; itself among them does no harm."),
    f("key_file", Kind::Text, "A file with the fleet's key, the same for all: 32 bytes or more as text."),
    f("alone", Kind::Choice(ALONE), "Whether a node that sees nobody else is ready; \"serve\" if absent."),
];

pub(crate) const BLAME: &[Field] = &[
    f(
        "on",
        Kind::Flag,
        "Whether failures are told apart by server, route, class, tenant and key; true if absent.",
    ),
    f("hold_at", Kind::Number, "What fails less often than this part is not held, 0.3 to 1."),
    f("memory", Kind::Duration, "Evidence fades to a third in this time."),
    f("trial_part", Kind::Number, "Trials of all that is held, as a part of all attempts, 0 to 0.2 ..."),
    f("trials", Kind::Number, "... and beside that so many a second, 0.1 to 100."),
    f("first_pause", Kind::Duration, "From a verdict to the first trial."),
    f("longest_pause", Kind::Duration, "Each failed trial doubles the pause, up to this."),
];

pub(crate) const CLIENTS: &[&str] = &["required", "asked"];

pub(crate) const LISTENER: &[Field] = &[
    f("name", Kind::Text, "Its name in logs."),
    f("address", Kind::Text, "Address and port."),
    f("kind", Kind::Choice(&["http"]), "What is spoken there."),
    f("tls", Kind::Flag, "Whether it is spoken by TLS, with the certificates of this file."),
    f(
        "client_ca",
        Kind::Text,
        "A file in PEM with the authorities of clients' certificates, asked for there.",
    ),
    f(
        "client_certificate",
        Kind::Choice(CLIENTS),
        "Whether a client without one is turned away; it is if absent.",
    ),
];

pub(crate) const PROOFS: &[&str] = &["http-01", "tls-alpn-01"];

pub(crate) const TLS: &[Field] = &[
    f("handshake_time", Kind::Duration, "A handshake that takes longer is ended."),
    f("handshakes", Kind::Count, "Handshakes at once; the oldest makes room for another."),
    f(
        "ticket_keys",
        Kind::Text,
        "A file with the fleet's keys of session tickets, 64 hexadecimal digits a line, the one for new tickets first.",
    ),
    f(
        "state",
        Kind::Text,
        "The folder for accounts, keys and certificates; shared, where nodes share them.",
    ),
    f("proof", Kind::Choice(PROOFS), "How names are proven to an authority."),
    f("orders_a_week", Kind::Count, "Orders a week for one certificate, at most."),
    f(
        "renew_part",
        Kind::Number,
        "A certificate is renewed when this part of its time is left, 0.1 to 0.8.",
    ),
];

pub(crate) const CERTIFICATE: &[Field] = &[
    f("names", Kind::Texts, "Names that it is to be good for; a star stands for a whole first label."),
    f("default", Kind::Flag, "Whether clients get it that ask for no name that is known."),
    f("chain", Kind::Text, "A file in PEM: its certificate, and those up to the root's, in order."),
    f("key", Kind::Text, "A file in PEM with its key."),
    f(
        "authorities",
        Kind::Texts,
        "In place of files: the authorities that are asked, the preferred one first.",
    ),
];

pub(crate) const AUTHORITY: &[Field] = &[
    f("directory", Kind::Text, "The address of its directory (RFC 8555, 7.1.1), by https."),
    f("root", Kind::Text, "A file in PEM with the roots that its own certificate is checked by."),
    f("contact", Kind::Texts, "Whom it may write to, such as mailto:ops@auction.lv."),
    f("account", Kind::Text, "An account that it has given out (RFC 8555, 7.3.4)."),
    f("account_key", Kind::Text, "A file with that account's key, in base64url."),
    f("timeout", Kind::Duration, "An answer of its that takes longer is none."),
];

pub(crate) const SERVER: &[Field] = &[
    f("name", Kind::Text, "Its name, the same at every node; its address if absent."),
    f("address", Kind::Text, "Address and port."),
    f("zone", Kind::Text, "Its zone."),
    f("cell", Kind::Count, "Its cell."),
    f("weight", Kind::Number, "Its size beside the others'."),
    f("warm", Kind::Flag, "It is warm already when a reload adds it; one that is added is cold if absent."),
];

pub(crate) const POOL: &[Field] = &[
    f("servers", Kind::Tables(SERVER), "A fixed list of servers."),
    f("discovery", Kind::Text, "Address and port of a discovery service, in place of a list."),
    f(
        "acts_on",
        Kind::Choice(ACTS_ON),
        "Whether its servers may act on a part of a request, or only once its last byte has come.",
    ),
];

pub(crate) const TENANT: &[Field] =
    &[f("rate", Kind::Number, "Requests a second within its share, over all nodes.")];

pub(crate) const TOP: &[Field] = &[
    f("node", Kind::Table(NODE), "This node."),
    f("fleet", Kind::Table(FLEET), "The fleet it is one of, and how cold servers are to be started."),
    f("view", Kind::Table(VIEW), "How nodes agree on who is there, by themselves; off if absent."),
    f(
        "blame",
        Kind::Table(BLAME),
        "How it is told whose fault failures are, and how what is at fault is held.",
    ),
    f("listener", Kind::Tables(LISTENER), "Where clients connect."),
    f("tls", Kind::Table(TLS), "What holds for all listeners with TLS."),
    f("certificate", Kind::Named(CERTIFICATE), "Certificates."),
    f("authority", Kind::Named(AUTHORITY), "Authorities that certificates come from, by ACME."),
    f("pool", Kind::Named(POOL), "Servers."),
    f("tenant", Kind::Named(TENANT), "Tenants with a share."),
    f(
        "defaults",
        Kind::Table(DEFAULTS),
        "Values of every route, unless class, group or route has its own.",
    ),
    f("class", Kind::Named(CLASS), "Classes of requests."),
    f("group", Kind::Named(GROUP), "Values of several routes."),
    f("route", Kind::Tables(ROUTE), "Which requests go where, and how."),
];

/// A JSON Schema of the file, for editors.
pub fn schema() -> Value {
    let mut schema = object(TOP);
    if let Some(top) = schema.as_object_mut() {
        top.insert("$schema".into(), "https://json-schema.org/draft/2020-12/schema".into());
        top.insert("title".into(), "applemill: an operator's file".into());
    }
    schema
}

fn object(fields: &[Field]) -> Value {
    let properties: Map<String, Value> = fields
        .iter()
        .map(|field| {
            let mut value = of_kind(field.kind);
            if let Some(value) = value.as_object_mut() {
                value.insert("description".into(), field.doc.into());
            }
            (field.name.to_owned(), value)
        })
        .collect();
    json!({"type": "object", "additionalProperties": false, "properties": properties})
}

fn of_kind(kind: Kind) -> Value {
    const DURATION: &str = r"^[0-9]+(\.[0-9]+)?(ms|s|m)$";
    match kind {
        Kind::Text => json!({"type": "string"}),
        Kind::Duration => json!({"type": "string", "pattern": DURATION}),
        Kind::DurationOrOff => json!({"type": "string", "pattern": format!("^off$|{DURATION}")}),
        Kind::Size => json!({"type": "string", "pattern": "^[0-9]+(B|KiB|MiB|GiB)$"}),
        Kind::Count => json!({"type": "integer", "minimum": 0}),
        Kind::Number => json!({"type": "number", "minimum": 0}),
        Kind::Flag => json!({"type": "boolean"}),
        Kind::Choice(words) => json!({"enum": words}),
        Kind::Texts => {
            json!({"oneOf": [{"type": "string"}, {"type": "array", "items": {"type": "string"}}]})
        }
        Kind::Pairs => json!({"type": "object", "additionalProperties": {"type": "string"}}),
        Kind::Source => json!({"type": "object", "minProperties": 1, "maxProperties": 1,
            "additionalProperties": false, "properties": {"header": {"type": "string"},
            "segment": {"type": "integer", "minimum": 1}, "value": {"type": "string"},
            "certificate": {"enum": ["dns", "email", "common-name"]}}}),
        Kind::Table(fields) => object(fields),
        Kind::Tables(fields) => json!({"type": "array", "items": object(fields)}),
        Kind::Named(fields) => json!({"type": "object", "additionalProperties": object(fields)}),
    }
}
