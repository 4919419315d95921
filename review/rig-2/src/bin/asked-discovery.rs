//! Lists are asked for. Discovery is down for some seconds, is crowded at its return, and has a server that begins to
//! drain. Nothing new may go there later than 6 s and the grace after discovery had that and could be reached.

use review_cases_2::platform::{Lists, Server, bid_on, config, server};
use review_cases_2::*;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const NODES: usize = 4;
const SERVERS: usize = 4;
/// The server that leaves.
const LEAVING: usize = 1;
/// Discovery goes down so long after the start.
const DOWN_AFTER: Duration = Duration::from_secs(3);
/// It is back right after the first call that fails so long after that.
const BACK_AFTER: Duration = Duration::from_millis(5_500);
/// At its return discovery is crowded: the first call of each node (the first [`NODES`] calls) waits so long and then
/// ends with 503.
const CROWDED_FOR: Duration = Duration::from_secs(1);
/// "A change counts as told at the latest 6 s after discovery had it and could be reached."
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// `drainGraceMs`, and the 50 ms by which each limit is longer on sockets.
const GRACE: Duration = Duration::from_millis(550);
/// The leaving server ends so long after its announcement.
const ENDS_AFTER: Duration = Duration::from_millis(6_900);
/// Clients of each node.
const CLIENTS: usize = 4;

/// What discovery has, and in which state it is.
#[derive(Default)]
struct State {
    down_since: Option<Instant>,
    /// When discovery was back, with the announcement.
    announced: Option<Instant>,
    crowded_calls: usize,
}

struct Discovery {
    started: Instant,
    state: Mutex<State>,
    addresses: Vec<SocketAddr>,
    record: Record,
}

impl Discovery {
    fn is_down(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        if trouble() && state.down_since.is_none() && self.started.elapsed() >= DOWN_AFTER {
            state.down_since = Some(Instant::now());
            self.record.line("discovery: down");
        }
        if !trouble() && state.announced.is_none() && self.started.elapsed() >= DOWN_AFTER + BACK_AFTER {
            state.announced = Some(Instant::now());
            self.record.line(format!("discovery: server {LEAVING} drains"));
        }
        state.down_since.is_some() && state.announced.is_none()
    }

    fn announced(&self) -> Option<Instant> {
        self.state.lock().unwrap().announced
    }

    fn entry(&self, server: usize, state: &str) -> String {
        format!(
            "{{\"uid\":\"s-{server}\",\"endpoint\":\"{}\",\"az\":\"a\",\"model\":\"m\",\"pod_group\":0,\
             \"state\":\"{state}\",\"capacity_hint\":1.0,\"boot_ms\":0}}",
            self.addresses[server]
        )
    }

    /// The answer to a call: the changes after a version, or all.
    fn list(&self, after: Option<u64>) -> String {
        let drains = self.announced().is_some();
        let revision = if drains { 2 } else { 1 };
        if after.is_some() {
            let changed =
                if drains && after == Some(1) { self.entry(LEAVING, "draining") } else { String::new() };
            return format!("{{\"rev\":{revision},\"all\":false,\"targets\":[{changed}]}}");
        }
        let state = |server| if drains && server == LEAVING { "draining" } else { "up" };
        let entries: Vec<String> = (0..SERVERS).map(|server| self.entry(server, state(server))).collect();
        format!("{{\"rev\":{revision},\"all\":true,\"targets\":[{}]}}", entries.join(","))
    }

    fn refuse(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        write!(stream, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
    }

    /// A call that finds discovery down ends with 503; some time later discovery is back.
    fn fail(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        self.record.line("discovery: a call ends with 503, as it is down");
        self.refuse(stream)?;
        let mut state = self.state.lock().unwrap();
        if state.announced.is_none() && state.down_since.is_some_and(|since| since.elapsed() >= BACK_AFTER)
        {
            state.announced = Some(Instant::now());
            self.record.line(format!("discovery: back; server {LEAVING} drains"));
        }
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
            self.record.line(format!("discovery: asked {}", head.path()));
            if self.is_down() {
                return self.fail(&mut stream);
            }
            let is_crowded = {
                let mut state = self.state.lock().unwrap();
                let is_crowded = trouble() && state.announced.is_some() && state.crowded_calls < NODES;
                state.crowded_calls += usize::from(is_crowded);
                is_crowded
            };
            if is_crowded {
                thread::sleep(CROWDED_FOR);
                self.record.line("discovery: the call has waited too long and ends with 503");
                return self.refuse(&mut stream);
            }
            let began = Instant::now();
            while after.is_some()
                && began.elapsed() < wait
                && !(self.announced().is_some() && after == Some(1))
            {
                thread::sleep(Duration::from_millis(10));
                if self.is_down() {
                    // When discovery goes down, watches end.
                    return stream.shutdown(Shutdown::Both);
                }
            }
            write_ok(&mut stream, &self.list(after))?;
        }
        Ok(())
    }
}

fn run(record: &Record) -> Result<Vec<String>, String> {
    let folder = Folder::create("asked");
    let servers: Vec<Arc<Server>> = (0..SERVERS).map(|_| Arc::default()).collect();
    let addresses: Vec<SocketAddr> = servers.iter().map(|state| server(state.clone())).collect();
    let started = Instant::now();
    let discovery =
        Arc::new(Discovery { started, state: Mutex::default(), addresses, record: record.clone() });
    let handler = discovery.clone();
    let address = serve(move |stream| handler.handle(stream));
    let known = "{\"rev\":0,\"all\":true,\"targets\":[]}";
    let lists = Lists { mode: "on_request", discovery: address, known };
    let mut nodes = Vec::new();
    for number in 0..NODES {
        let listen = free_address();
        let file = folder.put(&format!("config-{number}.json"), &config(number, NODES, listen, &lists));
        let node = Node::start_on_platform(&file, folder.path(&format!("node-{number}.log")))?;
        node.wait_until_ready(listen)?;
        nodes.push((node, listen));
    }
    let (end, counts) = (Arc::new(AtomicBool::new(false)), Arc::new([const { AtomicUsize::new(0) }; 3]));
    let clients: Vec<_> = (0..NODES * CLIENTS)
        .map(|client| {
            let (end, counts, record, listen) =
                (end.clone(), counts.clone(), record.clone(), nodes[client % NODES].1);
            thread::spawn(move || bid_on(listen, client, &end, &counts, &record))
        })
        .collect();
    let announced = loop {
        if let Some(announced) = discovery.announced() {
            break announced;
        }
        if started.elapsed() > Duration::from_secs(60) {
            return Err("discovery was not called any more".to_owned());
        }
        thread::sleep(Duration::from_millis(5));
    };
    thread::sleep(ENDS_AFTER.saturating_sub(announced.elapsed()));
    servers[LEAVING].ended.store(true, SeqCst);
    record.line(format!("server {LEAVING} ends, {:.1} s after it was announced", ENDS_AFTER.as_secs_f64()));
    thread::sleep(Duration::from_secs(3));
    end.store(true, SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    let [served, refused, failed] = [0, 1, 2].map(|kind| counts[kind].load(SeqCst));
    record.line(format!("bids: {served} served, {refused} refused, {failed} failed or without an answer"));
    let begun = servers[LEAVING].begun.lock().unwrap();
    let after: Vec<f64> =
        begun.iter().filter_map(|at| Some(at.checked_duration_since(announced)?.as_secs_f64())).collect();
    if let Some(last) = after.last() {
        record.line(format!("the last bid at server {LEAVING} began {last:.2} s after the announcement"));
    }
    let allowed = (TOLD_AFTER + GRACE).as_secs_f64();
    let late: Vec<f64> = after.into_iter().filter(|at| *at > allowed).collect();
    if served == 0 || begun.is_empty() {
        return Err("the leaving server had no bid at all".to_owned());
    }
    let text = |first: &f64, last: &f64| {
        format!(
            "{} bids began at the draining server {first:.2} to {last:.2} s after discovery had it and could be \
             reached, where {allowed:.2} s are allowed",
            late.len()
        )
    };
    Ok(late.first().zip(late.last()).map(|(first, last)| text(first, last)).into_iter().collect())
}

fn main() -> ExitCode {
    let record = Record::create();
    let result = run(&record);
    verdict(&record, result)
}
