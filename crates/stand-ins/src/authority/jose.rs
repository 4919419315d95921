//! Verification of signed ACME requests (RFC 7515, RFC 8555, 6.2), by ES256, and of external account
//! bindings, by HMAC.

use base64::Engine;
use base64::prelude::BASE64_URL_SAFE_NO_PAD as B64;
use ring::digest::{SHA256, digest};
use ring::hmac;
use ring::signature::{ECDSA_P256_SHA256_FIXED, UnparsedPublicKey};
use serde_json::Value;

/// A signed request.
pub struct Signed {
    pub url: String,
    pub nonce: String,
    /// `jwk` header, for requests that create an account.
    pub key: Option<Value>,
    /// `kid` header: the URL of the account, for all other requests.
    pub account: Option<String>,
    /// Set once the account is known.
    pub account_number: usize,
    pub payload: Vec<u8>,
    signing_input: String,
    signature: Vec<u8>,
}

/// The decoded parts of a JWS in flattened JSON serialization.
struct JwsParts {
    header: Value,
    payload: Vec<u8>,
    signature: Vec<u8>,
    signing_input: String,
}

fn parse_jws(body: &Value) -> Result<JwsParts, &'static str> {
    let text = |name: &str| body[name].as_str().ok_or("protected, payload or signature is missing");
    let decoded = |name: &str| B64.decode(text(name)?).map_err(|_| "not base64url without padding");
    let header =
        serde_json::from_slice(&decoded("protected")?).map_err(|_| "protected header is not JSON")?;
    let signing_input = format!("{}.{}", text("protected")?, text("payload")?);
    Ok(JwsParts { header, payload: decoded("payload")?, signature: decoded("signature")?, signing_input })
}

pub fn read(body: &[u8]) -> Result<Signed, &'static str> {
    let body: Value = serde_json::from_slice(body).map_err(|_| "request is not JSON")?;
    if body.get("header").is_some() || body.get("signatures").is_some() {
        return Err("unprotected header or several signatures");
    }
    let JwsParts { header, payload, signature, signing_input } = parse_jws(&body)?;
    if header["alg"] != "ES256" {
        return Err("algorithm is not ES256");
    }
    let text = |name: &str| header[name].as_str().map(str::to_owned);
    Ok(Signed {
        url: text("url").ok_or("no url in the protected header")?,
        nonce: text("nonce").ok_or("no nonce in the protected header")?,
        key: header.get("jwk").cloned(),
        account: text("kid"),
        account_number: 0,
        payload,
        signing_input,
        signature,
    })
}

pub fn verify(signed: &Signed, key: &Value) -> Result<(), &'static str> {
    let part = |name: &str| key[name].as_str().and_then(|t| B64.decode(t).ok()).ok_or("not a P-256 key");
    if key["kty"] != "EC" || key["crv"] != "P-256" {
        return Err("not a P-256 key");
    }
    let point = [&[4][..], &part("x")?, &part("y")?].concat();
    let public = UnparsedPublicKey::new(&ECDSA_P256_SHA256_FIXED, point);
    public.verify(signed.signing_input.as_bytes(), &signed.signature).map_err(|_| "invalid signature")
}

/// The thumbprint of a key (RFC 7638), in base64url.
pub fn thumbprint(key: &Value) -> String {
    let text = |name: &str| key[name].as_str().unwrap_or_default().to_owned();
    let canonical = format!(
        r#"{{"crv":"{}","kty":"{}","x":"{}","y":"{}"}}"#,
        text("crv"),
        text("kty"),
        text("x"),
        text("y")
    );
    B64.encode(digest(&SHA256, canonical.as_bytes()))
}

/// Verifies the external account binding of a new account (RFC 8555, 7.3.4).
pub fn verify_binding(
    binding: &Value,
    key_id: &str,
    secret: &[u8],
    key: &Value,
    url: &str,
) -> Result<(), &'static str> {
    let JwsParts { header, payload, signature, signing_input } =
        parse_jws(binding).map_err(|_| "no external account binding")?;
    if header["alg"] != "HS256"
        || header["kid"] != key_id
        || header["url"] != url
        || header.get("nonce").is_some()
    {
        return Err("wrong header in the external account binding");
    }
    if serde_json::from_slice::<Value>(&payload).ok().as_ref() != Some(key) {
        return Err("external account binding is for another account key");
    }
    hmac::verify(&hmac::Key::new(hmac::HMAC_SHA256, secret), signing_input.as_bytes(), &signature)
        .map_err(|_| "external account binding has an invalid MAC")
}
