//! Reads the `[tls]`, `[certificate]` and `[authority]` sections.

use super::section::Section;
use crate::fields;
use crate::model::{At, Authority, Certificate, Origin, Proof, Tls};

impl Section<'_, '_> {
    pub(super) fn tls(&mut self) -> Tls {
        Tls {
            handshake_ms: self.duration("handshake_time").map_or(2_000.0, |d| d.value),
            handshakes: self.count("handshakes", 1, 1 << 16).map_or(256, |n| n.value),
            ticket_keys: self.text("ticket_keys"),
            state: self.text("state"),
            proof: match self.choice("proof", fields::PROOF) {
                Some((1, _)) => Proof::Tls,
                _ => Proof::Http,
            },
            orders_a_week: self.count("orders_a_week", 1, 1_000).map_or(5, |n| n.value),
            renew_part: self.number("renew_part", 0.1, 0.8).unwrap_or(0.4),
        }
    }

    pub(super) fn certificate(&mut self, name: At<String>) -> Certificate {
        let names = self.texts("names").into_iter();
        let names = names.map(|n| At { value: n.value.to_ascii_lowercase(), at: n.at }).collect();
        let default = self.flag("default").unwrap_or(false);
        let (chain, key, authorities) = (self.text("chain"), self.text("key"), self.texts("authorities"));
        let right = "either chain and key, or authorities";
        let origin = match (chain, key) {
            (Some(chain), Some(key)) if authorities.is_empty() => Origin::Files { chain, key },
            (None, None) if !authorities.is_empty() => Origin::Authorities(authorities),
            (None, None) => {
                self.report_missing(&name, "no chain and key, and no authorities", right);
                Origin::Nowhere
            }
            (Some(_), Some(_)) => {
                self.report_missing(&name, "files and authorities", right);
                Origin::Nowhere
            }
            _ => {
                self.report_missing(&name, "only one of chain and key", right);
                Origin::Nowhere
            }
        };
        Certificate { name, names, default, origin }
    }

    pub(super) fn authority(&mut self, name: At<String>) -> Authority {
        Authority {
            directory: self.text("directory"),
            root: self.text("root"),
            contact: self.texts("contact"),
            account: self.text("account"),
            account_key: self.text("account_key"),
            timeout_ms: self.duration("timeout").map_or(30_000.0, |d| d.value),
            name,
        }
    }

    fn report_missing(&mut self, name: &At<String>, found: &str, right: &str) {
        let field = self.title.clone();
        self.reader.error("missing", name.at, field, found.to_owned(), right);
    }
}
