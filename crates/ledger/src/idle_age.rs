//! The idle time up to which connections may be reused, learned from the requests sent on reused connections.

use std::hash::{Hash, Hasher};

/// Requests on connections of one range of idle times. The counts decay with time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Bucket {
    requests: f64,
    /// Requests whose connection broke before any byte of an answer.
    disconnects: f64,
}

/// Counts disconnects by the idle time of the connection, to find the idle time from which reuse is unsafe.
///
/// A backend, or a middlebox on the way to it, may drop idle connections sooner than the settings say and
/// without notice: a request written on such a connection is reset unread, and an unsafe request is lost.
/// Old evidence decays, which lets the limit follow an idle time-out that changes. An idle time-out that
/// only a few backends have is applied to all of them. The cost is one handshake for each connection that
/// is not reused, which is wasted where old connections break for another reason.
#[derive(Clone, Debug)]
pub struct IdleAgeStats {
    /// By idle time; the first bucket is for new connections.
    buckets: [Bucket; IdleAgeStats::BUCKETS],
    decayed_at_ms: f64,
}

impl IdleAgeStats {
    /// Two buckets for each doubling of the idle time, from `MIN_AGE_MS` on.
    const BUCKETS: usize = 24;
    const MIN_AGE_MS: f64 = 10.0;
    const HALF_LIFE_MS: f64 = 30_000.0;
    /// The counts decay at most once in this interval: each record would otherwise update all buckets.
    const DECAY_INTERVAL_MS: f64 = 100.0;
    /// The fewest disconnects from which a limit is derived.
    const MIN_DISCONNECTS: f64 = 4.0;
    /// A disconnect rate is too high if it exceeds the rate of younger connections times this factor ...
    const RATE_FACTOR: f64 = 2.0;
    /// ... plus this margin.
    const RATE_MARGIN: f64 = 0.1;

    /// Creates statistics without evidence.
    pub fn new() -> IdleAgeStats {
        IdleAgeStats { buckets: [Bucket::default(); IdleAgeStats::BUCKETS], decayed_at_ms: 0.0 }
    }

    fn bucket_of(age_ms: f64) -> usize {
        let doublings = (age_ms / IdleAgeStats::MIN_AGE_MS).max(1.0).log2();
        (1 + (2.0 * doublings) as usize).min(IdleAgeStats::BUCKETS - 1)
    }

    /// The lowest idle time that falls into a bucket.
    fn lower_bound_ms(bucket: usize) -> f64 {
        IdleAgeStats::MIN_AGE_MS * ((bucket as f64 - 1.0) / 2.0).exp2()
    }

    /// Hashes the whole state.
    pub fn digest<H: Hasher>(&self, state: &mut H) {
        for Bucket { requests, disconnects } in &self.buckets {
            (requests.to_bits(), disconnects.to_bits()).hash(state);
        }
        self.decayed_at_ms.to_bits().hash(state);
    }

    /// Records one request on a connection that had been idle for `age_ms`, or on a new one (`None`).
    pub fn record(&mut self, now: f64, age_ms: Option<f64>, disconnected: bool) {
        if now - self.decayed_at_ms >= IdleAgeStats::DECAY_INTERVAL_MS {
            let remaining = 0.5_f64.powf((now - self.decayed_at_ms) / IdleAgeStats::HALF_LIFE_MS);
            self.decayed_at_ms = now;
            for bucket in &mut self.buckets {
                bucket.requests *= remaining;
                bucket.disconnects *= remaining;
            }
        }
        if let Some(bucket) = self.buckets.get_mut(age_ms.map_or(0, IdleAgeStats::bucket_of)) {
            bucket.requests += 1.0;
            bucket.disconnects += f64::from(u8::from(disconnected));
        }
    }

    /// The idle time from which connections must not be reused: both in the bucket that begins there and in
    /// that bucket and all older ones together, disconnects are clearly more frequent than in the younger
    /// buckets.
    pub fn limit_ms(&self) -> Option<f64> {
        let mut younger = Bucket::default();
        let total = self.buckets.iter().fold(Bucket::default(), |sum, bucket| Bucket {
            requests: sum.requests + bucket.requests,
            disconnects: sum.disconnects + bucket.disconnects,
        });
        if total.disconnects < IdleAgeStats::MIN_DISCONNECTS {
            return None;
        }
        self.buckets.iter().enumerate().find_map(|(number, &Bucket { requests, disconnects })| {
            let max_rate = younger.disconnects / f64::max(younger.requests, 1.0)
                * IdleAgeStats::RATE_FACTOR
                + IdleAgeStats::RATE_MARGIN;
            let older = Bucket {
                requests: total.requests - younger.requests,
                disconnects: total.disconnects - younger.disconnects,
            };
            younger.requests += requests;
            younger.disconnects += disconnects;
            let unsafe_to_reuse = disconnects > requests * max_rate
                && older.disconnects > older.requests * max_rate
                && older.disconnects >= IdleAgeStats::MIN_DISCONNECTS;
            (unsafe_to_reuse && number > 0).then(|| IdleAgeStats::lower_bound_ms(number))
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Records requests on connections of one idle time, of which the first `disconnects` break.
    fn record_many(
        stats: &mut IdleAgeStats,
        now: f64,
        age_ms: Option<f64>,
        requests: u32,
        disconnects: u32,
    ) {
        for n in 0..requests {
            stats.record(now, age_ms, n < disconnects);
        }
    }

    #[test]
    fn buckets_begin_at_ten_milliseconds_and_double_every_second_bucket() {
        for (age_ms, bucket) in [(0.0, 1), (10.0, 1), (14.1, 1), (14.2, 2), (19.9, 2), (20.0, 3), (1e9, 23)]
        {
            assert_eq!(IdleAgeStats::bucket_of(age_ms), bucket, "{age_ms}");
        }
        let bounds: Vec<f64> = [1, 2, 3, 5].map(IdleAgeStats::lower_bound_ms).to_vec();
        assert!((bounds[1] - 14.142).abs() < 0.001);
        assert_eq!((bounds[0], bounds[2], bounds[3]), (10.0, 20.0, 40.0));
    }

    #[test]
    fn limit_is_found_after_four_disconnects_of_older_connections() {
        let mut stats = IdleAgeStats::new();
        record_many(&mut stats, 0.0, None, 100, 1);
        record_many(&mut stats, 0.0, Some(30.0), 100, 1);
        record_many(&mut stats, 0.0, Some(200.0), 10, 2);
        assert_eq!(stats.limit_ms(), None, "four disconnects in all, only two of them older");
        record_many(&mut stats, 0.0, Some(200.0), 2, 2);
        assert_eq!(stats.limit_ms(), Some(160.0));
        // Older connections without disconnects show that it was chance.
        record_many(&mut stats, 0.0, Some(3_000.0), 100, 0);
        assert_eq!(stats.limit_ms(), None);
    }

    #[test]
    fn no_limit_where_disconnects_do_not_depend_on_the_idle_time() {
        let mut stats = IdleAgeStats::new();
        record_many(&mut stats, 0.0, None, 10, 5);
        assert_eq!(stats.limit_ms(), None, "new connections only");
        for age_ms in [15.0, 100.0, 1_000.0] {
            record_many(&mut stats, 0.0, Some(age_ms), 10, 5);
        }
        assert_eq!(stats.limit_ms(), None);
        // The threshold is twice the rate of younger connections plus a tenth.
        let mut stats = IdleAgeStats::new();
        record_many(&mut stats, 0.0, None, 100, 20);
        record_many(&mut stats, 0.0, Some(15.0), 100, 20);
        record_many(&mut stats, 0.0, Some(100.0), 100, 50);
        assert_eq!(stats.limit_ms(), None, "exactly at the threshold");
        record_many(&mut stats, 0.0, Some(100.0), 1, 1);
        assert_eq!(stats.limit_ms(), Some(80.0));
    }

    #[test]
    fn evidence_halves_in_thirty_seconds_and_decays_at_most_every_tenth_of_a_second() {
        let mut stats = IdleAgeStats::new();
        record_many(&mut stats, 0.0, Some(200.0), 6, 6);
        assert!(stats.limit_ms().is_some());
        record_many(&mut stats, 99.0, None, 1, 0);
        assert_eq!(
            stats.buckets[IdleAgeStats::bucket_of(200.0)],
            Bucket { requests: 6.0, disconnects: 6.0 },
            "no decay within a tenth of a second"
        );
        record_many(&mut stats, 30_000.0, None, 1, 0);
        assert_eq!(
            stats.buckets[IdleAgeStats::bucket_of(200.0)],
            Bucket { requests: 3.0, disconnects: 3.0 }
        );
        assert_eq!(stats.buckets[0], Bucket { requests: 1.5, disconnects: 0.0 });
        assert_eq!(stats.limit_ms(), None);
        record_many(&mut stats, 60_000.0, None, 1, 0);
        assert_eq!(
            stats.buckets[IdleAgeStats::bucket_of(200.0)],
            Bucket { requests: 1.5, disconnects: 1.5 }
        );
    }
}
