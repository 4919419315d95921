//! The command `applemill certs`: state of the certificates, read from the disk, and requests for renewal.
//! It works whether a node runs or not.

use crate::print::print;
use applemill_certificate_manager::{CertificateStatus, request_renewal, statuses_from_disk};
use applemill_renewal::CertificateState;
use applemill_routes::File;
use serde_json::json;

/// What `applemill certs` is asked to do.
pub enum CertsAction<'a> {
    /// Print all certificates, one a line.
    List {
        /// Print JSON instead of lines.
        json: bool,
    },
    /// Print the certificates that need attention.
    Check,
    /// Request the renewal of one certificate.
    Renew {
        /// Name of the certificate.
        name: &'a str,
        /// Only print what would be done.
        dry_run: bool,
    },
}

/// Runs the action. Returns true if no certificate needs attention, or if the renewal was requested.
///
/// # Errors
/// No certificate has the name, or the request cannot be written.
pub fn run(file: &File, action: &CertsAction<'_>) -> Result<bool, String> {
    let statuses = statuses_from_disk(file);
    let is_ok = |c: &CertificateStatus| !c.standing.needs_attention() && c.last_errors.is_empty();
    match action {
        CertsAction::List { json: true } => {
            print(&format!("{:#}\n", json!(statuses.iter().map(status_json).collect::<Vec<_>>())))
        }
        CertsAction::List { json: false } => statuses.iter().for_each(|c| print(&format!("{c}\n"))),
        CertsAction::Check => statuses.iter().filter(|c| !is_ok(c)).for_each(|c| print(&format!("{c}\n"))),
        CertsAction::Renew { name, dry_run } => {
            let Some(status) = statuses.iter().find(|c| c.name == *name) else {
                return Err(format!("no certificate {name:?}"));
            };
            let authority = status
                .authority
                .as_deref()
                .unwrap_or("no authority: none may be asked now, or the week's orders are used up");
            if *dry_run {
                print(&format!("{status}\nwould be ordered from {authority}; nothing was asked for\n"));
            } else {
                let number = request_renewal(file, name)?;
                print(&format!(
                    "{status}\nrequested replacement of number {number} by {authority}; \
                     a running node carries it out\n"
                ));
            }
            return Ok(true);
        }
    }
    Ok(statuses.iter().all(is_ok))
}

fn status_json(c: &CertificateStatus) -> serde_json::Value {
    let failing_since = if let CertificateState::Failing(since) = c.standing { Some(since) } else { None };
    json!({"name": c.name, "standing": c.standing.label(), "failing_since": failing_since,
        "not_after": c.not_after, "due": c.renew_from, "orders_this_week": c.orders, "words": c.last_errors})
}
