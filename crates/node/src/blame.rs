//! Failure attribution: the admin page and commands of a node, and the command `applemill blame` that uses
//! them.

use crate::print::print;
use applemill_admin::{AdminRequest, CallError, Reply, call};
use applemill_balancer::wire::stable_hash;
use applemill_blame::{Culprit, Suspect, SuspectKind};
use applemill_ledger::OperatorCommand;
use applemill_operator::RunningPool;
use applemill_upstream::Input;
use serde_json::{Value, json};
use std::path::Path;
use std::time::Duration;

/// Path of the page on the admin socket.
const PAGE_PATH: &str = "/blame";
const HOLD_PATH: &str = "/blame/hold";
const FREE_PATH: &str = "/blame/free";
/// Interval between two queries with `--watch`.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Answers requests for this page and its commands; `None` for any other request.
pub fn answer(request: &AdminRequest, pools: &[RunningPool]) -> Option<Reply> {
    match (request.path.as_str(), &request.command) {
        (PAGE_PATH, None) => Some(Reply::Json(page(pools))),
        (HOLD_PATH | FREE_PATH, Some(command)) => Some(match parse_command(command) {
            Ok((suspect, name)) => {
                let hold = request.path == HOLD_PATH;
                for pool in pools {
                    let command = if hold {
                        OperatorCommand::Hold(suspect, Some(name.into()))
                    } else {
                        OperatorCommand::Release(suspect)
                    };
                    pool.driver.handle(Input::Operator(command));
                }
                Reply::Json(page(pools))
            }
            Err(why) => Reply::BadRequest(why),
        }),
        _ => None,
    }
}

/// Reads the suspect that a command is about, and its name.
fn parse_command(command: &Value) -> Result<(Suspect, &str), String> {
    let text = |field: &str| command.get(field).and_then(Value::as_str).filter(|t| !t.is_empty());
    let kind = text("kind").ok_or("the command has no \"kind\"")?;
    let kind = SuspectKind::parse_holdable(kind)
        .ok_or_else(|| format!("{kind:?} cannot be held: the kinds are route, tenant and key"))?;
    let name = text("name").ok_or("the command has no \"name\"")?;
    Ok((Suspect { kind, id: stable_hash(name) }, name))
}

fn page(pools: &[RunningPool]) -> Value {
    let pools = pools.iter().map(|pool| {
        let (culprits, now_ms) = pool.driver.culprits();
        let culprits: Vec<Value> = culprits.iter().map(|c| culprit_json(c, now_ms)).collect();
        json!({"pool": pool.name, "culprits": culprits})
    });
    json!({"pools": pools.collect::<Vec<_>>()})
}

fn culprit_json(culprit: &Culprit, now_ms: f64) -> Value {
    let Culprit { suspect, text, evidence, since_ms, held } = culprit;
    let round = |value: f64| (value * 10.0).round() / 10.0;
    let name = text.as_ref().map_or_else(|| format!("{:016x}", suspect.id), |t| t.to_string());
    let mut object = json!({
        "kind": suspect.kind.word(), "name": name, "for_s": round((now_ms - since_ms) / 1000.0),
        "tries": round(evidence.tries), "failures": round(evidence.failures),
        "other_tries": round(evidence.rest_tries), "other_failures": round(evidence.rest_failures),
        "held": held.is_some(),
    });
    if let Some(held) = held {
        object["by_hand"] = held.by_operator.into();
        object["refused"] = held.refused.into();
        object["trials"] = held.trials.into();
        object["trials_well"] = held.successes.into();
        if !held.by_operator {
            object["next_trial_s"] = round(((held.next_ms - now_ms) / 1000.0).max(0.0)).into();
        }
    }
    object
}

/// What `applemill blame` is asked to do.
pub enum BlameAction<'a> {
    /// Print what failures are attributed to.
    Show {
        /// Print JSON instead of a table.
        json: bool,
        /// Repeat until interrupted.
        watch: bool,
    },
    /// Hold a suspect: kind and name.
    Hold(&'a str, &'a str),
    /// Release a suspect: kind and name.
    Free(&'a str, &'a str),
}

/// Runs the action at the node behind the admin socket. Returns true if no failures are attributed to
/// anything, or if a hold or release was carried out.
///
/// # Errors
/// No node answers, or it refuses the command.
pub fn run(socket: &Path, action: &BlameAction<'_>) -> Result<bool, CallError> {
    let send = |path: &str, kind: &str, name: &str| {
        let command = json!({"kind": kind, "name": name});
        call(socket, path, Some(&command)).map(|page| print(&table(&page)))
    };
    match *action {
        BlameAction::Hold(kind, name) => send(HOLD_PATH, kind, name).map(|()| true),
        BlameAction::Free(kind, name) => send(FREE_PATH, kind, name).map(|()| true),
        BlameAction::Show { json, watch } => loop {
            let page = call(socket, PAGE_PATH, None)?;
            print(&if json { format!("{page}\n") } else { table(&page) });
            if !watch {
                let pools = page["pools"].as_array().into_iter().flatten();
                return Ok(pools.filter_map(|p| p["culprits"].as_array()).all(Vec::is_empty));
            }
            std::thread::sleep(WATCH_INTERVAL);
        },
    }
}

/// The page as text, one line for each finding.
fn table(page: &Value) -> String {
    let mut text = String::new();
    for pool in page["pools"].as_array().into_iter().flatten() {
        let culprits = pool["culprits"].as_array().map(Vec::as_slice).unwrap_or_default();
        let name = pool["pool"].as_str().unwrap_or_default();
        if culprits.is_empty() {
            text += &format!("pool {name}: nothing is at fault\n");
        }
        for c in culprits {
            let measures = match (c["held"].as_bool(), c["by_hand"].as_bool()) {
                (Some(true), Some(true)) => format!("held by hand, {} refused", c["refused"]),
                (Some(true), _) => format!(
                    "held, {} refused, {} trials, the last {} succeeded, next in {} s",
                    c["refused"], c["trials"], c["trials_well"], c["next_trial_s"]
                ),
                _ => "not counted against servers".to_owned(),
            };
            text += &format!(
                "pool {name}: {} {:?} for {} s: {} of {} attempts failed, \
                 of all others {} of {}; {measures}\n",
                c["kind"].as_str().unwrap_or_default(),
                c["name"].as_str().unwrap_or_default(),
                c["for_s"],
                c["failures"],
                c["tries"],
                c["other_failures"],
                c["other_tries"],
            );
        }
    }
    text
}
