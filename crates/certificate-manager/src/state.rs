//! The state that this node keeps for each certificate: the one in service, its number in the folder, and
//! its renewal record.

use crate::files::{FileVersion, file_version, load_certificate};
use crate::store::Store;
use applemill_certs::{
    CertificateFault, CertificateTable, CheckedCertificate, TableEntry, UnixSeconds, check,
};
use applemill_renewal::{CertificateValidity, Policy, Record, Seconds};
use applemill_routes::{Authority, Certificate, CertificateOrigin, File, Tls as TlsSettings};
use rustls::sign::CertifiedKey;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The parts of the operator's file that concern certificates.
#[derive(Clone, Debug)]
pub(crate) struct CertificateConfig {
    pub(crate) tls: TlsSettings,
    pub(crate) certificates: Vec<Certificate>,
    pub(crate) authorities: Vec<Authority>,
}

impl CertificateConfig {
    pub(crate) fn from_file(file: &File) -> CertificateConfig {
        CertificateConfig {
            tls: file.tls.clone(),
            certificates: file.certificates.clone(),
            authorities: file.authorities.clone(),
        }
    }

    pub(crate) fn certificate(&self, name: &str) -> Option<&Certificate> {
        self.certificates.iter().find(|c| c.name.value == name)
    }

    /// The authorities configured for a certificate, the preferred one first.
    pub(crate) fn authorities_for(&self, certificate: &Certificate) -> Vec<&Authority> {
        let CertificateOrigin::Authorities(names) = &certificate.origin else { return Vec::new() };
        let find = |n: &str| self.authorities.iter().find(|a| a.name.value == n);
        names.iter().filter_map(|n| find(&n.value)).collect()
    }

    /// The renewal policy for a certificate at this node.
    pub(crate) fn policy(&self, name: &str, node: &str) -> Policy {
        let mut hasher = DefaultHasher::new();
        (name, node).hash(&mut hasher);
        Policy {
            renew_fraction: self.tls.renew_part,
            orders_a_week: self.tls.orders_a_week as usize,
            spread_position: (hasher.finish() >> 11) as f64 / (1_u64 << 53) as f64,
        }
    }
}

/// Identifies a node of a fleet; its position in the renewal spread is derived from it.
pub(crate) fn node_identity(file: &File) -> String {
    format!("{}/{}", file.node.name, file.fleet.number)
}

/// Joins faults to one line.
pub(crate) fn join_faults(faults: &[CertificateFault]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

/// The collection of the store with the versions of a certificate.
pub(crate) fn certificate_collection(name: &str) -> String {
    format!("certificates/{name}")
}

pub(crate) fn record_collection(name: &str) -> String {
    format!("records/{name}")
}

/// The state of one certificate.
#[derive(Clone, Debug, Default)]
pub(crate) struct CertificateEntry {
    pub(crate) checked: Option<CheckedCertificate>,
    /// The newest certificate while it is not valid yet and the one in service still is. This goes by the
    /// node's clock, which may be wrong.
    pending: Option<CheckedCertificate>,
    /// Number of the newest certificate in the folder; 0 if none came from there.
    pub(crate) number: u64,
    /// Its PEM chain; empty if it did not come from the folder.
    pub(crate) chain: Vec<u8>,
    pub(crate) record: Record,
    /// The renewal window that the authority last gave to this node.
    pub(crate) window: Option<(Seconds, Seconds)>,
    record_number: u64,
    file_versions: Option<(Option<FileVersion>, Option<FileVersion>)>,
    /// The last problem found, so that each is reported once.
    last_problem: Option<String>,
    /// The last state label that was logged.
    pub(crate) last_label: &'static str,
}

fn split_pem(pem: &[u8]) -> (Vec<u8>, Vec<u8>) {
    // The key comes first, so that a chain after it shows that the key is complete.
    let text = String::from_utf8_lossy(pem);
    let key_end = text.find("-----BEGIN CERTIFICATE").unwrap_or(text.len());
    let (key, chain) = text.split_at_checked(key_end).unwrap_or_default();
    (chain.as_bytes().to_vec(), key.as_bytes().to_vec())
}

/// Joins key and chain to one file, so that they cannot be mixed up with those of another certificate.
pub(crate) fn join_pem(chain: &str, key: &str) -> Vec<u8> {
    format!("{}\n{chain}", key.trim_end()).into_bytes()
}

pub(crate) fn validity_of(checked: &CheckedCertificate) -> CertificateValidity {
    CertificateValidity {
        not_before: checked.not_before as Seconds,
        not_after: checked.not_after as Seconds,
    }
}

impl CertificateEntry {
    /// Installs a certificate unless it is expired and the current one is not. Returns true if it is now
    /// in service, false if it waits until it is valid.
    fn install(&mut self, checked: CheckedCertificate, now: UnixSeconds) -> Result<bool, String> {
        let old_until =
            self.checked.as_ref().filter(|old| old.check_validity(now).is_ok()).map(|old| old.not_after);
        let not_yet_valid = match (checked.check_validity(now), old_until) {
            (Err(CertificateFault::NotYetValid(_)), Some(_)) => true,
            (Err(fault), Some(until)) => {
                return Err(format!(
                    "{fault}; the one in service is valid until {until} (seconds since 1970)"
                ));
            }
            _ => false,
        };
        let validity = validity_of(&checked);
        if self.record.validity != Some(validity) {
            // The renewal window of the previous certificate does not apply to this one.
            (self.record.validity, self.window, self.record.window) = (Some(validity), None, None);
        }
        if not_yet_valid {
            self.pending = Some(checked);
        } else {
            (self.checked, self.pending) = (Some(checked), None);
        }
        Ok(!not_yet_valid)
    }

    /// Puts the pending certificate into service once it is valid, or once the current one no longer is.
    /// Returns true if it did.
    fn activate_pending(&mut self, now: UnixSeconds) -> bool {
        let old_is_valid = self.checked.as_ref().is_some_and(|old| old.check_validity(now).is_ok());
        let ready = self.pending.take_if(|c| !old_is_valid || c.check_validity(now).is_ok());
        let activated = ready.is_some();
        self.checked = ready.or(self.checked.take());
        activated
    }

    /// Checks for a new version. Returns whether the certificate in service has changed, and a problem
    /// unless it was reported before.
    pub(crate) fn update(
        &mut self,
        certificate: &Certificate,
        store: Option<&Store>,
        now: Seconds,
    ) -> (bool, Option<String>) {
        let now = now as UnixSeconds;
        let activated = self.activate_pending(now);
        let result = match (&certificate.origin, store) {
            (CertificateOrigin::Files { chain, key }, _) => {
                self.update_from_files(certificate, &chain.value, &key.value, now)
            }
            (CertificateOrigin::Authorities(_), Some(store)) => {
                self.update_from_store(certificate, store, now)
            }
            _ => Ok(false),
        };
        match result.map(|changed| changed || activated) {
            Ok(changed) => {
                if changed {
                    self.last_problem = None;
                }
                (changed, None)
            }
            Err(problem) if self.last_problem.as_ref() == Some(&problem) => (activated, None),
            Err(problem) => {
                self.last_problem = Some(problem.clone());
                (activated, Some(problem))
            }
        }
    }

    fn update_from_files(
        &mut self,
        certificate: &Certificate,
        chain: &str,
        key: &str,
        now: UnixSeconds,
    ) -> Result<bool, String> {
        let versions = (file_version(chain), file_version(key));
        if self.file_versions == Some(versions) {
            return Ok(false);
        }
        let Some(loaded) = load_certificate(certificate) else { return Ok(false) };
        // The files changed while they were read: the next check reads them again.
        if (file_version(chain), file_version(key)) != versions {
            return Ok(false);
        }
        self.file_versions = Some(versions);
        self.install(loaded?, now)
    }

    fn update_from_store(
        &mut self,
        certificate: &Certificate,
        store: &Store,
        now: UnixSeconds,
    ) -> Result<bool, String> {
        let name = &certificate.name.value;
        self.update_record(name, store)?;
        let collection = certificate_collection(name);
        let numbers = store.numbers(&collection).map_err(|e| format!("state: {e}"))?;
        let names: Vec<String> = certificate.names.iter().map(|n| n.value.clone()).collect();
        let (mut problem, mut candidates) = (None, Vec::new());
        // Read from the highest number down to the first certificate that is valid now. Invalid ones leave
        // earlier ones in service. One that is not valid yet becomes pending, also on a node that has just
        // started and holds no earlier one.
        for number in numbers.into_iter().take_while(|n| *n > self.number) {
            let Some(pem) = store.get_number(&collection, number).map_err(|e| format!("state: {e}"))?
            else {
                continue;
            };
            let (chain, key) = split_pem(&pem);
            match check(&chain, &key, &names) {
                Ok(checked) => {
                    let valid_now = checked.check_validity(now).is_ok();
                    candidates.push((number, chain, checked));
                    if valid_now {
                        break;
                    }
                }
                Err(faults) => {
                    problem
                        .get_or_insert_with(|| format!("state: number {number}: {}", join_faults(&faults)));
                }
            }
        }
        let mut changed = false;
        for (number, chain, checked) in candidates.into_iter().rev() {
            match self.install(checked, now) {
                Ok(in_service) => {
                    (self.number, self.chain) = (number, chain);
                    changed |= in_service;
                }
                Err(why) => problem = problem.or(Some(format!("state: number {number}: {why}"))),
            }
        }
        if changed { Ok(true) } else { problem.map_or(Ok(false), Err) }
    }

    /// Reads the fleet's renewal record if another node has written a newer one.
    fn update_record(&mut self, name: &str, store: &Store) -> Result<(), String> {
        let collection = record_collection(name);
        let newest = store.numbers(&collection).map_err(|e| format!("state: {e}"))?.first().copied();
        let Some(number) = newest.filter(|n| *n >= self.record_number) else { return Ok(()) };
        let bytes = store.get_number(&collection, number).map_err(|e| format!("state: {e}"))?;
        // An unreadable record is ignored: at worst an order is placed too early.
        if let Some(record) = bytes.and_then(|b| serde_json::from_slice::<Record>(&b).ok()) {
            let validity = self.record.validity;
            self.record = record;
            (self.record.validity, self.record.window) = (validity, self.window);
            self.record_number = number;
        }
        Ok(())
    }
}

/// Builds the table of the certificates in service.
pub(crate) fn table<'k>(
    config: &CertificateConfig,
    entry_of: impl Fn(&str) -> Option<&'k CertificateEntry>,
) -> CertificateTable<CertifiedKey> {
    let entry = |c: &Certificate| {
        let checked = entry_of(&c.name.value)?.checked.as_ref()?;
        Some(TableEntry {
            name: c.name.value.clone(),
            names: c.names.iter().map(|n| n.value.clone()).collect(),
            default: c.default,
            key: checked.key.clone(),
        })
    };
    CertificateTable::new(config.certificates.iter().filter_map(entry).collect())
}
