//! Lists are pushed. A node is killed, a server drains while it is away, discovery goes down, and the node starts again in
//! the outage. What its agent has counts as told from the first moment of the new process.

use review_cases_2::platform::{Lists, Server, bid_on, config, server};
use review_cases_2::*;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 4;
/// The server that leaves.
const LEAVING: usize = 1;
const CLIENTS: usize = 6;
/// The node is killed so long after the start, and starts again after its time away.
const KILLED_AFTER: Duration = Duration::from_secs(2);
const AWAY: Duration = Duration::from_millis(1_500);
/// Meanwhile the server drains, and discovery goes down behind that.
const DRAINS_AFTER: Duration = Duration::from_millis(2_500);
const DOWN_AFTER: Duration = Duration::from_secs(3);
/// Discovery is down for 6 s.
const BACK_AFTER: Duration = Duration::from_secs(9);
/// The leaving server ends 6 s after its announcement.
const ENDS_AFTER: Duration = Duration::from_millis(8_500);
/// `drainGraceMs`, and the 50 ms by which each limit is longer on sockets.
const GRACE: Duration = Duration::from_millis(550);

/// Discovery's agent beside the node.
struct Agent {
    started: Instant,
    addresses: Vec<SocketAddr>,
    record: Record,
}

fn list(addresses: &[SocketAddr], drains: bool) -> String {
    let entry = |(server, address): (usize, &SocketAddr)| {
        let state = if drains && server == LEAVING { "draining" } else { "up" };
        format!(
            "{{\"uid\":\"s-{server}\",\"endpoint\":\"{address}\",\"az\":\"a\",\"model\":\"m\",\"pod_group\":0,\
             \"state\":\"{state}\",\"capacity_hint\":1.0,\"boot_ms\":0}}"
        )
    };
    let entries: Vec<String> = addresses.iter().enumerate().map(entry).collect();
    format!("{{\"rev\":{},\"all\":true,\"targets\":[{}]}}", 1 + u64::from(drains), entries.join(","))
}

impl Agent {
    fn has_drain(&self) -> bool {
        self.started.elapsed() >= DRAINS_AFTER
    }

    fn is_silent(&self) -> bool {
        trouble() && (DOWN_AFTER..BACK_AFTER).contains(&self.started.elapsed())
    }

    /// A call that is open or comes during the outage gets no answer, also not later.
    fn stay_silent(&self, path: &str) -> std::io::Result<()> {
        self.record.line(format!("agent: asked {path}, and silent"));
        thread::sleep(Duration::from_secs(60));
        Ok(())
    }

    fn handle(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = Head::read(&mut reader)? {
            let value = |name: &str| {
                let (_, rest) = head.path().split_once(name)?;
                rest.split('&').next()?.parse::<u64>().ok()
            };
            let (after, wait) = (value("after="), Duration::from_millis(value("wait_ms=").unwrap_or(0)));
            let began = Instant::now();
            let has_news = || after.is_none_or(|after| after < 1 + u64::from(self.has_drain()));
            while !self.is_silent() && !has_news() && began.elapsed() < wait {
                thread::sleep(Duration::from_millis(5));
            }
            if self.is_silent() {
                return self.stay_silent(head.path());
            }
            let body = if has_news() {
                list(&self.addresses, self.has_drain())
            } else {
                format!("{{\"rev\":{},\"all\":false,\"targets\":[]}}", after.unwrap_or(1))
            };
            write_ok(&mut stream, &body)?;
            stream.flush()?;
        }
        stream.shutdown(Shutdown::Both)
    }
}

fn sleep_until(started: Instant, after: Duration) {
    thread::sleep(after.saturating_sub(started.elapsed()));
}

fn run(record: &Record) -> Result<Vec<String>, String> {
    let folder = Folder::create("outage");
    let servers: Vec<Arc<Server>> = (0..SERVERS).map(|_| Arc::default()).collect();
    let addresses: Vec<SocketAddr> = servers.iter().map(|state| server(state.clone())).collect();
    let known = list(&addresses, false);
    let started = Instant::now();
    let agent = Agent { started, addresses, record: record.clone() };
    let discovery = serve(move |stream| agent.handle(stream));
    let listen = free_address();
    let lists = Lists { mode: "pushed", discovery, known: &known };
    let file = folder.put("config.json", &config(0, 1, listen, &lists));
    let node = Node::start_on_platform(&file, folder.path("node-1.log"))?;
    node.wait_until_ready(listen)?;
    let (end, counts) = (Arc::new(AtomicBool::new(false)), Arc::new([const { AtomicUsize::new(0) }; 3]));
    let start_clients = || -> Vec<_> {
        let client = |client| {
            let (end, counts, record) = (end.clone(), counts.clone(), record.clone());
            thread::spawn(move || bid_on(listen, client, &end, &counts, &record))
        };
        (0..CLIENTS).map(client).collect()
    };
    let clients = start_clients();
    sleep_until(started, KILLED_AFTER);
    // The front sends clients elsewhere while the node is away.
    end.store(true, SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    drop(node);
    let begun_before = servers[LEAVING].begun.lock().unwrap().len();
    record.line(format!("the node is killed; server {LEAVING} had {begun_before} bids so far"));
    sleep_until(started, DRAINS_AFTER);
    record.line(format!("the agent has: server {LEAVING} drains"));
    sleep_until(started, DOWN_AFTER);
    if trouble() {
        record.line("discovery is down, and the agent silent");
    }
    sleep_until(started, KILLED_AFTER + AWAY);
    let first_moment = Instant::now();
    let node = Node::start_on_platform(&file, folder.path("node-2.log"))?;
    record.line("the node is started again, by the same configuration");
    node.wait_until_ready(listen)?;
    record.line("the node is ready");
    end.store(false, SeqCst);
    counts.iter().for_each(|count| count.store(0, SeqCst));
    let clients = start_clients();
    sleep_until(started, ENDS_AFTER);
    servers[LEAVING].ended.store(true, SeqCst);
    record.line(format!(
        "server {LEAVING} ends, {:.1} s after its announcement",
        (ENDS_AFTER - DRAINS_AFTER).as_secs_f64()
    ));
    sleep_until(started, BACK_AFTER + Duration::from_secs(2));
    end.store(true, SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    let [served, refused, failed] = [0, 1, 2].map(|kind| counts[kind].load(SeqCst));
    record.line(format!("bids after the restart: {served} served, {refused} refused, {failed} failed"));
    if served == 0 || begun_before == 0 {
        return Err("too few bids were served".to_owned());
    }
    let begun = servers[LEAVING].begun.lock().unwrap();
    let after = begun.iter().filter_map(|at| at.checked_duration_since(first_moment));
    let late: Vec<f64> = after.filter(|after| *after > GRACE).map(|after| after.as_secs_f64()).collect();
    let text = |first: &f64, last: &f64| {
        format!(
            "{} bids began at the draining server {first:.2} to {last:.2} s after the new process's first moment, \
             where {:.2} s are allowed",
            late.len(),
            GRACE.as_secs_f64()
        )
    };
    Ok(late.first().zip(late.last()).map(|(first, last)| text(first, last)).into_iter().collect())
}

fn main() -> ExitCode {
    let record = Record::create();
    let result = run(&record);
    verdict(&record, result)
}
