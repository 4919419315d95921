//! The text form of an exported run: a JSON object with a format version.

use applemill_membership::RunState;
use serde::{Deserialize, Serialize};

/// Texts of another format are rejected; the node then starts as a new one.
const FORMAT: u32 = 1;

#[derive(Serialize, Deserialize)]
struct RunText {
    #[serde(rename = "form")]
    format: u32,
    number: u32,
    incarnation: u64,
    sequence: u64,
    #[serde(rename = "words")]
    forget_records: Vec<(u32, u64, bool)>,
}

pub(crate) fn write(run_state: &RunState) -> String {
    let RunState { number, incarnation, sequence, forget_records } = run_state.clone();
    let text = RunText { format: FORMAT, number, incarnation, sequence, forget_records };
    serde_json::to_string(&text).unwrap_or_default()
}

/// None if the text is malformed or of another format.
pub(crate) fn read(text: &str) -> Option<RunState> {
    let RunText { format, number, incarnation, sequence, forget_records } =
        serde_json::from_str(text).ok()?;
    (format == FORMAT).then_some(RunState { number, incarnation, sequence, forget_records })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_run_round_trips_and_other_formats_are_rejected() {
        let run_state = RunState {
            number: 3,
            incarnation: u64::MAX,
            sequence: 9,
            forget_records: vec![(1, u64::MAX - 1, true)],
        };
        let text = write(&run_state);
        let expected = concat!(
            r#"{"form":1,"number":3,"incarnation":18446744073709551615,"sequence":9,"#,
            r#""words":[[1,18446744073709551614,true]]}"#
        );
        assert_eq!(text, expected, "other versions read the same text");
        assert_eq!(read(&text), Some(run_state));
        assert_eq!(read(&text.replace("\"form\":1", "\"form\":2")), None);
        assert_eq!((read(""), read("{}")), (None, None));
    }
}
