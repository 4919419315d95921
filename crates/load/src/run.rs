//! Sends each request at its due time, on an idle connection or a new one.

use crate::results::LoadResults;
use applemill_lab::{Clients, Comer, comers};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{CONTENT_LENGTH, HOST};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::{JoinSet, LocalSet, spawn_local};

/// How often progress is reported.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// The load to generate.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Target address.
    pub to: SocketAddr,
    /// `Host` header of all requests.
    pub host: String,
    /// Groups of clients with their rates and requests.
    pub clients: Vec<Clients>,
    /// Duration in seconds.
    pub seconds: f64,
    /// Random seed; the same seed gives the same requests at the same times.
    pub seed: u64,
    /// Time-out of an answer, counted from when its request was due.
    pub patience: Duration,
    /// Maximum number of requests in flight. Requests due beyond it wait, and the results count them.
    pub open: usize,
    /// Body size in bytes of requests that have a body: all but GET and HEAD.
    pub body: usize,
}

/// Why the load could not be run.
#[derive(Debug, Error)]
pub enum LoadError {
    /// A request cannot be built: group of clients, request, cause.
    #[error("clients {0}: {1}: {2}")]
    Request(String, String, hyper::http::Error),
    /// No request is due.
    #[error("no requests are due: the rate and the duration must be over 0")]
    NoRequests,
    /// The async runtime cannot be created.
    #[error("cannot create the async runtime: {0}")]
    Runtime(#[from] std::io::Error),
    /// A histogram cannot be created.
    #[error("histogram: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
}

type Sender = SendRequest<Full<Bytes>>;

struct Shared {
    plan: Plan,
    idle: RefCell<Vec<Sender>>,
    results: RefCell<LoadResults>,
}

fn build_request(plan: &Plan, arrival: &Comer) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let (method, path) = arrival.request.split_once(' ').unwrap_or(("GET", "/"));
    let without_body = matches!(method, "GET" | "HEAD");
    let body = if without_body { Bytes::new() } else { Bytes::from(vec![b'x'; plan.body]) };
    let mut request = Request::builder().method(Method::from_bytes(method.as_bytes())?).uri(path);
    request = request.header(HOST, &plan.host);
    if !without_body {
        request = request.header(CONTENT_LENGTH, body.len());
    }
    let substitute = |text: &str| {
        text.replace("{key}", &arrival.key.to_string())
            .replace("{number}", &format!("{}-{}", plan.seed, arrival.number))
    };
    for (name, value) in plan.clients.get(arrival.group).into_iter().flat_map(|c| &c.headers) {
        request = request.header(name, substitute(value));
    }
    request.body(Full::new(body))
}

/// Sends all requests of the plan and waits for their answers. `on_progress` gets the results so far, once a
/// second.
///
/// # Errors
/// No request is due, or a request cannot be built. Nothing has been sent then.
pub async fn run(plan: Plan, on_progress: &mut dyn FnMut(&LoadResults)) -> Result<LoadResults, LoadError> {
    let arrivals = comers(&plan.clients, plan.seconds, plan.seed);
    if arrivals.is_empty() {
        return Err(LoadError::NoRequests);
    }
    for (group, clients) in plan.clients.iter().enumerate() {
        if let Some(first) = arrivals.iter().find(|a| a.group == group) {
            let to_error = |e| LoadError::Request(clients.name.clone(), first.request.clone(), e);
            build_request(&plan, first).map_err(to_error)?;
        }
    }
    let results = LoadResults::new(plan.clients.iter().map(|c| c.name.as_str()))?;
    let shared = Rc::new(Shared { plan, idle: RefCell::default(), results: RefCell::new(results) });
    let (started, mut in_flight) = (Instant::now(), JoinSet::new());
    let (mut last_progress, mut waiting) = (started, VecDeque::new());
    for arrival in arrivals {
        let due = started + Duration::from_secs_f64(arrival.at_ms / 1000.0);
        loop {
            while in_flight.try_join_next().is_some() {}
            let mut start_waiting = |in_flight: &mut JoinSet<()>| {
                while in_flight.len() < shared.plan.open
                    && let Some((due, arrival)) = waiting.pop_front()
                {
                    in_flight.spawn_local(send_and_record(shared.clone(), due, arrival));
                }
            };
            start_waiting(&mut in_flight);
            if Instant::now() >= due {
                break;
            }
            tokio::select! {
                () = tokio::time::sleep_until(due.into()) => {}
                Some(_) = in_flight.join_next(), if !waiting.is_empty() => {}
            }
        }
        {
            let mut results = shared.results.borrow_mut();
            LoadResults::record(&mut results.send_delay, due.elapsed());
            if let Some(group) = results.groups.get_mut(arrival.group) {
                group.due += 1;
            }
            if in_flight.len() >= shared.plan.open {
                results.waited += 1;
                drop(results);
                waiting.push_back((due, arrival));
            } else {
                drop(results);
                in_flight.spawn_local(send_and_record(shared.clone(), due, arrival));
            }
            let mut results = shared.results.borrow_mut();
            results.max_in_flight = results.max_in_flight.max(in_flight.len());
        }
        if last_progress.elapsed() >= PROGRESS_INTERVAL {
            last_progress = Instant::now();
            shared.results.borrow_mut().seconds = started.elapsed().as_secs_f64();
            on_progress(&shared.results.borrow());
        }
    }
    for (due, arrival) in waiting {
        while in_flight.len() >= shared.plan.open && in_flight.join_next().await.is_some() {}
        in_flight.spawn_local(send_and_record(shared.clone(), due, arrival));
    }
    while in_flight.join_next().await.is_some() {}
    let mut results = shared.results.borrow().clone();
    results.seconds = started.elapsed().as_secs_f64();
    Ok(results)
}

/// Calls [`run`] on a new single-threaded runtime, for callers without a runtime.
///
/// # Errors
/// As [`run`], or the runtime cannot be created.
pub fn run_alone(plan: Plan, on_progress: &mut dyn FnMut(&LoadResults)) -> Result<LoadResults, LoadError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run(plan, on_progress))
}

/// How a request ended.
enum Outcome {
    Answered(StatusCode),
    Lost,
    ConnectFailed,
}

/// Sends one request and records its outcome. Latency counts from `due` to the end of the answer.
async fn send_and_record(shared: Rc<Shared>, due: Instant, arrival: Comer) {
    let time_out_at = (due + shared.plan.patience).into();
    let outcome = match tokio::time::timeout_at(time_out_at, exchange(&shared, &arrival)).await {
        Ok(outcome) => outcome,
        Err(_) => Outcome::Lost,
    };
    let latency = due.elapsed();
    let mut results = shared.results.borrow_mut();
    let Some(group) = results.groups.get_mut(arrival.group) else { return };
    match outcome {
        Outcome::Answered(status) if status.is_success() => {
            group.served += 1;
            LoadResults::record(&mut group.latency, latency);
        }
        Outcome::Answered(StatusCode::SERVICE_UNAVAILABLE) => group.refused += 1,
        Outcome::Answered(_) => group.failed += 1,
        Outcome::Lost => group.lost += 1,
        Outcome::ConnectFailed => group.unconnected += 1,
    }
}

async fn exchange(shared: &Rc<Shared>, arrival: &Comer) -> Outcome {
    let Ok(mut request) = build_request(&shared.plan, arrival) else { return Outcome::Lost };
    loop {
        // Removed from the idle list before any await, so that no other task can use the same connection.
        let idle = shared.idle.borrow_mut().pop();
        let is_new = idle.is_none();
        let mut sender = match idle {
            Some(sender) => sender,
            None => match connect(shared.plan.to).await {
                Some(sender) => sender,
                None => return Outcome::ConnectFailed,
            },
        };
        if sender.ready().await.is_err() {
            if is_new {
                return Outcome::ConnectFailed;
            }
            continue;
        }
        match sender.try_send_request(request).await {
            Ok(answer) => {
                let status = answer.status();
                return match answer.into_body().collect().await {
                    Ok(_) => {
                        if !sender.is_closed() {
                            shared.idle.borrow_mut().push(sender);
                        }
                        Outcome::Answered(status)
                    }
                    Err(_) => Outcome::Lost,
                };
            }
            // The reused connection was closed before any of the request was sent, so the request never ran.
            Err(mut e) => match e.take_message() {
                Some(unsent) if !is_new => request = unsent,
                _ => return Outcome::Lost,
            },
        }
    }
}

async fn connect(to: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(to).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    // The connection task's result is not needed: a failure shows up at whoever sends on the connection.
    spawn_local(connection);
    Some(sender)
}
