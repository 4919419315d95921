//! Checks TLS settings: names, certificates, authorities and how control of names is proven.

use super::Check;
use crate::model::{At, Certificate, Listener, Origin, Proof};
use crate::report::SourceLocation;
use std::collections::HashSet;

/// Whether a certificate can be issued for the name: labels of letters, digits and inner hyphens; the first
/// label may be `*`.
fn is_certificate_name(name: &str) -> bool {
    let domain = name.strip_prefix("*.").unwrap_or(name);
    let is_label = |l: &str| {
        (1..=63).contains(&l.len())
            && !l.starts_with('-')
            && !l.ends_with('-')
            && l.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-')
    };
    name.len() <= 253 && domain.contains('.') && domain.split('.').all(is_label)
}

impl Check<'_> {
    pub(super) fn check_tls(&mut self) {
        let file = self.file;
        for c in &file.certificates {
            self.check_certificate(c);
        }
        let names = || file.certificates.iter().flat_map(|c| &c.names);
        self.check_unique(
            "certificate: names",
            names().map(|n| (n.value.as_str(), n.value.as_str(), n.at)),
        );
        let defaults = || file.certificates.iter().filter(|c| c.default);
        self.check_unique(
            "certificate: default",
            defaults().map(|c| ("", c.name.value.as_str(), c.name.at)),
        );
        let tls_listener = file.listeners.iter().find(|l| l.is_tls());
        match (tls_listener, file.certificates.first()) {
            (Some(l), None) => {
                let at = l.tls.as_ref().map_or(l.address.at, |t| t.at);
                let right = "at least one [certificate.NAME]";
                self.error(
                    "missing",
                    at,
                    format!("listener {:?}: tls", l.name.value),
                    "no certificate",
                    right,
                );
            }
            (None, Some(c)) if self.platform.is_none() => {
                let found = "no listener uses TLS";
                self.warn(
                    "unused",
                    c.name.at,
                    format!("certificate {:?}", c.name.value),
                    found,
                    "tls = true",
                );
            }
            _ => {}
        }
        self.check_authorities();
        self.check_proofs();
        for l in &file.listeners {
            self.check_client_certificates(l);
        }
    }

    /// Checks that clients are asked for certificates only on TLS listeners that have authorities to verify
    /// them.
    fn check_client_certificates(&mut self, l: &Listener) {
        let field = |name: &str| format!("listener {:?}: {name}", l.name.value);
        match (&l.client_ca, &l.client_required) {
            (Some(ca), _) if !l.is_tls() => {
                self.error(
                    "tls",
                    ca.at,
                    field("client_ca"),
                    "a listener without TLS",
                    "tls = true, or neither",
                );
            }
            (None, Some(required)) => {
                let right = "client_ca = \"FILE\" beside it";
                self.error("missing", required.at, field("client_certificate"), "no client_ca", right);
            }
            _ => {}
        }
    }

    fn check_certificate(&mut self, c: &Certificate) {
        let field = |name: &str| format!("certificate {:?}: {name}", c.name.value);
        if c.names.is_empty() {
            self.error("missing", c.name.at, field("names"), "no name", "names = [\"auction.lv\"]");
        }
        for n in c.names.iter().filter(|n| !is_certificate_name(&n.value)) {
            let right = "a name such as \"auction.lv\" or \"*.auction.lv\"";
            self.error("kind", n.at, field("names"), format!("{:?}", n.value), right);
        }
    }

    fn check_authorities(&mut self) {
        let file = self.file;
        let mut used = HashSet::new();
        for c in &file.certificates {
            let Origin::Authorities(names) = &c.origin else { continue };
            let field = format!("certificate {:?}: authorities", c.name.value);
            for a in names {
                used.insert(a.value.as_str());
                if !file.authorities.iter().any(|b| b.name.value == a.value) {
                    let found = format!("no authority {:?}", a.value);
                    self.error(
                        "unknown-name",
                        a.at,
                        field.clone(),
                        found,
                        "one that is defined in the file",
                    );
                }
            }
            self.check_unique(&field, names.iter().map(|a| (a.value.as_str(), a.value.as_str(), a.at)));
        }
        for a in &file.authorities {
            let field = |name: &str| format!("authority {:?}: {name}", a.name.value);
            match &a.directory {
                None => self.error("missing", a.name.at, field("directory"), "no address", "https://..."),
                Some(d) if !d.value.starts_with("https://") => {
                    self.error(
                        "kind",
                        d.at,
                        field("directory"),
                        format!("{:?}", d.value),
                        "https://... (RFC 8555, 6.1)",
                    );
                }
                Some(_) => {}
            }
            for c in a.contact.iter().filter(|c| !c.value.starts_with("mailto:")) {
                self.error(
                    "kind",
                    c.at,
                    field("contact"),
                    format!("{:?}", c.value),
                    "mailto:... (RFC 8555, 7.3)",
                );
            }
            if a.account.is_some() != a.account_key.is_some() {
                let right = "account and account_key, both or neither";
                self.error("missing", a.name.at, field("account"), "only one of the two", right);
            }
            if !used.contains(a.name.value.as_str()) {
                let found = "no certificate uses it";
                self.warn("unused", a.name.at, format!("authority {:?}", a.name.value), found, "remove it");
            }
        }
    }

    /// Checks that control of the names can be proven and that the certificates can be stored.
    fn check_proofs(&mut self) {
        let file = self.file;
        let is_ordered = |c: &&Certificate| matches!(c.origin, Origin::Authorities(_));
        let Some(first) = file.certificates.iter().find(is_ordered) else { return };
        let start = SourceLocation { line: 1, column: 1 };
        let at = file.sections.iter().find(|s| s.value == "tls").map_or(start, |s| s.at);
        if file.tls.state.is_none() {
            let found =
                format!("no directory, and certificate {:?} comes from an authority", first.name.value);
            self.error("missing", at, "tls: state", found, "state = \"/var/lib/applemill\"");
        }
        let has_plain_listener = file.listeners.iter().any(|l| !l.is_tls());
        if file.tls.proof == Proof::Http && !has_plain_listener {
            let right = "a [[listener]] without tls, or proof = \"tls-alpn-01\"";
            self.error("missing", at, "tls: proof", "http-01, and no listener without tls", right);
        }
        let wildcards: Vec<&At<String>> = file
            .certificates
            .iter()
            .filter(is_ordered)
            .flat_map(|c| c.names.iter().filter(|n| n.value.starts_with("*.")))
            .collect();
        for name in wildcards {
            let right = "exact names, or files: a wildcard can be proven only by DNS (RFC 8555, 8.4)";
            self.error("proof", name.at, "certificate: names", format!("{:?}", name.value), right);
        }
    }
}
