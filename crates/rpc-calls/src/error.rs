//! Errors that the node itself returns for a call, encoded as a MessagePack map.

use bytes::Bytes;

/// Why a call has no result from a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    /// The call was not executed: a retry is harmless.
    Refused {
        /// Advised delay before a retry, in milliseconds; 0 for no advice.
        retry_after_ms: f64,
    },
    /// The call may have been executed.
    Failed,
}

impl Refusal {
    /// Encodes the refusal as a MessagePack map: `{"kind": "refused"|"failed", "harmless": bool}`, with
    /// `"retry_after_ms"` if a delay is advised.
    pub fn encode(self) -> Bytes {
        let (kind, harmless, retry_after_ms) = match self {
            Refusal::Refused { retry_after_ms } => ("refused", true, retry_after_ms),
            Refusal::Failed => ("failed", false, 0.0),
        };
        // Rounded up, so that no client retries early. A value that is not a number is omitted.
        let retry_after_ms = Some(retry_after_ms.ceil()).filter(|ms| *ms >= 1.0).map(|ms| ms as u64);
        let mut out = Vec::new();
        // Writing to a Vec cannot fail.
        let _ = rmp::encode::write_map_len(&mut out, if retry_after_ms.is_some() { 3 } else { 2 });
        let _ = rmp::encode::write_str(&mut out, "kind");
        let _ = rmp::encode::write_str(&mut out, kind);
        let _ = rmp::encode::write_str(&mut out, "harmless");
        let _ = rmp::encode::write_bool(&mut out, harmless);
        if let Some(ms) = retry_after_ms {
            let _ = rmp::encode::write_str(&mut out, "retry_after_ms");
            let _ = rmp::encode::write_uint(&mut out, ms);
        }
        Bytes::from(out)
    }
}
