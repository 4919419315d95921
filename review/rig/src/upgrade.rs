//! `applemill upgrade` with a file whose `admin` socket cannot be made, under a light load of bids.

use crate::rig::{Exchange, Outcome, Rig, exchange, free_address, listen, read_head};
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const CLIENTS: usize = 6;
/// Longer than the 900 ms that a client of the class waits.
const PATIENCE: Duration = Duration::from_millis(2000);

fn file_text(rig: &Rig, listens: SocketAddr, server: SocketAddr, admin: &Path) -> String {
    let hand_over = rig.temporary("hand-over.sock");
    format!(
        r#"
[node]
name = "floor-1"
memory = "64MiB"
admin = {admin:?}
hand_over = {hand_over:?}

[[listener]]
name = "front"
address = "{listens}"

[pool.floor]
servers = [{{ address = "{server}" }}]

[class.bid]
effect = "unsafe"
patience = "900ms"
worth = 10

[[route]]
name = "bid"
path = "/api/bid"
method = "POST"
class = "bid"
pool = "floor"
"#
    )
}

/// A server that answers each bid after 100 ms.
fn start_server(rig: &Rig) -> Result<SocketAddr, String> {
    let rig = rig.clone();
    listen(move |mut stream| {
        while let Ok(Some((head, _))) = read_head(&mut stream) {
            rig.say(&format!("server: {}", head.lines().next().unwrap_or_default()));
            std::thread::sleep(Duration::from_millis(100));
            if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").is_err() {
                return;
            }
        }
    })
}

pub fn play(rig: &Rig) -> Outcome {
    let (listens, server) = (free_address()?, start_server(rig)?);
    let file = rig.temporary("operator.toml");
    let write = |admin: &Path| {
        std::fs::write(&file, file_text(rig, listens, server, admin)).map_err(|e| e.to_string())
    };
    write(&rig.temporary("admin.sock"))?;
    let node = rig.start_node(&file)?;
    rig.wait_until_up(listens)?;

    // Each bid has a connection of its own: no request can cross the end of a resting one.
    let ended = Arc::new(Mutex::new(Vec::new()));
    let upgraded_at = Arc::new(Mutex::new(f64::INFINITY));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (rig, ended, upgraded_at) = (rig.clone(), ended.clone(), upgraded_at.clone());
            std::thread::spawn(move || {
                let mut number = 0;
                // For four seconds after the upgrade.
                while rig.now() < *upgraded_at.lock().unwrap() + 4.0 {
                    number += 1;
                    let begun = rig.now();
                    let request = format!(
                        "POST /api/bid?n={client}-{number} HTTP/1.1\r\nHost: auction.lv\r\nContent-Length: 0\r\n\r\n"
                    );
                    let end = exchange(listens, request.as_bytes(), PATIENCE);
                    rig.say(&format!("client: bid {client}-{number}, sent at {begun:.3}: {end:?}"));
                    ended.lock().unwrap().push((begun, end));
                    std::thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1500));

    let admin = if rig.trouble() { "missing/admin.sock" } else { "admin-2.sock" };
    write(&rig.temporary(admin))?;
    let path = file.display().to_string();
    let (checked, _) = rig.command(&["check", &path])?;
    if checked != 0 {
        return Err("the check refuses the file".into());
    }
    let (code, output) = rig.command(&["upgrade", "--config", &path])?;
    if let Some(pid) = output.split_whitespace().nth(1).and_then(|word| word.parse().ok()) {
        rig.add_process(pid);
    }
    *upgraded_at.lock().unwrap() = rig.now();
    for client in clients {
        client.join().map_err(|_| "a client ended early")?;
    }

    let ended = ended.lock().unwrap();
    let count = |wanted: fn(&Exchange) -> bool| ended.iter().filter(|(_, end)| wanted(end)).count();
    let answered = count(|end| matches!(end, Exchange::Answered(..)));
    let lost = count(|end| matches!(end, Exchange::NoAnswer(_)));
    let not_taken = count(|end| matches!(end, Exchange::NotConnected(_) | Exchange::NotWritten(_)));
    rig.say(&format!(
        "upgrade: exit code {code}; of {} bids {answered} were answered, {lost} taken and never answered, \
         {not_taken} found no node; the first node has {}",
        ended.len(),
        match rig.status_of(node) {
            Some(status) => format!("ended ({status})"),
            None => "not ended".into(),
        }
    ));
    if answered == 0 {
        return Err("no bid was answered".into());
    }
    // With exit code 0 the new process serves, with 1 the old one goes on: either way a node takes clients,
    // and what it takes it answers.
    Ok(lost > 0 || not_taken > 0)
}
