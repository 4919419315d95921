//! Encoding of reports: one format byte, then six bytes per report.

/// The longest message, in bytes: the size limit of a datagram between nodes.
pub const MAX_MESSAGE_BYTES: usize = 256;
/// First byte of a message; messages with another format are ignored.
const FORMAT: u8 = 0xC1;
const REPORT_BYTES: usize = 6;
/// Ages are encoded in one byte, in steps of this length; the largest value is 255 steps.
const AGE_STEP_MS: f64 = 40.0;

/// The result of a node's own call to a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// The server's number, which is the same at all nodes.
    pub server: u32,
    /// Whether the call failed.
    pub bad: bool,
    /// Time since the call, in milliseconds.
    pub age_ms: f64,
}

/// Encodes as many of the reports as fit into one message; the others are left out.
pub fn write(reports: &[Report]) -> Vec<u8> {
    let mut bytes = vec![FORMAT];
    for report in reports.iter().take((MAX_MESSAGE_BYTES - 1) / REPORT_BYTES) {
        bytes.extend(report.server.to_be_bytes());
        // Rounded up, so that a report never appears younger than it is.
        bytes.push((report.age_ms.max(0.0) / AGE_STEP_MS).ceil().min(255.0) as u8);
        bytes.push(u8::from(report.bad));
    }
    bytes
}

/// Decodes a message. None if it is truncated, too long, of another format, or contains an invalid value.
pub fn read(bytes: &[u8]) -> Option<Vec<Report>> {
    let (format, rest) = bytes.split_first()?;
    let (reports, remainder) = rest.as_chunks::<REPORT_BYTES>();
    if *format != FORMAT || !remainder.is_empty() || bytes.len() > MAX_MESSAGE_BYTES {
        return None;
    }
    let report = |bytes: &[u8; REPORT_BYTES]| {
        let [server @ .., age, bad] = *bytes;
        let age_ms = f64::from(age) * AGE_STEP_MS;
        (bad <= 1).then_some(Report { server: u32::from_be_bytes(server), bad: bad == 1, age_ms })
    };
    reports.iter().map(report).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn messages_round_trip_without_lowering_ages_and_arbitrary_bytes_decode_exactly_or_not_at_all(
            reports in prop::collection::vec((any::<u32>(), any::<bool>(), 0.0..20_000.0_f64), 0..60),
            noise in prop::collection::vec(any::<u8>(), 0..300),
        ) {
            let reports: Vec<Report> =
                reports.into_iter().map(|(server, bad, age_ms)| Report { server, bad, age_ms }).collect();
            let bytes = write(&reports);
            prop_assert!(bytes.len() <= MAX_MESSAGE_BYTES);
            let decoded = read(&bytes).expect("a message that write() produced");
            prop_assert_eq!(decoded.len(), reports.len().min(42));
            for (sent, received) in reports.iter().zip(&decoded) {
                prop_assert_eq!((sent.server, sent.bad), (received.server, received.bad));
                prop_assert!(received.age_ms >= sent.age_ms.min(255.0 * 40.0));
                prop_assert!(received.age_ms < sent.age_ms + 40.0);
            }
            if let Some(read) = read(&noise) {
                prop_assert_eq!(write(&read), noise);
            }
            if !reports.is_empty() {
                prop_assert_eq!(read(&bytes[..bytes.len() - 1]), None, "truncated by one byte");
            }
        }
    }
}
