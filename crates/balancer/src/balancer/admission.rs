//! Admission: how much of the offered work is let in, and which.

use super::class_stats::ClassStats;
use super::concurrency_limit::TARGET_OVERLOAD;
use super::state::{Balancer, HIGH_LOAD};
use crate::interface::{Reporting, Request};

/// Requests in flight at a backend, over all nodes, that every backend is assumed to be able to hold.
const INITIAL_IN_FLIGHT_PER_BACKEND: f64 = 4.0;

/// The offered work of one class, within or over the tenants' shares, and what an answer to it adds to the
/// goal for its work.
struct RankedWork {
    gain: f64,
    class: usize,
    /// 0 within the share, 1 over it.
    over_share: usize,
}

impl Balancer {
    /// Updates the part of the offered work that is let in, and each class's part of that.
    pub(super) fn update_admission(&mut self, seconds: f64) {
        // After a stall of this node one tick spans seconds, which must not close or open admission at once.
        let seconds = seconds.min(1.0);
        let keep = (-seconds / 2.0_f64).exp();
        self.update_traffic_rates(seconds, keep);
        self.update_overload(seconds);
        self.update_level(seconds);
        let ranked = self.ranked_work();
        self.distribute_level(ranked, keep);
        for stats in &mut self.class_stats {
            let fade = (-seconds / 20.0_f64).exp();
            stats.requests *= fade;
            stats.served *= fade;
            stats.baseline_p80_ms = (stats.baseline_p80_ms * (1.0 + 0.01 * seconds)).min(stats.p80_ms);
        }
    }

    fn update_traffic_rates(&mut self, seconds: f64, keep: f64) {
        let admission = &mut self.admission;
        admission.served_per_s =
            admission.served_per_s * keep + admission.served_since_tick / seconds * (1.0 - keep);
        admission.served_since_tick = 0.0;
        for tenant in &mut admission.tenants {
            let requests = f64::from(tenant.requests_since_tick);
            tenant.requests_per_s = tenant.requests_per_s * keep + requests / seconds * (1.0 - keep);
            tenant.requests_since_tick = 0;
        }
    }

    /// Estimates how overloaded the fleet is, by outcomes and by reported load.
    fn update_overload(&mut self, seconds: f64) {
        let admission = &mut self.admission;
        // Few outcomes are little evidence: otherwise a node that admits next to nothing would hold on to the
        // overload that made it do that.
        let worth = (admission.good_worth + admission.overloaded_worth).max(1e-9);
        admission.overload =
            admission.overloaded_worth / worth * admission.outcomes / (admission.outcomes + 2.0);
        // Where all nodes together hold few requests at each backend, late or lost answers come from a fault
        // that admitting less does not mend: overload counts in full only from two requests on. This is wrong
        // where two requests are too many for a backend.
        admission.mean_in_flight +=
            (1.0 - (-seconds).exp()) * (f64::from(self.in_flight) - admission.mean_in_flight);
        let in_flight_per_backend = admission.mean_in_flight * f64::from(self.settings.instances)
            / self.hash_entries.len().max(1) as f64;
        admission.overload *= (in_flight_per_backend / 2.0).min(1.0);
        // Reports show the fleet filling up before answers come late, and some backends that are crowded for
        // a second or two stay slow for long. Where a full fleet still answers well within the objective, the
        // threshold rises, and that load no longer counts as overload.
        if self.mean_load > self.overload_threshold && admission.overload < TARGET_OVERLOAD {
            self.overload_threshold += 0.03 * seconds;
        } else if admission.overload > 2.0 * TARGET_OVERLOAD {
            self.overload_threshold -= 0.03 * seconds;
        }
        self.overload_threshold = self.overload_threshold.clamp(HIGH_LOAD, 1.0);
        let overload_by_reports = (self.mean_load - self.overload_threshold) / (1.0 - HIGH_LOAD);
        admission.overload = admission.overload.max(overload_by_reports.clamp(0.0, 1.0));
    }

    /// Adjusts the admitted part and the in-flight limit to the overload, and fades the evidence for it.
    fn update_level(&mut self, seconds: f64) {
        let admission = &mut self.admission;
        if admission.overload > TARGET_OVERLOAD {
            admission.level *= 1.0 - seconds * 2.0 * (admission.overload - TARGET_OVERLOAD);
        } else {
            admission.level +=
                seconds * (0.2 + 0.5 * admission.level) * (1.0 - admission.overload / TARGET_OVERLOAD);
        }
        admission.level = admission.level.clamp(0.02, 1.0);
        if admission.in_flight_limit_reached && admission.overload < TARGET_OVERLOAD {
            admission.in_flight_scale *= 1.0 + 0.2 * seconds;
        }
        admission.in_flight_limit_reached = false;
        // Evidence fades within about a second, long enough for small nodes to have some.
        let fade = (-seconds / 0.5_f64).exp();
        admission.good_worth *= fade;
        admission.overloaded_worth *= fade;
        admission.outcomes *= fade;
    }

    /// All classes, within and over share, by descending gain for the goal per unit of work.
    fn ranked_work(&self) -> Vec<RankedWork> {
        let goal = &self.settings.goal;
        let lowest_served = self.class_stats.iter().map(ClassStats::served_ratio).fold(1.0, f64::min);
        let classes = || self.class_stats.iter().zip(&self.settings.classes);
        let total_worth: f64 = classes().map(|(stats, class)| stats.requests * class.worth).sum();
        let mut ranked = Vec::new();
        for (index, (stats, class)) in classes().enumerate() {
            let class_worth = (stats.requests * class.worth).max(1e-9);
            let near_lowest = (1.0 - (stats.served_ratio() - lowest_served) / 0.05).max(0.0);
            let gain = (goal.whole_run + goal.worst_window) / total_worth.max(1e-9)
                + goal.worst_class * near_lowest / class_worth;
            let work = if self.settings.worth_by_work { 1.0 } else { stats.mean_ms.max(1.0) };
            for over_share in 0..2 {
                let part = if over_share == 1 { self.settings.over_share_worth } else { 1.0 };
                ranked.push(RankedWork {
                    gain: class.worth * gain * part / work,
                    class: index,
                    over_share,
                });
            }
        }
        ranked.sort_by(|a, b| b.gain.total_cmp(&a.gain));
        ranked
    }

    /// Gives the admitted part of the offered work to the classes in the order of their gain.
    fn distribute_level(&mut self, ranked: Vec<RankedWork>, keep: f64) {
        let admission = &mut self.admission;
        let mut left = admission.level * admission.offered.iter().map(|o| o[0] + o[1]).sum::<f64>();
        let last_rank = ranked.len().max(2) as f64 - 1.0;
        for (rank, RankedWork { class, over_share, .. }) in ranked.into_iter().enumerate() {
            admission.in_flight_part[class][over_share] = 1.0 - 0.3 * rank as f64 / last_rank;
            let offered = admission.offered[class][over_share];
            admission.probability[class][over_share] =
                if offered <= left || offered <= 0.0 { 1.0 } else { left / offered };
            left = (left - offered).max(0.0);
            admission.offered[class][over_share] *= keep;
        }
    }

    /// Whether the request counts as over its tenant's share: by chance, as often as the tenant's traffic
    /// exceeds this node's part of its quota. Only first tries count as traffic: with retries a storm of them
    /// would put all requests over the share, and those within it would be refused.
    pub(super) fn is_over_share(&mut self, tenant: Option<usize>, first_try: bool) -> bool {
        let Some(index) = tenant else { return false };
        let Some(tenant) = self.settings.tenants.get(index) else { return false };
        let quota_here = tenant.quota_rps / f64::from(self.settings.instances);
        let traffic = &mut self.admission.tenants[index];
        traffic.requests_since_tick += u32::from(first_try);
        let rate = traffic.requests_per_s;
        quota_here > 0.0 && rate > quota_here && self.rng.f64() > quota_here / rate
    }

    /// Counts a request of `worth` as offered work and decides whether it is let in.
    pub(super) fn admit(&mut self, request: &Request, worth: f64, low_worth: bool) -> bool {
        let class = request.class;
        let mean_ms = self.class_stats.get(class).map_or(1.0, |stats| stats.mean_ms.max(1.0));
        let work =
            request.effort_ms.filter(|effort| effort.is_finite() && *effort > 0.0).unwrap_or(mean_ms);
        let rank = usize::from(low_worth);
        let Some(offered) = self.admission.offered.get_mut(class) else { return worth > 0.0 };
        offered[rank] += work;
        let probability = self.admission.probability[class][rank];
        let drawn = worth > 0.0 && (probability >= 1.0 || self.rng.f64() < probability);
        let mean_limit =
            self.admission.in_flight_scale * INITIAL_IN_FLIGHT_PER_BACKEND * self.hash_entries.len() as f64
                / f64::from(self.settings.instances);
        // Where the limit is a few requests, chance alone exceeds it: three standard deviations are added.
        let limit =
            (mean_limit + 3.0 * mean_limit.sqrt()).max(1.0) * self.admission.in_flight_part[class][rank];
        let limit_reached =
            self.settings.reporting != Reporting::None && f64::from(self.in_flight) + 1.0 > limit;
        self.admission.in_flight_limit_reached |= limit_reached;
        drawn && !limit_reached
    }
}
