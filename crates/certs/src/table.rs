//! Which certificate a client gets: by the name that it asks for, the exact one before one with a star, and else the
//! default one.

use std::collections::HashMap;
use std::sync::Arc;

/// A certificate in a table.
#[derive(Clone, Debug)]
pub struct Entry<K> {
    /// What it is called in the operator's file.
    pub name: String,
    /// The names that it is good for.
    pub names: Vec<String>,
    /// For clients that ask for no name, or for one that nothing is good for.
    pub default: bool,
    /// What is served.
    pub key: Arc<K>,
}

/// All of them, as looked up for each handshake.
#[derive(Clone, Debug)]
pub struct Table<K> {
    entries: Vec<Entry<K>>,
    exact: HashMap<String, usize>,
    /// By what stands behind the star.
    stars: HashMap<String, usize>,
    default: Option<usize>,
}

impl<K> Default for Table<K> {
    fn default() -> Table<K> {
        Table::new(Vec::new())
    }
}

impl<K> Table<K> {
    /// Of these; where two are good for a name, the first has it.
    pub fn new(entries: Vec<Entry<K>>) -> Table<K> {
        let (mut exact, mut stars) = (HashMap::new(), HashMap::new());
        for (n, entry) in entries.iter().enumerate() {
            for name in &entry.names {
                match name.strip_prefix("*.") {
                    Some(parent) => stars.entry(parent.to_owned()).or_insert(n),
                    None => exact.entry(name.clone()).or_insert(n),
                };
            }
        }
        let default = entries.iter().position(|e| e.default);
        Table { entries, exact, stars, default }
    }

    /// The certificate for a host.
    pub fn find(&self, host: Option<&str>) -> Option<&Entry<K>> {
        let named = host.and_then(|host| {
            let host = host.strip_suffix('.').unwrap_or(host).to_ascii_lowercase();
            let star = || self.stars.get(host.split_once('.')?.1);
            self.exact.get(&host).or_else(star).copied()
        });
        self.entries.get(named.or(self.default)?)
    }

    /// All entries.
    pub fn entries(&self) -> &[Entry<K>] {
        &self.entries
    }
}
