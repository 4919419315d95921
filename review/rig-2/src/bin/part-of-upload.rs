//! An operator's reload says that servers may act on a part of a request. An unsafe upload whose server acts on
//! its part and then breaks the connection must not be sent to another server.

use review_cases_2::*;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const REPORTS: usize = 8;
const PART_BYTES: usize = 4_000;
const REPORT_BYTES: usize = 12_000;

/// How often each report was acted on.
type Runs = Arc<Mutex<BTreeMap<String, usize>>>;

/// A server that acts on a report as soon as its first part is there, as `acts_on = "part"` allows. It breaks the
/// connection of the first attempt that it or its neighbour has acted on, and answers the others.
fn server(number: usize, runs: Runs, record: Record) -> SocketAddr {
    serve(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = Head::read(&mut reader)? {
            if head.length() < REPORT_BYTES {
                skip(&mut reader, head.length())?;
                write_ok(&mut stream, "bid")?;
                continue;
            }
            skip(&mut reader, PART_BYTES)?;
            let id = head.header("x-trace-id").unwrap_or("none").to_owned();
            let earlier = {
                let mut runs = runs.lock().unwrap();
                let count = runs.entry(id.clone()).or_default();
                *count += 1;
                *count - 1
            };
            record
                .line(format!("server {number}: acts on the part of {id} that came ({PART_BYTES} bytes)"));
            if earlier == 0 {
                record.line(format!("server {number}: breaks the connection of {id}"));
                return stream.shutdown(std::net::Shutdown::Both);
            }
            skip(&mut reader, head.length() - PART_BYTES)?;
            write_ok(&mut stream, "filed")?;
        }
        Ok(())
    })
}

fn file(listen: SocketAddr, servers: &[SocketAddr], acts_on: &str) -> String {
    let servers: Vec<String> = servers.iter().map(|s| format!("{{ address = \"{s}\" }}")).collect();
    format!(
        "[node]\nname = \"floor-1\"\nmemory = \"192MiB\"\n\
         [[listener]]\naddress = \"{listen}\"\n\
         [pool.floor]\nservers = [{}]\nacts_on = \"{acts_on}\"\n\
         [class.report]\neffect = \"unsafe\"\npatience = \"4s\"\n\
         [[route]]\nname = \"condition reports\"\npath = \"/reports\"\nmethod = \"POST\"\nclass = \"report\"\n\
         pool = \"floor\"\nbody = \"stream\"\n",
        servers.join(", ")
    )
}

/// Uploads a report, the second part a moment after the first, and returns its status.
fn upload(address: SocketAddr, id: &str) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    write!(
        stream,
        "POST /reports HTTP/1.1\r\nHost: a.lv\r\nX-Trace-Id: {id}\r\nContent-Length: {REPORT_BYTES}\r\n\r\n"
    )?;
    stream.write_all(&[b'r'; PART_BYTES])?;
    thread::sleep(Duration::from_millis(300));
    // The node may have answered and closed meanwhile.
    let _ = stream.write_all(&[b'r'; REPORT_BYTES - PART_BYTES]);
    read_answer(&mut BufReader::new(stream)).map(|answer| answer.status)
}

fn run(record: &Record) -> Result<Vec<String>, String> {
    let folder = Folder::create("part");
    let runs = Runs::default();
    let servers: Vec<SocketAddr> = (1..=3).map(|n| server(n, runs.clone(), record.clone())).collect();
    let listen = free_address();
    let before = if trouble() { "whole" } else { "part" };
    let path = folder.put("operator.toml", &file(listen, &servers, before));
    record.line(format!("the node starts by a file with acts_on = \"{before}\""));
    let node = Node::start(&path, folder.path("node.log"))?;
    node.wait_until_ready(listen)?;
    if trouble() {
        folder.put("operator.toml", &file(listen, &servers, "part"));
        record.line("the file says acts_on = \"part\" now; SIGHUP");
        signal(node.id(), "-HUP");
        node.wait_for_log("operator's file read again")?;
        let log = node.log();
        let taken = log.lines().find(|line| line.contains("read again")).unwrap_or_default();
        record.line(format!("the node's log: {taken}"));
    }
    for number in 0..REPORTS {
        let id = format!("report-{number}");
        let status = upload(listen, &id).map_or_else(|e| e.to_string(), |status| status.to_string());
        record.line(format!("client: {id} answered {status}"));
        thread::sleep(Duration::from_millis(200));
    }
    let runs = runs.lock().unwrap();
    if runs.is_empty() {
        return Err("no report reached a server".to_owned());
    }
    let twice = runs.iter().filter(|(_, count)| **count > 1);
    Ok(twice.map(|(id, count)| format!("unsafe {id} was acted on {count} times")).collect())
}

fn main() -> ExitCode {
    let record = Record::create();
    let result = run(&record);
    verdict(&record, result)
}
