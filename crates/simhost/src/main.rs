//! Runs instances of the balancer for the simulator: reads its text protocol from standard input and writes
//! the actions to standard output. Instances share no state.

use applemill_balancer::Balancer;
use applemill_balancer::interface::{Action, Event, ListKind};
use applemill_balancer::wire::{Line, Names, parse_list_kind, settings};
use std::collections::BTreeMap;
use std::error::Error;
use std::io::{BufRead, Write};
use std::process::ExitCode;

/// One node of the simulated fleet.
struct Instance {
    names: Names,
    balancer: Balancer,
}

#[derive(Default)]
struct Host {
    /// Instances by the number in the field `who`.
    instances: BTreeMap<u64, Instance>,
    /// Scratch buffer for the actions of one event.
    actions: Vec<Action>,
    /// Reply to the current batch.
    reply: String,
}

impl Host {
    /// Passes an event to an instance and appends the resulting actions to the reply. Unknown instances are
    /// ignored.
    fn feed(&mut self, who: u64, now: f64, event: Event) {
        let Some(instance) = self.instances.get_mut(&who) else { return };
        instance.balancer.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            instance.names.write_action(who, &action, &mut self.reply);
        }
    }

    /// Handles one line of a batch. `next_line` reads the lines of the entries that follow an `update`.
    fn handle_line(
        &mut self,
        now: f64,
        text: &str,
        next_line: &mut dyn FnMut() -> Result<String, Box<dyn Error>>,
    ) -> Result<(), Box<dyn Error>> {
        let line = Line::parse(text)?;
        let who = line.integer("who")?;
        match line.name {
            "provision" => {
                let (settings, names) = settings(line.required("config")?)?;
                let balancer = Balancer::new(settings, line.integer("prng")?)?;
                self.instances.insert(who, Instance { names, balancer });
                self.feed(who, now, Event::Start);
            }
            "shutdown" => {
                self.instances.remove(&who);
            }
            "update" => {
                let kind = parse_list_kind(line.required("form")?)?;
                let count = if kind == ListKind::Failed { 0 } else { line.integer("elements")? };
                let mut entries = Vec::new();
                for _ in 0..count {
                    let text = next_line()?;
                    let entry = Line::parse(text.trim_end())?;
                    if entry.name != "backend" {
                        return Err(
                            format!("field elements: {count} announced, then {:?}", entry.name).into()
                        );
                    }
                    if let Some(instance) = self.instances.get_mut(&who) {
                        entries.push(instance.names.parse_entry(&entry)?);
                    }
                }
                self.feed(who, now, Event::List { kind, entries });
            }
            _ => {
                if let Some(instance) = self.instances.get_mut(&who) {
                    let event = instance.names.parse_event(&line)?;
                    self.feed(who, now, event);
                }
            }
        }
        Ok(())
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    let mut input = std::io::stdin().lock();
    let mut output = std::io::stdout().lock();
    let mut host = Host::default();
    let mut now = 0.0;
    let mut line = String::new();
    let mut line_number = 0_u64;
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return Ok(());
        }
        line_number += 1;
        let text = line.trim_end_matches(['\n', '\r']);
        let mut entry_lines = 0_u64;
        let result = if text.is_empty() {
            Ok(())
        } else if let Some(rest) = text.strip_prefix("round") {
            let value = rest.trim().strip_prefix("wallMs=").and_then(|v| v.parse::<f64>().ok());
            match value.filter(|time| time.is_finite()) {
                Some(time) => {
                    now = time;
                    Ok(())
                }
                None => Err("field wallMs: missing or not a number".into()),
            }
        } else if text == "eof_batch" {
            host.reply.push_str("end\n");
            output.write_all(host.reply.as_bytes())?;
            output.flush()?;
            host.reply.clear();
            Ok(())
        } else {
            host.handle_line(now, text, &mut || {
                let mut text = String::new();
                entry_lines += 1;
                if input.read_line(&mut text)? == 0 {
                    return Err("field elements: the list is cut short".into());
                }
                Ok(text)
            })
        };
        line_number += entry_lines;
        result.map_err(|e| format!("line {line_number}: {e}"))?;
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("birchspoke-simhost: {e}");
            ExitCode::from(2)
        }
    }
}
