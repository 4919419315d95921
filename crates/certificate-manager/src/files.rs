//! Reads certificates, client authorities and ticket keys from files, and detects changes.

use crate::state::join_faults;
use applemill_certs::{CheckedCertificate, check};
use applemill_routes::{Certificate, CertificateOrigin};
use applemill_tls::{ClientAuthorities, TicketKeys};
use std::fs::File;
use std::io::Read;
use std::os::unix::fs::MetadataExt;
use std::path::Path;

/// Larger than any chain, key or file of root certificates.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Identifies a version of a file without reading it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FileVersion {
    inode: u64,
    length: u64,
    modified: (i64, i64),
}

pub(crate) fn file_version(path: &str) -> Option<FileVersion> {
    let metadata = std::fs::metadata(path).ok()?;
    Some(FileVersion {
        inode: metadata.ino(),
        length: metadata.len(),
        modified: (metadata.mtime(), metadata.mtime_nsec()),
    })
}

/// Reads a whole file.
///
/// # Errors
/// Describes the fault, with the path.
pub(crate) fn read_file(path: &str) -> Result<Vec<u8>, String> {
    let error = |e: &dyn std::fmt::Display| format!("{path}: {e}");
    let metadata = std::fs::metadata(Path::new(path)).map_err(|e| error(&e))?;
    if !metadata.is_file() {
        return Err(error(&"not a file"));
    }
    let mut bytes = Vec::new();
    let file = File::open(path).map_err(|e| error(&e))?;
    file.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes).map_err(|e| error(&e))?;
    if bytes.len() as u64 > MAX_FILE_BYTES {
        return Err(error(&"longer than 1 MiB"));
    }
    Ok(bytes)
}

/// Reads and checks a certificate that is configured by files; `None` for other origins.
///
/// # Errors
/// All faults on one line, without key material.
pub(crate) fn load_certificate(certificate: &Certificate) -> Option<Result<CheckedCertificate, String>> {
    let CertificateOrigin::Files { chain, key } = &certificate.origin else { return None };
    let (chain_bytes, key_bytes) = match (read_file(&chain.value), read_file(&key.value)) {
        (Ok(chain), Ok(key)) => (chain, key),
        (chain, key) => {
            let errors: Vec<String> = chain.err().into_iter().chain(key.err()).collect();
            return Some(Err(errors.join("; ")));
        }
    };
    let names: Vec<String> = certificate.names.iter().map(|n| n.value.clone()).collect();
    let checked = check(&chain_bytes, &key_bytes, &names);
    Some(checked.map_err(|faults| format!("{} and {}: {}", chain.value, key.value, join_faults(&faults))))
}

/// A file that is read again when it changes.
pub(crate) struct WatchedFile {
    path: String,
    seen: Option<FileVersion>,
}

impl WatchedFile {
    /// Records the current version of a file. Call this before reading the file, to notice a change during
    /// the read.
    pub(crate) fn new(path: &str) -> WatchedFile {
        WatchedFile { path: path.to_owned(), seen: file_version(path) }
    }

    /// Calls `reload` if the file has changed since the last call; returns its error.
    pub(crate) fn reload_if_changed(
        &mut self,
        reload: impl FnOnce(&str) -> Result<(), String>,
    ) -> Option<String> {
        let new = file_version(&self.path);
        let previous = std::mem::replace(&mut self.seen, new);
        if previous == new { None } else { reload(&self.path).err() }
    }
}

/// Reads a file with the authorities of client certificates.
///
/// # Errors
/// Describes the fault.
pub(crate) fn read_client_authorities(path: &str, required: bool) -> Result<ClientAuthorities, String> {
    ClientAuthorities::read(&read_file(path)?, required).map_err(|e| format!("{path}: {e}"))
}

/// Replaces the authorities with those in a file.
///
/// # Errors
/// Describes the fault.
pub(crate) fn replace_client_authorities(
    path: &str,
    authorities: &ClientAuthorities,
) -> Result<(), String> {
    authorities.replace(&read_file(path)?).map_err(|e| format!("{path}: {e}"))
}

/// Replaces the ticket keys with those in a file.
///
/// # Errors
/// Describes the fault, without key material.
pub(crate) fn read_ticket_keys(path: &str, keys: &TicketKeys) -> Result<(), String> {
    let bytes = read_file(path)?;
    keys.replace(&String::from_utf8_lossy(&bytes)).map_err(|e| format!("{path}: {e}"))
}
