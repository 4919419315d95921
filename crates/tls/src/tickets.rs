//! Session tickets, which save a client a full handshake (RFC 8446, 2.2; RFC 5077). The keys are this
//! node's own, or come from a file that all nodes of a fleet have, so that a client may resume at another
//! node.

use ring::aead::{AES_256_GCM, Aad, LessSafeKey, NONCE_LEN, Nonce, UnboundKey};
use ring::hkdf::{HKDF_SHA256, Salt};
use ring::rand::{SecureRandom, SystemRandom};
use rustls::server::ProducesTickets;
use std::fmt;
use std::sync::{Arc, PoisonError, RwLock};
use thiserror::Error;

/// Lifetime of a ticket as announced to clients. The keys in a file should be replaced at least this
/// often.
const LIFETIME_S: u32 = 12 * 3600;
/// More keys point to a mistake in the file, and each ticket is looked up among all of them.
const MAX_KEYS: usize = 8;
/// Length of the key name at the start of a ticket.
const KEY_NAME_BYTES: usize = 8;
const SECRET_BYTES: usize = 32;

/// Why a file of keys was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum KeyFileError {
    /// A line is not a key; its number, from 1. The content is not included.
    #[error("line {0} is not 64 hexadecimal digits")]
    Line(usize),
    /// The file has no keys, or too many.
    #[error("{0} keys; expected 1 to 8, the one for new tickets first")]
    Count(usize),
}

struct Key {
    name: [u8; KEY_NAME_BYTES],
    aead: LessSafeKey,
}

impl Key {
    /// Derives name and key from the secret, so that neither reveals it (RFC 5869).
    fn new(secret: &[u8; SECRET_BYTES]) -> Option<Key> {
        struct OutputLength(usize);
        impl ring::hkdf::KeyType for OutputLength {
            fn len(&self) -> usize {
                self.0
            }
        }
        let key_material = Salt::new(HKDF_SHA256, b"applemill tickets").extract(secret);
        let mut name = [0; KEY_NAME_BYTES];
        key_material.expand(&[b"name"], OutputLength(KEY_NAME_BYTES)).ok()?.fill(&mut name).ok()?;
        let mut key = [0; SECRET_BYTES];
        key_material.expand(&[b"key"], OutputLength(SECRET_BYTES)).ok()?.fill(&mut key).ok()?;
        Some(Key { name, aead: LessSafeKey::new(UnboundKey::new(&AES_256_GCM, &key).ok()?) })
    }
}

/// Keys for tickets. The first encrypts new tickets; all of them decrypt.
#[derive(Default)]
pub struct TicketKeys(RwLock<Arc<Vec<Key>>>);

impl fmt::Debug for TicketKeys {
    // Keys must not appear in logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "TicketKeys({} keys)", self.keys().len())
    }
}

impl TicketKeys {
    /// Parses a file with one key per line, 64 hexadecimal digits. Empty lines and lines that begin with
    /// `#` are ignored.
    ///
    /// # Errors
    /// The text is not a valid key file.
    pub fn read(text: &str) -> Result<TicketKeys, KeyFileError> {
        let tickets = TicketKeys::default();
        tickets.replace(text)?;
        Ok(tickets)
    }

    /// Replaces all keys by those of a file, or none if the file is faulty.
    ///
    /// # Errors
    /// The text is not a valid key file.
    pub fn replace(&self, text: &str) -> Result<(), KeyFileError> {
        let mut keys = Vec::new();
        for (line, n) in text.lines().zip(1..) {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let key = parse_secret(line).and_then(|s| Key::new(&s)).ok_or(KeyFileError::Line(n))?;
            keys.push(key);
        }
        if !(1..=MAX_KEYS).contains(&keys.len()) {
            return Err(KeyFileError::Count(keys.len()));
        }
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(keys);
        Ok(())
    }

    fn keys(&self) -> Arc<Vec<Key>> {
        self.0.read().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn parse_secret(line: &str) -> Option<[u8; SECRET_BYTES]> {
    let digits = line.as_bytes();
    if digits.len() != 2 * SECRET_BYTES {
        return None;
    }
    let mut secret = [0; SECRET_BYTES];
    for (byte, pair) in secret.iter_mut().zip(digits.chunks(2)) {
        // `from_str_radix` would accept a sign.
        let pair = std::str::from_utf8(pair).ok().filter(|p| p.bytes().all(|b| b.is_ascii_hexdigit()))?;
        *byte = u8::from_str_radix(pair, 16).ok()?;
    }
    Some(secret)
}

impl ProducesTickets for TicketKeys {
    fn enabled(&self) -> bool {
        true
    }

    fn lifetime(&self) -> u32 {
        LIFETIME_S
    }

    fn encrypt(&self, plain: &[u8]) -> Option<Vec<u8>> {
        let keys = self.keys();
        let key = keys.first()?;
        let mut nonce = [0; NONCE_LEN];
        SystemRandom::new().fill(&mut nonce).ok()?;
        let mut sealed = plain.to_vec();
        let (nonce_value, aad) = (Nonce::assume_unique_for_key(nonce), Aad::from(key.name));
        key.aead.seal_in_place_append_tag(nonce_value, aad, &mut sealed).ok()?;
        Some([&key.name[..], &nonce, &sealed].concat())
    }

    fn decrypt(&self, cipher: &[u8]) -> Option<Vec<u8>> {
        let (name, rest) = cipher.split_at_checked(KEY_NAME_BYTES)?;
        let (nonce, sealed) = rest.split_at_checked(NONCE_LEN)?;
        let keys = self.keys();
        let key = keys.iter().find(|k| k.name == name)?;
        let mut sealed = sealed.to_vec();
        let nonce = Nonce::try_assume_unique_for_key(nonce).ok()?;
        let plain = key.aead.open_in_place(nonce, Aad::from(key.name), &mut sealed).ok()?.len();
        sealed.truncate(plain);
        Some(sealed)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn line(n: u8) -> String {
        format!("{n:02x}").repeat(SECRET_BYTES)
    }

    #[test]
    fn a_ticket_is_valid_at_another_node_while_that_has_its_key() {
        let one = TicketKeys::read(&line(1)).unwrap();
        let other = TicketKeys::read(&format!("# new first\n{}\n\n{}\n", line(2), line(1))).unwrap();
        let ticket = one.encrypt(b"session").unwrap();
        assert_eq!(other.decrypt(&ticket).as_deref(), Some(&b"session"[..]));
        assert_eq!(one.decrypt(&other.encrypt(b"new").unwrap()), None, "it does not have the new key yet");
        assert_ne!(one.encrypt(b"session").unwrap(), ticket, "two tickets of one session differ");
        other.replace(&line(2)).unwrap();
        assert_eq!(other.decrypt(&ticket), None, "its key was removed");
    }

    #[test]
    fn a_changed_or_truncated_ticket_is_rejected() {
        let keys = TicketKeys::read(&line(7)).unwrap();
        let ticket = keys.encrypt(b"session").unwrap();
        for n in 0..ticket.len() {
            let mut changed = ticket.clone();
            changed[n] ^= 1;
            assert_eq!((keys.decrypt(&changed), keys.decrypt(&ticket[..n])), (None, None), "byte {n}");
        }
    }

    #[test]
    fn a_faulty_key_file_changes_nothing_and_keys_are_not_printed() {
        let keys = TicketKeys::read(&line(1)).unwrap();
        let ticket = keys.encrypt(b"session").unwrap();
        let short = &line(3)[1..];
        for (text, wrong) in [
            (String::new(), KeyFileError::Count(0)),
            (format!("{}\n", line(1)).repeat(9), KeyFileError::Count(9)),
            (format!("{}\n{short}", line(2)), KeyFileError::Line(2)),
            (format!("+{short}"), KeyFileError::Line(1)),
            ("é".repeat(32), KeyFileError::Line(1)),
        ] {
            assert_eq!(keys.replace(&text), Err(wrong));
        }
        assert_eq!(keys.decrypt(&ticket).as_deref(), Some(&b"session"[..]));
        assert_eq!(format!("{keys:?}"), "TicketKeys(1 keys)");
    }
}
