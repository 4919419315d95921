//! What tells one fleet's configuration from another, whatever a node's own part of it is.

use toml::{Table, Value};

/// Sections that are a node's own.
const OWN: [&str; 3] = ["node", "listener", "view"];
/// Fields of `[fleet]` that are; nodes may reach each other at different addresses.
const OWN_OF_FLEET: [&str; 3] = ["number", "listen", "peers"];

/// A digest of what a file says, its node's own name, number and addresses left out: nodes of one fleet have the same. Comments,
/// spaces and the order of fields change nothing; 0 for what is no TOML.
pub fn digest(text: &str) -> u32 {
    let Ok(mut file) = text.parse::<Table>() else { return 0 };
    OWN.iter().for_each(|own| drop(file.remove(*own)));
    if let Some(Value::Table(fleet)) = file.get_mut("fleet") {
        OWN_OF_FLEET.iter().for_each(|own| drop(fleet.remove(*own)));
    }
    // FNV-1a over a form in which fields come by name; it need only tell files apart that nobody made alike on purpose.
    let shown = format!("{file:?}");
    let mixed = shown
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    (mixed >> 32) as u32 ^ mixed as u32
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_a_nodes_own_or_no_meaning_changes_nothing() {
        let one = "[node]\nname = \"a\"\n[fleet]\nnodes = 3\nnumber = 0\n[class.page]\neffect = \"safe\"\npatience = \"4s\"\n";
        let same = "# another\n[class.page]\npatience = \"4s\"\neffect=\"safe\"\n[fleet]\nnumber = 2\nlisten = \"x\"\nnodes = 3\n";
        assert_eq!(digest(one), digest(same));
        for other in
            [one.replace("4s", "5s"), one.replace("nodes = 3", "nodes = 4"), one.replace("page", "bid")]
        {
            assert_ne!(digest(one), digest(&other), "{other}");
        }
    }
}
