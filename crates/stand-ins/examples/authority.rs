//! Runs the stand-in ACME authority alone, for ACME clients of other projects: `authority PROOFS ROOT`
//! validates http-01 challenges at the address PROOFS, writes its root certificate to the file ROOT, prints
//! the URL of its directory, and serves until standard input ends. Then it prints its counts, and fails if a
//! client violated the protocol.

use applemill_stand_ins::{Authority, Manner};
use std::io::Read;
use std::net::SocketAddr;
use std::process::ExitCode;

fn main() -> Result<ExitCode, Box<dyn std::error::Error>> {
    let mut args = std::env::args().skip(1);
    let (Some(proofs), Some(root)) = (args.next(), args.next()) else {
        eprintln!("authority PROOFS ROOT: an address and port, and a file");
        return Ok(ExitCode::from(2));
    };
    let proofs: SocketAddr = proofs.parse()?;
    let authority = Authority::start(Manner { life: 86_400, nodes: vec![(proofs, proofs)], bound: None })?;
    std::fs::write(root, authority.root())?;
    println!("{}", authority.directory());
    std::io::stdin().read_to_end(&mut Vec::new())?;
    let counts = authority.counts();
    println!("{counts:?}");
    Ok(if counts.wrong.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
