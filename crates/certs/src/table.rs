//! Selects the certificate for a client: an exact name first, then a wildcard, else the default.

use std::collections::HashMap;
use std::sync::Arc;

/// A certificate in a table.
#[derive(Clone, Debug)]
pub struct TableEntry<K> {
    /// Name in the operator's file.
    pub name: String,
    /// Host names and wildcards that it is served for.
    pub names: Vec<String>,
    /// Whether it is served to clients that send no server name, or one that matches nothing.
    pub default: bool,
    /// Chain and key.
    pub key: Arc<K>,
}

/// All certificates, indexed for the lookup in each handshake.
#[derive(Clone, Debug)]
pub struct CertificateTable<K> {
    entries: Vec<TableEntry<K>>,
    exact: HashMap<String, usize>,
    /// Wildcards by the part after `*.`.
    wildcards: HashMap<String, usize>,
    default: Option<usize>,
}

impl<K> Default for CertificateTable<K> {
    fn default() -> CertificateTable<K> {
        CertificateTable::new(Vec::new())
    }
}

impl<K> CertificateTable<K> {
    /// Builds the table. If two entries have the same name, the first one gets it.
    pub fn new(entries: Vec<TableEntry<K>>) -> CertificateTable<K> {
        let (mut exact, mut wildcards) = (HashMap::new(), HashMap::new());
        for (index, entry) in entries.iter().enumerate() {
            for name in &entry.names {
                match name.strip_prefix("*.") {
                    Some(parent) => wildcards.entry(parent.to_owned()).or_insert(index),
                    None => exact.entry(name.clone()).or_insert(index),
                };
            }
        }
        let default = entries.iter().position(|e| e.default);
        CertificateTable { entries, exact, wildcards, default }
    }

    /// Finds the certificate for a server name.
    pub fn find(&self, host: Option<&str>) -> Option<&TableEntry<K>> {
        let named = host.and_then(|host| {
            let host = host.strip_suffix('.').unwrap_or(host).to_ascii_lowercase();
            let wildcard = || self.wildcards.get(host.split_once('.')?.1);
            self.exact.get(&host).or_else(wildcard).copied()
        });
        self.entries.get(named.or(self.default)?)
    }

    /// All entries.
    pub fn entries(&self) -> &[TableEntry<K>] {
        &self.entries
    }
}
