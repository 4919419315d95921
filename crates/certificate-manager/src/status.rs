//! Certificate status for logs, `/up` and the command line.

use crate::clock::WallClock;
use crate::order::RENEWAL_REQUESTS;
use crate::state::{CertificateConfig, CertificateEntry, certificate_collection, node_identity};
use crate::store::Store;
use applemill_renewal::{CertificateState, Policy, Record, RenewalStep, Seconds};
use applemill_routes::{Certificate, CertificateOrigin, File};
use std::fmt::{self, Display, Formatter};
use std::path::Path;

/// The status of one certificate.
#[derive(Clone, Debug, PartialEq)]
pub struct CertificateStatus {
    /// Name in the operator's file.
    pub name: String,
    /// State by validity and renewal.
    pub standing: CertificateState,
    /// Expiry time; `None` if there is no certificate.
    pub not_after: Option<Seconds>,
    /// Time from which it is due for renewal; `None` if it comes from files.
    pub renew_from: Option<Seconds>,
    /// The authority that an order would go to now; `None` if none may be asked.
    pub authority: Option<String>,
    /// Time at which the status was taken.
    pub now: Seconds,
    /// Orders in the last week.
    pub orders: usize,
    /// The last error of each authority, or of the certificate's files.
    pub last_errors: Vec<String>,
}

/// Formats a duration with a unit that suits its length.
fn format_duration(seconds: Seconds) -> String {
    match seconds.abs() {
        s if s < 120.0 => format!("{s:.0} s"),
        s if s < 7_200.0 => format!("{:.0} min", s / 60.0),
        s if s < 172_800.0 => format!("{:.0} h", s / 3_600.0),
        s => format!("{:.0} days", s / 86_400.0),
    }
}

impl Display for CertificateStatus {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "certificate {}: {}", self.name, self.standing.label())?;
        if let CertificateState::Failing(since) = self.standing {
            write!(f, " for {}", format_duration(self.now - since))?;
        }
        match self.not_after {
            Some(end) if end > self.now => write!(f, ", ends in {}", format_duration(end - self.now))?,
            Some(end) => write!(f, ", ended {} ago", format_duration(self.now - end))?,
            None => {}
        }
        for error in &self.last_errors {
            write!(f, "; {error}")?;
        }
        Ok(())
    }
}

pub(crate) fn status_of(
    config: &CertificateConfig,
    certificate: &Certificate,
    entry: &CertificateEntry,
    node: &str,
    now: Seconds,
) -> CertificateStatus {
    let name = &certificate.name.value;
    let authorities = config.authorities_for(certificate);
    let policy = config.policy(name, node);
    let mut record = entry.record.clone();
    record.normalize(now, authorities.len());
    let authority_states = authorities.iter().zip(&record.authority_states).filter(|(_, d)| d.failures > 0);
    let errors = authority_states.map(|(a, d)| {
        let retry = if d.retry_from_s > now {
            format!(", next in {}", format_duration(d.retry_from_s - now))
        } else {
            String::new()
        };
        format!("{} ({} failed{retry}): {}", a.name.value, d.failures, d.last_error.replace('\n', " "))
    });
    CertificateStatus {
        name: name.clone(),
        standing: record.state(&policy, now),
        not_after: record.validity.map(|v| v.not_after),
        renew_from: (!authorities.is_empty()).then(|| record.renew_from(&policy)),
        authority: next_authority(&record, &policy, now)
            .and_then(|n| Some(authorities.get(n)?.name.value.clone())),
        now,
        orders: record.orders.len(),
        last_errors: errors.collect(),
    }
}

/// Stores a request to renew a certificate now, for the node that holds its lease. Returns the number of
/// the certificate to be replaced.
///
/// # Errors
/// There is no certificate of this name, it comes from files, or the folder cannot be written.
pub fn request_renewal(file: &File, name: &str) -> Result<u64, String> {
    let certificate = file.certificates.iter().find(|c| c.name.value == name);
    let certificate = certificate.ok_or_else(|| format!("no certificate {name:?}"))?;
    let state =
        file.tls.state.as_ref().filter(|_| matches!(certificate.origin, CertificateOrigin::Authorities(_)));
    let state = state.ok_or_else(|| format!("certificate {name:?} comes from files"))?;
    let store = Store::new(Path::new(&state.value));
    let error = |e: std::io::Error| format!("{}: {e}", state.value);
    let number = store.numbers(&certificate_collection(name)).map_err(error)?.first().copied().unwrap_or(0);
    store.put(RENEWAL_REQUESTS, name, number.to_string().as_bytes()).map_err(error)?;
    Ok(number)
}

/// The index of the authority that an order would go to now.
fn next_authority(record: &Record, policy: &Policy, now: Seconds) -> Option<usize> {
    let due = Record { revoked: true, ..record.clone() };
    match due.next(policy, now) {
        RenewalStep::Order(n) => Some(n),
        RenewalStep::Wait(_) => None,
    }
}

/// The status of all certificates in the operator's file, as read from disk. No node needs to run.
pub fn statuses_from_disk(file: &File) -> Vec<CertificateStatus> {
    let config = CertificateConfig::from_file(file);
    let store = file.tls.state.as_ref().map(|s| Store::new(Path::new(&s.value)));
    let now = WallClock::default().now_s();
    let show = |c: &Certificate| {
        let mut entry = CertificateEntry::default();
        let (_, problem) = entry.update(c, store.as_ref(), now);
        let mut status = status_of(&config, c, &entry, &node_identity(file), now);
        status.last_errors.extend(problem);
        status
    };
    config.certificates.iter().map(show).collect()
}
