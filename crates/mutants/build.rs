//! Generates a copy of the ledger's sources for each mutation, with the mutation applied.

#[path = "src/mutations.rs"]
#[allow(dead_code)]
mod mutations;

use std::fmt::Write as _;
use std::path::Path;
use std::{env, fs};

/// The ledger's modules that are copied. `interface` is not: the copies use the ledger's own types.
const MODULES: [&str; 9] =
    ["addresses", "conn", "conn_events", "digest", "fault", "idle_age", "idle_conns", "ledger", "timers"];

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo::rerun-if-changed=../ledger/src");
    println!("cargo::rerun-if-changed=src/mutations.rs");
    let mut generated = String::new();
    for (mutation, number) in mutations::MUTATIONS.iter().zip(0..) {
        writeln!(
            generated,
            "#[allow(dead_code, unused, missing_docs, clippy::all)]\nmod mutant{number} {{"
        )?;
        writeln!(generated, "mod interface {{ pub use applemill_ledger::*; }}")?;
        for module in MODULES {
            let path = format!("../ledger/src/{module}.rs");
            let mut source = fs::read_to_string(Path::new(&path)).map_err(|e| format!("{path}: {e}"))?;
            let applicable = mutation.replacements.iter().filter(|r| r.file == format!("{module}.rs"));
            for mutations::Replacement { from, to, .. } in applicable {
                let found = source.matches(from).count();
                if found != 1 {
                    return Err(format!(
                        "mutation '{}': {path} has {found} matches of '{from}'; expected one",
                        mutation.name
                    )
                    .into());
                }
                source = source.replace(from, to);
            }
            // The copies are nested one module deeper than the originals.
            let source = source.replace("crate::", "super::");
            writeln!(generated, "pub mod {module} {{\n{source}\n}}")?;
        }
        writeln!(generated, "applemill_explore::subject!(ledger::Ledger<usize, usize>);\n}}")?;
    }
    let factories: Vec<String> =
        (0..mutations::MUTATIONS.len()).map(|number| format!("mutant{number}::make")).collect();
    let count = factories.len();
    writeln!(
        generated,
        "pub(crate) const FACTORIES: [applemill_explore::SubjectFactory; {count}] = [{}];",
        factories.join(", ")
    )?;
    fs::write(Path::new(&env::var("OUT_DIR")?).join("mutants.rs"), generated)?;
    Ok(())
}
