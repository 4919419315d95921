//! What is read of the fleet.

use super::section::Section;
use crate::model::{Fleet, Membership, Seen};

impl Section<'_, '_> {
    pub(super) fn fleet(&mut self) -> Fleet {
        Fleet {
            nodes: self.count("nodes", 1, 100_000).map_or(1, |n| n.value),
            number: self.count("number", 0, 99_999).map_or(0, |n| n.value),
            cold_ms: self.duration("cold_time").map_or(20_000.0, |d| d.value),
            start_capacity: self.number("start_capacity", 0.01, 1.0).unwrap_or(0.2),
            fall_multiple: self.number("fall_multiple", 1.0, 1000.0).unwrap_or(3.0),
            fall_ms: self.duration("fall_time").map_or(1_500.0, |d| d.value),
            membership: Membership {
                peers: self.addresses("peers"),
                listen: self.address("listen", false),
                key: self.text("key_file"),
                hold: self.duration("hold"),
                drift: self.number("clock_drift", 0.0, 0.2).unwrap_or(0.02),
                refusals: self.flag("refusals_prove").unwrap_or(false),
            },
        }
    }

    /// All that is written of it; none where a field that is needed is missing, which is then an error of its own.
    pub(super) fn seen(&mut self) -> Option<Seen> {
        let (fleet, listen) = (self.text("fleet"), self.address("listen", true));
        let (address, seeds, key) =
            (self.address("address", false), self.addresses("seeds"), self.text("key_file"));
        let alone = self.choice("alone", crate::fields::ALONE);
        if fleet.is_none() && !self.has("fleet") {
            self.missing("fleet", "no name", "the fleet's, the same at all its nodes");
        }
        let alone_serves = alone.is_none_or(|(word, _)| word == 0);
        Some(Seen { fleet: fleet?, listen: listen?, address, seeds, key, alone_serves })
    }
}
