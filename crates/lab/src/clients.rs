//! Simulated clients: arrival times, the keys and tenants of their requests, and retry delays.

use crate::draw::{Draws, Zipf, mix};
use crate::world::Clients;

/// Generates the requests of a group of clients. No draw depends on the outcome of a request, so every
/// variant of a world gets the same requests.
pub struct ClientGroup {
    keys: Zipf,
    arrival_draws: Draws,
    /// Separate from the arrivals, which do not depend on how many requests are retried.
    retry_draws: Draws,
    /// The next entry of the trace.
    trace_position: usize,
}

/// A request of a client, with all its tries.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Index of the group of clients.
    pub group: usize,
    /// Number among the requests of all groups, from 1.
    pub number: u64,
    /// Index of the key.
    pub key: usize,
    /// Index of the tenant in the group's list.
    pub tenant: usize,
    /// Arrival time, in milliseconds from the start of the world.
    pub arrived_ms: f64,
    /// Tries so far.
    pub tries: u32,
}

/// The rate multiplier at a time in seconds, interpolated linearly and constant outside the points; 1 without
/// points.
fn rate_multiplier(points: &[(f64, f64)], at: f64) -> f64 {
    let after = points.partition_point(|(t, _)| *t <= at);
    match (after.checked_sub(1).and_then(|n| points.get(n)), points.get(after)) {
        (Some((t0, m0)), Some((t1, m1))) => m0 + (m1 - m0) * (at - t0) / (t1 - t0),
        (Some((_, m)), None) | (None, Some((_, m))) => *m,
        (None, None) => 1.0,
    }
}

impl ClientGroup {
    /// The group with index `group` of a world; the index selects its random streams.
    pub fn new(config: &Clients, seed: u64, group: usize) -> ClientGroup {
        ClientGroup {
            keys: Zipf::new(config.keys, config.zipf),
            arrival_draws: Draws::new(seed, 0xc0_0000 + group as u64),
            retry_draws: Draws::new(seed, 0xb0_0000 + group as u64),
            trace_position: 0,
        }
    }

    /// The first arrival after `now_ms`, in milliseconds from the start of the world; `None` if it is not
    /// before `end_ms`. Draws by thinning: arrivals at the peak rate, each kept with the probability of the
    /// current rate to the peak.
    pub fn next_arrival(&mut self, config: &Clients, now_ms: f64, end_ms: f64) -> Option<f64> {
        if !config.trace.is_empty() {
            let at = config.trace.get(self.trace_position)? * 1000.0;
            self.trace_position += 1;
            return (at < end_ms).then_some(at);
        }
        let peak = config
            .shape
            .iter()
            .map(|(_, m)| *m)
            .fold(if config.shape.is_empty() { 1.0 } else { 0.0 }, f64::max);
        if config.rate * peak <= 0.0 {
            return None;
        }
        let mut at = now_ms;
        loop {
            at += self.arrival_draws.wait() * 1000.0 / (config.rate * peak);
            if at >= end_ms {
                return None;
            }
            if self.arrival_draws.hit(rate_multiplier(&config.shape, at / 1000.0) / peak) {
                return Some(at);
            }
        }
    }

    /// Draws the key and the tenant of the request that arrives at `arrived_ms`.
    pub fn draw_request(
        &mut self,
        config: &Clients,
        group: usize,
        number: u64,
        arrived_ms: f64,
    ) -> ClientRequest {
        let key_shift =
            config.moves_every.map_or(0, |every| (arrived_ms / 1000.0 / every.max(0.001)) as usize);
        let key = (self.keys.draw(&mut self.arrival_draws) + key_shift) % config.keys.max(1) as usize;
        let mut remaining_weight =
            self.arrival_draws.part() * config.tenants.iter().map(|(_, weight)| weight).sum::<f64>();
        let tenant = config.tenants.iter().position(|(_, weight)| {
            remaining_weight -= weight;
            remaining_weight < 0.0
        });
        ClientRequest { group, number, key, tenant: tenant.unwrap_or(0), arrived_ms, tries: 0 }
    }

    /// The delay before the next try, in milliseconds; `retry_after_ms` is the time that the refusal named, 0
    /// for none.
    pub fn retry_delay_ms(&mut self, config: &Clients, tries: u32, retry_after_ms: f64) -> f64 {
        let backoff_ms = config.backoff_ms
            * f64::from(1_u32 << tries.saturating_sub(1).min(16))
            * (0.5 + self.retry_draws.part());
        if config.honours_retry_after && retry_after_ms > 0.0 { retry_after_ms } else { backoff_ms }
    }
}

/// A request that arrives in a world, for programs that replay the world outside of the simulation.
#[derive(Clone, Debug, PartialEq)]
pub struct Comer {
    /// Arrival time, in milliseconds from the start of the world.
    pub at_ms: f64,
    /// Index of the group of clients.
    pub group: usize,
    /// Number among the requests of all groups, from 1.
    pub number: u64,
    /// Index of the key.
    pub key: usize,
    /// Method and path.
    pub request: String,
}

/// All requests of these clients that arrive within `seconds`, in order of arrival: the same ones that the
/// simulation has with this seed.
pub fn comers(clients: &[Clients], seconds: f64, seed: u64) -> Vec<Comer> {
    let end_ms = seconds * 1000.0;
    let mut groups: Vec<ClientGroup> =
        clients.iter().enumerate().map(|(n, config)| ClientGroup::new(config, seed, n)).collect();
    let mut next: Vec<Option<f64>> = groups
        .iter_mut()
        .zip(clients)
        .map(|(group, config)| group.next_arrival(config, 0.0, end_ms))
        .collect();
    let mut requests = Vec::new();
    loop {
        let earliest = next
            .iter()
            .enumerate()
            .filter_map(|(g, at)| Some((g, (*at)?)))
            .min_by(|a, b| a.1.total_cmp(&b.1));
        let Some((index, at)) = earliest else { return requests };
        let (Some(config), Some(group), Some(next)) =
            (clients.get(index), groups.get_mut(index), next.get_mut(index))
        else {
            return requests;
        };
        let number = requests.len() as u64 + 1;
        let drawn = group.draw_request(config, index, number, at);
        let request = config.request.replace("{key}", &drawn.key.to_string());
        requests.push(Comer { at_ms: at, group: index, number, key: drawn.key, request });
        *next = group.next_arrival(config, at, end_ms);
    }
}

/// The index, below `nodes`, of the node that a try is sent to.
pub fn node_of(seed: u64, number: u64, tries: u32, nodes: usize) -> usize {
    mix(seed ^ mix(number << 8 | u64::from(tries))) as usize % nodes.max(1)
}

#[cfg(test)]
mod tests {
    use super::rate_multiplier;

    #[test]
    fn rate_multiplier_is_linear_between_points_and_constant_outside() {
        let points = [(10.0, 1.0), (20.0, 3.0), (30.0, 0.0)];
        for (at, multiple) in [(0.0, 1.0), (10.0, 1.0), (15.0, 2.0), (20.0, 3.0), (25.0, 1.5), (40.0, 0.0)]
        {
            assert!((rate_multiplier(&points, at) - multiple).abs() < 1e-12, "{at}");
        }
        assert!((rate_multiplier(&[], 5.0) - 1.0).abs() < 1e-12);
    }
}
