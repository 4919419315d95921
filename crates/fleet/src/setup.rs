//! What the operator's file says of a fleet, as the sockets need it; and the key, from its file.

use applemill_membership::{Key, Own, Terms, TermsError};
use applemill_routes::Rules;
use std::io::Read;
use std::net::SocketAddr;
use thiserror::Error;

/// A key has so many bytes at least, and its file so many at most.
const SHORTEST: usize = 32;
const LONGEST: u64 = 4_096;

/// A node of a fleet that may start.
#[derive(Debug)]
pub struct Setup {
    /// What the fleet has agreed on.
    pub terms: Terms,
    /// This node's number.
    pub number: u32,
    /// Where each node hears the others, by number.
    pub peers: Vec<SocketAddr>,
    /// Where this one does.
    pub listen: SocketAddr,
    /// The fleet's key.
    pub key: Option<Key>,
    /// A refused datagram proves that no program listens there.
    pub refusals: bool,
    /// What it says of itself.
    pub own: Own,
}

/// Why there is none. Nothing of the key is in it.
#[derive(Debug, Error)]
pub enum SetupError {
    /// The file with the key cannot be read.
    #[error("fleet: key_file: {0}: {1}")]
    Unread(String, std::io::Error),
    /// It holds no key.
    #[error(
        "fleet: key_file: {0}: {1} bytes; {SHORTEST} to {LONGEST} are right, such as of `openssl rand -hex 32`"
    )]
    Length(String, usize),
    /// What was agreed on is out of range.
    #[error("fleet: {0}")]
    Terms(#[from] TermsError),
    /// This node's name or zone does not fit a datagram, or nobody could reach it.
    #[error("view: {0}")]
    Member(#[from] applemill_view::MemberError),
}

impl Setup {
    /// What a file says; none where its nodes say nothing to each other.
    ///
    /// # Errors
    /// The key is none, or what was agreed on is out of range.
    pub fn of(rules: &Rules) -> Result<Option<Setup>, SetupError> {
        let fleet = &rules.file.fleet;
        let Some(listen) = fleet.listens() else { return Ok(None) };
        let m = &fleet.membership;
        let terms = Terms { nodes: fleet.nodes, hold_ms: m.hold_ms(), drift: m.drift }.check()?;
        Ok(Some(Setup {
            terms,
            number: fleet.number,
            peers: m.peers.iter().map(|p| p.value).collect(),
            listen,
            key: m.key.as_ref().map(|k| key(&k.value)).transpose()?,
            refusals: m.refusals,
            own: own(rules),
        }))
    }
}

/// What a node that runs by a file says of itself.
pub fn own(rules: &Rules) -> Own {
    Own { version: version(env!("CARGO_PKG_VERSION")), config: rules.digest }
}

/// A version's three numbers in one, such as 0.2.0 as 0x000200.
pub(crate) fn version(text: &str) -> u32 {
    let numbers = text.split(['.', '-']).take(3).map(|n| n.parse::<u8>().unwrap_or(0));
    numbers.fold(0, |all, n| all << 8 | u32::from(n))
}

pub(crate) fn key(path: &str) -> Result<Key, SetupError> {
    let unread = |e| SetupError::Unread(path.to_owned(), e);
    let mut bytes = Vec::new();
    let file = std::fs::File::open(path).map_err(unread)?;
    file.take(LONGEST + 1).read_to_end(&mut bytes).map_err(unread)?;
    // Editors end a file with a new line.
    let secret = bytes.trim_ascii();
    if secret.len() < SHORTEST || bytes.len() as u64 > LONGEST {
        return Err(SetupError::Length(path.to_owned(), secret.len()));
    }
    Ok(Key::new(secret))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_version_is_told_from_another() {
        assert_eq!((version("0.2.0"), version("1.10.3-rc1")), (0x200, 0x01_0a_03));
    }

    #[test]
    fn a_key_that_is_none_is_told_without_what_it_holds() {
        let path = std::env::temp_dir().join(format!("applemill-key-{}", std::process::id()));
        let shown = path.display().to_string();
        assert!(matches!(key(&shown), Err(SetupError::Unread(..))));
        for (text, good) in
            [("secret\n".to_owned(), false), ("s".repeat(32), true), ("s".repeat(5_000), false)]
        {
            std::fs::write(&path, &text).unwrap();
            match key(&shown) {
                Ok(_) => assert!(good),
                Err(e) => {
                    assert!(!good && !e.to_string().contains("sss") && e.to_string().contains("32 to"))
                }
            }
        }
        std::fs::remove_file(&path).unwrap();
    }
}
