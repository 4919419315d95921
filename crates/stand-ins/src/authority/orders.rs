//! Requests for accounts, orders, authorisations and challenges (RFC 8555, 7.3 to 7.5).

use super::jose::{self, Signed};
use super::{
    Account, Authorisation, AuthorisationState, Authority, Order, Response, Whim, as_json, locked, problem,
    prove,
};
use base64::Engine;
use base64::prelude::BASE64_URL_SAFE_NO_PAD as B64;
use rcgen::{CertificateSigningRequestParams, KeyPair};
use serde_json::{Value, json};

impl Authority {
    pub(super) fn account(&self, signed: &Signed) -> Response {
        let payload: Value = serde_json::from_slice(&signed.payload).unwrap_or_default();
        let key = signed.key.clone().unwrap_or_default();
        if let Some((name, secret)) = &locked(&self.0.manner).bound {
            let verified = jose::verify_binding(
                &payload["externalAccountBinding"],
                name,
                secret,
                &key,
                &self.url("account"),
            );
            if let Err(detail) = verified {
                return problem(403, "externalAccountRequired", detail);
            }
        }
        let mut state = locked(&self.0.state);
        let known = state.accounts.iter().position(|account| account.key == key);
        if known.is_none() && payload["onlyReturnExisting"] == true {
            return problem(400, "accountDoesNotExist", "no account with this key");
        }
        let number = known.unwrap_or_else(|| {
            state.accounts.push(Account { key, active: true });
            state.counts.accounts += 1;
            state.accounts.len() - 1
        });
        let mut response = as_json(if known.is_some() { 200 } else { 201 }, &json!({"status": "valid"}));
        response.1.push(("Location", self.url(&format!("account/{number}"))));
        response
    }

    pub(super) fn order(&self, signed: &Signed) -> Response {
        let payload: Value = serde_json::from_slice(&signed.payload).unwrap_or_default();
        let names = payload["identifiers"].as_array().cloned().unwrap_or_default();
        let names: Vec<String> = names
            .iter()
            .filter(|n| n["type"] == "dns")
            .filter_map(|n| Some(n["value"].as_str()?.to_owned()))
            .collect();
        if names.is_empty() {
            return problem(400, "malformed", "order without DNS names");
        }
        let mut state = locked(&self.0.state);
        let mut authorisations = Vec::new();
        for name in &names {
            let token = B64.encode(fastrand::u128(..).to_be_bytes());
            state.authorisations.push(Authorisation {
                account: signed.account_number,
                name: name.clone(),
                token,
                state: AuthorisationState::Pending,
            });
            authorisations.push(state.authorisations.len() - 1);
        }
        let replaces = payload["replaces"].clone();
        state.counts.replaced += u64::from(replaces.is_string());
        state.orders.push(Order {
            account: signed.account_number,
            names,
            authorisations,
            replaces,
            chain: None,
        });
        state.counts.orders += 1;
        let number = state.orders.len() - 1;
        drop(state);
        self.describe_order(number, signed, 201)
    }

    /// Answers with an order.
    pub(super) fn describe_order(&self, number: usize, signed: &Signed, status: u16) -> Response {
        let state = locked(&self.0.state);
        let Some(order) = state.orders.get(number).filter(|o| o.account == signed.account_number) else {
            return problem(404, "malformed", "no such order of this account");
        };
        let all = |f: &dyn Fn(&AuthorisationState) -> bool| {
            order.authorisations.iter().filter_map(|n| state.authorisations.get(*n)).all(|p| f(&p.state))
        };
        let status_text = match () {
            () if !all(&|s| !matches!(s, AuthorisationState::Invalid(_))) => "invalid",
            () if order.chain.is_some() => "valid",
            () if all(&|s| *s == AuthorisationState::Valid) => "ready",
            () => "pending",
        };
        let names: Vec<Value> = order.names.iter().map(|n| json!({"type": "dns", "value": n})).collect();
        let authorisations: Vec<String> =
            order.authorisations.iter().map(|n| self.url(&format!("authorisation/{n}"))).collect();
        let mut body = json!({"status": status_text, "identifiers": names, "authorizations": authorisations,
            "finalize": self.url(&format!("finalise/{number}"))});
        if !order.replaces.is_null() {
            body["replaces"] = order.replaces.clone();
        }
        if order.chain.is_some() {
            body["certificate"] = self.url(&format!("chain/{number}")).into();
        }
        let mut response = as_json(status, &body);
        response.1.push(("Location", self.url(&format!("order/{number}"))));
        response
    }

    pub(super) fn authorisation(&self, number: usize, signed: &Signed) -> Response {
        let state = locked(&self.0.state);
        let Some(authorisation) =
            state.authorisations.get(number).filter(|p| p.account == signed.account_number)
        else {
            return problem(404, "malformed", "no such authorisation of this account");
        };
        let status_text = match authorisation.state {
            AuthorisationState::Pending => "pending",
            AuthorisationState::Valid => "valid",
            AuthorisationState::Invalid(_) => "invalid",
        };
        let challenge = |kind: &str| self.challenge_of(number, kind, authorisation);
        as_json(
            200,
            &json!({"status": status_text, "identifier": {"type": "dns", "value": authorisation.name},
                "challenges": [challenge("http-01"), challenge("tls-alpn-01")]}),
        )
    }

    fn challenge_of(&self, number: usize, kind: &str, authorisation: &Authorisation) -> Value {
        let kind_number = usize::from(kind == "tls-alpn-01");
        let mut body = json!({"type": kind, "token": authorisation.token, "status": "pending",
            "url": self.url(&format!("challenge/{}", 2 * number + kind_number))});
        match &authorisation.state {
            AuthorisationState::Pending => {}
            AuthorisationState::Valid => body["status"] = "valid".into(),
            AuthorisationState::Invalid(reason) => {
                body["status"] = "invalid".into();
                let kind = "urn:ietf:params:acme:error:incorrectResponse";
                body["error"] = json!({"type": kind, "detail": reason, "status": 403});
            }
        }
        body
    }

    /// Validates the challenge before answering. The client learns the result by polling the authorisation.
    /// `challenge` is twice the number of the authorisation, plus 1 for tls-alpn-01.
    pub(super) fn challenge(&self, challenge: usize, signed: &Signed) -> Response {
        let (number, by_tls) = (challenge / 2, challenge % 2 == 1);
        let found = locked(&self.0.state)
            .authorisations
            .get(number)
            .filter(|p| p.account == signed.account_number)
            .map(|p| (p.name.clone(), p.token.clone()));
        let Some((name, token)) = found else {
            return problem(404, "malformed", "no such challenge of this account");
        };
        let key = signed.key.clone().unwrap_or_default();
        let answer = format!("{token}.{}", jose::thumbprint(&key));
        let node = {
            let manner = locked(&self.0.manner);
            manner.nodes.get(number % manner.nodes.len().max(1)).copied()
        };
        let validated = match node {
            None => Err("no node is configured for validation".to_owned()),
            Some((plain, _)) if !by_tls => prove::by_http(plain, &name, &token, &answer),
            Some((_, secure)) => prove::by_tls(secure, &name, &answer),
        };
        let mut state = locked(&self.0.state);
        let Some(authorisation) = state.authorisations.get_mut(number) else {
            return problem(404, "malformed", "no such authorisation");
        };
        authorisation.state =
            validated.map_or_else(AuthorisationState::Invalid, |()| AuthorisationState::Valid);
        let kind = if by_tls { "tls-alpn-01" } else { "http-01" };
        let mut response = as_json(200, &self.challenge_of(number, kind, authorisation));
        // The authorisation that the client polls (RFC 8555, 7.1).
        response.1.push(("Link", format!("<{}>;rel=\"up\"", self.url(&format!("authorisation/{number}")))));
        response
    }

    pub(super) fn finalise(&self, number: usize, signed: &Signed, whim: &Whim) -> Response {
        let payload: Value = serde_json::from_slice(&signed.payload).unwrap_or_default();
        let csr = payload["csr"].as_str().and_then(|c| B64.decode(c).ok()).unwrap_or_default();
        let Ok(request) = CertificateSigningRequestParams::from_der(&csr.into()) else {
            return problem(400, "badCSR", "signing request cannot be parsed");
        };
        let mut requested: Vec<String> = request
            .params
            .subject_alt_names
            .iter()
            .filter_map(
                |n| if let rcgen::SanType::DnsName(n) = n { Some(n.as_str().to_owned()) } else { None },
            )
            .collect();
        requested.sort();
        let lifetime_s = locked(&self.0.manner).life;
        let mut state = locked(&self.0.state);
        let is_valid =
            |p: &usize| state.authorisations.get(*p).is_some_and(|p| p.state == AuthorisationState::Valid);
        let Some(order) = state.orders.get(number).filter(|o| o.account == signed.account_number) else {
            return problem(404, "malformed", "no such order of this account");
        };
        if !order.authorisations.iter().all(is_valid) {
            return problem(403, "orderNotReady", "not all authorisations are valid");
        }
        let mut names = order.names.clone();
        names.sort();
        if names != requested {
            return problem(400, "badCSR", "names differ from the order");
        }
        let chain = match whim {
            Whim::OtherKey => self.0.issuer.chain(&names, &KeyPair::generate().unwrap(), -60, lifetime_s),
            Whim::Expired => self.0.issuer.chain(&names, &request.public_key, -60, -1),
            Whim::FewerNames => self.0.issuer.chain(&names[..1], &request.public_key, -60, lifetime_s),
            _ => self.0.issuer.chain(&names, &request.public_key, 0, lifetime_s),
        };
        state.counts.certificates += 1;
        if let Some(order) = state.orders.get_mut(number) {
            order.chain = Some(chain);
        }
        drop(state);
        self.describe_order(number, signed, 200)
    }
}
