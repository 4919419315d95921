//! The fleet: the admin page and command of a node, and the command `applemill fleet` that uses them.

use crate::print::print;
use applemill_admin::{AdminRequest, CallError, Reply, call};
use applemill_fleet::{FleetNode, FleetView, NodeInfo, PeerStatus, state_label};
use serde_json::{Value, json};
use std::path::Path;
use std::time::Duration;

/// Path of the page on the admin socket.
const PAGE_PATH: &str = "/fleet";
const FORGET_PATH: &str = "/fleet/forget";
/// Interval between two queries with `--watch`.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Answers requests for this page and its command; `None` for any other request.
pub fn answer(request: &AdminRequest, fleet: Option<&FleetNode>) -> Option<Reply> {
    let no_fleet = || {
        Reply::BadRequest("this node's file lists no peers in [fleet], so that it has no fleet".to_owned())
    };
    match (request.path.as_str(), &request.command) {
        (PAGE_PATH, None) => Some(fleet.map_or_else(no_fleet, |f| Reply::Json(page(&f.view())))),
        (FORGET_PATH, Some(command)) => Some(fleet.map_or_else(no_fleet, |f| forget(command, f))),
        _ => None,
    }
}

fn forget(command: &Value, fleet: &FleetNode) -> Reply {
    let Some(node) = command.get("node").and_then(Value::as_u64).and_then(|n| u32::try_from(n).ok()) else {
        return Reply::BadRequest("the command has no \"node\", or it is not a node number".to_owned());
    };
    match fleet.forget(node) {
        Ok(()) => Reply::Json(page(&fleet.view())),
        Err(e) => Reply::BadRequest(e.to_string()),
    }
}

/// Text of a version that is packed into three bytes.
fn version_text(packed: u32) -> String {
    let [_, major, minor, patch] = packed.to_be_bytes();
    format!("{major}.{minor}.{patch}")
}

/// Whether a peer runs another version or configuration than this node, or two processes use its number.
pub fn is_inconsistent(peer: &PeerStatus, info: &NodeInfo) -> bool {
    peer.duplicate
        || peer.heard_ms.is_some() && (peer.info.version, peer.info.config) != (info.version, info.config)
}

fn page(view: &FleetView) -> Value {
    let seconds = |ms: f64| (ms / 100.0).round() / 10.0;
    let info = &view.info;
    let peers = view.peer_statuses.iter().map(|peer| {
        let heard_s = peer.heard_ms.map(|at| seconds(view.now_ms - at));
        json!({
            "node": peer.node, "state": state_label(peer.state), "heard_s": heard_s,
            "incarnation": peer.incarnation,
            "version": heard_s.map(|_| version_text(peer.info.version)),
            "config": heard_s.map(|_| format!("{:08x}", peer.info.config)),
            "other_version": heard_s.is_some() && peer.info.version != info.version,
            "other_config": heard_s.is_some() && peer.info.config != info.config,
            "double": peer.duplicate,
        })
    });
    let until_ms = view.senders.until_ms;
    json!({
        "node": view.number, "nodes": view.nodes, "incarnation": view.incarnation,
        "version": version_text(info.version), "config": format!("{:08x}", info.config),
        "senders": view.senders.nodes, "share": view.senders.nodes.map(|n| 1.0 / f64::from(n.max(1))),
        "holds_s": until_ms.is_finite().then(|| seconds(until_ms - view.now_ms)),
        "double": view.has_duplicate, "beyond": view.unconfigured, "waits_for": view.awaited_peers,
        "others": peers.collect::<Vec<_>>(),
    })
}

/// What `applemill fleet` is asked to do.
pub enum FleetAction {
    /// Print the state of all nodes.
    Status {
        /// Print JSON instead of a table.
        json: bool,
        /// Repeat until interrupted.
        watch: bool,
    },
    /// Declare that the node with this number is gone with its machine.
    Forget(u32),
}

/// Runs the action at the node behind the admin socket. Returns true if no node needs attention, or if the
/// node was forgotten.
///
/// # Errors
/// No node answers, or it refuses the command.
pub fn run(socket: &Path, action: &FleetAction) -> Result<bool, CallError> {
    match *action {
        FleetAction::Forget(node) => {
            let page = call(socket, FORGET_PATH, Some(&json!({"node": node})))?;
            print(&table(&page));
            Ok(true)
        }
        FleetAction::Status { json, watch } => loop {
            let page = call(socket, PAGE_PATH, None)?;
            print(&if json { format!("{page}\n") } else { table(&page) });
            if !watch {
                return Ok(is_healthy(&page));
            }
            std::thread::sleep(WATCH_INTERVAL);
        },
    }
}

/// Whether all nodes are alive or left in order, run the same version and configuration, and have unique
/// numbers.
fn is_healthy(page: &Value) -> bool {
    let others = page["others"].as_array().map(Vec::as_slice).unwrap_or_default();
    let is_true = |value: &Value, field: &str| value[field].as_bool() == Some(true);
    let consistent =
        |peer: &Value| !["other_version", "other_config", "double"].iter().any(|f| is_true(peer, f));
    let all_well = others
        .iter()
        .all(|peer| matches!(peer["state"].as_str(), Some("alive" | "left")) && consistent(peer));
    let unconfigured = page["beyond"].as_array().is_some_and(|b| !b.is_empty());
    all_well && !is_true(page, "double") && !unconfigured && page["senders"].is_u64()
}

/// The page as a table.
fn table(page: &Value) -> String {
    let share = match page["senders"].as_u64() {
        Some(n) => format!("sends one part in {n} of what a cold server may get"),
        None => "sends nothing to cold servers yet".to_owned(),
    };
    let mut text = format!(
        "node {} of {}: {share}; version {}, configuration {}\n",
        page["node"],
        page["nodes"],
        page["version"].as_str().unwrap_or_default(),
        page["config"].as_str().unwrap_or_default()
    );
    let list = |field: &str| page[field].as_array().filter(|l| !l.is_empty()).map(|l| json!(l).to_string());
    if page["double"].as_bool() == Some(true) {
        text += "ATTENTION: another process runs under this node's number\n";
    }
    if let Some(unconfigured) = list("beyond") {
        text += &format!("ATTENTION: peers report nodes {unconfigured}, which are not configured here\n");
    }
    if let Some(awaited) = list("waits_for") {
        text += &format!("this node was forgotten: it waits until nodes {awaited} know that it is back\n");
    }
    for peer in page["others"].as_array().into_iter().flatten() {
        let heard = peer["heard_s"]
            .as_f64()
            .map_or_else(|| "never heard".to_owned(), |s| format!("heard {s:.1} s ago"));
        let mark = |field: &str, text: &str| {
            if peer[field].as_bool() == Some(true) { text.to_owned() } else { String::new() }
        };
        text += &format!(
            "  {:>4}  {:<9}  {heard:<17}  {:<8}  {:<8}{}{}{}\n",
            peer["node"].to_string(),
            peer["state"].as_str().unwrap_or_default(),
            peer["version"].as_str().unwrap_or("-"),
            peer["config"].as_str().unwrap_or("-"),
            mark("other_version", "  ANOTHER VERSION"),
            mark("other_config", "  ANOTHER CONFIGURATION"),
            mark("double", "  TWO PROGRAMS"),
        );
    }
    text
}
