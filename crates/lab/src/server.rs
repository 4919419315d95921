//! A simulated server: cores, a queue, a ramp after its start, and its faults. It computes when a request
//! ends; the caller supplies the time and the work.

use crate::draw::Draws;
use crate::world::{Cold, Servers};
use std::collections::VecDeque;

/// A request at the server, by the key of its exchange.
pub type Job = usize;

/// What a server does with a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// Runs it, until this time in milliseconds.
    Running(f64),
    /// Queues it until a core is free.
    Queued,
    /// Rejects it, because the queue is full; it never runs.
    QueueFull,
    /// Runs it and answers with an error at once.
    Error,
    /// Runs it and sends a malformed answer.
    Malformed,
    /// Crashes from overload while cold; all its requests are lost.
    Crash,
}

/// Service times that grow with time.
#[derive(Clone, Copy, Debug)]
pub struct Leak {
    /// When it began, in milliseconds.
    pub since_ms: f64,
    /// Growth per second, as a fraction of the usual time.
    pub per_s: f64,
}

/// A server. Times are in milliseconds of the virtual clock.
#[derive(Clone, Debug)]
pub struct Server {
    /// Index of the group of servers.
    pub group: usize,
    cores: usize,
    queue: usize,
    cold: Cold,
    /// Start time; `None` while stopped, negative infinity for a server that was up before the world started.
    up_since_ms: Option<f64>,
    running: usize,
    waiting: VecDeque<(Job, f64)>,
    /// Factor on service times; see [`crate::world::What::Slow`].
    pub slowdown: f64,
    /// Fraction of requests answered with an error.
    pub error_fraction: f64,
    /// Fraction of requests with a malformed answer.
    pub malformed_fraction: f64,
    /// See [`crate::world::What::Leak`].
    pub leak: Option<Leak>,
    /// No request progresses before this time.
    pub paused_until_ms: f64,
    /// No packets pass in either direction.
    pub cut: bool,
    /// No packets come back from the server.
    pub mute: bool,
    /// Discovery omits the server.
    pub unlisted: bool,
    /// Number of times that the server has stopped; messages of earlier incarnations are lost.
    pub incarnation: u32,
    /// Requests within the window while the server is cold: arrival time and work in milliseconds of one
    /// core.
    recent: VecDeque<(f64, f64)>,
    recent_work_ms: f64,
    draws: Draws,
}

impl Server {
    /// A server of a group; `number` is its index among all servers.
    pub fn new(group: usize, config: &Servers, seed: u64, number: usize) -> Server {
        Server {
            group,
            cores: config.cores as usize,
            queue: config.queue as usize,
            cold: config.cold.clone(),
            up_since_ms: config.from.is_none().then_some(f64::NEG_INFINITY),
            running: 0,
            waiting: VecDeque::new(),
            slowdown: 1.0,
            error_fraction: 0.0,
            malformed_fraction: 0.0,
            leak: None,
            paused_until_ms: f64::NEG_INFINITY,
            cut: false,
            mute: false,
            unlisted: false,
            incarnation: 0,
            recent: VecDeque::new(),
            recent_work_ms: 0.0,
            draws: Draws::new(seed, 0x5e_0000_0000 + number as u64),
        }
    }

    pub fn is_up(&self) -> bool {
        self.up_since_ms.is_some()
    }

    /// Start time as discovery announces it; 0 for the distant past.
    pub fn started_ms(&self) -> f64 {
        self.up_since_ms.filter(|at| at.is_finite()).unwrap_or(0.0)
    }

    /// The current fraction of the full capacity, from 0 to 1.
    pub fn capacity_fraction(&self, now: f64) -> f64 {
        let Some(since) = self.up_since_ms else { return 0.0 };
        let elapsed = if self.cold.time > 0.0 { (now - since) / (self.cold.time * 1000.0) } else { 1.0 };
        (self.cold.start + (1.0 - self.cold.start) * elapsed.max(0.0)).min(1.0)
    }

    /// Starts the server, cold.
    pub fn start(&mut self, now: f64) {
        self.up_since_ms = Some(now);
        (self.paused_until_ms, self.leak) = (f64::NEG_INFINITY, None);
    }

    /// Stops the server; all its requests are lost.
    pub fn stop(&mut self) {
        self.up_since_ms = None;
        self.incarnation += 1;
        self.running = 0;
        self.recent_work_ms = 0.0;
        self.waiting.clear();
        self.recent.clear();
    }

    /// When the server restarts after a crash at `now`.
    pub fn restarts_at(&self, now: f64) -> f64 {
        now + self.cold.back_after * 1000.0
    }

    /// How long a request with this work takes if it starts now, in milliseconds.
    fn duration_ms(&self, now: f64, work_ms: f64) -> f64 {
        let leak = self.leak.map_or(0.0, |leak| (now - leak.since_ms).max(0.0) / 1000.0 * leak.per_s);
        work_ms * self.slowdown * (1.0 + leak) / self.capacity_fraction(now).max(0.01)
    }

    /// A request arrives; `work_ms` is its time at a warm server, in milliseconds of one core.
    pub fn arrive(&mut self, now: f64, job: Job, work_ms: f64) -> Admission {
        if self.capacity_fraction(now) < 1.0 && self.is_overloaded_by(now, work_ms) {
            return Admission::Crash;
        }
        let draw = self.draws.part();
        if draw < self.error_fraction {
            return Admission::Error;
        }
        if draw < self.error_fraction + self.malformed_fraction {
            return Admission::Malformed;
        }
        if self.running < self.cores {
            self.running += 1;
            return Admission::Running(now.max(self.paused_until_ms) + self.duration_ms(now, work_ms));
        }
        if self.waiting.len() >= self.queue {
            return Admission::QueueFull;
        }
        self.waiting.push_back((job, work_ms));
        Admission::Queued
    }

    /// Adds the work of an arriving request and checks whether the work within the window exceeds what a cold
    /// server withstands. All arriving work counts, done or not.
    fn is_overloaded_by(&mut self, now: f64, work_ms: f64) -> bool {
        let window_start_ms = now - self.cold.window_ms;
        while let Some((_, old)) = self.recent.pop_front_if(|(at, _)| *at < window_start_ms) {
            self.recent_work_ms -= old;
        }
        self.recent.push_back((now, work_ms));
        self.recent_work_ms += work_ms;
        let capacity_ms = self.cores as f64 * self.capacity_fraction(now) * self.cold.window_ms;
        self.recent_work_ms > self.cold.multiple * capacity_ms
    }

    /// The work within the window as a ratio to the work above which the server crashes; 0 if it is warm.
    pub fn overload_ratio(&self, now: f64) -> f64 {
        let capacity_ms = self.cores as f64 * self.capacity_fraction(now) * self.cold.window_ms;
        if self.capacity_fraction(now) < 1.0 {
            self.recent_work_ms / (self.cold.multiple * capacity_ms)
        } else {
            0.0
        }
    }

    /// The end of the current pause; `None` if the server is not paused.
    pub fn resumes_at(&self, now: f64) -> Option<f64> {
        (self.paused_until_ms > now).then_some(self.paused_until_ms)
    }

    /// Ends a running request. Returns the queued request that starts in its place, if any, and when it ends.
    pub fn finish_one(&mut self, now: f64) -> Option<(Job, f64)> {
        self.running = self.running.saturating_sub(1);
        let (job, work_ms) = self.waiting.pop_front()?;
        self.running += 1;
        Some((job, now.max(self.paused_until_ms) + self.duration_ms(now, work_ms)))
    }
}
