//! Signed requests (RFC 7515, RFC 8555, 6.2), by ES256, and accounts bound by HMAC.

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
    /// By its own key, or ...
    pub key: Option<Value>,
    /// ... by its account's address.
    pub account: Option<String>,
    pub number: usize,
    pub payload: Vec<u8>,
    signing: String,
    signature: Vec<u8>,
}

/// Parts of a flattened one: header, payload, signature, and what is signed.
type Parts = (Value, Vec<u8>, Vec<u8>, String);

fn parts(body: &Value) -> Result<Parts, &'static str> {
    let text = |name: &str| body[name].as_str().ok_or("a part is missing");
    let decoded = |name: &str| B64.decode(text(name)?).map_err(|_| "not base64url without padding");
    let header = serde_json::from_slice(&decoded("protected")?).map_err(|_| "a header that is no JSON")?;
    let signing = format!("{}.{}", text("protected")?, text("payload")?);
    Ok((header, decoded("payload")?, decoded("signature")?, signing))
}

pub fn read(body: &[u8]) -> Result<Signed, &'static str> {
    let body: Value = serde_json::from_slice(body).map_err(|_| "no JSON")?;
    if body.get("header").is_some() || body.get("signatures").is_some() {
        return Err("an unprotected header, or several signatures");
    }
    let (header, payload, signature, signing) = parts(&body)?;
    if header["alg"] != "ES256" {
        return Err("another algorithm than ES256");
    }
    let text = |name: &str| header[name].as_str().map(str::to_owned);
    Ok(Signed {
        url: text("url").ok_or("no url")?,
        nonce: text("nonce").ok_or("no nonce")?,
        key: header.get("jwk").cloned(),
        account: text("kid"),
        number: 0,
        payload,
        signing,
        signature,
    })
}

pub fn verify(signed: &Signed, key: &Value) -> Result<(), &'static str> {
    let part = |name: &str| key[name].as_str().and_then(|t| B64.decode(t).ok()).ok_or("no key of P-256");
    if key["kty"] != "EC" || key["crv"] != "P-256" {
        return Err("no key of P-256");
    }
    let point = [&[4][..], &part("x")?, &part("y")?].concat();
    let public = UnparsedPublicKey::new(&ECDSA_P256_SHA256_FIXED, point);
    public.verify(signed.signing.as_bytes(), &signed.signature).map_err(|_| "the signature is wrong")
}

/// Of a key (RFC 7638).
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

/// Whether an account is bound to one that was given out (RFC 8555, 7.3.4).
pub fn bound(
    binding: &Value,
    name: &str,
    secret: &[u8],
    key: &Value,
    url: &str,
) -> Result<(), &'static str> {
    let (header, payload, signature, signing) = parts(binding).map_err(|_| "no binding")?;
    if header["alg"] != "HS256"
        || header["kid"] != name
        || header["url"] != url
        || header.get("nonce").is_some()
    {
        return Err("another header than is right");
    }
    if serde_json::from_slice::<Value>(&payload).ok().as_ref() != Some(key) {
        return Err("of another key");
    }
    hmac::verify(&hmac::Key::new(hmac::HMAC_SHA256, secret), signing.as_bytes(), &signature)
        .map_err(|_| "signed by another key")
}
