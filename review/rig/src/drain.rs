//! A server is announced as leaving just after discovery has come back, while a call of the node hangs that it
//! began during the outage.

use crate::rig::{Exchange, Outcome, Rig, exchange, free_address, header, listen, read_head};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

const CLIENTS: usize = 12;
const SERVERS: usize = 4;
/// Time that a server takes for a bid.
const WORK: Duration = Duration::from_millis(100);
/// The outage begins at this time, and ends 0.3 s after the first call that comes 3.6 s later: it takes under
/// 8 s, as a call waits 3.65 s at most.
const OUTAGE_FROM_S: f64 = 5.0;
const HANGING_CALL_FROM_S: f64 = OUTAGE_FROM_S + 3.6;
const BACK_AFTER: Duration = Duration::from_millis(300);
/// The server is announced as leaving this long after that, and ends this long after the announcement.
const ANNOUNCED_AFTER: Duration = Duration::from_millis(200);
const ENDS_AFTER: Duration = Duration::from_secs(2);
/// The grace of the settings, and what the rules on sockets add.
const GRACE_S: f64 = 0.5;
const SLACK_S: f64 = 0.05;

/// The agent with the list of servers.
#[derive(Default)]
struct Agent {
    state: Mutex<AgentState>,
    changed: Condvar,
}

#[derive(Default)]
struct AgentState {
    servers: Vec<SocketAddr>,
    /// The server that leaves, once it is announced.
    leaving: bool,
    revision: u64,
    silent: bool,
    /// Outages so far: a call that was open in one stays unanswered.
    outages: u64,
    /// When the last call came.
    last_call_s: f64,
}

impl AgentState {
    fn list(&self, changes_only: bool) -> String {
        let entry = |(n, address): (usize, &SocketAddr)| {
            let state = if n == 0 && self.leaving { "draining" } else { "up" };
            format!(
                r#"{{"uid":"s-{n}","endpoint":"{address}","az":"a","model":"std","pod_group":1,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
            )
        };
        let wanted = |(n, _): &(usize, &SocketAddr)| !changes_only || *n == 0 && self.leaving;
        let entries: Vec<String> = self.servers.iter().enumerate().filter(wanted).map(entry).collect();
        format!(r#"{{"rev":{},"all":{},"targets":[{}]}}"#, self.revision, !changes_only, entries.join(","))
    }
}

fn parameter(path: &str, name: &str) -> Option<u64> {
    let query = path.split_once('?')?.1;
    let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
    value.parse().ok()
}

/// The agent by PROTOCOL: it answers at once with what it has, a watch when there is something newer, and is
/// silent during an outage.
fn start_agent(rig: &Rig, agent: &Arc<Agent>) -> Result<SocketAddr, String> {
    let (rig, agent) = (rig.clone(), agent.clone());
    listen(move |mut stream| {
        while let Ok(Some((head, _))) = read_head(&mut stream) {
            let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
            rig.say(&format!("agent: GET {path}"));
            let mut state = agent.state.lock().unwrap();
            state.last_call_s = rig.now();
            agent.changed.notify_all();
            let outages = state.outages;
            let after = parameter(&path, "after");
            let until = rig.now() + parameter(&path, "wait_ms").unwrap_or(0) as f64 / 1000.0;
            while !state.silent && after.is_some_and(|after| after >= state.revision) && rig.now() < until {
                let left = Duration::from_secs_f64((until - rig.now()).max(0.001));
                state = agent.changed.wait_timeout(state, left).unwrap().0;
            }
            if state.silent || state.outages != outages {
                // The outage has swallowed the call: the connection stays open and silent.
                drop(state);
                let _ = stream.read(&mut [0; 1]);
                return;
            }
            let body = match after {
                Some(after) if after >= state.revision => {
                    format!(r#"{{"rev":{},"all":false,"targets":[]}}"#, state.revision)
                }
                Some(_) => state.list(true),
                None => state.list(false),
            };
            drop(state);
            rig.say(&format!("agent: answers {} bytes", body.len()));
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    })
}

/// What a server has seen.
#[derive(Default)]
struct Server {
    /// When each request's first byte came.
    arrivals: Vec<f64>,
    open: Vec<TcpStream>,
    ended: bool,
}

fn start_server(rig: &Rig, server: &Arc<Mutex<Server>>, number: usize) -> Result<SocketAddr, String> {
    let (rig, server) = (rig.clone(), server.clone());
    listen(move |mut stream| {
        {
            let mut server = server.lock().unwrap();
            if server.ended {
                return;
            }
            server.open.extend(stream.try_clone());
        }
        loop {
            if !matches!(stream.peek(&mut [0; 1]), Ok(1)) {
                return;
            }
            let first_byte = rig.now();
            let Ok(Some((head, _))) = read_head(&mut stream) else { return };
            let id = header(&head, "x-trace-id").unwrap_or_default();
            rig.say(&format!("server {number}: bid {id}"));
            server.lock().unwrap().arrivals.push(first_byte);
            std::thread::sleep(WORK);
            if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").is_err() {
                return;
            }
        }
    })
}

fn config(listens: SocketAddr, discovery: SocketAddr) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listens}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{{"rev":0,"all":true,"targets":[]}},
"settings":{{"areas":["a"],"zone":"a","instances":1,"slotNo":0,"tickMs":5.0,"membershipMode":"pushed",
"classes":[{{"name":"place-bid","semantics":"at_most_once","objectiveMs":500,"hardLimitMs":900,"value":10}}],
"limits":{{"attemptsCap":4,"connIdleMs":15000.0,"connectTimeoutMs":300.0,"mayCancel":true,"maxRetryAfterMs":2000.0,
"maxStreams":1,"openCap":20000,"peerMessages":false,"probing":false,"retryAfter":true,"secondCopies":true}},
"rules":{{"coldMs":22000.0,"startCapacity":0.14,"fallMultiple":3.0,"fallMs":1500.0,"drainGraceMs":500.0,"mustAskInMs":10000.0}}}}}}"#
    )
}

pub fn play(rig: &Rig) -> Outcome {
    let agent = Arc::new(Agent::default());
    let servers: Vec<Arc<Mutex<Server>>> = (0..SERVERS).map(|_| Arc::default()).collect();
    for (number, server) in servers.iter().enumerate() {
        let address = start_server(rig, server, number)?;
        agent.state.lock().unwrap().servers.push(address);
    }
    agent.state.lock().unwrap().revision = 1;
    let (discovery, listens) = (start_agent(rig, &agent)?, free_address()?);
    let file = rig.temporary("config.json");
    std::fs::write(&file, config(listens, discovery)).map_err(|e| e.to_string())?;
    rig.start_platform_node(&file, listens, discovery)?;
    rig.wait_until_up(listens)?;

    let stop = Arc::new(Mutex::new(f64::INFINITY));
    let ended = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (rig, stop, ended) = (rig.clone(), stop.clone(), ended.clone());
            std::thread::spawn(move || {
                for number in 0.. {
                    if rig.now() > *stop.lock().unwrap() {
                        return;
                    }
                    let request = format!(
                        "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {client}-{number}\r\n\
                         X-Qos: place-bid\r\nX-Expires-In-Ms: 900\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                    );
                    let end = exchange(listens, request.as_bytes(), Duration::from_millis(1500));
                    if !matches!(end, Exchange::Answered(200, _)) {
                        rig.say(&format!("client: bid {client}-{number}: {end:?}"));
                    }
                    ended.lock().unwrap().push((rig.now(), end));
                    std::thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();

    let wait_until = |at: f64| std::thread::sleep(Duration::from_secs_f64((at - rig.now()).max(0.0)));
    wait_until(OUTAGE_FROM_S);
    if rig.trouble() {
        let mut state = agent.state.lock().unwrap();
        state.silent = true;
        agent.changed.notify_all();
        rig.say("discovery: down; the agent is silent from now on");
        while state.last_call_s < HANGING_CALL_FROM_S {
            let (next, waited) = agent.changed.wait_timeout(state, Duration::from_secs(8)).unwrap();
            state = next;
            if waited.timed_out() {
                return Err("the node made no call during the outage".into());
            }
        }
        drop(state);
    } else {
        wait_until(HANGING_CALL_FROM_S);
    }
    std::thread::sleep(BACK_AFTER);
    {
        let mut state = agent.state.lock().unwrap();
        if rig.trouble() {
            state.silent = false;
            state.outages += 1;
            rig.say(&format!(
                "discovery: back after {:.2} s; the agent answers",
                rig.now() - OUTAGE_FROM_S
            ));
        }
    }
    std::thread::sleep(ANNOUNCED_AFTER);
    let announced = rig.now();
    {
        let mut state = agent.state.lock().unwrap();
        (state.leaving, state.revision) = (true, 2);
        agent.changed.notify_all();
    }
    rig.say("discovery: server 0 is leaving; the agent has it: this counts as told");
    wait_until(announced + ENDS_AFTER.as_secs_f64());
    let leaving = servers.first().ok_or("no server")?;
    {
        let mut leaving = leaving.lock().unwrap();
        leaving.ended = true;
        for stream in leaving.open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
    rig.say("server 0 ends");
    let ended_at = rig.now();
    *stop.lock().unwrap() = ended_at + 2.5;
    for client in clients {
        client.join().map_err(|_| "a client ended early")?;
    }

    let arrivals = leaving.lock().unwrap().arrivals.clone();
    let late: Vec<f64> =
        arrivals.iter().map(|at| at - announced).filter(|by| *by > GRACE_S + SLACK_S).collect();
    let before = arrivals.iter().filter(|at| **at < announced).count();
    let last = late.iter().copied().fold(0.0, f64::max);
    let ended = ended.lock().unwrap();
    let failed = ended
        .iter()
        .filter(|(at, end)| {
            (ended_at - 0.1..ended_at + 0.5).contains(at) && *end != Exchange::Answered(200, b"ok".into())
        })
        .count();
    rig.say(&format!(
        "server 0: {before} bids before the announcement, {} of {} after it came later than {:.2} s, the last one \
         {last:.2} s after it; {failed} bids failed when the server ended",
        late.len(),
        arrivals.len() - before,
        GRACE_S + SLACK_S
    ));
    if before < 20 {
        return Err("the server that leaves had hardly any work before".into());
    }
    Ok(!late.is_empty())
}
