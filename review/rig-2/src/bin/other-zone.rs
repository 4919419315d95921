//! A pool's servers come from discovery, and drop the repeats of a key within their zone. A keyed request whose server
//! breaks the connection may be sent again within that zone alone.

use review_cases_2::*;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const ZONES: [&str; 3] = ["riga-1", "jelgava-1", "valmiera-1"];
const SERVERS_PER_ZONE: usize = 2;
const PAYMENTS: usize = 40;
/// One in so many payments meets a connection that breaks after the server has run it.
const BREAK_EVERY: usize = 8;

/// Where each key has run: the zones, in order.
type Runs = Arc<Mutex<BTreeMap<String, Vec<&'static str>>>>;

/// A server that drops the repeats of a key that its zone has run. It breaks the connection of some first attempts
/// after it has run them.
fn server(
    name: String,
    zone: &'static str,
    runs: Runs,
    seen: Arc<AtomicUsize>,
    record: Record,
) -> SocketAddr {
    serve(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = Head::read(&mut reader)? {
            skip(&mut reader, head.length())?;
            let Some(key) = head.header("idempotency-key").map(str::to_owned) else {
                write_ok(&mut stream, "page")?;
                continue;
            };
            let is_first = {
                let mut runs = runs.lock().unwrap();
                let zones = runs.entry(key.clone()).or_default();
                let is_first = zones.is_empty();
                if zones.contains(&zone) {
                    record.line(format!("{name} in {zone}: {key} is a repeat, dropped"));
                } else {
                    record.line(format!("{name} in {zone}: runs {key}"));
                    zones.push(zone);
                }
                is_first
            };
            if is_first && seen.fetch_add(1, SeqCst) % BREAK_EVERY == BREAK_EVERY - 1 && trouble() {
                record.line(format!("{name} in {zone}: breaks the connection of {key}"));
                return stream.shutdown(std::net::Shutdown::Both);
            }
            write_ok(&mut stream, "paid")?;
        }
        Ok(())
    })
}

/// Discovery, which answers each call with the whole list, a watch when its time is over.
fn discovery(targets: String) -> SocketAddr {
    serve(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = Head::read(&mut reader)? {
            let wait_ms = head.path().split("wait_ms=").nth(1).and_then(|text| text.parse::<u64>().ok());
            let body = match wait_ms {
                Some(wait_ms) => {
                    thread::sleep(Duration::from_millis(wait_ms.min(60_000)));
                    "{\"rev\":1,\"all\":false,\"targets\":[]}".to_owned()
                }
                None => format!("{{\"rev\":1,\"all\":true,\"targets\":[{targets}]}}"),
            };
            write_ok(&mut stream, &body)?;
        }
        Ok(())
    })
}

fn file(listen: SocketAddr, discovery: SocketAddr) -> String {
    format!(
        "[node]\nname = \"floor-1\"\nmemory = \"192MiB\"\n\
         [[listener]]\naddress = \"{listen}\"\n\
         [pool.floor]\ndiscovery = \"{discovery}\"\n\
         [class.pay]\neffect = \"keyed\"\npatience = \"2s\"\nrepeats_dropped_by = \"zone\"\n\
         repeats_dropped_for = \"30s\"\n\
         [[route]]\nname = \"pay\"\npath = \"/pay\"\nmethod = \"POST\"\nclass = \"pay\"\npool = \"floor\"\n\
         retry = \"may-have-run\"\n"
    )
}

fn pay(address: SocketAddr, key: &str) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    write!(
        stream,
        "POST /pay HTTP/1.1\r\nHost: a.lv\r\nIdempotency-Key: {key}\r\nContent-Length: 3\r\nConnection: close\r\n\r\n100"
    )?;
    read_answer(&mut BufReader::new(stream)).map(|answer| answer.status)
}

fn run(record: &Record) -> Result<Vec<String>, String> {
    let folder = Folder::create("zone");
    let (runs, seen) = (Runs::default(), Arc::new(AtomicUsize::new(0)));
    let mut targets = Vec::new();
    for (zone, number) in ZONES.iter().flat_map(|zone| (1..=SERVERS_PER_ZONE).map(move |n| (*zone, n))) {
        let name = format!("s-{zone}-{number}");
        let address = server(name.clone(), zone, runs.clone(), seen.clone(), record.clone());
        targets.push(format!(
            "{{\"uid\":\"{name}\",\"endpoint\":\"{address}\",\"az\":\"{zone}\",\"model\":\"std-1c\",\"pod_group\":0,\
             \"state\":\"up\",\"capacity_hint\":1.0,\"boot_ms\":0}}"
        ));
    }
    let listen = free_address();
    let text = file(listen, discovery(targets.join(",")));
    let node = Node::start(&folder.put("operator.toml", &text), folder.path("node.log"))?;
    node.wait_until_ready(listen)?;
    record.line(format!("{} servers in {} zones, from discovery", targets.len(), ZONES.len()));
    let mut answered = 0;
    for number in 0..PAYMENTS {
        let key = format!("key-{number}");
        let status = pay(listen, &key).map_err(|e| e.kind());
        answered += usize::from(status == Ok(200));
        record.line(format!("client: {key} answered {status:?}"));
        thread::sleep(Duration::from_millis(100));
    }
    if answered == 0 {
        return Err(format!("no payment was answered 200; the log: {}", node.log()));
    }
    let runs = runs.lock().unwrap();
    let twice = runs.iter().filter(|(_, zones)| zones.len() > 1);
    Ok(twice
        .map(|(key, zones)| format!("keyed {key} ran {} times, in {}", zones.len(), zones.join(" and ")))
        .collect())
}

fn main() -> ExitCode {
    let record = Record::create();
    let result = run(&record);
    verdict(&record, result)
}
