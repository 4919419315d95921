//! Accounts, orders and their proofs, as requests come for them (RFC 8555, 7.3 to 7.5).

use super::jose::{self, Signed};
use super::{Asked, Authority, Order, Proven, Said, Whim, as_json, locked, problem, prove};
use base64::Engine;
use base64::prelude::BASE64_URL_SAFE_NO_PAD as B64;
use rcgen::{CertificateSigningRequestParams, KeyPair};
use serde_json::{Value, json};

impl Authority {
    pub(super) fn account(&self, signed: &Signed) -> Said {
        let payload: Value = serde_json::from_slice(&signed.payload).unwrap_or_default();
        let key = signed.key.clone().unwrap_or_default();
        if let Some((name, secret)) = &locked(&self.0.manner).bound {
            let bound =
                jose::bound(&payload["externalAccountBinding"], name, secret, &key, &self.url("account"));
            if let Err(detail) = bound {
                return problem(403, "externalAccountRequired", detail);
            }
        }
        let mut state = locked(&self.0.state);
        let known = state.accounts.iter().position(|(k, _)| *k == key);
        if known.is_none() && payload["onlyReturnExisting"] == true {
            return problem(400, "accountDoesNotExist", "none of this key");
        }
        let number = known.unwrap_or_else(|| {
            state.accounts.push((key, true));
            state.counts.accounts += 1;
            state.accounts.len() - 1
        });
        let mut said = as_json(if known.is_some() { 200 } else { 201 }, &json!({"status": "valid"}));
        said.1.push(("Location", self.url(&format!("account/{number}"))));
        said
    }

    pub(super) fn order(&self, signed: &Signed) -> Said {
        let payload: Value = serde_json::from_slice(&signed.payload).unwrap_or_default();
        let names = payload["identifiers"].as_array().cloned().unwrap_or_default();
        let names: Vec<String> = names
            .iter()
            .filter(|n| n["type"] == "dns")
            .filter_map(|n| Some(n["value"].as_str()?.to_owned()))
            .collect();
        if names.is_empty() {
            return problem(400, "malformed", "no names");
        }
        let mut state = locked(&self.0.state);
        let mut proofs = Vec::new();
        for name in &names {
            let token = B64.encode(fastrand::u128(..).to_be_bytes());
            state.proofs.push(Asked {
                account: signed.number,
                name: name.clone(),
                token,
                state: Proven::Pending,
            });
            proofs.push(state.proofs.len() - 1);
        }
        let replaces = payload["replaces"].clone();
        state.counts.replaced += u64::from(replaces.is_string());
        state.orders.push(Order { account: signed.number, names, proofs, replaces, chain: None });
        state.counts.orders += 1;
        let number = state.orders.len() - 1;
        drop(state);
        self.look(number, signed, 201)
    }

    pub(super) fn look(&self, number: usize, signed: &Signed, status: u16) -> Said {
        let state = locked(&self.0.state);
        let Some(order) = state.orders.get(number).filter(|o| o.account == signed.number) else {
            return problem(404, "malformed", "no order");
        };
        let all = |f: &dyn Fn(&Proven) -> bool| {
            order.proofs.iter().filter_map(|n| state.proofs.get(*n)).all(|p| f(&p.state))
        };
        let word = match () {
            () if !all(&|s| !matches!(s, Proven::Not(_))) => "invalid",
            () if order.chain.is_some() => "valid",
            () if all(&|s| *s == Proven::Valid) => "ready",
            () => "pending",
        };
        let names: Vec<Value> = order.names.iter().map(|n| json!({"type": "dns", "value": n})).collect();
        let proofs: Vec<String> =
            order.proofs.iter().map(|n| self.url(&format!("authorisation/{n}"))).collect();
        let mut body = json!({"status": word, "identifiers": names, "authorizations": proofs,
            "finalize": self.url(&format!("finalise/{number}"))});
        if !order.replaces.is_null() {
            body["replaces"] = order.replaces.clone();
        }
        if order.chain.is_some() {
            body["certificate"] = self.url(&format!("chain/{number}")).into();
        }
        let mut said = as_json(status, &body);
        said.1.push(("Location", self.url(&format!("order/{number}"))));
        said
    }

    pub(super) fn authorisation(&self, number: usize, signed: &Signed) -> Said {
        let state = locked(&self.0.state);
        let Some(asked) = state.proofs.get(number).filter(|p| p.account == signed.number) else {
            return problem(404, "malformed", "no authorisation");
        };
        let word = match asked.state {
            Proven::Pending => "pending",
            Proven::Valid => "valid",
            Proven::Not(_) => "invalid",
        };
        let challenge = |kind: &str| self.challenge_of(number, kind, asked);
        as_json(
            200,
            &json!({"status": word, "identifier": {"type": "dns", "value": asked.name},
                "challenges": [challenge("http-01"), challenge("tls-alpn-01")]}),
        )
    }

    fn challenge_of(&self, number: usize, kind: &str, asked: &Asked) -> Value {
        let way = usize::from(kind == "tls-alpn-01");
        let mut body = json!({"type": kind, "token": asked.token, "status": "pending",
            "url": self.url(&format!("challenge/{}", 2 * number + way))});
        match &asked.state {
            Proven::Pending => {}
            Proven::Valid => body["status"] = "valid".into(),
            Proven::Not(why) => {
                body["status"] = "invalid".into();
                let kind = "urn:ietf:params:acme:error:incorrectResponse";
                body["error"] = json!({"type": kind, "detail": why, "status": 403});
            }
        }
        body
    }

    /// Fetches the proof at once; whoever asked hears of it by looking.
    pub(super) fn challenge(&self, way: usize, signed: &Signed) -> Said {
        let (number, by_tls) = (way / 2, way % 2 == 1);
        let found = locked(&self.0.state)
            .proofs
            .get(number)
            .filter(|p| p.account == signed.number)
            .map(|p| (p.name.clone(), p.token.clone()));
        let Some((name, token)) = found else { return problem(404, "malformed", "no challenge") };
        let key = signed.key.clone().unwrap_or_default();
        let answer = format!("{token}.{}", jose::thumbprint(&key));
        let node = {
            let manner = locked(&self.0.manner);
            manner.nodes.get(number % manner.nodes.len().max(1)).copied()
        };
        let shown = match node {
            None => Err("no address of this name".to_owned()),
            Some((plain, _)) if !by_tls => prove::by_http(plain, &name, &token, &answer),
            Some((_, secure)) => prove::by_tls(secure, &name, &answer),
        };
        let mut state = locked(&self.0.state);
        let Some(asked) = state.proofs.get_mut(number) else { return problem(404, "malformed", "none") };
        asked.state = shown.map_or_else(Proven::Not, |()| Proven::Valid);
        let kind = if by_tls { "tls-alpn-01" } else { "http-01" };
        let mut said = as_json(200, &self.challenge_of(number, kind, asked));
        // Where the client is to look on (RFC 8555, 7.1).
        said.1.push(("Link", format!("<{}>;rel=\"up\"", self.url(&format!("authorisation/{number}")))));
        said
    }

    pub(super) fn finalise(&self, number: usize, signed: &Signed, whim: &Whim) -> Said {
        let payload: Value = serde_json::from_slice(&signed.payload).unwrap_or_default();
        let csr = payload["csr"].as_str().and_then(|c| B64.decode(c).ok()).unwrap_or_default();
        let Ok(request) = CertificateSigningRequestParams::from_der(&csr.into()) else {
            return problem(400, "badCSR", "it cannot be read");
        };
        let mut asked: Vec<String> = request
            .params
            .subject_alt_names
            .iter()
            .filter_map(
                |n| if let rcgen::SanType::DnsName(n) = n { Some(n.as_str().to_owned()) } else { None },
            )
            .collect();
        asked.sort();
        let life = locked(&self.0.manner).life;
        let mut state = locked(&self.0.state);
        let proven = |p: &usize| state.proofs.get(*p).is_some_and(|p| p.state == Proven::Valid);
        let Some(order) = state.orders.get(number).filter(|o| o.account == signed.number) else {
            return problem(404, "malformed", "no order");
        };
        if !order.proofs.iter().all(proven) {
            return problem(403, "orderNotReady", "not all is proven");
        }
        let mut names = order.names.clone();
        names.sort();
        if names != asked {
            return problem(400, "badCSR", "other names than were ordered");
        }
        let chain = match whim {
            Whim::OtherKey => self.0.issuer.chain(&names, &KeyPair::generate().unwrap(), -60, life),
            Whim::Expired => self.0.issuer.chain(&names, &request.public_key, -60, -1),
            Whim::FewerNames => self.0.issuer.chain(&names[..1], &request.public_key, -60, life),
            _ => self.0.issuer.chain(&names, &request.public_key, 0, life),
        };
        state.counts.certificates += 1;
        if let Some(order) = state.orders.get_mut(number) {
            order.chain = Some(chain);
        }
        drop(state);
        self.look(number, signed, 200)
    }
}
