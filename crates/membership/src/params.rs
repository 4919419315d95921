//! The parameters that all nodes of a fleet share, and what is derived from them.

use crate::Ms;
use crate::wire::MAX_NODES;
use thiserror::Error;

/// The parameters of a fleet. They must be the same at all nodes: proofs from a node with other parameters
/// are not used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetParams {
    /// Number of configured nodes; all of them are counted unless there is better information.
    pub nodes: u32,
    /// How long a proof of absence is valid, from the time of the query that it answers.
    pub hold_ms: Ms,
    /// Largest relative error of any node's clock rate: 0.02 is two percent.
    pub drift: f64,
}

/// A parameter that is out of its range.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum FleetParamsError {
    /// The number of nodes.
    #[error("{0} nodes: must be between 1 and {MAX_NODES}")]
    Nodes(u32),
    /// The validity of proofs.
    #[error("a hold of {0} ms: must be between 200 and 60000 ms")]
    Hold(Ms),
    /// The error of the clocks.
    #[error("a clock drift of {0}: must be between 0 and 0.2")]
    Drift(f64),
}

impl FleetParams {
    /// Checks the ranges of all parameters.
    ///
    /// # Errors
    /// The first parameter that is out of its range.
    pub fn check(self) -> Result<FleetParams, FleetParamsError> {
        match self {
            FleetParams { nodes, .. } if nodes == 0 || nodes > MAX_NODES => {
                Err(FleetParamsError::Nodes(nodes))
            }
            FleetParams { hold_ms, .. } if !(200.0..=60_000.0).contains(&hold_ms) => {
                Err(FleetParamsError::Hold(hold_ms))
            }
            FleetParams { drift, .. } if !(0.0..=0.2).contains(&drift) => {
                Err(FleetParamsError::Drift(drift))
            }
            params => Ok(params),
        }
    }

    /// How long a newly started node waits before it sends. By then, every proof that it was absent has
    /// expired whatever the clocks' errors: a proof is kept for `hold_ms` by clocks with a rate of at least 1
    /// - drift, and the wait is measured by a clock with a rate of at most 1 + drift.
    pub fn wait_ms(&self) -> Ms {
        self.hold_ms * (1.0 + self.drift) / (1.0 - self.drift)
    }

    /// Equal at nodes with the same parameters.
    pub(crate) fn digest(&self) -> u32 {
        let hold = self.hold_ms.to_bits().wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let drift = self.drift.to_bits().wrapping_mul(0xc2b2_ae3d_27d4_eb4f);
        let mixed = (hold ^ drift.rotate_left(31))
            .wrapping_add(u64::from(self.nodes))
            .wrapping_mul(0x1656_67b1_9e37_79f9);
        (mixed >> 32) as u32
    }
}
